import * as v from 'valibot';

/** A standby in its stored form; nodes of different versions exchange these names. */
const storedStandby = v.object({ node: v.string(), run: v.string(), term: v.number(), tag: v.string() });
type StoredStandby = v.InferOutput<typeof storedStandby>;

/**
 * The standby of a shard (`c/stand/K`). The shard's owner writes it, on the condition that the owner's key is still
 * at its term and that this key is still at the version read; the key is attached to the owner's lease. The owner
 * deletes it to evict its standby, and the standby's claim deletes it in the transaction that replaces the owner's
 * key (docs/standby.md).
 */
export interface StandbyRecord {
  readonly node: string;
  /** The run of the node's process that is the standby. */
  readonly incarnation: string;
  /** The owner's term: the revision of its key. */
  readonly term: number;
  /** Unique to each write; shows whether a write without an answer has been applied. */
  readonly writeId: string;
}

/** Reads a standby from its stored form; returns null if the value is not one. */
export function readStandbyRecord(value: unknown): StandbyRecord | null {
  const parsed = v.safeParse(storedStandby, value);
  if (!parsed.success) return null;
  const { node, run, term, tag } = parsed.output;
  return { node, incarnation: run, term, writeId: tag };
}

/** Returns a standby in its stored form. */
export function writeStandbyRecord(record: StandbyRecord): StoredStandby {
  return { node: record.node, run: record.incarnation, term: record.term, tag: record.writeId };
}
