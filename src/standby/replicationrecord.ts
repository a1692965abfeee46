import * as v from 'valibot';

/**
 * Records that the owner of a shard replicates to its standby, one at a time and in order. On the wire, a short
 * tag (`t`) that all versions of this program share identifies the record type; in the code the field `kind`
 * does.
 */

/** Replicated entry of a machine's image cache. */
export interface ReplicatedImage {
  /** Name of the image. Indices are not sent because they differ from node to node. */
  readonly image: string;
  /** Size of the image in gigabytes. */
  readonly gb: number;
}

/** One record of the replication stream. Times are wall-clock times in milliseconds. */
export type ReplicationRecord =
  /** A snapshot begins, and all earlier records are void. */
  | { readonly kind: 'snapshotBegin' }
  /** The snapshot is complete. From here on, no task is started that has not been announced. */
  | { readonly kind: 'inSync' }
  /** A task of the job may be started on the machine from now on. */
  | { readonly kind: 'mayRunOn'; readonly job: string; readonly machine: string }
  /** Tasks of the job may be on these machines and on no others; null if they may be on any machine. */
  | { readonly kind: 'runsOnlyOn'; readonly job: string; readonly machines: readonly string[] | null }
  /** No task of the job is left on the machine. */
  | { readonly kind: 'leftMachine'; readonly job: string; readonly machine: string }
  /** The job has ended, and its state can be dropped. */
  | { readonly kind: 'jobEnded'; readonly job: string }
  /** An attempt of a task (`JOB/INDEX`) has been running since this wall-clock time. */
  | {
      readonly kind: 'attemptRunning';
      readonly task: string;
      readonly attempt: number;
      readonly runningSince: number;
    }
  /** Incarnation of a machine and the images in its cache. */
  | {
      readonly kind: 'machine';
      readonly id: string;
      readonly incarnation: number;
      readonly images: readonly ReplicatedImage[];
    }
  /** Mean logarithm of the ratio of run time to estimate for a class of jobs, over `count` tasks. */
  | {
      readonly kind: 'runtimeEstimate';
      readonly jobClass: string;
      readonly log: number;
      readonly count: number;
    }
  /** The job is quarantined after this number of failures, until this wall-clock time. */
  | { readonly kind: 'quarantined'; readonly job: string; readonly failures: number; readonly until: number }
  /** The job is no longer quarantined. */
  | { readonly kind: 'quarantineLifted'; readonly job: string };

const name = v.pipe(v.string(), v.maxLength(300));

/** Wire form of a record. The order of the fields determines the order of the encoded bytes. */
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
/** Wire form of a replication record. */
export type WireReplicationRecord = v.InferOutput<typeof wireRecord>;

/** Converts a validated record from its wire form. */
export function readReplicationRecord(record: WireReplicationRecord): ReplicationRecord {
  switch (record.t) {
    case 'begin':
      return { kind: 'snapshotBegin' };
    case 'level':
      return { kind: 'inSync' };
    case 'at':
      return { kind: 'mayRunOn', job: record.job, machine: record.machine };
    case 'only':
      return { kind: 'runsOnlyOn', job: record.job, machines: record.machines };
    case 'off':
      return { kind: 'leftMachine', job: record.job, machine: record.machine };
    case 'over':
      return { kind: 'jobEnded', job: record.job };
    case 'runs':
      return {
        kind: 'attemptRunning',
        task: record.task,
        attempt: record.attempt,
        runningSince: record.since,
      };
    case 'machine': {
      const images = record.images.map(([image, gb]) => ({ image, gb }));
      return { kind: 'machine', id: record.id, incarnation: record.session, images };
    }
    case 'class':
      return { kind: 'runtimeEstimate', jobClass: record.name, log: record.log, count: record.count };
    case 'suspect':
      return { kind: 'quarantined', job: record.job, failures: record.failures, until: record.until };
    case 'trusted':
      return { kind: 'quarantineLifted', job: record.job };
  }
}

/** Converts a record to its wire form. */
export function writeReplicationRecord(record: ReplicationRecord): WireReplicationRecord {
  switch (record.kind) {
    case 'snapshotBegin':
      return { t: 'begin' };
    case 'inSync':
      return { t: 'level' };
    case 'mayRunOn':
      return { t: 'at', job: record.job, machine: record.machine };
    case 'runsOnlyOn':
      return { t: 'only', job: record.job, machines: record.machines && [...record.machines] };
    case 'leftMachine':
      return { t: 'off', job: record.job, machine: record.machine };
    case 'jobEnded':
      return { t: 'over', job: record.job };
    case 'attemptRunning':
      return { t: 'runs', task: record.task, attempt: record.attempt, since: record.runningSince };
    case 'machine': {
      const images = record.images.map(({ image, gb }): [string, number] => [image, gb]);
      return { t: 'machine', id: record.id, session: record.incarnation, images };
    }
    case 'runtimeEstimate':
      return { t: 'class', name: record.jobClass, log: record.log, count: record.count };
    case 'quarantined':
      return { t: 'suspect', job: record.job, failures: record.failures, until: record.until };
    case 'quarantineLifted':
      return { t: 'trusted', job: record.job };
  }
}
