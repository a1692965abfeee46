import type { ResourceDemand } from '../autoscaler/shardstatus.js';
import type { ControllerContext } from '../context/context.js';
import { UnavailableError } from '../errors/errors.js';
import type { JobEntry } from '../jobs/job.js';
import { jobStatusFromStore } from '../jobs/jobstatus.js';
import { type Mesh, PeerRejectedError } from '../peer/mesh.js';
import {
  type DependencyStatus,
  type DependentClaim,
  readDependencyStatuses,
} from '../scheduler/dependencymessages.js';
import { NOT_READY, OwnerUnavailableError, type PeerShards } from '../scheduler/responses.js';
import type { Shard } from '../scheduler/shard.js';
import { MATCH_PROTOCOL_VERSION, PROTOCOL_VERSION } from '../schema/schema.js';
import type { Membership } from './membership.js';
import { PEER_OPS } from './peeroperations.js';
import type { StoredRequests } from './storedrequests.js';

const ASK_MS = 3500;
/**
 * When a question can also be answered by way of the state service, less is spent on the direct way: users wait 2 s for
 * the state of a job and 5 s for other answers.
 */
const ASK_FIRST_MS = 1800;
const ASK_STATUS_MS = 900;
/** An owner that has answered neither directly nor by a stored request is not written to for this long: users are told at once. */
const NO_STORED_MS = 2500;
const STORED_MS = 1000;
export const STORED_OPS = new Set<string>([
  PEER_OPS.submit,
  PEER_OPS.submitWithDependencies,
  PEER_OPS.cancel,
]);
/** Owners ask each other often what has become of jobs, and the state service when there is no answer. */
const ASK_NEEDED_MS = 2000;

export interface OwnerClientHooks {
  locate(id: string): Promise<JobEntry | null>;
  /** Waits a little for a shard that is just being handed over to this node. */
  waitForHandover(shard: number): Promise<void>;
}

/** The way to a shard's owner, wherever it is: here, directly, or by a stored request. */
export class OwnerClient {
  mesh: Mesh | null = null;
  private readonly storedRequestsPausedUntil = new Map<string, number>();

  constructor(
    private readonly context: ControllerContext,
    private readonly members: Membership,
    private readonly storedRequests: StoredRequests,
    /** The shards of this node. */
    private readonly shards: () => ReadonlyMap<number, Shard>,
    private readonly nodes: readonly string[],
    private readonly hooks: OwnerClientHooks,
  ) {}

  async transferMachine(shard: number, machine: string, to: number): Promise<boolean> {
    const local = this.shards().get(shard);
    if (local) return local.transferMachine(machine, to);
    const owner = this.members.owner(shard);
    if (!owner) return false;
    return (
      (await this.mesh?.request(owner.node, PEER_OPS.transferMachine, { shard, machine, to }, ASK_MS)) ===
      true
    );
  }

  async evictForTransfer(shard: number, machine: string, to: number, priority: number): Promise<boolean> {
    const local = this.shards().get(shard);
    if (local) return local.evictForTransfer(machine, to, priority);
    const owner = this.members.owner(shard);
    if (!owner) return false;
    return (
      (await this.mesh?.request(
        owner.node,
        PEER_OPS.evictForTransfer,
        { shard, machine, to, priority },
        ASK_MS,
      )) === true
    );
  }

  async reserveForTransfer(shard: number, to: number, need: ResourceDemand, zone: string): Promise<boolean> {
    const local = this.shards().get(shard);
    if (local) return local.reserveForTransfer(to, need, zone);
    const owner = this.members.owner(shard);
    if (!owner) return false;
    return (
      (await this.mesh?.request(
        owner.node,
        PEER_OPS.reserveForTransfer,
        { shard, to, need, zone },
        ASK_MS,
      )) === true
    );
  }

  localShard(shard: unknown): Shard {
    const s = this.shards().get(Number(shard));
    if (!s) throw new UnavailableError('not the owner');
    return s;
  }

  /** Puts a question to a shard's owner, wherever it is. */
  async request<T>(
    shard: number,
    op: string,
    args: object,
    here: (s: Shard) => Promise<T>,
    mayStore = true,
  ): Promise<T> {
    if (this.shards().get(shard)?.ready === false) await this.hooks.waitForHandover(shard);
    const local = this.shards().get(shard);
    if (local) return here(local);
    const owner = this.members.owner(shard);
    if (!owner || owner.node === this.context.settings.node || !this.mesh)
      throw new OwnerUnavailableError('no owner at present');
    const stored = STORED_OPS.has(op);
    const ms = stored ? ASK_FIRST_MS : op === PEER_OPS.status ? ASK_STATUS_MS : ASK_MS;
    try {
      return (await this.mesh.request(owner.node, op, { shard, ...args }, ms)) as T;
    } catch (error) {
      // An owner that answers is not to be asked again: it knows best that it cannot serve now.
      const message = error instanceof Error ? error.message : 'owner does not answer';
      if (error instanceof PeerRejectedError)
        throw message === NOT_READY ? new OwnerUnavailableError(message) : new UnavailableError(message);
      if (stored && mayStore) return await this.requestThroughStore<T>(shard, owner.incarnation, op, args);
      throw new OwnerUnavailableError(message);
    }
  }

  async requestThroughStore<T>(shard: number, run: string, op: string, args: object): Promise<T> {
    const now = this.context.clock.now();
    if (now < (this.storedRequestsPausedUntil.get(run) ?? 0))
      throw new UnavailableError('owner does not answer');
    try {
      return (await this.storedRequests.send(shard, op, { ...args }, STORED_MS)) as T;
    } catch (error) {
      if (this.storedRequestsPausedUntil.size > this.nodes.length * 4) this.storedRequestsPausedUntil.clear();
      this.storedRequestsPausedUntil.set(run, this.context.clock.now() + NO_STORED_MS);
      throw new UnavailableError(error instanceof Error ? error.message : 'owner does not answer');
    }
  }

  /** Whether every node understands what the first version did not. */
  get allSupportLatest(): boolean {
    return this.members.allSupport(this.nodes, PROTOCOL_VERSION);
  }

  /** Whether every node understands jobs with match expressions. */
  get allSupportMatching(): boolean {
    return this.members.allSupport(this.nodes, MATCH_PROTOCOL_VERSION);
  }

  /** What a shard here needs of the others. */
  readonly peerShards: PeerShards = {
    allSupportLatest: () => this.allSupportLatest,
    locate: (id: string) => this.hooks.locate(id),
    jobStatusFromStore: (id: string) => jobStatusFromStore(this.context.store, id),
    requestDependencyStatus: async (
      shard: number,
      from: number,
      claims: DependentClaim[],
    ): Promise<DependencyStatus[]> => {
      const local = this.shards().get(shard);
      if (local) return local.dependencyStatus(from, claims);
      const owner = this.members.owner(shard);
      if (!owner || !this.mesh) throw new UnavailableError('no owner at present');
      return readDependencyStatuses(
        await this.mesh.request(
          owner.node,
          PEER_OPS.dependencyStatus,
          { shard, from, claims },
          ASK_NEEDED_MS,
        ),
      );
    },
    notifyDependencyEnded: (shard: number, id: string, status: 'done' | 'cancelled') => {
      const local = this.shards().get(shard);
      const owner = this.members.owner(shard);
      if (local) local.onDependencyEnded(id, status);
      else if (owner) this.mesh?.notify(owner.node, PEER_OPS.dependencyEnded, { shard, id, status });
    },
  };
}
