// What a run of a scenario came to.
import type { TaskEvent } from '../emulator/tasks.js';
import type { Violation } from './history.js';
import type { Share } from './served.js';
import type { Spread } from './spread.js';

/** What became of the jobs of one class. */
export interface ClassReport {
  name: string;
  team: string;
  submitted: number;
  accepted: number;
  /** Jobs of which a task has started. */
  started: number;
  refused: number;
  done: number;
  cancelled: number;
  /** Accepted, and neither done nor cancelled in the end; services run on, and are forgotten only by the rules. */
  lost: number;
  submitMs: Spread;
  startS: Spread;
  /** From acceptance to the start of a job's first task; of a gang, of its last. */
  waitS: Spread;
  /** Share of the jobs that started whose wait was a second at most. */
  withinSecond: number;
  finishS: Spread;
}

/** What a run came to; also the form of the JSON report. */
export interface LoadReport {
  scenario: string;
  seed: number;
  speed: number;
  durationS: number;
  classes: ClassReport[];
  /** What share of each class and team was served, the lowest first. */
  served: Share[];
  /** Tasks done more than once. */
  twice: number;
  violations: Violation[];
  spent: number;
  /** Task starts in the second that had the most. */
  startsPeak: number;
  /** Tasks that ended since their machine lost its lease or was gone: seconds since the beginning, and how many then. */
  lostTasks: { at: number; count: number }[];
  /** Every second or so: seconds since the beginning, machines up, tasks on machines, jobs not over. */
  series: { at: number; machines: number; tasks: number; open: number }[];
  faults: { at: number; what: string }[];
}

/** The most task starts in any second. */
export function startsPeak(history: readonly TaskEvent[], startedAt: number): number {
  return Math.max(0, ...eventsBySecond(history, startedAt, (e) => e.kind === 'on').values());
}

/** Tasks that ended with their machine's lease or the machine itself, by the second. */
export function lostTasks(history: readonly TaskEvent[], startedAt: number): LoadReport['lostTasks'] {
  const lost = eventsBySecond(history, startedAt, (e) => e.kind === 'off' && e.cause === 'lost');
  return [...lost].map(([at, count]) => ({ at, count }));
}

/** How many events of a kind there were in each second since `startedAt`, in milliseconds. */
function eventsBySecond(
  history: readonly TaskEvent[],
  startedAt: number,
  counts: (e: TaskEvent) => boolean,
): Map<number, number> {
  const bySecond = new Map<number, number>();
  for (const e of history) {
    if (!counts(e)) continue;
    const second = Math.floor((e.at - startedAt) / 1000);
    bySecond.set(second, (bySecond.get(second) ?? 0) + 1);
  }
  return bySecond;
}
