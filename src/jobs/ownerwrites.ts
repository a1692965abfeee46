import { NotOwnerError } from '../errors/errors.js';
import type { OwnerTransactionResult, OwnerTransactions } from '../schema/schema.js';
import { StateStoreError } from '../state/statestore.js';
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
  readonly transactions: OwnerTransactions;
  readonly limits: RecordLimits;
  /** Whether all nodes can read formats that the first version did not support. */
  readonly allSupportProtocolVersion: () => boolean;
  /** Called when a job record has been changed. */
  readonly onChanged: () => void;
}

/** Writes job records of one shard, on the condition that its owner still has its term. */
export class OwnerWrites {
  constructor(private readonly options: OwnerWritesOptions) {}

  /**
   * Executes all writes in one transaction, conditional on the owner's term and `conditions`. Throws `NotOwnerError`
   * once another node owns the shard.
   */
  async write(conditions: readonly Condition[], writes: Write[]): Promise<OwnerTransactionResult> {
    const result = await this.options.transactions.compareAndSwap(conditions, writes);
    if (!result.ok && result.ownershipLost) throw new NotOwnerError();
    if (result.ok) this.options.onChanged();
    return result;
  }

  /**
   * Deletes entries that are no longer needed, without a condition. Entries left behind by a failure are never
   * read.
   */
  async deleteUnconditionally(deletions: readonly Write[]): Promise<void> {
    const { transactions, limits } = this.options;
    const perTransaction = Math.max(1, limits.txnOps);
    try {
      for (let i = 0; i < deletions.length; i += perTransaction)
        await transactions.store.compareAndSwap([], deletions.slice(i, i + perTransaction));
    } catch (error) {
      if (!(error instanceof StateStoreError)) throw error;
    }
  }

  /** Deletes all parts of a description. */
  async deleteParts(prefix: string): Promise<void> {
    try {
      const { entries } = await this.options.transactions.store.list(prefix);
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
