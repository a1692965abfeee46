// This package: distributes every change under a prefix of the key-value store to all controllers. A few controllers
// watch the store, and the others follow them.

import { type Clock, pause } from '../clock/clock.js';
import { type PeriodicTask, startPeriodicTask } from '../clock/periodictask.js';
import type { Log } from '../config/log.js';
import { ProtocolViolationError } from '../errors/errors.js';
import type { Mesh } from '../peer/mesh.js';
import type { StateStore } from '../state/statestore.js';
import type { Change } from '../wire/state.js';
import { ChangeLog } from './changelog.js';
import {
  CHANGE_FEED_OPS,
  type ChangesRequest,
  readChangesRequest,
  readChangesResponse,
  readLatestRevisionResponse,
} from './messages.js';
import { SourceHealth } from './sourcehealth.js';
import { type PresentNode, SOURCES_PER_REGION, type SourceOrder, sourceOrder } from './sourceorder.js';
import { Subscribers } from './subscribers.js';
import { minWatchIntervalMs } from './watchpacing.js';

/** The source that a cache of the keys reads from; the key-value store itself can be one. */
export type ChangeSource = Pick<StateStore, 'list' | 'watch'>;

/** The configuration of a `ChangeFeed` and the state it depends on. */
export interface ChangeFeedOptions {
  /** This node's name. */
  readonly node: string;
  /** The prefix of the keys whose changes are passed on. */
  readonly prefix: string;
  readonly regionOf: (node: string) => string;
  /** This node's even share of the key-value store's request rate, per second. */
  readonly requestsPerSecond: number;
  /** Present nodes that pass changes on, according to this node's cache of the keys. */
  readonly presentNodes: () => PresentNode[];
  /** Whether the key-value store currently serves this node, judged by the node's other requests. */
  readonly isStateStoreReachable: () => boolean;
}

/**
 * A source answers after at most `IDLE_WAIT_MS`, with or without changes; its answer may take `ANSWER_MARGIN_MS`
 * longer.
 */
const IDLE_WAIT_MS = 500;
const ANSWER_MARGIN_MS = 400;
/** How often another source is asked for its latest revision, and the timeout of that request. */
const PROGRESS_CHECK_INTERVAL_MS = 150;
const PROGRESS_TIMEOUT_MS = 900;
/**
 * If this node still lacks a change that another source had this long ago, in addition to the interval between two
 * watches of its own source, its source is behind.
 */
const BEHIND_CONFIRM_MS = 100;
/**
 * Without any source, nodes start to watch the key-value store one after another at this interval; until its turn, a
 * node keeps looking for a source.
 */
const DIRECT_STAGGER_MS = 150;
const UNDECIDED_RETRY_MS = 100;
/** Minimum time for which a node without a source watches the key-value store itself. */
const MIN_DIRECT_MS = 3000;

/** The key-value store's answer with the changes after a revision; null when it no longer keeps changes that old. */
type WatchResult = Awaited<ReturnType<ChangeSource['watch']>>;

/** The source chosen for the next changes. */
type SourceChoice =
  | { readonly kind: 'stateService' }
  | { readonly kind: 'node'; readonly node: string }
  /** No source can be chosen yet. */
  | { readonly kind: 'undecided' };

/** The outcome of one request for changes. */
type RequestOutcome =
  | { readonly kind: 'changes'; readonly revision: number; readonly changes: Change[] }
  /** The key-value store no longer keeps changes that old. */
  | { readonly kind: 'compacted' }
  /** The request returned no usable changes, and the source is chosen again. */
  | { readonly kind: 'failed' }
  /** A better source was found during the request. */
  | { readonly kind: 'interrupted' };

const FAILED: RequestOutcome = { kind: 'failed' };

/**
 * Supplies a cache of the keys with the changes under its prefix, from another node or from the key-value store
 * itself. Everything it supplies is a hint, like the cache itself: no decision relies on a change arriving on time,
 * only once or at all.
 */
export class ChangeFeed implements ChangeSource {
  private readonly log = new ChangeLog();
  private readonly subscribers: Subscribers;
  private readonly sourceHealth: SourceHealth;
  /** The node that this node follows; null while it watches the key-value store itself. */
  private following: string | null = null;
  /** Time since which there has been no source to follow; null while there is one. */
  private noSourceSince: number | null = null;
  /** Time until which this node watches the key-value store itself because it has no source. */
  private directUntil = Number.NEGATIVE_INFINITY;
  /** When this node's own watch last returned changes. */
  private lastChangesAt = Number.NEGATIVE_INFINITY;
  /** Ends the wait for the pending request, if there is one. */
  private interrupt: (() => void) | null = null;
  /**
   * The node whose progress is compared with this node's, and whether that node watches the key-value store itself.
   */
  private progressPeer: { readonly node: string; readonly isWatching: boolean } | null = null;
  private mesh: Mesh | null = null;
  private progressChecks: PeriodicTask | null = null;

