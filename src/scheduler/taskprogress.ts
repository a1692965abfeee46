import type { Log } from '../config/log.js';
import type { ControllerContext } from '../context/context.js';
import type { Job } from '../jobs/job.js';
import type { JobRecords, LoadedJob } from '../jobs/records.js';
import { type Machine, noteImage, type TaskAttempt } from '../workers/machine.js';
import type { MachineRegistry } from '../workers/machineregistry.js';
import type { GoneReason } from '../workers/registryhooks.js';
import { CompletionStore } from './completionstore.js';
import type { FailureTracker } from './failuretracker.js';
import type { JobTable } from './jobtable.js';
import type { RuntimeEstimates } from './runtimeestimates.js';

/** After the exit cause `no_room` a machine takes no other task for so long. */
const NO_ROOM_QUARANTINE_MS = 4000;
/** After the exit causes `busy` and `unknown` no task of the job starts for so long. */
const BUSY_RETRY_MS = 3000;

/** What `TaskProgress` asks of its shard, and what it reports to it. */
export interface TaskProgressHooks {
  /** Whether the shard is no longer this node's. */
  stopped(): boolean;
  requestPlan(): void;
  /** Stops the shard; returns the error to be thrown. */
  lostOwnership(): Error;
  /** An attempt is surely no longer on its machine, and nothing of it is still to be stored. */
  onAttemptLeft(job: Job, h: TaskAttempt): void;
  /** A task has begun to run. */
  onRunning(h: TaskAttempt): void;
  /** A machine has fetched an image. */
  onImageCached(m: Machine): void;
  /** The estimates have learnt from a task of a job. */
  onRuntimeLearnt(job: Job): void;
  /** When an attempt that was found running began to, as far as the former owner knew; steady milliseconds. */
  runningSince(h: TaskAttempt): number | null;
  /** A job is durably over. */
  onJobEnded(job: Job, status: 'done' | 'cancelled'): void;
}

/** What `TaskProgress` is made of. */
export interface TaskProgressParts {
  readonly context: ControllerContext;
  readonly registry: MachineRegistry;
  readonly jobTable: JobTable;
  readonly records: JobRecords;
  readonly estimates: RuntimeEstimates;
  readonly failures: FailureTracker;
  readonly log: Log;
  readonly hooks: TaskProgressHooks;
}

/** What becomes of tasks on machines, as reported, and how that is made durable before machines may forget it. */
export class TaskProgress {
  private readonly completions: CompletionStore;

  constructor(private readonly parts: TaskProgressParts) {
    const { context, jobTable, records, log, hooks } = parts;
    this.completions = new CompletionStore({
      context,
      jobTable,
      records,
      log,
      hooks: {
        stopped: () => hooks.stopped(),
        lostOwnership: () => hooks.lostOwnership(),
        onStoredEnd: (job, status) => this.endJob(job, status),
        onAttemptLeft: (job, h) => hooks.onAttemptLeft(job, h),
      },
    });
  }

  /** A machine reports an attempt that was not known to be there. */
  onAttemptFound(h: TaskAttempt): void {
    const job = this.parts.jobTable.jobs.get(h.job);
    if (!job) {
      // Over, cancelled, or never accepted: it is of no use.
      if (h.state === 'exited') h.exitRecorded = true;
      else this.parts.registry.stopTask(h, 0);
      return;
    }
    const other = job.placements.get(h.index);
    if (h.state !== 'exited') {
      if (job.cancelRequested || job.done.has(h.index) || (other && other !== h))
        this.parts.registry.stopTask(h, 0);
      if (!other) job.placements.set(h.index, h);
      else if (other !== h) job.duplicateAttempts.add(h);
      this.noteAttempt(job, h);
      this.noteImageOf(job, h);
      if (h.state === 'running') {
        h.runningAt = this.parts.hooks.runningSince(h) ?? h.runningAt;
        this.onRunning(job, h);
      }
    } else {
      this.onAttemptChanged(h);
    }
    this.parts.hooks.requestPlan();
  }

  private noteAttempt(job: Job, h: TaskAttempt): void {
    if (h.attempt > job.attempt) job.attempt = h.attempt;
  }

  private noteImageOf(job: Job, h: TaskAttempt): void {
    if (h.state === 'fetching') return;
    const cache = this.parts.context.catalog.get(h.machine.type)?.cacheGb ?? 0;
    const known = h.machine.images.has(job.image);
    noteImage(h.machine, job.image, job.spec.imageGb, cache);
    if (!known) this.parts.hooks.onImageCached(h.machine);
  }

  /** The state or the exit cause of a known attempt has changed. */
  onAttemptChanged(h: TaskAttempt): void {
    const job = this.parts.jobTable.jobs.get(h.job);
    if (!job) {
      if (h.state === 'exited') h.exitRecorded = true;
      return;
    }
    this.noteImageOf(job, h);
    if (h.state === 'exited') this.onExited(job, h);
    else if (h.state === 'running') this.onRunning(job, h);
    this.parts.hooks.requestPlan();
  }

  private onRunning(job: Job, h: TaskAttempt): void {
    this.parts.hooks.onRunning(h);
    if (job.hasStarted) return;
    job.hasStarted = true;
    const waitS = Math.round((this.parts.context.clock.wall() - job.acceptedWall) / 100) / 10;
    this.parts.log.info({ job: job.spec.id, class: job.spec.class, waitS }, 'job started');
  }

