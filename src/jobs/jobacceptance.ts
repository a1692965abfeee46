import { KEYS } from '../schema/schema.js';
import { StateStoreError } from '../state/statestore.js';
import type { Write } from '../wire/state.js';
import type { JobSpec } from '../wire/users.js';
import type { JobEntry, JobRecord } from './job.js';
import { type OwnerWrites, type OwnerWritesOptions, valueBytes } from './ownerwrites.js';
import { findJob, readActive } from './storedjob.js';

/** What became of an acceptance. */
export type AcceptResult =
  /** It is stored, at this version; `partsUnder` is the prefix of its description's parts, null without any. */
  | { readonly kind: 'accepted'; readonly version: number; readonly partsUnder: string | null }
  /** A job of this id was accepted before. */
  | { readonly kind: 'known'; readonly entry: JobEntry };

/** Writes of one transaction stay well below the largest request. */
const MAX_TXN_BYTES = 40 * 1024;

/** A job's record as it is put, and where the rest of it is. */
interface AcceptanceValue {
  readonly value: object;
  readonly partsUnder: string | null;
}

/** Stores the jobs that one shard accepts. */
export class JobAcceptance {
  constructor(
    private readonly writes: OwnerWrites,
    private readonly options: OwnerWritesOptions,
  ) {}

  /**
   * Stores a job that is accepted. It is one change, since a swarm of small jobs needs as many acceptances a second as
   * the key-value store takes changes; that nobody else has accepted it, or it is over, are conditions. `tag` is unique to this
   * acceptance. Throws `StateStoreError` when it failed or is not decided.
   */
  async accept(record: JobRecord, tag: string): Promise<AcceptResult> {
    const id = record.spec.id;
    const key = KEYS.activeJob(id);
    const { value, partsUnder } = await this.prepare(record, tag);
    try {
      const result = await this.writes.write(
        [
          { key, version: 0 },
          { key: KEYS.job(id), version: 0 },
        ],
        [{ put: key, value }],
      );
      if (result.ok) return { kind: 'accepted', version: result.revision, partsUnder };
    } catch (error) {
      // Nobody knows whether a write without an answer was made: only reading it back tells.
      if (!(error instanceof StateStoreError) || !error.mayHaveApplied) throw error;
    }
    const { store } = this.options;
    const stored = await store.get(key);
    if (stored && readActive(stored.value)?.tag === tag)
      return { kind: 'accepted', version: stored.version, partsUnder };
    const entry = await findJob((k) => store.get(k), id);
    if (!entry) throw new StateStoreError(`acceptance of ${id} is not decided`, true);
    if (partsUnder !== null) void this.writes.sweepParts(partsUnder);
    return { kind: 'known', entry };
  }

  /** The value to put; stores the description beside it where that is too long. */
  private async prepare(record: JobRecord, tag: string): Promise<AcceptanceValue> {
    const { shard, limits, allSupportLatest } = this.options;
    const { id } = record.spec;
    const whole = { ...record, shard, tag };
    if (jsonBytes(whole) > valueBytes(limits.valueKb)) {
      if (allSupportLatest()) {
        const parts = await this.storeParts(record.spec, tag);
        const value = { accepted: record.accepted, deadline: record.deadline, shard, tag, parts };
        return { value, partsUnder: KEYS.specParts(id, tag) };
      }
      // Once all nodes run this version it is stored in parts.
      if (jsonBytes(whole) > valueBytes(limits.layoutKb))
        throw new StateStoreError(`the description of ${id} is too long for now`, false);
    }
    return { value: whole, partsUnder: null };
  }

  /** Stores a description that is too long for one value, before the job is accepted; returns in how many parts. */
  private async storeParts(spec: JobSpec, tag: string): Promise<number> {
    const { limits } = this.options;
    const bytes = Buffer.from(JSON.stringify(spec));
    const partBytes = Math.max(30, Math.floor((valueBytes(limits.valueKb) / 4) * 3) - 6);
    const writes: Write[] = [];
    for (let from = 0; from < bytes.length; from += partBytes) {
      const value = bytes.subarray(from, from + partBytes).toString('base64');
      writes.push({ put: KEYS.specPart(spec.id, tag, writes.length), value });
    }
    const fitting = Math.floor(MAX_TXN_BYTES / (partBytes * 1.4));
    const perTransaction = Math.max(1, Math.min(limits.txnOps, fitting));
    for (let i = 0; i < writes.length; i += perTransaction)
      await this.writes.write([], writes.slice(i, i + perTransaction));
    return writes.length;
  }
}

function jsonBytes(value: object): number {
  return Buffer.byteLength(JSON.stringify(value));
}
