import type { Log } from '../config/log.js';
import type { LoadedJob } from '../jobs/records.js';
import type { JobRecordReplica } from './jobrecordreplica.js';
import { type ReplicationResponse, readHandoverMessage, readReplicationMessage } from './messages.js';
import { type ReplicaSnapshot, ShardReplica } from './shardreplica.js';
import {
  mayClaim,
  onClaim,
  onMessage,
  onRelease,
  type ReplicaState,
  STANDBY_LEASE_MS,
} from './standbylease.js';

const MIN_CHECK_INTERVAL_MS = 125;
/**
 * An owner that answers nothing may only be slow, or stand still for a moment, and to take its shard over costs more than to
 * wait a little longer; one whose connections are refused is over as soon as its promise is.
 */
const OWNER_SILENT_MS = 3500;
const CLAIM_RETRY_MS = 200;

export interface StandbyReplicasHooks {
  now(): number;
  after(ms: number, run: () => void): void;
  incarnation: string;
  /** Whether this node may take shards: its lease lasts, it knows the keys, the workers reach it. */
  mayTakeOver(): boolean;
  /** Whether connections to a node are refused. */
  refused(node: string): boolean;
  /** Versions of a shard's owner key and standby key as this node's copy shows them, and how new that copy is. */
  cachedVersions(shard: number): { owner: number; standby: number; revision: number };
  /** How long ago the state service last renewed this node's lease. */
  leaseRenewedAgoMs(): number;
  /** Replaces the owner's key: the new term; null when that surely failed for good; throws when it may be tried again. */
  claim(shard: number, term: number, revision: number): Promise<number | null>;
  /** The shard is this node's. */
  onTakeover(shard: number, term: number, from: TakeoverState): void;
}

/** What comes with a shard that was taken over. */
export interface TakeoverState {
  snapshot: ReplicaSnapshot;
  /** Its unfinished jobs with all changes up to a revision; null when they are to be read anew. */
  jobs(revision: number): Promise<{ jobs: LoadedJob[]; changes: number } | null>;
  /** The former owner has said that it acts no more. */
  released: boolean;
  owner: string;
}

interface ReplicatedShard {
  state: ReplicaState;
  owner: string;
  replica: ShardReplica;
  changes: number;
  claiming: boolean;
  claimAt: number;
}

/** The standby's side, for all shards that this node stands by for: follows them, and claims when a promise is over. */
export class StandbyReplicas {
  private readonly shards = new Map<number, ReplicatedShard>();

  constructor(
    private readonly records: JobRecordReplica,
    private readonly log: Log,
    private readonly hooks: StandbyReplicasHooks,
  ) {}

  start(): void {
    this.loop();
  }

  /** How many shards this node stands by for. */
  get count(): number {
    return this.shards.size;
  }

  /** A message of an owner; null when it is not answered. */
  onReplicationMessage(args: unknown, from: string): ReplicationResponse | null {
    const m = readReplicationMessage(args);
    // A run of this node before this one may have sent a claim that is still under way: it is not this one's to answer for.
    if (!m || m.run !== this.hooks.incarnation) return null;
    const known = this.shards.get(m.shard);
    // A former owner that does not know yet that it is none.
    if (!known && this.isOver(m.shard, m.term, m.revision)) return null;
    const replicaState = onMessage(known?.state ?? null, m.term, m.revision, this.hooks.now());
    if (!replicaState) return null;
    let f = known;
    if (!f || f.state.term !== m.term || f.state.revision !== m.revision) {
      f = {
        state: replicaState,
        owner: from,
        replica: new ShardReplica(),
        changes: m.changes,
        claiming: false,
        claimAt: Number.NEGATIVE_INFINITY,
      };
      this.shards.set(m.shard, f);
      this.records.follow(m.shard);
      this.log.info({ shard: m.shard, term: m.term, owner: from }, 'standing by');
    }
    f.state = replicaState;
    f.replica.applyBatch(m.from, m.records);
    if (m.changes !== f.changes) {
      f.changes = m.changes;
      this.records.changed();
    }
    return { next: f.replica.nextSequence, stateAgoMs: this.hooks.leaseRenewedAgoMs() };
  }

