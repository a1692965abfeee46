import type { Log } from '../config/log.js';
import type { ControllerContext } from '../context/context.js';
import type { Job, JobEntry } from '../jobs/job.js';
import type { DependencyStatus, DependentClaim } from './dependencymessages.js';
import type { UrgencyPropagation } from './urgencypropagation.js';

/** Interval between polls of the owners of dependencies; one request covers all dependencies in a shard. */
const POLL_INTERVAL_MS = 1000;
/** Delay before a requested poll, so that many changes in quick succession cause only one. */
const POLL_DELAY_MS = 60;
const MAX_CLAIMS_PER_REQUEST = 2000;
/** When no answer of its owner has confirmed a dependency as active for this long, the key-value store is read. */
const STATUS_STALE_MS = 3000;
/** Maximum number of concurrent reads of the key-value store on behalf of dependencies. */
export const MAX_CONCURRENT_READS = 8;

/** A job that jobs of this shard depend on and that is not known to have ended. */
export interface Dependency {
  /** The jobs of this shard that wait for it. */
  readonly dependents: Set<Job>;
  /** The index of the shard that the job belongs to; null when it is not known. */
  shard: number | null;
  /**
   * The last time when it was certain that the job was neither cancelled nor about to be; monotonic clock, in
   * milliseconds.
   */
  activeAsOf: number;
  /** Expected end on the monotonic clock, in milliseconds; null when it is not known. */
  expectedEndAt: number | null;
  /** Whether a read of the key-value store on its behalf is in flight. */
  readInFlight: boolean;
}

/** Callbacks by which the poller queries the owners of other shards, the key-value store and its own shard. */
export interface DependencyPollerHooks {
  /** Returns how a job of this shard ended; null when it has not ended or its end is no longer in memory. */
  endedStatus(id: string): 'done' | 'cancelled' | null;
  /** Looks up the shard of a job and how the job ended, if it has; returns null when it was never accepted. */
  locate(id: string): Promise<JobEntry | null>;
  /**
   * Returns the status of a job by the key-value store alone, which includes the records of everything that it
   * depends on; `unsure` when one of these was cancelled or when too much would have to be read.
   */
  jobStatusFromStore(id: string): Promise<'active' | 'done' | 'cancelled' | 'unsure'>;
  /** Loads a job of this shard that is stored but not in the memory of this owner. */
  loadIfMissing(id: string): Promise<unknown>;
  /**
   * Requests the status of jobs from the owner of another shard; the request carries the claims of their
   * dependents.
   */
  requestStatus(shard: number, claims: DependentClaim[]): Promise<DependencyStatus[]>;
  /** Called when a job that others depend on has durably ended. */
  onEnded(id: string, status: 'done' | 'cancelled'): void;
}

/** Collaborators of `DependencyPoller`. */
export interface DependencyPollerParts {
  readonly context: ControllerContext;
  /** The shard's index among the shards of the cluster. */
  readonly index: number;
  readonly jobs: ReadonlyMap<string, Job>;
  /** The dependencies to poll for, by job id; maintained by the tracker. */
  readonly dependencies: ReadonlyMap<string, Dependency>;
  readonly urgency: UrgencyPropagation;
  readonly log: Log;
  readonly hooks: DependencyPollerHooks;
}

/**
 * Polls the status of the jobs that jobs of this shard depend on: from their owners, else from the key-value store.
 */
export class DependencyPoller {
  private readsInFlight = 0;
  /** Whether a read was skipped because too many reads were in flight. */
  private readsDeferred = false;
  private polledAt = Number.NEGATIVE_INFINITY;
  private pollScheduled = false;
  private stopped = false;

  constructor(private readonly parts: DependencyPollerParts) {}

  /** Stops polling after the shard is lost: its next owner determines the status of the dependencies. */
  stop(): void {
    this.stopped = true;
  }

  /** Polls if the poll interval has passed; `now` is the monotonic clock in milliseconds. */
  pollIfDue(now: number): void {
    if (now - this.polledAt >= POLL_INTERVAL_MS) this.poll(now);
  }

  /** Schedules a poll after a short delay; further calls before it runs have no effect. */
  pollSoon(): void {
    if (this.pollScheduled) return;
    this.pollScheduled = true;
    const { clock } = this.parts.context;
    clock.after(POLL_DELAY_MS, () => {
      this.pollScheduled = false;
      this.poll(clock.now());
    });
  }

