/** Background loops that run until they are stopped. */

import type { Clock, Timer } from './clock.js';

/**
 * Handle of a loop started by `startPeriodicTask` or `startPacedTask`. Stopping it does not interrupt a run in
 * progress.
 */
export interface PeriodicTask {
  stop(): void;
}

/**
 * Runs a task at once, and again `intervalMs` after the end of each run, until it is stopped. A task that throws or
 * rejects is not run again, so it has to handle the failures it expects.
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

/** Like `startPeriodicTask`, but the task itself returns the delay before its next run, in milliseconds. */
export function startPacedTask(clock: Clock, task: () => number | Promise<number>): PeriodicTask {
  let stopped = false;
  let timer: Timer | null = null;
  const schedule = (delayMs: number) => {
    if (!stopped) timer = clock.after(delayMs, run);
  };
  const run = () => {
    timer = null;
    const result = task();
    if (typeof result === 'number') schedule(result);
    else void result.then(schedule);
  };
  run();
  return {
    stop: () => {
      stopped = true;
      timer?.cancel();
    },
  };
}