  /** The owner hands a shard over: true once it is this node's. */
  async onHandover(args: unknown): Promise<boolean> {
    const m = readHandoverMessage(args);
    const f = m && this.shards.get(m.shard);
    const replicaState = f ? onRelease(f.state, m.term, m.revision) : null;
    if (!f || !replicaState || m.run !== this.hooks.incarnation || !this.hooks.mayTakeOver()) return false;
    f.state = replicaState;
    return this.claim(m.shard, f);
  }

  /** Looks again when the first promise may be over, and more often once one is: mostly the next answer comes before. */
  private loop(): void {
    for (const [shard, f] of this.shards) this.checkOwner(shard, f);
    let next = STANDBY_LEASE_MS;
    for (const { state: replicaState } of this.shards.values())
      next = Math.min(next, replicaState.answeredAt + STANDBY_LEASE_MS * 1.05 - this.hooks.now());
    this.hooks.after(Math.max(MIN_CHECK_INTERVAL_MS, next), () => this.loop());
  }

  private checkOwner(shard: number, f: ReplicatedShard): void {
    const now = this.hooks.now();
    if (!f.claiming && this.isOver(shard, f.state.term, f.state.revision)) {
      this.stopReplicating(shard, f);
      return;
    }
    if (f.claiming || !this.hooks.mayTakeOver()) return;
    if (f.state.claimed) {
      // Not executed the first time: nothing has been answered since, so that it stands as it did.
      if (now - f.claimAt > CLAIM_RETRY_MS) void this.claim(shard, f);
      return;
    }
    if (!mayClaim(f.state, now)) return;
    const silentMs = now - f.state.answeredAt;
    const refused = this.hooks.refused(f.owner);
    if (!f.state.released && !refused && silentMs < OWNER_SILENT_MS) return;
    const why = { shard, owner: f.owner, silentMs: Math.round(silentMs), refused };
    this.log.info(why, 'owner is silent: taking over');
    void this.claim(shard, f);
  }

  /** Struck off, or a later owner's: what this node's copy of the keys shows is newer than the vigil. */
  private isOver(shard: number, term: number, revision: number): boolean {
    const seen = this.hooks.cachedVersions(shard);
    const over = (version: number, mine: number) =>
      version > mine || (version === 0 && seen.revision >= revision);
    return over(seen.owner, term) || over(seen.standby, revision);
  }

  private stopReplicating(shard: number, f: ReplicatedShard): void {
    if (this.shards.get(shard) !== f) return;
    this.shards.delete(shard);
    this.records.leave(shard);
  }

  private async claim(shard: number, f: ReplicatedShard): Promise<boolean> {
    if (f.claiming) return false;
    f.state = onClaim(f.state);
    f.claiming = true;
    f.claimAt = this.hooks.now();
    const { term, revision, released } = f.state;
    try {
      const taken = await this.hooks.claim(shard, term, revision);
      if (this.shards.get(shard) === f) this.shards.delete(shard);
      if (taken === null) {
        this.records.leave(shard);
        return false;
      }
      this.hooks.onTakeover(shard, taken, {
        snapshot: f.replica,
        jobs: async (upTo) => {
          try {
            return await this.records.upTo(upTo, shard);
          } finally {
            this.records.leave(shard);
          }
        },
        released,
        owner: f.owner,
      });
      return true;
    } catch (error) {
      this.log.info({ shard, err: error }, 'taking over is tried again');
      return false;
    } finally {
      f.claiming = false;
    }
  }

  /** For those on call: what this node stands by for, and how much it keeps. */
  status(): { shard: number; owner: string; level: boolean; kept: number }[] {
    return [...this.shards].map(([shard, f]) => ({
      shard,
      owner: f.owner,
      level: f.replica.inSync,
      kept: f.replica.size,
    }));
  }
}
