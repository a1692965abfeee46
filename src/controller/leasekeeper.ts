import { type Clock, MAX_CLOCK_DRIFT, pause } from '../clock/clock.js';
import { type PeriodicTask, startPacedTask } from '../clock/periodictask.js';
import type { Log } from '../config/log.js';
import { type LeaseHolder, readLeaseHolder } from '../schema/schema.js';
import type { StateStore } from '../state/statestore.js';
import type { NodeIdentity, Presence } from './presence.js';

/** Renewal interval and renewal time-out, as fractions of the lease duration. */
const RENEW_INTERVAL_SHARE = 1 / 4;
const RENEW_TIMEOUT_SHARE = 3 / 16;
const RETRY_MS = 400;
/** Safety margin in addition to clock drift, for clocks of coarse resolution. */
const LEASE_MARGIN_MS = 150;

/** Dependencies and settings of `LeaseKeeper`. */
export interface LeaseKeeperOptions {
  readonly clock: Clock;
  readonly store: StateStore;
  readonly log: Log;
  readonly identity: NodeIdentity;
  readonly presence: Presence;
  /** Duration of the lease after each renewal, in milliseconds. */
  readonly leaseMs: number;
  /** Called when the lease is lost; all keys attached to it are then lost as well. */
  onLeaseLost(): void;
}

/**
 * Acquires and renews this node's lease in the key-value store, and tracks until when the lease is guaranteed to be
 * valid.
 */
export class LeaseKeeper {
  private currentLeaseId: number | null = null;
  private validUntil = Number.NEGATIVE_INFINITY;
  private renewedAt = Number.NEGATIVE_INFINITY;
  private renewalFailingSince: number | null = null;
  private hasLeft = false;
  private renewalTask: PeriodicTask | null = null;

  constructor(private readonly options: LeaseKeeperOptions) {}

  /**
   * Id of the lease under which this node joined; null when there is none. The lease may have expired: see
   * `holdsLease`.
   */
  get leaseId(): number | null {
    return this.currentLeaseId;
  }

  /** Whether the lease is guaranteed to be valid, counted from when its last answered renewal was sent. */
  get holdsLease(): boolean {
    return this.currentLeaseId !== null && this.options.clock.now() < this.validUntil;
  }

  /** Whether the lease with this id is the current one and guaranteed to be valid. */
  holdsLeaseId(lease: number): boolean {
    return this.currentLeaseId === lease && this.holdsLease;
  }

  /** The value that identifies this node in the keys that it holds. */
  get holder(): LeaseHolder {
    const { node, incarnation } = this.options.identity;
    return { node, incarnation, leaseId: this.currentLeaseId ?? 0 };
  }

  /**
   * Returns whether a key is held by this node under its current lease. A key that was attached to an earlier lease
   * is lost even while this node's cache still shows it, so the node must not act on it under its new lease.
   */
  isHeldHere(value: unknown): boolean {
    const holder = readLeaseHolder(value);
    return (
      holder !== null &&
      holder.incarnation === this.options.identity.incarnation &&
      this.currentLeaseId !== null &&
      holder.leaseId === this.currentLeaseId
    );
  }

  /** Time since the last answered renewal or grant of the lease was sent, in milliseconds. */
  get renewedAgoMs(): number {
    return this.options.clock.now() - this.renewedAt;
  }

  /** Time for which renewals have been failing, in milliseconds; 0 when the last one succeeded. */
  get renewalFailingMs(): number {
    return this.renewalFailingSince === null ? 0 : this.options.clock.now() - this.renewalFailingSince;
  }

  /** Joins the cluster, retrying until it succeeds, and then keeps the lease renewed. */
  async start(): Promise<void> {
    const { clock, log, presence } = this.options;
    for (;;) {
      try {
        await presence.revokeFormerIncarnation();
        await this.join();
        break;
      } catch (error) {
        log.info({ err: error }, 'cluster join failed');
        await pause(clock, RETRY_MS);
      }
    }
    clock.after(this.renewIntervalMs, () => {
      if (!this.hasLeft) this.renewalTask = startPacedTask(clock, () => this.renew());
    });
  }

  private get renewIntervalMs(): number {
    return this.options.leaseMs * RENEW_INTERVAL_SHARE;
  }

  private async join(): Promise<void> {
    const { clock, store, presence, leaseMs } = this.options;
    const sentAt = clock.now();
    const lease = await store.grant(leaseMs);
    await presence.publish(lease);
    this.currentLeaseId = lease;
    this.extend(sentAt);
  }

  private extend(sentAt: number): void {
    const lastsMs = this.options.leaseMs * (1 - 2 * MAX_CLOCK_DRIFT) - LEASE_MARGIN_MS;
    this.validUntil = Math.max(this.validUntil, sentAt + lastsMs);
    this.renewedAt = Math.max(this.renewedAt, sentAt);
    this.renewalFailingSince = null;
  }

  /** Renews the lease, or joins again when there is none. Returns the delay until the next call, in milliseconds. */
  private async renew(): Promise<number> {
    const { clock, store, log, leaseMs } = this.options;
    const startedAt = clock.now();
    try {
      if (this.currentLeaseId === null) {
        await this.join();
        return this.renewIntervalMs;
      }
      const sentAt = clock.now();
      if (!(await store.renew(this.currentLeaseId, leaseMs * RENEW_TIMEOUT_SHARE))) {
        this.onLost();
        return 0;
      }
      this.extend(sentAt);
      this.republishPresence();
      return this.renewIntervalMs;
    } catch (error) {
      this.renewalFailingSince ??= startedAt;
      log.debug({ err: error }, 'lease renewal failed');
      return RETRY_MS;
    }
  }

  private onLost(): void {
    this.options.log.info('lease lost: stopping all owned shards');
    this.drop();
    this.options.onLeaseLost();
  }

  private drop(): void {
    this.currentLeaseId = null;
    this.validUntil = Number.NEGATIVE_INFINITY;
  }

  /**
   * Publishes the presence again if it is out of date. Runs concurrently with the renewals, because a write that
   * waits for its answer must not delay the next renewal of the lease.
   */
  private republishPresence(): void {
    const { log, presence } = this.options;
    if (presence.isPublished || this.currentLeaseId === null) return;
    void presence
      .publish(this.currentLeaseId)
      .catch((error) => log.debug({ err: error }, 'presence update failed'));
  }

  /**
   * Publishes to the other nodes whether this node is cordoned. A write that fails is retried with a later renewal of
   * the lease. Throws `StateStoreError` when the write is not confirmed.
   */
  async publishCordoned(cordoned: boolean): Promise<void> {
    this.options.presence.setCordoned(cordoned);
    if (this.currentLeaseId !== null) await this.options.presence.publish(this.currentLeaseId);
  }

  /** Revokes the lease and with it all keys attached to it, permanently. */
  async leave(): Promise<void> {
    const lease = this.currentLeaseId;
    this.hasLeft = true;
    this.renewalTask?.stop();
    this.drop();
    if (lease !== null) await this.options.store.revoke(lease);
  }
}
