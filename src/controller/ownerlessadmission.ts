import type { ControllerContext } from '../context/context.js';
import { NotOwnerError, UnavailableError } from '../errors/errors.js';
import { JobRecords } from '../jobs/records.js';
import { defaultDeadlineS } from '../scheduler/admission.js';
import type { SubmitResponse } from '../scheduler/responses.js';
import { KEYS, OwnerTransactions } from '../schema/schema.js';
import { StateStoreError } from '../state/statestore.js';
import type { JobSpec } from '../wire/users.js';
import type { Membership } from './membership.js';

/**
 * Delay before the returning or next owner is first asked to confirm a job, and interval of retries until it answers.
 */
const FIRST_CONFIRM_DELAY_MS = 500;
const CONFIRM_INTERVAL_MS = 2000;
const MAX_CONCURRENT_CONFIRMS = 16;
const MAX_UNCONFIRMED_JOBS = 2000;
/** No job is accepted while writes would be delayed longer than this. */
const MAX_WRITE_DELAY_MS = 700;

/**
 * Accepts jobs without a deadline for a shard whose owner is unavailable because it is restarting, is partitioned
 * from this node, or has not taken over yet. The plan never rejects such a job, so the job can be accepted without a
 * plan; its internal deadline is the default for a job for which no machine is expected. The write is conditional on
 * the shard's owner key being unchanged since this node read it, so that every later owner finds the job when it
 * takes over the shard. An owner that does exist, but has not seen the job, is asked for it until it has read the
 * record.
 */
export class OwnerlessAdmission {
  /** Shards of jobs that their owners have not confirmed yet, by the job's id. */
  private readonly unconfirmed = new Map<string, number>();
  private acceptedCount = 0;
  private confirmScheduled = false;

  constructor(
    private readonly context: ControllerContext,
    private readonly members: Membership,
    private readonly allSupportProtocolVersion: () => boolean,
    /**
     * Asks the owner for a job, which makes it read the job's record. Returns false when the owner does not answer.
     */
    private readonly confirmWithOwner: (shard: number, id: string) => Promise<boolean>,
  ) {}

  /** Returns whether a job may be accepted without its shard's plan. */
  mayAccept(spec: JobSpec): boolean {
    return spec.deadlineS === null;
  }

  /**
   * Accepts and stores a job. Throws `UnavailableError` when it cannot be stored now, or when the shard has a new
   * owner.
   */
  async accept(shard: number, spec: JobSpec): Promise<SubmitResponse> {
    // A node that cannot reach the key-value store itself fails fast.
    if (!this.canStore()) throw new UnavailableError('no owner at present');
    const result = await this.storeJob(shard, spec);
    if (result.kind === 'known') return { kind: 'known', status: result.entry.final ?? 'queued' };
    const { id, team, tasks, cpus } = spec;
    this.context.log.info(
      { job: id, class: spec.class, shard, team, tasks, cpus },
      'job accepted while the owner of its shard is unavailable',
    );
    this.unconfirmed.set(spec.id, shard);
    if (this.unconfirmed.size > MAX_UNCONFIRMED_JOBS)
      this.unconfirmed.delete(this.unconfirmed.keys().next().value!);
    this.scheduleConfirm(FIRST_CONFIRM_DELAY_MS);
    return { kind: 'accepted' };
  }

  private canStore(): boolean {
    const { holdsLease, stateCache } = this.members;
    return holdsLease && stateCache.isLoaded && this.context.store.writeDelayMs <= MAX_WRITE_DELAY_MS;
  }

  /** Stores the acceptance on the condition that the owner key is still at the version in this node's cache. */
  private async storeJob(shard: number, spec: JobSpec): ReturnType<JobRecords['accept']> {
    const { store, settings, clock } = this.context;
    const seenTerm = this.members.stateCache.entries.get(KEYS.owner(shard))?.version ?? 0;
    const limits = { ...settings.stateLimits, layoutKb: settings.layoutKb };
    const transactions = new OwnerTransactions(store, shard, seenTerm);
    const records = new JobRecords(transactions, limits, this.allSupportProtocolVersion);
    const wall = clock.wall();
    const deadline = Math.round(wall + defaultDeadlineS(this.context, null, spec.estimateS) * 1000);
    try {
      const tag = `${this.context.incarnation}-d${this.acceptedCount++}`;
      return await records.accept({ spec, accepted: wall, deadline }, tag);
    } catch (error) {
      // The shard has a new owner, which handles the request when the user retries.
      if (error instanceof NotOwnerError) throw new UnavailableError('the shard has moved');
      throw error;
    }
  }

  /** Schedules confirmation requests to the owners until all jobs are confirmed; schedules nothing when all are. */
  private scheduleConfirm(delayMs: number): void {
    if (this.confirmScheduled || this.unconfirmed.size === 0) return;
    this.confirmScheduled = true;
    this.context.clock.after(delayMs, () => {
      void this.confirmAll()
        .catch((error) => {
          if (!(error instanceof UnavailableError || error instanceof StateStoreError)) throw error;
        })
        .finally(() => {
          this.confirmScheduled = false;
          this.scheduleConfirm(CONFIRM_INTERVAL_MS);
        });
    });
  }

  private async confirmAll(): Promise<void> {
    const batch = [...this.unconfirmed].slice(0, MAX_CONCURRENT_CONFIRMS);
    await Promise.all(
      batch.map(async ([id, shard]) => {
        if (await this.confirmWithOwner(shard, id)) this.unconfirmed.delete(id);
      }),
    );
  }
}
