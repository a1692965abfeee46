import { type PeriodicTask, startPeriodicTask } from '../clock/periodictask.js';
import type { ControllerContext } from '../context/context.js';
import type { PeerShards } from '../scheduler/responses.js';
import type { Shard } from '../scheduler/shard.js';
import { KEYS } from '../schema/schema.js';
import type { TakeoverState } from '../standby/standbyreplicas.js';
import { Cordoning } from './cordoning.js';
import { Handovers } from './handover.js';
import type { IncomingHandovers } from './incominghandovers.js';
import { Leader, type LeaderHooks } from './leader.js';
import { decideLeadership, type LeadershipAction } from './leaderelection.js';
import type { Membership } from './membership.js';
import { OwnedShards } from './ownedshards.js';
import { OwnerKeys } from './ownerkeys.js';
import {
  type ClusterView,
  decideShard,
  preferredNode,
  type ShardAction,
  type ShardTimers,
  type StandbyView,
} from './shardownership.js';
import type { StandbyCoordinator } from './standbycoordinator.js';
import { WorkerConnectivity } from './workerconnectivity.js';

const RECONCILE_INTERVAL_MS = 200;
const NO_TIMERS: ShardTimers = { unownedSince: null, preferredNodeAvailableSince: null };

/** Dependencies of `Ownership`. */
export interface OwnershipOptions {
  readonly context: ControllerContext;
  readonly members: Membership;
  /** Shards that this node owns; empty at first, and modified only by `Ownership`. */
  readonly shards: Map<number, Shard>;
  readonly incomingHandovers: IncomingHandovers;
  /** Access of this node's shards to the other shards. */
  readonly peerShards: PeerShards;
  readonly leaderHooks: LeaderHooks;
  /** Announces to the other nodes that this node owns a shard under a term. */
  announceOwner(shard: number, term: number): void;
}

/**
 * The shards that this node owns, and its leadership while it is the leader. The decisions are pure functions in
 * `shardownership.ts` and `leaderelection.ts`; this class evaluates them every 200 ms and executes their actions.
 */
export class Ownership {
  readonly workerConnectivity: WorkerConnectivity;
  readonly handovers: Handovers;
  leader: Leader | null = null;
  /** All configured nodes, in the order in which they claim keys without a holder. */
  readonly nodeOrder: readonly string[];
  readonly zones: ReadonlyMap<string, string>;
  private readonly context: ControllerContext;
  private readonly members: Membership;
  private readonly owned: OwnedShards;
  private readonly keys: OwnerKeys;
  private readonly cordoning: Cordoning;
  private readonly view: ClusterView;
  private readonly shardTimers = new Map<number, ShardTimers>();
  private leadershipVacantSince: number | null = null;
  private reconcileTask: PeriodicTask | null = null;

  constructor(private readonly options: OwnershipOptions) {
    const { context, members, peerShards, shards, incomingHandovers } = options;
    const { settings } = context;
    this.context = context;
    this.members = members;
    this.nodeOrder = [settings.node, ...settings.peers.map((p) => p.node)].sort();
    this.zones = new Map([settings, ...settings.peers].map((n) => [n.node, n.zone]));
    this.workerConnectivity = new WorkerConnectivity(context.clock);
    this.keys = new OwnerKeys(context, members);
    this.owned = new OwnedShards({
      context,
      members,
      shards,
      peerShards,
      onStarted: (shard, term) => options.announceOwner(shard, term),
    });
    const { owned, keys } = this;
    this.handovers = new Handovers({ context, members, owned, keys, incoming: incomingHandovers });
    this.cordoning = new Cordoning({
      context,
      members,
      owned,
      keys,
      handovers: this.handovers,
      connectivity: this.workerConnectivity,
    });
    this.view = this.clusterView();
  }

  /** Shards that this node owns, by shard index. */
  get shards(): ReadonlyMap<number, Shard> {
    return this.owned.shards;
  }

  /** Shards that another node is handing over to this one. */
  get incomingHandovers(): IncomingHandovers {
    return this.options.incomingHandovers;
  }

  /** The standby coordinator, set when the node starts; null where standbys are not enabled. */
  get standbyCoordinator(): StandbyCoordinator | null {
    return this.owned.standbyCoordinator;
  }

  /**
   * Enables standbys. Called once, before `start`, so that this node answers owners' replication messages from then
   * on.
   */
  enableStandbys(coordinator: StandbyCoordinator): void {
    this.owned.standbyCoordinator = coordinator;
  }

  /**
   * Starts the periodic reconciliation, which claims keys without a holder and checks the shards that this node owns.
   */
  start(): void {
    this.standbyCoordinator?.start();
    this.reconcileTask = startPeriodicTask(this.context.clock, RECONCILE_INTERVAL_MS, () => this.reconcile());
  }

  /** Shuts down as planned: hands each shard that has an in-sync standby over to it, then stops owning everything. */
  async leave(): Promise<void> {
    await Promise.all([...this.shards.values()].map((s) => this.handovers.handOver(s, 'leaving')));
    this.stopOwningAll();
    this.reconcileTask?.stop();
  }

  /** Stops the schedulers of all shards permanently, and resigns the leadership. */
  stopOwningAll(): void {
    this.owned.stopOwningAll();
    this.resign();
  }

