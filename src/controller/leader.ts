import type { ShardStatus } from '../autoscaler/shardstatus.js';
import { type PeriodicTask, startPeriodicTask } from '../clock/periodictask.js';
import type { ControllerContext } from '../context/context.js';
import type { ListedMachine } from '../wire/cloud.js';
import type { ClusterStateCache } from './clusterstatecache.js';
import { MachineAssigner, type UnregisteredMachine } from './machineassignment.js';
import { MachineRebalancer, type TransferHooks } from './machinerebalancing.js';
import { TeamAssigner } from './teamassignment.js';

const LEADER_INTERVAL_MS = 250;

/** What the leader needs of the node that it is part of. */
export interface LeaderHooks extends TransferHooks {
  /** Whether this node's lease surely lasts. */
  holdsLease(): boolean;
  /** Whether every node understands what the first version did not. */
  allSupportLatest(): boolean;
}

/** What one leadership, under its term, is made with. */
export interface LeaderOptions {
  readonly context: ControllerContext;
  /** Version of the leader key: what the leader writes holds only while the key is at it. */
  readonly term: number;
  readonly stateCache: ClusterStateCache;
  readonly hooks: LeaderHooks;
  /** Zone of the node that a shard is at home on. */
  zoneOf(shard: number): string;
}

/**
 * The leader's work: it assigns teams and unregistered machines to the shards, and has machines moved to where tasks wait.
 * What it decides is only ever a request that may be refused or a conditional write, so two leaders at once do no harm.
 */
export class Leader {
  private readonly teams: TeamAssigner;
  private readonly machines: MachineAssigner;
  private readonly rebalancer: MachineRebalancer;
  private leading: PeriodicTask | null = null;

  constructor(private readonly options: LeaderOptions) {
    const { context, term, stateCache, hooks } = options;
    this.teams = new TeamAssigner({
      context,
      term,
      stateCache,
      allSupportLatest: () => hooks.allSupportLatest(),
    });
    this.machines = new MachineAssigner({
      context,
      term,
      stateCache,
      zoneOf: (shard) => options.zoneOf(shard),
    });
    this.rebalancer = new MachineRebalancer({
      context,
      stateCache,
      hooks,
      unregisteredCount: () => this.machines.pendingCount,
    });
  }

  /** Begins to lead, under a term. */
  start(): void {
    const { context, term } = this.options;
    context.log.info({ term }, 'became leader');
    this.leading = startPeriodicTask(context.clock, LEADER_INTERVAL_MS, () => this.lead());
  }

  /** Leads no more; what is under way ends by its conditions. */
  stop(): void {
    this.leading?.stop();
  }

  /** An owner has reported its shard's status. */
  onShardStatus(status: ShardStatus): void {
    this.rebalancer.onShardStatus(status);
  }

  /** A machine that no record names has reported. */
  onUnregisteredMachine(machine: UnregisteredMachine): void {
    this.machines.onUnregisteredMachine(machine);
  }

  /** The cloud has listed its machines. */
  onMachineList(machines: readonly ListedMachine[]): void {
    this.machines.onMachineList(machines);
  }

  private lead(): void {
    if (!this.options.hooks.holdsLease() || !this.options.stateCache.isLoaded) return;
    void this.teams.assign();
    void this.machines.assign();
    this.rebalancer.rebalance();
  }
}
