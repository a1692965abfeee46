import type { Clock, Timer } from '../../src/clock/clock.js';

interface Due {
  at: number;
  order: number;
  run: () => void;
}

/** A clock that stands still until a test moves it. */
export class FakeClock implements Clock {
  private time = 1_000_000;
  private order = 0;
  private due: Due[] = [];

  now(): number {
    return this.time;
  }

  wall(): number {
    return 1_700_000_000_000 + this.time;
  }

  after(ms: number, run: () => void): Timer {
    const entry = { at: this.time + Math.max(0, ms), order: this.order++, run };
    this.due.push(entry);
    return {
      cancel: () => {
        this.due = this.due.filter((d) => d !== entry);
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
      const next = this.due.reduce<Due | null>(
        (best, d) => (!best || d.at < best.at || (d.at === best.at && d.order < best.order) ? d : best),
        null,
      );
      if (!next || next.at > end) break;
      this.time = Math.max(this.time, next.at);
      this.due = this.due.filter((d) => d !== next);
      next.run();
      await this.settle();
    }
    this.time = end;
    await this.settle();
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
