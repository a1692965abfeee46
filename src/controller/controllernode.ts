// This package decides which node owns which shard. It contains membership, claims, the leader, request routing and
// stored requests.

import { nodeLease } from '../config/bounds.js';
import { regionOfNode } from '../config/settings.js';
import type { ControllerContext } from '../context/context.js';
import { UnavailableError } from '../errors/errors.js';
import type { Job, JobEntry } from '../jobs/job.js';
import type { Mesh } from '../peer/mesh.js';
import type { JobStatusResponse, SubmitResponse } from '../scheduler/responses.js';
import type { Shard } from '../scheduler/shard.js';
import { KEYS, MATCH_PROTOCOL_VERSION, PROTOCOL_VERSION, writeLeaseHolder } from '../schema/schema.js';
import type { Entry } from '../wire/state.js';
import type { JobSpec, ListedJob } from '../wire/users.js';
import type { Heartbeat } from '../wire/workers.js';
import { CloudPoller } from './cloudpoller.js';
import { type HeartbeatResult, HeartbeatRouter } from './heartbeatrouting.js';
import { IncomingHandovers } from './incominghandovers.js';
import { Membership } from './membership.js';
import { OwnerClient, STORABLE_OPERATIONS } from './ownerclient.js';
import { Ownership } from './ownership.js';
import { PeerConnections } from './peerconnections.js';
import { type PeerExtension, PeerHandlers } from './peerhandlers.js';
import { PEER_OPS } from './peeroperations.js';
import { peerShards } from './peershards.js';
import { RateAllocator } from './rateallocator.js';
import { Routing } from './routing.js';
import type { StandbyCoordinator } from './standbycoordinator.js';
import { StatusReporter } from './statusreporting.js';
import { StoredRequests } from './storedrequests.js';

const MAX_REMOVED_MACHINES = 2000;

/**
 * One controller node: the shards that it owns, its leadership while it is the leader, and access to the shards of
 * other nodes. This class only connects the components.
 */
export class ControllerNode {
  readonly membership: Membership;
  private readonly peers = new PeerConnections();
  /** Shards that this node owns; modified by `ownership`. */
  private readonly shards = new Map<number, Shard>();
  private readonly storedRequests: StoredRequests;
  private readonly ownerClient: OwnerClient;
  private readonly routing: Routing;
  private readonly ownership: Ownership;
  private readonly peerHandlers: PeerHandlers;
  private readonly heartbeats: HeartbeatRouter;
  private readonly statusReporter: StatusReporter;
  private readonly cloudPoller: CloudPoller;
  private readonly rateAllocator: RateAllocator;
  private leaving = false;

  constructor(
    private readonly context: ControllerContext,
    /** Class of the standby coordinator, loaded only on nodes where standbys are enabled. */
    private readonly standbys: typeof StandbyCoordinator | null = null,
  ) {
    const { peers, shards } = this;
    this.membership = this.createMembership();
    const members = this.membership;
    this.storedRequests = new StoredRequests(context, members.stateCache, (shard, op, args) =>
      this.serveStored(shard, op, args),
    );
    const incomingHandovers = new IncomingHandovers(context.clock, shards);
    this.ownerClient = new OwnerClient({
      context,
      members,
      storedRequests: this.storedRequests,
      shards,
      nodes: [context.settings.node, ...context.settings.peers.map((p) => p.node)],
      incomingHandovers,
      peers,
    });
    this.routing = new Routing(context, members, this.ownerClient, shards);
    this.ownership = this.createOwnership(incomingHandovers);
    const { ownership, ownerClient } = this;
    this.rateAllocator = new RateAllocator(context, members, peers, () => ownership.leader !== null);
    const { rateAllocator } = this;
    this.peerHandlers = new PeerHandlers({ members, ownership, ownerClient, rateAllocator, peers });
    this.heartbeats = new HeartbeatRouter(context, members, ownership, peers);
    this.statusReporter = new StatusReporter(context, members, ownership, peers);
    this.cloudPoller = new CloudPoller(context, members.stateCache, ownership);
  }

  private createMembership(): Membership {
    const { context } = this;
    const { settings } = context;
    return new Membership({
      clock: context.clock,
      store: context.store,
      log: context.log,
      identity: {
        node: settings.node,
        incarnation: context.incarnation,
        protocolVersion: context.matchCompiler ? MATCH_PROTOCOL_VERSION : PROTOCOL_VERSION,
        standbyCapable: this.standbys !== null,
      },
      leaseMs: nodeLease(settings.workers).leaseMs,
      requestsPerSecond: settings.stateLimits.rps / settings.nodes,
      regionOf: (node) => regionOfNode(settings, node),
      onChange: (key, entry) => this.onRecordChanged(key, entry),
      onLeaseLost: () => this.ownership.stopOwningAll(),
    });
  }

  private createOwnership(incomingHandovers: IncomingHandovers): Ownership {
    const { context, membership: members, ownerClient } = this;
    return new Ownership({
      context,
      members,
      shards: this.shards,
      incomingHandovers,
      peerShards: peerShards(context, ownerClient, this.routing),
      leaderHooks: {
        holdsLease: () => members.holdsLease,
        transferMachine: (shard, machine, to) => ownerClient.transferMachine(shard, machine, to),
        evictForTransfer: (shard, machine, to, priority) =>
          ownerClient.evictForTransfer(shard, machine, to, priority),
        reserveForTransfer: (shard, to, need, zone) => ownerClient.reserveForTransfer(shard, to, need, zone),
        allSupportProtocolVersion: () => ownerClient.allSupportProtocolVersion,
      },
      announceOwner: (shard, term) => {
        for (const peer of context.settings.peers) {
          const holder = writeLeaseHolder(members.holder);
          this.peers.notify(peer.node, PEER_OPS.ownerAnnouncement, { shard, term, holder });
        }
      },
    });
  }

