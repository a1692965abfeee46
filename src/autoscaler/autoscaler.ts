// This package: rents and returns machines, and decides which shards they go to.

import type { RentOption, Shortage } from '../plan/rentalchoice.js';
import type { MachineRecord } from '../schema/schema.js';
import type { Machine } from '../workers/machine.js';
import { MachineRecords } from './machinerecords.js';
import type { AutoscalerOptions } from './options.js';
import { ScaleIn } from './scalein.js';
import { type PendingRental, ScaleOut } from './scaleout.js';

export { kindKey, type PendingRental } from './scaleout.js';

/** Manages a shard's machines: their records, rentals and returns. */
export class Autoscaler {
  /** Machines that are being moved to another shard or returned to the cloud. */
  readonly movingMachines = new Set<string>();
  private readonly records: MachineRecords;
  private readonly scaleOut: ScaleOut;
  private readonly scaleIn: ScaleIn;

  constructor(options: AutoscalerOptions) {
    this.records = new MachineRecords(options);
    this.scaleOut = new ScaleOut(options, this.records);
    this.scaleIn = new ScaleIn(options, this.records, this.movingMachines);
  }

  /** Machines that have been requested from the cloud and are not recorded yet. */
  get rentals(): ReadonlySet<PendingRental> {
    return this.scaleOut.rentals;
  }

  /** Returns whether any machine may be rented at `now`, in monotonic milliseconds. */
  mayRent(now: number): boolean {
    return this.scaleOut.mayRent(now);
  }

  /** Rents machines for tasks that would wait too long, in the order of `shortages`. */
  rentFor(shortages: Shortage[], now: number): void {
    this.scaleOut.rentFor(shortages, now);
  }

  /** Returns the machines that may be rented now; among equal options the shard's own zone comes first. */
  rentOptions(now: number): RentOption[] {
    return this.scaleOut.rentOptions(now);
  }

  /** Writes a machine's record; returns its new version (`MachineRecords.write`). */
  writeRecord(machine: Machine, change: Partial<MachineRecord> = {}): Promise<number> {
    return this.records.write(machine, change);
  }

  /** Resolves once the outcome of a write that gave a machine away is known (`MachineRecords.settle`). */
  settleRecord(machine: Machine): Promise<void> {
    return this.records.settle(machine);
  }

  /** Returns machines to the cloud that are not needed, never came up, stopped reporting or fail all tasks. */
  returnUnneeded(now: number): void {
    this.scaleIn.returnUnneeded(now);
  }

  /** Called when the cloud's list of machines has been read. */
  onMachinesListed(): void {
    this.scaleIn.onMachinesListed();
  }
}
