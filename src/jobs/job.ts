// This package contains jobs, their tasks and their records, as held by the owner of their shard and by the
// key-value store.

import type { Amounts } from '../plan/capacityprofile.js';
import type { Match } from '../plan/model.js';
import type { JobSpec, JobStatus } from '../wire/users.js';
import type { TaskAttempt } from '../workers/machine.js';
import { TaskSet } from './taskset.js';

/** Final state of a job. */
export type FinalState = 'done' | 'cancelled';

/** An accepted job as held by its owner. Fields that end in `Wall` are wall-clock times in milliseconds. */
export interface Job {
  spec: JobSpec;
  /** Position in the order of acceptance. */
  order: number;
  /** Index of the team; -1 if the settings do not contain the team. */
  team: number;
  /** Resources required by one task. */
  need: Amounts;
  /** Indices of the allowed machine types; null allows all. */
  types: Set<number> | null;
  /** Index of the required zone; null allows any. */
  zone: number | null;
  /** Index of the container image. */
  image: number;
  /** Requirements on machines given by an expression; null without one. */
  match: Match | null;
  acceptedWall: number;
  /** Deadline of the job, or the default assigned on acceptance. */
  deadlineWall: number;
  /**
   * Whether the job was accepted under the current ownership, so that none of its tasks can be on a machine
   * without the knowledge of this owner.
   */
  acceptedUnderThisTerm: boolean;
  /** Tasks known to be done. */
  done: TaskSet;
  /** Number of done tasks that are stored in the key-value store. */
  storedCount: number;
  /** Tasks that are, or may be, on a machine. */
  placements: Map<number, TaskAttempt>;
  /** Additional attempts of tasks that already have a placement; they are being stopped. */
  duplicateAttempts: Set<TaskAttempt>;
  /** Completed attempts that their machines may forget once the completion is stored. */
  unacknowledgedExits: TaskAttempt[];
  /** Versions of the chunks of done tasks, by their names in the key-value store. */
  chunkVersions: Map<string, number>;
  /** Names of the chunks that have changed since they were last stored. */
  dirtyChunks: Set<string>;
  /** Key prefix of the parts of the description if it is too long for one value; otherwise null. */
  partsPrefix: string | null;
  /** Jobs that must be done before any task of this job starts, and that are not known to be done yet. */
  pendingDependencies: Set<string>;
  /** A dependency of the job was cancelled. The job is cancelled as well, as soon as that can be stored. */
  cancelledByDependency: boolean;
  /**
   * The user has requested cancellation. No task is needed any more, and the end is stored as soon as possible.
   */
  cancelRequested: boolean;
  /**
   * A write of the job's end was sent and may have been applied, so other nodes may have read the end from the
   * key-value store and reported it to the user.
   */
  endWriteSent: boolean;
  /** Priority of the job, or of the most urgent job that depends on it. */
  priority: number;
  /** Whether a task of the job has run under this owner; logged once. */
  hasStarted: boolean;
  /**
   * The job is scheduled together with more urgent work for now, because its last service-level objective is
   * near. It does not preempt other tasks.
   */
  aged: boolean;
  /**
   * For an aged job, only the first task is scheduled ahead: the job has not started, and there is no capacity
   * to place more of it ahead of urgent work.
   */
  onlyFirstTaskAged: boolean;
  /**
   * Deadline of the job, or that of the most urgent job that depends on it, or an earlier one once the job has
   * aged.
   */
  dueWall: number;
  /** Version of the job's record among the unfinished jobs. */
  version: number;
  state: 'active' | FinalState;
  /** Whether completions of the job are being stored. */
  storing: boolean;
  /** Completed tasks are stored from this monotonic time on, in milliseconds, unless they are the last ones. */
  storeAfter: number;
  /** Number of failed rounds of retries while the job is quarantined. */
  failures: number;
  /** The job fails on every machine, so the submission is presumably faulty. */
  quarantined: boolean;
  /** Ids of the machines on which tasks of the job have failed. */
  failedOn: Set<string>;
  /** No task of the job is started before this monotonic time, in milliseconds. */
  notBefore: number;
  /** Largest attempt number used for a task of the job. */
  attempt: number;
}

/** Stored record of an accepted job. Times are wall-clock times in milliseconds. */
export interface JobRecord {
  readonly spec: JobSpec;
  readonly accepted: number;
  readonly deadline: number;
}

/** Information about a job that is kept for as long as a user may query it. */
export interface JobEntry {
  /** Shard that accepted the job. */
  shard: number;
  /** Final state; absent while the job is unfinished. */
  final?: FinalState;
  /** Number of tasks; present once the job has ended. */
  tasks?: number;
  /** Dependencies of an unfinished job. */
  after?: string[];
  /**
   * Key prefix of the parts of an unfinished job's description; present in place of `after` if the description
   * is stored in parts.
   */
  partsPrefix?: string;
}

/** Whether tasks of a job may run on machines of this type, zone and price model. */
export function kindAllowed(job: Job, type: number, zone: number, spot: boolean): boolean {
  if ((job.types && !job.types.has(type)) || (spot && !job.spec.spot)) return false;
  if (job.zone !== null && job.zone !== zone) return false;
  return !job.match || job.match.kind(type, zone, spot);
}

/** Returns the status of a job as known by its owner, with the numbers of done and running tasks. */
export function jobStatus(job: Job): { status: JobStatus; done: number; running: number } {
  let running = 0;
  for (const attempt of job.placements.values())
    if (attempt.state === 'running' || attempt.state === 'saving') running++;
  const status = job.state === 'active' ? (running > 0 ? 'running' : 'queued') : job.state;
  return { status, done: job.done.count, running };
}

