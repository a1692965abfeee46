import type { Job } from '../jobs/job.js';
import type { TaskAttempt } from '../workers/machine.js';
import type { MachineRegistry } from '../workers/machineregistry.js';
import type { RuntimeEstimates } from './runtimeestimates.js';

/** Stops are sent this much before the last moment. */
const STOP_LEAD_MS = 4000;

/** Tasks on machines that are to be taken away save in time, and go on elsewhere. */
export class SpotDraining {
  constructor(
    private readonly registry: MachineRegistry,
    private readonly jobs: ReadonlyMap<string, Job>,
    private readonly estimates: RuntimeEstimates,
    /** How often `drain` is called. */
    private readonly everyMs: number,
  ) {}

  drain(now: number): void {
    for (const job of this.jobs.values()) {
      let until = Number.POSITIVE_INFINITY;
      for (const h of job.placements.values()) {
        const u = h.machine.reclaimAt;
        if (u === null || this.estimates.expectedEnd(h, now) < u - 2000) continue;
        if (job.spec.kind === 'gang') until = Math.min(until, u);
        else this.drainTask(job, h, u, now);
      }
      if (until < Number.POSITIVE_INFINITY)
        for (const h of job.placements.values()) this.drainTask(job, h, until, now);
    }
  }

  private drainTask(job: Job, h: TaskAttempt, until: number, now: number): void {
    if (h.stop) return;
    const useless = h.state === 'fetching' || h.state === 'waiting';
    if (useless) {
      this.registry.stopTask(h, 0);
      return;
    }
    if (job.spec.checkpointS === 0) return;
    const lead = job.spec.saveS * 1000 + STOP_LEAD_MS;
    if (now >= until - lead - this.everyMs) this.registry.stopTask(h, job.spec.saveS + 1);
  }
}
