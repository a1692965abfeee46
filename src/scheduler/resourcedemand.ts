import type { Autoscaler } from '../autoscaler/autoscaler.js';
import { machineKindName, type ResourceDemand } from '../autoscaler/shardstatus.js';
import type { ControllerContext } from '../context/context.js';
import { type Job, kindAllowed, remainingTasksPriority, unplacedCount, zoneCapacity } from '../jobs/job.js';
import { type Amounts, fitCount } from '../plan/capacityprofile.js';
import type { Reservation } from '../plan/model.js';
import type { Plan } from '../plan/plan.js';
import type { Shortage } from '../plan/rentalchoice.js';
import type { RuntimeEstimates } from './runtimeestimates.js';

/** A task whose planned start is later than this counts as waiting, in seconds. */
const MIN_WAIT_S = 0.5;
/** Reported waiting time of a task without a placement, in seconds. */
const UNPLACED_WAIT_S = 600;
/** Renting a machine takes this multiple of its type's boot time, plus this delay in seconds. */
const BOOT_MARGIN = 1.1;
const RENT_DELAY_S = 2;
/** Maximum number of demands that are reported to the leader. */
const MAX_REPORTED_DEMANDS = 20;
/** Number of tasks that no set of machines can hold. */
const UNLIMITED_TASKS = 100_000;
/** Stands for an unlimited amount of a resource. */
const UNLIMITED = 1e12;
/**
 * Delay before renting for a shortage: it is reported to the leader first, and renting begins when no shard
 * had a spare machine.
 */
const RENT_AFTER_MS = 900;

/** Callbacks into the shard that `ResourceDemandTracker` needs. */
export interface ResourceDemandHooks {
  /** Returns the resources in use by each team, by team index. */
  teamUsage(): Map<number, Amounts>;
  /** Returns whether tasks of a job without a known placement are certain to run on no machine. */
  isConfirmedNotRunning(job: Job): boolean;
  /** Returns whether a job is within its team's guarantee. */
  isGuaranteed(job: Job): boolean;
}

/** Components that `ResourceDemandTracker` depends on. */
export interface ResourceDemandParts {
  readonly context: ControllerContext;
  readonly jobs: ReadonlyMap<string, Job>;
  readonly estimates: RuntimeEstimates;
  readonly autoscaler: Autoscaler;
  readonly hooks: ResourceDemandHooks;
}

/** Tasks of a job that the plan leaves waiting. */
interface WaitingTasks {
  /** Number of waiting tasks. */
  count: number;
  /** Number of waiting tasks that wait longer than renting a machine would take. */
  late: number;
  /** Reservations of the late tasks. */
  readonly lateReservations: Reservation[];
  /** Longest waiting time of these tasks, in seconds. */
  waitS: number;
  /** Shortest boot time among the machine types that may run the job, in seconds. */
  readonly bootS: number;
}

/**
 * Tracks the resources that a shard lacks: reports them to the leader, and rents machines when no other shard
 * has them.
 */
export class ResourceDemandTracker {
  /** Time since when each job has had waiting tasks, by job id; milliseconds on the monotonic clock. */
  private readonly waitingSince = new Map<string, number>();
  private unmetDemands: ResourceDemand[] = [];

  constructor(private readonly parts: ResourceDemandParts) {}

  /**
   * Demands that the last plan left unmet, the most urgent first, up to the number reported to the leader.
   */
  get demands(): ResourceDemand[] {
    return this.unmetDemands.slice(0, MAX_REPORTED_DEMANDS);
  }

  /** Drops a job that has ended and so no longer lacks anything. */
  forget(job: string): void {
    this.waitingSince.delete(job);
  }

  /**
   * Evaluates the tasks that a plan leaves waiting: updates the demands reported to the leader, and rents
   * machines for tasks that would wait longer than a boot. `unplaced` holds the jobs without a placement for
   * all their tasks, `jobsByPlanId` all jobs of the plan; `now` in milliseconds on the monotonic clock.
   */
  assess(plan: Plan, unplaced: ReadonlySet<Job>, jobsByPlanId: ReadonlyMap<number, Job>, now: number): void {
    const waiting = this.waitingTasks(plan, unplaced, jobsByPlanId, now / 1000);
    if (this.parts.autoscaler.mayRent(now)) excludeTasksStartableInTime(plan, waiting, now / 1000);
    for (const id of [...this.waitingSince.keys()]) {
      const job = this.parts.jobs.get(id);
      if (!job || !waiting.has(job)) this.waitingSince.delete(id);
    }
    for (const job of waiting.keys()) if (job.quarantined) waiting.delete(job);
    this.parts.autoscaler.rentFor(this.updateDemands(waiting, now), now);
  }

