/** Loops that run in the background until they are stopped. */

import type { Clock, Timer } from './clock.js';

/** Ends what `startPeriodicTask` or `startPacedTask` has started; a run under way is not interrupted. */
export interface PeriodicTask {
  stop(): void;
}

/**
 * Runs a task at once and then again `intervalMs` after each end of it, until it is stopped. A task that throws or
 * rejects is not run again: it has to handle what it expects to fail.
 */
export function startPeriodicTask(
  clock: Clock,
  intervalMs: number,
  task: () => void | Promise<void>,
): PeriodicTask {
  return startPacedTask(clock, () => {
    const running = task();
    return running ? running.then(() => intervalMs) : intervalMs;
  });
}

/** As `startPeriodicTask`; the task itself returns how long to wait before it runs again, in milliseconds. */
export function startPacedTask(clock: Clock, task: () => number | Promise<number>): PeriodicTask {
  let stopped = false;
  let timer: Timer | null = null;
  const schedule = (delayMs: number) => {
    if (!stopped) timer = clock.after(delayMs, run);
  };
  const run = () => {
    timer = null;
    const next = task();
    if (typeof next === 'number') schedule(next);
    else void next.then(schedule);
  };
  run();
  return {
    stop: () => {
      stopped = true;
      timer?.cancel();
    },
  };
}
