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
  homeNode,
  type ShardAction,
  type ShardTimers,
  type StandbyView,
} from './shardownership.js';
import type { StandbyCoordinator } from './standbycoordinator.js';
import { WorkerConnectivity } from './workerconnectivity.js';

const RECONCILE_INTERVAL_MS = 200;
const NO_TIMERS: ShardTimers = { unownedSince: null, homeAvailableSince: null };

/** What ownership is decided by and carried out with. */
export interface OwnershipOptions {
  readonly context: ControllerContext;
  readonly members: Membership;
  /** The shards that this node owns: empty at first, filled and emptied here only. */
  readonly shards: Map<number, Shard>;
  readonly incomingHandovers: IncomingHandovers;
  /** What a shard here needs of the others. */
  readonly peerShards: PeerShards;
  readonly leaderHooks: LeaderHooks;
  /** Announces to the other nodes that this one owns a shard under a term. */
  announceOwner(shard: number, term: number): void;
}

/**
 * What this node owns: shards, and the leadership when it has it. The decisions are in `shardownership.ts` and
 * `leaderelection.ts`; here they are taken every 200 ms, and carried out.
 */
export class Ownership {
  readonly workerConnectivity: WorkerConnectivity;
  readonly handovers: Handovers;
  leader: Leader | null = null;
  /** All nodes of the settings, in the order in which they claim what nobody holds. */
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
  private reconciling: PeriodicTask | null = null;

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

  /** The shards that this node owns, by their index. */
  get shards(): ReadonlyMap<number, Shard> {
    return this.owned.shards;
  }

  /** Shards that another node is handing over to this one. */
  get incomingHandovers(): IncomingHandovers {
    return this.options.incomingHandovers;
  }

  /** Where standbys are enabled, from when the node starts. */
  get standbyCoordinator(): StandbyCoordinator | null {
    return this.owned.standbyCoordinator;
  }

  /** Where standbys are enabled: called once, before the start, so that messages of owners are answered from then on. */
  enableStandbys(coordinator: StandbyCoordinator): void {
    this.owned.standbyCoordinator = coordinator;
  }

  /** Begins to claim what nobody holds, and to watch what this node owns. */
  start(): void {
    this.standbyCoordinator?.start();
    this.reconciling = startPeriodicTask(this.context.clock, RECONCILE_INTERVAL_MS, () => this.reconcile());
  }

  /** A planned end: each shard with a standby in sync goes to it. */
  async leave(): Promise<void> {
    await Promise.all([...this.shards.values()].map((s) => this.handovers.handOver(s, 'leaving')));
    this.stopOwningAll();
    this.reconciling?.stop();
  }

  /** Ends all shards' schedulers and the leadership, for good. */
  stopOwningAll(): void {
    this.owned.stopOwningAll();
    this.resign();
  }

  /** The node that a shard is at home on. */
  homeNode(shard: number): string {
    return homeNode(this.nodeOrder, shard);
  }

  /** This node, the shard's standby, has taken it over under a new term. */
  onTakeover(shard: number, term: number, takeover: TakeoverState): void {
    this.owned.startOwning(shard, term, takeover);
  }

  /** Another node has taken a shard under a newer term: this one's is over, whatever its view of the keys shows. */
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
    for (const action of actions) this.carryOutForShard(shard, action);
  }

  private carryOutForShard(index: number, action: ShardAction): void {
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
      case 'handOverToHome':
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
    for (const action of actions) this.carryOutForLeadership(action);
  }

  private carryOutForLeadership(action: LeadershipAction): void {
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
      zoneOf: (shard) => this.zones.get(this.homeNode(shard)) ?? '',
      hooks: this.options.leaderHooks,
    });
    this.leader.start();
    this.leader.onMachineList(this.context.catalog.listedMachines);
  }

  private resign(): void {
    this.leader?.stop();
    this.leader = null;
  }

  /** The cluster as the decisions see it; all is read when it is asked for. */
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
      shouldReturnHome: (shard) => owned.standbyCoordinator?.shouldReturnHome(shard) ?? false,
      successorOf: (index) => {
        const shard = owned.shards.get(index);
        return shard ? owned.successorOf(shard) : null;
      },
    };
  }
}
