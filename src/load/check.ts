import type { TaskEvent } from '../emulator/tasks.js';
import type { JobSpec, JobView } from '../wire/users.js';

/** What a user was told, or did. */
export interface UserEvent {
  at: number;
  job: string;
  kind: 'submitted' | 'accepted' | 'refused' | 'told' | 'unknown' | 'cancel asked' | 'cancelled';
  status?: JobView['status'];
  /**
   * How many of these events there were when the request was sent that this one answers. What was heard after that may have
   * crossed with it; what was heard before it must not be older than. Without it, what was heard before this one counts.
   */
  asked?: number;
  /** Why the job that was accepted never should have been. */
  unfit?: string;
}

export interface Violation {
  rule: string;
  at: number;
  what: string;
}

export interface Limits {
  teams: readonly { name: string; cpusMax: number; gpusMax: number }[];
  cancelS: number;
  /** When the order to start an attempt was sent, by `startName`, where that was seen. */
  ordered?: ReadonlyMap<string, number>;
}

/** Names a start of a task on a machine. */
export function startName(machine: string, job: string, index: number, attempt: number): string {
  return `${machine} ${job}/${index}#${attempt}`;
}

const SLACK = 1e-6;
/** Events of one moment come in no order that counts. */
const TOLERANCE_MS = 50;

/** Holds what machines and users saw against the rules of the protocol; pure. Times are in milliseconds. */
export function checkHistory(
  tasks: readonly TaskEvent[],
  told: readonly UserEvent[],
  jobs: ReadonlyMap<string, JobSpec>,
  limits: Limits,
): Violation[] {
  const found: Violation[] = [];
  const broken = (rule: string, at: number, what: string) => found.push({ rule, at, what });
  const ended = cancellations(told);
  const done = doneAt(tasks, jobs);
  checkTasks(tasks, jobs, done, limits, ended, broken);
  checkTold(told, jobs, done, ended, limits, broken);
  if (jobs.size > 0 && !tasks.some((e) => e.kind === 'on')) broken('nothing_ran', 0, 'no task was started');
  return found.sort((a, b) => a.at - b.at);
}

type Report = (rule: string, at: number, what: string) => void;

/** When each job's user was told that it is cancelled, with the jobs that need it. */
function cancellations(told: readonly UserEvent[]): Map<string, number> {
  const at = new Map<string, number>();
  for (const e of told)
    if (!at.has(e.job) && (e.kind === 'cancelled' || (e.kind === 'told' && e.status === 'cancelled')))
      at.set(e.job, e.at);
  return at;
}

/** When the last task of each job was done; those of a gang are done together. */
function doneAt(tasks: readonly TaskEvent[], jobs: ReadonlyMap<string, JobSpec>): Map<string, number> {
  const open = new Map<string, Set<number>>();
  const at = new Map<string, number>();
  for (const e of tasks) {
    const spec = jobs.get(e.job);
    if (e.kind !== 'off' || e.cause !== 'done' || !spec || at.has(e.job)) continue;
    let done = open.get(e.job);
    if (!done) {
      done = new Set();
      open.set(e.job, done);
    }
    done.add(e.index);
    if (spec.kind === 'gang' || done.size === spec.tasks) at.set(e.job, e.at);
  }
  return at;
}

interface Held {
  machine: string;
  zone: string;
  attempt: number;
}

