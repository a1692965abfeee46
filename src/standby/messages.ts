import * as v from 'valibot';

/** Names of the messages between an owner and its standby: to follow, and to take the shard over. */
export const STANDBY_OPS = { replicate: 'stand', handOver: 'assume' } as const;

/** What an owner tells its standby of its shard, one by one and in order. Times of day in milliseconds, images by name. */
const name = v.pipe(v.string(), v.maxLength(300));
const record = v.variant('t', [
  /** All that came before is forgotten: a snapshot begins. */
  v.object({ t: v.literal('begin') }),
  /** The snapshot is complete; from here on nothing is started that was not announced. */
  v.object({ t: v.literal('level') }),
  /** A task of the job may be started on the machine from now on. */
  v.object({ t: v.literal('at'), job: name, machine: name }),
  /** Tasks of the job may be on these machines and on no others; null: on any. */
  v.object({ t: v.literal('only'), job: name, machines: v.nullable(v.array(name)) }),
  /** No task of the job is on the machine any more. */
  v.object({ t: v.literal('off'), job: name, machine: name }),
  v.object({ t: v.literal('over'), job: name }),
  v.object({ t: v.literal('runs'), task: name, attempt: v.number(), since: v.number() }),
  v.object({
    t: v.literal('machine'),
    id: name,
    session: v.number(),
    images: v.array(v.tuple([name, v.number()])),
  }),
  v.object({ t: v.literal('class'), name, log: v.number(), count: v.number() }),
  v.object({ t: v.literal('suspect'), job: name, failures: v.number(), until: v.number() }),
  v.object({ t: v.literal('trusted'), job: name }),
]);
export type ReplicationRecord = v.InferOutput<typeof record>;

/** The most records of one message. */
export const MAX_BATCH_RECORDS = 300;

const term = v.pipe(v.number(), v.integer(), v.minValue(1));
const shard = v.pipe(v.number(), v.integer(), v.minValue(0));

const standMessage = v.object({
  shard,
  term,
  /** Of the key that names the standby, and the run that it names: another run of the same node is not meant. */
  revision: term,
  run: v.string(),
  /** Sequence number of the first record. */
  from: v.pipe(v.number(), v.integer(), v.minValue(0)),
  records: v.pipe(v.array(record), v.maxLength(MAX_BATCH_RECORDS)),
  /** Changes of job records that the owner has made, counted. */
  changes: v.number(),
});
export type ReplicationMessage = v.InferOutput<typeof standMessage>;

export function readReplicationMessage(value: unknown): ReplicationMessage | null {
  const p = v.safeParse(standMessage, value);
  return p.success ? p.output : null;
}

const standAnswer = v.object({
  /** All records before this one have been taken. */
  next: v.number(),
  /** How long ago the state service last renewed the standby's lease. */
  stateAgoMs: v.number(),
});
export type ReplicationResponse = v.InferOutput<typeof standAnswer>;

export function readReplicationResponse(value: unknown): ReplicationResponse | null {
  const p = v.safeParse(standAnswer, value);
  return p.success ? p.output : null;
}

const assumeMessage = v.object({ shard, term, revision: term, run: v.string() });
/** The owner acts no more: the standby may claim at once. */
export type HandoverMessage = v.InferOutput<typeof assumeMessage>;

export function readHandoverMessage(value: unknown): HandoverMessage | null {
  const p = v.safeParse(assumeMessage, value);
  return p.success ? p.output : null;
}

const standKey = v.object({ node: v.string(), run: v.string(), term: v.number(), tag: v.string() });
/** What `c/stand/K` holds; `tag` tells apart writes of which the answer was lost. */
export type StandbyRecord = v.InferOutput<typeof standKey>;

export function readStandbyRecord(value: unknown): StandbyRecord | null {
  const p = v.safeParse(standKey, value);
  return p.success ? p.output : null;
}
