import * as v from 'valibot';
import type { Log } from '../config/log.js';
import type { ControllerContext } from '../context/context.js';
import type { Job, JobEntry } from '../jobs/job.js';
import { type JobSpec, PRIORITY } from '../wire/users.js';

/** Owners of jobs that are needed elsewhere are asked this often, all jobs of a shard with one question. */
const POLL_INTERVAL_MS = 1000;
const POLL_DELAY_MS = 60;
const MAX_CLAIMS_PER_REQUEST = 2000;
/** What an owner has said of its jobs' needers counts for so long. */
const CLAIM_VALID_MS = 5000;
/** When an owner has not answered for so long, the state service is asked, for so many jobs at a time. */
const OWNER_SILENT_MS = 3000;
const MAX_CONCURRENT_READS = 8;
/** When a job that is needed ends is not known: so long from now. */
const DEFAULT_REMAINING_MS = 30_000;
/** Of the time in which what follows a cancelled job has to be cancelled, what may pass without knowing of it. */
const MAX_KNOWLEDGE_AGE_SHARE = 0.5;

const dependentClaimValue = v.object({ id: v.string(), priority: v.number(), dueWall: v.number() });
/** What a shard says of a job of another shard that it needs: how urgent the most urgent of its needers is. */
export type DependentClaim = v.InferOutput<typeof dependentClaimValue>;

const dependencyStatusValue = v.object({
  id: v.string(),
  state: v.picklist(['active', 'done', 'cancelled', 'unknown']),
  /** How long ago it was surely not to be cancelled for what it needs itself. */
  ageMs: v.number(),
  endInMs: v.number(),
});
/** How a job stands that is needed elsewhere. */
export type DependencyStatus = v.InferOutput<typeof dependencyStatusValue>;

export function readDependentClaims(value: unknown): DependentClaim[] {
  const p = v.safeParse(v.array(dependentClaimValue), value);
  return p.success ? p.output : [];
}

export function readDependencyStatuses(value: unknown): DependencyStatus[] {
  const p = v.safeParse(v.array(dependencyStatusValue), value);
  return p.success ? p.output : [];
}

export interface DependencyTrackerHooks {
  /** How a job of this shard ended, as far as it is remembered. */
  endedStatus(id: string): 'done' | 'cancelled' | null;
  /** Where a job is, or how it ended; null when it was never accepted. */
  locate(id: string): Promise<JobEntry | null>;
  /** How a job stands by the state service alone, with all that it needs. */
  jobStatusFromStore(id: string): Promise<'active' | 'done' | 'cancelled' | 'unsure'>;
  /** Loads a job of this shard that is stored and that this owner does not know of. */
  recall(id: string): Promise<unknown>;
  /** Asks the owner of another shard about its jobs, and says who needs them. */
  requestStatus(shard: number, claims: DependentClaim[]): Promise<DependencyStatus[]>;
  /** Tells the owner of a shard how a job ended that it needs. */
  notifyEnded(shard: number, id: string, status: 'done' | 'cancelled'): void;
  /** Nothing keeps the job from starting any more. */
  onReleased(job: Job): void;
  /** A job that it needs was cancelled. */
  onCancelledByDependency(job: Job): void;
  /** When a job that waits for nothing is expected to end. */
  expectedEnd(job: Job, now: number): number;
  runS(spec: JobSpec): number;
}

/** A job that others need and that is not known to be over. */
interface Dependency {
  dependents: Set<Job>;
  /** The shard that it is in, when that is known. */
  shard: number | null;
  /** When it was last known not to be cancelled, nor to be about to be. */
  activeAsOf: number;
  expectedEndAt: number | null;
  runBoundedRead: boolean;
}

/**
 * Jobs of a shard that wait for others to be done, and their release. What becomes of them follows from the durable ends
 * of the jobs that they name: what owners tell each other only makes it quick, and whatever is lost is asked again.
 */
export class DependencyTracker {
  private readonly dependencies = new Map<string, Dependency>();
  /** What other shards need of this one, by job and shard. */
  private readonly claims = new Map<string, Map<number, DependentClaim & { until: number }>>();
  /** Of jobs that wait: until when they were surely not to be cancelled, and when they are expected to be released. */
  private readonly assessments = new WeakMap<Job, { sureAt: number; expectedReleaseAt: number }>();
  private readonly boostedJobs = new Set<Job>();
  private readsInFlight = 0;
  /** Something was not read since too much else was. */
  private readsDeferred = false;
  private polledAt = Number.NEGATIVE_INFINITY;
  private pollScheduled = false;
  private stopped = false;

