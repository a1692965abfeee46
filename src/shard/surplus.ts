import { type Amounts, usedShare } from '../plan/profile.js';
import type { Held, Machine } from '../workers/machine.js';
import type { World } from '../world/world.js';

/** Machines of a type that are kept for each that is needed: tasks of several sizes never fill them. */
const HEADROOM = 1.25;
const LEAST_SPARE = 1;
/** What was needed lately counts for this long, less and less. */
const FADE_S = 30;

export interface SurplusHooks {
  /** What a task takes; null when nobody remembers. */
  needOf(h: Held): Amounts | null;
}

/**
 * Machines that the work at hand does not need. Small tasks end and begin all over the fleet, so that without this no machine
 * is ever empty, however little there is to do. Nothing is stopped or put off for it: what fits elsewhere goes elsewhere, the
 * machines that are left run empty, and are given back. The dearest and least loaded go first.
 */
export class Surplus {
  private readonly ids = new Set<string>();
  /** By type: how many machines the work has needed lately. */
  private readonly wanted = new Map<number, number>();
  private at = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly world: World,
    private readonly machines: ReadonlyMap<string, Machine>,
    private readonly hooks: SurplusHooks,
  ) {}

  has(id: string): boolean {
    return this.ids.has(id);
  }

  /** The share of a machine that is in use. */
  shareOf(m: Machine): number {
    const used = { cpus: 0, gpus: 0, memoryGb: 0 };
    for (const h of m.held.values()) {
      const need = h.state === 'exited' ? null : this.hooks.needOf(h);
      if (!need) continue;
      used.cpus += need.cpus;
      used.gpus += need.gpus;
      used.memoryGb += need.memoryGb;
    }
    return usedShare(this.world.catalog.size(m.type), used);
  }

  /** Looks anew; `waiting` is what waits for a place, in machines of each type. */
  assess(now: number, waiting: ReadonlyMap<number, number>): void {
    const shares = new Map<Machine, number>();
    const types = new Map<number, { need: number; machines: Machine[] }>();
    for (const m of this.machines.values()) {
      if (m.leaving || m.lost) continue;
      let of = types.get(m.type);
      if (!of) {
        of = { need: waiting.get(m.type) ?? 0, machines: [] };
        types.set(m.type, of);
      }
      of.machines.push(m);
      const share = this.shareOf(m);
      shares.set(m, share);
      of.need += share;
    }
    const fade = Math.exp(-Math.max(0, now - this.at) / 1000 / FADE_S);
    this.at = now;
    const before = new Set(this.ids);
    this.ids.clear();
    for (const [type, { need, machines }] of types) {
      const wanted = Math.max(need, (this.wanted.get(type) ?? 0) * fade);
      this.wanted.set(type, wanted);
      const kept = Math.ceil(wanted * HEADROOM + LEAST_SPARE);
      if (machines.length <= kept) continue;
      const price = (m: Machine) => {
        const t = this.world.catalog.get(m.type);
        return (m.spot ? t?.spotPrice : t?.price) ?? 0;
      };
      // What was chosen stays chosen, or none would ever run empty.
      machines.sort(
        (a, b) =>
          Number(before.has(a.id)) - Number(before.has(b.id)) ||
          price(a) - price(b) ||
          shares.get(b)! - shares.get(a)!,
      );
      for (const m of machines.slice(kept)) this.ids.add(m.id);
    }
  }
}
