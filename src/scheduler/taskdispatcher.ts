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

/** Number of attempt numbers available to an owner under one term. */
const ATTEMPTS_PER_TERM = 2 ** 20;
/** Tasks whose planned start is within this time from now are started now. */
const START_TOLERANCE_S = 0.01;
/** Tolerance for rounding errors when sums of fractional processors are compared with a limit. */
const ROUNDING_TOLERANCE = 1e-6;
/**
 * Maximum starts of low-priority tasks per second on a whole core. Tiny tasks end as fast as they start, and
 * each costs commands and heartbeats: a higher rate would starve all other work of a small controller.
 */
const LOW_PRIORITY_STARTS_PER_CORE = 800;
const LOW_PRIORITY_BURST_S = 2;

/** Callbacks into the shard that the dispatcher needs. */
export interface TaskDispatcherHooks {
  /** Returns the team of a task and its resources; null when its job is unknown. */
  usageOf(attempt: TaskAttempt): { team: number; need: Amounts } | null;
  /** Returns the resources that machines which have not sent a heartbeat to this owner may hold. */
  unreconciledCapacity(): Amounts;
  /** Returns whether tasks of a job without a known placement are certain to run on no machine. */
  isConfirmedNotRunning(job: Job): boolean;
  /** Returns whether a machine is being transferred to another shard or returned to the cloud. */
  isReservedForTransfer(id: string): boolean;
  /** Stops the shard; returns the error to throw. */
  onOwnershipLost(): Error;
}

/** Task, given by its index in its job, and the machine to start it on. */
interface TaskOnMachine {
  readonly machine: Machine;
  readonly index: number;
}

/** State of one round of starts, updated with each start that is recorded. */
interface DispatchRound {
  /** Time of the round; milliseconds on the monotonic clock. */
  readonly now: number;
  /** Free resources of the machines considered so far. */
  readonly free: Map<Machine, Amounts>;
  /** Resources in use by each team, by team index. */
  readonly usage: Map<number, Amounts>;
  /** Starts recorded so far, by machine. */
  readonly starts: Map<Machine, TaskStart[]>;
}

/** Starts tasks, and enforces the rules on starts independently of the plan. */
export class TaskDispatcher {
  private attempts = 0;
  private lowPriorityTokens = 0;
  private lowPriorityTokensAt = Number.NEGATIVE_INFINITY;
  /** Zones of the tasks placed in this round of starts, by job id. */
  private readonly startedZones = new Map<string, number[]>();
  private attemptsByZone: Map<string, Map<number, number>> | null = null;
  /**
   * Whether a job is known not to run on any machine that has not sent a heartbeat, cached for one round of starts.
   */
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
   * Starts the tasks that the plan has for now, where the machines are actually free and the rules are
   * certain to hold. `shardMachines` are the machines behind the plan's machine indices, `jobsByPlanId` the jobs of
   * the plan; `now` in milliseconds on the monotonic clock.
   */
  dispatch(
    plan: Plan,
    shardMachines: readonly (Machine | null)[],
    jobsByPlanId: ReadonlyMap<number, Job>,
    now: number,
  ): void {
    this.attemptsByZone = null;
    this.notRunningCache.clear();
    const round: DispatchRound = { now, free: new Map(), usage: this.teamUsage(), starts: new Map() };
    const gangs = new Map<Job, TaskOnMachine[]>();
    const singles: { job: Job; task: TaskOnMachine }[] = [];
    for (const reservation of plan.reservations) {
      const machine = shardMachines[reservation.machine];
      const job = jobsByPlanId.get(reservation.job.id);
      if (!machine || !job || reservation.start > now / 1000 + START_TOLERANCE_S) continue;
      if (!this.isConfirmedNotRunning(job)) continue;
      const task = { machine, index: reservation.task };
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
      if (remainingTasksPriority(job) === PRIORITY.low && !this.takeLowPriorityToken(now)) continue;
      this.start(job, [task], round);
    }
    this.startedZones.clear();
    this.sendStarts(round);
  }

