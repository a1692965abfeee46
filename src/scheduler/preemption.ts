import { machineKindName, type ResourceDemand } from '../autoscaler/shardstatus.js';
import type { Log } from '../config/log.js';
import type { ControllerContext } from '../context/context.js';
import { type Job, kindAllowed, unplacedCount } from '../jobs/job.js';
import { type Amounts, fitCount } from '../plan/capacityprofile.js';
import { chooseVictims, type PreemptMachine } from '../plan/victimchoice.js';
import { PRIORITY } from '../wire/users.js';
import type { Machine, TaskAttempt } from '../workers/machine.js';
import type { MachineRegistry } from '../workers/machineregistry.js';

/** Room is not made twice for a job within the pause, and not looked for again at once when there is none to be made. */
const PREEMPT_PAUSE_MS = 12_000;
const PREEMPT_RETRY_MS = 1500;
/** A machine promised to another shard is cleared by then, or kept. */
const TRANSFER_TIMEOUT_MS = 15_000;
/** A machine is reserved when its tasks end within this, and so many at a time. */
const RESERVE_WITHIN_MS = 20_000;
const MAX_RESERVED_MACHINES = 12;
const MIN_FITTING_MACHINES = 40;
/** So many waiting jobs are looked at in one plan when room is made for urgent work. */
const MAX_PREEMPTING_JOBS = 6;

export interface PreemptionHooks {
  ready(): boolean;
  /** Whether a task of a job that is not known to be anywhere is surely nowhere. */
  surelyNotRunning(job: Job): boolean;
  teamUsage(): Map<number, Amounts>;
  freeCapacity(m: Machine): Amounts;
  isMoving(id: string): boolean;
  /** Gives a machine that was cleared to the shard that it was promised to. */
  transferMachine(id: string, to: number): Promise<boolean>;
  requestPlan(): void;
}

/** Stops lesser work for more urgent work, in a shard and for other shards. */
export class Preemption {
  /** Machines that are being cleared for other shards. */
  readonly reservedForTransfer = new Map<string, { to: number; until: number; reserved?: boolean }>();
  private readonly preemptedAt = new Map<string, number>();

  constructor(
    private readonly context: ControllerContext,
    private readonly registry: MachineRegistry,
    private readonly jobs: ReadonlyMap<string, Job>,
    private readonly log: Log,
    private readonly hooks: PreemptionHooks,
  ) {}

  /**
   * Work of higher priority that would have to wait stops lesser work: where its machines are full, and where its
   * team's limit is used up by the team's own lesser work.
   */
  preemptFor(waiting: ReadonlySet<Job>, now: number): void {
    const low = this.hasLowPriorityTasks();
    const urgent = [...waiting]
      .filter((job) => job.priority > PRIORITY.normal || (low && job.priority > PRIORITY.low))
      .filter((job) => this.hooks.surelyNotRunning(job))
      .filter(
        (job) => now - (this.preemptedAt.get(job.spec.id) ?? Number.NEGATIVE_INFINITY) >= PREEMPT_PAUSE_MS,
      )
      .sort((a, b) => b.priority - a.priority || a.order - b.order)
      .slice(0, MAX_PREEMPTING_JOBS);
    const usage = urgent.length > 0 ? this.hooks.teamUsage() : new Map<number, Amounts>();
    for (const job of urgent) {
      const victims = this.victimsFor(job, usage, now);
      if (!victims || victims.length === 0) {
        // Nothing to gain by stopping anything: looked at again a little later.
        this.preemptedAt.set(job.spec.id, now - PREEMPT_PAUSE_MS + PREEMPT_RETRY_MS);
        continue;
      }
      this.preemptedAt.set(job.spec.id, now);
      this.log.info({ job: job.spec.id, stopped: victims.length }, 'making room');
      for (const h of victims) this.registry.stopTask(h, (this.jobs.get(h.job)?.spec.saveS ?? 0) + 1);
    }
    for (const id of this.preemptedAt.keys()) if (!this.jobs.has(id)) this.preemptedAt.delete(id);
  }

  /** Whether there is work of the lowest priority, which ordinary work may stop as well. */
  private hasLowPriorityTasks(): boolean {
    for (const job of this.jobs.values()) {
      if (job.priority === PRIORITY.low && job.placements.size > 0) return true;
    }
    return false;
  }

  private victimsFor(job: Job, usage: Map<number, Amounts>, now: number): TaskAttempt[] | null {
    const wanted = job.spec.kind === 'gang' ? job.spec.tasks : Math.min(unplacedCount(job), 64);
    if (wanted <= 0 || (job.spec.kind === 'gang' && job.placements.size > 0)) return null;
    const team = this.context.settings.teams[job.team];
    const use = usage.get(job.team);
    const teamLeft: Amounts = { cpus: 1e12, gpus: 1e12, memoryGb: 1e12 };
    if (team && use) {
      if (team.cpusMax > 0) teamLeft.cpus = team.cpusMax - use.cpus;
      if (team.gpusMax > 0) teamLeft.gpus = team.gpusMax - use.gpus;
    }
    const byZone = new Map<number, PreemptMachine<TaskAttempt>[]>();
    for (const m of this.registry.machines.values()) {
      if (
        !m.reconciled ||
        m.leaseExpired ||
        m.decommissioning ||
        m.reclaimAt !== null ||
        this.reservedForTransfer.has(m.id)
      )
        continue;
      if (!kindAllowed(job, m.type, m.zone, m.spot)) continue;
      const victims = [];
      for (const h of m.attempts.values()) {
        const other = this.jobs.get(h.job);
        if (!other || h.state === 'exited' || h.stop || other.priority >= job.priority) continue;
        if (other.spec.kind === 'gang') continue;
        const ran = h.runningAt === null ? 0 : (now - h.runningAt) / 1000;
        const loss = other.spec.checkpointS > 0 ? 2 + other.spec.saveS + ran / 100 : ran;
        victims.push({ ref: h, need: other.need, sameTeam: other.team === job.team, loss });
      }
      const zone = job.spec.oneZone ? m.zone : 0;
      const list = byZone.get(zone) ?? [];
      list.push({ free: this.hooks.freeCapacity(m), victims });
      byZone.set(zone, list);
    }
    let best: TaskAttempt[] | null = null;
    for (const machines of byZone.values()) {
      const victims = chooseVictims({ need: job.need, count: wanted, teamLeft }, machines);
      if (victims && (!best || victims.length < best.length)) best = victims;
    }
    return best;
  }

