/** A node that is present and passes changes on. */
export interface PresentNode {
  readonly node: string;
  /** Revision at which its presence was written: the smaller, the longer it is there. */
  readonly version: number;
}

/** How many nodes of each region watch the key-value store. */
export const SOURCES_PER_REGION = 2;

/** Who watches and who follows whom, as one node sees it. */
export interface SourceOrder {
  /** How many nodes of this node's region come before it; 0 and 1 watch the key-value store themselves. */
  position: number;
  /** Whom this node may follow, in the order in which it tries them; of two that watch, each may follow the other. */
  candidates: string[];
  /** Whose progress tells this node whether its own source is behind, in the order in which it asks them. */
  witnesses: string[];
  /** Whether this node is one of those that watch. */
  source: boolean;
  /** Nodes of all regions that are first in theirs. */
  firsts: number;
}

/**
 * Who watches the key-value store and who follows whom, by the order of presence alone: all nodes that know the same
 * presences come to the same order, and a node that was restarted goes to its end. Only a node that watches the state
 * service itself answers followers, so that they never form a circle, however their views of the order differ.
 */
export function sourceOrder(
  self: string,
  present: readonly PresentNode[],
  regionOf: (node: string) => string,
): SourceOrder {
  const ordered = [...present].sort((a, b) => a.version - b.version || (a.node < b.node ? -1 : 1));
  const byRegion = new Map<string, string[]>();
  for (const { node } of ordered) {
    const nodes = byRegion.get(regionOf(node)) ?? [];
    byRegion.set(regionOf(node), nodes);
    nodes.push(node);
  }
  const mine = byRegion.get(regionOf(self)) ?? [];
  const at = mine.indexOf(self);
  const position = at < 0 ? mine.length : at;
  // A source that is cut off follows the other one, or whoever has taken their place.
  const known = position < SOURCES_PER_REGION ? 2 * SOURCES_PER_REGION : position;
  const own = mine.slice(0, known).filter((node) => node !== self);
  const elsewhere: string[] = [];
  for (const [region, nodes] of byRegion)
    if (region !== regionOf(self)) elsewhere.push(...nodes.slice(0, SOURCES_PER_REGION));
  return {
    position,
    candidates: [...own, ...elsewhere],
    // First sources know soonest. The second one of a region looks whether its first one is there.
    witnesses: position === 1 ? [...own, ...elsewhere] : [...elsewhere, ...own],
    source: position < SOURCES_PER_REGION,
    firsts: Math.max(1, byRegion.size),
  };
}
