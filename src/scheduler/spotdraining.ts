import type { Job } from '../jobs/job.js';
import type { TaskAttempt } from '../workers/machine.js';
import type { MachineRegistry } from '../workers/machineregistry.js';
import type { RuntimeEstimates } from './runtimeestimates.js';

/** Margin by which stop commands are sent before the latest possible moment. */
const STOP_LEAD_MS = 4000;
/** A task that is expected to end at least this long before its machine is reclaimed is not stopped. */
const END_MARGIN_MS = 2000;

/**
 * Stops tasks on machines that the cloud is about to reclaim in time to save their state, so that they
 * continue elsewhere.
 */
export class SpotDraining {
  constructor(
    private readonly registry: MachineRegistry,
    private readonly jobs: ReadonlyMap<string, Job>,
    private readonly estimates: RuntimeEstimates,
    /** Interval between calls of `drain`, in milliseconds. */
    private readonly intervalMs: number,
  ) {}

  /**
   * Stops the tasks that are due, all tasks of a gang together; `now` in milliseconds on the monotonic clock.
   */
  drain(now: number): void {
    for (const job of this.jobs.values()) {
      let until = Number.POSITIVE_INFINITY;
      for (const attempt of job.placements.values()) {
        const { reclaimAt } = attempt.machine;
        if (reclaimAt === null || this.estimates.expectedEnd(attempt, now) < reclaimAt - END_MARGIN_MS)
          continue;
        if (job.spec.kind === 'gang') until = Math.min(until, reclaimAt);
        else this.drainTask(job, attempt, reclaimAt, now);
      }
      if (until < Number.POSITIVE_INFINITY)
        for (const attempt of job.placements.values()) this.drainTask(job, attempt, until, now);
    }
  }

  private drainTask(job: Job, attempt: TaskAttempt, until: number, now: number): void {
    if (attempt.stop) return;
    // The task has not run yet, so it has no state to save.
    if (attempt.state === 'fetching' || attempt.state === 'waiting') {
      this.registry.stopTask(attempt, 0);
      return;
    }
    if (job.spec.checkpointS === 0) return;
    const leadMs = job.spec.saveS * 1000 + STOP_LEAD_MS;
    if (now >= until - leadMs - this.intervalMs) this.registry.stopTask(attempt, job.spec.saveS + 1);
  }
}
