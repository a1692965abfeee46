// This package: machines: renting and returning them, and which shard they go to.

import type { RentOption, Shortage } from '../plan/rentalchoice.js';
import type { MachineRecord } from '../schema/schema.js';
import type { Machine } from '../workers/machine.js';
import { MachineRecords } from './machinerecords.js';
import type { AutoscalerOptions } from './options.js';
import { ScaleIn } from './scalein.js';
import { type PendingRental, ScaleOut } from './scaleout.js';

export { kindKey, type PendingRental } from './scaleout.js';

/** A shard's machines come and go here: their records, rentals, and what is returned. */
export class Autoscaler {
  /** Machines that are being given to another shard or back to the cloud. */
  readonly moving = new Set<string>();
  private readonly records: MachineRecords;
  private readonly scaleOut: ScaleOut;
  private readonly scaleIn: ScaleIn;

  constructor(options: AutoscalerOptions) {
    this.records = new MachineRecords(options);
    this.scaleOut = new ScaleOut(options, this.records);
    this.scaleIn = new ScaleIn(options, this.records, this.moving);
  }

  /** Machines that have been asked for and are not recorded yet. */
  get rentals(): ReadonlySet<PendingRental> {
    return this.scaleOut.rentals;
  }

  /** Whether anything could be rented now (steady milliseconds). */
  mayRent(now: number): boolean {
    return this.scaleOut.mayRent(now);
  }

  /** Rents for tasks that would wait too long, the first shortage first. */
  rentFor(shortages: Shortage[], now: number): void {
    this.scaleOut.rentFor(shortages, now);
  }

  /** What may be rented now, the shard's own zone first among equals. */
  rentOptions(now: number): RentOption[] {
    return this.scaleOut.rentOptions(now);
  }

  /** Writes a machine's record; returns its new version (`MachineRecords.write`). */
  writeRecord(m: Machine, change: Partial<MachineRecord> = {}): Promise<number> {
    return this.records.write(m, change);
  }

  /** Resolves once it is decided whether a write that gave a machine away was made (`MachineRecords.settle`). */
  settleRecord(m: Machine): Promise<void> {
    return this.records.settle(m);
  }

  /** Returns what nobody needs, never came up, has gone silent or fails all tasks. */
  returnIdle(now: number): void {
    this.scaleIn.returnIdle(now);
  }

  /** The cloud's list of machines has been read. */
  onMachinesListed(): void {
    this.scaleIn.onMachinesListed();
  }
}
