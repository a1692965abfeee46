import * as v from 'valibot';

/** Names of the messages between an owner and its standby: to follow, and to take the shard over. */
export const STANDBY_OPS = { stand: 'stand', assume: 'assume' } as const;

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
export type FeedRecord = v.InferOutput<typeof record>;

/** The most records of one message. */
export const BATCH_MOST = 300;

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
  records: v.pipe(v.array(record), v.maxLength(BATCH_MOST)),
  /** Changes of job records that the owner has made, counted. */
  changes: v.number(),
});
export type StandMessage = v.InferOutput<typeof standMessage>;

export function readStandMessage(value: unknown): StandMessage | null {
  const p = v.safeParse(standMessage, value);
  return p.success ? p.output : null;
}

const standAnswer = v.object({
  /** All records before this one have been taken. */
  next: v.number(),
  /** How long ago the state service last renewed the standby's lease. */
  stateAgoMs: v.number(),
});
export type StandAnswer = v.InferOutput<typeof standAnswer>;

export function readStandAnswer(value: unknown): StandAnswer | null {
  const p = v.safeParse(standAnswer, value);
  return p.success ? p.output : null;
}

const assumeMessage = v.object({ shard, term, revision: term, run: v.string() });
/** The owner acts no more: the standby may claim at once. */
export type AssumeMessage = v.InferOutput<typeof assumeMessage>;

export function readAssumeMessage(value: unknown): AssumeMessage | null {
  const p = v.safeParse(assumeMessage, value);
  return p.success ? p.output : null;
}

const standKey = v.object({ node: v.string(), run: v.string(), term: v.number(), tag: v.string() });
/** What `c/stand/K` holds; `tag` tells apart writes of which the answer was lost. */
export type StandKey = v.InferOutput<typeof standKey>;

export function readStandKey(value: unknown): StandKey | null {
  const p = v.safeParse(standKey, value);
  return p.success ? p.output : null;
}
