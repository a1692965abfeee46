import * as v from 'valibot';
import type { Log } from '../config/log.js';
import type { World } from '../context/context.js';
import type { Job, JobEntry } from '../jobs/job.js';
import { type JobSpec, PRIORITY } from '../wire/users.js';

/** Owners of jobs that are needed elsewhere are asked this often, all jobs of a shard with one question. */
const ASK_MS = 1000;
const SOON_MS = 60;
const ASKED_TOGETHER = 2000;
/** What an owner has said of its jobs' needers counts for so long. */
const CLAIM_MS = 5000;
/** When an owner has not answered for so long, the state service is asked, for so many jobs at a time. */
const OWNER_SILENT_MS = 3000;
const READS_AT_ONCE = 8;
/** When a job that is needed ends is not known: so long from now. */
const UNKNOWN_END_MS = 30_000;
/** Of the time in which what follows a cancelled job has to be cancelled, what may pass without knowing of it. */
const SURE_SHARE = 0.5;

const claimValue = v.object({ id: v.string(), priority: v.number(), dueWall: v.number() });
/** What a shard says of a job of another shard that it needs: how urgent the most urgent of its needers is. */
export type Claim = v.InferOutput<typeof claimValue>;

const standingValue = v.object({
  id: v.string(),
  state: v.picklist(['active', 'done', 'cancelled', 'unknown']),
  /** How long ago it was surely not to be cancelled for what it needs itself. */
  ageMs: v.number(),
  endInMs: v.number(),
});
/** How a job stands that is needed elsewhere. */
export type Standing = v.InferOutput<typeof standingValue>;

export function readClaims(value: unknown): Claim[] {
  const p = v.safeParse(v.array(claimValue), value);
  return p.success ? p.output : [];
}

export function readStandings(value: unknown): Standing[] {
  const p = v.safeParse(v.array(standingValue), value);
  return p.success ? p.output : [];
}

export interface WaitingHooks {
  /** How a job of this shard ended, as far as it is remembered. */
  endedHere(id: string): 'done' | 'cancelled' | null;
  /** Where a job is, or how it ended; null when it was never accepted. */
  locate(id: string): Promise<JobEntry | null>;
  /** How a job stands by the state service alone, with all that it needs. */
  read(id: string): Promise<'active' | 'done' | 'cancelled' | 'unsure'>;
  /** Loads a job of this shard that is stored and that this owner does not know of. */
  recall(id: string): Promise<unknown>;
  /** Asks the owner of another shard about its jobs, and says who needs them. */
  ask(shard: number, claims: Claim[]): Promise<Standing[]>;
  /** Tells the owner of a shard how a job ended that it needs. */
  tell(shard: number, id: string, status: 'done' | 'cancelled'): void;
  /** Nothing keeps the job from starting any more. */
  released(job: Job): void;
  /** A job that it needs was cancelled. */
  doomed(job: Job): void;
  /** When a job that waits for nothing is expected to end. */
  expectedEnd(job: Job, now: number): number;
  runS(spec: JobSpec): number;
}

/** A job that others need and that is not known to be over. */
interface Needed {
  needers: Set<Job>;
  /** The shard that it is in, when that is known. */
  shard: number | null;
  /** When it was last known not to be cancelled, nor to be about to be. */
  asOf: number;
  endAt: number | null;
  reading: boolean;
}

/**
 * Jobs of a shard that wait for others to be done, and their release. What becomes of them follows from the durable ends
 * of the jobs that they name: what owners tell each other only makes it quick, and whatever is lost is asked again.
 */
export class Waiting {
  private readonly needed = new Map<string, Needed>();
  /** What other shards need of this one, by job and shard. */
  private readonly claims = new Map<string, Map<number, Claim & { until: number }>>();
  /** Of jobs that wait: until when they were surely not to be cancelled, and when they are expected to be released. */
  private readonly known = new WeakMap<Job, { sureAt: number; releaseAt: number }>();
  private readonly inherited = new Set<Job>();
  private reads = 0;
  /** Something was not read since too much else was. */
  private readsLeft = false;
  private askedAt = Number.NEGATIVE_INFINITY;
  private soon = false;
  private stopped = false;

