import type { Log } from '../config/log.js';
import type { Job } from '../jobs/job.js';
import { MAX_CONSECUTIVE_ERRORS, type Machine } from '../workers/machine.js';

/**
 * A job that has failed on this many machines where no other job has failed is assumed to be faulty (submitted with
 * a mistake).
 */
const MACHINES_TO_QUARANTINE_JOB = 3;
/** A machine on which this many jobs have failed is assumed to be faulty and is returned. */
const JOBS_TO_RETURN_MACHINE = 2;
/**
 * Duration of the first quarantine of a machine; it doubles with each further failure, up to `MAX_QUARANTINE_MS`.
 */
const QUARANTINE_MS = 15_000;
const MAX_QUARANTINE_MS = 300_000;
/** First retry delay of a quarantined job; it doubles with each further failure, up to `MAX_RETRY_MS`. */
const RETRY_MS = 5000;
const MAX_RETRY_MS = 120_000;

/**
 * Distinguishes a faulty job from a faulty machine by comparing which jobs fail on which machines. A quarantined
 * job is retried with one task at increasing intervals, and its failures count against no machine; until it
 * succeeds, no machine is rented, no other job preempted and no guaranteed capacity held for it. A quarantined
 * machine takes no new task for a limited time, and is returned if tasks keep failing on it.
 */
export class FailureTracker {
  /** The jobs that have failed on a machine since a task last succeeded there, by the machine's id. */
  private readonly failedJobsByMachine = new Map<string, Set<string>>();

  constructor(
    private readonly jobs: ReadonlyMap<string, Job>,
    private readonly machines: ReadonlyMap<string, Machine>,
    private readonly log: Log,
    /** Called when a job enters or leaves quarantine, or when its retry delay changes. */
    private readonly onQuarantineChanged: (job: Job) => void = () => undefined,
  ) {}

  /** Records that a task of a job failed on a machine; `now` is the monotonic clock in milliseconds. */
  onTaskFailed(job: Job, machine: Machine, now: number): void {
    job.failedOn.add(machine.id);
    if (job.quarantined) {
      // All tasks of one retry round fail at about the same time; only the first failure lengthens the delay.
      if (now >= job.notBefore) this.scheduleRetry(job, now);
      return;
    }
    const failedJobs = this.failedJobsByMachine.get(machine.id) ?? new Set<string>();
    const isNewFailedJob = !failedJobs.has(job.spec.id);
    failedJobs.add(job.spec.id);
    this.failedJobsByMachine.set(machine.id, failedJobs);
    if (this.isJobAtFault(job)) {
      this.quarantine(job, now);
      return;
    }
    // While the machine is quarantined, further failures of the same job, such as those of its other tasks at the
    // same time, are no more evidence against the machine than the first one.
    if (machine.quarantinedUntil > now && !isNewFailedJob) return;
    machine.consecutiveErrors =
      failedJobs.size >= JOBS_TO_RETURN_MACHINE ? MAX_CONSECUTIVE_ERRORS : machine.consecutiveErrors + 1;
    machine.quarantinedUntil = Math.max(
      machine.quarantinedUntil,
      now + Math.min(MAX_QUARANTINE_MS, QUARANTINE_MS * 2 ** (machine.consecutiveErrors - 1)),
    );
    this.log.info(
      { machine: machine.id, job: job.spec.id, errors: machine.consecutiveErrors },
      'machine quarantined after a task failure',
    );
  }

  /** Records that a task of a job succeeded on a machine, which clears both of suspicion. */
  onTaskSucceeded(job: Job, machine: Machine): void {
    machine.consecutiveErrors = 0;
    this.failedJobsByMachine.delete(machine.id);
    job.failedOn.clear();
    job.failures = 0;
    if (!job.quarantined) return;
    job.quarantined = false;
    if (Number.isFinite(job.notBefore)) job.notBefore = 0;
    this.onQuarantineChanged(job);
    this.log.info({ job: job.spec.id }, 'job quarantine ended');
  }

  /** Returns whether a job has failed on several machines on which no other job has failed. */
  private isJobAtFault(job: Job): boolean {
    let count = 0;
    for (const id of job.failedOn) {
      const failedJobs = this.failedJobsByMachine.get(id);
      if (failedJobs?.has(job.spec.id) && failedJobs.size === 1) count++;
    }
    return count >= MACHINES_TO_QUARANTINE_JOB;
  }

  private quarantine(job: Job, now: number): void {
    job.quarantined = true;
    job.failures = 0;
    // Its failures count against no machine: machines on which no other job has failed leave quarantine.
    for (const id of job.failedOn) {
      const failedJobs = this.failedJobsByMachine.get(id);
      failedJobs?.delete(job.spec.id);
      const machine = this.machines.get(id);
      if (machine && failedJobs && failedJobs.size > 0 && failedJobs.size < JOBS_TO_RETURN_MACHINE)
        machine.consecutiveErrors = Math.min(machine.consecutiveErrors, 1);
      if (!machine || (failedJobs && failedJobs.size > 0)) continue;
      this.failedJobsByMachine.delete(id);
      machine.consecutiveErrors = 0;
      machine.quarantinedUntil = 0;
    }
    this.scheduleRetry(job, now);
    this.log.info({ job: job.spec.id, machines: job.failedOn.size }, 'job quarantined');
  }

  private scheduleRetry(job: Job, now: number): void {
    const delay = Math.min(MAX_RETRY_MS, RETRY_MS * 2 ** Math.min(6, job.failures));
    job.failures++;
    job.notBefore = Math.max(job.notBefore, now + delay);
    this.onQuarantineChanged(job);
  }

  /** Drops the recorded failures of jobs that have ended and of machines that have left the shard. */
  sweep(): void {
    for (const [id, failedJobs] of this.failedJobsByMachine) {
      if (!this.machines.has(id)) this.failedJobsByMachine.delete(id);
      else for (const job of failedJobs) if (!this.jobs.has(job)) failedJobs.delete(job);
    }
  }
}
