import type { Job } from '../jobs/job.js';
import { PRIORITY } from '../wire/users.js';
import type { World } from '../world/world.js';
import type { Aims } from './aims.js';
import type { Estimates } from './estimates.js';

/** A job presses when no more than this share of the time for its last aim is left to start in. */
const PRESS_SHARE = 0.5;
/** Ordinary work that presses may take this share of the shard's processors before more urgent work, or be one job. */
const MOST_SHARE = 0.1;

/**
 * Urgent work that comes without end would keep ordinary work from ever starting where both need the same machines. A
 * little of it, in the order of acceptance, goes with the urgent work once the last of its aims comes near: it waits no
 * more for every urgent job that comes, is not stopped for one, and stops nothing itself.
 */
export class Pressing {
  private readonly lifted = new Set<Job>();

  constructor(
    private readonly world: World,
    private readonly jobs: ReadonlyMap<string, Job>,
    private readonly aims: Aims,
    private readonly estimates: Estimates,
  ) {}

  /** Looks anew which jobs press; `cpus` is what the shard's machines have. */
  tick(cpus: number): void {
    for (const job of this.lifted) {
      job.pressing = false;
      job.priority = job.spec.priority;
      job.dueWall = job.deadlineWall;
    }
    this.lifted.clear();
    const wall = this.world.clock.wall();
    const due: { job: Job; until: number }[] = [];
    for (const job of this.jobs.values()) {
      if (job.priority !== PRIORITY.normal || job.suspect || job.waitsFor.size > 0) continue;
      const aim = this.aims.last(job.spec, this.estimates.runS(job.spec));
      if (aim === null) continue;
      const ageS = (wall - job.acceptedWall) / 1000;
      if (aim.latestS - ageS > aim.withinS * PRESS_SHARE) continue;
      // Of what has missed it, nothing more is gained; what has begun may run faster than expected.
      const begun = job.places.size > 0 || job.done.count > 0;
      if (ageS <= (begun ? aim.withinS : aim.latestS))
        due.push({ job, until: job.acceptedWall + aim.withinS * 1000 });
    }
    due.sort((a, b) => a.job.order - b.job.order);
    let room = cpus * MOST_SHARE;
    for (const { job, until } of due) {
      room -= (job.spec.tasks - job.done.count) * job.need.cpus;
      // One at least, also where the shard is small.
      if (room < 0 && this.lifted.size > 0) return;
      job.pressing = true;
      job.priority = PRIORITY.high;
      job.dueWall = Math.min(job.dueWall, until);
      this.lifted.add(job);
    }
  }
}
