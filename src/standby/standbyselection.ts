/** What the choice of a standby goes by; names of nodes as in the settings. */
export interface StandbyCandidates {
  owner: string;
  /** Where the shard should go; the owner itself when it is well where it is. */
  home: string;
  /** All nodes, in the order of their names: a roll restarts them in it. */
  order: readonly string[];
  /** Whether a node is present, replicates shards and takes them. */
  isEligible(node: string): boolean;
  /** How many machines the shards have that a node owns and stands by for. */
  load(node: string): number;
  /** The zone of a node. */
  zoneOf(node: string): string;
  /** Machines of the shard by zone. */
  machines: ReadonlyMap<string, number>;
}

/**
 * Who is to stand by for a shard; null when nobody can. A shard that is away from home has its home node, so that the way
 * back is a switch. Else the zone of most of its machines comes first, then whoever has least to do, then the node that
 * comes before the owner in a roll: the one after it would be restarted next.
 */
export function chooseStandby(c: StandbyCandidates): string | null {
  if (c.home !== c.owner && c.isEligible(c.home)) return c.home;
  const nodeCount = c.order.length;
  const ownerIndex = c.order.indexOf(c.owner);
  /** How many places before the owner a node comes in a roll. */
  const placesBefore = (node: string) => (ownerIndex - c.order.indexOf(node) + nodeCount) % nodeCount;
  let best: string | null = null;
  const rank = (node: string) => [
    // The next in a roll shares the owner's fate where another is there.
    nodeCount > 2 && placesBefore(node) === nodeCount - 1 ? 1 : 0,
    -(c.machines.get(c.zoneOf(node)) ?? 0),
    c.load(node),
    placesBefore(node),
  ];
  for (const node of c.order) {
    if (node === c.owner || !c.isEligible(node)) continue;
    if (best === null || ranksBefore(rank(node), rank(best))) best = node;
  }
  return best;
}

/** Whether a rank comes first: lower numbers do, the earlier ones count more. */
function ranksBefore(a: readonly number[], b: readonly number[]): boolean {
  for (let i = 0; i < a.length; i++) if (a[i] !== b[i]) return a[i]! < b[i]!;
  return false;
}

const BACKOFF_MS = 5000;
const MAX_BACKOFF_MS = 60_000;
const BACKOFF_RESET_MS = 120_000;

/** A node that was evicted is left alone for a while, longer each time it happens again soon. */
export class EvictionBackoff {
  private readonly nodes = new Map<string, { at: number; pauseMs: number }>();

  /** A node was evicted at `now`, in steady milliseconds. */
  onEvicted(node: string, now: number): void {
    const last = this.nodes.get(node);
    const again = last && now - last.at < BACKOFF_RESET_MS;
    this.nodes.set(node, {
      at: now,
      pauseMs: again ? Math.min(MAX_BACKOFF_MS, last.pauseMs * 2) : BACKOFF_MS,
    });
  }

  /** Whether a node is not to be named yet. */
  isBackingOff(node: string, now: number): boolean {
    const last = this.nodes.get(node);
    return last !== undefined && now - last.at < last.pauseMs;
  }
}
