/**
 * Encodes requests to the key-value store and decodes its responses. The protocol calls a key `path`, the version of
 * an entry `stamp`, the revision of the whole store `ledgerRev`, a lease `permit`, a put `set` and a delete `drop`.
 * The types below use the standard terms.
 */

import * as v from 'valibot';

/** A key with its value and version. */
export interface Entry {
  /** `path`. */
  key: string;
  value: unknown;
  /** `stamp`: changes with each write of the key. */
  version: number;
}

/** A precondition of a transaction. */
export interface Condition {
  /** `path`. */
  key: string;
  /** `stamp`: the required version of the key; 0 requires that there is no entry. */
  version: number;
}

/**
 * A write of a transaction: a delete (`drop`), or a put (`set`) of an entry that is deleted with its lease
 * (`permit`), if any.
 */
export type Write = { put: string; value: unknown; lease?: number } | { delete: string };

/** A change reported by a watch: a put (`set`) or a delete (`drop`). */
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

/** Decodes the response to a GET of `STATE_PATHS.key`; returns null if it is malformed. */
export function readEntry(body: unknown): Entry | null {
  const parsed = v.safeParse(entry, body);
  return parsed.success
    ? { key: parsed.output.path, value: parsed.output.value, version: parsed.output.stamp }
    : null;
}

/**
 * Decodes a page of entries and the store's revision (`ledgerRev`); returns null if it is malformed. `more`: further
 * pages follow.
 */
export function readEntries(body: unknown): { entries: Entry[]; more: boolean; revision: number } | null {
  const parsed = v.safeParse(listBody, body);
  if (!parsed.success) return null;
  return {
    entries: parsed.output.entries.map((e) => ({ key: e.path, value: e.value, version: e.stamp })),
    more: parsed.output.more,
    revision: parsed.output.ledgerRev,
  };
}

/** Decodes the changes (`events`) of a watch up to a revision (`ledgerRev`); returns null if they are malformed. */
export function readChanges(body: unknown): { revision: number; changes: Change[] } | null {
  const parsed = v.safeParse(watchBody, body);
  if (!parsed.success) return null;
  return {
    revision: parsed.output.ledgerRev,
    changes: parsed.output.events.map((e) =>
      'set' in e
        ? { key: e.set, value: e.value, version: e.stamp }
        : { key: e.drop, gone: true as const, version: e.stamp },
    ),
  };
}

/**
 * Decodes the response to a transaction: the revision, and the keys whose conditions `failed`. Returns null if it is
 * malformed.
 */
export function readTxn(body: unknown): { revision: number; failed: string[] } | null {
  const parsed = v.safeParse(txnBody, body);
  return parsed.success ? { revision: parsed.output.ledgerRev, failed: parsed.output.failed ?? [] } : null;
}

/** Decodes the response to a lease request: the lease's id (`permit`); returns null if it is malformed. */
export function readLease(body: unknown): number | null {
  const parsed = v.safeParse(leaseBody, body);
  return parsed.success ? parsed.output.permit : null;
}

/** Encodes a transaction, which applies all `writes` if all conditions in `when` hold, and none otherwise. */
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

/** Paths of the key-value store's API. `under` is a prefix of keys, `most` the maximum size of a page. */
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

/** Encodes a request for a lease with a time to live of `ttlMs` milliseconds. */
export function writeLeaseRequest(ttlMs: number): object {
  return { ttlMs };
}

// --- The key-value store's side of the protocol.

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

/** Decodes what `writeTxn` encodes; returns null if it is malformed. */
export function readTxnRequest(body: unknown): { when: Condition[]; writes: Write[] } | null {
  const parsed = v.safeParse(txnRequest, body);
  if (!parsed.success) return null;
  return {
    when: parsed.output.when.map((c) => ({ key: c.path, version: c.stamp })),
    writes: parsed.output.writes.map((w): Write => {
      if ('drop' in w) return { delete: w.drop };
      return { put: w.set, value: w.value, ...(w.permit !== undefined && { lease: w.permit }) };
    }),
  };
}

/** Encodes an entry for `readEntry`; `lease` (`permit`) is the lease with which the entry is deleted, if any. */
export function writeEntry(e: Entry, lease: number | null): object {
  return {
    path: e.key,
    value: e.value,
    stamp: e.version,
    ...(lease !== null && { permit: lease }),
  };
}

/** Encodes the response that `readEntries` decodes. */
export function writeEntries(entries: Entry[], more: boolean, revision: number): object {
  return { entries: entries.map((e) => writeEntry(e, null)), more, ledgerRev: revision };
}

/** Encodes an element of the `events` of a watch. */
export function writeChange(c: Change): object {
  return 'gone' in c ? { drop: c.key, stamp: c.version } : { set: c.key, value: c.value, stamp: c.version };
}

/** Encodes the response that `readChanges` decodes. */
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

/** Decodes what `writeLeaseRequest` encodes and returns `ttlMs`; returns null if it is malformed. */
export function readLeaseRequest(body: unknown): number | null {
  const parsed = v.safeParse(leaseRequest, body);
  return parsed.success ? parsed.output.ttlMs : null;
}
