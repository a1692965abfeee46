import { isFreshTerm } from '../standby/takeoverchecks.js';

/**
 * Which shards this node owns: decisions only, pure functions of a view of the cluster, what this node knows of the
 * shard, and the time. `ownership.ts` takes them every 200 ms and carries their actions out. All times are steady
 * milliseconds of this node.
 */

/** For each node before this one in the order of claims, an unowned shard is left alone for so long. */
export const CLAIM_DELAY_PER_NODE_MS = 1500;
/** A cordoned node claims a shard all the same when nobody else has done so for this long. */
export const CORDONED_CLAIM_DELAY_MS = 12_000;
/** A shard goes back to its home node when that has been present and not cordoned for this long. */
export const HAND_BACK_AFTER_MS = 6000;
/** How much longer the home node has to get in sync as the standby; after that the shard goes back without. */
export const HOME_SYNC_TIMEOUT_MS = 20_000;
/** An owner whose lease renewals have failed for this long, while its standby's have not, is cut off from the key-value store. */
export const STATE_STORE_CUT_OFF_MS = 2500;
/** By how much the standby's last renewal has to be the later one. */
const STATE_STORE_CUT_OFF_MARGIN_MS = 500;

/** What a decision needs to know of the standbys, on a node that has them. */
export interface StandbyView {
  isStandbyCapable(node: string): boolean;
  /** Whether the shard is better off on its home node than here. */
  shouldReturnHome(shard: number): boolean;
  /** The standby that can take the shard over at once; null when there is none. */
  successorOf(shard: number): string | null;
}

/** The cluster as this node sees it. It lags behind the key-value store; whatever safety depends on is a condition of a write. */
export interface ClusterView {
  readonly thisNode: string;
  /** All nodes, in the order in which they claim. */
  readonly nodeOrder: readonly string[];
  /** This node takes no shards, since the workers cannot reach it. */
  readonly cordoned: boolean;
  /** Null where standbys are not enabled. */
  readonly standbys: StandbyView | null;
  /** The owner key of a shard: its version, which is the term, and whether it hangs on this node's present lease. */
  ownerKey(shard: number): { readonly term: number; readonly heldHere: boolean } | null;
  /** Whether this node has handed the shard over and knows of nothing newer. */
  isHandedOver(shard: number): boolean;
  isPresent(node: string): boolean;
  isNodeCordoned(node: string): boolean;
}

/** Since when the conditions of a delayed decision have held; null while they do not. */
export interface ShardTimers {
  /** Nobody holds the owner key. */
  readonly unownedSince: number | null;
  /** The home node of a shard that is owned here, away from home, is present and not cordoned. */
  readonly homeAvailableSince: number | null;
}

/** What this node knows of one shard by itself. */
export interface OwnShardState extends ShardTimers {
  readonly shard: number;
  /** The shard's scheduler on this node; null when there is none. */
  readonly owned: { readonly term: number; readonly ready: boolean } | null;
  /** A claim, release or handover of the owner key has been sent and is not answered yet. */
  readonly keyInFlight: boolean;
  /** Terms under which this node has owned a shard and does so no more. */
  readonly retiredTerms: ReadonlySet<number>;
}

/** What this node does about a shard. */
export type ShardAction =
  | { readonly kind: 'stopOwning' }
  | { readonly kind: 'startOwning'; readonly term: number }
  /** Gives the key of a former ownership up: its term is never taken up again. */
  | { readonly kind: 'releaseRetiredTerm'; readonly term: number }
  /** The home node is the standby and in sync: it takes over at once. */
  | { readonly kind: 'handOverToHome' }
  /** Stops, and gives the key up for the home node to claim. */
  | { readonly kind: 'handBack'; readonly to: string; readonly term: number }
  | { readonly kind: 'claim' };

/** Actions in the order in which they are carried out. */
export interface ShardDecision {
  readonly actions: readonly ShardAction[];
  readonly timers: ShardTimers;
}

/** The node that a shard is at home on. */
export function homeNode(nodeOrder: readonly string[], shard: number): string {
  return nodeOrder[shard % nodeOrder.length]!;
}

/**
 * How long this node waits before it claims a shard that nobody holds: first the home node, then the others in turn.
 * Nobody waits for a node that is cordoned.
 */
