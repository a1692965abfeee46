/** Records of HTCondor clusters in the key-value store. */

import { deflateRawSync, inflateRawSync } from 'node:zlib';
import * as v from 'valibot';
import { KEYS } from '../schema/schema.js';
import { type StateStore, StateStoreError } from '../state/statestore.js';
import type { Condition, Write } from '../wire/state.js';
import type { Submission } from './procs.js';

/** Keys of cluster records in the key-value store. */
const STORE_KEYS = {
  /** Number of the next cluster; never decreases. */
  next: 'condor/next',
  /** Node that expands clusters; under the prefix that every node watches. */
  expander: `${KEYS.cluster}condor`,
  clusters: 'condor/c/',
  cluster: (n: number) => `condor/c/${zeroPadded(n)}`,
  /** Ended clusters, stored apart from the others because those are read again and again. */
  endedClusters: 'condor/over/',
  endedCluster: (n: number) => `condor/over/${zeroPadded(n)}`,
  submission: (id: string) => `condor/s/${id}`,
  parts: (id: string) => `condor/p/${id}/`,
  part: (id: string, i: number) => `condor/p/${id}/${zeroPadded(i)}`,
  exceptions: (n: number) => `condor/x/${zeroPadded(n)}/`,
  chunk: (n: number, i: number) => `condor/x/${zeroPadded(n)}/${zeroPadded(i)}`,
} as const;
/** Key that names the node that expands clusters. */
export const EXPANDER = STORE_KEYS.expander;

function zeroPadded(n: number): string {
  return String(n).padStart(8, '0');
}

const clusterValue = v.object({
  submission: v.string(),
  parts: v.number(),
  user: v.string(),
  batch: v.nullable(v.string()),
  at: v.number(),
  total: v.number(),
  /** Processes below `from` have become jobs; the processes from `from` up to `upTo` may have. */
  from: v.number(),
  upTo: v.number(),
  state: v.picklist(['active', 'removing', 'over']),
  /** For an ended cluster: number of its processes that were removed; the others completed. */
  removed: v.optional(v.number(), 0),
});
/** The record of one cluster. */
export type ClusterRecord = v.InferOutput<typeof clusterValue>;

const exceptionValue = v.object({
  /** Start of the process that counts; earlier starts are cancelled. */
  start: v.number(),
  state: v.picklist(['idle', 'held', 'removed']),
  why: v.string(),
});
/** A process that was held, released or removed. */
export type Exception = v.InferOutput<typeof exceptionValue>;
const chunkValue = v.record(v.string(), exceptionValue);

/** Number of processes in one record of exceptions. */
export const PROCS_PER_CHUNK = 32;
const MAX_CREATE_ATTEMPTS = 8;
const MAX_TXN_BYTES = 40 * 1024;
const MAX_INFLATED_BYTES = 4 * 1024 * 1024;

/** Record of a cluster as read, with its version. */
export interface StoredCluster {
  number: number;
  record: ClusterRecord;
  version: number;
}

/** Stores clusters in the key-value store. Writes of the expander are conditional on its own term. */
export class ClusterRecords {
  constructor(
    private readonly store: StateStore,
    private readonly limits: { valueKb: number; txnOps: number },
  ) {}

  /**
   * Makes a cluster durable. The same submission always gets the same number, whichever node it is repeated at
   * and whenever. The text is stored first, in parts that fit the limits of the key-value store; nothing reads
   * the parts before the record exists.
   */
  async create(id: string, submission: Submission, total: number, batch: string | null): Promise<number> {
    const existing = await this.numberOf(id);
    if (existing !== null) return existing;
    const parts = await this.writeParts(id, submission);
    const record: ClusterRecord = {
      submission: id,
      parts,
      user: submission.user,
      batch,
      at: submission.at,
      total,
      from: 0,
      upTo: 0,
      state: 'active',
      removed: 0,
    };
    for (let i = 0; i < MAX_CREATE_ATTEMPTS; i++) {
      const number = await this.tryCreate(id, record);
      if (number !== null) return number;
    }
    throw new StateStoreError('too many clusters at once', false);
  }

  /** Stores the text of a submission in parts; returns the number of parts. */
  private async writeParts(id: string, submission: Submission): Promise<number> {
    const bytes = deflateRawSync(JSON.stringify(submission));
    const partBytes = Math.floor((this.limits.valueKb * 1000 * 3) / 4) - 16;
    const writes: Write[] = [];
    for (let i = 0; i * partBytes < bytes.length; i++)
      writes.push({
        put: STORE_KEYS.part(id, i),
        value: bytes.subarray(i * partBytes, (i + 1) * partBytes).toString('base64'),
      });
    const partsPerTxn = Math.max(
      1,
      Math.min(this.limits.txnOps, Math.floor(MAX_TXN_BYTES / (partBytes * 1.4))),
    );
    for (let i = 0; i < writes.length; i += partsPerTxn)
      await this.store.compareAndSwap([], writes.slice(i, i + partsPerTxn));
    return writes.length;
  }