  /** Records the start of tasks of a job, which start together or not at all, if they may start. */
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
    // Records the zones at once, so that the next check counts these tasks.
    const zones = this.startedZones.get(job.spec.id) ?? [];
    for (const { machine } of tasks) zones.push(machine.zone);
    this.startedZones.set(job.spec.id, zones);
  }

  private sendStarts(round: DispatchRound): void {
    for (const [machine, starts] of round.starts) {
      for (const attempt of this.registry.startTasks(machine, starts)) {
        this.jobs.get(attempt.job)?.placements.set(attempt.index, attempt);
        this.log.debug(
          { task: `${attempt.job}/${attempt.index}`, attempt: attempt.attempt, machine: machine.id },
          'task started',
        );
      }
    }
  }

  private isConfirmedNotRunning(job: Job): boolean {
    let isNotRunning = this.notRunningCache.get(job);
    if (isNotRunning === undefined) {
      isNotRunning = this.hooks.isConfirmedNotRunning(job);
      this.notRunningCache.set(job, isNotRunning);
    }
    return isNotRunning;
  }

  /**
   * Takes a token from the rate limit on starts of low-priority tasks; returns false when none is available.
   */
  private takeLowPriorityToken(now: number): boolean {
    const perSecond = LOW_PRIORITY_STARTS_PER_CORE * Math.min(1, this.context.settings.limits.cores);
    const tokens = this.lowPriorityTokens + ((now - this.lowPriorityTokensAt) / 1000) * perSecond;
    this.lowPriorityTokens = Math.min(perSecond * LOW_PRIORITY_BURST_S, tokens);
    this.lowPriorityTokensAt = now;
    if (this.lowPriorityTokens < 1) return false;
    this.lowPriorityTokens--;
    return true;
  }

  private mayStart(job: Job, tasks: readonly TaskOnMachine[], round: DispatchRound): boolean {
    if (job.state !== 'active' || job.notBefore > round.now) return false;
    // Enforced independently of the plan: a job starts only once all its dependencies are known to be done.
    if (!dependenciesMet(job)) return false;
    return (
      this.teamPermits(job, tasks.length, round.usage) &&
      this.machinesPermit(job, tasks, round) &&
      this.zonesPermit(job, tasks)
    );
  }

  /** Returns whether a job's team may run `count` more tasks of it within its limits. */
  private teamPermits(job: Job, count: number, usage: ReadonlyMap<number, Amounts>): boolean {
    const team = this.context.settings.teams[job.team];
    const use = usage.get(job.team);
    if (!team || !use) return true;
    if (team.cpusMax > 0 && use.cpus + count * job.need.cpus > team.cpusMax + ROUNDING_TOLERANCE)
      return false;
    return !(team.gpusMax > 0 && use.gpus + count * job.need.gpus > team.gpusMax + ROUNDING_TOLERANCE);
  }

  private machinesPermit(job: Job, tasks: readonly TaskOnMachine[], { now, free }: DispatchRound): boolean {
    const counts = new Map<Machine, number>();
    for (const { machine } of tasks) counts.set(machine, (counts.get(machine) ?? 0) + 1);
    for (const [machine, count] of counts) {
      if (!machineUsable(machine)) return false;
      if (this.hooks.isReservedForTransfer(machine.id)) return false;
      if (machine.unreachableAt !== null && now - machine.unreachableAt < UNREACHABLE_MS) return false;
      if (fitCount(this.freeCapacity(machine, free), job.need, count) < count) return false;
      if (!kindAllowed(job, machine.type, machine.zone, machine.spot)) return false;
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

  /** Returns the zones in which tasks of each job are or may be; computed once per round of starts. */
  private zonesOfAttempts(): Map<string, Map<number, number>> {
    if (!this.attemptsByZone) {
      this.attemptsByZone = new Map();
      for (const machine of this.registry.machines.values()) {
        for (const attempt of machine.attempts.values()) {
          if (attempt.state === 'exited') continue;
          const zones = this.attemptsByZone.get(attempt.job) ?? new Map<number, number>();
          zones.set(machine.zone, (zones.get(machine.zone) ?? 0) + 1);
          this.attemptsByZone.set(attempt.job, zones);
        }
      }
    }
    return this.attemptsByZone;
  }

  private nextAttempt(): number {
    // Terms are revisions of the key-value store, so no two owners ever use the same attempt number.
    if (this.attempts >= ATTEMPTS_PER_TERM - 1) throw this.hooks.onOwnershipLost();
    return this.term * ATTEMPTS_PER_TERM + ++this.attempts;
  }

  /**
   * Returns the resources of a machine that are not in use by tasks that it runs or may run; results are kept
   * in `cache`.
   */
  freeCapacity(machine: Machine, cache: Map<Machine, Amounts>): Amounts {
    let free = cache.get(machine);
    if (!free) {
      free = { ...this.context.catalog.size(machine.type) };
      for (const attempt of machine.attempts.values()) {
        if (attempt.state === 'exited') continue;
        const use = this.hooks.usageOf(attempt);
        if (use) subtract(free, use.need);
        else free.cpus = -1;
      }
      cache.set(machine, free);
    }
    return free;
  }

  /**
   * Returns the resources in use by each team, with all that unreported machines may hold counted against
   * every team.
   */
  teamUsage(): Map<number, Amounts> {
    const usage = new Map<number, Amounts>();
    const unreconciled = this.hooks.unreconciledCapacity();
    this.context.settings.teams.forEach((_, team) => {
      usage.set(team, { ...unreconciled });
    });
    for (const machine of this.registry.machines.values()) {
      for (const attempt of machine.attempts.values()) {
        if (attempt.state === 'exited') continue;
        const use = this.hooks.usageOf(attempt);
        if (use) {
          const sum = usage.get(use.team);
          if (sum) add(sum, use.need);
        } else {
          // The job of this attempt is unknown, so its whole machine counts against every team.
          for (const sum of usage.values()) add(sum, this.context.catalog.size(machine.type));
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
