import type { Clock } from '../clock/clock.js';

interface Waiter {
  amount: number;
  go: () => void;
  refuse: (error: Error) => void;
  until: number;
}

/** A request that waited too long for its turn; it was not sent. */
export class Overloaded extends Error {}

/** While requests wait and none is refused, a node uses more of what the others leave, in steps of this. */
const GROWTH = 1.25;
const GROW_EVERY_MS = 500;
/** After a refusal a node keeps to its own part for so long. */
const HUMBLE_MS = 5000;

/**
 * A token bucket. Urgent requests go at once and put the bucket into debt, so that renewing a lease never waits
 * behind ordinary work. The rate is shared with other nodes, which mostly are not all busy at once: a node with
 * requests waiting goes beyond its part, up to `most`, until the service refuses one.
 */
export class Limiter {
  private level: number;
  private at: number;
  private perSecond: number;
  private grownAt = 0;
  private readonly waiting: Waiter[] = [];
  private armed = false;

  constructor(
    private readonly clock: Clock,
    private readonly part: number,
    private readonly burst: number,
    private readonly most = part,
  ) {
    this.perSecond = part;
    this.level = burst;
    this.at = clock.now();
  }

  /** The service has refused a request for its rate. */
  refused(): void {
    this.refill();
    this.perSecond = this.part;
    this.level = Math.min(this.level, 0);
    this.grownAt = this.clock.now() + HUMBLE_MS;
  }

  private grow(): void {
    const now = this.clock.now();
    if (now - this.grownAt < GROW_EVERY_MS) return;
    this.grownAt = now;
    this.perSecond = Math.min(this.most, this.perSecond * GROWTH);
  }

  get rate(): number {
    return this.perSecond;
  }

  /** How long a request that comes now would wait for its turn. */
  get delayMs(): number {
    this.refill();
    const queued = this.waiting.reduce((sum, w) => sum + w.amount, 0);
    return Math.max(0, ((queued - this.level) * 1000) / this.perSecond);
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
    this.grow();
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
