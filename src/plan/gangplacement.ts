import { fitCount } from './capacityprofile.js';
import type { PlanJob, PreviousPlacement } from './model.js';
import type { ReservationTable } from './reservationtable.js';

const MAX_GANG_TASKS = 4096;
/** Maximum number of candidate starts for which a placement of the whole gang is tried. */
const MAX_STARTS_TRIED = 16;
/** A machine has capacity now if a task fits for at least this long, in seconds. */
const CAPACITY_SPAN_S = 1;

/** Time from which a machine could run some of a gang's tasks. */
interface CandidateStart {
  readonly at: number;
  readonly zone: number | null;
  /** Number of tasks that the machine can run from then on, beyond those of its earlier candidate start. */
  readonly count: number;
  /** Duration of a task on this machine, in seconds. */
  readonly span: number;
}

/** Machine that could run some of a gang's tasks from a given time on. */
interface CandidateMachine {
  readonly machine: number;
  readonly count: number;
  /** Time to fetch the image, in seconds. */
  readonly fetchS: number;
}

/** Places gangs, whose tasks all run at the same time. */
export class GangPlacement {
  private readonly allMachines: readonly number[];
  /**
   * Indices of the machines with capacity now, by the size of a task. Later reservations can only reduce that
   * capacity.
   */
  private readonly machinesWithCapacity = new Map<string, readonly number[]>();

  constructor(private readonly table: ReservationTable) {
    this.allMachines = table.machines.map((_, m) => m);
  }

  /**
   * Reserves capacity for all tasks of a gang as early as possible. Returns their end, or null when they do
   * not fit.
   */
  reserve(job: PlanJob): number | null {
    const { table } = this;
    const taskCount = job.tasks.length;
    if (taskCount === 0) return table.earliestStart(job);
    if (taskCount > MAX_GANG_TASKS) return null;
    const team = table.teams.get(job.team);
    const gangNeed = { cpus: job.need.cpus * taskCount, gpus: job.need.gpus * taskCount, memoryGb: 0 };
    const candidateStarts = this.candidateStarts(job, taskCount);
    const countByZone = new Map<number | null, number>();
    let longest = 0;
    let tries = 0;
    for (let i = 0; i < candidateStarts.length; i++) {
      const { at, zone, count, span } = candidateStarts[i]!;
      longest = Math.max(longest, span);
      countByZone.set(zone, (countByZone.get(zone) ?? 0) + count);
      // Candidate starts at the same time in the same zone are counted together before a placement is tried.
      const next = candidateStarts[i + 1];
      if (next && next.at === at && next.zone === zone) continue;
      if (countByZone.get(zone)! < taskCount) continue;
      const start = team ? team.earliest(at, longest, gangNeed) : at;
      if (start === null) return null;
      const finish = this.reserveAt(job, start, zone);
      if (finish !== null) return finish;
      if (++tries >= MAX_STARTS_TRIED) break;
    }
    // Falls back to the time at which all machines in a zone are free of reservations.
    for (const [zone, count] of countByZone) {
      if (count < taskCount) continue;
      const at = this.allUnreservedFrom(job, zone);
      const start = team ? team.earliest(at, longest, gangNeed) : at;
      const finish = start === null ? null : this.reserveAt(job, start, zone);
      if (finish !== null) return finish;
    }
    return null;
  }

  /**
   * Repeats the reservation that an earlier plan made for a gang, or starts the gang now if it fits now.
   * Returns the tasks that are left: none, or all of them when the gang no longer fits there as a whole.
   */
  keep(job: PlanJob, previous: ReadonlyMap<number, PreviousPlacement>): number[] {
    const { table } = this;
    if (table.earliestStart(job) > table.now) return job.tasks;
    if (this.reserveNow(job)) return [];
    const counts = new Map<number, number>();
    let start = Number.NaN;
    let span = 0;
    for (const task of job.tasks) {
      const placement = previous.get(task);
      if (!placement || placement.start <= table.now || !table.allowed(job, placement.machine, job.zone))
        return job.tasks;
      start = placement.start;
      counts.set(placement.machine, (counts.get(placement.machine) ?? 0) + 1);
      span = Math.max(span, table.spanOn(job, placement.machine));
    }
    for (const [m, count] of counts) {
      table.probes++;
      if (table.profiles[m]!.capacityFor(start, span, job.need, count) < count) return job.tasks;
    }
    const taskCount = job.tasks.length;
    const team = table.teams.get(job.team);
    if (team && team.capacityFor(start, span, job.need, taskCount) < taskCount) return job.tasks;
    for (const task of job.tasks)
      table.reserve({ job, task, machine: previous.get(task)!.machine, start, end: start + span });
    return [];
  }

  /**
   * Reserves capacity for a gang from now on if it fits next to all existing reservations; returns whether it
   * does.
   */
  reserveNow(job: PlanJob): boolean {
    const { table } = this;
    const machines = this.machinesWithCapacityFor(job);
    if (machines.length === 0) return false;
    const zones = job.oneZone ? table.zonesOf(job) : [job.zone];
    return zones.some((zone) => this.reserveAt(job, table.now, zone, machines) !== null);
  }

