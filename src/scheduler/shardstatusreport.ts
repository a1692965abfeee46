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

/** So many idle machines of a kind are reported at once: no more can be moved before they are reported again. */
const MAX_IDLE_MACHINES_PER_KIND = 24;
const MAX_PREEMPTIBLE_MACHINES = 30;
const MAX_TASKS_PER_MACHINE = 1000;
const MAX_URGENT_S = 1e6;

/** What `ShardStatusReport` is made of. */
export interface ShardStatusReportParts {
  readonly context: ControllerContext;
  /** The shard's index among the shards of the cluster. */
  readonly index: number;
  readonly registry: MachineRegistry;
  readonly jobs: ReadonlyMap<string, Job>;
  readonly estimates: RuntimeEstimates;
  readonly autoscaler: Autoscaler;
  readonly transfers: MachineTransfers;
  readonly demand: ResourceDemandTracker;
  /** Whether a machine holds nothing and nothing is planned on it. */
  readonly isIdle: (m: Machine) => boolean;
}

/** The status of a shard for the leader, which moves machines between shards by it. */
export class ShardStatusReport {
  constructor(private readonly parts: ShardStatusReportParts) {}

  /** What the shard lacks and what it has to spare, for the leader; `node` is the owner's name. */
  status(node: string): ShardStatus {
    return {
      shard: this.parts.index,
      node,
      zone: this.parts.context.settings.zone,
      urgentS: this.urgentS(),
      machines: this.parts.registry.machines.size,
      idleMachines: this.idleMachines(),
      preemptible: this.preemptibleMachines(),
      demands: this.parts.demand.needs,
    };
  }

  private idleMachines(): IdleMachine[] {
    const { images } = this.parts.context.names;
    const now = this.parts.context.clock.now();
    const idle: IdleMachine[] = [];
    const byKind = new Map<string, number>();
    for (const m of this.parts.registry.machines.values()) {
      if (!this.parts.isIdle(m) || this.parts.autoscaler.moving.has(m.id) || m.quarantinedUntil > now)
        continue;
      const kind = kindKey(m.type, m.zone, m.spot);
      const count = (byKind.get(kind) ?? 0) + 1;
      byKind.set(kind, count);
      if (count > MAX_IDLE_MACHINES_PER_KIND) continue;
      idle.push({ ...this.describe(m), images: [...m.images.keys()].map((i) => images.name(i)) });
    }
    return idle;
  }

  /** Machines on which all tasks could be stopped for the most urgent jobs of other shards, with the highest priority there. */
  private preemptibleMachines(): PreemptibleMachine[] {
    const { registry, autoscaler, transfers, jobs } = this.parts;
    const preemptible: PreemptibleMachine[] = [];
    for (const m of registry.machines.values()) {
      if (
        transfers.isReserved(m.id) ||
        autoscaler.moving.has(m.id) ||
        !transfers.isPreemptibleFor(m, PRIORITY.production + 1)
      )
        continue;
      let top = 0;
      for (const h of m.attempts.values()) top = Math.max(top, jobs.get(h.job)?.priority ?? 0);
      preemptible.push({ ...this.describe(m), images: [], highestPriority: top });
    }
    return preemptible.slice(0, MAX_PREEMPTIBLE_MACHINES);
  }

  private describe(m: Machine): { id: string; type: string; zone: string; spot: boolean } {
    const { types, zones } = this.parts.context.names;
    return { id: m.id, type: types.name(m.type), zone: zones.name(m.zone), spot: m.spot };
  }

  /** How long the machines of this shard would take for the urgent jobs that wait, in seconds. */
  private urgentS(): number {
    const now = this.parts.context.clock.now();
    const slots = new Map<string, number>();
    let seconds = 0;
    for (const job of this.parts.jobs.values()) {
      if (remainingTasksPriority(job) < PRIORITY.high || job.spec.kind === 'service' || job.notBefore > now)
        continue;
      if (job.pendingDependencies.size > 0) continue;
      if (job.spec.kind === 'gang' && job.placements.size > 0) continue;
      const open = unplacedCount(job);
      if (open === 0) continue;
      const { cpus, gpus, memoryGb } = job.need;
      const key = `${cpus} ${gpus} ${memoryGb} ${job.spec.types ?? ''} ${job.spec.zone} ${job.spec.spot} ${job.spec.match?.requirements ?? ''}`;
      const fit = slots.get(key) ?? this.slotsFor(job, now);
      slots.set(key, fit);
      seconds += (open * this.parts.estimates.runS(job.spec)) / Math.max(1, fit);
    }
    return Math.min(MAX_URGENT_S, seconds);
  }

  /** How many tasks of a job the shard's machines take at once. */
  private slotsFor(job: Job, now: number): number {
    let slots = 0;
    for (const m of this.parts.registry.machines.values()) {
      if (
        m.decommissioning ||
        m.leaseExpired ||
        m.quarantinedUntil > now ||
        !kindAllowed(job, m.type, m.zone, m.spot)
      )
        continue;
      slots += fitCount(this.parts.context.catalog.size(m.type), job.need, MAX_TASKS_PER_MACHINE);
    }
    return slots;
  }
}
