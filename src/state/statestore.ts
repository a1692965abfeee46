// This package: the client of the key-value store: its requests, within this node's share of its rates.

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

/** The revision of a transaction that was carried out, or the keys whose conditions failed. */
export type CompareAndSwapResult =
  | { readonly ok: true; readonly revision: number }
  | { readonly ok: false; readonly failed: string[] };

/** How a transaction is sent. */
export interface CompareAndSwapOptions {
  /** Goes at once, whatever waits for the rate: leases hang on it. */
  readonly urgent?: boolean;
}

/** What the key-value store allows all nodes together, a second, and how many nodes share it. */
export interface StateLimits {
  /** Requests. */
  readonly rps: number;
  /** Changes of keys. */
  readonly writeRps: number;
  readonly nodes: number;
}

/** Requests and changes a second. */
export interface StateRates {
  readonly requests: number;
  readonly changes: number;
}

/** One request of the key-value store's API. */
interface StateRequest {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly body?: object;
  /** How many keys it changes; counted against the rate of changes. */
  readonly changes?: number;
  /** Goes at once, whatever waits for the rate. */
  readonly urgent?: boolean;
  readonly timeoutMs?: number;
}

const TIMEOUT_MS = 2500;
/** How much longer than its own wait a watch may take to be answered. */
const WATCH_MARGIN_MS = 4000;
/** How long a request waits for its turn by this node's share of the rates. */
const MAX_RATE_WAIT_MS = 2000;
/** A request rejected for the rate was not executed; it is sent again after this, for so long. */
const REJECTED_PAUSE_MS = 150;
const MAX_REJECTED_MS = 1500;
/** The part of the rates that all nodes take together; the rest is for what does not wait, renewals of leases above all. */
const SHARED_FRACTION = 0.85;
/** The most that one node takes of the rates while the others need less. */
const MAX_NODE_FRACTION = 0.7;
/** The part of a node's share of the rate that reads for users may take, and how long one waits for its turn. */
const USER_READS_FRACTION = 0.4;
const USER_READ_WAIT_MS = 400;
/** Entries of one page of a listing. */
const PAGE_ENTRIES = 500;

