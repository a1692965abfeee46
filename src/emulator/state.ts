// This package: stand-ins for all that a cluster needs beside its controllers, and what plays with them.
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
import { Bucket } from './bucket.js';
import { bodyBytes } from './traffic.js';

/** An answer of an emulated service. */
export interface Served {
  status: number;
  body: unknown;
}

interface Item {
  value: unknown;
  version: number;
  lease: number | null;
}

interface Watcher {
  under: string;
  since: number;
  from: string;
  /** Its time is over; it waited on, since nothing is served to it. */
  due: boolean;
  done: (s: Served) => void;
}

/** Kinds of requests to the emulated key-value store. */
export type RequestKind = 'get' | 'list' | 'txn' | 'lease' | 'watch';

/** A request as tests and measurements see it. */
export interface ObservedRequest {
  kind: RequestKind;
  /** What a watch or list asks for; empty for all else. */
  prefix: string;
  /** Which caller it came from. */
  from: string;
  status: number;
  requestBytes: number;
  answerBytes: number;
}

/** What stays of the service when it ends in good order. */
export interface StoredState {
  revision: number;
  leases: number;
  items: [string, unknown, number][];
}

const CHANGES_KEPT = 10_000;
const PAGE_MOST = 1000;
const PAGE_BYTES = 512 * 1024;
const REQUEST_BYTES = 64 * 1024;
const KEY = /^\S{1,200}$/;
const EXPIRE_MS = 50;

/** A stand-in for the key-value store, as its protocol describes it. */
export class StateService {
  readonly items = new Map<string, Item>();
  /** An outage: every request is answered 503, and open watches stay open. */
  down = false;
  /** Callers that alone get 503. */
  readonly refusing = new Set<string>();
  /** What it refuses with 400 and 429; may change at any moment. */
  limits = {
    valueBytes: REQUEST_BYTES,
    txnOps: 1000,
    writesPerSecond: Number.POSITIVE_INFINITY,
    requestsPerSecond: Number.POSITIVE_INFINITY,
  };
  /** Refused so far, by status. */
  readonly refused = { 400: 0, 429: 0 };
  /** Sees each request that is answered or refused, with its kind and the size of its body and answer. */
  observed: ((request: ObservedRequest) => void) | null = null;
  private readonly writes: Bucket;
  private readonly requests: Bucket;
  private revision = 0;
  private granted = 0;
  private readonly leases = new Map<number, { ttl: number; until: number }>();
  private readonly changes: Change[] = [];
  private forgotten = 0;
  private waiting: Watcher[] = [];

  constructor(private readonly clock: Clock) {
    this.writes = new Bucket(clock, 1);
    this.requests = new Bucket(clock, 1);
    this.expire();
  }

  value(key: string): unknown {
    return this.items.get(key)?.value;
  }

  /** The end of an outage: every lease has its full time again. */
  restore(): void {
    this.down = false;
    for (const l of this.leases.values()) l.until = this.clock.now() + l.ttl;
    this.wake();
  }

  /** What is kept when the service ends: all but what hangs on leases, whose holders end with it. */
  store(): StoredState {
    const kept = [...this.items].filter(([, item]) => item.lease === null);
    return {
      revision: this.revision,
      leases: this.granted,
      items: kept.map(([key, item]) => [key, item.value, item.version]),
    };
  }

  load(stored: StoredState): void {
    this.revision = stored.revision;
    this.granted = stored.leases;
    this.forgotten = stored.revision;
    for (const [key, value, version] of stored.items) this.items.set(key, { value, version, lease: null });
  }

  serve(method: string, path: string, body: unknown, from = ''): Served | Promise<Served> {
    const served = this.answer(method, path, body, from);
    if (!this.observed) return served;
    if (!(served instanceof Promise)) return this.observe(path, body, from, served);
    return served.then((s) => this.observe(path, body, from, s));
  }

  private observe(path: string, body: unknown, from: string, served: Served): Served {
    this.observed?.({
      kind: kindOf(path),
      prefix: prefixOf(path),
      from,
      status: served.status,
      requestBytes: bodyBytes(body),
      answerBytes: bodyBytes(served.body),
    });
    return served;
  }

  /** Entries and bytes of keys and values under a prefix. */
  stored(under: string): { entries: number; bytes: number } {
    const total = { entries: 0, bytes: 0 };
    for (const [key, item] of this.items) {
      if (!key.startsWith(under)) continue;
      total.entries++;
      total.bytes += Buffer.byteLength(key) + bodyBytes(item.value);
    }
    return total;
  }

  private answer(method: string, path: string, body: unknown, from: string): Served | Promise<Served> {
    const watches = path.startsWith('/watch');
    if (!watches && (this.down || this.refusing.has(from))) return { status: 503, body: {} };
    if (!this.requests.take(1, this.limits.requestsPerSecond)) return this.refuse(429);
    if (watches) return this.watch(new URLSearchParams(path.slice(path.indexOf('?'))), from);
    if (path === '/txn') return this.txn(body);
    if (path === '/leases') return this.grant(body);
    if (path.startsWith('/leases/')) return this.lease(method, Number(path.split('/')[2]));
    if (path.startsWith('/keys?')) return this.list(new URLSearchParams(path.slice(5)));
    const key = path.slice('/keys/'.length);
    const item = this.items.get(key);
    if (!item) return { status: 404, body: writeTxnAnswer(this.revision, null) };
    return { status: 200, body: writeEntry({ key, value: item.value, version: item.version }, item.lease) };
  }

