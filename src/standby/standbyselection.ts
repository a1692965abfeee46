/** What the choice of a standby goes by; names of nodes as in the settings. */
export interface StandbyCandidates {
  owner: string;
  /** Where the shard should go; the owner itself when it is well where it is. */
  home: string;
  /** All nodes, in the order of their names: a roll restarts them in it. */
  order: readonly string[];
  /** Whether a node is there, follows shards and takes them. */
  isEligible(node: string): boolean;
  /** How many machines the shards have that a node owns and stands by for. */
  load(node: string): number;
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
  const n = c.order.length;
  const at = c.order.indexOf(c.owner);
  const back = (node: string) => (at - c.order.indexOf(node) + n) % n;
  let best: string | null = null;
  const rank = (node: string) => [
    // The next in a roll shares the owner's fate where another is there.
    n > 2 && back(node) === n - 1 ? 1 : 0,
    -(c.machines.get(c.zoneOf(node)) ?? 0),
    c.load(node),
    back(node),
  ];
  for (const node of c.order) {
    if (node === c.owner || !c.isEligible(node)) continue;
    if (best === null || before(rank(node), rank(best))) best = node;
  }
  return best;
}

function before(a: readonly number[], b: readonly number[]): boolean {
  for (let i = 0; i < a.length; i++) if (a[i] !== b[i]) return a[i]! < b[i]!;
  return false;
}

/** A node that was struck off is left alone for a while, longer each time it happens again soon. */
const BACKOFF_MS = 5000;
const MAX_BACKOFF_MS = 60_000;
const BACKOFF_RESET_MS = 120_000;

export class EvictionBackoff {
  private readonly nodes = new Map<string, { at: number; pauseMs: number }>();

  onEvicted(node: string, now: number): void {
    const last = this.nodes.get(node);
    const soon = last && now - last.at < BACKOFF_RESET_MS;
    this.nodes.set(node, {
      at: now,
      pauseMs: soon ? Math.min(MAX_BACKOFF_MS, last.pauseMs * 2) : BACKOFF_MS,
    });
  }

  isBackingOff(node: string, now: number): boolean {
    const last = this.nodes.get(node);
    return last !== undefined && now - last.at < last.pauseMs;
  }
}
