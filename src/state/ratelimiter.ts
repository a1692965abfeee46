import type { Clock } from '../clock/clock.js';
import { SpartrayError } from '../errors/errors.js';

/** How a request acquires tokens. */
export interface AcquireOptions {
  /** Whether the request is sent at once, ahead of all queued requests. */
  readonly urgent?: boolean;
  /** Maximum time in the queue, after which the request fails with `RateLimitExceededError`. */
  readonly maxWaitMs: number;
}

/** A request that is queued for tokens. */
interface QueuedRequest {
  readonly amount: number;
  readonly proceed: () => void;
  readonly reject: (error: Error) => void;
  readonly expiresAt: number;
}

/** A request exceeded its maximum time in the queue; it was not sent. */
export class RateLimitExceededError extends SpartrayError {}

/**
 * Growth of the rate per step while requests are queued and none is rejected, to use capacity that other nodes leave.
 */
const GROWTH_FACTOR = 1.25;
const GROWTH_INTERVAL_MS = 500;
/** How long a node keeps to its even share after a rejection. */
const NO_GROWTH_MS = 5000;
/** Time constant of the exponential average of recent usage. */
const USAGE_WINDOW_MS = 1000;
/** Interval at which queued requests are checked. */
const DRAIN_INTERVAL_MS = 20;

/**
 * A token bucket. Urgent requests are sent at once and may leave the bucket in debt, so that the renewal of a lease
 * never waits behind ordinary work. The rate is shared with other nodes, which are rarely all busy at once: a node
 * with queued requests exceeds its even share, up to `maxRate`, until the service rejects a request. If the leader
 * allocates the rate to the nodes by their demands, the allocated share takes precedence over this. All rates are per
 * second.
 */
export class RateLimiter {
  private tokens: number;
  private refilledAt: number;
  private currentRate: number;
  /** When the rate last grew; in the future while it must not grow. */
  private lastGrowthAt = 0;
  private allocatedUntil = Number.NEGATIVE_INFINITY;
  /** Recently consumed tokens, with exponential decay. */
  private recentUsage = 0;
  private usageUpdatedAt: number;
  private readonly queue: QueuedRequest[] = [];
  private drainScheduled = false;

  constructor(
    private readonly clock: Clock,
    private readonly evenShare: number,
    private readonly evenShareBurst: number,
    private readonly maxRate = evenShare,
  ) {
    this.currentRate = evenShare;
    this.tokens = evenShareBurst;
    this.refilledAt = clock.now();
    this.usageUpdatedAt = this.refilledAt;
  }

  /** Sets this node's share of the rate for `validMs` milliseconds, after which it returns to its even share. */
  allocate(rate: number, validMs: number): void {
    this.refill();
    this.currentRate = rate;
    this.allocatedUntil = this.clock.now() + validMs;
  }

  /** The node's demand per second: its recent usage and all queued requests. */
  get demand(): number {
    this.decayUsage();
    return this.recentUsage / (USAGE_WINDOW_MS / 1000) + this.queuedAmount;
  }

  private get isAllocated(): boolean {
    return this.clock.now() < this.allocatedUntil;
  }

  /** The capacity of the bucket: one second's worth of tokens. */
  private get burst(): number {
    return this.isAllocated ? Math.max(1, this.currentRate) : this.evenShareBurst;
  }

  private get queuedAmount(): number {
    return this.queue.reduce((sum, w) => sum + w.amount, 0);
  }

  private decayUsage(): void {
    const now = this.clock.now();
    this.recentUsage *= Math.exp((this.usageUpdatedAt - now) / USAGE_WINDOW_MS);
    this.usageUpdatedAt = now;
  }

  private consume(amount: number): void {
    this.decayUsage();
    this.recentUsage += amount;
    this.tokens -= amount;
  }

  /** Called when the service has rejected a request because of its rate. */
  onRejected(): void {
    this.refill();
    this.tokens = Math.min(this.tokens, 0);
    if (this.isAllocated) return;
    this.currentRate = this.evenShare;
    this.lastGrowthAt = this.clock.now() + NO_GROWTH_MS;
  }

  private grow(): void {
    const now = this.clock.now();
    if (this.isAllocated || now - this.lastGrowthAt < GROWTH_INTERVAL_MS) return;
    this.lastGrowthAt = now;
    this.currentRate = Math.min(this.maxRate, this.currentRate * GROWTH_FACTOR);
  }

  /** The rate that this node may send at now, per second. */
  get rate(): number {
    this.refill();
    return this.currentRate;
  }

  /** The time in milliseconds that a request arriving now would spend in the queue. */
  get delayMs(): number {
    this.refill();
    return Math.max(0, ((this.queuedAmount - this.tokens) * 1000) / this.currentRate);
  }

  /** Returns true if no request is queued and `amount` may be sent now. */
  hasTokens(amount: number): boolean {
    this.refill();
    return this.queue.length === 0 && this.tokens >= amount;
  }

  /** Resolves when `amount` may be sent; the tokens are consumed at that moment. */
  acquire(amount: number, { urgent = false, maxWaitMs }: AcquireOptions): Promise<void> {
    this.refill();
    if (urgent || (this.queue.length === 0 && this.tokens >= Math.min(amount, this.burst))) {
      this.consume(amount);
      return Promise.resolve();
    }
    return new Promise((proceed, reject) => {
      this.queue.push({ amount, proceed, reject, expiresAt: this.clock.now() + maxWaitMs });
      this.scheduleDrain();
    });
  }

  private refill(): void {
    const now = this.clock.now();
    if (this.allocatedUntil !== Number.NEGATIVE_INFINITY && !this.isAllocated) {
      this.allocatedUntil = Number.NEGATIVE_INFINITY;
      this.currentRate = this.evenShare;
    }
    this.tokens = Math.min(this.burst, this.tokens + ((now - this.refilledAt) * this.currentRate) / 1000);
    this.refilledAt = now;
  }

  private scheduleDrain(): void {
    if (this.drainScheduled) return;
    this.drainScheduled = true;
    this.clock.after(DRAIN_INTERVAL_MS, () => {
      this.drainScheduled = false;
      this.drain();
    });
  }

  private drain(): void {
    this.refill();
    this.grow();
    const now = this.clock.now();
    while (this.queue.length > 0) {
      const first = this.queue[0]!;
      if (now > first.expiresAt) {
        this.queue.shift();
        first.reject(new RateLimitExceededError('rate limit'));
        continue;
      }
      if (this.tokens < Math.min(first.amount, this.burst)) break;
      this.queue.shift();
      this.consume(first.amount);
      first.proceed();
    }
    if (this.queue.length > 0) this.scheduleDrain();
  }
}
