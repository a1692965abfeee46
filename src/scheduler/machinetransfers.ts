import { machineKindName, type ResourceDemand } from '../autoscaler/shardstatus.js';
import type { Log } from '../config/log.js';
import type { ControllerContext } from '../context/context.js';
import type { Job } from '../jobs/job.js';
import { fitCount } from '../plan/capacityprofile.js';
import type { Machine, TaskAttempt } from '../workers/machine.js';
import type { MachineRegistry } from '../workers/machineregistry.js';

/** A machine whose tasks are stopped for another shard stays in this shard if it is not empty within this time. */
const TRANSFER_TIMEOUT_MS = 15_000;
/** A machine is reserved only if its tasks are expected to end within this time. */
const RESERVE_WITHIN_MS = 20_000;
/** Maximum number of machines reserved at a time. */
const MAX_RESERVED_MACHINES = 12;
/** No machine is reserved when fewer machines than this fit the demand. */
const MIN_FITTING_MACHINES = 40;
/**
 * Cost of choosing a machine with GPUs that are not needed, equivalent to this delay until the machine is empty.
 */
const UNNEEDED_GPUS_COST_MS = 10_000;
/** The same cost for a machine outside the zone of the other shard's owner. */
const OTHER_ZONE_COST_MS = 5000;

/** Callbacks by which `MachineTransfers` queries and notifies its shard. */
export interface MachineTransfersHooks {
  /** Returns whether the shard is loaded and its owner may act. */
  isReady(): boolean;
  /** Returns whether a machine is being transferred to another shard or returned to the cloud. */
  isMoving(id: string): boolean;
  /** Transfers a machine that has become empty to the shard that it was reserved for. */
  transferMachine(id: string, to: number): Promise<boolean>;
  requestPlan(): void;
}

/** A pending transfer: the machine goes to another shard once it is empty. */
interface Transfer {
  /** The index of the destination shard. */
  readonly to: number;
  /** When the transfer expires and the machine stays in this shard; monotonic clock, in milliseconds. */
  readonly until: number;
  /** `evicting`: its tasks are being stopped. `reserved`: its tasks run to their end. */
  readonly kind: 'evicting' | 'reserved';
}

/** Frees machines of this shard for more urgent jobs of other shards. */
export class MachineTransfers {
  private readonly transfers = new Map<string, Transfer>();

  constructor(
    private readonly context: ControllerContext,
    private readonly registry: MachineRegistry,
    private readonly jobs: ReadonlyMap<string, Job>,
    private readonly log: Log,
    private readonly hooks: MachineTransfersHooks,
  ) {}

  /** Returns whether a machine has a pending transfer to another shard. */
  hasPendingTransfer(id: string): boolean {
    return this.transfers.has(id);
  }

  /**
   * Stops all tasks on a machine to transfer it to a shard with more urgent jobs. Returns false when the tasks may
   * not be stopped for this.
   */
  evictForTransfer(id: string, to: number, priority: number): boolean {
    const machine = this.registry.machines.get(id);
    if (
      !machine ||
      !this.hooks.isReady() ||
      this.hasPendingTransfer(id) ||
      !this.isPreemptibleFor(machine, priority)
    )
      return false;
    const now = this.context.clock.now();
    this.transfers.set(id, { to, until: now + TRANSFER_TIMEOUT_MS, kind: 'evicting' });
    this.log.info(
      { machine: id, to, held: machine.attempts.size },
      'stopping all tasks on a machine to transfer it to another shard',
    );
    for (const attempt of machine.attempts.values())
      this.registry.stopTask(attempt, (this.jobs.get(attempt.job)?.spec.saveS ?? 0) + 1);
    this.registry.sendStops();
    this.hooks.requestPlan();
    return true;
  }