  private poll(now: number): void {
    if (this.stopped) return;
    this.polledAt = now;
    const { dependencies, index, jobs } = this.parts;
    const claimsByShard = new Map<number, DependentClaim[]>();
    for (const [id, dependency] of dependencies) {
      if (jobs.has(id)) dependency.shard = index;
      else if (dependency.shard === null) this.locate(id, dependency);
      else if (dependency.shard === index) this.loadFromOwnShard(id, dependency);
      else {
        const claims = claimsByShard.get(dependency.shard) ?? [];
        if (claims.length < MAX_CLAIMS_PER_REQUEST) claims.push(this.claimFor(id, dependency));
        claimsByShard.set(dependency.shard, claims);
        if (now - dependency.activeAsOf > STATUS_STALE_MS) this.readStatus(id, dependency);
      }
    }
    for (const [shard, claims] of claimsByShard) void this.requestFromOwner(shard, claims);
  }

  private claimFor(id: string, dependency: Dependency): DependentClaim {
    let priority = 0;
    let dueWall = Number.MAX_SAFE_INTEGER;
    for (const job of dependency.dependents) {
      priority = Math.max(priority, job.priority);
      dueWall = Math.min(dueWall, this.parts.urgency.latestDependencyEnd(job));
    }
    return { id, priority, dueWall };
  }

  private async requestFromOwner(shard: number, claims: DependentClaim[]): Promise<void> {
    const sentAt = this.parts.context.clock.now();
    let statuses: DependencyStatus[];
    try {
      statuses = await this.parts.hooks.requestStatus(shard, claims);
    } catch (error) {
      this.parts.log.debug({ shard, err: error }, 'dependency status request failed');
      return;
    }
    for (const status of statuses) this.onStatus(status, sentAt);
  }

  private onStatus(status: DependencyStatus, sentAt: number): void {
    const dependency = this.parts.dependencies.get(status.id);
    if (!dependency) return;
    if (status.state === 'done' || status.state === 'cancelled')
      this.parts.hooks.onEnded(status.id, status.state);
    else if (status.state === 'unknown') this.readStatus(status.id, dependency);
    else {
      dependency.activeAsOf = Math.max(dependency.activeAsOf, sentAt - status.ageMs);
      dependency.expectedEndAt = this.parts.context.clock.now() + status.endInMs;
    }
  }

  private locate(id: string, dependency: Dependency): void {
    this.startRead(dependency, async () => {
      const entry = await this.parts.hooks.locate(id);
      if (entry?.final) this.parts.hooks.onEnded(id, entry.final);
      else if (entry) {
        dependency.shard = entry.shard;
        this.pollSoon();
      }
    });
  }

  /**
   * Loads a dependency that belongs to this shard but is not in memory: one that another controller accepted for
   * this shard, one whose acceptance was applied late, or one that ended long ago.
   */
  private loadFromOwnShard(id: string, dependency: Dependency): void {
    const { hooks, jobs } = this.parts;
    this.startRead(dependency, async () => {
      await hooks.loadIfMissing(id);
      const final = hooks.endedStatus(id);
      const state = final ?? (jobs.has(id) ? 'active' : await hooks.jobStatusFromStore(id));
      if (state === 'done' || state === 'cancelled') hooks.onEnded(id, state);
    });
  }

  private readStatus(id: string, dependency: Dependency): void {
    this.startRead(dependency, async () => {
      const sentAt = this.parts.context.clock.now();
      const state = await this.parts.hooks.jobStatusFromStore(id);
      if (state === 'active') dependency.activeAsOf = Math.max(dependency.activeAsOf, sentAt);
      else if (state !== 'unsure') this.parts.hooks.onEnded(id, state);
    });
  }

  /**
   * Starts a read unless too many are in flight. The limit holds however many jobs wait, because reads use up the
   * request rate of the key-value store that the acceptance of new jobs needs.
   */
  private startRead(dependency: Dependency, read: () => Promise<void>): void {
    if (dependency.readInFlight) return;
    if (this.readsInFlight >= MAX_CONCURRENT_READS) {
      this.readsDeferred = true;
      return;
    }
    dependency.readInFlight = true;
    this.readsInFlight++;
    void read()
      .then(() => {
        // Starts the skipped reads at once after a success, but only with the next tick after a failure.
        if (this.readsDeferred) this.pollSoon();
        this.readsDeferred = false;
      })
      .catch((error) =>
        this.parts.log.debug(
          { err: error },
          'reading the status of a dependency from the key-value store failed',
        ),
      )
      .finally(() => {
        dependency.readInFlight = false;
        this.readsInFlight--;
      });
  }
}
