import type { Autoscaler } from '../autoscaler/autoscaler.js';
import type { ControllerContext } from '../context/context.js';
import type { Job } from '../jobs/job.js';
import type { PlanJob } from '../plan/model.js';
import type { Plan } from '../plan/plan.js';
import type { DependencyTracker } from './dependencytracker.js';
import type { JobTable } from './jobtable.js';
import { type PlanInput, type PlanOnMachines, reserveAtPreviousPlacement } from './planinput.js';
import { MAX_PLAN_PROBES, pauseAfterPlanMs } from './planningbudget.js';
import type { RuntimeEstimates } from './runtimeestimates.js';
import { planJobOf, type SchedulingOrder } from './schedulingorder.js';

/** A job submitted without a deadline gets this multiple of its planned time to finish. */
const DEFAULT_DEADLINE_FACTOR = 1.5;
/**
 * New jobs are admitted against the same plan for this long; each is reserved on top of those admitted before it.
 */
const ADMISSION_PLAN_VALID_MS = 1000;
/**
 * Deadline of a service, in seconds from now: too far away to be missed, because a service runs until it is
 * cancelled.
 */
const SERVICE_DEADLINE_S = 1e7;
/** Number of machines that admission plans assume can be rented of each kind on offer. */
const ASSUMED_RENTALS_PER_KIND = 2;

/** Collaborators of `Admission`. */
export interface AdmissionParts {
  readonly context: ControllerContext;
  readonly jobTable: JobTable;
  readonly estimates: RuntimeEstimates;
  readonly planInput: PlanInput;
  readonly order: SchedulingOrder;
  readonly dependencies: DependencyTracker;
  readonly autoscaler: Autoscaler;
  /** Returns the plan by which tasks were last started; null before the first one. */
  readonly lastPlan: () => PlanOnMachines | null;
}

/** Accepts or refuses new jobs, by whether they can be finished by their deadlines. */
export class Admission {
  /** Cached plans by priority; each contains all jobs of that priority and above. */
  private readonly plans = new Map<number, { readonly plan: Plan; readonly at: number }>();

  constructor(private readonly parts: AdmissionParts) {}

  /**
   * Returns the deadline of a job in seconds from now if the plan finishes all of its tasks by then, or null to
   * refuse the job. Existing reservations are kept, except that jobs of lower priority that have not started are
   * planned after this one. `unfinished` contains the job's dependencies that are not done.
   */
  admit(job: Job, unfinished: ReadonlySet<string>): number | null {
    if (job.spec.kind === 'service') return SERVICE_DEADLINE_S;
    const { context, planInput, dependencies } = this.parts;
    const now = context.clock.now();
    const plan = this.planFor(job.priority, now);
    // A waiting job starts no earlier than the expected end of its dependencies.
    const releaseAt = unfinished.size > 0 ? dependencies.releaseAt(unfinished, now) : null;
    const planJob = planInput.planJob(job, now, releaseAt)!;
    const dueS =
      job.spec.deadlineS === null
        ? this.reserveByDefaultDeadline(plan, job, planJob, now)
        : reserveByDeadline(plan, planJob, now / 1000, job.spec.deadlineS);
    if (dueS === null) return null;
    // Drops the plans that contain jobs of lower priority: from now on these are planned after this job.
    for (const priority of this.plans.keys()) if (priority < job.priority) this.plans.delete(priority);
    return dueS;
  }

  private reserveByDefaultDeadline(plan: Plan, job: Job, planJob: PlanJob, now: number): number {
    const { context, estimates } = this.parts;
    const finish = plan.earliestFinish(planJob);
    const dueS = defaultDeadlineS(
      context,
      finish === null ? null : finish - now / 1000,
      estimates.runS(job.spec),
    );
    plan.reserve({ ...planJob, deadline: now / 1000 + dueS });
    return dueS;
  }

  /**
   * Returns a plan of all jobs with at least the given priority, on the existing machines and on those that could
   * be rented.
   */
  private planFor(priority: number, now: number): Plan {
    const cached = this.plans.get(priority);
    if (cached && now - cached.at < ADMISSION_PLAN_VALID_MS) return cached.plan;
    const { context, planInput, autoscaler, lastPlan } = this.parts;
    const { machines, shardMachines } = planInput.machines(now);
    const previous = planInput.previousPlacements(lastPlan(), shardMachines);
    for (const option of autoscaler.rentOptions(now)) {
      for (let i = 0; i < ASSUMED_RENTALS_PER_KIND; i++)
        machines.push(planInput.virtualMachine(option, (now + option.bootS * 1100) / 1000));
    }
    const plan = planInput.plan(now, machines);
    for (const entry of this.parts.order.entries()) {
      if (entry.priority < priority) break;
      const p = entry.job.notBefore > now ? null : planJobOf(entry, planInput, now);
      if (p && plan.probes < MAX_PLAN_PROBES) reserveAtPreviousPlacement(plan, p, previous.get(p.id));
    }
    this.reserveDependents(plan, priority, now);
    // A plan that took long to compute is reused for longer.
    const at = context.clock.now();
    this.plans.set(priority, { plan, at: at + pauseAfterPlanMs(context, at - now) });
    return plan;
  }

  /** Reserves capacity for jobs that wait for others, starting at their expected release. */
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

/** Reserves a job if it can finish within `dueS` seconds of `nowS`; returns `dueS`, or null if it cannot. */
function reserveByDeadline(plan: Plan, planJob: PlanJob, nowS: number, dueS: number): number | null {
  const reservationsBefore = plan.reservations.length;
  const finish = plan.reserve({ ...planJob, deadline: nowS + dueS });
  if (finish !== null && finish <= nowS + dueS) return dueS;
  plan.undo(reservationsBefore);
  return null;
}

/**
 * Returns the deadline of a job that was submitted without one, in seconds from now. It derives from the earliest
 * finish in the plan, if there is one.
 */
export function defaultDeadlineS(context: ControllerContext, finishS: number | null, runS: number): number {
  // Without a planned finish, assumes the worst case, in which a machine has to be rented and booted first.
  const worstCaseS = Math.max(60, ...context.catalog.offeredTypes().map(([, t]) => t.bootS)) * 2 + runS;
  return DEFAULT_DEADLINE_FACTOR * (finishS ?? worstCaseS);
}
