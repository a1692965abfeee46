import type { PendingRental } from '../autoscaler/autoscaler.js';
import type { World } from '../context/context.js';
import { type Job, openTasks } from '../jobs/job.js';
import type { Amounts } from '../plan/capacityprofile.js';
import type { HeldBooking, KeptPlace, PlanJob, PlanMachine } from '../plan/model.js';
import { Plan } from '../plan/plan.js';
import type { RentOption } from '../plan/rentalchoice.js';
import type { Held, Machine } from '../workers/machine.js';
import type { Fleet } from '../workers/machineregistry.js';
import type { Estimates } from './runtimeestimates.js';

export interface PlanInputHooks {
  /** Whose a task is and what it takes; null when nobody remembers. */
  useOf(h: Held): { team: number; need: Amounts } | null;
  /** Whether a machine is on its way to another shard or back to the cloud. */
  withheld(id: string): boolean;
  rentals(): Iterable<PendingRental>;
  /** What machines that have not reported to this owner may hold. */
  unseen(): Amounts;
  /** Until when a job cannot start, since a machine that may hold tasks of it does not answer; null when it can. */
  heldBack(job: Job, now: number): number | null;
}

/** A shard's machines and jobs as the plan sees them. */
export class PlanInput {
  constructor(
    private readonly world: World,
    private readonly fleet: Fleet,
    private readonly estimates: Estimates,
    private readonly hooks: PlanInputHooks,
  ) {}

  machines(now: number): { machines: PlanMachine[]; refs: (Machine | null)[] } {
    const machines: PlanMachine[] = [];
    const refs: (Machine | null)[] = [];
    const reportMs = this.world.settings.workers.reportS * 1000;
    for (const m of this.fleet.machines.values()) {
      const type = this.world.catalog.get(m.type);
      if (m.leaving || m.lost || !type || this.hooks.withheld(m.id)) continue;
      const held: HeldBooking[] = [];
      let strange = false;
      for (const h of m.held.values()) {
        if (h.state === 'exited') continue;
        const use = this.hooks.useOf(h);
        if (use) held.push({ team: use.team, end: this.estimates.heldEnd(h, now) / 1000, need: use.need });
        else strange = true;
      }
      const booting = m.heardAt === null && !m.unknown;
      const bootMs = type.bootS * 1000;
      const age = now - m.rentedAt;
      let readyAt = now;
      if (booting) readyAt = age < bootMs * 1.1 ? m.rentedAt + bootMs * 1.1 : now + bootMs * 0.3;
      else if (!m.synced) readyAt = now + 1500;
      const silent = m.heardAt !== null && now - m.heardAt > reportMs * 2.5;
      const failing = m.unreachableAt !== null && now - m.unreachableAt < 6000;
      machines.push({
        id: m.id,
        type: m.type,
        zone: m.zone,
        spot: m.spot,
        size: this.world.catalog.size(m.type),
        readyAt: readyAt / 1000,
        until: m.noticeUntil === null ? Number.POSITIVE_INFINITY : m.noticeUntil / 1000,
        closed:
          strange ||
          silent ||
          failing ||
          m.noticeUntil !== null ||
          m.closedUntil > now ||
          (booting && age > bootMs * 2.5),
        fetchGbPerS: type.fetchGbPerS,
        images: new Set(m.images.keys()),
        held,
      });
      refs.push(m);
    }
    for (const r of this.hooks.rentals()) {
      for (let i = 0; i < r.count; i++) {
        machines.push(this.virtual(r.option, (r.at + r.option.bootS * 1100) / 1000));
        refs.push(null);
      }
    }
    return { machines, refs };
  }

  virtual(o: RentOption, readyAt: number): PlanMachine {
    return {
      id: null,
      type: o.type,
      zone: o.zone,
      spot: o.spot,
      size: o.size,
      readyAt,
      until: Number.POSITIVE_INFINITY,
      closed: false,
      fetchGbPerS: this.world.catalog.get(o.type)?.fetchGbPerS ?? 1,
      images: new Set(),
      held: [],
    };
  }

  /** The unstarted tasks of a job; of one that waits for others, from when it is expected to wait no more. */
  job(job: Job, now: number, releaseAt: number | null = null): PlanJob | null {
    if (job.spec.kind === 'gang' && job.places.size > 0) return null;
    // A job that fails everywhere is tried with one task.
    const one = job.suspect && job.spec.kind !== 'gang';
    if (one && job.places.size > 0) return null;
    const tasks = openTasks(job, one ? 1 : job.spec.kind === 'gang' ? job.spec.tasks : 300);
    if (tasks.length === 0) return null;
    // It would keep a place from work that can start now.
    const from = releaseAt ?? this.hooks.heldBack(job, now);
    const present = new Map<number, number>();
    for (const h of job.places.values()) {
      present.set(h.machine.zone, (present.get(h.machine.zone) ?? 0) + 1);
    }
    return {
      id: job.order,
      team: job.team,
      kind: job.spec.kind,
      need: job.need,
      types: job.types,
      zone: job.zone,
      match: job.match,
      oneZone: job.spec.oneZone,
      spread: job.spec.spread,
      spot: job.spec.spot,
      image: job.image,
      imageGb: job.spec.imageGb,
      runS: this.estimates.runS(job.spec),
      deadline: (now + (job.dueWall - this.world.clock.wall())) / 1000,
      ...(from === null ? {} : { from: from / 1000 }),
      total: job.spec.tasks,
      tasks,
      present,
    };
  }

  plan(now: number, machines: PlanMachine[]): Plan {
    const plan = new Plan(
      now / 1000,
      machines,
      this.world.settings.teams.map((t) => ({ cpus: t.cpusMax, gpus: t.gpusMax })),
    );
    const unseen = this.hooks.unseen();
    if (unseen.cpus > 0 || unseen.gpus > 0)
      plan.reserve(unseen, now / 1000 + this.world.settings.workers.leaseS);
    return plan;
  }

  /** Where the last plan had each task, by job, on machines that are still there. */
  keptPlaces(
    last: { plan: Plan; refs: (Machine | null)[] } | null,
    refs: (Machine | null)[],
  ): Map<number, Map<number, KeptPlace>> {
    const places = new Map<number, Map<number, KeptPlace>>();
    const index = new Map<Machine, number>();
    refs.forEach((m, i) => {
      if (m) index.set(m, i);
    });
    for (const b of last?.plan.bookings ?? []) {
      const m = last!.refs[b.machine];
      const machine = m ? index.get(m) : undefined;
      if (machine === undefined) continue;
      let tasks = places.get(b.job.id);
      if (!tasks) {
        tasks = new Map();
        places.set(b.job.id, tasks);
      }
      tasks.set(b.task, { machine, start: b.start });
    }
    return places;
  }
}

/** Books a job where it was, as far as it still fits there, and the rest of it anew. False when it finds no place. */
export function book(plan: Plan, job: PlanJob, kept: ReadonlyMap<number, KeptPlace> | undefined): boolean {
  const tasks = kept ? plan.keep(job, kept) : job.tasks;
  return tasks.length === 0 || plan.book(tasks === job.tasks ? job : { ...job, tasks }) !== null;
}
