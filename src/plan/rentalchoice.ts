import type { Amounts } from './capacityprofile.js';
import { fitCount } from './capacityprofile.js';
import type { Match } from './model.js';

/** A kind of machine that may be rented. */
export interface RentOption {
  type: number;
  zone: number;
  spot: boolean;
  size: Amounts;
  price: number;
  bootS: number;
}

/** Tasks of one job that wait too long on the machines there are. */
export interface Shortage {
  types: ReadonlySet<number> | null;
  zone: number | null;
  spot: boolean;
  match: Match | null;
  need: Amounts;
  count: number;
  /** Tasks similar to these, here and in other shortages, that would use what is left on a machine. */
  alike?: number;
}

/** Whether a kind of machine may take a task of a shortage. */
function optionFits(o: RentOption, s: Shortage): boolean {
  if (s.types && !s.types.has(o.type)) return false;
  if (s.zone !== null && o.zone !== s.zone) return false;
  if (o.spot && !s.spot) return false;
  if (s.match && !s.match.kind(o.type, o.zone, o.spot)) return false;
  return fitCount(o.size, s.need, 1) > 0;
}

/** The cheapest option per task that fits, and how many machines of it, at most `max`; null when none fits. */
export function chooseOption(
  s: Shortage,
  options: readonly RentOption[],
  max: number,
): { option: RentOption; count: number } | null {
  let best: { option: RentOption; count: number; cost: number } | null = null;
  for (const option of options) {
    if (!optionFits(option, s)) continue;
    const per = fitCount(option.size, s.need, Math.max(s.count, s.alike ?? 0));
    const cost = option.price / per;
    if (!best || cost < best.cost) best = { option, count: Math.min(max, Math.ceil(s.count / per)), cost };
  }
  return best && { option: best.option, count: best.count };
}

/**
 * What to rent for several shortages, the first one first: what is left on the machines rented for one serves the next.
 * No more than `max` machines of a kind.
 */
export function chooseRentals(
  shortages: readonly Shortage[],
  options: readonly RentOption[],
  max: number,
): { option: RentOption; count: number }[] {
  const pool: { option: RentOption; free: Amounts }[] = [];
  const counts = new Map<RentOption, number>();
  const alike = new Map<string, number>();
  const kind = (s: Shortage) => `${s.spot} ${s.need.gpus > 0}`;
  for (const s of shortages) alike.set(kind(s), (alike.get(kind(s)) ?? 0) + s.count);
  for (const s of shortages) {
    let left = s.count;
    for (const p of pool) {
      if (left <= 0) break;
      if (optionFits(p.option, s)) left -= take(p.free, s.need, left);
    }
    const open = options.filter((o) => (counts.get(o) ?? 0) < max);
    const choice =
      left > 0 ? chooseOption({ ...s, count: left, alike: alike.get(kind(s))! }, open, max) : null;
    alike.set(kind(s), alike.get(kind(s))! - s.count);
    if (!choice) continue;
    const before = counts.get(choice.option) ?? 0;
    const count = Math.min(choice.count, max - before);
    counts.set(choice.option, before + count);
    for (let i = 0; i < count; i++) {
      const free = { ...choice.option.size };
      left -= take(free, s.need, left);
      pool.push({ option: choice.option, free });
    }
  }
  return [...counts].map(([option, count]) => ({ option, count }));
}

/** Takes what up to `max` tasks need from `free`; returns how many fitted. */
function take(free: Amounts, need: Amounts, max: number): number {
  const n = Math.max(0, fitCount(free, need, max));
  free.cpus -= n * need.cpus;
  free.gpus -= n * need.gpus;
  free.memoryGb -= n * need.memoryGb;
  return n;
}
