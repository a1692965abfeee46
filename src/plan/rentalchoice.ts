import type { Amounts } from './capacityprofile.js';
import { fitCount } from './capacityprofile.js';
import type { Match } from './model.js';

/** Kind of machine that can be rented. */
export interface RentOption {
  type: number;
  zone: number;
  spot: boolean;
  size: Amounts;
  price: number;
  bootS: number;
}

/** Tasks of one job that would wait too long on the existing machines. */
export interface Shortage {
  types: ReadonlySet<number> | null;
  zone: number | null;
  spot: boolean;
  match: Match | null;
  need: Amounts;
  count: number;
  /**
   * Number of similar tasks, in this and other shortages, that could use the capacity left on a rented
   * machine.
   */
  similarCount?: number;
}

/** Returns whether a kind of machine can run a task of a shortage. */
function optionFits(option: RentOption, shortage: Shortage): boolean {
  if (shortage.types && !shortage.types.has(option.type)) return false;
  if (shortage.zone !== null && option.zone !== shortage.zone) return false;
  if (option.spot && !shortage.spot) return false;
  if (shortage.match && !shortage.match.kind(option.type, option.zone, option.spot)) return false;
  return fitCount(option.size, shortage.need, 1) > 0;
}

/**
 * Returns the option with the lowest price per task, and how many machines of it to rent, up to `max`; null
 * when none fits.
 */
export function chooseOption(
  shortage: Shortage,
  options: readonly RentOption[],
  max: number,
): { option: RentOption; count: number } | null {
  let best: { option: RentOption; count: number; cost: number } | null = null;
  for (const option of options) {
    if (!optionFits(option, shortage)) continue;
    const tasksPerMachine = fitCount(
      option.size,
      shortage.need,
      Math.max(shortage.count, shortage.similarCount ?? 0),
    );
    const cost = option.price / tasksPerMachine;
    if (!best || cost < best.cost)
      best = { option, count: Math.min(max, Math.ceil(shortage.count / tasksPerMachine)), cost };
  }
  return best && { option: best.option, count: best.count };
}

/**
 * Chooses the machines to rent for several shortages, in their order: capacity left on the machines rented
 * for one shortage serves the next ones. Rents at most `max` machines of each kind.
 */
export function chooseRentals(
  shortages: readonly Shortage[],
  options: readonly RentOption[],
  max: number,
): { option: RentOption; count: number }[] {
  const pool: { option: RentOption; free: Amounts }[] = [];
  const counts = new Map<RentOption, number>();
  const similarCounts = new Map<string, number>();
  const similarityKey = (shortage: Shortage) => `${shortage.spot} ${shortage.need.gpus > 0}`;
  for (const shortage of shortages)
    similarCounts.set(
      similarityKey(shortage),
      (similarCounts.get(similarityKey(shortage)) ?? 0) + shortage.count,
    );
  for (const shortage of shortages) {
    let remaining = shortage.count;
    for (const rented of pool) {
      if (remaining <= 0) break;
      if (optionFits(rented.option, shortage)) remaining -= allocate(rented.free, shortage.need, remaining);
    }
    const available = options.filter((o) => (counts.get(o) ?? 0) < max);
    const choice =
      remaining > 0
        ? chooseOption(
            { ...shortage, count: remaining, similarCount: similarCounts.get(similarityKey(shortage))! },
            available,
            max,
          )
        : null;
    similarCounts.set(similarityKey(shortage), similarCounts.get(similarityKey(shortage))! - shortage.count);
    if (!choice) continue;
    const previousCount = counts.get(choice.option) ?? 0;
    const count = Math.min(choice.count, max - previousCount);
    counts.set(choice.option, previousCount + count);
    for (let i = 0; i < count; i++) {
      const free = { ...choice.option.size };
      remaining -= allocate(free, shortage.need, remaining);
      pool.push({ option: choice.option, free });
    }
  }
  return [...counts].map(([option, count]) => ({ option, count }));
}

/** Takes the resources of up to `max` tasks from `free`; returns the number of tasks that fitted. */
function allocate(free: Amounts, need: Amounts, max: number): number {
  const count = Math.max(0, fitCount(free, need, max));
  free.cpus -= count * need.cpus;
  free.gpus -= count * need.gpus;
  free.memoryGb -= count * need.memoryGb;
  return count;
}
