import type { Log } from '../config/log.js';
import type { Job } from '../jobs/job.js';
import { MAX_CONSECUTIVE_ERRORS, type Machine } from '../workers/machine.js';

/** A job that has failed on so many machines on which no other job has failed was submitted with a mistake. */
const MACHINES_TO_QUARANTINE_JOB = 3;
/** A machine on which so many jobs have failed is faulty; it is returned. */
const JOBS_TO_RETURN_MACHINE = 2;
/** The first quarantine of a machine, doubled with each further failure up to a bound. */
const QUARANTINE_MS = 15_000;
const MAX_QUARANTINE_MS = 300_000;
/** The first pause of a quarantined job, doubled with each further failure up to a bound. */
const RETRY_MS = 5000;
const MAX_RETRY_MS = 120_000;

/**
 * Distinguishes a bad job from a bad machine by what else fails where. A quarantined job is tried again with one task at
 * growing intervals, and its failures count against no machine; until it succeeds it is no reason to rent, to preempt other
 * jobs or to hold a guarantee. A quarantined machine takes no new task for a while, and is returned when it goes on failing.
 */
export class FailureTracker {
  /** The jobs that have failed on a machine since a task last succeeded there, by the machine's id. */
  private readonly failedJobsByMachine = new Map<string, Set<string>>();

  constructor(
    private readonly jobs: ReadonlyMap<string, Job>,
    private readonly machines: ReadonlyMap<string, Machine>,
    private readonly log: Log,
    /** A job has been quarantined, or is no longer, or its pause has changed. */
    private readonly onQuarantineChanged: (job: Job) => void = () => undefined,
  ) {}

  /** A task of a job has failed on a machine; `now` in steady milliseconds. */
  onTaskFailed(job: Job, m: Machine, now: number): void {
    job.failedOn.add(m.id);
    if (job.quarantined) {
      // All tasks of one round fail together; only the first of them makes the pause longer.
      if (now >= job.notBefore) this.retryLater(job, now);
      return;
    }
    const failed = this.failedJobsByMachine.get(m.id) ?? new Set<string>();
    const another = !failed.has(job.spec.id);
    failed.add(job.spec.id);
    this.failedJobsByMachine.set(m.id, failed);
    if (this.isJobAtFault(job)) {
      this.quarantine(job, now);
      return;
    }
    // Further failures of the same tasks at the same time say no more than the first one.
    if (m.quarantinedUntil > now && !another) return;
    m.consecutiveErrors =
      failed.size >= JOBS_TO_RETURN_MACHINE ? MAX_CONSECUTIVE_ERRORS : m.consecutiveErrors + 1;
    m.quarantinedUntil = Math.max(
      m.quarantinedUntil,
      now + Math.min(MAX_QUARANTINE_MS, QUARANTINE_MS * 2 ** (m.consecutiveErrors - 1)),
    );
    this.log.info(
      { machine: m.id, job: job.spec.id, errors: m.consecutiveErrors },
      'machine quarantined after a task failure',
    );
  }

  /** A task of a job has succeeded on a machine: neither is suspected any more. */
  onTaskSucceeded(job: Job, m: Machine): void {
    m.consecutiveErrors = 0;
    this.failedJobsByMachine.delete(m.id);
    job.failedOn.clear();
    job.failures = 0;
    if (!job.quarantined) return;
    job.quarantined = false;
    if (Number.isFinite(job.notBefore)) job.notBefore = 0;
    this.onQuarantineChanged(job);
    this.log.info({ job: job.spec.id }, 'job quarantine ended');
  }

  /** Whether a job has failed on several machines on which no other job has. */
  private isJobAtFault(job: Job): boolean {
    let count = 0;
    for (const id of job.failedOn) {
      const failed = this.failedJobsByMachine.get(id);
      if (failed?.has(job.spec.id) && failed.size === 1) count++;
    }
    return count >= MACHINES_TO_QUARANTINE_JOB;
  }

  private quarantine(job: Job, now: number): void {
    job.quarantined = true;
    job.failures = 0;
    // Its failures count against no machine: those on which nothing else has failed are open again.
    for (const id of job.failedOn) {
      const failed = this.failedJobsByMachine.get(id);
      failed?.delete(job.spec.id);
      const m = this.machines.get(id);
      if (m && failed && failed.size > 0 && failed.size < JOBS_TO_RETURN_MACHINE)
        m.consecutiveErrors = Math.min(m.consecutiveErrors, 1);
      if (!m || (failed && failed.size > 0)) continue;
      this.failedJobsByMachine.delete(id);
      m.consecutiveErrors = 0;
      m.quarantinedUntil = 0;
    }
    this.retryLater(job, now);
    this.log.info({ job: job.spec.id, machines: job.failedOn.size }, 'job quarantined');
  }

  private retryLater(job: Job, now: number): void {
    const pause = Math.min(MAX_RETRY_MS, RETRY_MS * 2 ** Math.min(6, job.failures));
    job.failures++;
    job.notBefore = Math.max(job.notBefore, now + pause);
    this.onQuarantineChanged(job);
  }

  /** Forgets the failures of jobs that are over. */
  sweep(): void {
    for (const [id, failed] of this.failedJobsByMachine) {
      if (!this.machines.has(id)) this.failedJobsByMachine.delete(id);
      else for (const job of failed) if (!this.jobs.has(job)) failed.delete(job);
    }
  }
}
