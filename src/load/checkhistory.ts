import type { TaskEvent } from '../emulator/tasks.js';
import type { JobSpec } from '../wire/users.js';
import type { CheckLimits, UserEvent, Violation } from './history.js';
import { checkTasks } from './taskrules.js';
import { checkUserEvents } from './userrules.js';

/** Holds what machines and users saw against the rules of the protocol; pure. Times are in milliseconds. */
export function checkHistory(
  tasks: readonly TaskEvent[],
  userEvents: readonly UserEvent[],
  jobs: ReadonlyMap<string, JobSpec>,
  limits: CheckLimits,
): Violation[] {
  const found: Violation[] = [];
  const broken = (rule: string, at: number, what: string) => found.push({ rule, at, what });
  const ended = cancellationTimes(userEvents);
  const done = doneTimes(tasks, jobs);
  checkTasks(tasks, jobs, done, limits, ended, broken);
  checkUserEvents(userEvents, jobs, done, ended, limits, broken);
  if (jobs.size > 0 && !tasks.some((e) => e.kind === 'on')) broken('nothing_ran', 0, 'no task was started');
  return found.sort((a, b) => a.at - b.at);
}

/** When each job's user was told that it is cancelled, with the jobs that need it. */
function cancellationTimes(userEvents: readonly UserEvent[]): Map<string, number> {
  const at = new Map<string, number>();
  for (const e of userEvents)
    if (!at.has(e.job) && (e.kind === 'cancelled' || (e.kind === 'told' && e.status === 'cancelled')))
      at.set(e.job, e.at);
  return at;
}

/** When the last task of each job was done; those of a gang are done together. */
function doneTimes(tasks: readonly TaskEvent[], jobs: ReadonlyMap<string, JobSpec>): Map<string, number> {
  const open = new Map<string, Set<number>>();
  const at = new Map<string, number>();
  for (const e of tasks) {
    const spec = jobs.get(e.job);
    if (e.kind !== 'off' || e.cause !== 'done' || !spec || at.has(e.job)) continue;
    let done = open.get(e.job);
    if (!done) {
      done = new Set();
      open.set(e.job, done);
    }
    done.add(e.index);
    if (spec.kind === 'gang' || done.size === spec.tasks) at.set(e.job, e.at);
  }
  return at;
}
