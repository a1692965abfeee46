import { readdirSync, readFileSync, readlinkSync } from 'node:fs';

/** What a process has used, as Linux tells it. */
export interface ProcessUse {
  /** Processor time since its start, in seconds. */
  cpuS: number;
  /** Resident memory, in bytes. */
  residentBytes: number;
  sockets: number;
}

/** Clock ticks a second and bytes a page, as on every common Linux. */
const TICKS_PER_S = 100;
const PAGE_BYTES = 4096;
const MB = 1024 * 1024;
/** Fields of `/proc/PID/stat` after the command's name, which may hold spaces. */
const USER_TICKS = 11;
const SYSTEM_TICKS = 12;

/** What a process has used so far; null when it is gone, or where there is no `/proc`. */
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
      // Closed since it was listed.
    }
  }
  return sockets;
}

/** Processor seconds a second between two looks at a process; 0 when it was not there at both, or was started anew. */
export function coresBetween(before: ProcessUse | null, after: ProcessUse | null, seconds: number): number {
  return before && after && after.cpuS >= before.cpuS ? (after.cpuS - before.cpuS) / seconds : 0;
}

/** Resident memory in MB; 0 for a process that is not there. */
export function residentMb(use: ProcessUse | null): number {
  return (use?.residentBytes ?? 0) / MB;
}
