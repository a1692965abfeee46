// This package: the plan: pure functions of machines and jobs, no I/O.

import { ArrayPlacement } from './arrayplacement.js';
import { Backfilling } from './backfilling.js';
import type { Amounts } from './capacityprofile.js';
import { GangPlacement } from './gangplacement.js';
import type { PlanJob, PlanMachine, PreviousPlacement, Reservation, TeamCap } from './model.js';
import { ReservationTable } from './reservationtable.js';

export { MAX_RESERVED_TASKS } from './arrayplacement.js';

/** Late reservations of one job, and the moment by which its tasks should start, in seconds. */
export interface LateGroup {
  readonly job: PlanJob;
  readonly reservations: readonly Reservation[];
  readonly by: number;
}

/**
 * The plan of one shard: what is reserved on each machine and when. It is built anew from the tasks that the machines
 * hold and the accepted jobs in their order, which trims it by the reports. Times are seconds on the steady clock.
 */
export class Plan {
  private readonly table: ReservationTable;
  private readonly arrays: ArrayPlacement;
  private readonly gangs: GangPlacement;
  private readonly backfilling: Backfilling;

  constructor(now: number, machines: readonly PlanMachine[], teamCaps: readonly TeamCap[]) {
    this.table = new ReservationTable(now, machines, teamCaps);
    this.arrays = new ArrayPlacement(this.table);
    this.gangs = new GangPlacement(this.table);
    this.backfilling = new Backfilling(this.table);
  }

  /** All reservations, in the order in which they were made. */
  get reservations(): readonly Reservation[] {
    return this.table.reservations;
  }

  /** Walks along a machine's or a team's steps so far: what the plan costs. */
  get probes(): number {
    return this.table.probes;
  }

  /** Counts what machines may hold that have not reported against every team's limit, until `end`. */
  reserveUnreconciled(need: Amounts, end: number): void {
    for (const team of this.table.teams.values()) team.add(this.table.now, end, need);
  }

  /**
   * Reserves for all unstarted tasks of a job, each on the most loaded machine that meets the deadline, as early as possible
   * there; where none meets it, where it ends first. Returns when the last one ends, or null when one finds no place.
   */
  reserve(job: PlanJob): number | null {
    if (job.kind === 'gang') return this.gangs.reserve(job);
    if (!job.oneZone) return this.arrays.reserve(job, job.zone);
    const occupied = [...job.present.keys()];
    if (occupied.length > 0) return this.arrays.reserve(job, occupied[0]!);
    let best: { zone: number; finish: number } | null = null;
    for (const zone of this.table.zonesOf(job)) {
      const mark = this.reservations.length;
      const finish = this.arrays.reserve(job, zone);
      this.undo(mark);
      if (finish !== null && (!best || finish < best.finish)) best = { zone, finish };
    }
    return best ? this.arrays.reserve(job, best.zone) : null;
  }

  /**
   * Reserves for a job again where an earlier plan had it, so that it keeps its place at little cost. Returns the tasks
   * that this leaves: for a gang all of them, when it no longer fits there as a whole. A gang that could start now does.
   */
  keepReservations(job: PlanJob, previous: ReadonlyMap<number, PreviousPlacement>): number[] {
    return job.kind === 'gang' ? this.gangs.keep(job, previous) : this.arrays.keep(job, previous);
  }

  /**
   * Reserves for those unstarted tasks of a job that fit beside all that is reserved from now on, each on the most loaded
   * machine there is for it, and leaves the others for a later plan. For what comes last in a long queue: to reserve for all of
   * it ahead would cost more than it is worth. Returns how many tasks found a place.
   */
  reserveNow(job: PlanJob): number {
    if (job.kind === 'gang') return this.gangs.reserveNow(job) ? job.tasks.length : 0;
    return this.backfilling.reserveNow(job);
  }

  /** The earliest finish of a job that the plan allows; reserves nothing. */
  earliestFinish(job: PlanJob): number | null {
    const mark = this.reservations.length;
    const finish = this.reserve({ ...job, deadline: Number.NEGATIVE_INFINITY });
    this.undo(mark);
    return finish;
  }

  /**
   * Of reservations that start late, how many tasks could start by `by` on no machine there is, for each group. A task goes to
   * the most loaded machine that meets its deadline, so it may be reserved for late while others boot or are empty: only the
   * rest is a reason to rent. All reservations stay as they are.
   */
  countLateTasks(groups: readonly LateGroup[]): number[] {
    const mark = this.reservations.length;
    const lifted: Reservation[] = [];
    const counts = groups.map(({ job, reservations, by }) => {
      // A gang is reserved as early as it fits anywhere.
      if (job.kind === 'gang') return reservations.length;
      for (const r of reservations) {
        this.table.withdraw(r);
        lifted.push(r);
      }
      const before = this.reservations.length;
      this.reserve({ ...job, tasks: reservations.map((r) => r.task), deadline: Number.NEGATIVE_INFINITY });
      let inTime = 0;
      for (let i = before; i < this.reservations.length; i++) if (this.reservations[i]!.start <= by) inTime++;
      return reservations.length - inTime;
    });
    this.undo(mark);
    for (const r of lifted) this.table.apply(r);
    return counts;
  }

  /** Takes back all reservations made since there were `mark` of them. */
  undo(mark: number): void {
    this.table.undo(mark);
  }

  /** Has tasks that are reserved for later start now on other machines, where no other task moves. */
  startEarly(): void {
    this.backfilling.startEarly();
  }
}
