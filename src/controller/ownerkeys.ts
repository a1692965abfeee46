import type { ControllerContext } from '../context/context.js';
import { KEYS } from '../schema/schema.js';
import type { Membership } from './membership.js';

/** Claims and releases the owner keys of shards and the leader key, with one operation at a time for each key. */
export class OwnerKeys {
  private readonly inFlight = new Set<string>();

  constructor(
    private readonly context: ControllerContext,
    private readonly members: Membership,
  ) {}

  /** Returns whether a claim, release or handover of a key is in flight. */
  isInFlight(key: string): boolean {
    return this.inFlight.has(key);
  }

  /** Runs `operation`, with the key marked as in flight until it ends. */
  async withKeyInFlight<T>(key: string, operation: () => Promise<T>): Promise<T> {
    this.inFlight.add(key);
    try {
      return await operation();
    } finally {
      this.inFlight.delete(key);
    }
  }

  /**
   * Claims a key without a holder. Calls `onClaimed` with its version, which is the term, when this node holds it.
   */
  claim(key: string, onClaimed: (term: number) => void): void {
    this.inFlight.add(key);
    void this.members
      .claim(key)
      .then((term) => {
        if (term !== null) onClaimed(term);
      })
      .finally(() => this.inFlight.delete(key));
  }

  /**
   * Deletes the owner key of a shard that this node has stopped owning under a term, so that another node can claim
   * it. Failures are only logged.
   */
  async release(shard: number, term: number): Promise<void> {
    const key = KEYS.owner(shard);
    try {
      const deleted = await this.context.store.compareAndSwap([{ key, version: term }], [{ delete: key }]);
      if (deleted.ok) this.members.stateCache.remove(key, deleted.revision);
    } catch (error) {
      this.context.log.info({ shard, err: error }, 'shard release failed');
    }
  }

  /** Starts a `release`, with the key marked as in flight until it ends. */
  startRelease(shard: number, term: number): void {
    const key = KEYS.owner(shard);
    this.inFlight.add(key);
    void this.release(shard, term).finally(() => this.inFlight.delete(key));
  }
}
