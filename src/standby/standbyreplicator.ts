import { pause } from '../clock/clock.js';
import { type PeriodicTask, startPeriodicTask } from '../clock/periodictask.js';
import type { Log } from '../config/log.js';
import type { ControllerContext } from '../context/context.js';
import type { Mesh } from '../peer/mesh.js';
import type { LeaseHolder } from '../schema/schema.js';
import {
  type ReplicationResponse,
  readReplicationResponse,
  STANDBY_OPS,
  type StandbyAddress,
  writeHandoverMessage,
  writeReplicationMessage,
} from './messages.js';
import type { ReplicationRecord } from './replicationrecord.js';
import { type ReplicationSource, ReplicationStream, type TaskStart } from './replicationstream.js';
import {
  leaseCovers,
  NO_STANDBY,
  type OwnerLease,
  onAcknowledged,
  onEvicted,
  onSend,
  STANDBY_LEASE_MS,
} from './standbylease.js';
import { StandbyNaming } from './standbynaming.js';
import type { EvictionBackoff } from './standbyselection.js';

/** The owner's regular messages to its standby. */
const HEARTBEAT_INTERVAL_MS = 800;
const CHECK_INTERVAL_MS = 250;
/** A standby that has acknowledged nothing sent since this long ago is evicted, well before the owner's lease with it ends. */
const ACKNOWLEDGE_TIMEOUT_MS = 700;
/** A standby that is not in sync after so long is too slow to be of use. */
const SYNC_TIMEOUT_MS = 20_000;
const HANDOVER_TIMEOUT_MS = 2500;
/** When all nodes come up together, the first to be seen is not always the best. */
const INITIAL_DELAY_MS = 1500;
const STATUS_LOG_INTERVAL_MS = 15_000;

/** What the owner of a shard knows and does for its replicator. */
export interface StandbyReplicatorHooks {
  /** Whether the state lease lasts that the shard hangs on; the lease with the standby is the replicator's own. */
  holdsLease(): boolean;
  /** The id of that lease; null once it is no longer held. */
  lease(): number | null;
  /** Who should stand by; null when nobody can. */
  chooseStandby(): string | null;
  /** The home node of a shard that is away from home, when it can stand by. */
  eligibleHomeNode(): string | null;
  /** How a node that is present has shown itself. */
  presenceOf(node: string): LeaseHolder | null;
  /** Somebody else has the shard. */
  onShardLost(): void;
  /** Starts announced before this, or others, may go on. */
  requestPlan(): void;
}

/** What a `StandbyReplicator` is made of. */
export interface StandbyReplicatorOptions {
  readonly context: ControllerContext;
  readonly mesh: Mesh;
  readonly shard: number;
  /** The owner's term: the revision of its key. */
  readonly term: number;
  readonly evictionBackoff: EvictionBackoff;
  readonly log: Log;
  readonly hooks: StandbyReplicatorHooks;
}

/** Why a standby is evicted; logged as `why`. */
type EvictionReason = 'silent' | 'slow' | 'restarted' | 'home is back';

/** The standby that is named now, and how far it has followed. */
interface StandbySlot {
  readonly node: string;
  /** Which run of the node's process is named. */
  readonly incarnation: string;
  /** Revision of the key that names it. */
  readonly revision: number;
  readonly stream: ReplicationStream;
  readonly namedAt: number;
  /** Nothing of what was sent since then is acknowledged; null when all is. */
  unacknowledgedSince: number | null;
  lastSentAt: number;
  /** A message is under way; there is never more than one. */
  sending: boolean;
  inSync: boolean;
  /** How long ago the key-value store had last renewed its lease when it last answered, in milliseconds. */
  leaseRenewedAgoMs: number;
}

/**
 * The owner's side of one shard's standby: names it, keeps the lease with it and its replica alive, evicts it when it does
 * not answer, and hands over to it. Requests to the key-value store are made only when the standby changes.
 */
export class StandbyReplicator {
  private ownerLease: OwnerLease = NO_STANDBY;
  private standby: StandbySlot | null = null;
  private source: ReplicationSource | null = null;
  private checks: PeriodicTask | null = null;
  private stopped = false;
  /** A standby is being named or evicted; there is never more than one such change under way. */
  private changing = false;
  private nameNotBefore = 0;
  private statusLoggedAt = 0;
  /** Changes of job records, counted: the standby reads them when there were some. */
  private recordChanges = 0;
  /** The longest that an acknowledgement took since that was last logged, in milliseconds. */
  private slowestAcknowledgementMs = 0;
  private readonly naming: StandbyNaming;

