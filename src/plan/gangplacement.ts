import { fitCount } from './capacityprofile.js';
import type { PlanJob, PreviousPlacement } from './model.js';
import type { ReservationTable } from './reservationtable.js';

const MAX_GANG_TASKS = 4096;
/** So many moments at which a gang might fit are looked at closely. */
const MAX_MOMENTS_TRIED = 16;
/** A machine has capacity at this moment when a task fits for so long, in seconds. */
const CAPACITY_SPAN_S = 1;

/** A moment from which on a machine could take some of a gang's tasks. */
interface GangMoment {
  readonly at: number;
  readonly zone: number | null;
  /** How many more tasks than before. */
  readonly count: number;
  /** How long a task would take there. */
  readonly span: number;
}

/** A machine that could take some of a gang's tasks at a moment. */
interface MachineOffer {
  readonly machine: number;
  readonly count: number;
  /** How long it would fetch the image. */
  readonly fetchS: number;
}

/** Places gangs, whose tasks all run at the same time. */
export class GangPlacement {
  private readonly all: readonly number[];
  /** Machines with capacity at this moment, by what a task takes. What is reserved later only takes some of it away. */
  private readonly machinesWithCapacity = new Map<string, readonly number[]>();

  constructor(private readonly table: ReservationTable) {
    this.all = table.machines.map((_, m) => m);
  }

  /** Reserves for all tasks of a gang as early as possible. Returns when they end, or null when there is no place. */
  reserve(job: PlanJob): number | null {
    const { table } = this;
    const n = job.tasks.length;
    if (n === 0) return table.earliestStart(job);
    if (n > MAX_GANG_TASKS) return null;
    const team = table.teams.get(job.team);
    const whole = { cpus: job.need.cpus * n, gpus: job.need.gpus * n, memoryGb: 0 };
    const moments = this.moments(job, n);
    const countByZone = new Map<number | null, number>();
    let longest = 0;
    let tries = 0;
    for (let i = 0; i < moments.length; i++) {
      const { at, zone, count, span } = moments[i]!;
      longest = Math.max(longest, span);
      countByZone.set(zone, (countByZone.get(zone) ?? 0) + count);
      // What comes at the same moment in the same zone is counted together.
      const next = moments[i + 1];
      if (next && next.at === at && next.zone === zone) continue;
      if (countByZone.get(zone)! < n) continue;
      const start = team ? team.earliest(at, longest, whole) : at;
      if (start === null) return null;
      const finish = this.reserveAt(job, start, zone);
      if (finish !== null) return finish;
      if (++tries >= MAX_MOMENTS_TRIED) break;
    }
    // Some time everything in a zone is free.
    for (const [zone, count] of countByZone) {
      if (count < n) continue;
      const at = this.allFreeFrom(job, zone);
      const start = team ? team.earliest(at, longest, whole) : at;
      const finish = start === null ? null : this.reserveAt(job, start, zone);
      if (finish !== null) return finish;
    }
    return null;
  }

  /**
   * Reserves for a gang again where an earlier plan had it. Returns the tasks that this leaves: all of them, when it no longer
   * fits there as a whole, or none. One that could start now does.
   */
  keep(job: PlanJob, previous: ReadonlyMap<number, PreviousPlacement>): number[] {
    const { table } = this;
    if (table.earliestStart(job) > table.now) return job.tasks;
    if (this.reserveNow(job)) return [];
    const counts = new Map<number, number>();
    let start = Number.NaN;
    let span = 0;
    for (const task of job.tasks) {
      const p = previous.get(task);
      if (!p || p.start <= table.now || !table.allowed(job, p.machine, job.zone)) return job.tasks;
      start = p.start;
      counts.set(p.machine, (counts.get(p.machine) ?? 0) + 1);
      span = Math.max(span, table.spanOn(job, p.machine));
    }
    for (const [m, count] of counts) {
      table.probes++;
      if (table.profiles[m]!.capacityFor(start, span, job.need, count) < count) return job.tasks;
    }
    const n = job.tasks.length;
    const team = table.teams.get(job.team);
    if (team && team.capacityFor(start, span, job.need, n) < n) return job.tasks;
    for (const task of job.tasks)
      table.reserve({ job, task, machine: previous.get(task)!.machine, start, end: start + span });
    return [];
  }

  /** Reserves for a gang from now on if it fits beside all that is reserved; returns whether it does. */
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

