import type { ControllerContext } from '../context/context.js';
import type { Job } from '../jobs/job.js';
import { PRIORITY } from '../wire/users.js';
import type { RuntimeEstimates } from './runtimeestimates.js';
import type { ServiceLevelObjectives } from './servicelevelobjectives.js';

/** A job ages when at most this share of the time for its last objective is left before its latest start. */
const AGED_SHARE = 0.5;
/**
 * Time within which every job has to start, whatever is ahead of it; the requirement for the largest jobs of
 * each class.
 */
const MAX_START_DELAY_S = 240;
/**
 * Maximum share of the shard's processors that aged jobs of at most normal priority may take before urgent
 * jobs. One job may always age, even if it exceeds the share.
 */
const MAX_AGED_SHARE = 0.1;
/**
 * Maximum additional share for the first tasks of jobs that have not started. One such job may always age,
 * even if it exceeds the share.
 */
const MAX_FIRST_TASKS_SHARE = 0.1;
/**
 * A task that has run for less than this may be stopped again at once, so it does not count as the start of
 * its job.
 */
const STARTED_AFTER_MS = 30_000;

/**
 * Prevents starvation: a continuous stream of urgent jobs would keep other jobs from ever starting where both
 * need the same machines. A few of the others, in the order of acceptance, are raised to the priority of
 * urgent jobs when the latest start for their last objective comes near, or when they have not started after
 * half of the time within which every job has to start. Such an aged job no longer waits for each new urgent
 * job, is not preempted by one, and preempts nothing itself.
 */
export class PriorityAging {
  private readonly agedJobs = new Set<Job>();

  constructor(
    private readonly context: ControllerContext,
    private readonly jobs: ReadonlyMap<string, Job>,
    private readonly slos: ServiceLevelObjectives,
    private readonly estimates: RuntimeEstimates,
  ) {}

  /** Recomputes which jobs have aged; `cpus` is the total of the shard's machines. */
  tick(cpus: number): void {
    for (const job of this.agedJobs) {
      job.aged = false;
      job.onlyFirstTaskAged = false;
      job.priority = job.spec.priority;
      job.dueWall = job.deadlineWall;
    }
    this.agedJobs.clear();
    const wall = this.context.clock.wall();
    const due: { job: Job; until: number }[] = [];
    for (const job of this.jobs.values()) {
      if (job.priority > PRIORITY.normal || job.quarantined || job.pendingDependencies.size > 0) continue;
      const withinS = this.agingDeadlineS(job, (wall - job.acceptedWall) / 1000);
      if (withinS !== null) due.push({ job, until: job.acceptedWall + withinS * 1000 });
    }
    due.sort((a, b) => a.job.order - b.job.order);
    let cpusLeft = cpus * MAX_AGED_SHARE;
    let firstTaskCpusLeft = cpus * MAX_FIRST_TASKS_SHARE;
    for (const { job, until } of due) {
      cpusLeft -= (job.spec.tasks - job.done.count) * job.need.cpus;
      // At least one job ages, even in a small shard.
      if (cpusLeft >= 0 || this.agedJobs.size === 0) this.age(job, until, 'all');
      if (job.aged || this.hasStarted(job)) continue;
      // Jobs behind this one would wait for it to start, one after the other. With many large jobs that takes
      // longer than any job may wait, so the first task of each array, and whole gangs, age too.
      const array = job.spec.kind === 'array';
      const isFirst = firstTaskCpusLeft === cpus * MAX_FIRST_TASKS_SHARE;
      firstTaskCpusLeft -= (array ? 1 : job.spec.tasks) * job.need.cpus;
      if (firstTaskCpusLeft >= 0 || isFirst) this.age(job, until, array ? 'first' : 'all');
    }
  }

  /**
   * Raises the priority of all tasks of a job or of its first task only; `until` is its due time in
   * wall-clock milliseconds.
   */
  private age(job: Job, until: number, tasks: 'all' | 'first'): void {
    job.aged = true;
    job.onlyFirstTaskAged = tasks === 'first';
    job.priority = PRIORITY.high;
    job.dueWall = Math.min(job.dueWall, until);
    this.agedJobs.add(job);
  }

  /**
   * Returns the time in seconds after its acceptance by which an aged job has to meet its objective or start;
   * null for a job that has not aged.
   */
  private agingDeadlineS(job: Job, ageS: number): number | null {
    // Applies regardless of how many objectives the job has missed: the largest jobs wait longest for capacity, and
    // nothing else raises their priority.
    if (ageS > MAX_START_DELAY_S * AGED_SHARE && !this.hasStarted(job)) return MAX_START_DELAY_S;
    const objective =
      job.priority === PRIORITY.normal
        ? this.slos.lastReachable(job.spec, this.estimates.runS(job.spec))
        : null;
    if (objective === null || objective.latestS - ageS > objective.withinS * AGED_SHARE) return null;
    // A job that has already missed the objective gains nothing by aging, but one that has started may run
    // faster than expected.
    const placed = job.placements.size > 0 || job.done.count > 0;
    return ageS <= (placed ? objective.withinS : objective.latestS) ? objective.withinS : null;
  }

  /** Returns whether a task of a job has completed or has run for some time. */
  private hasStarted(job: Job): boolean {
    if (job.done.count > 0) return true;
    const since = this.context.clock.now() - STARTED_AFTER_MS;
    for (const attempt of job.placements.values())
      if (attempt.runningAt !== null && attempt.runningAt < since) return true;
    return false;
  }
}
