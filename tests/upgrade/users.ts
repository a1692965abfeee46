import { ClientUnreachableError, RequestRejectedError, SpartrayClient } from '../../src/client/client.js';
import type { JobFileEntry } from '../../src/client/jobfile.js';
import { type Clock, pause } from '../../src/clock/clock.js';
import { HttpClient } from '../../src/http/client.js';
import type { UserEvent, Violation } from '../../src/load/history.js';
import type { JobSpec, JobView } from '../../src/wire/users.js';
import { ID_PREFIX, type Submission } from './jobs.js';

/** A job that was submitted, and what its user knows of it. */
export interface TrackedJob {
  spec: JobSpec;
  /** The step in which it was submitted. */
  step: string;
  outcome: 'pending' | 'accepted' | 'refused' | 'undecided';
  view: JobView | null;
}

/** Questions how a job stands, and those of them that got an answer. */
export interface Questions {
  asked: number;
  answered: number;
}

const TAKEOVER_S = 300;
/** Questions under way together: more of them would time out on a busy machine, where the clock runs many times as fast. */
const ASKED_AT_ONCE = 8;
const ASK_AGAIN_MS = 1000;
const RETRY_S = 120;

export function isOver(job: TrackedJob): boolean {
  return job.view?.status === 'done' || job.view?.status === 'cancelled';
}

/** Does something with each job, with some of them at once. */
async function eachOf<T>(jobs: readonly TrackedJob[], act: (job: TrackedJob) => Promise<T>): Promise<T[]> {
  const queue = [...jobs];
  const results: T[] = [];
  const work = async () => {
    for (let job = queue.shift(); job; job = queue.shift()) results.push(await act(job));
  };
  await Promise.all(Array.from({ length: ASKED_AT_ONCE }, work));
  return results;
}

/** All users, over all clusters: what they submitted, and all that they were told. */
export class Users {
  readonly jobs = new Map<string, TrackedJob>();
  readonly specs = new Map<string, JobSpec>();
  readonly events: UserEvent[] = [];
  readonly questions: Questions = { asked: 0, answered: 0 };
  private readonly http: HttpClient;
  private readonly client: SpartrayClient;

  constructor(
    private readonly clock: Clock,
    addresses: { users: string; depot: string },
  ) {
    this.http = new HttpClient(clock, { maxSockets: 500, bodyBytes: 1024 * 1024 });
    this.client = new SpartrayClient(clock, this.http, {
      servers: [addresses.users],
      depot: addresses.depot,
      retryS: RETRY_S,
    });
  }

  close(): void {
    this.http.close();
  }

  /** Accepted, and not known to be over. */
  open(): TrackedJob[] {
    return this.accepted().filter((job) => !isOver(job));
  }

  accepted(): TrackedJob[] {
    return [...this.jobs.values()].filter((job) => job.outcome === 'accepted');
  }

  /** Submits the jobs one after the other; the first that is not accepted ends it. */
  async submit(step: string, submission: Submission): Promise<void> {
    for (const order of submission.orders) {
      const job = await this.submitOne(step, order);
      if (job.outcome !== 'accepted') return;
    }
    if (submission.cancelAfterS === undefined) return;
    await pause(this.clock, submission.cancelAfterS * 1000);
    await this.cancel(submission.orders[0]!.spec.id);
  }

  private async submitOne(step: string, { spec, upload }: JobFileEntry): Promise<TrackedJob> {
    const job: TrackedJob = { spec, step, outcome: 'pending', view: null };
    this.jobs.set(spec.id, job);
    this.specs.set(spec.id, spec);
    this.note(spec.id, 'submitted');
    try {
      job.view = await this.client.submit(spec, upload);
      job.outcome = 'accepted';
      this.note(spec.id, 'accepted');
    } catch (error) {
      if (!(error instanceof RequestRejectedError || error instanceof ClientUnreachableError)) throw error;
      job.outcome = error instanceof RequestRejectedError ? 'refused' : 'undecided';
      if (error instanceof RequestRejectedError) this.note(spec.id, 'refused');
    }
    return job;
  }

