import type { Job } from '../jobs/job.js';
import type { Held } from '../workers/machine.js';
import type { Fleet } from '../workers/machineregistry.js';
import type { Estimates } from './runtimeestimates.js';

/** Stops are sent this much before the last moment. */
const LEAD_MS = 4000;

/** Tasks on machines that are to be taken away save in time, and go on elsewhere. */
export class Draining {
  constructor(
    private readonly fleet: Fleet,
    private readonly jobs: ReadonlyMap<string, Job>,
    private readonly estimates: Estimates,
    /** How often `drain` is called. */
    private readonly everyMs: number,
  ) {}

  drain(now: number): void {
    for (const job of this.jobs.values()) {
      let until = Number.POSITIVE_INFINITY;
      for (const h of job.places.values()) {
        const u = h.machine.noticeUntil;
        if (u === null || this.estimates.heldEnd(h, now) < u - 2000) continue;
        if (job.spec.kind === 'gang') until = Math.min(until, u);
        else this.drainTask(job, h, u, now);
      }
      if (until < Number.POSITIVE_INFINITY)
        for (const h of job.places.values()) this.drainTask(job, h, until, now);
    }
  }

  private drainTask(job: Job, h: Held, until: number, now: number): void {
    if (h.stop) return;
    const useless = h.state === 'fetching' || h.state === 'waiting';
    if (useless) {
      this.fleet.halt(h, 0);
      return;
    }
    if (job.spec.checkpointS === 0) return;
    const lead = job.spec.saveS * 1000 + LEAD_MS;
    if (now >= until - lead - this.everyMs) this.fleet.halt(h, job.spec.saveS + 1);
  }
}