  /** Returns the preferred node of a shard. */
  preferredNode(shard: number): string {
    return preferredNode(this.nodeOrder, shard);
  }

  /** Starts owning a shard that this node, its standby, has taken over under a new term. */
  onTakeover(shard: number, term: number, takeover: TakeoverState): void {
    this.owned.startOwning(shard, term, takeover);
  }

  /**
   * Stops owning a shard that another node has taken under a newer term. This node's term has then ended, even if its
   * cached view of the keys still shows the older state.
   */
  onNewerTerm(shard: number, term: number): void {
    this.owned.onNewerTerm(shard, term);
  }

  private reconcile(): void {
    if (!this.members.holdsLease || !this.members.stateCache.isLoaded) return;
    this.cordoning.reconcile();
    this.handovers.handOverIfCutOff();
    for (let shard = 0; shard < this.context.settings.nodes; shard++) this.reconcileShard(shard);
    this.reconcileLeadership();
  }

  private reconcileShard(shard: number): void {
    const state = {
      shard,
      owned: this.shards.get(shard) ?? null,
      keyInFlight: this.keys.isInFlight(KEYS.owner(shard)),
      retiredTerms: this.owned.retiredTerms,
      ...(this.shardTimers.get(shard) ?? NO_TIMERS),
    };
    const { actions, timers } = decideShard(this.view, state, this.context.clock.now());
    this.shardTimers.set(shard, timers);
    for (const action of actions) this.executeShardAction(shard, action);
  }

  private executeShardAction(index: number, action: ShardAction): void {
    const shard = this.shards.get(index);
    switch (action.kind) {
      case 'stopOwning':
        if (shard) this.owned.stopOwning(shard);
        return;
      case 'startOwning':
        this.owned.startOwning(index, action.term);
        return;
      case 'releaseRetiredTerm':
        this.keys.startRelease(index, action.term);
        return;
      case 'handOverToPreferredNode':
        if (shard) void this.handovers.handOver(shard, 'going home');
        return;
      case 'handBack':
        this.context.log.info({ shard: index, to: action.to }, 'shard handed back');
        if (shard) this.owned.stopOwning(shard);
        this.keys.startRelease(index, action.term);
        return;
      case 'claim':
        this.keys.claim(KEYS.owner(index), (term) => this.owned.startOwning(index, term));
    }
  }

  private reconcileLeadership(): void {
    const entry = this.members.stateCache.entries.get(KEYS.leader);
    const state = {
      leaderKey: entry ? { term: entry.version, heldHere: this.members.isHeldHere(entry.value) } : null,
      leading: this.leader !== null,
      claimInFlight: this.keys.isInFlight(KEYS.leader),
      vacantSince: this.leadershipVacantSince,
      nodeIndex: this.nodeOrder.indexOf(this.context.settings.node),
    };
    const { actions, vacantSince } = decideLeadership(state, this.context.clock.now());
    this.leadershipVacantSince = vacantSince;
    for (const action of actions) this.executeLeadershipAction(action);
  }

  private executeLeadershipAction(action: LeadershipAction): void {
    switch (action.kind) {
      case 'resign':
        this.resign();
        return;
      case 'lead':
        this.becomeLeader(action.term);
        return;
      case 'claim':
        this.keys.claim(KEYS.leader, (term) => {
          if (!this.leader) this.becomeLeader(term);
        });
    }
  }

  private becomeLeader(term: number): void {
    this.leader = new Leader({
      context: this.context,
      term,
      stateCache: this.members.stateCache,
      zoneOf: (shard) => this.zones.get(this.preferredNode(shard)) ?? '',
      hooks: this.options.leaderHooks,
    });
    this.leader.start();
    this.leader.onMachineList(this.context.catalog.listedMachines);
  }

  private resign(): void {
    this.leader?.stop();
    this.leader = null;
  }

  /**
   * Returns the cluster as the decision functions see it; each value is read when it is used, not when this is
   * called.
   */
  private clusterView(): ClusterView {
    const { members, workerConnectivity, owned } = this;
    const standbyView = this.standbyView();
    return {
      thisNode: this.context.settings.node,
      nodeOrder: this.nodeOrder,
      get cordoned() {
        return workerConnectivity.cordoned;
      },
      get standbys() {
        return owned.standbyCoordinator ? standbyView : null;
      },
      ownerKey: (shard) => {
        const entry = members.stateCache.entries.get(KEYS.owner(shard));
        return entry ? { term: entry.version, heldHere: members.isHeldHere(entry.value) } : null;
      },
      isHandedOver: (shard) => members.successor(shard) !== null,
      isPresent: (node) => members.isPresent(node),
      isNodeCordoned: (node) => members.isNodeCordoned(node),
    };
  }

  private standbyView(): StandbyView {
    const { owned } = this;
    return {
      isStandbyCapable: (node) => owned.standbyCoordinator?.isStandbyCapable(node) ?? false,
      shouldReturnToPreferredNode: (shard) =>
        owned.standbyCoordinator?.shouldReturnToPreferredNode(shard) ?? false,
      successorOf: (index) => {
        const shard = owned.shards.get(index);
        return shard ? owned.successorOf(shard) : null;
      },
    };
  }
}
