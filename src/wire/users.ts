/**
 * Decodes the requests of users, such as submissions and job lists, and encodes the responses. The types below use
 * the standard terms; where a field has another name in the protocol, its comment gives that name in backquotes. Only
 * the modules in this directory know the names of the protocol.
 */

import * as v from 'valibot';

/**
 * `shape`: independent tasks (`sweep`), tasks that must run simultaneously (`ensemble`), or tasks that run until they
 * are cancelled (`standing`).
 */
export type JobKind = 'array' | 'gang' | 'service';
/** `status`, where `aborted` means cancelled. */
export type JobStatus = 'queued' | 'running' | 'done' | 'cancelled';

/** Job priorities; a higher number is scheduled before a lower one. */
export const PRIORITY = { low: 0, normal: 1, high: 2, production: 3 } as const;

/** The specification of a submitted job. Amounts are per task, times are in seconds. */
export interface JobSpec {
  id: string;
  /** `jobClass`: a name for similar jobs. */
  class: string;
  /** `owner`. */
  team: string;
  /** `shape`. */
  kind: JobKind;
  /** `urgency`: one of the values of `PRIORITY`. */
  priority: number;
  /** `pieces`: the number of tasks. */
  tasks: number;
  cpus: number;
  /** `cards`. */
  gpus: number;
  memoryGb: number;
  /** `flavors`: the allowed machine types; null allows all. */
  types: string[] | null;
  /** `yard`: the only allowed zone; null allows all. */
  zone: string | null;
  /** Whether all tasks must run in the same zone, which may be any. */
  oneZone: boolean;
  /** Whether at most half of the tasks may run in the same zone at the same time. */
  spread: boolean;
  /** `loaner`: whether the tasks may run on spot machines. */
  spot: boolean;
  /** `bundle`. */
  image: string;
  /** `pullGb`: size of the image. */
  imageGb: number;
  /** `expectedS`: expected run time of a task. */
  estimateS: number;
  /** `saveEveryS`: checkpoint interval; 0 if the tasks save no checkpoints. */
  checkpointS: number;
  /** `savingS`: time to save a checkpoint. */
  saveS: number;
  /** `dueS`: time from the submission to the deadline for all tasks; null if there is no deadline. */
  deadlineS: number | null;
  /** `waitsOn`: ids of the jobs that must be done before any task of this job starts. */
  after: string[];
  /** Further requirements on machines as match expressions; not part of a user's submission. */
  match?: MatchSpec;
}

/** Match expressions in ClassAd syntax that refer only to a machine's attributes. */
export interface MatchSpec {
  requirements: string;
  rank: string | null;
}

const JOB_ID = /^wk-[A-Za-z0-9_-]{1,64}$/;
const name = v.pipe(v.string(), v.minLength(1), v.maxLength(200));
/** Maximum number of dependencies of a job; the maximum size of a submission has no room for more. */
const MAX_DEPENDENCIES = 16_384;
const amount = v.pipe(v.number(), v.finite(), v.minValue(0), v.maxValue(1e9));
/** Job kinds by the values of `shape`. */
export const KINDS_BY_SHAPE = { sweep: 'array', ensemble: 'gang', standing: 'service' } as const;
/** Priorities by the values of `urgency`. */
export const PRIORITIES_BY_URGENCY = {
  production: PRIORITY.production,
  urgent: PRIORITY.high,
  standard: PRIORITY.normal,
  low: PRIORITY.low,
} as const;

const jobBody = v.object({
  id: v.pipe(v.string(), v.regex(JOB_ID)),
  jobClass: name,
  owner: name,
  shape: v.picklist(['sweep', 'ensemble', 'standing']),
  urgency: v.picklist(['production', 'urgent', 'standard', 'low']),
  pieces: v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(100_000)),
  cpus: amount,
  cards: amount,
  memoryGb: amount,
  bundle: name,
  pullGb: amount,
  flavors: v.nullish(v.pipe(v.array(name), v.maxLength(200))),
  yard: v.nullish(name),
  oneZone: v.boolean(),
  spread: v.boolean(),
  loaner: v.boolean(),
  expectedS: amount,
  saveEveryS: amount,
  savingS: amount,
  dueS: v.nullish(v.pipe(v.number(), v.finite(), v.gtValue(0))),
  waitsOn: v.nullish(v.pipe(v.array(v.pipe(v.string(), v.regex(JOB_ID))), v.maxLength(MAX_DEPENDENCIES))),
});

/** Decodes and validates a submission; returns a description of the first error if it is invalid. */
export function readJob(body: unknown): JobSpec | string {
  const parsed = v.safeParse(jobBody, body);
  if (!parsed.success) {
    const issue = parsed.issues[0];
    return `${v.getDotPath(issue) ?? 'body'}: ${issue.message}`;
  }
  const submission = parsed.output;
  return {
    id: submission.id,
    class: submission.jobClass,
    team: submission.owner,
    kind: KINDS_BY_SHAPE[submission.shape],
    priority: PRIORITIES_BY_URGENCY[submission.urgency],
    tasks: submission.pieces,
    cpus: submission.cpus,
    gpus: submission.cards,
    memoryGb: submission.memoryGb,
    types: submission.flavors ?? null,
    zone: submission.yard ?? null,
    oneZone: submission.oneZone,
    spread: submission.spread,
    spot: submission.loaner,
    image: submission.bundle,
    imageGb: submission.pullGb,
    estimateS: submission.expectedS,
    checkpointS: submission.saveEveryS,
    saveS: submission.savingS,
    deadlineS: submission.dueS ?? null,
    after: [...new Set(submission.waitsOn ?? [])],
  };
}

