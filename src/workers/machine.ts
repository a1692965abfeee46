import type { ExitCause, TaskState } from '../wire/workers.js';

/** A task attempt that is, or may be, on a machine. */
export interface TaskAttempt {
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
  startPhase: 'sending' | 'answer' | 'unsure' | 'known';
  /** Token that the start was sent under. */
  fencingToken: number;
  orderedAt: number;
  runningAt: number | null;
  exitedAt: number | null;
  stop: { graceS: number; since: number; sentAt: number; hard: boolean } | null;
  /** The exit is recorded as far as it needs to be: the machine may forget it. */
  exitRecorded: boolean;
}

export interface Machine {
  id: string;
  addr: string;
  type: number;
  zone: number;
  spot: boolean;
  decommissioning: boolean;
  /** Version of its assignment record. */
  version: number;
  fencingToken: number;
  incarnation: number;
  heartbeatSequence: number;
  /** Reports of sessions before this one come late. */
  minIncarnation: number;
  /** It has reported under the present token. */
  reconciled: boolean;
  /** It may hold tasks of an earlier owner's that nobody has reported. */
  mayHoldUnreportedTasks: boolean;
  /** Its lease counts from here at the latest. */
  leaseRenewedAt: number;
  /** When this owner last answered a report of it with 200, or took it over. */
  lastAcknowledgedAt: number;
  lastHeartbeatAt: number | null;
  /** Its lease surely ran out with no report since. */
  leaseExpired: boolean;
  rentedAt: number;
  reclaimAt: number | null;
  attempts: Map<string, TaskAttempt>;
  images: Map<number, number>;
  idleSince: number | null;
  /** When it last gave no answer to a question or an order; null once it has answered one, or stays with this node. */
  unreachableAt: number | null;
  /** Answers to its reports since it should have shown the present token. */
  unconfirmedResponses: number;
  consecutiveErrors: number;
  quarantinedUntil: number;
}

/** A machine that hears the answers to its reports sends the next one to the same node within this. */
export function nextHeartbeatWithinMs(reportS: number): number {
  return reportS * 1250 + 500;
}

/** What a report counts for: `late` and `foreign` say nothing, `untokened` only that the machine is there. */
export type HeartbeatValidity = 'late' | 'foreign' | 'untokened' | 'ok';

/**
 * What a report counts for beside what is known of its machine. Copies may come at any later time: only one that is newer than
 * all that is known, and shows the present token, tells what the machine holds now.
 */
export function classifyHeartbeat(
  known: Pick<Machine, 'incarnation' | 'heartbeatSequence' | 'minIncarnation' | 'fencingToken'>,
  r: { incarnation: number; sequence: number; fencingToken: number },
): HeartbeatValidity {
  if (r.incarnation < known.minIncarnation || r.incarnation < known.incarnation) return 'late';
  if (r.incarnation === known.incarnation && r.sequence <= known.heartbeatSequence) return 'late';
  if (r.fencingToken > known.fencingToken) return 'foreign';
  return r.fencingToken < known.fencingToken ? 'untokened' : 'ok';
}

export function attemptKey(job: string, index: number, attempt: number): string {
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
export const MAX_CONSECUTIVE_ERRORS = 3;
