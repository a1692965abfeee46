import type { Clock, Timer } from '../clock/clock.js';
import type { MachineType } from '../wire/cloud.js';
import type { JobSpec } from '../wire/users.js';
import type { ExitCause } from '../wire/workers.js';
import type { Random } from './random.js';
import type { Attempt, Runtime, Worker } from './worker.js';

/** What a worker fetches of a job: what its user has uploaded. */
export interface Description {
  spec: JobSpec;
  /** How long a task truly runs; by the estimate when it is not given. */
  runS: number | null;
  /** Submitted with a mistake: it fails on every machine. */
  fails: boolean;
}

/** A task came onto a machine (its image is there) or is no longer on it. */
export interface TaskEvent {
  at: number;
  kind: 'on' | 'off';
  machine: string;
  type: string;
  zone: string;
  spot: boolean;
  job: string;
  index: number;
  attempt: number;
  cause?: ExitCause | 'lost';
}

interface Fetch {
  timer: Timer;
  waiting: Set<Run>;
}

interface Disk {
  images: Map<string, number>;
  fetches: Map<string, Fetch>;
  speed: number;
}

/** One attempt that has not exited. */
interface Run {
  worker: Worker;
  a: Attempt;
  job: JobRun;
  /** Its image is there. */
  on: boolean;
  startedAt: number;
  base: number;
  timers: Timer[];
}

interface JobRun extends Description {
  seconds: number;
  done: Set<number>;
  /** Saved progress in seconds, by task; of a gang, under 0. */
  saved: Map<number, number>;
}

interface Gang {
  members: Map<number, Run>;
  started: boolean;
  broken: boolean;
  startedAt: number;
  base: number;
  speed: number;
  stop: { at: number; notified: Set<Run> } | null;
}

const ERROR_AFTER_MS = 1000;

