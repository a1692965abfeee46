import type { Clock } from '../clock/clock.js';

interface Suspect {
  until: number;
  /** Failures in a row. */
  failures: number;
}

/** A node that failed is left alone for so long, and for twice as long with each further failure in a row. */
const FAILED_MS = 1000;
const MOST_DOUBLINGS = 3;
/** One that was behind while others were not. */
const BEHIND_MS = 10_000;

/** Nodes whose changes are not to be relied on at present. */
export class SourceHealth {
  private readonly suspects = new Map<string, Suspect>();

  constructor(private readonly clock: Clock) {}

  isUnhealthy(node: string): boolean {
    return (this.suspects.get(node)?.until ?? Number.NEGATIVE_INFINITY) > this.clock.now();
  }

  /** It did not answer, or could not serve. */
  onFailure(node: string): void {
    const failures = (this.suspects.get(node)?.failures ?? 0) + 1;
    const doublings = Math.min(failures - 1, MOST_DOUBLINGS);
    this.suspects.set(node, { until: this.clock.now() + FAILED_MS * 2 ** doublings, failures });
  }

  /** Others knew what it did not. */
  onBehind(node: string): void {
    this.suspects.set(node, { until: this.clock.now() + BEHIND_MS, failures: 0 });
  }

  onSuccess(node: string): void {
    this.suspects.delete(node);
  }

  /** Lets nodes that failed be tried at once. */
  retry(nodes: readonly string[]): void {
    for (const node of nodes) {
      const suspect = this.suspects.get(node);
      if (suspect && suspect.failures > 0) suspect.until = this.clock.now();
    }
  }
}
