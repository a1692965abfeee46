import type { Clock, Timer } from '../clock/clock.js';
import type { MachineType } from '../wire/cloud.js';
import type { JobSpec } from '../wire/users.js';
import type { ExitCause } from '../wire/workers.js';
import type { Random } from './random.js';
import type { Attempt, Runtime, Worker } from './worker.js';

/** Job description that a user uploads and workers fetch. */
export interface JobDescription {
  spec: JobSpec;
  /** Actual run time of a task in seconds; null to derive it from the estimate. */
  runS: number | null;
  /** Whether the job is defective, so that its tasks fail on every machine. */
  fails: boolean;
}

/** Event that a task came onto a machine (its image has been fetched) or is no longer on it. */
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

interface ImageFetch {
  timer: Timer;
  waiting: Set<TaskRun>;
}

interface MachineState {
  images: Map<string, number>;
  fetches: Map<string, ImageFetch>;
  speed: number;
}

/** Attempt that has not exited. */
interface TaskRun {
  worker: Worker;
  attempt: Attempt;
  job: JobProgress;
  /** Whether the image has been fetched, so that the task counts as being on its machine. */
  onMachine: boolean;
  startedAt: number;
  baseProgressS: number;
  timers: Timer[];
}

interface JobProgress extends JobDescription {
  runSeconds: number;
  completedTasks: Set<number>;
  /** Saved progress in seconds by task index; that of a gang is stored under index 0. */
  saved: Map<number, number>;
}

interface Gang {
  members: Map<number, TaskRun>;
  started: boolean;
  broken: boolean;
  startedAt: number;
  baseProgressS: number;
  speed: number;
  stop: { at: number; notified: Set<TaskRun> } | null;
}

const FAILURE_DELAY_MS = 1000;

