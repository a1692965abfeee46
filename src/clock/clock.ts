// This package: time, and nothing that uses it.
/** Time as the service sees it; tests put a fake one in its place. */
export interface Clock {
  /** Steady milliseconds since an arbitrary start. */
  now(): number;
  /** Time of day in milliseconds, within the platform's skew. */
  wall(): number;
  after(ms: number, run: () => void): Timer;
}

export interface Timer {
  cancel(): void;
}

export const systemClock: Clock = {
  now: () => performance.now(),
  wall: () => Date.now(),
  after(ms, run) {
    const handle = setTimeout(run, Math.max(0, ms));
    return { cancel: () => clearTimeout(handle) };
  },
};

/** Where the time of day of quick clocks begins to run away, so that all of one speed agree on it. */
const QUICK_EPOCH = Date.UTC(2026, 0, 1);

/**
 * A clock on which everything takes a share of its time, for trials on one machine: all processes of a cluster have to
 * run at the same speed.
 */
export function quickClock(speed: number): Clock {
  if (speed === 1) return systemClock;
  return {
    now: () => performance.now() * speed,
    wall: () => QUICK_EPOCH + (Date.now() - QUICK_EPOCH) * speed,
    after: (ms, run) => systemClock.after(ms / speed, run),
  };
}

/** Resolves after `ms`. */
export function pause(clock: Clock, ms: number): Promise<void> {
  return new Promise((resolve) => {
    clock.after(ms, resolve);
  });
}

/** The steady clocks of two machines drift apart by no more than this share. */
export const DRIFT = 0.0005;
