import * as v from 'valibot';
import {
  type ReplicationRecord,
  readReplicationRecord,
  wireRecord,
  writeReplicationRecord,
} from './replicationrecord.js';

/**
 * Messages between an owner and its standby. The `read…` functions validate a received message and convert it
 * to the field names used in the code, returning null for an invalid one. The `write…` functions convert a
 * message to its wire form.
 */

/** Wire names of the requests between an owner and its standby: replication and handover of the shard. */
export const STANDBY_OPS = { replicate: 'stand', handOver: 'assume' } as const;

/** Maximum number of records in one message. */
export const MAX_BATCH_RECORDS = 300;

const term = v.pipe(v.number(), v.integer(), v.minValue(1));
const shard = v.pipe(v.number(), v.integer(), v.minValue(0));

/** Identifies the owner and the standby of an exchange. */
export interface StandbyAddress {
  readonly shard: number;
  /** Revision of the owner's key. */
  readonly term: number;
  /** Revision of the key that names the standby. */
  readonly revision: number;
  /**
   * Incarnation of the node named by the standby key. Another incarnation of the same node is not addressed.
   */
  readonly incarnation: string;
}

/** Consecutive records of the replication stream. */
export interface ReplicationBatch {
  /** Sequence number of the first record. */
  readonly from: number;
  readonly records: readonly ReplicationRecord[];
}

/**
 * Message that an owner sends its standby at least once per heartbeat interval, with the records that have not
 * been acknowledged yet.
 */
export interface ReplicationMessage extends StandbyAddress, ReplicationBatch {
  /** Number of changes that the owner has made to job records. */
  readonly recordChanges: number;
}

const wireReplicationMessage = v.object({
  shard,
  term,
  revision: term,
  run: v.string(),
  from: v.pipe(v.number(), v.integer(), v.minValue(0)),
  records: v.pipe(v.array(wireRecord), v.maxLength(MAX_BATCH_RECORDS)),
  changes: v.number(),
});

/** Validates a received replication message; returns null if it is invalid. */
export function readReplicationMessage(value: unknown): ReplicationMessage | null {
  const parsed = v.safeParse(wireReplicationMessage, value);
  if (!parsed.success) return null;
  const { run, records, changes, ...rest } = parsed.output;
  return {
    ...rest,
    incarnation: run,
    records: records.map(readReplicationRecord),
    recordChanges: changes,
  };
}

/** Converts a replication message to its wire form. */
export function writeReplicationMessage(
  message: ReplicationMessage,
): v.InferOutput<typeof wireReplicationMessage> {
  return {
    shard: message.shard,
    term: message.term,
    revision: message.revision,
    run: message.incarnation,
    from: message.from,
    records: message.records.map(writeReplicationRecord),
    changes: message.recordChanges,
  };
}

/** Response of the standby to a replication message. */
export interface ReplicationResponse {
  /** All records before this sequence number have been applied. */
  readonly nextSequence: number;
  /** Time since the key-value store last renewed the lease of the standby's node, in milliseconds. */
  readonly leaseRenewedAgoMs: number;
}

const wireReplicationResponse = v.object({ next: v.number(), stateAgoMs: v.number() });
/** Wire form of a replication response. */
export type WireReplicationResponse = v.InferOutput<typeof wireReplicationResponse>;

/** Validates a received replication response; returns null if it is invalid. */
export function readReplicationResponse(value: unknown): ReplicationResponse | null {
  const parsed = v.safeParse(wireReplicationResponse, value);
  return parsed.success
    ? { nextSequence: parsed.output.next, leaseRenewedAgoMs: parsed.output.stateAgoMs }
    : null;
}

/** Converts a replication response to its wire form. */
export function writeReplicationResponse(response: ReplicationResponse): WireReplicationResponse {
  return { next: response.nextSequence, stateAgoMs: response.leaseRenewedAgoMs };
}

const wireHandoverMessage = v.object({ shard, term, revision: term, run: v.string() });

/**
 * Validates a received handover message, by which the owner states that it has ceased to act and the standby
 * may claim at once. Returns null if it is invalid.
 */
export function readHandoverMessage(value: unknown): StandbyAddress | null {
  const parsed = v.safeParse(wireHandoverMessage, value);
  if (!parsed.success) return null;
  const { run, ...rest } = parsed.output;
  return { ...rest, incarnation: run };
}

/** Converts a handover message to its wire form. */
export function writeHandoverMessage(to: StandbyAddress): v.InferOutput<typeof wireHandoverMessage> {
  return { shard: to.shard, term: to.term, revision: to.revision, run: to.incarnation };
}
