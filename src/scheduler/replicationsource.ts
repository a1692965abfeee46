import type { World } from '../context/context.js';
import type { Job } from '../jobs/job.js';
import type { FeedRecord } from '../standby/messages.js';
import type { FeedSource } from '../standby/replicationstream.js';
import type { Keeper } from '../standby/standbyreplicator.js';
import type { Held, Machine } from '../workers/machine.js';
import type { Fleet } from '../workers/machineregistry.js';
import type { Estimates } from './runtimeestimates.js';

export interface TellingHooks {
  /** Whether all machines on which tasks of a job may be are known, so that it is surely nowhere else. */
  settled(job: Job): boolean;
}

/** What an owner tells its standby of a shard: all of it at first, then what changes. */
export class Telling implements FeedSource {
  constructor(
    private readonly world: World,
    private readonly fleet: Fleet,
    private readonly jobs: ReadonlyMap<string, Job>,
    private readonly estimates: Estimates,
    private readonly keeper: Keeper,
    private readonly hooks: TellingHooks,
  ) {}

  *snapshot(): Iterator<FeedRecord> {
    for (const [name, r] of this.estimates.classes()) yield { t: 'class', name, ...r };
    for (const m of this.fleet.machines.values()) if (m.session > 0) yield this.recordOf(m);
    for (const job of this.jobs.values()) {
      const sure = this.hooks.settled(job);
      const places = sure ? [...this.placesOf(job)] : [];
      // Of a job that is nowhere and never was, nothing need be said.
      if (!sure || places.length > 0) {
        const machines = sure ? [...new Set(places.map((h) => h.machine.id))] : null;
        yield { t: 'only', job: job.spec.id, machines };
      }
      for (const h of places) if (h.runningAt !== null) yield this.runs(h, h.runningAt);
      if (job.suspect) yield this.suspectOf(job);
    }
  }

  private *placesOf(job: Job): Iterable<Held> {
    yield* job.places.values();
    yield* job.doubles;
    yield* job.unsettled;
  }

  private recordOf(m: Machine): FeedRecord {
    const images = [...m.images].map(([image, gb]): [string, number] => [
      this.world.names.images.name(image),
      gb,
    ]);
    return { t: 'machine', id: m.id, session: m.session, images };
  }

  private runs(h: Held, runningAt: number): FeedRecord {
    const since = Math.round(this.world.clock.wall() - (this.world.clock.now() - runningAt));
    return { t: 'runs', task: `${h.job}/${h.index}`, attempt: h.attempt, since };
  }

  private suspectOf(job: Job): FeedRecord {
    const until = this.world.clock.wall() + Math.max(0, job.notBefore - this.world.clock.now());
    // A cancellation under way closes a job for good; the next owner finds that by itself.
    return {
      t: 'suspect',
      job: job.spec.id,
      failures: job.failures,
      until: Number.isFinite(until) ? Math.round(until) : 0,
    };
  }

  /** An attempt is surely no longer on its machine, and nothing of it is still to be stored. */
  left(job: Job, h: Held): void {
    for (const other of this.placesOf(job)) if (other !== h && other.machine === h.machine) return;
    this.keeper.note({ t: 'off', job: job.spec.id, machine: h.machine.id });
  }

  running(h: Held): void {
    if (h.runningAt !== null) this.keeper.note(this.runs(h, h.runningAt));
  }

  machine(m: Machine): void {
    this.keeper.note(this.recordOf(m));
  }

  learnt(jobClass: string): void {
    const r = this.estimates.classOf(jobClass);
    if (r) this.keeper.note({ t: 'class', name: jobClass, ...r });
  }

  blamed(job: Job): void {
    this.keeper.note(job.suspect ? this.suspectOf(job) : { t: 'trusted', job: job.spec.id });
  }

  over(job: Job): void {
    this.keeper.note({ t: 'over', job: job.spec.id });
  }
}
