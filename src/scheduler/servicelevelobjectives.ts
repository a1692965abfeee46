import type { Objective } from '../config/settings.js';
import type { Job } from '../jobs/job.js';
import type { JobSpec } from '../wire/users.js';

/** From a start command to a running task some seconds pass: the heartbeat or push, and mostly a fetch of the image. */
const START_DELAY_S = 8;
/** An objective whose latest start is within so long is near. */
const NEAR_S = 25;
/** After so many times its widest objective a job goes by its acceptance alone, before all that came later. */
const MAX_DEFERRAL_FACTOR = 4;

/** The place of a waiting job, by its objectives, among jobs that are otherwise equal; the lower rank goes first. */
export const SLO_RANKS = { lastChance: 0, allReachable: 1, someMissed: 2, allMissed: 3 } as const;

/**
 * Where more urgent jobs wait than machines can start in time, the order of acceptance makes all of them late: each job
 * waits behind those that have already missed the objectives of their class. So jobs go by the objectives that they can still
 * meet, as the settings state them (`objectives`).
 */
export class ServiceLevelObjectives {
  private readonly byClass = new Map<string, { starts: number[]; ends: number[] }>();

  constructor(objectives: readonly Objective[]) {
    for (const o of objectives) {
      if (o.class === null || o.withinS === null || (o.kind !== 'wait' && o.kind !== 'finished')) continue;
      let known = this.byClass.get(o.class);
      if (!known) {
        known = { starts: [], ends: [] };
        this.byClass.set(o.class, known);
      }
      (o.kind === 'wait' ? known.starts : known.ends).push(o.withinS);
    }
  }

  /** The rank of a job; `ageS` counts from its acceptance, `runS` is how long a task is expected to run, both in seconds. */
  rank(spec: Pick<JobSpec, 'class' | 'deadlineS'>, ageS: number, runS: number): number {
    // A job that was accepted for a deadline of its user's is never put off for others.
    if (spec.deadlineS !== null)
      return spec.deadlineS - runS - START_DELAY_S - ageS < NEAR_S
        ? SLO_RANKS.lastChance
        : SLO_RANKS.allReachable;
    const objectives = this.byClass.get(spec.class);
    if (!objectives || ageS > MAX_DEFERRAL_FACTOR * Math.max(...objectives.starts, ...objectives.ends))
      return SLO_RANKS.allReachable;
    let missed = 0;
    let nextS = Number.POSITIVE_INFINITY;
    const look = (latestS: number) => {
      const leftS = latestS - START_DELAY_S - ageS;
      if (leftS < 0) missed++;
      else nextS = Math.min(nextS, leftS);
    };
    for (const s of objectives.starts) look(s);
    for (const e of objectives.ends) look(e - runS);
    if (missed === 0) return SLO_RANKS.allReachable;
    if (nextS === Number.POSITIVE_INFINITY) return SLO_RANKS.allMissed;
    return nextS < NEAR_S ? SLO_RANKS.lastChance : SLO_RANKS.someMissed;
  }

  /**
   * The objective that a job can meet the longest: within how many seconds of its acceptance it has to be met, and within how
   * many the job has to start for it. Null when its class has none.
   */
  lastReachable(spec: Pick<JobSpec, 'class'>, runS: number): { withinS: number; latestS: number } | null {
    const objectives = this.byClass.get(spec.class);
    if (!objectives) return null;
    let last: { withinS: number; latestS: number } | null = null;
    const look = (withinS: number, latestS: number) => {
      if (!last || latestS > last.latestS) last = { withinS, latestS };
    };
    for (const s of objectives.starts) look(s, s - START_DELAY_S);
    for (const e of objectives.ends) look(e, e - runS - START_DELAY_S);
    return last;
  }

  /**
   * The ranks of waiting jobs at a moment of the time of day. A gang starts as a whole, so that its objectives are missed or
   * met at once. An array ends with its last task: to put off what is left of it loses more than it gains.
   */
  ranks(jobs: readonly Job[], wall: number, runS: (spec: JobSpec) => number): Map<Job, number> {
    const ranks = new Map<Job, number>();
    for (const job of jobs) {
      // A job that has aged has waited long enough, whatever it has missed.
      const gang = job.spec.kind === 'gang' && !job.aged;
      const ageS = (wall - job.acceptedWall) / 1000;
      ranks.set(job, gang ? this.rank(job.spec, ageS, runS(job.spec)) : SLO_RANKS.allReachable);
    }
    return ranks;
  }
}
