import type { Clock } from '../clock/clock.js';

/** A machine counts as misrouted when one other node has redirected it here so often, over so long, and it has not reported. */
const MIN_REDIRECTS = 2;
const MIN_REDIRECT_SPAN_MS = 3000;
/** What other nodes have notified is of no use after this. */
const REDIRECT_VALID_MS = 9000;
/** One machine that does not report here has a fault of its own. */
const MIN_MISROUTED_MACHINES = 2;
/** The node is cut off when this share of its machines is misrouted, and no more than that share reports. */
const MISROUTED_SHARE = 0.5;
const REACHABLE_SHARE = 0.1;
/** A node that was cut off stays cordoned for this long at least, and for twice as long each time it happens again soon. */
const CORDON_BACKOFF_MS = 10_000;
const MAX_CORDON_BACKOFF_MS = 160_000;
const CORDON_RESET_MS = 300_000;

/** Redirects of one machine to this node since it last reported here; times in steady milliseconds. */
interface RedirectHistory {
  readonly firstAt: number;
  lastAt: number;
  /** How often each node has redirected it. */
  readonly countByNode: Map<string, number>;
}

/**
 * Whether the machines of this node's shards can reach it. A node that only the workers are cut off from can still renew
 * its lease, so nobody else would take its shards. What shows it is that machines report to other nodes, are redirected
 * here, and do not report here, but to the same node again. A machine that is at fault itself reports to nobody, or
 * receives no answers: that one goes from node to node, and passes here in its turn.
 */
export class WorkerConnectivity {
  private readonly redirects = new Map<string, RedirectHistory>();
  private cordonedUntil = 0;
  private cordonMs = CORDON_BACKOFF_MS;
  private uncordonedAt = Number.NEGATIVE_INFINITY;
  /** The node leaves its shards to others, since the workers cannot reach it. */
  cordoned = false;

  constructor(private readonly clock: Clock) {}

  /** Another node, `by`, has redirected a machine here. */
  onRedirect(machine: string, by: string): void {
    const now = this.clock.now();
    let history = this.redirects.get(machine);
    if (!history || now - history.lastAt >= REDIRECT_VALID_MS) {
      history = { firstAt: now, lastAt: now, countByNode: new Map() };
      this.redirects.set(machine, history);
    }
    history.countByNode.set(by, (history.countByNode.get(by) ?? 0) + 1);
    history.lastAt = now;
  }

  /** A machine has reported here. */
  onHeartbeat(machine: string): void {
    if (this.redirects.size > 0) this.redirects.delete(machine);
  }

  /**
   * Whether half of the `recent` machines, those that reported here within their lease, cannot reach this node any more. As
   * long as some still report as regularly as they should (`current`), it is not the node that is cut off: it may be slow,
   * with all machines of a shard just taken over.
   */
  isCutOff(recent: number, current: number): boolean {
    const now = this.clock.now();
    if (current > recent * REACHABLE_SHARE) return false;
    let misrouted = 0;
    for (const [machine, history] of this.redirects) {
      if (now - history.lastAt > REDIRECT_VALID_MS) this.redirects.delete(machine);
      else if (isMisrouted(history, now)) misrouted++;
    }
    return misrouted >= Math.max(MIN_MISROUTED_MACHINES, recent * MISROUTED_SHARE);
  }

  /** The node leaves its shards to others from now on, for longer when it did so not long ago. */
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

  /** The node takes shards again. */
  uncordon(): void {
    this.cordoned = false;
    this.uncordonedAt = this.clock.now();
    this.redirects.clear();
  }
}

function isMisrouted({ countByNode, firstAt }: RedirectHistory, now: number): boolean {
  return Math.max(...countByNode.values()) >= MIN_REDIRECTS && now - firstAt >= MIN_REDIRECT_SPAN_MS;
}