  constructor(
    private readonly world: World,
    private readonly index: number,
    private readonly jobs: ReadonlyMap<string, Job>,
    private readonly log: Log,
    private readonly hooks: WaitingHooks,
  ) {}

  /** Of the jobs that a new job names, those that are not known to be done. */
  async openOf(spec: JobSpec): Promise<{ open: Set<string>; cancelled: boolean } | { never: string }> {
    const open = new Set<string>();
    let cancelled = false;
    let never: string | null = null;
    const ids = [...spec.after];
    const check = async () => {
      for (let id = ids.pop(); id !== undefined && never === null; id = ids.pop()) {
        const entry = await this.find(id);
        if (!entry) never = id;
        else if (entry.final === 'cancelled') cancelled = true;
        else if (!entry.final) open.add(id);
      }
    };
    await Promise.all(Array.from({ length: Math.min(READS_AT_ONCE, ids.length) }, check));
    return never === null ? { open, cancelled } : { never };
  }

  private async find(id: string): Promise<JobEntry | null> {
    if (this.jobs.has(id)) return { shard: this.index };
    const final = this.hooks.endedHere(id);
    return final ? { shard: this.index, final } : this.hooks.locate(id);
  }

  /** Takes up jobs that were accepted, by this owner or one before it. */
  add(jobs: Iterable<Job>): void {
    const now = this.world.clock.now();
    let waits = false;
    for (const job of jobs) {
      if (!this.addOne(job)) continue;
      waits = true;
      // What comes before those that it needs follows with the next tick.
      this.assessOne(job, now);
      for (const id of job.waitsFor) this.pass(this.jobs.get(id), job.priority, this.dueBefore(job));
    }
    if (waits) this.lookSoon();
  }

  private addOne(job: Job): boolean {
    for (const id of job.spec.after) {
      const final = this.hooks.endedHere(id);
      if (final === 'done') continue;
      job.waitsFor.add(id);
      if (final === 'cancelled') this.doom(job);
      else this.need(id).needers.add(job);
    }
    return job.waitsFor.size > 0;
  }

  private need(id: string): Needed {
    let n = this.needed.get(id);
    if (!n) {
      const shard = this.jobs.has(id) ? this.index : null;
      n = { needers: new Set(), shard, asOf: Number.NEGATIVE_INFINITY, endAt: null, reading: false };
      this.needed.set(id, n);
    }
    return n;
  }

  private doom(job: Job): void {
    if (job.doomed) return;
    job.doomed = true;
    this.hooks.doomed(job);
  }

  /** A job is durably over: what needs it goes on or is cancelled, here and in other shards. */
  over(id: string, status: 'done' | 'cancelled', job: Job | null): void {
    for (const dep of job?.waitsFor ?? []) {
      const n = this.needed.get(dep);
      n?.needers.delete(job!);
      if (n?.needers.size === 0) this.needed.delete(dep);
    }
    const needed = this.needed.get(id);
    this.needed.delete(id);
    for (const needer of needed?.needers ?? []) {
      if (status === 'cancelled') this.doom(needer);
      else if (needer.waitsFor.delete(id) && needer.waitsFor.size === 0) {
        this.log.info({ job: needer.spec.id }, 'job released');
        this.hooks.released(needer);
      }
    }
    for (const shard of this.claims.get(id)?.keys() ?? []) this.hooks.tell(shard, id, status);
    this.claims.delete(id);
  }

  /** What another shard needs of this one, and how that stands. */
  claimed(from: number, claims: readonly Claim[]): Standing[] {
    const now = this.world.clock.now();
    return claims.map((c): Standing => {
      const job = this.jobs.get(c.id);
      const state = job ? 'active' : (this.hooks.endedHere(c.id) ?? 'unknown');
      if (!job) return { id: c.id, state, ageMs: 0, endInMs: 0 };
      let byShard = this.claims.get(c.id);
      if (!byShard) {
        byShard = new Map();
        this.claims.set(c.id, byShard);
      }
      byShard.set(from, { ...c, until: now + CLAIM_MS });
      const age = this.age(job, now);
      return {
        id: c.id,
        state,
        ageMs: Number.isFinite(age) ? age : 1e9,
        endInMs: Math.max(0, this.endOf(job, now) - now),
      };
    });
  }

