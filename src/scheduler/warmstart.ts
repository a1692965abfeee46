import type { World } from '../context/context.js';
import type { Job } from '../jobs/job.js';
import type { Warmth } from '../standby/shardreplica.js';
import type { Held, Machine } from '../workers/machine.js';
import { noteImage } from '../workers/machine.js';
import type { Estimates } from './runtimeestimates.js';

/**
 * What a shard's new owner takes over from the one before it, where that told its standby. All of it are hints: images and
 * run times only guide the plan, and a session that is no longer the machine's is answered with the one that is.
 */
export class Inheritance {
  constructor(
    private readonly world: World,
    private readonly warmth: Warmth | null,
  ) {}

  /** Gives jobs, machines and estimates what is known of them. */
  give(jobs: readonly Job[], machines: Iterable<Machine>, estimates: Estimates): void {
    if (!this.warmth) return;
    const { clock, names, catalog } = this.world;
    estimates.inherit(this.warmth.classes());
    for (const m of machines) {
      const cache = catalog.get(m.type)?.cacheGb ?? 0;
      for (const [image, gb] of this.warmth.machine(m.id)?.images ?? [])
        noteImage(m, names.images.index(image), gb, cache);
    }
    for (const job of jobs) {
      const s = this.warmth.suspect(job.spec.id);
      if (!s) continue;
      job.suspect = true;
      job.failures = s.failures;
      job.notBefore = clock.now() + Math.max(0, s.until - clock.wall());
    }
  }

  session(m: Machine): number | null {
    return this.warmth?.machine(m.id)?.session ?? null;
  }

  ranSince(h: Held): number | null {
    const since = this.warmth?.ranSince(`${h.job}/${h.index}`, h.attempt) ?? null;
    const { clock } = this.world;
    // Times of day of two nodes differ by the skew; nothing has run since a time to come.
    return since === null ? null : Math.min(clock.now(), clock.now() - (clock.wall() - since));
  }

  /** Machines in the order in which they are asked: first those with the most room for what waits. */
  greetingOrder(machines: readonly Machine[], jobs: readonly Job[]): readonly Machine[] {
    if (!this.warmth) return machines;
    const busy = new Map<string, number>();
    for (const job of jobs)
      for (const id of this.warmth.mayBeOn(job.spec.id) ?? []) busy.set(id, (busy.get(id) ?? 0) + 1);
    return [...machines].sort((a, b) => (busy.get(a.id) ?? 0) - (busy.get(b.id) ?? 0));
  }
}
