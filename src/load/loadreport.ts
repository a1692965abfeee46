// Report on a run of a scenario.
import type { TaskEvent } from '../emulator/tasks.js';
import type { Violation } from './history.js';
import type { ServedFraction } from './served.js';
import type { Distribution } from './spread.js';

/** Results of the jobs of one class. */
export interface ClassReport {
  name: string;
  team: string;
  submitted: number;
  accepted: number;
  /** Jobs that have at least one started task. */
  started: number;
  refused: number;
  done: number;
  cancelled: number;
  /**
   * Jobs that were accepted, but are neither done nor cancelled at the end. Always 0 for services, because they keep
   * running; only the rules detect a forgotten service.
   */
  lost: number;
  submitMs: Distribution;
  startS: Distribution;
  /** Time from acceptance to the start of a job's first task, or of a gang's last task. */
  waitS: Distribution;
  /** Fraction of the started jobs that waited for one second at most. */
  withinSecond: number;
  finishS: Distribution;
}

/** Results of a run, in the form of the JSON report. */
export interface LoadReport {
  scenario: string;
  seed: number;
  speed: number;
  durationS: number;
  classes: ClassReport[];
  /** Served fraction of each class and team, lowest first. */
  served: ServedFraction[];
  /** Number of tasks done more than once. */
  twice: number;
  violations: Violation[];
  spent: number;
  /** Maximum number of task starts in one second. */
  startsPeak: number;
  /**
   * Tasks that ended because their machine lost its lease or was removed: seconds since the start of the run, and the
   * number of tasks in that second.
   */
  lostTasks: { at: number; count: number }[];
  /** About every second: seconds since the start of the run, machines up, tasks on machines, and open jobs. */
  series: { at: number; machines: number; tasks: number; open: number }[];
  faults: { at: number; what: string }[];
}

/** Returns the maximum number of task starts in one second. */
export function startsPeak(history: readonly TaskEvent[], startedAt: number): number {
  return Math.max(0, ...eventsBySecond(history, startedAt, (e) => e.kind === 'on').values());
}

/** Counts, by second, the tasks that ended because their machine lost its lease or was removed. */
export function lostTasks(history: readonly TaskEvent[], startedAt: number): LoadReport['lostTasks'] {
  const lost = eventsBySecond(history, startedAt, (e) => e.kind === 'off' && e.cause === 'lost');
  return [...lost].map(([at, count]) => ({ at, count }));
}

/** Counts the matching events in each second since `startedAt`, which is in milliseconds. */
function eventsBySecond(
  history: readonly TaskEvent[],
  startedAt: number,
  matches: (e: TaskEvent) => boolean,
): Map<number, number> {
  const bySecond = new Map<number, number>();
  for (const e of history) {
    if (!matches(e)) continue;
    const second = Math.floor((e.at - startedAt) / 1000);
    bySecond.set(second, (bySecond.get(second) ?? 0) + 1);
  }
  return bySecond;
}
