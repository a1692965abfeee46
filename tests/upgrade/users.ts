import { ClientUnreachableError, RequestRejectedError, SpartrayClient } from '../../src/client/client.js';
import type { JobFileEntry } from '../../src/client/jobfile.js';
import { type Clock, pause } from '../../src/clock/clock.js';
import { HttpClient } from '../../src/http/client.js';
import type { UserEvent, Violation } from '../../src/load/history.js';
import type { JobSpec, JobView } from '../../src/wire/users.js';
import { ID_PREFIX, type Submission } from './jobs.js';

/** A submitted job, and its state as its user knows it. */
export interface TrackedJob {
  spec: JobSpec;
  /** The step in which it was submitted. */
  step: string;
  outcome: 'pending' | 'accepted' | 'refused' | 'undecided';
  view: JobView | null;
}

/** The numbers of status requests that were sent, and that were answered. */
export interface Questions {
  asked: number;
  answered: number;
}

const TAKEOVER_S = 300;
/**
 * Maximum number of concurrent status requests. More of them would time out on a busy machine, since the clock is
 * accelerated.
 */
const MAX_CONCURRENT_POLLS = 8;
const POLL_RETRY_MS = 1000;
const RETRY_S = 120;

export function isEnded(job: TrackedJob): boolean {
  return job.view?.status === 'done' || job.view?.status === 'cancelled';
}

/** Runs a function for each job, with limited concurrency, and returns the results in order of completion. */
async function mapConcurrently<T>(
  jobs: readonly TrackedJob[],
  run: (job: TrackedJob) => Promise<T>,
): Promise<T[]> {
  const queue = [...jobs];
  const results: T[] = [];
  const runNext = async () => {
    for (let job = queue.shift(); job; job = queue.shift()) results.push(await run(job));
  };
  await Promise.all(Array.from({ length: MAX_CONCURRENT_POLLS }, runNext));
  return results;
}

/** The users of all clusters: their submitted jobs, and the responses that they got. */
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
    this.http = new HttpClient(clock, { maxSockets: 500, maxBodyBytes: 1024 * 1024 });
    this.client = new SpartrayClient(clock, this.http, {
      servers: [addresses.users],
      depot: addresses.depot,
      retryPeriodS: RETRY_S,
    });
  }

  close(): void {
    this.http.close();
  }

  /** Returns the accepted jobs that are not known to have ended. */
  unfinished(): TrackedJob[] {
    return this.accepted().filter((job) => !isEnded(job));
  }

  accepted(): TrackedJob[] {
    return [...this.jobs.values()].filter((job) => job.outcome === 'accepted');
  }

  /** Submits the jobs in sequence, and stops at the first that is not accepted. */
  async submit(step: string, submission: Submission): Promise<void> {
    for (const order of submission.entries) {
      const job = await this.submitOne(step, order);
      if (job.outcome !== 'accepted') return;
    }
    if (submission.cancelAfterS === undefined) return;
    await pause(this.clock, submission.cancelAfterS * 1000);
    await this.cancel(submission.entries[0]!.spec.id);
  }

  private async submitOne(step: string, { spec, emulation }: JobFileEntry): Promise<TrackedJob> {
    const job: TrackedJob = { spec, step, outcome: 'pending', view: null };
    this.jobs.set(spec.id, job);
    this.specs.set(spec.id, spec);
    this.recordEvent(spec.id, 'submitted');
    try {
      job.view = await this.client.submit(spec, emulation);
      job.outcome = 'accepted';
      this.recordEvent(spec.id, 'accepted');
    } catch (error) {
      if (!(error instanceof RequestRejectedError || error instanceof ClientUnreachableError)) throw error;
      job.outcome = error instanceof RequestRejectedError ? 'refused' : 'undecided';
      if (error instanceof RequestRejectedError) this.recordEvent(spec.id, 'refused');
    }
    return job;
  }

  async cancel(id: string): Promise<void> {
    this.recordEvent(id, 'cancel asked');
    const asked = this.events.length;
    try {
      const view = await this.client.cancel(id);
      if (view.status === 'cancelled') this.recordView(id, view, asked);
    } catch (error) {
      if (!(error instanceof RequestRejectedError || error instanceof ClientUnreachableError)) throw error;
      if (error instanceof RequestRejectedError) this.recordEvent(id, 'unknown', asked);
    }
  }

  /** Requests the status of each of these jobs once. */
  async poll(jobs: readonly TrackedJob[]): Promise<void> {
    await mapConcurrently(jobs, (job) => this.pollOnce(job));
  }

  /** Requests the status of a job once; null if the job is unknown, undefined if there was no answer. */
  private async pollOnce(job: TrackedJob): Promise<JobView | null | undefined> {
    const { id } = job.spec;
    const asked = this.events.length;
    this.questions.asked++;
    const view = await this.client.poll(id);
    if (view === undefined) return undefined;
    this.questions.answered++;
    if (view === null) this.recordEvent(id, 'unknown', asked);
    else this.recordView(id, view, asked);
    return view;
  }

  private recordView(id: string, view: JobView, asked: number): void {
    this.jobs.get(id)!.view = view;
    this.events.push({
      at: this.clock.now(),
      job: id,
      kind: 'told',
      status: view.status,
      eventsBeforeRequest: asked,
    });
  }

  private recordEvent(job: string, kind: UserEvent['kind'], asked?: number): void {
    this.events.push({
      at: this.clock.now(),
      job,
      kind,
      ...(asked !== undefined && { eventsBeforeRequest: asked }),
    });
  }

  /**
   * Polls a new cluster for every job that was ever accepted until each is answered; `settled` holds the tasks that
   * were stored as done. It is a violation if the status of a job is not answered in time or has fewer done tasks
   * than were stored, or if an unfinished job is missing in the list of jobs or listed with other properties. (Jobs
   * that are unknown to the cluster are found by the checker of histories.)
   */
  async checkTakeover(settled: ReadonlyMap<string, ReadonlySet<number>>): Promise<Violation[]> {
    const deadline = this.clock.now() + TAKEOVER_S * 1000;
    const found = await mapConcurrently(this.accepted(), (job) =>
      this.askUntilKnown(job, settled.get(job.spec.id)?.size ?? 0, deadline),
    );
    const unfinished = this.unfinished();
    return [...found.flat(), ...(await this.compareList(unfinished))];
  }

  private async askUntilKnown(job: TrackedJob, doneAtLeast: number, deadline: number): Promise<Violation[]> {
    for (;;) {
      const view = await this.pollOnce(job);
      if (view === null || (view && isEnded(job)) || (view && view.done >= doneAtLeast)) return [];
      if (this.clock.now() < deadline) {
        await pause(this.clock, POLL_RETRY_MS);
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
        await this.pollOnce(job);
        if (!isEnded(job)) found.push({ rule: 'not_listed', at, what: `${id} is unfinished and not listed` });
      } else if (entry.team !== team || entry.class !== jobClass || entry.tasks !== tasks)
        found.push({ rule: 'changed', at, what: `${id} is listed as ${JSON.stringify(entry)}` });
    }
    return found;
  }
}
