import type { TaskEvent } from '../../src/emulator/tasks.js';
import type { Violation } from '../../src/load/history.js';
import type { JobSpec } from '../../src/wire/users.js';

/** What ran on the workers of one step's cluster. */
export interface StepHistory {
  step: string;
  events: readonly TaskEvent[];
  /** When the cluster began to stop; infinite while it runs. */
  stoppedAt: number;
}

/** A report of a worker, the time that completions are gathered for, and the write take less than this. */
export const SETTLED_MS = 10_000;

/** The done tasks of each job that must have been stored when the cluster stopped. */
export function settledTasks(
  history: StepHistory,
  jobs: ReadonlyMap<string, JobSpec>,
): Map<string, Set<number>> {
  const settled = new Map<string, Set<number>>();
  for (const e of history.events) {
    // A gang is stored as a whole, when it is over.
    if (e.kind !== 'off' || e.cause !== 'done' || jobs.get(e.job)?.kind !== 'array') continue;
    if (e.at > history.stoppedAt - SETTLED_MS) continue;
    const tasks = settled.get(e.job) ?? new Set();
    settled.set(e.job, tasks.add(e.index));
  }
  return settled;
}

/** All settled tasks of several steps together. */
export function settledBefore(
  histories: readonly StepHistory[],
  jobs: ReadonlyMap<string, JobSpec>,
): Map<string, Set<number>> {
  const all = new Map<string, Set<number>>();
  for (const h of histories)
    for (const [job, tasks] of settledTasks(h, jobs))
      all.set(job, new Set([...(all.get(job) ?? []), ...tasks]));
  return all;
}

/** Finds tasks that were stored as done when one cluster stopped and start again in a later one: once for each job. */
export function ranAgain(histories: readonly StepHistory[], jobs: ReadonlyMap<string, JobSpec>): Violation[] {
  const found: Violation[] = [];
  for (const [k, h] of histories.entries()) {
    const settled = settledBefore(histories.slice(0, k), jobs);
    const again = new Map<string, { at: number; tasks: Set<number> }>();
    for (const e of h.events) {
      if (e.kind !== 'on' || !settled.get(e.job)?.has(e.index)) continue;
      const of = again.get(e.job) ?? { at: e.at, tasks: new Set() };
      again.set(e.job, of);
      of.tasks.add(e.index);
    }
    for (const [job, { at, tasks }] of again)
      found.push({
        rule: 'ran_again',
        at,
        what: `${tasks.size} tasks of ${job} that were done before start again in step ${h.step}`,
      });
  }
  return found;
}
