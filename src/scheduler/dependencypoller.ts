import type { Log } from '../config/log.js';
import type { ControllerContext } from '../context/context.js';
import type { Job, JobEntry } from '../jobs/job.js';
import type { DependencyStatus, DependentClaim } from './dependencymessages.js';
import type { UrgencyPropagation } from './urgencypropagation.js';

/** Owners of jobs that jobs of this shard depend on are asked this often, all jobs of a shard with one request. */
const POLL_INTERVAL_MS = 1000;
/** Many changes that come close together make one poll. */
const POLL_DELAY_MS = 60;
const MAX_CLAIMS_PER_REQUEST = 2000;
/** When an owner has not answered for so long, the key-value store is asked. */
const OWNER_SILENT_MS = 3000;
/** Reads of the key-value store under way at a time, on behalf of dependencies. */
export const MAX_CONCURRENT_READS = 8;

/** A job that others depend on and that is not known to be over. */
export interface Dependency {
  /** The jobs of this shard that wait for it. */
  readonly dependents: Set<Job>;
  /** The shard that it is in, when that is known. */
  shard: number | null;
  /** When it was last known not to be cancelled, nor to be about to be; steady milliseconds. */
  activeAsOf: number;
  /** When it is expected to end, in steady milliseconds; null when that is not known. */
  expectedEndAt: number | null;
  /** A read of the key-value store on its behalf is under way. */
  readInFlight: boolean;
}

/** What the poller asks of the owners of other shards, the key-value store and its own shard. */
export interface DependencyPollerHooks {
  /** How a job of this shard ended, as far as it is remembered. */
  endedStatus(id: string): 'done' | 'cancelled' | null;
  /** Where a job is, or how it ended; null when it was never accepted. */
  locate(id: string): Promise<JobEntry | null>;
  /** The status of a job by the key-value store alone, with all that it depends on. */
  jobStatusFromStore(id: string): Promise<'active' | 'done' | 'cancelled' | 'unsure'>;
  /** Loads a job of this shard that is stored and that this owner does not know of. */
  recall(id: string): Promise<unknown>;
  /** Asks the owner of another shard about its jobs, with the claims of their dependents. */
  requestStatus(shard: number, claims: DependentClaim[]): Promise<DependencyStatus[]>;
  /** A job that others depend on is durably over. */
  onEnded(id: string, status: 'done' | 'cancelled'): void;
}

/** What `DependencyPoller` is made of. */
export interface DependencyPollerParts {
  readonly context: ControllerContext;
  /** The shard's index among the shards of the cluster. */
  readonly index: number;
  readonly jobs: ReadonlyMap<string, Job>;
  /** What is polled for, by job id; kept by the tracker. */
  readonly dependencies: ReadonlyMap<string, Dependency>;
  readonly urgency: UrgencyPropagation;
  readonly log: Log;
  readonly hooks: DependencyPollerHooks;
}

/** Asks owners, and where they do not answer the key-value store, about the jobs that jobs of this shard depend on. */
export class DependencyPoller {
  private readsInFlight = 0;
  /** Something was not read since too many reads were under way. */
  private readsDeferred = false;
  private polledAt = Number.NEGATIVE_INFINITY;
  private pollScheduled = false;
  private stopped = false;

  constructor(private readonly parts: DependencyPollerParts) {}

  /** The shard is lost: what its jobs depend on is its next owner's to find out. */
  stop(): void {
    this.stopped = true;
  }

  /** Polls when the last poll is long enough ago; `now` in steady milliseconds. */
  pollIfDue(now: number): void {
    if (now - this.polledAt >= POLL_INTERVAL_MS) this.poll(now);
  }

  /** Polls shortly; many calls at once make one poll. */
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
      else if (dependency.shard === index) this.recall(id, dependency);
      else {
        const claims = claimsByShard.get(dependency.shard) ?? [];
        if (claims.length < MAX_CLAIMS_PER_REQUEST) claims.push(this.claimFor(id, dependency));
        claimsByShard.set(dependency.shard, claims);
        if (now - dependency.activeAsOf > OWNER_SILENT_MS) this.readStatus(id, dependency);
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
    this.read(dependency, async () => {
      const entry = await this.parts.hooks.locate(id);
      if (entry?.final) this.parts.hooks.onEnded(id, entry.final);
      else if (entry) {
        dependency.shard = entry.shard;
        this.pollSoon();
      }
    });
  }

  /** A job that was accepted for this shard by another controller, or whose acceptance was applied late; or one long over. */
  private recall(id: string, dependency: Dependency): void {
    const { hooks, jobs } = this.parts;
    this.read(dependency, async () => {
      await hooks.recall(id);
      const final = hooks.endedStatus(id);
      const state = final ?? (jobs.has(id) ? 'active' : await hooks.jobStatusFromStore(id));
      if (state === 'done' || state === 'cancelled') hooks.onEnded(id, state);
    });
  }

  private readStatus(id: string, dependency: Dependency): void {
    this.read(dependency, async () => {
      const sentAt = this.parts.context.clock.now();
      const state = await this.parts.hooks.jobStatusFromStore(id);
      if (state === 'active') dependency.activeAsOf = Math.max(dependency.activeAsOf, sentAt);
      else if (state !== 'unsure') this.parts.hooks.onEnded(id, state);
    });
  }

  /** Few reads at a time, however many jobs wait: they take from the rate that acceptances need. */
  private read(dependency: Dependency, work: () => Promise<void>): void {
    if (dependency.readInFlight) return;
    if (this.readsInFlight >= MAX_CONCURRENT_READS) {
      this.readsDeferred = true;
      return;
    }
    dependency.readInFlight = true;
    this.readsInFlight++;
    void work()
      .then(() => {
        // The next ones at once, but after a failure only with the next tick.
        if (this.readsDeferred) this.pollSoon();
        this.readsDeferred = false;
      })
      .catch((error) => this.parts.log.debug({ err: error }, 'dependency read failed'))
      .finally(() => {
        dependency.readInFlight = false;
        this.readsInFlight--;
      });
  }
}
