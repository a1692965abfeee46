import type { Clock } from '../clock/clock.js';
import type { Log } from '../config/log.js';
import type { Requester } from '../http/client.js';
import type { Machine, TaskAttempt } from './machine.js';

/** The evidence that a task is not on its machine. */
export type GoneReason =
  | 'never sent'
  | 'not executed'
  | 'not reported'
  | 'new incarnation'
  | 'lease expired'
  | 'machine removed';

/** The shard's operations that the registry calls, and the events that it reports to the shard. */
export interface MachineRegistryHooks {
  /** Returns true while this node is certain to hold the shard. */
  holdsShard(): boolean;
  /**
   * Returns the latest revision of the key-value store at which this node is known to have owned the shard. The terms
   * of later owners are greater.
   */
  ownedRevision(): number;
  /** Writes a machine's record and returns its new version, which is a newer revision than all known ones. */
  writeRecord(machine: Machine): Promise<number>;
  /** Returns whether a write that is not settled yet may assign the machine to another shard. */
  isChangingShard(machine: Machine): boolean;
  /** Called when a machine reports an attempt that was not recorded for it. */
  onAttemptFound(attempt: TaskAttempt): void;
  /** Called when the state or the exit cause of a recorded attempt has changed. */
  onAttemptChanged(attempt: TaskAttempt): void;
  /** Called when an attempt is certain not to be on its machine any more. */
  onAttemptGone(attempt: TaskAttempt, reason: GoneReason): void;
  /** Called when a machine has begun a new incarnation. */
  onIncarnation(machine: Machine): void;
  /**
   * Announces where tasks may be started, before their commands are sent. Returns null if there is nothing to wait
   * for; otherwise resolves to true once the commands may be sent, or to false if they must not be sent any more.
   */
  announceStarts(attempts: readonly TaskAttempt[]): Promise<boolean> | null;
  /** Requests a new plan after a change that affects it. */
  requestPlan(): void;
}

/** The timing of the worker protocol, in seconds: the heartbeat interval and the duration of a machine's lease. */
export interface WorkerTimes {
  readonly reportS: number;
  readonly leaseS: number;
}

/** The dependencies and state shared by the components of a registry. */
export interface RegistryContext {
  readonly clock: Clock;
  readonly http: Requester;
  readonly times: WorkerTimes;
  readonly log: Log;
  readonly hooks: MachineRegistryHooks;
  /** The machines of the shard, by id. */
  readonly machines: Map<string, Machine>;
  /** Returns whether the shard no longer belongs to this node. */
  isStopped(): boolean;
  /** Returns whether this node is certain to hold the shard, so that commands and responses may be sent. */
  isActive(): boolean;
}
