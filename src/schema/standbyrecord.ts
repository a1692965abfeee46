import * as v from 'valibot';

/** A standby as it is stored; these names pass between versions. */
const storedStandby = v.object({ node: v.string(), run: v.string(), term: v.number(), tag: v.string() });
type StoredStandby = v.InferOutput<typeof storedStandby>;

/**
 * Who stands by for a shard (`c/stand/K`). The shard's owner writes it, under the condition that the owner's key is still
 * at its term and this key as it read it; it hangs on the owner's lease. The owner deletes it to evict its standby, and the
 * standby's claim deletes it while it replaces the owner's key (docs/standby.md).
 */
export interface StandbyRecord {
  readonly node: string;
  /** Which run of the node's process is named. */
  readonly incarnation: string;
  /** The owner's term: the revision of its key. */
  readonly term: number;
  /** Unique to one write: tells whether a write of which the answer was lost has been applied. */
  readonly writeId: string;
}

/** Reads a standby as it is stored; null when it is none. */
export function readStandbyRecord(value: unknown): StandbyRecord | null {
  const p = v.safeParse(storedStandby, value);
  if (!p.success) return null;
  const { node, run, term, tag } = p.output;
  return { node, incarnation: run, term, writeId: tag };
}

/** A standby as it is stored. */
export function writeStandbyRecord(record: StandbyRecord): StoredStandby {
  return { node: record.node, run: record.incarnation, term: record.term, tag: record.writeId };
}
