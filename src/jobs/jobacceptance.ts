import { KEYS } from '../schema/schema.js';
import { StateStoreError } from '../state/statestore.js';
import type { Write } from '../wire/state.js';
import type { JobSpec } from '../wire/users.js';
import type { JobEntry, JobRecord } from './job.js';
import { maxValueBytes, type OwnerWrites, type OwnerWritesOptions } from './ownerwrites.js';
import { findJob, readActive } from './storedjob.js';

/** Result of accepting a job. */
export type AcceptResult =
  /**
   * The job is stored at this version. `partsPrefix` is the key prefix of its description's parts; null without
   * parts.
   */
  | { readonly kind: 'accepted'; readonly version: number; readonly partsPrefix: string | null }
  /** A job with this id was accepted before. */
  | { readonly kind: 'known'; readonly entry: JobEntry };

/** Keeps the writes of one transaction well below the maximum request size. */
const MAX_TXN_BYTES = 40 * 1024;

/** Value of a job's record, and the key prefix of the description's parts. */
interface AcceptanceValue {
  readonly value: object;
  readonly partsPrefix: string | null;
}

/** Stores the jobs that one shard accepts. */
export class JobAcceptance {
  constructor(
    private readonly writes: OwnerWrites,
    private readonly options: OwnerWritesOptions,
  ) {}

  /**
   * Stores an accepted job. This takes a single change, because the number of changes per second that the
   * key-value store executes limits how fast a large number of small jobs can be accepted. The conditions of
   * the change ensure that no other node has accepted the job and that it has not ended. `tag` is unique to
   * this acceptance. Throws `StateStoreError` if the write failed or its result is unknown.
   */
  async accept(record: JobRecord, tag: string): Promise<AcceptResult> {
    const id = record.spec.id;
    const key = KEYS.activeJob(id);
    const { value, partsPrefix } = await this.prepare(record, tag);
    try {
      const result = await this.writes.write(
        [
          { key, version: 0 },
          { key: KEYS.job(id), version: 0 },
        ],
        [{ put: key, value }],
      );
      if (result.ok) return { kind: 'accepted', version: result.revision, partsPrefix };
    } catch (error) {
      // A write without a response may or may not have been applied; only reading it back decides.
      if (!(error instanceof StateStoreError) || !error.mayHaveApplied) throw error;
    }
    const { store } = this.options.transactions;
    const stored = await store.get(key);
    if (stored && readActive(stored.value)?.tag === tag)
      return { kind: 'accepted', version: stored.version, partsPrefix };
    const entry = await findJob((k) => store.get(k), id);
    if (!entry) throw new StateStoreError(`acceptance of ${id} is not decided`, true);
    if (partsPrefix !== null) void this.writes.deleteParts(partsPrefix);
    return { kind: 'known', entry };
  }

  /** Returns the value to store; stores the description separately if it is too long for the value. */
  private async prepare(record: JobRecord, tag: string): Promise<AcceptanceValue> {
    const { transactions, limits, allSupportProtocolVersion } = this.options;
    const { shard } = transactions;
    const { id } = record.spec;
    const whole = { ...record, shard, tag };
    if (jsonBytes(whole) > maxValueBytes(limits.valueKb)) {
      if (allSupportProtocolVersion()) {
        const parts = await this.storeParts(record.spec, tag);
        const value = { accepted: record.accepted, deadline: record.deadline, shard, tag, parts };
        return { value, partsPrefix: KEYS.specParts(id, tag) };
      }
      // The description is stored in parts once all nodes run this version.
      if (jsonBytes(whole) > maxValueBytes(limits.layoutKb))
        throw new StateStoreError(`the description of ${id} is too long for now`, false);
    }
    return { value: whole, partsPrefix: null };
  }

  /**
   * Stores a description that is too long for one value, before the job is accepted. Returns the number of
   * parts.
   */
  private async storeParts(spec: JobSpec, tag: string): Promise<number> {
    const { limits } = this.options;
    const bytes = Buffer.from(JSON.stringify(spec));
    const partBytes = Math.max(30, Math.floor((maxValueBytes(limits.valueKb) / 4) * 3) - 6);
    const writes: Write[] = [];
    for (let from = 0; from < bytes.length; from += partBytes) {
      const value = bytes.subarray(from, from + partBytes).toString('base64');
      writes.push({ put: KEYS.specPart(spec.id, tag, writes.length), value });
    }
    const partsPerRequest = Math.floor(MAX_TXN_BYTES / (partBytes * 1.4));
    const perTransaction = Math.max(1, Math.min(limits.txnOps, partsPerRequest));
    for (let i = 0; i < writes.length; i += perTransaction)
      await this.writes.write([], writes.slice(i, i + perTransaction));
    return writes.length;
  }
}

function jsonBytes(value: object): number {
  return Buffer.byteLength(JSON.stringify(value));
}
