// This package: who owns what: members, claims, leader, routing, stored requests.

import { readResourceDemand, readShardStatus } from '../autoscaler/shardstatus.js';
import { CHANGE_FEED_OPS } from '../changefeed/messages.js';
import { nodeLease } from '../config/bounds.js';
import { regionOfNode } from '../config/settings.js';
import type { ControllerContext } from '../context/context.js';
import { InvalidInputError, ProtocolViolationError, UnavailableError } from '../errors/errors.js';
import type { Job, JobEntry } from '../jobs/job.js';
import { readSpec } from '../jobs/records.js';
import type { Mesh } from '../peer/mesh.js';
import { readDependentClaims } from '../scheduler/dependencytracker.js';
import type { StatusAnswer, SubmitAnswer } from '../scheduler/responses.js';
import {
  KEYS,
  MATCH_PROTOCOL_VERSION,
  PROTOCOL_VERSION,
  readLeaseHolder,
  readMachineRecord,
  writeLeaseHolder,
} from '../schema/schema.js';
import { STANDBY_OPS } from '../standby/messages.js';
import type { Entry } from '../wire/state.js';
import type { JobSpec, ListedJob } from '../wire/users.js';
import type { Heartbeat } from '../wire/workers.js';
import { CloudPoller } from './cloudpoller.js';
import type { UnregisteredMachine } from './leader.js';
import { Membership } from './membership.js';
import { OwnerClient, STORED_OPS } from './ownerclient.js';
import { Ownership } from './ownership.js';
import { PEER_OPS } from './peeroperations.js';
import { RATES_OP, RateAllocator } from './rateallocator.js';
import { Routing } from './routing.js';
import type { StandbyCoordinator } from './standbycoordinator.js';
import { StoredRequests } from './storedrequests.js';

export type HeartbeatResult =
  | { kind: 'orders'; body: object }
  | { kind: 'redirect'; node: string | null }
  /** `known` when the machine is one of the cluster's. */
  | { kind: 'busy'; known: boolean };

const STATUS_INTERVAL_MS = 500;
/** Questions to the owner of a shard, which go on to the next one while the shard changes hands. */
const OWNER_OPERATIONS = new Set<string>([
  PEER_OPS.submit,
  PEER_OPS.submitWithDependencies,
  PEER_OPS.status,
  PEER_OPS.cancel,
  PEER_OPS.list,
]);
const FORWARD_TIMEOUT_MS = 1500;
const MAX_REMOVED_MACHINES = 2000;

/** One controller: the shards it owns, the leadership when it has it, and the way to everybody else's. */
export class ControllerNode {
  readonly membership: Membership;
  private readonly ownership: Ownership;
  private readonly ownerClient: OwnerClient;
  private readonly routing: Routing;
  private readonly storedRequests: StoredRequests;
  private readonly cloudPoller: CloudPoller;
  private readonly rateAllocator: RateAllocator;
  /** What optional parts of a node answer to the same parts of others. */
  readonly extensions = new Map<string, (args: Record<string, unknown>) => Promise<unknown>>();
  private leaving = false;
  private mesh: Mesh | null = null;

