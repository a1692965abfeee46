import { type Autoscaler, kindKey } from '../autoscaler/autoscaler.js';
import { machineKindName, type ShardStatus } from '../autoscaler/shardstatus.js';
import type { ControllerContext } from '../context/context.js';
import { type Job, kindAllowed, remainingTasksPriority, unplacedCount, zoneCapacity } from '../jobs/job.js';
import { type Amounts, fitCount } from '../plan/capacityprofile.js';
import type { Reservation } from '../plan/model.js';
import type { Plan } from '../plan/plan.js';
import type { Shortage } from '../plan/rentalchoice.js';
import { PRIORITY } from '../wire/users.js';
import type { Machine } from '../workers/machine.js';
import type { MachineRegistry } from '../workers/machineregistry.js';
import type { Preemption } from './preemption.js';
import type { RuntimeEstimates } from './runtimeestimates.js';

/** A shortage goes to the leader first; renting begins when nobody had a machine to give. */
const RENT_AFTER_MS = 900;
/** So many empty machines of a kind are told at once: no more can be moved before they are told again. */
const MAX_IDLE_MACHINES_PER_KIND = 24;

/** What the tracker of demand asks of its shard. */
export interface ResourceDemandHooks {
  /** What the tasks of each team take now, by the index of the team. */
  teamUsage(): Map<number, Amounts>;
  /** Whether a task of a job that is not known to be anywhere is surely nowhere. */
  surelyNotRunning(job: Job): boolean;
  /** Whether a job is within what its team is guaranteed. */
  isGuaranteed(job: Job): boolean;
  /** Whether a machine holds nothing and nothing is planned on it. */
  isIdle(m: Machine): boolean;
}

/** What `ResourceDemandTracker` is made of. */
export interface ResourceDemandParts {
  readonly context: ControllerContext;
  /** The shard's index among the shards of the cluster. */
  readonly index: number;
  readonly registry: MachineRegistry;
  readonly jobs: ReadonlyMap<string, Job>;
  readonly estimates: RuntimeEstimates;
  readonly autoscaler: Autoscaler;
  readonly preemption: Preemption;
  readonly hooks: ResourceDemandHooks;
}

/** What a shard lacks, has to spare, and tells the leader of both. */
export class ResourceDemandTracker {
  private readonly shortSince = new Map<string, number>();
  private needs: ShardStatus['needs'] = [];

  constructor(private readonly parts: ResourceDemandParts) {}

  forget(job: string): void {
    this.shortSince.delete(job);
  }

  /** What the plan leaves waiting: told to the leader, and rented for when it would wait longer than a boot. */
  assess(plan: Plan, unplaced: ReadonlySet<Job>, byOrder: Map<number, Job>, now: number): void {
    const waiting = new Map<
      Job,
      { soon: number; late: number; lateOnes: Reservation[]; waitS: number; bootS: number }
    >();
    const slot = (job: Job) => {
      let w = waiting.get(job);
      if (!w) {
        w = {
          soon: 0,
          late: 0,
          lateOnes: [],
          waitS: 0,
          bootS: this.shortestBoot(job),
        };
        waiting.set(job, w);
      }
      return w;
    };
    const t = now / 1000;
    for (const b of plan.reservations) {
      const job = byOrder.get(b.job.id);
      if (!job || b.start <= t + 0.5) continue;
      const w = slot(job);
      w.soon++;
      w.waitS = Math.max(w.waitS, b.start - t);
      if (b.start > t + w.bootS * 1.1 + 2) {
        w.late++;
        w.lateOnes.push(b);
      }
    }
    const bookings = new Map<number, number>();
    for (const b of plan.reservations) bookings.set(b.job.id, (bookings.get(b.job.id) ?? 0) + 1);
    for (const job of unplaced) {
      const n = Math.max(1, unplacedCount(job) - (bookings.get(job.order) ?? 0));
      slot(job).soon += n;
      slot(job).late += n;
      slot(job).waitS = 600;
    }
    if (this.parts.autoscaler.mayRent(now)) {
      const groups = [...waiting].filter(([, w]) => w.lateOnes.length > 0);
      const short = plan.countLateTasks(
        groups.map(([, w]) => ({ job: w.lateOnes[0]!.job, bookings: w.lateOnes, by: t + w.bootS * 1.1 + 2 })),
      );
      groups.forEach(([, w], i) => {
        w.late -= w.lateOnes.length - short[i]!;
      });
    }
    const usage = this.parts.hooks.teamUsage();
    const needs: ShardStatus['needs'] = [];
    const short: Shortage[] = [];
    for (const id of [...this.shortSince.keys()]) {
      const job = this.parts.jobs.get(id);
      if (!job || !waiting.has(job)) this.shortSince.delete(id);
    }
    for (const job of waiting.keys()) if (job.quarantined) waiting.delete(job);
    for (const [job, w] of [...waiting].sort(
      (a, b) => remainingTasksPriority(b[0]) - remainingTasksPriority(a[0]) || a[0].order - b[0].order,
    )) {
      const cap = this.underCap(job, usage);
      const soon = Math.min(w.soon, cap);
      if (soon <= 0) continue;
      for (const [zone, n] of this.byZone(job, soon)) needs.push(this.need(job, n, w.waitS, zone));
      // What this job may take of its team's limit is no longer there for the team's other jobs.
      const use = usage.get(job.team);
      if (use) addTimes(use, job.need, soon);
      const since = this.shortSince.get(job.spec.id) ?? now;
      this.shortSince.set(job.spec.id, since);
      // Tasks that wait for their team's limit start no sooner on more machines: what starts in time takes of it first.
      const late = Math.min(w.late, cap - (w.soon - w.late));
      // What an earlier owner may have started, and may well still run, needs no machine before that is known.
      if (!this.parts.hooks.surelyNotRunning(job)) continue;
      if (late <= 0 || now - since < RENT_AFTER_MS) continue;
      const { types, match, need } = job;
      for (const [zone, count] of this.byZone(job, late))
        short.push({ types, zone, spot: job.spec.spot, match, need, count });
    }
    this.needs = needs;
    this.parts.autoscaler.order(short, now);
  }

