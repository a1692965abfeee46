// This package: jobs, their tasks and their records, as their owner and the key-value store have them.

import type { Amounts } from '../plan/capacityprofile.js';
import type { Match } from '../plan/model.js';
import type { JobSpec, JobStatus } from '../wire/users.js';
import type { TaskAttempt } from '../workers/machine.js';
import { TaskSet } from './taskset.js';

/** How a job ended. */
export type FinalState = 'done' | 'cancelled';

/** An accepted job as its owner holds it. Fields that end in `Wall` are times of day in milliseconds. */
export interface Job {
  spec: JobSpec;
  /** Position in the order of acceptance. */
  order: number;
  /** Index of its team; -1 for one that the settings do not name. */
  team: number;
  /** What one task takes. */
  need: Amounts;
  /** Indices of the machine types that it may use; null: all. */
  types: Set<number> | null;
  /** Index of the zone that it is bound to; null: any. */
  zone: number | null;
  /** Index of its image. */
  image: number;
  /** What it demands of machines by an expression; null: nothing. */
  match: Match | null;
  acceptedWall: number;
  /** Its own deadline, or the one that it was given on acceptance. */
  deadlineWall: number;
  /** Accepted under the present ownership, so that no task of it can be on a machine without this owner's knowledge. */
  acceptedUnderThisTerm: boolean;
  /** Tasks known to be done. */
  done: TaskSet;
  /** How many of them the key-value store knows of. */
  storedCount: number;
  /** Tasks that are, or may be, on a machine. */
  placements: Map<number, TaskAttempt>;
  /** Further attempts of tasks that have a placement already; they are being stopped. */
  duplicateAttempts: Set<TaskAttempt>;
  /** Completed attempts that their machines may forget once the completion is stored. */
  unacknowledgedExits: TaskAttempt[];
  /** Versions of its chunks of done tasks, by their names in the key-value store. */
  chunkVersions: Map<string, number>;
  /** Chunks that have changed since they were stored, by name. */
  dirtyChunks: Set<string>;
  /** The prefix of the parts of its description, when that is too long for one value; else null. */
  partsUnder: string | null;
  /** Jobs that are not known to be done yet and have to be before any task of this one starts. */
  pendingDependencies: Set<string>;
  /** A job that it needs was cancelled: it is cancelled as well, as soon as that can be stored. */
  cancelledByDependency: boolean;
  /** Its user has asked to cancel it: nothing of it is wanted any more, and its end is stored as soon as that can be. */
  cancelRequested: boolean;
  /** A write of its end was sent and may have been made: others may have read it there, and told its user. */
  endWriteSent: boolean;
  /** Its own priority, or that of the most urgent job that needs it. */
  priority: number;
  /** A task of it has run under this owner; logged once. */
  hasStarted: boolean;
  /** Goes with more urgent work for now, since its last service-level objective is near; it stops nothing. */
  aged: boolean;
  /** Of one that has aged, only its first task goes before: it has not begun, and there is no capacity for more of it before urgent work. */
  onlyFirstTaskAged: boolean;
  /** Its own deadline, or that of the most urgent job that needs it, or an earlier one since it has aged. */
  dueWall: number;
  /** Version of its record among the unfinished jobs. */
  version: number;
  state: 'active' | FinalState;
  /** Its completions are being stored. */
  storing: boolean;
  /** Completed tasks are stored from then on (steady milliseconds), unless they are the last ones. */
  storeAfter: number;
  /** Rounds of retries that have failed while it is quarantined. */
  failures: number;
  /** It fails on every machine: submitted with a mistake, as it seems. */
  quarantined: boolean;
  /** Ids of machines on which tasks of it have failed. */
  failedOn: Set<string>;
  /** No task of it is started before then, in steady milliseconds. */
  notBefore: number;
  /** The largest attempt number that was used for a task of it. */
  attempt: number;
}

/** What is stored of an accepted job. Times of day in milliseconds. */
export interface JobRecord {
  readonly spec: JobSpec;
  readonly accepted: number;
  readonly deadline: number;
}

