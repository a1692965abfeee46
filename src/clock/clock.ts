/** Clocks, timers and the bound on clock drift. */

/** A clock with timers; tests replace it with a fake one. */
export interface Clock {
  /** Returns the monotonic time: milliseconds since an arbitrary start. */
  now(): number;
  /**
   * Returns the wall-clock time: milliseconds since 1970, differing from other machines by at most the platform's
   * skew.
   */
  wall(): number;
  /** Calls `run` once after `ms` milliseconds, or at the next turn of the event loop if `ms` is not positive. */
  after(ms: number, run: () => void): Timer;
}

/** A scheduled call. */
export interface Timer {
  /** Prevents the call; has no effect after the call was made. */
  cancel(): void;
}

/** The system clock. */
export const systemClock: Clock = {
  now: () => performance.now(),
  wall: () => Date.now(),
  after(ms, run) {
    const handle = setTimeout(run, Math.max(0, ms));
    return { cancel: () => clearTimeout(handle) };
  },
};

/** The time from which the wall-clock time of fast clocks is scaled, so that all clocks of the same speed agree. */
const FAST_CLOCK_EPOCH = Date.UTC(2026, 0, 1);

/**
 * Returns a clock that runs `speed` times as fast as the system clock, for trials on one machine. All processes of a
 * cluster must run at the same speed.
 */
export function fastClock(speed: number): Clock {
  if (speed === 1) return systemClock;
  return {
    now: () => performance.now() * speed,
    wall: () => FAST_CLOCK_EPOCH + (Date.now() - FAST_CLOCK_EPOCH) * speed,
    after: (ms, run) => systemClock.after(ms / speed, run),
  };
}

/** Resolves after `ms` milliseconds. */
export function pause(clock: Clock, ms: number): Promise<void> {
  return new Promise((resolve) => {
    clock.after(ms, resolve);
  });
}

/** Maximum drift between the monotonic clocks of two machines, as a fraction of the elapsed time. */
export const MAX_CLOCK_DRIFT = 0.0005;
