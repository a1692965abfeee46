import { pause } from '../clock/clock.js';
import type { Log } from '../config/log.js';
import type { ControllerContext } from '../context/context.js';
import type { Mesh } from '../peer/mesh.js';
import { KEYS, type LeaseHolder } from '../schema/schema.js';
import { StateStoreError } from '../state/statestore.js';
import type { Condition } from '../wire/state.js';
import {
  type ReplicationRecord,
  readReplicationResponse,
  readStandbyRecord,
  STANDBY_OPS,
  type StandbyRecord,
} from './messages.js';
import { type ReplicationSource, ReplicationStream } from './replicationstream.js';
import {
  leaseCovers,
  NO_STANDBY,
  type OwnerLease,
  onAcknowledged,
  onEvicted,
  onSend,
  STANDBY_LEASE_MS,
} from './standbylease.js';
import type { EvictionBackoff } from './standbyselection.js';

/** The owner's messages to its standby. */
const HEARTBEAT_INTERVAL_MS = 800;
const CHECK_INTERVAL_MS = 250;
/** A standby that has not acknowledged anything sent since this long ago is struck off, well before the promise ends. */
const ACKNOWLEDGE_TIMEOUT_MS = 700;
/** A standby that is not level after so long is too slow to be of use. */
const SYNC_TIMEOUT_MS = 20_000;
const HANDOVER_TIMEOUT_MS = 2500;
/** When all nodes come up together, the first to be seen is not always the best. */
const INITIAL_DELAY_MS = 1500;
const STATUS_LOG_INTERVAL_MS = 15_000;

export interface StandbyReplicatorHooks {
  /** Whether the state lease lasts that the shard hangs on; the promise is the keeper's own. */
  holdsLease(): boolean;
  lease(): number | null;
  /** Who should stand by; null when nobody can. */
  chooseStandby(): string | null;
  /** The home node of a shard that is away from home, when it can stand by. */
  eligibleHomeNode(): string | null;
  /** How a node that is there has shown itself. */
  presenceOf(node: string): LeaseHolder | null;
  /** Somebody else has the shard. */
  onShardLost(): void;
  /** Starts announced before this, or others, may go on. */
  requestPlan(): void;
}

interface StandbySlot {
  node: string;
  incarnation: string;
  revision: number;
  stream: ReplicationStream;
  namedAt: number;
  /** Nothing of what was sent since then is acknowledged; null when all is. */
  unacknowledgedSince: number | null;
  sentAt: number;
  sending: boolean;
  inSync: boolean;
  leaseRenewedAgoMs: number;
}

/**
 * The owner's side of one shard's standby: names it, keeps its promise and its copy alive, strikes it off when it does not
 * answer, and hands over to it. Requests to the state service are made only when the standby changes.
 */
export class StandbyReplicator {
  private ownerLease: OwnerLease = NO_STANDBY;
  private standby: StandbySlot | null = null;
  private stopped = false;
  private changing = false;
  private namedCount = 0;
  private nameNotBefore = 0;
  private loggedAt = 0;
  /** Changes of job records, counted: the standby reads them when there were some. */
  private changes = 0;
  /** The longest that an acknowledgement took since it was last told, in milliseconds. */
  private slowestMs = 0;

  constructor(
    private readonly context: ControllerContext,
    private readonly mesh: Mesh,
    private readonly shard: number,
    private readonly term: number,
    private readonly evictionBackoff: EvictionBackoff,
    private readonly log: Log,
    private readonly hooks: StandbyReplicatorHooks,
  ) {}

  /** Where a standby learns what there is; set before `start`. */
  source: ReplicationSource = { snapshot: () => [][Symbol.iterator]() };

  start(): void {
    this.nameNotBefore = this.context.clock.now() + INITIAL_DELAY_MS;
    this.loop();
  }

  /** This owner acts no more. */
  stop(): void {
    this.stopped = true;
    this.standby?.stream.close(false);
  }

  /** Whether the promise to the standby, if one is bound, lets this owner act now. */
  get leaseCovers(): boolean {
    return leaseCovers(this.ownerLease, this.context.clock.now());
  }

  /** The node that could take over at once, with all that is known here. */
  get inSyncStandby(): string | null {
    const s = this.standby;
    return s?.inSync && s.unacknowledgedSince === null ? s.node : null;
  }