  constructor(
    private readonly context: ControllerContext,
    private readonly index: number,
    private readonly jobs: ReadonlyMap<string, Job>,
    private readonly log: Log,
    private readonly hooks: DependencyTrackerHooks,
  ) {}

  /** Of the jobs that a new job names, those that are not known to be done. */
  async unfinishedDependencies(
    spec: JobSpec,
  ): Promise<{ open: Set<string>; cancelled: boolean } | { never: string }> {
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
    await Promise.all(Array.from({ length: Math.min(MAX_CONCURRENT_READS, ids.length) }, check));
    return never === null ? { open, cancelled } : { never };
  }

  private async find(id: string): Promise<JobEntry | null> {
    if (this.jobs.has(id)) return { shard: this.index };
    const final = this.hooks.endedStatus(id);
    return final ? { shard: this.index, final } : this.hooks.locate(id);
  }

  /** Takes up jobs that were accepted, by this owner or one before it. */
  add(jobs: Iterable<Job>): void {
    const now = this.context.clock.now();
    let waits = false;
    for (const job of jobs) {
      if (!this.addOne(job)) continue;
      waits = true;
      // What comes before those that it needs follows with the next tick.
      this.assess(job, now);
      for (const id of job.pendingDependencies)
        this.boost(this.jobs.get(id), job.priority, this.latestDependencyEnd(job));
    }
    if (waits) this.pollSoon();
  }

  private addOne(job: Job): boolean {
    for (const id of job.spec.after) {
      const final = this.hooks.endedStatus(id);
      if (final === 'done') continue;
      job.pendingDependencies.add(id);
      if (final === 'cancelled') this.cancelByDependency(job);
      else this.dependency(id).dependents.add(job);
    }
    return job.pendingDependencies.size > 0;
  }

  private dependency(id: string): Dependency {
    let n = this.dependencies.get(id);
    if (!n) {
      const shard = this.jobs.has(id) ? this.index : null;
      n = {
        dependents: new Set(),
        shard,
        activeAsOf: Number.NEGATIVE_INFINITY,
        expectedEndAt: null,
        runBoundedRead: false,
      };
      this.dependencies.set(id, n);
    }
    return n;
  }

  private cancelByDependency(job: Job): void {
    if (job.cancelledByDependency) return;
    job.cancelledByDependency = true;
    this.hooks.onCancelledByDependency(job);
  }

  /** A job is durably over: what needs it goes on or is cancelled, here and in other shards. */
  onJobEnded(id: string, status: 'done' | 'cancelled', job: Job | null): void {
    for (const dep of job?.pendingDependencies ?? []) {
      const n = this.dependencies.get(dep);
      n?.dependents.delete(job!);
      if (n?.dependents.size === 0) this.dependencies.delete(dep);
    }
    const needed = this.dependencies.get(id);
    this.dependencies.delete(id);
    for (const needer of needed?.dependents ?? []) {
      if (status === 'cancelled') this.cancelByDependency(needer);
      else if (needer.pendingDependencies.delete(id) && needer.pendingDependencies.size === 0) {
        this.log.info({ job: needer.spec.id }, 'job released');
        this.hooks.onReleased(needer);
      }
    }
    for (const shard of this.claims.get(id)?.keys() ?? []) this.hooks.notifyEnded(shard, id, status);
    this.claims.delete(id);
  }

  /** What another shard needs of this one, and how that stands. */
  onDependentClaims(from: number, claims: readonly DependentClaim[]): DependencyStatus[] {
    const now = this.context.clock.now();
    return claims.map((c): DependencyStatus => {
      const job = this.jobs.get(c.id);
      const state = job ? 'active' : (this.hooks.endedStatus(c.id) ?? 'unknown');
      if (!job) return { id: c.id, state, ageMs: 0, endInMs: 0 };
      let byShard = this.claims.get(c.id);
      if (!byShard) {
        byShard = new Map();
        this.claims.set(c.id, byShard);
      }
      byShard.set(from, { ...c, until: now + CLAIM_VALID_MS });
      const age = this.knowledgeAgeMs(job, now);
      return {
        id: c.id,
        state,
        ageMs: Number.isFinite(age) ? age : 1e9,
        endInMs: Math.max(0, this.expectedEndOf(job, now) - now),
      };
    });
  }

