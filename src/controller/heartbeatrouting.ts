import type { ControllerContext } from '../context/context.js';
import { KEYS, readMachineRecord } from '../schema/schema.js';
import type { Heartbeat } from '../wire/workers.js';
import type { UnregisteredMachine } from './machineassignment.js';
import type { Membership } from './membership.js';
import type { Ownership } from './ownership.js';
import type { PeerConnections } from './peerconnections.js';
import { PEER_OPS } from './peeroperations.js';

/** The answer to a worker's heartbeat. */
export type HeartbeatResult =
  | { readonly kind: 'orders'; readonly body: object }
  /** The worker has to send its heartbeats to another node, the owner of its machine's shard. */
  | { readonly kind: 'redirect'; readonly node: string | null }
  /** The heartbeat cannot be answered now; `known` says whether the machine belongs to the cluster. */
  | { readonly kind: 'busy'; readonly known: boolean };

/**
 * Routes workers' heartbeats to the shard of their machine: on this node, or by redirecting the worker to its owner.
 */
export class HeartbeatRouter {
  constructor(
    private readonly context: ControllerContext,
    private readonly members: Membership,
    private readonly ownership: Ownership,
    private readonly peers: PeerConnections,
  ) {}

  /** Answers a heartbeat, and reports machines without a record to the leader. */
  onHeartbeat(heartbeat: Heartbeat): HeartbeatResult {
    for (const shard of this.ownership.shards.values()) {
      const machine = shard.registry.machines.get(heartbeat.machine);
      if (!machine) continue;
      this.ownership.workerConnectivity.onHeartbeat(machine.id);
      const body = shard.onHeartbeat(machine, heartbeat);
      return body ? { kind: 'orders', body } : { kind: 'busy', known: true };
    }
    const entry = this.members.stateCache.entries.get(KEYS.machine(heartbeat.machine));
    const record = entry && readMachineRecord(entry.value);
    if (record) return this.redirect(heartbeat.machine, record.shard);
    this.reportUnregistered(heartbeat);
    return { kind: 'busy', known: false };
  }

  private redirect(machine: string, shard: number): HeartbeatResult {
    const owner = this.members.owner(shard);
    // A node without its lease has lost contact with the key-value store, and the owner that it knows may be one that
    // was cut off together with it. Two such nodes redirected machines to each other, and none to the new owner,
    // until the machines' leases expired.
    if (
      !owner ||
      owner.node === this.context.settings.node ||
      !(this.members.holdsLease || this.members.ownerHasAnnounced(shard))
    )
      return { kind: 'busy', known: true };
    this.peers.notify(owner.node, PEER_OPS.redirected, { machine });
    return { kind: 'redirect', node: owner.node };
  }

  private reportUnregistered(heartbeat: Heartbeat): void {
    const machine: UnregisteredMachine = {
      id: heartbeat.machine,
      addr: heartbeat.addr,
      type: heartbeat.type,
      zone: heartbeat.zone,
      spot: heartbeat.spot,
      ageS: 0,
    };
    const leader = this.members.leader();
    if (this.ownership.leader) this.ownership.leader.onUnregisteredMachine(machine);
    else if (leader) this.peers.notify(leader, PEER_OPS.unregisteredMachine, machine);
  }
}
