// Every change under a prefix of the state service, at every controller: a few watch, the others follow them.

import { type Clock, pause } from '../clock/clock.js';
import type { Log } from '../config/log.js';
import { ProtocolViolationError } from '../errors/errors.js';
import type { Mesh } from '../peer/mesh.js';
import type { StateStore } from '../state/statestore.js';
import type { Change } from '../wire/state.js';
import { ChangeLog } from './changelog.js';
import {
  CHANGE_FEED_OPS,
  readChangesRequest,
  readChangesResponse,
  readLatestRevisionResponse,
} from './messages.js';
import { SourceHealth } from './sourcehealth.js';
import { type PresentNode, SOURCES_PER_REGION, type SourceOrder, sourceOrder } from './sourceorder.js';
import { Subscribers } from './subscribers.js';
import { watchPaceMs } from './watchpacing.js';

/** What a copy of the keys reads from; the state service itself serves as well. */
export type ChangeSource = Pick<StateStore, 'list' | 'watch'>;

export interface ChangeFeedOptions {
  /** This node's name. */
  node: string;
  prefix: string;
  regionOf: (node: string) => string;
  /** This node's even part of the state service's requests, a second. */
  requestsPerSecond: number;
  /** Nodes that are present and pass changes on, as this node's copy of the keys shows them. */
  presentNodes: () => PresentNode[];
  /** Whether the state service serves this node at present, as far as it knows by other requests. */
  isStateStoreReachable: () => boolean;
}

/** A source answers after this at the latest, with changes or without; so much longer is waited for the answer. */
const IDLE_WAIT_MS = 500;
const ANSWER_MARGIN_MS = 400;
/** How often another source is asked how far it is, and how long its answer is waited for. */
const HEAD_EVERY_MS = 150;
const HEAD_MS = 900;
/**
 * This node lacks a change that another one had so long ago, beside the time between two watches of its source: the
 * source is behind.
 */
const CONFIRM_MS = 100;
/** Without any source, nodes watch the state service one after the other, so far apart; meanwhile they look again. */
const STAGGER_MS = 150;
const LOOK_AGAIN_MS = 100;
/** A node that had to watch the state service itself does so for this long. */
const STAY_DIRECT_MS = 3000;

const INTERRUPTED = Symbol('interrupted');

type WatchResult = { revision: number; changes: Change[] } | null;
type FollowResult = { revision: number; changes: Change[] } | 'failed';
/** The node to follow, null for the state service itself, `later` when it cannot be decided yet. */
type SourceChoice = string | null | 'later';

/**
 * Gives a copy of the keys the changes under its prefix, by way of a source or from the state service itself. All of it
 * is a hint, as the copy is: what comes late, twice or not at all never decides anything.
 */
export class ChangeFeed implements ChangeSource {
  private readonly log = new ChangeLog();
  private readonly subscribers: Subscribers;
  private readonly sourceHealth: SourceHealth;
  /** Whom this node follows; null while it watches the state service itself. */
  private following: string | null = null;
  private sourcelessSince: number | null = null;
  private directUntil = Number.NEGATIVE_INFINITY;
  private watchedAt = Number.NEGATIVE_INFINITY;
  private interrupt: (() => void) | null = null;
  /** A node whose progress this node's own is compared with, and whether it watches the state service itself. */
  private witness: { node: string; watches: boolean } | null = null;
  private mesh: Mesh | null = null;

  constructor(
    private readonly clock: Clock,
    private readonly store: ChangeSource,
    private readonly logger: Log,
    private readonly options: ChangeFeedOptions,
  ) {
    this.subscribers = new Subscribers(clock, this.log, options.isStateStoreReachable);
    this.sourceHealth = new SourceHealth(clock);
  }

  /** Connects the node to the others; before that it watches the state service itself. */
  start(mesh: Mesh): void {
    this.mesh = mesh;
    this.compareProgress();
  }

  /** Whom this node follows at present; null while it watches the state service itself. */
  get source(): string | null {
    return this.following;
  }

  /** Reads all entries from the state service itself. Fails with `StateFailure`. */
  list(prefix: string): ReturnType<ChangeSource['list']> {
    return this.store.list(prefix);
  }

  /**
   * Changes after a revision, as soon as there are some, or none after `waitMs`; null when the state service no longer
   * keeps changes that old. Fails with `StateFailure` when the state service did not answer. One call at a time.
   */
  async watch(prefix: string, since: number, waitMs: number): Promise<WatchResult> {
    this.log.startFrom(since);
    const until = this.clock.now() + waitMs;
    for (;;) {
      const order = this.order();
      const choice = this.chooseSource(order);
      if (choice === 'later') {
        await pause(this.clock, LOOK_AGAIN_MS);
        continue;
      }
      const result = await this.interruptible(
        choice === null
          ? this.watchDirectly(order, prefix, since, waitMs)
          : this.follow(choice, prefix, since),
      );
      if (result === null) return null;
      if (typeof result !== 'object') continue;
      if (result.changes.length > 0) {
        this.log.append({ since, ...result });
        this.subscribers.onAppend();
        return result;
      }
      if (this.clock.now() >= until) return result;
    }
  }

