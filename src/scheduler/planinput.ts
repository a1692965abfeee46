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

/** Maximum number of tasks of one job that are planned at a time. */
const MAX_TASKS_PLANNED = 300;
/**
 * A machine is expected after this multiple of its type's boot time; a late one after this share of the boot
 * time from now.
 */
const BOOT_MARGIN = 1.1;
const LATE_BOOT_SHARE = 0.3;
/** A machine that has not sent a heartbeat after this multiple of its boot time is considered failed. */
const FAILED_BOOT_FACTOR = 2.5;
/** Expected time until a machine that has not sent a heartbeat to this owner does so. */
const RECONCILE_EXPECTED_MS = 1500;
/** A machine that has sent no heartbeat for more than this number of heartbeat intervals gets no new tasks. */
const MAX_MISSED_HEARTBEATS = 2.5;
/** Time for which a machine gets no new tasks after it left a request unanswered. */
export const UNREACHABLE_MS = 6000;

/**
 * Plan with the machines behind its machine indices; null stands for a machine that is still being rented.
 */
export interface PlanOnMachines {
  readonly plan: Plan;
  readonly shardMachines: readonly (Machine | null)[];
}

/**
 * Machines of a plan, and the shard's machines at the same indices; null stands for one that is still being
 * rented.
 */
export interface PlanMachines {
  readonly machines: PlanMachine[];
  readonly shardMachines: readonly (Machine | null)[];
}

/** Callbacks into the shard that `PlanInput` needs. */
export interface PlanInputHooks {
  /** Returns the team of a task and its resources; null when its job is unknown. */
  usageOf(attempt: TaskAttempt): { team: number; need: Amounts } | null;
  /** Returns whether a machine is being transferred to another shard or returned to the cloud. */
  isReservedForTransfer(id: string): boolean;
  rentals(): Iterable<PendingRental>;
  /** Returns the resources that machines which have not sent a heartbeat to this owner may hold. */
  unreconciledCapacity(): Amounts;
  /**
   * Returns until when a job cannot start because an unresponsive machine may run tasks of it; null when it
   * can start.
   */
  blockedUntil(job: Job, now: number): number | null;
}

/** Converts a shard's machines and jobs into the form that the plan uses. */
export class PlanInput {
  constructor(
    private readonly context: ControllerContext,
    private readonly registry: MachineRegistry,
    private readonly estimates: RuntimeEstimates,
    private readonly hooks: PlanInputHooks,
  ) {}

  /** Returns the machines in service and those being rented; `now` in milliseconds on the monotonic clock. */
  machines(now: number): PlanMachines {
    const machines: PlanMachine[] = [];
    const refs: (Machine | null)[] = [];
    for (const m of this.registry.machines.values()) {
      const planned = this.planMachine(m, now);
      if (!planned) continue;
      machines.push(planned);
      refs.push(m);
    }
    for (const rental of this.hooks.rentals()) {
      for (let i = 0; i < rental.count; i++) {
        machines.push(this.virtualMachine(rental.option, (rental.at + rental.option.bootS * 1100) / 1000));
        refs.push(null);
      }
    }
    return { machines, shardMachines: refs };
  }

  /** Converts a machine for the plan; returns null when the machine is not to be planned on. */
  private planMachine(machine: Machine, now: number): PlanMachine | null {
    const type = this.context.catalog.get(machine.type);
    if (
      machine.decommissioning ||
      machine.leaseExpired ||
      !type ||
      this.hooks.isReservedForTransfer(machine.id)
    )
      return null;
    const { running, anyUnknown } = this.runningReservations(machine, now);
    const booting = machine.lastHeartbeatAt === null && !machine.mayHoldUnreportedTasks;
    const bootMs = type.bootS * 1000;
    const ageMs = now - machine.rentedAt;
    let readyAt = now;
    if (booting)
      readyAt =
        ageMs < bootMs * BOOT_MARGIN
          ? machine.rentedAt + bootMs * BOOT_MARGIN
          : now + bootMs * LATE_BOOT_SHARE;
    else if (!machine.reconciled) readyAt = now + RECONCILE_EXPECTED_MS;
    return {
      id: machine.id,
      type: machine.type,
      zone: machine.zone,
      spot: machine.spot,
      size: this.context.catalog.size(machine.type),
      readyAt: readyAt / 1000,
      until: machine.reclaimAt === null ? Number.POSITIVE_INFINITY : machine.reclaimAt / 1000,
      quarantined:
        anyUnknown ||
        this.isUnresponsive(machine, now) ||
        machine.reclaimAt !== null ||
        machine.quarantinedUntil > now ||
        (booting && ageMs > bootMs * FAILED_BOOT_FACTOR),
      fetchGbPerS: type.fetchGbPerS,
      images: new Set(machine.images.keys()),
      running,
    };
  }