function checkTasks(
  tasks: readonly TaskEvent[],
  jobs: ReadonlyMap<string, JobSpec>,
  done: ReadonlyMap<string, number>,
  limits: Limits,
  cancelled: ReadonlyMap<string, number>,
  broken: Report,
): void {
  const held = new Map<string, Map<number, Held[]>>();
  const usage = new Map<string, { cpus: number; gpus: number }>();
  for (const e of tasks) {
    const spec = jobs.get(e.job);
    const task = `${e.job}/${e.index}`;
    if (!spec) {
      if (e.kind === 'on') broken('invented', e.at, `${task} runs, and nobody submitted it`);
      continue;
    }
    let ofJob = held.get(e.job);
    if (!ofJob) {
      ofJob = new Map();
      held.set(e.job, ofJob);
    }
    const places = ofJob.get(e.index) ?? [];
    ofJob.set(e.index, places);
    const use = usage.get(spec.team) ?? { cpus: 0, gpus: 0 };
    usage.set(spec.team, use);
    const sign = e.kind === 'on' ? 1 : -1;
    use.cpus += sign * spec.cpus;
    use.gpus += sign * spec.gpus;
    if (e.kind === 'off') {
      const i = places.findIndex((p) => p.machine === e.machine && p.attempt === e.attempt);
      if (i >= 0) places.splice(i, 1);
      const over = cancelled.get(e.job);
      if (over !== undefined && e.at > over + limits.cancelS * 1000 + TOLERANCE_MS)
        broken(
          'ran_cancelled',
          e.at,
          `${task} on ${e.machine} until ${Math.round((e.at - over) / 1000)} s after its cancellation`,
        );
      continue;
    }
    const cancelledAt = cancelled.get(e.job);
    const orderedAt = limits.ordered?.get(startName(e.machine, e.job, e.index, e.attempt));
    if (cancelledAt !== undefined && orderedAt !== undefined && orderedAt > cancelledAt)
      broken(
        'started_cancelled',
        e.at,
        `${task} was told to start after its user was told that it is cancelled`,
      );
    const elsewhere = places.find((p) => p.machine !== e.machine);
    if (elsewhere)
      broken('ran_twice', e.at, `${task} starts on ${e.machine} while it is on ${elsewhere.machine}`);
    places.push({ machine: e.machine, zone: e.zone, attempt: e.attempt });
    const team = limits.teams.find((t) => t.name === spec.team);
    if (
      team &&
      ((team.cpusMax > 0 && use.cpus > team.cpusMax + SLACK) ||
        (team.gpusMax > 0 && use.gpus > team.gpusMax + SLACK))
    )
      broken('quota', e.at, `team ${spec.team} uses ${use.cpus} CPUs and ${use.gpus} GPUs with ${task}`);
    const wrong = misplaced(e, spec, ofJob);
    if (wrong) broken('wrong_place', e.at, `${task} on ${e.machine}: ${wrong}`);
    for (const id of spec.after)
      if (!((done.get(id) ?? Number.POSITIVE_INFINITY) <= e.at))
        broken('too_early', e.at, `${task} starts before ${id} is done`);
  }
}

function misplaced(e: TaskEvent, spec: JobSpec, ofJob: ReadonlyMap<number, Held[]>): string | null {
  if (spec.types && !spec.types.includes(e.type)) return `type ${e.type}`;
  if (spec.zone !== null && spec.zone !== e.zone) return `zone ${e.zone}`;
  if (e.spot && !spec.spot) return 'a spot machine';
  if (!spec.oneZone && !spec.spread) return null;
  const zones = new Map<string, number>();
  for (const places of ofJob.values())
    for (const p of places) zones.set(p.zone, (zones.get(p.zone) ?? 0) + 1);
  if (spec.oneZone && zones.size > 1) return 'two zones at once';
  const most = Math.ceil(spec.tasks / 2);
  return spec.spread && zones.get(e.zone)! > most ? 'more than half in one zone' : null;
}

