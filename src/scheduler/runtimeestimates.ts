import type { ControllerContext } from '../context/context.js';
import type { Job } from '../jobs/job.js';
import type { JobSpec } from '../wire/users.js';
import type { TaskAttempt } from '../workers/machine.js';

/** How long tasks run: the owners' estimates, and what their classes have shown. */
export class RuntimeEstimates {
  private readonly ratios = new Map<string, { log: number; count: number }>();

  constructor(
    private readonly context: ControllerContext,
    private readonly jobs: ReadonlyMap<string, Job>,
  ) {}

  /** Notes how far off the owner's estimate was. */
  learn(job: Job, ranS: number): void {
    if (job.spec.estimateS <= 0 || ranS <= 1) return;
    const r = this.ratios.get(job.spec.class) ?? { log: 0, count: 0 };
    r.count = Math.min(30, r.count + 1);
    r.log += (Math.log(Math.min(4, Math.max(0.25, ranS / job.spec.estimateS))) - r.log) / (r.count + 2);
    this.ratios.set(job.spec.class, r);
  }

  /** What the classes have shown, for who takes over. */
  classes(): Iterable<[string, Readonly<{ log: number; count: number }>]> {
    return this.ratios;
  }

  classOf(name: string): Readonly<{ log: number; count: number }> | null {
    return this.ratios.get(name) ?? null;
  }

  /** Takes over what the former owner has learnt. */
  restore(classes: Iterable<[string, { log: number; count: number }]>): void {
    for (const [name, { log, count }] of classes) this.ratios.set(name, { log, count });
  }

  runS(spec: JobSpec): number {
    return spec.estimateS * Math.exp(this.ratios.get(spec.class)?.log ?? 0);
  }

  /** When a task on a machine is expected to end; one that outruns its estimate is given some more each time. */
  expectedEnd(h: TaskAttempt, now: number): number {
    const job = this.jobs.get(h.job);
    if (!job || h.stop) return now + 3000 + (h.stop?.graceS ? (job?.spec.saveS ?? 0) * 1000 : 0);
    if (job.spec.kind === 'service') return now + 1e12;
    const run = this.runS(job.spec) * 1000;
    const type = this.context.catalog.get(h.machine.type);
    const fetch = h.machine.images.has(job.image) ? 0 : (job.spec.imageGb / (type?.fetchGbPerS ?? 1)) * 1000;
    const start = h.runningAt ?? Math.max(now, h.orderedAt + fetch);
    const elapsed = Math.max(0, now - start);
    return elapsed < run ? start + run : now + Math.max(3000, elapsed * 0.25);
  }
}
