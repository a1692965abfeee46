import type { Autoscaler } from '../autoscaler/autoscaler.js';
import type { ControllerContext } from '../context/context.js';
import { type Job, kindAllowed, remainingTasksPriority, withinGuarantee } from '../jobs/job.js';
import { type Amounts, fitCount } from '../plan/capacityprofile.js';
import type { PlanJob } from '../plan/model.js';
import type { Plan } from '../plan/plan.js';
import { PRIORITY } from '../wire/users.js';
import type { Machine } from '../workers/machine.js';
import type { MachineRegistry } from '../workers/machineregistry.js';
import type { DependencyTracker } from './dependencytracker.js';
import type { JobTable } from './jobtable.js';
import { type PlanInput, reserveAsBefore } from './planinput.js';
import type { Preemption } from './preemption.js';
import { PriorityAging } from './priorityaging.js';
import type { ResourceDemandTracker } from './resourcedemand.js';
import type { RuntimeEstimates } from './runtimeestimates.js';
import { ServiceLevelObjectives } from './servicelevelobjectives.js';
import type { TaskDispatcher } from './taskdispatcher.js';

/** A job without a deadline gets one at so many times the finish that the plans allow. */
const DEFAULT_SLACK = 1.5;
/** Planning takes no more than this of the processor that a controller has, however much there is to plan. */
const MAX_PLANNING_CPU_SHARE = 0.15;
const MAX_PLAN_PAUSE_MS = 2000;
/** So many jobs are booked anew in every plan, all of them at these intervals, or longer when that takes long. */
const MAX_JOBS_REPLANNED = 4;
const REPLAN_ALL_INTERVAL_MS = 1500;
const REPLAN_ALL_COST_FACTOR = 20;
/** What a plan may cost in looks at machines; what comes after in order is only started where there is room now. */
const MAX_PLAN_PROBES = 150_000;
/** So many times as long as its work would take, the least urgent work stands back behind what is accepted later. */
const LOW_PRIORITY_DEFERRAL_FACTOR = 20;
/** Other work stands back so many times as long as the shard would take for it, up to so many seconds. */
const DEFERRAL_FACTOR = 4;
const MAX_DEFERRAL_S = 60;
const MAX_TASKS_PER_MACHINE = 1000;
/** New jobs are weighed against the same plan for so long, each booked on top of those before it. */
const ADMISSION_PLAN_VALID_MS = 1000;
/** Work of high priority that would wait longer than this stops lesser work, but not twice within the pause. */
const PREEMPT_WAIT_S = 2;

/** A job's turn in the order of waiting work: all of it, or only its first task, or only the others. */
interface QueueEntry {
  job: Job;
  part: 'all' | 'first' | 'rest';
  priority: number;
}

/** What `Planner` is made of. */
export interface PlannerParts {
  readonly context: ControllerContext;
  readonly jobTable: JobTable;
  readonly registry: MachineRegistry;
  readonly estimates: RuntimeEstimates;
  readonly planInput: PlanInput;
  readonly dependencies: DependencyTracker;
  readonly autoscaler: Autoscaler;
  readonly dispatcher: TaskDispatcher;
  readonly preemption: Preemption;
  readonly resourceDemand: ResourceDemandTracker;
}

/** The plan of one shard: what is weighed against it, booked in it and started by it. */
export class Planner {
  private readonly slos: ServiceLevelObjectives;
  private readonly priorityAging: PriorityAging;
  private replanAllAt = 0;
  /** Jobs that fit into their team's guarantee together with the team's earlier ones. */
  private guaranteed: ReadonlySet<Job> = new Set();
  private lastPlan: { plan: Plan; refs: (Machine | null)[] } | null = null;
  private readonly admissions = new Map<number, { plan: Plan; at: number }>();
  private reservedMachines = new Set<string>();
  /** Whether any kind of machine may take a job, as of a version of the catalog. */
  private readonly placeableCache = new WeakMap<Job, { version: number; isPlaceable: boolean }>();
  /** When the last plan has each job end. */
  private readonly expectedEnds = new Map<number, number>();
  private expectedEndsPlan: Planner['lastPlan'] = null;

