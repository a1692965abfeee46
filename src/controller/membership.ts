import { ChangeFeed } from '../changefeed/changefeed.js';
import type { PresentNode } from '../changefeed/sourceorder.js';
import { type Clock, MAX_CLOCK_DRIFT, pause } from '../clock/clock.js';
import type { Log } from '../config/log.js';
import { KEYS, type LeaseHolder, readLeaseHolder, writeLeaseHolder } from '../schema/schema.js';
import { type StateStore, StateStoreError } from '../state/statestore.js';
import type { Condition, Write } from '../wire/state.js';
import { ClusterStateCache } from './clusterstatecache.js';

/** Of its lease, when a node renews it, and how long it waits for the answer. */
const RENEW_INTERVAL_SHARE = 1 / 4;
const RENEW_TIMEOUT_SHARE = 3 / 16;
const RETRY_MS = 400;
const LEASE_MARGIN_MS = 150;
/** A node whose renewals have not been answered for so long passes no changes on. */
const STATE_STORE_UNREACHABLE_MS = 1000;

/**
 * This node's lease in the state service and what hangs on it: its presence, the shards it owns and, for one node,
 * the leadership.
 */
export class Membership {
  readonly stateCache: ClusterStateCache;
  /** Where the copy of the keys gets its changes. */
  readonly changeFeed: ChangeFeed;
  private leaseIdOrNull: number | null = null;
  private leaseValidUntil = Number.NEGATIVE_INFINITY;
  private left = false;
  /** Whether this node takes no shards, and whether its presence is sure to say so. */
  private isCordoned = false;
  private presencePublished = false;
  private leaseRenewedAt = Number.NEGATIVE_INFINITY;
  private renewalFailingSince: number | null = null;
  /** Who takes a shard that this node has handed over, until the copy shows more than this node's own term. */
  private readonly successors = new Map<number, { owner: LeaseHolder; term: number }>();
  /** Owners as the nodes themselves have told, where that is newer than what this copy shows. */
  private readonly announcedOwners = new Map<number, { owner: LeaseHolder; term: number }>();

  constructor(
    private readonly clock: Clock,
    private readonly store: StateStore,
    private readonly node: string,
    private readonly incarnation: string,
    private readonly log: Log,
    onChange: ClusterStateCache['entries'] extends Map<string, infer E>
      ? (key: string, entry: E | null) => void
      : never,
    private readonly onLeaseLost: () => void,
    /** Which version of records and messages this node understands. */
    private readonly protocolVersion: number,
    /** Whether this node stands by for shards. */
    private readonly standbyCapable: boolean,
    /** How long its lease lasts, in milliseconds. */
    private readonly leaseMs: number,
    regionOf: (node: string) => string,
    /** Its even part of the state service's requests, a second. */
    requestsPart: number,
  ) {
    this.changeFeed = new ChangeFeed(clock, store, log, {
      node,
      prefix: KEYS.cluster,
      regionOf,
      requestsPerSecond: requestsPart,
      presentNodes: () => this.changeSources(),
      isStateStoreReachable: () => this.renewalFailingMs < STATE_STORE_UNREACHABLE_MS,
    });
    this.stateCache = new ClusterStateCache(clock, this.changeFeed, KEYS.cluster, log, onChange);
  }

  /** Nodes that are present and pass changes on. */
  private changeSources(): PresentNode[] {
    const present: PresentNode[] = [];
    for (const [key, e] of this.stateCache.entries) {
      if (!key.startsWith(KEYS.nodes)) continue;
      const holder = readLeaseHolder(e.value);
      if (holder?.servesChanges) present.push({ node: holder.node, version: e.version });
    }
    return present;
  }

  /** True while the lease surely lasts, counted from when its renewal was sent. */
  get holdsLease(): boolean {
    return this.leaseIdOrNull !== null && this.clock.now() < this.leaseValidUntil;
  }

