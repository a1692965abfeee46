// This package: the clock, clients, settings and tables that all components of one node share.
import type { Clock } from '../clock/clock.js';
import type { Cloud } from '../cloud/cloud.js';
import type { Log } from '../config/log.js';
import type { Settings } from '../config/settings.js';
import type { Requester } from '../http/client.js';
import type { Match } from '../plan/model.js';
import type { StateStore } from '../state/statestore.js';
import type { MatchSpec } from '../wire/users.js';
import type { MachineTypeCatalog } from './machinetypecatalog.js';
import type { NameTables } from './nametables.js';

/** Compiles match expressions for the plan; an optional component, loaded only where it is enabled. */
export interface MatchCompiler {
  compile(spec: MatchSpec): Match;
}

/**
 * The match used on nodes that do not serve match expressions, so that such a job never starts there rather than
 * starting on any machine.
 */
export const MATCHES_NOTHING: Match = { kind: () => false, machine: null, rank: null };

/** The clock, clients, settings, names and cloud state that all components of one node share. */
export interface ControllerContext {
  readonly clock: Clock;
  readonly settings: Settings;
  readonly log: Log;
  /** Client for requests to workers. */
  readonly http: Requester;
  store: StateStore;
  cloud: Cloud;
  readonly names: NameTables;
  readonly catalog: MachineTypeCatalog;
  /** When each machine's record was removed, in monotonic milliseconds, by machine id. */
  readonly removedMachines: Map<string, number>;
  /** The compiler of match expressions; null where they are not served. */
  matchCompiler: MatchCompiler | null;
  /** Identifies this run of the process in every name that must not be reused. */
  readonly incarnation: string;
}