/** The key-value store, within this node's share of its rates. Every method throws `StateStoreError` when it fails. */
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
    // The service counts all nodes together; each keeps to its share, with some left for lease renewals.
    const evenFraction = SHARED_FRACTION / limits.nodes;
    this.clusterRates = {
      requests: limits.rps * SHARED_FRACTION,
      changes: limits.writeRps * SHARED_FRACTION,
    };
    const maxFraction = Math.max(evenFraction, MAX_NODE_FRACTION);
    const limiter = (rate: number) =>
      new RateLimiter(clock, rate * evenFraction, rate * evenFraction, rate * maxFraction);
    this.requests = limiter(limits.rps);
    this.writes = limiter(limits.writeRps);
    const readRate = limits.rps * evenFraction * USER_READS_FRACTION;
    this.userReads = new RateLimiter(
      clock,
      readRate,
      readRate,
      limits.rps * maxFraction * USER_READS_FRACTION,
    );
  }

  /** What this node takes and would take, a second. */
  get demand(): StateRates {
    return { requests: this.requests.demand, changes: this.writes.demand };
  }

  /** Sets this node's share of the rates, for so many milliseconds. */
  allocate(rates: StateRates, validMs: number): void {
    this.requests.allocate(rates.requests, validMs);
    this.writes.allocate(rates.changes, validMs);
    this.userReads.allocate(rates.requests * USER_READS_FRACTION, validMs);
  }

  /** How long a change that comes now would wait for this node's share of the rate, in milliseconds. */
  get writeDelayMs(): number {
    return Math.max(this.requests.delayMs, this.writes.delayMs);
  }

  /** How many changes this node may make a second at present. */
  get writesPerSecond(): number {
    return this.writes.rate;
  }

  /**
   * Reads a key for a user's request. Many users may ask at once, also for jobs that nobody has submitted: those who wait
   * for their turn with the same key share a read, and all reads take no more than a part of this node's rate, so that
   * they keep neither acceptances nor completions waiting. A read that has been sent is not shared any more: what it
   * finds may be older than what a user has been told since. Fails soon when there are too many.
   */
  getCoalesced(key: string): Promise<Entry | null> {
    const waiting = this.pendingReads.get(key);
    if (waiting) return waiting;
    const read = this.userReads
      .acquire(1, { maxWaitMs: USER_READ_WAIT_MS })
      .catch(() => Promise.reject(new StateStoreError('too many questions', false)))
      .finally(() => this.pendingReads.delete(key))
      .then(() => this.get(key));
    this.pendingReads.set(key, read);
    return read;
  }

  /** The entry of a key; null when there is none. */
  async get(key: string): Promise<Entry | null> {
    const answer = await this.send({ method: 'GET', path: STATE_PATHS.key(key) });
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
      const answer = await this.send({ method: 'GET', path: STATE_PATHS.list(prefix, after, PAGE_ENTRIES) });
      const page = answer.status === 200 ? readEntries(answer.body) : null;
      if (!page) throw new StateStoreError(`list ${prefix}: ${answer.status}`, false);
      if (after === null) revision = page.revision;
      entries.push(...page.entries);
      const last = page.entries.at(-1);
      if (!page.more || !last) return { entries, revision };
      after = last.key;
    }
  }

  /**
   * Carries out all writes if all conditions hold, and none otherwise. One without an answer (`mayHaveApplied`) may still be
   * carried out seconds later.
   */
  async compareAndSwap(
    when: Condition[],
    writes: Write[],
    { urgent = false }: CompareAndSwapOptions = {},
  ): Promise<CompareAndSwapResult> {
    const answer = await this.send({
      method: 'POST',
      path: STATE_PATHS.txn,
      body: writeTxn(when, writes),
      changes: writes.length,
      urgent,
    });
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

  /** Grants a lease that lasts so many milliseconds without a renewal: its id. */
  async grant(ttlMs: number): Promise<number> {
    const body = writeLeaseRequest(ttlMs);
    const answer = await this.send({ method: 'POST', path: STATE_PATHS.leases, body, urgent: true });
    const lease = answer.status === 200 ? readLease(answer.body) : null;
    if (lease === null) throw new StateStoreError(`lease: ${answer.status}`, true);
    return lease;
  }

  /** Renews a lease; false when it is gone. */
  async renew(lease: number, timeoutMs: number): Promise<boolean> {
    const path = STATE_PATHS.renew(lease);
    const answer = await this.send({ method: 'POST', path, body: {}, urgent: true, timeoutMs });
    if (answer.status === 200) return true;
    if (answer.status === 404) return false;
    throw new StateStoreError(`renew: ${answer.status}`, true);
  }

  /** Ends a lease, and with it the keys that hang on it. */
  async revoke(lease: number): Promise<void> {
    const answer = await this.send({ method: 'DELETE', path: STATE_PATHS.lease(lease), urgent: true });
    if (answer.status !== 200 && answer.status !== 404)
      throw new StateStoreError(`revoke: ${answer.status}`, true);
  }

  /**
   * Changes under a prefix after a revision, as soon as there are some, or none after `waitMs`. Null when the service no
   * longer keeps changes that old.
   */
  async watch(
    prefix: string,
    since: number,
    waitMs: number,
  ): Promise<{ revision: number; changes: Change[] } | null> {
    const answer = await this.send({
      method: 'GET',
      path: STATE_PATHS.watch(prefix, since, waitMs),
      urgent: true,
      timeoutMs: waitMs + WATCH_MARGIN_MS,
    });
    if (answer.status === 410) return null;
    const result = answer.status === 200 ? readChanges(answer.body) : null;
    if (!result) throw new StateStoreError(`watch: ${answer.status}`, false);
    return result;
  }

  /** Sends a request, and again for a while when it is rejected for the rate. */
  private async send(request: StateRequest): Promise<HttpAnswer> {
    const { path, changes = 0 } = request;
    const begun = this.clock.now();
    for (;;) {
      const answer = await this.sendOnce(request);
      // 503 and 429 say that nothing was executed.
      if (answer.status === 429) {
        (changes > 0 ? this.writes : this.requests).onRejected();
        if (this.clock.now() - begun < MAX_REJECTED_MS) {
          await pause(this.clock, REJECTED_PAUSE_MS);
          continue;
        }
      }
      if (answer.status === 503 || answer.status === 429)
        throw new StateStoreError(`${path}: ${answer.status}`, false);
      return answer;
    }
  }

  private async sendOnce(request: StateRequest): Promise<HttpAnswer> {
    const { method, path, body = null, changes = 0, urgent = false, timeoutMs = TIMEOUT_MS } = request;
    try {
      await this.requests.acquire(1, { urgent, maxWaitMs: MAX_RATE_WAIT_MS });
      if (changes > 0) await this.writes.acquire(changes, { urgent, maxWaitMs: MAX_RATE_WAIT_MS });
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
