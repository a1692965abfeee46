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

/** A job of the lowest priority is deferred behind later ones by so many times as long as its tasks take on the whole shard. */
const LOW_PRIORITY_DEFERRAL_FACTOR = 20;
/** Any other job by so many times as long as the shard takes for it, up to so many seconds. */
const DEFERRAL_FACTOR = 4;
const MAX_DEFERRAL_S = 60;
const MAX_TASKS_PER_MACHINE = 1000;

/** A job's place in the order of waiting jobs: with all of its tasks, with its first task alone, or with the others. */
export interface QueueEntry {
  readonly job: Job;
  readonly part: 'all' | 'first' | 'rest';
  readonly priority: number;
}

/** The order in which the waiting jobs of a shard are planned (docs/design.md, "Order of waiting work"). */
export class SchedulingOrder {
  private readonly slos: ServiceLevelObjectives;
  private readonly priorityAging: PriorityAging;
  /** Jobs that fit into their team's guarantee together with the team's earlier ones. */
  private guaranteed: ReadonlySet<Job> = new Set();
  /** Whether any kind of machine may take a job, as of a version of the catalog. */
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

  /** Works out which jobs have aged; before priorities are passed on to the jobs that they depend on. */
  age(): void {
    this.priorityAging.tick(this.cpus(this.machinesInUse()));
  }

  /** Whether a job fits into its team's guarantee together with the team's earlier ones, as of the last `entries`. */
  isGuaranteed(job: Job): boolean {
    return this.guaranteed.has(job);
  }

  /**
   * By priority; then what teams are guaranteed before what they borrow, so that one cannot starve another; then gangs by
   * the objectives they can still meet; then as accepted, what is little before what is much and was accepted not long
   * before. Jobs of the lowest priority run in what others leave, and a swarm of tiny jobs would wait for hours of one, so
   * there large jobs are deferred for longer.
   */
  entries(): QueueEntry[] {
    // Jobs that wait for others, or for a kind of machine that there is none of, take no part in limits and guarantees.
    const jobs = [...this.jobTable.jobs.values()]
      .filter((j) => j.pendingDependencies.size === 0 && this.isPlaceable(j))
      .sort((a, b) => a.order - b.order);
    const { teams } = this.context.settings;
    this.guaranteed = withinGuarantee(jobs, teams).whole;
    const sloRanks = this.slos.ranks(jobs, this.context.clock.wall(), (spec) => this.estimates.runS(spec));
    const bySlo = (a: Job, b: Job) => sloRanks.get(a)! - sloRanks.get(b)!;
    // What a team is guaranteed goes to those of its jobs that can still use it.
    const { partly } = withinGuarantee([...jobs].sort(bySlo), teams);
    // What has aged is little, and would wait for ever behind what others are guaranteed.
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

  /** When each entry was accepted, put off by its size; milliseconds of the time of day. */
  private deferrals(entries: readonly QueueEntry[]): Map<QueueEntry, number> {
    const inUse = this.machinesInUse();
    const cpus = Math.max(1, this.cpus(inUse));
    const deferredUntil = ({ job, part, priority }: QueueEntry): number => {
      const tasks = part === 'first' ? 1 : job.spec.tasks - job.done.count;
      const runS = this.estimates.runS(job.spec);
      // What was accepted for a deadline stays before what is accepted later.
      const maxDeferralS = job.spec.deadlineS === null ? MAX_DEFERRAL_S : 0;
      const deferralS =
        priority > PRIORITY.low
          ? Math.min(maxDeferralS, ((tasks * runS) / this.slotsFor(job.need, inUse)) * DEFERRAL_FACTOR)
          : ((tasks * job.need.cpus * runS) / cpus) * LOW_PRIORITY_DEFERRAL_FACTOR;
      return job.acceptedWall + deferralS * 1000;
    };
    return new Map(entries.map((e) => [e, deferredUntil(e)]));
  }

  /** Whether any kind of machine there is may take a job; only match expressions can ask for what there is not. */
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

  /** How many tasks of a size the shard's machines hold at once; at least 1. */
  private slotsFor(need: Amounts, inUse: ReadonlyMap<number, number>): number {
    let slots = 0;
    for (const [type, count] of inUse) {
      slots += count * fitCount(this.context.catalog.size(type), need, MAX_TASKS_PER_MACHINE);
    }
    return Math.max(1, slots);
  }

  /** How many machines of each type are in use. */
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

/** The tasks that an entry has to be reserved for; null when there are none. */
export function planJobOf({ job, part }: QueueEntry, planInput: PlanInput, now: number): PlanJob | null {
  const p = planInput.planJob(job, now);
  if (!p || part === 'all') return p;
  const tasks = part === 'first' ? p.tasks.slice(0, 1) : p.tasks.slice(job.placements.size > 0 ? 0 : 1);
  return tasks.length > 0 ? { ...p, tasks } : null;
}

/**
 * Of a job of which the first task alone has aged, that task goes before urgent jobs until it is placed, the others in their
 * own turn.
 */
function queueEntriesOf(job: Job): QueueEntry[] {
  if (!job.aged || !job.onlyFirstTaskAged) return [{ job, part: 'all', priority: job.priority }];
  const rest: QueueEntry = { job, part: 'rest', priority: remainingTasksPriority(job) };
  return job.placements.size > 0 ? [rest] : [{ job, part: 'first', priority: job.priority }, rest];
}
