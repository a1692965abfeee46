import type { Log } from '../config/log.js';
import { readLeaseHolder, writeLeaseHolder } from '../schema/schema.js';
import { type StateStore, StateStoreError } from '../state/statestore.js';
import type { Condition, Write } from '../wire/state.js';
import type { ClusterStateCache } from './clusterstatecache.js';
import type { LeaseKeeper } from './leasekeeper.js';

/**
 * A compare-and-swap that makes this node the holder of a key; `version` is the expected version, 0 for an absent
 * key.
 */
export interface HolderSwap {
  readonly key: string;
  readonly version: number;
  /** Additional conditions and writes of the same transaction. */
  readonly conditions: readonly Condition[];
  readonly writes: readonly Write[];
}

/** Claims keys under this node's lease: when the lease ends, the keys are deleted. */
export class Claims {
  constructor(
    private readonly store: StateStore,
    private readonly log: Log,
    private readonly stateCache: ClusterStateCache,
    private readonly lease: LeaseKeeper,
  ) {}

  /**
   * Tries to claim a key without a holder. Returns its version, which is the term, when this node holds it; else
   * null.
   */
  async claim(key: string): Promise<number | null> {
    try {
      return await this.compareAndSwapHolder({ key, version: 0, conditions: [], writes: [] });
    } catch (error) {
      this.log.debug({ key, err: error }, 'key claim failed');
      return null;
    }
  }

  /**
   * Takes a key if it is still at the expected version. Returns the key's new version when this node holds it under
   * its current lease, and null when it definitely does not and this attempt cannot take effect later. Throws
   * `StateStoreError` when the outcome is unknown.
   */
  async compareAndSwapHolder({ key, version, conditions, writes }: HolderSwap): Promise<number | null> {
    const lease = this.lease.leaseId;
    // Throws rather than returning null: an earlier attempt that got no answer may still be applied.
    if (!this.lease.holdsLease || lease === null) throw new StateStoreError('no lease', false);
    const value = writeLeaseHolder(this.lease.holder);
    try {
      const result = await this.store.compareAndSwap(
        [{ key, version }, ...conditions],
        [{ put: key, value, lease }, ...writes],
        { urgent: version > 0 },
      );
      if (result.ok) {
        this.stateCache.apply({ key, value, version: result.revision });
        return this.lease.leaseId === lease ? result.revision : null;
      }
      if (!result.failed.includes(key)) return null;
    } catch (error) {
      if (!(error instanceof StateStoreError) || !error.mayHaveApplied) throw error;
    }
    return this.readOutcome(key, version);
  }

  /**
   * Reads back whether a compare-and-swap that was rejected, or got no answer, has been applied. Returns the key's
   * version when this node holds it under its current lease, null when it does not; throws when the outcome is still
   * unknown.
   */
  private async readOutcome(key: string, version: number): Promise<number | null> {
    const entry = await this.store.get(key);
    if (!entry || !readLeaseHolder(entry.value)) {
      if (version > 0 && !entry) return null;
      throw new StateStoreError(`${key} is not decided`, true);
    }
    this.stateCache.apply(entry);
    if (entry.version === version) throw new StateStoreError(`${key} is not decided`, true);
    return this.lease.isHeldHere(entry.value) ? entry.version : null;
  }
}
