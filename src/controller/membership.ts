import { ChangeFeed } from '../changefeed/changefeed.js';
import type { PresentNode } from '../changefeed/sourceorder.js';
import type { Clock } from '../clock/clock.js';
import type { Log } from '../config/log.js';
import { KEYS, type LeaseHolder, readLeaseHolder } from '../schema/schema.js';
import type { StateStore } from '../state/statestore.js';
import type { Entry } from '../wire/state.js';
import { Claims, type HolderSwap } from './claims.js';
import { ClusterStateCache } from './clusterstatecache.js';
import { LeaseKeeper } from './leasekeeper.js';
import { type NodeIdentity, Presence, publishProtocolVersion } from './presence.js';

/** A node whose lease renewals have failed for this long stops relaying changes to other nodes. */
const STATE_STORE_UNREACHABLE_MS = 1000;

/** Dependencies and settings of `Membership`, and its callbacks. */
export interface MembershipOptions {
  readonly clock: Clock;
  readonly store: StateStore;
  readonly log: Log;
  readonly identity: NodeIdentity;
  /** Duration of this node's lease, in milliseconds. */
  readonly leaseMs: number;
  /** This node's even share of the key-value store's request rate, in requests per second. */
  readonly requestsPerSecond: number;
  regionOf(node: string): string;
  /** Called when a key of the cluster's state has changed; `entry` is null when the key was deleted. */
  onChange(key: string, entry: Entry | null): void;
  onLeaseLost(): void;
}

/** An owner and its term, known from a source that may be newer than the cache of the keys. */
interface KnownOwner {
  readonly owner: LeaseHolder;
  readonly term: number;
}

/**
 * This node's view of the cluster's members and of the shards' owners, together with its own lease, presence and
 * claims.
 */
export class Membership {
  readonly stateCache: ClusterStateCache;
  /** The source of the changes that the cache of the keys receives. */
  readonly changeFeed: ChangeFeed;
  private readonly lease: LeaseKeeper;
  private readonly claims: Claims;
  /**
   * Successors of shards that this node has handed over, kept until the cache shows a term newer than this node's.
   */
  private readonly successors = new Map<number, KnownOwner>();
  /** Owners that announced themselves directly, where the announcement is newer than the cache. */
  private readonly announcedOwners = new Map<number, KnownOwner>();

  constructor(private readonly options: MembershipOptions) {
    const { clock, store, log, identity, leaseMs } = options;
    this.lease = new LeaseKeeper({
      clock,
      store,
      log,
      identity,
      presence: new Presence(store, identity),
      leaseMs,
      onLeaseLost: () => options.onLeaseLost(),
    });
    this.changeFeed = new ChangeFeed(clock, store, log, {
      node: identity.node,
      prefix: KEYS.cluster,
      regionOf: (node) => options.regionOf(node),
      requestsPerSecond: options.requestsPerSecond,
      presentNodes: () => this.changeSources(),
      isStateStoreReachable: () => this.lease.renewalFailingMs < STATE_STORE_UNREACHABLE_MS,
    });
    this.stateCache = new ClusterStateCache(clock, this.changeFeed, KEYS.cluster, log, (key, entry) =>
      options.onChange(key, entry),
    );
    this.claims = new Claims(store, log, this.stateCache, this.lease);
  }

  /** Joins the cluster and keeps the lease renewed; resolves when this node has joined. */
  async start(): Promise<void> {
    void this.stateCache.run();
    await this.lease.start();
    void publishProtocolVersion(this.options.identity, this.options);
  }

  /** Revokes the lease and with it all keys attached to it, permanently. */
  leave(): Promise<void> {
    return this.lease.leave();
  }

  // --- this node's lease and the keys attached to it

  /** Whether the lease is guaranteed to be valid, counted from when its last answered renewal was sent. */
  get holdsLease(): boolean {
    return this.lease.holdsLease;
  }

  /** Whether the lease with this id is the current one and guaranteed to be valid. */
  holdsLeaseId(lease: number): boolean {
    return this.lease.holdsLeaseId(lease);
  }

  /** Id of the lease under which this node joined; null when there is none. */
  get leaseId(): number | null {
    return this.lease.leaseId;
  }

  /** The value that identifies this node in the keys that it holds. */
  get holder(): LeaseHolder {
    return this.lease.holder;
  }

  /**
   * Returns whether this node holds a key under its current lease, not an earlier one (see `LeaseKeeper.isHeldHere`).
   */
  isHeldHere(value: unknown): boolean {
    return this.lease.isHeldHere(value);
  }

  /** Time since the last answered renewal or grant of the lease was sent, in milliseconds. */
  get leaseRenewedAgoMs(): number {
    return this.lease.renewedAgoMs;
  }

  /** Time for which renewals have been failing, in milliseconds; 0 when the last one succeeded. */
  get renewalFailingMs(): number {
    return this.lease.renewalFailingMs;
  }

