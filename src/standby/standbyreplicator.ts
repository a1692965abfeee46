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

/** Interval of the owner's regular messages to its standby. */
const HEARTBEAT_INTERVAL_MS = 800;
const CHECK_INTERVAL_MS = 250;
/** A standby is evicted if messages stay unacknowledged this long, well before the owner's lease with it expires. */
const ACKNOWLEDGE_TIMEOUT_MS = 700;
/** A standby that is not in sync after this time is too slow to be useful and is evicted. */
const SYNC_TIMEOUT_MS = 20_000;
const HANDOVER_TIMEOUT_MS = 2500;
/** Delay before naming the first standby: if all nodes start together, the first one seen is not always the best. */
const INITIAL_DELAY_MS = 1500;
const STATUS_LOG_INTERVAL_MS = 15_000;

/** Functions of the shard's owner that the replicator depends on. */
export interface StandbyReplicatorHooks {
  /**
   * Whether the lease with the key-value store that the shard depends on is valid. The replicator checks the
   * lease with the standby itself.
   */
  holdsLease(): boolean;
  /** Returns the id of that lease, or null once it is no longer held. */
  leaseId(): number | null;
  /** Selects the standby node; returns null if no node is eligible. */
  chooseStandby(): string | null;
  /** Returns the preferred node of a shard that another node owns, if that node can stand by. */
  eligiblePreferredNode(): string | null;
  /** Returns the presence record of a node, or null if the node is absent. */
  presenceOf(node: string): LeaseHolder | null;
  /** Called when another node owns the shard. */
  onShardLost(): void;
  /** Called when announced starts, or other ones, may proceed. */
  requestPlan(): void;
}

/** Dependencies of a `StandbyReplicator`. */
export interface StandbyReplicatorOptions {
  readonly context: ControllerContext;
  readonly mesh: Mesh;
  readonly shard: number;
  /** Term of the owner: the revision of its key. */
  readonly term: number;
  readonly evictionBackoff: EvictionBackoff;
  readonly log: Log;
  readonly hooks: StandbyReplicatorHooks;
}

/** Reason for evicting a standby; logged as `why`. */
type EvictionReason = 'silent' | 'slow' | 'restarted' | 'home is back';

/** The currently named standby and its replication progress. */
interface StandbySlot {
  readonly node: string;
  /** Incarnation of the node's process that is named. */
  readonly incarnation: string;
  /** Revision of the key that names the standby. */
  readonly revision: number;
  readonly stream: ReplicationStream;
  readonly namedAt: number;
  /** Time at which the first message since the last acknowledgement was sent; null if none is unacknowledged. */
  unacknowledgedSince: number | null;
  lastSentAt: number;
  /** Whether a message is in flight; there is never more than one. */
  sending: boolean;
  inSync: boolean;
  /** Milliseconds since the key-value store last renewed the standby's lease, as of the standby's last response. */
  leaseRenewedAgoMs: number;
}

/**
 * The owner's side of one shard's standby. Names the standby, maintains the lease with it and its replica,
 * evicts it when it does not answer, and hands the shard over to it. The key-value store is accessed only when
 * the standby changes.
 */
export class StandbyReplicator {
  private ownerLease: OwnerLease = NO_STANDBY;
  private standby: StandbySlot | null = null;
  private source: ReplicationSource | null = null;
  private checks: PeriodicTask | null = null;
  private stopped = false;
  /** Whether a standby is being named or evicted. At most one such change is in progress. */
  private changeInProgress = false;
  private nameNotBefore = 0;
  private statusLoggedAt = 0;
  /** Number of changes to job records. The standby reads the records again when it increases. */
  private recordChanges = 0;
  /** Longest acknowledgement latency since the last status log line, in milliseconds. */
  private slowestAcknowledgementMs = 0;
  private readonly naming: StandbyNaming;

  constructor(private readonly options: StandbyReplicatorOptions) {
    const { context, shard, term, hooks } = options;
    this.naming = new StandbyNaming({ context, shard, term, onShardLost: () => hooks.onShardLost() });
  }

