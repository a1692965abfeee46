/**
 * Decides which node leads: pure functions, which `ownership.ts` evaluates every 200 ms and whose actions it
 * executes. Two leaders at the same time do no harm (see `leader.ts`), so safety does not depend on these decisions.
 */

/** Delay before this node claims a vacant leadership, for each node before it in the claim order. */
export const LEADER_CLAIM_DELAY_PER_NODE_MS = 300;

/** This node's view of the leadership. */
export interface LeadershipState {
  /**
   * The leader key: its version, which is the term, and whether it is attached to this node's current lease; null
   * when no node holds it.
   */
  readonly leaderKey: { readonly term: number; readonly heldHere: boolean } | null;
  /** Whether this node is acting as the leader. */
  readonly leading: boolean;
  /** Whether a claim of the key has been sent and not answered yet. */
  readonly claimInFlight: boolean;
  /**
   * Time on the monotonic clock, in milliseconds, since which no node has held the key; null while a node holds it.
   */
  readonly vacantSince: number | null;
  /** This node's position in the claim order, from 0. */
  readonly nodeIndex: number;
}

/** An action of this node on the leadership. */
export type LeadershipAction =
  | { readonly kind: 'resign' }
  | { readonly kind: 'lead'; readonly term: number }
  | { readonly kind: 'claim' };

/** Actions in the order in which they are executed, and the new value of `vacantSince`. */
export interface LeadershipDecision {
  readonly actions: readonly LeadershipAction[];
  readonly vacantSince: number | null;
}

/** Decides the actions of this node on the leadership at the time `now`, in milliseconds of the monotonic clock. */
export function decideLeadership(state: LeadershipState, now: number): LeadershipDecision {
  const { leaderKey, leading } = state;
  if (leaderKey) {
    if (leading === leaderKey.heldHere) return { actions: [], vacantSince: null };
    const action: LeadershipAction = leading ? { kind: 'resign' } : { kind: 'lead', term: leaderKey.term };
    return { actions: [action], vacantSince: null };
  }
  const actions: LeadershipAction[] = leading ? [{ kind: 'resign' }] : [];
  const vacantSince = state.vacantSince ?? now;
  const delayMs = LEADER_CLAIM_DELAY_PER_NODE_MS * state.nodeIndex;
  if (now - vacantSince >= delayMs && !state.claimInFlight) actions.push({ kind: 'claim' });
  return { actions, vacantSince };
}
