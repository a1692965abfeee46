import type { Clock, Timer } from '../../src/clock/clock.js';

interface ScheduledCallback {
  at: number;
  order: number;
  run: () => void;
  cancelled: boolean;
}

const before = (a: ScheduledCallback, b: ScheduledCallback) =>
  a.at < b.at || (a.at === b.at && a.order < b.order);

/** A clock that advances only when a test moves it. */
export class FakeClock implements Clock {
  private time = 1_000_000;
  private order = 0;
  /** A binary heap with the earliest callback at its root. */
  private readonly callbacks: ScheduledCallback[] = [];

  now(): number {
    return this.time;
  }

  wall(): number {
    return 1_700_000_000_000 + this.time;
  }

  after(ms: number, run: () => void): Timer {
    const entry = { at: this.time + Math.max(0, ms), order: this.order++, run, cancelled: false };
    let i = this.callbacks.length;
    for (let up = (i - 1) >> 1; i > 0 && before(entry, this.callbacks[up]!); up = (i - 1) >> 1) {
      this.callbacks[i] = this.callbacks[up]!;
      i = up;
    }
    this.callbacks[i] = entry;
    return {
      cancel: () => {
        entry.cancelled = true;
      },
    };
  }

  /** Runs all pending microtasks. */
  async settle(): Promise<void> {
    for (let i = 0; i < 30; i++) await Promise.resolve();
  }

  async advance(ms: number): Promise<void> {
    const end = this.time + ms;
    await this.settle();
    for (;;) {
      const next = this.callbacks[0];
      if (!next || next.at > end) break;
      this.removeFirst();
      if (next.cancelled) continue;
      this.time = Math.max(this.time, next.at);
      next.run();
      await this.settle();
    }
    this.time = end;
    await this.settle();
  }

  /** Removes the root of the heap. */
  private removeFirst(): void {
    const last = this.callbacks.pop()!;
    if (this.callbacks.length === 0) return;
    let i = 0;
    for (;;) {
      let child = 2 * i + 1;
      if (child >= this.callbacks.length) break;
      if (child + 1 < this.callbacks.length && before(this.callbacks[child + 1]!, this.callbacks[child]!))
        child++;
      if (!before(this.callbacks[child]!, last)) break;
      this.callbacks[i] = this.callbacks[child]!;
      i = child;
    }
    this.callbacks[i] = last;
  }

  /** Advances in steps of 20 ms until the condition holds; returns false if it does not hold in time. */
  async until(condition: () => boolean, withinMs: number): Promise<boolean> {
    for (let spent = 0; spent <= withinMs; spent += 20) {
      if (condition()) return true;
      await this.advance(20);
    }
    return condition();
  }
}
