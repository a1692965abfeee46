import type { Amounts } from '../plan/capacityprofile.js';
import type { ListedMachine, MachineType } from '../wire/cloud.js';
import type { NameTables } from './nametables.js';

/** A kind of machine: a type, by index and description, in a zone, spot or not. */
export interface MachineKind {
  readonly type: number;
  readonly machineType: MachineType;
  readonly zone: string;
  readonly spot: boolean;
}

/**
 * The machine types and machines that the cloud last listed. Types that it no longer offers stay known, because
 * machines of them may still exist.
 */
export class MachineTypeCatalog {
  private readonly byIndex = new Map<number, MachineType>();
  /** Indices of the types that the cloud offers. */
  private offered = new Set<number>();
  /** Incremented with each list of types; data derived from the types stays valid while it is unchanged. */
  version = 0;
  /** The machines that the cloud last listed. */
  listedMachines: ListedMachine[] = [];
  /** The listed machines, by id. */
  listedById = new Map<string, ListedMachine>();

  constructor(private readonly names: NameTables) {}

  /** Whether any machine type is known. */
  get hasTypes(): boolean {
    return this.byIndex.size > 0;
  }

  /** Sets the types that the cloud currently offers. */
  set(types: MachineType[]): void {
    this.version++;
    this.offered = new Set(types.map((machineType) => this.names.types.index(machineType.name)));
    for (const machineType of types) this.byIndex.set(this.names.types.index(machineType.name), machineType);
  }

  /** Sets the machines that the cloud lists. */
  setListed(machines: ListedMachine[]): void {
    this.listedMachines = machines;
    this.listedById = new Map(machines.map((m) => [m.id, m]));
  }

  /** Returns a type by its index, whether or not it is still offered. */
  get(type: number): MachineType | undefined {
    return this.byIndex.get(type);
  }

  /** Returns the offered types with their indices. */
  offeredTypes(): [number, MachineType][] {
    return [...this.byIndex].filter(([type]) => this.offered.has(type));
  }

  /** Iterates over every kind of machine that is or was offered. */
  *kinds(): Generator<MachineKind> {
    for (const [type, of] of this.byIndex)
      for (const zone of of.zones)
        for (const spot of [false, true]) yield { type, machineType: of, zone, spot };
  }

  /** Returns the resources of a machine of a type; zero amounts if the type is unknown. */
  size(type: number): Amounts {
    const machineType = this.byIndex.get(type);
    return machineType
      ? { cpus: machineType.cpus, gpus: machineType.gpus, memoryGb: machineType.memoryGb }
      : { cpus: 0, gpus: 0, memoryGb: 0 };
  }
}
