import type { Amounts } from './capacityprofile.js';
import type { PlanJob, Reservation } from './model.js';
import { MAX_RESERVATIONS, type ReservationTable } from './reservationtable.js';

/** A machine has capacity at this moment when a task fits for so long, in seconds. */
const INSTANT_S = 1e-3;

/** Starts tasks now that were to start later or have no reservation, where they fit beside all that is reserved. */
export class Backfilling {
  /** For `reserveNow`: machines with capacity at this moment for the first job that it was called with. */
  private machinesWithCapacityNow: readonly number[] | null = null;

  constructor(private readonly table: ReservationTable) {}

  /**
   * Limited backfilling: a task reserved for later starts now on another machine if it fits there beside all that is
   * reserved, so that no other task moves.
   */
  startEarly(): void {
    const { table } = this;
    let job: PlanJob | null = null;
    let open: number[] = [];
    const withCapacity = this.machinesWithCapacityFor(
      table.reservations.filter((r) => r.start > table.now).map((r) => r.job),
    );
    for (const r of table.reservations) {
      if (r.start <= table.now || r.job.kind === 'gang' || table.earliestStart(r.job) > table.now) continue;
      if (r.job !== job) {
        job = r.job;
        open = this.machinesOpenNow(job, withCapacity);
      }
      if (open.length > 0) this.pullForward(r, open);
    }
  }

  /** As `Plan.reserveNow`, for arrays and services. */
  reserveNow(job: PlanJob): number {
    if (job.oneZone || job.spread) return 0;
    const { table } = this;
    this.machinesWithCapacityNow ??= this.machinesWithCapacityFor([job]);
    const team = table.teams.get(job.team);
    let placed = 0;
    for (const m of this.machinesOpenNow(job, this.machinesWithCapacityNow)) {
      const span = table.spanOn(job, m);
      let count = table.profiles[m]!.capacityFor(table.now, span, job.need, job.tasks.length - placed);
      if (team) count = Math.min(count, team.capacityFor(table.now, span, job.need, count));
      for (; count > 0; count--) {
        const task = job.tasks[placed++]!;
        table.reserve({ job, task, machine: m, start: table.now, end: table.now + span });
      }
      if (placed === job.tasks.length) break;
    }
    return placed;
  }

  /**
   * Machines that have capacity at this moment for the smallest of what tasks of these jobs take. A full fleet has few of
   * them, so that a swarm of small jobs does not look at every machine for each.
   */
  private machinesWithCapacityFor(jobs: readonly PlanJob[]): number[] {
    const { table } = this;
    const infinite = Number.POSITIVE_INFINITY;
    const least: Amounts = { cpus: infinite, gpus: infinite, memoryGb: infinite };
    for (const { need } of jobs) {
      least.cpus = Math.min(least.cpus, need.cpus);
      least.gpus = Math.min(least.gpus, need.gpus);
      least.memoryGb = Math.min(least.memoryGb, need.memoryGb);
    }
    const machines: number[] = [];
    if (jobs.length === 0) return machines;
    for (let m = 0; m < table.machines.length; m++) {
      if (table.machines[m]!.quarantined) continue;
      table.probes++;
      if (table.profiles[m]!.capacityFor(table.now, INSTANT_S, least, 1) > 0) machines.push(m);
    }
    return machines;
  }

  /** Machines where a task of the job fits from now on, the best first. */
  private machinesOpenNow(job: PlanJob, among: readonly number[]): number[] {
    const { table } = this;
    const open: number[] = [];
    for (const m of among) {
      if (!table.allowed(job, m, job.zone)) continue;
      if (table.profiles[m]!.size >= MAX_RESERVATIONS) continue;
      table.probes++;
      if (table.profiles[m]!.capacityFor(table.now, table.spanOn(job, m), job.need, 1) > 0) open.push(m);
    }
    return open.sort(
      (a, b) =>
        table.unneededGpus(job, a) - table.unneededGpus(job, b) ||
        table.fetchS(job, a) - table.fetchS(job, b) ||
        table.profiles[b]!.load - table.profiles[a]!.load ||
        table.preference(job, b) - table.preference(job, a),
    );
  }

  /** Moves a reservation to now on the first of the open machines where it fits; drops those without capacity from the list. */
  private pullForward(r: Reservation, open: number[]): void {
    const { table } = this;
    const zone = this.fixedZone(r);
    table.withdraw(r);
    for (let i = 0; i < open.length; i++) {
      const m = open[i]!;
      if (zone !== null && table.machines[m]!.zone !== zone) continue;
      const span = table.spanOn(r.job, m);
      const end = table.now + span;
      if (end > r.job.deadline && end > r.end) continue;
      table.probes++;
      if (table.profiles[m]!.capacityFor(table.now, span, r.job.need, 1) === 0) {
        open.splice(i--, 1);
        continue;
      }
      const team = table.teams.get(r.job.team);
      if (team && team.capacityFor(table.now, span, r.job.need, 1) === 0) break;
      r.machine = m;
      r.start = table.now;
      r.end = end;
      break;
    }
    table.apply(r);
  }

  private fixedZone(r: Reservation): number | null {
    // A job held to one zone or spread over zones keeps the zone that its reservation has.
    return r.job.oneZone || r.job.spread ? this.table.machines[r.machine]!.zone : r.job.zone;
  }
}
