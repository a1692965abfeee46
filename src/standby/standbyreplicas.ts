import type { Clock } from '../clock/clock.js';
import { type PeriodicTask, startPacedTask } from '../clock/periodictask.js';
import type { Log } from '../config/log.js';
import type { JobRecordReplica, ReplicatedJobs } from './jobrecordreplica.js';
import {
  type ReplicationMessage,
  readHandoverMessage,
  readReplicationMessage,
  type WireReplicationResponse,
  writeReplicationResponse,
} from './messages.js';
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
 * wait a little longer; one whose connections are refused is over as soon as its lease with the standby is.
 */
const OWNER_SILENT_MS = 3500;
const CLAIM_RETRY_MS = 200;

/** What the node knows and does for the replicas that it keeps. */
export interface StandbyReplicasHooks {
  readonly clock: Clock;
  /** This run of this node's process. */
  readonly incarnation: string;
  /** Whether this node may take shards: its lease lasts, it knows the keys, the workers reach it. */
  mayTakeOver(): boolean;
  /** Whether connections to a node are refused. */
  refused(node: string): boolean;
  /** Versions of a shard's owner key and standby key as this node's copy shows them, and how new that copy is. */
  cachedVersions(shard: number): { owner: number; standby: number; revision: number };
  /** How long ago the key-value store last renewed this node's lease, in milliseconds. */
  leaseRenewedAgoMs(): number;
  /** Replaces the owner's key: the new term; null when that surely failed for good; throws when it may be tried again. */
  claim(shard: number, term: number, revision: number): Promise<number | null>;
  /** The shard is this node's. */
  onTakeover(shard: number, term: number, from: TakeoverState): void;
}

/** What comes with a shard that was taken over. */
export interface TakeoverState {
  readonly snapshot: ReplicaSnapshot;
  /** Its unfinished jobs with all changes up to a revision; null when they are to be read anew. */
  jobs(revision: number): Promise<ReplicatedJobs | null>;
  /** The former owner has said that it acts no more. */
  readonly released: boolean;
  /** The former owner's node. */
  readonly owner: string;
}

/** A shard that this node stands by for. */
interface ReplicatedShard {
  state: ReplicaState;
  readonly owner: string;
  readonly replica: ShardReplica;
  /** The owner's count of changes of job records, as it was last said. */
  recordChanges: number;
  /** A claim has been sent and not been answered yet. */
  claiming: boolean;
  /** When the last claim was sent. */
  claimSentAt: number;
}

/** One shard that this node stands by for, as it is logged. */
export interface StandbyReplicaStatus {
  readonly shard: number;
  readonly owner: string;
  readonly inSync: boolean;
  /** Entries kept. */
  readonly entries: number;
}

/**
 * The standby's side, for all shards that this node stands by for: follows them, and claims when an owner's lease with it is
 * over.
 */
export class StandbyReplicas {
  private readonly shards = new Map<number, ReplicatedShard>();
  private checks: PeriodicTask | null = null;

  constructor(
    private readonly records: JobRecordReplica,
    private readonly log: Log,
    private readonly hooks: StandbyReplicasHooks,
  ) {}

  /** Begins to watch the owners. */
  start(): void {
    this.checks ??= startPacedTask(this.hooks.clock, () => this.checkOwners());
  }

  /** Claims no shard any more by itself. */
  stop(): void {
    this.checks?.stop();
  }

  /** How many shards this node stands by for. */
  get count(): number {
    return this.shards.size;
  }

  /** The answer to a replication message of the owner `from`; null when it must not be answered. */
  onReplicationMessage(args: unknown, from: string): WireReplicationResponse | null {
    const m = readReplicationMessage(args);
    // A run of this node before this one may have sent a claim that is still under way: it is not this one's to answer for.
    if (!m || m.incarnation !== this.hooks.incarnation) return null;
    const known = this.shards.get(m.shard);
    // A former owner that does not know yet that it is none.
    if (!known && this.isOver(m.shard, m.term, m.revision)) return null;
    const state = onMessage(known?.state ?? null, m.term, m.revision, this.hooks.clock.now());
    if (!state) return null;
    const isKnown = known?.state.term === m.term && known.state.revision === m.revision;
    const s = isKnown ? known : this.follow(m, from, state);
    s.state = state;
    s.replica.applyBatch(m.from, m.records);
    if (m.recordChanges !== s.recordChanges) {
      s.recordChanges = m.recordChanges;
      this.records.onRecordsChanged();
    }
    return writeReplicationResponse({
      nextSequence: s.replica.nextSequence,
      leaseRenewedAgoMs: this.hooks.leaseRenewedAgoMs(),
    });
  }