  constructor(
    private readonly clock: Clock,
    private readonly store: ChangeSource,
    private readonly logger: Log,
    private readonly options: ChangeFeedOptions,
  ) {
    this.subscribers = new Subscribers(clock, this.log, options.isStateStoreReachable);
    this.sourceHealth = new SourceHealth(clock);
  }

  /** Connects the feed to the other nodes; until then it watches the key-value store itself. */
  start(mesh: Mesh): void {
    this.mesh = mesh;
    this.progressChecks ??= startPeriodicTask(this.clock, PROGRESS_CHECK_INTERVAL_MS, () =>
      this.compareProgress().catch((error) =>
        this.logger.error({ err: error }, 'source progress check failed'),
      ),
    );
  }

  /** Stops comparing progress with other nodes. */
  stop(): void {
    this.progressChecks?.stop();
  }

  /** The node that this node currently follows; null while it watches the key-value store itself. */
  get source(): string | null {
    return this.following;
  }

  /** Reads all entries from the key-value store itself. Rejects with `StateStoreError` on failure. */
  list(prefix: string): ReturnType<ChangeSource['list']> {
    return this.store.list(prefix);
  }

  /**
   * Returns the changes after a revision as soon as there are any, or none after `waitMs`; null when the key-value
   * store no longer keeps changes that old. Rejects with `StateStoreError` if the key-value store did not answer.
   * Only one call may be pending at a time.
   */
  async watch(prefix: string, since: number, waitMs: number): Promise<WatchResult> {
    this.log.startFrom(since);
    const deadline = this.clock.now() + waitMs;
    for (;;) {
      const order = this.order();
      const choice = this.chooseSource(order);
      if (choice.kind === 'undecided') {
        await pause(this.clock, UNDECIDED_RETRY_MS);
        continue;
      }
      const request = { prefix, since, waitMs };
      const outcome = await this.interruptible(
        choice.kind === 'node' ? this.follow(choice.node, request) : this.watchDirectly(order, request),
      );
      if (outcome.kind === 'compacted') return null;
      if (outcome.kind !== 'changes') continue;
      const { revision, changes } = outcome;
      if (changes.length > 0) {
        this.log.append({ since, revision, changes });
        this.subscribers.onAppend();
      } else if (this.clock.now() < deadline) continue;
      return { revision, changes };
    }
  }

  /** Answers another node's request. Throws `ProtocolViolationError` if it is not a valid request to this feed. */
  async serve(op: string, args: unknown): Promise<unknown> {
    if (op === CHANGE_FEED_OPS.head) return this.subscribers.latestRevision();
    const request = readChangesRequest(args);
    if (!request || request.prefix !== this.options.prefix)
      throw new ProtocolViolationError('not a question for changes');
    return this.subscribers.changesAfter(request);
  }

  // --- choice of the source

  private order(): SourceOrder {
    const { node, presentNodes, regionOf } = this.options;
    return sourceOrder(node, this.mesh ? presentNodes() : [], regionOf);
  }

  private firstUsableSource(order: SourceOrder): string | null {
    return order.candidates.find((c) => !this.sourceHealth.isUnhealthy(c) && this.mesh?.connected(c)) ?? null;
  }

  private chooseSource(order: SourceOrder): SourceChoice {
    const now = this.clock.now();
    if (order.isSource && !this.sourceHealth.isUnhealthy(this.options.node)) return this.switchSource(null);
    const usable = this.firstUsableSource(order);
    if (usable !== null && now >= this.directUntil) return this.switchSource(usable);
    if (order.isSource || now < this.directUntil) return this.switchSource(null);
    this.noSourceSince ??= now;
    if (now - this.noSourceSince < (order.position - SOURCES_PER_REGION) * DIRECT_STAGGER_MS) {
      // Nodes earlier in the order may have started to watch the key-value store by now.
      this.sourceHealth.retry(order.candidates);
      return { kind: 'undecided' };
    }
    this.directUntil = now + MIN_DIRECT_MS;
    this.noSourceSince = null;
    return this.switchSource(null);
  }

  /** Switches the source of changes to a node, or to the key-value store itself (null). */
  private switchSource(source: string | null): SourceChoice {
    if (source !== this.following) {
      this.logger.info({ source: source ?? 'key-value store' }, 'change source switched');
      this.following = source;
    }
    this.subscribers.setOpen(source === null);
    return source === null ? { kind: 'stateService' } : { kind: 'node', node: source };
  }