/** What stays of a job for as long as anybody may ask. */
export interface JobEntry {
  /** The shard that accepted it. */
  shard: number;
  /** How it ended; absent while it is unfinished. */
  final?: FinalState;
  /** How many tasks it had; of one that has ended. */
  tasks?: number;
  /** Of an unfinished job: the jobs that it depends on. */
  after?: string[];
  /** Of an unfinished job whose description is stored in parts: their prefix, in place of `after`. */
  partsUnder?: string;
}

/** Whether a kind of machine may take tasks of a job. */
export function kindAllowed(job: Job, type: number, zone: number, spot: boolean): boolean {
  if ((job.types && !job.types.has(type)) || (spot && !job.spec.spot)) return false;
  if (job.zone !== null && job.zone !== zone) return false;
  return !job.match || job.match.kind(type, zone, spot);
}

/** What its owner tells of a job: how many of its tasks are done and how many run. */
export function jobStatus(job: Job): { status: JobStatus; done: number; running: number } {
  let running = 0;
  for (const h of job.placements.values()) if (h.state === 'running' || h.state === 'saving') running++;
  const status = job.state === 'active' ? (running > 0 ? 'running' : 'queued') : job.state;
  return { status, done: job.done.count, running };
}

/** A job that nothing has been done of yet. */
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
    partsUnder: null,
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

/** Indices of tasks that are neither done nor on a machine, at most `max` of them. */
export function unplacedTasks(job: Job, max: number): number[] {
  const out: number[] = [];
  for (let i = 0; i < job.spec.tasks && out.length < max; i++) {
    if (!job.done.has(i) && !job.placements.has(i)) out.push(i);
  }
  return out;
}

/** How many tasks are neither done nor on a machine. */
export function unplacedCount(job: Job): number {
  let placed = 0;
  for (const i of job.placements.keys()) if (!job.done.has(i)) placed++;
  return job.spec.tasks - job.done.count - placed;
}

/** A team that is guaranteed nothing and may use as much as there is. */
export function hasNoQuota(team: { cpus: number; gpus: number; cpusMax: number; gpusMax: number }): boolean {
  return team.cpus <= 0 && team.gpus <= 0 && team.cpusMax <= 0 && team.gpusMax <= 0;
}

/**
 * Of jobs in the order of acceptance, those that fit into what their team is guaranteed together with the team's earlier
 * unfinished ones (`whole`), and those of which a part does (`partly`, the former included). While they do, they need
 * not wait for other teams.
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
    // A job that fails everywhere holds no guarantee that others wait for.
    if (!team || !sum || job.quarantined) continue;
    // A team with a guarantee of GPUs alone counts GPUs alone, for work that needs them.
    const measured = team.cpus > 0 || (team.gpus > 0 && job.need.gpus > 0);
    const fits = () => (team.cpus <= 0 || sum.cpus <= team.cpus) && (team.gpus <= 0 || sum.gpus <= team.gpus);
    sum.cpus += job.need.cpus;
    sum.gpus += job.need.gpus;
    if (measured && fits()) partly.add(job);
    const more = job.spec.tasks - job.done.count - 1;
    sum.cpus += more * job.need.cpus;
    sum.gpus += more * job.need.gpus;
    if (measured && fits()) whole.add(job);
  }
  return { whole, partly };
}

/** How many further tasks of a job may start in a zone. */
export interface ZoneCapacity {
  /** The zone's index. */
  readonly zone: number;
  readonly tasks: number;
}

/**
 * In which zones further tasks of a job may start beside those on machines, and how many in each; null when that is any number
 * anywhere. `zones` are those that it may use at all, the best first.
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

/** The priority of a job's tasks, without the one that goes before more urgent work since the job has not begun in time. */
export function remainingTasksPriority(job: Job): number {
  return job.aged && job.onlyFirstTaskAged ? job.spec.priority : job.priority;
}
