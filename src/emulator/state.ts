// This package emulates the services and workers that a cluster needs besides its controllers, and runs such clusters.
import type { Clock } from '../clock/clock.js';
import {
  type Change,
  type Entry,
  readLeaseRequest,
  readTxnRequest,
  writeChanges,
  writeEntries,
  writeEntry,
  writeLease,
  writeTxnAnswer,
} from '../wire/state.js';
import { TokenBucket } from './bucket.js';
import { bodyBytes } from './traffic.js';

/** Response of an emulated service. */
export interface ServiceResponse {
  status: number;
  body: unknown;
}

interface StoredItem {
  value: unknown;
  version: number;
  lease: number | null;
}

interface Watcher {
  prefix: string;
  since: number;
  from: string;
  /** Whether the wait time has passed; the watch stays open beyond it while its caller is not served. */
  expired: boolean;
  respond: (s: ServiceResponse) => void;
}

/** Kinds of requests to the emulated key-value store. */
export type RequestKind = 'get' | 'list' | 'txn' | 'lease' | 'watch';

/** Request as reported to tests and measurements. */
export interface ObservedRequest {
  kind: RequestKind;
  /** First segment of the key prefix of a watch or list; empty for other requests. */
  prefix: string;
  /** Name of the caller. */
  from: string;
  status: number;
  requestBytes: number;
  answerBytes: number;
}

/** State of the service that persists between runs. */
export interface StoredState {
  revision: number;
  leases: number;
  items: [string, unknown, number][];
}

const MAX_KEPT_CHANGES = 10_000;
const MAX_PAGE_ENTRIES = 1000;
const MAX_PAGE_BYTES = 512 * 1024;
const MAX_REQUEST_BYTES = 64 * 1024;
const KEY_PATTERN = /^\S{1,200}$/;
const LEASE_CHECK_INTERVAL_MS = 50;

/** Emulates the key-value store as its protocol specifies it. */
export class StateService {
  readonly items = new Map<string, StoredItem>();
  /** Whether there is an outage: watches stay open without an answer, and all other requests get 503. */
  down = false;
  /** Callers that are not served, as in an outage, while others are. */
  readonly refusedCallers = new Set<string>();
  /** Limits on sizes (rejected with 400) and rates (rejected with 429); may change at any time. */
  limits = {
    valueBytes: MAX_REQUEST_BYTES,
    txnOps: 1000,
    writesPerSecond: Number.POSITIVE_INFINITY,
    requestsPerSecond: Number.POSITIVE_INFINITY,
  };
  /** Number of requests rejected so far, by status. */
  readonly refused = { 400: 0, 429: 0 };
  /** Called for each request that is answered or rejected, with its kind and the sizes of its body and answer. */
  onRequest: ((request: ObservedRequest) => void) | null = null;
  private readonly writeBucket: TokenBucket;
  private readonly requestBucket: TokenBucket;
  private revision = 0;
  private lastLeaseId = 0;
  private readonly leases = new Map<number, { ttl: number; until: number }>();
  private readonly changes: Change[] = [];
  private compactedRevision = 0;
  private watchers: Watcher[] = [];

  constructor(private readonly clock: Clock) {
    this.writeBucket = new TokenBucket(clock, 1);
    this.requestBucket = new TokenBucket(clock, 1);
    this.expireLeases();
  }

  value(key: string): unknown {
    return this.items.get(key)?.value;
  }

  /** Ends an outage, and renews every lease for its full duration. */
  endOutage(): void {
    this.down = false;
    for (const l of this.leases.values()) l.until = this.clock.now() + l.ttl;
    this.notifyWatchers();
  }

  /** Returns the state to persist: all items but those bound to leases, whose holders end with the service. */
  store(): StoredState {
    const kept = [...this.items].filter(([, item]) => item.lease === null);
    return {
      revision: this.revision,
      leases: this.lastLeaseId,
      items: kept.map(([key, item]) => [key, item.value, item.version]),
    };
  }

  load(stored: StoredState): void {
    this.revision = stored.revision;
    this.lastLeaseId = stored.leases;
    this.compactedRevision = stored.revision;
    for (const [key, value, version] of stored.items) this.items.set(key, { value, version, lease: null });
  }

