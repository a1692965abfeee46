// This package: what all parts of one node share.
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

/** Compiles match expressions for the plan; a part of its own, loaded where it is enabled. */
export interface MatchCompiler {
  compile(spec: MatchSpec): Match;
}

/** For nodes that do not serve match expressions: such a job never starts here, rather than anywhere. */
export const MATCHES_NOTHING: Match = { kind: () => false, machine: null, rank: null };

/** What all parts of one node share: its clock, clients, settings, names and what it knows of the cloud. */
export interface ControllerContext {
  readonly clock: Clock;
  readonly settings: Settings;
  readonly log: Log;
  /** Requests to workers. */
  readonly http: Requester;
  store: StateStore;
  cloud: Cloud;
  readonly names: NameTables;
  readonly catalog: MachineTypeCatalog;
  /** When the record of a machine went, in steady milliseconds, by the machine's id. */
  readonly removedMachines: Map<string, number>;
  /** Understands match expressions; null where they are not served. */
  matchCompiler: MatchCompiler | null;
  /** Marks this run of the process in every name that must not be used twice. */
  readonly incarnation: string;
}
