import * as v from 'valibot';

/** A lease holder in its stored form; nodes of different versions exchange these names. */
const storedLeaseHolder = v.object({
  node: v.string(),
  run: v.string(),
  lease: v.number(),
  aside: v.optional(v.boolean()),
  speaks: v.optional(v.number()),
  stands: v.optional(v.boolean()),
  feeds: v.optional(v.boolean()),
});
type StoredLeaseHolder = v.InferOutput<typeof storedLeaseHolder>;

/**
 * The node that holds a key (`c/own/K`, `c/lead`, `c/condor`), and in a node's own key the node's presence. Written
 * by that node on its lease: a claim when the key is absent, a presence at the version read.
 */
export interface LeaseHolder {
  readonly node: string;
  /** Identifies the run of the node's process; the names that a run uses are never used by another run. */
  readonly incarnation: string;
  /** The id of the key-value store lease that the key is attached to. */
  readonly leaseId: number;
  /** In a node's own key: workers cannot reach the node, so it takes no shard. */
  readonly cordoned?: boolean | undefined;
  /**
   * In a node's own key: the version of records and messages that it understands. The first version omits this field.
   */
  readonly protocolVersion?: number | undefined;
  /** In a node's own key: it can be the standby of shards (docs/standby.md). */
  readonly standbyCapable?: boolean | undefined;
  /** In a node's own key: it passes changes of the cluster's keys on to other nodes (docs/changes.md). */
  readonly servesChanges?: boolean | undefined;
}

/** Reads a lease holder from its stored form; returns null if the value is not one. */
export function readLeaseHolder(value: unknown): LeaseHolder | null {
  const parsed = v.safeParse(storedLeaseHolder, value);
  if (!parsed.success) return null;
  const { node, run, lease, aside, speaks, stands, feeds } = parsed.output;
  return {
    node,
    incarnation: run,
    leaseId: lease,
    ...(speaks !== undefined && { protocolVersion: speaks }),
    ...(feeds !== undefined && { servesChanges: feeds }),
    ...(stands !== undefined && { standbyCapable: stands }),
    ...(aside !== undefined && { cordoned: aside }),
  };
}

/** Returns a lease holder in its stored form. */
export function writeLeaseHolder(holder: LeaseHolder): StoredLeaseHolder {
  const { node, incarnation, leaseId, cordoned, protocolVersion, standbyCapable, servesChanges } = holder;
  return {
    node,
    run: incarnation,
    lease: leaseId,
    ...(protocolVersion !== undefined && { speaks: protocolVersion }),
    ...(servesChanges !== undefined && { feeds: servesChanges }),
    ...(standbyCapable !== undefined && { stands: standbyCapable }),
    ...(cordoned !== undefined && { aside: cordoned }),
  };
}
