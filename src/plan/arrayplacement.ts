import type { CapacityProfile } from './capacityprofile.js';
import type { PlanJob, PreviousPlacement } from './model.js';
import { MAX_RESERVATIONS, type ReservationTable } from './reservationtable.js';

/**
 * Maximum number of tasks of one job that get reservations; the finish of the remaining tasks is estimated.
 */
export const MAX_RESERVED_TASKS = 256;
/** Start time of a task on a machine where it cannot start. */
const NEVER = Number.POSITIVE_INFINITY;

/** Number of tasks per zone of a job that is spread over zones, and the maximum that each zone may hold. */
interface ZoneSpread {
  readonly perZone: Map<number, number>;
  readonly maxPerZone: number;
}

/**
 * Places the tasks of arrays and services one at a time. All tasks of a job are alike, so the earliest start
 * is computed once per job and machine, and recomputed only for a machine that has received a reservation
 * since.
 */
export class ArrayPlacement {
  /** Earliest start and duration on each machine, by machine index, for the job that is being placed. */
  private readonly starts: Float64Array;
  private readonly spans: Float64Array;

  constructor(private readonly table: ReservationTable) {
    this.starts = new Float64Array(table.machines.length);
    this.spans = new Float64Array(table.machines.length);
  }

  /**
   * Reserves capacity for all unstarted tasks of a job. Each task goes to the most loaded machine that meets
   * the deadline, at the earliest start there; if no machine meets it, to the machine where it ends first.
   * Uses only machines in `zone` unless it is null. Returns the end of the last task, or null when a task
   * cannot be placed.
   */
  reserve(job: PlanJob, zone: number | null): number | null {
    const { table } = this;
    const spread: ZoneSpread = { perZone: new Map(job.placedByZone), maxPerZone: Math.ceil(job.total / 2) };
    const tasks = tasksToReserve(job, zone, spread);
    const team = table.teams.get(job.team);
    const first = table.earliestStart(job);
    const longest = this.estimateAll(job, zone, first);
    let teamFrom = first;
    let finish = first;
    let machineIndex = -1;
    let start = NEVER;
    for (const task of tasks) {
      if (team) {
        const from = team.earliest(teamFrom, longest, job.need);
        if (from === null) return null;
        teamFrom = from;
      }
      // The machine chosen for the previous task is even more loaded now, so it stays the best choice as long
      // as the next task could start there at the same time. Thousands of tiny tasks then need not each scan
      // all machines.
      const isStillBest =
        machineIndex >= 0 &&
        this.starts[machineIndex] === start &&
        !job.spread &&
        (!team || team.earliest(Math.max(start, teamFrom), this.spans[machineIndex]!, job.need) === start);
      if (!isStillBest) machineIndex = this.bestMachineFor(job, job.spread ? spread : null, teamFrom, team);
      if (machineIndex < 0) return null;
      start = this.starts[machineIndex]!;
      const end = start + this.spans[machineIndex]!;
      table.reserve({ job, task, machine: machineIndex, start, end });
      this.estimate(job, machineIndex, start);
      const { zone: taskZone } = table.machines[machineIndex]!;
      spread.perZone.set(taskZone, (spread.perZone.get(taskZone) ?? 0) + 1);
      finish = Math.max(finish, end);
    }
    // Extrapolates to the tasks without a reservation: they are assumed to proceed at the same pace.
    return first + (finish - first) * Math.max(1, job.tasks.length / Math.max(1, tasks.length));
  }

  /**
   * Repeats the reservations that an earlier plan made for the tasks of a job, where they still fit. Returns
   * the remaining tasks; these are all tasks for a job that is restricted to one zone or spread over zones.
   */
  keep(job: PlanJob, previous: ReadonlyMap<number, PreviousPlacement>): number[] {
    if (job.oneZone || job.spread) return job.tasks;
    const { table } = this;
    const team = table.teams.get(job.team);
    const remaining: number[] = [];
    for (const task of job.tasks) {
      const placement = previous.get(task);
      if (
        !placement ||
        placement.start <= table.earliestStart(job) ||
        !table.allowed(job, placement.machine, job.zone)
      ) {
        remaining.push(task);
        continue;
      }
      const spanS = table.spanOn(job, placement.machine);
      table.probes++;
      const fits =
        table.profiles[placement.machine]!.capacityFor(placement.start, spanS, job.need, 1) > 0 &&
        (!team || team.capacityFor(placement.start, spanS, job.need, 1) > 0);
      if (fits)
        table.reserve({
          job,
          task,
          machine: placement.machine,
          start: placement.start,
          end: placement.start + spanS,
        });
      else remaining.push(task);
    }
    return remaining;
  }

