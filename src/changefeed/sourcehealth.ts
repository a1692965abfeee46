import type { Clock } from '../clock/clock.js';

interface UnhealthySource {
  until: number;
  /** Failures in a row. */
  failures: number;
}

/** A node that failed is left alone for so long, and for twice as long with each further failure in a row. */
const FAILED_BACKOFF_MS = 1000;
const MAX_DOUBLINGS = 3;
/** One that was behind while others were not is left alone for so long. */
const BEHIND_BACKOFF_MS = 10_000;

/** Nodes whose changes are not to be relied on at present. */
export class SourceHealth {
  private readonly unhealthy = new Map<string, UnhealthySource>();

  constructor(private readonly clock: Clock) {}

  /** Whether a node is left alone at present. */
  isUnhealthy(node: string): boolean {
    return (this.unhealthy.get(node)?.until ?? Number.NEGATIVE_INFINITY) > this.clock.now();
  }

  /** It did not answer, or could not serve. */
  onFailure(node: string): void {
    const failures = (this.unhealthy.get(node)?.failures ?? 0) + 1;
    const doublings = Math.min(failures - 1, MAX_DOUBLINGS);
    this.unhealthy.set(node, { until: this.clock.now() + FAILED_BACKOFF_MS * 2 ** doublings, failures });
  }

  /** Others knew what it did not. */
  onBehind(node: string): void {
    this.unhealthy.set(node, { until: this.clock.now() + BEHIND_BACKOFF_MS, failures: 0 });
  }

  /** It answered as it should. */
  onSuccess(node: string): void {
    this.unhealthy.delete(node);
  }

  /** Lets nodes that failed be tried at once. */
  retry(nodes: readonly string[]): void {
    for (const node of nodes) {
      const source = this.unhealthy.get(node);
      if (source && source.failures > 0) source.until = this.clock.now();
    }
  }
}
