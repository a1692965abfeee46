import { type Clock, MAX_CLOCK_DRIFT, pause } from '../clock/clock.js';
import { type PeriodicTask, startPacedTask } from '../clock/periodictask.js';
import type { Log } from '../config/log.js';
import { type LeaseHolder, readLeaseHolder } from '../schema/schema.js';
import type { StateStore } from '../state/statestore.js';
import type { NodeIdentity, Presence } from './presence.js';

/** Shares of the lease: how often a node renews it, and how long it waits for the answer. */
const RENEW_INTERVAL_SHARE = 1 / 4;
const RENEW_TIMEOUT_SHARE = 3 / 16;
const RETRY_MS = 400;
/** Beside drift, for clocks that are read in steps. */
const LEASE_MARGIN_MS = 150;

/** Clients and settings of the lease. */
export interface LeaseKeeperOptions {
  readonly clock: Clock;
  readonly store: StateStore;
  readonly log: Log;
  readonly identity: NodeIdentity;
  readonly presence: Presence;
  /** How long the lease lasts after each renewal, in milliseconds. */
  readonly leaseMs: number;
  /** Called when the lease is lost; everything that hung on it is then lost as well. */
  onLeaseLost(): void;
}

/** This node's lease in the key-value store: joined with, renewed, and for how long it surely lasts. */
export class LeaseKeeper {
  private currentLeaseId: number | null = null;
  private validUntil = Number.NEGATIVE_INFINITY;
  private renewedAt = Number.NEGATIVE_INFINITY;
  private renewalFailingSince: number | null = null;
  private left = false;
  private renewing: PeriodicTask | null = null;

  constructor(private readonly options: LeaseKeeperOptions) {}

  /** The lease that this node has joined with; null without one. It may have ended: see `holdsLease`. */
  get leaseId(): number | null {
    return this.currentLeaseId;
  }

  /** True while the lease surely lasts, counted from when its renewal was sent. */
  get holdsLease(): boolean {
    return this.currentLeaseId !== null && this.options.clock.now() < this.validUntil;
  }

  /** True while this very lease surely lasts. */
  holdsLeaseId(lease: number): boolean {
    return this.currentLeaseId === lease && this.holdsLease;
  }

  /** How this node shows itself in the keys that it holds. */
  get holder(): LeaseHolder {
    const { node, incarnation } = this.options.identity;
    return { node, incarnation, leaseId: this.currentLeaseId ?? 0 };
  }

  /**
   * Whether a key is this node's by the lease that it has now. A key that hung on an earlier lease is lost even while
   * this node's copy still shows it: the node must not act on it under its new lease.
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

  /** How long ago a renewal of the lease was sent that the key-value store has answered, in milliseconds. */
  get renewedAgoMs(): number {
    return this.options.clock.now() - this.renewedAt;
  }

  /** For how long no renewal has been answered, in milliseconds; 0 while they are. */
  get renewalFailingMs(): number {
    return this.renewalFailingSince === null ? 0 : this.options.clock.now() - this.renewalFailingSince;
  }

  /** Joins, however often it has to be tried, and keeps the lease renewed from then on. */
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
      if (!this.left) this.renewing = startPacedTask(clock, () => this.renew());
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

  /** Renews the lease, or joins anew without one; returns after how many milliseconds to do so again. */
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
    this.options.log.info('lease lost');
    this.drop();
    this.options.onLeaseLost();
  }

  private drop(): void {
    this.currentLeaseId = null;
    this.validUntil = Number.NEGATIVE_INFINITY;
  }

  /** Beside the renewals: a write that waits for its answer must not keep the lease from its next renewal. */
  private republishPresence(): void {
    const { log, presence } = this.options;
    if (presence.isPublished || this.currentLeaseId === null) return;
    void presence
      .publish(this.currentLeaseId)
      .catch((error) => log.debug({ err: error }, 'presence update failed'));
  }

  /**
   * Shows the others whether this node takes shards; what cannot be written now is written with a later renewal of the
   * lease. Throws `StateStoreError` when it is not known to be written.
   */
  async publishCordoned(cordoned: boolean): Promise<void> {
    this.options.presence.setCordoned(cordoned);
    if (this.currentLeaseId !== null) await this.options.presence.publish(this.currentLeaseId);
  }

  /** Gives up the lease and all that hangs on it, for good. */
  async leave(): Promise<void> {
    const lease = this.currentLeaseId;
    this.left = true;
    this.renewing?.stop();
    this.drop();
    if (lease !== null) await this.options.store.revoke(lease);
  }
}
