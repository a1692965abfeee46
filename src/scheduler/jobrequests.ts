import type { Log } from '../config/log.js';
import type { ControllerContext } from '../context/context.js';
import { NotOwnerError, UnavailableError } from '../errors/errors.js';
import { type Job, type JobEntry, jobStatus } from '../jobs/job.js';
import { hasDependencies } from '../jobs/jobstatus.js';
import type { JobRecords } from '../jobs/records.js';
import type { JobSpec, ListedJob } from '../wire/users.js';
import type { DependencyTracker } from './dependencytracker.js';
import type { JobTable } from './jobtable.js';
import type { Planner } from './planner.js';
import { NOT_READY, OwnerUnavailableError, type StatusAnswer, type SubmitAnswer } from './responses.js';
import { RetryAfterPacer } from './retryafterpacer.js';
import type { TaskProgress } from './taskprogress.js';

/** A new job is turned away when it would wait longer than this to be stored. */
const MAX_WRITE_DELAY_MS = 700;
/** New jobs for each change that the state service takes: one to accept one, and some for what else goes on. */
const JOBS_PER_WRITE = 0.6;
/** Jobs that are cancelled together with one that they need: so many at a time, beside all else that is stored. */
const MAX_CONCURRENT_CANCELLATIONS = 8;

export interface JobRequestsHooks {
  ready(): boolean;
  mayAct(): boolean;
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
  readonly planner: Planner;
  readonly taskProgress: TaskProgress;
  readonly dependencies: DependencyTracker;
  readonly log: Log;
  readonly hooks: JobRequestsHooks;
}

/** What users ask of a shard's owner: to accept a job, how it stands, to cancel it. */
export class JobRequests {
  private readonly retryAfterPacer: RetryAfterPacer;
  private readonly cancellationsInFlight = new Set<Job>();

  constructor(private readonly parts: JobRequestsParts) {
    this.retryAfterPacer = new RetryAfterPacer(parts.context.clock);
  }

  requireReady(): void {
    if (!this.parts.hooks.ready()) throw new OwnerUnavailableError(NOT_READY);
  }

  async submit(spec: JobSpec): Promise<SubmitAnswer> {
    this.requireReady();
    // What is known is told at once: behind a write under way it would be told when it may be another's to tell.
    const told = this.knownAnswer(spec.id);
    if (told) return told;
    // More submissions than the state service takes are told at once to come back: waiting here until their users have
    // given up, they would be stored for nobody, and sent once more.
    if (this.parts.context.store.writeDelayMs > MAX_WRITE_DELAY_MS)
      return {
        kind: 'busy',
        retryS: this.retryAfterPacer.retryAfterS(this.parts.context.store.writesPerSecond * JOBS_PER_WRITE),
      };
    return this.parts.jobTable.exclusive(spec.id, async (): Promise<SubmitAnswer> => {
      // Who went before may have taken seconds: the shard may be another's by now, which has told what is not known here.
      this.requireReady();
      const known = this.knownAnswer(spec.id);
      if (known) return known;
      const needs = await this.parts.dependencies.unfinishedDependencies(spec);
      if (needs.kind === 'neverAccepted') return { kind: 'never', needs: needs.id };
      this.requireReady();
      const wall = this.parts.context.clock.wall();
      const trial = this.parts.jobTable.make(spec, wall, 0, true, 0);
      // A job that names a cancelled one is accepted and cancelled.
      const finish = needs.anyCancelled ? 0 : this.parts.planner.admit(trial, needs.unfinished);
      if (finish === null) {
        const entry = await this.parts.records.entry(spec.id);
        if (entry) return this.answerRepeated(spec.id, entry);
        return { kind: 'refused', retryS: 3 };
      }
      const deadline = Math.round(wall + finish * 1000);
      const accepted = await this.stopOnOwnershipLoss(
        this.parts.records.accept({ spec, accepted: wall, deadline }, this.parts.jobTable.uniqueName('a')),
      );
      if (accepted.kind === 'known') return this.answerRepeated(spec.id, accepted.entry);
      this.requireReady();
      // Somebody who asked for the job while its acceptance was under way may have had it loaded, and tasks of it may
      // run by now: a second copy in its place would know nothing of them and start them again.
      const recalled = this.knownAnswer(spec.id);
      if (recalled) return recalled;
      trial.version = accepted.version;
      trial.partsUnder = accepted.partsUnder;
      trial.deadlineWall = deadline;
      trial.dueWall = deadline;
      this.parts.jobTable.jobs.set(spec.id, trial);
      this.parts.dependencies.add([trial]);
      this.parts.log.info(
        {
          job: spec.id,
          class: spec.class,
          team: spec.team,
          tasks: spec.tasks,
          cpus: spec.cpus,
          deadlineInS: Math.round(finish),
        },
        'job accepted',
      );
      this.parts.hooks.requestPlan();
      if (!needs.anyCancelled) return { kind: 'accepted' };
      this.parts.taskProgress.endJob(
        trial,
        await this.stopOnOwnershipLoss(this.parts.records.finish(trial, 'cancelled')),
      );
      return { kind: 'accepted', cancelled: true };
    });
  }