  async cancel(id: string): Promise<void> {
    this.note(id, 'cancel asked');
    const asked = this.events.length;
    try {
      const view = await this.client.cancel(id);
      if (view.status === 'cancelled') this.hear(id, view, asked);
    } catch (error) {
      if (!(error instanceof RequestRejectedError || error instanceof ClientUnreachableError)) throw error;
      if (error instanceof RequestRejectedError) this.note(id, 'unknown', asked);
    }
  }

  /** Asks once how each of these jobs stands. */
  async poll(jobs: readonly TrackedJob[]): Promise<void> {
    await eachOf(jobs, (job) => this.ask(job));
  }

  /** Asks once; undefined when there was no answer. */
  private async ask(job: TrackedJob): Promise<JobView | null | undefined> {
    const { id } = job.spec;
    const asked = this.events.length;
    this.questions.asked++;
    const view = await this.client.poll(id);
    if (view === undefined) return undefined;
    this.questions.answered++;
    if (view === null) this.note(id, 'unknown', asked);
    else this.hear(id, view, asked);
    return view;
  }

  private hear(id: string, view: JobView, asked: number): void {
    this.jobs.get(id)!.view = view;
    this.events.push({ at: this.clock.now(), job: id, kind: 'told', status: view.status, asked });
  }

  private note(job: string, kind: UserEvent['kind'], asked?: number): void {
    this.events.push({ at: this.clock.now(), job, kind, ...(asked !== undefined && { asked }) });
  }

  /**
   * Asks a cluster that took over for every job that was ever accepted, until each is answered; `settled` holds the tasks
   * that were stored as done. A job that is known but not told of in time, or with fewer done tasks, breaks a rule; so does
   * an unfinished one that is missing in the list or stands there as another. (The checker sees jobs that are forgotten.)
   */
  async takeOver(settled: ReadonlyMap<string, ReadonlySet<number>>): Promise<Violation[]> {
    const until = this.clock.now() + TAKEOVER_S * 1000;
    const found = await eachOf(this.accepted(), (job) =>
      this.askUntilKnown(job, settled.get(job.spec.id)?.size ?? 0, until),
    );
    const unfinished = this.open();
    return [...found.flat(), ...(await this.compareList(unfinished))];
  }

  private async askUntilKnown(job: TrackedJob, doneAtLeast: number, until: number): Promise<Violation[]> {
    for (;;) {
      const view = await this.ask(job);
      if (view === null || (view && isOver(job)) || (view && view.done >= doneAtLeast)) return [];
      if (this.clock.now() < until) {
        await pause(this.clock, ASK_AGAIN_MS);
        continue;
      }
      const what = view
        ? `${job.spec.id} has ${view.done} done tasks, and ${doneAtLeast} were stored`
        : `${job.spec.id} is not answered for after the takeover`;
      return [{ rule: view ? 'done_lost' : 'unanswered', at: this.clock.now(), what }];
    }
  }

  private async compareList(unfinished: readonly TrackedJob[]): Promise<Violation[]> {
    const at = this.clock.now();
    const listed = await this.client.list(ID_PREFIX).catch(() => null);
    if (!listed) return [{ rule: 'unanswered', at, what: 'the list of unfinished jobs is not answered' }];
    const byId = new Map(listed.map((job) => [job.id, job]));
    const found: Violation[] = [];
    for (const job of unfinished) {
      const { id, team, class: jobClass, tasks } = job.spec;
      const entry = byId.get(id);
      if (!entry) {
        await this.ask(job);
        if (!isOver(job)) found.push({ rule: 'not_listed', at, what: `${id} is unfinished and not listed` });
      } else if (entry.team !== team || entry.class !== jobClass || entry.tasks !== tasks)
        found.push({ rule: 'changed', at, what: `${id} is listed as ${JSON.stringify(entry)}` });
    }
    return found;
  }
}