  /** Stores a record under the next free number. Returns null when another cluster got that number first. */
  private async tryCreate(id: string, record: ClusterRecord): Promise<number | null> {
    const next = await this.store.get(STORE_KEYS.next);
    const number = next ? Number(next.value) : 1;
    try {
      const result = await this.store.compareAndSwap(
        [
          { key: STORE_KEYS.next, version: next?.version ?? 0 },
          { key: STORE_KEYS.submission(id), version: 0 },
        ],
        [
          { put: STORE_KEYS.next, value: number + 1 },
          { put: STORE_KEYS.submission(id), value: number },
          { put: STORE_KEYS.cluster(number), value: record },
        ],
      );
      if (result.ok) return number;
    } catch (error) {
      if (!(error instanceof StateStoreError) || !error.mayHaveApplied) throw error;
    }
    return this.numberOf(id);
  }

  private async numberOf(id: string): Promise<number | null> {
    const e = await this.store.get(STORE_KEYS.submission(id));
    return e ? Number(e.value) : null;
  }

  /** Returns all clusters that have not ended, or all that have. */
  async listClusters(ended = false): Promise<StoredCluster[]> {
    const prefix = ended ? STORE_KEYS.endedClusters : STORE_KEYS.clusters;
    const { entries } = await this.store.list(prefix);
    const out: StoredCluster[] = [];
    for (const e of entries) {
      const parsed = v.safeParse(clusterValue, e.value);
      const number = Number(e.key.slice(prefix.length));
      if (parsed.success) out.push({ number, record: parsed.output, version: e.version });
    }
    return out;
  }

  async submission(record: ClusterRecord): Promise<Submission> {
    const { entries } = await this.store.list(STORE_KEYS.parts(record.submission));
    if (entries.length !== record.parts) throw new StateStoreError('a submission that is not whole', false);
    const bytes = Buffer.concat(entries.map((e) => Buffer.from(String(e.value), 'base64')));
    return JSON.parse(
      inflateRawSync(bytes, { maxOutputLength: MAX_INFLATED_BYTES }).toString('utf8'),
    ) as Submission;
  }

  async exceptions(
    n: number,
  ): Promise<{ exceptions: Map<number, Exception>; versions: Map<number, number> }> {
    const { entries } = await this.store.list(STORE_KEYS.exceptions(n));
    const exceptions = new Map<number, Exception>();
    const versions = new Map<number, number>();
    for (const e of entries) {
      versions.set(Number(e.key.slice(STORE_KEYS.exceptions(n).length)), e.version);
      const parsed = v.safeParse(chunkValue, e.value);
      if (parsed.success)
        for (const [proc, x] of Object.entries(parsed.output)) exceptions.set(Number(proc), x);
    }
    return { exceptions, versions };
  }

  /** Writes a cluster's record under a term; null when the term has ended or another write came first. */
  async put(term: number, cluster: StoredCluster, record: ClusterRecord): Promise<number | null> {
    return this.write(
      term,
      [{ key: STORE_KEYS.cluster(cluster.number), version: cluster.version }],
      [{ put: STORE_KEYS.cluster(cluster.number), value: record }],
    );
  }

  /** Moves a cluster's record to the ended clusters; null as for `put`. */
  async moveToEnded(term: number, cluster: StoredCluster, record: ClusterRecord): Promise<number | null> {
    return this.write(
      term,
      [{ key: STORE_KEYS.cluster(cluster.number), version: cluster.version }],
      [
        { delete: STORE_KEYS.cluster(cluster.number) },
        { put: STORE_KEYS.endedCluster(cluster.number), value: record },
      ],
    );
  }

  /**
   * Writes chunks of exceptions under a term, as many in one write as the limits allow. Returns false when the
   * term has ended or a chunk was changed by another write.
   */
  async putExceptions(
    term: number,
    n: number,
    all: ReadonlyMap<number, Exception>,
    chunks: readonly number[],
    versions: Map<number, number>,
  ): Promise<boolean> {
    const batchSize = Math.max(1, Math.min(this.limits.txnOps, 8));
    for (let i = 0; i < chunks.length; i += batchSize) {
      const part = chunks.slice(i, i + batchSize);
      const revision = await this.write(
        term,
        part.map((k) => ({ key: STORE_KEYS.chunk(n, k), version: versions.get(k) ?? 0 })),
        part.map((k) => ({ put: STORE_KEYS.chunk(n, k), value: chunkOf(all, k) })),
      );
      if (revision === null) return false;
      for (const k of part) versions.set(k, revision);
    }
    return true;
  }

  /** Deletes the records that an ended cluster no longer needs, a few at a time. */
  async deleteObsolete(term: number, cluster: StoredCluster): Promise<void> {
    const batchSize = Math.max(1, this.limits.txnOps);
    for (const prefix of [
      STORE_KEYS.parts(cluster.record.submission),
      STORE_KEYS.exceptions(cluster.number),
    ]) {
      const { entries } = await this.store.list(prefix);
      for (let i = 0; i < entries.length; i += batchSize)
        await this.write(
          term,
          [],
          entries.slice(i, i + batchSize).map((e) => ({ delete: e.key })),
        );
    }
  }

  private async write(term: number, when: Condition[], writes: Write[]): Promise<number | null> {
    const result = await this.store.compareAndSwap(
      [{ key: STORE_KEYS.expander, version: term }, ...when],
      writes,
    );
    return result.ok ? result.revision : null;
  }
}

function chunkOf(all: ReadonlyMap<number, Exception>, chunk: number): object {
  const value: Record<string, Exception> = {};
  for (let p = chunk * PROCS_PER_CHUNK; p < (chunk + 1) * PROCS_PER_CHUNK; p++) {
    const exception = all.get(p);
    if (exception) value[p] = exception;
  }
  return value;
}