/** Creates a job without any progress. */
export function makeJob(
  spec: JobSpec,
  record: { accepted: number; deadline: number; order: number; fresh: boolean; version: number },
  names: { team: number; types: Set<number> | null; zone: number | null; image: number; match: Match | null },
): Job {
  return {
    spec,
    order: record.order,
    team: names.team,
    need: { cpus: spec.cpus, gpus: spec.gpus, memoryGb: spec.memoryGb },
    types: names.types,
    zone: names.zone,
    image: names.image,
    match: names.match,
    acceptedWall: record.accepted,
    deadlineWall: record.deadline,
    acceptedUnderThisTerm: record.fresh,
    done: new TaskSet(spec.tasks),
    storedCount: 0,
    placements: new Map(),
    duplicateAttempts: new Set(),
    unacknowledgedExits: [],
    chunkVersions: new Map(),
    dirtyChunks: new Set(),
    partsPrefix: null,
    pendingDependencies: new Set(),
    cancelledByDependency: false,
    cancelRequested: false,
    endWriteSent: false,
    priority: spec.priority,
    hasStarted: false,
    aged: false,
    onlyFirstTaskAged: false,
    dueWall: record.deadline,
    version: record.version,
    state: 'active',
    storing: false,
    storeAfter: 0,
    failures: 0,
    quarantined: false,
    failedOn: new Set(),
    notBefore: 0,
    attempt: 0,
  };
}

/** Returns the indices of at most `max` tasks that are neither done nor on a machine. */
export function unplacedTasks(job: Job, max: number): number[] {
  const unplaced: number[] = [];
  for (let i = 0; i < job.spec.tasks && unplaced.length < max; i++) {
    if (!job.done.has(i) && !job.placements.has(i)) unplaced.push(i);
  }
  return unplaced;
}

/** Returns the number of tasks that are neither done nor on a machine. */
export function unplacedCount(job: Job): number {
  let placed = 0;
  for (const i of job.placements.keys()) if (!job.done.has(i)) placed++;
  return job.spec.tasks - job.done.count - placed;
}

/** Whether a team has no guaranteed resources and no limit. */
export function hasNoQuota(team: { cpus: number; gpus: number; cpusMax: number; gpusMax: number }): boolean {
  return team.cpus <= 0 && team.gpus <= 0 && team.cpusMax <= 0 && team.gpusMax <= 0;
}

/**
 * Determines which of the jobs, given in the order of acceptance, fit into the guaranteed resources of their
 * team together with the team's earlier unfinished jobs: `whole` contains the jobs that fit completely,
 * `partly` those of which at least one task fits, including all of `whole`. Such jobs need not wait for other
 * teams.
 */
export function withinGuarantee(
  jobs: readonly Job[],
  teams: readonly { cpus: number; gpus: number }[],
): { whole: Set<Job>; partly: Set<Job> } {
  const whole = new Set<Job>();
  const partly = new Set<Job>();
  const used = teams.map(() => ({ cpus: 0, gpus: 0 }));
  for (const job of jobs) {
    const team = teams[job.team];
    const sum = used[job.team];
    // A job that fails on every machine must not use up a guarantee that other jobs wait for.
    if (!team || !sum || job.quarantined) continue;
    // For a team that is guaranteed GPUs only, only GPUs are counted, and only for jobs that need them.
    const counted = team.cpus > 0 || (team.gpus > 0 && job.need.gpus > 0);
    const fits = () => (team.cpus <= 0 || sum.cpus <= team.cpus) && (team.gpus <= 0 || sum.gpus <= team.gpus);
    sum.cpus += job.need.cpus;
    sum.gpus += job.need.gpus;
    if (counted && fits()) partly.add(job);
    const remaining = job.spec.tasks - job.done.count - 1;
    sum.cpus += remaining * job.need.cpus;
    sum.gpus += remaining * job.need.gpus;
    if (counted && fits()) whole.add(job);
  }
  return { whole, partly };
}

/** Number of further tasks of a job that may start in a zone. */
export interface ZoneCapacity {
  /** Index of the zone. */
  readonly zone: number;
  readonly tasks: number;
}

/**
 * Returns the zones in which further tasks of a job may start, in addition to the tasks already on machines,
 * with the number of tasks for each; null if there is no restriction. `zones` contains the zones that the job
 * may use, the best first.
 */
export function zoneCapacity(job: Job, zones: readonly number[]): ZoneCapacity[] | null {
  const { oneZone, spread, tasks } = job.spec;
  if (!oneZone && !spread) return null;
  const placed = new Map<number, number>();
  for (const { machine } of job.placements.values())
    placed.set(machine.zone, (placed.get(machine.zone) ?? 0) + 1);
  if (oneZone && !spread && placed.size === 0) return null;
  const maxPerZone = spread ? Math.ceil(tasks / 2) : tasks;
  const allowed = oneZone ? (placed.size > 0 ? [...placed.keys()] : zones.slice(0, 1)) : zones;
  return allowed
    .map((zone) => ({ zone, tasks: maxPerZone - (placed.get(zone) ?? 0) }))
    .filter((capacity) => capacity.tasks > 0);
}

/**
 * Returns the priority of a job's tasks other than the first task of an aged job, which is scheduled ahead of
 * more urgent work because the job has not started in time.
 */
export function remainingTasksPriority(job: Job): number {
  return job.aged && job.onlyFirstTaskAged ? job.spec.priority : job.priority;
}
