// This package: the client of the key-value store, which keeps within this node's share of the store's request rates.

import { type Clock, pause } from '../clock/clock.js';
import { RemoteServiceError } from '../errors/errors.js';
import { HttpRequestError, type HttpResponse, type Requester } from '../http/client.js';
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

/** The key-value store rejected a request or did not answer it. */
export class StateStoreError extends RemoteServiceError {}

/** The revision of a committed transaction, or the keys whose conditions failed. */
export type CompareAndSwapResult =
  | { readonly ok: true; readonly revision: number }
  | { readonly ok: false; readonly failed: string[] };

/** How a transaction is sent. */
export interface CompareAndSwapOptions {
  /** Whether the transaction is sent at once, ahead of queued requests, because a lease depends on it. */
  readonly urgent?: boolean;
}

/**
 * The limits per second that the key-value store sets for all nodes together, and the number of nodes that share
 * them.
 */
export interface StateLimits {
  /** Requests per second. */
  readonly rps: number;
  /** Changes of keys per second. */
  readonly writeRps: number;
  readonly nodes: number;
}

/** Requests and changes of keys per second. */
export interface StateRates {
  readonly requests: number;
  readonly changes: number;
}

/** A request to the key-value store's API. */
interface StateRequest {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly body?: object;
  /** Number of keys that the request changes, counted against the rate of changes. */
  readonly changes?: number;
  /** Whether the request is sent at once, ahead of queued requests. */
  readonly urgent?: boolean;
  readonly timeoutMs?: number;
}

const TIMEOUT_MS = 2500;
/** Time beyond its own wait within which a watch must be answered. */
const WATCH_MARGIN_MS = 4000;
/** Maximum time that a request waits for this node's share of the rates. */
const MAX_RATE_WAIT_MS = 2000;
/**
 * A request rejected for its rate was not executed. It is retried at this interval, for at most `MAX_REJECTED_MS`.
 */
const REJECTED_PAUSE_MS = 150;
const MAX_REJECTED_MS = 1500;
/**
 * Fraction of the rates that all nodes use together; the rest is for urgent requests, above all the renewal of
 * leases.
 */
const SHARED_FRACTION = 0.85;
/** Maximum fraction of the rates that one node uses while the others need less. */
const MAX_NODE_FRACTION = 0.7;
/**
 * Fraction of a node's share of the request rate that reads for users may use, and the maximum time that one is
 * queued.
 */
const USER_READS_FRACTION = 0.4;
const USER_READ_WAIT_MS = 400;
/** Entries per page of a listing. */
const PAGE_ENTRIES = 500;

/**
 * A client of the key-value store that keeps within its node's share of the rates. Every method throws
 * `StateStoreError` on failure.
 */
export class StateStore {
  private readonly requests: RateLimiter;
  private readonly writes: RateLimiter;
  private readonly userReads: RateLimiter;
  /** The rates that all nodes together may use. */
  readonly clusterRates: StateRates;
  private readonly pendingReads = new Map<string, Promise<Entry | null>>();

