import type { Log } from '../config/log.js';
import type { ControllerContext } from '../context/context.js';
import { type Job, kindAllowed, remainingTasksPriority } from '../jobs/job.js';
import { type Amounts, fitCount } from '../plan/capacityprofile.js';
import type { Plan } from '../plan/plan.js';
import { dependenciesMet, machineUsable } from '../standby/takeoverchecks.js';
import { PRIORITY } from '../wire/users.js';
import type { Machine, TaskAttempt } from '../workers/machine.js';
import type { MachineRegistry } from '../workers/machineregistry.js';
import type { TaskStart } from '../workers/taskstarts.js';
import { UNREACHABLE_MS } from './planinput.js';

/** Attempt numbers that an owner has under one term. */
const ATTEMPTS_PER_TERM = 2 ** 20;
/** What is planned to start within this of now starts now. */
const START_TOLERANCE_S = 0.01;
/** By so much a sum of fractions of processors may exceed a limit. */
const ROUNDING = 1e-6;
/**
 * Starts of low-priority tasks a second, for a whole core. Tiny tasks end as fast as they start, and each costs commands
 * and heartbeats: more of them at once would keep a small controller from everything else.
 */
const LOW_STARTS_PER_CORE = 800;
const LOW_STARTS_BURST_S = 2;

/** What the dispatcher asks of its shard. */
export interface TaskDispatcherHooks {
  /** The team of a task and what the task takes; null when its job is not remembered. */
  usageOf(h: TaskAttempt): { team: number; need: Amounts } | null;
  /** What machines that have not reported to this owner may hold. */
  unreconciledCapacity(): Amounts;
  /** Whether a task of a job that is not known to be anywhere is surely nowhere. */
  surelyNotRunning(job: Job): boolean;
  /** Whether a machine is on its way to another shard or back to the cloud. */
  isReservedForTransfer(id: string): boolean;
  /** Stops the shard; returns the error to be thrown. */
  lostOwnership(): Error;
}

/** A task, by its index in its job, and the machine that it is to start on. */
interface TaskOnMachine {
  readonly machine: Machine;
  readonly index: number;
}

/** One round of starts, and what is left with the starts noted so far. */
interface DispatchRound {
  /** Steady milliseconds. */
  readonly now: number;
  /** What is free on the machines looked at so far. */
  readonly free: Map<Machine, Amounts>;
  /** What each team's tasks take, by the index of the team. */
  readonly usage: Map<number, Amounts>;
  /** The starts noted so far. */
  readonly starts: Map<Machine, TaskStart[]>;
}

/** Starts tasks, and sees to it that none starts where a rule forbids it, whatever the plan says. */
export class TaskDispatcher {
  private attempts = 0;
  private lowStarts = 0;
  private lowStartsAt = Number.NEGATIVE_INFINITY;
  /** Zones of the tasks that this round of starts has placed, by job. */
  private readonly startedZones = new Map<string, number[]>();
  private attemptsByZone: Map<string, Map<number, number>> | null = null;
  /** Of which jobs it is known in this round of starts whether they may be on a machine that has not reported. */
  private readonly notRunningCache = new Map<Job, boolean>();

  constructor(
    private readonly context: ControllerContext,
    private readonly term: number,
    private readonly registry: MachineRegistry,
    private readonly jobs: ReadonlyMap<string, Job>,
    private readonly log: Log,
    private readonly hooks: TaskDispatcherHooks,
  ) {}

  /**
   * Starts what the plan has for now, where the machines are truly free and the rules surely hold. `refs` are the machines that
   * the plan's indices stand for, `jobsByPlanId` its jobs; `now` in steady milliseconds.
   */
  dispatch(
    plan: Plan,
    refs: readonly (Machine | null)[],
    jobsByPlanId: ReadonlyMap<number, Job>,
    now: number,
  ): void {
    this.attemptsByZone = null;
    this.notRunningCache.clear();
    const round: DispatchRound = { now, free: new Map(), usage: this.teamUsage(), starts: new Map() };
    const gangs = new Map<Job, TaskOnMachine[]>();
    const singles: { job: Job; task: TaskOnMachine }[] = [];
    for (const r of plan.reservations) {
      const machine = refs[r.machine];
      const job = jobsByPlanId.get(r.job.id);
      if (!machine || !job || r.start > now / 1000 + START_TOLERANCE_S) continue;
      if (!this.isSurelyNotRunning(job)) continue;
      const task = { machine, index: r.task };
      if (job.spec.kind !== 'gang') {
        singles.push({ job, task });
        continue;
      }
      const tasks = gangs.get(job) ?? [];
      tasks.push(task);
      gangs.set(job, tasks);
    }
    for (const [job, tasks] of gangs) if (tasks.length === job.spec.tasks) this.start(job, tasks, round);
    for (const { job, task } of singles) {
      if (remainingTasksPriority(job) === PRIORITY.low && !this.takeLowPriorityStart(now)) continue;
      this.start(job, [task], round);
    }
    this.startedZones.clear();
    this.sendStarts(round);
  }

  /** Notes the start of tasks of a job, which go together, if they may start. */
  private start(job: Job, tasks: readonly TaskOnMachine[], round: DispatchRound): void {
    if (!this.mayStart(job, tasks, round)) return;
    const attempt = this.nextAttempt();
    job.attempt = attempt;
    for (const { machine, index } of tasks) {
      subtract(this.freeCapacity(machine, round.free), job.need);
      const starts = round.starts.get(machine) ?? [];
      starts.push({ job: job.spec.id, index, attempt });
      round.starts.set(machine, starts);
    }
    const use = round.usage.get(job.team);
    if (use) for (const _ of tasks) add(use, job.need);
    // Placed at once, so that the next check counts it.
    const zones = this.startedZones.get(job.spec.id) ?? [];
    for (const { machine } of tasks) zones.push(machine.zone);
    this.startedZones.set(job.spec.id, zones);
  }

