/** Time, as the program sees it. */

/** A clock with timers; tests put a fake one in its place. */
export interface Clock {
  /** Monotonic time: milliseconds since an arbitrary start. */
  now(): number;
  /** Time of day in milliseconds since 1970, within the platform's skew of that of other machines. */
  wall(): number;
  /** Calls `run` once after `ms` milliseconds, at the next turn of the event loop if that is not positive. */
  after(ms: number, run: () => void): Timer;
}

/** A call that is due. */
export interface Timer {
  /** Prevents the call; without effect once it was made. */
  cancel(): void;
}

/** The clock of the machine. */
export const systemClock: Clock = {
  now: () => performance.now(),
  wall: () => Date.now(),
  after(ms, run) {
    const handle = setTimeout(run, Math.max(0, ms));
    return { cancel: () => clearTimeout(handle) };
  },
};

/** The moment from which the time of day of fast clocks runs ahead, so that all of one speed agree on it. */
const FAST_CLOCK_EPOCH = Date.UTC(2026, 0, 1);

/**
 * A clock that runs `speed` times as fast as the machine's, for trials on one machine: all processes of a cluster have to
 * run at the same speed.
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

/** The monotonic clocks of two machines drift apart by no more than this share of the time. */
export const MAX_CLOCK_DRIFT = 0.0005;
