import { build, type Histogram } from 'hdr-histogram-js';

/** Summary of a distribution, in the unit that the name of the field states. */
export interface Distribution {
  count: number;
  mean: number;
  p50: number;
  p90: number;
  p99: number;
  max: number;
}

/** Returns a new histogram of whole milliseconds up to one hour. */
export function histogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 3_600_000,
    numberOfSignificantValueDigits: 3,
  });
}

/** Returns the summary of a histogram, with each value divided by `unit`. */
export function summarize(source: Histogram, unit: number): Distribution {
  const percentile = (p: number) => source.getValueAtPercentile(p) / unit;
  return {
    count: source.totalCount,
    mean: source.totalCount > 0 ? source.mean / unit : 0,
    p50: percentile(50),
    p90: percentile(90),
    p99: percentile(99),
    max: source.maxValue / unit,
  };
}
