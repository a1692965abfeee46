// This package: dealings with the state service: its requests, within its rates.

import { type Clock, pause } from '../clock/clock.js';
import { RemoteServiceError } from '../errors/errors.js';
import { type HttpAnswer, HttpRequestError, type Requester } from '../http/client.js';
import {
  type Change,
  type Condition,
  type Entry,
  readChanges,
  readEntries,
  readEntry,
  readLease,
  readTxn,
  STATE_PATHS,
  type Write,
  writeLeaseRequest,
  writeTxn,
} from '../wire/state.js';
import { RateLimitExceededError, RateLimiter } from './ratelimiter.js';

/** The key-value store refused a request, or did not answer it. */
export class StateStoreError extends RemoteServiceError {}

export type CompareAndSwapResult = { ok: true; revision: number } | { ok: false; failed: string[] };

export interface StateLimits {
  rps: number;
  writeRps: number;
  nodes: number;
}

/** Requests and changes a second. */
export interface StateRates {
  requests: number;
  changes: number;
}

const TIMEOUT_MS = 2500;
/** A request refused for the rate was not executed; it is sent again after this, for so long. */
const REFUSED_PAUSE_MS = 150;
const REFUSED_MOST_MS = 1500;
/** What all nodes take together; the rest is left for what does not wait, renewals of leases above all. */
const SHARED = 0.85;
/** The most that one node takes of the rates while the others need less. */
const MOST_OF_ALL = 0.7;
/** Of a node's part of the rate, what users' questions may take, and how long one waits for its turn. */
const QUESTIONS_SHARE = 0.4;
const QUESTION_WAIT_MS = 400;
const PAGE = 500;

/** The state service, within this node's part of its rates. */
export class StateStore {
  private readonly requests: RateLimiter;
  private readonly writes: RateLimiter;
  private readonly userReads: RateLimiter;
  /** What all nodes together may take. */
  readonly clusterRates: StateRates;
  private readonly pendingReads = new Map<string, Promise<Entry | null>>();

  constructor(
    private readonly clock: Clock,
    private readonly http: Requester,
    private readonly addr: string,
    limits: StateLimits,
  ) {
    // The service counts all nodes together; each keeps to its part, with some left for lease renewals.
    const part = SHARED / limits.nodes;
    this.clusterRates = { requests: limits.rps * SHARED, changes: limits.writeRps * SHARED };
    const most = Math.max(part, MOST_OF_ALL);
    const limiter = (rate: number) => new RateLimiter(clock, rate * part, rate * part, rate * most);
    this.requests = limiter(limits.rps);
    this.writes = limiter(limits.writeRps);
    const asked = limits.rps * part * QUESTIONS_SHARE;
    this.userReads = new RateLimiter(clock, asked, asked, limits.rps * most * QUESTIONS_SHARE);
  }

  /** What this node takes and would take. */
  get demand(): StateRates {
    return { requests: this.requests.demand, changes: this.writes.demand };
  }

  /** Sets this node's share of the rates, for so long. */
  allocate(rates: StateRates, validMs: number): void {
    this.requests.allocate(rates.requests, validMs);
    this.writes.allocate(rates.changes, validMs);
    this.userReads.allocate(rates.requests * QUESTIONS_SHARE, validMs);
  }

  /** How long a change that comes now would wait for this node's part of the rate. */
  get writeDelayMs(): number {
    return Math.max(this.requests.delayMs, this.writes.delayMs);
  }

  /** How many changes this node may make a second at present. */
  get writesPerSecond(): number {
    return this.writes.rate;
  }

  /**
   * A read for a user's question. Many users may ask at once, also for jobs that nobody has submitted: those who wait
   * for their turn with the same key share a read, and all reads take no more than a part of this node's rate, so that
   * they keep neither acceptances nor completions waiting. A read that has been sent is not shared any more: what it
   * finds may be older than what a user has been told since. Fails soon when there are too many.
   */
  getCoalesced(key: string): Promise<Entry | null> {
    const waiting = this.pendingReads.get(key);
    if (waiting) return waiting;
    const read = this.userReads
      .acquire(1, false, QUESTION_WAIT_MS)
      .catch(() => Promise.reject(new StateStoreError('too many questions', false)))
      .finally(() => this.pendingReads.delete(key))
      .then(() => this.get(key));
    this.pendingReads.set(key, read);
    return read;
  }

  async get(key: string): Promise<Entry | null> {
    const answer = await this.send('GET', STATE_PATHS.key(key), null, 0, false);
    if (answer.status === 404) return null;
    const entry = answer.status === 200 ? readEntry(answer.body) : null;
    if (!entry) throw new StateStoreError(`get ${key}: ${answer.status}`, false);
    return entry;
  }

