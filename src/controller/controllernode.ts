// This package: who owns what: members, claims, leader, routing, stored requests.

import { readGossip, readNeed } from '../autoscaler/shardstatus.js';
import { FEED_OPS } from '../changefeed/messages.js';
import { nodeLease } from '../config/bounds.js';
import { regionOfNode } from '../config/settings.js';
import type { World } from '../context/context.js';
import type { Job, JobEntry } from '../jobs/job.js';
import { readSpec } from '../jobs/records.js';
import type { Mesh } from '../peer/mesh.js';
import { readClaims } from '../scheduler/dependencytracker.js';
import { type StatusAnswer, type SubmitAnswer, Unavailable } from '../scheduler/responses.js';
import {
  KEYS,
  MATCH_PROTOCOL_VERSION,
  PROTOCOL_VERSION,
  readHolder,
  readMachineRecord,
} from '../schema/schema.js';
import { STANDBY_OPS } from '../standby/messages.js';
import type { Entry } from '../wire/state.js';
import type { JobSpec, ListedJob } from '../wire/users.js';
import type { Report } from '../wire/workers.js';
import { CloudWatch } from './cloudpoller.js';
import type { UnassignedMachine } from './leader.js';
import { Members } from './membership.js';
import { Owners, STORED_OPS } from './ownerclient.js';
import { Ownership } from './ownership.js';
import { PEER_OPS } from './peeroperations.js';
import { RATES_OP, Rates } from './rateallocator.js';
import { Routing } from './routing.js';
import type { Standbys } from './standbycoordinator.js';
import { StoredRequests } from './storedrequests.js';

export type ReportAnswer =
  | { kind: 'orders'; body: object }
  | { kind: 'redirect'; node: string | null }
  /** `known` when the machine is one of the cluster's. */
  | { kind: 'busy'; known: boolean };

const GOSSIP_MS = 500;
/** Questions to the owner of a shard, which go on to the next one while the shard changes hands. */
const FOR_OWNERS = new Set<string>([
  PEER_OPS.submit,
  PEER_OPS.submitAfter,
  PEER_OPS.status,
  PEER_OPS.cancel,
  PEER_OPS.list,
]);
const SWITCH_MS = 1500;
const GONE_KEPT = 2000;

/** One controller: the shards it owns, the leadership when it has it, and the way to everybody else's. */
export class ControllerNode {
  readonly members: Members;
  private readonly own: Ownership;
  private readonly owners: Owners;
  private readonly routing: Routing;
  private readonly storedRequests: StoredRequests;
  private readonly cloud: CloudWatch;
  private readonly rates: Rates;
  /** What optional parts of a node answer to the same parts of others. */
  readonly extensions = new Map<string, (args: Record<string, unknown>) => Promise<unknown>>();
  private leaving = false;
  private mesh: Mesh | null = null;

  constructor(
    private readonly world: World,
    /** For a node that has standbys for its shards, and stands by for others'; loaded only there. */
    private readonly standbys: typeof Standbys | null = null,
  ) {
    const s = world.settings;
    this.members = new Members(
      world.clock,
      world.store,
      s.node,
      world.run,
      world.log,
      (key, entry) => this.changed(key, entry),
      () => this.own.dropAll(),
      world.matcher ? MATCH_PROTOCOL_VERSION : PROTOCOL_VERSION,
      standbys !== null,
      nodeLease(s.workers).leaseMs,
      (node) => regionOfNode(s, node),
      s.stateLimits.rps / s.nodes,
    );
    const shards = () => this.own.shards;
    this.storedRequests = new StoredRequests(world, this.members.mirror, (shard, op, args) => {
      const here = this.own.shards.get(shard);
      return here?.ready && STORED_OPS.has(op) ? this.serve(op, { ...args, shard }) : null;
    });
    const nodes = [s.node, ...s.peers.map((p) => p.node)];
    this.owners = new Owners(world, this.members, this.storedRequests, shards, nodes, {
      locate: (id) => this.routing.locate(id),
      soon: (shard) => this.own.soon(shard),
    });
    this.routing = new Routing(world, this.members, this.owners, shards);
    this.own = new Ownership(world, this.members, this.owners.others, {
      valid: () => this.members.valid,
      giveAway: (shard, machine, to) => this.owners.giveAway(shard, machine, to),
      clearMachine: (shard, machine, to, priority) => this.owners.clearMachine(shard, machine, to, priority),
      reserveMachine: (shard, to, need, zone) => this.owners.reserveMachine(shard, to, need, zone),
      allRead: () => this.owners.allRead,
      tellOwns: (shard, term) => {
        for (const peer of s.peers)
          this.mesh?.tell(peer.node, PEER_OPS.owns, { shard, term, holder: this.members.holder });
      },
    });
    this.cloud = new CloudWatch(world, this.members.mirror, this.own);
    this.rates = new Rates(world, this.members, () => this.own.leader !== null);
  }

