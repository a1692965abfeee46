import type { Clock } from '../clock/clock.js';

/** A machine counts as astray when other nodes have sent it here so often, over so long, and it has not come. */
const MIN_REDIRECTS = 2;
const MIN_REDIRECT_SPAN_MS = 3000;
/** What other nodes told is of no use after this. */
const REDIRECT_VALID_MS = 9000;
/** One machine that cannot come has a fault of its own. */
const MIN_MISROUTED_MACHINES = 2;
const MISROUTED_SHARE = 0.5;
const REACHABLE_SHARE = 0.1;
/** A node that was cut off stays withdrawn for this long at least, and for twice as long each time it happens again soon. */
const CORDON_BACKOFF_MS = 10_000;
const MAX_CORDON_BACKOFF_MS = 160_000;
const CORDON_RESET_MS = 300_000;

interface RedirectHistory {
  first: number;
  last: number;
  /** How often each node has sent it. */
  countByNode: Map<string, number>;
}

/**
 * Whether the machines of this node's shards can reach it. A node that only the workers are cut off from can still renew
 * its lease, so nobody else would take its shards. What shows it is that machines report to other nodes, are sent here,
 * and do not come, but report to the same node again. A machine that is at fault itself reports to nobody, or hears no answers:
 * that one goes from node to node, and passes here in its turn.
 */
export class WorkerConnectivity {
  private readonly redirects = new Map<string, RedirectHistory>();
  private cordonedUntil = 0;
  private cordonMs = CORDON_BACKOFF_MS;
  private uncordonedAt = Number.NEGATIVE_INFINITY;
  /** The node leaves its shards to others, since the workers cannot reach it. */
  cordoned = false;

  constructor(private readonly clock: Clock) {}

  /** Another node has sent a machine here. */
  onRedirect(machine: string, by: string): void {
    const now = this.clock.now();
    let t = this.redirects.get(machine);
    if (!t || now - t.last >= REDIRECT_VALID_MS) {
      t = { first: now, last: now, countByNode: new Map() };
      this.redirects.set(machine, t);
    }
    t.countByNode.set(by, (t.countByNode.get(by) ?? 0) + 1);
    t.last = now;
  }

  onHeartbeat(machine: string): void {
    if (this.redirects.size > 0) this.redirects.delete(machine);
  }

  /**
   * Whether half of `known` machines, those that reported here not long ago, cannot come any more. As long as some still
   * come (`coming`), it is not the node that is cut off: it may be slow, with all machines of a shard just taken over.
   */
  isCutOff(known: number, coming: number): boolean {
    const now = this.clock.now();
    if (coming > known * REACHABLE_SHARE) return false;
    let astray = 0;
    for (const [machine, t] of this.redirects) {
      if (now - t.last > REDIRECT_VALID_MS) this.redirects.delete(machine);
      else if (Math.max(...t.countByNode.values()) >= MIN_REDIRECTS && now - t.first >= MIN_REDIRECT_SPAN_MS)
        astray++;
    }
    return astray >= Math.max(MIN_MISROUTED_MACHINES, known * MISROUTED_SHARE);
  }

  cordon(): void {
    const now = this.clock.now();
    this.cordonMs =
      now - this.uncordonedAt < CORDON_RESET_MS
        ? Math.min(MAX_CORDON_BACKOFF_MS, this.cordonMs * 2)
        : CORDON_BACKOFF_MS;
    this.cordonedUntil = now + this.cordonMs;
    this.cordoned = true;
    this.redirects.clear();
  }

  /** Whether it is time to see if machines can be reached again. */
  get mayUncordon(): boolean {
    return this.cordoned && this.clock.now() >= this.cordonedUntil;
  }

  uncordon(): void {
    this.cordoned = false;
    this.uncordonedAt = this.clock.now();
    this.redirects.clear();
  }
}
