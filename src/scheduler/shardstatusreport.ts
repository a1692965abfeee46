import { type Autoscaler, kindKey } from '../autoscaler/autoscaler.js';
import type { IdleMachine, PreemptibleMachine, ShardStatus } from '../autoscaler/shardstatus.js';
import type { ControllerContext } from '../context/context.js';
import { type Job, kindAllowed, remainingTasksPriority, unplacedCount } from '../jobs/job.js';
import { fitCount } from '../plan/capacityprofile.js';
import { PRIORITY } from '../wire/users.js';
import type { Machine } from '../workers/machine.js';
import type { MachineRegistry } from '../workers/machineregistry.js';
import type { MachineTransfers } from './machinetransfers.js';
import type { ResourceDemandTracker } from './resourcedemand.js';
import type { RuntimeEstimates } from './runtimeestimates.js';

/**
 * Maximum number of idle machines of a kind in one report; no more can be transferred before the next report.
 */
const MAX_IDLE_MACHINES_PER_KIND = 24;
const MAX_PREEMPTIBLE_MACHINES = 30;
const MAX_TASKS_PER_MACHINE = 1000;
const MAX_URGENT_S = 1e6;

/** Components that `ShardStatusReport` depends on. */
export interface ShardStatusReportParts {
  readonly context: ControllerContext;
  /** Index among the shards of the cluster. */
  readonly index: number;
  readonly registry: MachineRegistry;
  readonly jobs: ReadonlyMap<string, Job>;
  readonly estimates: RuntimeEstimates;
  readonly autoscaler: Autoscaler;
  readonly transfers: MachineTransfers;
  readonly demand: ResourceDemandTracker;
  /** Returns whether a machine runs no tasks and none are planned on it. */
  readonly isIdle: (m: Machine) => boolean;
}

/** Reports the status of a shard to the leader, which transfers machines between shards accordingly. */
export class ShardStatusReport {
  constructor(private readonly parts: ShardStatusReportParts) {}

  /** Returns the demands and spare machines of the shard, for the leader; `node` is the owner's name. */
  status(node: string): ShardStatus {
    return {
      shard: this.parts.index,
      node,
      zone: this.parts.context.settings.zone,
      urgentS: this.urgentS(),
      machines: this.parts.registry.machines.size,
      idleMachines: this.idleMachines(),
      preemptible: this.preemptibleMachines(),
      demands: this.parts.demand.demands,
    };
  }

  private idleMachines(): IdleMachine[] {
    const { images } = this.parts.context.names;
    const now = this.parts.context.clock.now();
    const idle: IdleMachine[] = [];
    const byKind = new Map<string, number>();
    for (const machine of this.parts.registry.machines.values()) {
      if (
        !this.parts.isIdle(machine) ||
        this.parts.autoscaler.movingMachines.has(machine.id) ||
        machine.quarantinedUntil > now
      )
        continue;
      const kind = kindKey(machine.type, machine.zone, machine.spot);
      const count = (byKind.get(kind) ?? 0) + 1;
      byKind.set(kind, count);
      if (count > MAX_IDLE_MACHINES_PER_KIND) continue;
      idle.push({ ...this.describe(machine), images: [...machine.images.keys()].map((i) => images.name(i)) });
    }
    return idle;
  }

  /**
   * Returns the machines on which all tasks could be stopped for the most urgent jobs of other shards, each
   * with the highest priority among its tasks.
   */
  private preemptibleMachines(): PreemptibleMachine[] {
    const { registry, autoscaler, transfers, jobs } = this.parts;
    const preemptible: PreemptibleMachine[] = [];
    for (const machine of registry.machines.values()) {
      if (
        transfers.hasPendingTransfer(machine.id) ||
        autoscaler.movingMachines.has(machine.id) ||
        !transfers.isPreemptibleFor(machine, PRIORITY.production + 1)
      )
        continue;
      let highestPriority = 0;
      for (const attempt of machine.attempts.values())
        highestPriority = Math.max(highestPriority, jobs.get(attempt.job)?.priority ?? 0);
      preemptible.push({ ...this.describe(machine), images: [], highestPriority: highestPriority });
    }
    return preemptible.slice(0, MAX_PREEMPTIBLE_MACHINES);
  }

  private describe(m: Machine): { id: string; type: string; zone: string; spot: boolean } {
    const { types, zones } = this.parts.context.names;
    return { id: m.id, type: types.name(m.type), zone: zones.name(m.zone), spot: m.spot };
  }

  /** Returns how long the machines of this shard would take to run the waiting urgent jobs, in seconds. */
  private urgentS(): number {
    const now = this.parts.context.clock.now();
    const slots = new Map<string, number>();
    let seconds = 0;
    for (const job of this.parts.jobs.values()) {
      if (remainingTasksPriority(job) < PRIORITY.high || job.spec.kind === 'service' || job.notBefore > now)
        continue;
      if (job.pendingDependencies.size > 0) continue;
      if (job.spec.kind === 'gang' && job.placements.size > 0) continue;
      const unplaced = unplacedCount(job);
      if (unplaced === 0) continue;
      const { cpus, gpus, memoryGb } = job.need;
      const key = `${cpus} ${gpus} ${memoryGb} ${job.spec.types ?? ''} ${job.spec.zone} ${job.spec.spot} ${job.spec.match?.requirements ?? ''}`;
      const taskSlots = slots.get(key) ?? this.slotsFor(job, now);
      slots.set(key, taskSlots);
      seconds += (unplaced * this.parts.estimates.runS(job.spec)) / Math.max(1, taskSlots);
    }
    return Math.min(MAX_URGENT_S, seconds);
  }

  /** Returns how many tasks of a job the shard's machines can run at once. */
  private slotsFor(job: Job, now: number): number {
    let slots = 0;
    for (const machine of this.parts.registry.machines.values()) {
      if (
        machine.decommissioning ||
        machine.leaseExpired ||
        machine.quarantinedUntil > now ||
        !kindAllowed(job, machine.type, machine.zone, machine.spot)
      )
        continue;
      slots += fitCount(this.parts.context.catalog.size(machine.type), job.need, MAX_TASKS_PER_MACHINE);
    }
    return slots;
  }
}