  async start(mesh: Mesh): Promise<void> {
    this.mesh = mesh;
    this.owners.mesh = mesh;
    if (this.standbys) this.own.standbys = this.makeStandbys(this.standbys, mesh);
    this.cloud.start();
    void this.storedRequests.sweep();
    this.gossipLoop();
    this.members.feed.start(mesh);
    this.rates.start(mesh);
    await this.members.start();
    this.own.start();
  }

  /** A planned end: whoever is next need not wait for the lease to run out. */
  async leave(): Promise<void> {
    this.leaving = true;
    await this.own.leave();
    await this.members.leave();
  }

  private makeStandbys(made: typeof Standbys, mesh: Mesh): Standbys {
    return new made(this.world, this.members, mesh, {
      home: (shard) => this.own.home(shard),
      order: this.own.order,
      zoneOf: (node) => this.own.zones.get(node) ?? '',
      withdrawn: () => this.own.reach.withdrawn || this.leaving,
      taken: (shard, term, from) => this.own.take(shard, term, from),
      lost: (shard, term) => this.own.superseded(shard, term + 1),
      requestPlan: (shard) => this.own.shards.get(shard)?.requestPlan(),
    });
  }

  get healthy(): boolean {
    return !this.leaving && this.members.mirror.ready && this.world.catalog.known;
  }

  private changed(key: string, entry: Entry | null): void {
    if (entry && key.startsWith(KEYS.requests)) this.storedRequests.changed(key, entry);
    if (key.startsWith(KEYS.owners)) this.members.ownerChanged(Number(key.slice(KEYS.owners.length)));
    if (key.startsWith(KEYS.machines)) {
      const id = key.slice(KEYS.machines.length);
      for (const shard of this.own.shards.values()) shard.machineRecord(id, entry);
      if (!entry) this.bury(id);
    }
  }

  private bury(id: string): void {
    this.world.goneMachines.set(id, this.world.clock.now());
    if (this.world.goneMachines.size > GONE_KEPT) {
      this.world.goneMachines.delete(this.world.goneMachines.keys().next().value!);
    }
  }

  // --- between the nodes

  private gossipLoop(): void {
    const leader = this.members.leader();
    for (const s of this.own.shards.values()) {
      if (!s.ready) continue;
      const told = s.gossip(this.world.settings.node);
      if (this.own.leader) this.own.leader.hear(told);
      else if (leader) this.mesh?.tell(leader, PEER_OPS.gossip, told);
    }
    this.world.clock.after(GOSSIP_MS, () => this.gossipLoop());
  }