  /** All entries under a prefix, and the revision of the first page. */
  async list(prefix: string): Promise<{ entries: Entry[]; revision: number }> {
    const entries: Entry[] = [];
    let after: string | null = null;
    let revision = 0;
    for (;;) {
      const answer = await this.send('GET', STATE_PATHS.list(prefix, after, PAGE), null, 0, false);
      const page = answer.status === 200 ? readEntries(answer.body) : null;
      if (!page) throw new StateStoreError(`list ${prefix}: ${answer.status}`, false);
      if (after === null) revision = page.revision;
      entries.push(...page.entries);
      const last = page.entries.at(-1);
      if (!page.more || !last) return { entries, revision };
      after = last.key;
    }
  }

  async compareAndSwap(when: Condition[], writes: Write[], urgent = false): Promise<CompareAndSwapResult> {
    const answer = await this.send('POST', STATE_PATHS.txn, writeTxn(when, writes), writes.length, urgent);
    const result = answer.status === 200 || answer.status === 409 ? readTxn(answer.body) : null;
    if (!result)
      throw new StateStoreError(
        `txn: ${answer.status} ${JSON.stringify(answer.body)}`,
        answer.status === 200,
      );
    return answer.status === 200
      ? { ok: true, revision: result.revision }
      : { ok: false, failed: result.failed };
  }

  async grant(ttlMs: number): Promise<number> {
    const answer = await this.send('POST', STATE_PATHS.leases, writeLeaseRequest(ttlMs), 0, true);
    const lease = answer.status === 200 ? readLease(answer.body) : null;
    if (lease === null) throw new StateStoreError(`lease: ${answer.status}`, true);
    return lease;
  }

  /** False when the lease is gone. */
  async renew(lease: number, timeoutMs: number): Promise<boolean> {
    const answer = await this.send('POST', STATE_PATHS.renew(lease), {}, 0, true, timeoutMs);
    if (answer.status === 200) return true;
    if (answer.status === 404) return false;
    throw new StateStoreError(`renew: ${answer.status}`, true);
  }

  async revoke(lease: number): Promise<void> {
    const answer = await this.send('DELETE', STATE_PATHS.lease(lease), null, 0, true);
    if (answer.status !== 200 && answer.status !== 404)
      throw new StateStoreError(`revoke: ${answer.status}`, true);
  }

  /** Null when the service no longer keeps changes that old. */
  async watch(
    prefix: string,
    since: number,
    waitMs: number,
  ): Promise<{ revision: number; changes: Change[] } | null> {
    const answer = await this.send(
      'GET',
      STATE_PATHS.watch(prefix, since, waitMs),
      null,
      0,
      true,
      waitMs + 4000,
    );
    if (answer.status === 410) return null;
    const result = answer.status === 200 ? readChanges(answer.body) : null;
    if (!result) throw new StateStoreError(`watch: ${answer.status}`, false);
    return result;
  }

  private async send(
    method: string,
    path: string,
    body: object | null,
    changes: number,
    urgent: boolean,
    timeoutMs = TIMEOUT_MS,
  ): Promise<HttpAnswer> {
    const begun = this.clock.now();
    for (;;) {
      const answer = await this.sendOnce(method, path, body, changes, urgent, timeoutMs);
      // 503 and 429 say that nothing was executed.
      if (answer.status === 429) {
        (changes > 0 ? this.writes : this.requests).onRejected();
        if (this.clock.now() - begun < REFUSED_MOST_MS) {
          await pause(this.clock, REFUSED_PAUSE_MS);
          continue;
        }
      }
      if (answer.status === 503 || answer.status === 429)
        throw new StateStoreError(`${path}: ${answer.status}`, false);
      return answer;
    }
  }

  private async sendOnce(
    method: string,
    path: string,
    body: object | null,
    changes: number,
    urgent: boolean,
    timeoutMs: number,
  ): Promise<HttpAnswer> {
    try {
      await this.requests.acquire(1, urgent, 2000);
      if (changes > 0) await this.writes.acquire(changes, urgent, 2000);
      return await this.http.request(this.addr, method, path, body, timeoutMs);
    } catch (error) {
      if (error instanceof RateLimitExceededError)
        throw new StateStoreError('over this node’s rate', false, { cause: error });
      if (error instanceof HttpRequestError)
        throw new StateStoreError(error.message, error.sent, { cause: error });
      throw error;
    }
  }
}
