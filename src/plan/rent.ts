import type { Amounts } from './profile.js';
import { fitCount } from './profile.js';

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
  need: Amounts;
  count: number;
}

export function optionFits(o: RentOption, s: Shortage): boolean {
  if (s.types && !s.types.has(o.type)) return false;
  if (s.zone !== null && o.zone !== s.zone) return false;
  if (o.spot && !s.spot) return false;
  return fitCount(o.size, s.need, 1) > 0;
}

/** The cheapest option per task that fits, and how many machines of it; null when none fits. */
export function chooseRental(
  s: Shortage,
  options: readonly RentOption[],
  most: number,
): { option: RentOption; count: number } | null {
  let best: { option: RentOption; count: number; cost: number } | null = null;
  for (const option of options) {
    if (!optionFits(option, s)) continue;
    const per = fitCount(option.size, s.need, s.count);
    const cost = option.price / per;
    if (!best || cost < best.cost) best = { option, count: Math.min(most, Math.ceil(s.count / per)), cost };
  }
  return best && { option: best.option, count: best.count };
}
