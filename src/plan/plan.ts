// This package computes the plan: pure functions of machines and jobs, without I/O.

import { ArrayPlacement } from './arrayplacement.js';
import { Backfilling } from './backfilling.js';
import type { Amounts } from './capacityprofile.js';
import { GangPlacement } from './gangplacement.js';
import type { PlanJob, PlanMachine, PreviousPlacement, Reservation, TeamCap } from './model.js';
import { ReservationTable } from './reservationtable.js';

export { MAX_RESERVED_TASKS } from './arrayplacement.js';

/** Late reservations of one job, and the time by which its tasks should start, in seconds. */
export interface LateGroup {
  readonly job: PlanJob;
  readonly reservations: readonly Reservation[];
  readonly by: number;
}

/**
 * Plan of one shard: the reservations on each machine over time. It is rebuilt from the tasks that the
 * machines run and the accepted jobs in their order, so that each plan corrects the previous one by the
 * latest heartbeats. Times are seconds on the monotonic clock.
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

  /** Number of capacity profile queries so far; measures the cost of the plan. */
  get probes(): number {
    return this.table.probes;
  }

  /** Counts the resources that unreported machines may hold against every team's limit, until `end`. */
  reserveUnreconciled(need: Amounts, end: number): void {
    for (const team of this.table.teams.values()) team.add(this.table.now, end, need);
  }

  /**
   * Reserves capacity for all unstarted tasks of a job. Each task goes to the most loaded machine that meets
   * the deadline, at the earliest start there; if no machine meets it, to the machine where it ends first.
   * Returns the end of the last task, or null when a task cannot be placed.
   */
  reserve(job: PlanJob): number | null {
    if (job.kind === 'gang') return this.gangs.reserve(job);
    if (!job.oneZone) return this.arrays.reserve(job, job.zone);
    const occupied = [...job.placedByZone.keys()];
    if (occupied.length > 0) return this.arrays.reserve(job, occupied[0]!);
    let best: { zone: number; finish: number } | null = null;
    for (const zone of this.table.zonesOf(job)) {
      const initialCount = this.reservations.length;
      const finish = this.arrays.reserve(job, zone);
      this.undo(initialCount);
      if (finish !== null && (!best || finish < best.finish)) best = { zone, finish };
    }
    return best ? this.arrays.reserve(job, best.zone) : null;
  }

  /**
   * Repeats the reservations that an earlier plan made for a job, which costs little and keeps the job in
   * place. Returns the tasks that are left; for a gang that no longer fits there as a whole these are all
   * tasks. A gang that could start now does so instead.
   */
  keepReservations(job: PlanJob, previous: ReadonlyMap<number, PreviousPlacement>): number[] {
    return job.kind === 'gang' ? this.gangs.keep(job, previous) : this.arrays.keep(job, previous);
  }

  /**
   * Reserves capacity from now on for those unstarted tasks of a job that fit next to all existing
   * reservations, each on the most loaded suitable machine, and leaves the others to a later plan. Meant for
   * the end of a long queue, where reserving ahead for every task costs more than it is worth. Returns the
   * number of tasks placed.
   */
  reserveNow(job: PlanJob): number {
    if (job.kind === 'gang') return this.gangs.reserveNow(job) ? job.tasks.length : 0;
    return this.backfilling.reserveNow(job);
  }

  /** Returns the earliest finish of a job that the plan allows, without reserving anything. */
  earliestFinish(job: PlanJob): number | null {
    const initialCount = this.reservations.length;
    const finish = this.reserve({ ...job, deadline: Number.NEGATIVE_INFINITY });
    this.undo(initialCount);
    return finish;
  }

  /**
   * Returns, for each group of late reservations, how many of the tasks could not start by `by` on any
   * existing machine. A task goes to the most loaded machine that meets its deadline, so it may be reserved
   * for late while other machines boot or are empty: only the tasks counted here justify renting. All
   * reservations stay as they are.
   */
  countUnavoidablyLateTasks(groups: readonly LateGroup[]): number[] {
    const initialCount = this.reservations.length;
    const withdrawn: Reservation[] = [];
    const counts = groups.map(({ job, reservations, by }) => {
      // A gang is already reserved at the earliest start that any machines allow.
      if (job.kind === 'gang') return reservations.length;
      for (const reservation of reservations) {
        this.table.withdraw(reservation);
        withdrawn.push(reservation);
      }
      const countBefore = this.reservations.length;
      this.reserve({
        ...job,
        tasks: reservations.map((reservation) => reservation.task),
        deadline: Number.NEGATIVE_INFINITY,
      });
      let inTime = 0;
      for (let i = countBefore; i < this.reservations.length; i++)
        if (this.reservations[i]!.start <= by) inTime++;
      return reservations.length - inTime;
    });
    this.undo(initialCount);
    for (const reservation of withdrawn) this.table.apply(reservation);
    return counts;
  }

  /** Withdraws all reservations beyond the first `initialCount`. */
  undo(initialCount: number): void {
    this.table.undo(initialCount);
  }

  /**
   * Moves tasks that are reserved for later to start now on other machines, where no other task has to move.
   */
  startEarly(): void {
    this.backfilling.startEarly();
  }
}