  private waitingTasks(
    plan: Plan,
    unplaced: ReadonlySet<Job>,
    jobsByPlanId: ReadonlyMap<number, Job>,
    nowS: number,
  ): Map<Job, WaitingTasks> {
    const waiting = new Map<Job, WaitingTasks>();
    const tasksOf = (job: Job): WaitingTasks => {
      let tasks = waiting.get(job);
      if (!tasks) {
        tasks = { count: 0, late: 0, lateReservations: [], waitS: 0, bootS: this.shortestBoot(job) };
        waiting.set(job, tasks);
      }
      return tasks;
    };
    const reservations = new Map<number, number>();
    for (const reservation of plan.reservations) {
      reservations.set(reservation.job.id, (reservations.get(reservation.job.id) ?? 0) + 1);
      const job = jobsByPlanId.get(reservation.job.id);
      if (!job || reservation.start <= nowS + MIN_WAIT_S) continue;
      const tasks = tasksOf(job);
      tasks.count++;
      tasks.waitS = Math.max(tasks.waitS, reservation.start - nowS);
      if (reservation.start <= rentalReadyAtS(tasks, nowS)) continue;
      tasks.late++;
      tasks.lateReservations.push(reservation);
    }
    for (const job of unplaced) {
      const unreserved = Math.max(1, unplacedCount(job) - (reservations.get(job.order) ?? 0));
      const tasks = tasksOf(job);
      tasks.count += unreserved;
      tasks.late += unreserved;
      tasks.waitS = UNPLACED_WAIT_S;
    }
    return waiting;
  }

  /**
   * Recomputes the demands for the leader; returns the shortages that have lasted long enough to rent
   * machines for.
   */
  private updateDemands(waiting: ReadonlyMap<Job, WaitingTasks>, now: number): Shortage[] {
    const usage = this.parts.hooks.teamUsage();
    const demands: ResourceDemand[] = [];
    const shortages: Shortage[] = [];
    const inOrder = [...waiting].sort(
      (a, b) => remainingTasksPriority(b[0]) - remainingTasksPriority(a[0]) || a[0].order - b[0].order,
    );
    for (const [job, tasks] of inOrder) {
      const teamAllowance = this.tasksWithinTeamLimit(job, usage);
      const count = Math.min(tasks.count, teamAllowance);
      if (count <= 0) continue;
      for (const { zone, count: n } of this.splitByZone(job, count))
        demands.push(this.demandOf(job, n, tasks.waitS, zone));
      // The part of the team's limit that this job may use is no longer available to the team's other jobs.
      const use = usage.get(job.team);
      if (use) addMultiple(use, job.need, count);
      const since = this.waitingSince.get(job.spec.id) ?? now;
      this.waitingSince.set(job.spec.id, since);
      // More machines do not help tasks that wait for their team's limit. Tasks that start in time use the
      // limit first, so only the rest of the allowance counts as late.
      const late = Math.min(tasks.late, teamAllowance - (tasks.count - tasks.late));
      // Tasks that an earlier owner may have started, and that may still run, need no machine until that is
      // known.
      if (!this.parts.hooks.isConfirmedNotRunning(job)) continue;
      if (late <= 0 || now - since < RENT_AFTER_MS) continue;
      const { types, match, need } = job;
      for (const { zone, count: n } of this.splitByZone(job, late))
        shortages.push({ types, zone, spot: job.spec.spot, match, need, count: n });
    }
    this.unmetDemands = demands;
    return shortages;
  }

  /**
   * Splits a number of tasks of a job by the zones in which they need machines; a null zone stands for any. A
   * job that its other tasks restrict to a zone, or exclude from one, would otherwise be given ever more
   * machines in a zone where it cannot start.
   */
  private splitByZone(job: Job, count: number): { zone: number | null; count: number }[] {
    const capacities = zoneCapacity(job, this.zonesOf(job));
    if (!capacities) return [{ zone: job.zone, count }];
    let remaining = count;
    return capacities
      .map(({ zone, tasks }) => {
        const n = Math.min(remaining, tasks);
        remaining -= n;
        return { zone, count: n };
      })
      .filter(({ count: n }) => n > 0);
  }

