import type { Job } from '../jobs/job.js';
import { type JobSpec, PRIORITY } from '../wire/users.js';
import type { DependentClaim } from './dependencymessages.js';

/**
 * Propagates urgency along dependencies: a job gets at least the priority of its most urgent dependent, and a
 * deadline early enough for that dependent to meet its own.
 */
export class UrgencyPropagation {
  private readonly boostedJobs = new Set<Job>();

  constructor(
    private readonly jobs: ReadonlyMap<string, Job>,
    /** Returns the expected run time of a task of a job, in seconds. */
    private readonly runS: (spec: JobSpec) => number,
  ) {}

  /**
   * Recomputes priorities and deadlines: from the claims of other shards, by the id of the job that they
   * depend on, and from the waiting jobs, which are in the order of acceptance.
   */
  propagate(claims: Iterable<readonly [id: string, claim: DependentClaim]>, waiting: readonly Job[]): void {
    this.resetBoosts();
    for (const [id, claim] of claims) this.boost(id, claim.priority, claim.dueWall);
    // Dependents come after their dependencies, so in reverse order each job has received all of its own
    // boosts by its turn.
    for (let i = waiting.length - 1; i >= 0; i--) this.boostDependencies(waiting[i]!);
  }

  /** Raises the urgency of the jobs that a job waits for to its own. */
  boostDependencies(dependent: Job): void {
    const due = this.latestDependencyEnd(dependent);
    for (const id of dependent.pendingDependencies) this.boost(id, dependent.priority, due);
  }

  /**
   * Returns when the dependencies of a job have to end for it to meet its deadline; wall-clock milliseconds.
   */
  latestDependencyEnd(dependent: Job): number {
    return dependent.dueWall - this.runS(dependent.spec) * 1000;
  }

  private resetBoosts(): void {
    for (const job of this.boostedJobs) {
      // An aged job has only just been given its priority, which it keeps.
      if (job.aged) continue;
      job.priority = job.spec.priority;
      job.dueWall = job.deadlineWall;
    }
    this.boostedJobs.clear();
  }

  private boost(id: string, priority: number, dueWall: number): void {
    const job = this.jobs.get(id);
    if (!job) return;
    job.priority = Math.max(job.priority, priority);
    // With the urgency of its dependents, the job may preempt lower-priority tasks again.
    if (priority >= PRIORITY.high) job.aged = false;
    job.dueWall = Math.min(job.dueWall, dueWall);
    this.boostedJobs.add(job);
  }
}
