import type { Clock } from '../clock/clock.js';

/** Users ask again for a minute in all; nobody is sent away for longer than this. */
const MOST_S = 20;

/**
 * When those come back who are turned away. Each is given a turn of its own, as far apart as new jobs can be stored: told
 * the same second, all of them would come back together, and most in vain.
 */
export class Turns {
  private next = Number.NEGATIVE_INFINITY;

  constructor(private readonly clock: Clock) {}

  /** Seconds until the next turn that nobody has, at so many turns a second. */
  take(perSecond: number): number {
    const now = this.clock.now();
    this.next = Math.max(this.next, now + 1000) + 1000 / Math.max(0.1, perSecond);
    // When there are more than a minute has room for, the last turns are shared.
    this.next = Math.min(this.next, now + MOST_S * 1000);
    return Math.max(1, Math.ceil((this.next - now) / 1000));
  }
}
