/** Of the state service's requests, what the first sources of all regions may take together for their watches. */
const FIRST_SHARE = 0.04;
/** Changes that come closer together than this are read with one request by everybody. */
const LEAST_MS = 80;
/** A node that watches beside the first source of the only region opens no more than one watch in this time. */
const OTHERS_MS = 350;

/**
 * The least time between two watches of one node, in milliseconds: each counts against the state service's rate,
 * which all nodes share.
 */
export function watchPaceMs(first: boolean, firsts: number, requestsPerSecond: number): number {
  const fast = Math.max(LEAST_MS, (firsts * 1000) / (requestsPerSecond * FIRST_SHARE));
  return first ? fast : Math.max(fast, firsts * OTHERS_MS);
}
