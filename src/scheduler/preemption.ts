import type { Log } from '../config/log.js';
import type { ControllerContext } from '../context/context.js';
import { type Job, kindAllowed, unplacedCount } from '../jobs/job.js';
import type { Amounts } from '../plan/capacityprofile.js';
import { chooseVictims, type PreemptMachine } from '../plan/victimchoice.js';
import { PRIORITY } from '../wire/users.js';
import type { Machine, TaskAttempt } from '../workers/machine.js';
import type { MachineRegistry } from '../workers/machineregistry.js';

/**
 * A job preempts at most once per pause; one that found nothing to preempt is considered again after the
 * retry interval.
 */
const PREEMPT_PAUSE_MS = 12_000;
const PREEMPT_RETRY_MS = 1500;
/** Maximum number of waiting jobs that are considered in one plan. */
const MAX_PREEMPTING_JOBS = 6;
/** Maximum number of tasks of an array for which tasks are preempted at a time. */
const MAX_PREEMPTING_TASKS = 64;
/** Stands for an unlimited amount of a resource. */
const UNLIMITED = 1e12;

/** Callbacks into the shard that `Preemption` needs. */
export interface PreemptionHooks {
  /** Returns whether tasks of a job without a known placement are certain to run on no machine. */
  isConfirmedNotRunning(job: Job): boolean;
  /** Returns the resources in use by each team, by team index. */
  teamUsage(): Map<number, Amounts>;
  /** Returns the free resources of a machine. */
  freeCapacity(m: Machine): Amounts;
  /** Returns whether a machine is being drained for another shard. */
  hasPendingTransfer(machine: string): boolean;
}

/** Stops lower-priority tasks in favour of more urgent jobs of the shard. */
export class Preemption {
  /** Time of each job's last preemption, by job id; milliseconds on the monotonic clock. */
  private readonly preemptedAt = new Map<string, number>();

  constructor(
    private readonly context: ControllerContext,
    private readonly registry: MachineRegistry,
    private readonly jobs: ReadonlyMap<string, Job>,
    private readonly log: Log,
    private readonly hooks: PreemptionHooks,
  ) {}

  /**
   * Stops lower-priority tasks for jobs of higher priority that would have to wait: where their machines are
   * full, and where their team's limit is used up by the team's own lower-priority tasks. `now` in
   * milliseconds on the monotonic clock.
   */
  preemptFor(waiting: ReadonlySet<Job>, now: number): void {
    const urgent = this.preemptingJobs(waiting, now);
    const usage = urgent.length > 0 ? this.hooks.teamUsage() : new Map<number, Amounts>();
    for (const job of urgent) {
      const victims = this.victimsFor(job, usage, now);
      if (!victims || victims.length === 0) {
        // Stopping tasks would not help now; the job is considered again after the retry interval.
        this.preemptedAt.set(job.spec.id, now - PREEMPT_PAUSE_MS + PREEMPT_RETRY_MS);
        continue;
      }
      this.preemptedAt.set(job.spec.id, now);
      this.log.info({ job: job.spec.id, stopped: victims.length }, 'tasks preempted');
      for (const victim of victims)
        this.registry.stopTask(victim, (this.jobs.get(victim.job)?.spec.saveS ?? 0) + 1);
    }
    for (const id of this.preemptedAt.keys()) if (!this.jobs.has(id)) this.preemptedAt.delete(id);
  }

  /** Returns the waiting jobs that may preempt now, the most urgent first. */
  private preemptingJobs(waiting: ReadonlySet<Job>, now: number): Job[] {
    const hasLowPriority = this.hasLowPriorityTasks();
    return [...waiting]
      .filter((job) => job.priority > PRIORITY.normal || (hasLowPriority && job.priority > PRIORITY.low))
      .filter((job) => this.hooks.isConfirmedNotRunning(job))
      .filter(
        (job) => now - (this.preemptedAt.get(job.spec.id) ?? Number.NEGATIVE_INFINITY) >= PREEMPT_PAUSE_MS,
      )
      .sort((a, b) => b.priority - a.priority || a.order - b.order)
      .slice(0, MAX_PREEMPTING_JOBS);
  }

  /**
   * Returns whether there are tasks of the lowest priority, which jobs of normal priority may preempt as
   * well.
   */
  private hasLowPriorityTasks(): boolean {
    for (const job of this.jobs.values()) {
      if (job.priority === PRIORITY.low && job.placements.size > 0) return true;
    }
    return false;
  }

  /**
   * Returns the fewest tasks to stop for a job, within one zone if the job requires it; null when stopping
   * tasks does not help.
   */
  private victimsFor(job: Job, usage: ReadonlyMap<number, Amounts>, now: number): TaskAttempt[] | null {
    const gang = job.spec.kind === 'gang';
    const count = gang ? job.spec.tasks : Math.min(unplacedCount(job), MAX_PREEMPTING_TASKS);
    if (count <= 0 || (gang && job.placements.size > 0)) return null;
    const teamLeft = this.teamLeft(job, usage);
    let best: TaskAttempt[] | null = null;
    for (const machines of this.machinesByZone(job, now).values()) {
      const victims = chooseVictims({ need: job.need, count, teamLeft }, machines);
      if (victims && (!best || victims.length < best.length)) best = victims;
    }
    return best;
  }

  /** Returns the resources that a job's team may still use within its limit. */
  private teamLeft(job: Job, usage: ReadonlyMap<number, Amounts>): Amounts {
    const left: Amounts = { cpus: UNLIMITED, gpus: UNLIMITED, memoryGb: UNLIMITED };
    const team = this.context.settings.teams[job.team];
    const use = usage.get(job.team);
    if (team && use) {
      if (team.cpusMax > 0) left.cpus = team.cpusMax - use.cpus;
      if (team.gpusMax > 0) left.gpus = team.gpusMax - use.gpus;
    }
    return left;
  }

  /**
   * Returns the machines that a job may use, with the tasks it may preempt there: by zone if the job requires
   * a single zone, else in one group.
   */
  private machinesByZone(job: Job, now: number): Map<number, PreemptMachine<TaskAttempt>[]> {
    const byZone = new Map<number, PreemptMachine<TaskAttempt>[]>();
    for (const machine of this.registry.machines.values()) {
      if (
        !machine.reconciled ||
        machine.leaseExpired ||
        machine.decommissioning ||
        machine.reclaimAt !== null ||
        this.hooks.hasPendingTransfer(machine.id)
      )
        continue;
      if (!kindAllowed(job, machine.type, machine.zone, machine.spot)) continue;
      const zone = job.spec.oneZone ? machine.zone : 0;
      const machines = byZone.get(zone) ?? [];
      machines.push({ free: this.hooks.freeCapacity(machine), victims: this.victimsOn(machine, job, now) });
      byZone.set(zone, machines);
    }
    return byZone;
  }

  private victimsOn(machine: Machine, job: Job, now: number): PreemptMachine<TaskAttempt>['victims'] {
    const victims = [];
    for (const attempt of machine.attempts.values()) {
      const other = this.jobs.get(attempt.job);
      if (!other || attempt.state === 'exited' || attempt.stop || other.priority >= job.priority) continue;
      if (other.spec.kind === 'gang') continue;
      const ranS = attempt.runningAt === null ? 0 : (now - attempt.runningAt) / 1000;
      const loss = other.spec.checkpointS > 0 ? 2 + other.spec.saveS + ranS / 100 : ranS;
      victims.push({ ref: attempt, need: other.need, sameTeam: other.team === job.team, loss });
    }
    return victims;
  }
}
