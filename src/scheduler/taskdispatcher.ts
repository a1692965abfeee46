import type { Log } from '../config/log.js';
import type { ControllerContext } from '../context/context.js';
import { type Job, kindAllowed, remainingTasksPriority } from '../jobs/job.js';
import { type Amounts, fitCount } from '../plan/capacityprofile.js';
import type { Plan } from '../plan/plan.js';
import { dependenciesMet, machineUsable } from '../standby/takeoverchecks.js';
import { PRIORITY } from '../wire/users.js';
import type { Machine, TaskAttempt } from '../workers/machine.js';
import type { MachineRegistry, TaskStart } from '../workers/machineregistry.js';

const ATTEMPTS_PER_TERM = 2 ** 20;
/**
 * Starts of the least urgent work a second, for a whole core. Tiny tasks end as fast as they start, and each costs orders
 * and reports: more of them at once would keep a small controller from everything else.
 */
const LOW_STARTS_PER_CORE = 800;
const LOW_STARTS_BURST_S = 2;

export interface TaskDispatcherHooks {
  /** Whose a task is and what it takes; null when nobody remembers. */
  usageOf(h: TaskAttempt): { team: number; need: Amounts } | null;
  /** What machines that have not reported to this owner may hold. */
  unreconciledCapacity(): Amounts;
  /** Whether a task of a job that is not known to be anywhere is surely nowhere. */
  surelyNotRunning(job: Job): boolean;
  /** Whether a machine is on its way to another shard or back to the cloud. */
  isReservedForTransfer(id: string): boolean;
  lostOwnership(): Error;
}

/** Starts tasks, and sees to it that none starts where a rule forbids it, whatever the plan says. */
export class TaskDispatcher {
  private attempts = 0;
  private lowStarts = 0;
  private lowStartsAt = Number.NEGATIVE_INFINITY;
  /** Zones of the tasks that this round of starts has placed, by job. */
  private readonly pending = new Map<string, number[]>();
  private attemptsByZone: Map<string, Map<number, number>> | null = null;
  /** Of which jobs it is known in this round of starts whether they may be where nobody has looked. */
  private readonly notRunningCache = new Map<Job, boolean>();

  constructor(
    private readonly context: ControllerContext,
    private readonly term: number,
    private readonly registry: MachineRegistry,
    private readonly jobs: ReadonlyMap<string, Job>,
    private readonly log: Log,
    private readonly hooks: TaskDispatcherHooks,
  ) {}

  /** Starts what the plan has for now, where the machines are truly free and the rules surely hold. */
  dispatch(plan: Plan, refs: (Machine | null)[], byOrder: Map<number, Job>, now: number): void {
    const perMachine = new Map<Machine, TaskStart[]>();
    const free = new Map<Machine, Amounts>();
    this.attemptsByZone = null;
    this.notRunningCache.clear();
    const usage = this.teamUsage();
    const gangs = new Map<Job, { m: Machine; index: number }[]>();
    const singles: { job: Job; m: Machine; index: number }[] = [];
    for (const b of plan.reservations) {
      const m = refs[b.machine];
      const job = byOrder.get(b.job.id);
      if (!m || !job || b.start > now / 1000 + 0.01) continue;
      if (!this.isSurelyNotRunning(job)) continue;
      if (job.spec.kind === 'gang') {
        const list = gangs.get(job) ?? [];
        list.push({ m, index: b.task });
        gangs.set(job, list);
      } else {
        singles.push({ job, m, index: b.task });
      }
    }
    const start = (job: Job, parts: { m: Machine; index: number }[]) => {
      if (!this.mayStart(job, parts, free, usage, now)) return;
      const attempt = this.nextAttempt();
      job.attempt = attempt;
      for (const p of parts) {
        take(this.freeCapacity(p.m, free), job.need);
        const list = perMachine.get(p.m) ?? [];
        list.push({ job: job.spec.id, index: p.index, attempt });
        perMachine.set(p.m, list);
      }
      const use = usage.get(job.team);
      if (use) for (const _ of parts) add(use, job.need);
      // Placed at once, so that the next check counts it.
      const placed = this.pending.get(job.spec.id) ?? [];
      for (const p of parts) placed.push(p.m.zone);
      this.pending.set(job.spec.id, placed);
    };
    for (const [job, parts] of gangs) if (parts.length === job.spec.tasks) start(job, parts);
    for (const s of singles) {
      if (remainingTasksPriority(s.job) === PRIORITY.low && !this.mayStartLow(now)) continue;
      start(s.job, [s]);
    }
    this.pending.clear();
    for (const [m, starts] of perMachine) {
      for (const h of this.registry.startTasks(m, starts)) {
        this.jobs.get(h.job)?.placements.set(h.index, h);
        this.log.debug({ task: `${h.job}/${h.index}`, attempt: h.attempt, machine: m.id }, 'task started');
      }
    }
  }

  private isSurelyNotRunning(job: Job): boolean {
    let sure = this.notRunningCache.get(job);
    if (sure === undefined) {
      sure = this.hooks.surelyNotRunning(job);
      this.notRunningCache.set(job, sure);
    }
    return sure;
  }

