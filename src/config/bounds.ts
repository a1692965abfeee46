/** Bounds that follow from the settings and the safety argument of docs/design.md. */

import { MAX_CLOCK_DRIFT } from '../clock/clock.js';

/** A node's lease in the key-value store where nothing requires a shorter one. */
const DEFAULT_LEASE_MS = 8000;
/** A shorter one would expire while the key-value store is merely slow. */
const MIN_LEASE_MS = 3000;
/** What a stop may take in addition: a command that gets no response, and the margin after which a machine's lease counts as expired. */
const STOP_MARGIN_MS = 3500;

/**
 * How long a node's lease in the key-value store may last, in milliseconds. An owner that the service does not reach acts on for as
 * long as that, and its last answer keeps a machine's tasks for a worker's lease more, while another node may have told a user
 * meanwhile that a job is cancelled: `leaseMs` + worker's lease with drift + what a stop takes stays below `cancelS`. Where even the
 * shortest lease does not allow it, `missingMs` says by how much (docs/design.md, "Safety").
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
