import type { ControllerContext } from '../context/context.js';
import type { Job } from '../jobs/job.js';
import type { JobSpec } from '../wire/users.js';
import type { TaskAttempt } from '../workers/machine.js';

/** Bound on the ratio of run time to estimate that a single task contributes, and on its inverse. */
const MAX_RATIO = 4;
/**
 * Maximum number of tasks in the running mean: beyond it, each new task has the weight of one in this many.
 */
const MAX_LEARNT_TASKS = 30;
/**
 * Expected remaining run time of a task that is being stopped or whose job is unknown, and minimum for a task
 * that has outrun its estimate.
 */
const MIN_REMAINING_MS = 3000;
/** Expected remaining run time of a service, which runs until it is cancelled. */
const SERVICE_REMAINING_MS = 1e12;
/** A task that has outrun its estimate is expected to run for another such share of its run time so far. */
const OVERRUN_SHARE = 0.25;

/**
 * Estimates of task run times: the users' estimates, corrected by the actual run times of each job class.
 */
export class RuntimeEstimates {
  /**
   * Mean logarithm of the ratio of run time to estimate, and the number of tasks in it up to a bound, by job
   * class.
   */
  private readonly ratios = new Map<string, { log: number; count: number }>();

  constructor(
    private readonly context: ControllerContext,
    private readonly jobs: ReadonlyMap<string, Job>,
  ) {}

  /** Updates the estimate of the job's class with the run time of a completed task, in seconds. */
  learn(job: Job, ranS: number): void {
    if (job.spec.estimateS <= 0 || ranS <= 1) return;
    const learnt = this.ratios.get(job.spec.class) ?? { log: 0, count: 0 };
    const ratio = Math.min(MAX_RATIO, Math.max(1 / MAX_RATIO, ranS / job.spec.estimateS));
    learnt.count = Math.min(MAX_LEARNT_TASKS, learnt.count + 1);
    learnt.log += (Math.log(ratio) - learnt.log) / (learnt.count + 2);
    this.ratios.set(job.spec.class, learnt);
  }

  /** Learnt corrections by job class, for replication to the standby. */
  classes(): Iterable<[string, Readonly<{ log: number; count: number }>]> {
    return this.ratios;
  }

  /** Returns the learnt correction of a class; null when there is none. */
  classOf(name: string): Readonly<{ log: number; count: number }> | null {
    return this.ratios.get(name) ?? null;
  }

  /** Restores the corrections that the former owner had learnt. */
  restore(classes: Iterable<[string, { log: number; count: number }]>): void {
    for (const [name, { log, count }] of classes) this.ratios.set(name, { log, count });
  }

  /** Returns the expected run time of a task of a job, in seconds. */
  runS(spec: JobSpec): number {
    return spec.estimateS * Math.exp(this.ratios.get(spec.class)?.log ?? 0);
  }

  /**
   * Returns the expected end of a task on a machine, in milliseconds on the monotonic clock. The expected end
   * of a task that has outrun its estimate is extended on each call.
   */
  expectedEnd(attempt: TaskAttempt, now: number): number {
    const job = this.jobs.get(attempt.job);
    if (!job || attempt.stop)
      return now + MIN_REMAINING_MS + (attempt.stop?.graceS ? (job?.spec.saveS ?? 0) * 1000 : 0);
    if (job.spec.kind === 'service') return now + SERVICE_REMAINING_MS;
    const runMs = this.runS(job.spec) * 1000;
    const type = this.context.catalog.get(attempt.machine.type);
    const fetchMs = attempt.machine.images.has(job.image)
      ? 0
      : (job.spec.imageGb / (type?.fetchGbPerS ?? 1)) * 1000;
    const start = attempt.runningAt ?? Math.max(now, attempt.orderedAt + fetchMs);
    const elapsed = Math.max(0, now - start);
    return elapsed < runMs ? start + runMs : now + Math.max(MIN_REMAINING_MS, elapsed * OVERRUN_SHARE);
  }
}
