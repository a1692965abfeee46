import * as v from 'valibot';
import { pause, type Timer } from '../clock/clock.js';
import type { World } from '../context/context.js';
import { KEYS } from '../schema/schema.js';
import { StateFailure } from '../state/statestore.js';
import type { Entry } from '../wire/state.js';
import type { Mirror } from './clusterstatecache.js';

const requestValue = v.object({
  shard: v.number(),
  op: v.string(),
  args: v.record(v.string(), v.unknown()),
  at: v.number(),
});
const answerValue = v.object({ answer: v.unknown(), at: v.number() });

/** Older requests are not acted on: whoever sent one has given its user another answer by then. */
const REQUEST_MS = 4000;
/** Requests that nobody has taken away are dropped after this. */
const STALE_MS = 60_000;
const DROPPED_AT_ONCE = 8;
const REMEMBERED = 1000;

/**
 * Questions to a shard's owner by way of the state service, for when two controllers cannot reach each other while both
 * reach it: a cut between zones, or a packet filter. A stored request is a key under the prefix that every node watches anyway;
 * the owner replaces it with its answer, and whoever sent it takes it away.
 */
export class StoredRequests {
  private readonly waiting = new Map<string, (answer: unknown) => void>();
  private readonly seen = new Set<string>();
  private next = 0;

  constructor(
    private readonly world: World,
    private readonly mirror: Mirror,
    /** Answers a question put to a shard of this node; null when the shard is not this node's. */
    private readonly serve: (shard: number, op: string, args: object) => Promise<unknown> | null,
  ) {}

  /** Asks a shard's owner; fails when no answer comes in time. The owner may still act on it a little later. */
  async ask(shard: number, op: string, args: Record<string, unknown>, timeoutMs: number): Promise<unknown> {
    const value = { shard, op, args, at: Math.round(this.world.clock.wall()) };
    if (JSON.stringify(value).length > this.world.settings.stateLimits.valueKb * 1000)
      throw new Error('too large for a stored request');
    const key = `${KEYS.requests}${this.world.run}-${this.next++}`;
    let timer: Timer | null = null;
    const answered = new Promise((resolve, reject) => {
      this.waiting.set(key, resolve);
      timer = this.world.clock.after(timeoutMs, () => reject(new Error('no answer to a stored request')));
    });
    answered.catch(() => undefined);
    try {
      const sent = await this.world.store.txn([{ key, version: 0 }], [{ put: key, value }]);
      if (!sent.ok) throw new StateFailure('stored request not sent', false);
      return await answered;
    } finally {
      (timer as Timer | null)?.cancel();
      this.waiting.delete(key);
      void this.drop([key]);
    }
  }

  /** A stored request or an answer has come. */
  changed(key: string, entry: Entry): void {
    const answer = v.safeParse(answerValue, entry.value);
    if (answer.success) {
      this.waiting.get(key)?.(answer.output.answer);
      return;
    }
    const request = v.safeParse(requestValue, entry.value);
    if (!request.success || this.seen.has(key)) return;
    const { shard, op, args, at } = request.output;
    if (this.world.clock.wall() - at > REQUEST_MS + this.world.settings.skewMs) return;
    const served = this.serve(shard, op, args);
    if (!served) return;
    this.seen.add(key);
    if (this.seen.size > REMEMBERED) this.seen.delete(this.seen.values().next().value!);
    void this.reply(key, entry.version, served);
  }

  private async reply(key: string, version: number, served: Promise<unknown>): Promise<void> {
    try {
      const value = { answer: await served, at: Math.round(this.world.clock.wall()) };
      await this.world.store.txn([{ key, version }], [{ put: key, value }]);
    } catch (error) {
      // Whoever asked tells its user to come back.
      this.world.log.debug({ error: String(error) }, 'stored request not answered');
    }
  }

  /** Takes away what a node that has died meanwhile left behind. */
  async sweep(): Promise<never> {
    for (;;) {
      await pause(this.world.clock, STALE_MS / 4);
      const stale: string[] = [];
      for (const [key, e] of this.mirror.entries) {
        if (!key.startsWith(KEYS.requests)) continue;
        const at = (e.value as { at?: unknown } | null)?.at;
        if (typeof at !== 'number' || this.world.clock.wall() - at > STALE_MS) stale.push(key);
      }
      if (stale.length > 0) await this.drop(stale.slice(0, DROPPED_AT_ONCE));
    }
  }

  private async drop(keys: string[]): Promise<void> {
    try {
      await this.world.store.txn(
        [],
        keys.map((key) => ({ delete: key })),
      );
    } catch (error) {
      this.world.log.debug({ error: String(error) }, 'stored request not taken away');
    }
  }
}
