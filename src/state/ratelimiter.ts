import type { Clock } from '../clock/clock.js';
import { SpartrayError } from '../errors/errors.js';

interface Waiter {
  amount: number;
  go: () => void;
  refuse: (error: Error) => void;
  until: number;
}

/** A request that waited too long for its turn; it was not sent. */
export class RateLimitExceededError extends SpartrayError {}

/** While requests wait and none is refused, a node uses more of what the others leave, in steps of this. */
const GROWTH = 1.25;
const GROW_EVERY_MS = 500;
/** After a refusal a node keeps to its own part for so long. */
const HUMBLE_MS = 5000;
/** Over which time the use of the last moments is averaged. */
const USE_MS = 1000;

/**
 * A token bucket. Urgent requests go at once and put the bucket into debt, so that renewing a lease never waits
 * behind ordinary work. The rate is shared with other nodes, which mostly are not all busy at once: a node with
 * requests waiting goes beyond its part, up to `most`, until the service refuses one. Where somebody deals the rate to
 * all nodes by what they want, the share that a node was given goes before that.
 */
export class RateLimiter {
  private tokens: number;
  private refilledAt: number;
  private perSecond: number;
  private grownAt = 0;
  private allocatedUntil = Number.NEGATIVE_INFINITY;
  /** Tokens taken lately, fading. */
  private used = 0;
  private usedAt: number;
  private readonly waiting: Waiter[] = [];
  private armed = false;

  constructor(
    private readonly clock: Clock,
    private readonly evenShare: number,
    private readonly ownBurst: number,
    private readonly maxRate = evenShare,
  ) {
    this.perSecond = evenShare;
    this.tokens = ownBurst;
    this.refilledAt = clock.now();
    this.usedAt = this.refilledAt;
  }

  /** Sets this node's share of the rate, a second, for so long; after that it keeps to its own part again. */
  allocate(perSecond: number, validMs: number): void {
    this.refill();
    this.perSecond = perSecond;
    this.allocatedUntil = this.clock.now() + validMs;
  }

  /** What this node takes and would take a second: its use of late, and all that waits. */
  get demand(): number {
    this.decayUsage();
    return this.used / (USE_MS / 1000) + this.queuedAmount;
  }

  private get isAllocated(): boolean {
    return this.clock.now() < this.allocatedUntil;
  }

  /** A burst is what comes in together in a second. */
  private get burst(): number {
    return this.isAllocated ? Math.max(1, this.perSecond) : this.ownBurst;
  }

  private get queuedAmount(): number {
    return this.waiting.reduce((sum, w) => sum + w.amount, 0);
  }

  private decayUsage(): void {
    const now = this.clock.now();
    this.used *= Math.exp((this.usedAt - now) / USE_MS);
    this.usedAt = now;
  }

  private consume(amount: number): void {
    this.decayUsage();
    this.used += amount;
    this.tokens -= amount;
  }

  /** The service has refused a request for its rate. */
  onRejected(): void {
    this.refill();
    this.tokens = Math.min(this.tokens, 0);
    if (this.isAllocated) return;
    this.perSecond = this.evenShare;
    this.grownAt = this.clock.now() + HUMBLE_MS;
  }

  private grow(): void {
    const now = this.clock.now();
    if (this.isAllocated || now - this.grownAt < GROW_EVERY_MS) return;
    this.grownAt = now;
    this.perSecond = Math.min(this.maxRate, this.perSecond * GROWTH);
  }

  get rate(): number {
    this.refill();
    return this.perSecond;
  }

  /** How long a request that comes now would wait for its turn. */
  get delayMs(): number {
    this.refill();
    return Math.max(0, ((this.queuedAmount - this.tokens) * 1000) / this.perSecond);
  }

  /** True when nothing waits and there is room for `amount` now. */
  hasTokens(amount: number): boolean {
    this.refill();
    return this.waiting.length === 0 && this.tokens >= amount;
  }

  acquire(amount: number, urgent: boolean, waitMs: number): Promise<void> {
    this.refill();
    if (urgent || (this.waiting.length === 0 && this.tokens >= Math.min(amount, this.burst))) {
      this.consume(amount);
      return Promise.resolve();
    }
    return new Promise((go, refuse) => {
      this.waiting.push({ amount, go, refuse, until: this.clock.now() + waitMs });
      this.arm();
    });
  }

  private refill(): void {
    const now = this.clock.now();
    if (this.allocatedUntil !== Number.NEGATIVE_INFINITY && !this.isAllocated) {
      this.allocatedUntil = Number.NEGATIVE_INFINITY;
      this.perSecond = this.evenShare;
    }
    this.tokens = Math.min(this.burst, this.tokens + ((now - this.refilledAt) * this.perSecond) / 1000);
    this.refilledAt = now;
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
        first.refuse(new RateLimitExceededError('rate limit'));
        continue;
      }
      if (this.tokens < Math.min(first.amount, this.burst)) break;
      this.waiting.shift();
      this.consume(first.amount);
      first.go();
    }
    if (this.waiting.length > 0) this.arm();
  }
}
