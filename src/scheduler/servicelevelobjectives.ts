import type { Objective } from '../config/settings.js';
import type { Job } from '../jobs/job.js';
import type { JobSpec } from '../wire/users.js';

/**
 * Time from a start command until the task runs: the heartbeat or push, and usually the fetch of the image.
 */
const START_DELAY_S = 8;
/** An objective is near when the latest start that still meets it is within this time. */
const LAST_CHANCE_WINDOW_S = 25;
/**
 * Beyond this multiple of its widest objective, a job is ordered by acceptance alone, ahead of all jobs
 * accepted later.
 */
const MAX_DEFERRAL_FACTOR = 4;

/** Rank of a waiting job, by its objectives, among otherwise equal jobs; lower ranks go first. */
export const SLO_RANKS = { lastChance: 0, allReachable: 1, someMissed: 2, allMissed: 3 } as const;

/**
 * Orders jobs by the objectives that they can still meet, as stated in the settings (`objectives`). When more
 * urgent jobs wait than machines can start in time, the order of acceptance would make all of them late, as
 * each job would wait behind those that have already missed the objectives of their class.
 */
export class ServiceLevelObjectives {
  private readonly byClass = new Map<string, { starts: number[]; ends: number[] }>();

  constructor(objectives: readonly Objective[]) {
    for (const objective of objectives) {
      if (
        objective.class === null ||
        objective.withinS === null ||
        (objective.kind !== 'wait' && objective.kind !== 'finished')
      )
        continue;
      let classObjectives = this.byClass.get(objective.class);
      if (!classObjectives) {
        classObjectives = { starts: [], ends: [] };
        this.byClass.set(objective.class, classObjectives);
      }
      (objective.kind === 'wait' ? classObjectives.starts : classObjectives.ends).push(objective.withinS);
    }
  }

  /**
   * Returns the rank of a job; `ageS` is the time since its acceptance, `runS` the expected run time of a
   * task, in seconds.
   */
  rank(spec: Pick<JobSpec, 'class' | 'deadlineS'>, ageS: number, runS: number): number {
    // A job that was accepted with a deadline from its user is never put off for others.
    if (spec.deadlineS !== null)
      return spec.deadlineS - runS - START_DELAY_S - ageS < LAST_CHANCE_WINDOW_S
        ? SLO_RANKS.lastChance
        : SLO_RANKS.allReachable;
    const objectives = this.byClass.get(spec.class);
    if (!objectives || ageS > MAX_DEFERRAL_FACTOR * Math.max(...objectives.starts, ...objectives.ends))
      return SLO_RANKS.allReachable;
    let missed = 0;
    let nearestS = Number.POSITIVE_INFINITY;
    const consider = (latestS: number) => {
      const leftS = latestS - START_DELAY_S - ageS;
      if (leftS < 0) missed++;
      else nearestS = Math.min(nearestS, leftS);
    };
    for (const s of objectives.starts) consider(s);
    for (const e of objectives.ends) consider(e - runS);
    if (missed === 0) return SLO_RANKS.allReachable;
    if (nearestS === Number.POSITIVE_INFINITY) return SLO_RANKS.allMissed;
    return nearestS < LAST_CHANCE_WINDOW_S ? SLO_RANKS.lastChance : SLO_RANKS.someMissed;
  }

  /**
   * Returns the objective that a job can still meet with the latest start: the time since its acceptance
   * within which the objective has to be met, and the latest start for that, in seconds. Returns null when
   * its class has no objectives.
   */
  lastReachable(spec: Pick<JobSpec, 'class'>, runS: number): { withinS: number; latestS: number } | null {
    const objectives = this.byClass.get(spec.class);
    if (!objectives) return null;
    let last: { withinS: number; latestS: number } | null = null;
    const consider = (withinS: number, latestS: number) => {
      if (!last || latestS > last.latestS) last = { withinS, latestS };
    };
    for (const s of objectives.starts) consider(s, s - START_DELAY_S);
    for (const e of objectives.ends) consider(e, e - runS - START_DELAY_S);
    return last;
  }

  /**
   * Returns the ranks of waiting jobs at a wall-clock time. A gang starts as a whole, so it meets or misses
   * its objectives at once. An array ends with its last task: deferring the rest of it would lose more than
   * it gains.
   */
  ranks(jobs: readonly Job[], wall: number, runS: (spec: JobSpec) => number): Map<Job, number> {
    const ranks = new Map<Job, number>();
    for (const job of jobs) {
      // An aged job has waited long enough, whichever objectives it has missed.
      const gang = job.spec.kind === 'gang' && !job.aged;
      const ageS = (wall - job.acceptedWall) / 1000;
      ranks.set(job, gang ? this.rank(job.spec, ageS, runS(job.spec)) : SLO_RANKS.allReachable);
    }
    return ranks;
  }
}