  /**
   * Reserves the machine that becomes empty first for a shard where urgent jobs wait longer: running tasks are not
   * stopped, but no further task starts there. `zone` is the zone of the other shard's owner, `endOf` returns the
   * expected end of a task. Returns false when no machine qualifies.
   */
  reserveForTransfer(
    to: number,
    need: ResourceDemand,
    zone: string,
    endOf: (attempt: TaskAttempt) => number,
  ): boolean {
    if (!this.hooks.isReady()) return false;
    const now = this.context.clock.now();
    let reserved = 0;
    for (const t of this.transfers.values()) if (t.kind === 'reserved') reserved++;
    if (reserved >= MAX_RESERVED_MACHINES) return false;
    let best: { machine: Machine; cost: number } | null = null;
    let fitting = 0;
    for (const machine of this.registry.machines.values()) {
      if (!this.isFitting(machine, need, now)) continue;
      fitting++;
      if (this.hasPendingTransfer(machine.id) || this.hooks.isMoving(machine.id)) continue;
      let end = now;
      for (const attempt of machine.attempts.values())
        if (attempt.state !== 'exited') end = Math.max(end, endOf(attempt));
      if (end > now + RESERVE_WITHIN_MS) continue;
      const cost = end - now + this.mismatchCostMs(machine, need, zone);
      if (!best || cost < best.cost) best = { machine, cost };
    }
    // When few machines fit, the time that a reserved machine stands empty costs more than evening out the waiting
    // times gains.
    if (!best || fitting < MIN_FITTING_MACHINES) return false;
    const { id, attempts } = best.machine;
    this.transfers.set(id, { to, until: now + RESERVE_WITHIN_MS * 2, kind: 'reserved' });
    this.log.info({ machine: id, to, held: attempts.size }, 'machine reserved for transfer');
    this.hooks.requestPlan();
    return true;
  }

  /** Returns whether a machine is in service and of a kind that the other shard can use. */
  private isFitting(machine: Machine, need: ResourceDemand, now: number): boolean {
    if (!inService(machine) || machine.quarantinedUntil > now) return false;
    const { types, zones } = this.context.names;
    const type = types.name(machine.type);
    const zone = zones.name(machine.zone);
    if (need.types && !need.types.includes(type)) return false;
    if ((machine.spot && !need.spot) || (need.zone !== null && need.zone !== zone)) return false;
    if (need.kinds && !need.kinds.includes(machineKindName(type, zone, machine.spot))) return false;
    return fitCount(this.context.catalog.size(machine.type), need, 1) > 0;
  }

  /** Returns the extra cost of unneeded GPUs and of a zone other than that of the other shard's owner. */
  private mismatchCostMs(machine: Machine, need: ResourceDemand, zone: string): number {
    const unneededGpus = need.gpus === 0 && this.context.catalog.size(machine.type).gpus > 0;
    const otherZone = this.context.names.zones.name(machine.zone) !== zone;
    return (unneededGpus ? UNNEEDED_GPUS_COST_MS : 0) + (otherZone ? OTHER_ZONE_COST_MS : 0);
  }

  /** Returns whether all tasks on a machine may be stopped for jobs of a priority; false for an empty machine. */
  isPreemptibleFor(machine: Machine, priority: number): boolean {
    if (!inService(machine) || machine.attempts.size === 0) return false;
    for (const attempt of machine.attempts.values()) {
      const job = this.jobs.get(attempt.job);
      if (!job || attempt.stop || job.priority >= priority || job.spec.kind === 'gang') return false;
    }
    return true;
  }

  /**
   * Transfers the machines that have become empty and drops expired transfers; `now` is the monotonic clock in
   * milliseconds.
   */
  completeTransfers(now: number): void {
    for (const [id, transfer] of this.transfers) {
      const machine = this.registry.machines.get(id);
      if (!machine || now > transfer.until) this.transfers.delete(id);
      else if (machine.attempts.size === 0 && machine.reconciled && !this.hooks.isMoving(id)) {
        void this.hooks.transferMachine(id, transfer.to).finally(() => this.transfers.delete(id));
      }
    }
  }
}

/** Returns whether a machine has reported all tasks that it holds and is not about to leave. */
function inService(machine: Machine): boolean {
  return (
    machine.reconciled &&
    !machine.decommissioning &&
    !machine.leaseExpired &&
    !machine.mayHoldUnreportedTasks &&
    machine.reclaimAt === null
  );
}