  /** Starts to name standbys and to replicate the state of `source` to them, until `stop` is called. */
  start(source: ReplicationSource): void {
    if (this.stopped) return;
    const { clock } = this.options.context;
    this.source = source;
    this.nameNotBefore = clock.now() + INITIAL_DELAY_MS;
    // Also runs during an outage of the key-value store: a standby that received no messages would take over
    // the shard when the store is available again.
    this.checks = startPeriodicTask(clock, CHECK_INTERVAL_MS, () => this.checkStandby(clock.now()));
  }

  /** Stops the replicator when this owner has ceased to act. */
  stop(): void {
    this.stopped = true;
    this.checks?.stop();
    this.standby?.stream.close(false);
  }

  /** Whether the lease with the standby, if one is bound, allows this owner to act now. */
  get leaseCovers(): boolean {
    return leaseCovers(this.ownerLease, this.options.context.clock.now());
  }

  /** Node that could take over at once with the complete replicated state; null if there is none. */
  get inSyncStandby(): string | null {
    const slot = this.standby;
    return slot?.inSync && slot.unacknowledgedSince === null ? slot.node : null;
  }

  /** Time since the key-value store last served the standby, in milliseconds; null if no standby is in sync. */
  get standbyLeaseRenewedAgoMs(): number | null {
    return this.inSyncStandby === null ? null : this.standby!.leaseRenewedAgoMs;
  }

  /** Notes that job records have changed in the key-value store. */
  recordsChanged(): void {
    this.recordChanges++;
  }

  /** Adds a record to the next message to the standby, if there is one. */
  replicate(record: ReplicationRecord): void {
    this.standby?.stream.add(record);
  }

  /**
   * Announces where tasks may be started, before their commands are sent. Returns null if the caller need not
   * wait. Otherwise the promise resolves to true once the commands may be sent, and to false if they must no
   * longer be sent. The announcement is sent at once and not with the next heartbeat.
   */
  announce(starts: readonly TaskStart[]): Promise<boolean> | null {
    const slot = this.standby;
    const cleared = slot?.stream.announce(starts) ?? null;
    if (slot && cleared && !slot.sending && !this.stopped) void this.send(slot);
    return cleared;
  }

  /** Restarts the stream with a new snapshot, for use after the owner's certain knowledge has grown considerably. */
  restartStream(): void {
    this.standby?.stream.begin();
  }

  /**
   * Hands the shard over to the standby in sync; the caller has permanently ceased to act. Returns true if the
   * standby has taken the shard, and false if it has not or the result is unknown.
   */
  async handOver(): Promise<boolean> {
    const slot = this.standby;
    if (!slot) return false;
    const message = writeHandoverMessage(this.addressOf(slot));
    try {
      const { mesh } = this.options;
      return (await mesh.request(slot.node, STANDBY_OPS.handOver, message, HANDOVER_TIMEOUT_MS)) === true;
    } catch (error) {
      this.options.log.info({ standby: slot.node, err: error }, 'handover failed: standby may own the shard');
      return false;
    }
  }

  private checkStandby(now: number): void {
    const slot = this.standby;
    if (!slot) {
      this.nameIfPossible(now);
      return;
    }
    if (now - this.statusLoggedAt > STATUS_LOG_INTERVAL_MS) this.logStatus(slot, now);
    const reason = this.evictionReason(slot, now);
    if (reason !== null) {
      if (!this.changeInProgress) void this.runExclusive(() => this.evict(slot, reason));
      return;
    }
    if (!slot.sending && (now - slot.lastSentAt >= HEARTBEAT_INTERVAL_MS || slot.stream.urgent))
      void this.send(slot);
  }

  private nameIfPossible(now: number): void {
    const { hooks } = this.options;
    const node = now >= this.nameNotBefore && hooks.holdsLease() ? hooks.chooseStandby() : null;
    if (node !== null && !this.changeInProgress) void this.runExclusive(() => this.nameStandby(node));
  }

  /** Returns the reason for evicting a standby, or null if it stays. No other reason justifies a change. */
  private evictionReason(slot: StandbySlot, now: number): EvictionReason | null {
    const { hooks } = this.options;
    const presence = hooks.presenceOf(slot.node);
    if (slot.unacknowledgedSince !== null && now - slot.unacknowledgedSince > ACKNOWLEDGE_TIMEOUT_MS)
      return 'silent';
    if (!slot.inSync && now - slot.namedAt > SYNC_TIMEOUT_MS) return 'slow';
    if (presence !== null && presence.incarnation !== slot.incarnation) return 'restarted';
    const preferredNode = hooks.eligiblePreferredNode();
    return preferredNode !== null && preferredNode !== slot.node ? 'home is back' : null;
  }

