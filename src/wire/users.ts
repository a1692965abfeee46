// This package: formats of all interfaces, and the mapping of their names to the ones used inside.
import * as v from 'valibot';

/** What users send and are told. The wire's own words for things stop in this package. */
export type JobKind = 'array' | 'gang' | 'service';
export type JobStatus = 'queued' | 'running' | 'done' | 'cancelled';

/** Priorities, larger before smaller. */
export const PRIORITY = { low: 0, normal: 1, high: 2, production: 3 } as const;

export interface JobSpec {
  id: string;
  class: string;
  team: string;
  kind: JobKind;
  priority: number;
  tasks: number;
  cpus: number;
  gpus: number;
  memoryGb: number;
  types: string[] | null;
  zone: string | null;
  oneZone: boolean;
  spread: boolean;
  spot: boolean;
  image: string;
  imageGb: number;
  estimateS: number;
  checkpointS: number;
  saveS: number;
  deadlineS: number | null;
  /** Jobs that have to be done before any task of this one starts. */
  after: string[];
  /** What it asks of machines beyond the above, as match expressions; not part of a submission. */
  match?: MatchSpec;
}

/** Match expressions over a machine's attributes alone (ClassAd syntax). */
export interface MatchSpec {
  requirements: string;
  rank: string | null;
}

const JOB_ID = /^wk-[A-Za-z0-9_-]{1,64}$/;
const name = v.pipe(v.string(), v.minLength(1), v.maxLength(200));
/** No submission has room for more of them. */
const MAX_AFTER = 16_384;
const amount = v.pipe(v.number(), v.finite(), v.minValue(0), v.maxValue(1e9));
/** Kinds and priorities by the wire's words. */
export const KINDS = { sweep: 'array', ensemble: 'gang', standing: 'service' } as const;
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

export function isJobId(id: string): boolean {
  return JOB_ID.test(id);
}

function statusWord(status: JobStatus): string {
  return status === 'cancelled' ? 'aborted' : status;
}

export function writeAccepted(id: string, status: JobStatus): object {
  return { id, status: statusWord(status) };
}

export function writeStatus(id: string, status: JobStatus, done: number, running: number): object {
  return { id, status: statusWord(status), done, running };
}

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

export interface JobView {
  id: string;
  status: JobStatus;
  done: number;
  running: number;
}

function statusOf(word: v.InferOutput<typeof statusBody>['status']): JobStatus {
  return word === 'aborted' ? 'cancelled' : word;
}

/** How a job stands, as a user is told; null when it cannot be read. */
export function readStatus(body: unknown): JobView | null {
  const parsed = v.safeParse(statusBody, body);
  if (!parsed.success) return null;
  return { ...parsed.output, status: statusOf(parsed.output.status) };
}

/** One unfinished job of a list. */
export interface ListedJob extends JobView {
  team: string;
  class: string;
  tasks: number;
}

const listBody = v.object({
  jobs: v.array(
    v.object({ ...statusBody.entries, owner: v.string(), jobClass: v.string(), pieces: v.number() }),
  ),
  more: v.boolean(),
});

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

/** The answer of a healthy controller: up to which revision of the state service it knows the cluster's records. */
export function writeHealth(revision: number): object {
  return { ok: true, revision };
}

/** The revision that a controller's health tells; null where it tells none. */
export function readHealth(body: unknown): number | null {
  const p = v.safeParse(healthBody, body);
  return p.success ? p.output.revision : null;
}
