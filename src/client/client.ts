/** User client: submits, polls, awaits and cancels jobs, with the retries that the protocol requires. */

import { type Clock, pause } from '../clock/clock.js';
import { InvalidInputError, UnreachableError } from '../errors/errors.js';
import { HttpRequestError, type HttpResponse, type Requester } from '../http/client.js';
import {
  type JobSpec,
  type JobView,
  type ListedJob,
  readJobList,
  readStatus,
  USER_PATHS,
  writeJob,
} from '../wire/users.js';

/** No server completed the request within the retry period; whether the request took effect is unknown. */
export class ClientUnreachableError extends UnreachableError {}

/** The request was permanently rejected: 400 malformed, 404 unknown job, 422 a job that can never run. */
export class RequestRejectedError extends InvalidInputError {
  constructor(
    readonly status: number,
    message: string,
  ) {
    super(message);
  }
}

/** Parameters of a job for emulated workers, in addition to its specification. */
export interface EmulationParameters {
  /** Actual run time of each task, in seconds. */
  runS?: number | undefined;
  /** Whether the tasks fail on every machine. */
  fails?: boolean | undefined;
}

/** Servers of a client, and its retry period. */
export interface ClientOptions {
  /**
   * `host:port` of controllers or of the load balancer in front of them. The client uses one at a time, and moves to
   * the next one after a request without a response.
   */
  servers: readonly string[];
  /** `host:port` of the service from which workers fetch job descriptions; null when descriptions are not uploaded. */
  depot: string | null;
  /** Retry period of a request, in seconds. */
  retryPeriodS?: number;
  /** Called after every request with its status, or 0 when there was no response, and its duration. */
  onResponse?: (request: string, status: number, ms: number) => void;
}

const RESPONSE_TIMEOUT_MS = 5000;
const POLL_TIMEOUT_MS = 2000;
const POLL_INTERVAL_MS = 5000;
const RETRY_DELAY_MS = 1000;
const MAX_RETRY_AFTER_S = 30;
const DEFAULT_RETRY_S = 60;

/** Client of a cluster over HTTP. Methods may be called concurrently; retries of a request use the same job id. */
export class SpartrayClient {
  private nextServer = 0;

  constructor(
    private readonly clock: Clock,
    private readonly http: Requester,
    private readonly options: ClientOptions,
  ) {}

  /**
   * Uploads a job's description and submits it. Returns the status of the job, which is `queued` when this call had it
   * accepted. Throws `RequestRejectedError` (400, 422) or `ClientUnreachableError`.
   */
  async submit(spec: JobSpec, emulation: EmulationParameters = {}): Promise<JobView> {
    await this.uploadDescription(spec, emulation);
    const response = await this.requestWithRetries(
      'POST',
      USER_PATHS.jobs,
      writeJob(spec),
      [200, 201, 400, 422],
    );
    return this.viewOf(response);
  }

  /**
   * Uploads a description to the service from which workers fetch it. Throws `RequestRejectedError` (400) or
   * `ClientUnreachableError`.
   */
  async uploadDescription(spec: JobSpec, emulation: EmulationParameters): Promise<void> {
    const { depot } = this.options;
    if (depot === null) return;
    const body = { job: writeJob(spec), ...emulation };
    const deadline = this.clock.now() + (this.options.retryPeriodS ?? DEFAULT_RETRY_S) * 1000;
    for (;;) {
      const response = await this.requestOnce(depot, 'PUT', `/jobs/${spec.id}`, body, RESPONSE_TIMEOUT_MS);
      if (response?.status === 200) return;
      if (response?.status === 400) throw new RequestRejectedError(400, errorText(response));
      if (this.clock.now() >= deadline)
        throw new ClientUnreachableError('the description cannot be uploaded');
      await pause(this.clock, RETRY_DELAY_MS);
    }
  }

  /** Returns the status of a job, or null when it was never accepted. Throws `ClientUnreachableError`. */
  async status(id: string): Promise<JobView | null> {
    const path = jobPath(id);
    const response = await this.requestWithRetries('GET', path, null, [200, 404], POLL_TIMEOUT_MS);
    return response.status === 404 ? null : this.viewOf(response);
  }

  /**
   * Requests the status of a job once, without retries. Returns null when it was never accepted, and undefined when
   * there was no usable response.
   */
  async poll(id: string): Promise<JobView | null | undefined> {
    const path = jobPath(id);
    const response = await this.requestOnce(this.currentServer(), 'GET', path, null, POLL_TIMEOUT_MS);
    if (response?.status === 404) return null;
    return response?.status === 200 ? (readStatus(response.body) ?? undefined) : undefined;
  }

