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
 * An owner that does not answer may only be slow or briefly paused, and a takeover costs more than a slightly
 * longer wait. An owner whose connections are refused is replaced as soon as its lease with the standby
 * expires.
 */
const OWNER_SILENT_MS = 3500;
const CLAIM_RETRY_MS = 200;

/** Functions of the node that the replicas depend on. */
export interface StandbyReplicasHooks {
  readonly clock: Clock;
  /** Incarnation of this node's process. */
  readonly incarnation: string;
  /**
   * Whether this node may take over shards: its lease is valid, it has read the keys, and the workers can reach
   * it.
   */
  mayTakeOver(): boolean;
  /** Whether connections to a node are refused. */
  connectionsRefused(node: string): boolean;
  /**
   * Returns the versions of a shard's owner key and standby key in this node's cache, and the revision of the
   * cache.
   */
  cachedVersions(shard: number): { owner: number; standby: number; revision: number };
  /** Returns the time since the key-value store last renewed this node's lease, in milliseconds. */
  leaseRenewedAgoMs(): number;
  /**
   * Replaces the owner's key and returns the new term, or null if the claim has certainly and permanently
   * failed. Throws if the claim may be retried.
   */
  claim(shard: number, term: number, revision: number): Promise<number | null>;
  /** Called when this node has become the owner of the shard. */
  onTakeover(shard: number, term: number, from: TakeoverState): void;
}

/** State that a node receives with a shard it has taken over. */
export interface TakeoverState {
  readonly snapshot: ReplicaSnapshot;
  /** Returns the unfinished jobs with all changes up to a revision, or null if they have to be listed. */
  jobs(revision: number): Promise<ReplicatedJobs | null>;
  /** Whether the former owner has stated that it has ceased to act. */
  readonly released: boolean;
  /** Node of the former owner. */
  readonly owner: string;
}

/** A shard that this node stands by for. */
interface ReplicatedShard {
  state: ReplicaState;
  readonly owner: string;
  readonly replica: ShardReplica;
  /** The owner's last reported count of job record changes. */
  recordChanges: number;
  /** Whether a claim is in flight. */
  claiming: boolean;
  /** Time at which the last claim was sent. */
  claimSentAt: number;
}

/** Status of one shard that this node stands by for, as logged. */
export interface StandbyReplicaStatus {
  readonly shard: number;
  readonly owner: string;
  readonly inSync: boolean;
  /** Number of entries in the replica. */
  readonly entries: number;
}

/**
 * The standby's side of all shards that this node stands by for. Applies the replication messages of their
 * owners, and claims a shard when its owner's lease with this node has expired.
 */
export class StandbyReplicas {
  private readonly shards = new Map<number, ReplicatedShard>();
  private checks: PeriodicTask | null = null;

  constructor(
    private readonly records: JobRecordReplica,
    private readonly log: Log,
    private readonly hooks: StandbyReplicasHooks,
  ) {}

  /** Starts to monitor the owners. */
  start(): void {
    this.checks ??= startPacedTask(this.hooks.clock, () => this.checkOwners());
  }

  /** Stops monitoring the owners, so that this node claims no more shards on its own initiative. */
  stop(): void {
    this.checks?.stop();
  }

  /** Number of shards that this node stands by for. */
  get count(): number {
    return this.shards.size;
  }

  /**
   * Returns the response to a replication message of the owner `from`, or null if the message must not be
   * answered.
   */
  onReplicationMessage(args: unknown, from: string): WireReplicationResponse | null {
    const message = readReplicationMessage(args);
    // An earlier incarnation of this node may have sent a claim that is still in flight, so this incarnation
    // must not respond in its place.
    if (!message || message.incarnation !== this.hooks.incarnation) return null;
    const known = this.shards.get(message.shard);
    // The sender is a former owner that has not learned yet that it lost the shard.
    if (!known && this.isSuperseded(message.shard, message.term, message.revision)) return null;
    const state = onMessage(known?.state ?? null, message.term, message.revision, this.hooks.clock.now());
    if (!state) return null;
    const isKnown = known?.state.term === message.term && known.state.revision === message.revision;
    const replicated = isKnown ? known : this.follow(message, from, state);
    replicated.state = state;
    replicated.replica.applyBatch(message.from, message.records);
    if (message.recordChanges !== replicated.recordChanges) {
      replicated.recordChanges = message.recordChanges;
      this.records.onRecordsChanged();
    }
    return writeReplicationResponse({
      nextSequence: replicated.replica.nextSequence,
      leaseRenewedAgoMs: this.hooks.leaseRenewedAgoMs(),
    });
  }