  /** How long ago the state service last served the standby; null without a level one. */
  get standbyLeaseRenewedAgoMs(): number | null {
    return this.inSyncStandby === null ? null : this.standby!.leaseRenewedAgoMs;
  }

  private get ownerCondition(): Condition {
    return { key: KEYS.owner(this.shard), version: this.term };
  }

  private get key(): string {
    return KEYS.standby(this.shard);
  }

  private loop(): void {
    if (this.stopped) return;
    // Also while the state service is out: a standby that heard nothing would take the shard when it is back.
    this.checkStandby(this.context.clock.now());
    this.context.clock.after(CHECK_INTERVAL_MS, () => this.loop());
  }

  private checkStandby(now: number): void {
    const s = this.standby;
    if (!s) {
      const node = now >= this.nameNotBefore && this.hooks.holdsLease() ? this.hooks.chooseStandby() : null;
      if (node !== null && !this.changing) void this.runExclusive(() => this.nameStandby(node));
      return;
    }
    if (now - this.loggedAt > STATUS_LOG_INTERVAL_MS) this.logStatus(s, now);
    const here = this.hooks.presenceOf(s.node);
    const silent = s.unacknowledgedSince !== null && now - s.unacknowledgedSince > ACKNOWLEDGE_TIMEOUT_MS;
    const slow = !s.inSync && now - s.namedAt > SYNC_TIMEOUT_MS;
    const gone = here !== null && here.incarnation !== s.incarnation;
    if (silent || slow || gone) {
      if (!this.changing)
        void this.runExclusive(() => this.evict(s, silent ? 'silent' : slow ? 'slow' : 'restarted'));
      return;
    }
    // No other reason is worth a change.
    const home = this.hooks.eligibleHomeNode();
    if (home !== null && home !== s.node) {
      if (!this.changing) void this.runExclusive(() => this.evict(s, 'home is back'));
      return;
    }
    if (!s.sending && (now - s.sentAt >= HEARTBEAT_INTERVAL_MS || s.stream.urgent)) void this.send(s);
  }

  /** Records of jobs have changed in the state service. */
  recordsChanged(): void {
    this.changes++;
  }

  /** Tells the standby, if there is one, with the next message. */
  replicate(record: ReplicationRecord): void {
    this.standby?.stream.add(record);
  }

  /**
   * Says where tasks may be started before their orders are sent. Null when nothing has to be waited for; else true once they
   * may be sent, false when they must not be any more. The standby hears of it now and not with the next regular message.
   */
  announce(starts: readonly { job: string; machine: string }[]): Promise<boolean> | null {
    const s = this.standby;
    const waits = s?.stream.announce(starts) ?? null;
    if (s && waits && !s.sending && !this.stopped) void this.send(s);
    return waits;
  }

  /** The stream begins anew: what is sure has become much more. */
  restartStream(): void {
    this.standby?.stream.begin();
  }

  private async runExclusive(work: () => Promise<void>): Promise<void> {
    this.changing = true;
    try {
      await work();
    } catch (error) {
      this.log.debug({ err: error }, 'standby not changed');
      await pause(this.context.clock, CHECK_INTERVAL_MS);
    } finally {
      this.changing = false;
    }
  }

  private async nameStandby(node: string): Promise<void> {
    const here = this.hooks.presenceOf(node);
    const lease = this.hooks.lease();
    if (!here || lease === null) return;
    const value: StandbyRecord = {
      node,
      run: here.incarnation,
      term: this.term,
      tag: `${this.context.incarnation}-${this.term}-${this.namedCount++}`,
    };
    const { store } = this.context;
    const before = (await store.get(this.key))?.version ?? 0;
    const write = { put: this.key, value, lease };
    let revision: number | null = null;
    try {
      const r = await store.compareAndSwap(
        [this.ownerCondition, { key: this.key, version: before }],
        [write],
        true,
      );
      if (!r.ok && r.failed.includes(this.ownerCondition.key)) this.hooks.onShardLost();
      if (r.ok) revision = r.revision;
    } catch (error) {
      if (!(error instanceof StateStoreError) || !error.mayHaveApplied) throw error;
      // Nothing has been sent under it yet, so that nobody can claim by it: what is there now is taken as it is.
      const stored = await store.get(this.key);
      if (stored && readStandbyRecord(stored.value)?.tag === value.tag) revision = stored.version;
    }
    if (revision === null || this.stopped) return;
    this.standby = {
      node,
      incarnation: here.incarnation,
      revision,
      stream: new ReplicationStream(this.source),
      namedAt: this.context.clock.now(),
      unacknowledgedSince: null,
      sentAt: Number.NEGATIVE_INFINITY,
      sending: false,
      inSync: false,
      leaseRenewedAgoMs: Number.POSITIVE_INFINITY,
    };
    this.log.info({ standby: node }, 'standby named');
  }