  /** Waits for a pending request unless a better source is found first. */
  private interruptible(request: Promise<RequestOutcome>): Promise<RequestOutcome> {
    const interrupted = new Promise<RequestOutcome>((resolve) => {
      this.interrupt = () => resolve({ kind: 'interrupted' });
    });
    // An abandoned request may fail later; that failure is ignored.
    request.catch(() => undefined);
    return Promise.race([request, interrupted]).finally(() => {
      this.interrupt = null;
    });
  }

  private async watchDirectly(
    order: SourceOrder,
    { prefix, since, waitMs }: ChangesRequest,
  ): Promise<RequestOutcome> {
    const minIntervalMs = this.minIntervalMs(order, this.isFirst(order));
    const remainingMs = this.lastChangesAt + minIntervalMs - this.clock.now();
    if (remainingMs > 0) await pause(this.clock, remainingMs);
    if (this.following !== null) return FAILED;
    const result = await this.store.watch(prefix, since, waitMs);
    if (result === null) return { kind: 'compacted' };
    // The interval between watches counts only from a watch that returned changes; an empty one already took its
    // whole wait.
    if (result.changes.length > 0) this.lastChangesAt = this.clock.now();
    return { kind: 'changes', revision: result.revision, changes: result.changes };
  }

  /** Returns the minimum interval between two watches, in milliseconds. */
  private minIntervalMs(order: SourceOrder, isFirstSource: boolean): number {
    return minWatchIntervalMs(isFirstSource, order.regionCount, this.options.requestsPerSecond);
  }

  /** Returns how long this node may normally lack a change that another node has, in milliseconds. */
  private maxLagMs(): number {
    const order = this.order();
    const isFirstSource =
      this.following === null ? this.isFirst(order) : this.following === order.candidates[0];
    return this.minIntervalMs(order, isFirstSource) + BEHIND_CONFIRM_MS;
  }

  /** Returns whether this node is its region's first source, or its second source while the first does not watch. */
  private isFirst(order: SourceOrder): boolean {
    if (order.position === 0) return true;
    const firstSource = order.candidates[0];
    return (
      order.position === 1 && !(this.progressPeer?.node === firstSource && this.progressPeer?.isWatching)
    );
  }

  private async follow(source: string, { prefix, since }: ChangesRequest): Promise<RequestOutcome> {
    const request: ChangesRequest = { prefix, since, waitMs: IDLE_WAIT_MS };
    const timeoutMs = IDLE_WAIT_MS + ANSWER_MARGIN_MS;
    const response = await this.mesh!.request(source, CHANGE_FEED_OPS.changes, request, timeoutMs)
      .then(readChangesResponse)
      .catch(() => null);
    if (response !== null && !('refused' in response) && response.since === since) {
      this.sourceHealth.onSuccess(source);
      this.noSourceSince = null;
      return { kind: 'changes', revision: response.revision, changes: response.changes };
    }
    // This includes a source that no longer keeps the changes after `since`; as a last resort the key-value store has
    // them.
    this.sourceHealth.onFailure(source);
    return FAILED;
  }

  // --- comparison of progress

  /**
   * Asks another source for its latest revision, because a source that is refused by the key-value store or is frozen
   * does not reveal that itself. If this node's own source is behind, another one is chosen at once.
   */
  private async compareProgress(): Promise<void> {
    const { progressPeers } = this.order();
    const reachable = progressPeers.filter((c) => c !== this.following && this.mesh?.connected(c));
    const node = this.nextProgressPeer(reachable);
    if (node === null) {
      this.progressPeer = null;
      return;
    }
    const response = await this.mesh!.request(node, CHANGE_FEED_OPS.head, {}, PROGRESS_TIMEOUT_MS)
      .then(readLatestRevisionResponse)
      .catch(() => null);
    if (response === null) this.sourceHealth.onFailure(node);
    const lastChange = response?.lastChange ?? null;
    this.progressPeer = { node, isWatching: lastChange !== null };
    if (lastChange === null || lastChange <= this.log.revision) return;
    await pause(this.clock, this.maxLagMs());
    if (lastChange <= this.log.revision) return;
    const behind = this.following ?? this.options.node;
    this.logger.info({ behind, witness: node, lastChange, revision: this.log.revision }, 'source is behind');
    this.sourceHealth.onBehind(behind);
    this.sourceHealth.onSuccess(node);
    this.interrupt?.();
  }

  /** Returns the current progress peer as long as it watches the key-value store, otherwise the next node. */
  private nextProgressPeer(nodes: readonly string[]): string | null {
    if (nodes.length === 0) return null;
    const index = this.progressPeer ? nodes.indexOf(this.progressPeer.node) : -1;
    if (index < 0) return nodes[0]!;
    return this.progressPeer?.isWatching ? nodes[index]! : nodes[(index + 1) % nodes.length]!;
  }
}
