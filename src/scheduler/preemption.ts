import type { Log } from '../config/log.js';
import type { ControllerContext } from '../context/context.js';
import { type Job, kindAllowed, unplacedCount } from '../jobs/job.js';
import type { Amounts } from '../plan/capacityprofile.js';
import { chooseVictims, type PreemptMachine } from '../plan/victimchoice.js';
import { PRIORITY } from '../wire/users.js';
import type { Machine, TaskAttempt } from '../workers/machine.js';
import type { MachineRegistry } from '../workers/machineregistry.js';

/** A job preempts no second time within the pause, and is not looked at again at once when there was nothing to preempt. */
const PREEMPT_PAUSE_MS = 12_000;
const PREEMPT_RETRY_MS = 1500;
/** So many waiting jobs are looked at in one plan. */
const MAX_PREEMPTING_JOBS = 6;
/** So many tasks of an array preempt at a time. */
const MAX_PREEMPTING_TASKS = 64;
/** No limit, as an amount of anything. */
const UNLIMITED = 1e12;

/** What `Preemption` asks of its shard. */
export interface PreemptionHooks {
  /** Whether a task of a job that is not known to be anywhere is surely nowhere. */
  surelyNotRunning(job: Job): boolean;
  /** What the tasks of each team take now, by the index of the team. */
  teamUsage(): Map<number, Amounts>;
  /** What is free on a machine. */
  freeCapacity(m: Machine): Amounts;
  /** Whether a machine is being emptied for another shard. */
  isReserved(machine: string): boolean;
}

/** Stops lower-priority tasks for jobs of the shard that are more urgent. */
export class Preemption {
  /** When a job last preempted, by its id, in steady milliseconds. */
  private readonly preemptedAt = new Map<string, number>();

  constructor(
    private readonly context: ControllerContext,
    private readonly registry: MachineRegistry,
    private readonly jobs: ReadonlyMap<string, Job>,
    private readonly log: Log,
    private readonly hooks: PreemptionHooks,
  ) {}

  /**
   * Jobs of higher priority that would have to wait stop lower-priority tasks: where their machines are full, and where
   * their team's limit is used up by the team's own lower-priority tasks. `now` in steady milliseconds.
   */
  preemptFor(waiting: ReadonlySet<Job>, now: number): void {
    const urgent = this.preemptingJobs(waiting, now);
    const usage = urgent.length > 0 ? this.hooks.teamUsage() : new Map<number, Amounts>();
    for (const job of urgent) {
      const victims = this.victimsFor(job, usage, now);
      if (!victims || victims.length === 0) {
        // Nothing to gain by stopping anything: looked at again a little later.
        this.preemptedAt.set(job.spec.id, now - PREEMPT_PAUSE_MS + PREEMPT_RETRY_MS);
        continue;
      }
      this.preemptedAt.set(job.spec.id, now);
      this.log.info({ job: job.spec.id, stopped: victims.length }, 'tasks preempted');
      for (const h of victims) this.registry.stopTask(h, (this.jobs.get(h.job)?.spec.saveS ?? 0) + 1);
    }
    for (const id of this.preemptedAt.keys()) if (!this.jobs.has(id)) this.preemptedAt.delete(id);
  }

  /** Of the waiting jobs, those that may preempt now, the most urgent first. */
  private preemptingJobs(waiting: ReadonlySet<Job>, now: number): Job[] {
    const low = this.hasLowPriorityTasks();
    return [...waiting]
      .filter((job) => job.priority > PRIORITY.normal || (low && job.priority > PRIORITY.low))
      .filter((job) => this.hooks.surelyNotRunning(job))
      .filter(
        (job) => now - (this.preemptedAt.get(job.spec.id) ?? Number.NEGATIVE_INFINITY) >= PREEMPT_PAUSE_MS,
      )
      .sort((a, b) => b.priority - a.priority || a.order - b.order)
      .slice(0, MAX_PREEMPTING_JOBS);
  }

  /** Whether there are tasks of the lowest priority, which jobs of normal priority may stop as well. */
  private hasLowPriorityTasks(): boolean {
    for (const job of this.jobs.values()) {
      if (job.priority === PRIORITY.low && job.placements.size > 0) return true;
    }
    return false;
  }

  /** The fewest tasks to stop for a job, in one zone if it is held to one; null when it cannot be done. */
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

  /** What a job's team may still use before its limit. */
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

  /** The machines that a job may use, with the tasks it may stop there: by zone if it is held to one, else all together. */
  private machinesByZone(job: Job, now: number): Map<number, PreemptMachine<TaskAttempt>[]> {
    const byZone = new Map<number, PreemptMachine<TaskAttempt>[]>();
    for (const m of this.registry.machines.values()) {
      if (
        !m.reconciled ||
        m.leaseExpired ||
        m.decommissioning ||
        m.reclaimAt !== null ||
        this.hooks.isReserved(m.id)
      )
        continue;
      if (!kindAllowed(job, m.type, m.zone, m.spot)) continue;
      const zone = job.spec.oneZone ? m.zone : 0;
      const machines = byZone.get(zone) ?? [];
      machines.push({ free: this.hooks.freeCapacity(m), victims: this.victimsOn(m, job, now) });
      byZone.set(zone, machines);
    }
    return byZone;
  }

  private victimsOn(m: Machine, job: Job, now: number): PreemptMachine<TaskAttempt>['victims'] {
    const victims = [];
    for (const h of m.attempts.values()) {
      const other = this.jobs.get(h.job);
      if (!other || h.state === 'exited' || h.stop || other.priority >= job.priority) continue;
      if (other.spec.kind === 'gang') continue;
      const ranS = h.runningAt === null ? 0 : (now - h.runningAt) / 1000;
      const loss = other.spec.checkpointS > 0 ? 2 + other.spec.saveS + ranS / 100 : ranS;
      victims.push({ ref: h, need: other.need, sameTeam: other.team === job.team, loss });
    }
    return victims;
  }
}
