import { chooseEviction, chooseReservation, chooseTransfers } from '../autoscaler/rebalancing.js';
import type { ResourceDemand, ShardStatus } from '../autoscaler/shardstatus.js';
import type { ControllerContext } from '../context/context.js';
import type { Amounts } from '../plan/capacityprofile.js';
import type { ClusterStateCache } from './clusterstatecache.js';
import { countByShard, maxMachinesPerShard } from './machinecounts.js';

const SHARD_STATUS_VALID_MS = 4000;
const TRANSFER_TIMEOUT_MS = 2500;
const EVICT_INTERVAL_MS = 700;
const RESERVE_INTERVAL_MS = 300;
const DEFAULT_START_OBJECTIVE_S = 120;
const RESERVE_OBJECTIVE_SHARE = 1;

/** How the leader asks owners of shards for machines; each answers false when it gives none. */
export interface TransferHooks {
  /** The owner of a shard gives an empty machine to another. */
  transferMachine(shard: number, machine: string, to: number): Promise<boolean>;
  /** The owner of a shard clears a machine for another's more urgent work. */
  evictForTransfer(shard: number, machine: string, to: number, priority: number): Promise<boolean>;
  /** The owner of a shard promises a machine whose tasks end soon. */
  reserveForTransfer(shard: number, to: number, need: ResourceDemand, zone: string): Promise<boolean>;
}

/** What the rebalancing reads, and how it asks owners. */
export interface MachineRebalancerOptions {
  readonly context: ControllerContext;
  readonly stateCache: ClusterStateCache;
  readonly hooks: TransferHooks;
  /** How many machines are known that no record names. */
  unregisteredCount(): number;
}

/** The leader's part for machines of shards: has them moved to where tasks wait. What it asks for may be refused. */
export class MachineRebalancer {
  /** The last status of each shard, and when it came, in steady milliseconds. */
  private readonly shardStatuses = new Map<number, { readonly at: number; readonly status: ShardStatus }>();
  /** When the move of a machine was asked for, by its id, in steady milliseconds. */
  private readonly transfersInFlight = new Map<string, number>();
  private evictedAt = Number.NEGATIVE_INFINITY;
  private reservedAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: MachineRebalancerOptions) {}

  /** An owner has reported its shard's status. */
  onShardStatus(status: ShardStatus): void {
    this.shardStatuses.set(status.shard, { at: this.options.context.clock.now(), status });
  }

  /** Asks for the moves that are due: of empty machines first, then of ones whose tasks end soon, then by eviction. */
  rebalance(): void {
    const { context, stateCache } = this.options;
    const now = context.clock.now();
    for (const [id, at] of this.transfersInFlight)
      if (now - at > TRANSFER_TIMEOUT_MS) this.transfersInFlight.delete(id);
    const statuses = this.validStatuses(now);
    const counts = countByShard(stateCache, context.settings.nodes);
    const maxMachines = maxMachinesPerShard(context, counts, this.options.unregisteredCount());
    this.transferIdle(statuses, counts, maxMachines, now);
    this.reserve(statuses, counts, maxMachines, now);
    this.evict(statuses, now);
  }

  private validStatuses(now: number): ShardStatus[] {
    return [...this.shardStatuses.values()]
      .filter((s) => now - s.at < SHARD_STATUS_VALID_MS)
      .map((s) => s.status);
  }

  private readonly sizeOf = (type: string): Amounts => {
    const { catalog, names } = this.options.context;
    return catalog.size(names.types.index(type));
  };

  private transferIdle(
    statuses: readonly ShardStatus[],
    counts: number[],
    maxMachines: number,
    now: number,
  ): void {
    for (const { machine, from, to } of chooseTransfers(statuses, this.sizeOf)) {
      if (this.transfersInFlight.has(machine) || counts[to]! >= maxMachines) continue;
      counts[to]!++;
      this.transfersInFlight.set(machine, now);
      void this.options.hooks.transferMachine(from, machine, to).catch(() => undefined);
    }
  }

  private reserve(
    statuses: readonly ShardStatus[],
    counts: readonly number[],
    maxMachines: number,
    now: number,
  ): void {
    if (now - this.reservedAt < RESERVE_INTERVAL_MS) return;
    const reservation = chooseReservation(statuses, this.maxReserverWaitS());
    if (!reservation || counts[reservation.to]! >= maxMachines) return;
    this.reservedAt = now;
    const { from, to, need, zone } = reservation;
    void this.options.hooks.reserveForTransfer(from, to, need, zone).catch(() => undefined);
  }

  private evict(statuses: readonly ShardStatus[], now: number): void {
    if (now - this.evictedAt < EVICT_INTERVAL_MS) return;
    const eviction = chooseEviction(statuses, this.sizeOf);
    if (!eviction || this.transfersInFlight.has(eviction.machine)) return;
    this.evictedAt = now;
    const { from, machine, to, priority } = eviction;
    this.transfersInFlight.set(machine, now);
    void this.options.hooks.evictForTransfer(from, machine, to, priority).catch(() => undefined);
  }

  /** A shard reserves machines as long as its own urgent work still meets the strictest objective for a start, in seconds. */
  private maxReserverWaitS(): number {
    let strictestS = DEFAULT_START_OBJECTIVE_S;
    for (const objective of this.options.context.settings.objectives)
      if (objective.kind === 'wait' && objective.withinS !== null)
        strictestS = Math.min(strictestS, objective.withinS);
    return strictestS * RESERVE_OBJECTIVE_SHARE;
  }
}
