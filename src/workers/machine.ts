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
   * Whether the start is known to have arrived. `sending`: the command is in flight. `unsure`: the command got no
   * answer and may still be executed, until the machine has a newer token or incarnation. `known`: the machine has
   * reported the attempt.
   */
  startPhase: 'sending' | 'unsure' | 'known';
  /** Fencing token that the start was sent under; for a start of an earlier owner, a newer one. */
  fencingToken: number;
  /**
   * When the start was ordered, and when the attempt was first reported running and exited; monotonic milliseconds.
   */
  orderedAt: number;
  runningAt: number | null;
  exitedAt: number | null;
  /**
   * The command to stop: the seconds allowed for saving state, and when it was last sent directly to the machine
   * (monotonic milliseconds, 0 if not yet). Null if the task is not to stop.
   */
  stop: { graceS: number; sentAt: number } | null;
  /** Whether all required records of the exit are written, so that the machine may forget the attempt. */
  exitRecorded: boolean;
}

/** A machine of a shard as known to the shard's owner; times are monotonic milliseconds of this node. */
export interface Machine {
  id: string;
  /** Address for commands; empty while unknown. */
  addr: string;
  /** Indices of the machine type and the zone. */
  type: number;
  zone: number;
  /** Whether the cloud may reclaim it at short notice. */
  spot: boolean;
  /** Whether the machine is being returned to the cloud, so that no new task is started on it. */
  decommissioning: boolean;
  /** Version of the machine's record in the key-value store. */
  version: number;
  /** The fencing token that commands are sent under; once the machine has seen it, commands with an older one are void. */
  fencingToken: number;
  /**
   * The lowest fencing token whose heartbeats show what the machine holds. With an older one, a command of an earlier
   * owner or an unanswered start could still be executed after the heartbeat.
   */
  minFencingToken: number;
  /** The machine's incarnation and the sequence number of its latest heartbeat, used to recognize late heartbeats. */
  incarnation: number;
  heartbeatSequence: number;
  /** Lowest incarnation whose heartbeats are accepted; those of earlier incarnations are late. */
  minIncarnation: number;
  /** Whether the machine has sent a heartbeat under `minFencingToken` or a newer token. */
  reconciled: boolean;
  /** Whether the machine may hold unreported tasks that an earlier owner started. */
  mayHoldUnreportedTasks: boolean;
  /** Latest time from which the machine's lease can run. */
  leaseRenewedAt: number;
  /** When this owner last answered a heartbeat of the machine with 200, or took the machine over. */
  lastAcknowledgedAt: number;
  lastHeartbeatAt: number | null;
  /** Whether the machine's lease has certainly expired and no heartbeat has arrived since. */
  leaseExpired: boolean;
  rentedAt: number;
  /** When the cloud reclaims the machine; null without a notice. */
  reclaimAt: number | null;
  /** Attempts that are, or may be, on the machine, by `attemptKey`. */
  attempts: Map<string, TaskAttempt>;
  /** Images in the machine's cache, by index, with their sizes in GB; least recently used first. */
  images: Map<number, number>;
  /** Time since which the machine has held no attempts; null while it holds one. */
  idleSince: number | null;
  /**
   * When the machine last failed to answer a request or command; null once it answers one or keeps sending heartbeats
   * to this node.
   */
  unreachableAt: number | null;
  /** Consecutive responses to heartbeats that showed a token older than `minFencingToken`. */
  unconfirmedResponses: number;
  /** Consecutive task failures counted against the machine since a task last succeeded on it. */
  consecutiveErrors: number;
  /** End of the machine's quarantine, until which it takes no new tasks. */
  quarantinedUntil: number;
}

/**
 * Returns the time in ms within which a machine that receives the responses sends its next heartbeat to the same node.
 */
export function nextHeartbeatWithinMs(reportS: number): number {
  return reportS * 1250 + 500;
}

/**
 * The evidence that a heartbeat gives: `late` and `foreign` ones give none, an `untokened` one shows only that the
 * machine is running, an `ok` one also shows which tasks it holds.
 */
export type HeartbeatValidity = 'late' | 'foreign' | 'untokened' | 'ok';

/**
 * Classifies a heartbeat against the recorded state of its machine. Duplicates may arrive at any later time, so only
 * a heartbeat that is newer than the recorded state and carries no token of former commands shows what the machine
 * holds now.
 */
export function classifyHeartbeat(
  known: Pick<
    Machine,
    'incarnation' | 'heartbeatSequence' | 'minIncarnation' | 'fencingToken' | 'minFencingToken'
  >,
  heartbeat: { incarnation: number; sequence: number; fencingToken: number },
): HeartbeatValidity {
  if (heartbeat.incarnation < known.minIncarnation || heartbeat.incarnation < known.incarnation)
    return 'late';
  if (heartbeat.incarnation === known.incarnation && heartbeat.sequence <= known.heartbeatSequence)
    return 'late';
  if (heartbeat.fencingToken > known.fencingToken) return 'foreign';
  return heartbeat.fencingToken < known.minFencingToken ? 'untokened' : 'ok';
}

/** Returns the key of an attempt in `Machine.attempts`. */
export function attemptKey(job: string, index: number, attempt: number): string {
  return `${job}/${index}#${attempt}`;
}

/**
 * Records that the machine has an image, and evicts the least recently used ones beyond its cache size; sizes in GB.
 */
export function recordImage(machine: Machine, image: number, gb: number, cacheGb: number): void {
  machine.images.delete(image);
  machine.images.set(image, gb);
  let totalGb = 0;
  for (const size of machine.images.values()) totalGb += size;
  for (const [oldest, size] of machine.images) {
    if (totalGb <= cacheGb || oldest === image) break;
    machine.images.delete(oldest);
    totalGb -= size;
  }
}

/** Consecutive errors after which a machine is returned to the cloud. */
export const MAX_CONSECUTIVE_ERRORS = 3;
