/**
 * Requests to the key-value store and its responses. Its words: `path` is a key, `stamp` the version of an entry, `ledgerRev`
 * the revision of the whole store, `permit` a lease, `set` and `drop` a put and a delete.
 */

import * as v from 'valibot';

/** A stored value. */
export interface Entry {
  /** `path`. */
  key: string;
  value: unknown;
  /** `stamp`: changes with each write of the key. */
  version: number;
}

/** What must hold for a transaction to be applied. */
export interface Condition {
  /** `path`. */
  key: string;
  /** `stamp`: the version that the key must have; 0 when there must be no entry. */
  version: number;
}

/** One write of a transaction: `set`, with the lease (`permit`) that the entry ends with, or `drop`. */
export type Write = { put: string; value: unknown; lease?: number } | { delete: string };

/** A change that a watch reports: `set` or `drop`. */
export type Change =
  | { key: string; value: unknown; version: number }
  | { key: string; gone: true; version: number };

const entry = v.object({ path: v.string(), value: v.unknown(), stamp: v.number() });
const listBody = v.object({
  entries: v.array(entry),
  more: v.optional(v.boolean(), false),
  ledgerRev: v.optional(v.number(), 0),
});
const watchBody = v.object({
  ledgerRev: v.number(),
  events: v.array(
    v.union([
      v.object({ set: v.string(), value: v.unknown(), stamp: v.number() }),
      v.object({ drop: v.string(), stamp: v.number() }),
    ]),
  ),
});
const txnBody = v.object({ ledgerRev: v.number(), failed: v.optional(v.array(v.string())) });
const leaseBody = v.object({ permit: v.number() });

/** The response to a GET of `STATE_PATHS.key`; null when it is malformed. */
export function readEntry(body: unknown): Entry | null {
  const p = v.safeParse(entry, body);
  return p.success ? { key: p.output.path, value: p.output.value, version: p.output.stamp } : null;
}

/** One page of a list (`more`: not the last) and the store's revision (`ledgerRev`); null when it is malformed. */
export function readEntries(body: unknown): { entries: Entry[]; more: boolean; revision: number } | null {
  const p = v.safeParse(listBody, body);
  if (!p.success) return null;
  return {
    entries: p.output.entries.map((e) => ({ key: e.path, value: e.value, version: e.stamp })),
    more: p.output.more,
    revision: p.output.ledgerRev,
  };
}

/** The response to a watch: changes (`events`) up to a revision (`ledgerRev`); null when it is malformed. */
export function readChanges(body: unknown): { revision: number; changes: Change[] } | null {
  const p = v.safeParse(watchBody, body);
  if (!p.success) return null;
  return {
    revision: p.output.ledgerRev,
    changes: p.output.events.map((e) =>
      'set' in e
        ? { key: e.set, value: e.value, version: e.stamp }
        : { key: e.drop, gone: true as const, version: e.stamp },
    ),
  };
}

/** The response to a transaction: the revision, and the keys whose conditions `failed`; null when it is malformed. */
export function readTxn(body: unknown): { revision: number; failed: string[] } | null {
  const p = v.safeParse(txnBody, body);
  return p.success ? { revision: p.output.ledgerRev, failed: p.output.failed ?? [] } : null;
}

/** The response to a request for a lease: its id (`permit`); null when it is malformed. */
export function readLease(body: unknown): number | null {
  const p = v.safeParse(leaseBody, body);
  return p.success ? p.output.permit : null;
}

/** The body of a transaction: all of `writes`, if all of `when` hold. */
export function writeTxn(when: Condition[], writes: Write[]): object {
  return {
    when: when.map((c) => ({ path: c.key, stamp: c.version })),
    writes: writes.map((w) => {
      if ('delete' in w) return { drop: w.delete };
      return w.lease === undefined
        ? { set: w.put, value: w.value }
        : { set: w.put, value: w.value, permit: w.lease };
    }),
  };
}

/** The paths of the key-value store; `most` bounds a page, `under` is a prefix of keys. */
export const STATE_PATHS = {
  key: (key: string) => `/keys/${key}`,
  list: (prefix: string, after: string | null, limit: number) =>
    `/keys?under=${encodeURIComponent(prefix)}${after === null ? '' : `&since=${encodeURIComponent(after)}`}&most=${limit}`,
  txn: '/txn',
  leases: '/leases',
  lease: (id: number) => `/leases/${id}`,
  renew: (id: number) => `/leases/${id}/touch`,
  watch: (prefix: string, since: number, waitMs: number) =>
    `/watch?under=${encodeURIComponent(prefix)}&since=${since}&waitMs=${waitMs}`,
};

/** The body of a request for a lease of `ttlMs` milliseconds. */
export function writeLeaseRequest(ttlMs: number): object {
  return { ttlMs };
}

// --- the key-value store's side

const txnRequest = v.object({
  when: v.optional(v.array(v.object({ path: v.string(), stamp: v.number() })), []),
  writes: v.optional(
    v.array(
      v.union([
        v.object({ set: v.string(), value: v.unknown(), permit: v.optional(v.number()) }),
        v.object({ drop: v.string() }),
      ]),
    ),
    [],
  ),
});

/** The key-value store's side of `writeTxn`; null when it is malformed. */
export function readTxnRequest(body: unknown): { when: Condition[]; writes: Write[] } | null {
  const p = v.safeParse(txnRequest, body);
  if (!p.success) return null;
  return {
    when: p.output.when.map((c) => ({ key: c.path, version: c.stamp })),
    writes: p.output.writes.map((w): Write => {
      if ('drop' in w) return { delete: w.drop };
      return { put: w.set, value: w.value, ...(w.permit !== undefined && { lease: w.permit }) };
    }),
  };
}

/** The key-value store's side of `readEntry`; `lease` (`permit`) is the one that the entry ends with. */
export function writeEntry(e: Entry, lease: number | null): object {
  return {
    path: e.key,
    value: e.value,
    stamp: e.version,
    ...(lease !== null && { permit: lease }),
  };
}

/** The key-value store's side of `readEntries`. */
export function writeEntries(entries: Entry[], more: boolean, revision: number): object {
  return { entries: entries.map((e) => writeEntry(e, null)), more, ledgerRev: revision };
}

/** One of the `events` of a watch. */
export function writeChange(c: Change): object {
  return 'gone' in c ? { drop: c.key, stamp: c.version } : { set: c.key, value: c.value, stamp: c.version };
}

/** The key-value store's side of `readChanges`. */
export function writeChanges(changes: Change[], revision: number): object {
  return { ledgerRev: revision, events: changes.map(writeChange) };
}

/** The key-value store's side of `readTxn`; `failed` is null when the transaction was applied. */
export function writeTxnAnswer(revision: number, failed: string[] | null): object {
  return { ...(failed && { failed }), ledgerRev: revision };
}

/** The key-value store's side of `readLease`. */
export function writeLease(lease: number): object {
  return { permit: lease };
}

const leaseRequest = v.object({
  ttlMs: v.pipe(v.number(), v.minValue(100), v.maxValue(600_000)),
});

/** The key-value store's side of `writeLeaseRequest`: the milliseconds; null when it is malformed. */
export function readLeaseRequest(body: unknown): number | null {
  const p = v.safeParse(leaseRequest, body);
  return p.success ? p.output.ttlMs : null;
}
