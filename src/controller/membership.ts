import { ChangeFeed } from '../changefeed/changefeed.js';
import type { Present } from '../changefeed/sourceorder.js';
import { type Clock, DRIFT, pause } from '../clock/clock.js';
import type { Log } from '../config/log.js';
import { type Holder, KEYS, readHolder } from '../schema/schema.js';
import { StateFailure, type StateStore } from '../state/statestore.js';
import type { Condition, Write } from '../wire/state.js';
import { Mirror } from './clusterstatecache.js';

/** Of its lease, when a node renews it, and how long it waits for the answer. */
const RENEW_SHARE = 1 / 4;
const RENEW_WAIT_SHARE = 3 / 16;
const RETRY_MS = 400;
const MARGIN_MS = 150;
/** A node whose renewals have not been answered for so long passes no changes on. */
const UNSERVED_MS = 1000;

/**
 * This node's lease in the state service and what hangs on it: its presence, the shards it owns and, for one node,
 * the leadership.
 */
export class Members {
  readonly mirror: Mirror;
  /** Where the copy of the keys gets its changes. */
  readonly feed: ChangeFeed;
  private lease: number | null = null;
  private validUntil = Number.NEGATIVE_INFINITY;
  private left = false;
  /** Whether this node takes no shards, and whether its presence is sure to say so. */
  private isWithdrawn = false;
  private shown = false;
  private renewedAt = Number.NEGATIVE_INFINITY;
  private failingSince: number | null = null;
  /** Who takes a shard that this node has handed over, until the copy shows more than this node's own term. */
  private readonly successors = new Map<number, { owner: Holder; term: number }>();
  /** Owners as the nodes themselves have told, where that is newer than what this copy shows. */
  private readonly told = new Map<number, { owner: Holder; term: number }>();

  constructor(
    private readonly clock: Clock,
    private readonly store: StateStore,
    private readonly node: string,
    private readonly run: string,
    private readonly log: Log,
    onChange: Mirror['entries'] extends Map<string, infer E> ? (key: string, entry: E | null) => void : never,
    private readonly onLost: () => void,
    /** Which version of records and messages this node understands. */
    private readonly speaks: number,
    /** Whether this node stands by for shards. */
    private readonly stands: boolean,
    /** How long its lease lasts, in milliseconds. */
    private readonly leaseMs: number,
    regionOf: (node: string) => string,
    /** Its even part of the state service's requests, a second. */
    requestsPart: number,
  ) {
    this.feed = new ChangeFeed(clock, store, log, {
      node,
      prefix: KEYS.cluster,
      regionOf,
      requestsPart,
      present: () => this.feeding(),
      served: () => this.failingMs < UNSERVED_MS,
    });
    this.mirror = new Mirror(clock, this.feed, KEYS.cluster, log, onChange);
  }

  /** Nodes that are present and pass changes on. */
  private feeding(): Present[] {
    const present: Present[] = [];
    for (const [key, e] of this.mirror.entries) {
      if (!key.startsWith(KEYS.nodes)) continue;
      const holder = readHolder(e.value);
      if (holder?.feeds) present.push({ node: holder.node, version: e.version });
    }
    return present;
  }

  /** True while the lease surely lasts, counted from when its renewal was sent. */
  get valid(): boolean {
    return this.lease !== null && this.clock.now() < this.validUntil;
  }

  /**
   * Whether a key is this node's by the lease that it has now. A key that hung on an earlier lease is lost even while
   * this copy still shows it: the node must not act on it under its new lease.
   */
  holds(value: unknown): boolean {
    const h = readHolder(value);
    return h !== null && h.run === this.run && this.lease !== null && h.lease === this.lease;
  }

  /** True while this very lease surely lasts. */
  validUnder(lease: number): boolean {
    return this.lease === lease && this.valid;
  }

  get leaseId(): number | null {
    return this.lease;
  }

  get holder(): Holder {
    return { node: this.node, run: this.run, lease: this.lease ?? 0 };
  }

  private get presence(): Holder {
    return {
      ...this.holder,
      speaks: this.speaks,
      feeds: true,
      ...(this.stands && { stands: true }),
      ...(this.isWithdrawn && { aside: true }),
    };
  }

  /**
   * Whether every one of these nodes understands a version. A node that is there says so itself, so that one that came back
   * with an older version counts as that; of one that is away, the last that it said counts.
   */
  allSpeak(nodes: readonly string[], level: number): boolean {
    return nodes.every((n) => {
      if (this.present(n)) return (this.presenceOf(n)?.speaks ?? 1) >= level;
      const said = this.mirror.entries.get(KEYS.speaks(n))?.value;
      return typeof said === 'number' && said >= level;
    });
  }

