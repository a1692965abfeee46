import type { ResourceDemand } from '../autoscaler/shardstatus.js';
import type { ControllerContext } from '../context/context.js';
import { UnavailableError } from '../errors/errors.js';
import { PeerRejectedError } from '../peer/mesh.js';
import {
  type DependencyStatus,
  type DependentClaim,
  readDependencyStatuses,
} from '../scheduler/dependencymessages.js';
import { NOT_READY, OwnerUnavailableError } from '../scheduler/responses.js';
import type { Shard } from '../scheduler/shard.js';
import { MATCH_PROTOCOL_VERSION, PROTOCOL_VERSION } from '../schema/schema.js';
import type { IncomingHandovers } from './incominghandovers.js';
import type { Membership } from './membership.js';
import type { PeerConnections } from './peerconnections.js';
import { PEER_OPS } from './peeroperations.js';
import type { StoredRequests } from './storedrequests.js';

const REQUEST_TIMEOUT_MS = 3500;
/**
 * Shorter time-outs of direct requests that can also be answered through the key-value store, so that time is left
 * for the fallback: users wait 2 s for the status of a job and 5 s for other answers.
 */
const STORABLE_REQUEST_TIMEOUT_MS = 1800;
const STATUS_REQUEST_TIMEOUT_MS = 900;
/** Owners query each other's jobs often, and fall back to the key-value store when there is no answer. */
const DEPENDENCY_REQUEST_TIMEOUT_MS = 2000;
/**
 * Time for which no stored requests are sent to an owner that has answered neither directly nor by a stored request;
 * users' requests fail immediately instead.
 */
const STORED_REQUESTS_PAUSE_MS = 2500;
const STORED_REQUEST_TIMEOUT_MS = 1000;

/** Operations whose requests may also be sent through the key-value store. */
export const STORABLE_OPERATIONS: ReadonlySet<string> = new Set([
  PEER_OPS.submit,
  PEER_OPS.submitWithDependencies,
  PEER_OPS.cancel,
]);

/** Dependencies of `OwnerClient`. */
export interface OwnerClientOptions {
  readonly context: ControllerContext;
  readonly members: Membership;
  readonly storedRequests: StoredRequests;
  /** The shards that this node owns. */
  readonly shards: ReadonlyMap<number, Shard>;
  /** All configured nodes. */
  readonly nodes: readonly string[];
  readonly incomingHandovers: IncomingHandovers;
  readonly peers: PeerConnections;
}

/** A request to a shard's owner. */
export interface OwnerRequest<T> {
  readonly shard: number;
  readonly op: string;
  readonly args: object;
  /** Answers the request when this node is the owner. */
  answerHere(shard: Shard): Promise<T>;
  /** Whether the request must not be sent through the key-value store. */
  readonly directOnly?: boolean;
}

/** Sends requests to a shard's owner: by a local call, directly over the mesh, or by a stored request. */
export class OwnerClient {
  /** Monotonic time in milliseconds until which an owner is sent no stored requests, by the owner's incarnation. */
  private readonly storedRequestsPausedUntil = new Map<string, number>();

  constructor(private readonly options: OwnerClientOptions) {}

  /**
   * Asks the owner of a shard to transfer an idle machine to another shard. Returns false when the owner does not.
   */
  transferMachine(shard: number, machine: string, to: number): Promise<boolean> {
    return this.requestTransfer(shard, PEER_OPS.transferMachine, { shard, machine, to }, (local) =>
      local.transferMachine(machine, to),
    );
  }

  /**
   * Asks the owner of a shard to evict a machine's tasks for another shard's more urgent work. Returns false when it
   * does not.
   */
  evictForTransfer(shard: number, machine: string, to: number, priority: number): Promise<boolean> {
    return this.requestTransfer(shard, PEER_OPS.evictForTransfer, { shard, machine, to, priority }, (local) =>
      local.evictForTransfer(machine, to, priority),
    );
  }

  /**
   * Asks the owner of a shard to reserve a machine whose tasks end soon for another shard. Returns false when it does
   * not.
   */
  reserveForTransfer(shard: number, to: number, need: ResourceDemand, zone: string): Promise<boolean> {
    return this.requestTransfer(shard, PEER_OPS.reserveForTransfer, { shard, to, need, zone }, (local) =>
      local.reserveForTransfer(to, need, zone),
    );
  }

  private async requestTransfer(
    shard: number,
    op: string,
    args: object,
    answerHere: (local: Shard) => Promise<boolean> | boolean,
  ): Promise<boolean> {
    const local = this.options.shards.get(shard);
    if (local) return answerHere(local);
    const owner = this.options.members.owner(shard);
    if (!owner) return false;
    return (await this.options.peers.mesh?.request(owner.node, op, args, REQUEST_TIMEOUT_MS)) === true;
  }