  constructor(
    private readonly context: ControllerContext,
    /** For a node that has standbys for its shards, and stands by for others'; loaded only there. */
    private readonly standbys: typeof StandbyCoordinator | null = null,
  ) {
    const s = context.settings;
    this.membership = new Membership(
      context.clock,
      context.store,
      s.node,
      context.incarnation,
      context.log,
      (key, entry) => this.onRecordChanged(key, entry),
      () => this.ownership.stopOwningAll(),
      context.matchCompiler ? MATCH_PROTOCOL_VERSION : PROTOCOL_VERSION,
      standbys !== null,
      nodeLease(s.workers).leaseMs,
      (node) => regionOfNode(s, node),
      s.stateLimits.rps / s.nodes,
    );
    const shards = () => this.ownership.shards;
    this.storedRequests = new StoredRequests(context, this.membership.stateCache, (shard, op, args) => {
      const here = this.ownership.shards.get(shard);
      return here?.ready && STORED_OPS.has(op) ? this.serve(op, { ...args, shard }) : null;
    });
    const nodes = [s.node, ...s.peers.map((p) => p.node)];
    this.ownerClient = new OwnerClient(context, this.membership, this.storedRequests, shards, nodes, {
      locate: (id) => this.routing.locate(id),
      waitForHandover: (shard) => this.ownership.handovers.waitForIncoming(shard),
    });
    this.routing = new Routing(context, this.membership, this.ownerClient, shards);
    this.ownership = new Ownership({
      context,
      members: this.membership,
      peerShards: this.ownerClient.peerShards,
      leaderHooks: {
        holdsLease: () => this.membership.holdsLease,
        transferMachine: (shard, machine, to) => this.ownerClient.transferMachine(shard, machine, to),
        evictForTransfer: (shard, machine, to, priority) =>
          this.ownerClient.evictForTransfer(shard, machine, to, priority),
        reserveForTransfer: (shard, to, need, zone) =>
          this.ownerClient.reserveForTransfer(shard, to, need, zone),
        allSupportLatest: () => this.ownerClient.allSupportLatest,
      },
      announceOwner: (shard, term) => {
        for (const peer of s.peers)
          this.mesh?.notify(peer.node, PEER_OPS.ownerAnnouncement, {
            shard,
            term,
            holder: writeLeaseHolder(this.membership.holder),
          });
      },
    });
    this.cloudPoller = new CloudPoller(context, this.membership.stateCache, this.ownership);
    this.rateAllocator = new RateAllocator(context, this.membership, () => this.ownership.leader !== null);
  }

  async start(mesh: Mesh): Promise<void> {
    this.mesh = mesh;
    this.ownerClient.mesh = mesh;
    if (this.standbys) this.ownership.enableStandbys(this.makeStandbys(this.standbys, mesh));
    this.cloudPoller.start();
    void this.storedRequests.sweep();
    this.reportStatusLoop();
    this.membership.changeFeed.start(mesh);
    this.rateAllocator.start(mesh);
    await this.membership.start();
    this.ownership.start();
  }

  /** A planned end: whoever is next need not wait for the lease to run out. */
  async leave(): Promise<void> {
    this.leaving = true;
    await this.ownership.leave();
    await this.membership.leave();
  }

  private makeStandbys(made: typeof StandbyCoordinator, mesh: Mesh): StandbyCoordinator {
    return new made(this.context, this.membership, mesh, {
      homeNode: (shard) => this.ownership.homeNode(shard),
      nodeOrder: this.ownership.nodeOrder,
      zoneOf: (node) => this.ownership.zones.get(node) ?? '',
      isCordoned: () => this.ownership.workerConnectivity.cordoned || this.leaving,
      onTakeover: (shard, term, from) => this.ownership.onTakeover(shard, term, from),
      onShardLost: (shard, term) => this.ownership.onNewerTerm(shard, term + 1),
      requestPlan: (shard) => this.ownership.shards.get(shard)?.requestPlan(),
    });
  }

  get healthy(): boolean {
    return !this.leaving && this.membership.stateCache.isLoaded && this.context.catalog.known;
  }

  private onRecordChanged(key: string, entry: Entry | null): void {
    if (entry && key.startsWith(KEYS.requests)) this.storedRequests.onRecordChanged(key, entry);
    if (key.startsWith(KEYS.owners))
      this.membership.onOwnerRecordChanged(Number(key.slice(KEYS.owners.length)));
    if (key.startsWith(KEYS.machines)) {
      const id = key.slice(KEYS.machines.length);
      for (const shard of this.ownership.shards.values()) shard.onMachineRecord(id, entry);
      if (!entry) this.rememberRemovedMachine(id);
    }
  }