/** What tasks do on the workers of one cluster: images, run times, checkpoints, gangs. */
export class Tasks implements Runtime {
  readonly history: TaskEvent[] = [];
  /** Sees each of them as it comes. */
  noted: ((e: TaskEvent) => void) | null = null;
  /** Machines on which every task fails. */
  readonly faulty = new Set<string>();
  /** Tasks that ran to their end more than once. */
  twice = 0;
  private readonly jobs = new Map<string, JobRun>();
  private readonly runs = new Map<Attempt, Run>();
  private readonly gangs = new Map<string, Gang>();
  private readonly disks = new Map<Worker, Disk>();

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly types: ReadonlyMap<string, MachineType>,
    private readonly limits: { gangWaitS: number; gangPeerS: number },
  ) {}

  /** Takes what a user uploads. */
  upload(d: Description): void {
    if (this.jobs.has(d.spec.id)) return;
    const seconds = d.runS ?? d.spec.estimateS * this.random.between(0.8, 1.25);
    this.jobs.set(d.spec.id, { ...d, seconds, done: new Set(), saved: new Map() });
  }

  description(id: string): Description | undefined {
    return this.jobs.get(id);
  }

  descriptions(): Description[] {
    return [...this.jobs.values()].map(({ spec, seconds, fails }) => ({ spec, runS: seconds, fails }));
  }

  begin(worker: Worker, a: Attempt): void {
    const job = this.jobs.get(a.job);
    const refused = this.refusal(worker, a);
    if (!job || refused) {
      worker.exit(a, refused ?? 'unknown');
      return;
    }
    const run: Run = { worker, a, job, on: false, startedAt: 0, base: 0, timers: [] };
    this.runs.set(a, run);
    worker.move(a, 'fetching');
    this.fetch(run);
  }

  private refusal(worker: Worker, a: Attempt): ExitCause | null {
    const job = this.jobs.get(a.job);
    if (!job || a.index >= job.spec.tasks) return 'unknown';
    const others = worker.attempts.filter((o) => o !== a && o.state !== 'exited');
    if (others.some((o) => o.task === a.task)) return 'busy';
    return this.fits(worker, job.spec, others) ? null : 'no_room';
  }

  stop(worker: Worker, a: Attempt, graceS: number): void {
    const run = this.runs.get(a);
    if (!run) {
      worker.exit(a, 'stopped');
      return;
    }
    const { checkpointS, saveS, kind } = run.job.spec;
    const saves = checkpointS > 0 && graceS >= saveS && kind !== 'service';
    if (a.state === 'running' && saves) {
      if (kind === 'gang') this.saveGang(run);
      else this.saveTask(run);
    } else if (a.state !== 'saving' || graceS === 0) this.leave(run, 'stopped', false);
  }

  lost(_worker: Worker, attempts: Attempt[]): void {
    for (const a of attempts) {
      const run = this.runs.get(a);
      if (run) this.drop(run, 'lost');
    }
  }

  /** A machine is gone, with its disk. */
  forget(worker: Worker): void {
    this.disks.delete(worker);
  }

  private fits(worker: Worker, spec: JobSpec, others: Attempt[]): boolean {
    const size = this.types.get(worker.place.type);
    if (!size) return false;
    let { cpus, gpus, memoryGb } = spec;
    for (const o of others) {
      const s = this.jobs.get(o.job)!.spec;
      cpus += s.cpus;
      gpus += s.gpus;
      memoryGb += s.memoryGb;
    }
    const slack = 1e-6;
    return cpus <= size.cpus + slack && gpus <= size.gpus + slack && memoryGb <= size.memoryGb + slack;
  }

  private disk(worker: Worker): Disk {
    let d = this.disks.get(worker);
    if (!d) {
      d = { images: new Map(), fetches: new Map(), speed: this.random.between(0.95, 1.05) };
      this.disks.set(worker, d);
    }
    return d;
  }

  private fetch(run: Run): void {
    const { image, imageGb } = run.job.spec;
    const disk = this.disk(run.worker);
    const size = disk.images.get(image);
    if (size !== undefined || imageGb === 0) {
      disk.images.delete(image);
      disk.images.set(image, size ?? imageGb);
      this.ready(run);
      return;
    }
    const under = disk.fetches.get(image);
    if (under) {
      under.waiting.add(run);
      return;
    }
    const type = this.types.get(run.worker.place.type)!;
    const seconds = (imageGb / type.fetchGbPerS) * (1 + disk.fetches.size) * this.random.between(0.75, 1.33);
    const timer = this.clock.after(seconds * 1000, () => {
      const { waiting } = disk.fetches.get(image)!;
      disk.fetches.delete(image);
      disk.images.set(image, imageGb);
      let sum = [...disk.images.values()].reduce((a, b) => a + b, 0);
      for (const [oldest, gb] of disk.images) {
        if (sum <= type.cacheGb || oldest === image) break;
        disk.images.delete(oldest);
        sum -= gb;
      }
      for (const r of waiting) this.ready(r);
    });
    disk.fetches.set(image, { timer, waiting: new Set([run]) });
  }

  /** The image is there: from now on the task is on its machine. */
  private ready(run: Run): void {
    run.on = true;
    this.note(run, 'on');
    const { job, a, worker } = run;
    if (job.done.has(a.index)) this.leave(run, 'done', false);
    else if (job.fails || this.faulty.has(worker.id))
      this.later(run, ERROR_AFTER_MS, () => this.leave(run, 'error', false));
    else if (job.spec.kind === 'gang') this.assemble(run);
    else this.runTask(run);
  }

  private runTask(run: Run): void {
    const { job, a, worker } = run;
    const { speed } = this.disk(worker);
    run.startedAt = this.clock.now();
    run.base = job.saved.get(a.index) ?? 0;
    worker.move(a, 'running');
    if (job.spec.kind === 'service') return;
    this.later(run, ((job.seconds - run.base) / speed) * 1000, () => {
      if (job.done.has(a.index)) this.twice++;
      job.done.add(a.index);
      this.leave(run, 'done', false);
    });
  }

  private progress(run: Run): number {
    return run.base + ((this.clock.now() - run.startedAt) / 1000) * this.disk(run.worker).speed;
  }

  private saveTask(run: Run): void {
    const progress = this.progress(run);
    for (const t of run.timers.splice(0)) t.cancel();
    run.base = progress;
    run.startedAt = Number.POSITIVE_INFINITY;
    run.worker.move(run.a, 'saving');
    this.later(run, run.job.spec.saveS * 1000, () => {
      run.job.saved.set(run.a.index, progress);
      this.leave(run, 'stopped', true);
    });
  }

  // --- gangs

  private gangOf(run: Run): Gang {
    const key = `${run.a.job}#${run.a.attempt}`;
    let gang = this.gangs.get(key);
    if (!gang) {
      const members = new Map<number, Run>();
      gang = { members, started: false, broken: false, startedAt: 0, base: 0, speed: 1, stop: null };
      this.gangs.set(key, gang);
    }
    return gang;
  }

  private assemble(run: Run): void {
    const gang = this.gangOf(run);
    gang.members.set(run.a.index, run);
    run.worker.move(run.a, 'waiting');
    if (gang.started || gang.broken) {
      this.leave(run, 'peers', false);
      return;
    }
    this.later(run, this.limits.gangWaitS * 1000, () => this.leave(run, 'alone', false));
    if (gang.members.size < run.job.spec.tasks) return;
    const { job } = run;
    gang.started = true;
    gang.startedAt = this.clock.now();
    gang.base = job.saved.get(0) ?? 0;
    gang.speed = Math.min(...[...gang.members.values()].map((m) => this.disk(m.worker).speed));
    for (const m of gang.members.values()) {
      for (const t of m.timers.splice(0)) t.cancel();
      m.worker.move(m.a, 'running');
    }
    this.later(run, ((job.seconds - gang.base) / gang.speed) * 1000, () => this.complete(gang, job));
  }

  private complete(gang: Gang, job: JobRun): void {
    if (job.done.size > 0) this.twice++;
    for (let i = 0; i < job.spec.tasks; i++) job.done.add(i);
    for (const m of [...gang.members.values()]) this.leave(m, 'done', false);
  }

  private gangProgress(gang: Gang): number {
    const until = gang.stop?.at ?? this.clock.now();
    return gang.base + ((until - gang.startedAt) / 1000) * gang.speed;
  }

  private saveGang(run: Run): void {
    const gang = this.gangOf(run);
    const peerMs = this.limits.gangPeerS * 1000;
    if (!gang.stop) {
      gang.stop = { at: this.clock.now(), notified: new Set() };
      for (const m of gang.members.values()) for (const t of m.timers.splice(0)) t.cancel();
      this.later(run, peerMs, () => this.endStop(gang));
    }
    gang.stop.notified.add(run);
    run.worker.move(run.a, 'saving');
    const saved = () => {
      if (gang.broken || gang.stop!.notified.size < run.job.spec.tasks) return;
      run.job.saved.set(0, Math.max(run.job.saved.get(0) ?? 0, this.gangProgress(gang)));
      for (const m of [...gang.members.values()]) this.leave(m, 'stopped', true);
    };
    this.later(run, run.job.spec.saveS * 1000, saved);
  }

  /** Not all were notified to stop in time: the save fails. */
  private endStop(gang: Gang): void {
    const { notified } = gang.stop!;
    const [first] = gang.members.values();
    if (!first || notified.size === first.job.spec.tasks) return;
    for (const m of [...gang.members.values()]) this.leave(m, notified.has(m) ? 'stopped' : 'peers', false);
  }

  private breakGang(run: Run, completed: boolean): void {
    const gang = this.gangOf(run);
    gang.members.delete(run.a.index);
    if (!gang.started || gang.broken || completed) return;
    gang.broken = true;
    this.checkpoint(run.job, 0, this.gangProgress(gang));
    for (const m of gang.members.values())
      this.later(m, this.random.next() * this.limits.gangPeerS * 1000, () => this.leave(m, 'peers', false));
  }

  // --- ends

  private checkpoint(job: JobRun, task: number, progress: number): void {
    const { checkpointS } = job.spec;
    if (checkpointS <= 0) return;
    const kept = Math.floor(Math.min(progress, job.seconds) / checkpointS) * checkpointS;
    job.saved.set(task, Math.max(job.saved.get(task) ?? 0, kept));
  }

  private leave(run: Run, cause: ExitCause, saved: boolean): void {
    if (!this.runs.has(run.a)) return;
    this.drop(run, cause, saved);
    run.worker.exit(run.a, cause, saved);
  }

  private drop(run: Run, cause: ExitCause | 'lost', saved = false): void {
    this.runs.delete(run.a);
    for (const t of run.timers.splice(0)) t.cancel();
    const disk = this.disk(run.worker);
    const { image, kind } = run.job.spec;
    const fetch = disk.fetches.get(image);
    if (fetch?.waiting.delete(run) && fetch.waiting.size === 0) {
      fetch.timer.cancel();
      disk.fetches.delete(image);
    }
    if (!run.on) return;
    this.note(run, 'off', cause);
    if (kind === 'gang') this.breakGang(run, cause === 'done' || saved);
    else if (cause !== 'done' && !saved && run.startedAt > 0)
      this.checkpoint(
        run.job,
        run.a.index,
        run.startedAt === Number.POSITIVE_INFINITY ? run.base : this.progress(run),
      );
  }

  private later(run: Run, ms: number, what: () => void): void {
    run.timers.push(this.clock.after(ms, what));
  }

  private note(run: Run, kind: 'on' | 'off', cause?: TaskEvent['cause']): void {
    const { id, type, zone, spot } = run.worker.place;
    const { job, index, attempt } = run.a;
    const at = this.clock.now();
    const e = { at, kind, machine: id, type, zone, spot, job, index, attempt, ...(cause && { cause }) };
    this.history.push(e);
    this.noted?.(e);
  }
}
