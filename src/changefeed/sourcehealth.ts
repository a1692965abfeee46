import type { Clock } from '../clock/clock.js';

interface UnhealthySource {
  until: number;
  /** Consecutive failures. */
  failures: number;
}

/** Backoff after a failure of a node; doubled with each consecutive failure, up to `MAX_DOUBLINGS` times. */
const FAILED_BACKOFF_MS = 1000;
const MAX_DOUBLINGS = 3;
/** Backoff of a node that was behind while others were not. */
const BEHIND_BACKOFF_MS = 10_000;

/** Tracks the nodes that currently cannot be relied on as sources of changes. */
export class SourceHealth {
  private readonly unhealthy = new Map<string, UnhealthySource>();

  constructor(private readonly clock: Clock) {}

  /** Returns whether a node is in its backoff period. */
  isUnhealthy(node: string): boolean {
    return (this.unhealthy.get(node)?.until ?? Number.NEGATIVE_INFINITY) > this.clock.now();
  }

  /** Called when a node did not answer or could not serve a request. */
  onFailure(node: string): void {
    const failures = (this.unhealthy.get(node)?.failures ?? 0) + 1;
    const doublings = Math.min(failures - 1, MAX_DOUBLINGS);
    this.unhealthy.set(node, { until: this.clock.now() + FAILED_BACKOFF_MS * 2 ** doublings, failures });
  }

  /** Called when a node lacked a change that others had. */
  onBehind(node: string): void {
    this.unhealthy.set(node, { until: this.clock.now() + BEHIND_BACKOFF_MS, failures: 0 });
  }

  /** Called when a node answered as expected. */
  onSuccess(node: string): void {
    this.unhealthy.delete(node);
  }

  /** Ends the backoff of nodes that failed, so that they can be tried at once. */
  retry(nodes: readonly string[]): void {
    for (const node of nodes) {
      const source = this.unhealthy.get(node);
      if (source && source.failures > 0) source.until = this.clock.now();
    }
  }
}
