// This package: every change under a prefix of the key-value store, at every controller: a few watch, the others follow them.

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
import { watchPaceMs } from './watchpacing.js';

/** What a cache of the keys reads from; the key-value store itself serves as well. */
export type ChangeSource = Pick<StateStore, 'list' | 'watch'>;

/** What a `ChangeFeed` goes by. */
export interface ChangeFeedOptions {
  /** This node's name. */
  readonly node: string;
  /** The prefix of the keys whose changes are passed on. */
  readonly prefix: string;
  readonly regionOf: (node: string) => string;
  /** This node's even share of the key-value store's requests, a second. */
  readonly requestsPerSecond: number;
  /** Nodes that are present and pass changes on, as this node's cache of the keys shows them. */
  readonly presentNodes: () => PresentNode[];
  /** Whether the key-value store serves this node at present, as far as it knows by other requests. */
  readonly isStateStoreReachable: () => boolean;
}

/** A source answers after this at the latest, with changes or without; so much longer is waited for the answer. */
const IDLE_WAIT_MS = 500;
const ANSWER_MARGIN_MS = 400;
/** How often another source is asked for its latest revision, and how long its answer is waited for. */
const PROGRESS_CHECK_INTERVAL_MS = 150;
const PROGRESS_TIMEOUT_MS = 900;
/**
 * This node lacks a change that another one had so long ago, beside the time between two watches of its source: the
 * source is behind.
 */
const BEHIND_CONFIRM_MS = 100;
/** Without any source, nodes watch the key-value store one after the other, so far apart; meanwhile they look again. */
const DIRECT_STAGGER_MS = 150;
const UNDECIDED_RETRY_MS = 100;
/** A node that had to watch the key-value store itself does so for this long. */
const MIN_DIRECT_MS = 3000;

/** What the key-value store tells of the changes after a revision; null when it no longer keeps changes that old. */
type WatchResult = Awaited<ReturnType<ChangeSource['watch']>>;

/** Where the next changes are to come from. */
type SourceChoice =
  | { readonly kind: 'stateService' }
  | { readonly kind: 'node'; readonly node: string }
  /** It cannot be decided yet. */
  | { readonly kind: 'undecided' };

/** How one request for changes ended. */
type RequestOutcome =
  | { readonly kind: 'changes'; readonly revision: number; readonly changes: Change[] }
  /** The key-value store no longer keeps changes that old. */
  | { readonly kind: 'compacted' }
  /** It came to nothing, and the source is chosen anew. */
  | { readonly kind: 'failed' }
  /** Another source turned out to be better meanwhile. */
  | { readonly kind: 'interrupted' };

const FAILED: RequestOutcome = { kind: 'failed' };

/**
 * Gives a cache of the keys the changes under its prefix, by way of a source or from the key-value store itself. All of it
 * is a hint, as the cache is: what comes late, twice or not at all never decides anything.
 */
export class ChangeFeed implements ChangeSource {
  private readonly log = new ChangeLog();
  private readonly subscribers: Subscribers;
  private readonly sourceHealth: SourceHealth;
  /** Whom this node follows; null while it watches the key-value store itself. */
  private following: string | null = null;
  /** Since when there is no source to follow; null while there is one. */
  private sourcelessSince: number | null = null;
  /** Until when this node watches the key-value store itself, since there was no source. */
  private directUntil = Number.NEGATIVE_INFINITY;
  /** When the last watch of this node's own returned changes. */
  private watchedAt = Number.NEGATIVE_INFINITY;
  /** Ends the wait for the request under way, if there is one. */
  private interrupt: (() => void) | null = null;
  /** A node whose progress this node's own is compared with, and whether it watches the key-value store itself. */
  private witness: { readonly node: string; readonly watches: boolean } | null = null;
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

