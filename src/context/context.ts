// This package: what all parts of one node share.
import type { Clock } from '../clock/clock.js';
import type { Cloud } from '../cloud/cloud.js';
import type { Log } from '../config/log.js';
import type { Settings } from '../config/settings.js';
import type { Requester } from '../http/client.js';
import { NameTable } from '../interning/nametable.js';
import type { Amounts } from '../plan/capacityprofile.js';
import type { Match } from '../plan/model.js';
import type { StateStore } from '../state/statestore.js';
import type { ListedMachine, MachineType } from '../wire/cloud.js';
import type { MatchSpec } from '../wire/users.js';

/** Compiles match expressions for the plan; a part of its own, loaded where it is enabled. */
export interface MatchCompiler {
  compile(spec: MatchSpec): Match;
}

/** For nodes that do not serve match expressions: such a job never starts here, rather than anywhere. */
export const MATCHES_NOTHING: Match = { kind: () => false, machine: null, rank: null };

/** What all parts of one node share. */
export interface ControllerContext {
  clock: Clock;
  settings: Settings;
  log: Log;
  http: Requester;
  store: StateStore;
  cloud: Cloud;
  names: NameTables;
  catalog: MachineTypeCatalog;
  /** When the record of a machine went, by the machine's id. */
  removedMachines: Map<string, number>;
  /** Understands match expressions; null where they are not served. */
  matchCompiler: MatchCompiler | null;
  /** Marks this run of the process in every name that must not be used twice. */
  incarnation: string;
}

/** Names are mapped to indices where they enter, and back where they leave. */
export class NameTables {
  readonly teams = new NameTable();
  readonly types = new NameTable();
  readonly zones = new NameTable();
  readonly images = new NameTable();
}

/** Machine types as the cloud last told them; of those that it offers no more, machines may still be there. */
export class MachineTypeCatalog {
  private readonly byIndex = new Map<number, MachineType>();
  private offered = new Set<number>();
  /** Counts what the cloud tells anew. */
  version = 0;
  listedMachines: ListedMachine[] = [];
  listedById = new Map<string, ListedMachine>();

  constructor(private readonly names: NameTables) {}

  get known(): boolean {
    return this.byIndex.size > 0;
  }

  set(types: MachineType[]): void {
    this.version++;
    this.offered = new Set(types.map((t) => this.names.types.index(t.name)));
    for (const t of types) this.byIndex.set(this.names.types.index(t.name), t);
  }

  setListed(machines: ListedMachine[]): void {
    this.listedMachines = machines;
    this.listedById = new Map(machines.map((m) => [m.id, m]));
  }

  get(type: number): MachineType | undefined {
    return this.byIndex.get(type);
  }

  /** The types that are offered. */
  all(): [number, MachineType][] {
    return [...this.byIndex].filter(([type]) => this.offered.has(type));
  }

  /** Every kind of machine that is or was offered: a type, a zone, spot or not. */
  *kinds(): Generator<{ type: number; of: MachineType; zone: string; spot: boolean }> {
    for (const [type, of] of this.byIndex)
      for (const zone of of.zones) for (const spot of [false, true]) yield { type, of, zone, spot };
  }

  size(type: number): Amounts {
    const t = this.byIndex.get(type);
    return t ? { cpus: t.cpus, gpus: t.gpus, memoryGb: t.memoryGb } : { cpus: 0, gpus: 0, memoryGb: 0 };
  }
}
