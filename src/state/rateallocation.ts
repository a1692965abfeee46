/** A node's demand on a rate that all nodes share, per second; null while unknown. */
export type Demand = number | null;

/**
 * Unused capacity is shared out for bursts, on the assumption that at most this many nodes burst at the same time.
 */
const MAX_SIMULTANEOUS_BURSTS = 4;

/**
 * Allocates a rate to nodes, in the order of `demands`, by max-min fairness: each demand is met as far as the rate
 * allows, and the largest demands get equal shares. Each node also gets a part of the unused rate, for work that
 * arrives before the next allocation. Nodes whose demand is unknown get an even share. The demands served together
 * never exceed the rate.
 */
export function allocateRate(rate: number, demands: readonly Demand[]): number[] {
  if (demands.length === 0) return [];
  const evenShare = rate / demands.length;
  const known = demands.filter((d): d is number => d !== null).sort((a, b) => a - b);
  let remainingRate = rate - evenShare * (demands.length - known.length);
  let maxShare = 0;
  for (const [i, demand] of known.entries()) {
    maxShare = remainingRate / (known.length - i);
    if (demand <= maxShare) remainingRate -= demand;
    else break;
  }
  const allocated = known.reduce((sum, demand) => sum + Math.min(demand, maxShare), 0);
  const unused = Math.max(0, rate - evenShare * (demands.length - known.length) - allocated);
  const burstShare = unused / Math.min(demands.length, MAX_SIMULTANEOUS_BURSTS);
  return demands.map((d) => (d === null ? evenShare : Math.min(d, maxShare) + burstShare));
}
