/** What a node wants of a rate that all share, a second; null while that is not known. */
export type Demand = number | null;

/** What nobody demands is of use to whoever comes next: at most so many nodes at once are expected to burst into it. */
const MAX_SIMULTANEOUS_BURSTS = 4;

/**
 * Allocates a rate to nodes, in the order of `demands`: each gets what it wants as far as that fits (max-min fairness: the
 * largest demands get the same), and beside it a part of what is left, for work that comes before the next allocation. Nodes
 * whose demand is not known keep an even share. Together the demands served never exceed the rate.
 */
export function allocateRate(rate: number, demands: readonly Demand[]): number[] {
  if (demands.length === 0) return [];
  const even = rate / demands.length;
  const known = demands.filter((d): d is number => d !== null).sort((a, b) => a - b);
  let left = rate - even * (demands.length - known.length);
  let maxShare = 0;
  for (const [i, wanted] of known.entries()) {
    maxShare = left / (known.length - i);
    if (wanted <= maxShare) left -= wanted;
    else break;
  }
  const served = known.reduce((sum, wanted) => sum + Math.min(wanted, maxShare), 0);
  const unused = Math.max(0, rate - even * (demands.length - known.length) - served);
  const burstShare = unused / Math.min(demands.length, MAX_SIMULTANEOUS_BURSTS);
  return demands.map((d) => (d === null ? even : Math.min(d, maxShare) + burstShare));
}