  private onExited(job: Job, h: TaskAttempt): void {
    this.removePlacement(job, h);
    this.parts.log.debug(
      { task: `${h.job}/${h.index}`, attempt: h.attempt, machine: h.machine.id, cause: h.cause },
      'task exited',
    );
    if (h.cause === 'done') this.onCompleted(job, h);
    else this.onNotCompleted(job, h);
  }

  private onCompleted(job: Job, h: TaskAttempt): void {
    const { failures, estimates, records, hooks } = this.parts;
    failures.onTaskSucceeded(job, h.machine);
    if (h.runningAt !== null && h.exitedAt !== null) {
      estimates.learn(job, (h.exitedAt - h.runningAt) / 1000);
      hooks.onRuntimeLearnt(job);
    }
    job.unacknowledgedExits.push(h);
    // The tasks of a gang complete together: if one is done, all are.
    const indexes = job.spec.kind === 'gang' ? [...Array(job.spec.tasks).keys()] : [h.index];
    for (const i of indexes) {
      if (job.done.add(i)) job.dirtyChunks.add(records.chunkOf(job, i));
    }
    void this.completions.store(job);
  }

  private onNotCompleted(job: Job, h: TaskAttempt): void {
    const m = h.machine;
    const now = this.parts.context.clock.now();
    h.exitRecorded = true;
    if (h.cause === 'error') this.parts.failures.onTaskFailed(job, m, now);
    if (h.cause === 'no_room') m.quarantinedUntil = Math.max(m.quarantinedUntil, now + NO_ROOM_QUARANTINE_MS);
    if (h.cause === 'busy' || h.cause === 'unknown')
      job.notBefore = Math.max(job.notBefore, now + BUSY_RETRY_MS);
    this.stopRestOfGang(job);
  }

  /** When a gang has lost a task, the rest of the attempt is of no use; the next waits until all are gone. */
  private stopRestOfGang(job: Job): void {
    if (job.spec.kind !== 'gang' || job.placements.size === 0) return;
    for (const h of job.placements.values()) if (!h.stop) this.parts.registry.stopTask(h, 0);
  }

  /** An attempt is surely no longer on its machine, without having been reported as exited. */
  onAttemptGone(h: TaskAttempt, why: GoneReason): void {
    this.parts.log.debug(
      { task: `${h.job}/${h.index}`, attempt: h.attempt, machine: h.machine.id, phase: h.startPhase, why },
      'task gone',
    );
    const job = this.parts.jobTable.jobs.get(h.job);
    if (!job) return;
    this.removePlacement(job, h);
    this.stopRestOfGang(job);
    this.parts.hooks.requestPlan();
  }

  /**
   * An attempt is surely no longer on its machine. As long as another attempt of the same task is on one, and is only
   * being stopped, the task has its place there: started meanwhile it would run twice.
   */
  private removePlacement(job: Job, h: TaskAttempt): void {
    job.duplicateAttempts.delete(h);
    // A completed one counts until its completion is stored: the next owner would start it again elsewhere.
    if (h.cause !== 'done') this.parts.hooks.onAttemptLeft(job, h);
    if (job.placements.get(h.index) !== h) return;
    job.placements.delete(h.index);
    for (const other of job.duplicateAttempts) {
      if (other.index !== h.index || other.state === 'exited') continue;
      job.duplicateAttempts.delete(other);
      job.placements.set(other.index, other);
      return;
    }
  }

  /** Takes up a job as it is stored; one that is in memory stays as it is. */
  adopt(l: LoadedJob): Job {
    const id = l.record.spec.id;
    const known = this.parts.jobTable.jobs.get(id);
    if (known) return known;
    const job = this.parts.jobTable.make(
      l.record.spec,
      l.record.accepted,
      l.record.deadline,
      false,
      l.version,
    );
    job.partsUnder = l.partsUnder;
    this.parts.records.restore(job, l.chunks);
    this.parts.jobTable.jobs.set(id, job);
    if (job.done.count === job.spec.tasks || job.storedCount < job.done.count)
      void this.completions.store(job);
    return job;
  }

  /**
   * A job's user has asked to cancel it. That is enough to stop it: its tasks end whether or not the cancellation can be stored
   * soon, and before anybody else can have read it. The job is reported as cancelled only once that is stored.
   */
  requestCancellation(job: Job): void {
    job.cancelRequested = true;
    job.notBefore = Number.POSITIVE_INFINITY;
    for (const h of [...job.placements.values(), ...job.duplicateAttempts])
      this.parts.registry.stopTask(h, 0);
    this.parts.registry.sendStops();
  }

  /** A job has been stored as over: its tasks on machines are stopped, or forgotten when they have exited. */
  endJob(job: Job, status: 'done' | 'cancelled'): void {
    const id = job.spec.id;
    this.parts.jobTable.end(job, status);
    for (const m of this.parts.registry.machines.values()) {
      for (const h of m.attempts.values()) {
        if (h.job !== id) continue;
        if (h.state === 'exited') h.exitRecorded = true;
        else this.parts.registry.stopTask(h, 0);
      }
    }
    this.parts.registry.sendStops();
    this.parts.log.info({ job: id, status }, 'job ended');
    this.parts.hooks.onJobEnded(job, status);
    this.parts.hooks.requestPlan();
  }
}
