import { pause } from '../clock/clock.js';
import type { Log } from '../config/log.js';
import type { ControllerContext } from '../context/context.js';
import { NotOwnerError } from '../errors/errors.js';
import type { Job } from '../jobs/job.js';
import type { JobRecords } from '../jobs/records.js';
import type { TaskAttempt } from '../workers/machine.js';
import type { JobTable } from './jobtable.js';

/**
 * Minimum interval between two writes of a job's completed tasks; the write of the last task does not wait for it.
 */
const STORE_INTERVAL_MS = 2000;
/** How often `store` checks whether that interval has passed. */
const STORE_POLL_MS = 100;
const STORE_RETRY_MS = 400;

/** Callbacks by which `CompletionStore` queries and notifies its shard. */
export interface CompletionStoreHooks {
  /** Returns whether this node no longer owns the shard. */
  isStopped(): boolean;
  /** Stops the shard after its ownership was lost; returns the error to throw. */
  onOwnershipLost(): Error;
  /** Called when the end of a job has been stored. */
  onStoredEnd(job: Job, status: 'done' | 'cancelled'): void;
  /** Called when the completion of an attempt is durable and nothing about the attempt remains to be stored. */
  onAttemptLeft(job: Job, attempt: TaskAttempt): void;
}

/** Collaborators of `CompletionStore`. */
export interface CompletionStoreParts {
  readonly context: ControllerContext;
  readonly jobTable: JobTable;
  readonly records: JobRecords;
  readonly log: Log;
  readonly hooks: CompletionStoreHooks;
}

/** Stores completed tasks durably. Machines may forget a completed task only after it has been stored. */
export class CompletionStore {
  constructor(private readonly parts: CompletionStoreParts) {}

  /**
   * Stores the completed tasks of a job, and repeats this until all of them are stored. Completions in quick
   * succession are stored in one write: otherwise an array of tiny tasks would use up the write rate of the
   * key-value store that the acceptance of new jobs needs.
   */
  async store(job: Job): Promise<void> {
    if (job.storing) return;
    job.storing = true;
    const { context, jobTable, log, hooks } = this.parts;
    const { clock } = context;
    const hasUnfinishedTasks = () =>
      !hooks.isStopped() && job.state === 'active' && job.done.count < job.spec.tasks;
    try {
      while (hasUnfinishedTasks() && clock.now() < job.storeAfter) await pause(clock, STORE_POLL_MS);
      await jobTable.exclusive(job.spec.id, () => this.storeOnce(job));
    } catch (error) {
      if (!(error instanceof NotOwnerError))
        log.error({ err: error }, 'storing task completions failed unexpectedly: will be retried');
    } finally {
      job.storeAfter = clock.now() + STORE_INTERVAL_MS;
      job.storing = false;
      this.acknowledgeExits(job);
    }
  }

  private async storeOnce(job: Job): Promise<void> {
    const { context, records, log, hooks } = this.parts;
    if (hooks.isStopped() || job.state !== 'active' || job.storedCount >= job.done.count) return;
    try {
      if (job.done.count === job.spec.tasks) hooks.onStoredEnd(job, await records.finish(job, 'done'));
      else await records.storeDone(job);
    } catch (error) {
      if (error instanceof NotOwnerError) throw hooks.onOwnershipLost();
      log.debug({ job: job.spec.id, err: error }, 'storing task completions failed');
      await pause(context.clock, STORE_RETRY_MS);
    }
  }

  private acknowledgeExits(job: Job): void {
    // After the shard is lost, completions not yet stored are left to its next owner; retrying them here would
    // never end.
    if (this.parts.hooks.isStopped()) return;
    if (job.storedCount < job.done.count && job.state === 'active') {
      void this.store(job);
      return;
    }
    for (const attempt of job.unacknowledgedExits.splice(0)) {
      attempt.exitRecorded = true;
      this.parts.hooks.onAttemptLeft(job, attempt);
    }
  }
}
