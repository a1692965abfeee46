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

/** Requests older than this are ignored: their sender has already given its user another answer. */
const REQUEST_VALID_MS = 4000;
/** Age after which any node deletes a request that its sender has not deleted. */
const STALE_AFTER_MS = 60_000;
const SWEEP_INTERVAL_MS = STALE_AFTER_MS / 4;
const MAX_DELETED_AT_ONCE = 8;
const MAX_HANDLED_KEYS = 1000;

/**
 * Requests to a shard's owner through the key-value store, for controllers that cannot reach each other while both
 * reach the store, for example because of a network partition between zones or a packet filter. A stored request is a
 * key under the prefix that every node watches anyway; the owner replaces its value with the answer, and the sender
 * deletes the key.
 */
export class StoredRequests {
  private readonly pendingReplies = new Map<string, (answer: unknown) => void>();
  private readonly handledKeys = new Set<string>();
  private nextRequestNumber = 0;
  private sweepTask: PeriodicTask | null = null;

  constructor(
    private readonly context: ControllerContext,
    private readonly stateCache: ClusterStateCache,
    /** Answers a request to a shard of this node; null when this node does not serve it. */
    private readonly serveLocally: (shard: number, op: string, args: object) => Promise<unknown> | null,
  ) {}

  /**
   * Sends a request to a shard's owner. Throws `UnreachableError` when no answer arrives in time; the owner may still
   * execute the request shortly afterwards. Throws `InvalidInputError` when the request is too large for the
   * key-value store.
   */
  async send(shard: number, op: string, args: Record<string, unknown>, timeoutMs: number): Promise<unknown> {
    const value = { shard, op, args, at: Math.round(this.context.clock.wall()) };
    if (JSON.stringify(value).length > this.context.settings.stateLimits.valueKb * 1000)
      throw new InvalidInputError('too large for a stored request');
    const key = `${KEYS.requests}${this.context.incarnation}-${this.nextRequestNumber++}`;
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

  /** Handles a stored request or an answer that has been written. */
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
      // Without a reply, the sender's request times out and its user is asked to retry.
      this.context.log.debug({ err: error }, 'stored request reply failed');
    }
  }

  /**
   * Starts to delete, every `SWEEP_INTERVAL_MS`, stale requests and answers left by nodes that have died. The first
   * sweep finds nothing, because the cache is still empty.
   */
  start(): void {
    this.sweepTask = startPeriodicTask(this.context.clock, SWEEP_INTERVAL_MS, () => this.sweep());
  }

  stop(): void {
    this.sweepTask?.stop();
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
