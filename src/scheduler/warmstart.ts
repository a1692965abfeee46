import type { ControllerContext } from '../context/context.js';
import type { Job } from '../jobs/job.js';
import type { ReplicaSnapshot } from '../standby/shardreplica.js';
import type { Machine, TaskAttempt } from '../workers/machine.js';
import { recordImage } from '../workers/machine.js';
import type { RuntimeEstimates } from './runtimeestimates.js';

/**
 * Restores the state that the former owner of a shard replicated to this node as its standby. All of it is
 * only a hint: images and run times merely guide the plan, and a machine answers a request for an outdated
 * incarnation with its current one.
 */
export class WarmStart {
  constructor(
    private readonly context: ControllerContext,
    private readonly snapshot: ReplicaSnapshot | null,
  ) {}

  /** Restores cached images of machines, estimates of run times and quarantines of jobs. */
  apply(jobs: readonly Job[], machines: Iterable<Machine>, estimates: RuntimeEstimates): void {
    if (!this.snapshot) return;
    const { clock, names, catalog } = this.context;
    estimates.restore(this.snapshot.runtimeEstimates());
    for (const machine of machines) {
      const cacheGb = catalog.get(machine.type)?.cacheGb ?? 0;
      for (const { image, gb } of this.snapshot.machine(machine.id)?.images ?? [])
        recordImage(machine, names.images.index(image), gb, cacheGb);
    }
    for (const job of jobs) {
      const quarantine = this.snapshot.quarantine(job.spec.id);
      if (!quarantine) continue;
      job.quarantined = true;
      job.failures = quarantine.failures;
      job.notBefore = clock.now() + Math.max(0, quarantine.until - clock.wall());
    }
  }

  /** Returns the incarnation of a machine as known to the former owner; null when it knew none. */
  incarnationOf(machine: Machine): number | null {
    return this.snapshot?.machine(machine.id)?.incarnation ?? null;
  }

  /**
   * Returns when an attempt started to run, as known to the former owner; milliseconds on the monotonic
   * clock.
   */
  runningSince(attempt: TaskAttempt): number | null {
    const since = this.snapshot?.runningSince(`${attempt.job}/${attempt.index}`, attempt.attempt) ?? null;
    const { clock } = this.context;
    // The wall clocks of two nodes differ by the skew, and nothing can have started in the future, so the
    // result is limited to now.
    return since === null ? null : Math.min(clock.now(), clock.now() - (clock.wall() - since));
  }

  /**
   * Returns the machines in the order of reconciliation: first those on which the fewest jobs may have tasks.
   */
  reconciliationOrder(machines: readonly Machine[], jobs: readonly Job[]): readonly Machine[] {
    if (!this.snapshot) return machines;
    const jobCounts = new Map<string, number>();
    for (const job of jobs)
      for (const id of this.snapshot.machinesOf(job.spec.id) ?? [])
        jobCounts.set(id, (jobCounts.get(id) ?? 0) + 1);
    return [...machines].sort((a, b) => (jobCounts.get(a.id) ?? 0) - (jobCounts.get(b.id) ?? 0));
  }
}
