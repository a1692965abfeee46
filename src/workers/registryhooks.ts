import type { Clock } from '../clock/clock.js';
import type { Log } from '../config/log.js';
import type { Requester } from '../http/client.js';
import type { Machine, TaskAttempt } from './machine.js';

/** How it became sure that a task is not on its machine. */
export type GoneReason =
  | 'never sent'
  | 'not executed'
  | 'not reported'
  | 'new incarnation'
  | 'lease expired'
  | 'machine removed';

/** What the registry asks of its shard, and what it reports to it. */
export interface MachineRegistryHooks {
  /** True while this node surely holds the shard. */
  holdsShard(): boolean;
  /** Makes a newer token durable; returns the new version of the machine's record. */
  renewFencingToken(m: Machine): Promise<number>;
  /** A machine reports a task that was not known to be there. */
  onAttemptFound(h: TaskAttempt): void;
  /** State or cause of a known task changed. */
  onAttemptChanged(h: TaskAttempt): void;
  /** A task is surely no longer on its machine. */
  onAttemptGone(h: TaskAttempt, why: GoneReason): void;
  /** A machine has begun an incarnation that was not known. */
  onIncarnation(m: Machine): void;
  /**
   * Announces where tasks may be started before their commands are sent. Null when nothing has to be waited for; else true
   * once they may be sent, false when they must not be any more.
   */
  announceStarts(attempts: readonly TaskAttempt[]): Promise<boolean> | null;
  /** Something changed that the plan should take in. */
  requestPlan(): void;
}

/** The settings of the workers' protocol: the interval of heartbeats and the length of a machine's lease, in seconds. */
export interface WorkerTimes {
  readonly reportS: number;
  readonly leaseS: number;
}

/** What the parts of a registry share. */
export interface RegistryParts {
  readonly clock: Clock;
  readonly http: Requester;
  readonly times: WorkerTimes;
  readonly log: Log;
  readonly hooks: MachineRegistryHooks;
  /** The machines of the shard, by id. */
  readonly machines: Map<string, Machine>;
  /** Whether the shard is no longer this node's. */
  isStopped(): boolean;
  /** Whether this node surely holds the shard, so that commands and answers may be sent. */
  isActive(): boolean;
}
