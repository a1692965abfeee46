import { type Clock, pause } from '../clock/clock.js';
import type { Shard } from '../scheduler/shard.js';

/** Maximum time for which a request waits for a shard that is being handed over to this node. */
const HANDOVER_WAIT_MS = 500;
const HANDOVER_POLL_MS = 20;
/** Time after which requests no longer wait for a handover that has not finished. */
const INCOMING_HANDOVER_VALID_MS = HANDOVER_WAIT_MS * 4;

/** The shards that other nodes are currently handing over to this node. */
export class IncomingHandovers {
  private readonly shards = new Set<number>();

  constructor(
    private readonly clock: Clock,
    /** The shards that this node owns. */
    private readonly owned: ReadonlyMap<number, Shard>,
  ) {}

  /** Records that the owner of a shard has started to hand it over. */
  add(shard: number): void {
    this.shards.add(shard);
    this.clock.after(INCOMING_HANDOVER_VALID_MS, () => this.shards.delete(shard));
  }

  /** Waits until a shard that is being handed over is ready on this node, for 500 ms at most. */
  async wait(shard: number): Promise<void> {
    const until = this.clock.now() + HANDOVER_WAIT_MS;
    const isPending = () => this.shards.has(shard) && !this.owned.get(shard)?.ready;
    while (isPending() && this.clock.now() < until) await pause(this.clock, HANDOVER_POLL_MS);
  }
}