  /** Returns the zones that offer machines for a job, the shard's own zone first. */
  private zonesOf(job: Job): number[] {
    const { names, settings, catalog } = this.parts.context;
    const zones = new Set<string>();
    for (const [type, t] of catalog.offeredTypes())
      if ((!job.types || job.types.has(type)) && fitCount(t, job.need, 1) > 0)
        for (const z of t.zones) zones.add(z);
    return [...zones]
      .sort((a, b) => Number(b === settings.zone) - Number(a === settings.zone))
      .map((z) => names.zones.index(z))
      .filter((z) => job.zone === null || z === job.zone);
  }

  private demandOf(job: Job, count: number, waitS: number, zone: number | null): ResourceDemand {
    return {
      types: job.spec.types,
      zone: zone === null ? null : this.parts.context.names.zones.name(zone),
      spot: job.spec.spot,
      cpus: job.need.cpus,
      gpus: job.need.gpus,
      memoryGb: job.need.memoryGb,
      count,
      priority: remainingTasksPriority(job),
      guaranteed: this.parts.hooks.isGuaranteed(job),
      deadline: job.dueWall,
      waitS,
      ...(job.match && { kinds: this.kindsOf(job) }),
    };
  }

  /** Returns the kinds of machine that may run a job with requirements beyond type and zone. */
  private kindsOf(job: Job): string[] {
    const { zones } = this.parts.context.names;
    const kinds: string[] = [];
    for (const { type, machineType, zone, spot } of this.parts.context.catalog.kinds())
      if (kindAllowed(job, type, zones.index(zone), spot))
        kinds.push(machineKindName(machineType.name, zone, spot));
    return kinds;
  }

  /** Returns the shortest boot time among the machine types that may run a job, in seconds. */
  private shortestBoot(job: Job): number {
    let best = 1e9;
    for (const [type, t] of this.parts.context.catalog.offeredTypes()) {
      if (job.types && !job.types.has(type)) continue;
      if (fitCount(this.parts.context.catalog.size(type), job.need, 1) > 0) best = Math.min(best, t.bootS);
    }
    return best;
  }

  /** Returns how many more tasks of a job its team may run at once. */
  private tasksWithinTeamLimit(job: Job, usage: Map<number, Amounts>): number {
    const team = this.parts.context.settings.teams[job.team];
    const use = usage.get(job.team);
    if (!team || !use) return UNLIMITED_TASKS;
    return fitCount(
      {
        cpus: team.cpusMax > 0 ? team.cpusMax - use.cpus : UNLIMITED,
        gpus: team.gpusMax > 0 ? team.gpusMax - use.gpus : UNLIMITED,
        memoryGb: UNLIMITED,
      },
      { ...job.need, memoryGb: 0 },
      UNLIMITED_TASKS,
    );
  }
}

/** Returns when tasks could start on a machine that is rented now, in seconds. */
function rentalReadyAtS({ bootS }: WaitingTasks, nowS: number): number {
  return nowS + bootS * BOOT_MARGIN + RENT_DELAY_S;
}

/**
 * Stops counting tasks as late that are planned to start late but could start in time on some existing
 * machine.
 */
function excludeTasksStartableInTime(
  plan: Plan,
  waiting: ReadonlyMap<Job, WaitingTasks>,
  nowS: number,
): void {
  const late = [...waiting.values()].filter((tasks) => tasks.lateReservations.length > 0);
  const counts = plan.countUnavoidablyLateTasks(
    late.map((tasks) => ({
      job: tasks.lateReservations[0]!.job,
      reservations: tasks.lateReservations,
      by: rentalReadyAtS(tasks, nowS),
    })),
  );
  late.forEach((tasks, i) => {
    tasks.late -= tasks.lateReservations.length - counts[i]!;
  });
}

function addMultiple(to: Amounts, need: Amounts, times: number): void {
  to.cpus += need.cpus * times;
  to.gpus += need.gpus * times;
  to.memoryGb += need.memoryGb * times;
}