  /**
   * Whether a key is this node's by the lease that it has now. A key that hung on an earlier lease is lost even while
   * this copy still shows it: the node must not act on it under its new lease.
   */
  isHeldHere(value: unknown): boolean {
    const h = readLeaseHolder(value);
    return (
      h !== null &&
      h.incarnation === this.incarnation &&
      this.leaseIdOrNull !== null &&
      h.leaseId === this.leaseIdOrNull
    );
  }

  /** True while this very lease surely lasts. */
  holdsLeaseId(lease: number): boolean {
    return this.leaseIdOrNull === lease && this.holdsLease;
  }

  get leaseId(): number | null {
    return this.leaseIdOrNull;
  }

  get holder(): LeaseHolder {
    return { node: this.node, incarnation: this.incarnation, leaseId: this.leaseIdOrNull ?? 0 };
  }

  private get presence(): LeaseHolder {
    return {
      ...this.holder,
      protocolVersion: this.protocolVersion,
      servesChanges: true,
      ...(this.standbyCapable && { standbyCapable: true }),
      ...(this.isCordoned && { cordoned: true }),
    };
  }

  /**
   * Whether every one of these nodes understands a version. A node that is there says so itself, so that one that came back
   * with an older version counts as that; of one that is away, the last that it said counts.
   */
  allSupport(nodes: readonly string[], level: number): boolean {
    return nodes.every((n) => {
      if (this.isPresent(n)) return (this.presenceOf(n)?.protocolVersion ?? 1) >= level;
      const said = this.stateCache.entries.get(KEYS.protocolVersion(n))?.value;
      return typeof said === 'number' && said >= level;
    });
  }

  /** Says for good what this node understands. */
  private async publishProtocolVersion(): Promise<void> {
    const key = KEYS.protocolVersion(this.node);
    try {
      const known = await this.store.get(key);
      if (known?.value === this.protocolVersion) return;
      // A copy that comes late finds what a later version has said.
      const when = [{ key, version: known?.version ?? 0 }];
      const told = await this.store.compareAndSwap(when, [{ put: key, value: this.protocolVersion }]);
      if (!told.ok) throw new StateStoreError('something else was said meanwhile', false);
    } catch (error) {
      this.log.info({ err: error }, 'protocol version not told');
      this.clock.after(RETRY_MS * 5, () => void this.publishProtocolVersion());
    }
  }

  owner(shard: number): LeaseHolder | null {
    const e = this.stateCache.entries.get(KEYS.owner(shard));
    const successor = this.successors.get(shard);
    if (successor && (e?.version ?? 0) <= successor.term) return successor.owner;
    const told = this.announcedOwners.get(shard);
    if (told && (e?.version ?? 0) < told.term) return told.owner;
    return e ? readLeaseHolder(e.value) : null;
  }

  /**
   * A node says that a shard is its own. Terms are revisions, so the larger one is the newer; a node that is cut off from
   * the state service learns of the next owner in no other way. It serves as a hint, as the copy does.
   */
  onOwnerAnnounced(shard: number, owner: LeaseHolder, term: number): void {
    if (term > (this.announcedOwners.get(shard)?.term ?? 0)) this.announcedOwners.set(shard, { owner, term });
  }

  /** A shard is handed over under a term; null: to nobody after all. */
  setSuccessor(shard: number, to: LeaseHolder | null, term: number): void {
    if (to) this.successors.set(shard, { owner: to, term });
    else this.successors.delete(shard);
  }

  /** The node that this one has handed a shard to, as long as nothing newer is known. */
  successor(shard: number): LeaseHolder | null {
    const s = this.successors.get(shard);
    return s && this.owner(shard) === s.owner ? s.owner : null;
  }

  /** How a node that is there has shown itself. */
  presenceOf(node: string): LeaseHolder | null {
    const e = this.stateCache.entries.get(KEYS.node(node));
    return e ? readLeaseHolder(e.value) : null;
  }

