import { pause } from '../clock/clock.js';
import type { Log } from '../config/log.js';
import type { World } from '../context/context.js';
import type { Mesh } from '../peer/mesh.js';
import { type Holder, KEYS } from '../schema/schema.js';
import { StateFailure } from '../state/statestore.js';
import type { Condition } from '../wire/state.js';
import { type FeedRecord, readStandAnswer, readStandKey, STANDBY_OPS, type StandKey } from './messages.js';
import { Feed, type FeedSource } from './replicationstream.js';
import {
  acknowledged,
  mayAct,
  type Pledge,
  PROMISE_MS,
  sending,
  struckOff,
  UNBOUND,
} from './standbylease.js';
import type { StruckOff } from './standbyselection.js';

/** The owner's messages to its standby. */
const EVERY_MS = 800;
const LOOK_MS = 250;
/** A standby that has not acknowledged anything sent since this long ago is struck off, well before the promise ends. */
const SILENT_MS = 700;
/** A standby that is not level after so long is too slow to be of use. */
const LEVEL_MS = 20_000;
const ASSUME_MS = 2500;
/** When all nodes come up together, the first to be seen is not always the best. */
const SETTLE_MS = 1500;
const TELL_MS = 15_000;

export interface KeeperHooks {
  /** Whether the state lease lasts that the shard hangs on; the promise is the keeper's own. */
  leased(): boolean;
  lease(): number | null;
  /** Who should stand by; null when nobody can. */
  choose(): string | null;
  /** The home node of a shard that is away from home, when it can stand by. */
  homeBack(): string | null;
  /** How a node that is there has shown itself. */
  present(node: string): Holder | null;
  /** Somebody else has the shard. */
  lost(): void;
  /** Starts announced before this, or others, may go on. */
  requestPlan(): void;
}

interface Standby {
  node: string;
  run: string;
  revision: number;
  feed: Feed;
  since: number;
  /** Nothing of what was sent since then is acknowledged; null when all is. */
  openSince: number | null;
  sentAt: number;
  flying: boolean;
  level: boolean;
  stateAgoMs: number;
}

/**
 * The owner's side of one shard's standby: names it, keeps its promise and its copy alive, strikes it off when it does not
 * answer, and hands over to it. Requests to the state service are made only when the standby changes.
 */
export class Keeper {
  private pledge: Pledge = UNBOUND;
  private standby: Standby | null = null;
  private stopped = false;
  private busy = false;
  private naming = 0;
  private nameFrom = 0;
  private toldAt = 0;
  /** Changes of job records, counted: the standby reads them when there were some. */
  private changes = 0;
  /** The longest that an acknowledgement took since it was last told, in milliseconds. */
  private slowestMs = 0;

  constructor(
    private readonly world: World,
    private readonly mesh: Mesh,
    private readonly shard: number,
    private readonly term: number,
    private readonly struck: StruckOff,
    private readonly log: Log,
    private readonly hooks: KeeperHooks,
  ) {}

  /** Where a standby learns what there is; set before `start`. */
  source: FeedSource = { snapshot: () => [][Symbol.iterator]() };

  start(): void {
    this.nameFrom = this.world.clock.now() + SETTLE_MS;
    this.loop();
  }

  /** This owner acts no more. */
  stop(): void {
    this.stopped = true;
    this.standby?.feed.close(false);
  }

  /** Whether the promise to the standby, if one is bound, lets this owner act now. */
  get mayAct(): boolean {
    return mayAct(this.pledge, this.world.clock.now());
  }

  /** The node that could take over at once, with all that is known here. */
  get levelStandby(): string | null {
    const s = this.standby;
    return s?.level && s.openSince === null ? s.node : null;
  }

  /** How long ago the state service last served the standby; null without a level one. */
  get standbyStateAgoMs(): number | null {
    return this.levelStandby === null ? null : this.standby!.stateAgoMs;
  }

  private get owned(): Condition {
    return { key: KEYS.owner(this.shard), version: this.term };
  }

  private get key(): string {
    return KEYS.standby(this.shard);
  }

  private loop(): void {
    if (this.stopped) return;
    // Also while the state service is out: a standby that heard nothing would take the shard when it is back.
    this.look(this.world.clock.now());
    this.world.clock.after(LOOK_MS, () => this.loop());
  }

  private look(now: number): void {
    const s = this.standby;
    if (!s) {
      const node = now >= this.nameFrom && this.hooks.leased() ? this.hooks.choose() : null;
      if (node !== null && !this.busy) void this.guarded(() => this.name(node));
      return;
    }
    if (now - this.toldAt > TELL_MS) this.tell(s, now);
    const here = this.hooks.present(s.node);
    const silent = s.openSince !== null && now - s.openSince > SILENT_MS;
    const slow = !s.level && now - s.since > LEVEL_MS;
    const gone = here !== null && here.run !== s.run;
    if (silent || slow || gone) {
      if (!this.busy)
        void this.guarded(() => this.strike(s, silent ? 'silent' : slow ? 'slow' : 'restarted'));
      return;
    }
    // No other reason is worth a change.
    const home = this.hooks.homeBack();
    if (home !== null && home !== s.node) {
      if (!this.busy) void this.guarded(() => this.strike(s, 'home is back'));
      return;
    }
    if (!s.flying && (now - s.sentAt >= EVERY_MS || s.feed.urgent)) void this.send(s);
  }

  /** Records of jobs have changed in the state service. */
  recordsChanged(): void {
    this.changes++;
  }

  /** Tells the standby, if there is one, with the next message. */
  note(record: FeedRecord): void {
    this.standby?.feed.add(record);
  }

