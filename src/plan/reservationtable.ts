import { CapacityProfile, fitCount } from './capacityprofile.js';
import type { PlanJob, PlanMachine, Reservation, TeamCap } from './model.js';

/** A machine with so many reservations takes no more for the time being. */
export const MAX_RESERVATIONS = 48;
/** Services run until they are cancelled. */
const FOREVER_S = 1e9;
/** A task takes at least so long. */
const MIN_RUN_S = 0.5;

/** What is reserved on each machine and by each team, and what a job may take of it. Times in seconds, steady. */
export class ReservationTable {
  /** In the order in which they were made. */
  readonly reservations: Reservation[] = [];
  /** Walks along a machine's or a team's steps so far: what a plan costs. */
  probes = 0;
  /** Reserved use of each machine, by its index. */
  readonly profiles: readonly CapacityProfile[];
  /** Reserved use of each team that has a limit. */
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
      for (const h of m.running) {
        profile.add(now, h.end, h.need);
        teams.get(h.team)?.add(now, h.end, h.need);
      }
      return profile;
    });
  }

  /** Makes a reservation. */
  reserve(r: Reservation): void {
    this.reservations.push(r);
    this.apply(r);
  }

  /** Takes back all reservations made since there were `mark` of them. */
  undo(mark: number): void {
    while (this.reservations.length > mark) this.withdraw(this.reservations.pop()!);
  }

  /** Counts a reservation that is in the list as use. */
  apply(r: Reservation): void {
    this.profiles[r.machine]!.add(r.start, r.end, r.job.need);
    this.teams.get(r.job.team)?.add(r.start, r.end, r.job.need);
  }

  /** Counts a reservation as use no more; it stays in the list. */
  withdraw(r: Reservation): void {
    this.profiles[r.machine]!.remove(r.start, r.end, r.job.need);
    this.teams.get(r.job.team)?.remove(r.start, r.end, r.job.need);
  }

  /** When a job may begin at the earliest. */
  earliestStart(job: PlanJob): number {
    return Math.max(this.now, job.earliestStart ?? this.now);
  }

  /** The zones in which a job may run. */
  zonesOf(job: PlanJob): number[] {
    if (job.zone !== null) return [job.zone];
    return [...new Set(this.machines.map((m) => m.zone))];
  }

  /** Whether a machine may take tasks of a job at all, in a zone if one is given. */
  allowed(job: PlanJob, m: number, zone: number | null): boolean {
    const machine = this.machines[m]!;
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

  /** How long a machine would fetch the image of a job. */
  fetchS(job: PlanJob, m: number): number {
    const machine = this.machines[m]!;
    return machine.images.has(job.image) ? 0 : job.imageGb / machine.fetchGbPerS;
  }

  /** How long a task of a job would take on a machine, with the fetch. */
  spanOn(job: PlanJob, m: number): number {
    if (job.kind === 'service') return FOREVER_S;
    return this.fetchS(job, m) + Math.max(MIN_RUN_S, job.runS);
  }

  /** A preference decides only between machines that are equally loaded, which are mostly empty ones. */
  preference(job: PlanJob, m: number): number {
    return job.match?.rank ? job.match.rank(this.machines[m]!) : 0;
  }

  /** A machine with GPUs is kept for those who need them while others do: 1 if a job has no use for them, else 0. */
  unneededGpus(job: PlanJob, m: number): number {
    return job.need.gpus === 0 && this.machines[m]!.size.gpus > 0 ? 1 : 0;
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
