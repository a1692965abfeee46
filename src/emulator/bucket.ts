import type { Clock } from '../clock/clock.js';

/** A rate with bursts, as the services count it. */
export class Bucket {
  private filled: number | null = null;
  private at = 0;

  constructor(
    private readonly clock: Clock,
    private readonly burstS: number,
  ) {}

  /** Takes so many, or none; `rate` a second, and may change at any moment. */
  take(count: number, rate: number): boolean {
    if (rate === Number.POSITIVE_INFINITY) return true;
    const now = this.clock.now();
    const most = rate * this.burstS;
    this.filled = Math.min(most, (this.filled ?? most) + ((now - this.at) / 1000) * rate);
    this.at = now;
    // What is larger than a burst goes when the whole burst is there.
    if (this.filled < Math.min(count, most)) return false;
    this.filled -= count;
    return true;
  }
}
