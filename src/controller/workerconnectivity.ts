import type { Clock } from '../clock/clock.js';

/** A machine counts as astray when other nodes have sent it here so often, over so long, and it has not come. */
const SENT_TIMES = 2;
const SENT_OVER_MS = 3000;
/** What other nodes told is of no use after this. */
const TOLD_MS = 9000;
/** One machine that cannot come has a fault of its own. */
const FEWEST = 2;
const SHARE = 0.5;
const STILL_COMING = 0.1;
/** A node that was cut off stays withdrawn for this long at least, and for twice as long each time it happens again soon. */
const ASIDE_MS = 10_000;
const ASIDE_MOST_MS = 160_000;
const FORGIVEN_MS = 300_000;

interface Told {
  first: number;
  last: number;
  /** How often each node has sent it. */
  times: Map<string, number>;
}

/**
 * Whether the machines of this node's shards can reach it. A node that only the workers are cut off from can still renew
 * its lease, so nobody else would take its shards. What shows it is that machines report to other nodes, are sent here,
 * and do not come, but report to the same node again. A machine that is at fault itself reports to nobody, or hears no answers:
 * that one goes from node to node, and passes here in its turn.
 */
export class Reach {
  private readonly told = new Map<string, Told>();
  private until = 0;
  private asideMs = ASIDE_MS;
  private endedAt = Number.NEGATIVE_INFINITY;
  /** The node leaves its shards to others, since the workers cannot reach it. */
  withdrawn = false;

  constructor(private readonly clock: Clock) {}

  /** Another node has sent a machine here. */
  sentHere(machine: string, by: string): void {
    const now = this.clock.now();
    let t = this.told.get(machine);
    if (!t || now - t.last >= TOLD_MS) {
      t = { first: now, last: now, times: new Map() };
      this.told.set(machine, t);
    }
    t.times.set(by, (t.times.get(by) ?? 0) + 1);
    t.last = now;
  }

  heard(machine: string): void {
    if (this.told.size > 0) this.told.delete(machine);
  }

  /**
   * Whether half of `known` machines, those that reported here not long ago, cannot come any more. As long as some still
   * come (`coming`), it is not the node that is cut off: it may be slow, with all machines of a shard just taken over.
   */
  cutOff(known: number, coming: number): boolean {
    const now = this.clock.now();
    if (coming > known * STILL_COMING) return false;
    let astray = 0;
    for (const [machine, t] of this.told) {
      if (now - t.last > TOLD_MS) this.told.delete(machine);
      else if (Math.max(...t.times.values()) >= SENT_TIMES && now - t.first >= SENT_OVER_MS) astray++;
    }
    return astray >= Math.max(FEWEST, known * SHARE);
  }

  withdraw(): void {
    const now = this.clock.now();
    this.asideMs = now - this.endedAt < FORGIVEN_MS ? Math.min(ASIDE_MOST_MS, this.asideMs * 2) : ASIDE_MS;
    this.until = now + this.asideMs;
    this.withdrawn = true;
    this.told.clear();
  }

  /** Whether it is time to see if machines can be reached again. */
  get mayReturn(): boolean {
    return this.withdrawn && this.clock.now() >= this.until;
  }

  comeBack(): void {
    this.withdrawn = false;
    this.endedAt = this.clock.now();
    this.told.clear();
  }
}