function checkTold(
  told: readonly UserEvent[],
  jobs: ReadonlyMap<string, JobSpec>,
  done: ReadonlyMap<string, number>,
  cancelled: ReadonlyMap<string, number>,
  limits: Limits,
  broken: Report,
): void {
  // What was heard of each job first, and as which of the events.
  const accepted = new Map<string, number>();
  const final = new Map<string, { status: string; heard: number }>();
  const wanted = new Set<string>();
  for (const [i, e] of told.entries()) {
    const spec = jobs.get(e.job);
    const asked = e.asked ?? i;
    if (e.unfit !== undefined) broken('accepted_unfit', e.at, `${e.job} was accepted: ${e.unfit}`);
    if (e.kind === 'cancel asked') wanted.add(e.job);
    if (e.kind === 'accepted' && !accepted.has(e.job)) accepted.set(e.job, i);
    if ((accepted.get(e.job) ?? asked) < asked && (e.kind === 'unknown' || e.kind === 'refused'))
      broken('forgotten', e.at, `${e.job} was accepted and is ${e.kind}`);
    const status = e.kind === 'cancelled' ? 'cancelled' : e.kind === 'told' ? e.status : undefined;
    if (status === undefined) continue;
    if (!spec) {
      broken('invented', e.at, `${e.job} is called ${status}, and nobody submitted it`);
      continue;
    }
    const over = status === 'done' || status === 'cancelled';
    const before = final.get(e.job);
    if (before && before.status !== status && (over || before.heard < asked))
      broken('went_back', e.at, `${e.job} was ${before.status} and is called ${status}`);
    const needed = spec.after.some((id) => cancelled.has(id) || wanted.has(id));
    if (status === 'cancelled' && !wanted.has(e.job) && !needed)
      broken('went_back', e.at, `${e.job} is called cancelled, and nobody asked for that`);
    if (status === 'done' && !((done.get(e.job) ?? Number.POSITIVE_INFINITY) <= e.at + TOLERANCE_MS))
      broken('not_done', e.at, `${e.job} is called done before all its tasks are`);
    if (over) {
      if (!before) final.set(e.job, { status, heard: i });
    } else
      for (const id of spec.after) {
        const at = cancelled.get(id);
        if (at !== undefined && e.at > at + limits.cancelS * 1000)
          broken('orphaned', e.at, `${e.job} is called ${status} long after ${id} was cancelled`);
      }
  }
}

/** What a machine has left, and what kind it is. */
export interface RoomOn {
  type: string;
  zone: string;
  spot: boolean;
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** A job of which no task is on a machine, though some are open and nothing that it needs is. */
export interface Waits {
  spec: JobSpec;
  /** What its team may still use; null without a limit. */
  leftCpus: number | null;
  leftGpus: number | null;
}

const LEFT_WAITING_MS = 90_000;

/** Finds jobs that wait on although there is room for them, all troubles over: once for each. */
export class LeftWaiting {
  private readonly since = new Map<string, number>();
  private readonly told = new Set<string>();

  /** `at` in milliseconds; to be called every second at least. */
  look(at: number, machines: readonly RoomOn[], waiting: readonly Waits[]): Violation[] {
    const found: Violation[] = [];
    const fit = new Set(waiting.filter((w) => hasRoom(w, machines)).map((w) => w.spec.id));
    for (const id of [...this.since.keys()]) if (!fit.has(id)) this.since.delete(id);
    for (const id of fit) {
      const since = this.since.get(id) ?? at;
      this.since.set(id, since);
      if (at - since <= LEFT_WAITING_MS || this.told.has(id)) continue;
      this.told.add(id);
      found.push({
        rule: 'left_waiting',
        at,
        what: `${id} waits although there has been room for it since ${since}`,
      });
    }
    return found;
  }
}

/** Whether a task of an array, or a whole gang or service, fits on machines now and into its team's limit. */
function hasRoom({ spec, leftCpus, leftGpus }: Waits, machines: readonly RoomOn[]): boolean {
  const tasks = spec.kind === 'array' ? 1 : spec.tasks;
  if (leftCpus !== null && tasks * spec.cpus > leftCpus + SLACK) return false;
  if (leftGpus !== null && tasks * spec.gpus > leftGpus + SLACK) return false;
  const byZone = new Map<string, number>();
  for (const m of machines) {
    if (spec.types && !spec.types.includes(m.type)) continue;
    if ((spec.zone !== null && spec.zone !== m.zone) || (m.spot && !spec.spot)) continue;
    let n = 0;
    while (n < tasks && fits(spec, m, n + 1)) n++;
    const zone = spec.oneZone ? m.zone : '';
    byZone.set(zone, (byZone.get(zone) ?? 0) + n);
  }
  return [...byZone.values()].some((n) => n >= tasks);
}

function fits(spec: JobSpec, m: RoomOn, times: number): boolean {
  return (
    spec.cpus * times <= m.cpus + SLACK &&
    spec.gpus * times <= m.gpus + SLACK &&
    spec.memoryGb * times <= m.memoryGb + SLACK
  );
}
