import { pause } from '../clock/clock.js';
import { NotOwnerError } from '../errors/errors.js';
import { KEYS, type MachineRecord, readMachineRecord } from '../schema/schema.js';
import { StateStoreError } from '../state/statestore.js';
import type { Rental } from '../wire/cloud.js';
import type { Condition } from '../wire/state.js';
import type { Machine } from '../workers/machine.js';
import type { AutoscalerOptions } from './options.js';

/** Rented machines that could not be recorded are tried again after this. */
const RECORD_RETRY_MS = 1000;
/** A record whose write is not decided is written anew after this. */
const SETTLE_RETRY_MS = 1000;
/** Records of machines that go into one transaction, so that it stays well below the largest request. */
const MAX_TXN_MACHINES = 24;

/** The records of one shard's machines (`c/m/ID`), written under the condition that the owner's key is at its term. */
export class MachineRecords {
  private readonly ownerCondition: Condition;

  constructor(private readonly options: AutoscalerOptions) {
    this.ownerCondition = { key: KEYS.owner(options.shard), version: options.term };
  }

  /** Writes a machine's record; returns its new version. Throws `StateStoreError` when it failed or is not decided. */
  async write(m: Machine, change: Partial<MachineRecord> = {}): Promise<number> {
    const { context, hooks, shard } = this.options;
    const key = KEYS.machine(m.id);
    const value = this.recordOf(m, change);
    try {
      const result = await context.store.compareAndSwap(
        [this.ownerCondition, { key, version: m.version }],
        [{ put: key, value }],
      );
      if (result.ok) return result.revision;
      if (result.failed.includes(this.ownerCondition.key)) throw hooks.lostOwnership();
    } catch (error) {
      if (!(error instanceof StateStoreError) || !error.mayHaveApplied) throw error;
    }
    // Another copy of this write, thought lost, may have been made: the record tells.
    const stored = await context.store.get(key);
    const record = stored && readMachineRecord(stored.value);
    if (stored && record && stored.version > m.version && JSON.stringify(record) === JSON.stringify(value))
      return stored.version;
    if (stored && record?.shard === shard) m.version = stored.version;
    throw new StateStoreError(`record of ${m.id} is not decided`, true);
  }

  /**
   * A write that gave a machine away got no answer and may yet be made. Until the record has a newer version of this
   * shard's, or shows that it was made, the machine must hold nothing: its next owner would know of no task on it.
   */
  async settle(m: Machine): Promise<void> {
    const { context, hooks, registry } = this.options;
    while (!hooks.stopped() && registry.machines.get(m.id) === m) {
      try {
        const version = await this.write(m);
        hooks.recorded(m.id, { key: KEYS.machine(m.id), value: this.recordOf(m), version });
        return;
      } catch (error) {
        if (error instanceof NotOwnerError) return;
        await pause(context.clock, SETTLE_RETRY_MS);
      }
    }
  }

  /**
   * Records machines that were rented at `at` (steady milliseconds) as this shard's, until each has a record. A write without
   * an answer may have been made, or be made later; until that is known the rental is pending, so that nothing is rented in
   * its place, and is no failure of the cloud. A machine that has a record already is this shard's by such a write, or
   * another's: it was up, and the leader assigned it.
   */
  async recordRented(ids: readonly string[], rental: Rental, at: number): Promise<void> {
    const { context, hooks, shard } = this.options;
    const { type, zone, spot } = rental;
    const rentedAt = Math.round(context.clock.wall() - (context.clock.now() - at));
    const value: MachineRecord = { shard, addr: '', type, zone, spot, state: 'use', rentedAt };
    for (const part of this.inTransactions(ids)) {
      let unrecorded = part;
      while (unrecorded.length > 0 && !hooks.stopped())
        unrecorded = await this.tryRecordRented(unrecorded, value);
    }
  }

