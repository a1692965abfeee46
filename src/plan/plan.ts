// This package: the plan: pure functions of machines and jobs, no I/O.

import { type Amounts, CapacityProfile, fitCount } from './capacityprofile.js';
import type { PlanJob, PlanMachine, PreviousPlacement, Reservation, TeamCap } from './model.js';

/** Beyond so many tasks of one job, the rest is estimated instead of booked. */
export const MAX_RESERVED_TASKS = 256;
/** A machine with so many bookings takes no more for the time being. */
const MAX_RESERVATIONS = 48;
const MAX_GANG = 4096;
/** So many moments at which a gang might fit are looked at closely. */
const GANG_TRIES = 16;
/** Services run until they are cancelled. */
const FOREVER = 1e9;

const INSTANT = 1e-3;
/** No start on this machine. */
const NEVER = Number.POSITIVE_INFINITY;

/**
 * The plan of one shard: what is booked on each machine and when. It is built anew from the tasks that the machines
 * hold and the accepted jobs in their order, which trims it by the reports. The tasks of a job are alike, so where one
 * could go is worked out once per job and machine, and again only for a machine that has been booked meanwhile.
 */
export class Plan {
  readonly reservations: Reservation[] = [];
  /** Walks along a machine's or a team's steps so far: what a plan costs. */
  probes = 0;
  private readonly profiles: CapacityProfile[];
  private readonly teams = new Map<number, CapacityProfile>();
  /** Of the job being booked: when a task could start on each machine, and how long it would take there. */
  private readonly starts: Float64Array;
  private readonly spans: Float64Array;
  private readonly all: number[];
  /** Machines with room at this moment, by what a task takes. What is booked later only takes some of it away. */
  private readonly machinesWithCapacity = new Map<string, number[]>();

  constructor(
    private readonly now: number,
    private readonly machines: readonly PlanMachine[],
    teamCaps: readonly TeamCap[],
  ) {
    teamCaps.forEach((cap, team) => {
      if (cap.cpus > 0 || cap.gpus > 0) {
        const size = {
          cpus: cap.cpus > 0 ? cap.cpus : Number.POSITIVE_INFINITY,
          gpus: cap.gpus > 0 ? cap.gpus : Number.POSITIVE_INFINITY,
          memoryGb: Number.POSITIVE_INFINITY,
        };
        this.teams.set(team, new CapacityProfile(size, now, now, Number.POSITIVE_INFINITY));
      }
    });
    this.profiles = machines.map((m) => {
      const profile = new CapacityProfile(m.size, now, Math.max(now, m.readyAt), m.until);
      for (const h of m.running) {
        profile.add(now, h.end, h.need);
        this.teams.get(h.team)?.add(now, h.end, h.need);
      }
      return profile;
    });
    this.starts = new Float64Array(machines.length);
    this.spans = new Float64Array(machines.length);
    this.all = machines.map((_, m) => m);
  }

  /** Counts what may be held somewhere unseen against every team's limit. */
  reserveUnreconciled(need: Amounts, end: number): void {
    for (const team of this.teams.values()) team.add(this.now, end, need);
  }

  /**
   * Books all unstarted tasks of a job, each on the most loaded machine that meets the deadline, as early as possible
   * there; where none meets it, where it ends first. Returns when the last one ends, or null when one finds no place.
   */
  reserve(job: PlanJob): number | null {
    if (job.kind === 'gang') return this.reserveGang(job);
    if (!job.oneZone) return this.reserveArray(job, job.zone);
    const held = [...job.present.keys()];
    if (held.length > 0) return this.reserveArray(job, held[0]!);
    let best: { zone: number; finish: number } | null = null;
    for (const zone of this.zones(job)) {
      const mark = this.reservations.length;
      const finish = this.reserveArray(job, zone);
      this.undo(mark);
      if (finish !== null && (!best || finish < best.finish)) best = { zone, finish };
    }
    return best ? this.reserveArray(job, best.zone) : null;
  }

