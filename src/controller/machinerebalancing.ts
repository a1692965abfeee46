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

/** Requests of the leader to owners of shards for machines; each answers false when the owner refuses. */
export interface TransferHooks {
  /** Asks the owner of a shard to transfer an idle machine to another shard. */
  transferMachine(shard: number, machine: string, to: number): Promise<boolean>;
  /** Asks the owner of a shard to evict a machine's tasks for another shard's more urgent work. */
  evictForTransfer(shard: number, machine: string, to: number, priority: number): Promise<boolean>;
  /** Asks the owner of a shard to reserve a machine whose tasks end soon for another shard. */
  reserveForTransfer(shard: number, to: number, need: ResourceDemand, zone: string): Promise<boolean>;
}

/** Dependencies of `MachineRebalancer`. */
export interface MachineRebalancerOptions {
  readonly context: ControllerContext;
  readonly stateCache: ClusterStateCache;
  readonly hooks: TransferHooks;
  /** Returns the number of known machines without a record. */
  unregisteredCount(): number;
}

/** Rebalances machines, on the leader, towards shards with waiting tasks. Its requests to owners may be refused. */
export class MachineRebalancer {
  /** Last status of each shard, with its time of arrival in milliseconds of the monotonic clock. */
  private readonly shardStatuses = new Map<number, { readonly at: number; readonly status: ShardStatus }>();
  /** Monotonic time in milliseconds at which the transfer of a machine was requested, by the machine's id. */
  private readonly transfersInFlight = new Map<string, number>();
  private evictedAt = Number.NEGATIVE_INFINITY;
  private reservedAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: MachineRebalancerOptions) {}

  /** Handles a status that an owner has reported for its shard. */
  onShardStatus(status: ShardStatus): void {
    this.shardStatuses.set(status.shard, { at: this.options.context.clock.now(), status });
  }

  /**
   * Requests the transfers that are due: of idle machines first, then of machines whose tasks end soon, then by
   * eviction.
   */
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

  /**
   * Returns the wait, in seconds, up to which a shard may reserve machines for other shards: while its own urgent
   * work still meets the strictest start objective.
   */
  private maxReserverWaitS(): number {
    let strictestS = DEFAULT_START_OBJECTIVE_S;
    for (const objective of this.options.context.settings.objectives)
      if (objective.kind === 'wait' && objective.withinS !== null)
        strictestS = Math.min(strictestS, objective.withinS);
    return strictestS * RESERVE_OBJECTIVE_SHARE;
  }
}
