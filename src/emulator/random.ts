import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Seeded random number generator; equal seeds yield equal sequences. */
export class Random {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
    // Discards the first numbers, since small seeds yield similar sequences at first.
    for (let i = 0; i < 64; i++) this.next();
  }

  /** Returns a uniformly distributed number from 0 (inclusive) to 1 (exclusive). */
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

  /** Returns an exponentially distributed number, as the gap between independent arrivals. */
  exponential(mean: number): number {
    return -Math.log(1 - this.next()) * mean;
  }
}