  private createStandbyCoordinator(coordinator: typeof StandbyCoordinator, mesh: Mesh): StandbyCoordinator {
    const { ownership } = this;
    return new coordinator(this.context, this.membership, mesh, {
      preferredNode: (shard) => ownership.preferredNode(shard),
      nodeOrder: ownership.nodeOrder,
      zoneOf: (node) => ownership.zones.get(node) ?? '',
      isCordoned: () => ownership.workerConnectivity.cordoned || this.leaving,
      onTakeover: (shard, term, takeover) => ownership.onTakeover(shard, term, takeover),
      onShardLost: (shard, term) => ownership.onNewerTerm(shard, term + 1),
      requestPlan: (shard) => this.shards.get(shard)?.requestPlan(),
    });
  }

  /** Joins the cluster and starts to own shards; resolves when the node has acquired its lease. */
  async start(mesh: Mesh): Promise<void> {
    this.peers.connect(mesh);
    if (this.standbys) this.ownership.enableStandbys(this.createStandbyCoordinator(this.standbys, mesh));
    this.cloudPoller.start();
    this.storedRequests.start();
    this.statusReporter.start();
    this.membership.changeFeed.start(mesh);
    this.rateAllocator.start();
    await this.membership.start();
    this.ownership.start();
  }

  /** Shuts down as planned, so that the next owners need not wait for the lease to expire. */
  async leave(): Promise<void> {
    this.leaving = true;
    await this.ownership.leave();
    await this.membership.leave();
  }

  /**
   * Whether this node can answer users: it is not leaving, has loaded the cluster's state, and knows the machine
   * types.
   */
  get healthy(): boolean {
    return !this.leaving && this.membership.stateCache.isLoaded && this.context.catalog.hasTypes;
  }

  private onRecordChanged(key: string, entry: Entry | null): void {
    if (entry && key.startsWith(KEYS.requests)) this.storedRequests.onRecordChanged(key, entry);
    if (key.startsWith(KEYS.owners))
      this.membership.onOwnerRecordChanged(Number(key.slice(KEYS.owners.length)));
    if (key.startsWith(KEYS.machines)) {
      const id = key.slice(KEYS.machines.length);
      for (const shard of this.shards.values()) shard.onMachineRecord(id, entry);
      if (!entry) this.recordRemovedMachine(id);
    }
  }

  private recordRemovedMachine(id: string): void {
    const { removedMachines, clock } = this.context;
    removedMachines.set(id, clock.now());
    if (removedMachines.size > MAX_REMOVED_MACHINES)
      removedMachines.delete(removedMachines.keys().next().value!);
  }

  // --- between the nodes

  /** Answers a message from the controller `from`; throws a typed error when the message cannot be served. */
  serve(op: string, args: unknown, from = ''): Promise<unknown> {
    return this.peerHandlers.serve(op, args, from);
  }

  /**
   * Answers a request sent through the key-value store; null when this node does not serve its shard or the operation
   * is not storable.
   */
  private serveStored(shard: number, op: string, args: object): Promise<unknown> | null {
    const isServed = this.shards.get(shard)?.ready && STORABLE_OPERATIONS.has(op);
    return isServed ? this.serve(op, { ...args, shard }) : null;
  }

  /**
   * Registers the handler of messages to an optional component of this node from the same component of other nodes.
   */
  addExtension(op: string, extension: PeerExtension): void {
    this.peerHandlers.extensions.set(op, extension);
  }

  /**
   * Sends a request of an optional component to another node; throws `UnavailableError` before this node has started.
   */
  requestNode(node: string, op: string, args: object, timeoutMs: number): Promise<unknown> {
    const { mesh } = this.peers;
    if (!mesh) throw new UnavailableError('not connected yet');
    return mesh.request(node, op, args, timeoutMs);
  }

  // --- users

  /** Returns the shard of a job, or its final status; null only when the key-value store has no record of the job. */
  locate(id: string): Promise<JobEntry | null> {
    return this.routing.locate(id);
  }

  /** Returns an unfinished job of a shard that this node owns; undefined when there is none with this id. */
  job(id: string): Job | undefined {
    for (const shard of this.shards.values()) {
      const job = shard.job(id);
      if (job) return job;
    }
    return undefined;
  }

  /** Submits a job to the owner of its shard. */
  submit(spec: JobSpec): Promise<SubmitResponse> {
    return this.routing.submit(spec);
  }

  /** Returns the status of a job; null when no job with this id ever existed. */
  status(id: string): Promise<JobStatusResponse | null> {
    return this.routing.status(id);
  }

  /** Cancels a job. Returns its final status, or null when no job with this id ever existed. */
  cancel(id: string): Promise<'done' | 'cancelled' | null> {
    return this.routing.cancel(id);
  }

  /** Returns a page of unfinished jobs of all shards. */
  list(under: string, after: string): Promise<{ jobs: ListedJob[]; more: boolean }> {
    return this.routing.list(under, after);
  }

  /** Whether every node supports jobs with match expressions. */
  get allSupportMatching(): boolean {
    return this.ownerClient.allSupportMatching;
  }

  // --- workers

  /** Answers a worker's heartbeat. */
  onHeartbeat(heartbeat: Heartbeat): HeartbeatResult {
    return this.heartbeats.onHeartbeat(heartbeat);
  }
}
