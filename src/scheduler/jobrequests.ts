import type { Log } from '../config/log.js';
import type { ControllerContext } from '../context/context.js';
import { NotOwnerError, UnavailableError } from '../errors/errors.js';
import { type Job, type JobEntry, jobStatus } from '../jobs/job.js';
import { hasDependencies } from '../jobs/jobstatus.js';
import type { JobRecords } from '../jobs/records.js';
import type { JobSpec, ListedJob } from '../wire/users.js';
import type { Admission } from './admission.js';
import type { DependencyTracker } from './dependencytracker.js';
import type { JobTable } from './jobtable.js';
import {
  type JobStatusResponse,
  NOT_READY,
  OwnerUnavailableError,
  type SubmitResponse,
} from './responses.js';
import { RetryAfterPacer } from './retryafterpacer.js';
import type { TaskProgress } from './taskprogress.js';

/** A new job is rejected as busy, to be retried later, when it would wait longer than this to be stored. */
const MAX_WRITE_DELAY_MS = 700;
/**
 * New jobs per write that the key-value store can take: accepting a job takes one write, and the remaining writes
 * are left for everything else.
 */
const JOBS_PER_WRITE = 0.6;
/**
 * Maximum number of cancellations stored at a time, of dependents or at a user's request. The limit leaves capacity
 * for all other changes, which are stored at the same time.
 */
const MAX_CONCURRENT_CANCELLATIONS = 8;
/** Delay after which a user whose job was refused is asked to retry, in seconds. */
const REFUSED_RETRY_S = 3;

/** Callbacks by which `JobRequests` queries and notifies its shard. */
export interface JobRequestsHooks {
  /** Returns whether the shard is loaded and its owner may act. */
  isReady(): boolean;
  /** Returns whether this node is certain to own the shard, checked against the clock at the time of the call. */
  mayAct(): boolean;
  /** Stops the shard, which another node owns by now. */
  onOwnershipLost(): Error;
  requestPlan(): void;
}

/** Collaborators of `JobRequests`. */
export interface JobRequestsParts {
  readonly context: ControllerContext;
  /** The shard's index among the shards of the cluster. */
  readonly index: number;
  readonly jobTable: JobTable;
  readonly records: JobRecords;
  readonly admission: Admission;
  readonly taskProgress: TaskProgress;
  readonly dependencies: DependencyTracker;
  readonly log: Log;
  readonly hooks: JobRequestsHooks;
}

/** Handles the requests of users to a shard's owner: submissions, status queries, lists and cancellations. */
export class JobRequests {
  private readonly retryAfterPacer: RetryAfterPacer;
  private readonly cancellationsInFlight = new Set<Job>();

  constructor(private readonly parts: JobRequestsParts) {
    this.retryAfterPacer = new RetryAfterPacer(parts.context.clock);
  }

  /** Throws `OwnerUnavailableError` unless the shard is loaded and its owner may act. */
  requireReady(): void {
    if (!this.parts.hooks.isReady()) throw new OwnerUnavailableError(NOT_READY);
  }

  /** Accepts a job or refuses it. Throws `UnavailableError` when the outcome is not known at present. */
  async submit(spec: JobSpec): Promise<SubmitResponse> {
    this.requireReady();
    const { store } = this.parts.context;
    // A known job is answered at once: if the answer waited for a write in flight, another node might own the shard
    // by the time it was given.
    const known = this.knownAnswer(spec.id);
    if (known) return known;
    // Submissions beyond the write rate of the key-value store are rejected at once, with a time to retry. If they
    // waited here until their users gave up, they would be stored although no user waited for the answer, and
    // submitted once more.
    if (store.writeDelayMs > MAX_WRITE_DELAY_MS)
      return {
        kind: 'busy',
        retryS: this.retryAfterPacer.retryAfterS(store.writesPerSecond * JOBS_PER_WRITE),
      };
    return this.parts.jobTable.exclusive(spec.id, () => this.accept(spec));
  }

