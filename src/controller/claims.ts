import type { Log } from '../config/log.js';
import { readLeaseHolder, writeLeaseHolder } from '../schema/schema.js';
import { type StateStore, StateStoreError } from '../state/statestore.js';
import type { Condition, Write } from '../wire/state.js';
import type { ClusterStateCache } from './clusterstatecache.js';
import type { LeaseKeeper } from './leasekeeper.js';

/** A key that this node is to hold, at the version that it has now; 0: nobody holds it. */
export interface HolderSwap {
  readonly key: string;
  readonly version: number;
  /** Further conditions and writes of the same transaction. */
  readonly conditions: readonly Condition[];
  readonly writes: readonly Write[];
}

/** Takes keys that hang on this node's lease. */
export class Claims {
  constructor(
    private readonly store: StateStore,
    private readonly log: Log,
    private readonly stateCache: ClusterStateCache,
    private readonly lease: LeaseKeeper,
  ) {}

  /** Tries to take a key that nobody holds; returns its version, the term, when this node has it. */
  async claim(key: string): Promise<number | null> {
    try {
      return await this.compareAndSwapHolder({ key, version: 0, conditions: [], writes: [] });
    } catch (error) {
      this.log.debug({ key, err: error }, 'claim failed');
      return null;
    }
  }

  /**
   * Takes a key at a version. Returns the key's new version when this node has it under its present lease, null when it
   * surely has not and never will by this try; throws `StateStoreError` when the key-value store did not say.
   */
  async compareAndSwapHolder({ key, version, conditions, writes }: HolderSwap): Promise<number | null> {
    const lease = this.lease.leaseId;
    // Not null: an earlier try that got no answer may still be applied.
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

  /** Whether a swap that was refused, or got no answer, has been applied all the same. */
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
