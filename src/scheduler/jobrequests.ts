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
import { NOT_READY, OwnerUnavailableError, type StatusAnswer, type SubmitAnswer } from './responses.js';
import { RetryAfterPacer } from './retryafterpacer.js';
import type { TaskProgress } from './taskprogress.js';

/** A new job is rejected for the time being when it would wait longer than this to be stored. */
const MAX_WRITE_DELAY_MS = 700;
/** New jobs for each change that the key-value store takes: one to accept one, and some for what else goes on. */
const JOBS_PER_WRITE = 0.6;
/** Cancellations stored at a time, of jobs that go with one that they depend on: all else is stored beside them. */
const MAX_CONCURRENT_CANCELLATIONS = 8;
/** When a user whose job was refused is asked to try again, in seconds. */
const REFUSED_RETRY_S = 3;

/** What `JobRequests` asks of its shard. */
export interface JobRequestsHooks {
  /** Whether the shard is loaded and its owner may act. */
  ready(): boolean;
  /** Whether this node surely owns the shard, by the clock just now. */
  mayAct(): boolean;
  /** Stops the shard, which is another node's by now. */
  lostOwnership(): Error;
  requestPlan(): void;
}

/** What `JobRequests` is made of. */
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

/** What users request of a shard's owner: submissions, the status of jobs, lists and cancellations. */
export class JobRequests {
  private readonly retryAfterPacer: RetryAfterPacer;
  private readonly cancellationsInFlight = new Set<Job>();

  constructor(private readonly parts: JobRequestsParts) {
    this.retryAfterPacer = new RetryAfterPacer(parts.context.clock);
  }

  /** Throws `OwnerUnavailableError` unless the shard is loaded and its owner may act. */
  requireReady(): void {
    if (!this.parts.hooks.ready()) throw new OwnerUnavailableError(NOT_READY);
  }

  /** Accepts a job or refuses it. Throws `UnavailableError` when the outcome is not known now. */
  async submit(spec: JobSpec): Promise<SubmitAnswer> {
    this.requireReady();
    const { store } = this.parts.context;
    // What is known is answered at once: behind a write under way it would be answered when it may be another node's to answer.
    const known = this.knownAnswer(spec.id);
    if (known) return known;
    // More submissions than the key-value store takes are at once asked to come back: waiting here until their users have
    // given up, they would be stored for nobody, and sent once more.
    if (store.writeDelayMs > MAX_WRITE_DELAY_MS)
      return {
        kind: 'busy',
        retryS: this.retryAfterPacer.retryAfterS(store.writesPerSecond * JOBS_PER_WRITE),
      };
    return this.parts.jobTable.exclusive(spec.id, () => this.accept(spec));
  }

