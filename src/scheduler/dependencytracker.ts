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

/** How long a claim that another shard has sent on a job remains valid. */
const CLAIM_VALID_MS = 5000;
/** Assumed time until the end of a dependency whose expected end is not known. */
const DEFAULT_REMAINING_MS = 30_000;
/**
 * Maximum age of the status of a waiting job's dependencies, as a share of the time within which the dependents of
 * a cancelled job have to be cancelled.
 */
const MAX_STATUS_AGE_SHARE = 0.5;
/** Sent in place of an age that is not finite, because JSON cannot represent infinity. */
const UNKNOWN_AGE_MS = 1e9;

/** Callbacks by which the tracker queries and notifies its shard and the owners of other shards. */
export interface DependencyTrackerHooks extends Omit<DependencyPollerHooks, 'onEnded'> {
  /** Notifies the owner of a shard of the end of a job that jobs of that shard depend on. */
  notifyEnded(shard: number, id: string, status: 'done' | 'cancelled'): void;
  /** Called when all dependencies of a job are done. */
  onReleased(job: Job): void;
  /** Called when a dependency of a job was cancelled. */
  onCancelledByDependency(job: Job): void;
  /** Returns the expected end of a job without unfinished dependencies, on the monotonic clock in milliseconds. */
  expectedEnd(job: Job, now: number): number;
  /** Returns the expected run time of a task of a job, in seconds. */
  runS(spec: JobSpec): number;
}

/**
 * The dependencies of a new job: which of them are unfinished and whether one was cancelled, or that one was never
 * accepted.
 */
export type DependencyCheck =
  | { readonly kind: 'known'; readonly unfinished: ReadonlySet<string>; readonly anyCancelled: boolean }
  | { readonly kind: 'neverAccepted'; readonly id: string };

/** Assessment of a waiting job; times are on the monotonic clock, in milliseconds. */
interface Assessment {
  /** The last time when it was certain that no dependency causes the job to be cancelled. */
  readonly activeAsOf: number;
  /** When all of its unfinished dependencies are expected to have ended. */
  readonly expectedReleaseAt: number;
}

/**
 * Tracks the jobs of a shard that wait for other jobs, and releases or cancels them. Their outcome depends only on
 * the durably stored ends of the jobs that they name: messages between owners merely speed this up, and information
 * from a lost message is requested again.
 */
export class DependencyTracker {
  private readonly dependencies = new Map<string, Dependency>();
  /** The claims of other shards on jobs of this one, by job and by the claiming shard. */
  private readonly claims = new Map<string, Map<number, DependentClaim & { until: number }>>();
  /** The assessments of the waiting jobs. */
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

  /** Stops polling after the shard is lost: its next owner determines the status of the dependencies. */
  stop(): void {
    this.poller.stop();
  }

  /** Looks up the dependencies that a new job names. */
  async unfinishedDependencies(spec: JobSpec): Promise<DependencyCheck> {
    const unfinished = new Set<string>();
    let anyCancelled = false;
    let neverAccepted: string | null = null;
    const ids = [...spec.after];
    const checkRemaining = async () => {
      for (let id = ids.pop(); id !== undefined && neverAccepted === null; id = ids.pop()) {
        const entry = await this.locateJob(id);
        if (!entry) neverAccepted = id;
        else if (entry.final === 'cancelled') anyCancelled = true;
        else if (!entry.final) unfinished.add(id);
      }
    };
    await Promise.all(Array.from({ length: Math.min(MAX_CONCURRENT_READS, ids.length) }, checkRemaining));
    return neverAccepted === null
      ? { kind: 'known', unfinished, anyCancelled }
      : { kind: 'neverAccepted', id: neverAccepted };
  }

  private async locateJob(id: string): Promise<JobEntry | null> {
    if (this.jobs.has(id)) return { shard: this.index };
    const final = this.hooks.endedStatus(id);
    return final ? { shard: this.index, final } : this.hooks.locate(id);
  }

  /** Starts tracking the dependencies of jobs that this owner or a former one has accepted. */
  add(jobs: Iterable<Job>): void {
    const now = this.context.clock.now();
    let anyWaiting = false;
    for (const job of jobs) {
      if (!this.trackDependencies(job)) continue;
      anyWaiting = true;
      // Boosts only the direct dependencies; the indirect ones follow with the next tick.
      this.assess(job, now);
      this.urgency.boostDependencies(job);
    }
    if (anyWaiting) this.poller.pollSoon();
  }

  private trackDependencies(job: Job): boolean {
    for (const id of job.spec.after) {
      const final = this.hooks.endedStatus(id);
      if (final === 'done') continue;
      job.pendingDependencies.add(id);
      if (final === 'cancelled') this.cancelByDependency(job);
      else this.dependencyOf(id).dependents.add(job);
    }
    return job.pendingDependencies.size > 0;
  }

