import type { Need } from '../autoscaler/shardstatus.js';
import type { World } from '../context/context.js';
import type { JobEntry } from '../jobs/job.js';
import { standing } from '../jobs/jobstatus.js';
import { Answered, type Mesh } from '../peer/mesh.js';
import { type Claim, readStandings, type Standing } from '../scheduler/dependencytracker.js';
import { NOT_READY, type Others, OwnerAway, Unavailable } from '../scheduler/responses.js';
import type { Shard } from '../scheduler/shard.js';
import { MATCH_PROTOCOL_VERSION, PROTOCOL_VERSION } from '../schema/schema.js';
import type { Members } from './membership.js';
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
export const STORED_OPS = new Set<string>([PEER_OPS.submit, PEER_OPS.submitAfter, PEER_OPS.cancel]);
/** Owners ask each other often what has become of jobs, and the state service when there is no answer. */
const ASK_NEEDED_MS = 2000;

export interface OwnersHooks {
  locate(id: string): Promise<JobEntry | null>;
  /** Waits a little for a shard that is just being handed over to this node. */
  soon(shard: number): Promise<void>;
}

/** The way to a shard's owner, wherever it is: here, directly, or by a stored request. */
export class Owners {
  mesh: Mesh | null = null;
  private readonly noStoredUntil = new Map<string, number>();

  constructor(
    private readonly world: World,
    private readonly members: Members,
    private readonly storedRequests: StoredRequests,
    /** The shards of this node. */
    private readonly shards: () => ReadonlyMap<number, Shard>,
    private readonly nodes: readonly string[],
    private readonly hooks: OwnersHooks,
  ) {}

  async giveAway(shard: number, machine: string, to: number): Promise<boolean> {
    const local = this.shards().get(shard);
    if (local) return local.give(machine, to);
    const owner = this.members.owner(shard);
    if (!owner) return false;
    return (await this.mesh?.ask(owner.node, PEER_OPS.give, { shard, machine, to }, ASK_MS)) === true;
  }

  async clearMachine(shard: number, machine: string, to: number, priority: number): Promise<boolean> {
    const local = this.shards().get(shard);
    if (local) return local.clearMachine(machine, to, priority);
    const owner = this.members.owner(shard);
    if (!owner) return false;
    return (
      (await this.mesh?.ask(owner.node, PEER_OPS.clearMachine, { shard, machine, to, priority }, ASK_MS)) ===
      true
    );
  }

  async reserveMachine(shard: number, to: number, need: Need, zone: string): Promise<boolean> {
    const local = this.shards().get(shard);
    if (local) return local.reserveMachine(to, need, zone);
    const owner = this.members.owner(shard);
    if (!owner) return false;
    return (
      (await this.mesh?.ask(owner.node, PEER_OPS.reserveMachine, { shard, to, need, zone }, ASK_MS)) === true
    );
  }

  local(shard: unknown): Shard {
    const s = this.shards().get(Number(shard));
    if (!s) throw new Unavailable('not the owner');
    return s;
  }

  /** Puts a question to a shard's owner, wherever it is. */
  async ask<T>(
    shard: number,
    op: string,
    args: object,
    here: (s: Shard) => Promise<T>,
    mayStore = true,
  ): Promise<T> {
    if (this.shards().get(shard)?.ready === false) await this.hooks.soon(shard);
    const local = this.shards().get(shard);
    if (local) return here(local);
    const owner = this.members.owner(shard);
    if (!owner || owner.node === this.world.settings.node || !this.mesh)
      throw new OwnerAway('no owner at present');
    const stored = STORED_OPS.has(op);
    const ms = stored ? ASK_FIRST_MS : op === PEER_OPS.status ? ASK_STATUS_MS : ASK_MS;
    try {
      return (await this.mesh.ask(owner.node, op, { shard, ...args }, ms)) as T;
    } catch (error) {
      // An owner that answers is not to be asked again: it knows best that it cannot serve now.
      const message = error instanceof Error ? error.message : 'owner does not answer';
      if (error instanceof Answered)
        throw message === NOT_READY ? new OwnerAway(message) : new Unavailable(message);
      if (stored && mayStore) return await this.askByStore<T>(shard, owner.run, op, args);
      throw new OwnerAway(message);
    }
  }

  async askByStore<T>(shard: number, run: string, op: string, args: object): Promise<T> {
    const now = this.world.clock.now();
    if (now < (this.noStoredUntil.get(run) ?? 0)) throw new Unavailable('owner does not answer');
    try {
      return (await this.storedRequests.ask(shard, op, { ...args }, STORED_MS)) as T;
    } catch (error) {
      if (this.noStoredUntil.size > this.nodes.length * 4) this.noStoredUntil.clear();
      this.noStoredUntil.set(run, this.world.clock.now() + NO_STORED_MS);
      throw new Unavailable(error instanceof Error ? error.message : 'owner does not answer');
    }
  }

  /** Whether every node understands what the first version did not. */
  get allRead(): boolean {
    return this.members.allSpeak(this.nodes, PROTOCOL_VERSION);
  }

  /** Whether every node understands jobs with match expressions. */
  get allMatch(): boolean {
    return this.members.allSpeak(this.nodes, MATCH_PROTOCOL_VERSION);
  }

  /** What a shard here needs of the others. */
  readonly others: Others = {
    allRead: () => this.allRead,
    locate: (id: string) => this.hooks.locate(id),
    read: (id: string) => standing(this.world.store, id),
    askNeeded: async (shard: number, from: number, claims: Claim[]): Promise<Standing[]> => {
      const local = this.shards().get(shard);
      if (local) return local.neededBy(from, claims);
      const owner = this.members.owner(shard);
      if (!owner || !this.mesh) throw new Unavailable('no owner at present');
      return readStandings(
        await this.mesh.ask(owner.node, PEER_OPS.needed, { shard, from, claims }, ASK_NEEDED_MS),
      );
    },
    tellOver: (shard: number, id: string, status: 'done' | 'cancelled') => {
      const local = this.shards().get(shard);
      const owner = this.members.owner(shard);
      if (local) local.overElsewhere(id, status);
      else if (owner) this.mesh?.tell(owner.node, PEER_OPS.over, { shard, id, status });
    },
  };
}
