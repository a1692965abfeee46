/** Bounds that follow from the settings by the safety argument in docs/design.md. */

import { MAX_CLOCK_DRIFT } from '../clock/clock.js';

/** Duration of a node's lease in the key-value store, unless the settings require a shorter one. */
const DEFAULT_LEASE_MS = 8000;
/** Minimum duration; a shorter lease would expire while the key-value store is merely slow. */
const MIN_LEASE_MS = 3000;
/**
 * Extra time for a stop: a command that gets no response, and the margin after which a machine's lease counts as
 * expired.
 */
const STOP_MARGIN_MS = 3500;

/**
 * Returns the longest permitted duration of a node's lease in the key-value store, in milliseconds. An owner that
 * cannot reach the store keeps acting for up to that long, and its last response lets a machine keep its tasks for
 * one more worker lease. Meanwhile another node may already have told a user that a job is cancelled. Therefore the
 * sum of `leaseMs`, the worker's lease with clock drift and the time for a stop must stay below `cancelS`. If even
 * the shortest lease exceeds that, `missingMs` is the excess (docs/design.md, "Safety").
 */
export function nodeLease(workers: { leaseS: number; cancelS: number }): {
  leaseMs: number;
  missingMs: number;
} {
  const most = Math.floor(
    workers.cancelS * 1000 - workers.leaseS * 1000 * (1 + 2 * MAX_CLOCK_DRIFT) - STOP_MARGIN_MS,
  );
  const leaseMs = Math.min(DEFAULT_LEASE_MS, Math.max(MIN_LEASE_MS, most));
  return { leaseMs, missingMs: Math.max(0, leaseMs - most) };
}
