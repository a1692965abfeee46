import type { Autoscaler } from '../autoscaler/autoscaler.js';
import { machineKindName, type ResourceDemand } from '../autoscaler/shardstatus.js';
import type { ControllerContext } from '../context/context.js';
import { type Job, kindAllowed, remainingTasksPriority, unplacedCount, zoneCapacity } from '../jobs/job.js';
import { type Amounts, fitCount } from '../plan/capacityprofile.js';
import type { Reservation } from '../plan/model.js';
import type { Plan } from '../plan/plan.js';
import type { Shortage } from '../plan/rentalchoice.js';
import type { RuntimeEstimates } from './runtimeestimates.js';

/** A task that is planned to start later than this waits, in seconds. */
const WAITS_AFTER_S = 0.5;
/** How long a task that found no place is said to wait, in seconds. */
const UNPLACED_WAIT_S = 600;
/** Renting a machine takes so many times the boot time of its type, and so many seconds. */
const BOOT_MARGIN = 1.1;
const RENT_DELAY_S = 2;
/** So many needs are reported to the leader. */
const MAX_NEEDS = 20;
/** More tasks than any machines hold. */
const UNLIMITED_TASKS = 100_000;
/** No limit, as an amount of anything. */
const UNLIMITED = 1e12;
/** A shortage goes to the leader first; renting begins when nobody had a machine to give. */
const RENT_AFTER_MS = 900;

/** What the tracker of demand asks of its shard. */
export interface ResourceDemandHooks {
  /** What the tasks of each team take now, by the index of the team. */
  teamUsage(): Map<number, Amounts>;
  /** Whether a task of a job that is not known to be anywhere is surely nowhere. */
  surelyNotRunning(job: Job): boolean;
  /** Whether a job is within what its team is guaranteed. */
  isGuaranteed(job: Job): boolean;
}

/** What `ResourceDemandTracker` is made of. */
export interface ResourceDemandParts {
  readonly context: ControllerContext;
  readonly jobs: ReadonlyMap<string, Job>;
  readonly estimates: RuntimeEstimates;
  readonly autoscaler: Autoscaler;
  readonly hooks: ResourceDemandHooks;
}

/** Tasks of a job that the plan leaves waiting. */
interface WaitingTasks {
  /** How many wait at all. */
  count: number;
  /** How many of them wait longer than renting a machine would take. */
  late: number;
  /** The reservations among those. */
  readonly lateReservations: Reservation[];
  /** How long the last of them waits, in seconds. */
  waitS: number;
  /** The shortest boot time among the types of machine that may take the job, in seconds. */
  readonly bootS: number;
}

/** What a shard lacks: reported to the leader, and rented when no other shard has it. */
export class ResourceDemandTracker {
  /** Since when a job has had tasks waiting, by its id, in steady milliseconds. */
  private readonly shortSince = new Map<string, number>();
  private unmetNeeds: ResourceDemand[] = [];

  constructor(private readonly parts: ResourceDemandParts) {}

  /** What the last plan has left waiting, the most urgent first, as far as it is reported to the leader. */
  get needs(): ResourceDemand[] {
    return this.unmetNeeds.slice(0, MAX_NEEDS);
  }

  /** A job is over: it lacks nothing any more. */
  forget(job: string): void {
    this.shortSince.delete(job);
  }

  /**
   * Takes up what a plan leaves waiting: for the leader, and to rent for what would wait longer than a boot. `unplaced` are the
   * jobs that found no place, `jobsByPlanId` all jobs in the plan; `now` in steady milliseconds.
   */
  assess(plan: Plan, unplaced: ReadonlySet<Job>, jobsByPlanId: ReadonlyMap<number, Job>, now: number): void {
    const waiting = this.waitingTasks(plan, unplaced, jobsByPlanId, now / 1000);
    if (this.parts.autoscaler.mayRent(now)) discountBookedLate(plan, waiting, now / 1000);
    for (const id of [...this.shortSince.keys()]) {
      const job = this.parts.jobs.get(id);
      if (!job || !waiting.has(job)) this.shortSince.delete(id);
    }
    for (const job of waiting.keys()) if (job.quarantined) waiting.delete(job);
    this.parts.autoscaler.rentFor(this.updateNeeds(waiting, now), now);
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
    for (const r of plan.reservations) {
      reservations.set(r.job.id, (reservations.get(r.job.id) ?? 0) + 1);
      const job = jobsByPlanId.get(r.job.id);
      if (!job || r.start <= nowS + WAITS_AFTER_S) continue;
      const tasks = tasksOf(job);
      tasks.count++;
      tasks.waitS = Math.max(tasks.waitS, r.start - nowS);
      if (r.start <= rentedBy(tasks, nowS)) continue;
      tasks.late++;
      tasks.lateReservations.push(r);
    }
    for (const job of unplaced) {
      const n = Math.max(1, unplacedCount(job) - (reservations.get(job.order) ?? 0));
      const tasks = tasksOf(job);
      tasks.count += n;
      tasks.late += n;
      tasks.waitS = UNPLACED_WAIT_S;
    }
    return waiting;
  }

