import type { Log } from '../config/log.js';
import type { ControllerContext } from '../context/context.js';
import type { Amounts } from '../plan/capacityprofile.js';
import type { Entry } from '../wire/state.js';
import type { Machine } from '../workers/machine.js';
import type { MachineRegistry } from '../workers/machineregistry.js';

/** What the shard knows and does for its autoscaler. */
export interface AutoscalerHooks {
  /** This owner acts no more. */
  stopped(): boolean;
  /** Whether a machine is empty, and nothing is reserved on it or promised of it. */
  isIdle(m: Machine): boolean;
  /** A machine's record has been written. */
  recorded(id: string, entry: Entry): void;
  /** Somebody else has the shard; returns the error to throw. */
  lostOwnership(): Error;
  /** A name that nobody ever uses again. */
  uniqueName(kind: string): string;
  /** What a task of a class takes, as far as the shard has had one. */
  taskSizeOf(jobClass: string): Amounts | null;
  /** Whether it has had no job yet, so that any class may be the first. */
  hasSeenNoJob(): boolean;
  requestPlan(): void;
}

/** What an `Autoscaler` and its parts are made of. */
export interface AutoscalerOptions {
  readonly context: ControllerContext;
  readonly shard: number;
  /** The owner's term: the revision of its key. */
  readonly term: number;
  readonly registry: MachineRegistry;
  readonly log: Log;
  readonly hooks: AutoscalerHooks;
}
