import type { Log } from '../config/log.js';
import type { Job } from '../jobs/job.js';
import { type Machine, SICK_ERRORS } from '../workers/machine.js';

/** A job that has failed on so many machines that have failed no other job was submitted with a mistake. */
const MACHINES_AGAINST_JOB = 3;
/** A machine that has failed so many jobs is faulty; it is given back. */
const JOBS_AGAINST_MACHINE = 2;
const CLOSED_MS = 15_000;
const CLOSED_MOST_MS = 300_000;
const RETRY_MS = 5000;
const RETRY_MOST_MS = 120_000;

/**
 * Tells a bad job from a bad machine by who else fails where. A job under suspicion is tried again with one task at
 * growing intervals, and what it does says nothing of machines; until it succeeds it is no reason to rent, to stop other
 * work or to hold a guarantee. A machine under suspicion is closed for a while, and is given back when it goes on.
 */
export class FailureTracker {
  /** Machines by the jobs that have failed there since anything succeeded there. */
  private readonly byMachine = new Map<string, Set<string>>();

  constructor(
    private readonly jobs: ReadonlyMap<string, Job>,
    private readonly machines: ReadonlyMap<string, Machine>,
    private readonly log: Log,
    /** A job has come under suspicion, or is no longer. */
    private readonly changed: (job: Job) => void = () => undefined,
  ) {}

  failed(job: Job, m: Machine, now: number): void {
    job.failedOn.add(m.id);
    if (job.suspect) {
      // All tasks of one round fail together; only the first of them makes the pause longer.
      if (now >= job.notBefore) this.retryLater(job, now);
      return;
    }
    const failed = this.byMachine.get(m.id) ?? new Set<string>();
    const another = !failed.has(job.spec.id);
    failed.add(job.spec.id);
    this.byMachine.set(m.id, failed);
    if (this.speaksAgainst(job)) {
      this.suspect(job, now);
      return;
    }
    // Further failures of the same tasks at the same time say no more than the first one.
    if (m.closedUntil > now && !another) return;
    m.errors = failed.size >= JOBS_AGAINST_MACHINE ? SICK_ERRORS : m.errors + 1;
    m.closedUntil = Math.max(m.closedUntil, now + Math.min(CLOSED_MOST_MS, CLOSED_MS * 2 ** (m.errors - 1)));
    this.log.info({ machine: m.id, job: job.spec.id, errors: m.errors }, 'machine failed a task');
  }

  succeeded(job: Job, m: Machine): void {
    m.errors = 0;
    this.byMachine.delete(m.id);
    job.failedOn.clear();
    job.failures = 0;
    if (!job.suspect) return;
    job.suspect = false;
    if (Number.isFinite(job.notBefore)) job.notBefore = 0;
    this.changed(job);
    this.log.info({ job: job.spec.id }, 'job no longer suspected');
  }

  private speaksAgainst(job: Job): boolean {
    let count = 0;
    for (const id of job.failedOn) {
      const failed = this.byMachine.get(id);
      if (failed?.has(job.spec.id) && failed.size === 1) count++;
    }
    return count >= MACHINES_AGAINST_JOB;
  }

  private suspect(job: Job, now: number): void {
    job.suspect = true;
    job.failures = 0;
    // It ruins no machine's name: those that failed nothing else are open again.
    for (const id of job.failedOn) {
      const failed = this.byMachine.get(id);
      failed?.delete(job.spec.id);
      const m = this.machines.get(id);
      if (m && failed && failed.size > 0 && failed.size < JOBS_AGAINST_MACHINE)
        m.errors = Math.min(m.errors, 1);
      if (!m || (failed && failed.size > 0)) continue;
      this.byMachine.delete(id);
      m.errors = 0;
      m.closedUntil = 0;
    }
    this.retryLater(job, now);
    this.log.info({ job: job.spec.id, machines: job.failedOn.size }, 'job fails on every machine');
  }

  private retryLater(job: Job, now: number): void {
    const pause = Math.min(RETRY_MOST_MS, RETRY_MS * 2 ** Math.min(6, job.failures));
    job.failures++;
    job.notBefore = Math.max(job.notBefore, now + pause);
    this.changed(job);
  }

  /** Forgets the failures of jobs that are over. */
  sweep(): void {
    for (const [id, failed] of this.byMachine) {
      if (!this.machines.has(id)) this.byMachine.delete(id);
      else for (const job of failed) if (!this.jobs.has(job)) failed.delete(job);
    }
  }
}
