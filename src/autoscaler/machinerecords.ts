import { pause } from '../clock/clock.js';
import { NotOwnerError } from '../errors/errors.js';
import { KEYS, type MachineRecord, readMachineRecord } from '../schema/schema.js';
import { StateStoreError } from '../state/statestore.js';
import type { Rental } from '../wire/cloud.js';
import type { Machine } from '../workers/machine.js';
import type { AutoscalerOptions } from './options.js';

/** Interval at which the recording of rented machines is retried. */
const RECORD_RETRY_MS = 1000;
/** Interval at which a write with an unknown outcome is retried. */
const SETTLE_RETRY_MS = 1000;
/** Maximum number of machine records per transaction, which keeps it well below the largest request. */
const MAX_TXN_MACHINES = 24;

/** The records of one shard's machines (`c/m/ID`), written on the condition that the owner's key is at its term. */
export class MachineRecords {
  constructor(private readonly options: AutoscalerOptions) {}

  /**
   * Writes a machine's record; returns its new version. Throws `StateStoreError` if the write failed or its outcome
   * is unknown.
   */
  async write(machine: Machine, change: Partial<MachineRecord> = {}): Promise<number> {
    const { context, transactions, hooks, shard } = this.options;
    const key = KEYS.machine(machine.id);
    const value = this.recordOf(machine, change);
    try {
      const result = await transactions.compareAndSwap(
        [{ key, version: machine.version }],
        [{ put: key, value }],
      );
      if (result.ok) return result.revision;
      if (result.ownershipLost) throw hooks.onOwnershipLost();
    } catch (error) {
      if (!(error instanceof StateStoreError) || !error.mayHaveApplied) throw error;
    }
    // A copy of this write that was believed lost may have been applied; the stored record shows whether it was.
    const stored = await context.store.get(key);
    const record = stored && readMachineRecord(stored.value);
    if (
      stored &&
      record &&
      stored.version > machine.version &&
      JSON.stringify(record) === JSON.stringify(value)
    )
      return stored.version;
    if (stored && record?.shard === shard) machine.version = stored.version;
    throw new StateStoreError(`record of ${machine.id} is not decided`, true);
  }

  /**
   * Settles a write that gave a machine away, got no answer and may still be applied. Until the record has a newer
   * version that assigns the machine to this shard, or shows that the write was applied, the machine must hold
   * nothing, because its next owner would know of no task on it.
   */
  async settle(machine: Machine): Promise<void> {
    const { context, hooks, registry } = this.options;
    while (!hooks.isStopped() && registry.machines.get(machine.id) === machine) {
      try {
        const version = await this.write(machine);
        hooks.onRecorded(machine.id, {
          key: KEYS.machine(machine.id),
          value: this.recordOf(machine),
          version,
        });
        return;
      } catch (error) {
        if (error instanceof NotOwnerError) return;
        await pause(context.clock, SETTLE_RETRY_MS);
      }
    }
  }

  /**
   * Records machines that were rented at `requestedAt` (monotonic milliseconds) as this shard's, until each has a
   * record. A write without an answer may have been applied, or may still be applied. Until its outcome is known the
   * rental is pending, so that no replacement is rented, and it does not count as a failure of the cloud. A machine
   * that already has a record belongs to this shard through such a write, or to another shard, because it came up and
   * the leader assigned it.
   */
  async recordRented(ids: readonly string[], rental: Rental, requestedAt: number): Promise<void> {
    const { context, hooks, shard } = this.options;
    const { type, zone, spot } = rental;
    const rentedAt = Math.round(context.clock.wall() - (context.clock.now() - requestedAt));
    const value: MachineRecord = { shard, addr: '', type, zone, spot, state: 'use', rentedAt };
    for (const batch of this.splitIntoTransactions(ids)) {
      let unrecorded = batch;
      while (unrecorded.length > 0 && !hooks.isStopped())
        unrecorded = await this.tryRecordRented(unrecorded, value);
    }
  }

