import { CapacityProfile, fitCount } from './capacityprofile.js';
import type { PlanJob, PlanMachine, Reservation, TeamCap } from './model.js';

/** Maximum number of reservations on a machine; beyond it the plan adds none there. */
export const MAX_RESERVATIONS = 48;
/** Duration of a service in the plan; it runs until it is cancelled. */
const FOREVER_S = 1e9;
/** Minimum run time of a task in the plan. */
const MIN_RUN_S = 0.5;

/**
 * Reservations of each machine and team, and the rules for placing a job. Times are seconds on the monotonic
 * clock.
 */
export class ReservationTable {
  /** Reservations in the order in which they were made. */
  readonly reservations: Reservation[] = [];
  /** Number of capacity profile queries so far; measures the cost of a plan. */
  probes = 0;
  /** Reserved use of each machine, by machine index. */
  readonly profiles: readonly CapacityProfile[];
  /** Reserved use of each team that has a limit, by team index. */
  readonly teams: ReadonlyMap<number, CapacityProfile>;

  constructor(
    readonly now: number,
    readonly machines: readonly PlanMachine[],
    teamCaps: readonly TeamCap[],
  ) {
    const teams = new Map<number, CapacityProfile>();
    teamCaps.forEach((cap, team) => {
      if (cap.cpus > 0 || cap.gpus > 0) teams.set(team, teamProfile(cap, now));
    });
    this.teams = teams;
    this.profiles = machines.map((m) => {
      const profile = new CapacityProfile(m.size, now, Math.max(now, m.readyAt), m.until);
      for (const reservation of m.running) {
        profile.add(now, reservation.end, reservation.need);
        teams.get(reservation.team)?.add(now, reservation.end, reservation.need);
      }
      return profile;
    });
  }

  reserve(reservation: Reservation): void {
    this.reservations.push(reservation);
    this.apply(reservation);
  }

  /** Withdraws all reservations beyond the first `initialCount`. */
  undo(initialCount: number): void {
    while (this.reservations.length > initialCount) this.withdraw(this.reservations.pop()!);
  }

  /** Counts a reservation that is already in the list as use. */
  apply(reservation: Reservation): void {
    this.profiles[reservation.machine]!.add(reservation.start, reservation.end, reservation.job.need);
    this.teams.get(reservation.job.team)?.add(reservation.start, reservation.end, reservation.job.need);
  }

  /** Stops counting a reservation as use; it stays in the list. */
  withdraw(reservation: Reservation): void {
    this.profiles[reservation.machine]!.remove(reservation.start, reservation.end, reservation.job.need);
    this.teams.get(reservation.job.team)?.remove(reservation.start, reservation.end, reservation.job.need);
  }

  /** Returns the earliest time at which a job may start. */
  earliestStart(job: PlanJob): number {
    return Math.max(this.now, job.earliestStart ?? this.now);
  }

  /** Returns the zones in which a job may run. */
  zonesOf(job: PlanJob): number[] {
    if (job.zone !== null) return [job.zone];
    return [...new Set(this.machines.map((m) => m.zone))];
  }

  /** Returns whether a machine may run tasks of a job; in `zone` only, unless it is null. */
  allowed(job: PlanJob, machineIndex: number, zone: number | null): boolean {
    const machine = this.machines[machineIndex]!;
    if (machine.quarantined) return false;
    if (job.types && !job.types.has(machine.type)) return false;
    if (machine.spot && !job.spot) return false;
    if ((zone !== null && machine.zone !== zone) || (job.zone !== null && machine.zone !== job.zone))
      return false;
    const { match } = job;
    if (match && !match.kind(machine.type, machine.zone, machine.spot)) return false;
    if (match?.machine && !match.machine(machine)) return false;
    return fitCount(machine.size, job.need, 1) > 0;
  }

  /** Returns how long a machine takes to fetch the image of a job; 0 if it has it cached. */
  fetchS(job: PlanJob, machineIndex: number): number {
    const machine = this.machines[machineIndex]!;
    return machine.images.has(job.image) ? 0 : job.imageGb / machine.fetchGbPerS;
  }

  /** Returns the duration of a task of a job on a machine, including the fetch of the image. */
  spanOn(job: PlanJob, machineIndex: number): number {
    if (job.kind === 'service') return FOREVER_S;
    return this.fetchS(job, machineIndex) + Math.max(MIN_RUN_S, job.runS);
  }

  /**
   * Returns the job's preference for a machine. It decides only between equally loaded machines, which are
   * mostly empty ones.
   */
  preference(job: PlanJob, machineIndex: number): number {
    return job.match?.rank ? job.match.rank(this.machines[machineIndex]!) : 0;
  }

  /**
   * Returns 1 if a machine has GPUs that the job does not need, else 0, to keep GPU machines for jobs that
   * need them.
   */
  unneededGpus(job: PlanJob, machineIndex: number): number {
    return job.need.gpus === 0 && this.machines[machineIndex]!.size.gpus > 0 ? 1 : 0;
  }
}

function teamProfile(cap: TeamCap, now: number): CapacityProfile {
  const size = {
    cpus: cap.cpus > 0 ? cap.cpus : Number.POSITIVE_INFINITY,
    gpus: cap.gpus > 0 ? cap.gpus : Number.POSITIVE_INFINITY,
    memoryGb: Number.POSITIVE_INFINITY,
  };
  return new CapacityProfile(size, now, now, Number.POSITIVE_INFINITY);
}
