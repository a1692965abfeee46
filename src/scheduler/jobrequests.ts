import type { Log } from '../config/log.js';
import type { World } from '../context/context.js';
import { type Job, type JobEntry, jobStatus } from '../jobs/job.js';
import { waits } from '../jobs/jobstatus.js';
import { type JobRecords, NotOwner } from '../jobs/records.js';
import type { JobSpec, ListedJob } from '../wire/users.js';
import type { Waiting } from './dependencytracker.js';
import type { JobTable } from './jobtable.js';
import type { Planner } from './planner.js';
import { NOT_READY, OwnerAway, type StatusAnswer, type SubmitAnswer, Unavailable } from './responses.js';
import { Turns } from './retryafterpacer.js';
import type { Progress } from './taskprogress.js';

/** A new job is turned away when it would wait longer than this to be stored. */
const ACCEPT_WAIT_MS = 700;
/** New jobs for each change that the state service takes: one to accept one, and some for what else goes on. */
const JOBS_PER_CHANGE = 0.6;
/** Jobs that are cancelled together with one that they need: so many at a time, beside all else that is stored. */
const DOOMED_AT_ONCE = 8;

export interface QuestionHooks {
  ready(): boolean;
  entitled(): boolean;
  lostOwnership(): Error;
  requestPlan(): void;
}

/** What users ask of a shard's owner: to accept a job, how it stands, to cancel it. */
export class Questions {
  private readonly turns: Turns;
  private readonly ending = new Set<Job>();

  constructor(
    private readonly world: World,
    private readonly index: number,
    private readonly table: JobTable,
    private readonly records: JobRecords,
    private readonly planner: Planner,
    private readonly progress: Progress,
    private readonly waiting: Waiting,
    private readonly log: Log,
    private readonly hooks: QuestionHooks,
  ) {
    this.turns = new Turns(world.clock);
  }

  check(): void {
    if (!this.hooks.ready()) throw new OwnerAway(NOT_READY);
  }

