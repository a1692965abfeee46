import type { Clock } from '../clock/clock.js';

/** Users ask again for a minute in all; nobody is sent away for longer than this. */
const MAX_RETRY_AFTER_S = 20;

/**
 * When those come back who are turned away. Each is given a turn of its own, as far apart as new jobs can be stored: told
 * the same second, all of them would come back together, and most in vain.
 */
export class RetryAfterPacer {
  private nextSlotAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly clock: Clock) {}

  /** Seconds until the next turn that nobody has, at so many turns a second. */
  retryAfterS(perSecond: number): number {
    const now = this.clock.now();
    this.nextSlotAt = Math.max(this.nextSlotAt, now + 1000) + 1000 / Math.max(0.1, perSecond);
    // When there are more than a minute has room for, the last turns are shared.
    this.nextSlotAt = Math.min(this.nextSlotAt, now + MAX_RETRY_AFTER_S * 1000);
    return Math.max(1, Math.ceil((this.nextSlotAt - now) / 1000));
  }
}
