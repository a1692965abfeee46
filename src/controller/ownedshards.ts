import type { ControllerContext } from '../context/context.js';
import type { PeerShards } from '../scheduler/responses.js';
import { Shard } from '../scheduler/shard.js';
import type { TakeoverState } from '../standby/standbyreplicas.js';
import type { StandbyReplicator } from '../standby/standbyreplicator.js';
import type { Membership } from './membership.js';
import type { StandbyCoordinator } from './standbycoordinator.js';

/** Dependencies of `OwnedShards` and of the schedulers that it creates. */
export interface OwnedShardsOptions {
  readonly context: ControllerContext;
  readonly members: Membership;
  /** Shards that this node owns; modified only by `OwnedShards` and read by other components. */
  readonly shards: Map<number, Shard>;
  /** Access of this node's shards to the other shards. */
  readonly peerShards: PeerShards;
  /** Called when this node has started to own a shard under a term. */
  onStarted(shard: number, term: number): void;
}

/** The schedulers of the shards that this node owns, with the owner's side of their standbys. */
export class OwnedShards {
  readonly shards: Map<number, Shard>;
  /**
   * Terms under which this node has stopped owning a shard. A retired term is never reused: its fencing tokens and
   * attempt numbers would equal those of the former ownership, whose commands may still be in flight.
   */
  readonly retiredTerms = new Set<number>();
  /**
   * The standby coordinator; null where standbys are not enabled. It is set when the node starts, because it needs
   * the connections to the other nodes.
   */
  standbyCoordinator: StandbyCoordinator | null = null;
  private readonly replicators = new Map<number, StandbyReplicator>();

  constructor(private readonly options: OwnedShardsOptions) {
    this.shards = options.shards;
  }

  /**
   * Starts the scheduler of a shard whose key this node holds under a term; `takeover` is the state that its standby
   * replicated.
   */
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

  /** Stops a shard's scheduler permanently, and retires its term. */
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

  /**
   * Stops owning a shard that another node has taken under a newer term. This node's term has then ended, even if its
   * cached view of the keys still shows the older state.
   */
  onNewerTerm(index: number, term: number): void {
    const shard = this.shards.get(index);
    if (shard && shard.term < term) this.stopOwning(shard);
  }

  /** Returns the replicator of a shard to its standby; undefined where standbys are not enabled. */
  replicatorOf(index: number): StandbyReplicator | undefined {
    return this.replicators.get(index);
  }

  /** Returns the standby that can take over a shard immediately; null when there is none. */
  successorOf(shard: Shard): string | null {
    const replicator = this.replicators.get(shard.index);
    return replicator && shard.ready && this.standbyCoordinator
      ? this.standbyCoordinator.successor(replicator)
      : null;
  }
}