  constructor(private readonly parts: PlannerParts) {
    const { context, jobTable, estimates } = parts;
    this.slos = new ServiceLevelObjectives(context.settings.objectives);
    this.priorityAging = new PriorityAging(context, jobTable.jobs, this.slos, estimates);
  }

  /** Looks at what has aged; before priorities are passed on to what is needed. */
  age(): void {
    this.priorityAging.tick(this.cpus(this.machinesInUse()));
  }

  /** Whether something is booked on a machine. */
  hasReservation(machine: string): boolean {
    return this.reservedMachines.has(machine);
  }

  /** Whether a job fits into its team's guarantee together with the team's earlier ones. */
  isGuaranteed(job: Job): boolean {
    return this.guaranteed.has(job);
  }

  /** When the last task of a job ends, as booked. */
  expectedEnd(job: Job, now: number): number {
    if (this.expectedEndsPlan !== this.lastPlan) {
      this.expectedEndsPlan = this.lastPlan;
      this.expectedEnds.clear();
      for (const b of this.lastPlan?.plan.reservations ?? [])
        this.expectedEnds.set(b.job.id, Math.max(this.expectedEnds.get(b.job.id) ?? 0, b.end * 1000));
    }
    let end = this.expectedEnds.get(job.order) ?? 0;
    for (const h of job.placements.values()) end = Math.max(end, this.parts.estimates.expectedEnd(h, now));
    return end > now ? end : now + this.parts.estimates.runS(job.spec) * 1000;
  }

  /**
   * By priority; then what teams are guaranteed before what they borrow, so that one cannot starve another; then gangs by
   * the aims they can still meet; then as accepted, what is little before what is much and was accepted not long before.
   * The least urgent work runs in what others leave, and a swarm of tiny jobs would wait for hours of it, so there much
   * stands back longer.
   */
  private inSchedulingOrder(): QueueEntry[] {
    // What waits for other jobs, or for a kind of machine that there is none of, takes no part in limits and guarantees.
    const jobs = [...this.parts.jobTable.jobs.values()]
      .filter((j) => j.pendingDependencies.size === 0 && this.somewhere(j))
      .sort((a, b) => a.order - b.order);
    const { teams } = this.parts.context.settings;
    this.guaranteed = withinGuarantee(jobs, teams).whole;
    const aims = this.slos.ranks(jobs, this.parts.context.clock.wall(), (spec) =>
      this.parts.estimates.runS(spec),
    );
    const byAims = (a: Job, b: Job) => aims.get(a)! - aims.get(b)!;
    // What a team is guaranteed goes to those of its jobs that can still use it.
    const { partly } = withinGuarantee([...jobs].sort(byAims), teams);
    // What has aged is little, and would wait for ever behind what others are guaranteed.
    const rank = ({ job, part }: QueueEntry) => (partly.has(job) || (job.aged && part !== 'rest') ? 0 : 1);
    const inUse = this.machinesInUse();
    const cpus = Math.max(1, this.cpus(inUse));
    const turnAt = ({ job, part, priority }: QueueEntry): number => {
      const left = part === 'first' ? 1 : job.spec.tasks - job.done.count;
      const runS = this.parts.estimates.runS(job.spec);
      // What was accepted for a deadline stays before what is accepted later.
      const bounded = job.spec.deadlineS === null ? MAX_DEFERRAL_S : 0;
      const putOffS =
        priority > PRIORITY.low
          ? Math.min(bounded, ((left * runS) / this.slotsFor(job.need, inUse)) * DEFERRAL_FACTOR)
          : ((left * job.need.cpus * runS) / cpus) * LOW_PRIORITY_DEFERRAL_FACTOR;
      return job.acceptedWall + putOffS * 1000;
    };
    const turns = jobs.flatMap((job) => queueEntriesOf(job));
    const at = new Map(turns.map((t) => [t, turnAt(t)]));
    return turns.sort(
      (a, b) =>
        b.priority - a.priority ||
        rank(a) - rank(b) ||
        byAims(a.job, b.job) ||
        at.get(a)! - at.get(b)! ||
        a.job.order - b.job.order,
    );
  }

