import { readdirSync, readFileSync, readlinkSync } from 'node:fs';

/** Resource usage of a process, as reported by Linux. */
export interface ProcessUse {
  /** CPU time since the start of the process, in seconds. */
  cpuS: number;
  /** Resident memory, in bytes. */
  residentBytes: number;
  sockets: number;
}

/** Clock ticks per second, and bytes per page, on every common Linux. */
const TICKS_PER_S = 100;
const PAGE_BYTES = 4096;
const MB = 1024 * 1024;
/** Positions of fields of `/proc/PID/stat`, counted after the command name, because that may contain spaces. */
const USER_TICKS = 11;
const SYSTEM_TICKS = 12;

/** Returns the resource usage of a process so far; null when it has ended, or where there is no `/proc`. */
export function processUse(pid: number): ProcessUse | null {
  try {
    const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    const ticks = Number(fields[USER_TICKS]) + Number(fields[SYSTEM_TICKS]);
    const pages = Number(readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ')[1]);
    return { cpuS: ticks / TICKS_PER_S, residentBytes: pages * PAGE_BYTES, sockets: countSockets(pid) };
  } catch {
    return null;
  }
}

function countSockets(pid: number): number {
  let sockets = 0;
  for (const fd of readdirSync(`/proc/${pid}/fd`)) {
    try {
      if (readlinkSync(`/proc/${pid}/fd/${fd}`).startsWith('socket:')) sockets++;
    } catch {
      // The descriptor was closed after it was listed.
    }
  }
  return sockets;
}

/**
 * Returns the CPU seconds per second between two samples of a process; 0 when either sample is missing or the process
 * was restarted in between.
 */
export function coresBetween(before: ProcessUse | null, after: ProcessUse | null, seconds: number): number {
  return before && after && after.cpuS >= before.cpuS ? (after.cpuS - before.cpuS) / seconds : 0;
}

/** Returns the resident memory in MB; 0 when the sample is missing. */
export function residentMb(use: ProcessUse | null): number {
  return (use?.residentBytes ?? 0) / MB;
}
