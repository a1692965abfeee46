import { type Amounts, Profile } from './profile.js';

/** A machine as the plan sees it. All names are dense indices. */
export interface PlanMachine {
  type: number;
  zone: number;
  spot: boolean;
  size: Amounts;
  /** From when it can take tasks; later than now while it boots. */
  readyAt: number;
  /** When the cloud takes it away. */
  until: number;
  /** No new work starts here for now, but what it holds is booked. */
  closed: boolean;
  fetchGbPerS: number;
  images: ReadonlySet<number>;
  /** Run times here are this many times those elsewhere. */
  slowness: number;
  held: HeldBooking[];
}

export interface HeldBooking {
  team: number;
  end: number;
  need: Amounts;
}

export interface PlanJob {
  id: number;
  team: number;
  kind: 'array' | 'gang' | 'service';
  need: Amounts;
  /** Allowed machine types, null for any. */
  types: ReadonlySet<number> | null;
  zone: number | null;
  oneZone: boolean;
  spread: boolean;
  spot: boolean;
  image: number;
  imageGb: number;
  runS: number;
  deadline: number;
  /** All tasks of the job, for `spread`. */
  total: number;
  /** Unstarted tasks to be booked. */
  tasks: number[];
  /** Tasks on machines now, by zone. */
  present: ReadonlyMap<number, number>;
}

export interface Booking {
  job: PlanJob;
  task: number;
  machine: number;
  start: number;
  end: number;
}

/** Beyond so many tasks of one job, the rest is estimated instead of booked. */
export const BOOKED_TASKS = 256;
/** A machine with so many bookings takes no more for the time being. */
const MAX_BOOKINGS = 48;
const MAX_GANG = 4096;
/** Services run until they are cancelled. */
const FOREVER = 1e9;

export interface TeamCap {
  cpus: number;
  gpus: number;
}

interface Candidate {
  machine: number;
  start: number;
  end: number;
}

/**
 * The plan of one shard: what is booked on each machine and when. It is built anew from the tasks that the machines
 * hold and the accepted jobs in their order, which trims it by the reports.
 */
