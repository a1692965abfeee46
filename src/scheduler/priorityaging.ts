import type { ControllerContext } from '../context/context.js';
import type { Job } from '../jobs/job.js';
import { PRIORITY } from '../wire/users.js';
import type { RuntimeEstimates } from './runtimeestimates.js';
import type { ServiceLevelObjectives } from './servicelevelobjectives.js';

/** A job has aged when no more than this share of the time for its last aim is left to start in. */
const AGED_SHARE = 0.5;
/** Whatever stands before it, a job begins within this: the rule for the largest of each class. */
export const MAX_START_DELAY_S = 240;
/** Ordinary work that has aged may take this share of the shard's processors before more urgent work, or be one job. */
const MAX_AGED_SHARE = 0.1;
/** Beside that, the first tasks of jobs that have not begun take no more than this share, or are one. */
const MAX_FIRST_TASKS_SHARE = 0.1;
/** A start that is taken back within this is none. */
const STARTED_AFTER_MS = 30_000;

/**
 * Urgent work that comes without end would keep other work from ever starting where both need the same machines. A
 * little of it, in the order of acceptance, goes with the urgent work once the last of its aims comes near, or half of the time
 * by which any job has to have begun is over and it has not: it waits no more for every urgent job that comes, is not stopped
 * for one, and stops nothing itself.
 */
export class PriorityAging {
  private readonly agedJobs = new Set<Job>();

  constructor(
    private readonly context: ControllerContext,
    private readonly jobs: ReadonlyMap<string, Job>,
    private readonly slos: ServiceLevelObjectives,
    private readonly estimates: RuntimeEstimates,
  ) {}

  /** Looks anew which jobs have aged; `cpus` is what the shard's machines have. */
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
    let room = cpus * MAX_AGED_SHARE;
    let firsts = cpus * MAX_FIRST_TASKS_SHARE;
    for (const { job, until } of due) {
      room -= (job.spec.tasks - job.done.count) * job.need.cpus;
      // One at least, also where the shard is small.
      if (room >= 0 || this.agedJobs.size === 0) this.age(job, until, false);
      if (job.aged || this.hasStarted(job)) continue;
      // Those behind it would wait for it to begin, one after the other: where many are large, for longer than any may wait.
      const array = job.spec.kind === 'array';
      const none = firsts === cpus * MAX_FIRST_TASKS_SHARE;
      firsts -= (array ? 1 : job.spec.tasks) * job.need.cpus;
      if (firsts >= 0 || none) this.age(job, until, array);
    }
  }

  private age(job: Job, until: number, first: boolean): void {
    job.aged = true;
    job.onlyFirstTaskAged = first;
    job.priority = PRIORITY.high;
    job.dueWall = Math.min(job.dueWall, until);
    this.agedJobs.add(job);
  }

  /** Within how many seconds of its acceptance something that has aged a job has to be met; null when nothing has. */
  private agingDeadlineS(job: Job, ageS: number): number | null {
    // However many aims it has missed. The largest wait the longest for room, and nobody else asks for them.
    if (ageS > MAX_START_DELAY_S * AGED_SHARE && !this.hasStarted(job)) return MAX_START_DELAY_S;
    const aim =
      job.priority === PRIORITY.normal
        ? this.slos.lastReachable(job.spec, this.estimates.runS(job.spec))
        : null;
    if (aim === null || aim.latestS - ageS > aim.withinS * AGED_SHARE) return null;
    // Of what has missed it, nothing more is gained; what has begun may run faster than expected.
    const placed = job.placements.size > 0 || job.done.count > 0;
    return ageS <= (placed ? aim.withinS : aim.latestS) ? aim.withinS : null;
  }

  private hasStarted(job: Job): boolean {
    if (job.done.count > 0) return true;
    const since = this.context.clock.now() - STARTED_AFTER_MS;
    for (const h of job.placements.values()) if (h.runningAt !== null && h.runningAt < since) return true;
    return false;
  }
}