  constructor(private readonly options: StandbyReplicatorOptions) {
    const { context, shard, term, hooks } = options;
    this.naming = new StandbyNaming({ context, shard, term, onShardLost: () => hooks.onShardLost() });
  }

  /** Begins to name standbys and to replicate to them what `source` knows, until `stop`. */
  start(source: ReplicationSource): void {
    if (this.stopped) return;
    const { clock } = this.options.context;
    this.source = source;
    this.nameNotBefore = clock.now() + INITIAL_DELAY_MS;
    // Also while the key-value store is out: a standby that heard nothing would take the shard when it is back.
    this.checks = startPeriodicTask(clock, CHECK_INTERVAL_MS, () => this.checkStandby(clock.now()));
  }

  /** This owner acts no more. */
  stop(): void {
    this.stopped = true;
    this.checks?.stop();
    this.standby?.stream.close(false);
  }

  /** Whether the lease with the standby, if one is bound, lets this owner act now. */
  get leaseCovers(): boolean {
    return leaseCovers(this.ownerLease, this.options.context.clock.now());
  }

  /** The node that could take over at once, with all that is known here. */
  get inSyncStandby(): string | null {
    const s = this.standby;
    return s?.inSync && s.unacknowledgedSince === null ? s.node : null;
  }

  /** How long ago the key-value store last served the standby, in milliseconds; null without one that is in sync. */
  get standbyLeaseRenewedAgoMs(): number | null {
    return this.inSyncStandby === null ? null : this.standby!.leaseRenewedAgoMs;
  }

  /** Records of jobs have changed in the key-value store. */
  recordsChanged(): void {
    this.recordChanges++;
  }

  /** Adds a record to the next message to the standby, if there is one. */
  replicate(record: ReplicationRecord): void {
    this.standby?.stream.add(record);
  }

  /**
   * Says where tasks may be started before their orders are sent. Null when nothing has to be waited for; else true once they
   * may be sent, false when they must not be any more. The standby hears of it now and not with the next regular message.
   */
  announce(starts: readonly TaskStart[]): Promise<boolean> | null {
    const s = this.standby;
    const cleared = s?.stream.announce(starts) ?? null;
    if (s && cleared && !s.sending && !this.stopped) void this.send(s);
    return cleared;
  }

  /** The stream begins anew: what is sure has become much more. */
  restartStream(): void {
    this.standby?.stream.begin();
  }

  /**
   * Hands the shard to the standby in sync; the caller has ceased to act for good. True when the standby has taken it, false
   * when it has not or that is not known.
   */
  async handOver(): Promise<boolean> {
    const s = this.standby;
    if (!s) return false;
    const message = writeHandoverMessage(this.addressOf(s));
    try {
      const { mesh } = this.options;
      return (await mesh.request(s.node, STANDBY_OPS.handOver, message, HANDOVER_TIMEOUT_MS)) === true;
    } catch (error) {
      this.options.log.info({ standby: s.node, err: error }, 'handover not answered');
      return false;
    }
  }

  private checkStandby(now: number): void {
    const s = this.standby;
    if (!s) {
      this.nameIfPossible(now);
      return;
    }
    if (now - this.statusLoggedAt > STATUS_LOG_INTERVAL_MS) this.logStatus(s, now);
    const reason = this.evictionReason(s, now);
    if (reason !== null) {
      if (!this.changing) void this.runExclusive(() => this.evict(s, reason));
      return;
    }
    if (!s.sending && (now - s.lastSentAt >= HEARTBEAT_INTERVAL_MS || s.stream.urgent)) void this.send(s);
  }

  private nameIfPossible(now: number): void {
    const { hooks } = this.options;
    const node = now >= this.nameNotBefore && hooks.holdsLease() ? hooks.chooseStandby() : null;
    if (node !== null && !this.changing) void this.runExclusive(() => this.nameStandby(node));
  }

  /** Why a standby has to go; null when it stays. No other reason is worth a change. */
  private evictionReason(s: StandbySlot, now: number): EvictionReason | null {
    const { hooks } = this.options;
    const presence = hooks.presenceOf(s.node);
    if (s.unacknowledgedSince !== null && now - s.unacknowledgedSince > ACKNOWLEDGE_TIMEOUT_MS)
      return 'silent';
    if (!s.inSync && now - s.namedAt > SYNC_TIMEOUT_MS) return 'slow';
    if (presence !== null && presence.incarnation !== s.incarnation) return 'restarted';
    const home = hooks.eligibleHomeNode();
    return home !== null && home !== s.node ? 'home is back' : null;
  }