  private rememberRemovedMachine(id: string): void {
    this.context.removedMachines.set(id, this.context.clock.now());
    if (this.context.removedMachines.size > MAX_REMOVED_MACHINES) {
      this.context.removedMachines.delete(this.context.removedMachines.keys().next().value!);
    }
  }

  // --- between the nodes

  private reportStatusLoop(): void {
    const leader = this.membership.leader();
    for (const s of this.ownership.shards.values()) {
      if (!s.ready) continue;
      const told = s.shardStatus(this.context.settings.node);
      if (this.ownership.leader) this.ownership.leader.onShardStatus(told);
      else if (leader) this.mesh?.notify(leader, PEER_OPS.shardStatus, told);
    }
    this.context.clock.after(STATUS_INTERVAL_MS, () => this.reportStatusLoop());
  }

  /** What another controller asks. */
  async serve(op: string, args: unknown, from = ''): Promise<unknown> {
    const a = (typeof args === 'object' && args !== null ? args : {}) as Record<string, unknown>;
    if (OWNER_OPERATIONS.has(op) && !this.ownership.shards.get(Number(a.shard))?.ready) {
      // Just handed over by this node, or to it: whoever asked need not notice.
      // Passed on once at most: two nodes that have each handed it to the other, and know no better yet, would go on for ever.
      const next = a.passed === true ? null : this.membership.successor(Number(a.shard));
      if (next && this.mesh)
        return this.mesh.request(next.node, op, { ...a, passed: true }, FORWARD_TIMEOUT_MS);
      await this.ownership.handovers.waitForIncoming(Number(a.shard));
    }
    switch (op) {
      case CHANGE_FEED_OPS.changes:
      case CHANGE_FEED_OPS.head:
        return this.membership.changeFeed.serve(op, args);
      case RATES_OP:
        return this.rateAllocator.onDemand(from, args);
      case STANDBY_OPS.replicate:
        return this.ownership.standbyCoordinator?.replicas.onReplicationMessage(args, from) ?? null;
      case STANDBY_OPS.handOver:
        return this.ownership.handovers.accept(Number(a.shard), a);
      case PEER_OPS.shardStatus: {
        const told = readShardStatus(args);
        if (told) this.ownership.leader?.onShardStatus(told);
        return null;
      }
      case PEER_OPS.unregisteredMachine:
        this.ownership.leader?.onUnregisteredMachine(a as unknown as UnregisteredMachine);
        return null;
      case PEER_OPS.ownerAnnouncement: {
        const holder = readLeaseHolder(a.holder);
        if (!holder || !Number.isInteger(a.shard) || !Number.isInteger(a.term)) return null;
        this.membership.onOwnerAnnounced(Number(a.shard), holder, Number(a.term));
        this.ownership.onNewerTerm(Number(a.shard), Number(a.term));
        return null;
      }
      case PEER_OPS.redirected:
        this.ownership.workerConnectivity.onRedirect(String(a.machine), from);
        for (const s of this.ownership.shards.values()) s.registry.onHeartbeatElsewhere(String(a.machine));
        return null;
      case PEER_OPS.transferMachine: {
        const shard = this.ownership.shards.get(Number(a.shard));
        return shard ? shard.transferMachine(String(a.machine), Number(a.to)) : false;
      }
      case PEER_OPS.evictForTransfer: {
        const shard = this.ownership.shards.get(Number(a.shard));
        return shard ? shard.evictForTransfer(String(a.machine), Number(a.to), Number(a.priority)) : false;
      }
      case PEER_OPS.reserveForTransfer: {
        const shard = this.ownership.shards.get(Number(a.shard));
        const need = readResourceDemand(a.need);
        return shard && need ? shard.reserveForTransfer(Number(a.to), need, String(a.zone)) : false;
      }
      case PEER_OPS.dependencyStatus:
        return this.ownerClient
          .localShard(a.shard)
          .dependencyStatus(Number(a.from), readDependentClaims(a.claims));
      case PEER_OPS.dependencyEnded:
        if (a.status === 'done' || a.status === 'cancelled')
          this.ownership.shards.get(Number(a.shard))?.onDependencyEnded(String(a.id), a.status);
        return null;
      case PEER_OPS.submitWithDependencies:
      case PEER_OPS.submit: {
        const spec = readSpec(a.spec);
        if (!spec) throw new InvalidInputError('bad job');
        return this.ownerClient.localShard(a.shard).submit(spec);
      }
      case PEER_OPS.status:
        return this.ownerClient.localShard(a.shard).status(String(a.id));
      case PEER_OPS.cancel:
        return this.ownerClient.localShard(a.shard).cancel(String(a.id));
      case PEER_OPS.list:
        return this.ownerClient.localShard(a.shard).list(String(a.under), String(a.after), Number(a.most));
      default: {
        const extension = this.extensions.get(op);
        if (!extension) throw new ProtocolViolationError(`unknown request ${op}`);
        return extension(a);
      }
    }
  }

