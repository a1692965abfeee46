/** A first source opens a watch no sooner than its node's even share of the rate would allow so many requests. */
const FIRST_SOURCE_REQUESTS = 3;
/** The same for a node that watches beside the first source, where there is one region; more of them watch in several. */
const OTHER_SOURCE_REQUESTS = 4;
/** Changes that come closer together than this are read with one request by everybody. */
const MIN_PACE_MS = 80;

/**
 * The least time between two watches of one node, in milliseconds: each counts against the key-value store's rate, which
 * all nodes share. `firsts` is the number of regions, `evenShare` the node's even share of the requests, a second.
 */
export function watchPaceMs(first: boolean, firsts: number, evenShare: number): number {
  const requests = first ? FIRST_SOURCE_REQUESTS : OTHER_SOURCE_REQUESTS * firsts;
  return Math.max(MIN_PACE_MS, (requests * 1000) / evenShare);
}