  /** How long the machines of this shard that can take the urgent work that waits would take for it. */
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
    return Math.min(1e6, seconds);
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
      slots += fitCount(this.parts.context.catalog.size(m.type), job.need, 1000);
    }
    return slots;
  }

  /**
   * In which zones so many tasks of a job want machines; null: in any. One that is held to a zone by its other tasks, or kept from
   * it by them, would be given machines there without end, and start on none of them.
   */
  private byZone(job: Job, count: number): [zone: number | null, count: number][] {
    const room = zoneCapacity(job, this.zonesOf(job));
    if (!room) return [[job.zone, count]];
    let left = count;
    return room
      .map(([zone, most]): [number, number] => {
        const n = Math.min(left, most);
        left -= n;
        return [zone, n];
      })
      .filter(([, n]) => n > 0);
  }

  /** The zones in which there are machines for a job, the shard's own first. */
  private zonesOf(job: Job): number[] {
    const { names, settings, catalog } = this.parts.context;
    const zones = new Set<string>();
    for (const [type, t] of catalog.all())
      if ((!job.types || job.types.has(type)) && fitCount(t, job.need, 1) > 0)
        for (const z of t.zones) zones.add(z);
    return [...zones]
      .sort((a, b) => Number(b === settings.zone) - Number(a === settings.zone))
      .map((z) => names.zones.index(z))
      .filter((z) => job.zone === null || z === job.zone);
  }

  private need(job: Job, count: number, waitS: number, zone: number | null): ShardStatus['needs'][number] {
    return {
      types: job.spec.types,
      zone: zone === null ? null : this.parts.context.names.zones.name(zone),
      spot: job.spec.spot,
      cpus: job.need.cpus,
      gpus: job.need.gpus,
      memoryGb: job.need.memoryGb,
      count,
      priority: remainingTasksPriority(job),
      guaranteed: this.parts.hooks.isGuaranteed(job),
      deadline: job.dueWall,
      waitS,
      ...(job.match && { kinds: this.kindsOf(job) }),
    };
  }

  /** The kinds of machine that may take a job which asks more than its type and zone. */
  private kindsOf(job: Job): string[] {
    const { zones } = this.parts.context.names;
    const kinds: string[] = [];
    for (const { type, of, zone, spot } of this.parts.context.catalog.kinds())
      if (kindAllowed(job, type, zones.index(zone), spot)) kinds.push(machineKindName(of.name, zone, spot));
    return kinds;
  }

  private shortestBoot(job: Job): number {
    let best = 1e9;
    for (const [type, t] of this.parts.context.catalog.all()) {
      if (job.types && !job.types.has(type)) continue;
      if (fitCount(this.parts.context.catalog.size(type), job.need, 1) > 0) best = Math.min(best, t.bootS);
    }
    return best;
  }

  /** How many more tasks of a job its team may run at once. */
  private underCap(job: Job, usage: Map<number, Amounts>): number {
    const team = this.parts.context.settings.teams[job.team];
    const use = usage.get(job.team);
    if (!team || !use) return 100_000;
    return fitCount(
      {
        cpus: team.cpusMax > 0 ? team.cpusMax - use.cpus : 1e12,
        gpus: team.gpusMax > 0 ? team.gpusMax - use.gpus : 1e12,
        memoryGb: 1e12,
      },
      { ...job.need, memoryGb: 0 },
      100_000,
    );
  }

  shardStatus(node: string): ShardStatus {
    const n = this.parts.context.names;
    const spares = [];
    const kinds = new Map<string, number>();
    for (const m of this.parts.registry.machines.values()) {
      if (
        !this.parts.hooks.isIdle(m) ||
        this.parts.autoscaler.moving.has(m.id) ||
        m.quarantinedUntil > this.parts.context.clock.now()
      )
        continue;
      const kind = kindKey(m.type, m.zone, m.spot);
      kinds.set(kind, (kinds.get(kind) ?? 0) + 1);
      if (kinds.get(kind)! > MAX_IDLE_MACHINES_PER_KIND) continue;
      spares.push({
        id: m.id,
        type: n.types.name(m.type),
        zone: n.zones.name(m.zone),
        spot: m.spot,
        images: [...m.images.keys()].map((i) => n.images.name(i)),
      });
    }
    const soft = [];
    for (const m of this.parts.registry.machines.values()) {
      if (
        this.parts.preemption.reservedForTransfer.has(m.id) ||
        this.parts.autoscaler.moving.has(m.id) ||
        !this.parts.preemption.isPreemptibleFor(m, PRIORITY.production + 1)
      )
        continue;
      let top = 0;
      for (const h of m.attempts.values()) top = Math.max(top, this.parts.jobs.get(h.job)?.priority ?? 0);
      soft.push({
        id: m.id,
        type: n.types.name(m.type),
        zone: n.zones.name(m.zone),
        spot: m.spot,
        images: [],
        top,
      });
    }
    return {
      shard: this.parts.index,
      node,
      zone: this.parts.context.settings.zone,
      urgentS: this.urgentS(),
      machines: this.parts.registry.machines.size,
      spares,
      soft: soft.slice(0, 30),
      needs: this.needs.slice(0, 20),
    };
  }
}

function addTimes(to: Amounts, need: Amounts, times: number): void {
  to.cpus += need.cpus * times;
  to.gpus += need.gpus * times;
  to.memoryGb += need.memoryGb * times;
}