  serve(method: string, path: string, body: unknown, from = ''): ServiceResponse | Promise<ServiceResponse> {
    const served = this.dispatch(method, path, body, from);
    if (!this.onRequest) return served;
    if (!(served instanceof Promise)) return this.observe(path, body, from, served);
    return served.then((s) => this.observe(path, body, from, s));
  }

  private observe(path: string, body: unknown, from: string, served: ServiceResponse): ServiceResponse {
    this.onRequest?.({
      kind: kindOf(path),
      prefix: prefixOf(path),
      from,
      status: served.status,
      requestBytes: bodyBytes(body),
      answerBytes: bodyBytes(served.body),
    });
    return served;
  }

  /** Returns the number of entries under a prefix, and the bytes of their keys and values. */
  stored(prefix: string): { entries: number; bytes: number } {
    const total = { entries: 0, bytes: 0 };
    for (const [key, item] of this.items) {
      if (!key.startsWith(prefix)) continue;
      total.entries++;
      total.bytes += Buffer.byteLength(key) + bodyBytes(item.value);
    }
    return total;
  }

  private dispatch(
    method: string,
    path: string,
    body: unknown,
    from: string,
  ): ServiceResponse | Promise<ServiceResponse> {
    const isWatch = path.startsWith('/watch');
    if (!isWatch && (this.down || this.refusedCallers.has(from))) return { status: 503, body: {} };
    if (!this.requestBucket.take(1, this.limits.requestsPerSecond)) return this.reject(429);
    if (isWatch) return this.addWatcher(new URLSearchParams(path.slice(path.indexOf('?'))), from);
    if (path === '/txn') return this.serveTxn(body);
    if (path === '/leases') return this.grantLease(body);
    if (path.startsWith('/leases/')) return this.serveLease(method, Number(path.split('/')[2]));
    if (path.startsWith('/keys?')) return this.servePage(new URLSearchParams(path.slice(5)));
    const key = path.slice('/keys/'.length);
    const item = this.items.get(key);
    if (!item) return { status: 404, body: writeTxnAnswer(this.revision, null) };
    return { status: 200, body: writeEntry({ key, value: item.value, version: item.version }, item.lease) };
  }

  private reject(status: 400 | 429): ServiceResponse {
    this.refused[status]++;
    return { status, body: { error: 'limit' } };
  }

  private grantLease(body: unknown): ServiceResponse {
    const ttl = readLeaseRequest(body);
    if (ttl === null) return this.reject(400);
    this.leases.set(++this.lastLeaseId, { ttl, until: this.clock.now() + ttl });
    return { status: 200, body: writeLease(this.lastLeaseId) };
  }

  private serveLease(method: string, id: number): ServiceResponse {
    const lease = this.leases.get(id);
    if (!lease) return { status: 404, body: {} };
    if (method === 'DELETE') this.endLease(id);
    else lease.until = this.clock.now() + lease.ttl;
    return { status: 200, body: writeLease(id) };
  }

  private servePage(query: URLSearchParams): ServiceResponse {
    const prefix = query.get('under') ?? '';
    const since = query.get('since') ?? '';
    const limit = Math.min(MAX_PAGE_ENTRIES, Number(query.get('most') ?? MAX_PAGE_ENTRIES));
    const keys = [...this.items.keys()].filter((k) => k.startsWith(prefix) && k > since).sort();
    const entries: Entry[] = [];
    let bytes = 0;
    for (const key of keys) {
      const { value, version } = this.items.get(key)!;
      bytes += key.length + JSON.stringify(value).length;
      if (entries.length === limit || (entries.length > 0 && bytes > MAX_PAGE_BYTES)) break;
      entries.push({ key, value, version });
    }
    return { status: 200, body: writeEntries(entries, entries.length < keys.length, this.revision) };
  }

