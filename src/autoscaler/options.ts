import type { Log } from '../config/log.js';
import type { ControllerContext } from '../context/context.js';
import type { Amounts } from '../plan/capacityprofile.js';
import type { OwnerTransactions } from '../schema/schema.js';
import type { Entry } from '../wire/state.js';
import type { Machine } from '../workers/machine.js';
import type { MachineRegistry } from '../workers/machineregistry.js';

/** The shard's state and operations that its autoscaler uses. */
export interface AutoscalerHooks {
  /** Returns whether this owner has stopped acting for the shard. */
  isStopped(): boolean;
  /** Returns whether a machine is empty and neither reserved for a task nor promised to another shard. */
  isIdle(machine: Machine): boolean;
  /** Called when a machine's record has been written. */
  onRecorded(id: string, entry: Entry): void;
  /** Called when another node owns the shard; returns the error to throw. */
  onOwnershipLost(): Error;
  /** Returns a name that is never used again by any node. */
  uniqueName(kind: string): string;
  /** Returns the resources that a task of a class takes; null if the shard has had no task of that class. */
  taskSizeOf(jobClass: string): Amounts | null;
  /** Returns whether the shard has had no job yet, in which case its first job may be of any class. */
  hasHadNoJob(): boolean;
  requestPlan(): void;
}

/** The dependencies shared by an `Autoscaler` and its components. */
export interface AutoscalerOptions {
  readonly context: ControllerContext;
  readonly shard: number;
  readonly transactions: OwnerTransactions;
  readonly registry: MachineRegistry;
  readonly log: Log;
  readonly hooks: AutoscalerHooks;
}
