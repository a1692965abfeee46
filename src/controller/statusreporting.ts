import { writeShardStatus } from '../autoscaler/shardstatus.js';
import { type PeriodicTask, startPeriodicTask } from '../clock/periodictask.js';
import type { ControllerContext } from '../context/context.js';
import type { Membership } from './membership.js';
import type { Ownership } from './ownership.js';
import type { PeerConnections } from './peerconnections.js';
import { PEER_OPS } from './peeroperations.js';

const STATUS_INTERVAL_MS = 500;

/** Reports the status of this node's ready shards to the leader, twice a second. */
export class StatusReporter {
  private reportTask: PeriodicTask | null = null;

  constructor(
    private readonly context: ControllerContext,
    private readonly members: Membership,
    private readonly ownership: Ownership,
    private readonly peers: PeerConnections,
  ) {}

  start(): void {
    this.reportTask = startPeriodicTask(this.context.clock, STATUS_INTERVAL_MS, () => this.report());
  }

  stop(): void {
    this.reportTask?.stop();
  }

  private report(): void {
    const leader = this.members.leader();
    for (const shard of this.ownership.shards.values()) {
      if (!shard.ready) continue;
      const status = shard.shardStatus(this.context.settings.node);
      if (this.ownership.leader) this.ownership.leader.onShardStatus(status);
      else if (leader) this.peers.notify(leader, PEER_OPS.shardStatus, writeShardStatus(status));
    }
  }
}