  /** Marks machines durably as leaving, so that no owner ever uses them again; returns the marked machines. */
  async markDecommissioning(machines: readonly Machine[]): Promise<Machine[]> {
    const marked = machines.filter((machine) => machine.decommissioning);
    for (const batch of this.splitIntoTransactions(machines.filter((machine) => !machine.decommissioning))) {
      const version = await this.tryMarkInOneTransaction(batch);
      for (const machine of batch) {
        try {
          // If the machines cannot be marked together, because a record has changed or no answer came, they are
          // marked one by one.
          machine.version = version ?? (await this.write(machine, { state: 'leaving' }));
          machine.decommissioning = true;
          marked.push(machine);
        } catch (error) {
          if (error instanceof NotOwnerError) throw error;
          this.options.log.info({ machine: machine.id, err: error }, 'marking machine as leaving failed');
        }
      }
    }
    return marked;
  }

  /**
   * Deletes the records of machines that no longer exist; a machine whose record could not be deleted returns to the
   * registry.
   */
  async delete(machines: readonly Machine[]): Promise<void> {
    for (const batch of this.splitIntoTransactions(machines))
      if (!(await this.tryDeleteInOneTransaction(batch)))
        for (const machine of batch) await this.keepIfRecorded(machine);
  }

  private recordOf(machine: Machine, change: Partial<MachineRecord> = {}): MachineRecord {
    const { clock, names } = this.options.context;
    const now = clock.now();
    return {
      shard: this.options.shard,
      addr: machine.addr,
      type: names.types.name(machine.type),
      zone: names.zones.name(machine.zone),
      spot: machine.spot,
      state: machine.decommissioning ? 'leaving' : 'use',
      rentedAt: Math.round(clock.wall() - (now - machine.rentedAt)),
      ...change,
    };
  }

  /** Makes one attempt to record machines that have no record; returns those not known to have one afterwards. */
  private async tryRecordRented(ids: string[], value: MachineRecord): Promise<string[]> {
    const { context, transactions, hooks, log } = this.options;
    try {
      const result = await transactions.compareAndSwap(
        ids.map((id) => ({ key: KEYS.machine(id), version: 0 })),
        ids.map((id) => ({ put: KEYS.machine(id), value })),
      );
      if (result.ok) {
        for (const id of ids)
          hooks.onRecorded(id, { key: KEYS.machine(id), value: { ...value }, version: result.revision });
        return [];
      }
      if (result.ownershipLost) {
        hooks.onOwnershipLost();
        return [];
      }
      return ids.filter((id) => !result.failed.includes(KEYS.machine(id)));
    } catch (error) {
      if (!(error instanceof StateStoreError)) throw error;
      log.info({ machines: ids.length, err: error }, 'rented machines not recorded yet');
      await pause(context.clock, RECORD_RETRY_MS);
      return ids;
    }
  }

  /**
   * Marks machines in one transaction; returns the version of their records, or null if it failed or its outcome is
   * unknown.
   */
  private async tryMarkInOneTransaction(machines: readonly Machine[]): Promise<number | null> {
    try {
      const result = await this.options.transactions.compareAndSwap(
        machines.map((machine) => ({ key: KEYS.machine(machine.id), version: machine.version })),
        machines.map((machine) => ({
          put: KEYS.machine(machine.id),
          value: this.recordOf(machine, { state: 'leaving' }),
        })),
      );
      return result.ok ? result.revision : null;
    } catch {
      return null;
    }
  }

  private async tryDeleteInOneTransaction(machines: readonly Machine[]): Promise<boolean> {
    try {
      const result = await this.options.transactions.compareAndSwap(
        machines.map((machine) => ({ key: KEYS.machine(machine.id), version: machine.version })),
        machines.map((machine) => ({ delete: KEYS.machine(machine.id) })),
      );
      return result.ok;
    } catch (error) {
      this.options.log.debug({ err: error }, 'deleting machine records failed');
      return false;
    }
  }

  private async keepIfRecorded(machine: Machine): Promise<void> {
    const { context, registry } = this.options;
    const stored = await context.store.get(KEYS.machine(machine.id)).catch(() => undefined);
    if (stored === null) return;
    // The record still exists, so the machine is returned to the cloud again, which does no harm.
    registry.machines.set(machine.id, {
      ...machine,
      version: stored?.version ?? machine.version,
      decommissioning: true,
    });
  }

  private splitIntoTransactions<T>(items: readonly T[]): T[][] {
    const { txnOps } = this.options.context.settings.stateLimits;
    const perTransaction = Math.max(1, Math.min(txnOps, MAX_TXN_MACHINES));
    const batches: T[][] = [];
    for (let i = 0; i < items.length; i += perTransaction) batches.push(items.slice(i, i + perTransaction));
    return batches;
  }
}
