import type { CompareAndSwapOptions, StateStore } from '../state/statestore.js';
import type { Condition, Write } from '../wire/state.js';
import { KEYS } from './keys.js';

/**
 * The revision of an owner's committed transaction, or the keys whose conditions failed. `ownershipLost` is
 * true if the owner's key is among them, so that another node owns the shard.
 */
export type OwnerTransactionResult =
  | { readonly ok: true; readonly revision: number }
  | { readonly ok: false; readonly ownershipLost: boolean; readonly failed: readonly string[] };

/**
 * The transactions of one shard's owner. Each is conditional on the owner's key still having the owner's term, so a
 * transaction that the network delivers late cannot overwrite what a newer owner wrote.
 */
export class OwnerTransactions {
  private readonly ownerCondition: Condition;
  private latestOwnedRevision: number;

  constructor(
    readonly store: StateStore,
    readonly shard: number,
    /** Revision of the owner's key that the transactions are conditional on; 0 if the key must be absent. */
    readonly term: number,
  ) {
    this.ownerCondition = { key: KEYS.owner(shard), version: term };
    this.latestOwnedRevision = term;
  }

  /**
   * The latest revision of the key-value store at which the owner's key is known to have had this term. The terms of
   * all later owners are greater.
   */
  get ownedRevision(): number {
    return this.latestOwnedRevision;
  }

  /**
   * Applies all writes if the owner still has its term and all conditions hold, and none otherwise. Throws
   * `StateStoreError` if the transaction failed or its outcome is unknown.
   */
  async compareAndSwap(
    conditions: readonly Condition[],
    writes: Write[],
    options: CompareAndSwapOptions = {},
  ): Promise<OwnerTransactionResult> {
    const result = await this.store.compareAndSwap([this.ownerCondition, ...conditions], writes, options);
    if (!result.ok) return { ...result, ownershipLost: result.failed.includes(this.ownerCondition.key) };
    this.latestOwnedRevision = Math.max(this.latestOwnedRevision, result.revision);
    return result;
  }
}