  private serveTxn(body: unknown): ServiceResponse {
    const request = readTxnRequest(body);
    const { valueBytes, txnOps, writesPerSecond } = this.limits;
    if (!request || JSON.stringify(body).length > MAX_REQUEST_BYTES) return this.reject(400);
    const puts = request.writes.filter((w) => 'put' in w);
    const malformed =
      request.writes.some((w) => !KEY_PATTERN.test('put' in w ? w.put : w.delete)) ||
      puts.some((w) => Buffer.byteLength(JSON.stringify(w.value)) > valueBytes);
    if (malformed || request.writes.length > txnOps || request.when.length > 4 * txnOps)
      return this.reject(400);
    if (!this.writeBucket.take(request.writes.length, writesPerSecond)) return this.reject(429);
    if (puts.some((w) => w.lease !== undefined && !this.leases.has(w.lease)))
      return { status: 400, body: { error: 'no such lease' } };
    const conflicts = request.when
      .filter((c) => (this.items.get(c.key)?.version ?? 0) !== c.version)
      .map((c) => c.key);
    if (conflicts.length > 0) return { status: 409, body: writeTxnAnswer(this.revision, conflicts) };
    if (request.writes.length > 0) this.revision++;
    for (const w of request.writes) {
      if ('put' in w) {
        this.items.set(w.put, { value: w.value, version: this.revision, lease: w.lease ?? null });
        this.recordChange({ key: w.put, value: w.value, version: this.revision });
      } else if (this.items.delete(w.delete)) {
        this.recordChange({ key: w.delete, gone: true, version: this.revision });
      }
    }
    this.notifyWatchers();
    return { status: 200, body: writeTxnAnswer(this.revision, null) };
  }

  private recordChange(change: Change): void {
    this.changes.push(change);
    if (this.changes.length <= MAX_KEPT_CHANGES * 1.1) return;
    const dropped = this.changes.splice(0, this.changes.length - MAX_KEPT_CHANGES);
    this.compactedRevision = dropped.at(-1)!.version;
  }

  private endLease(lease: number): void {
    this.leases.delete(lease);
    for (const [key, item] of [...this.items]) {
      if (item.lease !== lease) continue;
      this.items.delete(key);
      this.recordChange({ key, gone: true, version: ++this.revision });
    }
    this.notifyWatchers();
  }

  private expireLeases(): void {
    if (!this.down) {
      for (const [id, l] of [...this.leases]) if (l.until < this.clock.now()) this.endLease(id);
    }
    this.clock.after(LEASE_CHECK_INTERVAL_MS, () => this.expireLeases());
  }

  private addWatcher(query: URLSearchParams, from: string): Promise<ServiceResponse> {
    return new Promise((respond) => {
      const watcher = {
        prefix: query.get('under') ?? '',
        since: Number(query.get('since')),
        from,
        expired: false,
        respond,
      };
      this.watchers.push(watcher);
      this.clock.after(Math.min(60_000, Number(query.get('waitMs') ?? 0)), () => {
        watcher.expired = true;
        this.notifyWatchers();
      });
      this.notifyWatchers();
    });
  }

  private notifyWatchers(): void {
    if (this.down) return;
    this.watchers = this.watchers.filter((watcher) => {
      if (this.refusedCallers.has(watcher.from)) return true;
      if (watcher.since < this.compactedRevision) {
        watcher.respond({ status: 410, body: {} });
        return false;
      }
      let first = this.changes.length;
      while (first > 0 && this.changes[first - 1]!.version > watcher.since) first--;
      const changes = this.changes.slice(first).filter((c) => c.key.startsWith(watcher.prefix));
      if (changes.length === 0 && !watcher.expired) return true;
      watcher.respond({ status: 200, body: writeChanges(changes, this.revision) });
      return false;
    });
  }
}

/** Returns the first segment of the key prefix of a watch or list. */
function prefixOf(path: string): string {
  const query = path.indexOf('?');
  const under = query < 0 ? '' : (new URLSearchParams(path.slice(query)).get('under') ?? '');
  return under.slice(0, under.indexOf('/') + 1);
}

function kindOf(path: string): RequestKind {
  if (path.startsWith('/watch')) return 'watch';
  if (path === '/txn') return 'txn';
  if (path.startsWith('/leases')) return 'lease';
  return path.startsWith('/keys?') ? 'list' : 'get';
}
