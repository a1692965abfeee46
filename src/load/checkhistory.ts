import type { TaskEvent } from '../emulator/tasks.js';
import type { JobSpec } from '../wire/users.js';
import type { CheckLimits, UserEvent, Violation } from './history.js';
import { checkTasks } from './taskrules.js';
import { checkUserEvents } from './userrules.js';

/** Checks the events on machines and at users against the rules of the protocol. Pure; times are in milliseconds. */
export function checkHistory(
  tasks: readonly TaskEvent[],
  userEvents: readonly UserEvent[],
  jobs: ReadonlyMap<string, JobSpec>,
  limits: CheckLimits,
): Violation[] {
  const violations: Violation[] = [];
  const report = (rule: string, at: number, what: string) => violations.push({ rule, at, what });
  const cancelledAt = cancellationTimes(userEvents);
  const doneAt = doneTimes(tasks, jobs);
  checkTasks(tasks, jobs, doneAt, limits, cancelledAt, report);
  checkUserEvents(userEvents, jobs, doneAt, cancelledAt, limits, report);
  if (jobs.size > 0 && !tasks.some((e) => e.kind === 'on')) report('nothing_ran', 0, 'no task was started');
  return violations.sort((a, b) => a.at - b.at);
}

/** Returns when each job was first reported to its user as cancelled, dependent jobs of cancelled ones included. */
function cancellationTimes(userEvents: readonly UserEvent[]): Map<string, number> {
  const times = new Map<string, number>();
  for (const e of userEvents)
    if (!times.has(e.job) && (e.kind === 'cancelled' || (e.kind === 'told' && e.status === 'cancelled')))
      times.set(e.job, e.at);
  return times;
}

/** Returns when the last task of each job was done; the tasks of a gang are done together. */
function doneTimes(tasks: readonly TaskEvent[], jobs: ReadonlyMap<string, JobSpec>): Map<string, number> {
  const tasksDone = new Map<string, Set<number>>();
  const times = new Map<string, number>();
  for (const event of tasks) {
    const spec = jobs.get(event.job);
    if (event.kind !== 'off' || event.cause !== 'done' || !spec || times.has(event.job)) continue;
    let indexesDone = tasksDone.get(event.job);
    if (!indexesDone) {
      indexesDone = new Set();
      tasksDone.set(event.job, indexesDone);
    }
    indexesDone.add(event.index);
    if (spec.kind === 'gang' || indexesDone.size === spec.tasks) times.set(event.job, event.at);
  }
  return times;
}
