import type { ControllerContext } from '../context/context.js';
import type { Job } from '../jobs/job.js';
import { PRIORITY } from '../wire/users.js';
import type { RuntimeEstimates } from './runtimeestimates.js';
import type { ServiceLevelObjectives } from './servicelevelobjectives.js';

/** A job has aged when no more than this share of the time for its last objective is left to start in. */
const AGED_SHARE = 0.5;
/** Whatever is before it, a job begins within this: the rule for the largest of each class. */
const MAX_START_DELAY_S = 240;
/** Jobs of at most normal priority that have aged may take this share of the shard's processors before urgent jobs, or be one. */
const MAX_AGED_SHARE = 0.1;
/** Beside that, the first tasks of jobs that have not begun take no more than this share, or are of one job. */
const MAX_FIRST_TASKS_SHARE = 0.1;
/** A task that has run for less than this may be one that is stopped again at once: its job has not begun. */
const STARTED_AFTER_MS = 30_000;

/**
 * Urgent jobs that come without end would keep other jobs from ever starting where both need the same machines. A few of
 * the others, in the order of acceptance, go with the urgent ones once the last of their objectives comes near, or half of the
 * time by which any job has to have begun is over and they have not: such a job waits no more for every urgent job that comes,
 * is not stopped for one, and stops nothing itself.
 */
export class PriorityAging {
  private readonly agedJobs = new Set<Job>();

  constructor(
    private readonly context: ControllerContext,
    private readonly jobs: ReadonlyMap<string, Job>,
    private readonly slos: ServiceLevelObjectives,
    private readonly estimates: RuntimeEstimates,
  ) {}

  /** Works out anew which jobs have aged; `cpus` is what the shard's machines have in all. */
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
      // One at least, also where the shard is small.
      if (cpusLeft >= 0 || this.agedJobs.size === 0) this.age(job, until, 'all');
      if (job.aged || this.hasStarted(job)) continue;
      // Those behind it would wait for it to begin, one after the other: where many are large, for longer than any may wait.
      const array = job.spec.kind === 'array';
      const noneBefore = firstTaskCpusLeft === cpus * MAX_FIRST_TASKS_SHARE;
      firstTaskCpusLeft -= (array ? 1 : job.spec.tasks) * job.need.cpus;
      if (firstTaskCpusLeft >= 0 || noneBefore) this.age(job, until, array ? 'first' : 'all');
    }
  }

  /** Raises all tasks of a job, or only its first one; `until` is when it is due, in milliseconds of the time of day. */
  private age(job: Job, until: number, tasks: 'all' | 'first'): void {
    job.aged = true;
    job.onlyFirstTaskAged = tasks === 'first';
    job.priority = PRIORITY.high;
    job.dueWall = Math.min(job.dueWall, until);
    this.agedJobs.add(job);
  }

  /** Within how many seconds of its acceptance something that has aged a job has to be met; null when nothing has. */
  private agingDeadlineS(job: Job, ageS: number): number | null {
    // However many objectives it has missed. The largest jobs wait the longest for capacity, and nothing else raises them.
    if (ageS > MAX_START_DELAY_S * AGED_SHARE && !this.hasStarted(job)) return MAX_START_DELAY_S;
    const objective =
      job.priority === PRIORITY.normal
        ? this.slos.lastReachable(job.spec, this.estimates.runS(job.spec))
        : null;
    if (objective === null || objective.latestS - ageS > objective.withinS * AGED_SHARE) return null;
    // For a job that has missed it nothing is gained any more; one that has begun may run faster than expected.
    const placed = job.placements.size > 0 || job.done.count > 0;
    return ageS <= (placed ? objective.withinS : objective.latestS) ? objective.withinS : null;
  }

  /** Whether a task of a job is done, or has run for some time. */
  private hasStarted(job: Job): boolean {
    if (job.done.count > 0) return true;
    const since = this.context.clock.now() - STARTED_AFTER_MS;
    for (const h of job.placements.values()) if (h.runningAt !== null && h.runningAt < since) return true;
    return false;
  }
}