  /**
   * Books a job again where an earlier plan had it, so that booked work keeps its place at little cost. Returns the tasks
   * that this leaves unbooked: for a gang all of them, when it no longer fits there as a whole or could start now.
   */
  keepReservations(job: PlanJob, places: ReadonlyMap<number, PreviousPlacement>): number[] {
    return job.kind === 'gang' ? this.keepGang(job, places) : this.keepTasks(job, places);
  }

  private keepTasks(job: PlanJob, places: ReadonlyMap<number, PreviousPlacement>): number[] {
    if (job.oneZone || job.spread) return job.tasks;
    const team = this.teams.get(job.team);
    const left: number[] = [];
    for (const task of job.tasks) {
      const p = places.get(task);
      if (!p || p.start <= this.earliestStart(job) || !this.allowed(job, p.machine, job.zone)) {
        left.push(task);
        continue;
      }
      const span = this.spanOn(job, p.machine);
      this.probes++;
      const fits =
        this.profiles[p.machine]!.capacityFor(p.start, span, job.need, 1) > 0 &&
        (!team || team.capacityFor(p.start, span, job.need, 1) > 0);
      if (fits) this.apply(this.push({ job, task, machine: p.machine, start: p.start, end: p.start + span }));
      else left.push(task);
    }
    return left;
  }

  private earliestStart(job: PlanJob): number {
    return Math.max(this.now, job.earliestStart ?? this.now);
  }

  private keepGang(job: PlanJob, places: ReadonlyMap<number, PreviousPlacement>): number[] {
    if (this.earliestStart(job) > this.now) return job.tasks;
    if (this.gangNow(job)) return [];
    const counts = new Map<number, number>();
    let start = Number.NaN;
    let span = 0;
    for (const task of job.tasks) {
      const p = places.get(task);
      if (!p || p.start <= this.now || !this.allowed(job, p.machine, job.zone)) return job.tasks;
      start = p.start;
      counts.set(p.machine, (counts.get(p.machine) ?? 0) + 1);
      span = Math.max(span, this.spanOn(job, p.machine));
    }
    for (const [m, count] of counts) {
      this.probes++;
      if (this.profiles[m]!.capacityFor(start, span, job.need, count) < count) return job.tasks;
    }
    const n = job.tasks.length;
    const team = this.teams.get(job.team);
    if (team && team.capacityFor(start, span, job.need, n) < n) return job.tasks;
    for (const task of job.tasks) {
      this.apply(this.push({ job, task, machine: places.get(task)!.machine, start, end: start + span }));
    }
    return [];
  }

  /** Books a gang from now on if it fits beside all that is booked. */
  private gangNow(job: PlanJob): boolean {
    const { cpus, gpus, memoryGb } = job.need;
    const key = `${cpus} ${gpus} ${memoryGb}`;
    let roomy = this.machinesWithCapacity.get(key);
    if (!roomy) {
      roomy = [];
      for (let m = 0; m < this.machines.length; m++) {
        this.probes++;
        if (this.profiles[m]!.capacityFor(this.now, 1, job.need, 1) > 0) roomy.push(m);
      }
      this.machinesWithCapacity.set(key, roomy);
    }
    if (roomy.length === 0) return false;
    const zones = job.oneZone ? this.zones(job) : [job.zone];
    return zones.some((zone) => this.gangAt(job, this.now, zone, roomy) !== null);
  }

  /** The earliest finish of a job that the plan allows; books nothing. */
  earliestFinish(job: PlanJob): number | null {
    const mark = this.reservations.length;
    const finish = this.reserve({ ...job, deadline: Number.NEGATIVE_INFINITY });
    this.undo(mark);
    return finish;
  }

  /**
   * Of bookings that start late, how many tasks could start by `by` on no machine there is. A task goes to the most loaded
   * machine that meets its deadline, so it may be booked for late while others boot or stand empty: only the rest is a
   * reason to rent. All bookings stay as they are.
   */
  countLateTasks(
    groups: readonly { job: PlanJob; bookings: readonly Reservation[]; by: number }[],
  ): number[] {
    const mark = this.reservations.length;
    const lifted: Reservation[] = [];
    const short = groups.map(({ job, bookings, by }) => {
      // A gang is booked as early as it fits anywhere.
      if (job.kind === 'gang') return bookings.length;
      for (const b of bookings) {
        this.withdraw(b);
        lifted.push(b);
      }
      const before = this.reservations.length;
      this.reserve({ ...job, tasks: bookings.map((b) => b.task), deadline: Number.NEGATIVE_INFINITY });
      let inTime = 0;
      for (let i = before; i < this.reservations.length; i++) if (this.reservations[i]!.start <= by) inTime++;
      return bookings.length - inTime;
    });
    this.undo(mark);
    for (const b of lifted) this.apply(b);
    return short;
  }

