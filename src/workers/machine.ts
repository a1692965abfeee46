import type { ExitCause, TaskState } from '../wire/workers.js';

/** A task attempt that is, or may be, on a machine. */
export interface TaskAttempt {
  /** The job's id, and the task's index in the job. */
  job: string;
  index: number;
  /** The number of the attempt: no two owners ever use the same one. */
  attempt: number;
  machine: Machine;
  state: TaskState;
  cause: ExitCause | null;
  /**
   * How sure it is that the start arrived: `sending`: its command is under way. `unsure`: the command got no answer and
   * may yet be executed, until the machine has a newer token or incarnation. `known`: the machine has reported it.
   */
  startPhase: 'sending' | 'unsure' | 'known';
  /** Token that the start was sent under. */
  fencingToken: number;
  /** When the start was ordered, and when the attempt was first reported as running and as exited; steady milliseconds. */
  orderedAt: number;
  runningAt: number | null;
  exitedAt: number | null;
  /**
   * How the task is to stop: with so many seconds to save its state, and when that was last sent straight to the machine (steady
   * milliseconds, 0 for not yet). Null when it is not to stop.
   */
  stop: { graceS: number; sentAt: number } | null;
  /** The exit is recorded as far as it needs to be: the machine may forget it. */
  exitRecorded: boolean;
}

/** A machine of a shard as its owner knows it; times are steady milliseconds of this node. */
export interface Machine {
  id: string;
  /** Where it takes commands; empty while that is not known. */
  addr: string;
  /** Indices of its type and its zone. */
  type: number;
  zone: number;
  /** Whether the cloud may reclaim it at short notice. */
  spot: boolean;
  /** It is on its way back to the cloud: nothing more is started there. */
  decommissioning: boolean;
  /** Version of its assignment record. */
  version: number;
  /** The token that commands to it are sent under; an older one makes a command void. */
  fencingToken: number;
  /** The machine's incarnation and the number of its last heartbeat in it, by which late heartbeats are recognized. */
  incarnation: number;
  heartbeatSequence: number;
  /** Reports of incarnations before this one come late. */
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
  /** When the cloud takes it away; null without a notice. */
  reclaimAt: number | null;
  /** The attempts that are, or may be, on it, by `attemptKey`. */
  attempts: Map<string, TaskAttempt>;
  /** The images that it has, by index, with their sizes in GB; the least recently used first. */
  images: Map<number, number>;
  /** Since when it holds nothing; null while it holds something. */
  idleSince: number | null;
  /** When it last gave no answer to a request or a command; null once it has answered one, or stays with this node. */
  unreachableAt: number | null;
  /** Answers to its reports since it should have shown the present token. */
  unconfirmedResponses: number;
  /** Task failures that count against it since a task last succeeded there. */
  consecutiveErrors: number;
  /** Until then it takes no new task. */
  quarantinedUntil: number;
}

/** A machine that hears the answers to its reports sends the next one to the same node within so many milliseconds. */
export function nextHeartbeatWithinMs(reportS: number): number {
  return reportS * 1250 + 500;
}

/** What a report counts for: `late` and `foreign` say nothing, `untokened` only that the machine is there. */
export type HeartbeatValidity = 'late' | 'foreign' | 'untokened' | 'ok';

/**
 * What a report counts for beside what is known of its machine. Copies may come at any later time: only one that is newer than
 * all that is known, and shows the present token, shows what the machine holds now.
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

/** The key of an attempt among those of a machine. */
export function attemptKey(job: string, index: number, attempt: number): string {
  return `${job}/${index}#${attempt}`;
}

/** Notes that the machine has an image, and drops the least recently used ones beyond its cache; sizes in GB. */
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

/** A machine with so many errors in a row is returned. */
export const MAX_CONSECUTIVE_ERRORS = 3;
