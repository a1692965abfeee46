import type { ControllerContext } from '../context/context.js';
import { type Job, kindAllowed, remainingTasksPriority, withinGuarantee } from '../jobs/job.js';
import { type Amounts, fitCount } from '../plan/capacityprofile.js';
import type { PlanJob } from '../plan/model.js';
import { PRIORITY } from '../wire/users.js';
import type { MachineRegistry } from '../workers/machineregistry.js';
import type { JobTable } from './jobtable.js';
import type { PlanInput } from './planinput.js';
import { PriorityAging } from './priorityaging.js';
import type { RuntimeEstimates } from './runtimeestimates.js';
import { ServiceLevelObjectives } from './servicelevelobjectives.js';

/**
 * A job of the lowest priority is deferred by this multiple of the time that its tasks would take on the
 * whole shard.
 */
const LOW_PRIORITY_DEFERRAL_FACTOR = 20;
/**
 * Any other job is deferred by this multiple of the time that it would take on the shard, up to this number
 * of seconds.
 */
const DEFERRAL_FACTOR = 4;
const MAX_DEFERRAL_S = 60;
const MAX_TASKS_PER_MACHINE = 1000;

/**
 * Entry of a job in the order of waiting jobs: with all of its tasks, with only its first task, or with the
 * others.
 */
export interface QueueEntry {
  readonly job: Job;
  readonly part: 'all' | 'first' | 'rest';
  readonly priority: number;
}

/** Order in which the waiting jobs of a shard are planned (docs/design.md, "Order of waiting work"). */
export class SchedulingOrder {
  private readonly slos: ServiceLevelObjectives;
  private readonly priorityAging: PriorityAging;
  /** Jobs that fit into their team's guarantee together with the team's earlier jobs. */
  private guaranteed: ReadonlySet<Job> = new Set();
  /** Whether any kind of machine may run a job, as of a version of the catalog. */
  private readonly placeableCache = new WeakMap<Job, { version: number; isPlaceable: boolean }>();

  constructor(
    private readonly context: ControllerContext,
    private readonly jobTable: JobTable,
    private readonly registry: MachineRegistry,
    private readonly estimates: RuntimeEstimates,
  ) {
    this.slos = new ServiceLevelObjectives(context.settings.objectives);
    this.priorityAging = new PriorityAging(context, jobTable.jobs, this.slos, estimates);
  }

  /**
   * Recomputes which jobs have aged; called before priorities are propagated to the jobs that they depend on.
   */
  age(): void {
    this.priorityAging.tick(this.cpus(this.machinesInUse()));
  }

  /**
   * Returns whether a job fitted into its team's guarantee together with the team's earlier jobs at the last
   * `entries` call.
   */
  isGuaranteed(job: Job): boolean {
    return this.guaranteed.has(job);
  }

  /**
   * Returns the waiting jobs in the order in which they are planned: first by priority; then guaranteed
   * shares of teams before borrowed capacity, so that one team cannot starve another; then gangs by the
   * objectives that they can still meet; then by acceptance, deferred by size, so that a small job goes
   * before a large one accepted shortly before. Jobs of the lowest priority run in the capacity that others
   * leave; many tiny jobs would wait for hours behind a single large one, so large jobs are deferred for
   * longer there.
   */
  entries(): QueueEntry[] {
    // Jobs that wait for dependencies, or for a kind of machine that does not exist, do not count against
    // limits and guarantees.
    const jobs = [...this.jobTable.jobs.values()]
      .filter((j) => j.pendingDependencies.size === 0 && this.isPlaceable(j))
      .sort((a, b) => a.order - b.order);
    const { teams } = this.context.settings;
    this.guaranteed = withinGuarantee(jobs, teams).whole;
    const sloRanks = this.slos.ranks(jobs, this.context.clock.wall(), (spec) => this.estimates.runS(spec));
    const bySlo = (a: Job, b: Job) => sloRanks.get(a)! - sloRanks.get(b)!;
    // A team's guarantee goes to those of its jobs that can still make use of it.
    const { partly } = withinGuarantee([...jobs].sort(bySlo), teams);
    // Aged jobs take little capacity and would otherwise wait forever behind the guaranteed shares of other
    // teams.
    const rank = ({ job, part }: QueueEntry) => (partly.has(job) || (job.aged && part !== 'rest') ? 0 : 1);
    const entries = jobs.flatMap((job) => queueEntriesOf(job));
    const deferredUntil = this.deferrals(entries);
    return entries.sort(
      (a, b) =>
        b.priority - a.priority ||
        rank(a) - rank(b) ||
        bySlo(a.job, b.job) ||
        deferredUntil.get(a)! - deferredUntil.get(b)! ||
        a.job.order - b.job.order,
    );
  }

