import type { Clock, Timer } from '../../src/clock/clock.js';

interface Due {
  at: number;
  order: number;
  run: () => void;
  cancelled: boolean;
}

const before = (a: Due, b: Due) => a.at < b.at || (a.at === b.at && a.order < b.order);

/** A clock that stands still until a test moves it. */
export class FakeClock implements Clock {
  private time = 1_000_000;
  private order = 0;
  /** A heap, the first of all at its root. */
  private readonly due: Due[] = [];

  now(): number {
    return this.time;
  }

  wall(): number {
    return 1_700_000_000_000 + this.time;
  }

  after(ms: number, run: () => void): Timer {
    const entry = { at: this.time + Math.max(0, ms), order: this.order++, run, cancelled: false };
    let i = this.due.length;
    for (let up = (i - 1) >> 1; i > 0 && before(entry, this.due[up]!); up = (i - 1) >> 1) {
      this.due[i] = this.due[up]!;
      i = up;
    }
    this.due[i] = entry;
    return {
      cancel: () => {
        entry.cancelled = true;
      },
    };
  }

  /** Lets everything run that waits for nothing but its turn. */
  async settle(): Promise<void> {
    for (let i = 0; i < 30; i++) await Promise.resolve();
  }

  async advance(ms: number): Promise<void> {
    const end = this.time + ms;
    await this.settle();
    for (;;) {
      const next = this.due[0];
      if (!next || next.at > end) break;
      this.takeFirst();
      if (next.cancelled) continue;
      this.time = Math.max(this.time, next.at);
      next.run();
      await this.settle();
    }
    this.time = end;
    await this.settle();
  }

  /** Takes the first of the heap away. */
  private takeFirst(): void {
    const last = this.due.pop()!;
    if (this.due.length === 0) return;
    let i = 0;
    for (;;) {
      let child = 2 * i + 1;
      if (child >= this.due.length) break;
      if (child + 1 < this.due.length && before(this.due[child + 1]!, this.due[child]!)) child++;
      if (!before(this.due[child]!, last)) break;
      this.due[i] = this.due[child]!;
      i = child;
    }
    this.due[i] = last;
  }

  /** Moves on in small steps until something holds. */
  async until(what: () => boolean, withinMs: number): Promise<boolean> {
    for (let spent = 0; spent <= withinMs; spent += 20) {
      if (what()) return true;
      await this.advance(20);
    }
    return what();
  }
}
