import type { ExitCause, TaskState } from '../wire/workers.js';

/** A task attempt that is, or may be, on a machine. */
export interface Held {
  job: string;
  index: number;
  attempt: number;
  machine: Machine;
  state: TaskState;
  cause: ExitCause | null;
  saved: boolean;
  /**
   * How sure it is that the start arrived: `sending`: its command is under way. `answer`: it went with the answer to a
   * report, and the next report tells. `unsure`: the command got no answer and may yet be executed, until the machine
   * has a newer token or session. `known`: the machine has reported it.
   */
  phase: 'sending' | 'answer' | 'unsure' | 'known';
  /** Token that the start was sent under. */
  token: number;
  orderedAt: number;
  runningAt: number | null;
  exitedAt: number | null;
  stop: { graceS: number; since: number; sentAt: number; hard: boolean } | null;
  /** The exit is recorded as far as it needs to be: the machine may forget it. */
  settled: boolean;
}

export interface Machine {
  id: string;
  addr: string;
  type: number;
  zone: number;
  spot: boolean;
  leaving: boolean;
  /** Version of its assignment record. */
  version: number;
  token: number;
  session: number;
  seq: number;
  /** Reports of sessions before this one come late. */
  minSession: number;
  /** It has reported under the present token. */
  synced: boolean;
  /** It may hold tasks of an earlier owner's that nobody has reported. */
  unknown: boolean;
  /** Its lease counts from here at the latest. */
  answeredAt: number;
  /** When this owner last answered a report of it with 200, or took it over. */
  givenAt: number;
  heardAt: number | null;
  /** Its lease surely ran out with no report since. */
  lost: boolean;
  rentedAt: number;
  noticeUntil: number | null;
  held: Map<string, Held>;
  images: Map<number, number>;
  idleSince: number | null;
  /** When it last gave no answer to a question or an order; null once it has answered one, or stays with this node. */
  unreachableAt: number | null;
  /** Answers to its reports since it should have shown the present token. */
  unheard: number;
  errors: number;
  closedUntil: number;
}

/** A machine that hears the answers to its reports sends the next one to the same node within this. */
export function nextReportMs(reportS: number): number {
  return reportS * 1250 + 500;
}

/** What a report counts for: `late` and `foreign` say nothing, `untokened` only that the machine is there. */
export type Weight = 'late' | 'foreign' | 'untokened' | 'ok';

/**
 * What a report counts for beside what is known of its machine. Copies may come at any later time: only one that is newer than
 * all that is known, and shows the present token, tells what the machine holds now.
 */
export function weigh(
  known: Pick<Machine, 'session' | 'seq' | 'minSession' | 'token'>,
  r: { session: number; seq: number; token: number },
): Weight {
  if (r.session < known.minSession || r.session < known.session) return 'late';
  if (r.session === known.session && r.seq <= known.seq) return 'late';
  if (r.token > known.token) return 'foreign';
  return r.token < known.token ? 'untokened' : 'ok';
}

export function heldKey(job: string, index: number, attempt: number): string {
  return `${job}/${index}#${attempt}`;
}

/** Notes that the machine has an image, and lets the least recently used ones go beyond its cache. */
export function noteImage(m: Machine, image: number, gb: number, cacheGb: number): void {
  m.images.delete(image);
  m.images.set(image, gb);
  let sum = 0;
  for (const size of m.images.values()) sum += size;
  for (const [oldest, size] of m.images) {
    if (sum <= cacheGb || oldest === image) break;
    m.images.delete(oldest);
    sum -= size;
  }
}

/** A machine with so many errors in a row is given back. */
export const SICK_ERRORS = 3;
