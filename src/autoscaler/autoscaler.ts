// This package: machines: renting and returning them, and which shard they go to.

import { pause } from '../clock/clock.js';
import { CloudError } from '../cloud/cloud.js';
import type { Log } from '../config/log.js';
import { maxMachinesPerShard } from '../config/settings.js';
import type { ControllerContext } from '../context/context.js';
import { NotOwnerError } from '../errors/errors.js';
import { type Amounts, fitCount } from '../plan/capacityprofile.js';
import { MAX_RESERVED_TASKS } from '../plan/plan.js';
import { chooseRentals, type RentOption, type Shortage } from '../plan/rentalchoice.js';
import { KEYS, type MachineRecord, readMachineRecord } from '../schema/schema.js';
import { StateStoreError } from '../state/statestore.js';
import { RELEASE_LIMIT, RENT_LIMIT, type Rental } from '../wire/cloud.js';
import type { Condition, Entry } from '../wire/state.js';
import { MAX_CONSECUTIVE_ERRORS, type Machine } from '../workers/machine.js';
import type { MachineRegistry } from '../workers/machineregistry.js';

/** An idle machine is kept for long where nearly all tasks must start sooner than it boots, for some time where many. */
const KEEP_LONG_MS = 180_000;
const KEEP_SOME_MS = 30_000;
const NEARLY_ALL = 0.95;
const KEEP_SHORT_MS = 15_000;
/** An idle machine is kept for a class when a place on it costs no more than so many times the cheapest. */
const KEPT_COST = 1.5;
/** Or when its tasks take so much of it: smaller ones find room beside others, and need no machine of their own. */
const KEPT_TASKS = 8;
/** A deleted machine costs at least so much time, so giving it back earlier saves nothing. */
const MIN_CHARGE_MS = 55_000;
/** A kind of machine that is not to be had is asked for again after this, and after twice as long each time. */
const NO_CAPACITY_MS = 15_000;
const NO_CAPACITY_MOST_MS = 30_000;
/** All shards asking for all kinds that are not to be had take no more than this of the cloud's rate. */
const PROBING_SHARE = 0.2;
/** While the cloud fails, one rental at a time is tried, at growing intervals. */
const CLOUD_PAUSE_MS = 1000;
const CLOUD_PAUSE_MOST_MS = 2500;
/**
 * A machine that is not up after so many boot times mostly never comes. It is given back, so that the place it takes in
 * a small fleet can be rented anew.
 */
const OVERDUE_BOOTS = 2.5;
const SILENT_RETURN_MS = 120_000;
/** Rented machines that could not be recorded are tried again after this. */
const ENTER_AGAIN_MS = 1000;
/** Records of machines that go into one transaction, so that it stays well below the largest request. */
const TXN_MACHINES = 24;
const MAX_PENDING_RENTALS = 6;

export interface PendingRental {
  option: RentOption;
  count: number;
  at: number;
}

export interface SupplyHooks {
  stopped(): boolean;
  /** Whether a machine is empty, and nothing is booked on it or promised of it. */
  spare(m: Machine): boolean;
  /** A machine's record has been written. */
  recorded(id: string, entry: Entry): void;
  lostOwnership(): Error;
  uniqueName(kind: string): string;
  /** What a task of a class takes, as far as the shard has had one. */
  needOf(jobClass: string): Amounts | null;
  /** Whether it has had no job yet, so that any class may be the first. */
  sawNothing(): boolean;
  requestPlan(): void;
}

/** A shard's machines come and go here: their records, rentals, and what is given back. */
export class Autoscaler {
  /** Machines that are being given to another shard or back to the cloud. */
  readonly moving = new Set<string>();
  readonly rentals = new Set<PendingRental>();
  private readonly blocked = new Map<string, { until: number; pause: number }>();
  private cloudPause = { until: 0, pause: 0 };
  private readonly claimedAt: number;

  constructor(
    private readonly context: ControllerContext,
    private readonly index: number,
    private readonly term: number,
    private readonly registry: MachineRegistry,
    private readonly log: Log,
    private readonly hooks: SupplyHooks,
  ) {
    this.claimedAt = context.clock.now();
  }