  private dependencyOf(id: string): Dependency {
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
   * Releases or cancels the dependents of a job that has durably ended, and notifies the other shards that depend
   * on it. `job` is the job itself if it was in memory here.
   */
  onJobEnded(id: string, status: 'done' | 'cancelled', job: Job | null): void {
    if (job) this.removeDependent(job);
    const dependency = this.dependencies.get(id);
    this.dependencies.delete(id);
    for (const dependent of dependency?.dependents ?? []) {
      if (status === 'cancelled') this.cancelByDependency(dependent);
      else if (dependent.pendingDependencies.delete(id) && dependent.pendingDependencies.size === 0) {
        this.log.info({ job: dependent.spec.id }, 'job released: all of its dependencies are done');
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

  /** Records the claims of another shard on jobs of this one, and returns the status of each of those jobs. */
  onDependentClaims(fromShard: number, claims: readonly DependentClaim[]): DependencyStatus[] {
    const now = this.context.clock.now();
    return claims.map((claim): DependencyStatus => {
      const job = this.jobs.get(claim.id);
      if (!job)
        return { id: claim.id, state: this.hooks.endedStatus(claim.id) ?? 'unknown', ageMs: 0, endInMs: 0 };
      const byShard = this.claims.get(claim.id) ?? new Map<number, DependentClaim & { until: number }>();
      this.claims.set(claim.id, byShard);
      byShard.set(fromShard, { ...claim, until: now + CLAIM_VALID_MS });
      const statusAge = this.statusAgeMs(job, now);
      return {
        id: claim.id,
        state: 'active',
        ageMs: Number.isFinite(statusAge) ? statusAge : UNKNOWN_AGE_MS,
        endInMs: Math.max(0, this.expectedEndOf(job, now) - now),
      };
    });
  }

  /**
   * Returns the time since it was last certain that no direct or indirect dependency causes a job to be cancelled,
   * in milliseconds.
   */
  private statusAgeMs(job: Job, now: number): number {
    // A job whose user has requested its cancellation may be reported as cancelled by any node that reads its
    // record, before its owner knows that the cancellation is stored.
    if (job.cancelledByDependency || job.cancelRequested) return Number.POSITIVE_INFINITY;
    return job.pendingDependencies.size === 0 ? 0 : now - (this.assessments.get(job)?.activeAsOf ?? 0);
  }

  /**
   * Returns whether a job may be reported to a user as queued or running. A job that is cancelled because of one of
   * its dependencies must not be reported as queued for long: while the status of its dependencies is too old to
   * rule this out, the user has to ask again.
   */
  mayReportStatus(job: Job): boolean {
    const maxAgeMs = this.context.settings.workers.cancelS * 1000 * MAX_STATUS_AGE_SHARE;
    return job.pendingDependencies.size === 0 || this.statusAgeMs(job, this.context.clock.now()) <= maxAgeMs;
  }

  /** Returns the expected end of the last of these jobs, on the monotonic clock in milliseconds. */
  releaseAt(unfinished: Iterable<string>, now: number): number {
    let latest = now;
    for (const id of unfinished) {
      const local = this.jobs.get(id);
      const end = local
        ? this.expectedEndOf(local, now)
        : (this.dependencies.get(id)?.expectedEndAt ?? now + DEFAULT_REMAINING_MS);
      latest = Math.max(latest, end);
    }
    return latest;
  }

  private expectedEndOf(job: Job, now: number): number {
    if (job.pendingDependencies.size === 0) return this.hooks.expectedEnd(job, now);
    return (this.assessments.get(job)?.expectedReleaseAt ?? now) + this.hooks.runS(job.spec) * 1000;
  }

  /**
   * Assesses all waiting jobs and propagates urgency to their dependencies. An assessment uses those of the job's
   * dependencies, which precede it in the order of acceptance.
   */
  private assessAll(now: number): void {
    const waiting = [...this.jobs.values()]
      .filter((j) => j.pendingDependencies.size > 0)
      .sort((a, b) => a.order - b.order);
    for (const job of waiting) this.assess(job, now);
    this.urgency.propagate(this.allClaims(), waiting);
  }

  private assess(job: Job, now: number): void {
    let activeAsOf = now;
    for (const id of job.pendingDependencies) {
      const local = this.jobs.get(id);
      activeAsOf = Math.min(
        activeAsOf,
        local ? now - this.statusAgeMs(local, now) : (this.dependencies.get(id)?.activeAsOf ?? 0),
      );
    }
    this.assessments.set(job, {
      activeAsOf,
      expectedReleaseAt: this.releaseAt(job.pendingDependencies, now),
    });
  }

  private *allClaims(): Iterable<readonly [string, DependentClaim]> {
    for (const [id, byShard] of this.claims) for (const claim of byShard.values()) yield [id, claim];
  }

  /**
   * Drops expired claims, assesses the waiting jobs, and polls when due; `now` is the monotonic clock in
   * milliseconds.
   */
  tick(now: number): void {
    for (const [id, byShard] of this.claims) {
      for (const [shard, claim] of byShard)
        if (claim.until < now || !this.jobs.has(id)) byShard.delete(shard);
      if (byShard.size === 0) this.claims.delete(id);
    }
    this.assessAll(now);
    this.poller.pollIfDue(now);
  }
}
