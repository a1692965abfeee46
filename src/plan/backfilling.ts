import type { Amounts } from './capacityprofile.js';
import type { PlanJob, Reservation } from './model.js';
import { MAX_RESERVATIONS, type ReservationTable } from './reservationtable.js';

/** A machine has capacity now if a task fits for at least this long, in seconds. */
const MIN_FREE_SPAN_S = 1e-3;

/**
 * Starts tasks now that are reserved for later or not reserved at all, where they fit without delaying any
 * reservation.
 */
export class Backfilling {
  /** Indices of the machines with capacity now for the first job passed to `reserveNow`. */
  private machinesWithCapacityNow: readonly number[] | null = null;

  constructor(private readonly table: ReservationTable) {}

  /**
   * Backfills conservatively: starts a task that is reserved for later now on another machine if it fits next
   * to all existing reservations, so that no other task moves.
   */
  startEarly(): void {
    const { table } = this;
    let job: PlanJob | null = null;
    let openMachines: number[] = [];
    const withCapacity = this.machinesWithCapacityFor(
      table.reservations
        .filter((reservation) => reservation.start > table.now)
        .map((reservation) => reservation.job),
    );
    for (const reservation of table.reservations) {
      if (
        reservation.start <= table.now ||
        reservation.job.kind === 'gang' ||
        table.earliestStart(reservation.job) > table.now
      )
        continue;
      if (reservation.job !== job) {
        job = reservation.job;
        openMachines = this.openMachinesFor(job, withCapacity);
      }
      if (openMachines.length > 0) this.moveToNow(reservation, openMachines);
    }
  }

  /** Implements `Plan.reserveNow` for arrays and services. */
  reserveNow(job: PlanJob): number {
    if (job.oneZone || job.spread) return 0;
    const { table } = this;
    this.machinesWithCapacityNow ??= this.machinesWithCapacityFor([job]);
    const team = table.teams.get(job.team);
    let placed = 0;
    for (const machineIndex of this.openMachinesFor(job, this.machinesWithCapacityNow)) {
      const span = table.spanOn(job, machineIndex);
      let count = table.profiles[machineIndex]!.capacityFor(
        table.now,
        span,
        job.need,
        job.tasks.length - placed,
      );
      if (team) count = Math.min(count, team.capacityFor(table.now, span, job.need, count));
      for (; count > 0; count--) {
        const task = job.tasks[placed++]!;
        table.reserve({ job, task, machine: machineIndex, start: table.now, end: table.now + span });
      }
      if (placed === job.tasks.length) break;
    }
    return placed;
  }

  /**
   * Returns the machines with capacity now for the smallest requirements among the tasks of these jobs. A
   * full fleet has few such machines, so a large number of small jobs need not each scan every machine.
   */
  private machinesWithCapacityFor(jobs: readonly PlanJob[]): number[] {
    const { table } = this;
    const infinite = Number.POSITIVE_INFINITY;
    const smallestNeed: Amounts = { cpus: infinite, gpus: infinite, memoryGb: infinite };
    for (const { need } of jobs) {
      smallestNeed.cpus = Math.min(smallestNeed.cpus, need.cpus);
      smallestNeed.gpus = Math.min(smallestNeed.gpus, need.gpus);
      smallestNeed.memoryGb = Math.min(smallestNeed.memoryGb, need.memoryGb);
    }
    const machines: number[] = [];
    if (jobs.length === 0) return machines;
    for (let m = 0; m < table.machines.length; m++) {
      if (table.machines[m]!.quarantined) continue;
      table.probes++;
      if (table.profiles[m]!.capacityFor(table.now, MIN_FREE_SPAN_S, smallestNeed, 1) > 0) machines.push(m);
    }
    return machines;
  }

  /** Returns the machines where a task of the job fits from now on, best first. */
  private openMachinesFor(job: PlanJob, candidates: readonly number[]): number[] {
    const { table } = this;
    const openMachines: number[] = [];
    for (const m of candidates) {
      if (!table.allowed(job, m, job.zone)) continue;
      if (table.profiles[m]!.size >= MAX_RESERVATIONS) continue;
      table.probes++;
      if (table.profiles[m]!.capacityFor(table.now, table.spanOn(job, m), job.need, 1) > 0)
        openMachines.push(m);
    }
    return openMachines.sort(
      (a, b) =>
        table.unneededGpus(job, a) - table.unneededGpus(job, b) ||
        table.fetchS(job, a) - table.fetchS(job, b) ||
        table.profiles[b]!.load - table.profiles[a]!.load ||
        table.preference(job, b) - table.preference(job, a),
    );
  }

  /**
   * Moves a reservation to start now on the first open machine where it fits; removes machines without
   * capacity from the list.
   */
  private moveToNow(reservation: Reservation, openMachines: number[]): void {
    const { table } = this;
    const zone = this.fixedZone(reservation);
    table.withdraw(reservation);
    for (let i = 0; i < openMachines.length; i++) {
      const machineIndex = openMachines[i]!;
      if (zone !== null && table.machines[machineIndex]!.zone !== zone) continue;
      const span = table.spanOn(reservation.job, machineIndex);
      const end = table.now + span;
      if (end > reservation.job.deadline && end > reservation.end) continue;
      table.probes++;
      if (table.profiles[machineIndex]!.capacityFor(table.now, span, reservation.job.need, 1) === 0) {
        openMachines.splice(i--, 1);
        continue;
      }
      const team = table.teams.get(reservation.job.team);
      if (team && team.capacityFor(table.now, span, reservation.job.need, 1) === 0) break;
      reservation.machine = machineIndex;
      reservation.start = table.now;
      reservation.end = end;
      break;
    }
    table.apply(reservation);
  }

  private fixedZone(reservation: Reservation): number | null {
    // A job that is restricted to one zone or spread over zones keeps the zone of its reservation.
    return reservation.job.oneZone || reservation.job.spread
      ? this.table.machines[reservation.machine]!.zone
      : reservation.job.zone;
  }
}
