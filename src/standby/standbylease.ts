// This package: who stands by for a shard, what is replicated to it, and when it may take over; nothing of how a shard is run.

import { MAX_CLOCK_DRIFT } from '../clock/clock.js';

/**
 * The lease between the owner of a shard and its standby (docs/standby.md calls it the promise): pure steps, taken alike by
 * the nodes and by the model check. All times are steady milliseconds of the node that takes the step.
 */

/** How long an owner may act after it sent a message that its standby acknowledged. */
export const STANDBY_LEASE_MS = 2000;
/** Beside drift, for clocks that are read in steps. */
const MARGIN_MS = 50;

/** The owner's side, for one term. */
export interface OwnerLease {
  /** Revision of the key that names the standby whose lease binds; null when none does. */
  readonly boundRevision: number | null;
  /** While it is bound, it acts until then. */
  readonly until: number;
}

/** The owner is bound by no standby. */
export const NO_STANDBY: OwnerLease = { boundRevision: null, until: Number.POSITIVE_INFINITY };

/**
 * A message under this revision is sent now. The first one binds: the standby may claim from `STANDBY_LEASE_MS` after it has
 * answered, and it answers no sooner than this.
 */
export function onSend(lease: OwnerLease, revision: number, now: number): OwnerLease {
  return lease.boundRevision === revision
    ? lease
    : { boundRevision: revision, until: now + leaseDurationMs() };
}

/** The standby has answered a message that was sent at `sentAt`. */
export function onAcknowledged(lease: OwnerLease, revision: number, sentAt: number): OwnerLease {
  if (lease.boundRevision !== revision) return lease;
  return { boundRevision: revision, until: Math.max(lease.until, sentAt + leaseDurationMs()) };
}

/** The standby is known to be evicted, or never to have been named: no claim of it can be applied any more. */
export function onEvicted(lease: OwnerLease, revision: number): OwnerLease {
  return lease.boundRevision === revision ? NO_STANDBY : lease;
}

/** Whether the owner may act, as far as its standby goes; its state lease has to last as well. */
export function leaseCovers(lease: OwnerLease, now: number): boolean {
  return now < lease.until;
}

/** How long the owner may act after it sent a message: less than the standby waits, by drift and a margin on both sides. */
function leaseDurationMs(): number {
  return STANDBY_LEASE_MS * (1 - 2 * MAX_CLOCK_DRIFT) - MARGIN_MS;
}

/** The standby's side, for one term and one revision of the key that names it. */
export interface ReplicaState {
  readonly term: number;
  readonly revision: number;
  /** When it last answered the owner. */
  readonly answeredAt: number;
  /** The owner has said that it acts no more. */
  readonly released: boolean;
  /** A claim has been sent: nothing is answered any more, since an answer that crosses it would let both act. */
  readonly claimed: boolean;
}

/** A message of the owner has come; null when it must not be answered. */
export function onMessage(
  state: ReplicaState | null,
  term: number,
  revision: number,
  now: number,
): ReplicaState | null {
  if (!state || state.term < term || (state.term === term && state.revision < revision))
    return { term, revision, answeredAt: now, released: false, claimed: false };
  // From before: delivered late, by a connection that has broken since.
  if (state.term !== term || state.revision !== revision) return null;
  return state.claimed ? null : { ...state, answeredAt: now };
}

/** The owner says that it acts no more under this term. */
export function onRelease(state: ReplicaState | null, term: number, revision: number): ReplicaState | null {
  return state && state.term === term && state.revision === revision ? { ...state, released: true } : null;
}

/** Whether the owner's lease with the standby is surely over. */
export function mayClaim(state: ReplicaState, now: number): boolean {
  if (state.claimed) return false;
  return state.released || now > state.answeredAt + STANDBY_LEASE_MS * (1 + 2 * MAX_CLOCK_DRIFT) + MARGIN_MS;
}

/** A claim is sent now. */
export function onClaim(state: ReplicaState): ReplicaState {
  return { ...state, claimed: true };
}