  /**
   * Checks a job against the plan and stores it. The caller holds the job's mutex, so that no other acceptance,
   * completion or cancellation of the job runs at the same time.
   */
  private async accept(spec: JobSpec): Promise<SubmitResponse> {
    const { context, jobTable, records, admission, dependencies } = this.parts;
    // The previous holder of the mutex may have taken seconds: another node may own the shard by now, and may have
    // given answers that are not known here.
    this.requireReady();
    const known = this.knownAnswer(spec.id);
    if (known) return known;
    const check = await dependencies.unfinishedDependencies(spec);
    if (check.kind === 'neverAccepted') return { kind: 'never', needs: check.id };
    this.requireReady();
    const wall = context.clock.wall();
    const job = jobTable.createJob(spec, wall, 0, true, 0);
    // A job that depends on a cancelled one is accepted and cancelled.
    const dueS = check.anyCancelled ? 0 : admission.admit(job, check.unfinished);
    if (dueS === null) return this.answerRefused(spec.id);
    const deadline = Math.round(wall + dueS * 1000);
    const accepted = await this.stopOnOwnershipLoss(
      records.accept({ spec, accepted: wall, deadline }, jobTable.uniqueName('a')),
    );
    if (accepted.kind === 'known') return this.answerRepeated(spec.id, accepted.entry);
    this.requireReady();
    // A request for the job during its acceptance may have caused it to be loaded, and its tasks may be running by
    // now. A second copy in its place would not know of these tasks and would start them again.
    const alreadyLoaded = this.knownAnswer(spec.id);
    if (alreadyLoaded) return alreadyLoaded;
    job.version = accepted.version;
    job.partsPrefix = accepted.partsPrefix;
    this.addAccepted(job, deadline, dueS);
    if (!check.anyCancelled) return { kind: 'accepted' };
    await this.storeCancellation(job);
    return { kind: 'accepted', cancelled: true };
  }

  private addAccepted(job: Job, deadline: number, dueS: number): void {
    const { spec } = job;
    job.deadlineWall = deadline;
    job.dueWall = deadline;
    this.parts.jobTable.jobs.set(spec.id, job);
    this.parts.dependencies.add([job]);
    const { class: jobClass, team, tasks, cpus } = spec;
    this.parts.log.info(
      { job: spec.id, class: jobClass, team, tasks, cpus, deadlineInS: Math.round(dueS) },
      'job accepted',
    );
    this.parts.hooks.requestPlan();
  }

  /**
   * Answers a submission that the plan has no capacity for: the job may have been accepted before, else it is
   * refused.
   */
  private async answerRefused(id: string): Promise<SubmitResponse> {
    const entry = await this.parts.records.entry(id);
    if (entry) return this.answerRepeated(id, entry);
    return { kind: 'refused', retryS: REFUSED_RETRY_S };
  }

  /** Stores a job as cancelled, and ends it in memory once the write has succeeded. */
  private async storeCancellation(job: Job): Promise<void> {
    const status = await this.stopOnOwnershipLoss(this.parts.records.finish(job, 'cancelled'));
    this.parts.taskProgress.endJob(job, status);
  }

  /** Returns the answer to a repeated submission of a job; null when the job is not in memory. */
  private knownAnswer(id: string): SubmitResponse | null {
    const answer = this.parts.jobTable.statusOf(id);
    return answer && { kind: 'known', status: this.requireReportable(id, answer).status };
  }

  private async answerRepeated(id: string, entry: JobEntry): Promise<SubmitResponse> {
    if (entry.final) return { kind: 'known', status: entry.final };
    if (entry.shard !== this.parts.index) {
      // Only the owner of that shard knows whether the job is about to be cancelled because of one of its
      // dependencies.
      if (hasDependencies(entry)) throw new UnavailableError('the job is in another shard');
      return { kind: 'known', status: 'queued' };
    }
    const status = await this.loadIfMissing(id);
    if (!status) throw new UnavailableError('job not found in its shard');
    return { kind: 'known', status: this.requireReportable(id, status).status };
  }

  /**
   * Loads a job that is not in memory: a job whose acceptance was applied late is stored, although this owner does
   * not have it.
   */
  async loadIfMissing(id: string): Promise<JobStatusResponse | null> {
    const known = this.parts.jobTable.statusOf(id);
    if (known) return known;
    const loaded = await this.parts.records.loadOne(id);
    this.requireReady();
    if (!loaded) return this.parts.jobTable.statusOf(id);
    if (!this.parts.jobTable.endedStatus(id) && !this.parts.jobTable.jobs.has(id))
      this.parts.dependencies.add([this.parts.taskProgress.adopt(loaded)]);
    this.parts.hooks.requestPlan();
    return this.parts.jobTable.statusOf(id);
  }

