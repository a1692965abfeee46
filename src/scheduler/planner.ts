import type { ControllerContext } from '../context/context.js';
import type { Job } from '../jobs/job.js';
import type { Plan } from '../plan/plan.js';
import { type PlanInput, type PlanOnMachines, reserveAsBefore } from './planinput.js';
import { MAX_PLAN_PROBES } from './planningbudget.js';
import type { Preemption } from './preemption.js';
import type { ResourceDemandTracker } from './resourcedemand.js';
import type { RuntimeEstimates } from './runtimeestimates.js';
import { planJobOf, type SchedulingOrder } from './schedulingorder.js';
import type { TaskDispatcher } from './taskdispatcher.js';

/** So many jobs are reserved anew in every plan, all of them at these intervals, or longer when that takes long. */
const MAX_JOBS_REPLANNED = 4;
const REPLAN_ALL_INTERVAL_MS = 1500;
const REPLAN_ALL_COST_FACTOR = 20;
/** Jobs of high priority that would wait longer than this preempt lower-priority tasks, but not twice within the pause. */
const PREEMPT_WAIT_S = 2;

/** What `Planner` is made of. */
export interface PlannerParts {
  readonly context: ControllerContext;
  readonly estimates: RuntimeEstimates;
  readonly planInput: PlanInput;
  readonly order: SchedulingOrder;
  readonly dispatcher: TaskDispatcher;
  readonly preemption: Preemption;
  readonly resourceDemand: ResourceDemandTracker;
}

/** A plan in the making: the jobs that it has, by their id in it, and those that found no place. */
interface Round {
  readonly plan: Plan;
  readonly jobsByPlanId: Map<number, Job>;
  readonly unplaced: Set<Job>;
}

/** Makes the plan of one shard, and has it carried out. */
export class Planner {
  private replanAllAt = 0;
  private last: PlanOnMachines | null = null;
  private readonly reservedMachines = new Set<string>();
  /** When the plan that `expectedEndsPlan` is has each job end, by the job's id in plans; steady milliseconds. */
  private readonly expectedEnds = new Map<number, number>();
  private expectedEndsPlan: PlanOnMachines | null = null;

  constructor(private readonly parts: PlannerParts) {}

  /** The plan that tasks were last started by; null before the first one. */
  get lastPlan(): PlanOnMachines | null {
    return this.last;
  }

  /** Whether the last plan has a task on a machine. */
  hasReservation(machine: string): boolean {
    return this.reservedMachines.has(machine);
  }

  /** When the last task of a job ends, as planned; steady milliseconds. */
  expectedEnd(job: Job, now: number): number {
    if (this.expectedEndsPlan !== this.last) {
      this.expectedEndsPlan = this.last;
      this.expectedEnds.clear();
      for (const r of this.last?.plan.reservations ?? [])
        this.expectedEnds.set(r.job.id, Math.max(this.expectedEnds.get(r.job.id) ?? 0, r.end * 1000));
    }
    const { estimates } = this.parts;
    let end = this.expectedEnds.get(job.order) ?? 0;
    for (const h of job.placements.values()) end = Math.max(end, estimates.expectedEnd(h, now));
    return end > now ? end : now + estimates.runS(job.spec) * 1000;
  }

  /** Plans all waiting jobs; starts, preempts and asks for machines accordingly. `now` in steady milliseconds. */
  schedule(now: number): void {
    const { planInput, dispatcher, preemption, resourceDemand } = this.parts;
    const { machines, refs } = planInput.machines(now);
    const round: Round = {
      plan: planInput.plan(now, machines),
      jobsByPlanId: new Map(),
      unplaced: new Set(),
    };
    const { plan, jobsByPlanId, unplaced } = round;
    this.reserveAll(round, refs, now);
    this.last = { plan, refs };
    this.reservedMachines.clear();
    for (const r of plan.reservations) {
      const m = refs[r.machine];
      if (m) this.reservedMachines.add(m.id);
    }
    dispatcher.dispatch(plan, refs, jobsByPlanId, now);
    preemption.preemptFor(waitingJobs(round, now), now);
    resourceDemand.assess(plan, unplaced, jobsByPlanId, now);
  }

  /**
   * Reserves for all waiting jobs in their order. Now and then all are reserved anew, so that jobs move up into capacity that
   * has come free; between, only the next jobs.
   */
  private reserveAll(round: Round, refs: PlanOnMachines['refs'], now: number): void {
    const { context, planInput, order } = this.parts;
    const { plan, jobsByPlanId, unplaced } = round;
    const anew = now >= this.replanAllAt;
    const previous = anew ? null : planInput.previousPlacements(this.last, refs);
    for (const entry of order.entries()) {
      const { job } = entry;
      if (job.notBefore > now) continue;
      const p = planJobOf(entry, planInput, now);
      if (!p) continue;
      jobsByPlanId.set(p.id, job);
      const kept = jobsByPlanId.size > MAX_JOBS_REPLANNED ? previous?.get(p.id) : undefined;
      const reserved =
        plan.probes < MAX_PLAN_PROBES
          ? reserveAsBefore(plan, p, kept)
          : plan.reserveNow(p) === p.tasks.length;
      if (!reserved) unplaced.add(job);
    }
    plan.startEarly();
    const after = context.clock.now();
    if (anew)
      this.replanAllAt = after + Math.max(REPLAN_ALL_INTERVAL_MS, (after - now) * REPLAN_ALL_COST_FACTOR);
  }
}

/** The jobs with tasks that found no place or would wait long, without those that preempt nothing. */
function waitingJobs({ plan, jobsByPlanId, unplaced }: Round, now: number): Set<Job> {
  const waiting = new Set(unplaced);
  for (const r of plan.reservations) {
    const job = jobsByPlanId.get(r.job.id);
    if (job && r.start > now / 1000 + PREEMPT_WAIT_S) waiting.add(job);
  }
  for (const job of waiting) if (job.quarantined || job.aged) waiting.delete(job);
  return waiting;
}