  /** Takes back all bookings made since there were `mark` of them. */
  undo(mark: number): void {
    while (this.reservations.length > mark) this.withdraw(this.reservations.pop()!);
  }

  /**
   * Limited backfilling: a task booked for later starts now on another machine if it fits there beside all that is
   * booked, so that no other task moves.
   */
  startEarly(): void {
    let job: PlanJob | null = null;
    let open: number[] = [];
    const roomy = this.machinesWithCapacityFor(
      this.reservations.filter((b) => b.start > this.now).map((b) => b.job),
    );
    for (const b of this.reservations) {
      if (b.start <= this.now || b.job.kind === 'gang' || this.earliestStart(b.job) > this.now) continue;
      if (b.job !== job) {
        job = b.job;
        open = this.machinesOpenNow(job, roomy);
      }
      if (open.length > 0) this.pullForward(b, open);
    }
  }

  /**
   * Machines that have room at this moment for the smallest of what tasks of these jobs take. A full fleet has few of
   * them, so that a swarm of small jobs does not look at every machine for each.
   */
  private machinesWithCapacityFor(jobs: readonly PlanJob[]): number[] {
    const least: Amounts = { cpus: NEVER, gpus: NEVER, memoryGb: NEVER };
    for (const { need } of jobs) {
      least.cpus = Math.min(least.cpus, need.cpus);
      least.gpus = Math.min(least.gpus, need.gpus);
      least.memoryGb = Math.min(least.memoryGb, need.memoryGb);
    }
    const roomy: number[] = [];
    if (jobs.length === 0) return roomy;
    for (let m = 0; m < this.machines.length; m++) {
      if (this.machines[m]!.quarantined) continue;
      this.probes++;
      if (this.profiles[m]!.capacityFor(this.now, INSTANT, least, 1) > 0) roomy.push(m);
    }
    return roomy;
  }

  /**
   * Books those unstarted tasks of a job that fit beside all that is booked from now on, each on the most loaded machine
   * there is for it, and leaves the others for a later plan. For what comes last in a long queue: to book all of it ahead
   * would cost more than it tells. Returns how many tasks were booked.
   */
  reserveNow(job: PlanJob): number {
    if (job.kind === 'gang') return this.gangNow(job) ? job.tasks.length : 0;
    if (job.oneZone || job.spread) return 0;
    this.machinesWithCapacityNow ??= this.machinesWithCapacityFor([job]);
    const team = this.teams.get(job.team);
    let placed = 0;
    for (const m of this.machinesOpenNow(job, this.machinesWithCapacityNow)) {
      const span = this.spanOn(job, m);
      let room = this.profiles[m]!.capacityFor(this.now, span, job.need, job.tasks.length - placed);
      if (team) room = Math.min(room, team.capacityFor(this.now, span, job.need, room));
      for (; room > 0; room--) {
        const task = job.tasks[placed++]!;
        this.apply(this.push({ job, task, machine: m, start: this.now, end: this.now + span }));
      }
      if (placed === job.tasks.length) break;
    }
    return placed;
  }

  private machinesWithCapacityNow: number[] | null = null;

  /** Machines where a task of the job fits from now on, the best first. */
  private machinesOpenNow(job: PlanJob, among: readonly number[]): number[] {
    const open: number[] = [];
    for (const m of among) {
      if (!this.allowed(job, m, job.zone)) continue;
      if (this.profiles[m]!.size >= MAX_RESERVATIONS) continue;
      this.probes++;
      if (this.profiles[m]!.capacityFor(this.now, this.spanOn(job, m), job.need, 1) > 0) open.push(m);
    }
    return open.sort(
      (a, b) =>
        this.unneededGpus(job, a) - this.unneededGpus(job, b) ||
        this.fetchS(job, a) - this.fetchS(job, b) ||
        this.profiles[b]!.load - this.profiles[a]!.load ||
        this.preference(job, b) - this.preference(job, a),
    );
  }