  /**
   * Returns the resources and expected ends of the tasks on a machine; `anyUnknown` when the resources of one
   * are unknown.
   */
  private runningReservations(
    machine: Machine,
    now: number,
  ): { running: RunningReservation[]; anyUnknown: boolean } {
    const running: RunningReservation[] = [];
    let anyUnknown = false;
    for (const attempt of machine.attempts.values()) {
      if (attempt.state === 'exited') continue;
      const use = this.hooks.usageOf(attempt);
      if (use)
        running.push({
          team: use.team,
          end: this.estimates.expectedEnd(attempt, now) / 1000,
          need: use.need,
        });
      else anyUnknown = true;
    }
    return { running, anyUnknown };
  }

  /** Returns whether a machine has missed heartbeats or recently left a request unanswered. */
  private isUnresponsive(machine: Machine, now: number): boolean {
    const maxSilenceMs = this.context.settings.workers.reportS * 1000 * MAX_MISSED_HEARTBEATS;
    if (machine.lastHeartbeatAt !== null && now - machine.lastHeartbeatAt > maxSilenceMs) return true;
    return machine.unreachableAt !== null && now - machine.unreachableAt < UNREACHABLE_MS;
  }

  /** Describes a machine that could be rented or is being rented; `readyAt` in seconds. */
  virtualMachine(option: RentOption, readyAt: number): PlanMachine {
    return {
      id: null,
      type: option.type,
      zone: option.zone,
      spot: option.spot,
      size: option.size,
      readyAt,
      until: Number.POSITIVE_INFINITY,
      quarantined: false,
      fetchGbPerS: this.context.catalog.get(option.type)?.fetchGbPerS ?? 1,
      images: new Set(),
      running: [],
    };
  }

  /**
   * Converts the unstarted tasks of a job for the plan; returns null when there are none to plan. `releaseAt`
   * is the time at which a job with pending dependencies is expected to be able to start.
   */
  planJob(job: Job, now: number, releaseAt: number | null = null): PlanJob | null {
    if (job.spec.kind === 'gang' && job.placements.size > 0) return null;
    // A job that is quarantined because it fails everywhere is retried with a single task.
    const singleTrial = job.quarantined && job.spec.kind !== 'gang';
    if (singleTrial && job.placements.size > 0) return null;
    const tasks = unplacedTasks(
      job,
      singleTrial ? 1 : job.spec.kind === 'gang' ? job.spec.tasks : MAX_TASKS_PLANNED,
    );
    if (tasks.length === 0) return null;
    // A job that cannot start yet must not be planned from now on, where it would hold capacity that other
    // tasks could use now.
    const earliestStartMs = releaseAt ?? this.hooks.blockedUntil(job, now);
    const present = new Map<number, number>();
    for (const attempt of job.placements.values()) {
      present.set(attempt.machine.zone, (present.get(attempt.machine.zone) ?? 0) + 1);
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
      ...(earliestStartMs === null ? {} : { earliestStart: earliestStartMs / 1000 }),
      total: job.spec.tasks,
      tasks,
      placedByZone: present,
    };
  }

  /** Returns an empty plan on these machines, with the limits of the teams. */
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

  /** Returns the placements of the last plan by job and task, on machines that still exist. */
  previousPlacements(
    last: PlanOnMachines | null,
    refs: readonly (Machine | null)[],
  ): Map<number, Map<number, PreviousPlacement>> {
    const placements = new Map<number, Map<number, PreviousPlacement>>();
    const indexByMachine = new Map<Machine, number>();
    refs.forEach((machine, i) => {
      if (machine) indexByMachine.set(machine, i);
    });
    for (const reservation of last?.plan.reservations ?? []) {
      const previousMachine = last!.shardMachines[reservation.machine];
      const machine = previousMachine ? indexByMachine.get(previousMachine) : undefined;
      if (machine === undefined) continue;
      let tasks = placements.get(reservation.job.id);
      if (!tasks) {
        tasks = new Map();
        placements.set(reservation.job.id, tasks);
      }
      tasks.set(reservation.task, { machine, start: reservation.start });
    }
    return placements;
  }
}

/**
 * Reserves capacity for a job where the last plan had it, as far as it still fits there, and elsewhere for
 * the remaining tasks. Returns false when a task cannot be placed.
 */
export function reserveAtPreviousPlacement(
  plan: Plan,
  job: PlanJob,
  previous: ReadonlyMap<number, PreviousPlacement> | undefined,
): boolean {
  const tasks = previous ? plan.keepReservations(job, previous) : job.tasks;
  return tasks.length === 0 || plan.reserve(tasks === job.tasks ? job : { ...job, tasks }) !== null;
}
