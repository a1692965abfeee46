import type { ControllerContext } from '../context/context.js';
import type { Job } from '../jobs/job.js';
import type { JobSpec } from '../wire/users.js';
import type { TaskAttempt } from '../workers/machine.js';

/** A single task counts for no more than this ratio of run time to estimate, or its inverse. */
const MAX_RATIO = 4;
/** Later tasks count for as much as one of so many. */
const MAX_LEARNT_TASKS = 30;
/** How long a task that is to stop, or is of no known job, is still expected to run, and at least one that outruns its estimate. */
const MIN_REMAINING_MS = 3000;
/** A service runs until it is cancelled. */
const SERVICE_REMAINING_MS = 1e12;
/** One that outruns its estimate is given this share more of what it has run. */
const OVERRUN_SHARE = 0.25;

/** How long tasks run: the users' estimates, corrected by what the tasks of each class have taken. */
export class RuntimeEstimates {
  /** By class: the mean logarithm of the ratio of run time to estimate, and of how many tasks it is, up to a bound. */
  private readonly ratios = new Map<string, { log: number; count: number }>();

  constructor(
    private readonly context: ControllerContext,
    private readonly jobs: ReadonlyMap<string, Job>,
  ) {}

  /** Learns from a task that has run for so many seconds. */
  learn(job: Job, ranS: number): void {
    if (job.spec.estimateS <= 0 || ranS <= 1) return;
    const learnt = this.ratios.get(job.spec.class) ?? { log: 0, count: 0 };
    const ratio = Math.min(MAX_RATIO, Math.max(1 / MAX_RATIO, ranS / job.spec.estimateS));
    learnt.count = Math.min(MAX_LEARNT_TASKS, learnt.count + 1);
    learnt.log += (Math.log(ratio) - learnt.log) / (learnt.count + 2);
    this.ratios.set(job.spec.class, learnt);
  }

  /** What has been learnt, by class, for the standby. */
  classes(): Iterable<[string, Readonly<{ log: number; count: number }>]> {
    return this.ratios;
  }

  /** What has been learnt of a class; null when nothing has. */
  classOf(name: string): Readonly<{ log: number; count: number }> | null {
    return this.ratios.get(name) ?? null;
  }

  /** Restores what the former owner has learnt. */
  restore(classes: Iterable<[string, { log: number; count: number }]>): void {
    for (const [name, { log, count }] of classes) this.ratios.set(name, { log, count });
  }

  /** How long a task of a job is expected to run, in seconds. */
  runS(spec: JobSpec): number {
    return spec.estimateS * Math.exp(this.ratios.get(spec.class)?.log ?? 0);
  }

  /** When a task on a machine is expected to end, in steady milliseconds; one that outruns its estimate is given more each time. */
  expectedEnd(h: TaskAttempt, now: number): number {
    const job = this.jobs.get(h.job);
    if (!job || h.stop) return now + MIN_REMAINING_MS + (h.stop?.graceS ? (job?.spec.saveS ?? 0) * 1000 : 0);
    if (job.spec.kind === 'service') return now + SERVICE_REMAINING_MS;
    const runMs = this.runS(job.spec) * 1000;
    const type = this.context.catalog.get(h.machine.type);
    const fetchMs = h.machine.images.has(job.image)
      ? 0
      : (job.spec.imageGb / (type?.fetchGbPerS ?? 1)) * 1000;
    const start = h.runningAt ?? Math.max(now, h.orderedAt + fetchMs);
    const elapsed = Math.max(0, now - start);
    return elapsed < runMs ? start + runMs : now + Math.max(MIN_REMAINING_MS, elapsed * OVERRUN_SHARE);
  }
}
