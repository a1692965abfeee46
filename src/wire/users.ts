/**
 * Submissions, job lists and other requests of users, and the responses. The words of the wire stop in this package: the
 * fields of the types below have the term, and their comments the word where it is another one.
 */

import * as v from 'valibot';

/**
 * `shape`: independent tasks (`sweep`), tasks that run only together (`ensemble`), or tasks that run until they are cancelled
 * (`standing`).
 */
export type JobKind = 'array' | 'gang' | 'service';
/** `status`, in which a cancelled job is `aborted`. */
export type JobStatus = 'queued' | 'running' | 'done' | 'cancelled';

/** Priorities, higher before lower. */
export const PRIORITY = { low: 0, normal: 1, high: 2, production: 3 } as const;

/** A job as it was submitted; amounts are for one task, times in seconds. */
export interface JobSpec {
  id: string;
  /** `jobClass`: jobs of a class resemble each other. */
  class: string;
  /** `owner`. */
  team: string;
  /** `shape`. */
  kind: JobKind;
  /** `urgency`, as one of `PRIORITY`. */
  priority: number;
  /** `pieces`: the number of tasks. */
  tasks: number;
  cpus: number;
  /** `cards`. */
  gpus: number;
  memoryGb: number;
  /** `flavors`: the machine types it may run on; null allows all. */
  types: string[] | null;
  /** `yard`: the only zone that it may run in. */
  zone: string | null;
  /** All tasks run in one zone, whichever. */
  oneZone: boolean;
  /** At most half of the tasks run in one zone at once. */
  spread: boolean;
  /** `loaner`: it may run on spot machines. */
  spot: boolean;
  /** `bundle`. */
  image: string;
  /** `pullGb`: size of the image. */
  imageGb: number;
  /** `expectedS`: how long a task is expected to run. */
  estimateS: number;
  /** `saveEveryS`: interval of checkpoints; 0: it has none. */
  checkpointS: number;
  /** `savingS`: how long a checkpoint takes. */
  saveS: number;
  /** `dueS`: the job is to be done within this time of its submission. */
  deadlineS: number | null;
  /** `waitsOn`: jobs that have to be done before any task of this one starts. */
  after: string[];
  /** Further requirements on machines, as match expressions; not part of a submission. */
  match?: MatchSpec;
}

/** Match expressions over a machine's attributes alone (ClassAd syntax). */
export interface MatchSpec {
  requirements: string;
  rank: string | null;
}

const JOB_ID = /^wk-[A-Za-z0-9_-]{1,64}$/;
const name = v.pipe(v.string(), v.minLength(1), v.maxLength(200));
/** The longest body of a submission does not hold more of them. */
const MAX_AFTER = 16_384;
const amount = v.pipe(v.number(), v.finite(), v.minValue(0), v.maxValue(1e9));
/** Kinds of jobs by the words of `shape`. */
export const KINDS = { sweep: 'array', ensemble: 'gang', standing: 'service' } as const;
/** Priorities by the words of `urgency`. */
export const PRIORITIES = {
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
  waitsOn: v.nullish(v.pipe(v.array(v.pipe(v.string(), v.regex(JOB_ID))), v.maxLength(MAX_AFTER))),
});

/** Reads a submission; a string says what is wrong with it. */
export function readJob(body: unknown): JobSpec | string {
  const parsed = v.safeParse(jobBody, body);
  if (!parsed.success) {
    const issue = parsed.issues[0];
    return `${v.getDotPath(issue) ?? 'body'}: ${issue.message}`;
  }
  const b = parsed.output;
  return {
    id: b.id,
    class: b.jobClass,
    team: b.owner,
    kind: KINDS[b.shape],
    priority: PRIORITIES[b.urgency],
    tasks: b.pieces,
    cpus: b.cpus,
    gpus: b.cards,
    memoryGb: b.memoryGb,
    types: b.flavors ?? null,
    zone: b.yard ?? null,
    oneZone: b.oneZone,
    spread: b.spread,
    spot: b.loaner,
    image: b.bundle,
    imageGb: b.pullGb,
    estimateS: b.expectedS,
    checkpointS: b.saveEveryS,
    saveS: b.savingS,
    deadlineS: b.dueS ?? null,
    after: [...new Set(b.waitsOn ?? [])],
  };
}

/** Whether a text has the form of a job's id. */
export function isJobId(id: string): boolean {
  return JOB_ID.test(id);
}

function statusWord(status: JobStatus): string {
  return status === 'cancelled' ? 'aborted' : status;
}

/** The response to a submission or a cancellation. */
export function writeAccepted(id: string, status: JobStatus): object {
  return { id, status: statusWord(status) };
}

/** The response to a status request: number of tasks `done` and `running`. */
export function writeStatus(id: string, status: JobStatus, done: number, running: number): object {
  return { id, status: statusWord(status), done, running };
}

/** The paths of a controller for users: `jobs`, `jobs/ID` and `jobs/ID/cancel`. */
export const USER_PATHS = { jobs: '/api/jobs', cancel: 'abort', health: '/healthz' } as const;

// --- the users' side

const KIND_WORDS = { array: 'sweep', gang: 'ensemble', service: 'standing' } as const;
const PRIORITY_WORDS = ['low', 'standard', 'urgent', 'production'] as const;

/** A submission, as a user sends it. */
export function writeJob(s: JobSpec): object {
  return {
    id: s.id,
    jobClass: s.class,
    owner: s.team,
    shape: KIND_WORDS[s.kind],
    urgency: PRIORITY_WORDS[s.priority] ?? 'standard',
    pieces: s.tasks,
    cpus: s.cpus,
    cards: s.gpus,
    memoryGb: s.memoryGb,
    bundle: s.image,
    pullGb: s.imageGb,
    flavors: s.types,
    yard: s.zone,
    oneZone: s.oneZone,
    spread: s.spread,
    loaner: s.spot,
    expectedS: s.estimateS,
    saveEveryS: s.checkpointS,
    savingS: s.saveS,
    dueS: s.deadlineS,
    ...(s.after.length > 0 && { waitsOn: s.after }),
  };
}

const statusBody = v.object({
  id: v.string(),
  status: v.picklist(['queued', 'running', 'done', 'aborted']),
  done: v.optional(v.number(), 0),
  running: v.optional(v.number(), 0),
});

/** The status of a job, as users see it. */
export interface JobView {
  id: string;
  status: JobStatus;
  /** Number of tasks that are done, and of those that are running. */
  done: number;
  running: number;
}

function statusOf(word: v.InferOutput<typeof statusBody>['status']): JobStatus {
  return word === 'aborted' ? 'cancelled' : word;
}

/** The users' side of `writeStatus`; null when it is malformed. */
export function readStatus(body: unknown): JobView | null {
  const parsed = v.safeParse(statusBody, body);
  if (!parsed.success) return null;
  return { ...parsed.output, status: statusOf(parsed.output.status) };
}

/** One unfinished job of a list. */
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

/** The users' side of `writeJobList`; null when it is malformed. */
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

/** One page of the unfinished jobs; `more`: it is not the last. */
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

/** The response of a healthy controller: up to which revision of the key-value store it knows the cluster's records. */
export function writeHealth(revision: number): object {
  return { ok: true, revision };
}

/** The revision in the response to a health check; null when there is none. */
export function readHealth(body: unknown): number | null {
  const p = v.safeParse(healthBody, body);
  return p.success ? p.output.revision : null;
}
