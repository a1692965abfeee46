import type { Log } from '../config/log.js';
import type { ControllerContext } from '../context/context.js';
import type { Job, JobEntry } from '../jobs/job.js';
import type { JobSpec } from '../wire/users.js';
import type { DependencyStatus, DependentClaim } from './dependencymessages.js';
import {
  type Dependency,
  DependencyPoller,
  type DependencyPollerHooks,
  MAX_CONCURRENT_READS,
} from './dependencypoller.js';
import { UrgencyPropagation } from './urgencypropagation.js';

/** What another owner has said of the dependents of a job counts for so long. */
const CLAIM_VALID_MS = 5000;
/** When a job that others depend on ends is not known: so long from now. */
const DEFAULT_REMAINING_MS = 30_000;
/** Of the time in which the dependents of a cancelled job have to be cancelled, the share that may pass without knowing of it. */
const MAX_KNOWLEDGE_AGE_SHARE = 0.5;
/** Sent for an age that is not finite, which JSON could not hold. */
const UNKNOWN_AGE_MS = 1e9;

/** What the tracker asks of its shard and of the owners of other shards. */
export interface DependencyTrackerHooks extends Omit<DependencyPollerHooks, 'onEnded'> {
  /** Tells the owner of a shard how a job ended that jobs of that shard depend on. */
  notifyEnded(shard: number, id: string, status: 'done' | 'cancelled'): void;
  /** All that the job depends on is done. */
  onReleased(job: Job): void;
  /** A job that it depends on was cancelled. */
  onCancelledByDependency(job: Job): void;
  /** When a job that waits for no other is expected to end, in steady milliseconds. */
  expectedEnd(job: Job, now: number): number;
  /** How long a task of a job is expected to run, in seconds. */
  runS(spec: JobSpec): number;
}

/** What the dependencies of a new job allow: which of them are not known to be done, or that one was never accepted. */
export type DependencyCheck =
  | { readonly kind: 'known'; readonly unfinished: ReadonlySet<string>; readonly anyCancelled: boolean }
  | { readonly kind: 'neverAccepted'; readonly id: string };

/** What is known of a job that waits; times in steady milliseconds. */
interface Assessment {
  /** Until when it was surely not to be cancelled. */
  readonly sureAt: number;
  /** When all that it waits for is expected to have ended. */
  readonly expectedReleaseAt: number;
}

/**
 * Jobs of a shard that wait for others to be done, and their release. What becomes of them follows from the durable ends
 * of the jobs that they name: messages between owners only make it quick, and whatever is lost is asked for again.
 */
export class DependencyTracker {
  private readonly dependencies = new Map<string, Dependency>();
  /** The claims of other shards on jobs of this one, by job and shard. */
  private readonly claims = new Map<string, Map<number, DependentClaim & { until: number }>>();
  /** Of the jobs that wait. */
  private readonly assessments = new WeakMap<Job, Assessment>();
  private readonly urgency: UrgencyPropagation;
  private readonly poller: DependencyPoller;

  constructor(
    private readonly context: ControllerContext,
    private readonly index: number,
    private readonly jobs: ReadonlyMap<string, Job>,
    private readonly log: Log,
    private readonly hooks: DependencyTrackerHooks,
  ) {
    this.urgency = new UrgencyPropagation(jobs, (spec) => hooks.runS(spec));
    this.poller = new DependencyPoller({
      context,
      index,
      jobs,
      dependencies: this.dependencies,
      urgency: this.urgency,
      log,
      hooks: { ...hooks, onEnded: (id, status) => this.onJobEnded(id, status, null) },
    });
  }

  /** The shard is lost: what its jobs depend on is its next owner's to find out. */
  stop(): void {
    this.poller.stop();
  }