  private get owned(): Condition {
    return { key: KEYS.owner(this.index), version: this.term };
  }

  /** Whether anything could be rented now. */
  mayRent(now: number): boolean {
    return (
      this.rentals.size < MAX_PENDING_RENTALS &&
      now >= this.cloudPause.until &&
      this.registry.machines.size < maxMachinesPerShard(this.context.settings.limits.maxSockets) &&
      this.options(now).length > 0
    );
  }

  /** Rents for tasks that would wait too long, the first shortage first. */
  order(short: Shortage[], now: number): void {
    const places = MAX_PENDING_RENTALS - this.rentals.size;
    if (short.length === 0 || places <= 0 || now < this.cloudPause.until) return;
    // A shard has no more machines than its owner has connections for.
    let room = maxMachinesPerShard(this.context.settings.limits.maxSockets) - this.registry.machines.size;
    for (const r of this.rentals) room -= r.count;
    const wanted = [];
    for (const w of chooseRentals(short, this.options(now), RENT_LIMIT).slice(0, places)) {
      const count = Math.min(w.count, room);
      if (count <= 0) break;
      room -= count;
      wanted.push({ option: w.option, count });
    }
    for (const w of wanted) void this.rent(w.option, w.count);
    if (wanted.length > 0) this.hooks.requestPlan();
  }

  private record(m: Machine, change: Partial<MachineRecord> = {}): MachineRecord {
    const now = this.context.clock.now();
    return {
      shard: this.index,
      addr: m.addr,
      type: this.context.names.types.name(m.type),
      zone: this.context.names.zones.name(m.zone),
      spot: m.spot,
      state: m.decommissioning ? 'leaving' : 'use',
      rentedAt: Math.round(this.context.clock.wall() - (now - m.rentedAt)),
      ...change,
    };
  }

  /** Writes a machine's record; returns its new version. */
  async writeRecord(m: Machine, change: Partial<MachineRecord> = {}): Promise<number> {
    const key = KEYS.machine(m.id);
    const value = this.record(m, change);
    try {
      const result = await this.context.store.compareAndSwap(
        [this.owned, { key, version: m.version }],
        [{ put: key, value }],
      );
      if (result.ok) return result.revision;
      if (result.failed.includes(this.owned.key)) throw this.hooks.lostOwnership();
    } catch (error) {
      if (!(error instanceof StateStoreError) || !error.mayHaveApplied) throw error;
    }
    // Another copy of this write, thought lost, may have been made: the record tells.
    const stored = await this.context.store.get(key);
    const r = stored && readMachineRecord(stored.value);
    if (stored && r && stored.version > m.version && JSON.stringify(r) === JSON.stringify(value))
      return stored.version;
    if (stored && r?.shard === this.index) m.version = stored.version;
    throw new StateStoreError(`record of ${m.id} is not decided`, true);
  }

  /**
   * A write that gave a machine away got no answer and may yet be made. Until the record has a newer version of this
   * shard's, or shows that it was made, the machine must hold nothing: its next owner would know of no task on it.
   */
  async settleRecord(m: Machine): Promise<void> {
    while (!this.hooks.stopped() && this.registry.machines.get(m.id) === m) {
      try {
        const version = await this.writeRecord(m);
        this.hooks.recorded(m.id, { key: KEYS.machine(m.id), value: this.record(m), version });
        return;
      } catch (error) {
        if (error instanceof NotOwnerError) return;
        await pause(this.context.clock, 1000);
      }
    }
  }

