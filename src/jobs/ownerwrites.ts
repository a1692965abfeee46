import { NotOwnerError } from '../errors/errors.js';
import { KEYS } from '../schema/schema.js';
import { type CompareAndSwapResult, type StateStore, StateStoreError } from '../state/statestore.js';
import type { Condition, Write } from '../wire/state.js';

/** What the key-value store takes in one value and one transaction. */
export interface RecordLimits {
  /** Size of one value, in kilobytes. */
  readonly valueKb: number;
  /** Writes of one transaction. */
  readonly txnOps: number;
  /** The size of values, in kilobytes, that the legacy layout of completion chunks follows from. */
  readonly layoutKb: number;
}

/** What `OwnerWrites` works with. */
export interface OwnerWritesOptions {
  readonly store: StateStore;
  readonly shard: number;
  /** Revision of the shard's owner key under which is written. */
  readonly term: number;
  readonly limits: RecordLimits;
  /** Whether every node reads what the first version did not know. */
  readonly allSupportLatest: () => boolean;
  /** A record of a job has been changed. */
  readonly onChanged: () => void;
}

/**
 * Writes to the jobs of one shard. Each holds only while the shard's owner key has this term, so a write that the network
 * delivers late cannot undo what a newer owner wrote.
 */
export class OwnerWrites {
  private readonly ownerCondition: Condition;

  constructor(private readonly options: OwnerWritesOptions) {
    this.ownerCondition = { key: KEYS.owner(options.shard), version: options.term };
  }

  /** Carries out all writes under the owner's term and `when`. Throws `NotOwnerError` once somebody else has the shard. */
  async write(when: Condition[], writes: Write[]): Promise<CompareAndSwapResult> {
    const result = await this.options.store.compareAndSwap([this.ownerCondition, ...when], writes);
    if (!result.ok && result.failed.includes(this.ownerCondition.key)) throw new NotOwnerError();
    if (result.ok) this.options.onChanged();
    return result;
  }

  /** Drops what is of no more use, without a condition. What is left over when that fails is read by nobody. */
  async sweep(drops: readonly Write[]): Promise<void> {
    const { store, limits } = this.options;
    const perTransaction = Math.max(1, limits.txnOps);
    try {
      for (let i = 0; i < drops.length; i += perTransaction)
        await store.compareAndSwap([], drops.slice(i, i + perTransaction));
    } catch (error) {
      if (!(error instanceof StateStoreError)) throw error;
    }
  }

  /** Drops all parts of a description. */
  async sweepParts(under: string): Promise<void> {
    try {
      const { entries } = await this.options.store.list(under);
      await this.sweep(entries.map((e) => ({ delete: e.key })));
    } catch (error) {
      if (!(error instanceof StateStoreError)) throw error;
    }
  }
}

/** Bytes that a value may have, with some to spare for what the service counts beside. */
export function valueBytes(valueKb: number): number {
  return valueKb * 1000;
}