  /** From when on all machines that may take a gang in a zone are free. */
  private allFreeFrom(job: PlanJob, zone: number | null): number {
    let at = this.table.earliestStart(job);
    for (const [m, p] of this.table.profiles.entries()) {
      if (this.table.allowed(job, m, zone)) at = Math.max(at, p.freeFrom);
    }
    return at;
  }

  /** From when on each machine could take some, and all that it can hold, of a gang's tasks; in order of time. */
  private moments(job: PlanJob, n: number): GangMoment[] {
    const { table } = this;
    const moments: GangMoment[] = [];
    for (let m = 0; m < table.machines.length; m++) {
      if (!table.allowed(job, m, job.zone)) continue;
      const zone = job.oneZone ? table.machines[m]!.zone : job.zone;
      const profile = table.profiles[m]!;
      const span = table.spanOn(job, m);
      table.probes++;
      const at = profile.earliest(table.earliestStart(job), span, job.need);
      if (at === null) continue;
      const max = fitCount(table.machines[m]!.size, job.need, n);
      const count = profile.capacityFor(at, span, job.need, max);
      moments.push({ at, zone, count, span });
      if (count === max) continue;
      const { cpus, gpus, memoryGb } = job.need;
      const full = { cpus: cpus * max, gpus: gpus * max, memoryGb: memoryGb * max };
      const later = profile.earliest(at, span, full);
      if (later !== null) moments.push({ at: later, zone, count: max - count, span });
    }
    return moments.sort((a, b) => a.at - b.at || (a.zone ?? 0) - (b.zone ?? 0));
  }

  /** Reserves for a gang from a moment on. Returns when it ends, or null when it does not fit. */
  private reserveAt(
    job: PlanJob,
    start: number,
    zone: number | null,
    among: readonly number[] = this.all,
  ): number | null {
    const { table } = this;
    const n = job.tasks.length;
    const offers = this.offersAt(job, start, zone, among);
    const picked = offers && this.pick(job, offers);
    if (!picked) return null;
    // All tasks run together: the slowest machine and the longest fetch set the end.
    const span = Math.max(...picked.map((m) => table.spanOn(job, m)));
    const team = table.teams.get(job.team);
    if (team && team.capacityFor(start, span, job.need, n) < n) return null;
    const end = start + span;
    job.tasks.forEach((task, i) => {
      table.reserve({ job, task, machine: picked[i]!, start, end });
    });
    return end;
  }

  /** The machines that could take tasks of a gang at a moment, the best first; null when they do not take all of them. */
  private offersAt(
    job: PlanJob,
    at: number,
    zone: number | null,
    among: readonly number[],
  ): MachineOffer[] | null {
    const { table } = this;
    const n = job.tasks.length;
    const offers: MachineOffer[] = [];
    let sum = 0;
    for (const m of among) {
      if (!table.allowed(job, m, zone)) continue;
      table.probes++;
      const count = table.profiles[m]!.capacityFor(at, table.spanOn(job, m), job.need, n);
      if (count === 0) continue;
      sum += count;
      offers.push({ machine: m, count, fetchS: table.fetchS(job, m) });
    }
    if (sum < n) return null;
    // A gang waits for its slowest fetch, so a machine that has the image comes before a more loaded one.
    return offers.sort(
      (a, b) =>
        a.fetchS - b.fetchS ||
        table.unneededGpus(job, a.machine) - table.unneededGpus(job, b.machine) ||
        table.profiles[b.machine]!.load - table.profiles[a.machine]!.load ||
        table.preference(job, b.machine) - table.preference(job, a.machine),
    );
  }

  /** The machine of each task, spread over zones if the gang has to be; null when that leaves tasks without one. */
  private pick(job: PlanJob, offers: readonly MachineOffer[]): number[] | null {
    const n = job.tasks.length;
    const half = Math.ceil(n / 2);
    const perZone = new Map<number, number>();
    const picked: number[] = [];
    for (const { machine, count } of offers) {
      const { zone } = this.table.machines[machine]!;
      for (let i = 0; i < count && picked.length < n; i++) {
        const inZone = perZone.get(zone) ?? 0;
        if (job.spread && inZone >= half) break;
        perZone.set(zone, inZone + 1);
        picked.push(machine);
      }
    }
    return picked.length < n ? null : picked;
  }
}