  private mayStartLow(now: number): boolean {
    const perSecond = LOW_STARTS_PER_CORE * Math.min(1, this.context.settings.limits.cores);
    const saved = this.lowStarts + ((now - this.lowStartsAt) / 1000) * perSecond;
    this.lowStarts = Math.min(perSecond * LOW_STARTS_BURST_S, saved);
    this.lowStartsAt = now;
    if (this.lowStarts < 1) return false;
    this.lowStarts--;
    return true;
  }

  private mayStart(
    job: Job,
    parts: { m: Machine; index: number }[],
    free: Map<Machine, Amounts>,
    usage: Map<number, Amounts>,
    now: number,
  ): boolean {
    if (job.state !== 'active' || job.notBefore > now) return false;
    // Whatever the plan says: not before all that it needs is known to be done.
    if (!dependenciesMet(job)) return false;
    const team = this.context.settings.teams[job.team];
    const use = usage.get(job.team);
    if (team && use) {
      const n = parts.length;
      if (team.cpusMax > 0 && use.cpus + n * job.need.cpus > team.cpusMax + 1e-6) return false;
      if (team.gpusMax > 0 && use.gpus + n * job.need.gpus > team.gpusMax + 1e-6) return false;
    }
    const want = new Map<Machine, number>();
    for (const p of parts) want.set(p.m, (want.get(p.m) ?? 0) + 1);
    for (const [m, n] of want) {
      if (!machineUsable(m)) return false;
      if (this.hooks.isReservedForTransfer(m.id)) return false;
      if (m.unreachableAt !== null && now - m.unreachableAt < 6000) return false;
      if (fitCount(this.freeCapacity(m, free), job.need, n) < n) return false;
      if (!kindAllowed(job, m.type, m.zone, m.spot)) return false;
    }
    return this.zonesPermit(job, parts);
  }

  private zonesPermit(job: Job, parts: { m: Machine; index: number }[]): boolean {
    if (!job.spec.oneZone && !job.spec.spread) return true;
    const zones = new Map(this.zonesOfAttempts().get(job.spec.id));
    const count = (zone: number) => zones.set(zone, (zones.get(zone) ?? 0) + 1);
    for (const zone of this.pending.get(job.spec.id) ?? []) count(zone);
    for (const p of parts) count(p.m.zone);
    if (job.spec.oneZone && zones.size > 1) return false;
    const half = Math.ceil(job.spec.tasks / 2);
    return !job.spec.spread || [...zones.values()].every((n) => n <= half);
  }

  /** Where tasks of each job are or may be, by zone; worked out once for each round of starts. */
  private zonesOfAttempts(): Map<string, Map<number, number>> {
    if (!this.attemptsByZone) {
      this.attemptsByZone = new Map();
      for (const m of this.registry.machines.values()) {
        for (const h of m.attempts.values()) {
          if (h.state === 'exited') continue;
          const zones = this.attemptsByZone.get(h.job) ?? new Map<number, number>();
          zones.set(m.zone, (zones.get(m.zone) ?? 0) + 1);
          this.attemptsByZone.set(h.job, zones);
        }
      }
    }
    return this.attemptsByZone;
  }

  private nextAttempt(): number {
    // Terms are revisions of the state service, so no two owners ever use the same attempt number.
    if (this.attempts >= ATTEMPTS_PER_TERM - 1) throw this.hooks.lostOwnership();
    return this.term * ATTEMPTS_PER_TERM + ++this.attempts;
  }

  /** What is free on a machine beside all that it holds or may hold. */
  freeCapacity(m: Machine, memo: Map<Machine, Amounts>): Amounts {
    let free = memo.get(m);
    if (!free) {
      free = { ...this.context.catalog.size(m.type) };
      for (const h of m.attempts.values()) {
        if (h.state === 'exited') continue;
        const use = this.hooks.usageOf(h);
        if (use) take(free, use.need);
        else free.cpus = -1;
      }
      memo.set(m, free);
    }
    return free;
  }

  /** What each team's tasks take now, with all that may be somewhere unseen. */
  teamUsage(): Map<number, Amounts> {
    const usage = new Map<number, Amounts>();
    const unseen = this.hooks.unreconciledCapacity();
    this.context.settings.teams.forEach((_, team) => {
      usage.set(team, { ...unseen });
    });
    for (const m of this.registry.machines.values()) {
      for (const h of m.attempts.values()) {
        if (h.state === 'exited') continue;
        const use = this.hooks.usageOf(h);
        if (use) {
          const sum = usage.get(use.team);
          if (sum) add(sum, use.need);
        } else {
          // Whose it is nobody remembers: it counts for everyone.
          for (const sum of usage.values()) add(sum, this.context.catalog.size(m.type));
        }
      }
    }
    return usage;
  }
}

function take(from: Amounts, need: Amounts): void {
  from.cpus -= need.cpus;
  from.gpus -= need.gpus;
  from.memoryGb -= need.memoryGb;
}

function add(to: Amounts, need: Amounts): void {
  to.cpus += need.cpus;
  to.gpus += need.gpus;
  to.memoryGb += need.memoryGb;
}