  /** Returns a shard of this node; throws `UnavailableError` when this node does not own it. */
  localShard(index: number): Shard {
    const shard = this.options.shards.get(index);
    if (!shard) throw new UnavailableError('not the owner');
    return shard;
  }

  /**
   * Sends a request to a shard's owner, on this or another node. Throws `OwnerUnavailableError` when no node that
   * could decide the request can be reached, and `UnavailableError` when the owner cannot serve the request now.
   */
  async request<T>(request: OwnerRequest<T>): Promise<T> {
    const { shard, op, args } = request;
    const { context, members, shards, incomingHandovers, peers } = this.options;
    if (shards.get(shard)?.ready === false) await incomingHandovers.wait(shard);
    const local = shards.get(shard);
    if (local) return request.answerHere(local);
    const owner = members.owner(shard);
    if (!owner || owner.node === context.settings.node || !peers.mesh)
      throw new OwnerUnavailableError('no owner at present');
    try {
      return (await peers.mesh.request(owner.node, op, { shard, ...args }, requestTimeoutMs(op))) as T;
    } catch (error) {
      // A rejection is final for this request: the owner knows best that it cannot serve it now, so the request is
      // not repeated through the key-value store.
      const message = error instanceof Error ? error.message : 'owner does not answer';
      if (error instanceof PeerRejectedError)
        throw message === NOT_READY ? new OwnerUnavailableError(message) : new UnavailableError(message);
      if (STORABLE_OPERATIONS.has(op) && !request.directOnly)
        return await this.requestThroughStore<T>(shard, owner.incarnation, op, args);
      throw new OwnerUnavailableError(message);
    }
  }

  /**
   * Sends a request to the owner of a shard, identified by its incarnation, through the key-value store. Throws
   * `UnavailableError` when there is no answer in time.
   */
  async requestThroughStore<T>(shard: number, incarnation: string, op: string, args: object): Promise<T> {
    const { context, storedRequests, nodes } = this.options;
    const now = context.clock.now();
    if (now < (this.storedRequestsPausedUntil.get(incarnation) ?? 0))
      throw new UnavailableError('owner does not answer');
    try {
      return (await storedRequests.send(shard, op, { ...args }, STORED_REQUEST_TIMEOUT_MS)) as T;
    } catch (error) {
      if (this.storedRequestsPausedUntil.size > nodes.length * 4) this.storedRequestsPausedUntil.clear();
      this.storedRequestsPausedUntil.set(incarnation, context.clock.now() + STORED_REQUESTS_PAUSE_MS);
      throw new UnavailableError(error instanceof Error ? error.message : 'owner does not answer');
    }
  }

  /**
   * Queries a shard's owner for the status of jobs on which jobs of the shard `from` depend. Throws
   * `UnavailableError` when the shard has no owner.
   */
  async requestDependencyStatus(
    shard: number,
    from: number,
    claims: DependentClaim[],
  ): Promise<DependencyStatus[]> {
    const local = this.options.shards.get(shard);
    if (local) return local.dependencyStatus(from, claims);
    const owner = this.options.members.owner(shard);
    const { mesh } = this.options.peers;
    if (!owner || !mesh) throw new UnavailableError('no owner at present');
    const args = { shard, from, claims };
    return readDependencyStatuses(
      await mesh.request(owner.node, PEER_OPS.dependencyStatus, args, DEPENDENCY_REQUEST_TIMEOUT_MS),
    );
  }

  /** Notifies a shard's owner of the final status of a job on which jobs there depend. Delivery is not guaranteed. */
  notifyDependencyEnded(shard: number, id: string, status: 'done' | 'cancelled'): void {
    const local = this.options.shards.get(shard);
    const owner = this.options.members.owner(shard);
    if (local) local.onDependencyEnded(id, status);
    else if (owner) this.options.peers.notify(owner.node, PEER_OPS.dependencyEnded, { shard, id, status });
  }

  /** Whether every node supports `PROTOCOL_VERSION`, and so the features that the first version lacks. */
  get allSupportProtocolVersion(): boolean {
    return this.options.members.allSupport(this.options.nodes, PROTOCOL_VERSION);
  }

  /** Whether every node supports jobs with match expressions. */
  get allSupportMatching(): boolean {
    return this.options.members.allSupport(this.options.nodes, MATCH_PROTOCOL_VERSION);
  }
}

function requestTimeoutMs(op: string): number {
  if (STORABLE_OPERATIONS.has(op)) return STORABLE_REQUEST_TIMEOUT_MS;
  return op === PEER_OPS.status ? STATUS_REQUEST_TIMEOUT_MS : REQUEST_TIMEOUT_MS;
}