  private pullForward(b: Reservation, open: number[]): void {
    const zone = this.fixedZone(b);
    this.withdraw(b);
    for (let i = 0; i < open.length; i++) {
      const m = open[i]!;
      if (zone !== null && this.machines[m]!.zone !== zone) continue;
      const span = this.spanOn(b.job, m);
      const end = this.now + span;
      if (end > b.job.deadline && end > b.end) continue;
      this.probes++;
      if (this.profiles[m]!.capacityFor(this.now, span, b.job.need, 1) === 0) {
        open.splice(i--, 1);
        continue;
      }
      const team = this.teams.get(b.job.team);
      if (team && team.capacityFor(this.now, span, b.job.need, 1) === 0) break;
      b.machine = m;
      b.start = this.now;
      b.end = end;
      break;
    }
    this.apply(b);
  }

  private fixedZone(b: Reservation): number | null {
    // A job held to one zone or spread over zones keeps the zone that its booking has.
    return b.job.oneZone || b.job.spread ? this.machines[b.machine]!.zone : b.job.zone;
  }

  private zones(job: PlanJob): number[] {
    if (job.zone !== null) return [job.zone];
    return [...new Set(this.machines.map((m) => m.zone))];
  }

  private reserveArray(job: PlanJob, zone: number | null): number | null {
    const perZone = new Map(job.present);
    const half = Math.ceil(job.total / 2);
    // Of a job that is held to one zone and spread as well, half can run at once, and the others after them.
    const most = job.oneZone && job.spread ? half - (perZone.get(zone ?? -1) ?? 0) : MAX_RESERVED_TASKS;
    const tasks = job.tasks.slice(0, Math.max(0, Math.min(MAX_RESERVED_TASKS, most)));
    const team = this.teams.get(job.team);
    const first = this.earliestStart(job);
    let teamFrom = first;
    let longest = 0;
    for (let m = 0; m < this.machines.length; m++) {
      this.starts[m] = NEVER;
      if (!this.allowed(job, m, zone)) continue;
      this.spans[m] = this.spanOn(job, m);
      longest = Math.max(longest, this.spans[m]!);
      this.estimate(job, m, first);
    }
    let finish = first;
    let placed = 0;
    let m = -1;
    let start = NEVER;
    for (const task of tasks) {
      if (team) {
        const from = team.earliest(teamFrom, longest, job.need);
        if (from === null) break;
        teamFrom = from;
      }
      // The machine that was the best is more loaded now: as long as the next task could start there at the same moment,
      // it still is, and tiny tasks by the thousand do not each look at all machines.
      const same =
        m >= 0 &&
        this.starts[m] === start &&
        !job.spread &&
        (!team || team.earliest(Math.max(start, teamFrom), this.spans[m]!, job.need) === start);
      if (!same) m = this.bestFor(job, job.spread ? { perZone, half } : null, teamFrom, team);
      if (m < 0) break;
      start = this.starts[m]!;
      const end = start + this.spans[m]!;
      this.apply(this.push({ job, task, machine: m, start, end }));
      this.estimate(job, m, start);
      const where = this.machines[m]!.zone;
      perZone.set(where, (perZone.get(where) ?? 0) + 1);
      finish = Math.max(finish, end);
      placed++;
    }
    if (placed < tasks.length) return null;
    // The tasks beyond those booked take their time at the same pace.
    return first + (finish - first) * Math.max(1, job.tasks.length / Math.max(1, tasks.length));
  }

  private estimate(job: PlanJob, m: number, from: number): void {
    const profile = this.profiles[m]!;
    const full = profile.size >= MAX_RESERVATIONS;
    this.probes++;
    this.starts[m] = full ? NEVER : (profile.earliest(from, this.spans[m]!, job.need) ?? NEVER);
  }