  private async send(s: StandbySlot): Promise<void> {
    s.sending = true;
    const now = this.context.clock.now();
    s.sentAt = now;
    s.unacknowledgedSince ??= now;
    this.ownerLease = onSend(this.ownerLease, s.revision, now);
    const { from, records } = s.stream.batch();
    const message = {
      shard: this.shard,
      term: this.term,
      revision: s.revision,
      run: s.incarnation,
      from,
      records,
      changes: this.changes,
    };
    try {
      const answer = readReplicationResponse(
        await this.mesh.request(s.node, STANDBY_OPS.replicate, message, STANDBY_LEASE_MS),
      );
      if (!answer || this.stopped || this.standby !== s) return;
      this.ownerLease = onAcknowledged(this.ownerLease, s.revision, now);
      s.unacknowledgedSince = null;
      s.leaseRenewedAgoMs = answer.stateAgoMs;
      this.slowestMs = Math.max(this.slowestMs, this.context.clock.now() - now);
      const waited = s.stream.urgent;
      s.stream.acknowledge(answer.next);
      if (s.stream.inSync && !s.inSync) {
        s.inSync = true;
        this.log.info(
          { standby: s.node, ms: Math.round(this.context.clock.now() - s.namedAt) },
          'standby level',
        );
      }
      if (waited) this.hooks.requestPlan();
    } catch (error) {
      this.log.debug({ standby: s.node, err: error }, 'standby did not answer');
    } finally {
      s.sending = false;
      if (!this.stopped && this.standby === s && s.unacknowledgedSince === null && s.stream.urgent)
        void this.send(s);
    }
  }

  /** From when this is known to be done, the owner is bound by nothing. */
  private async evict(s: StandbySlot, why: string): Promise<void> {
    const { store } = this.context;
    const named = { key: this.key, version: s.revision };
    let done = false;
    try {
      const r = await store.compareAndSwap([this.ownerCondition, named], [{ delete: this.key }], true);
      if (!r.ok && r.failed.includes(this.ownerCondition.key)) {
        this.hooks.onShardLost();
        return;
      }
      done = r.ok;
    } catch (error) {
      if (!(error instanceof StateStoreError) || !error.mayHaveApplied) throw error;
    }
    if (!done) {
      // An earlier try may have been applied late: what counts is that the key is gone while the term still stands.
      const r = await store.compareAndSwap([this.ownerCondition, { key: this.key, version: 0 }], [], true);
      if (!r.ok && r.failed.includes(this.ownerCondition.key)) this.hooks.onShardLost();
      done = r.ok;
    }
    if (!done || this.standby !== s) return;
    this.standby = null;
    this.ownerLease = onEvicted(this.ownerLease, s.revision);
    s.stream.close(true);
    if (why !== 'home is back') this.evictionBackoff.onEvicted(s.node, this.context.clock.now());
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
    const message = { shard: this.shard, term: this.term, revision: s.revision, run: s.incarnation };
    try {
      return (await this.mesh.request(s.node, STANDBY_OPS.handOver, message, HANDOVER_TIMEOUT_MS)) === true;
    } catch (error) {
      this.log.info({ standby: s.node, err: error }, 'handing over got no answer');
      return false;
    }
  }

  private logStatus(s: StandbySlot, now: number): void {
    this.loggedAt = now;
    const { inSync: level, stream: feed } = s;
    this.log.info(
      {
        standby: s.node,
        level,
        behind: feed.unacknowledged,
        streams: feed.streams,
        slowestMs: Math.round(this.slowestMs),
      },
      'standby',
    );
    this.slowestMs = 0;
  }
}
