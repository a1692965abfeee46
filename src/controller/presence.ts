import type { Clock } from '../clock/clock.js';
import type { Log } from '../config/log.js';
import { KEYS, type LeaseHolder, readLeaseHolder, writeLeaseHolder } from '../schema/schema.js';
import { type StateStore, StateStoreError } from '../state/statestore.js';

const VERSION_RETRY_MS = 2000;

/** What a node says of itself for as long as it runs. */
export interface NodeIdentity {
  readonly node: string;
  /** Which run of the node's process: names that it uses are never used by another. */
  readonly incarnation: string;
  /** Which version of records and messages this node understands. */
  readonly protocolVersion: number;
  /** Whether this node stands by for shards. */
  readonly standbyCapable: boolean;
}

/** This node's presence in the key-value store: the key that shows the others that it is there, and how. */
export class Presence {
  private cordoned = false;
  private published = false;

  constructor(
    private readonly store: StateStore,
    private readonly identity: NodeIdentity,
  ) {}

  /** Whether the stored presence is sure to say whether this node is cordoned. */
  get isPublished(): boolean {
    return this.published;
  }

  /** Whether this node takes no shards; stored by the next `publish`. */
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
   * Writes this node's presence, in place of what is known to be there only: a copy that the network delivers late would
   * bring back the presence of a lease that ends, and the node would be absent for good. Throws `StateStoreError` when it
   * is not known to be written.
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
    // Cordoned or uncordoned meanwhile: what was written is out of date.
    if ((record.cordoned === true) !== this.cordoned) this.published = false;
  }

  /** A run of this node before this one is dead: its lease need not be waited out. */
  async revokeFormerIncarnation(): Promise<void> {
    const former = await this.store.get(KEYS.node(this.identity.node));
    const holder = former && readLeaseHolder(former.value);
    if (holder && holder.incarnation !== this.identity.incarnation) await this.store.revoke(holder.leaseId);
  }
}

/** Stores for good what this node understands; tried again every 2 s until it is stored. */
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
    // A copy of this write that comes late finds what a later version has stored.
    const condition = { key, version: stored?.version ?? 0 };
    const written = await store.compareAndSwap([condition], [{ put: key, value: protocolVersion }]);
    if (!written.ok) throw new StateStoreError('another version was stored meanwhile', false);
  } catch (error) {
    log.info({ err: error }, 'protocol version update failed');
    clock.after(VERSION_RETRY_MS, () => void publishProtocolVersion(identity, services));
  }
}
