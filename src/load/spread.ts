import { build, type Histogram } from 'hdr-histogram-js';

/** A distribution, in whatever unit its name says. */
export interface Spread {
  count: number;
  mean: number;
  p50: number;
  p90: number;
  p99: number;
  max: number;
}

/** A histogram of whole milliseconds up to an hour. */
export function histogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 3_600_000,
    numberOfSignificantValueDigits: 3,
  });
}

/** Figures of a histogram, each divided by `unit`. */
export function spread(h: Histogram, unit: number): Spread {
  const at = (p: number) => h.getValueAtPercentile(p) / unit;
  return {
    count: h.totalCount,
    mean: h.totalCount > 0 ? h.mean / unit : 0,
    p50: at(50),
    p90: at(90),
    p99: at(99),
    max: h.maxValue / unit,
  };
}
