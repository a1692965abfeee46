import type { Clock } from '../clock/clock.js';

/** Token bucket that limits the rate of an emulated service and allows bursts of `burstS` seconds. */
export class TokenBucket {
  private tokens: number | null = null;
  private refilledAt = 0;

  constructor(
    private readonly clock: Clock,
    private readonly burstS: number,
  ) {}

  /** Takes `count` tokens and returns true, or takes none. `rate` is per second and may change between calls. */
  take(count: number, rate: number): boolean {
    if (rate === Number.POSITIVE_INFINITY) return true;
    const now = this.clock.now();
    const capacity = rate * this.burstS;
    this.tokens = Math.min(capacity, (this.tokens ?? capacity) + ((now - this.refilledAt) / 1000) * rate);
    this.refilledAt = now;
    // A request larger than the capacity is admitted when the bucket is full, and leaves a negative balance.
    if (this.tokens < Math.min(count, capacity)) return false;
    this.tokens -= count;
    return true;
  }
}