  /** Says for good what this node understands. */
  private async tellProtocolVersion(): Promise<void> {
    const key = KEYS.speaks(this.node);
    try {
      const known = await this.store.get(key);
      if (known?.value === this.speaks) return;
      // A copy that comes late finds what a later version has said.
      const when = [{ key, version: known?.version ?? 0 }];
      const told = await this.store.txn(when, [{ put: key, value: this.speaks }]);
      if (!told.ok) throw new StateFailure('something else was said meanwhile', false);
    } catch (error) {
      this.log.info({ error: String(error) }, 'protocol version not told');
      this.clock.after(RETRY_MS * 5, () => void this.tellProtocolVersion());
    }
  }

  owner(shard: number): Holder | null {
    const e = this.mirror.entries.get(KEYS.owner(shard));
    const successor = this.successors.get(shard);
    if (successor && (e?.version ?? 0) <= successor.term) return successor.owner;
    const told = this.told.get(shard);
    if (told && (e?.version ?? 0) < told.term) return told.owner;
    return e ? readHolder(e.value) : null;
  }

  /**
   * A node says that a shard is its own. Terms are revisions, so the larger one is the newer; a node that is cut off from
   * the state service learns of the next owner in no other way. It serves as a hint, as the copy does.
   */
  hearOwner(shard: number, owner: Holder, term: number): void {
    if (term > (this.told.get(shard)?.term ?? 0)) this.told.set(shard, { owner, term });
  }

  /** A shard is handed over under a term; null: to nobody after all. */
  handing(shard: number, to: Holder | null, term: number): void {
    if (to) this.successors.set(shard, { owner: to, term });
    else this.successors.delete(shard);
  }

  /** The node that this one has handed a shard to, as long as nothing newer is known. */
  successor(shard: number): Holder | null {
    const s = this.successors.get(shard);
    return s && this.owner(shard) === s.owner ? s.owner : null;
  }

  /** How a node that is there has shown itself. */
  presenceOf(node: string): Holder | null {
    const e = this.mirror.entries.get(KEYS.node(node));
    return e ? readHolder(e.value) : null;
  }

  /** How long ago a renewal of the lease was sent that the state service has answered. */
  get renewedAgoMs(): number {
    return this.clock.now() - this.renewedAt;
  }

  /** For how long no renewal has been answered; 0 while they are. */
  get failingMs(): number {
    return this.failingSince === null ? 0 : this.clock.now() - this.failingSince;
  }

  /** Whether what is known of a shard's owner comes from that owner. */
  heard(shard: number): boolean {
    return this.told.has(shard);
  }

  /** What the nodes have told is of no more use than what the state service shows afterwards. */
  ownerChanged(shard: number): void {
    const e = this.mirror.entries.get(KEYS.owner(shard));
    if (!e || e.version >= (this.told.get(shard)?.term ?? 0)) this.told.delete(shard);
    if (e && e.version > (this.successors.get(shard)?.term ?? 0)) this.successors.delete(shard);
  }

  leader(): string | null {
    const e = this.mirror.entries.get(KEYS.leader);
    return (e && readHolder(e.value)?.node) ?? null;
  }

  present(node: string): boolean {
    return this.mirror.entries.has(KEYS.node(node));
  }

  /** Whether a node leaves its shards to others. */
  withdrawn(node: string): boolean {
    return this.presenceOf(node)?.aside === true;
  }

  /** Tells the others whether this node takes shards; what cannot be told now is told with a later renewal of the lease. */
  async tellWithdrawn(withdrawn: boolean): Promise<void> {
    this.isWithdrawn = withdrawn;
    this.shown = false;
    if (this.lease !== null) await this.show(this.lease);
  }

  /**
   * Writes this node's presence, in place of what is known to be there only: a copy that the network delivers late would bring back
   * the presence of a lease that ends, and the node would be absent for good.
   */
  private async show(lease: number): Promise<void> {
    const key = KEYS.node(this.node);
    const value = { ...this.presence, lease };
    const version = (await this.store.get(key))?.version ?? 0;
    try {
      const written = await this.store.txn([{ key, version }], [{ put: key, value, lease }], true);
      this.shown = written.ok;
    } catch (error) {
      if (!(error instanceof StateFailure) || !error.maybe) throw error;
      const stored = await this.store.get(key);
      this.shown = JSON.stringify(stored && readHolder(stored.value)) === JSON.stringify(readHolder(value));
    }
    if (!this.shown) throw new StateFailure('presence is not decided', true);
    if (value.aside !== this.presence.aside) this.shown = false;
  }

