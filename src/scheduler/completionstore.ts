import { pause } from '../clock/clock.js';
import type { Log } from '../config/log.js';
import type { ControllerContext } from '../context/context.js';
import { NotOwnerError } from '../errors/errors.js';
import type { Job } from '../jobs/job.js';
import type { JobRecords } from '../jobs/records.js';
import type { TaskAttempt } from '../workers/machine.js';
import type { JobTable } from './jobtable.js';

/** Completed tasks of a job are stored no more often than this, until the last one. */
const STORE_INTERVAL_MS = 2000;
/** How often it is looked whether that is over. */
const STORE_POLL_MS = 100;
const STORE_RETRY_MS = 400;

/** What `CompletionStore` asks of its shard, and what it reports to it. */
export interface CompletionStoreHooks {
  /** Whether the shard is no longer this node's. */
  stopped(): boolean;
  /** Stops the shard; returns the error to be thrown. */
  lostOwnership(): Error;
  /** A job has been stored as over. */
  onStoredEnd(job: Job, status: 'done' | 'cancelled'): void;
  /** The completion of an attempt is durable: nothing of it is still to be stored. */
  onAttemptLeft(job: Job, h: TaskAttempt): void;
}

/** What `CompletionStore` is made of. */
export interface CompletionStoreParts {
  readonly context: ControllerContext;
  readonly jobTable: JobTable;
  readonly records: JobRecords;
  readonly log: Log;
  readonly hooks: CompletionStoreHooks;
}

/** Makes completed tasks durable; only then may the machines forget them. */
export class CompletionStore {
  constructor(private readonly parts: CompletionStoreParts) {}

  /**
   * Stores the completed tasks of a job, again until all are. Completions that come close together are stored together: an
   * array of tiny tasks would take the key-value store's rate away from acceptances.
   */
  async store(job: Job): Promise<void> {
    if (job.storing) return;
    job.storing = true;
    const { context, jobTable, log, hooks } = this.parts;
    const { clock } = context;
    const unfinished = () => !hooks.stopped() && job.state === 'active' && job.done.count < job.spec.tasks;
    try {
      while (unfinished() && clock.now() < job.storeAfter) await pause(clock, STORE_POLL_MS);
      await jobTable.exclusive(job.spec.id, () => this.storeOnce(job));
    } catch (error) {
      if (!(error instanceof NotOwnerError)) log.error({ err: error }, 'storing task completions gave up');
    } finally {
      job.storeAfter = clock.now() + STORE_INTERVAL_MS;
      job.storing = false;
      this.acknowledgeExits(job);
    }
  }

  private async storeOnce(job: Job): Promise<void> {
    const { context, records, log, hooks } = this.parts;
    if (hooks.stopped() || job.state !== 'active' || job.storedCount >= job.done.count) return;
    try {
      if (job.done.count === job.spec.tasks) hooks.onStoredEnd(job, await records.finish(job, 'done'));
      else await records.storeDone(job);
    } catch (error) {
      if (error instanceof NotOwnerError) throw hooks.lostOwnership();
      log.debug({ job: job.spec.id, err: error }, 'storing task completions failed');
      await pause(context.clock, STORE_RETRY_MS);
    }
  }

  private acknowledgeExits(job: Job): void {
    // A shard that is lost leaves what it could not store to its next owner; to try on would never end.
    if (this.parts.hooks.stopped()) return;
    if (job.storedCount < job.done.count && job.state === 'active') {
      void this.store(job);
      return;
    }
    for (const h of job.unacknowledgedExits.splice(0)) {
      h.exitRecorded = true;
      this.parts.hooks.onAttemptLeft(job, h);
    }
  }
}