  /** Runs a change of the standby while no other may begin; one that failed is paused after, and tried again by the checks. */
  private async runExclusive(change: () => Promise<void>): Promise<void> {
    this.changing = true;
    try {
      await change();
    } catch (error) {
      this.options.log.debug({ err: error }, 'standby change failed');
      await pause(this.options.context.clock, CHECK_INTERVAL_MS);
    } finally {
      this.changing = false;
    }
  }

  private async nameStandby(node: string): Promise<void> {
    const { context, hooks, log } = this.options;
    const presence = hooks.presenceOf(node);
    const lease = hooks.lease();
    if (!presence || lease === null) return;
    const revision = await this.naming.name(node, presence, lease);
    if (revision === null || this.stopped || !this.source) return;
    this.standby = {
      node,
      incarnation: presence.incarnation,
      revision,
      stream: new ReplicationStream(this.source),
      namedAt: context.clock.now(),
      unacknowledgedSince: null,
      lastSentAt: Number.NEGATIVE_INFINITY,
      sending: false,
      inSync: false,
      leaseRenewedAgoMs: Number.POSITIVE_INFINITY,
    };
    log.info({ standby: node }, 'standby named');
  }

  /** From when this is known to be done, the owner is bound by nothing. */
  private async evict(s: StandbySlot, why: EvictionReason): Promise<void> {
    const removed = await this.naming.remove(s.revision);
    if (!removed || this.standby !== s) return;
    this.standby = null;
    this.ownerLease = onEvicted(this.ownerLease, s.revision);
    s.stream.close(true);
    const { context, evictionBackoff, hooks, log } = this.options;
    if (why !== 'home is back') evictionBackoff.onEvicted(s.node, context.clock.now());
    log.info({ standby: s.node, why }, 'standby evicted');
    hooks.requestPlan();
  }

  private addressOf(s: StandbySlot): StandbyAddress {
    const { shard, term } = this.options;
    return { shard, term, revision: s.revision, incarnation: s.incarnation };
  }

  /** Sends what is not acknowledged yet, and again at once while something urgent waits. */
  private async send(s: StandbySlot): Promise<void> {
    s.sending = true;
    const { context, log, mesh } = this.options;
    const sentAt = context.clock.now();
    s.lastSentAt = sentAt;
    s.unacknowledgedSince ??= sentAt;
    this.ownerLease = onSend(this.ownerLease, s.revision, sentAt);
    const message = writeReplicationMessage({
      ...this.addressOf(s),
      ...s.stream.batch(),
      recordChanges: this.recordChanges,
    });
    try {
      const response = readReplicationResponse(
        await mesh.request(s.node, STANDBY_OPS.replicate, message, STANDBY_LEASE_MS),
      );
      if (!response || this.stopped || this.standby !== s) return;
      this.acknowledge(s, response, sentAt);
    } catch (error) {
      log.debug({ standby: s.node, err: error }, 'replication request failed');
    } finally {
      s.sending = false;
      if (!this.stopped && this.standby === s && s.unacknowledgedSince === null && s.stream.urgent)
        void this.send(s);
    }
  }

  /** The standby has answered a message that was sent at `sentAt`. */
  private acknowledge(s: StandbySlot, response: ReplicationResponse, sentAt: number): void {
    const { context, hooks, log } = this.options;
    this.ownerLease = onAcknowledged(this.ownerLease, s.revision, sentAt);
    s.unacknowledgedSince = null;
    s.leaseRenewedAgoMs = response.leaseRenewedAgoMs;
    this.slowestAcknowledgementMs = Math.max(this.slowestAcknowledgementMs, context.clock.now() - sentAt);
    const wasUrgent = s.stream.urgent;
    s.stream.acknowledge(response.nextSequence);
    if (s.stream.inSync && !s.inSync) {
      s.inSync = true;
      log.info({ standby: s.node, ms: Math.round(context.clock.now() - s.namedAt) }, 'standby in sync');
    }
    if (wasUrgent) hooks.requestPlan();
  }

  private logStatus(s: StandbySlot, now: number): void {
    this.statusLoggedAt = now;
    this.options.log.info(
      {
        standby: s.node,
        inSync: s.inSync,
        unacknowledged: s.stream.unacknowledged,
        streams: s.stream.streams,
        slowestMs: Math.round(this.slowestAcknowledgementMs),
      },
      'standby status',
    );
    this.slowestAcknowledgementMs = 0;
  }
}
