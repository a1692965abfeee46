/** A client for users: submits jobs with the retries that the protocol asks for, polls, waits and cancels. */

import { type Clock, pause } from '../clock/clock.js';
import { InvalidInputError, UnreachableError } from '../errors/errors.js';
import { type HttpAnswer, HttpRequestError, type Requester } from '../http/client.js';
import {
  type JobSpec,
  type JobView,
  type ListedJob,
  readJobList,
  readStatus,
  USER_PATHS,
  writeJob,
} from '../wire/users.js';

/** Nobody could take the request within the time that users try for; nothing is known of what became of it. */
export class ClientUnreachableError extends UnreachableError {}

/** Refused for good: 400 malformed, 404 unknown, 422 can never run. */
export class RequestRejectedError extends InvalidInputError {
  constructor(
    readonly status: number,
    message: string,
  ) {
    super(message);
  }
}

/** What emulated workers need to know of a job beside its specification. */
export interface Upload {
  /** How long a task truly runs, for emulated workers. */
  runS?: number | undefined;
  /** Fails on every machine, for emulated workers. */
  fails?: boolean | undefined;
}

/** Where a client sends its requests, and for how long. */
export interface ClientOptions {
  /** `host:port` of controllers or of the load balancer before them; tried in turn. */
  servers: readonly string[];
  /** Where descriptions are uploaded for the workers; null where nothing is. */
  depot: string | null;
  /** For how long a request is repeated, in seconds. */
  retryS?: number;
  /** Told of every answer, with how long it took. */
  onAnswer?: (request: string, status: number, ms: number) => void;
}

const ANSWER_TIMEOUT_MS = 5000;
const POLL_TIMEOUT_MS = 2000;
const POLL_INTERVAL_MS = 5000;
const RETRY_DELAY_MS = 1000;
const MAX_RETRY_AFTER_S = 30;
const DEFAULT_RETRY_S = 60;

/** A user of a cluster, over HTTP. Every method may be called at any time; retries use the same id. */
export class SpartrayClient {
  private nextServer = 0;

  constructor(
    private readonly clock: Clock,
    private readonly http: Requester,
    private readonly options: ClientOptions,
  ) {}

  /**
   * Uploads a job's description and submits it. Returns how it stands: `queued` when it was accepted now. Fails with
   * `Rejected` (400, 422) or `Unreachable`.
   */
  async submit(spec: JobSpec, upload: Upload = {}): Promise<JobView> {
    await this.upload(spec, upload);
    const answer = await this.requestUntil('POST', USER_PATHS.jobs, writeJob(spec), [200, 201, 400, 422]);
    return this.view(answer);
  }

  /** Puts a description where workers fetch it. */
  async upload(spec: JobSpec, upload: Upload): Promise<void> {
    const { depot } = this.options;
    if (depot === null) return;
    const body = { job: writeJob(spec), ...upload };
    const until = this.clock.now() + (this.options.retryS ?? DEFAULT_RETRY_S) * 1000;
    for (;;) {
      const answer = await this.requestOnce(depot, 'PUT', `/jobs/${spec.id}`, body, ANSWER_TIMEOUT_MS);
      if (answer?.status === 200) return;
      if (answer?.status === 400) throw new RequestRejectedError(400, errorOf(answer));
      if (this.clock.now() >= until) throw new ClientUnreachableError('the description cannot be uploaded');
      await pause(this.clock, RETRY_DELAY_MS);
    }
  }

  /** How a job stands; null when it was never accepted. Fails with `Unreachable`. */
  async status(id: string): Promise<JobView | null> {
    const path = pathOf(id);
    const answer = await this.requestUntil('GET', path, null, [200, 404], POLL_TIMEOUT_MS);
    return answer.status === 404 ? null : this.view(answer);
  }

  /** Asks once; undefined when there was no answer to go by. */
  async poll(id: string): Promise<JobView | null | undefined> {
    const path = pathOf(id);
    const answer = await this.requestOnce(this.server(), 'GET', path, null, POLL_TIMEOUT_MS);
    if (answer?.status === 404) return null;
    return answer?.status === 200 ? (readStatus(answer.body) ?? undefined) : undefined;
  }

