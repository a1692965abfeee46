import type { Amounts } from '../plan/capacityprofile.js';
import type { ListedMachine, MachineType } from '../wire/cloud.js';
import type { NameTables } from './nametables.js';

/** A kind of machine: a type, by its index and description, in a zone, spot or not. */
export interface MachineKind {
  readonly type: number;
  readonly of: MachineType;
  readonly zone: string;
  readonly spot: boolean;
}

/**
 * Machine types and machines as the cloud last listed them. Types that it offers no more stay known: machines of them may
 * still be there.
 */
export class MachineTypeCatalog {
  private readonly byIndex = new Map<number, MachineType>();
  /** Indices of the types that are offered. */
  private offered = new Set<number>();
  /** Counts the lists of types: what was derived from the types holds as long as it is the same. */
  version = 0;
  /** The cloud's last list of machines. */
  listedMachines: ListedMachine[] = [];
  /** The same by the machines' ids. */
  listedById = new Map<string, ListedMachine>();

  constructor(private readonly names: NameTables) {}

  /** Whether any type is known. */
  get known(): boolean {
    return this.byIndex.size > 0;
  }

  /** Takes the types that the cloud offers now. */
  set(types: MachineType[]): void {
    this.version++;
    this.offered = new Set(types.map((t) => this.names.types.index(t.name)));
    for (const t of types) this.byIndex.set(this.names.types.index(t.name), t);
  }

  /** Takes the cloud's list of machines. */
  setListed(machines: ListedMachine[]): void {
    this.listedMachines = machines;
    this.listedById = new Map(machines.map((m) => [m.id, m]));
  }

  /** A type by its index, offered or not. */
  get(type: number): MachineType | undefined {
    return this.byIndex.get(type);
  }

  /** The types that are offered, with their indices. */
  all(): [number, MachineType][] {
    return [...this.byIndex].filter(([type]) => this.offered.has(type));
  }

  /** Every kind of machine that is or was offered. */
  *kinds(): Generator<MachineKind> {
    for (const [type, of] of this.byIndex)
      for (const zone of of.zones) for (const spot of [false, true]) yield { type, of, zone, spot };
  }

  /** What a machine of a type has; nothing when the type is not known. */
  size(type: number): Amounts {
    const t = this.byIndex.get(type);
    return t ? { cpus: t.cpus, gpus: t.gpus, memoryGb: t.memoryGb } : { cpus: 0, gpus: 0, memoryGb: 0 };
  }
}