  async submit(spec: JobSpec): Promise<SubmitAnswer> {
    this.check();
    // What is known is told at once: behind a write under way it would be told when it may be another's to tell.
    const told = this.known(spec.id);
    if (told) return told;
    // More submissions than the state service takes are told at once to come back: waiting here until their users have
    // given up, they would be stored for nobody, and sent once more.
    if (this.world.store.delayMs > ACCEPT_WAIT_MS)
      return { kind: 'busy', retryS: this.turns.take(this.world.store.changesPerSecond * JOBS_PER_CHANGE) };
    return this.table.exclusive(spec.id, async (): Promise<SubmitAnswer> => {
      // Who went before may have taken seconds: the shard may be another's by now, which has told what is not known here.
      this.check();
      const known = this.known(spec.id);
      if (known) return known;
      const needs = await this.waiting.openOf(spec);
      if ('never' in needs) return { kind: 'never', needs: needs.never };
      this.check();
      const wall = this.world.clock.wall();
      const trial = this.table.make(spec, wall, 0, true, 0);
      // A job that names a cancelled one is accepted and cancelled.
      const finish = needs.cancelled ? 0 : this.planner.admit(trial, needs.open);
      if (finish === null) {
        const entry = await this.records.entry(spec.id);
        if (entry) return this.repeated(spec.id, entry);
        return { kind: 'refused', retryS: 3 };
      }
      const deadline = Math.round(wall + finish * 1000);
      const accepted = await this.catchLoss(
        this.records.accept({ spec, accepted: wall, deadline }, this.table.uniqueName('a')),
      );
      if (accepted.kind === 'known') return this.repeated(spec.id, accepted.entry);
      this.check();
      // Somebody who asked for the job while its acceptance was under way may have had it loaded, and tasks of it may
      // run by now: a second copy in its place would know nothing of them and start them again.
      const recalled = this.known(spec.id);
      if (recalled) return recalled;
      trial.version = accepted.version;
      trial.partsUnder = accepted.partsUnder;
      trial.deadlineWall = deadline;
      trial.dueWall = deadline;
      this.table.jobs.set(spec.id, trial);
      this.waiting.add([trial]);
      this.log.info(
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
      this.hooks.requestPlan();
      if (!needs.cancelled) return { kind: 'accepted' };
      this.progress.end(trial, await this.catchLoss(this.records.finish(trial, 'cancelled')));
      return { kind: 'accepted', cancelled: true };
    });
  }

  /** What is told of a job that is submitted again; null when it is in no memory. */
  private known(id: string): SubmitAnswer | null {
    const answer = this.table.known(id);
    return answer && { kind: 'known', status: this.tellable(id, answer).status };
  }

  private async repeated(id: string, entry: JobEntry): Promise<SubmitAnswer> {
    if (entry.final) return { kind: 'known', status: entry.final };
    if (entry.shard !== this.index) {
      // Its owner knows whether it is about to be cancelled with one that it waits for.
      if (waits(entry)) throw new Unavailable('the job is in another shard');
      return { kind: 'known', status: 'queued' };
    }
    const status = await this.recall(id);
    if (!status) throw new Unavailable('job not found in its shard');
    return { kind: 'known', status: this.tellable(id, status).status };
  }

  /** A job whose acceptance was applied late is stored but not in memory. */
  async recall(id: string): Promise<StatusAnswer | null> {
    const known = this.table.known(id);
    if (known) return known;
    const loaded = await this.records.loadOne(id);
    this.check();
    if (!loaded) return this.table.known(id);
    if (!this.table.endedAs(id) && !this.table.jobs.has(id)) this.waiting.add([this.progress.adopt(loaded)]);
    this.hooks.requestPlan();
    return this.table.known(id);
  }

  private async catchLoss<T>(work: Promise<T>): Promise<T> {
    try {
      return await work;
    } catch (error) {
      if (error instanceof NotOwner) {
        this.hooks.lostOwnership();
        throw new Unavailable('the shard has moved');
      }
      throw error;
    }
  }

  async status(id: string): Promise<StatusAnswer | null> {
    this.check();
    const answer = this.table.known(id) ?? (await this.recall(id));
    this.check();
    return answer && this.tellable(id, answer);
  }

  /** Unfinished jobs after an id, in the order of ids; without those whose end may be stored by now. */
  list(under: string, after: string, most: number): ListedJob[] {
    this.check();
    return [...this.table.jobs.values()]
      .filter(({ spec: { id }, ending }) => !ending && id > after && id.startsWith(under))
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
  private tellable(id: string, answer: StatusAnswer): StatusAnswer {
    const job = this.table.jobs.get(id);
    if (job?.ending) throw new Unavailable('whether the job is over is not known now');
    if (job && !this.waiting.mayTell(job)) throw new Unavailable('what the job waits for is not known now');
    return answer;
  }

  async cancel(id: string): Promise<'done' | 'cancelled' | null> {
    this.check();
    if (!this.table.known(id)) await this.recall(id);
    const job = this.table.jobs.get(id);
    if (job) {
      this.progress.unwant(job);
      await this.table.exclusive(id, async () => {
        if (job.state !== 'active') return;
        this.check();
        this.progress.end(job, await this.catchLoss(this.records.finish(job, 'cancelled')));
      });
      return job.state === 'active' ? null : job.state;
    }
    return this.table.endedAs(id);
  }

  /**
   * Cancels jobs of which one that they need was cancelled, or that their users want cancelled; what cannot be stored now is
   * tried again until it is decided one way. A write without an answer may have been made, or be made later: who reads the record
   * tells the user, who need not come back, and here the job would never end.
   */
  endDoomed(): void {
    for (const job of this.table.jobs.values()) {
      if (!(job.doomed || job.unwanted) || this.ending.has(job)) continue;
      if (this.ending.size >= DOOMED_AT_ONCE) return;
      this.ending.add(job);
      void this.table
        .exclusive(job.spec.id, async () => {
          if (job.state !== 'active' || !this.hooks.entitled()) return;
          this.progress.end(job, await this.catchLoss(this.records.finish(job, 'cancelled')));
        })
        .catch((error) => this.log.debug({ job: job.spec.id, error: String(error) }, 'not cancelled yet'))
        .finally(() => {
          this.ending.delete(job);
          if (job.state !== 'active') this.endDoomed();
        });
    }
  }
}
