import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Seeded draws; the same seed draws the same. */
export class Random {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
    // Small seeds begin much alike.
    for (let i = 0; i < 64; i++) this.next();
  }

  /** From 0 up to 1. */
  next(): number {
    return uniformFloat64(this.generator);
  }

  between(low: number, high: number): number {
    return low + (high - low) * this.next();
  }

  chance(share: number): boolean {
    return this.next() < share;
  }

  pick<T>(list: readonly T[]): T {
    return list[Math.floor(this.next() * list.length)]!;
  }

  /** Gaps of arrivals that come independently. */
  gap(mean: number): number {
    return -Math.log(1 - this.next()) * mean;
  }
}