  /** Returns the acceptance time of each entry plus a deferral by its size; wall-clock milliseconds. */
  private deferrals(entries: readonly QueueEntry[]): Map<QueueEntry, number> {
    const inUse = this.machinesInUse();
    const cpus = Math.max(1, this.cpus(inUse));
    const deferredUntil = ({ job, part, priority }: QueueEntry): number => {
      const tasks = part === 'first' ? 1 : job.spec.tasks - job.done.count;
      const runS = this.estimates.runS(job.spec);
      // A job that was accepted with a deadline stays ahead of jobs accepted later.
      const maxDeferralS = job.spec.deadlineS === null ? MAX_DEFERRAL_S : 0;
      const deferralS =
        priority > PRIORITY.low
          ? Math.min(maxDeferralS, ((tasks * runS) / this.slotsFor(job.need, inUse)) * DEFERRAL_FACTOR)
          : ((tasks * job.need.cpus * runS) / cpus) * LOW_PRIORITY_DEFERRAL_FACTOR;
      return job.acceptedWall + deferralS * 1000;
    };
    return new Map(entries.map((e) => [e, deferredUntil(e)]));
  }

  /**
   * Returns whether any existing kind of machine may run a job; only match expressions can require a kind
   * that does not exist.
   */
  private isPlaceable(job: Job): boolean {
    if (!job.match) return true;
    const { version } = this.context.catalog;
    const known = this.placeableCache.get(job);
    if (known?.version === version) return known.isPlaceable;
    const { zones } = this.context.names;
    let isPlaceable = false;
    for (const { type, zone, spot } of this.context.catalog.kinds())
      isPlaceable ||= kindAllowed(job, type, zones.index(zone), spot);
    this.placeableCache.set(job, { version, isPlaceable });
    return isPlaceable;
  }

  /** Returns how many tasks of a size the shard's machines can run at once; at least 1. */
  private slotsFor(need: Amounts, inUse: ReadonlyMap<number, number>): number {
    let slotCount = 0;
    for (const [type, count] of inUse) {
      slotCount += count * fitCount(this.context.catalog.size(type), need, MAX_TASKS_PER_MACHINE);
    }
    return Math.max(1, slotCount);
  }

  /** Returns the number of machines in use, by type. */
  private machinesInUse(): Map<number, number> {
    const now = this.context.clock.now();
    const counts = new Map<number, number>();
    for (const m of this.registry.machines.values()) {
      if (m.decommissioning || m.leaseExpired || m.quarantinedUntil > now) continue;
      counts.set(m.type, (counts.get(m.type) ?? 0) + 1);
    }
    return counts;
  }

  private cpus(inUse: ReadonlyMap<number, number>): number {
    let cpus = 0;
    for (const [type, count] of inUse) cpus += count * this.context.catalog.size(type).cpus;
    return cpus;
  }
}

/** Returns the plan job with the tasks of an entry; null when there are none to place. */
export function planJobOf({ job, part }: QueueEntry, planInput: PlanInput, now: number): PlanJob | null {
  const p = planInput.planJob(job, now);
  if (!p || part === 'all') return p;
  const tasks = part === 'first' ? p.tasks.slice(0, 1) : p.tasks.slice(job.placements.size > 0 ? 0 : 1);
  return tasks.length > 0 ? { ...p, tasks } : null;
}

/**
 * Splits a job of which only the first task has aged: that task goes before urgent jobs until it is placed,
 * and the others keep their normal position.
 */
function queueEntriesOf(job: Job): QueueEntry[] {
  if (!job.aged || !job.onlyFirstTaskAged) return [{ job, part: 'all', priority: job.priority }];
  const rest: QueueEntry = { job, part: 'rest', priority: remainingTasksPriority(job) };
  return job.placements.size > 0 ? [rest] : [{ job, part: 'first', priority: job.priority }, rest];
}
