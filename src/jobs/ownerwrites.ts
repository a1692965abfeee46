import { NotOwnerError } from '../errors/errors.js';
import { KEYS } from '../schema/schema.js';
import { type CompareAndSwapResult, type StateStore, StateStoreError } from '../state/statestore.js';
import type { Condition, Write } from '../wire/state.js';

/** Limits of the key-value store on values and transactions. */
export interface RecordLimits {
  /** Maximum size of one value, in kilobytes. */
  readonly valueKb: number;
  /** Maximum number of writes in one transaction. */
  readonly txnOps: number;
  /** Value size, in kilobytes, from which the legacy layout of completion chunks is derived. */
  readonly layoutKb: number;
}

/** Dependencies of `OwnerWrites`. */
export interface OwnerWritesOptions {
  readonly store: StateStore;
  readonly shard: number;
  /** Revision of the shard's owner key that the writes are conditional on. */
  readonly term: number;
  readonly limits: RecordLimits;
  /** Whether all nodes can read formats that the first version did not support. */
  readonly allSupportProtocolVersion: () => boolean;
  /** Called when a job record has been changed. */
  readonly onChanged: () => void;
}

/**
 * Writes job records of one shard. Each write is conditional on the shard's owner key having this term, so a
 * write that the network delivers late cannot overwrite what a newer owner wrote.
 */
export class OwnerWrites {
  private readonly ownerCondition: Condition;

  constructor(private readonly options: OwnerWritesOptions) {
    this.ownerCondition = { key: KEYS.owner(options.shard), version: options.term };
  }

  /**
   * Executes all writes in one transaction, conditional on the owner's term and `conditions`. Throws `NotOwnerError`
   * once another node owns the shard.
   */
  async write(conditions: Condition[], writes: Write[]): Promise<CompareAndSwapResult> {
    const result = await this.options.store.compareAndSwap([this.ownerCondition, ...conditions], writes);
    if (!result.ok && result.failed.includes(this.ownerCondition.key)) throw new NotOwnerError();
    if (result.ok) this.options.onChanged();
    return result;
  }

  /**
   * Deletes entries that are no longer needed, without a condition. Entries left behind by a failure are never
   * read.
   */
  async deleteUnconditionally(deletions: readonly Write[]): Promise<void> {
    const { store, limits } = this.options;
    const perTransaction = Math.max(1, limits.txnOps);
    try {
      for (let i = 0; i < deletions.length; i += perTransaction)
        await store.compareAndSwap([], deletions.slice(i, i + perTransaction));
    } catch (error) {
      if (!(error instanceof StateStoreError)) throw error;
    }
  }

  /** Deletes all parts of a description. */
  async deleteParts(prefix: string): Promise<void> {
    try {
      const { entries } = await this.options.store.list(prefix);
      await this.deleteUnconditionally(entries.map((e) => ({ delete: e.key })));
    } catch (error) {
      if (!(error instanceof StateStoreError)) throw error;
    }
  }
}

/**
 * Returns the maximum number of bytes in a value, with a reserve for overhead that the key-value store counts
 * as well.
 */
export function maxValueBytes(valueKb: number): number {
  return valueKb * 1000;
}
