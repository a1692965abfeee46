/** Input for the selection of a standby, with the node names of the settings. */
export interface StandbyCandidates {
  owner: string;
  /** Preferred node of the shard; equal to the owner if the shard need not move. */
  preferredNode: string;
  /** All nodes sorted by name, which is the order of a rolling restart. */
  order: readonly string[];
  /** Whether a node is present, replicates shards and can take them over. */
  isEligible(node: string): boolean;
  /** Number of machines in the shards that a node owns or stands by for. */
  load(node: string): number;
  /** Zone of a node. */
  zoneOf(node: string): string;
  /** Number of the shard's machines by zone. */
  machines: ReadonlyMap<string, number>;
}

/**
 * Selects the standby of a shard; returns null if no node is eligible. A shard that is not owned by its preferred
 * node gets that node as its standby, so that its return is a handover. Otherwise the ranking is by the zone with
 * most of the shard's machines, then by the lowest load, then by the node that precedes the owner in a rolling
 * restart, because the node after the owner would be restarted next.
 */
export function chooseStandby(candidates: StandbyCandidates): string | null {
  if (candidates.preferredNode !== candidates.owner && candidates.isEligible(candidates.preferredNode))
    return candidates.preferredNode;
  const nodeCount = candidates.order.length;
  const ownerIndex = candidates.order.indexOf(candidates.owner);
  /** Number of places by which a node precedes the owner in a rolling restart. */
  const placesBefore = (node: string) =>
    (ownerIndex - candidates.order.indexOf(node) + nodeCount) % nodeCount;
  let best: string | null = null;
  const rank = (node: string) => [
    // The node after the owner is restarted next, so it ranks last where there is another choice.
    nodeCount > 2 && placesBefore(node) === nodeCount - 1 ? 1 : 0,
    -(candidates.machines.get(candidates.zoneOf(node)) ?? 0),
    candidates.load(node),
    placesBefore(node),
  ];
  for (const node of candidates.order) {
    if (node === candidates.owner || !candidates.isEligible(node)) continue;
    if (best === null || ranksBefore(rank(node), rank(best))) best = node;
  }
  return best;
}

/** Whether rank `a` sorts before rank `b`: lower numbers first, with earlier elements taking precedence. */
function ranksBefore(a: readonly number[], b: readonly number[]): boolean {
  for (let i = 0; i < a.length; i++) if (a[i] !== b[i]) return a[i]! < b[i]!;
  return false;
}

const BACKOFF_MS = 5000;
const MAX_BACKOFF_MS = 60_000;
const BACKOFF_RESET_MS = 120_000;

/** Excludes an evicted node from selection for a period that doubles if it is soon evicted again. */
export class EvictionBackoff {
  private readonly nodes = new Map<string, { at: number; pauseMs: number }>();

  /** Records that a node was evicted at `now`, in milliseconds of the monotonic clock. */
  onEvicted(node: string, now: number): void {
    const eviction = this.nodes.get(node);
    const repeated = eviction && now - eviction.at < BACKOFF_RESET_MS;
    this.nodes.set(node, {
      at: now,
      pauseMs: repeated ? Math.min(MAX_BACKOFF_MS, eviction.pauseMs * 2) : BACKOFF_MS,
    });
  }

  /** Whether a node must not be named yet. */
  isBackingOff(node: string, now: number): boolean {
    const eviction = this.nodes.get(node);
    return eviction !== undefined && now - eviction.at < eviction.pauseMs;
  }
}
