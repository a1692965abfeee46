/**
 * Interval between watches of a first source: the time in which its node's even share of the rate allows this many
 * requests.
 */
const FIRST_SOURCE_REQUESTS = 3;
/** The same for the other sources, multiplied by the number of regions because more of them watch. */
const OTHER_SOURCE_REQUESTS = 4;
/** Changes that are closer together than this are read with one request by every watching node. */
const MIN_WATCH_INTERVAL_MS = 80;

/**
 * Returns the minimum interval between two watches of one node, in milliseconds. Every watch counts against the
 * key-value store's rate, which all nodes share. `regionCount` is the number of regions, `evenShare` the node's even
 * share of the request rate, per second.
 */
export function minWatchIntervalMs(isFirstSource: boolean, regionCount: number, evenShare: number): number {
  const requests = isFirstSource ? FIRST_SOURCE_REQUESTS : OTHER_SOURCE_REQUESTS * regionCount;
  return Math.max(MIN_WATCH_INTERVAL_MS, (requests * 1000) / evenShare);
}