  /** What may be rented now, the shard's own zone first among equals. */
  options(now: number): RentOption[] {
    const out: RentOption[] = [];
    for (const [type, t] of this.context.catalog.all()) {
      // Among equals its own zone comes first: a cut between zones does not part the shard from it.
      const zones = [...t.zones].sort(
        (a, b) => Number(b === this.context.settings.zone) - Number(a === this.context.settings.zone),
      );
      for (const z of zones) {
        const zone = this.context.names.zones.index(z);
        for (const spot of [true, false]) {
          if (spot && t.spotPrice <= 0) continue;
          if ((this.blocked.get(kindKey(type, zone, spot))?.until ?? 0) > now) continue;
          const size = { cpus: t.cpus, gpus: t.gpus, memoryGb: t.memoryGb };
          out.push({ type, zone, spot, size, price: spot ? t.spotPrice : t.price, bootS: t.bootS });
        }
      }
    }
    return out;
  }

  private async rent(option: RentOption, count: number): Promise<void> {
    const names = this.context.names;
    const pending: PendingRental = { option, count, at: this.context.clock.now() };
    const request = {
      request: this.hooks.uniqueName('r'),
      type: names.types.name(option.type),
      zone: names.zones.name(option.zone),
      spot: option.spot,
      count,
    };
    this.rentals.add(pending);
    const key = kindKey(option.type, option.zone, option.spot);
    try {
      const rented = await this.rentFrom(request);
      if (rented === 'failed') return;
      this.noteCapacity(key, rented?.length === count);
      this.log[rented ? 'info' : 'debug']({ ...request, rented }, 'rental');
      if (rented) await this.enter(rented, request, pending.at);
    } finally {
      this.rentals.delete(pending);
      this.hooks.requestPlan();
    }
  }

  /** What the cloud rents; null when it has none of them. A request without an answer is repeated, since it may have been executed. */
  private async rentFrom(request: Rental): Promise<string[] | null | 'failed'> {
    while (!this.hooks.stopped()) {
      try {
        const rented = await this.context.cloud.rent(request);
        this.cloudPause = { until: 0, pause: 0 };
        return rented;
      } catch (error) {
        this.log.info({ ...request, err: error }, 'rental failed');
        const wait = Math.min(CLOUD_PAUSE_MOST_MS, Math.max(CLOUD_PAUSE_MS, this.cloudPause.pause * 2));
        this.cloudPause = { until: this.context.clock.now() + wait, pause: wait };
        await pause(this.context.clock, wait);
        // After an outage, what was wanted is planned anew; the same request is only repeated while it may have worked.
        if (!(error instanceof CloudError) || !error.mayHaveApplied) break;
      }
    }
    return 'failed';
  }

  private noteCapacity(key: string, plenty: boolean): void {
    if (plenty) {
      this.blocked.delete(key);
      return;
    }
    const { rps } = this.context.settings.cloudLimits;
    const kinds = this.context.catalog.all().reduce((sum, [, t]) => sum + 2 * t.zones.length, 0);
    const most = (kinds * this.context.settings.nodes * 1000) / Math.max(0.1, rps * PROBING_SHARE);
    const pause = Math.min(
      Math.max(NO_CAPACITY_MOST_MS, most),
      (this.blocked.get(key)?.pause ?? NO_CAPACITY_MS / 2) * 2,
    );
    this.blocked.set(key, { until: this.context.clock.now() + pause, pause });
  }

  /**
   * Records rented machines as this shard's, until each has a record. A write without an answer may have been made, or be made
   * later; until that is known the rental is pending, so that nothing is rented in its place, and is no failure of the cloud. A
   * machine that has a record already is this shard's by such a write, or another's: it was up, and the leader dealt it out.
   */
  private async enter(ids: string[], r: Omit<Rental, 'request' | 'count'>, at: number): Promise<void> {
    const { type, zone, spot } = r;
    const rentedAt = Math.round(this.context.clock.wall() - (this.context.clock.now() - at));
    const value: MachineRecord = { shard: this.index, addr: '', type, zone, spot, state: 'use', rentedAt };
    for (const part of this.inTxns(ids)) {
      let left = part;
      while (left.length > 0 && !this.hooks.stopped()) left = await this.enterSome(left, value);
    }
  }

