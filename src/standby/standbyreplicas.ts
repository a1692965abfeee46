import type { Log } from '../config/log.js';
import type { LoadedJob } from '../jobs/records.js';
import type { RecordCopy } from './jobrecordreplica.js';
import { readAssumeMessage, readStandMessage, type StandAnswer } from './messages.js';
import { WarmCopy, type Warmth } from './shardreplica.js';
import { answering, claiming, mayClaim, PROMISE_MS, releasing, type Vigil } from './standbylease.js';

const LOOK_MS = 125;
/**
 * An owner that answers nothing may only be slow, or stand still for a moment, and to take its shard over costs more than to
 * wait a little longer; one whose connections are refused is over as soon as its promise is.
 */
const SILENT_MS = 3500;
const CLAIM_AGAIN_MS = 200;

export interface FollowerHooks {
  now(): number;
  after(ms: number, run: () => void): void;
  run: string;
  /** Whether this node may take shards: its lease lasts, it knows the keys, the workers reach it. */
  mayTake(): boolean;
  /** Whether connections to a node are refused. */
  refused(node: string): boolean;
  /** Versions of a shard's owner key and standby key as this node's copy shows them, and how new that copy is. */
  seen(shard: number): { owner: number; standby: number; revision: number };
  /** How long ago the state service last renewed this node's lease. */
  stateAgoMs(): number;
  /** Replaces the owner's key: the new term; null when that surely failed for good; throws when it may be tried again. */
  claim(shard: number, term: number, revision: number): Promise<number | null>;
  /** The shard is this node's. */
  taken(shard: number, term: number, from: Taken): void;
}

/** What comes with a shard that was taken over. */
export interface Taken {
  warmth: Warmth;
  /** Its unfinished jobs with all changes up to a revision; null when they are to be read anew. */
  jobs(revision: number): Promise<{ jobs: LoadedJob[]; changes: number } | null>;
  /** The former owner has said that it acts no more. */
  released: boolean;
  owner: string;
}

interface Followed {
  vigil: Vigil;
  owner: string;
  copy: WarmCopy;
  changes: number;
  claimingNow: boolean;
  claimAt: number;
}

/** The standby's side, for all shards that this node stands by for: follows them, and claims when a promise is over. */
export class Follower {
  private readonly shards = new Map<number, Followed>();

  constructor(
    private readonly records: RecordCopy,
    private readonly log: Log,
    private readonly hooks: FollowerHooks,
  ) {}

  start(): void {
    this.loop();
  }

  /** How many shards this node stands by for. */
  get count(): number {
    return this.shards.size;
  }

  /** A message of an owner; null when it is not answered. */
  hear(args: unknown, from: string): StandAnswer | null {
    const m = readStandMessage(args);
    // A run of this node before this one may have sent a claim that is still under way: it is not this one's to answer for.
    if (!m || m.run !== this.hooks.run) return null;
    const known = this.shards.get(m.shard);
    // A former owner that does not know yet that it is none.
    if (!known && this.isOver(m.shard, m.term, m.revision)) return null;
    const vigil = answering(known?.vigil ?? null, m.term, m.revision, this.hooks.now());
    if (!vigil) return null;
    let f = known;
    if (!f || f.vigil.term !== m.term || f.vigil.revision !== m.revision) {
      f = {
        vigil,
        owner: from,
        copy: new WarmCopy(),
        changes: m.changes,
        claimingNow: false,
        claimAt: Number.NEGATIVE_INFINITY,
      };
      this.shards.set(m.shard, f);
      this.records.follow(m.shard);
      this.log.info({ shard: m.shard, term: m.term, owner: from }, 'standing by');
    }
    f.vigil = vigil;
    f.copy.take(m.from, m.records);
    if (m.changes !== f.changes) {
      f.changes = m.changes;
      this.records.changed();
    }
    return { next: f.copy.next, stateAgoMs: this.hooks.stateAgoMs() };
  }

  /** The owner hands a shard over: true once it is this node's. */
  async assume(args: unknown): Promise<boolean> {
    const m = readAssumeMessage(args);
    const f = m && this.shards.get(m.shard);
    const vigil = f ? releasing(f.vigil, m.term, m.revision) : null;
    if (!f || !vigil || m.run !== this.hooks.run || !this.hooks.mayTake()) return false;
    f.vigil = vigil;
    return this.claim(m.shard, f);
  }

  /** Looks again when the first promise may be over, and more often once one is: mostly the next answer comes before. */
  private loop(): void {
    for (const [shard, f] of this.shards) this.look(shard, f);
    let next = PROMISE_MS;
    for (const { vigil } of this.shards.values())
      next = Math.min(next, vigil.answeredAt + PROMISE_MS * 1.05 - this.hooks.now());
    this.hooks.after(Math.max(LOOK_MS, next), () => this.loop());
  }

  private look(shard: number, f: Followed): void {
    const now = this.hooks.now();
    if (!f.claimingNow && this.isOver(shard, f.vigil.term, f.vigil.revision)) {
      this.leave(shard, f);
      return;
    }
    if (f.claimingNow || !this.hooks.mayTake()) return;
    if (f.vigil.claimed) {
      // Not executed the first time: nothing has been answered since, so that it stands as it did.
      if (now - f.claimAt > CLAIM_AGAIN_MS) void this.claim(shard, f);
      return;
    }
    if (!mayClaim(f.vigil, now)) return;
    const silentMs = now - f.vigil.answeredAt;
    const refused = this.hooks.refused(f.owner);
    if (!f.vigil.released && !refused && silentMs < SILENT_MS) return;
    const why = { shard, owner: f.owner, silentMs: Math.round(silentMs), refused };
    this.log.info(why, 'owner is silent: taking over');
    void this.claim(shard, f);
  }

  /** Struck off, or a later owner's: what this node's copy of the keys shows is newer than the vigil. */
  private isOver(shard: number, term: number, revision: number): boolean {
    const seen = this.hooks.seen(shard);
    const over = (version: number, mine: number) =>
      version > mine || (version === 0 && seen.revision >= revision);
    return over(seen.owner, term) || over(seen.standby, revision);
  }

  private leave(shard: number, f: Followed): void {
    if (this.shards.get(shard) !== f) return;
    this.shards.delete(shard);
    this.records.leave(shard);
  }

  private async claim(shard: number, f: Followed): Promise<boolean> {
    if (f.claimingNow) return false;
    f.vigil = claiming(f.vigil);
    f.claimingNow = true;
    f.claimAt = this.hooks.now();
    const { term, revision, released } = f.vigil;
    try {
      const taken = await this.hooks.claim(shard, term, revision);
      if (this.shards.get(shard) === f) this.shards.delete(shard);
      if (taken === null) {
        this.records.leave(shard);
        return false;
      }
      this.hooks.taken(shard, taken, {
        warmth: f.copy,
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
      this.log.info({ shard, error: String(error) }, 'taking over is tried again');
      return false;
    } finally {
      f.claimingNow = false;
    }
  }

  /** For those on call: what this node stands by for, and how much it keeps. */
  told(): { shard: number; owner: string; level: boolean; kept: number }[] {
    return [...this.shards].map(([shard, f]) => ({
      shard,
      owner: f.owner,
      level: f.copy.level,
      kept: f.copy.size,
    }));
  }
}
