import type { Clock, Timer } from '../clock/clock.js';
import type { ListedMachine, MachineType, Rental } from '../wire/cloud.js';
import type { Machines } from './cloud.js';
import type { Random } from './random.js';
import type { Place } from './worker.js';

/** How many machines of a type a zone has. */
export interface Capacity {
  type: string;
  zone: string;
  /** Machines that can be had at once, ordinary and spot. */
  count: number;
  spot: number;
  /** Ordinary machines that are up from the start. */
  up: number;
}

/** What the emulated cloud offers, and how it misbehaves. */
export interface MarketOptions {
  types: MachineType[];
  capacity: Capacity[];
  listLagS: number;
  /** Of all machines, the share that never comes up. */
  bootFail: number;
  /** Spot machines taken back an hour, each; the notice that most of them get. */
  spotPerHour: number;
  noticeS: number;
}

/** What the emulated cloud tells the cluster about its machines. */
export interface MarketHooks {
  address(n: number): string;
  up(place: Place): void;
  notice(id: string, seconds: number): void;
  /** A machine and all on it are gone. */
  gone(id: string): void;
}

interface Rented extends Place {
  rentedAt: number;
  upAt: number;
  goneAt: number;
  timers: Timer[];
}

const SILENT = 0.15;
const GONE_KEPT_MS = 120_000;
const SLOW_BOOT = 0.04;

/** Machines as a cloud has them: capacity, boots that vary, a list that lags, spot machines that are taken back. */
export class Market implements Machines {
  readonly machines = new Map<string, Rented>();
  /** Money spent so far, and machine hours. */
  spent = 0;
  /** No rental is served while it is set. */
  full = false;
  made = 0;
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

  /** The machines that are up from the start. */
  open(): void {
    for (const c of this.options.capacity)
      for (let i = 0; i < c.up; i++) this.add({ type: c.type, zone: c.zone, spot: false }, 0);
  }

  rent(r: Rental): string[] {
    const limit = this.options.capacity.find((c) => c.type === r.type && c.zone === r.zone);
    const most = r.spot ? (limit?.spot ?? 0) : (limit?.count ?? 0);
    let used = 0;
    for (const m of this.machines.values())
      if (m.type === r.type && m.zone === r.zone && m.spot === r.spot && !this.isGone(m)) used++;
    const count = this.full ? 0 : Math.min(r.count, most - used);
    const type = this.options.types.find((t) => t.name === r.type);
    const ids: string[] = [];
    for (let i = 0; type && i < count; i++) {
      let factor = this.random.between(0.6, 1.5);
      if (this.random.chance(SLOW_BOOT)) factor *= 3;
      if (this.random.chance(this.options.bootFail)) factor = Number.POSITIVE_INFINITY;
      ids.push(this.add(r, type.bootS * factor));
    }
    return ids;
  }

  release(ids: string[]): void {
    for (const id of ids) this.take(id);
  }

  list(): ListedMachine[] {
    const lag = this.options.listLagS * (this.random.chance(0.1) ? this.random.between(1, 2) : 1);
    const t = this.clock.now() - lag * 1000;
    const seen: ListedMachine[] = [];
    for (const m of this.machines.values()) {
      if (m.rentedAt > t || m.goneAt <= t) continue;
      const { id, addr, type, zone, spot } = m;
      const state = m.upAt <= t ? 'running' : 'booting';
      seen.push({ id, addr, type, zone, spot, state, ageS: (t - m.rentedAt) / 1000 });
    }
    return seen;
  }

  /** Charges for what is rented, up to now. */
  charge(): number {
    const hours = (this.clock.now() - this.chargedAt) / 3_600_000;
    this.chargedAt = this.clock.now();
    for (const m of this.machines.values()) {
      const type = this.options.types.find((t) => t.name === m.type);
      if (type && !this.isGone(m)) this.spent += hours * (m.spot ? type.spotPrice : type.price);
    }
    return this.spent;
  }

  /** A machine goes, by whoever's doing. */
  take(id: string): void {
    const m = this.machines.get(id);
    if (!m || this.isGone(m)) return;
    this.charge();
    m.goneAt = this.clock.now();
    for (const t of m.timers) t.cancel();
    this.hooks.gone(id);
    // The list lags, so that what is gone is still shown for a while.
    this.clock.after(GONE_KEPT_MS, () => this.machines.delete(id));
  }

  private isGone(m: Rented): boolean {
    return m.goneAt !== Number.POSITIVE_INFINITY;
  }

  private add(kind: { type: string; zone: string; spot: boolean }, bootS: number): string {
    this.charge();
    const n = ++this.made;
    const id = `m-${String(n).padStart(6, '0')}`;
    const now = this.clock.now();
    const { type, zone, spot } = kind;
    const m: Rented = {
      id,
      addr: this.hooks.address(n),
      type,
      zone,
      spot,
      rentedAt: now,
      upAt: now + bootS * 1000,
      goneAt: Number.POSITIVE_INFINITY,
      timers: [],
    };
    this.machines.set(id, m);
    if (bootS !== Number.POSITIVE_INFINITY)
      m.timers.push(
        this.clock.after(bootS * 1000, () => this.hooks.up({ id, addr: m.addr, type, zone, spot })),
      );
    if (spot && this.options.spotPerHour > 0) this.planReclaim(m);
    return id;
  }

  private planReclaim(m: Rented): void {
    const inMs = this.random.gap(3_600_000 / this.options.spotPerHour);
    const noticeMs = this.random.chance(SILENT)
      ? 0
      : this.options.noticeS * 1000 * this.random.between(0.5, 1.5);
    m.timers.push(this.clock.after(inMs, () => this.reclaim(m.id, noticeMs)));
  }

  /** Takes a machine back, with or without a notice. */
  reclaim(id: string, noticeMs: number): void {
    const m = this.machines.get(id);
    if (!m || this.isGone(m)) return;
    if (noticeMs > 0) this.hooks.notice(id, noticeMs / 1000);
    m.timers.push(this.clock.after(noticeMs, () => this.take(id)));
  }
}
