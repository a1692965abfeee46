import type { ControllerContext } from '../context/context.js';
import type { PeerShards } from '../scheduler/responses.js';
import { Shard } from '../scheduler/shard.js';
import type { TakeoverState } from '../standby/standbyreplicas.js';
import type { StandbyReplicator } from '../standby/standbyreplicator.js';
import type { Membership } from './membership.js';
import type { StandbyCoordinator } from './standbycoordinator.js';

/** What the schedulers of shards are made with. */
export interface OwnedShardsOptions {
  readonly context: ControllerContext;
  readonly members: Membership;
  /** Filled and emptied here only; other parts read it. */
  readonly shards: Map<number, Shard>;
  /** What a shard here needs of the others. */
  readonly peerShards: PeerShards;
  /** Called when this node has begun to own a shard under a term. */
  onStarted(shard: number, term: number): void;
}

/** The schedulers of the shards that this node owns, with the owner's side of their standbys. */
export class OwnedShards {
  readonly shards: Map<number, Shard>;
  /**
   * Terms under which this node has owned a shard and does so no more. None is ever taken up again: tokens and attempts
   * would be those of the former ownership, whose orders may still be under way.
   */
  readonly retiredTerms = new Set<number>();
  /** Where standbys are enabled, from when the node starts: it needs the connections to the other nodes. */
  standbyCoordinator: StandbyCoordinator | null = null;
  private readonly replicators = new Map<number, StandbyReplicator>();

  constructor(private readonly options: OwnedShardsOptions) {
    this.shards = options.shards;
  }

  /** A shard's key is this node's, under a term; `takeover` is what a standby had replicated of it. */
  startOwning(index: number, term: number, takeover: TakeoverState | null = null): void {
    const { context, members, peerShards } = this.options;
    const lease = members.leaseId;
    if (lease === null || this.shards.has(index)) return;
    const replicator = this.standbyCoordinator?.createReplicator(index, term, lease) ?? null;
    if (replicator) this.replicators.set(index, replicator);
    const shard: Shard = new Shard({
      context,
      index,
      term,
      leaseCovers: () => members.holdsLeaseId(lease),
      onOwnershipLost: () => this.stopOwning(shard),
      peers: peerShards,
      replicator,
      takeover,
    });
    this.shards.set(index, shard);
    this.options.onStarted(index, term);
    void shard.start();
  }

  /** Ends a shard's scheduler for good, and retires its term. */
  stopOwning(shard: Shard): void {
    shard.stop();
    this.retiredTerms.add(shard.term);
    if (this.shards.get(shard.index) !== shard) return;
    this.shards.delete(shard.index);
    this.replicators.delete(shard.index);
  }

  stopOwningAll(): void {
    for (const shard of [...this.shards.values()]) this.stopOwning(shard);
  }

  /** Another node has taken a shard under a newer term: this one's is over, whatever its view of the keys shows. */
  onNewerTerm(index: number, term: number): void {
    const shard = this.shards.get(index);
    if (shard && shard.term < term) this.stopOwning(shard);
  }

  /** The owner's side of a shard's standby; undefined where standbys are not enabled. */
  replicatorOf(index: number): StandbyReplicator | undefined {
    return this.replicators.get(index);
  }

  /** The standby that can take a shard over at once; null when there is none. */
  successorOf(shard: Shard): string | null {
    const replicator = this.replicators.get(shard.index);
    return replicator && shard.ready && this.standbyCoordinator
      ? this.standbyCoordinator.successor(replicator)
      : null;
  }
}
