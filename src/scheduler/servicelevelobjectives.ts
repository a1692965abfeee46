import type { Objective } from '../config/settings.js';
import type { Job } from '../jobs/job.js';
import type { JobSpec } from '../wire/users.js';

/** From an order to a start some seconds pass: the report or push, and mostly a fetch. */
const START_DELAY_S = 8;
/** An aim that has to be met within so long is near. */
const NEAR_S = 25;
/** After so many times its widest aim a job goes by its acceptance alone, before all that came later. */
const MAX_DEFERRAL_FACTOR = 4;

/** What a waiting job's aims say of its place among work that is otherwise equal; lower goes first. */
export const SLO_RANKS = { lastChance: 0, allReachable: 1, someMissed: 2, allMissed: 3 } as const;

/**
 * Where more urgent work waits than machines can start in time, the order of acceptance makes all of it late: each job
 * waits behind those that have already missed what their class is for. So work goes by the aims that are still in reach,
 * as the settings state them (`objectives`).
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

  /** `ageS` counts from the acceptance, `runS` is how long a task is expected to run. */
  rank(spec: Pick<JobSpec, 'class' | 'deadlineS'>, ageS: number, runS: number): number {
    // What was accepted for a deadline of its user's is never put off for others.
    if (spec.deadlineS !== null)
      return spec.deadlineS - runS - START_DELAY_S - ageS < NEAR_S
        ? SLO_RANKS.lastChance
        : SLO_RANKS.allReachable;
    const aims = this.byClass.get(spec.class);
    if (!aims || ageS > MAX_DEFERRAL_FACTOR * Math.max(...aims.starts, ...aims.ends))
      return SLO_RANKS.allReachable;
    let lost = 0;
    let next = Number.POSITIVE_INFINITY;
    const look = (latest: number) => {
      const left = latest - START_DELAY_S - ageS;
      if (left < 0) lost++;
      else next = Math.min(next, left);
    };
    for (const s of aims.starts) look(s);
    for (const e of aims.ends) look(e - runS);
    if (lost === 0) return SLO_RANKS.allReachable;
    if (next === Number.POSITIVE_INFINITY) return SLO_RANKS.allMissed;
    return next < NEAR_S ? SLO_RANKS.lastChance : SLO_RANKS.someMissed;
  }

  /** The aim that a job can meet the longest: until when after its acceptance, and by when it has to start for it. */
  lastReachable(spec: Pick<JobSpec, 'class'>, runS: number): { withinS: number; latestS: number } | null {
    const aims = this.byClass.get(spec.class);
    if (!aims) return null;
    let last: { withinS: number; latestS: number } | null = null;
    const look = (withinS: number, latestS: number) => {
      if (!last || latestS > last.latestS) last = { withinS, latestS };
    };
    for (const s of aims.starts) look(s, s - START_DELAY_S);
    for (const e of aims.ends) look(e, e - runS - START_DELAY_S);
    return last;
  }

  /**
   * The ranks of waiting jobs at a moment of the time of day. A gang starts as a whole, so that what it is for is lost or
   * met at once. An array ends with its last task: to put off what is left of it loses more than it gains.
   */
  ranks(jobs: readonly Job[], wall: number, runS: (spec: JobSpec) => number): Map<Job, number> {
    const ranks = new Map<Job, number>();
    for (const job of jobs) {
      // What has aged has waited long enough, whatever it has missed.
      const gang = job.spec.kind === 'gang' && !job.aged;
      const ageS = (wall - job.acceptedWall) / 1000;
      ranks.set(job, gang ? this.rank(job.spec, ageS, runS(job.spec)) : SLO_RANKS.allReachable);
    }
    return ranks;
  }
}