  /** What another controller asks. */
  async serve(op: string, args: unknown, from = ''): Promise<unknown> {
    const a = (typeof args === 'object' && args !== null ? args : {}) as Record<string, unknown>;
    if (FOR_OWNERS.has(op) && !this.own.shards.get(Number(a.shard))?.ready) {
      // Just handed over by this node, or to it: whoever asked need not notice.
      // Passed on once at most: two nodes that have each handed it to the other, and know no better yet, would go on for ever.
      const next = a.passed === true ? null : this.members.successor(Number(a.shard));
      if (next && this.mesh) return this.mesh.ask(next.node, op, { ...a, passed: true }, SWITCH_MS);
      await this.own.soon(Number(a.shard));
    }
    switch (op) {
      case FEED_OPS.changes:
      case FEED_OPS.head:
        return this.members.feed.serve(op, args);
      case RATES_OP:
        return this.rates.hear(from, args);
      case STANDBY_OPS.stand:
        return this.own.standbys?.follower.hear(args, from) ?? null;
      case STANDBY_OPS.assume:
        return this.own.assume(a);
      case PEER_OPS.gossip: {
        const told = readGossip(args);
        if (told) this.own.leader?.hear(told);
        return null;
      }
      case PEER_OPS.unassigned:
        this.own.leader?.seen(a as unknown as UnassignedMachine);
        return null;
      case PEER_OPS.owns: {
        const holder = readHolder(a.holder);
        if (!holder || !Number.isInteger(a.shard) || !Number.isInteger(a.term)) return null;
        this.members.hearOwner(Number(a.shard), holder, Number(a.term));
        this.own.superseded(Number(a.shard), Number(a.term));
        return null;
      }
      case PEER_OPS.redirected:
        this.own.reach.sentHere(String(a.machine), from);
        for (const s of this.own.shards.values()) s.fleet.reportedElsewhere(String(a.machine));
        return null;
      case PEER_OPS.give: {
        const shard = this.own.shards.get(Number(a.shard));
        return shard ? shard.give(String(a.machine), Number(a.to)) : false;
      }
      case PEER_OPS.clearMachine: {
        const shard = this.own.shards.get(Number(a.shard));
        return shard ? shard.clearMachine(String(a.machine), Number(a.to), Number(a.priority)) : false;
      }
      case PEER_OPS.reserveMachine: {
        const shard = this.own.shards.get(Number(a.shard));
        const need = readNeed(a.need);
        return shard && need ? shard.reserveMachine(Number(a.to), need, String(a.zone)) : false;
      }
      case PEER_OPS.needed:
        return this.owners.local(a.shard).neededBy(Number(a.from), readClaims(a.claims));
      case PEER_OPS.over:
        if (a.status === 'done' || a.status === 'cancelled')
          this.own.shards.get(Number(a.shard))?.overElsewhere(String(a.id), a.status);
        return null;
      case PEER_OPS.submitAfter:
      case PEER_OPS.submit: {
        const spec = readSpec(a.spec);
        if (!spec) throw new Error('bad job');
        return this.owners.local(a.shard).submit(spec);
      }
      case PEER_OPS.status:
        return this.owners.local(a.shard).status(String(a.id));
      case PEER_OPS.cancel:
        return this.owners.local(a.shard).cancel(String(a.id));
      case PEER_OPS.list:
        return this.owners.local(a.shard).list(String(a.under), String(a.after), Number(a.most));
      default: {
        const extension = this.extensions.get(op);
        if (!extension) throw new Error(`unknown request ${op}`);
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
    for (const shard of this.own.shards.values()) {
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
  get allMatch(): boolean {
    return this.owners.allMatch;
  }

  /** Puts a question to the same part of another node. */
  askNode(node: string, op: string, args: object, timeoutMs: number): Promise<unknown> {
    if (!this.mesh) throw new Unavailable('not connected yet');
    return this.mesh.ask(node, op, args, timeoutMs);
  }

  // --- workers

  report(r: Report): ReportAnswer {
    for (const s of this.own.shards.values()) {
      const m = s.fleet.machines.get(r.machine);
      if (!m) continue;
      this.own.reach.heard(m.id);
      const body = s.report(m, r);
      return body ? { kind: 'orders', body } : { kind: 'busy', known: true };
    }
    const entry = this.members.mirror.entries.get(KEYS.machine(r.machine));
    const record = entry && readMachineRecord(entry.value);
    if (!record) {
      this.tellUnassigned(r);
      return { kind: 'busy', known: false };
    }
    const owner = this.members.owner(record.shard);
    // A node without its lease has lost touch with the state service. Whom it takes for the owner may be the one that was
    // cut off together with it: each sent machines to the other, and none to the new owner, until their leases ran out.
    if (
      !owner ||
      owner.node === this.world.settings.node ||
      !(this.members.valid || this.members.heard(record.shard))
    )
      return { kind: 'busy', known: true };
    this.mesh?.tell(owner.node, PEER_OPS.redirected, { machine: r.machine });
    return { kind: 'redirect', node: owner.node };
  }

  private tellUnassigned(r: Report): void {
    const machine: UnassignedMachine = {
      id: r.machine,
      addr: r.addr,
      type: r.type,
      zone: r.zone,
      spot: r.spot,
      ageS: 0,
    };
    const leader = this.members.leader();
    if (this.own.leader) this.own.leader.seen(machine);
    else if (leader) this.mesh?.tell(leader, PEER_OPS.unassigned, machine);
  }
}