export function claimDelayMs(view: ClusterView, shard: number): number {
  if (view.cordoned) return CORDONED_CLAIM_DELAY_MS;
  let delay = 0;
  for (let i = 0; ; i++) {
    const node = homeNode(view.nodeOrder, shard + i);
    if (node === view.thisNode) return delay;
    if (!view.isNodeCordoned(node)) delay += CLAIM_DELAY_PER_NODE_MS;
  }
}

/** What this node does about one shard now. */
export function decideShard(view: ClusterView, state: OwnShardState, now: number): ShardDecision {
  const key = view.ownerKey(state.shard);
  return key ? decideHeld(view, state, key, now) : decideUnowned(view, state, now);
}

/** Somebody holds the owner key. */
function decideHeld(
  view: ClusterView,
  state: OwnShardState,
  key: { readonly term: number; readonly heldHere: boolean },
  now: number,
): ShardDecision {
  const actions: ShardAction[] = [];
  let { owned } = state;
  // Somebody else's, or a newer term of this node's. An older one is only what this node's view still shows.
  if (owned && key.term > owned.term) {
    actions.push({ kind: 'stopOwning' });
    owned = null;
  }
  if (key.heldHere && !owned && !state.keyInFlight && !view.isHandedOver(state.shard)) {
    // A claim that was thought lost has been applied after all; or the key of a former ownership is still there.
    if (!isFreshTerm(key.term, state.retiredTerms))
      actions.push({ kind: 'releaseRetiredTerm', term: key.term });
    else {
      actions.push({ kind: 'startOwning', term: key.term });
      owned = { term: key.term, ready: false };
    }
  }
  let { homeAvailableSince } = state;
  if (key.heldHere && owned) {
    const home = decideReturnHome(view, { ...state, owned }, now);
    if (home.action) actions.push(home.action);
    homeAvailableSince = home.availableSince;
  }
  return { actions, timers: { unownedSince: null, homeAvailableSince } };
}

/** Nobody holds the owner key. */
function decideUnowned(view: ClusterView, state: OwnShardState, now: number): ShardDecision {
  const { unownedSince, homeAvailableSince } = state;
  if (state.owned) return { actions: [{ kind: 'stopOwning' }], timers: { unownedSince, homeAvailableSince } };
  const since = unownedSince ?? now;
  const mayClaim = now - since >= claimDelayMs(view, state.shard) && !state.keyInFlight;
  return {
    actions: mayClaim ? [{ kind: 'claim' }] : [],
    timers: { unownedSince: since, homeAvailableSince },
  };
}

/** A shard owned away from home goes back when its home node has been available for a while. */
function decideReturnHome(
  view: ClusterView,
  state: OwnShardState & { readonly owned: { readonly term: number; readonly ready: boolean } },
  now: number,
): { readonly action: ShardAction | null; readonly availableSince: number | null } {
  const home = homeNode(view.nodeOrder, state.shard);
  if (home === view.thisNode || !view.isPresent(home) || view.isNodeCordoned(home))
    return { action: null, availableSince: null };
  const since = state.homeAvailableSince ?? now;
  const wait = { action: null, availableSince: since };
  if (now - since < HAND_BACK_AFTER_MS || !state.owned.ready) return wait;
  if (view.standbys?.isStandbyCapable(home)) {
    if (!view.standbys.shouldReturnHome(state.shard)) return wait;
    if (view.standbys.successorOf(state.shard) === home)
      return { action: { kind: 'handOverToHome' }, availableSince: null };
    if (now - since < HAND_BACK_AFTER_MS + HOME_SYNC_TIMEOUT_MS) return wait;
  }
  return { action: { kind: 'handBack', to: home, term: state.owned.term }, availableSince: null };
}

/**
 * Whether an owner is cut off from the key-value store while its standby is not, and need not wait for its lease to run
 * out. `standbyRenewedAgoMs`: how long ago the standby's lease was renewed, by its last answer; null when there is none.
 */
export function isCutOffFromStateStore(
  renewalFailingMs: number,
  standbyRenewedAgoMs: number | null,
): boolean {
  if (renewalFailingMs < STATE_STORE_CUT_OFF_MS || standbyRenewedAgoMs === null) return false;
  return standbyRenewedAgoMs < renewalFailingMs - STATE_STORE_CUT_OFF_MARGIN_MS;
}
