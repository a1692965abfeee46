import type { Clock } from '../clock/clock.js';

interface Waiter {
  amount: number;
  go: () => void;
  refuse: (error: Error) => void;
  until: number;
}

/** A request that waited too long for its turn; it was not sent. */
export class Overloaded extends Error {}

/**
 * A token bucket. Urgent requests go at once and put the bucket into debt, so that renewing a lease never waits
 * behind ordinary work.
 */
export class Limiter {
  private level: number;
  private at: number;
  private readonly waiting: Waiter[] = [];
  private armed = false;

  constructor(
    private readonly clock: Clock,
    private readonly perSecond: number,
    private readonly burst: number,
  ) {
    this.level = burst;
    this.at = clock.now();
  }

  /** True when nothing waits and there is room for `amount` now. */
  free(amount: number): boolean {
    this.refill();
    return this.waiting.length === 0 && this.level >= amount;
  }

  take(amount: number, urgent: boolean, waitMs: number): Promise<void> {
    this.refill();
    if (urgent || (this.waiting.length === 0 && this.level >= Math.min(amount, this.burst))) {
      this.level -= amount;
      return Promise.resolve();
    }
    return new Promise((go, refuse) => {
      this.waiting.push({ amount, go, refuse, until: this.clock.now() + waitMs });
      this.arm();
    });
  }

  private refill(): void {
    const now = this.clock.now();
    this.level = Math.min(this.burst, this.level + ((now - this.at) * this.perSecond) / 1000);
    this.at = now;
  }

  private arm(): void {
    if (this.armed) return;
    this.armed = true;
    this.clock.after(20, () => {
      this.armed = false;
      this.drain();
    });
  }

  private drain(): void {
    this.refill();
    const now = this.clock.now();
    while (this.waiting.length > 0) {
      const first = this.waiting[0]!;
      if (now > first.until) {
        this.waiting.shift();
        first.refuse(new Overloaded('rate limit'));
        continue;
      }
      if (this.level < Math.min(first.amount, this.burst)) break;
      this.waiting.shift();
      this.level -= first.amount;
      first.go();
    }
    if (this.waiting.length > 0) this.arm();
  }
}
