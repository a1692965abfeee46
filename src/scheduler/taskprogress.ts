import type { Log } from '../config/log.js';
import type { ControllerContext } from '../context/context.js';
import type { Job } from '../jobs/job.js';
import type { JobRecords, LoadedJob } from '../jobs/records.js';
import { type Machine, recordImage, type TaskAttempt } from '../workers/machine.js';
import type { MachineRegistry } from '../workers/machineregistry.js';
import type { GoneReason } from '../workers/registryhooks.js';
import { CompletionStore } from './completionstore.js';
import type { FailureTracker } from './failuretracker.js';
import type { JobTable } from './jobtable.js';
import type { RuntimeEstimates } from './runtimeestimates.js';

/** Time for which a machine gets no new tasks after the exit cause `no_room`. */
const NO_ROOM_QUARANTINE_MS = 4000;
/** Time for which no task of a job starts after the exit causes `busy` and `unknown`. */
const BUSY_RETRY_MS = 3000;

/** Callbacks into the shard that `TaskProgress` needs, and the events that it reports. */
export interface TaskProgressHooks {
  /** Returns whether this node no longer owns the shard. */
  isStopped(): boolean;
  requestPlan(): void;
  /** Stops the shard; returns the error to throw. */
  onOwnershipLost(): Error;
  /** Called when an attempt is known to have left its machine, and nothing of it remains to be stored. */
  onAttemptLeft(job: Job, attempt: TaskAttempt): void;
  /** Called when a task has started to run. */
  onRunning(attempt: TaskAttempt): void;
  /** Called when a machine has fetched an image. */
  onImageCached(m: Machine): void;
  /** Called when the estimates have been updated with a task of a job. */
  onRuntimeLearnt(job: Job): void;
  /**
   * Returns when an attempt that was found running started to run, as known to the former owner; milliseconds
   * on the monotonic clock.
   */
  runningSince(attempt: TaskAttempt): number | null;
  /** Called when the end of a job is durable. */
  onJobEnded(job: Job, status: 'done' | 'cancelled'): void;
}

/** Components that `TaskProgress` depends on. */
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