  /**
   * Says where tasks may be started before their orders are sent. Null when nothing has to be waited for; else true once they
   * may be sent, false when they must not be any more. The standby hears of it now and not with the next regular message.
   */
  announce(starts: readonly { job: string; machine: string }[]): Promise<boolean> | null {
    const s = this.standby;
    const waits = s?.feed.announce(starts) ?? null;
    if (s && waits && !s.flying && !this.stopped) void this.send(s);
    return waits;
  }

  /** The stream begins anew: what is sure has become much more. */
  refresh(): void {
    this.standby?.feed.begin();
  }

  private async guarded(work: () => Promise<void>): Promise<void> {
    this.busy = true;
    try {
      await work();
    } catch (error) {
      this.log.debug({ error: String(error) }, 'standby not changed');
      await pause(this.world.clock, LOOK_MS);
    } finally {
      this.busy = false;
    }
  }

  private async name(node: string): Promise<void> {
    const here = this.hooks.present(node);
    const lease = this.hooks.lease();
    if (!here || lease === null) return;
    const value: StandKey = {
      node,
      run: here.run,
      term: this.term,
      tag: `${this.world.run}-${this.term}-${this.naming++}`,
    };
    const { store } = this.world;
    const before = (await store.get(this.key))?.version ?? 0;
    const write = { put: this.key, value, lease };
    let revision: number | null = null;
    try {
      const r = await store.txn([this.owned, { key: this.key, version: before }], [write], true);
      if (!r.ok && r.failed.includes(this.owned.key)) this.hooks.lost();
      if (r.ok) revision = r.revision;
    } catch (error) {
      if (!(error instanceof StateFailure) || !error.maybe) throw error;
      // Nothing has been sent under it yet, so that nobody can claim by it: what is there now is taken as it is.
      const stored = await store.get(this.key);
      if (stored && readStandKey(stored.value)?.tag === value.tag) revision = stored.version;
    }
    if (revision === null || this.stopped) return;
    this.standby = {
      node,
      run: here.run,
      revision,
      feed: new Feed(this.source),
      since: this.world.clock.now(),
      openSince: null,
      sentAt: Number.NEGATIVE_INFINITY,
      flying: false,
      level: false,
      stateAgoMs: Number.POSITIVE_INFINITY,
    };
    this.log.info({ standby: node }, 'standby named');
  }

  private async send(s: Standby): Promise<void> {
    s.flying = true;
    const now = this.world.clock.now();
    s.sentAt = now;
    s.openSince ??= now;
    this.pledge = sending(this.pledge, s.revision, now);
    const { from, records } = s.feed.batch();
    const message = {
      shard: this.shard,
      term: this.term,
      revision: s.revision,
      run: s.run,
      from,
      records,
      changes: this.changes,
    };
    try {
      const answer = readStandAnswer(await this.mesh.ask(s.node, STANDBY_OPS.stand, message, PROMISE_MS));
      if (!answer || this.stopped || this.standby !== s) return;
      this.pledge = acknowledged(this.pledge, s.revision, now);
      s.openSince = null;
      s.stateAgoMs = answer.stateAgoMs;
      this.slowestMs = Math.max(this.slowestMs, this.world.clock.now() - now);
      const waited = s.feed.urgent;
      s.feed.acknowledge(answer.next);
      if (s.feed.level && !s.level) {
        s.level = true;
        this.log.info({ standby: s.node, ms: Math.round(this.world.clock.now() - s.since) }, 'standby level');
      }
      if (waited) this.hooks.requestPlan();
    } catch (error) {
      this.log.debug({ standby: s.node, error: String(error) }, 'standby did not answer');
    } finally {
      s.flying = false;
      if (!this.stopped && this.standby === s && s.openSince === null && s.feed.urgent) void this.send(s);
    }
  }

  /** From when this is known to be done, the owner is bound by nothing. */
  private async strike(s: Standby, why: string): Promise<void> {
    const { store } = this.world;
    const named = { key: this.key, version: s.revision };
    let done = false;
    try {
      const r = await store.txn([this.owned, named], [{ delete: this.key }], true);
      if (!r.ok && r.failed.includes(this.owned.key)) {
        this.hooks.lost();
        return;
      }
      done = r.ok;
    } catch (error) {
      if (!(error instanceof StateFailure) || !error.maybe) throw error;
    }
    if (!done) {
      // An earlier try may have been applied late: what counts is that the key is gone while the term still stands.
      const r = await store.txn([this.owned, { key: this.key, version: 0 }], [], true);
      if (!r.ok && r.failed.includes(this.owned.key)) this.hooks.lost();
      done = r.ok;
    }
    if (!done || this.standby !== s) return;
    this.standby = null;
    this.pledge = struckOff(this.pledge, s.revision);
    s.feed.close(true);
    if (why !== 'home is back') this.struck.note(s.node, this.world.clock.now());
    this.log.info({ standby: s.node, why }, 'standby struck off');
    this.hooks.requestPlan();
  }

  /**
   * Hands the shard to the level standby; the caller has stopped to act for good. True when the standby has taken it, false
   * when it has not or that is not known.
   */
  async handOver(): Promise<boolean> {
    const s = this.standby;
    if (!s) return false;
    const message = { shard: this.shard, term: this.term, revision: s.revision, run: s.run };
    try {
      return (await this.mesh.ask(s.node, STANDBY_OPS.assume, message, ASSUME_MS)) === true;
    } catch (error) {
      this.log.info({ standby: s.node, error: String(error) }, 'handing over got no answer');
      return false;
    }
  }

  private tell(s: Standby, now: number): void {
    this.toldAt = now;
    const { level, feed } = s;
    this.log.info(
      {
        standby: s.node,
        level,
        behind: feed.behind,
        streams: feed.streams,
        slowestMs: Math.round(this.slowestMs),
      },
      'standby',
    );
    this.slowestMs = 0;
  }
}
