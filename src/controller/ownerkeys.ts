import type { ControllerContext } from '../context/context.js';
import { KEYS } from '../schema/schema.js';
import type { Membership } from './membership.js';

/** Claims and releases of the keys that say who owns a shard and who leads, one at a time for each key. */
export class OwnerKeys {
  private readonly inFlight = new Set<string>();

  constructor(
    private readonly context: ControllerContext,
    private readonly members: Membership,
  ) {}

  /** Whether a claim, release or handover of a key is under way. */
  isInFlight(key: string): boolean {
    return this.inFlight.has(key);
  }

  /** Marks a key as in flight until `work` ends. */
  async during<T>(key: string, work: () => Promise<T>): Promise<T> {
    this.inFlight.add(key);
    try {
      return await work();
    } finally {
      this.inFlight.delete(key);
    }
  }

  /** Claims a key that nobody holds; `onClaimed` gets its version, the term, when this node has it. */
  claim(key: string, onClaimed: (term: number) => void): void {
    this.inFlight.add(key);
    void this.members
      .claim(key)
      .then((term) => {
        if (term !== null) onClaimed(term);
      })
      .finally(() => this.inFlight.delete(key));
  }

  /** Lets another node claim a shard that this one has stopped owning under a term; failures are only logged. */
  async release(shard: number, term: number): Promise<void> {
    const key = KEYS.owner(shard);
    try {
      const deleted = await this.context.store.compareAndSwap([{ key, version: term }], [{ delete: key }]);
      if (deleted.ok) this.members.stateCache.remove(key, deleted.revision);
    } catch (error) {
      this.context.log.info({ shard, err: error }, 'shard release failed');
    }
  }

  /** As `release`, with the key in flight until it ends. */
  startRelease(shard: number, term: number): void {
    const key = KEYS.owner(shard);
    this.inFlight.add(key);
    void this.release(shard, term).finally(() => this.inFlight.delete(key));
  }
}