  async start(): Promise<void> {
    void this.mirror.run();
    for (;;) {
      try {
        await this.endFormerRun();
        await this.join();
        break;
      } catch (error) {
        this.log.info({ error: String(error) }, 'joining failed');
        await pause(this.clock, RETRY_MS);
      }
    }
    void this.keep();
    void this.tellProtocolVersion();
  }

  /** A run of this node before this one is dead: its lease need not be waited out. */
  private async endFormerRun(): Promise<void> {
    const former = await this.store.get(KEYS.node(this.node));
    const holder = former && readHolder(former.value);
    if (holder && holder.run !== this.run) await this.store.revoke(holder.lease);
  }

  private async join(): Promise<void> {
    const sent = this.clock.now();
    const lease = await this.store.grant(this.leaseMs);
    await this.show(lease);
    this.lease = lease;
    this.extend(sent);
  }

  private extend(sent: number): void {
    this.validUntil = Math.max(this.validUntil, sent + this.leaseMs * (1 - 2 * DRIFT) - MARGIN_MS);
    this.renewedAt = Math.max(this.renewedAt, sent);
    this.failingSince = null;
  }

  /** Gives up the lease and all that hangs on it, for good. */
  async leave(): Promise<void> {
    const lease = this.lease;
    this.left = true;
    this.lease = null;
    this.validUntil = Number.NEGATIVE_INFINITY;
    if (lease !== null) await this.store.revoke(lease);
  }

  private async keep(): Promise<void> {
    const renewMs = this.leaseMs * RENEW_SHARE;
    let wait = renewMs;
    for (;;) {
      await pause(this.clock, wait);
      if (this.left) return;
      wait = RETRY_MS;
      const begun = this.clock.now();
      try {
        if (this.lease === null) {
          await this.join();
          wait = renewMs;
          continue;
        }
        const sent = this.clock.now();
        if (await this.store.renew(this.lease, this.leaseMs * RENEW_WAIT_SHARE)) {
          this.extend(sent);
          wait = renewMs;
          // Beside it: a write that waits for its answer must not keep the lease from its next renewal.
          if (!this.shown)
            void this.show(this.lease).catch((error) =>
              this.log.debug({ error: String(error) }, 'presence not told'),
            );
        } else {
          this.log.info('lease lost');
          this.lease = null;
          this.validUntil = Number.NEGATIVE_INFINITY;
          this.onLost();
          wait = 0;
        }
      } catch (error) {
        this.failingSince ??= begun;
        this.log.debug({ error: String(error) }, 'renewal failed');
      }
    }
  }

  /** Tries to take a key that nobody holds; returns its version, the term, when this node has it. */
  async claim(key: string): Promise<number | null> {
    try {
      return await this.replace(key, 0, [], []);
    } catch (error) {
      this.log.debug({ key, error: String(error) }, 'claim failed');
      return null;
    }
  }

  /**
   * Takes a key at a version, with further conditions and writes in the same transaction. Returns the key's new version when
   * this node has it under its present lease, null when it surely has not and never will by this try; throws `StateFailure`
   * when the state service did not say.
   */
  async replace(key: string, version: number, when: Condition[], writes: Write[]): Promise<number | null> {
    // Not null: an earlier try that got no answer may still be applied.
    if (!this.valid || this.lease === null) throw new StateFailure('no lease', false);
    const lease = this.lease;
    try {
      const own = { put: key, value: this.holder, lease };
      const result = await this.store.txn([{ key, version }, ...when], [own, ...writes], version > 0);
      if (result.ok) {
        this.mirror.apply({ key, value: { ...this.holder, lease }, version: result.revision });
        return this.lease === lease ? result.revision : null;
      }
      if (!result.failed.includes(key)) return null;
    } catch (error) {
      if (!(error instanceof StateFailure) || !error.maybe) throw error;
    }
    const e = await this.store.get(key);
    const holder = e && readHolder(e.value);
    if (!e || !holder) {
      if (version > 0 && !e) return null;
      throw new StateFailure(`${key} is not decided`, true);
    }
    this.mirror.apply(e);
    if (e.version === version) throw new StateFailure(`${key} is not decided`, true);
    return this.holds(e.value) ? e.version : null;
  }
}
