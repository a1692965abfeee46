import type { ControllerContext } from '../context/context.js';
import type { Job } from '../jobs/job.js';
import type { ReplicaSnapshot } from '../standby/shardreplica.js';
import type { Machine, TaskAttempt } from '../workers/machine.js';
import { noteImage } from '../workers/machine.js';
import type { RuntimeEstimates } from './runtimeestimates.js';

/**
 * What a shard's new owner takes over from the former one, as far as that replicated it to its standby. All of it are hints:
 * images and run times only guide the plan, and a machine answers an incarnation that is no longer its own with the one that is.
 */
export class WarmStart {
  constructor(
    private readonly context: ControllerContext,
    private readonly snapshot: ReplicaSnapshot | null,
  ) {}

  /** Restores images of machines, estimates of run times and quarantines of jobs. */
  apply(jobs: readonly Job[], machines: Iterable<Machine>, estimates: RuntimeEstimates): void {
    if (!this.snapshot) return;
    const { clock, names, catalog } = this.context;
    estimates.restore(this.snapshot.classes());
    for (const m of machines) {
      const cache = catalog.get(m.type)?.cacheGb ?? 0;
      for (const { image, gb } of this.snapshot.machine(m.id)?.images ?? [])
        noteImage(m, names.images.index(image), gb, cache);
    }
    for (const job of jobs) {
      const quarantine = this.snapshot.quarantine(job.spec.id);
      if (!quarantine) continue;
      job.quarantined = true;
      job.failures = quarantine.failures;
      job.notBefore = clock.now() + Math.max(0, quarantine.until - clock.wall());
    }
  }

  /** The incarnation of a machine that the former owner knew; null when it knew none. */
  incarnationOf(m: Machine): number | null {
    return this.snapshot?.machine(m.id)?.incarnation ?? null;
  }

  /** When an attempt began to run, as far as the former owner knew; steady milliseconds. */
  runningSince(h: TaskAttempt): number | null {
    const since = this.snapshot?.runningSince(`${h.job}/${h.index}`, h.attempt) ?? null;
    const { clock } = this.context;
    // Times of day of two nodes differ by the skew; nothing has run since a time in the future.
    return since === null ? null : Math.min(clock.now(), clock.now() - (clock.wall() - since));
  }

  /** Machines in the order in which they are reconciled: first those on which the fewest jobs may have tasks. */
  reconciliationOrder(machines: readonly Machine[], jobs: readonly Job[]): readonly Machine[] {
    if (!this.snapshot) return machines;
    const busy = new Map<string, number>();
    for (const job of jobs)
      for (const id of this.snapshot.machinesOf(job.spec.id) ?? []) busy.set(id, (busy.get(id) ?? 0) + 1);
    return [...machines].sort((a, b) => (busy.get(a.id) ?? 0) - (busy.get(b.id) ?? 0));
  }
}
