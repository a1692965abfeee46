import type { ControllerContext } from '../context/context.js';
import { KEYS, type LeaseHolder, readStandbyRecord, writeStandbyRecord } from '../schema/schema.js';
import { StateStoreError } from '../state/statestore.js';
import type { Condition } from '../wire/state.js';

/** What `StandbyNaming` works with. */
export interface StandbyNamingOptions {
  readonly context: ControllerContext;
  readonly shard: number;
  /** The owner's term: the revision of its key. */
  readonly term: number;
  /** The owner's key is not at its term any more: somebody else has the shard. */
  onShardLost(): void;
}

/**
 * The owner's writes to the key that names its standby (`c/stand/K`). Each goes under the condition that the owner's key is
 * still at its term.
 */
export class StandbyNaming {
  private namedCount = 0;
  private readonly key: string;
  private readonly ownerCondition: Condition;

  constructor(private readonly options: StandbyNamingOptions) {
    this.key = KEYS.standby(options.shard);
    this.ownerCondition = { key: KEYS.owner(options.shard), version: options.term };
  }

  /**
   * Names a node, by the run of it that `presence` shows, on the owner's lease. Returns the revision of the key that names
   * it; null when it was not named. Throws `StateStoreError` when the key-value store does not answer.
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
      const r = await store.compareAndSwap(
        [this.ownerCondition, { key: this.key, version: before }],
        [write],
        { urgent: true },
      );
      if (r.ok) return r.revision;
      this.reportIfLost(r.failed);
      return null;
    } catch (error) {
      if (!(error instanceof StateStoreError) || !error.mayHaveApplied) throw error;
      // Nothing has been sent under it yet, so that nobody can claim by it: what is there now is taken as it is.
      const stored = await store.get(this.key);
      return stored && readStandbyRecord(stored.value)?.writeId === value.tag ? stored.version : null;
    }
  }

  /**
   * Deletes the name that was written at a revision. True once it is known to be gone while the owner's term stands: from
   * then on no claim by it can be applied. False when that is not known. Throws `StateStoreError` when the key-value store
   * does not answer.
   */
  async remove(revision: number): Promise<boolean> {
    const { store } = this.options.context;
    const named = { key: this.key, version: revision };
    try {
      const r = await store.compareAndSwap([this.ownerCondition, named], [{ delete: this.key }], {
        urgent: true,
      });
      if (r.ok) return true;
      if (this.reportIfLost(r.failed)) return false;
    } catch (error) {
      if (!(error instanceof StateStoreError) || !error.mayHaveApplied) throw error;
    }
    // An earlier try may have been applied late: what counts is that the key is gone while the term still stands.
    const r = await store.compareAndSwap([this.ownerCondition, { key: this.key, version: 0 }], [], {
      urgent: true,
    });
    if (!r.ok) this.reportIfLost(r.failed);
    return r.ok;
  }

  /** Whether the owner's key was among the conditions that failed; if so, the shard is somebody else's. */
  private reportIfLost(failedKeys: readonly string[]): boolean {
    const lost = failedKeys.includes(this.ownerCondition.key);
    if (lost) this.options.onShardLost();
    return lost;
  }
}