  /**
   * Publishes to the other nodes whether this node is cordoned. Throws `StateStoreError` when the write is not
   * confirmed; the write is then retried with a later renewal of the lease.
   */
  publishCordoned(cordoned: boolean): Promise<void> {
    return this.lease.publishCordoned(cordoned);
  }

  /**
   * Tries to claim a key without a holder. Returns its version, which is the term, when this node holds it; else
   * null.
   */
  claim(key: string): Promise<number | null> {
    return this.claims.claim(key);
  }

  /** Takes a key if it is still at the expected version (see `Claims.compareAndSwapHolder`). */
  compareAndSwapHolder(swap: HolderSwap): Promise<number | null> {
    return this.claims.compareAndSwapHolder(swap);
  }

  // --- the other nodes

  /** Returns the presence record of a node; null when the node is not present. */
  presenceOf(node: string): LeaseHolder | null {
    const entry = this.stateCache.entries.get(KEYS.node(node));
    return entry ? readLeaseHolder(entry.value) : null;
  }

  isPresent(node: string): boolean {
    return this.stateCache.entries.has(KEYS.node(node));
  }

  /** Returns whether a node is cordoned, which leaves its shards to other nodes. */
  isNodeCordoned(node: string): boolean {
    return this.presenceOf(node)?.cordoned === true;
  }

  /** Returns the leader node; null when none is known. */
  leader(): string | null {
    const entry = this.stateCache.entries.get(KEYS.leader);
    return (entry && readLeaseHolder(entry.value)?.node) ?? null;
  }

  /**
   * Returns whether all given nodes support a protocol version. For a node that is present, the version in its
   * presence record counts, so that a node restarted with an older version is recognized as such. For an absent node,
   * the version that it stored last counts.
   */
  allSupport(nodes: readonly string[], version: number): boolean {
    return nodes.every((node) => {
      if (this.isPresent(node)) return (this.presenceOf(node)?.protocolVersion ?? 1) >= version;
      const stored = this.stateCache.entries.get(KEYS.protocolVersion(node))?.value;
      return typeof stored === 'number' && stored >= version;
    });
  }

  /** Returns the nodes that are present and relay changes. */
  private changeSources(): PresentNode[] {
    const present: PresentNode[] = [];
    for (const [key, entry] of this.stateCache.entries) {
      if (!key.startsWith(KEYS.nodes)) continue;
      const holder = readLeaseHolder(entry.value);
      if (holder?.servesChanges) present.push({ node: holder.node, version: entry.version });
    }
    return present;
  }

  // --- the owners of shards

  /**
   * Returns the owner of a shard by the newest information that this node has; null when the shard has no owner. The
   * result is only a hint.
   */
  owner(shard: number): LeaseHolder | null {
    const entry = this.stateCache.entries.get(KEYS.owner(shard));
    const successor = this.successors.get(shard);
    if (successor && (entry?.version ?? 0) <= successor.term) return successor.owner;
    const announced = this.announcedOwners.get(shard);
    if (announced && (entry?.version ?? 0) < announced.term) return announced.owner;
    return entry ? readLeaseHolder(entry.value) : null;
  }

  /**
   * Records a node's announcement that it owns a shard. Terms are revisions, so the larger term is the newer one. The
   * announcement is the only way in which a node that is cut off from the key-value store learns of the next owner.
   * Like the cache, it is only a hint.
   */
  onOwnerAnnounced(shard: number, owner: LeaseHolder, term: number): void {
    if (term > (this.announcedOwners.get(shard)?.term ?? 0)) this.announcedOwners.set(shard, { owner, term });
  }

  /** Returns whether the known owner of a shard comes from that owner's own announcement. */
  ownerHasAnnounced(shard: number): boolean {
    return this.announcedOwners.has(shard);
  }

  /**
   * Records the node to which this node hands over a shard that it owned under `term`; null when the handover failed.
   */
  setSuccessor(shard: number, to: LeaseHolder | null, term: number): void {
    if (to) this.successors.set(shard, { owner: to, term });
    else this.successors.delete(shard);
  }

  /** Returns the node to which this node has handed over a shard; null once a newer owner is known. */
  successor(shard: number): LeaseHolder | null {
    const successor = this.successors.get(shard);
    return successor && this.owner(shard) === successor.owner ? successor.owner : null;
  }

  /**
   * Handles a change of a shard's owner record: drops an announcement that is not newer than the record, or whose
   * record was deleted, and a successor whose term is older than the record.
   */
  onOwnerRecordChanged(shard: number): void {
    const entry = this.stateCache.entries.get(KEYS.owner(shard));
    if (!entry || entry.version >= (this.announcedOwners.get(shard)?.term ?? 0))
      this.announcedOwners.delete(shard);
    if (entry && entry.version > (this.successors.get(shard)?.term ?? 0)) this.successors.delete(shard);
  }
}
