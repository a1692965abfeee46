import type { ControllerContext } from '../context/context.js';
import {
  KEYS,
  type LeaseHolder,
  type OwnerTransactionResult,
  OwnerTransactions,
  readStandbyRecord,
  writeStandbyRecord,
} from '../schema/schema.js';
import { StateStoreError } from '../state/statestore.js';

/** Dependencies of `StandbyNaming`. */
export interface StandbyNamingOptions {
  readonly context: ControllerContext;
  readonly shard: number;
  /** Term of the owner: the revision of its key. */
  readonly term: number;
  /** Called when the owner's key no longer has this term, so another node owns the shard. */
  onShardLost(): void;
}

/**
 * Writes the key that names the standby of a shard (`c/stand/K`) on behalf of the owner. Each write is
 * conditional on the owner's key still having the owner's term.
 */
export class StandbyNaming {
  private namedCount = 0;
  private readonly key: string;
  private readonly transactions: OwnerTransactions;

  constructor(private readonly options: StandbyNamingOptions) {
    this.key = KEYS.standby(options.shard);
    this.transactions = new OwnerTransactions(options.context.store, options.shard, options.term);
  }

  /**
   * Names a node as standby, with the incarnation given by `presence`, under the owner's lease. Returns the
   * revision of the key that names it, or null if the node was not named. Throws `StateStoreError` if the
   * key-value store does not answer.
   */
  async name(node: string, presence: LeaseHolder, leaseId: number): Promise<number | null> {
    const { context, term } = this.options;
    const value = writeStandbyRecord({
      node,
      incarnation: presence.incarnation,
      term,
      writeId: `${context.incarnation}-${term}-${this.namedCount++}`,
    });
    const { store } = context;
    const before = (await store.get(this.key))?.version ?? 0;
    const write = { put: this.key, value, lease: leaseId };
    try {
      const result = await this.transactions.compareAndSwap([{ key: this.key, version: before }], [write], {
        urgent: true,
      });
      if (result.ok) return result.revision;
      this.reportIfLost(result);
      return null;
    } catch (error) {
      if (!(error instanceof StateStoreError) || !error.mayHaveApplied) throw error;
      // No message has been sent under this revision yet, so no node can claim by it, and the stored value can
      // be used as it is.
      const stored = await store.get(this.key);
      return stored && readStandbyRecord(stored.value)?.writeId === value.tag ? stored.version : null;
    }
  }

  /**
   * Deletes the standby key written at a revision. Returns true once the key is known to be deleted while the
   * owner still has its term: from then on no claim under this revision can be applied. Returns false if that
   * is not known. Throws `StateStoreError` if the key-value store does not answer.
   */
  async remove(revision: number): Promise<boolean> {
    const named = { key: this.key, version: revision };
    try {
      const result = await this.transactions.compareAndSwap([named], [{ delete: this.key }], {
        urgent: true,
      });
      if (result.ok) return true;
      if (this.reportIfLost(result)) return false;
    } catch (error) {
      if (!(error instanceof StateStoreError) || !error.mayHaveApplied) throw error;
    }
    // An earlier attempt may have been applied late. The check is therefore that the key is deleted while the
    // owner still has its term.
    const result = await this.transactions.compareAndSwap([{ key: this.key, version: 0 }], [], {
      urgent: true,
    });
    this.reportIfLost(result);
    return result.ok;
  }

  /** Returns whether a transaction failed because another node owns the shard, and reports the loss if so. */
  private reportIfLost(result: OwnerTransactionResult): boolean {
    if (result.ok || !result.ownershipLost) return false;
    this.options.onShardLost();
    return true;
  }
}