  /** Asks until a job is done or cancelled, or the time is over; returns how it stood last. */
  async wait(
    id: string,
    withinS = Number.POSITIVE_INFINITY,
    seen?: (v: JobView) => void,
  ): Promise<JobView | null> {
    const until = this.clock.now() + withinS * 1000;
    for (;;) {
      const view = await this.status(id);
      if (!view || view.status === 'done' || view.status === 'cancelled' || this.clock.now() >= until)
        return view;
      seen?.(view);
      await pause(this.clock, Math.max(0, Math.min(POLL_INTERVAL_MS, until - this.clock.now())));
    }
  }

  /** Cancels a job; it stays `done` when it was. Fails with `Rejected` (404) or `Unreachable`. */
  async cancel(id: string): Promise<JobView> {
    const path = `${pathOf(id)}/${USER_PATHS.cancel}`;
    return this.view(await this.requestUntil('POST', path, {}, [200, 404]));
  }

  /** Unfinished jobs whose ids begin with `under`, in the order of ids. */
  async list(under = ''): Promise<ListedJob[]> {
    const all: ListedJob[] = [];
    for (let after = ''; ; ) {
      const query = new URLSearchParams({ under, after });
      const answer = await this.requestUntil('GET', `${USER_PATHS.jobs}?${query}`, null, [200, 400]);
      const page = answer.status === 200 ? readJobList(answer.body) : null;
      if (!page) throw new RequestRejectedError(answer.status, errorOf(answer));
      all.push(...page.jobs);
      const last = page.jobs.at(-1);
      if (!page.more || !last) return all;
      after = last.id;
    }
  }

  /** Sends a request until one of these statuses answers it, as users do. Fails with `Unreachable`. */
  async requestUntil(
    method: string,
    path: string,
    body: object | null,
    final: readonly number[],
    answerMs = ANSWER_TIMEOUT_MS,
  ): Promise<HttpAnswer> {
    const until = this.clock.now() + (this.options.retryS ?? DEFAULT_RETRY_S) * 1000;
    let why = 'no answer';
    for (;;) {
      const answer = await this.requestOnce(this.server(), method, path, body, answerMs);
      if (answer && final.includes(answer.status)) return answer;
      if (answer) why = `${answer.status} ${errorOf(answer)}`;
      const wait = Math.max(RETRY_DELAY_MS, Math.min(MAX_RETRY_AFTER_S, retryAfter(answer)) * 1000);
      if (this.clock.now() + wait > until) throw new ClientUnreachableError(why);
      await pause(this.clock, wait);
    }
  }

  private async requestOnce(
    addr: string,
    method: string,
    path: string,
    body: object | null,
    answerMs: number,
  ): Promise<HttpAnswer | null> {
    const sent = this.clock.now();
    let answer: HttpAnswer | null = null;
    try {
      answer = await this.http.request(addr, method, path, body, answerMs);
    } catch (error) {
      if (!(error instanceof HttpRequestError)) throw error;
      this.nextServer++;
    }
    this.options.onAnswer?.(`${method} ${path}`, answer?.status ?? 0, this.clock.now() - sent);
    return answer;
  }

  private server(): string {
    return this.options.servers[this.nextServer % this.options.servers.length]!;
  }

  private view(answer: HttpAnswer): JobView {
    const view = answer.status < 300 ? readStatus(answer.body) : null;
    if (!view) throw new RequestRejectedError(answer.status, errorOf(answer));
    return view;
  }
}

function pathOf(id: string): string {
  return `${USER_PATHS.jobs}/${encodeURIComponent(id)}`;
}

function retryAfter(answer: HttpAnswer | null): number {
  const seconds = Number(answer?.headers.get('retry-after') ?? 0);
  return Number.isFinite(seconds) ? seconds : 0;
}

/** What an answer says is wrong. */
function errorOf(answer: HttpAnswer): string {
  const error = (answer.body as { error?: unknown } | null)?.error;
  return typeof error === 'string' ? error : 'no reason given';
}