  constructor(
    private readonly clock: Clock,
    private readonly http: Requester,
    private readonly addr: string,
    limits: StateLimits,
  ) {
    // The service counts the requests of all nodes together, so each node keeps to its share and leaves some for
    // lease renewals.
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

  /** This node's demand per second: its recent usage and all queued requests. */
  get demand(): StateRates {
    return { requests: this.requests.demand, changes: this.writes.demand };
  }

  /** Sets this node's share of the rates for `validMs` milliseconds. */
  allocate(rates: StateRates, validMs: number): void {
    this.requests.allocate(rates.requests, validMs);
    this.writes.allocate(rates.changes, validMs);
    this.userReads.allocate(rates.requests * USER_READS_FRACTION, validMs);
  }

  /** The time in milliseconds that a change made now would wait for this node's share of the rates. */
  get writeDelayMs(): number {
    return Math.max(this.requests.delayMs, this.writes.delayMs);
  }

  /** The number of changes per second that this node may make now. */
  get writesPerSecond(): number {
    return this.writes.rate;
  }

  /**
   * Reads a key for a user's request. Many users may ask at once, even about jobs that do not exist. Callers waiting
   * to read the same key therefore share one read, and all these reads together use only a fraction of this node's
   * rate, so that they delay neither acceptances nor completions. A read that has been sent is no longer shared,
   * because its result may be older than what a user has been told since. Fails after a short wait when there are too
   * many reads.
   */
  getCoalesced(key: string): Promise<Entry | null> {
    const pending = this.pendingReads.get(key);
    if (pending) return pending;
    const read = this.userReads
      .acquire(1, { maxWaitMs: USER_READ_WAIT_MS })
      .catch(() => Promise.reject(new StateStoreError('too many questions', false)))
      .finally(() => this.pendingReads.delete(key))
      .then(() => this.get(key));
    this.pendingReads.set(key, read);
    return read;
  }

  /** Returns the entry of a key, or null if there is none. */
  async get(key: string): Promise<Entry | null> {
    const answer = await this.send({ method: 'GET', path: STATE_PATHS.key(key) });
    if (answer.status === 404) return null;
    const entry = answer.status === 200 ? readEntry(answer.body) : null;
    if (!entry) throw new StateStoreError(`get ${key}: ${answer.status}`, false);
    return entry;
  }

  /** Returns all entries under a prefix, and the revision of the first page. */
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
   * Applies all writes if all conditions hold, and none otherwise. A transaction that failed without an answer
   * (`mayHaveApplied`) may still be applied seconds later.
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

  /** Grants a lease that expires after `ttlMs` milliseconds unless it is renewed; returns its id. */
  async grant(ttlMs: number): Promise<number> {
    const body = writeLeaseRequest(ttlMs);
    const answer = await this.send({ method: 'POST', path: STATE_PATHS.leases, body, urgent: true });
    const lease = answer.status === 200 ? readLease(answer.body) : null;
    if (lease === null) throw new StateStoreError(`lease: ${answer.status}`, true);
    return lease;
  }

  /** Renews a lease; returns false if it no longer exists. */
  async renew(lease: number, timeoutMs: number): Promise<boolean> {
    const path = STATE_PATHS.renew(lease);
    const answer = await this.send({ method: 'POST', path, body: {}, urgent: true, timeoutMs });
    if (answer.status === 200) return true;
    if (answer.status === 404) return false;
    throw new StateStoreError(`renew: ${answer.status}`, true);
  }

  /** Revokes a lease, which deletes the keys attached to it. */
  async revoke(lease: number): Promise<void> {
    const answer = await this.send({ method: 'DELETE', path: STATE_PATHS.lease(lease), urgent: true });
    if (answer.status !== 200 && answer.status !== 404)
      throw new StateStoreError(`revoke: ${answer.status}`, true);
  }

  /**
   * Returns the changes under a prefix after a revision as soon as there are any, or none after `waitMs`. Returns
   * null if the service no longer keeps changes that old.
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

  /** Sends a request, and retries it for up to `MAX_REJECTED_MS` while it is rejected for its rate. */
  private async send(request: StateRequest): Promise<HttpResponse> {
    const { path, changes = 0 } = request;
    const startedAt = this.clock.now();
    for (;;) {
      const answer = await this.sendOnce(request);
      // A 503 or 429 means that the request was not executed.
      if (answer.status === 429) {
        (changes > 0 ? this.writes : this.requests).onRejected();
        if (this.clock.now() - startedAt < MAX_REJECTED_MS) {
          await pause(this.clock, REJECTED_PAUSE_MS);
          continue;
        }
      }
      if (answer.status === 503 || answer.status === 429)
        throw new StateStoreError(`${path}: ${answer.status}`, false);
      return answer;
    }
  }

  private async sendOnce(request: StateRequest): Promise<HttpResponse> {
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