  /** What a turn has to be booked; null when that is nothing. */
  private planJobFor({ job, part }: QueueEntry, now: number): PlanJob | null {
    const p = this.parts.planInput.planJob(job, now);
    if (!p || part === 'all') return p;
    const tasks = part === 'first' ? p.tasks.slice(0, 1) : p.tasks.slice(job.placements.size > 0 ? 0 : 1);
    return tasks.length > 0 ? { ...p, tasks } : null;
  }

  /** Whether any kind of machine there is may take a job; only match expressions can ask for what there is not. */
  private somewhere(job: Job): boolean {
    if (!job.match) return true;
    const { version } = this.parts.context.catalog;
    const known = this.placeableCache.get(job);
    if (known?.version === version) return known.isPlaceable;
    const { zones } = this.parts.context.names;
    let somewhere = false;
    for (const { type, zone, spot } of this.parts.context.catalog.kinds())
      somewhere ||= kindAllowed(job, type, zones.index(zone), spot);
    this.placeableCache.set(job, { version, isPlaceable: somewhere });
    return somewhere;
  }

  /** How many tasks of a kind the shard's machines hold at once. */
  private slotsFor(need: Amounts, inUse: ReadonlyMap<number, number>): number {
    let places = 0;
    for (const [type, count] of inUse) {
      places += count * fitCount(this.parts.context.catalog.size(type), need, MAX_TASKS_PER_MACHINE);
    }
    return Math.max(1, places);
  }

  /** How many machines of each type are in use. */
  private machinesInUse(): Map<number, number> {
    const now = this.parts.context.clock.now();
    const counts = new Map<number, number>();
    for (const m of this.parts.registry.machines.values()) {
      if (m.decommissioning || m.leaseExpired || m.quarantinedUntil > now) continue;
      counts.set(m.type, (counts.get(m.type) ?? 0) + 1);
    }
    return counts;
  }

  private cpus(inUse: ReadonlyMap<number, number>): number {
    let cpus = 0;
    for (const [type, count] of inUse) cpus += count * this.parts.context.catalog.size(type).cpus;
    return cpus;
  }

  /**
   * Whether the plan finishes all tasks of a job by its deadline; returns the deadline in seconds from now, or null to
   * refuse. What is booked stays, except that work of lower priority that has not started comes after.
   */
  admit(job: Job, needs: ReadonlySet<string>): number | null {
    const now = this.parts.context.clock.now();
    if (job.spec.kind === 'service') return 1e7;
    const plan = this.admissionPlan(job.priority, now);
    const mark = plan.reservations.length;
    // A job that waits begins no earlier than what it waits for is planned to end.
    const p = this.parts.planInput.planJob(
      job,
      now,
      needs.size > 0 ? this.parts.dependencies.releaseAt(needs, now) : null,
    )!;
    let dueS = job.spec.deadlineS;
    if (dueS !== null) {
      const finish = plan.reserve({ ...p, deadline: now / 1000 + dueS });
      if (finish === null || finish > now / 1000 + dueS) {
        plan.undo(mark);
        return null;
      }
    } else {
      const earliest = plan.earliestFinish(p);
      dueS = defaultDueS(
        this.parts.context,
        earliest === null ? null : earliest - now / 1000,
        this.parts.estimates.runS(job.spec),
      );
      plan.reserve({ ...p, deadline: now / 1000 + dueS });
    }
    // Work of lower priority comes after this job from now on.
    for (const priority of this.admissions.keys()) {
      if (priority < job.priority) this.admissions.delete(priority);
    }
    return dueS;
  }

