import type { PendingRental } from '../autoscaler/autoscaler.js';
import type { ControllerContext } from '../context/context.js';
import { type Job, unplacedTasks } from '../jobs/job.js';
import type { Amounts } from '../plan/capacityprofile.js';
import type { PlanJob, PlanMachine, PreviousPlacement, RunningReservation } from '../plan/model.js';
import { Plan } from '../plan/plan.js';
import type { RentOption } from '../plan/rentalchoice.js';
import type { Machine, TaskAttempt } from '../workers/machine.js';
import type { MachineRegistry } from '../workers/machineregistry.js';
import type { RuntimeEstimates } from './runtimeestimates.js';

export interface PlanInputHooks {
  /** Whose a task is and what it takes; null when nobody remembers. */
  usageOf(h: TaskAttempt): { team: number; need: Amounts } | null;
  /** Whether a machine is on its way to another shard or back to the cloud. */
  isReservedForTransfer(id: string): boolean;
  rentals(): Iterable<PendingRental>;
  /** What machines that have not reported to this owner may hold. */
  unreconciledCapacity(): Amounts;
  /** Until when a job cannot start, since a machine that may hold tasks of it does not answer; null when it can. */
  blockedUntil(job: Job, now: number): number | null;
}

/** A shard's machines and jobs as the plan sees them. */
export class PlanInput {
  constructor(
    private readonly context: ControllerContext,
    private readonly registry: MachineRegistry,
    private readonly estimates: RuntimeEstimates,
    private readonly hooks: PlanInputHooks,
  ) {}

  machines(now: number): { machines: PlanMachine[]; refs: (Machine | null)[] } {
    const machines: PlanMachine[] = [];
    const refs: (Machine | null)[] = [];
    const reportMs = this.context.settings.workers.reportS * 1000;
    for (const m of this.registry.machines.values()) {
      const type = this.context.catalog.get(m.type);
      if (m.decommissioning || m.leaseExpired || !type || this.hooks.isReservedForTransfer(m.id)) continue;
      const held: RunningReservation[] = [];
      let strange = false;
      for (const h of m.attempts.values()) {
        if (h.state === 'exited') continue;
        const use = this.hooks.usageOf(h);
        if (use)
          held.push({ team: use.team, end: this.estimates.expectedEnd(h, now) / 1000, need: use.need });
        else strange = true;
      }
      const booting = m.lastHeartbeatAt === null && !m.mayHoldUnreportedTasks;
      const bootMs = type.bootS * 1000;
      const age = now - m.rentedAt;
      let readyAt = now;
      if (booting) readyAt = age < bootMs * 1.1 ? m.rentedAt + bootMs * 1.1 : now + bootMs * 0.3;
      else if (!m.reconciled) readyAt = now + 1500;
      const silent = m.lastHeartbeatAt !== null && now - m.lastHeartbeatAt > reportMs * 2.5;
      const failing = m.unreachableAt !== null && now - m.unreachableAt < 6000;
      machines.push({
        id: m.id,
        type: m.type,
        zone: m.zone,
        spot: m.spot,
        size: this.context.catalog.size(m.type),
        readyAt: readyAt / 1000,
        until: m.reclaimAt === null ? Number.POSITIVE_INFINITY : m.reclaimAt / 1000,
        quarantined:
          strange ||
          silent ||
          failing ||
          m.reclaimAt !== null ||
          m.quarantinedUntil > now ||
          (booting && age > bootMs * 2.5),
        fetchGbPerS: type.fetchGbPerS,
        images: new Set(m.images.keys()),
        running: held,
      });
      refs.push(m);
    }
    for (const r of this.hooks.rentals()) {
      for (let i = 0; i < r.count; i++) {
        machines.push(this.virtualMachine(r.option, (r.at + r.option.bootS * 1100) / 1000));
        refs.push(null);
      }
    }
    return { machines, refs };
  }

  virtualMachine(o: RentOption, readyAt: number): PlanMachine {
    return {
      id: null,
      type: o.type,
      zone: o.zone,
      spot: o.spot,
      size: o.size,
      readyAt,
      until: Number.POSITIVE_INFINITY,
      quarantined: false,
      fetchGbPerS: this.context.catalog.get(o.type)?.fetchGbPerS ?? 1,
      images: new Set(),
      running: [],
    };
  }

  /** The unstarted tasks of a job; of one that waits for others, from when it is expected to wait no more. */
  planJob(job: Job, now: number, releaseAt: number | null = null): PlanJob | null {
    if (job.spec.kind === 'gang' && job.placements.size > 0) return null;
    // A job that fails everywhere is tried with one task.
    const one = job.quarantined && job.spec.kind !== 'gang';
    if (one && job.placements.size > 0) return null;
    const tasks = unplacedTasks(job, one ? 1 : job.spec.kind === 'gang' ? job.spec.tasks : 300);
    if (tasks.length === 0) return null;
    // It would keep a place from work that can start now.
    const from = releaseAt ?? this.hooks.blockedUntil(job, now);
    const present = new Map<number, number>();
    for (const h of job.placements.values()) {
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
      deadline: (now + (job.dueWall - this.context.clock.wall())) / 1000,
      ...(from === null ? {} : { earliestStart: from / 1000 }),
      total: job.spec.tasks,
      tasks,
      present,
    };
  }

  plan(now: number, machines: PlanMachine[]): Plan {
    const plan = new Plan(
      now / 1000,
      machines,
      this.context.settings.teams.map((t) => ({ cpus: t.cpusMax, gpus: t.gpusMax })),
    );
    const unseen = this.hooks.unreconciledCapacity();
    if (unseen.cpus > 0 || unseen.gpus > 0)
      plan.reserveUnreconciled(unseen, now / 1000 + this.context.settings.workers.leaseS);
    return plan;
  }

  /** Where the last plan had each task, by job, on machines that are still there. */
  previousPlacements(
    last: { plan: Plan; refs: (Machine | null)[] } | null,
    refs: (Machine | null)[],
  ): Map<number, Map<number, PreviousPlacement>> {
    const places = new Map<number, Map<number, PreviousPlacement>>();
    const index = new Map<Machine, number>();
    refs.forEach((m, i) => {
      if (m) index.set(m, i);
    });
    for (const b of last?.plan.reservations ?? []) {
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
export function reserveAsBefore(
  plan: Plan,
  job: PlanJob,
  kept: ReadonlyMap<number, PreviousPlacement> | undefined,
): boolean {
  const tasks = kept ? plan.keepReservations(job, kept) : job.tasks;
  return tasks.length === 0 || plan.reserve(tasks === job.tasks ? job : { ...job, tasks }) !== null;
}