  /** One try to record machines that have no record; returns those that still have none, as far as is known. */
  private async enterSome(ids: string[], value: MachineRecord): Promise<string[]> {
    try {
      const result = await this.context.store.compareAndSwap(
        [this.owned, ...ids.map((id) => ({ key: KEYS.machine(id), version: 0 }))],
        ids.map((id) => ({ put: KEYS.machine(id), value })),
      );
      if (result.ok) {
        for (const id of ids)
          this.hooks.recorded(id, { key: KEYS.machine(id), value: { ...value }, version: result.revision });
        return [];
      }
      if (result.failed.includes(this.owned.key)) {
        this.hooks.lostOwnership();
        return [];
      }
      return ids.filter((id) => !result.failed.includes(KEYS.machine(id)));
    } catch (error) {
      if (!(error instanceof StateStoreError)) throw error;
      this.log.info({ machines: ids.length, err: error }, 'rented machines not recorded yet');
      await pause(this.context.clock, ENTER_AGAIN_MS);
      return ids;
    }
  }

  /** Gives back what nobody needs, never came up, has gone silent or fails all tasks. */
  returnIdle(now: number): void {
    const due: Machine[] = [];
    for (const m of this.registry.machines.values()) {
      if (this.moving.has(m.id)) continue;
      const type = this.context.catalog.get(m.type);
      const idle =
        this.hooks.spare(m) &&
        m.idleSince !== null &&
        now - m.idleSince > this.keepMs(m) &&
        now - m.rentedAt > MIN_CHARGE_MS;
      const never =
        m.lastHeartbeatAt === null &&
        !m.mayHoldUnreportedTasks &&
        type !== undefined &&
        now - m.rentedAt > type.bootS * OVERDUE_BOOTS * 1000 + 5000 &&
        now - this.claimedAt > 10_000;
      const silent = m.leaseExpired && now - this.registry.leaseEnd(m) > SILENT_RETURN_MS;
      const sick = m.consecutiveErrors >= MAX_CONSECUTIVE_ERRORS && m.attempts.size === 0 && m.reconciled;
      if (m.decommissioning || idle || never || silent || sick) due.push(m);
    }
    if (due.length > 0) void this.giveBack(due.slice(0, RELEASE_LIMIT));
  }

  /**
   * Where tasks are expected to start sooner than a machine boots, idle machines are what makes it possible: all of
   * them where nearly every task must, and for about a boot where many may miss it. A class of small tasks keeps only
   * machines that are among the cheapest for them.
   */
  private keepMs(m: Machine): number {
    const bootS = this.context.catalog.get(m.type)?.bootS ?? 0;
    const hasty = this.context.settings.objectives.filter(
      (o) =>
        o.kind !== 'finished' &&
        o.withinS !== null &&
        o.withinS < bootS * 1.5 &&
        (o.class === null || this.suits(m, o.class)),
    );
    if (hasty.length === 0) return KEEP_SHORT_MS;
    return hasty.some((o) => (o.share ?? 1) >= NEARLY_ALL) ? KEEP_LONG_MS : KEEP_SOME_MS;
  }

  private suits(m: Machine, jobClass: string): boolean {
    const need = this.hooks.needOf(jobClass);
    if (!need) return this.hooks.sawNothing();
    const size = this.context.catalog.size(m.type);
    if (fitCount(size, need, 1) > 0 && fitCount(size, need, KEPT_TASKS) < KEPT_TASKS) return true;
    const costs = this.context.catalog
      .all()
      .map(([type, t]) => ({ type, cost: t.price / fitCount(t, need, MAX_RESERVED_TASKS) }));
    const least = Math.min(...costs.map((c) => c.cost));
    return costs.some((c) => c.type === m.type && c.cost <= least * KEPT_COST);
  }

  /** Gives machines back: marked durably first, so that no owner ever uses them again. */
  private async giveBack(machines: Machine[]): Promise<void> {
    for (const m of machines) this.moving.add(m.id);
    try {
      const marked = await this.markLeaving(machines);
      if (marked.length === 0) return;
      await this.context.cloud.release(marked.map((m) => m.id));
      this.log.info({ machines: marked.map((m) => m.id) }, 'machines returned');
      await this.forget(marked);
    } catch (error) {
      this.log.info({ machines: machines.length, err: error }, 'returning failed');
      await pause(this.context.clock, 3000);
    } finally {
      for (const m of machines) this.moving.delete(m.id);
    }
  }

