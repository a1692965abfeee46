import * as v from 'valibot';
import {
  type ReplicationRecord,
  readReplicationRecord,
  wireRecord,
  writeReplicationRecord,
} from './replicationrecord.js';

/**
 * The messages between an owner and its standby. `read…` checks what has come and returns it by the names of the code,
 * null when it is none; `write…` returns what is sent.
 */

/** Names of the messages between an owner and its standby: to replicate, and to hand the shard over. */
export const STANDBY_OPS = { replicate: 'stand', handOver: 'assume' } as const;

/** The most records of one message. */
export const MAX_BATCH_RECORDS = 300;

const term = v.pipe(v.number(), v.integer(), v.minValue(1));
const shard = v.pipe(v.number(), v.integer(), v.minValue(0));

/** Which owner speaks to which standby. */
export interface StandbyAddress {
  readonly shard: number;
  /** Revision of the owner's key. */
  readonly term: number;
  /** Revision of the key that names the standby. */
  readonly revision: number;
  /** The incarnation of the node that this key names: another one of the same node is not meant. */
  readonly incarnation: string;
}

/** Some records of the stream, in order. */
export interface ReplicationBatch {
  /** Sequence number of the first record. */
  readonly from: number;
  readonly records: readonly ReplicationRecord[];
}

/** What an owner sends its standby at least each heartbeat interval: the records that are not acknowledged yet. */
export interface ReplicationMessage extends StandbyAddress, ReplicationBatch {
  /** Changes of job records that the owner has made, counted. */
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

/** A replication message that has come; null when it is none. */
export function readReplicationMessage(value: unknown): ReplicationMessage | null {
  const p = v.safeParse(wireReplicationMessage, value);
  if (!p.success) return null;
  const { run, records, changes, ...rest } = p.output;
  return {
    ...rest,
    incarnation: run,
    records: records.map(readReplicationRecord),
    recordChanges: changes,
  };
}

/** A replication message as it is sent. */
export function writeReplicationMessage(m: ReplicationMessage): v.InferOutput<typeof wireReplicationMessage> {
  return {
    shard: m.shard,
    term: m.term,
    revision: m.revision,
    run: m.incarnation,
    from: m.from,
    records: m.records.map(writeReplicationRecord),
    changes: m.recordChanges,
  };
}

/** The standby's answer to a replication message. */
export interface ReplicationResponse {
  /** All records before this sequence number have been applied. */
  readonly nextSequence: number;
  /** How long ago the key-value store last renewed the lease of the standby's node, in milliseconds. */
  readonly leaseRenewedAgoMs: number;
}

const wireReplicationResponse = v.object({ next: v.number(), stateAgoMs: v.number() });
/** The answer as it is sent. */
export type WireReplicationResponse = v.InferOutput<typeof wireReplicationResponse>;

/** A standby's answer that has come; null when it is none. */
export function readReplicationResponse(value: unknown): ReplicationResponse | null {
  const p = v.safeParse(wireReplicationResponse, value);
  return p.success ? { nextSequence: p.output.next, leaseRenewedAgoMs: p.output.stateAgoMs } : null;
}

/** A standby's answer as it is sent. */
export function writeReplicationResponse(r: ReplicationResponse): WireReplicationResponse {
  return { next: r.nextSequence, stateAgoMs: r.leaseRenewedAgoMs };
}

const wireHandoverMessage = v.object({ shard, term, revision: term, run: v.string() });

/** The owner has ceased to act: the standby may claim at once. Null when it is no such message. */
export function readHandoverMessage(value: unknown): StandbyAddress | null {
  const p = v.safeParse(wireHandoverMessage, value);
  if (!p.success) return null;
  const { run, ...rest } = p.output;
  return { ...rest, incarnation: run };
}

/** A handover message as it is sent. */
export function writeHandoverMessage(to: StandbyAddress): v.InferOutput<typeof wireHandoverMessage> {
  return { shard: to.shard, term: to.term, revision: to.revision, run: to.incarnation };
}