  /** Weighs a job against the plan and stores it; nothing else is done with the job meanwhile. */
  private async accept(spec: JobSpec): Promise<SubmitAnswer> {
    const { context, jobTable, records, admission, dependencies } = this.parts;
    // The one before may have taken seconds: the shard may be another node's by now, which has answered what is not known here.
    this.requireReady();
    const known = this.knownAnswer(spec.id);
    if (known) return known;
    const check = await dependencies.unfinishedDependencies(spec);
    if (check.kind === 'neverAccepted') return { kind: 'never', needs: check.id };
    this.requireReady();
    const wall = context.clock.wall();
    const job = jobTable.make(spec, wall, 0, true, 0);
    // A job that depends on a cancelled one is accepted and cancelled.
    const dueS = check.anyCancelled ? 0 : admission.admit(job, check.unfinished);
    if (dueS === null) return this.answerRefused(spec.id);
    const deadline = Math.round(wall + dueS * 1000);
    const accepted = await this.stopOnOwnershipLoss(
      records.accept({ spec, accepted: wall, deadline }, jobTable.uniqueName('a')),
    );
    if (accepted.kind === 'known') return this.answerRepeated(spec.id, accepted.entry);
    this.requireReady();
    // A request for the job while its acceptance was under way may have had it loaded, and tasks of it may run by now: a
    // second copy in its place would know nothing of them and start them again.
    const recalled = this.knownAnswer(spec.id);
    if (recalled) return recalled;
    job.version = accepted.version;
    job.partsUnder = accepted.partsUnder;
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

  /** A job that the plan has no place for may have been accepted before. */
  private async answerRefused(id: string): Promise<SubmitAnswer> {
    const entry = await this.parts.records.entry(id);
    if (entry) return this.answerRepeated(id, entry);
    return { kind: 'refused', retryS: REFUSED_RETRY_S };
  }

  /** Stores a job as cancelled, and ends it once that is done. */
  private async storeCancellation(job: Job): Promise<void> {
    const status = await this.stopOnOwnershipLoss(this.parts.records.finish(job, 'cancelled'));
    this.parts.taskProgress.endJob(job, status);
  }

  /** The answer on a job that is submitted again; null when it is not in memory. */
  private knownAnswer(id: string): SubmitAnswer | null {
    const answer = this.parts.jobTable.statusOf(id);
    return answer && { kind: 'known', status: this.requireReportable(id, answer).status };
  }

  private async answerRepeated(id: string, entry: JobEntry): Promise<SubmitAnswer> {
    if (entry.final) return { kind: 'known', status: entry.final };
    if (entry.shard !== this.parts.index) {
      // Its owner knows whether it is about to be cancelled with one that it waits for.
      if (hasDependencies(entry)) throw new UnavailableError('the job is in another shard');
      return { kind: 'known', status: 'queued' };
    }
    const status = await this.recall(id);
    if (!status) throw new UnavailableError('job not found in its shard');
    return { kind: 'known', status: this.requireReportable(id, status).status };
  }

  /** Loads a job that is not in memory: one whose acceptance was applied late is stored all the same. */
  async recall(id: string): Promise<StatusAnswer | null> {
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

  private async stopOnOwnershipLoss<T>(work: Promise<T>): Promise<T> {
    try {
      return await work;
    } catch (error) {
      if (error instanceof NotOwnerError) {
        this.parts.hooks.lostOwnership();
        throw new UnavailableError('the shard has moved');
      }
      throw error;
    }
  }

  /** The status of a job; null when the shard has none of that id. Throws `UnavailableError` when it is not known now. */
  async status(id: string): Promise<StatusAnswer | null> {
    this.requireReady();
    const answer = this.parts.jobTable.statusOf(id) ?? (await this.recall(id));
    this.requireReady();
    return answer && this.requireReportable(id, answer);
  }

  /**
   * The first unfinished jobs after an id that begin with `prefix`, in the order of ids; at most `limit`, and without those
   * whose end may be stored by now.
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
   * Nothing is reported that may be wrong: of a job that may have to be cancelled with one that it depends on, or whose end may
   * be stored by now, so that another node has reported it. What the key-value store has is reported instead.
   */
  private requireReportable(id: string, answer: StatusAnswer): StatusAnswer {
    const job = this.parts.jobTable.jobs.get(id);
    if (job?.endWriteSent) throw new UnavailableError('whether the job is over is not known now');
    if (job && !this.parts.dependencies.mayReportStatus(job))
      throw new UnavailableError('what the job waits for is not known now');
    return answer;
  }

  /** Cancels a job; returns how it has ended, or null when the shard has none of that id. Throws as `status`. */
  async cancel(id: string): Promise<'done' | 'cancelled' | null> {
    this.requireReady();
    if (!this.parts.jobTable.statusOf(id)) await this.recall(id);
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
   * Cancels jobs of which one that they depend on was cancelled, or that their users want cancelled; what cannot be stored now
   * is tried again until it is decided one way. A write without an answer may have been made, or be made later: whoever reads the
   * record reports it to the user, who need not ask again, and here the job would never end.
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
