/** What a node wants of a rate that all share, a second; null while it has not told. */
export type Demand = number | null;

/** What nobody asked for is of use to whoever comes next: at most so many nodes at once are counted on for it. */
const BURSTS_AT_ONCE = 4;

/**
 * Deals a rate to nodes, in the order of their demands: each gets what it wants as far as that fits, the largest demands
 * the same, and beside it a part of what is left, for work that comes before the next dealing. Nodes whose demand is not
 * known keep an even part. Together the wants never exceed the rate.
 */
export function allocateRate(rate: number, demands: readonly Demand[]): number[] {
  if (demands.length === 0) return [];
  const even = rate / demands.length;
  const known = demands.filter((d): d is number => d !== null).sort((a, b) => a - b);
  let left = rate - even * (demands.length - known.length);
  let most = 0;
  for (const [i, wanted] of known.entries()) {
    most = left / (known.length - i);
    if (wanted <= most) left -= wanted;
    else break;
  }
  const served = known.reduce((sum, wanted) => sum + Math.min(wanted, most), 0);
  const spare = Math.max(0, rate - even * (demands.length - known.length) - served);
  const beside = spare / Math.min(demands.length, BURSTS_AT_ONCE);
  return demands.map((d) => (d === null ? even : Math.min(d, most) + beside));
}