  /** The owner hands a shard over: true once it is this node's. */
  async onHandover(args: unknown): Promise<boolean> {
    const m = readHandoverMessage(args);
    const s = m && this.shards.get(m.shard);
    const released = s ? onRelease(s.state, m.term, m.revision) : null;
    if (!s || !released || m.incarnation !== this.hooks.incarnation || !this.hooks.mayTakeOver())
      return false;
    s.state = released;
    return this.claim(m.shard, s);
  }

  /** For those on call: what this node stands by for, and how much it keeps. */
  status(): StandbyReplicaStatus[] {
    return [...this.shards].map(([shard, { owner, replica }]) => ({
      shard,
      owner,
      inSync: replica.inSync,
      entries: replica.size,
    }));
  }

  /** Begins with an empty replica, for an owner or a naming that is new here. */
  private follow(m: ReplicationMessage, owner: string, state: ReplicaState): ReplicatedShard {
    const s = {
      state,
      owner,
      replica: new ShardReplica(),
      recordChanges: m.recordChanges,
      claiming: false,
      claimSentAt: Number.NEGATIVE_INFINITY,
    };
    this.shards.set(m.shard, s);
    this.records.follow(m.shard);
    this.log.info({ shard: m.shard, term: m.term, owner }, 'standby replication started');
    return s;
  }

  /**
   * Checks all owners; returns after how many milliseconds to check again: when the first lease may be over, and more often
   * once one is. Mostly the next message comes before.
   */
  private checkOwners(): number {
    for (const [shard, s] of this.shards) this.checkOwner(shard, s);
    let next = STANDBY_LEASE_MS;
    for (const { state } of this.shards.values())
      next = Math.min(next, state.answeredAt + STANDBY_LEASE_MS * 1.05 - this.hooks.clock.now());
    return Math.max(MIN_CHECK_INTERVAL_MS, next);
  }

  private checkOwner(shard: number, s: ReplicatedShard): void {
    const now = this.hooks.clock.now();
    if (!s.claiming && this.isOver(shard, s.state.term, s.state.revision)) {
      this.stopFollowing(shard, s);
      return;
    }
    if (s.claiming || !this.hooks.mayTakeOver()) return;
    if (s.state.claimed) {
      // Not executed the first time: nothing has been answered since, so that it stands as it did.
      if (now - s.claimSentAt > CLAIM_RETRY_MS) void this.claim(shard, s);
      return;
    }
    if (!mayClaim(s.state, now)) return;
    const silentMs = now - s.state.answeredAt;
    const refused = this.hooks.refused(s.owner);
    if (!s.state.released && !refused && silentMs < OWNER_SILENT_MS) return;
    this.log.info(
      { shard, owner: s.owner, silentMs: Math.round(silentMs), refused },
      'owner is silent: taking over',
    );
    void this.claim(shard, s);
  }

  /** Evicted, or a later owner's: what this node's copy of the keys shows is newer than the replica. */
  private isOver(shard: number, term: number, revision: number): boolean {
    const cached = this.hooks.cachedVersions(shard);
    const superseded = (version: number, mine: number) =>
      version > mine || (version === 0 && cached.revision >= revision);
    return superseded(cached.owner, term) || superseded(cached.standby, revision);
  }

  private stopFollowing(shard: number, s: ReplicatedShard): void {
    if (this.shards.get(shard) !== s) return;
    this.shards.delete(shard);
    this.records.unfollow(shard);
  }

  /** Claims the shard: true once it is this node's, false when it is not or that is not known. */
  private async claim(shard: number, s: ReplicatedShard): Promise<boolean> {
    if (s.claiming) return false;
    s.state = onClaim(s.state);
    s.claiming = true;
    s.claimSentAt = this.hooks.clock.now();
    const { term, revision, released } = s.state;
    try {
      const newTerm = await this.hooks.claim(shard, term, revision);
      if (this.shards.get(shard) === s) this.shards.delete(shard);
      if (newTerm === null) {
        this.records.unfollow(shard);
        return false;
      }
      this.hooks.onTakeover(shard, newTerm, this.takeoverState(shard, s, released));
      return true;
    } catch (error) {
      this.log.info({ shard, err: error }, 'takeover claim failed, to be retried');
      return false;
    } finally {
      s.claiming = false;
    }
  }

  private takeoverState(shard: number, s: ReplicatedShard, released: boolean): TakeoverState {
    return {
      snapshot: s.replica,
      jobs: async (revision) => {
        try {
          return await this.records.upTo(revision, shard);
        } finally {
          this.records.unfollow(shard);
        }
      },
      released,
      owner: s.owner,
    };
  }
}