  private async stopOnOwnershipLoss<T>(write: Promise<T>): Promise<T> {
    try {
      return await write;
    } catch (error) {
      if (error instanceof NotOwnerError) {
        this.parts.hooks.onOwnershipLost();
        throw new UnavailableError('the shard has moved');
      }
      throw error;
    }
  }

  /**
   * Returns the status of a job; null when the shard has no job of that id. Throws `UnavailableError` when the
   * status is not known at present.
   */
  async status(id: string): Promise<JobStatusResponse | null> {
    this.requireReady();
    const answer = this.parts.jobTable.statusOf(id) ?? (await this.loadIfMissing(id));
    this.requireReady();
    return answer && this.requireReportable(id, answer);
  }

  /**
   * Returns the first unfinished jobs, in the order of ids, whose ids come after `after` and begin with `prefix`;
   * at most `limit`, and without the jobs whose end may already be stored.
   */
  list(prefix: string, after: string, limit: number): ListedJob[] {
    this.requireReady();
    return [...this.parts.jobTable.jobs.values()]
      .filter(({ spec: { id }, endWriteSent }) => !endWriteSent && id > after && id.startsWith(prefix))
      .sort((a, b) => (a.spec.id < b.spec.id ? -1 : 1))
      .slice(0, limit)
      .map((job) => ({
        id: job.spec.id,
        ...jobStatus(job),
        team: job.spec.team,
        class: job.spec.class,
        tasks: job.spec.tasks,
      }));
  }

  /**
   * Returns the answer, or throws `UnavailableError` when it may be wrong, so that the status in the key-value
   * store is reported instead. It may be wrong when the job may have to be cancelled because of one of its
   * dependencies, or when its end may already be stored, so that another node may have reported it.
   */
  private requireReportable(id: string, answer: JobStatusResponse): JobStatusResponse {
    const job = this.parts.jobTable.jobs.get(id);
    if (job?.endWriteSent) throw new UnavailableError('whether the job is over is not known now');
    if (job && !this.parts.dependencies.mayReportStatus(job))
      throw new UnavailableError('what the job waits for is not known now');
    return answer;
  }

  /**
   * Cancels a job; returns how it has ended, or null when the shard has no job of that id. Throws like `status`.
   */
  async cancel(id: string): Promise<'done' | 'cancelled' | null> {
    this.requireReady();
    if (!this.parts.jobTable.statusOf(id)) await this.loadIfMissing(id);
    const job = this.parts.jobTable.jobs.get(id);
    if (!job) return this.parts.jobTable.endedStatus(id);
    this.parts.taskProgress.requestCancellation(job);
    await this.parts.jobTable.exclusive(id, async () => {
      if (job.state !== 'active') return;
      this.requireReady();
      await this.storeCancellation(job);
    });
    return job.state === 'active' ? null : job.state;
  }

  /**
   * Cancels the jobs of which a dependency was cancelled or whose users have requested it. A cancellation that
   * cannot be stored now is retried until the end of the job is decided one way or the other. A write that got no
   * answer may have been applied, or may be applied later: any node that reads the record then reports the end to
   * the user, who need not ask again, and without the retry the job would never end in this shard.
   */
  storePendingCancellations(): void {
    for (const job of this.parts.jobTable.jobs.values()) {
      if (!(job.cancelledByDependency || job.cancelRequested) || this.cancellationsInFlight.has(job))
        continue;
      if (this.cancellationsInFlight.size >= MAX_CONCURRENT_CANCELLATIONS) return;
      this.cancellationsInFlight.add(job);
      void this.parts.jobTable
        .exclusive(job.spec.id, async () => {
          if (job.state !== 'active' || !this.parts.hooks.mayAct()) return;
          await this.storeCancellation(job);
        })
        .catch((error) =>
          this.parts.log.debug({ job: job.spec.id, err: error }, 'storing a cancellation failed'),
        )
        .finally(() => {
          this.cancellationsInFlight.delete(job);
          if (job.state !== 'active') this.storePendingCancellations();
        });
    }
  }
}
