import type { ShardStatus } from '../autoscaler/shardstatus.js';
import { type PeriodicTask, startPeriodicTask } from '../clock/periodictask.js';
import type { ControllerContext } from '../context/context.js';
import type { ListedMachine } from '../wire/cloud.js';
import type { ClusterStateCache } from './clusterstatecache.js';
import { MachineAssigner, type UnregisteredMachine } from './machineassignment.js';
import { MachineRebalancer, type TransferHooks } from './machinerebalancing.js';
import { TeamAssigner } from './teamassignment.js';

const LEADER_INTERVAL_MS = 250;

/** Functions of the node that the leader uses. */
export interface LeaderHooks extends TransferHooks {
  /** Whether this node's lease is guaranteed to be valid. */
  holdsLease(): boolean;
  /** Whether every node supports `PROTOCOL_VERSION`, and so the features that the first version lacks. */
  allSupportProtocolVersion(): boolean;
}

/** Dependencies of a `Leader`, which acts under one term. */
export interface LeaderOptions {
  readonly context: ControllerContext;
  /** Version of the leader key. The leader's writes are conditional on the key still being at this version. */
  readonly term: number;
  readonly stateCache: ClusterStateCache;
  readonly hooks: LeaderHooks;
  /** Returns the zone of a shard's preferred node. */
  zoneOf(shard: number): string;
}

/**
 * Performs the leader's work: assigns teams and unregistered machines to shards, and rebalances machines towards
 * shards with waiting tasks. Every decision is either a request that its receiver may refuse or a conditional write,
 * so two leaders at the same time do no harm.
 */
export class Leader {
  private readonly teams: TeamAssigner;
  private readonly machines: MachineAssigner;
  private readonly rebalancer: MachineRebalancer;
  private task: PeriodicTask | null = null;

  constructor(private readonly options: LeaderOptions) {
    const { context, term, stateCache, hooks } = options;
    this.teams = new TeamAssigner({
      context,
      term,
      stateCache,
      allSupportProtocolVersion: () => hooks.allSupportProtocolVersion(),
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

  /** Starts the leader's periodic work. */
  start(): void {
    const { context, term } = this.options;
    context.log.info({ term }, 'became leader');
    this.task = startPeriodicTask(context.clock, LEADER_INTERVAL_MS, () => this.runPass());
  }

  /** Stops the periodic work. Writes already sent are decided by their conditions. */
  stop(): void {
    this.task?.stop();
  }

  /** Handles a status that an owner has reported for its shard. */
  onShardStatus(status: ShardStatus): void {
    this.rebalancer.onShardStatus(status);
  }

  /** Handles a heartbeat of a machine that has no record. */
  onUnregisteredMachine(machine: UnregisteredMachine): void {
    this.machines.onUnregisteredMachine(machine);
  }

  /** Handles a new list of machines from the cloud. */
  onMachineList(machines: readonly ListedMachine[]): void {
    this.machines.onMachineList(machines);
  }

  private runPass(): void {
    if (!this.options.hooks.holdsLease() || !this.options.stateCache.isLoaded) return;
    void this.teams.assign();
    void this.machines.assign();
    this.rebalancer.rebalance();
  }
}