export class Plan {
  readonly bookings: Booking[] = [];
  private readonly profiles: Profile[];
  private readonly teams = new Map<number, Profile>();

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
        this.teams.set(team, new Profile(size, now, Number.POSITIVE_INFINITY));
      }
    });
    this.profiles = machines.map((m) => {
      const profile = new Profile(m.size, Math.max(now, m.readyAt), m.until);
      for (const h of m.held) {
        profile.add(now, h.end, h.need);
        this.teams.get(h.team)?.add(now, h.end, h.need);
      }
      return profile;
    });
  }

  /** Counts what may be held somewhere unseen against every team's limit. */
  reserve(need: Amounts, end: number): void {
    for (const team of this.teams.values()) team.add(this.now, end, need);
  }

  /**
   * Books all unstarted tasks of a job, each on the most loaded machine that meets the deadline, as early as possible
   * there; where none meets it, where it ends first. Returns when the last one ends, or null when one finds no place.
   */
  book(job: PlanJob): number | null {
    if (job.kind === 'gang') return this.bookGang(job);
    if (!job.oneZone) return this.bookArray(job, job.zone);
    const held = [...job.present.keys()];
    if (held.length > 0) return this.bookArray(job, held[0]!);
    let best: { zone: number; finish: number } | null = null;
    for (const zone of this.zones(job)) {
      const mark = this.bookings.length;
      const finish = this.bookArray(job, zone);
      this.undo(mark);
      if (finish !== null && (!best || finish < best.finish)) best = { zone, finish };
    }
    return best ? this.bookArray(job, best.zone) : null;
  }

  /** The earliest finish of a job that the plan allows; books nothing. */
  earliestFinish(job: PlanJob): number | null {
    const mark = this.bookings.length;
    const finish = this.book({ ...job, deadline: Number.NEGATIVE_INFINITY });
    this.undo(mark);
    return finish;
  }

  /** Takes back all bookings made since there were `mark` of them. */
  undo(mark: number): void {
    while (this.bookings.length > mark) this.lift(this.bookings.pop()!);
  }

  /**
   * Limited backfilling: a task booked for later starts now on another machine if it fits there beside all that is
   * booked, so that no other task moves.
   */
  startEarly(): void {
    for (const b of this.bookings) {
      if (b.start <= this.now || b.job.kind === 'gang') continue;
      this.lift(b);
      let best: Candidate | null = null;
      let bestRank: number[] = [];
      for (let m = 0; m < this.machines.length; m++) {
        const c = this.candidate(b.job, m, this.fixedZone(b));
        if (!c || c.start > this.now || (c.end > b.job.deadline && c.end > b.end)) continue;
        const rank = [
          this.wastes(b.job, m) ? 1 : 0,
          this.fetchS(b.job, m),
          -this.profiles[m]!.load(this.now),
        ];
        if (!best || smaller(rank, bestRank)) {
          best = c;
          bestRank = rank;
        }
      }
      if (best) {
        b.machine = best.machine;
        b.start = best.start;
        b.end = best.end;
      }
      this.put(b);
    }
  }

  private fixedZone(b: Booking): number | null {
    // A job held to one zone or spread over zones keeps the zone that its booking has.
    return b.job.oneZone || b.job.spread ? this.machines[b.machine]!.zone : b.job.zone;
  }

  private zones(job: PlanJob): number[] {
    if (job.zone !== null) return [job.zone];
    return [...new Set(this.machines.map((m) => m.zone))];
  }

  private bookArray(job: PlanJob, zone: number | null): number | null {
    const perZone = new Map(job.present);
    const half = Math.ceil(job.total / 2);
    const tasks = job.tasks.slice(0, BOOKED_TASKS);
    let finish = this.now;
    let placed = 0;
    for (const task of tasks) {
      let best: Candidate | null = null;
      let bestRank: number[] = [];
      for (let m = 0; m < this.machines.length; m++) {
        const where = this.machines[m]!.zone;
        if (job.spread && (perZone.get(where) ?? 0) >= half) continue;
        const c = this.candidate(job, m, zone);
        if (!c) continue;
        const rank =
          c.end <= job.deadline
            ? [
                0,
                this.wastes(job, m) ? 1 : 0,
                // An image matters only to a task that starts now; what is booked for later may well find it fetched.
                c.start > this.now ? 0 : this.fetchS(job, m),
                -this.profiles[m]!.load(this.now),
                c.start,
              ]
            : [1, c.end, c.start];
        if (!best || smaller(rank, bestRank)) {
          best = c;
          bestRank = rank;
        }
      }
      if (!best) break;
      this.put(this.push({ job, task, ...best }));
      const where = this.machines[best.machine]!.zone;
      perZone.set(where, (perZone.get(where) ?? 0) + 1);
      finish = Math.max(finish, best.end);
      placed++;
    }
    if (placed < tasks.length) return null;
    // The tasks beyond those booked take their time at the same pace.
    return this.now + (finish - this.now) * Math.max(1, job.tasks.length / Math.max(1, tasks.length));
  }

  private candidate(job: PlanJob, m: number, zone: number | null): Candidate | null {
    if (!this.allowed(job, m, zone)) return null;
    const profile = this.profiles[m]!;
    if (profile.size >= MAX_BOOKINGS) return null;
    const span = this.spanOn(job, m);
    const team = this.teams.get(job.team);
    let t: number | null = this.now;
    for (let i = 0; i < 40; i++) {
      t = profile.earliest(t, span, job.need);
      if (t === null || !team) break;
      const free: number | null = team.earliest(t, span, job.need);
      if (free === null) return null;
      if (free === t) break;
      t = free;
    }
    return t === null ? null : { machine: m, start: t, end: t + span };
  }

  private allowed(job: PlanJob, m: number, zone: number | null): boolean {
    const machine = this.machines[m]!;
    if (machine.closed) return false;
    if (job.types && !job.types.has(machine.type)) return false;
    if (machine.spot && !job.spot) return false;
    return (zone === null || machine.zone === zone) && (job.zone === null || machine.zone === job.zone);
  }

  private fetchS(job: PlanJob, m: number): number {
    const machine = this.machines[m]!;
    return machine.images.has(job.image) ? 0 : job.imageGb / machine.fetchGbPerS;
  }

  private spanOn(job: PlanJob, m: number): number {
    if (job.kind === 'service') return FOREVER;
    return this.fetchS(job, m) + Math.max(0.5, job.runS * this.machines[m]!.slowness);
  }

  /** A machine with GPUs is kept for those who need them while others do. */
  private wastes(job: PlanJob, m: number): boolean {
    return job.need.gpus === 0 && this.machines[m]!.size.gpus > 0;
  }

  private bookGang(job: PlanJob): number | null {
    const n = job.tasks.length;
    if (n === 0) return this.now;
    if (n > MAX_GANG) return null;
    const zones = job.oneZone ? this.zones(job) : [job.zone];
    const times = new Set<number>([this.now]);
    for (let m = 0; m < this.machines.length; m++) {
      if (!this.allowed(job, m, null)) continue;
      const profile = this.profiles[m]!;
      if (profile.readyAt > this.now) times.add(profile.readyAt);
      for (const e of profile.endsAfter(this.now)) times.add(e);
    }
    const team = this.teams.get(job.team);
    for (const e of team?.endsAfter(this.now) ?? []) times.add(e);
    const moments = [...times].sort((a, b) => a - b).slice(0, 120);
    for (const t of moments) {
      for (const zone of zones) {
        const finish = this.gangAt(job, t, zone);
        if (finish !== null) return finish;
      }
    }
    return null;
  }

  private gangAt(job: PlanJob, t: number, zone: number | null): number | null {
    const n = job.tasks.length;
    const half = Math.ceil(n / 2);
    const rooms: { m: number; count: number; rank: number[] }[] = [];
    for (let m = 0; m < this.machines.length; m++) {
      if (!this.allowed(job, m, zone)) continue;
      const count = this.profiles[m]!.room(t, this.spanOn(job, m), job.need, n);
      if (count === 0) continue;
      // A gang waits for its slowest fetch, so a machine that has the image comes before a more loaded one.
      const rank = [this.fetchS(job, m), this.wastes(job, m) ? 1 : 0, -this.profiles[m]!.load(this.now)];
      rooms.push({ m, count, rank });
    }
    rooms.sort((a, b) => compare(a.rank, b.rank));
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
    if (team && team.room(t, span, job.need, n) < n) return null;
    job.tasks.forEach((task, i) => {
      this.put(this.push({ job, task, machine: picked[i]!, start: t, end: t + span }));
    });
    return t + span;
  }

  private push(b: Booking): Booking {
    this.bookings.push(b);
    return b;
  }

  private put(b: Booking): void {
    this.profiles[b.machine]!.add(b.start, b.end, b.job.need);
    this.teams.get(b.job.team)?.add(b.start, b.end, b.job.need);
  }

  private lift(b: Booking): void {
    this.profiles[b.machine]!.remove(b.start, b.end, b.job.need);
    this.teams.get(b.job.team)?.remove(b.start, b.end, b.job.need);
  }
}

function compare(a: readonly number[], b: readonly number[]): number {
  const n = Math.min(a.length, b.length);
  for (let i = 0; i < n; i++) if (a[i] !== b[i]) return a[i]! - b[i]!;
  return 0;
}

function smaller(a: readonly number[], b: readonly number[]): boolean {
  return compare(a, b) < 0;
}
