import type { Clock, Timer } from '../clock/clock.js';
import type { ListedMachine, MachineType, Rental } from '../wire/cloud.js';
import type { MachineInventory } from './cloud.js';
import type { Random } from './random.js';
import type { MachineIdentity } from './worker.js';

/** Number of machines of one type in one zone. */
export interface Capacity {
  type: string;
  zone: string;
  /** Maximum number of on-demand machines rented at the same time; `spot` is that of spot machines. */
  count: number;
  spot: number;
  /** Number of on-demand machines that are up from the start. */
  up: number;
}

/** Machines that the emulated cloud offers, and its faults. */
export interface MarketOptions {
  types: MachineType[];
  capacity: Capacity[];
  listLagS: number;
  /** Fraction of the machines that never come up. */
  bootFailureShare: number;
  /** Mean number of reclaims per spot machine and hour; `noticeS` is the mean notice, which most of them get. */
  spotReclaimsPerHour: number;
  noticeS: number;
}

/** Callbacks by which the emulated cloud reports machine events to the cluster. */
export interface MarketHooks {
  address(n: number): string;
  up(identity: MachineIdentity): void;
  notice(id: string, seconds: number): void;
  /** A machine was removed, with everything on it. */
  gone(id: string): void;
}

interface RentedMachine extends MachineIdentity {
  rentedAt: number;
  bootedAt: number;
  removedAt: number;
  timers: Timer[];
}

const NO_NOTICE_SHARE = 0.15;
const REMOVED_RETENTION_MS = 120_000;
const SLOW_BOOT_SHARE = 0.04;

/** Machine pool of the emulated cloud: limited capacity, varying boot times, a list that lags, and spot reclaims. */
export class Market implements MachineInventory {
  readonly machines = new Map<string, RentedMachine>();
  /** Cost of all rented machines so far. */
  spent = 0;
  /** While set, every rental fails for lack of capacity. */
  rejectRentals = false;
  machinesCreated = 0;
  private chargedAt: number;

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly options: MarketOptions,
    private readonly hooks: MarketHooks,
  ) {
    this.chargedAt = clock.now();
  }

  types(): MachineType[] {
    return this.options.types.map((t) => ({ ...t, spotPrice: t.spotPrice * this.random.between(0.7, 1.3) }));
  }

  /** Adds the machines that are up from the start. */
  addInitialMachines(): void {
    for (const c of this.options.capacity)
      for (let i = 0; i < c.up; i++) this.add({ type: c.type, zone: c.zone, spot: false }, 0);
  }

  rent(rental: Rental): string[] {
    const limit = this.options.capacity.find((c) => c.type === rental.type && c.zone === rental.zone);
    const maxCount = rental.spot ? (limit?.spot ?? 0) : (limit?.count ?? 0);
    let inUse = 0;
    for (const m of this.machines.values())
      if (m.type === rental.type && m.zone === rental.zone && m.spot === rental.spot && !this.isRemoved(m))
        inUse++;
    const count = this.rejectRentals ? 0 : Math.min(rental.count, maxCount - inUse);
    const type = this.options.types.find((t) => t.name === rental.type);
    const ids: string[] = [];
    for (let i = 0; type && i < count; i++) {
      let bootFactor = this.random.between(0.6, 1.5);
      if (this.random.chance(SLOW_BOOT_SHARE)) bootFactor *= 3;
      if (this.random.chance(this.options.bootFailureShare)) bootFactor = Number.POSITIVE_INFINITY;
      ids.push(this.add(rental, type.bootS * bootFactor));
    }
    return ids;
  }

  release(ids: string[]): void {
    for (const id of ids) this.remove(id);
  }

  list(): ListedMachine[] {
    const lagS = this.options.listLagS * (this.random.chance(0.1) ? this.random.between(1, 2) : 1);
    const shownAt = this.clock.now() - lagS * 1000;
    const listed: ListedMachine[] = [];
    for (const machine of this.machines.values()) {
      if (machine.rentedAt > shownAt || machine.removedAt <= shownAt) continue;
      const { id, addr, type, zone, spot } = machine;
      const state = machine.bootedAt <= shownAt ? 'running' : 'booting';
      listed.push({ id, addr, type, zone, spot, state, ageS: (shownAt - machine.rentedAt) / 1000 });
    }
    return listed;
  }

  /** Adds the cost of the rented machines since the last call; returns the total so far. */
  charge(): number {
    const hours = (this.clock.now() - this.chargedAt) / 3_600_000;
    this.chargedAt = this.clock.now();
    for (const m of this.machines.values()) {
      const type = this.options.types.find((t) => t.name === m.type);
      if (type && !this.isRemoved(m)) this.spent += hours * (m.spot ? type.spotPrice : type.price);
    }
    return this.spent;
  }

  /** Removes a machine, whether it was returned, reclaimed or failed. */
  remove(id: string): void {
    const machine = this.machines.get(id);
    if (!machine || this.isRemoved(machine)) return;
    this.charge();
    machine.removedAt = this.clock.now();
    for (const t of machine.timers) t.cancel();
    this.hooks.gone(id);
    // Keeps the record for some time, because the lagging list still shows a removed machine.
    this.clock.after(REMOVED_RETENTION_MS, () => this.machines.delete(id));
  }

  private isRemoved(m: RentedMachine): boolean {
    return m.removedAt !== Number.POSITIVE_INFINITY;
  }

  private add(machineKind: { type: string; zone: string; spot: boolean }, bootS: number): string {
    this.charge();
    const n = ++this.machinesCreated;
    const id = `m-${String(n).padStart(6, '0')}`;
    const now = this.clock.now();
    const { type, zone, spot } = machineKind;
    const machine: RentedMachine = {
      id,
      addr: this.hooks.address(n),
      type,
      zone,
      spot,
      rentedAt: now,
      bootedAt: now + bootS * 1000,
      removedAt: Number.POSITIVE_INFINITY,
      timers: [],
    };
    this.machines.set(id, machine);
    if (bootS !== Number.POSITIVE_INFINITY)
      machine.timers.push(
        this.clock.after(bootS * 1000, () => this.hooks.up({ id, addr: machine.addr, type, zone, spot })),
      );
    if (spot && this.options.spotReclaimsPerHour > 0) this.scheduleReclaim(machine);
    return id;
  }

  private scheduleReclaim(machine: RentedMachine): void {
    const delayMs = this.random.exponential(3_600_000 / this.options.spotReclaimsPerHour);
    const noticeMs = this.random.chance(NO_NOTICE_SHARE)
      ? 0
      : this.options.noticeS * 1000 * this.random.between(0.5, 1.5);
    machine.timers.push(this.clock.after(delayMs, () => this.reclaim(machine.id, noticeMs)));
  }

  /** Reclaims a machine, after a notice if `noticeMs` is above 0. */
  reclaim(id: string, noticeMs: number): void {
    const machine = this.machines.get(id);
    if (!machine || this.isRemoved(machine)) return;
    if (noticeMs > 0) this.hooks.notice(id, noticeMs / 1000);
    machine.timers.push(this.clock.after(noticeMs, () => this.remove(id)));
  }
}