  /** Handles a handover by the owner. Returns true once this node owns the shard. */
  async onHandover(args: unknown): Promise<boolean> {
    const message = readHandoverMessage(args);
    const replicated = message && this.shards.get(message.shard);
    const released = replicated ? onRelease(replicated.state, message.term, message.revision) : null;
    if (
      !replicated ||
      !released ||
      message.incarnation !== this.hooks.incarnation ||
      !this.hooks.mayTakeOver()
    )
      return false;
    replicated.state = released;
    return this.claim(message.shard, replicated);
  }

  /** Returns the shards that this node stands by for and the size of each replica, for the status log. */
  status(): StandbyReplicaStatus[] {
    return [...this.shards].map(([shard, { owner, replica }]) => ({
      shard,
      owner,
      inSync: replica.inSync,
      entries: replica.size,
    }));
  }

  /** Starts an empty replica for a new owner or a new revision of the standby key. */
  private follow(message: ReplicationMessage, owner: string, state: ReplicaState): ReplicatedShard {
    const replicated = {
      state,
      owner,
      replica: new ShardReplica(),
      recordChanges: message.recordChanges,
      claiming: false,
      claimSentAt: Number.NEGATIVE_INFINITY,
    };
    this.shards.set(message.shard, replicated);
    this.records.follow(message.shard);
    this.log.info({ shard: message.shard, term: message.term, owner }, 'standby replication started');
    return replicated;
  }

  /**
   * Checks all owners. Returns the delay in milliseconds until the next check: until the first lease may
   * expire, or a shorter interval once one has expired. Usually a further message arrives before that.
   */
  private checkOwners(): number {
    for (const [shard, replicated] of this.shards) this.checkOwner(shard, replicated);
    let next = STANDBY_LEASE_MS;
    for (const { state } of this.shards.values())
      next = Math.min(next, state.answeredAt + STANDBY_LEASE_MS * 1.05 - this.hooks.clock.now());
    return Math.max(MIN_CHECK_INTERVAL_MS, next);
  }

  private checkOwner(shard: number, replicated: ReplicatedShard): void {
    const now = this.hooks.clock.now();
    if (!replicated.claiming && this.isSuperseded(shard, replicated.state.term, replicated.state.revision)) {
      this.stopFollowing(shard, replicated);
      return;
    }
    if (replicated.claiming || !this.hooks.mayTakeOver()) return;
    if (replicated.state.claimed) {
      // The first claim was not executed. This node has answered no message since, so the conditions for the
      // claim still hold.
      if (now - replicated.claimSentAt > CLAIM_RETRY_MS) void this.claim(shard, replicated);
      return;
    }
    if (!mayClaim(replicated.state, now)) return;
    const silentMs = now - replicated.state.answeredAt;
    const refused = this.hooks.connectionsRefused(replicated.owner);
    if (!replicated.state.released && !refused && silentMs < OWNER_SILENT_MS) return;
    this.log.info(
      { shard, owner: replicated.owner, silentMs: Math.round(silentMs), refused },
      'owner is silent: taking over',
    );
    void this.claim(shard, replicated);
  }

  /**
   * Whether this node's cache of the keys is newer than the replica and shows that the standby was evicted or
   * that the shard has a later owner.
   */
  private isSuperseded(shard: number, term: number, revision: number): boolean {
    const cached = this.hooks.cachedVersions(shard);
    const superseded = (version: number, mine: number) =>
      version > mine || (version === 0 && cached.revision >= revision);
    return superseded(cached.owner, term) || superseded(cached.standby, revision);
  }

  private stopFollowing(shard: number, replicated: ReplicatedShard): void {
    if (this.shards.get(shard) !== replicated) return;
    this.shards.delete(shard);
    this.records.unfollow(shard);
  }

  /**
   * Claims the shard. Returns true once this node owns it, and false if it does not or the result is unknown.
   */
  private async claim(shard: number, replicated: ReplicatedShard): Promise<boolean> {
    if (replicated.claiming) return false;
    replicated.state = onClaim(replicated.state);
    replicated.claiming = true;
    replicated.claimSentAt = this.hooks.clock.now();
    const { term, revision, released } = replicated.state;
    try {
      const newTerm = await this.hooks.claim(shard, term, revision);
      if (this.shards.get(shard) === replicated) this.shards.delete(shard);
      if (newTerm === null) {
        this.records.unfollow(shard);
        return false;
      }
      this.hooks.onTakeover(shard, newTerm, this.takeoverState(shard, replicated, released));
      return true;
    } catch (error) {
      this.log.info({ shard, err: error }, 'takeover claim failed, to be retried');
      return false;
    } finally {
      replicated.claiming = false;
    }
  }

  private takeoverState(shard: number, replicated: ReplicatedShard, released: boolean): TakeoverState {
    return {
      snapshot: replicated.replica,
      jobs: async (revision) => {
        try {
          return await this.records.readUpTo(revision, shard);
        } finally {
          this.records.unfollow(shard);
        }
      },
      released,
      owner: replicated.owner,
    };
  }
}
