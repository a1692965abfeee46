import type { Clock } from '../clock/clock.js';

/** Users retry for a minute in all; nobody is asked to wait for longer than this. */
const MAX_RETRY_AFTER_S = 20;

/**
 * Spreads the retries of users whose submissions were rejected for the time being. Each is given a time slot of its own, as far
 * apart as new jobs can be stored: with the same delay, all of them would come back together, and most in vain.
 */
export class RetryAfterPacer {
  private nextSlotAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly clock: Clock) {}

  /** Seconds until the next free slot, at so many slots a second; takes the slot. */
  retryAfterS(perSecond: number): number {
    const now = this.clock.now();
    this.nextSlotAt = Math.max(this.nextSlotAt, now + 1000) + 1000 / Math.max(0.1, perSecond);
    // When there are more users than slots, the last slot is shared.
    this.nextSlotAt = Math.min(this.nextSlotAt, now + MAX_RETRY_AFTER_S * 1000);
    return Math.max(1, Math.ceil((this.nextSlotAt - now) / 1000));
  }
}