  /** How long ago a job was surely not to be cancelled for one that it needs, directly or through others. */
  private knowledgeAgeMs(job: Job, now: number): number {
    // One that its user wants cancelled may be called so by whoever reads its record, before its owner knows that it is stored.
    if (job.cancelledByDependency || job.cancelRequested) return Number.POSITIVE_INFINITY;
    return job.pendingDependencies.size === 0 ? 0 : now - (this.assessments.get(job)?.sureAt ?? 0);
  }

  /**
   * Whether a user may be told that a job waits or runs. A job that one before it takes along must not be called queued for
   * long: where that cannot be known for some time, the user is told to come back.
   */
  mayReportStatus(job: Job): boolean {
    const most = this.context.settings.workers.cancelS * 1000 * MAX_KNOWLEDGE_AGE_SHARE;
    return job.pendingDependencies.size === 0 || this.knowledgeAgeMs(job, this.context.clock.now()) <= most;
  }

  /** When the last of the jobs that one needs is expected to end. */
  releaseAt(open: Iterable<string>, now: number): number {
    let at = now;
    for (const id of open) {
      const here = this.jobs.get(id);
      const end = here
        ? this.expectedEndOf(here, now)
        : (this.dependencies.get(id)?.expectedEndAt ?? now + DEFAULT_REMAINING_MS);
      at = Math.max(at, end);
    }
    return at;
  }

  private expectedEndOf(job: Job, now: number): number {
    if (job.pendingDependencies.size === 0) return this.hooks.expectedEnd(job, now);
    return (this.assessments.get(job)?.expectedReleaseAt ?? now) + this.hooks.runS(job.spec) * 1000;
  }

  /** Works out for all jobs that wait what follows from the jobs that they need; those come before them in order. */
  private assessAll(now: number): void {
    const waiting = [...this.jobs.values()]
      .filter((j) => j.pendingDependencies.size > 0)
      .sort((a, b) => a.order - b.order);
    for (const job of waiting) this.assess(job, now);
    this.propagateUrgency(waiting);
  }

  private assess(job: Job, now: number): void {
    let sureAt = now;
    for (const id of job.pendingDependencies) {
      const here = this.jobs.get(id);
      sureAt = Math.min(
        sureAt,
        here ? now - this.knowledgeAgeMs(here, now) : (this.dependencies.get(id)?.activeAsOf ?? 0),
      );
    }
    this.assessments.set(job, { sureAt, expectedReleaseAt: this.releaseAt(job.pendingDependencies, now) });
  }

  tick(now: number): void {
    for (const [id, byShard] of this.claims) {
      for (const [shard, c] of byShard) if (c.until < now || !this.jobs.has(id)) byShard.delete(shard);
      if (byShard.size === 0) this.claims.delete(id);
    }
    this.assessAll(now);
    if (now - this.polledAt >= POLL_INTERVAL_MS) this.poll(now);
  }

  /**
   * Jobs that are needed are as urgent as the most urgent that needs them, and due early enough for it to be done by its
   * own deadline.
   */
  private propagateUrgency(waiting: readonly Job[]): void {
    for (const job of this.boostedJobs) {
      // One that has aged has been given its priority just now.
      if (job.aged) continue;
      job.priority = job.spec.priority;
      job.dueWall = job.deadlineWall;
    }
    this.boostedJobs.clear();
    for (const [id, byShard] of this.claims) {
      for (const c of byShard.values()) this.boost(this.jobs.get(id), c.priority, c.dueWall);
    }
    // Those that need come after what they need, so that from the last on each has all of its own by its turn.
    for (let i = waiting.length - 1; i >= 0; i--) {
      const needer = waiting[i]!;
      const due = this.latestDependencyEnd(needer);
      for (const id of needer.pendingDependencies) this.boost(this.jobs.get(id), needer.priority, due);
    }
  }

  private boost(to: Job | undefined, priority: number, dueWall: number): void {
    if (!to) return;
    to.priority = Math.max(to.priority, priority);
    // As urgent by what needs it, it may stop lesser work again.
    if (priority >= PRIORITY.high) to.aged = false;
    to.dueWall = Math.min(to.dueWall, dueWall);
    this.boostedJobs.add(to);
  }

