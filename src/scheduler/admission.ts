import type { Autoscaler } from '../autoscaler/autoscaler.js';
import type { ControllerContext } from '../context/context.js';
import type { Job } from '../jobs/job.js';
import type { PlanJob } from '../plan/model.js';
import type { Plan } from '../plan/plan.js';
import type { DependencyTracker } from './dependencytracker.js';
import type { JobTable } from './jobtable.js';
import { type PlanInput, type PlanOnMachines, reserveAsBefore } from './planinput.js';
import { MAX_PLAN_PROBES, pauseAfterPlanMs } from './planningbudget.js';
import type { RuntimeEstimates } from './runtimeestimates.js';
import { planJobOf, type SchedulingOrder } from './schedulingorder.js';

/** A job without a deadline gets one at so many times the finish that the plans allow. */
const DEFAULT_SLACK = 1.5;
/** New jobs are weighed against the same plan for so long, each reserved on top of those before it. */
const ADMISSION_PLAN_VALID_MS = 1000;
/** A service runs until it is cancelled: a deadline that it never misses. */
const SERVICE_DUE_S = 1e7;
/** So many machines of each kind that could be rented are counted in. */
const RENTABLE_PER_KIND = 2;

/** What `Admission` is made of. */
export interface AdmissionParts {
  readonly context: ControllerContext;
  readonly jobTable: JobTable;
  readonly estimates: RuntimeEstimates;
  readonly planInput: PlanInput;
  readonly order: SchedulingOrder;
  readonly dependencies: DependencyTracker;
  readonly autoscaler: Autoscaler;
  /** The plan that tasks were last started by; null before the first one. */
  readonly lastPlan: () => PlanOnMachines | null;
}

/** Decides on new jobs by whether they can be done by their deadlines. */
export class Admission {
  /** Plans with all jobs of at least a priority, by that priority. */
  private readonly plans = new Map<number, { readonly plan: Plan; readonly at: number }>();

  constructor(private readonly parts: AdmissionParts) {}

  /**
   * Whether the plan finishes all tasks of a job by its deadline; returns the deadline in seconds from now, or null to
   * refuse. What is reserved stays, except that jobs of lower priority that have not started come after. `unfinished` are
   * the jobs that it depends on and that are not done.
   */
  admit(job: Job, unfinished: ReadonlySet<string>): number | null {
    if (job.spec.kind === 'service') return SERVICE_DUE_S;
    const { context, planInput, dependencies } = this.parts;
    const now = context.clock.now();
    const plan = this.planFor(job.priority, now);
    // A job that waits begins no earlier than the jobs that it depends on are planned to end.
    const releaseAt = unfinished.size > 0 ? dependencies.releaseAt(unfinished, now) : null;
    const planJob = planInput.planJob(job, now, releaseAt)!;
    const dueS =
      job.spec.deadlineS === null
        ? this.reserveByDefaultDeadline(plan, job, planJob, now)
        : reserveByDeadline(plan, planJob, now / 1000, job.spec.deadlineS);
    if (dueS === null) return null;
    // Jobs of lower priority come after this one from now on.
    for (const priority of this.plans.keys()) if (priority < job.priority) this.plans.delete(priority);
    return dueS;
  }

  private reserveByDefaultDeadline(plan: Plan, job: Job, planJob: PlanJob, now: number): number {
    const { context, estimates } = this.parts;
    const finish = plan.earliestFinish(planJob);
    const dueS = defaultDueS(context, finish === null ? null : finish - now / 1000, estimates.runS(job.spec));
    plan.reserve({ ...planJob, deadline: now / 1000 + dueS });
    return dueS;
  }

  /** All jobs of a priority or more in their place, on the machines that there are or could be rented. */
  private planFor(priority: number, now: number): Plan {
    const known = this.plans.get(priority);
    if (known && now - known.at < ADMISSION_PLAN_VALID_MS) return known.plan;
    const { context, planInput, autoscaler, lastPlan } = this.parts;
    const { machines, refs } = planInput.machines(now);
    const previous = planInput.previousPlacements(lastPlan(), refs);
    for (const o of autoscaler.rentOptions(now)) {
      for (let i = 0; i < RENTABLE_PER_KIND; i++)
        machines.push(planInput.virtualMachine(o, (now + o.bootS * 1100) / 1000));
    }
    const plan = planInput.plan(now, machines);
    for (const entry of this.parts.order.entries()) {
      if (entry.priority < priority) break;
      const p = entry.job.notBefore > now ? null : planJobOf(entry, planInput, now);
      if (p && plan.probes < MAX_PLAN_PROBES) reserveAsBefore(plan, p, previous.get(p.id));
    }
    this.reserveDependents(plan, priority, now);
    // A plan that took long to make serves longer.
    const at = context.clock.now();
    this.plans.set(priority, { plan, at: at + pauseAfterPlanMs(context, at - now) });
    return plan;
  }

  /** Reserves for the jobs that wait for others, from when they are expected to be released. */
  private reserveDependents(plan: Plan, priority: number, now: number): void {
    const { jobTable, planInput, dependencies } = this.parts;
    for (const job of jobTable.jobs.values()) {
      if (job.pendingDependencies.size === 0 || job.cancelledByDependency || job.priority < priority)
        continue;
      const p = planInput.planJob(job, now, dependencies.releaseAt(job.pendingDependencies, now));
      if (p && plan.probes < MAX_PLAN_PROBES) plan.reserve(p);
    }
  }
}

/** Reserves a job if it can be done within `dueS` seconds of `nowS`; returns `dueS`, or null when it cannot. */
function reserveByDeadline(plan: Plan, planJob: PlanJob, nowS: number, dueS: number): number | null {
  const mark = plan.reservations.length;
  const finish = plan.reserve({ ...planJob, deadline: nowS + dueS });
  if (finish !== null && finish <= nowS + dueS) return dueS;
  plan.undo(mark);
  return null;
}

/** The deadline of a job without one, in seconds from now: from the earliest finish in the plan, if there is one. */
export function defaultDueS(context: ControllerContext, finishS: number | null, runS: number): number {
  // No machine in sight: the longest way, from renting one on.
  const longest = Math.max(60, ...context.catalog.all().map(([, t]) => t.bootS)) * 2 + runS;
  return DEFAULT_SLACK * (finishS ?? longest);
}
