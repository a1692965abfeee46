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
/** Over which time the use of the last moments is averaged. */
const USE_MS = 1000;

/**
 * A token bucket. Urgent requests go at once and put the bucket into debt, so that renewing a lease never waits
 * behind ordinary work. The rate is shared with other nodes, which mostly are not all busy at once: a node with
 * requests waiting goes beyond its part, up to `most`, until the service refuses one. Where somebody deals the rate to
 * all nodes by what they want, the share that a node was given goes before that.
 */
export class Limiter {
  private level: number;
  private at: number;
  private perSecond: number;
  private grownAt = 0;
  private shareUntil = Number.NEGATIVE_INFINITY;
  /** Tokens taken lately, fading. */
  private used = 0;
  private usedAt: number;
  private readonly waiting: Waiter[] = [];
  private armed = false;

  constructor(
    private readonly clock: Clock,
    private readonly part: number,
    private readonly ownBurst: number,
    private readonly most = part,
  ) {
    this.perSecond = part;
    this.level = ownBurst;
    this.at = clock.now();
    this.usedAt = this.at;
  }

  /** Sets this node's share of the rate, a second, for so long; after that it keeps to its own part again. */
  share(perSecond: number, validMs: number): void {
    this.refill();
    this.perSecond = perSecond;
    this.shareUntil = this.clock.now() + validMs;
  }

  /** What this node takes and would take a second: its use of late, and all that waits. */
  get demand(): number {
    this.fade();
    return this.used / (USE_MS / 1000) + this.queued;
  }

  private get shared(): boolean {
    return this.clock.now() < this.shareUntil;
  }

  /** A burst is what comes in together in a second. */
  private get burst(): number {
    return this.shared ? Math.max(1, this.perSecond) : this.ownBurst;
  }

  private get queued(): number {
    return this.waiting.reduce((sum, w) => sum + w.amount, 0);
  }

  private fade(): void {
    const now = this.clock.now();
    this.used *= Math.exp((this.usedAt - now) / USE_MS);
    this.usedAt = now;
  }

  private spend(amount: number): void {
    this.fade();
    this.used += amount;
    this.level -= amount;
  }

  /** The service has refused a request for its rate. */
  refused(): void {
    this.refill();
    this.level = Math.min(this.level, 0);
    if (this.shared) return;
    this.perSecond = this.part;
    this.grownAt = this.clock.now() + HUMBLE_MS;
  }

  private grow(): void {
    const now = this.clock.now();
    if (this.shared || now - this.grownAt < GROW_EVERY_MS) return;
    this.grownAt = now;
    this.perSecond = Math.min(this.most, this.perSecond * GROWTH);
  }

  get rate(): number {
    this.refill();
    return this.perSecond;
  }

  /** How long a request that comes now would wait for its turn. */
  get delayMs(): number {
    this.refill();
    return Math.max(0, ((this.queued - this.level) * 1000) / this.perSecond);
  }

  /** True when nothing waits and there is room for `amount` now. */
  free(amount: number): boolean {
    this.refill();
    return this.waiting.length === 0 && this.level >= amount;
  }

  take(amount: number, urgent: boolean, waitMs: number): Promise<void> {
    this.refill();
    if (urgent || (this.waiting.length === 0 && this.level >= Math.min(amount, this.burst))) {
      this.spend(amount);
      return Promise.resolve();
    }
    return new Promise((go, refuse) => {
      this.waiting.push({ amount, go, refuse, until: this.clock.now() + waitMs });
      this.arm();
    });
  }

  private refill(): void {
    const now = this.clock.now();
    if (this.shareUntil !== Number.NEGATIVE_INFINITY && !this.shared) {
      this.shareUntil = Number.NEGATIVE_INFINITY;
      this.perSecond = this.part;
    }
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
      this.spend(first.amount);
      first.go();
    }
    if (this.waiting.length > 0) this.arm();
  }
}
