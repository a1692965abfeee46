import type { TaskEvent } from '../../src/emulator/tasks.js';
import type { Violation } from '../../src/load/history.js';
import type { JobSpec } from '../../src/wire/users.js';

/** The task events on the workers of one step's cluster. */
export interface StepHistory {
  step: string;
  events: readonly TaskEvent[];
  /** Time at which the cluster began to stop; infinite while it runs. */
  stoppedAt: number;
}

/**
 * Upper bound of the time from a completion to its stored record: a heartbeat, the batching of completions and the
 * write.
 */
export const SETTLED_MS = 10_000;

/** Returns the completed tasks of each job that must have been stored when the cluster stopped. */
export function settledTasks(
  history: StepHistory,
  jobs: ReadonlyMap<string, JobSpec>,
): Map<string, Set<number>> {
  const settled = new Map<string, Set<number>>();
  for (const event of history.events) {
    // The completion of a gang is stored as a whole, when the gang has ended.
    if (event.kind !== 'off' || event.cause !== 'done' || jobs.get(event.job)?.kind !== 'array') continue;
    if (event.at > history.stoppedAt - SETTLED_MS) continue;
    const tasks = settled.get(event.job) ?? new Set();
    settled.set(event.job, tasks.add(event.index));
  }
  return settled;
}

/** Returns the settled tasks of several steps together. */
export function settledBefore(
  histories: readonly StepHistory[],
  jobs: ReadonlyMap<string, JobSpec>,
): Map<string, Set<number>> {
  const all = new Map<string, Set<number>>();
  for (const history of histories)
    for (const [job, tasks] of settledTasks(history, jobs))
      all.set(job, new Set([...(all.get(job) ?? []), ...tasks]));
  return all;
}

/**
 * Finds tasks that were stored as done when a cluster stopped and started again in a later one; one violation per
 * job.
 */
export function findRepeatedTasks(
  histories: readonly StepHistory[],
  jobs: ReadonlyMap<string, JobSpec>,
): Violation[] {
  const found: Violation[] = [];
  for (const [step, history] of histories.entries()) {
    const settled = settledBefore(histories.slice(0, step), jobs);
    const repeatedByJob = new Map<string, { at: number; tasks: Set<number> }>();
    for (const event of history.events) {
      if (event.kind !== 'on' || !settled.get(event.job)?.has(event.index)) continue;
      const repeated = repeatedByJob.get(event.job) ?? { at: event.at, tasks: new Set() };
      repeatedByJob.set(event.job, repeated);
      repeated.tasks.add(event.index);
    }
    for (const [job, { at, tasks }] of repeatedByJob)
      found.push({
        rule: 'ran_again',
        at,
        what: `${tasks.size} tasks of ${job} that were done before start again in step ${history.step}`,
      });
  }
  return found;
}