  /** The machine that the next task goes to, by what is known of when it could start on each; -1 when there is none. */
  private bestFor(
    job: PlanJob,
    spread: { perZone: ReadonlyMap<number, number>; half: number } | null,
    teamFrom: number,
    team: CapacityProfile | undefined,
  ): number {
    for (;;) {
      let best = -1;
      for (let m = 0; m < this.machines.length; m++) {
        if (this.starts[m] === NEVER) continue;
        if (spread && (spread.perZone.get(this.machines[m]!.zone) ?? 0) >= spread.half) continue;
        if (best < 0 || this.ranksBefore(job, m, best)) best = m;
      }
      if (best < 0 || !team) return best;
      // The team's limit may allow the task only later; then that machine is weighed anew.
      const start = this.starts[best]!;
      this.probes++;
      const allowed = team.earliest(Math.max(start, teamFrom), this.spans[best]!, job.need) ?? NEVER;
      if (allowed === start) return best;
      if (allowed === NEVER) this.starts[best] = NEVER;
      else this.estimate(job, best, allowed);
    }
  }

  /** Whether a task goes rather to machine `a` than to `b`. */
  private ranksBefore(job: PlanJob, a: number, b: number): boolean {
    const endA = this.starts[a]! + this.spans[a]!;
    const endB = this.starts[b]! + this.spans[b]!;
    const lateA = endA > job.deadline;
    if (lateA !== endB > job.deadline) return !lateA;
    if (lateA) return endA < endB || (endA === endB && this.starts[a]! < this.starts[b]!);
    const waste = this.unneededGpus(job, a) - this.unneededGpus(job, b);
    if (waste !== 0) return waste < 0;
    // An image matters only to a task that starts now; what is booked for later may well find it fetched.
    const fetchA = this.starts[a]! > this.now ? 0 : this.fetchS(job, a);
    const fetchB = this.starts[b]! > this.now ? 0 : this.fetchS(job, b);
    if (fetchA !== fetchB) return fetchA < fetchB;
    const load = this.profiles[a]!.load - this.profiles[b]!.load;
    if (load !== 0) return load > 0;
    const liked = this.preference(job, a) - this.preference(job, b);
    return liked > 0 || (liked === 0 && this.starts[a]! < this.starts[b]!);
  }