  // --- users

  /** Where a job is, or how it ended; null only when the state service has never heard of it. */
  locate(id: string): Promise<JobEntry | null> {
    return this.routing.locate(id);
  }

  /** A job that is not over and that this node owns. */
  job(id: string): Job | undefined {
    for (const shard of this.ownership.shards.values()) {
      const job = shard.job(id);
      if (job) return job;
    }
    return undefined;
  }

  submit(spec: JobSpec): Promise<SubmitAnswer> {
    return this.routing.submit(spec);
  }

  status(id: string): Promise<StatusAnswer | null> {
    return this.routing.status(id);
  }

  cancel(id: string): Promise<'done' | 'cancelled' | null> {
    return this.routing.cancel(id);
  }

  /** Unfinished jobs of all shards, a page of them. */
  list(under: string, after: string): Promise<{ jobs: ListedJob[]; more: boolean }> {
    return this.routing.list(under, after);
  }

  /** Whether every node serves jobs with match expressions. */
  get allSupportMatching(): boolean {
    return this.ownerClient.allSupportMatching;
  }

  /** Puts a question to the same part of another node. */
  requestNode(node: string, op: string, args: object, timeoutMs: number): Promise<unknown> {
    if (!this.mesh) throw new UnavailableError('not connected yet');
    return this.mesh.request(node, op, args, timeoutMs);
  }

  // --- workers

  onHeartbeat(r: Heartbeat): HeartbeatResult {
    for (const s of this.ownership.shards.values()) {
      const m = s.registry.machines.get(r.machine);
      if (!m) continue;
      this.ownership.workerConnectivity.onHeartbeat(m.id);
      const body = s.onHeartbeat(m, r);
      return body ? { kind: 'orders', body } : { kind: 'busy', known: true };
    }
    const entry = this.membership.stateCache.entries.get(KEYS.machine(r.machine));
    const record = entry && readMachineRecord(entry.value);
    if (!record) {
      this.reportUnregistered(r);
      return { kind: 'busy', known: false };
    }
    const owner = this.membership.owner(record.shard);
    // A node without its lease has lost touch with the state service. Whom it takes for the owner may be the one that was
    // cut off together with it: each sent machines to the other, and none to the new owner, until their leases ran out.
    if (
      !owner ||
      owner.node === this.context.settings.node ||
      !(this.membership.holdsLease || this.membership.ownerHasAnnounced(record.shard))
    )
      return { kind: 'busy', known: true };
    this.mesh?.notify(owner.node, PEER_OPS.redirected, { machine: r.machine });
    return { kind: 'redirect', node: owner.node };
  }

  private reportUnregistered(r: Heartbeat): void {
    const machine: UnregisteredMachine = {
      id: r.machine,
      addr: r.addr,
      type: r.type,
      zone: r.zone,
      spot: r.spot,
      ageS: 0,
    };
    const leader = this.membership.leader();
    if (this.ownership.leader) this.ownership.leader.onUnregisteredMachine(machine);
    else if (leader) this.mesh?.notify(leader, PEER_OPS.unregisteredMachine, machine);
  }
}