  /** When what a job needs has to be done for it to be done in time. */
  private latestDependencyEnd(needer: Job): number {
    return needer.dueWall - this.hooks.runS(needer.spec) * 1000;
  }

  private pollSoon(): void {
    if (this.pollScheduled) return;
    this.pollScheduled = true;
    this.context.clock.after(POLL_DELAY_MS, () => {
      this.pollScheduled = false;
      this.poll(this.context.clock.now());
    });
  }

  /** The shard is lost: what it waited for is its next owner's to find out. */
  stop(): void {
    this.stopped = true;
  }

  private poll(now: number): void {
    if (this.stopped) return;
    this.polledAt = now;
    const byShard = new Map<number, DependentClaim[]>();
    for (const [id, n] of this.dependencies) {
      if (this.jobs.has(id)) n.shard = this.index;
      else if (n.shard === null) this.locate(id, n);
      else if (n.shard === this.index) this.recall(id, n);
      else {
        const claims = byShard.get(n.shard) ?? [];
        if (claims.length < MAX_CLAIMS_PER_REQUEST) claims.push(this.claimFor(id, n));
        byShard.set(n.shard, claims);
        if (now - n.activeAsOf > OWNER_SILENT_MS) this.readStatus(id, n);
      }
    }
    for (const [shard, claims] of byShard) void this.requestFromOwner(shard, claims);
  }

  private claimFor(id: string, n: Dependency): DependentClaim {
    let priority = 0;
    let dueWall = Number.MAX_SAFE_INTEGER;
    for (const job of n.dependents) {
      priority = Math.max(priority, job.priority);
      dueWall = Math.min(dueWall, this.latestDependencyEnd(job));
    }
    return { id, priority, dueWall };
  }

  private async requestFromOwner(shard: number, claims: DependentClaim[]): Promise<void> {
    const sent = this.context.clock.now();
    let told: DependencyStatus[];
    try {
      told = await this.hooks.requestStatus(shard, claims);
    } catch (error) {
      this.log.debug({ shard, err: error }, 'owner does not tell of what is needed');
      return;
    }
    for (const t of told) {
      const n = this.dependencies.get(t.id);
      if (!n) continue;
      if (t.state === 'done' || t.state === 'cancelled') this.onJobEnded(t.id, t.state, null);
      else if (t.state === 'unknown') this.readStatus(t.id, n);
      else {
        n.activeAsOf = Math.max(n.activeAsOf, sent - t.ageMs);
        n.expectedEndAt = this.context.clock.now() + t.endInMs;
      }
    }
  }

  private locate(id: string, n: Dependency): void {
    this.reading(n, async () => {
      const entry = await this.hooks.locate(id);
      if (entry?.final) this.onJobEnded(id, entry.final, null);
      else if (entry) {
        n.shard = entry.shard;
        this.pollSoon();
      }
    });
  }

  /** A job that was accepted for this shard by another controller, or whose acceptance was applied late; or one long over. */
  private recall(id: string, n: Dependency): void {
    this.reading(n, async () => {
      await this.hooks.recall(id);
      const final = this.hooks.endedStatus(id);
      const state = final ?? (this.jobs.has(id) ? 'active' : await this.hooks.jobStatusFromStore(id));
      if (state === 'done' || state === 'cancelled') this.onJobEnded(id, state, null);
    });
  }

  private readStatus(id: string, n: Dependency): void {
    this.reading(n, async () => {
      const sent = this.context.clock.now();
      const state = await this.hooks.jobStatusFromStore(id);
      if (state === 'active') n.activeAsOf = Math.max(n.activeAsOf, sent);
      else if (state !== 'unsure') this.onJobEnded(id, state, null);
    });
  }

  /** Few reads at a time, however many jobs wait: they take from the rate that acceptances need. */
  private reading(n: Dependency, work: () => Promise<void>): void {
    if (n.runBoundedRead) return;
    if (this.readsInFlight >= MAX_CONCURRENT_READS) {
      this.readsDeferred = true;
      return;
    }
    n.runBoundedRead = true;
    this.readsInFlight++;
    void work()
      .then(() => {
        // The next ones at once, but after a failure only with the next tick.
        if (this.readsDeferred) this.pollSoon();
        this.readsDeferred = false;
      })
      .catch((error) => this.log.debug({ err: error }, 'what is needed was not read'))
      .finally(() => {
        n.runBoundedRead = false;
        this.readsInFlight--;
      });
  }
}