  /** Works out the needs for the leader anew; returns what is short for so long that machines are to be rented for it. */
  private updateNeeds(waiting: ReadonlyMap<Job, WaitingTasks>, now: number): Shortage[] {
    const usage = this.parts.hooks.teamUsage();
    const needs: ResourceDemand[] = [];
    const shortages: Shortage[] = [];
    const inOrder = [...waiting].sort(
      (a, b) => remainingTasksPriority(b[0]) - remainingTasksPriority(a[0]) || a[0].order - b[0].order,
    );
    for (const [job, tasks] of inOrder) {
      const cap = this.underCap(job, usage);
      const count = Math.min(tasks.count, cap);
      if (count <= 0) continue;
      for (const { zone, count: n } of this.byZone(job, count))
        needs.push(this.need(job, n, tasks.waitS, zone));
      // What this job may take of its team's limit is no longer there for the team's other jobs.
      const use = usage.get(job.team);
      if (use) addTimes(use, job.need, count);
      const since = this.shortSince.get(job.spec.id) ?? now;
      this.shortSince.set(job.spec.id, since);
      // Tasks that wait for their team's limit start no sooner on more machines: what starts in time takes of it first.
      const late = Math.min(tasks.late, cap - (tasks.count - tasks.late));
      // What an earlier owner may have started, and may well still run, needs no machine before that is known.
      if (!this.parts.hooks.surelyNotRunning(job)) continue;
      if (late <= 0 || now - since < RENT_AFTER_MS) continue;
      const { types, match, need } = job;
      for (const { zone, count: n } of this.byZone(job, late))
        shortages.push({ types, zone, spot: job.spec.spot, match, need, count: n });
    }
    this.unmetNeeds = needs;
    return shortages;
  }

  /**
   * In which zones so many tasks of a job need machines; null: in any. One that is held to a zone by its other tasks, or kept from
   * it by them, would otherwise be given machines without end where it starts on none of them.
   */
  private byZone(job: Job, count: number): { zone: number | null; count: number }[] {
    const capacities = zoneCapacity(job, this.zonesOf(job));
    if (!capacities) return [{ zone: job.zone, count }];
    let left = count;
    return capacities
      .map(({ zone, tasks }) => {
        const n = Math.min(left, tasks);
        left -= n;
        return { zone, count: n };
      })
      .filter(({ count: n }) => n > 0);
  }

  /** The zones in which there are machines for a job, the shard's own first. */
  private zonesOf(job: Job): number[] {
    const { names, settings, catalog } = this.parts.context;
    const zones = new Set<string>();
    for (const [type, t] of catalog.all())
      if ((!job.types || job.types.has(type)) && fitCount(t, job.need, 1) > 0)
        for (const z of t.zones) zones.add(z);
    return [...zones]
      .sort((a, b) => Number(b === settings.zone) - Number(a === settings.zone))
      .map((z) => names.zones.index(z))
      .filter((z) => job.zone === null || z === job.zone);
  }

  private need(job: Job, count: number, waitS: number, zone: number | null): ResourceDemand {
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

  /** The kinds of machine that may take a job which asks more than its type and zone. */
  private kindsOf(job: Job): string[] {
    const { zones } = this.parts.context.names;
    const kinds: string[] = [];
    for (const { type, of, zone, spot } of this.parts.context.catalog.kinds())
      if (kindAllowed(job, type, zones.index(zone), spot)) kinds.push(machineKindName(of.name, zone, spot));
    return kinds;
  }

  /** The shortest boot time among the types of machine that may take a job, in seconds. */
  private shortestBoot(job: Job): number {
    let best = 1e9;
    for (const [type, t] of this.parts.context.catalog.all()) {
      if (job.types && !job.types.has(type)) continue;
      if (fitCount(this.parts.context.catalog.size(type), job.need, 1) > 0) best = Math.min(best, t.bootS);
    }
    return best;
  }

  /** How many more tasks of a job its team may run at once. */
  private underCap(job: Job, usage: Map<number, Amounts>): number {
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

/** When tasks could start on a machine that is rented now, in seconds. */
function rentedBy({ bootS }: WaitingTasks, nowS: number): number {
  return nowS + bootS * BOOT_MARGIN + RENT_DELAY_S;
}

/** A task that is planned to start late is not late when it could start in time on some machine there is. */
function discountBookedLate(plan: Plan, waiting: ReadonlyMap<Job, WaitingTasks>, nowS: number): void {
  const late = [...waiting.values()].filter((tasks) => tasks.lateReservations.length > 0);
  const counts = plan.countLateTasks(
    late.map((tasks) => ({
      job: tasks.lateReservations[0]!.job,
      reservations: tasks.lateReservations,
      by: rentedBy(tasks, nowS),
    })),
  );
  late.forEach((tasks, i) => {
    tasks.late -= tasks.lateReservations.length - counts[i]!;
  });
}

function addTimes(to: Amounts, need: Amounts, times: number): void {
  to.cpus += need.cpus * times;
  to.gpus += need.gpus * times;
  to.memoryGb += need.memoryGb * times;
}
