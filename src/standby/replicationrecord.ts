import * as v from 'valibot';

/**
 * What an owner replicates to its standby of one shard, one record at a time and in order. On the wire each record is
 * named by a short tag (`t`), which versions of this program have in common; in the code by its `kind`.
 */

/** A machine's image cache as it is replicated. */
export interface ReplicatedImage {
  /** The image's name, since indices of names differ from node to node. */
  readonly image: string;
  /** The image's size in gigabytes. */
  readonly gb: number;
}

/** One record of the replication stream. Times of day are in milliseconds. */
export type ReplicationRecord =
  /** All that came before is void: a snapshot begins. */
  | { readonly kind: 'snapshotBegin' }
  /** The snapshot is complete; from here on nothing is started that was not announced. */
  | { readonly kind: 'inSync' }
  /** A task of the job may be started on the machine from now on. */
  | { readonly kind: 'mayRunOn'; readonly job: string; readonly machine: string }
  /** Tasks of the job may be on these machines and on no others; null: on any. */
  | { readonly kind: 'runsOnlyOn'; readonly job: string; readonly machines: readonly string[] | null }
  /** No task of the job is on the machine any more. */
  | { readonly kind: 'leftMachine'; readonly job: string; readonly machine: string }
  /** The job has ended: nothing of it is to be kept. */
  | { readonly kind: 'jobEnded'; readonly job: string }
  /** An attempt of a task (`JOB/INDEX`) has run since this time of day. */
  | {
      readonly kind: 'attemptRunning';
      readonly task: string;
      readonly attempt: number;
      readonly runningSince: number;
    }
  /** The incarnation of a machine and the images in its cache. */
  | {
      readonly kind: 'machine';
      readonly id: string;
      readonly incarnation: number;
      readonly images: readonly ReplicatedImage[];
    }
  /** Mean logarithm of run time to estimate that a class of jobs has shown, over `count` tasks. */
  | {
      readonly kind: 'runtimeEstimate';
      readonly jobClass: string;
      readonly log: number;
      readonly count: number;
    }
  /** The job is quarantined after this many failures, until this time of day. */
  | { readonly kind: 'quarantined'; readonly job: string; readonly failures: number; readonly until: number }
  /** The job is no longer quarantined. */
  | { readonly kind: 'quarantineLifted'; readonly job: string };

const name = v.pipe(v.string(), v.maxLength(300));

/** A record as it is sent; the order of fields is that of their bytes. */
export const wireRecord = v.variant('t', [
  v.object({ t: v.literal('begin') }),
  v.object({ t: v.literal('level') }),
  v.object({ t: v.literal('at'), job: name, machine: name }),
  v.object({ t: v.literal('only'), job: name, machines: v.nullable(v.array(name)) }),
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
/** A record of the replication stream as it is sent. */
export type WireReplicationRecord = v.InferOutput<typeof wireRecord>;

/** A checked record of the wire, as the code sees it. */
export function readReplicationRecord(r: WireReplicationRecord): ReplicationRecord {
  switch (r.t) {
    case 'begin':
      return { kind: 'snapshotBegin' };
    case 'level':
      return { kind: 'inSync' };
    case 'at':
      return { kind: 'mayRunOn', job: r.job, machine: r.machine };
    case 'only':
      return { kind: 'runsOnlyOn', job: r.job, machines: r.machines };
    case 'off':
      return { kind: 'leftMachine', job: r.job, machine: r.machine };
    case 'over':
      return { kind: 'jobEnded', job: r.job };
    case 'runs':
      return { kind: 'attemptRunning', task: r.task, attempt: r.attempt, runningSince: r.since };
    case 'machine': {
      const images = r.images.map(([image, gb]) => ({ image, gb }));
      return { kind: 'machine', id: r.id, incarnation: r.session, images };
    }
    case 'class':
      return { kind: 'runtimeEstimate', jobClass: r.name, log: r.log, count: r.count };
    case 'suspect':
      return { kind: 'quarantined', job: r.job, failures: r.failures, until: r.until };
    case 'trusted':
      return { kind: 'quarantineLifted', job: r.job };
  }
}

/** A record as it is sent. */
export function writeReplicationRecord(r: ReplicationRecord): WireReplicationRecord {
  switch (r.kind) {
    case 'snapshotBegin':
      return { t: 'begin' };
    case 'inSync':
      return { t: 'level' };
    case 'mayRunOn':
      return { t: 'at', job: r.job, machine: r.machine };
    case 'runsOnlyOn':
      return { t: 'only', job: r.job, machines: r.machines && [...r.machines] };
    case 'leftMachine':
      return { t: 'off', job: r.job, machine: r.machine };
    case 'jobEnded':
      return { t: 'over', job: r.job };
    case 'attemptRunning':
      return { t: 'runs', task: r.task, attempt: r.attempt, since: r.runningSince };
    case 'machine': {
      const images = r.images.map(({ image, gb }): [string, number] => [image, gb]);
      return { t: 'machine', id: r.id, session: r.incarnation, images };
    }
    case 'runtimeEstimate':
      return { t: 'class', name: r.jobClass, log: r.log, count: r.count };
    case 'quarantined':
      return { t: 'suspect', job: r.job, failures: r.failures, until: r.until };
    case 'quarantineLifted':
      return { t: 'trusted', job: r.job };
  }
}
