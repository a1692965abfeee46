import { isFreshTerm } from '../standby/takeoverchecks.js';

/**
 * Decides which shards this node owns: pure functions of a view of the cluster, this node's own state of the shard,
 * and the time. `ownership.ts` evaluates them every 200 ms and executes their actions. All times are milliseconds of
 * this node's monotonic clock.
 */

/** Delay before this node claims an unowned shard, for each node before it in the claim order. */
export const CLAIM_DELAY_PER_NODE_MS = 1500;
/** Delay after which even a cordoned node claims a shard, because no other node has claimed it. */
export const CORDONED_CLAIM_DELAY_MS = 12_000;
/** Time for which a preferred node must have been present and not cordoned before its shard is returned to it. */
export const HAND_BACK_AFTER_MS = 6000;
/**
 * Additional time for the preferred node to get in sync as the standby; after it, the shard is returned even if
 * the preferred node is not in sync.
 */
export const PREFERRED_NODE_SYNC_TIMEOUT_MS = 20_000;
/**
 * An owner is cut off from the key-value store when its lease renewals have failed for this long and its standby's
 * have not.
 */
export const STATE_STORE_CUT_OFF_MS = 2500;
/** Minimum time by which the standby's last renewal must be later than the start of the owner's failures. */
const STATE_STORE_CUT_OFF_MARGIN_MS = 500;

/** State of the standbys that decisions use, on a node where standbys are enabled. */
export interface StandbyView {
  isStandbyCapable(node: string): boolean;
  /** Whether the shard should move to its preferred node, given load and zones. */
  shouldReturnToPreferredNode(shard: number): boolean;
  /** The standby that can take over the shard immediately; null when there is none. */
  successorOf(shard: number): string | null;
}

/**
 * The cluster as this node sees it. The view lags behind the key-value store, so every check that safety depends on
 * is a condition of a write instead.
 */
export interface ClusterView {
  readonly thisNode: string;
  /** All configured nodes, in claim order. */
  readonly nodeOrder: readonly string[];
  /** Whether this node takes no shards because the workers cannot reach it. */
  readonly cordoned: boolean;
  /** Null where standbys are not enabled. */
  readonly standbys: StandbyView | null;
  /**
   * The owner key of a shard: its version, which is the term, and whether it is attached to this node's current
   * lease; null when no node holds it.
   */
  ownerKey(shard: number): { readonly term: number; readonly heldHere: boolean } | null;
  /** Whether this node has handed over the shard and has not seen a newer owner since. */
  isHandedOver(shard: number): boolean;
  isPresent(node: string): boolean;
  isNodeCordoned(node: string): boolean;
}

/** Times since which the conditions of delayed decisions have held; null while they do not hold. */
export interface ShardTimers {
  /** Time since which no node has held the owner key. */
  readonly unownedSince: number | null;
  /**
   * Time since which the preferred node has been present and not cordoned, for a shard that this node owns
   * without being its preferred node.
   */
  readonly preferredNodeAvailableSince: number | null;
}

/** This node's own state of one shard. */
export interface OwnShardState extends ShardTimers {
  readonly shard: number;
  /** The shard's scheduler on this node; null when this node does not own the shard. */
  readonly owned: { readonly term: number; readonly ready: boolean } | null;
  /** Whether a claim, release or handover of the owner key has been sent and not answered yet. */
  readonly keyInFlight: boolean;
  /** Terms under which this node has stopped owning a shard. */
  readonly retiredTerms: ReadonlySet<number>;
}

/** An action of this node on a shard. */
export type ShardAction =
  | { readonly kind: 'stopOwning' }
  | { readonly kind: 'startOwning'; readonly term: number }
  /** Releases the key of a former ownership, whose term is never reused. */
  | { readonly kind: 'releaseRetiredTerm'; readonly term: number }
  /** Hands over to the preferred node, which is the in-sync standby and takes over immediately. */
  | { readonly kind: 'handOverToPreferredNode' }
  /** Stops owning the shard and releases its key for the preferred node to claim. */
  | { readonly kind: 'handBack'; readonly to: string; readonly term: number }
  | { readonly kind: 'claim' };

/** Actions in the order in which they are executed, and the new timers. */
export interface ShardDecision {
  readonly actions: readonly ShardAction[];
  readonly timers: ShardTimers;
}

/** Returns the preferred node of a shard. */
export function preferredNode(nodeOrder: readonly string[], shard: number): string {
  return nodeOrder[shard % nodeOrder.length]!;
}

/**
 * Returns how long this node waits before it claims an unowned shard. The preferred node claims first, then the other
 * nodes in claim order; no node waits for a cordoned one.
 */