  /** How long ago a renewal of the lease was sent that the state service has answered. */
  get leaseRenewedAgoMs(): number {
    return this.clock.now() - this.leaseRenewedAt;
  }

  /** For how long no renewal has been answered; 0 while they are. */
  get renewalFailingMs(): number {
    return this.renewalFailingSince === null ? 0 : this.clock.now() - this.renewalFailingSince;
  }

  /** Whether what is known of a shard's owner comes from that owner. */
  ownerHasAnnounced(shard: number): boolean {
    return this.announcedOwners.has(shard);
  }

  /** What the nodes have told is of no more use than what the state service shows afterwards. */
  onOwnerRecordChanged(shard: number): void {
    const e = this.stateCache.entries.get(KEYS.owner(shard));
    if (!e || e.version >= (this.announcedOwners.get(shard)?.term ?? 0)) this.announcedOwners.delete(shard);
    if (e && e.version > (this.successors.get(shard)?.term ?? 0)) this.successors.delete(shard);
  }

  leader(): string | null {
    const e = this.stateCache.entries.get(KEYS.leader);
    return (e && readLeaseHolder(e.value)?.node) ?? null;
  }

  isPresent(node: string): boolean {
    return this.stateCache.entries.has(KEYS.node(node));
  }

  /** Whether a node leaves its shards to others. */
  isNodeCordoned(node: string): boolean {
    return this.presenceOf(node)?.cordoned === true;
  }

  /** Tells the others whether this node takes shards; what cannot be told now is told with a later renewal of the lease. */
  async publishCordoned(withdrawn: boolean): Promise<void> {
    this.isCordoned = withdrawn;
    this.presencePublished = false;
    if (this.leaseIdOrNull !== null) await this.publishPresence(this.leaseIdOrNull);
  }

  /**
   * Writes this node's presence, in place of what is known to be there only: a copy that the network delivers late would bring back
   * the presence of a lease that ends, and the node would be absent for good.
   */
  private async publishPresence(lease: number): Promise<void> {
    const key = KEYS.node(this.node);
    const value = writeLeaseHolder({ ...this.presence, leaseId: lease });
    const version = (await this.store.get(key))?.version ?? 0;
    try {
      const written = await this.store.compareAndSwap([{ key, version }], [{ put: key, value, lease }], {
        urgent: true,
      });
      this.presencePublished = written.ok;
    } catch (error) {
      if (!(error instanceof StateStoreError) || !error.mayHaveApplied) throw error;
      const stored = await this.store.get(key);
      this.presencePublished =
        JSON.stringify(stored && readLeaseHolder(stored.value)) === JSON.stringify(readLeaseHolder(value));
    }
    if (!this.presencePublished) throw new StateStoreError('presence is not decided', true);
    if (value.aside !== this.presence.cordoned) this.presencePublished = false;
  }

  async start(): Promise<void> {
    void this.stateCache.run();
    for (;;) {
      try {
        await this.revokeFormerIncarnation();
        await this.join();
        break;
      } catch (error) {
        this.log.info({ err: error }, 'joining failed');
        await pause(this.clock, RETRY_MS);
      }
    }
    void this.renewLease();
    void this.publishProtocolVersion();
  }

  /** A run of this node before this one is dead: its lease need not be waited out. */
  private async revokeFormerIncarnation(): Promise<void> {
    const former = await this.store.get(KEYS.node(this.node));
    const holder = former && readLeaseHolder(former.value);
    if (holder && holder.incarnation !== this.incarnation) await this.store.revoke(holder.leaseId);
  }

  private async join(): Promise<void> {
    const sent = this.clock.now();
    const lease = await this.store.grant(this.leaseMs);
    await this.publishPresence(lease);
    this.leaseIdOrNull = lease;
    this.extendLease(sent);
  }