  /** All that work of a priority has to leave in its place, on the machines that there are or could be rented. */
  private admissionPlan(priority: number, now: number): Plan {
    const known = this.admissions.get(priority);
    if (known && now - known.at < ADMISSION_PLAN_VALID_MS) return known.plan;
    const { machines, refs } = this.parts.planInput.machines(now);
    const places = this.parts.planInput.previousPlacements(this.lastPlan, refs);
    for (const o of this.parts.autoscaler.options(now)) {
      for (let i = 0; i < 2; i++)
        machines.push(this.parts.planInput.virtualMachine(o, (now + o.bootS * 1100) / 1000));
    }
    const plan = this.parts.planInput.plan(now, machines);
    for (const turn of this.inSchedulingOrder()) {
      if (turn.priority < priority) break;
      const p = turn.job.notBefore > now ? null : this.planJobFor(turn, now);
      if (p && plan.probes < MAX_PLAN_PROBES) reserveAsBefore(plan, p, places.get(p.id));
    }
    for (const other of this.parts.jobTable.jobs.values()) {
      if (other.pendingDependencies.size === 0 || other.cancelledByDependency || other.priority < priority)
        continue;
      const p = this.parts.planInput.planJob(
        other,
        now,
        this.parts.dependencies.releaseAt(other.pendingDependencies, now),
      );
      if (p && plan.probes < MAX_PLAN_PROBES) plan.reserve(p);
    }
    // A plan that took long to make serves longer.
    const at = this.parts.context.clock.now();
    const longer = this.pauseAfterMs(at - now);
    this.admissions.set(priority, { plan, at: at + longer });
    return plan;
  }

  schedule(now: number): void {
    const { machines, refs } = this.parts.planInput.machines(now);
    const plan = this.parts.planInput.plan(now, machines);
    const unplaced = new Set<Job>();
    const byOrder = new Map<number, Job>();
    // Now and then all is booked anew, so that work moves up into room that has come free; between, only the next jobs.
    const anew = now >= this.replanAllAt;
    const places = anew ? null : this.parts.planInput.previousPlacements(this.lastPlan, refs);
    for (const turn of this.inSchedulingOrder()) {
      const { job } = turn;
      if (job.notBefore > now) continue;
      const p = this.planJobFor(turn, now);
      if (!p) continue;
      byOrder.set(p.id, job);
      const kept = byOrder.size > MAX_JOBS_REPLANNED ? places?.get(p.id) : undefined;
      const booked =
        plan.probes < MAX_PLAN_PROBES
          ? reserveAsBefore(plan, p, kept)
          : plan.reserveNow(p) === p.tasks.length;
      if (!booked) unplaced.add(job);
    }
    plan.startEarly();
    const after = this.parts.context.clock.now();
    if (anew)
      this.replanAllAt = after + Math.max(REPLAN_ALL_INTERVAL_MS, (after - now) * REPLAN_ALL_COST_FACTOR);
    this.lastPlan = { plan, refs };
    this.reservedMachines.clear();
    for (const b of plan.reservations) {
      const m = refs[b.machine];
      if (m) this.reservedMachines.add(m.id);
    }
    this.parts.dispatcher.dispatch(plan, refs, byOrder, now);
    const waiting = new Set(unplaced);
    for (const b of plan.reservations) {
      const job = byOrder.get(b.job.id);
      if (job && b.start > now / 1000 + PREEMPT_WAIT_S) waiting.add(job);
    }
    for (const job of waiting) if (job.quarantined || job.aged) waiting.delete(job);
    this.parts.preemption.preemptFor(waiting, now);
    this.parts.resourceDemand.assess(plan, unplaced, byOrder, now);
  }

  /** How long after a plan that took so long no other is made. */
  pauseAfterMs(ms: number): number {
    return Math.min(MAX_PLAN_PAUSE_MS, ms * this.pauseFactor);
  }

  /** How many times as long as a plan took the pause after it is. */
  private get pauseFactor(): number {
    return 1 / (MAX_PLANNING_CPU_SHARE * Math.min(1, this.parts.context.settings.limits.cores)) - 1;
  }
}

/** Of a job of which the first task alone has aged, that task goes before urgent work until it is placed, the others in their own turn. */
function queueEntriesOf(job: Job): QueueEntry[] {
  if (!job.aged || !job.onlyFirstTaskAged) return [{ job, part: 'all', priority: job.priority }];
  const rest: QueueEntry = { job, part: 'rest', priority: remainingTasksPriority(job) };
  return job.placements.size > 0 ? [rest] : [{ job, part: 'first', priority: job.priority }, rest];
}

/** The deadline of a job without one, in seconds from now: from the earliest finish in the plan, if there is one. */
export function defaultDueS(context: ControllerContext, finishS: number | null, runS: number): number {
  // No machine in sight: the longest way, from renting one on.
  const longest = Math.max(60, ...context.catalog.all().map(([, t]) => t.bootS)) * 2 + runS;
  return DEFAULT_SLACK * (finishS ?? longest);
}
