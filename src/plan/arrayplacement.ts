import type { CapacityProfile } from './capacityprofile.js';
import type { PlanJob, PreviousPlacement } from './model.js';
import { MAX_RESERVATIONS, type ReservationTable } from './reservationtable.js';

/** Beyond so many tasks of one job, the rest is estimated instead of reserved. */
export const MAX_RESERVED_TASKS = 256;
/** No start on this machine. */
const NEVER = Number.POSITIVE_INFINITY;

/** How many tasks of a job that is spread over zones each zone has, and how many it may have. */
interface ZoneSpread {
  readonly perZone: Map<number, number>;
  readonly half: number;
}

/**
 * Places the tasks of arrays and services one by one. The tasks of a job are alike, so where one could go is worked out once per
 * job and machine, and again only for a machine on which something has been reserved meanwhile.
 */
export class ArrayPlacement {
  /** Of the job being placed: when a task could start on each machine, and how long it would take there. */
  private readonly starts: Float64Array;
  private readonly spans: Float64Array;

  constructor(private readonly table: ReservationTable) {
    this.starts = new Float64Array(table.machines.length);
    this.spans = new Float64Array(table.machines.length);
  }

  /**
   * Reserves for all unstarted tasks of a job, each on the most loaded machine that meets the deadline, as early as possible
   * there; where none meets it, where it ends first. In one zone if one is given. Returns when the last one ends, or null when
   * one finds no place.
   */
  reserve(job: PlanJob, zone: number | null): number | null {
    const { table } = this;
    const spread: ZoneSpread = { perZone: new Map(job.present), half: Math.ceil(job.total / 2) };
    const tasks = tasksToReserve(job, zone, spread);
    const team = table.teams.get(job.team);
    const first = table.earliestStart(job);
    const longest = this.estimateAll(job, zone, first);
    let teamFrom = first;
    let finish = first;
    let m = -1;
    let start = NEVER;
    for (const task of tasks) {
      if (team) {
        const from = team.earliest(teamFrom, longest, job.need);
        if (from === null) return null;
        teamFrom = from;
      }
      // The machine that was the best is more loaded now: as long as the next task could start there at the same moment,
      // it still is, and tiny tasks by the thousand do not each look at all machines.
      const isStillBest =
        m >= 0 &&
        this.starts[m] === start &&
        !job.spread &&
        (!team || team.earliest(Math.max(start, teamFrom), this.spans[m]!, job.need) === start);
      if (!isStillBest) m = this.bestFor(job, job.spread ? spread : null, teamFrom, team);
      if (m < 0) return null;
      start = this.starts[m]!;
      const end = start + this.spans[m]!;
      table.reserve({ job, task, machine: m, start, end });
      this.estimate(job, m, start);
      const { zone: taskZone } = table.machines[m]!;
      spread.perZone.set(taskZone, (spread.perZone.get(taskZone) ?? 0) + 1);
      finish = Math.max(finish, end);
    }
    // The tasks beyond those reserved take their time at the same pace.
    return first + (finish - first) * Math.max(1, job.tasks.length / Math.max(1, tasks.length));
  }

  /**
   * Reserves for the tasks of a job again where an earlier plan had them, as far as they still fit. Returns the other tasks, for
   * a job that is held to one zone or spread over zones all of them.
   */
  keep(job: PlanJob, previous: ReadonlyMap<number, PreviousPlacement>): number[] {
    if (job.oneZone || job.spread) return job.tasks;
    const { table } = this;
    const team = table.teams.get(job.team);
    const left: number[] = [];
    for (const task of job.tasks) {
      const p = previous.get(task);
      if (!p || p.start <= table.earliestStart(job) || !table.allowed(job, p.machine, job.zone)) {
        left.push(task);
        continue;
      }
      const span = table.spanOn(job, p.machine);
      table.probes++;
      const fits =
        table.profiles[p.machine]!.capacityFor(p.start, span, job.need, 1) > 0 &&
        (!team || team.capacityFor(p.start, span, job.need, 1) > 0);
      if (fits) table.reserve({ job, task, machine: p.machine, start: p.start, end: p.start + span });
      else left.push(task);
    }
    return left;
  }

