import { machineKindName, type ResourceDemand } from '../autoscaler/shardstatus.js';
import type { Log } from '../config/log.js';
import type { ControllerContext } from '../context/context.js';
import type { Job } from '../jobs/job.js';
import { fitCount } from '../plan/capacityprofile.js';
import type { Machine, TaskAttempt } from '../workers/machine.js';
import type { MachineRegistry } from '../workers/machineregistry.js';

/** A machine whose tasks are stopped for another shard is empty by then, or kept. */
const TRANSFER_TIMEOUT_MS = 15_000;
/** A machine is reserved when its tasks end within this, and so many at a time. */
const RESERVE_WITHIN_MS = 20_000;
const MAX_RESERVED_MACHINES = 12;
/** Nothing is reserved where fewer machines than this fit. */
const MIN_FITTING_MACHINES = 40;
/** What it counts for, as so many milliseconds more until a machine is empty, that it has GPUs which are not needed. */
const UNNEEDED_GPUS_COST_MS = 10_000;
/** The same for a machine in another zone than that of the other shard's owner. */
const OTHER_ZONE_COST_MS = 5000;

/** What `MachineTransfers` asks of its shard. */
export interface MachineTransfersHooks {
  /** Whether the shard is loaded and its owner may act. */
  ready(): boolean;
  /** Whether a machine is on its way to another shard or back to the cloud. */
  isMoving(id: string): boolean;
  /** Gives a machine that is empty by now to the shard that it was reserved for. */
  transferMachine(id: string, to: number): Promise<boolean>;
  requestPlan(): void;
}

/** A machine that goes to another shard once it is empty. */
interface Transfer {
  /** The shard that it goes to. */
  readonly to: number;
  /** When it is kept after all, in steady milliseconds. */
  readonly until: number;
  /** `evicting`: its tasks were stopped. `reserved`: they end by themselves. */
  readonly kind: 'evicting' | 'reserved';
}

/** Machines that are emptied for other shards' more urgent jobs. */
export class MachineTransfers {
  private readonly transfers = new Map<string, Transfer>();

  constructor(
    private readonly context: ControllerContext,
    private readonly registry: MachineRegistry,
    private readonly jobs: ReadonlyMap<string, Job>,
    private readonly log: Log,
    private readonly hooks: MachineTransfersHooks,
  ) {}

  /** Whether a machine is being emptied for another shard. */
  isReserved(id: string): boolean {
    return this.transfers.has(id);
  }

  /** Stops all tasks on a machine for another shard's more urgent jobs. False when they may not be stopped for that. */
  evictForTransfer(id: string, to: number, priority: number): boolean {
    const m = this.registry.machines.get(id);
    if (!m || !this.hooks.ready() || this.isReserved(id) || !this.isPreemptibleFor(m, priority)) return false;
    const now = this.context.clock.now();
    this.transfers.set(id, { to, until: now + TRANSFER_TIMEOUT_MS, kind: 'evicting' });
    this.log.info({ machine: id, to, held: m.attempts.size }, 'machine eviction started');
    for (const h of m.attempts.values())
      this.registry.stopTask(h, (this.jobs.get(h.job)?.spec.saveS ?? 0) + 1);
    this.registry.sendStops();
    this.hooks.requestPlan();
    return true;
  }

  /**
   * Reserves the machine that is empty soonest for a shard where urgent jobs wait longer: nothing is stopped, but nothing
   * more starts there. `zone` is that of the other shard's owner, `endOf` when a task is expected to end. False when there is
   * none.
   */
  reserveForTransfer(
    to: number,
    need: ResourceDemand,
    zone: string,
    endOf: (h: TaskAttempt) => number,
  ): boolean {
    if (!this.hooks.ready()) return false;
    const now = this.context.clock.now();
    let reserved = 0;
    for (const t of this.transfers.values()) if (t.kind === 'reserved') reserved++;
    if (reserved >= MAX_RESERVED_MACHINES) return false;
    let best: { machine: Machine; cost: number } | null = null;
    let fitting = 0;
    for (const machine of this.registry.machines.values()) {
      if (!this.isFitting(machine, need, now)) continue;
      fitting++;
      if (this.isReserved(machine.id) || this.hooks.isMoving(machine.id)) continue;
      let end = now;
      for (const h of machine.attempts.values()) if (h.state !== 'exited') end = Math.max(end, endOf(h));
      if (end > now + RESERVE_WITHIN_MS) continue;
      const cost = end - now + this.mismatchCostMs(machine, need, zone);
      if (!best || cost < best.cost) best = { machine, cost };
    }
    // Where few machines fit, the moments in which one of them is empty cost more than an even wait is worth.
    if (!best || fitting < MIN_FITTING_MACHINES) return false;
    const { id, attempts } = best.machine;
    this.transfers.set(id, { to, until: now + RESERVE_WITHIN_MS * 2, kind: 'reserved' });
    this.log.info({ machine: id, to, held: attempts.size }, 'machine reserved for transfer');
    this.hooks.requestPlan();
    return true;
  }

  /** Whether a machine is in service and of a kind that the other shard can use. */
  private isFitting(m: Machine, need: ResourceDemand, now: number): boolean {
    if (!inService(m) || m.quarantinedUntil > now) return false;
    const { types, zones } = this.context.names;
    const type = types.name(m.type);
    const zone = zones.name(m.zone);
    if (need.types && !need.types.includes(type)) return false;
    if ((m.spot && !need.spot) || (need.zone !== null && need.zone !== zone)) return false;
    if (need.kinds && !need.kinds.includes(machineKindName(type, zone, m.spot))) return false;
    return fitCount(this.context.catalog.size(m.type), need, 1) > 0;
  }

  /** Machines without GPUs that are not needed and in the zone of the other shard's owner go first. */
  private mismatchCostMs(m: Machine, need: ResourceDemand, zone: string): number {
    const unneededGpus = need.gpus === 0 && this.context.catalog.size(m.type).gpus > 0;
    const otherZone = this.context.names.zones.name(m.zone) !== zone;
    return (unneededGpus ? UNNEEDED_GPUS_COST_MS : 0) + (otherZone ? OTHER_ZONE_COST_MS : 0);
  }

  /** Whether all that a machine holds may be stopped for jobs of a priority; false for an empty machine. */
  isPreemptibleFor(m: Machine, priority: number): boolean {
    if (!inService(m) || m.attempts.size === 0) return false;
    for (const h of m.attempts.values()) {
      const job = this.jobs.get(h.job);
      if (!job || h.stop || job.priority >= priority || job.spec.kind === 'gang') return false;
    }
    return true;
  }

  /** Hands over the machines that are empty by now; `now` in steady milliseconds. */
  completeTransfers(now: number): void {
    for (const [id, t] of this.transfers) {
      const m = this.registry.machines.get(id);
      if (!m || now > t.until) this.transfers.delete(id);
      else if (m.attempts.size === 0 && m.reconciled && !this.hooks.isMoving(id)) {
        void this.hooks.transferMachine(id, t.to).finally(() => this.transfers.delete(id));
      }
    }
  }
}

/** Whether a machine has reported all that it holds and is to stay. */
function inService(m: Machine): boolean {
  return (
    m.reconciled && !m.decommissioning && !m.leaseExpired && !m.mayHoldUnreportedTasks && m.reclaimAt === null
  );
}