  /** Marks machines durably as leaving, so that no owner ever uses them again; returns those that are marked. */
  async markDecommissioning(machines: readonly Machine[]): Promise<Machine[]> {
    const marked = machines.filter((m) => m.decommissioning);
    for (const part of this.inTransactions(machines.filter((m) => !m.decommissioning))) {
      const version = await this.tryMarkTogether(part);
      for (const m of part) {
        try {
          // What cannot be marked together, since one record has changed or no answer came, is marked one by one.
          m.version = version ?? (await this.write(m, { state: 'leaving' }));
          m.decommissioning = true;
          marked.push(m);
        } catch (error) {
          if (error instanceof NotOwnerError) throw error;
          this.options.log.info({ machine: m.id, err: error }, 'marking machine as leaving failed');
        }
      }
    }
    return marked;
  }

  /** Deletes the records of machines that are surely no more; one whose record stays goes back into the registry. */
  async delete(machines: readonly Machine[]): Promise<void> {
    for (const part of this.inTransactions(machines))
      if (!(await this.tryDeleteTogether(part))) for (const m of part) await this.keepIfRecorded(m);
  }

  private recordOf(m: Machine, change: Partial<MachineRecord> = {}): MachineRecord {
    const { clock, names } = this.options.context;
    const now = clock.now();
    return {
      shard: this.options.shard,
      addr: m.addr,
      type: names.types.name(m.type),
      zone: names.zones.name(m.zone),
      spot: m.spot,
      state: m.decommissioning ? 'leaving' : 'use',
      rentedAt: Math.round(clock.wall() - (now - m.rentedAt)),
      ...change,
    };
  }

  /** One try to record machines that have no record; returns those that still have none, as far as is known. */
  private async tryRecordRented(ids: string[], value: MachineRecord): Promise<string[]> {
    const { context, hooks, log } = this.options;
    try {
      const result = await context.store.compareAndSwap(
        [this.ownerCondition, ...ids.map((id) => ({ key: KEYS.machine(id), version: 0 }))],
        ids.map((id) => ({ put: KEYS.machine(id), value })),
      );
      if (result.ok) {
        for (const id of ids)
          hooks.recorded(id, { key: KEYS.machine(id), value: { ...value }, version: result.revision });
        return [];
      }
      if (result.failed.includes(this.ownerCondition.key)) {
        hooks.lostOwnership();
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

  /** The version of all records that were marked in one transaction; null when it failed or is not known. */
  private async tryMarkTogether(machines: readonly Machine[]): Promise<number | null> {
    try {
      const result = await this.options.context.store.compareAndSwap(
        [this.ownerCondition, ...machines.map((m) => ({ key: KEYS.machine(m.id), version: m.version }))],
        machines.map((m) => ({ put: KEYS.machine(m.id), value: this.recordOf(m, { state: 'leaving' }) })),
      );
      return result.ok ? result.revision : null;
    } catch {
      return null;
    }
  }

  private async tryDeleteTogether(machines: readonly Machine[]): Promise<boolean> {
    try {
      const result = await this.options.context.store.compareAndSwap(
        [this.ownerCondition, ...machines.map((m) => ({ key: KEYS.machine(m.id), version: m.version }))],
        machines.map((m) => ({ delete: KEYS.machine(m.id) })),
      );
      return result.ok;
    } catch (error) {
      this.options.log.debug({ err: error }, 'deleting machine records failed');
      return false;
    }
  }

  private async keepIfRecorded(m: Machine): Promise<void> {
    const { context, registry } = this.options;
    const stored = await context.store.get(KEYS.machine(m.id)).catch(() => undefined);
    if (stored === null) return;
    // Its record stays for now: it is returned once more, which does no harm.
    registry.machines.set(m.id, { ...m, version: stored?.version ?? m.version, decommissioning: true });
  }

  private inTransactions<T>(items: readonly T[]): T[][] {
    const { txnOps } = this.options.context.settings.stateLimits;
    const perTransaction = Math.max(1, Math.min(txnOps, MAX_TXN_MACHINES));
    const parts: T[][] = [];
    for (let i = 0; i < items.length; i += perTransaction) parts.push(items.slice(i, i + perTransaction));
    return parts;
  }
}