  /** Clears a machine for another shard's more urgent work. False when that is not to be. */
  evictForTransfer(id: string, to: number, priority: number): boolean {
    const m = this.registry.machines.get(id);
    if (!m || !this.hooks.ready() || this.reservedForTransfer.has(id) || !this.isPreemptibleFor(m, priority))
      return false;
    const now = this.context.clock.now();
    this.reservedForTransfer.set(id, { to, until: now + TRANSFER_TIMEOUT_MS });
    this.log.info({ machine: id, to, held: m.attempts.size }, 'clearing a machine for another shard');
    for (const h of m.attempts.values())
      this.registry.stopTask(h, (this.jobs.get(h.job)?.spec.saveS ?? 0) + 1);
    this.registry.sendStops();
    this.hooks.requestPlan();
    return true;
  }

  /**
   * Promises the machine that is empty soonest to a shard where urgent work waits longer: nothing is stopped, but nothing
   * more starts there.
   */
  reserveForTransfer(
    to: number,
    need: ResourceDemand,
    zone: string,
    endOf: (h: TaskAttempt) => number,
  ): boolean {
    if (!this.hooks.ready()) return false;
    const now = this.context.clock.now();
    const { types, zones } = this.context.names;
    let promises = 0;
    for (const p of this.reservedForTransfer.values()) if (p.reserved) promises++;
    if (promises >= MAX_RESERVED_MACHINES) return false;
    let best: { m: Machine; cost: number } | null = null;
    let fitting = 0;
    for (const m of this.registry.machines.values()) {
      if (
        !m.reconciled ||
        m.decommissioning ||
        m.leaseExpired ||
        m.mayHoldUnreportedTasks ||
        m.reclaimAt !== null ||
        m.quarantinedUntil > now
      )
        continue;
      if (need.types && !need.types.includes(types.name(m.type))) continue;
      if ((m.spot && !need.spot) || (need.zone !== null && need.zone !== zones.name(m.zone))) continue;
      if (need.kinds && !need.kinds.includes(machineKindName(types.name(m.type), zones.name(m.zone), m.spot)))
        continue;
      const size = this.context.catalog.size(m.type);
      if (fitCount(size, need, 1) === 0) continue;
      fitting++;
      if (this.reservedForTransfer.has(m.id) || this.hooks.isMoving(m.id)) continue;
      let end = now;
      for (const h of m.attempts.values()) if (h.state !== 'exited') end = Math.max(end, endOf(h));
      if (end > now + RESERVE_WITHIN_MS) continue;
      // Machines without unneeded GPUs and in the zone of the other shard's owner first.
      const cost =
        end -
        now +
        (need.gpus === 0 && size.gpus > 0 ? 10_000 : 0) +
        (zones.name(m.zone) === zone ? 0 : 5000);
      if (!best || cost < best.cost) best = { m, cost };
    }
    // Where few machines fit, the moments in which one of them stands empty cost more than an even wait is worth.
    if (!best || fitting < MIN_FITTING_MACHINES) return false;
    this.reservedForTransfer.set(best.m.id, { to, until: now + RESERVE_WITHIN_MS * 2, reserved: true });
    this.log.info(
      { machine: best.m.id, to, held: best.m.attempts.size },
      'reserving a machine for another shard',
    );
    this.hooks.requestPlan();
    return true;
  }

  /** Whether all that a machine holds may be stopped for work of a priority. */
  isPreemptibleFor(m: Machine, priority: number): boolean {
    if (
      !m.reconciled ||
      m.decommissioning ||
      m.leaseExpired ||
      m.mayHoldUnreportedTasks ||
      m.reclaimAt !== null ||
      m.attempts.size === 0
    )
      return false;
    for (const h of m.attempts.values()) {
      const job = this.jobs.get(h.job);
      if (!job || h.stop || job.priority >= priority || job.spec.kind === 'gang') return false;
    }
    return true;
  }

  /** Hands over the machines that were cleared for other shards. */
  completeTransfers(now: number): void {
    for (const [id, p] of this.reservedForTransfer) {
      const m = this.registry.machines.get(id);
      if (!m || now > p.until) this.reservedForTransfer.delete(id);
      else if (m.attempts.size === 0 && m.reconciled && !this.hooks.isMoving(id)) {
        void this.hooks.transferMachine(id, p.to).finally(() => this.reservedForTransfer.delete(id));
      }
    }
  }
}
