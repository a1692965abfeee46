import type { ControllerContext } from '../context/context.js';
import type { Job } from '../jobs/job.js';
import type { Plan } from '../plan/plan.js';
import { type PlanInput, type PlanOnMachines, reserveAtPreviousPlacement } from './planinput.js';
import { MAX_PLAN_PROBES } from './planningbudget.js';
import type { Preemption } from './preemption.js';
import type { ResourceDemandTracker } from './resourcedemand.js';
import type { RuntimeEstimates } from './runtimeestimates.js';
import { planJobOf, type SchedulingOrder } from './schedulingorder.js';
import type { TaskDispatcher } from './taskdispatcher.js';

/**
 * Number of jobs that are planned from scratch in every plan. All jobs are planned from scratch at this
 * interval, or less often if a plan takes long.
 */
const MAX_JOBS_REPLANNED = 4;
const REPLAN_ALL_INTERVAL_MS = 1500;
const REPLAN_ALL_COST_FACTOR = 20;
/**
 * Jobs of high priority that would wait longer than this preempt lower-priority tasks, at most once per
 * preemption pause.
 */
const PREEMPT_WAIT_S = 2;

/** Components that `Planner` depends on. */
export interface PlannerParts {
  readonly context: ControllerContext;
  readonly estimates: RuntimeEstimates;
  readonly planInput: PlanInput;
  readonly order: SchedulingOrder;
  readonly dispatcher: TaskDispatcher;
  readonly preemption: Preemption;
  readonly resourceDemand: ResourceDemandTracker;
}

/**
 * Plan under construction: its jobs by their id in the plan, and those without a placement for all their
 * tasks.
 */
interface PlanningRound {
  readonly plan: Plan;
  readonly jobsByPlanId: Map<number, Job>;
  readonly unplaced: Set<Job>;
}

/** Computes the plan of one shard and applies it. */
export class Planner {
  private replanAllAt = 0;
  private latest: PlanOnMachines | null = null;
  private readonly reservedMachines = new Set<string>();
  /**
   * End of each job in the plan `expectedEndsPlan`, by the job's plan id; milliseconds on the monotonic
   * clock.
   */
  private readonly expectedEnds = new Map<number, number>();
  private expectedEndsPlan: PlanOnMachines | null = null;

  constructor(private readonly parts: PlannerParts) {}

  /** Plan that tasks were last started from; null before the first one. */
  get lastPlan(): PlanOnMachines | null {
    return this.latest;
  }

  /** Returns whether the last plan has a reservation on a machine. */
  hasReservation(machine: string): boolean {
    return this.reservedMachines.has(machine);
  }

  /** Returns the planned end of a job's last task; milliseconds on the monotonic clock. */
  expectedEnd(job: Job, now: number): number {
    if (this.expectedEndsPlan !== this.latest) {
      this.expectedEndsPlan = this.latest;
      this.expectedEnds.clear();
      for (const r of this.latest?.plan.reservations ?? [])
        this.expectedEnds.set(r.job.id, Math.max(this.expectedEnds.get(r.job.id) ?? 0, r.end * 1000));
    }
    const { estimates } = this.parts;
    let end = this.expectedEnds.get(job.order) ?? 0;
    for (const attempt of job.placements.values()) end = Math.max(end, estimates.expectedEnd(attempt, now));
    return end > now ? end : now + estimates.runS(job.spec) * 1000;
  }

  /**
   * Plans all waiting jobs, then starts tasks, preempts and requests machines accordingly. `now` in
   * milliseconds on the monotonic clock.
   */
  schedule(now: number): void {
    const { planInput, dispatcher, preemption, resourceDemand } = this.parts;
    const { machines, shardMachines } = planInput.machines(now);
    const round: PlanningRound = {
      plan: planInput.plan(now, machines),
      jobsByPlanId: new Map(),
      unplaced: new Set(),
    };
    const { plan, jobsByPlanId, unplaced } = round;
    this.reserveAll(round, shardMachines, now);
    this.latest = { plan, shardMachines: shardMachines };
    this.reservedMachines.clear();
    for (const r of plan.reservations) {
      const m = shardMachines[r.machine];
      if (m) this.reservedMachines.add(m.id);
    }
    dispatcher.dispatch(plan, shardMachines, jobsByPlanId, now);
    preemption.preemptFor(waitingJobs(round, now), now);
    resourceDemand.assess(plan, unplaced, jobsByPlanId, now);
  }

  /**
   * Reserves capacity for all waiting jobs in their order. At intervals all jobs are planned from scratch, so
   * that they move into capacity that has become free; in between only the first jobs are, and the others
   * keep their placements.
   */
  private reserveAll(round: PlanningRound, refs: PlanOnMachines['shardMachines'], now: number): void {
    const { context, planInput, order } = this.parts;
    const { plan, jobsByPlanId, unplaced } = round;
    const replanAll = now >= this.replanAllAt;
    const previous = replanAll ? null : planInput.previousPlacements(this.latest, refs);
    for (const entry of order.entries()) {
      const { job } = entry;
      if (job.notBefore > now) continue;
      const planJob = planJobOf(entry, planInput, now);
      if (!planJob) continue;
      jobsByPlanId.set(planJob.id, job);
      const previousPlacement =
        jobsByPlanId.size > MAX_JOBS_REPLANNED ? previous?.get(planJob.id) : undefined;
      const reserved =
        plan.probes < MAX_PLAN_PROBES
          ? reserveAtPreviousPlacement(plan, planJob, previousPlacement)
          : plan.reserveNow(planJob) === planJob.tasks.length;
      if (!reserved) unplaced.add(job);
    }
    plan.startEarly();
    const finishedAt = context.clock.now();
    if (replanAll)
      this.replanAllAt =
        finishedAt + Math.max(REPLAN_ALL_INTERVAL_MS, (finishedAt - now) * REPLAN_ALL_COST_FACTOR);
  }
}

/**
 * Returns the jobs with tasks that have no placement or would wait long, without those that must not preempt.
 */
function waitingJobs({ plan, jobsByPlanId, unplaced }: PlanningRound, now: number): Set<Job> {
  const waiting = new Set(unplaced);
  for (const r of plan.reservations) {
    const job = jobsByPlanId.get(r.job.id);
    if (job && r.start > now / 1000 + PREEMPT_WAIT_S) waiting.add(job);
  }
  for (const job of waiting) if (job.quarantined || job.aged) waiting.delete(job);
  return waiting;
}