  /**
   * Polls a job until it is done, cancelled or unknown, or until `timeoutS` seconds have passed. Returns the last
   * status; `onPoll` is called with each earlier one. Throws `ClientUnreachableError`.
   */
  async wait(
    id: string,
    timeoutS = Number.POSITIVE_INFINITY,
    onPoll?: (view: JobView) => void,
  ): Promise<JobView | null> {
    const deadline = this.clock.now() + timeoutS * 1000;
    for (;;) {
      const view = await this.status(id);
      if (!view || view.status === 'done' || view.status === 'cancelled' || this.clock.now() >= deadline)
        return view;
      onPoll?.(view);
      await pause(this.clock, Math.max(0, Math.min(POLL_INTERVAL_MS, deadline - this.clock.now())));
    }
  }

  /**
   * Cancels a job and returns its status; a job that is already done stays `done`. Throws `RequestRejectedError` (404)
   * or `ClientUnreachableError`.
   */
  async cancel(id: string): Promise<JobView> {
    const path = `${jobPath(id)}/${USER_PATHS.cancel}`;
    return this.viewOf(await this.requestWithRetries('POST', path, {}, [200, 404]));
  }

  /**
   * Returns the unfinished jobs whose ids begin with `prefix`, ordered by id. Throws `RequestRejectedError` (400) or
   * `ClientUnreachableError`.
   */
  async list(prefix = ''): Promise<ListedJob[]> {
    const jobs: ListedJob[] = [];
    for (let after = ''; ; ) {
      const query = new URLSearchParams({ under: prefix, after });
      const response = await this.requestWithRetries('GET', `${USER_PATHS.jobs}?${query}`, null, [200, 400]);
      const page = response.status === 200 ? readJobList(response.body) : null;
      if (!page) throw new RequestRejectedError(response.status, errorText(response));
      jobs.push(...page.jobs);
      const last = page.jobs.at(-1);
      if (!page.more || !last) return jobs;
      after = last.id;
    }
  }

  /**
   * Repeats a request until the response has one of the final statuses, waiting between attempts as long as the
   * `Retry-After` header asks, but at least `RETRY_DELAY_MS` and at most `MAX_RETRY_AFTER_S`. Throws
   * `ClientUnreachableError` once the next attempt would start after the retry period.
   */
  async requestWithRetries(
    method: string,
    path: string,
    body: object | null,
    finalStatuses: readonly number[],
    timeoutMs = RESPONSE_TIMEOUT_MS,
  ): Promise<HttpResponse> {
    const deadline = this.clock.now() + (this.options.retryPeriodS ?? DEFAULT_RETRY_S) * 1000;
    let failure = 'no answer';
    for (;;) {
      const response = await this.requestOnce(this.currentServer(), method, path, body, timeoutMs);
      if (response && finalStatuses.includes(response.status)) return response;
      if (response) failure = `${response.status} ${errorText(response)}`;
      const delayMs = Math.max(
        RETRY_DELAY_MS,
        Math.min(MAX_RETRY_AFTER_S, retryAfterSeconds(response)) * 1000,
      );
      if (this.clock.now() + delayMs > deadline) throw new ClientUnreachableError(failure);
      await pause(this.clock, delayMs);
    }
  }

  private async requestOnce(
    addr: string,
    method: string,
    path: string,
    body: object | null,
    timeoutMs: number,
  ): Promise<HttpResponse | null> {
    const sentAt = this.clock.now();
    let response: HttpResponse | null = null;
    try {
      response = await this.http.request(addr, method, path, body, timeoutMs);
    } catch (error) {
      if (!(error instanceof HttpRequestError)) throw error;
      this.nextServer++;
    }
    this.options.onResponse?.(`${method} ${path}`, response?.status ?? 0, this.clock.now() - sentAt);
    return response;
  }

  private currentServer(): string {
    return this.options.servers[this.nextServer % this.options.servers.length]!;
  }

  private viewOf(response: HttpResponse): JobView {
    const view = response.status < 300 ? readStatus(response.body) : null;
    if (!view) throw new RequestRejectedError(response.status, errorText(response));
    return view;
  }
}

function jobPath(id: string): string {
  return `${USER_PATHS.jobs}/${encodeURIComponent(id)}`;
}

function retryAfterSeconds(response: HttpResponse | null): number {
  const seconds = Number(response?.headers.get('retry-after') ?? 0);
  return Number.isFinite(seconds) ? seconds : 0;
}

/** Returns the error text of a response. */
function errorText(response: HttpResponse): string {
  const error = (response.body as { error?: unknown } | null)?.error;
  return typeof error === 'string' ? error : 'no reason given';
}
