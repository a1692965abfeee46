import * as v from 'valibot';
import type { Timer } from '../clock/clock.js';
import { type PeriodicTask, startPeriodicTask } from '../clock/periodictask.js';
import type { ControllerContext } from '../context/context.js';
import { InvalidInputError, UnreachableError } from '../errors/errors.js';
import { KEYS } from '../schema/schema.js';
import { StateStoreError } from '../state/statestore.js';
import type { Entry } from '../wire/state.js';
import type { ClusterStateCache } from './clusterstatecache.js';

const requestValue = v.object({
  shard: v.number(),
  op: v.string(),
  args: v.record(v.string(), v.unknown()),
  at: v.number(),
});
const answerValue = v.object({ answer: v.unknown(), at: v.number() });

/** Older requests are not acted on: whoever sent one has given its user another answer by then. */
const REQUEST_VALID_MS = 4000;
/** Requests that nobody has deleted are deleted by any node after this. */
const STALE_AFTER_MS = 60_000;
const SWEEP_INTERVAL_MS = STALE_AFTER_MS / 4;
const MAX_DELETED_AT_ONCE = 8;
const MAX_HANDLED_KEYS = 1000;

/**
 * Requests to a shard's owner by way of the key-value store, for when two controllers cannot reach each other while both
 * reach it: a cut between zones, or a packet filter. A stored request is a key under the prefix that every node watches
 * anyway; the owner replaces it with its answer, and whoever sent it deletes it.
 */
export class StoredRequests {
  private readonly pendingReplies = new Map<string, (answer: unknown) => void>();
  private readonly handledKeys = new Set<string>();
  private next = 0;
  private sweeping: PeriodicTask | null = null;

  constructor(
    private readonly context: ControllerContext,
    private readonly stateCache: ClusterStateCache,
    /** Answers a request to a shard of this node; null when the shard is not this node's. */
    private readonly serveLocally: (shard: number, op: string, args: object) => Promise<unknown> | null,
  ) {}

  /**
   * Sends a request to a shard's owner. Throws `UnreachableError` when no answer comes in time; the owner may still act on
   * it a little later. Throws `InvalidInputError` when it is too large for the key-value store.
   */
  async send(shard: number, op: string, args: Record<string, unknown>, timeoutMs: number): Promise<unknown> {
    const value = { shard, op, args, at: Math.round(this.context.clock.wall()) };
    if (JSON.stringify(value).length > this.context.settings.stateLimits.valueKb * 1000)
      throw new InvalidInputError('too large for a stored request');
    const key = `${KEYS.requests}${this.context.incarnation}-${this.next++}`;
    let timer: Timer | null = null;
    const answered = new Promise((resolve, reject) => {
      this.pendingReplies.set(key, resolve);
      timer = this.context.clock.after(timeoutMs, () =>
        reject(new UnreachableError('no answer to a stored request')),
      );
    });
    answered.catch(() => undefined);
    try {
      const sent = await this.context.store.compareAndSwap([{ key, version: 0 }], [{ put: key, value }]);
      if (!sent.ok) throw new StateStoreError('stored request not sent', false);
      return await answered;
    } finally {
      (timer as Timer | null)?.cancel();
      this.pendingReplies.delete(key);
      void this.deleteRecords([key]);
    }
  }

  /** A stored request or an answer has been written. */
  onRecordChanged(key: string, entry: Entry): void {
    const answer = v.safeParse(answerValue, entry.value);
    if (answer.success) {
      this.pendingReplies.get(key)?.(answer.output.answer);
      return;
    }
    const request = v.safeParse(requestValue, entry.value);
    if (!request.success || this.handledKeys.has(key)) return;
    const { shard, op, args, at } = request.output;
    if (this.context.clock.wall() - at > REQUEST_VALID_MS + this.context.settings.skewMs) return;
    const served = this.serveLocally(shard, op, args);
    if (!served) return;
    this.handledKeys.add(key);
    if (this.handledKeys.size > MAX_HANDLED_KEYS)
      this.handledKeys.delete(this.handledKeys.values().next().value!);
    void this.reply(key, entry.version, served);
  }

  private async reply(key: string, version: number, served: Promise<unknown>): Promise<void> {
    try {
      const value = { answer: await served, at: Math.round(this.context.clock.wall()) };
      await this.context.store.compareAndSwap([{ key, version }], [{ put: key, value }]);
    } catch (error) {
      // Whoever asked tells its user to come back.
      this.context.log.debug({ err: error }, 'stored request reply failed');
    }
  }

  /**
   * Begins to delete, now and then, what a node that has died meanwhile left behind; the first time finds nothing, as the
   * copy of the keys is empty then.
   */
  start(): void {
    this.sweeping = startPeriodicTask(this.context.clock, SWEEP_INTERVAL_MS, () => this.sweep());
  }

  stop(): void {
    this.sweeping?.stop();
  }

  private async sweep(): Promise<void> {
    const stale: string[] = [];
    for (const [key, entry] of this.stateCache.entries) {
      if (!key.startsWith(KEYS.requests)) continue;
      const at = (entry.value as { at?: unknown } | null)?.at;
      if (typeof at !== 'number' || this.context.clock.wall() - at > STALE_AFTER_MS) stale.push(key);
    }
    if (stale.length > 0) await this.deleteRecords(stale.slice(0, MAX_DELETED_AT_ONCE));
  }

  private async deleteRecords(keys: string[]): Promise<void> {
    try {
      await this.context.store.compareAndSwap(
        [],
        keys.map((key) => ({ delete: key })),
      );
    } catch (error) {
      this.context.log.debug({ err: error }, 'stored request deletion failed');
    }
  }
}