  private refuse(status: 400 | 429): Served {
    this.refused[status]++;
    return { status, body: { error: 'limit' } };
  }

  private grant(body: unknown): Served {
    const ttl = readLeaseRequest(body);
    if (ttl === null) return this.refuse(400);
    this.leases.set(++this.granted, { ttl, until: this.clock.now() + ttl });
    return { status: 200, body: writeLease(this.granted) };
  }

  private lease(method: string, id: number): Served {
    const lease = this.leases.get(id);
    if (!lease) return { status: 404, body: {} };
    if (method === 'DELETE') this.end(id);
    else lease.until = this.clock.now() + lease.ttl;
    return { status: 200, body: writeLease(id) };
  }

  private list(query: URLSearchParams): Served {
    const under = query.get('under') ?? '';
    const since = query.get('since') ?? '';
    const most = Math.min(PAGE_MOST, Number(query.get('most') ?? PAGE_MOST));
    const keys = [...this.items.keys()].filter((k) => k.startsWith(under) && k > since).sort();
    const entries: Entry[] = [];
    let bytes = 0;
    for (const key of keys) {
      const { value, version } = this.items.get(key)!;
      bytes += key.length + JSON.stringify(value).length;
      if (entries.length === most || (entries.length > 0 && bytes > PAGE_BYTES)) break;
      entries.push({ key, value, version });
    }
    return { status: 200, body: writeEntries(entries, entries.length < keys.length, this.revision) };
  }

  private txn(body: unknown): Served {
    const t = readTxnRequest(body);
    const { valueBytes, txnOps, writesPerSecond } = this.limits;
    if (!t || JSON.stringify(body).length > REQUEST_BYTES) return this.refuse(400);
    const puts = t.writes.filter((w) => 'put' in w);
    const bad =
      t.writes.some((w) => !KEY.test('put' in w ? w.put : w.delete)) ||
      puts.some((w) => Buffer.byteLength(JSON.stringify(w.value)) > valueBytes);
    if (bad || t.writes.length > txnOps || t.when.length > 4 * txnOps) return this.refuse(400);
    if (!this.writes.take(t.writes.length, writesPerSecond)) return this.refuse(429);
    if (puts.some((w) => w.lease !== undefined && !this.leases.has(w.lease)))
      return { status: 400, body: { error: 'no such lease' } };
    const failed = t.when
      .filter((c) => (this.items.get(c.key)?.version ?? 0) !== c.version)
      .map((c) => c.key);
    if (failed.length > 0) return { status: 409, body: writeTxnAnswer(this.revision, failed) };
    if (t.writes.length > 0) this.revision++;
    for (const w of t.writes) {
      if ('put' in w) {
        this.items.set(w.put, { value: w.value, version: this.revision, lease: w.lease ?? null });
        this.note({ key: w.put, value: w.value, version: this.revision });
      } else if (this.items.delete(w.delete)) {
        this.note({ key: w.delete, gone: true, version: this.revision });
      }
    }
    this.wake();
    return { status: 200, body: writeTxnAnswer(this.revision, null) };
  }

  private note(change: Change): void {
    this.changes.push(change);
    if (this.changes.length <= CHANGES_KEPT * 1.1) return;
    const gone = this.changes.splice(0, this.changes.length - CHANGES_KEPT);
    this.forgotten = gone.at(-1)!.version;
  }

  private end(lease: number): void {
    this.leases.delete(lease);
    for (const [key, item] of [...this.items]) {
      if (item.lease !== lease) continue;
      this.items.delete(key);
      this.note({ key, gone: true, version: ++this.revision });
    }
    this.wake();
  }

  private expire(): void {
    if (!this.down) {
      for (const [id, l] of [...this.leases]) if (l.until < this.clock.now()) this.end(id);
    }
    this.clock.after(EXPIRE_MS, () => this.expire());
  }

  private watch(query: URLSearchParams, from: string): Promise<Served> {
    return new Promise((done) => {
      const watcher = {
        under: query.get('under') ?? '',
        since: Number(query.get('since')),
        from,
        due: false,
        done,
      };
      this.waiting.push(watcher);
      this.clock.after(Math.min(60_000, Number(query.get('waitMs') ?? 0)), () => {
        watcher.due = true;
        this.wake();
      });
      this.wake();
    });
  }

  private wake(): void {
    if (this.down) return;
    this.waiting = this.waiting.filter((w) => {
      if (this.refusing.has(w.from)) return true;
      if (w.since < this.forgotten) {
        w.done({ status: 410, body: {} });
        return false;
      }
      let first = this.changes.length;
      while (first > 0 && this.changes[first - 1]!.version > w.since) first--;
      const changes = this.changes.slice(first).filter((c) => c.key.startsWith(w.under));
      if (changes.length === 0 && !w.due) return true;
      w.done({ status: 200, body: writeChanges(changes, this.revision) });
      return false;
    });
  }
}

/** The first part of the prefix that a watch or list asks for. */
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