  private machinesWithCapacityFor(job: PlanJob): readonly number[] {
    const { table } = this;
    const { cpus, gpus, memoryGb } = job.need;
    const key = `${cpus} ${gpus} ${memoryGb}`;
    const known = this.machinesWithCapacity.get(key);
    if (known) return known;
    const machines: number[] = [];
    for (let m = 0; m < table.machines.length; m++) {
      table.probes++;
      if (table.profiles[m]!.capacityFor(table.now, CAPACITY_SPAN_S, job.need, 1) > 0) machines.push(m);
    }
    this.machinesWithCapacity.set(key, machines);
    return machines;
  }

  /** Returns the time from which all machines that a gang may use in a zone are free of reservations. */
  private allUnreservedFrom(job: PlanJob, zone: number | null): number {
    let at = this.table.earliestStart(job);
    for (const [m, p] of this.table.profiles.entries()) {
      if (this.table.allowed(job, m, zone)) at = Math.max(at, p.unreservedFrom);
    }
    return at;
  }

  /**
   * Returns, for each machine, the time from which it can run some of a gang's tasks and, if that is later, the
   * time from which it can run as many as it can hold; ordered by time.
   */
  private candidateStarts(job: PlanJob, taskCount: number): CandidateStart[] {
    const { table } = this;
    const candidateStarts: CandidateStart[] = [];
    for (let machineIndex = 0; machineIndex < table.machines.length; machineIndex++) {
      if (!table.allowed(job, machineIndex, job.zone)) continue;
      const zone = job.oneZone ? table.machines[machineIndex]!.zone : job.zone;
      const profile = table.profiles[machineIndex]!;
      const span = table.spanOn(job, machineIndex);
      table.probes++;
      const at = profile.earliest(table.earliestStart(job), span, job.need);
      if (at === null) continue;
      const max = fitCount(table.machines[machineIndex]!.size, job.need, taskCount);
      const count = profile.capacityFor(at, span, job.need, max);
      candidateStarts.push({ at, zone, count, span });
      if (count === max) continue;
      const { cpus, gpus, memoryGb } = job.need;
      const fullNeed = { cpus: cpus * max, gpus: gpus * max, memoryGb: memoryGb * max };
      const fullAt = profile.earliest(at, span, fullNeed);
      if (fullAt !== null) candidateStarts.push({ at: fullAt, zone, count: max - count, span });
    }
    return candidateStarts.sort((a, b) => a.at - b.at || (a.zone ?? 0) - (b.zone ?? 0));
  }

  /** Reserves capacity for a gang at a given start. Returns its end, or null when it does not fit. */
  private reserveAt(
    job: PlanJob,
    start: number,
    zone: number | null,
    machineIndices: readonly number[] = this.allMachines,
  ): number | null {
    const { table } = this;
    const taskCount = job.tasks.length;
    const candidates = this.candidatesAt(job, start, zone, machineIndices);
    const assigned = candidates && this.assignTasks(job, candidates);
    if (!assigned) return null;
    // All tasks run together, so the machine with the longest run and fetch time determines the end.
    const span = Math.max(...assigned.map((m) => table.spanOn(job, m)));
    const team = table.teams.get(job.team);
    if (team && team.capacityFor(start, span, job.need, taskCount) < taskCount) return null;
    const end = start + span;
    job.tasks.forEach((task, i) => {
      table.reserve({ job, task, machine: assigned[i]!, start, end });
    });
    return end;
  }

  /**
   * Returns the machines that can run tasks of a gang at a given start, best first; null when they cannot run
   * all of them.
   */
  private candidatesAt(
    job: PlanJob,
    at: number,
    zone: number | null,
    machineIndices: readonly number[],
  ): CandidateMachine[] | null {
    const { table } = this;
    const taskCount = job.tasks.length;
    const candidates: CandidateMachine[] = [];
    let sum = 0;
    for (const m of machineIndices) {
      if (!table.allowed(job, m, zone)) continue;
      table.probes++;
      const count = table.profiles[m]!.capacityFor(at, table.spanOn(job, m), job.need, taskCount);
      if (count === 0) continue;
      sum += count;
      candidates.push({ machine: m, count, fetchS: table.fetchS(job, m) });
    }
    if (sum < taskCount) return null;
    // A gang waits for its slowest fetch, so a machine that has the image is preferred to a more loaded one.
    return candidates.sort(
      (a, b) =>
        a.fetchS - b.fetchS ||
        table.unneededGpus(job, a.machine) - table.unneededGpus(job, b.machine) ||
        table.profiles[b.machine]!.load - table.profiles[a.machine]!.load ||
        table.preference(job, b.machine) - table.preference(job, a.machine),
    );
  }

  /**
   * Assigns a machine to each task, spread over zones if the job requires it; returns null when a task gets
   * no machine.
   */
  private assignTasks(job: PlanJob, candidates: readonly CandidateMachine[]): number[] | null {
    const taskCount = job.tasks.length;
    const maxPerZone = Math.ceil(taskCount / 2);
    const perZone = new Map<number, number>();
    const assigned: number[] = [];
    for (const { machine, count } of candidates) {
      const { zone } = this.table.machines[machine]!;
      for (let i = 0; i < count && assigned.length < taskCount; i++) {
        const inZone = perZone.get(zone) ?? 0;
        if (job.spread && inZone >= maxPerZone) break;
        perZone.set(zone, inZone + 1);
        assigned.push(machine);
      }
    }
    return assigned.length < taskCount ? null : assigned;
  }
}