  /** How long ago a job was surely not to be cancelled for one that it needs, directly or through others. */
  private age(job: Job, now: number): number {
    // One that its user wants cancelled may be called so by whoever reads its record, before its owner knows that it is stored.
    if (job.doomed || job.unwanted) return Number.POSITIVE_INFINITY;
    return job.waitsFor.size === 0 ? 0 : now - (this.known.get(job)?.sureAt ?? 0);
  }

  /**
   * Whether a user may be told that a job waits or runs. A job that one before it takes along must not be called queued for
   * long: where that cannot be known for some time, the user is told to come back.
   */
  mayTell(job: Job): boolean {
    const most = this.world.settings.workers.cancelS * 1000 * SURE_SHARE;
    return job.waitsFor.size === 0 || this.age(job, this.world.clock.now()) <= most;
  }

  /** When the last of the jobs that one needs is expected to end. */
  releaseAt(open: Iterable<string>, now: number): number {
    let at = now;
    for (const id of open) {
      const here = this.jobs.get(id);
      const end = here ? this.endOf(here, now) : (this.needed.get(id)?.endAt ?? now + UNKNOWN_END_MS);
      at = Math.max(at, end);
    }
    return at;
  }

  private endOf(job: Job, now: number): number {
    if (job.waitsFor.size === 0) return this.hooks.expectedEnd(job, now);
    return (this.known.get(job)?.releaseAt ?? now) + this.hooks.runS(job.spec) * 1000;
  }

  /** Works out for all jobs that wait what follows from the jobs that they need; those come before them in order. */
  private assess(now: number): void {
    const waiting = [...this.jobs.values()]
      .filter((j) => j.waitsFor.size > 0)
      .sort((a, b) => a.order - b.order);
    for (const job of waiting) this.assessOne(job, now);
    this.inherit(waiting);
  }

  private assessOne(job: Job, now: number): void {
    let sureAt = now;
    for (const id of job.waitsFor) {
      const here = this.jobs.get(id);
      sureAt = Math.min(sureAt, here ? now - this.age(here, now) : (this.needed.get(id)?.asOf ?? 0));
    }
    this.known.set(job, { sureAt, releaseAt: this.releaseAt(job.waitsFor, now) });
  }

  tick(now: number): void {
    for (const [id, byShard] of this.claims) {
      for (const [shard, c] of byShard) if (c.until < now || !this.jobs.has(id)) byShard.delete(shard);
      if (byShard.size === 0) this.claims.delete(id);
    }
    this.assess(now);
    if (now - this.askedAt >= ASK_MS) this.look(now);
  }

  /**
   * Jobs that are needed are as urgent as the most urgent that needs them, and due early enough for it to be done by its
   * own deadline.
   */
  private inherit(waiting: readonly Job[]): void {
    for (const job of this.inherited) {
      // One that has aged has been given its priority just now.
      if (job.aged) continue;
      job.priority = job.spec.priority;
      job.dueWall = job.deadlineWall;
    }
    this.inherited.clear();
    for (const [id, byShard] of this.claims) {
      for (const c of byShard.values()) this.pass(this.jobs.get(id), c.priority, c.dueWall);
    }
    // Those that need come after what they need, so that from the last on each has all of its own by its turn.
    for (let i = waiting.length - 1; i >= 0; i--) {
      const needer = waiting[i]!;
      const due = this.dueBefore(needer);
      for (const id of needer.waitsFor) this.pass(this.jobs.get(id), needer.priority, due);
    }
  }

  private pass(to: Job | undefined, priority: number, dueWall: number): void {
    if (!to) return;
    to.priority = Math.max(to.priority, priority);
    // As urgent by what needs it, it may stop lesser work again.
    if (priority >= PRIORITY.high) to.aged = false;
    to.dueWall = Math.min(to.dueWall, dueWall);
    this.inherited.add(to);
  }

