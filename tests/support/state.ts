import type { Clock } from '../../src/clock/clock.js';
import type { Served } from './net.js';

interface Item {
  value: unknown;
  stamp: number;
  permit: number | null;
}

interface Txn {
  when: { path: string; stamp: number }[];
  writes: { set?: string; value?: unknown; permit?: number; drop?: string }[];
}

/** A stand-in for the state service, as its protocol describes it. */
export class FakeState {
  readonly items = new Map<string, Item>();
  down = false;
  /** What it refuses with 400 and 429; may change at any moment. */
  limits = { valueBytes: 64 * 1024, txnOps: 1000, writesPerSecond: Number.POSITIVE_INFINITY };
  /** Refused so far, by status. */
  readonly refused = { 400: 0, 429: 0 };
  private written = { second: 0, count: 0 };
  private revision = 0;
  private permits = 0;
  private readonly leases = new Map<number, { ttl: number; until: number }>();
  private readonly changes: { stamp: number; key: string; event: object }[] = [];
  private waiting: { under: string; since: number; done: (s: Served) => void }[] = [];

  constructor(private readonly clock: Clock) {
    this.expire();
  }

  value(key: string): unknown {
    return this.items.get(key)?.value;
  }

  /** After an outage every lease has its full time again. */
  restore(): void {
    this.down = false;
    for (const l of this.leases.values()) l.until = this.clock.now() + l.ttl;
  }

  serve(method: string, path: string, body: unknown): Served | Promise<Served> {
    if (path.startsWith('/watch')) return this.watch(new URLSearchParams(path.slice(path.indexOf('?'))));
    if (this.down) return { status: 503, body: {} };
    if (path === '/txn') return this.txn(body as Txn);
    if (path === '/leases') {
      const ttl = (body as { ttlMs: number }).ttlMs;
      this.leases.set(++this.permits, { ttl, until: this.clock.now() + ttl });
      return { status: 200, body: { permit: this.permits } };
    }
    if (path.startsWith('/leases/')) {
      const id = Number(path.split('/')[2]);
      const lease = this.leases.get(id);
      if (!lease) return { status: 404, body: {} };
      if (method === 'DELETE') this.end(id);
      else lease.until = this.clock.now() + lease.ttl;
      return { status: 200, body: { permit: id } };
    }
    if (path.startsWith('/keys?')) {
      const query = new URLSearchParams(path.slice(5));
      const under = query.get('under') ?? '';
      const since = query.get('since') ?? '';
      const keys = [...this.items.keys()].filter((k) => k.startsWith(under) && k > since).sort();
      const most = Number(query.get('most') ?? 1000);
      const entries = keys
        .slice(0, most)
        .map((k) => ({ path: k, value: this.value(k), stamp: this.items.get(k)!.stamp }));
      return { status: 200, body: { entries, more: keys.length > most, ledgerRev: this.revision } };
    }
    const key = path.slice('/keys/'.length);
    const item = this.items.get(key);
    if (!item) return { status: 404, body: { ledgerRev: this.revision } };
    return { status: 200, body: { path: key, value: item.value, stamp: item.stamp } };
  }

  private refuse(status: 400 | 429): Served {
    this.refused[status]++;
    return { status, body: { error: 'limit' } };
  }

  private txn(t: Txn): Served {
    const tooLong = t.writes.some(
      (w) => w.set !== undefined && Buffer.byteLength(JSON.stringify(w.value)) > this.limits.valueBytes,
    );
    if (tooLong || t.writes.length > this.limits.txnOps || t.when.length > 4 * this.limits.txnOps)
      return this.refuse(400);
    const second = Math.floor(this.clock.now() / 1000);
    if (this.written.second !== second) this.written = { second, count: 0 };
    if (this.written.count + t.writes.length > this.limits.writesPerSecond) return this.refuse(429);
    this.written.count += t.writes.length;
    const failed = t.when.filter((c) => (this.items.get(c.path)?.stamp ?? 0) !== c.stamp).map((c) => c.path);
    if (t.writes.some((w) => w.permit !== undefined && !this.leases.has(w.permit))) {
      return { status: 400, body: { error: 'no such lease' } };
    }
    if (failed.length > 0) return { status: 409, body: { failed, ledgerRev: this.revision } };
    if (t.writes.length > 0) this.revision++;
    for (const w of t.writes) {
      if (w.set !== undefined) {
        this.items.set(w.set, { value: w.value, stamp: this.revision, permit: w.permit ?? null });
        this.note(w.set, { set: w.set, value: w.value, stamp: this.revision });
      } else if (w.drop !== undefined && this.items.delete(w.drop)) {
        this.note(w.drop, { drop: w.drop, stamp: this.revision });
      }
    }
    this.wake();
    return { status: 200, body: { ledgerRev: this.revision } };
  }

  private note(key: string, event: object): void {
    this.changes.push({ stamp: this.revision, key, event });
  }

  private end(lease: number): void {
    this.leases.delete(lease);
    for (const [key, item] of [...this.items]) {
      if (item.permit !== lease) continue;
      this.items.delete(key);
      this.revision++;
      this.note(key, { drop: key, stamp: this.revision });
    }
    this.wake();
  }

  private expire(): void {
    if (!this.down) {
      for (const [id, l] of [...this.leases]) if (l.until < this.clock.now()) this.end(id);
    }
    this.clock.after(50, () => this.expire());
  }

  private watch(query: URLSearchParams): Promise<Served> {
    return new Promise((done) => {
      const entry = { under: query.get('under') ?? '', since: Number(query.get('since')), done };
      this.waiting.push(entry);
      this.clock.after(Number(query.get('waitMs')), () => {
        if (!this.waiting.includes(entry)) return;
        this.waiting = this.waiting.filter((w) => w !== entry);
        done({ status: 200, body: { ledgerRev: this.revision, events: [] } });
      });
      this.wake();
    });
  }

  private wake(): void {
    if (this.down) return;
    const still: typeof this.waiting = [];
    for (const w of this.waiting) {
      const events = this.changes
        .filter((c) => c.stamp > w.since && c.key.startsWith(w.under))
        .map((c) => c.event);
      if (events.length > 0) w.done({ status: 200, body: { ledgerRev: this.revision, events } });
      else still.push(w);
    }
    this.waiting = still;
  }
}
