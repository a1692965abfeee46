import type { ControllerContext } from '../context/context.js';
import type { Shard } from '../scheduler/shard.js';
import { KEYS, type LeaseHolder } from '../schema/schema.js';
import type { StandbyReplicator } from '../standby/standbyreplicator.js';
import type { IncomingHandovers } from './incominghandovers.js';
import type { Membership } from './membership.js';
import type { OwnedShards } from './ownedshards.js';
import type { OwnerKeys } from './ownerkeys.js';
import { isCutOffFromStateStore, STATE_STORE_CUT_OFF_MS } from './shardownership.js';

/** Dependencies of `Handovers`. */
export interface HandoverOptions {
  readonly context: ControllerContext;
  readonly members: Membership;
  readonly owned: OwnedShards;
  readonly keys: OwnerKeys;
  readonly incoming: IncomingHandovers;
}

/** Handovers of shards to an in-sync standby, from this node and to it (docs/standby.md, "Switches"). */
export class Handovers {
  constructor(private readonly options: HandoverOptions) {}

  /**
   * Hands over a shard to its in-sync standby. This node first stops owning the shard permanently, and redirects
   * users and machines immediately. Returns true when the standby has taken over. When it has not, the owner key is
   * released, as for a shard without a standby. Returns false without stopping when no successor is available.
   */
  async handOver(shard: Shard, why: string): Promise<boolean> {
    const { members, owned, keys, context } = this.options;
    const to = owned.successorOf(shard);
    const replicator = owned.replicatorOf(shard.index);
    const successor = to === null ? null : members.presenceOf(to);
    if (!replicator || !successor) return false;
    context.log.info({ shard: shard.index, to, why }, 'shard handover started');
    return keys.withKeyInFlight(KEYS.owner(shard.index), () =>
      this.switchOwner(successor, shard, replicator),
    );
  }

  private async switchOwner(
    successor: LeaseHolder,
    shard: Shard,
    replicator: StandbyReplicator,
  ): Promise<boolean> {
    const { context, members, owned, keys } = this.options;
    const { index, term } = shard;
    owned.stopOwning(shard);
    members.setSuccessor(index, successor, term);
    const startedAt = context.clock.now();
    const completed = await replicator.handOver();
    const ms = Math.round(context.clock.now() - startedAt);
    context.log.info({ shard: index, to: successor.node, taken: completed, ms }, 'shard handover finished');
    if (completed) return true;
    members.setSuccessor(index, null, term);
    await keys.release(index, term);
    return false;
  }

  /** Hands over each shard whose standby still reaches the key-value store while this node does not. */
  handOverIfCutOff(): void {
    const { members, owned } = this.options;
    const { renewalFailingMs } = members;
    if (renewalFailingMs < STATE_STORE_CUT_OFF_MS) return;
    for (const shard of [...owned.shards.values()]) {
      const renewedAgoMs = owned.replicatorOf(shard.index)?.standbyLeaseRenewedAgoMs ?? null;
      if (isCutOffFromStateStore(renewalFailingMs, renewedAgoMs))
        void this.handOver(shard, 'cut off from the key-value store');
    }
  }

  /** Accepts a shard from its owner. Returns true when this node has taken over. The replica parses `message`. */
  async accept(shard: number, message: unknown): Promise<boolean> {
    this.options.incoming.add(shard);
    return (await this.options.owned.standbyCoordinator?.replicas.onHandover(message)) ?? false;
  }
}