  /** What other nodes ask. Fails when it is no question of this feed's. */
  async serve(op: string, args: unknown): Promise<unknown> {
    if (op === CHANGE_FEED_OPS.head) return this.subscribers.latestRevision();
    const question = readChangesRequest(args);
    if (!question || question.prefix !== this.options.prefix)
      throw new ProtocolViolationError('not a question for changes');
    return this.subscribers.changesAfter(question);
  }

  // --- where changes come from

  private order(): SourceOrder {
    const { node, presentNodes: present, regionOf } = this.options;
    return sourceOrder(node, this.mesh ? present() : [], regionOf);
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
    if (now - this.sourcelessSince < (order.position - SOURCES_PER_REGION) * STAGGER_MS) {
      // Those before this one may watch the state service by now.
      this.sourceHealth.retry(order.candidates);
      return 'later';
    }
    this.directUntil = now + STAY_DIRECT_MS;
    this.sourcelessSince = null;
    return this.switchSource(null);
  }

  private switchSource(source: string | null): string | null {
    if (source !== this.following) {
      this.logger.info({ source: source ?? 'state service' }, 'changes now come from another source');
      this.following = source;
    }
    this.subscribers.setOpen(source === null);
    return source;
  }

  /** Waits for what is under way, unless another way turns out to be better meanwhile. */
  private interruptible<T>(work: Promise<T>): Promise<T | typeof INTERRUPTED> {
    const interrupted = new Promise<typeof INTERRUPTED>((resolve) => {
      this.interrupt = () => resolve(INTERRUPTED);
    });
    // What was given up may fail later, which concerns nobody.
    work.catch(() => undefined);
    return Promise.race([work, interrupted]).finally(() => {
      this.interrupt = null;
    });
  }

  private async watchDirectly(
    order: SourceOrder,
    prefix: string,
    since: number,
    waitMs: number,
  ): Promise<WatchResult | 'failed'> {
    const paceMs = this.paceMs(order, this.isFirst(order));
    const wait = this.watchedAt + paceMs - this.clock.now();
    if (wait > 0) await pause(this.clock, wait);
    if (this.following !== null) return 'failed';
    const result = await this.store.watch(prefix, since, waitMs);
    // Only then the next one would come too soon.
    if (result && result.changes.length > 0) this.watchedAt = this.clock.now();
    return result;
  }

  private paceMs(order: SourceOrder, first: boolean): number {
    return watchPaceMs(first, order.firsts, this.options.requestsPerSecond);
  }

  /** How long this node may lack what another one knows, while all is well. */
  private lagMs(): number {
    const order = this.order();
    const first = this.following === null ? this.isFirst(order) : this.following === order.candidates[0];
    return this.paceMs(order, first) + CONFIRM_MS;
  }

  /** The first source of a region, or its second while the first does not watch. */
  private isFirst(order: SourceOrder): boolean {
    if (order.position === 0) return true;
    const first = order.candidates[0];
    return order.position === 1 && !(this.witness?.node === first && this.witness?.watches);
  }

  private async follow(source: string, prefix: string, since: number): Promise<FollowResult> {
    const question = { prefix, since, waitMs: IDLE_WAIT_MS };
    const answer = await this.mesh!.request(
      source,
      CHANGE_FEED_OPS.changes,
      question,
      IDLE_WAIT_MS + ANSWER_MARGIN_MS,
    )
      .then(readChangesResponse)
      .catch(() => null);
    if (answer !== null && !('refused' in answer) && answer.since === since) {
      this.sourceHealth.onSuccess(source);
      this.sourcelessSince = null;
      return answer;
    }
    // Also where it does not keep what follows `since`: in the end the state service does.
    this.sourceHealth.onFailure(source);
    return 'failed';
  }

  // --- whether the others are further

  /** Asks another source now and then how far it is: one that is refused or stands still does not show it itself. */
  private compareProgress(): void {
    void this.compareProgressOnce().finally(() =>
      this.clock.after(HEAD_EVERY_MS, () => this.compareProgress()),
    );
  }

  private async compareProgressOnce(): Promise<void> {
    const { witnesses } = this.order();
    const others = witnesses.filter((c) => c !== this.following && this.mesh?.connected(c));
    const node = this.nextWitness(others);
    if (node === null) {
      this.witness = null;
      return;
    }
    const head = await this.mesh!.request(node, CHANGE_FEED_OPS.head, {}, HEAD_MS)
      .then(readLatestRevisionResponse)
      .catch(() => null);
    if (head === null) this.sourceHealth.onFailure(node);
    const lastChange = head?.lastChange ?? null;
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
  private nextWitness(others: readonly string[]): string | null {
    if (others.length === 0) return null;
    const at = this.witness ? others.indexOf(this.witness.node) : -1;
    if (at < 0) return others[0]!;
    return this.witness?.watches ? others[at]! : others[(at + 1) % others.length]!;
  }
}