  private sendStarts(round: DispatchRound): void {
    for (const [machine, starts] of round.starts) {
      for (const h of this.registry.startTasks(machine, starts)) {
        this.jobs.get(h.job)?.placements.set(h.index, h);
        this.log.debug(
          { task: `${h.job}/${h.index}`, attempt: h.attempt, machine: machine.id },
          'task started',
        );
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

  /** Takes one of the starts that low-priority tasks have at present; false when there is none. */
  private takeLowPriorityStart(now: number): boolean {
    const perSecond = LOW_STARTS_PER_CORE * Math.min(1, this.context.settings.limits.cores);
    const saved = this.lowStarts + ((now - this.lowStartsAt) / 1000) * perSecond;
    this.lowStarts = Math.min(perSecond * LOW_STARTS_BURST_S, saved);
    this.lowStartsAt = now;
    if (this.lowStarts < 1) return false;
    this.lowStarts--;
    return true;
  }

  private mayStart(job: Job, tasks: readonly TaskOnMachine[], round: DispatchRound): boolean {
    if (job.state !== 'active' || job.notBefore > round.now) return false;
    // Whatever the plan says: not before all that it depends on is known to be done.
    if (!dependenciesMet(job)) return false;
    return (
      this.teamPermits(job, tasks.length, round.usage) &&
      this.machinesPermit(job, tasks, round) &&
      this.zonesPermit(job, tasks)
    );
  }

  /** Whether a job's team may run so many more tasks of it within its limits. */
  private teamPermits(job: Job, count: number, usage: ReadonlyMap<number, Amounts>): boolean {
    const team = this.context.settings.teams[job.team];
    const use = usage.get(job.team);
    if (!team || !use) return true;
    if (team.cpusMax > 0 && use.cpus + count * job.need.cpus > team.cpusMax + ROUNDING) return false;
    return !(team.gpusMax > 0 && use.gpus + count * job.need.gpus > team.gpusMax + ROUNDING);
  }

  private machinesPermit(job: Job, tasks: readonly TaskOnMachine[], { now, free }: DispatchRound): boolean {
    const counts = new Map<Machine, number>();
    for (const { machine } of tasks) counts.set(machine, (counts.get(machine) ?? 0) + 1);
    for (const [m, count] of counts) {
      if (!machineUsable(m)) return false;
      if (this.hooks.isReservedForTransfer(m.id)) return false;
      if (m.unreachableAt !== null && now - m.unreachableAt < UNREACHABLE_MS) return false;
      if (fitCount(this.freeCapacity(m, free), job.need, count) < count) return false;
      if (!kindAllowed(job, m.type, m.zone, m.spot)) return false;
    }
    return true;
  }

  private zonesPermit(job: Job, tasks: readonly TaskOnMachine[]): boolean {
    if (!job.spec.oneZone && !job.spec.spread) return true;
    const zones = new Map(this.zonesOfAttempts().get(job.spec.id));
    const count = (zone: number) => zones.set(zone, (zones.get(zone) ?? 0) + 1);
    for (const zone of this.startedZones.get(job.spec.id) ?? []) count(zone);
    for (const { machine } of tasks) count(machine.zone);
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
    // Terms are revisions of the key-value store, so no two owners ever use the same attempt number.
    if (this.attempts >= ATTEMPTS_PER_TERM - 1) throw this.hooks.lostOwnership();
    return this.term * ATTEMPTS_PER_TERM + ++this.attempts;
  }

  /** What is free on a machine beside all that it holds or may hold; `memo` keeps what was worked out. */
  freeCapacity(m: Machine, memo: Map<Machine, Amounts>): Amounts {
    let free = memo.get(m);
    if (!free) {
      free = { ...this.context.catalog.size(m.type) };
      for (const h of m.attempts.values()) {
        if (h.state === 'exited') continue;
        const use = this.hooks.usageOf(h);
        if (use) subtract(free, use.need);
        else free.cpus = -1;
      }
      memo.set(m, free);
    }
    return free;
  }

  /** What each team's tasks take now, with all that machines may hold that have not reported. */
  teamUsage(): Map<number, Amounts> {
    const usage = new Map<number, Amounts>();
    const unreconciled = this.hooks.unreconciledCapacity();
    this.context.settings.teams.forEach((_, team) => {
      usage.set(team, { ...unreconciled });
    });
    for (const m of this.registry.machines.values()) {
      for (const h of m.attempts.values()) {
        if (h.state === 'exited') continue;
        const use = this.hooks.usageOf(h);
        if (use) {
          const sum = usage.get(use.team);
          if (sum) add(sum, use.need);
        } else {
          // Its job is not remembered: it counts for every team.
          for (const sum of usage.values()) add(sum, this.context.catalog.size(m.type));
        }
      }
    }
    return usage;
  }
}

function subtract(from: Amounts, need: Amounts): void {
  from.cpus -= need.cpus;
  from.gpus -= need.gpus;
  from.memoryGb -= need.memoryGb;
}

function add(to: Amounts, need: Amounts): void {
  to.cpus += need.cpus;
  to.gpus += need.gpus;
  to.memoryGb += need.memoryGb;
}