/**
 * Tracks tasks on machines as reported, and makes their completion durable before the machines may forget it.
 */
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
        isStopped: () => hooks.isStopped(),
        onOwnershipLost: () => hooks.onOwnershipLost(),
        onStoredEnd: (job, status) => this.endJob(job, status),
        onAttemptLeft: (job, attempt) => hooks.onAttemptLeft(job, attempt),
      },
    });
  }

  /** Handles the report of an attempt that was not known to be on the machine. */
  onAttemptFound(attempt: TaskAttempt): void {
    const job = this.parts.jobTable.jobs.get(attempt.job);
    if (!job) {
      // The job has ended, was cancelled or was never accepted, so the attempt is not needed.
      if (attempt.state === 'exited') attempt.exitRecorded = true;
      else this.parts.registry.stopTask(attempt, 0);
      return;
    }
    const other = job.placements.get(attempt.index);
    if (attempt.state !== 'exited') {
      if (job.cancelRequested || job.done.has(attempt.index) || (other && other !== attempt))
        this.parts.registry.stopTask(attempt, 0);
      if (!other) job.placements.set(attempt.index, attempt);
      else if (other !== attempt) job.duplicateAttempts.add(attempt);
      this.recordAttemptNumber(job, attempt);
      this.recordCachedImage(job, attempt);
      if (attempt.state === 'running') {
        attempt.runningAt = this.parts.hooks.runningSince(attempt) ?? attempt.runningAt;
        this.onRunning(job, attempt);
      }
    } else {
      this.onAttemptChanged(attempt);
    }
    this.parts.hooks.requestPlan();
  }

  private recordAttemptNumber(job: Job, attempt: TaskAttempt): void {
    if (attempt.attempt > job.attempt) job.attempt = attempt.attempt;
  }

  private recordCachedImage(job: Job, attempt: TaskAttempt): void {
    if (attempt.state === 'fetching') return;
    const cacheGb = this.parts.context.catalog.get(attempt.machine.type)?.cacheGb ?? 0;
    const wasCached = attempt.machine.images.has(job.image);
    recordImage(attempt.machine, job.image, job.spec.imageGb, cacheGb);
    if (!wasCached) this.parts.hooks.onImageCached(attempt.machine);
  }

  /** Handles a change in the state or the exit cause of a known attempt. */
  onAttemptChanged(attempt: TaskAttempt): void {
    const job = this.parts.jobTable.jobs.get(attempt.job);
    if (!job) {
      if (attempt.state === 'exited') attempt.exitRecorded = true;
      return;
    }
    this.recordCachedImage(job, attempt);
    if (attempt.state === 'exited') this.onExited(job, attempt);
    else if (attempt.state === 'running') this.onRunning(job, attempt);
    this.parts.hooks.requestPlan();
  }

  private onRunning(job: Job, attempt: TaskAttempt): void {
    this.parts.hooks.onRunning(attempt);
    if (job.hasStarted) return;
    job.hasStarted = true;
    const waitS = Math.round((this.parts.context.clock.wall() - job.acceptedWall) / 100) / 10;
    this.parts.log.info({ job: job.spec.id, class: job.spec.class, waitS }, 'job started');
  }

  private onExited(job: Job, attempt: TaskAttempt): void {
    this.removePlacement(job, attempt);
    this.parts.log.debug(
      {
        task: `${attempt.job}/${attempt.index}`,
        attempt: attempt.attempt,
        machine: attempt.machine.id,
        cause: attempt.cause,
      },
      'task exited',
    );
    if (attempt.cause === 'done') this.onCompleted(job, attempt);
    else this.onExitedUncompleted(job, attempt);
  }

  private onCompleted(job: Job, attempt: TaskAttempt): void {
    const { failures, estimates, records, hooks } = this.parts;
    failures.onTaskSucceeded(job, attempt.machine);
    if (attempt.runningAt !== null && attempt.exitedAt !== null) {
      estimates.learn(job, (attempt.exitedAt - attempt.runningAt) / 1000);
      hooks.onRuntimeLearnt(job);
    }
    job.unacknowledgedExits.push(attempt);
    // The tasks of a gang complete together: if one is done, all are.
    const indexes = job.spec.kind === 'gang' ? [...Array(job.spec.tasks).keys()] : [attempt.index];
    for (const i of indexes) {
      if (job.done.add(i)) job.dirtyChunks.add(records.chunkOf(job, i));
    }
    void this.completions.store(job);
  }

  private onExitedUncompleted(job: Job, attempt: TaskAttempt): void {
    const machine = attempt.machine;
    const now = this.parts.context.clock.now();
    attempt.exitRecorded = true;
    if (attempt.cause === 'error') this.parts.failures.onTaskFailed(job, machine, now);
    if (attempt.cause === 'no_room')
      machine.quarantinedUntil = Math.max(machine.quarantinedUntil, now + NO_ROOM_QUARANTINE_MS);
    if (attempt.cause === 'busy' || attempt.cause === 'unknown')
      job.notBefore = Math.max(job.notBefore, now + BUSY_RETRY_MS);
    this.stopRestOfGang(job);
  }

  /**
   * Stops the remaining tasks of a gang that has lost one: the rest of the attempt is useless, and the next
   * attempt waits until all tasks have left their machines.
   */
  private stopRestOfGang(job: Job): void {
    if (job.spec.kind !== 'gang' || job.placements.size === 0) return;
    for (const attempt of job.placements.values())
      if (!attempt.stop) this.parts.registry.stopTask(attempt, 0);
  }

  /** Handles an attempt that is known to have left its machine without having been reported as exited. */
  onAttemptGone(attempt: TaskAttempt, why: GoneReason): void {
    this.parts.log.debug(
      {
        task: `${attempt.job}/${attempt.index}`,
        attempt: attempt.attempt,
        machine: attempt.machine.id,
        phase: attempt.startPhase,
        why,
      },
      'task no longer on its machine',
    );
    const job = this.parts.jobTable.jobs.get(attempt.job);
    if (!job) return;
    this.removePlacement(job, attempt);
    this.stopRestOfGang(job);
    this.parts.hooks.requestPlan();
  }

  /**
   * Removes the placement of an attempt that is known to have left its machine. While another attempt of the
   * same task is still on a machine, even if it is only being stopped, that attempt takes over the placement:
   * starting the task in the meantime would run it twice.
   */
  private removePlacement(job: Job, attempt: TaskAttempt): void {
    job.duplicateAttempts.delete(attempt);
    // A completed attempt counts as on its machine until its completion is stored; otherwise the next owner
    // would start the task again elsewhere.
    if (attempt.cause !== 'done') this.parts.hooks.onAttemptLeft(job, attempt);
    if (job.placements.get(attempt.index) !== attempt) return;
    job.placements.delete(attempt.index);
    for (const other of job.duplicateAttempts) {
      if (other.index !== attempt.index || other.state === 'exited') continue;
      job.duplicateAttempts.delete(other);
      job.placements.set(other.index, other);
      return;
    }
  }

  /** Creates a job from its stored records; a job that is already in memory is left unchanged. */
  adopt(loaded: LoadedJob): Job {
    const id = loaded.record.spec.id;
    const known = this.parts.jobTable.jobs.get(id);
    if (known) return known;
    const job = this.parts.jobTable.createJob(
      loaded.record.spec,
      loaded.record.accepted,
      loaded.record.deadline,
      false,
      loaded.version,
    );
    job.partsPrefix = loaded.partsPrefix;
    this.parts.records.restore(job, loaded.chunks);
    this.parts.jobTable.jobs.set(id, job);
    if (job.done.count === job.spec.tasks || job.storedCount < job.done.count)
      void this.completions.store(job);
    return job;
  }

  /**
   * Stops a job whose user has requested its cancellation. The request alone is enough: the tasks are stopped
   * whether or not the cancellation can be stored soon, and before anyone else can have read it. The job is
   * reported as cancelled only once the cancellation is stored.
   */
  requestCancellation(job: Job): void {
    job.cancelRequested = true;
    job.notBefore = Number.POSITIVE_INFINITY;
    for (const attempt of [...job.placements.values(), ...job.duplicateAttempts])
      this.parts.registry.stopTask(attempt, 0);
    this.parts.registry.sendStops();
  }

  /**
   * Ends a job whose end has been stored: its tasks on machines are stopped, or forgotten if they have
   * exited.
   */
  endJob(job: Job, status: 'done' | 'cancelled'): void {
    const id = job.spec.id;
    this.parts.jobTable.markEnded(job, status);
    for (const machine of this.parts.registry.machines.values()) {
      for (const attempt of machine.attempts.values()) {
        if (attempt.job !== id) continue;
        if (attempt.state === 'exited') attempt.exitRecorded = true;
        else this.parts.registry.stopTask(attempt, 0);
      }
    }
    this.parts.registry.sendStops();
    this.parts.log.info({ job: id, status }, 'job ended');
    this.parts.hooks.onJobEnded(job, status);
    this.parts.hooks.requestPlan();
  }
}
