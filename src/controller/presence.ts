import type { Clock } from '../clock/clock.js';
import type { Log } from '../config/log.js';
import { KEYS, type LeaseHolder, readLeaseHolder, writeLeaseHolder } from '../schema/schema.js';
import { type StateStore, StateStoreError } from '../state/statestore.js';

const VERSION_RETRY_MS = 2000;

/** Properties of a node that do not change while its process runs. */
export interface NodeIdentity {
  readonly node: string;
  /** Id of this run of the node's process; names derived from it are never used by another run. */
  readonly incarnation: string;
  /** The version of records and messages that this node supports. */
  readonly protocolVersion: number;
  /** Whether this node can be a standby for shards. */
  readonly standbyCapable: boolean;
}

/**
 * This node's presence record in the key-value store, which shows the other nodes that it is running, and its
 * properties.
 */
export class Presence {
  private cordoned = false;
  private published = false;

  constructor(
    private readonly store: StateStore,
    private readonly identity: NodeIdentity,
  ) {}

  /** Whether the stored presence is confirmed to show the current cordoned state. */
  get isPublished(): boolean {
    return this.published;
  }

  /** Sets whether this node is cordoned, and so takes no shards; stored by the next `publish`. */
  setCordoned(cordoned: boolean): void {
    this.cordoned = cordoned;
    this.published = false;
  }

  private record(lease: number): LeaseHolder {
    const { node, incarnation, protocolVersion, standbyCapable } = this.identity;
    return {
      node,
      incarnation,
      leaseId: lease,
      protocolVersion,
      servesChanges: true,
      ...(standbyCapable && { standbyCapable: true }),
      ...(this.cordoned && { cordoned: true }),
    };
  }

  /**
   * Writes this node's presence, on the condition that the stored record is the one just read. Without this
   * condition, a duplicate that the network delivers late would restore a presence attached to a lease that is about
   * to end, and the node would then be absent permanently. Throws `StateStoreError` when the write is not confirmed.
   */
  async publish(lease: number): Promise<void> {
    const key = KEYS.node(this.identity.node);
    const record = this.record(lease);
    const value = writeLeaseHolder(record);
    const version = (await this.store.get(key))?.version ?? 0;
    try {
      const written = await this.store.compareAndSwap([{ key, version }], [{ put: key, value, lease }], {
        urgent: true,
      });
      this.published = written.ok;
    } catch (error) {
      if (!(error instanceof StateStoreError) || !error.mayHaveApplied) throw error;
      const stored = await this.store.get(key);
      this.published =
        JSON.stringify(stored && readLeaseHolder(stored.value)) === JSON.stringify(readLeaseHolder(value));
    }
    if (!this.published) throw new StateStoreError('presence is not decided', true);
    // The node was cordoned or uncordoned during the write, so the written record is out of date.
    if ((record.cordoned === true) !== this.cordoned) this.published = false;
  }

  /**
   * Revokes the lease of an earlier run of this node, which is dead, so that other nodes need not wait for it to
   * expire.
   */
  async revokeFormerIncarnation(): Promise<void> {
    const former = await this.store.get(KEYS.node(this.identity.node));
    const holder = former && readLeaseHolder(former.value);
    if (holder && holder.incarnation !== this.identity.incarnation) await this.store.revoke(holder.leaseId);
  }
}

/** Stores the protocol version of this node permanently; retries every 2 s until it succeeds. */
export async function publishProtocolVersion(
  identity: NodeIdentity,
  services: { readonly clock: Clock; readonly store: StateStore; readonly log: Log },
): Promise<void> {
  const { node, protocolVersion } = identity;
  const { clock, store, log } = services;
  const key = KEYS.protocolVersion(node);
  try {
    const stored = await store.get(key);
    if (stored?.value === protocolVersion) return;
    // The condition makes a late duplicate of this write fail if a later version has stored its own value.
    const condition = { key, version: stored?.version ?? 0 };
    const written = await store.compareAndSwap([condition], [{ put: key, value: protocolVersion }]);
    if (!written.ok) throw new StateStoreError('another version was stored meanwhile', false);
  } catch (error) {
    log.info({ err: error }, 'protocol version update failed');
    clock.after(VERSION_RETRY_MS, () => void publishProtocolVersion(identity, services));
  }
}
