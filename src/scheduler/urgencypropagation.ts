import type { Job } from '../jobs/job.js';
import { type JobSpec, PRIORITY } from '../wire/users.js';
import type { DependentClaim } from './dependencymessages.js';

/**
 * Jobs that others depend on are as urgent as the most urgent of their dependents, and due early enough for it to be done
 * by its own deadline.
 */
export class UrgencyPropagation {
  private readonly boostedJobs = new Set<Job>();

  constructor(
    private readonly jobs: ReadonlyMap<string, Job>,
    /** How long a task of a job is expected to run, in seconds. */
    private readonly runS: (spec: JobSpec) => number,
  ) {}

  /**
   * Passes priority and deadline on anew: from claims of other shards, by the id of the job that they depend on, and from
   * the jobs that wait for others, in the order of acceptance.
   */
  propagate(claims: Iterable<readonly [id: string, claim: DependentClaim]>, waiting: readonly Job[]): void {
    this.resetBoosts();
    for (const [id, claim] of claims) this.boost(id, claim.priority, claim.dueWall);
    // Dependents come after their dependencies, so that from the last one on each has all of its own boosts by its turn.
    for (let i = waiting.length - 1; i >= 0; i--) this.boostDependencies(waiting[i]!);
  }

  /** Makes the jobs that one waits for as urgent as it is. */
  boostDependencies(dependent: Job): void {
    const due = this.latestDependencyEnd(dependent);
    for (const id of dependent.pendingDependencies) this.boost(id, dependent.priority, due);
  }

  /** By when all that a job waits for has to end for the job to be done in time; milliseconds of the time of day. */
  latestDependencyEnd(dependent: Job): number {
    return dependent.dueWall - this.runS(dependent.spec) * 1000;
  }

  private resetBoosts(): void {
    for (const job of this.boostedJobs) {
      // One that has aged has been given its priority just now.
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
    // As urgent by its dependents, it may preempt lower-priority tasks again.
    if (priority >= PRIORITY.high) job.aged = false;
    job.dueWall = Math.min(job.dueWall, dueWall);
    this.boostedJobs.add(job);
  }
}
