import { type Clock, pause } from '../clock/clock.js';
import type { Shard } from '../scheduler/shard.js';

/** Requests for a shard that is being handed over to this node wait no longer than this. */
const HANDOVER_WAIT_MS = 500;
const HANDOVER_POLL_MS = 20;
/** A handover that has not ended after this is no longer waited for. */
const INCOMING_HANDOVER_VALID_MS = HANDOVER_WAIT_MS * 4;

/** Shards that another node is handing over to this one at this moment. */
export class IncomingHandovers {
  private readonly shards = new Set<number>();

  constructor(
    private readonly clock: Clock,
    /** The shards that this node owns. */
    private readonly owned: ReadonlyMap<number, Shard>,
  ) {}

  /** The owner of a shard has begun to hand it over. */
  add(shard: number): void {
    this.shards.add(shard);
    this.clock.after(INCOMING_HANDOVER_VALID_MS, () => this.shards.delete(shard));
  }

  /** Lets a request wait until a shard that is being handed over is ready here, for half a second at most. */
  async wait(shard: number): Promise<void> {
    const until = this.clock.now() + HANDOVER_WAIT_MS;
    const isPending = () => this.shards.has(shard) && !this.owned.get(shard)?.ready;
    while (isPending() && this.clock.now() < until) await pause(this.clock, HANDOVER_POLL_MS);
  }
}
