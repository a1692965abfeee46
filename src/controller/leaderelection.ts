/**
 * Which node leads: decisions only, pure functions. `ownership.ts` takes them every 200 ms and carries their actions out.
 * Two leaders at once do no harm (`leader.ts`), so nothing here is needed for safety.
 */

/** For each node before this one in the order of claims, a leadership that nobody holds is left alone for so long. */
export const LEADER_CLAIM_DELAY_PER_NODE_MS = 300;

/** What this node knows of the leadership. */
export interface LeadershipState {
  /** The leader key: its version, which is the term, and whether it hangs on this node's present lease; null when nobody holds it. */
  readonly leaderKey: { readonly term: number; readonly heldHere: boolean } | null;
  /** Whether this node leads now. */
  readonly leading: boolean;
  /** A claim of the key has been sent and is not answered yet. */
  readonly claimInFlight: boolean;
  /** Since when nobody has held the key, in steady milliseconds; null while somebody does. */
  readonly vacantSince: number | null;
  /** This node's place in the order of claims, from 0. */
  readonly nodeIndex: number;
}

/** What this node does about the leadership. */
export type LeadershipAction =
  | { readonly kind: 'resign' }
  | { readonly kind: 'lead'; readonly term: number }
  | { readonly kind: 'claim' };

/** Actions in the order in which they are carried out. */
export interface LeadershipDecision {
  readonly actions: readonly LeadershipAction[];
  readonly vacantSince: number | null;
}

/** What this node does about the leadership now, in steady milliseconds. */
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
