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

/** So many tasks of one job are planned at a time. */
const MAX_TASKS_PLANNED = 300;
/** A machine is expected after so many times its type's boot time; one that is late after this share of it from now. */
const BOOT_MARGIN = 1.1;
const LATE_BOOT_SHARE = 0.3;
/** One that has not reported after so many boot times is taken for failed. */
const FAILED_BOOT_FACTOR = 2.5;
/** How long a machine that has not reported to this owner is expected to take for it. */
const RECONCILE_EXPECTED_MS = 1500;
/** Nothing is planned on a machine that has been silent for so many intervals between its heartbeats. */
const MAX_MISSED_HEARTBEATS = 2.5;
/** Nor on one that gave no answer, for so long. */
export const UNREACHABLE_MS = 6000;

/** A plan with the machines that its indices stand for; null for one that is still being rented. */
export interface PlanOnMachines {
  readonly plan: Plan;
  readonly refs: readonly (Machine | null)[];
}

/** The machines of a plan, and at the same indices those of the shard; null for one that is still being rented. */
export interface PlanMachines {
  readonly machines: PlanMachine[];
  readonly refs: readonly (Machine | null)[];
}

/** What `PlanInput` asks of its shard. */
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

  /** The machines in service, and those that are being rented; `now` in steady milliseconds. */
  machines(now: number): PlanMachines {
    const machines: PlanMachine[] = [];
    const refs: (Machine | null)[] = [];
    for (const m of this.registry.machines.values()) {
      const planned = this.planMachine(m, now);
      if (!planned) continue;
      machines.push(planned);
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

  /** A machine as the plan sees it; null when it takes no part in plans. */
  private planMachine(m: Machine, now: number): PlanMachine | null {
    const type = this.context.catalog.get(m.type);
    if (m.decommissioning || m.leaseExpired || !type || this.hooks.isReservedForTransfer(m.id)) return null;
    const { running, anyUnknown } = this.runningReservations(m, now);
    const booting = m.lastHeartbeatAt === null && !m.mayHoldUnreportedTasks;
    const bootMs = type.bootS * 1000;
    const ageMs = now - m.rentedAt;
    let readyAt = now;
    if (booting)
      readyAt =
        ageMs < bootMs * BOOT_MARGIN ? m.rentedAt + bootMs * BOOT_MARGIN : now + bootMs * LATE_BOOT_SHARE;
    else if (!m.reconciled) readyAt = now + RECONCILE_EXPECTED_MS;
    return {
      id: m.id,
      type: m.type,
      zone: m.zone,
      spot: m.spot,
      size: this.context.catalog.size(m.type),
      readyAt: readyAt / 1000,
      until: m.reclaimAt === null ? Number.POSITIVE_INFINITY : m.reclaimAt / 1000,
      quarantined:
        anyUnknown ||
        this.isUnresponsive(m, now) ||
        m.reclaimAt !== null ||
        m.quarantinedUntil > now ||
        (booting && ageMs > bootMs * FAILED_BOOT_FACTOR),
      fetchGbPerS: type.fetchGbPerS,
      images: new Set(m.images.keys()),
      running,
    };
  }

  /** What the tasks on a machine take and until when; `anyUnknown` when nobody remembers what one of them takes. */
  private runningReservations(
    m: Machine,
    now: number,
  ): { running: RunningReservation[]; anyUnknown: boolean } {
    const running: RunningReservation[] = [];
    let anyUnknown = false;
    for (const h of m.attempts.values()) {
      if (h.state === 'exited') continue;
      const use = this.hooks.usageOf(h);
      if (use)
        running.push({ team: use.team, end: this.estimates.expectedEnd(h, now) / 1000, need: use.need });
      else anyUnknown = true;
    }
    return { running, anyUnknown };
  }

  /** Whether a machine has missed heartbeats, or gave no answer not long ago. */
  private isUnresponsive(m: Machine, now: number): boolean {
    const maxSilenceMs = this.context.settings.workers.reportS * 1000 * MAX_MISSED_HEARTBEATS;
    if (m.lastHeartbeatAt !== null && now - m.lastHeartbeatAt > maxSilenceMs) return true;
    return m.unreachableAt !== null && now - m.unreachableAt < UNREACHABLE_MS;
  }

  /** A machine that could be rented or is being rented; `readyAt` in seconds. */
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
    const onlyOne = job.quarantined && job.spec.kind !== 'gang';
    if (onlyOne && job.placements.size > 0) return null;
    const tasks = unplacedTasks(
      job,
      onlyOne ? 1 : job.spec.kind === 'gang' ? job.spec.tasks : MAX_TASKS_PLANNED,
    );
    if (tasks.length === 0) return null;
    // Planned from now on it would keep a place from tasks that can start now.
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

  /** An empty plan on these machines, with the limits of the teams. */
  plan(now: number, machines: PlanMachine[]): Plan {
    const plan = new Plan(
      now / 1000,
      machines,
      this.context.settings.teams.map((t) => ({ cpus: t.cpusMax, gpus: t.gpusMax })),
    );
    const unreconciled = this.hooks.unreconciledCapacity();
    if (unreconciled.cpus > 0 || unreconciled.gpus > 0)
      plan.reserveUnreconciled(unreconciled, now / 1000 + this.context.settings.workers.leaseS);
    return plan;
  }

  /** Where the last plan had each task, by job, on machines that are still there. */
  previousPlacements(
    last: PlanOnMachines | null,
    refs: readonly (Machine | null)[],
  ): Map<number, Map<number, PreviousPlacement>> {
    const placements = new Map<number, Map<number, PreviousPlacement>>();
    const index = new Map<Machine, number>();
    refs.forEach((m, i) => {
      if (m) index.set(m, i);
    });
    for (const r of last?.plan.reservations ?? []) {
      const m = last!.refs[r.machine];
      const machine = m ? index.get(m) : undefined;
      if (machine === undefined) continue;
      let tasks = placements.get(r.job.id);
      if (!tasks) {
        tasks = new Map();
        placements.set(r.job.id, tasks);
      }
      tasks.set(r.task, { machine, start: r.start });
    }
    return placements;
  }
}

/** Reserves a job where it was, as far as it still fits there, and the rest of it anew. False when it finds no place. */
export function reserveAsBefore(
  plan: Plan,
  job: PlanJob,
  kept: ReadonlyMap<number, PreviousPlacement> | undefined,
): boolean {
  const tasks = kept ? plan.keepReservations(job, kept) : job.tasks;
  return tasks.length === 0 || plan.reserve(tasks === job.tasks ? job : { ...job, tasks }) !== null;
}