  private allowed(job: PlanJob, m: number, zone: number | null): boolean {
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

  private fetchS(job: PlanJob, m: number): number {
    const machine = this.machines[m]!;
    return machine.images.has(job.image) ? 0 : job.imageGb / machine.fetchGbPerS;
  }

  private spanOn(job: PlanJob, m: number): number {
    if (job.kind === 'service') return FOREVER;
    return this.fetchS(job, m) + Math.max(0.5, job.runS);
  }

  /** A preference decides only between machines that are equally loaded, which are mostly empty ones. */
  private preference(job: PlanJob, m: number): number {
    return job.match?.rank ? job.match.rank(this.machines[m]!) : 0;
  }

  /** A machine with GPUs is kept for those who need them while others do. */
  private unneededGpus(job: PlanJob, m: number): number {
    return job.need.gpus === 0 && this.machines[m]!.size.gpus > 0 ? 1 : 0;
  }

  private reserveGang(job: PlanJob): number | null {
    const n = job.tasks.length;
    if (n === 0) return this.earliestStart(job);
    if (n > MAX_GANG) return null;
    const team = this.teams.get(job.team);
    const whole = { cpus: job.need.cpus * n, gpus: job.need.gpus * n, memoryGb: 0 };
    const moments = this.gangMoments(job, n);
    const together = new Map<number | null, number>();
    let longest = 0;
    let tries = 0;
    for (let i = 0; i < moments.length; i++) {
      const { at, zone, count, span } = moments[i]!;
      longest = Math.max(longest, span);
      together.set(zone, (together.get(zone) ?? 0) + count);
      // What comes at the same moment in the same zone is counted together.
      const next = moments[i + 1];
      if (next && next.at === at && next.zone === zone) continue;
      if (together.get(zone)! < n) continue;
      const t = team ? team.earliest(at, longest, whole) : at;
      if (t === null) return null;
      const finish = this.gangAt(job, t, zone);
      if (finish !== null) return finish;
      if (++tries >= GANG_TRIES) break;
    }
    // Some time everything in a zone is free.
    for (const [zone, count] of together) {
      if (count < n) continue;
      let at = this.earliestStart(job);
      for (const [m, p] of this.profiles.entries()) {
        if (this.allowed(job, m, zone)) at = Math.max(at, p.freeFrom);
      }
      const t = team ? team.earliest(at, longest, whole) : at;
      const finish = t === null ? null : this.gangAt(job, t, zone);
      if (finish !== null) return finish;
    }
    return null;
  }

  /** From when on each machine could take some, and all that it can hold, of a gang's tasks; in order of time. */
  private gangMoments(
    job: PlanJob,
    n: number,
  ): { at: number; zone: number | null; count: number; span: number }[] {
    const moments = [];
    for (let m = 0; m < this.machines.length; m++) {
      if (!this.allowed(job, m, job.zone)) continue;
      const zone = job.oneZone ? this.machines[m]!.zone : job.zone;
      const profile = this.profiles[m]!;
      const span = this.spanOn(job, m);
      this.probes++;
      const at = profile.earliest(this.earliestStart(job), span, job.need);
      if (at === null) continue;
      const most = fitCount(this.machines[m]!.size, job.need, n);
      const count = profile.capacityFor(at, span, job.need, most);
      moments.push({ at, zone, count, span });
      if (count === most) continue;
      const { cpus, gpus, memoryGb } = job.need;
      const full = { cpus: cpus * most, gpus: gpus * most, memoryGb: memoryGb * most };
      const later = profile.earliest(at, span, full);
      if (later !== null) moments.push({ at: later, zone, count: most - count, span });
    }
    return moments.sort((a, b) => a.at - b.at || (a.zone ?? 0) - (b.zone ?? 0));
  }

  private gangAt(
    job: PlanJob,
    t: number,
    zone: number | null,
    among: readonly number[] = this.all,
  ): number | null {
    const n = job.tasks.length;
    const half = Math.ceil(n / 2);
    const rooms: { m: number; count: number; fetch: number }[] = [];
    let sum = 0;
    for (const m of among) {
      if (!this.allowed(job, m, zone)) continue;
      this.probes++;
      const count = this.profiles[m]!.capacityFor(t, this.spanOn(job, m), job.need, n);
      if (count === 0) continue;
      sum += count;
      rooms.push({ m, count, fetch: this.fetchS(job, m) });
    }
    if (sum < n) return null;
    // A gang waits for its slowest fetch, so a machine that has the image comes before a more loaded one.
    rooms.sort(
      (a, b) =>
        a.fetch - b.fetch ||
        this.unneededGpus(job, a.m) - this.unneededGpus(job, b.m) ||
        this.profiles[b.m]!.load - this.profiles[a.m]!.load ||
        this.preference(job, b.m) - this.preference(job, a.m),
    );
    const perZone = new Map<number, number>();
    const picked: number[] = [];
    for (const r of rooms) {
      const where = this.machines[r.m]!.zone;
      for (let i = 0; i < r.count && picked.length < n; i++) {
        const there = perZone.get(where) ?? 0;
        if (job.spread && there >= half) break;
        perZone.set(where, there + 1);
        picked.push(r.m);
      }
    }
    if (picked.length < n) return null;
    // All tasks run together: the slowest machine and the longest fetch set the end.
    const span = Math.max(...picked.map((m) => this.spanOn(job, m)));
    const team = this.teams.get(job.team);
    if (team && team.capacityFor(t, span, job.need, n) < n) return null;
    job.tasks.forEach((task, i) => {
      this.apply(this.push({ job, task, machine: picked[i]!, start: t, end: t + span }));
    });
    return t + span;
  }

  private push(b: Reservation): Reservation {
    this.reservations.push(b);
    return b;
  }

  private apply(b: Reservation): void {
    this.profiles[b.machine]!.add(b.start, b.end, b.job.need);
    this.teams.get(b.job.team)?.add(b.start, b.end, b.job.need);
  }

  private withdraw(b: Reservation): void {
    this.profiles[b.machine]!.remove(b.start, b.end, b.job.need);
    this.teams.get(b.job.team)?.remove(b.start, b.end, b.job.need);
  }
}