  /** The machines that are durably marked as leaving. */
  private async markLeaving(machines: Machine[]): Promise<Machine[]> {
    const marked = machines.filter((m) => m.decommissioning);
    for (const part of this.inTxns(machines.filter((m) => !m.decommissioning))) {
      const version = await this.markTogether(part);
      for (const m of part) {
        try {
          // What cannot be marked together, since one record has changed or no answer came, is marked one by one.
          m.version = version ?? (await this.writeRecord(m, { state: 'leaving' }));
          m.decommissioning = true;
          marked.push(m);
        } catch (error) {
          if (error instanceof NotOwnerError) throw error;
          this.log.info({ machine: m.id, err: error }, 'marking failed');
        }
      }
    }
    return marked;
  }

  private async markTogether(machines: Machine[]): Promise<number | null> {
    try {
      const result = await this.context.store.compareAndSwap(
        [this.owned, ...machines.map((m) => ({ key: KEYS.machine(m.id), version: m.version }))],
        machines.map((m) => ({ put: KEYS.machine(m.id), value: this.record(m, { state: 'leaving' }) })),
      );
      return result.ok ? result.revision : null;
    } catch {
      return null;
    }
  }

  private inTxns<T>(items: T[]): T[][] {
    const per = Math.max(1, Math.min(this.context.settings.stateLimits.txnOps, TXN_MACHINES));
    const parts: T[][] = [];
    for (let i = 0; i < items.length; i += per) parts.push(items.slice(i, i + per));
    return parts;
  }

  /** The machines are surely no more. */
  private async forget(machines: Machine[]): Promise<void> {
    for (const m of machines) this.registry.remove(m);
    for (const part of this.inTxns(machines)) {
      let unsure = part;
      try {
        const result = await this.context.store.compareAndSwap(
          [this.owned, ...part.map((m) => ({ key: KEYS.machine(m.id), version: m.version }))],
          part.map((m) => ({ delete: KEYS.machine(m.id) })),
        );
        if (result.ok) unsure = [];
      } catch (error) {
        this.log.debug({ err: error }, 'deleting machine records failed');
      }
      for (const m of unsure) {
        const stored = await this.context.store.get(KEYS.machine(m.id)).catch(() => undefined);
        if (stored === null) continue;
        // Its record stays for now: it is given back once more, which does no harm.
        this.registry.machines.set(m.id, {
          ...m,
          version: stored?.version ?? m.version,
          decommissioning: true,
        });
      }
    }
  }

  private absentSince = new Map<string, number>();

  /** Compares the machines with the cloud's list, which is late and may be older than the one before. */
  listed(): void {
    const now = this.context.clock.now();
    const byId = this.context.catalog.listedById;
    const patience = Math.max(15_000, this.context.settings.cloudLimits.listLagS * 4000);
    for (const m of this.registry.machines.values()) {
      const l = byId.get(m.id);
      if (l) {
        this.absentSince.delete(m.id);
        if (!m.addr && l.addr) m.addr = l.addr;
        if (l.state === 'failed' && !this.moving.has(m.id)) {
          this.log.info({ machine: m.id }, 'machine failed');
          void this.giveBack([m]);
        }
        continue;
      }
      const since = this.absentSince.get(m.id) ?? now;
      this.absentSince.set(m.id, since);
      const quiet = m.lastHeartbeatAt === null ? now - m.rentedAt > 60_000 : m.leaseExpired;
      if (quiet && now - since > patience && !this.moving.has(m.id)) void this.giveBack([m]);
    }
    for (const id of this.absentSince.keys())
      if (!this.registry.machines.has(id)) this.absentSince.delete(id);
  }
}

/** Names a kind of machine: type, zone, and whether it is a spot one. */
export function kindKey(type: number, zone: number, spot: boolean): string {
  return `${type}/${zone}/${spot}`;
}