  /** Connects the node to the others; before that it watches the key-value store itself. */
  start(mesh: Mesh): void {
    this.mesh = mesh;
    this.progressChecks ??= startPeriodicTask(this.clock, PROGRESS_CHECK_INTERVAL_MS, () =>
      this.compareProgress().catch((error) =>
        this.logger.error({ err: error }, 'source progress check failed'),
      ),
    );
  }

  /** Compares its progress with others' no more. */
  stop(): void {
    this.progressChecks?.stop();
  }

  /** Whom this node follows at present; null while it watches the key-value store itself. */
  get source(): string | null {
    return this.following;
  }

  /** Reads all entries from the key-value store itself. Fails with `StateStoreError`. */
  list(prefix: string): ReturnType<ChangeSource['list']> {
    return this.store.list(prefix);
  }

  /**
   * Changes after a revision, as soon as there are some, or none after `waitMs`; null when the key-value store no longer
   * keeps changes that old. Fails with `StateStoreError` when the key-value store did not answer. One call at a time.
   */
  async watch(prefix: string, since: number, waitMs: number): Promise<WatchResult> {
    this.log.startFrom(since);
    const until = this.clock.now() + waitMs;
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
      } else if (this.clock.now() < until) continue;
      return { revision, changes };
    }
  }

  /** Answers another node's request. Throws `ProtocolViolationError` when it is no request of this feed's. */
  async serve(op: string, args: unknown): Promise<unknown> {
    if (op === CHANGE_FEED_OPS.head) return this.subscribers.latestRevision();
    const request = readChangesRequest(args);
    if (!request || request.prefix !== this.options.prefix)
      throw new ProtocolViolationError('not a question for changes');
    return this.subscribers.changesAfter(request);
  }

  // --- where changes come from

  private order(): SourceOrder {
    const { node, presentNodes, regionOf } = this.options;
    return sourceOrder(node, this.mesh ? presentNodes() : [], regionOf);
  }

  private firstUsableSource(order: SourceOrder): string | null {
    return order.candidates.find((c) => !this.sourceHealth.isUnhealthy(c) && this.mesh?.connected(c)) ?? null;
  }

  private chooseSource(order: SourceOrder): SourceChoice {
    const now = this.clock.now();
    if (order.source && !this.sourceHealth.isUnhealthy(this.options.node)) return this.switchSource(null);
    const usable = this.firstUsableSource(order);
    if (usable !== null && now >= this.directUntil) return this.switchSource(usable);
    if (order.source || now < this.directUntil) return this.switchSource(null);
    this.sourcelessSince ??= now;
    if (now - this.sourcelessSince < (order.position - SOURCES_PER_REGION) * DIRECT_STAGGER_MS) {
      // Those before this one may watch the key-value store by now.
      this.sourceHealth.retry(order.candidates);
      return { kind: 'undecided' };
    }
    this.directUntil = now + MIN_DIRECT_MS;
    this.sourcelessSince = null;
    return this.switchSource(null);
  }

  /** Changes come from a node from now on, or from the key-value store itself (null). */
  private switchSource(source: string | null): SourceChoice {
    if (source !== this.following) {
      this.logger.info({ source: source ?? 'key-value store' }, 'change source switched');
      this.following = source;
    }
    this.subscribers.setOpen(source === null);
    return source === null ? { kind: 'stateService' } : { kind: 'node', node: source };
  }

  /** Waits for a request under way, unless another source turns out to be better meanwhile. */
  private interruptible(request: Promise<RequestOutcome>): Promise<RequestOutcome> {
    const interrupted = new Promise<RequestOutcome>((resolve) => {
      this.interrupt = () => resolve({ kind: 'interrupted' });
    });
    // What was given up may fail later, which concerns nobody.
    request.catch(() => undefined);
    return Promise.race([request, interrupted]).finally(() => {
      this.interrupt = null;
    });
  }

  private async watchDirectly(
    order: SourceOrder,
    { prefix, since, waitMs }: ChangesRequest,
  ): Promise<RequestOutcome> {
    const paceMs = this.paceMs(order, this.isFirst(order));
    const remainingMs = this.watchedAt + paceMs - this.clock.now();
    if (remainingMs > 0) await pause(this.clock, remainingMs);
    if (this.following !== null) return FAILED;
    const result = await this.store.watch(prefix, since, waitMs);
    if (result === null) return { kind: 'compacted' };
    // Only then the next one would come too soon.
    if (result.changes.length > 0) this.watchedAt = this.clock.now();
    return { kind: 'changes', revision: result.revision, changes: result.changes };
  }

  /** The least time between two watches, in milliseconds. */
  private paceMs(order: SourceOrder, first: boolean): number {
    return watchPaceMs(first, order.firsts, this.options.requestsPerSecond);
  }

  /** How long this node may lack what another one knows, while all is well, in milliseconds. */
  private lagMs(): number {
    const order = this.order();
    const first = this.following === null ? this.isFirst(order) : this.following === order.candidates[0];
    return this.paceMs(order, first) + BEHIND_CONFIRM_MS;
  }

  /** The first source of a region, or its second while the first does not watch. */
  private isFirst(order: SourceOrder): boolean {
    if (order.position === 0) return true;
    const first = order.candidates[0];
    return order.position === 1 && !(this.witness?.node === first && this.witness?.watches);
  }

  private async follow(source: string, { prefix, since }: ChangesRequest): Promise<RequestOutcome> {
    const request: ChangesRequest = { prefix, since, waitMs: IDLE_WAIT_MS };
    const timeoutMs = IDLE_WAIT_MS + ANSWER_MARGIN_MS;
    const response = await this.mesh!.request(source, CHANGE_FEED_OPS.changes, request, timeoutMs)
      .then(readChangesResponse)
      .catch(() => null);
    if (response !== null && !('refused' in response) && response.since === since) {
      this.sourceHealth.onSuccess(source);
      this.sourcelessSince = null;
      return { kind: 'changes', revision: response.revision, changes: response.changes };
    }
    // Also where it does not keep what follows `since`: in the end the key-value store does.
    this.sourceHealth.onFailure(source);
    return FAILED;
  }

  // --- whether the others are further

  /**
   * Asks another source for its latest revision: a source that the key-value store refuses, or that stands still, does not
   * show that itself. Where this node's own source is behind, another one is chosen at once.
   */
  private async compareProgress(): Promise<void> {
    const { witnesses } = this.order();
    const reachable = witnesses.filter((c) => c !== this.following && this.mesh?.connected(c));
    const node = this.nextWitness(reachable);
    if (node === null) {
      this.witness = null;
      return;
    }
    const response = await this.mesh!.request(node, CHANGE_FEED_OPS.head, {}, PROGRESS_TIMEOUT_MS)
      .then(readLatestRevisionResponse)
      .catch(() => null);
    if (response === null) this.sourceHealth.onFailure(node);
    const lastChange = response?.lastChange ?? null;
    this.witness = { node, watches: lastChange !== null };
    if (lastChange === null || lastChange <= this.log.revision) return;
    await pause(this.clock, this.lagMs());
    if (lastChange <= this.log.revision) return;
    const behind = this.following ?? this.options.node;
    this.logger.info({ behind, witness: node, lastChange, revision: this.log.revision }, 'source is behind');
    this.sourceHealth.onBehind(behind);
    this.sourceHealth.onSuccess(node);
    this.interrupt?.();
  }

  /** The same node as long as it watches, else the next one. */
  private nextWitness(nodes: readonly string[]): string | null {
    if (nodes.length === 0) return null;
    const at = this.witness ? nodes.indexOf(this.witness.node) : -1;
    if (at < 0) return nodes[0]!;
    return this.witness?.watches ? nodes[at]! : nodes[(at + 1) % nodes.length]!;
  }
}
