import * as v from 'valibot';

/** A holder as it is stored; these names pass between versions. */
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
 * Which node holds a key (`c/own/K`, `c/lead`, `c/condor`), and in the key of a node how it presents itself. Written by that
 * node: a claim when the key is absent, a presence at the version read, both on the node's lease.
 */
export interface LeaseHolder {
  readonly node: string;
  /** Which run of the node's process: names that it uses are never used by another. */
  readonly incarnation: string;
  /** The id of the lease in the key-value store that the key hangs on. */
  readonly leaseId: number;
  /** In the key of a node: the workers cannot reach it, and it takes no shard. */
  readonly cordoned?: boolean | undefined;
  /** In the key of a node: which version of records and messages it understands. The first version says nothing. */
  readonly protocolVersion?: number | undefined;
  /** In the key of a node: it can be the standby of shards (docs/standby.md). */
  readonly standbyCapable?: boolean | undefined;
  /** In the key of a node: it passes changes of the cluster's keys on to others (docs/changes.md). */
  readonly servesChanges?: boolean | undefined;
}

/** Reads a holder as it is stored; null when it is none. */
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

/** A holder as it is stored. */
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