  /** Of the jobs that a new job names, those that are not known to be done. */
  async unfinishedDependencies(spec: JobSpec): Promise<DependencyCheck> {
    const unfinished = new Set<string>();
    let anyCancelled = false;
    let neverAccepted: string | null = null;
    const ids = [...spec.after];
    const check = async () => {
      for (let id = ids.pop(); id !== undefined && neverAccepted === null; id = ids.pop()) {
        const entry = await this.find(id);
        if (!entry) neverAccepted = id;
        else if (entry.final === 'cancelled') anyCancelled = true;
        else if (!entry.final) unfinished.add(id);
      }
    };
    await Promise.all(Array.from({ length: Math.min(MAX_CONCURRENT_READS, ids.length) }, check));
    return neverAccepted === null
      ? { kind: 'known', unfinished, anyCancelled }
      : { kind: 'neverAccepted', id: neverAccepted };
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
      // The dependencies of its dependencies follow with the next tick.
      this.assess(job, now);
      this.urgency.boostDependencies(job);
    }
    if (waits) this.poller.pollSoon();
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
    let dependency = this.dependencies.get(id);
    if (!dependency) {
      dependency = {
        dependents: new Set(),
        shard: this.jobs.has(id) ? this.index : null,
        activeAsOf: Number.NEGATIVE_INFINITY,
        expectedEndAt: null,
        readInFlight: false,
      };
      this.dependencies.set(id, dependency);
    }
    return dependency;
  }

  private cancelByDependency(job: Job): void {
    if (job.cancelledByDependency) return;
    job.cancelledByDependency = true;
    this.hooks.onCancelledByDependency(job);
  }

  /**
   * A job is durably over: its dependents are released or cancelled, here and in other shards. `job` is the job itself when it
   * was in memory here.
   */
  onJobEnded(id: string, status: 'done' | 'cancelled', job: Job | null): void {
    if (job) this.removeDependent(job);
    const ended = this.dependencies.get(id);
    this.dependencies.delete(id);
    for (const dependent of ended?.dependents ?? []) {
      if (status === 'cancelled') this.cancelByDependency(dependent);
      else if (dependent.pendingDependencies.delete(id) && dependent.pendingDependencies.size === 0) {
        this.log.info({ job: dependent.spec.id }, 'job released');
        this.hooks.onReleased(dependent);
      }
    }
    for (const shard of this.claims.get(id)?.keys() ?? []) this.hooks.notifyEnded(shard, id, status);
    this.claims.delete(id);
  }

  private removeDependent(job: Job): void {
    for (const id of job.pendingDependencies) {
      const dependency = this.dependencies.get(id);
      dependency?.dependents.delete(job);
      if (dependency?.dependents.size === 0) this.dependencies.delete(id);
    }
  }

  /** Notes the claims of another shard on jobs of this one; returns the status of each of those jobs. */
  onDependentClaims(from: number, claims: readonly DependentClaim[]): DependencyStatus[] {
    const now = this.context.clock.now();
    return claims.map((c): DependencyStatus => {
      const job = this.jobs.get(c.id);
      if (!job) return { id: c.id, state: this.hooks.endedStatus(c.id) ?? 'unknown', ageMs: 0, endInMs: 0 };
      const byShard = this.claims.get(c.id) ?? new Map<number, DependentClaim & { until: number }>();
      this.claims.set(c.id, byShard);
      byShard.set(from, { ...c, until: now + CLAIM_VALID_MS });
      const age = this.knowledgeAgeMs(job, now);
      return {
        id: c.id,
        state: 'active',
        ageMs: Number.isFinite(age) ? age : UNKNOWN_AGE_MS,
        endInMs: Math.max(0, this.expectedEndOf(job, now) - now),
      };
    });
  }

  /** How long ago a job was surely not to be cancelled for one of its dependencies, direct or not; milliseconds. */
  private knowledgeAgeMs(job: Job, now: number): number {
    // One that its user wants cancelled may be called so by whoever reads its record, before its owner knows that it is stored.
    if (job.cancelledByDependency || job.cancelRequested) return Number.POSITIVE_INFINITY;
    return job.pendingDependencies.size === 0 ? 0 : now - (this.assessments.get(job)?.sureAt ?? 0);
  }

  /**
   * Whether it may be reported to a user that a job waits or runs. A job that is cancelled with one of its dependencies must
   * not be called queued for long: where that cannot be known for some time, the user has to ask again.
   */
  mayReportStatus(job: Job): boolean {
    const maxAgeMs = this.context.settings.workers.cancelS * 1000 * MAX_KNOWLEDGE_AGE_SHARE;
    return (
      job.pendingDependencies.size === 0 || this.knowledgeAgeMs(job, this.context.clock.now()) <= maxAgeMs
    );
  }

  /** When the last of these jobs is expected to end, in steady milliseconds. */
  releaseAt(unfinished: Iterable<string>, now: number): number {
    let at = now;
    for (const id of unfinished) {
      const local = this.jobs.get(id);
      const end = local
        ? this.expectedEndOf(local, now)
        : (this.dependencies.get(id)?.expectedEndAt ?? now + DEFAULT_REMAINING_MS);
      at = Math.max(at, end);
    }
    return at;
  }

  private expectedEndOf(job: Job, now: number): number {
    if (job.pendingDependencies.size === 0) return this.hooks.expectedEnd(job, now);
    return (this.assessments.get(job)?.expectedReleaseAt ?? now) + this.hooks.runS(job.spec) * 1000;
  }

  /** Assesses all jobs that wait by their dependencies; those come before them in order. */
  private assessAll(now: number): void {
    const waiting = [...this.jobs.values()]
      .filter((j) => j.pendingDependencies.size > 0)
      .sort((a, b) => a.order - b.order);
    for (const job of waiting) this.assess(job, now);
    this.urgency.propagate(this.allClaims(), waiting);
  }

  private assess(job: Job, now: number): void {
    let sureAt = now;
    for (const id of job.pendingDependencies) {
      const local = this.jobs.get(id);
      sureAt = Math.min(
        sureAt,
        local ? now - this.knowledgeAgeMs(local, now) : (this.dependencies.get(id)?.activeAsOf ?? 0),
      );
    }
    this.assessments.set(job, { sureAt, expectedReleaseAt: this.releaseAt(job.pendingDependencies, now) });
  }

  private *allClaims(): Iterable<readonly [string, DependentClaim]> {
    for (const [id, byShard] of this.claims) for (const claim of byShard.values()) yield [id, claim];
  }

  /** Drops claims that have run out, assesses the jobs that wait, and polls when it is time; `now` in steady milliseconds. */
  tick(now: number): void {
    for (const [id, byShard] of this.claims) {
      for (const [shard, c] of byShard) if (c.until < now || !this.jobs.has(id)) byShard.delete(shard);
      if (byShard.size === 0) this.claims.delete(id);
    }
    this.assessAll(now);
    this.poller.pollIfDue(now);
  }
}
