/** A first source opens a watch no sooner than its node's even part of the rate would allow so many requests. */
const FIRST_REQUESTS = 3;
/** The same for a node that watches beside the first source, where there is one region; more of them watch in several. */
const OTHERS_REQUESTS = 4;
/** Changes that come closer together than this are read with one request by everybody. */
const LEAST_MS = 80;

/**
 * The least time between two watches of one node, in milliseconds: each counts against the state service's rate, which
 * all nodes share. `firsts` is the number of regions, `part` the node's even part of the requests, a second.
 */
export function watchPaceMs(first: boolean, firsts: number, part: number): number {
  const requests = first ? FIRST_REQUESTS : OTHERS_REQUESTS * firsts;
  return Math.max(LEAST_MS, (requests * 1000) / part);
}
