import type { Clock } from '../clock/clock.js';

/** Maximum retry delay: users retry for one minute in total, so none is asked to wait longer than this. */
const MAX_RETRY_AFTER_S = 20;

/**
 * Spreads out the retries of users whose submissions were temporarily rejected. Each user gets a time slot,
 * with slots spaced at the rate at which new jobs can be stored: with equal delays all of them would retry at
 * the same time, and most retries would be rejected again.
 */
export class RetryAfterPacer {
  private nextSlotAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly clock: Clock) {}

  /** Reserves the next free slot at a rate of `perSecond` slots; returns the seconds until then. */
  retryAfterS(perSecond: number): number {
    const now = this.clock.now();
    this.nextSlotAt = Math.max(this.nextSlotAt, now + 1000) + 1000 / Math.max(0.1, perSecond);
    // When there are more users than slots, they share the last slot.
    this.nextSlotAt = Math.min(this.nextSlotAt, now + MAX_RETRY_AFTER_S * 1000);
    return Math.max(1, Math.ceil((this.nextSlotAt - now) / 1000));
  }
}