export function claimDelayMs(view: ClusterView, shard: number): number {
  if (view.cordoned) return CORDONED_CLAIM_DELAY_MS;
  let delayMs = 0;
  for (let i = 0; ; i++) {
    const node = preferredNode(view.nodeOrder, shard + i);
    if (node === view.thisNode) return delayMs;
    if (!view.isNodeCordoned(node)) delayMs += CLAIM_DELAY_PER_NODE_MS;
  }
}

/** Decides the actions of this node on one shard at the time `now`. */
export function decideShard(view: ClusterView, state: OwnShardState, now: number): ShardDecision {
  const key = view.ownerKey(state.shard);
  return key ? decideHeld(view, state, key, now) : decideUnowned(view, state, now);
}

/** Decides for a shard whose owner key is held by this or another node. */
function decideHeld(
  view: ClusterView,
  state: OwnShardState,
  key: { readonly term: number; readonly heldHere: boolean },
  now: number,
): ShardDecision {
  const actions: ShardAction[] = [];
  let { owned } = state;
  // The key belongs to another node, or to a newer term of this node. An older term only means that the view is
  // stale.
  if (owned && key.term > owned.term) {
    actions.push({ kind: 'stopOwning' });
    owned = null;
  }
  if (key.heldHere && !owned && !state.keyInFlight && !view.isHandedOver(state.shard)) {
    // Either a claim that was considered failed has been applied, or the key of a former ownership has not been
    // deleted.
    if (!isFreshTerm(key.term, state.retiredTerms))
      actions.push({ kind: 'releaseRetiredTerm', term: key.term });
    else {
      actions.push({ kind: 'startOwning', term: key.term });
      owned = { term: key.term, ready: false };
    }
  }
  let { preferredNodeAvailableSince } = state;
  if (key.heldHere && owned) {
    const returnDecision = decideReturnToPreferredNode(view, { ...state, owned }, now);
    if (returnDecision.action) actions.push(returnDecision.action);
    preferredNodeAvailableSince = returnDecision.availableSince;
  }
  return { actions, timers: { unownedSince: null, preferredNodeAvailableSince } };
}

/** Decides for a shard whose owner key no node holds. */
function decideUnowned(view: ClusterView, state: OwnShardState, now: number): ShardDecision {
  const { unownedSince, preferredNodeAvailableSince } = state;
  if (state.owned)
    return { actions: [{ kind: 'stopOwning' }], timers: { unownedSince, preferredNodeAvailableSince } };
  const since = unownedSince ?? now;
  const mayClaim = now - since >= claimDelayMs(view, state.shard) && !state.keyInFlight;
  return {
    actions: mayClaim ? [{ kind: 'claim' }] : [],
    timers: { unownedSince: since, preferredNodeAvailableSince },
  };
}

/**
 * Decides whether a shard that this node owns without being its preferred node is returned, which requires that
 * the preferred node has been available for `HAND_BACK_AFTER_MS`.
 */
function decideReturnToPreferredNode(
  view: ClusterView,
  state: OwnShardState & { readonly owned: { readonly term: number; readonly ready: boolean } },
  now: number,
): { readonly action: ShardAction | null; readonly availableSince: number | null } {
  const preferred = preferredNode(view.nodeOrder, state.shard);
  if (preferred === view.thisNode || !view.isPresent(preferred) || view.isNodeCordoned(preferred))
    return { action: null, availableSince: null };
  const since = state.preferredNodeAvailableSince ?? now;
  const keepShard = { action: null, availableSince: since };
  if (now - since < HAND_BACK_AFTER_MS || !state.owned.ready) return keepShard;
  if (view.standbys?.isStandbyCapable(preferred)) {
    if (!view.standbys.shouldReturnToPreferredNode(state.shard)) return keepShard;
    if (view.standbys.successorOf(state.shard) === preferred)
      return { action: { kind: 'handOverToPreferredNode' }, availableSince: null };
    if (now - since < HAND_BACK_AFTER_MS + PREFERRED_NODE_SYNC_TIMEOUT_MS) return keepShard;
  }
  return { action: { kind: 'handBack', to: preferred, term: state.owned.term }, availableSince: null };
}

/**
 * Returns whether an owner is cut off from the key-value store while its standby is not. Such an owner can hand over
 * the shard without waiting for its lease to expire. `standbyRenewedAgoMs` is the age of the standby's last lease
 * renewal, according to its last answer; null when there is no standby.
 */
export function isCutOffFromStateStore(
  renewalFailingMs: number,
  standbyRenewedAgoMs: number | null,
): boolean {
  if (renewalFailingMs < STATE_STORE_CUT_OFF_MS || standbyRenewedAgoMs === null) return false;
  return standbyRenewedAgoMs < renewalFailingMs - STATE_STORE_CUT_OFF_MARGIN_MS;
}
