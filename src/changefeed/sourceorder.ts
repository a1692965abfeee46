/** A present node that passes changes on. */
export interface PresentNode {
  readonly node: string;
  /** Revision at which the node's presence was written; the lower it is, the longer the node has been present. */
  readonly version: number;
}

/** Number of nodes per region that watch the key-value store. */
export const SOURCES_PER_REGION = 2;

/** The assignment of sources and followers, as seen by one node. */
export interface SourceOrder {
  /**
   * Number of nodes of the same region that precede this node; at positions 0 and 1 it watches the key-value store
   * itself.
   */
  position: number;
  /**
   * Nodes that this node may follow, in the order in which it tries them; two watching nodes may each follow the
   * other.
   */
  candidates: string[];
  /** Nodes whose progress shows whether this node's source is behind, in the order in which it asks them. */
  progressPeers: string[];
  /** Whether this node is one of the sources, which watch the key-value store. */
  isSource: boolean;
  /** Number of regions, and so of first sources; at least 1. */
  regionCount: number;
}

/**
 * Determines which nodes watch the key-value store and which nodes follow them, from the order of presence alone. All
 * nodes that know the same presences determine the same order, and a restarted node moves to its end. Only a node
 * that watches the key-value store itself answers followers, so nodes never follow each other in a circle, however
 * their views of the order differ.
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
  const regionNodes = byRegion.get(regionOf(self)) ?? [];
  const index = regionNodes.indexOf(self);
  const position = index < 0 ? regionNodes.length : index;
  // A source that is cut off from the store follows the other source, or the nodes that have taken the sources'
  // place.
  const candidateCount = position < SOURCES_PER_REGION ? 2 * SOURCES_PER_REGION : position;
  const sameRegion = regionNodes.slice(0, candidateCount).filter((node) => node !== self);
  const otherRegions: string[] = [];
  for (const [region, nodes] of byRegion)
    if (region !== regionOf(self)) otherRegions.push(...nodes.slice(0, SOURCES_PER_REGION));
  return {
    position,
    candidates: [...sameRegion, ...otherRegions],
    // First sources learn of changes earliest. The second source of a region checks whether its first source is
    // there.
    progressPeers: position === 1 ? [...sameRegion, ...otherRegions] : [...otherRegions, ...sameRegion],
    isSource: position < SOURCES_PER_REGION,
    regionCount: Math.max(1, byRegion.size),
  };
}
