// This package selects the standby of a shard, replicates the shard's state to it, and decides when it may take
// over. Running a shard is not part of this package.

import { MAX_CLOCK_DRIFT } from '../clock/clock.js';

/**
 * The lease between the owner of a shard and its standby (docs/standby.md calls it the promise), as pure
 * transitions that the nodes and the model check share. All times are milliseconds of the monotonic clock of
 * the node that makes the transition.
 */

/**
 * Nominal duration of the lease: the time for which an owner may act after sending a message that its standby
 * acknowledged. Both sides correct it for clock drift and a margin.
 */
export const STANDBY_LEASE_MS = 2000;
/** Allowance in addition to clock drift, for clocks that are read in discrete steps. */
const MARGIN_MS = 50;

/** The owner's side of the lease, for one term. */
export interface OwnerLease {
  /** Revision of the key that names the standby bound by the lease; null if no standby is bound. */
  readonly boundRevision: number | null;
  /** Time until which the owner may act while a standby is bound. */
  readonly until: number;
}

/** State of an owner without a bound standby. */
export const NO_STANDBY: OwnerLease = { boundRevision: null, until: Number.POSITIVE_INFINITY };

/**
 * Handles the sending of a message under this revision. The first message binds the lease: the standby may
 * claim from `STANDBY_LEASE_MS` after its response, and it responds no earlier than this message is sent.
 */
export function onSend(lease: OwnerLease, revision: number, now: number): OwnerLease {
  return lease.boundRevision === revision
    ? lease
    : { boundRevision: revision, until: now + leaseDurationMs() };
}

/** Handles the standby's response to a message that was sent at `sentAt`. */
export function onAcknowledged(lease: OwnerLease, revision: number, sentAt: number): OwnerLease {
  if (lease.boundRevision !== revision) return lease;
  return { boundRevision: revision, until: Math.max(lease.until, sentAt + leaseDurationMs()) };
}

/**
 * Releases the owner once the standby is known to be evicted, or never to have been named: no claim of this
 * standby can be applied any more.
 */
export function onEvicted(lease: OwnerLease, revision: number): OwnerLease {
  return lease.boundRevision === revision ? NO_STANDBY : lease;
}

/**
 * Whether the lease with the standby allows the owner to act. The owner's lease with the key-value store has to
 * be valid as well.
 */
export function leaseCovers(lease: OwnerLease, now: number): boolean {
  return now < lease.until;
}

/**
 * Returns for how long the owner may act after it has sent a message. This is shorter than the time for which
 * the standby waits, by the clock drift and a margin on both sides.
 */
function leaseDurationMs(): number {
  return STANDBY_LEASE_MS * (1 - 2 * MAX_CLOCK_DRIFT) - MARGIN_MS;
}

/** The standby's side of the lease, for one term and one revision of the key that names the standby. */
export interface ReplicaState {
  readonly term: number;
  readonly revision: number;
  /** Time of the standby's last response to the owner. */
  readonly answeredAt: number;
  /** Whether the owner has stated that it has ceased to act. */
  readonly released: boolean;
  /**
   * Whether a claim has been sent. The standby then responds to no further message, since a response that
   * crosses the claim would allow both nodes to act.
   */
  readonly claimed: boolean;
}

/** Handles a message of the owner. Returns null if the message must not be answered. */
export function onMessage(
  state: ReplicaState | null,
  term: number,
  revision: number,
  now: number,
): ReplicaState | null {
  if (!state || state.term < term || (state.term === term && state.revision < revision))
    return { term, revision, answeredAt: now, released: false, claimed: false };
  // A message of an earlier term or revision, delivered late over a connection that has broken since.
  if (state.term !== term || state.revision !== revision) return null;
  return state.claimed ? null : { ...state, answeredAt: now };
}

/** Handles the owner's statement that it has ceased to act under this term. */
export function onRelease(state: ReplicaState | null, term: number, revision: number): ReplicaState | null {
  return state && state.term === term && state.revision === revision ? { ...state, released: true } : null;
}

/** Whether the owner's lease with the standby has certainly expired. */
export function mayClaim(state: ReplicaState, now: number): boolean {
  if (state.claimed) return false;
  return state.released || now > state.answeredAt + STANDBY_LEASE_MS * (1 + 2 * MAX_CLOCK_DRIFT) + MARGIN_MS;
}

/** Handles the sending of a claim. */
export function onClaim(state: ReplicaState): ReplicaState {
  return { ...state, claimed: true };
}
