import type { Clock } from '../clock/clock.js';

/**
 * A machine counts as misrouted when one other node has redirected it to this node at least this often, redirects
 * have been seen for at least this long, and it has not sent a heartbeat to this node since.
 */
const MIN_REDIRECTS = 2;
const MIN_REDIRECT_SPAN_MS = 3000;
/** Time after which a redirect notice from another node is outdated. */
const REDIRECT_VALID_MS = 9000;
/** A single machine that sends this node no heartbeats is assumed to be faulty itself. */
const MIN_MISROUTED_MACHINES = 2;
/**
 * The node is cut off when at least `MISROUTED_SHARE` of its machines is misrouted and at most `REACHABLE_SHARE` is
 * on time.
 */
const MISROUTED_SHARE = 0.5;
const REACHABLE_SHARE = 0.1;
/**
 * Minimum time for which a node stays cordoned. It doubles, up to a maximum, each time the node is cordoned again
 * within `CORDON_RESET_MS` of its last uncordoning.
 */
const CORDON_BACKOFF_MS = 10_000;
const MAX_CORDON_BACKOFF_MS = 160_000;
const CORDON_RESET_MS = 300_000;

/**
 * Redirects of one machine to this node since its last heartbeat here; times in milliseconds of the monotonic clock.
 */
interface RedirectHistory {
  readonly firstAt: number;
  lastAt: number;
  /** Number of redirects by each node. */
  readonly countByNode: Map<string, number>;
}

/**
 * Detects whether the machines of this node's shards can reach it. A node that is cut off only from the workers can
 * still renew its lease, so no other node would take over its shards. The sign of such a cut is that machines send
 * heartbeats to another node, are redirected to this one, and then send no heartbeat here, but to the same other node
 * again. A machine that is faulty itself either sends heartbeats to no node, or receives no answers; the latter tries
 * one node after another, and so also reaches this one.
 */
export class WorkerConnectivity {
  private readonly redirects = new Map<string, RedirectHistory>();
  private cordonedUntil = 0;
  private cordonMs = CORDON_BACKOFF_MS;
  private uncordonedAt = Number.NEGATIVE_INFINITY;
  /** Whether this node is cordoned, and so leaves its shards to other nodes because the workers cannot reach it. */
  cordoned = false;

  constructor(private readonly clock: Clock) {}

  /** Records that the node `by` has redirected a machine to this node. */
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

  /** Records a heartbeat of a machine to this node. */
  onHeartbeat(machine: string): void {
    if (this.redirects.size > 0) this.redirects.delete(machine);
  }

  /**
   * Returns whether half of the `recent` machines, those with a heartbeat to this node within their lease, can no
   * longer reach it. While more than a tenth of them still send heartbeats on time (`current`), the node is not cut
   * off: it may only be slow, because it has just taken over all machines of a shard.
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

  /** Cordons the node, for a longer time when it was uncordoned only recently. */
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

  /**
   * Whether the node has been cordoned for its minimum time, so that it may probe whether it reaches workers again.
   */
  get mayUncordon(): boolean {
    return this.cordoned && this.clock.now() >= this.cordonedUntil;
  }

  /** Uncordons the node, which then takes shards again. */
  uncordon(): void {
    this.cordoned = false;
    this.uncordonedAt = this.clock.now();
    this.redirects.clear();
  }
}

function isMisrouted({ countByNode, firstAt }: RedirectHistory, now: number): boolean {
  return Math.max(...countByNode.values()) >= MIN_REDIRECTS && now - firstAt >= MIN_REDIRECT_SPAN_MS;
}