  /** Computes the earliest start on every machine; returns the longest duration of a task on any of them. */
  private estimateAll(job: PlanJob, zone: number | null, from: number): number {
    let longest = 0;
    for (let machineIndex = 0; machineIndex < this.starts.length; machineIndex++) {
      this.starts[machineIndex] = NEVER;
      if (!this.table.allowed(job, machineIndex, zone)) continue;
      this.spans[machineIndex] = this.table.spanOn(job, machineIndex);
      longest = Math.max(longest, this.spans[machineIndex]!);
      this.estimate(job, machineIndex, from);
    }
    return longest;
  }

  private estimate(job: PlanJob, machineIndex: number, from: number): void {
    const profile = this.table.profiles[machineIndex]!;
    const full = profile.size >= MAX_RESERVATIONS;
    this.table.probes++;
    this.starts[machineIndex] = full
      ? NEVER
      : (profile.earliest(from, this.spans[machineIndex]!, job.need) ?? NEVER);
  }

  /** Returns the index of the best machine for the next task by the computed starts; -1 when none is left. */
  private bestMachineFor(
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
        if (spread && (spread.perZone.get(machines[m]!.zone) ?? 0) >= spread.maxPerZone) continue;
        if (best < 0 || this.ranksBefore(job, m, best)) best = m;
      }
      if (best < 0 || !team) return best;
      // The team's limit may allow the task only later; the start on this machine is then recomputed.
      const start = this.starts[best]!;
      this.table.probes++;
      const allowed = team.earliest(Math.max(start, teamFrom), this.spans[best]!, job.need) ?? NEVER;
      if (allowed === start) return best;
      if (allowed === NEVER) this.starts[best] = NEVER;
      else this.estimate(job, best, allowed);
    }
  }

  /** Returns whether machine `first` is preferred to machine `second` for a task of the job. */
  private ranksBefore(job: PlanJob, first: number, second: number): boolean {
    const { table } = this;
    const firstEnd = this.starts[first]! + this.spans[first]!;
    const secondEnd = this.starts[second]! + this.spans[second]!;
    const firstIsLate = firstEnd > job.deadline;
    if (firstIsLate !== secondEnd > job.deadline) return !firstIsLate;
    if (firstIsLate)
      return firstEnd < secondEnd || (firstEnd === secondEnd && this.starts[first]! < this.starts[second]!);
    const waste = table.unneededGpus(job, first) - table.unneededGpus(job, second);
    if (waste !== 0) return waste < 0;
    // Only a task that starts now has to wait for the image; for a later start the image may already be
    // cached by then.
    const firstFetchS = this.starts[first]! > table.now ? 0 : table.fetchS(job, first);
    const secondFetchS = this.starts[second]! > table.now ? 0 : table.fetchS(job, second);
    if (firstFetchS !== secondFetchS) return firstFetchS < secondFetchS;
    const load = table.profiles[first]!.load - table.profiles[second]!.load;
    if (load !== 0) return load > 0;
    const preference = table.preference(job, first) - table.preference(job, second);
    return preference > 0 || (preference === 0 && this.starts[first]! < this.starts[second]!);
  }
}

/** Returns the first tasks of a job, up to the maximum number of reservations. */
function tasksToReserve(job: PlanJob, zone: number | null, { perZone, maxPerZone }: ZoneSpread): number[] {
  // A job with both `oneZone` and `spread` can run only half of its tasks at a time; the other half runs
  // after them.
  const max = job.oneZone && job.spread ? maxPerZone - (perZone.get(zone ?? -1) ?? 0) : MAX_RESERVED_TASKS;
  return job.tasks.slice(0, Math.max(0, Math.min(MAX_RESERVED_TASKS, max)));
}