/** Returns whether a string has the form of a job id. */
export function isJobId(id: string): boolean {
  return JOB_ID.test(id);
}

function statusWord(status: JobStatus): string {
  return status === 'cancelled' ? 'aborted' : status;
}

/** Encodes the response to a submission or a cancellation. */
export function writeAccepted(id: string, status: JobStatus): object {
  return { id, status: statusWord(status) };
}

/** Encodes the response to a status request; `done` and `running` are numbers of tasks. */
export function writeStatus(id: string, status: JobStatus, done: number, running: number): object {
  return { id, status: statusWord(status), done, running };
}

/** Paths of a controller's API for users; `cancel` is the last segment of the path of a job's cancellation. */
export const USER_PATHS = { jobs: '/api/jobs', cancel: 'abort', health: '/healthz' } as const;

// --- The users' side of the protocol.

const KIND_WORDS = { array: 'sweep', gang: 'ensemble', service: 'standing' } as const;
const PRIORITY_WORDS = ['low', 'standard', 'urgent', 'production'] as const;

/** Encodes a submission. */
export function writeJob(spec: JobSpec): object {
  return {
    id: spec.id,
    jobClass: spec.class,
    owner: spec.team,
    shape: KIND_WORDS[spec.kind],
    urgency: PRIORITY_WORDS[spec.priority] ?? 'standard',
    pieces: spec.tasks,
    cpus: spec.cpus,
    cards: spec.gpus,
    memoryGb: spec.memoryGb,
    bundle: spec.image,
    pullGb: spec.imageGb,
    flavors: spec.types,
    yard: spec.zone,
    oneZone: spec.oneZone,
    spread: spec.spread,
    loaner: spec.spot,
    expectedS: spec.estimateS,
    saveEveryS: spec.checkpointS,
    savingS: spec.saveS,
    dueS: spec.deadlineS,
    ...(spec.after.length > 0 && { waitsOn: spec.after }),
  };
}

const statusBody = v.object({
  id: v.string(),
  status: v.picklist(['queued', 'running', 'done', 'aborted']),
  done: v.optional(v.number(), 0),
  running: v.optional(v.number(), 0),
});

/** The status of a job as shown to users. */
export interface JobView {
  id: string;
  status: JobStatus;
  /** Number of finished tasks. */
  done: number;
  /** Number of running tasks. */
  running: number;
}

function statusOf(word: v.InferOutput<typeof statusBody>['status']): JobStatus {
  return word === 'aborted' ? 'cancelled' : word;
}

/** Decodes what `writeStatus` encodes; returns null if it is malformed. */
export function readStatus(body: unknown): JobView | null {
  const parsed = v.safeParse(statusBody, body);
  if (!parsed.success) return null;
  return { ...parsed.output, status: statusOf(parsed.output.status) };
}

/** An unfinished job in a job list. */
export interface ListedJob extends JobView {
  /** `owner`. */
  team: string;
  /** `jobClass`. */
  class: string;
  /** `pieces`. */
  tasks: number;
}

const listBody = v.object({
  jobs: v.array(
    v.object({ ...statusBody.entries, owner: v.string(), jobClass: v.string(), pieces: v.number() }),
  ),
  more: v.boolean(),
});

/** Decodes what `writeJobList` encodes; returns null if it is malformed. */
export function readJobList(body: unknown): { jobs: ListedJob[]; more: boolean } | null {
  const parsed = v.safeParse(listBody, body);
  if (!parsed.success) return null;
  const jobs = parsed.output.jobs.map(({ owner, jobClass, pieces, ...view }) => ({
    ...view,
    status: statusOf(view.status),
    team: owner,
    class: jobClass,
    tasks: pieces,
  }));
  return { jobs, more: parsed.output.more };
}

/** Encodes a page of unfinished jobs; `more` means that further pages follow. */
export function writeJobList(jobs: readonly ListedJob[], more: boolean): object {
  return {
    jobs: jobs.map(({ team, class: jobClass, tasks, ...view }) => ({
      ...writeStatus(view.id, view.status, view.done, view.running),
      owner: team,
      jobClass,
      pieces: tasks,
    })),
    more,
  };
}

const healthBody = v.object({ revision: v.number() });

/** Encodes the response of a healthy controller; its cache of the key-value store's records is at `revision`. */
export function writeHealth(revision: number): object {
  return { ok: true, revision };
}

/** Decodes the revision in the response to a health check; returns null if there is none. */
export function readHealth(body: unknown): number | null {
  const parsed = v.safeParse(healthBody, body);
  return parsed.success ? parsed.output.revision : null;
}