  /** Works out for all machines when a task could start there; returns how long it takes where it takes the longest. */
  private estimateAll(job: PlanJob, zone: number | null, from: number): number {
    let longest = 0;
    for (let m = 0; m < this.starts.length; m++) {
      this.starts[m] = NEVER;
      if (!this.table.allowed(job, m, zone)) continue;
      this.spans[m] = this.table.spanOn(job, m);
      longest = Math.max(longest, this.spans[m]!);
      this.estimate(job, m, from);
    }
    return longest;
  }

  private estimate(job: PlanJob, m: number, from: number): void {
    const profile = this.table.profiles[m]!;
    const full = profile.size >= MAX_RESERVATIONS;
    this.table.probes++;
    this.starts[m] = full ? NEVER : (profile.earliest(from, this.spans[m]!, job.need) ?? NEVER);
  }

  /** The machine that the next task goes to, by what is known of when it could start on each; -1 when there is none. */
  private bestFor(
    job: PlanJob,
    spread: ZoneSpread | null,
    teamFrom: number,
    team: CapacityProfile | undefined,
  ): number {
    const { machines } = this.table;
    for (;;) {
      let best = -1;
      for (let m = 0; m < machines.length; m++) {
        if (this.starts[m] === NEVER) continue;
        if (spread && (spread.perZone.get(machines[m]!.zone) ?? 0) >= spread.half) continue;
        if (best < 0 || this.ranksBefore(job, m, best)) best = m;
      }
      if (best < 0 || !team) return best;
      // The team's limit may allow the task only later; then that machine is weighed anew.
      const start = this.starts[best]!;
      this.table.probes++;
      const allowed = team.earliest(Math.max(start, teamFrom), this.spans[best]!, job.need) ?? NEVER;
      if (allowed === start) return best;
      if (allowed === NEVER) this.starts[best] = NEVER;
      else this.estimate(job, best, allowed);
    }
  }

  /** Whether a task goes rather to machine `a` than to `b`. */
  private ranksBefore(job: PlanJob, a: number, b: number): boolean {
    const { table } = this;
    const endA = this.starts[a]! + this.spans[a]!;
    const endB = this.starts[b]! + this.spans[b]!;
    const lateA = endA > job.deadline;
    if (lateA !== endB > job.deadline) return !lateA;
    if (lateA) return endA < endB || (endA === endB && this.starts[a]! < this.starts[b]!);
    const waste = table.unneededGpus(job, a) - table.unneededGpus(job, b);
    if (waste !== 0) return waste < 0;
    // An image matters only to a task that starts now; one that is to start later may well find it fetched.
    const fetchA = this.starts[a]! > table.now ? 0 : table.fetchS(job, a);
    const fetchB = this.starts[b]! > table.now ? 0 : table.fetchS(job, b);
    if (fetchA !== fetchB) return fetchA < fetchB;
    const load = table.profiles[a]!.load - table.profiles[b]!.load;
    if (load !== 0) return load > 0;
    const preference = table.preference(job, a) - table.preference(job, b);
    return preference > 0 || (preference === 0 && this.starts[a]! < this.starts[b]!);
  }
}

/** The first tasks of a job, up to a bound. */
function tasksToReserve(job: PlanJob, zone: number | null, { perZone, half }: ZoneSpread): number[] {
  // Of a job that is held to one zone and spread as well, half can run at once, and the others after them.
  const max = job.oneZone && job.spread ? half - (perZone.get(zone ?? -1) ?? 0) : MAX_RESERVED_TASKS;
  return job.tasks.slice(0, Math.max(0, Math.min(MAX_RESERVED_TASKS, max)));
}