/** Simulates the tasks on the workers of one cluster: image fetches, run times, checkpoints and gangs. */
export class Tasks implements Runtime {
  readonly history: TaskEvent[] = [];
  /** Called with each event when it occurs. */
  onEvent: ((e: TaskEvent) => void) | null = null;
  /** Machines on which every task fails. */
  readonly faulty = new Set<string>();
  /** Number of completed runs of tasks that were already done. */
  duplicateCompletions = 0;
  private readonly jobs = new Map<string, JobProgress>();
  private readonly runs = new Map<Attempt, TaskRun>();
  private readonly gangs = new Map<string, Gang>();
  private readonly machineStates = new Map<Worker, MachineState>();

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly types: ReadonlyMap<string, MachineType>,
    private readonly limits: { gangWaitS: number; gangPeerS: number },
  ) {}

  /** Stores the job description that a user uploads, unless there is one for the job already. */
  upload(description: JobDescription): void {
    if (this.jobs.has(description.spec.id)) return;
    const runSeconds = description.runS ?? description.spec.estimateS * this.random.between(0.8, 1.25);
    this.jobs.set(description.spec.id, {
      ...description,
      runSeconds,
      completedTasks: new Set(),
      saved: new Map(),
    });
  }

  description(id: string): JobDescription | undefined {
    return this.jobs.get(id);
  }

  descriptions(): JobDescription[] {
    return [...this.jobs.values()].map(({ spec, runSeconds, fails }) => ({
      spec,
      runS: runSeconds,
      fails,
    }));
  }

  startAttempt(worker: Worker, attempt: Attempt): void {
    const job = this.jobs.get(attempt.job);
    const refusalCause = this.refusal(worker, attempt);
    if (!job || refusalCause) {
      worker.exit(attempt, refusalCause ?? 'unknown');
      return;
    }
    const run: TaskRun = {
      worker,
      attempt,
      job,
      onMachine: false,
      startedAt: 0,
      baseProgressS: 0,
      timers: [],
    };
    this.runs.set(attempt, run);
    worker.setState(attempt, 'fetching');
    this.fetchImage(run);
  }

  private refusal(worker: Worker, attempt: Attempt): ExitCause | null {
    const job = this.jobs.get(attempt.job);
    if (!job || attempt.index >= job.spec.tasks) return 'unknown';
    const otherAttempts = worker.attempts.filter((o) => o !== attempt && o.state !== 'exited');
    if (otherAttempts.some((o) => o.task === attempt.task)) return 'busy';
    return this.fits(worker, job.spec, otherAttempts) ? null : 'no_room';
  }

  stop(worker: Worker, attempt: Attempt, graceS: number): void {
    const run = this.runs.get(attempt);
    if (!run) {
      worker.exit(attempt, 'stopped');
      return;
    }
    const { checkpointS, saveS, kind } = run.job.spec;
    const canSave = checkpointS > 0 && graceS >= saveS && kind !== 'service';
    if (attempt.state === 'running' && canSave) {
      if (kind === 'gang') this.saveGang(run);
      else this.saveTask(run);
    } else if (attempt.state !== 'saving' || graceS === 0) this.endRun(run, 'stopped', false);
  }

  attemptsLost(_worker: Worker, attempts: Attempt[]): void {
    for (const a of attempts) {
      const run = this.runs.get(a);
      if (run) this.removeRun(run, 'lost');
    }
  }

  /** Discards the state of a removed machine, including its image cache. */
  removeMachine(worker: Worker): void {
    this.machineStates.delete(worker);
  }

  private fits(worker: Worker, spec: JobSpec, others: Attempt[]): boolean {
    const machineType = this.types.get(worker.identity.type);
    if (!machineType) return false;
    let { cpus, gpus, memoryGb } = spec;
    for (const o of others) {
      const s = this.jobs.get(o.job)!.spec;
      cpus += s.cpus;
      gpus += s.gpus;
      memoryGb += s.memoryGb;
    }
    const tolerance = 1e-6;
    return (
      cpus <= machineType.cpus + tolerance &&
      gpus <= machineType.gpus + tolerance &&
      memoryGb <= machineType.memoryGb + tolerance
    );
  }

  private machineState(worker: Worker): MachineState {
    let state = this.machineStates.get(worker);
    if (!state) {
      state = { images: new Map(), fetches: new Map(), speed: this.random.between(0.95, 1.05) };
      this.machineStates.set(worker, state);
    }
    return state;
  }

  private fetchImage(run: TaskRun): void {
    const { image, imageGb } = run.job.spec;
    const state = this.machineState(run.worker);
    const cachedGb = state.images.get(image);
    if (cachedGb !== undefined || imageGb === 0) {
      state.images.delete(image);
      state.images.set(image, cachedGb ?? imageGb);
      this.startOnMachine(run);
      return;
    }
    const ongoing = state.fetches.get(image);
    if (ongoing) {
      ongoing.waiting.add(run);
      return;
    }
    const type = this.types.get(run.worker.identity.type)!;
    const fetchSeconds =
      (imageGb / type.fetchGbPerS) * (1 + state.fetches.size) * this.random.between(0.75, 1.33);
    const timer = this.clock.after(fetchSeconds * 1000, () => {
      const { waiting } = state.fetches.get(image)!;
      state.fetches.delete(image);
      state.images.set(image, imageGb);
      let usedGb = [...state.images.values()].reduce((a, b) => a + b, 0);
      for (const [oldest, gb] of state.images) {
        if (usedGb <= type.cacheGb || oldest === image) break;
        state.images.delete(oldest);
        usedGb -= gb;
      }
      for (const r of waiting) this.startOnMachine(r);
    });
    state.fetches.set(image, { timer, waiting: new Set([run]) });
  }

  /** Starts a task whose image has been fetched; from now on the task counts as being on its machine. */
  private startOnMachine(run: TaskRun): void {
    run.onMachine = true;
    this.recordEvent(run, 'on');
    const { job, attempt, worker } = run;
    if (job.completedTasks.has(attempt.index)) this.endRun(run, 'done', false);
    else if (job.fails || this.faulty.has(worker.id))
      this.schedule(run, FAILURE_DELAY_MS, () => this.endRun(run, 'error', false));
    else if (job.spec.kind === 'gang') this.joinGang(run);
    else this.runTask(run);
  }

  private runTask(run: TaskRun): void {
    const { job, attempt, worker } = run;
    const { speed } = this.machineState(worker);
    run.startedAt = this.clock.now();
    run.baseProgressS = job.saved.get(attempt.index) ?? 0;
    worker.setState(attempt, 'running');
    if (job.spec.kind === 'service') return;
    this.schedule(run, ((job.runSeconds - run.baseProgressS) / speed) * 1000, () => {
      if (job.completedTasks.has(attempt.index)) this.duplicateCompletions++;
      job.completedTasks.add(attempt.index);
      this.endRun(run, 'done', false);
    });
  }

  private progress(run: TaskRun): number {
    return (
      run.baseProgressS + ((this.clock.now() - run.startedAt) / 1000) * this.machineState(run.worker).speed
    );
  }

  private saveTask(run: TaskRun): void {
    const progress = this.progress(run);
    for (const t of run.timers.splice(0)) t.cancel();
    run.baseProgressS = progress;
    run.startedAt = Number.POSITIVE_INFINITY;
    run.worker.setState(run.attempt, 'saving');
    this.schedule(run, run.job.spec.saveS * 1000, () => {
      run.job.saved.set(run.attempt.index, progress);
      this.endRun(run, 'stopped', true);
    });
  }

  // --- gangs

  private gangOf(run: TaskRun): Gang {
    const key = `${run.attempt.job}#${run.attempt.attempt}`;
    let gang = this.gangs.get(key);
    if (!gang) {
      const members = new Map<number, TaskRun>();
      gang = { members, started: false, broken: false, startedAt: 0, baseProgressS: 0, speed: 1, stop: null };
      this.gangs.set(key, gang);
    }
    return gang;
  }

  private joinGang(run: TaskRun): void {
    const gang = this.gangOf(run);
    gang.members.set(run.attempt.index, run);
    run.worker.setState(run.attempt, 'waiting');
    if (gang.started || gang.broken) {
      this.endRun(run, 'peers', false);
      return;
    }
    this.schedule(run, this.limits.gangWaitS * 1000, () => this.endRun(run, 'alone', false));
    if (gang.members.size < run.job.spec.tasks) return;
    const { job } = run;
    gang.started = true;
    gang.startedAt = this.clock.now();
    gang.baseProgressS = job.saved.get(0) ?? 0;
    gang.speed = Math.min(...[...gang.members.values()].map((m) => this.machineState(m.worker).speed));
    for (const m of gang.members.values()) {
      for (const t of m.timers.splice(0)) t.cancel();
      m.worker.setState(m.attempt, 'running');
    }
    this.schedule(run, ((job.runSeconds - gang.baseProgressS) / gang.speed) * 1000, () =>
      this.completeGang(gang, job),
    );
  }

  private completeGang(gang: Gang, job: JobProgress): void {
    if (job.completedTasks.size > 0) this.duplicateCompletions++;
    for (let i = 0; i < job.spec.tasks; i++) job.completedTasks.add(i);
    for (const m of [...gang.members.values()]) this.endRun(m, 'done', false);
  }

  private gangProgress(gang: Gang): number {
    const until = gang.stop?.at ?? this.clock.now();
    return gang.baseProgressS + ((until - gang.startedAt) / 1000) * gang.speed;
  }

  private saveGang(run: TaskRun): void {
    const gang = this.gangOf(run);
    const peerMs = this.limits.gangPeerS * 1000;
    if (!gang.stop) {
      gang.stop = { at: this.clock.now(), notified: new Set() };
      for (const m of gang.members.values()) for (const t of m.timers.splice(0)) t.cancel();
      this.schedule(run, peerMs, () => this.failUnnotifiedStop(gang));
    }
    gang.stop.notified.add(run);
    run.worker.setState(run.attempt, 'saving');
    const completeSave = () => {
      if (gang.broken || gang.stop!.notified.size < run.job.spec.tasks) return;
      run.job.saved.set(0, Math.max(run.job.saved.get(0) ?? 0, this.gangProgress(gang)));
      for (const m of [...gang.members.values()]) this.endRun(m, 'stopped', true);
    };
    this.schedule(run, run.job.spec.saveS * 1000, completeSave);
  }

  /** Fails the save of a gang when not all members were notified to stop in time. */
  private failUnnotifiedStop(gang: Gang): void {
    const { notified } = gang.stop!;
    const [first] = gang.members.values();
    if (!first || notified.size === first.job.spec.tasks) return;
    for (const m of [...gang.members.values()]) this.endRun(m, notified.has(m) ? 'stopped' : 'peers', false);
  }

  private breakGang(run: TaskRun, completed: boolean): void {
    const gang = this.gangOf(run);
    gang.members.delete(run.attempt.index);
    if (!gang.started || gang.broken || completed) return;
    gang.broken = true;
    this.checkpoint(run.job, 0, this.gangProgress(gang));
    for (const m of gang.members.values())
      this.schedule(m, this.random.next() * this.limits.gangPeerS * 1000, () =>
        this.endRun(m, 'peers', false),
      );
  }

  // --- end of attempts

  private checkpoint(job: JobProgress, task: number, progress: number): void {
    const { checkpointS } = job.spec;
    if (checkpointS <= 0) return;
    const savedProgress = Math.floor(Math.min(progress, job.runSeconds) / checkpointS) * checkpointS;
    job.saved.set(task, Math.max(job.saved.get(task) ?? 0, savedProgress));
  }

  private endRun(run: TaskRun, cause: ExitCause, saved: boolean): void {
    if (!this.runs.has(run.attempt)) return;
    this.removeRun(run, cause, saved);
    run.worker.exit(run.attempt, cause, saved);
  }

  private removeRun(run: TaskRun, cause: ExitCause | 'lost', saved = false): void {
    this.runs.delete(run.attempt);
    for (const t of run.timers.splice(0)) t.cancel();
    const state = this.machineState(run.worker);
    const { image, kind } = run.job.spec;
    const fetch = state.fetches.get(image);
    if (fetch?.waiting.delete(run) && fetch.waiting.size === 0) {
      fetch.timer.cancel();
      state.fetches.delete(image);
    }
    if (!run.onMachine) return;
    this.recordEvent(run, 'off', cause);
    if (kind === 'gang') this.breakGang(run, cause === 'done' || saved);
    else if (cause !== 'done' && !saved && run.startedAt > 0)
      this.checkpoint(
        run.job,
        run.attempt.index,
        run.startedAt === Number.POSITIVE_INFINITY ? run.baseProgressS : this.progress(run),
      );
  }

  private schedule(run: TaskRun, ms: number, callback: () => void): void {
    run.timers.push(this.clock.after(ms, callback));
  }

  private recordEvent(run: TaskRun, kind: 'on' | 'off', cause?: TaskEvent['cause']): void {
    const { id, type, zone, spot } = run.worker.identity;
    const { job, index, attempt } = run.attempt;
    const at = this.clock.now();
    const event = { at, kind, machine: id, type, zone, spot, job, index, attempt, ...(cause && { cause }) };
    this.history.push(event);
    this.onEvent?.(event);
  }
}