  /** When what a job needs has to be done for it to be done in time. */
  private dueBefore(needer: Job): number {
    return needer.dueWall - this.hooks.runS(needer.spec) * 1000;
  }

  private lookSoon(): void {
    if (this.soon) return;
    this.soon = true;
    this.world.clock.after(SOON_MS, () => {
      this.soon = false;
      this.look(this.world.clock.now());
    });
  }

  /** The shard is lost: what it waited for is its next owner's to find out. */
  stop(): void {
    this.stopped = true;
  }

  private look(now: number): void {
    if (this.stopped) return;
    this.askedAt = now;
    const byShard = new Map<number, Claim[]>();
    for (const [id, n] of this.needed) {
      if (this.jobs.has(id)) n.shard = this.index;
      else if (n.shard === null) this.place(id, n);
      else if (n.shard === this.index) this.recallOnce(id, n);
      else {
        const claims = byShard.get(n.shard) ?? [];
        if (claims.length < ASKED_TOGETHER) claims.push(this.claim(id, n));
        byShard.set(n.shard, claims);
        if (now - n.asOf > OWNER_SILENT_MS) this.readOnce(id, n);
      }
    }
    for (const [shard, claims] of byShard) void this.askOwner(shard, claims);
  }

  private claim(id: string, n: Needed): Claim {
    let priority = 0;
    let dueWall = Number.MAX_SAFE_INTEGER;
    for (const job of n.needers) {
      priority = Math.max(priority, job.priority);
      dueWall = Math.min(dueWall, this.dueBefore(job));
    }
    return { id, priority, dueWall };
  }

  private async askOwner(shard: number, claims: Claim[]): Promise<void> {
    const sent = this.world.clock.now();
    let told: Standing[];
    try {
      told = await this.hooks.ask(shard, claims);
    } catch (error) {
      this.log.debug({ shard, error: String(error) }, 'owner does not tell of what is needed');
      return;
    }
    for (const t of told) {
      const n = this.needed.get(t.id);
      if (!n) continue;
      if (t.state === 'done' || t.state === 'cancelled') this.over(t.id, t.state, null);
      else if (t.state === 'unknown') this.readOnce(t.id, n);
      else {
        n.asOf = Math.max(n.asOf, sent - t.ageMs);
        n.endAt = this.world.clock.now() + t.endInMs;
      }
    }
  }

  private place(id: string, n: Needed): void {
    this.reading(n, async () => {
      const entry = await this.hooks.locate(id);
      if (entry?.final) this.over(id, entry.final, null);
      else if (entry) {
        n.shard = entry.shard;
        this.lookSoon();
      }
    });
  }

  /** A job that was accepted for this shard by another controller, or whose acceptance was applied late; or one long over. */
  private recallOnce(id: string, n: Needed): void {
    this.reading(n, async () => {
      await this.hooks.recall(id);
      const final = this.hooks.endedHere(id);
      const state = final ?? (this.jobs.has(id) ? 'active' : await this.hooks.read(id));
      if (state === 'done' || state === 'cancelled') this.over(id, state, null);
    });
  }

  private readOnce(id: string, n: Needed): void {
    this.reading(n, async () => {
      const sent = this.world.clock.now();
      const state = await this.hooks.read(id);
      if (state === 'active') n.asOf = Math.max(n.asOf, sent);
      else if (state !== 'unsure') this.over(id, state, null);
    });
  }

  /** Few reads at a time, however many jobs wait: they take from the rate that acceptances need. */
  private reading(n: Needed, work: () => Promise<void>): void {
    if (n.reading) return;
    if (this.reads >= READS_AT_ONCE) {
      this.readsLeft = true;
      return;
    }
    n.reading = true;
    this.reads++;
    void work()
      .then(() => {
        // The next ones at once, but after a failure only with the next tick.
        if (this.readsLeft) this.lookSoon();
        this.readsLeft = false;
      })
      .catch((error) => this.log.debug({ error: String(error) }, 'what is needed was not read'))
      .finally(() => {
        n.reading = false;
        this.reads--;
      });
  }
}