  /** Runs a change of the standby while no other may begin. After a failure it pauses; the periodic checks retry. */
  private async runExclusive(change: () => Promise<void>): Promise<void> {
    this.changeInProgress = true;
    try {
      await change();
    } catch (error) {
      this.options.log.debug({ err: error }, 'naming or evicting the standby failed: will be retried');
      await pause(this.options.context.clock, CHECK_INTERVAL_MS);
    } finally {
      this.changeInProgress = false;
    }
  }

  private async nameStandby(node: string): Promise<void> {
    const { context, hooks, log } = this.options;
    const presence = hooks.presenceOf(node);
    const lease = hooks.leaseId();
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

  /**
   * Evicts the standby. Once the deletion of its key is confirmed, the owner is no longer bound by a lease with
   * any standby.
   */
  private async evict(slot: StandbySlot, why: EvictionReason): Promise<void> {
    const removed = await this.naming.remove(slot.revision);
    if (!removed || this.standby !== slot) return;
    this.standby = null;
    this.ownerLease = onEvicted(this.ownerLease, slot.revision);
    slot.stream.close(true);
    const { context, evictionBackoff, hooks, log } = this.options;
    if (why !== 'home is back') evictionBackoff.onEvicted(slot.node, context.clock.now());
    log.info({ standby: slot.node, why }, 'standby evicted');
    hooks.requestPlan();
  }

  private addressOf(slot: StandbySlot): StandbyAddress {
    const { shard, term } = this.options;
    return { shard, term, revision: slot.revision, incarnation: slot.incarnation };
  }

  /** Sends the unacknowledged records, and sends again at once while something urgent is waiting. */
  private async send(slot: StandbySlot): Promise<void> {
    slot.sending = true;
    const { context, log, mesh } = this.options;
    const sentAt = context.clock.now();
    slot.lastSentAt = sentAt;
    slot.unacknowledgedSince ??= sentAt;
    this.ownerLease = onSend(this.ownerLease, slot.revision, sentAt);
    const message = writeReplicationMessage({
      ...this.addressOf(slot),
      ...slot.stream.batch(),
      recordChanges: this.recordChanges,
    });
    try {
      const response = readReplicationResponse(
        await mesh.request(slot.node, STANDBY_OPS.replicate, message, STANDBY_LEASE_MS),
      );
      if (!response || this.stopped || this.standby !== slot) return;
      this.acknowledge(slot, response, sentAt);
    } catch (error) {
      log.debug({ standby: slot.node, err: error }, 'replication request failed');
    } finally {
      slot.sending = false;
      if (!this.stopped && this.standby === slot && slot.unacknowledgedSince === null && slot.stream.urgent)
        void this.send(slot);
    }
  }

  /** Handles the standby's response to a message that was sent at `sentAt`. */
  private acknowledge(slot: StandbySlot, response: ReplicationResponse, sentAt: number): void {
    const { context, hooks, log } = this.options;
    this.ownerLease = onAcknowledged(this.ownerLease, slot.revision, sentAt);
    slot.unacknowledgedSince = null;
    slot.leaseRenewedAgoMs = response.leaseRenewedAgoMs;
    this.slowestAcknowledgementMs = Math.max(this.slowestAcknowledgementMs, context.clock.now() - sentAt);
    const wasUrgent = slot.stream.urgent;
    slot.stream.acknowledge(response.nextSequence);
    if (slot.stream.inSync && !slot.inSync) {
      slot.inSync = true;
      log.info({ standby: slot.node, ms: Math.round(context.clock.now() - slot.namedAt) }, 'standby in sync');
    }
    if (wasUrgent) hooks.requestPlan();
  }

  private logStatus(slot: StandbySlot, now: number): void {
    this.statusLoggedAt = now;
    this.options.log.info(
      {
        standby: slot.node,
        inSync: slot.inSync,
        unacknowledged: slot.stream.unacknowledged,
        streams: slot.stream.streams,
        slowestMs: Math.round(this.slowestAcknowledgementMs),
      },
      'standby status',
    );
    this.slowestAcknowledgementMs = 0;
  }
}
