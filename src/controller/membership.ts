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

/** A node whose renewals have not been answered for so long passes no changes on. */
const STATE_STORE_UNREACHABLE_MS = 1000;

/** Clients and settings of a member, and what it reports to the node that it is part of. */
export interface MembershipOptions {
  readonly clock: Clock;
  readonly store: StateStore;
  readonly log: Log;
  readonly identity: NodeIdentity;
  /** How long this node's lease lasts, in milliseconds. */
  readonly leaseMs: number;
  /** This node's even share of the key-value store's requests, a second. */
  readonly requestsPerSecond: number;
  regionOf(node: string): string;
  /** A key of the cluster's state has changed; null: it is gone. */
  onChange(key: string, entry: Entry | null): void;
  onLeaseLost(): void;
}

/** An owner as something newer than the copy of the keys shows it. */
interface KnownOwner {
  readonly owner: LeaseHolder;
  readonly term: number;
}

/**
 * The members of the cluster and the owners of its shards as this node sees them, and this node's own lease, presence
 * and claims.
 */
export class Membership {
  readonly stateCache: ClusterStateCache;
  /** Where the copy of the keys gets its changes. */
  readonly changeFeed: ChangeFeed;
  private readonly lease: LeaseKeeper;
  private readonly claims: Claims;
  /** Who takes a shard that this node has handed over, until the copy shows more than this node's own term. */
  private readonly successors = new Map<number, KnownOwner>();
  /** Owners as the nodes themselves have announced them, where that is newer than what the copy shows. */
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

  /** Resolves when this node has joined; it renews its lease from then on. */
  async start(): Promise<void> {
    void this.stateCache.run();
    await this.lease.start();
    void publishProtocolVersion(this.options.identity, this.options);
  }

  /** Gives up the lease and all that hangs on it, for good. */
  leave(): Promise<void> {
    return this.lease.leave();
  }

  // --- this node's lease and what hangs on it

  /** True while the lease surely lasts, counted from when its renewal was sent. */
  get holdsLease(): boolean {
    return this.lease.holdsLease;
  }

  /** True while this very lease surely lasts. */
  holdsLeaseId(lease: number): boolean {
    return this.lease.holdsLeaseId(lease);
  }

  /** The lease that this node has joined with; null without one. */
  get leaseId(): number | null {
    return this.lease.leaseId;
  }

  /** How this node shows itself in the keys that it holds. */
  get holder(): LeaseHolder {
    return this.lease.holder;
  }

  /** Whether a key is this node's by the lease that it has now, not by an earlier one (`LeaseKeeper.isHeldHere`). */
  isHeldHere(value: unknown): boolean {
    return this.lease.isHeldHere(value);
  }

  /** How long ago a renewal of the lease was sent that the key-value store has answered, in milliseconds. */
  get leaseRenewedAgoMs(): number {
    return this.lease.renewedAgoMs;
  }

  /** For how long no renewal has been answered, in milliseconds; 0 while they are. */
  get renewalFailingMs(): number {
    return this.lease.renewalFailingMs;
  }

  /** Shows the others whether this node takes shards. Throws `StateStoreError`; tried again with a later renewal of the lease. */
  publishCordoned(cordoned: boolean): Promise<void> {
    return this.lease.publishCordoned(cordoned);
  }

  /** Tries to take a key that nobody holds; returns its version, the term, when this node has it. */
  claim(key: string): Promise<number | null> {
    return this.claims.claim(key);
  }

  /** Takes a key at a version (`Claims.compareAndSwapHolder`). */
  compareAndSwapHolder(swap: HolderSwap): Promise<number | null> {
    return this.claims.compareAndSwapHolder(swap);
  }

  // --- the other nodes

  /** How a node that is present shows itself. */
  presenceOf(node: string): LeaseHolder | null {
    const entry = this.stateCache.entries.get(KEYS.node(node));
    return entry ? readLeaseHolder(entry.value) : null;
  }

  isPresent(node: string): boolean {
    return this.stateCache.entries.has(KEYS.node(node));
  }

  /** Whether a node leaves its shards to others. */
  isNodeCordoned(node: string): boolean {
    return this.presenceOf(node)?.cordoned === true;
  }

  /** The node that leads; null when none is known. */
  leader(): string | null {
    const entry = this.stateCache.entries.get(KEYS.leader);
    return (entry && readLeaseHolder(entry.value)?.node) ?? null;
  }

  /**
   * Whether every one of these nodes understands a version. A node that is present says so itself, so that one that came
   * back with an older version counts as that; of one that is away, the last that it said counts.
   */
  allSupport(nodes: readonly string[], version: number): boolean {
    return nodes.every((node) => {
      if (this.isPresent(node)) return (this.presenceOf(node)?.protocolVersion ?? 1) >= version;
      const stored = this.stateCache.entries.get(KEYS.protocolVersion(node))?.value;
      return typeof stored === 'number' && stored >= version;
    });
  }

  /** Nodes that are present and pass changes on. */
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

  /** The owner of a shard by the newest that this node knows; null when nobody has it. A hint only. */
  owner(shard: number): LeaseHolder | null {
    const entry = this.stateCache.entries.get(KEYS.owner(shard));
    const successor = this.successors.get(shard);
    if (successor && (entry?.version ?? 0) <= successor.term) return successor.owner;
    const announced = this.announcedOwners.get(shard);
    if (announced && (entry?.version ?? 0) < announced.term) return announced.owner;
    return entry ? readLeaseHolder(entry.value) : null;
  }

  /**
   * A node announces that a shard is its own. Terms are revisions, so the larger one is the newer; a node that is cut off
   * from the key-value store learns of the next owner in no other way. It serves as a hint, as the copy does.
   */
  onOwnerAnnounced(shard: number, owner: LeaseHolder, term: number): void {
    if (term > (this.announcedOwners.get(shard)?.term ?? 0)) this.announcedOwners.set(shard, { owner, term });
  }

  /** Whether what is known of a shard's owner comes from that owner. */
  ownerHasAnnounced(shard: number): boolean {
    return this.announcedOwners.has(shard);
  }

  /** A shard is handed over under a term; null: to nobody after all. */
  setSuccessor(shard: number, to: LeaseHolder | null, term: number): void {
    if (to) this.successors.set(shard, { owner: to, term });
    else this.successors.delete(shard);
  }

  /** The node that this one has handed a shard to, as long as nothing newer is known. */
  successor(shard: number): LeaseHolder | null {
    const successor = this.successors.get(shard);
    return successor && this.owner(shard) === successor.owner ? successor.owner : null;
  }

  /** What the nodes have announced is of no more use than what the key-value store shows afterwards. */
  onOwnerRecordChanged(shard: number): void {
    const entry = this.stateCache.entries.get(KEYS.owner(shard));
    if (!entry || entry.version >= (this.announcedOwners.get(shard)?.term ?? 0))
      this.announcedOwners.delete(shard);
    if (entry && entry.version > (this.successors.get(shard)?.term ?? 0)) this.successors.delete(shard);
  }
}