  private extendLease(sent: number): void {
    this.leaseValidUntil = Math.max(
      this.leaseValidUntil,
      sent + this.leaseMs * (1 - 2 * MAX_CLOCK_DRIFT) - LEASE_MARGIN_MS,
    );
    this.leaseRenewedAt = Math.max(this.leaseRenewedAt, sent);
    this.renewalFailingSince = null;
  }

  /** Gives up the lease and all that hangs on it, for good. */
  async leave(): Promise<void> {
    const lease = this.leaseIdOrNull;
    this.left = true;
    this.leaseIdOrNull = null;
    this.leaseValidUntil = Number.NEGATIVE_INFINITY;
    if (lease !== null) await this.store.revoke(lease);
  }

  private async renewLease(): Promise<void> {
    const renewMs = this.leaseMs * RENEW_INTERVAL_SHARE;
    let wait = renewMs;
    for (;;) {
      await pause(this.clock, wait);
      if (this.left) return;
      wait = RETRY_MS;
      const begun = this.clock.now();
      try {
        if (this.leaseIdOrNull === null) {
          await this.join();
          wait = renewMs;
          continue;
        }
        const sent = this.clock.now();
        if (await this.store.renew(this.leaseIdOrNull, this.leaseMs * RENEW_TIMEOUT_SHARE)) {
          this.extendLease(sent);
          wait = renewMs;
          // Beside it: a write that waits for its answer must not keep the lease from its next renewal.
          if (!this.presencePublished)
            void this.publishPresence(this.leaseIdOrNull).catch((error) =>
              this.log.debug({ err: error }, 'presence not told'),
            );
        } else {
          this.log.info('lease lost');
          this.leaseIdOrNull = null;
          this.leaseValidUntil = Number.NEGATIVE_INFINITY;
          this.onLeaseLost();
          wait = 0;
        }
      } catch (error) {
        this.renewalFailingSince ??= begun;
        this.log.debug({ err: error }, 'renewal failed');
      }
    }
  }

  /** Tries to take a key that nobody holds; returns its version, the term, when this node has it. */
  async claim(key: string): Promise<number | null> {
    try {
      return await this.compareAndSwapHolder(key, 0, [], []);
    } catch (error) {
      this.log.debug({ key, err: error }, 'claim failed');
      return null;
    }
  }

  /**
   * Takes a key at a version, with further conditions and writes in the same transaction. Returns the key's new version when
   * this node has it under its present lease, null when it surely has not and never will by this try; throws `StateFailure`
   * when the state service did not say.
   */
  async compareAndSwapHolder(
    key: string,
    version: number,
    when: Condition[],
    writes: Write[],
  ): Promise<number | null> {
    // Not null: an earlier try that got no answer may still be applied.
    if (!this.holdsLease || this.leaseIdOrNull === null) throw new StateStoreError('no lease', false);
    const lease = this.leaseIdOrNull;
    try {
      const own = { put: key, value: writeLeaseHolder(this.holder), lease };
      const result = await this.store.compareAndSwap([{ key, version }, ...when], [own, ...writes], {
        urgent: version > 0,
      });
      if (result.ok) {
        this.stateCache.apply({
          key,
          value: writeLeaseHolder({ ...this.holder, leaseId: lease }),
          version: result.revision,
        });
        return this.leaseIdOrNull === lease ? result.revision : null;
      }
      if (!result.failed.includes(key)) return null;
    } catch (error) {
      if (!(error instanceof StateStoreError) || !error.mayHaveApplied) throw error;
    }
    const e = await this.store.get(key);
    const holder = e && readLeaseHolder(e.value);
    if (!e || !holder) {
      if (version > 0 && !e) return null;
      throw new StateStoreError(`${key} is not decided`, true);
    }
    this.stateCache.apply(e);
    if (e.version === version) throw new StateStoreError(`${key} is not decided`, true);
    return this.isHeldHere(e.value) ? e.version : null;
  }
}