  /** What is told of a job that is submitted again; null when it is in no memory. */
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

  /** A job whose acceptance was applied late is stored but not in memory. */
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

  async status(id: string): Promise<StatusAnswer | null> {
    this.requireReady();
    const answer = this.parts.jobTable.statusOf(id) ?? (await this.recall(id));
    this.requireReady();
    return answer && this.requireReportable(id, answer);
  }

  /** Unfinished jobs after an id, in the order of ids; without those whose end may be stored by now. */
  list(under: string, after: string, most: number): ListedJob[] {
    this.requireReady();
    return [...this.parts.jobTable.jobs.values()]
      .filter(({ spec: { id }, endWriteSent: ending }) => !ending && id > after && id.startsWith(under))
      .sort((a, b) => (a.spec.id < b.spec.id ? -1 : 1))
      .slice(0, most)
      .map((job) => ({
        id: job.spec.id,
        ...jobStatus(job),
        team: job.spec.team,
        class: job.spec.class,
        tasks: job.spec.tasks,
      }));
  }

  /**
   * Nothing is told that may be wrong: of a job that may have to be cancelled with one that it needs, or whose end may be stored
   * by now, so that another node has told it. What the state service has is told instead.
   */
  private requireReportable(id: string, answer: StatusAnswer): StatusAnswer {
    const job = this.parts.jobTable.jobs.get(id);
    if (job?.endWriteSent) throw new UnavailableError('whether the job is over is not known now');
    if (job && !this.parts.dependencies.mayReportStatus(job))
      throw new UnavailableError('what the job waits for is not known now');
    return answer;
  }

  async cancel(id: string): Promise<'done' | 'cancelled' | null> {
    this.requireReady();
    if (!this.parts.jobTable.statusOf(id)) await this.recall(id);
    const job = this.parts.jobTable.jobs.get(id);
    if (job) {
      this.parts.taskProgress.requestCancellation(job);
      await this.parts.jobTable.exclusive(id, async () => {
        if (job.state !== 'active') return;
        this.requireReady();
        this.parts.taskProgress.endJob(
          job,
          await this.stopOnOwnershipLoss(this.parts.records.finish(job, 'cancelled')),
        );
      });
      return job.state === 'active' ? null : job.state;
    }
    return this.parts.jobTable.endedStatus(id);
  }

  /**
   * Cancels jobs of which one that they need was cancelled, or that their users want cancelled; what cannot be stored now is
   * tried again until it is decided one way. A write without an answer may have been made, or be made later: who reads the record
   * tells the user, who need not come back, and here the job would never end.
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
          this.parts.taskProgress.endJob(
            job,
            await this.stopOnOwnershipLoss(this.parts.records.finish(job, 'cancelled')),
          );
        })
        .catch((error) => this.parts.log.debug({ job: job.spec.id, err: error }, 'not cancelled yet'))
        .finally(() => {
          this.cancellationsInFlight.delete(job);
          if (job.state !== 'active') this.storePendingCancellations();
        });
    }
  }
}
