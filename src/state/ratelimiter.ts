import type { Clock } from '../clock/clock.js';
import { SpartrayError } from '../errors/errors.js';

/** How a request waits for its turn. */
export interface AcquireOptions {
  /** Goes at once, whatever waits. */
  readonly urgent?: boolean;
  /** How long it waits at most; after that it fails with `RateLimitExceededError`. */
  readonly maxWaitMs: number;
}

/** A request that waits for its turn. */
interface QueuedRequest {
  readonly amount: number;
  readonly proceed: () => void;
  readonly reject: (error: Error) => void;
  readonly expiresAt: number;
}

/** A request waited too long for its turn; it was not sent. */
export class RateLimitExceededError extends SpartrayError {}

/** While requests wait and none is rejected, a node uses more of what the others leave, in steps of this. */
const GROWTH_FACTOR = 1.25;
const GROWTH_INTERVAL_MS = 500;
/** After a rejection a node keeps to its even share for so long. */
const NO_GROWTH_MS = 5000;
/** Over which time the use of the last moments is averaged. */
const USAGE_WINDOW_MS = 1000;
/** How often requests that wait are looked at. */
const DRAIN_INTERVAL_MS = 20;

/**
 * A token bucket. Urgent requests go at once and put the bucket into debt, so that renewing a lease never waits
 * behind ordinary work. The rate is shared with other nodes, which mostly are not all busy at once: a node with
 * requests waiting goes beyond its even share, up to `maxRate`, until the service rejects one. Where the leader allocates
 * the rate to all nodes by their demands, the share that a node was allocated goes before that. All rates are a second.
 */
export class RateLimiter {
  private tokens: number;
  private refilledAt: number;
  private currentRate: number;
  /** When the rate was last raised; in the future while it must not be. */
  private grownAt = 0;
  private allocatedUntil = Number.NEGATIVE_INFINITY;
  /** Tokens taken lately, fading. */
  private used = 0;
  private usedAt: number;
  private readonly queue: QueuedRequest[] = [];
  private drainScheduled = false;

  constructor(
    private readonly clock: Clock,
    private readonly evenShare: number,
    private readonly ownBurst: number,
    private readonly maxRate = evenShare,
  ) {
    this.currentRate = evenShare;
    this.tokens = ownBurst;
    this.refilledAt = clock.now();
    this.usedAt = this.refilledAt;
  }

  /** Sets this node's share of the rate for so many milliseconds; after that it keeps to its even share again. */
  allocate(rate: number, validMs: number): void {
    this.refill();
    this.currentRate = rate;
    this.allocatedUntil = this.clock.now() + validMs;
  }

  /** What this node takes and would take a second: its use of late, and all that waits. */
  get demand(): number {
    this.decayUsage();
    return this.used / (USAGE_WINDOW_MS / 1000) + this.queuedAmount;
  }

  private get isAllocated(): boolean {
    return this.clock.now() < this.allocatedUntil;
  }

  /** A burst is what comes in together in a second. */
  private get burst(): number {
    return this.isAllocated ? Math.max(1, this.currentRate) : this.ownBurst;
  }

  private get queuedAmount(): number {
    return this.queue.reduce((sum, w) => sum + w.amount, 0);
  }

  private decayUsage(): void {
    const now = this.clock.now();
    this.used *= Math.exp((this.usedAt - now) / USAGE_WINDOW_MS);
    this.usedAt = now;
  }

  private consume(amount: number): void {
    this.decayUsage();
    this.used += amount;
    this.tokens -= amount;
  }

  /** The service has rejected a request for its rate. */
  onRejected(): void {
    this.refill();
    this.tokens = Math.min(this.tokens, 0);
    if (this.isAllocated) return;
    this.currentRate = this.evenShare;
    this.grownAt = this.clock.now() + NO_GROWTH_MS;
  }

  private grow(): void {
    const now = this.clock.now();
    if (this.isAllocated || now - this.grownAt < GROWTH_INTERVAL_MS) return;
    this.grownAt = now;
    this.currentRate = Math.min(this.maxRate, this.currentRate * GROWTH_FACTOR);
  }

  /** How many this node may send a second at present. */
  get rate(): number {
    this.refill();
    return this.currentRate;
  }

  /** How long a request that comes now would wait for its turn, in milliseconds. */
  get delayMs(): number {
    this.refill();
    return Math.max(0, ((this.queuedAmount - this.tokens) * 1000) / this.currentRate);
  }

  /** True when nothing waits and `amount` may be sent now. */
  hasTokens(amount: number): boolean {
    this.refill();
    return this.queue.length === 0 && this.tokens >= amount;
  }

  /** Resolves when `amount` may be sent; counted as sent from then on. */
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
