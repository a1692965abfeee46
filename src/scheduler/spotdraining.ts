import type { Job } from '../jobs/job.js';
import type { TaskAttempt } from '../workers/machine.js';
import type { MachineRegistry } from '../workers/machineregistry.js';
import type { RuntimeEstimates } from './runtimeestimates.js';

/** Stops are sent this much before the last moment. */
const STOP_LEAD_MS = 4000;
/** A task that is expected to end this much before the machine is reclaimed is left alone. */
const END_MARGIN_MS = 2000;

/** Has tasks on machines that the cloud is about to reclaim save their state in time, to go on elsewhere. */
export class SpotDraining {
  constructor(
    private readonly registry: MachineRegistry,
    private readonly jobs: ReadonlyMap<string, Job>,
    private readonly estimates: RuntimeEstimates,
    /** How often `drain` is called. */
    private readonly intervalMs: number,
  ) {}

  /** Stops the tasks for which it is time, all of a gang together; `now` in steady milliseconds. */
  drain(now: number): void {
    for (const job of this.jobs.values()) {
      let until = Number.POSITIVE_INFINITY;
      for (const h of job.placements.values()) {
        const { reclaimAt } = h.machine;
        if (reclaimAt === null || this.estimates.expectedEnd(h, now) < reclaimAt - END_MARGIN_MS) continue;
        if (job.spec.kind === 'gang') until = Math.min(until, reclaimAt);
        else this.drainTask(job, h, reclaimAt, now);
      }
      if (until < Number.POSITIVE_INFINITY)
        for (const h of job.placements.values()) this.drainTask(job, h, until, now);
    }
  }

  private drainTask(job: Job, h: TaskAttempt, until: number, now: number): void {
    if (h.stop) return;
    // It has done nothing yet that could be saved.
    if (h.state === 'fetching' || h.state === 'waiting') {
      this.registry.stopTask(h, 0);
      return;
    }
    if (job.spec.checkpointS === 0) return;
    const leadMs = job.spec.saveS * 1000 + STOP_LEAD_MS;
    if (now >= until - leadMs - this.intervalMs) this.registry.stopTask(h, job.spec.saveS + 1);
  }
}
