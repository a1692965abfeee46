import { pause } from '../clock/clock.js';
import type { World } from '../context/context.js';
import type { Others } from '../scheduler/responses.js';
import { Shard } from '../scheduler/shard.js';
import { KEYS, readMachineRecord } from '../schema/schema.js';
import type { Taken } from '../standby/standbyreplicas.js';
import type { Keeper } from '../standby/standbyreplicator.js';
import { termIsNew } from '../standby/takeoverchecks.js';
import { WORKER_PATHS } from '../wire/workers.js';
import { nextReportMs } from '../workers/machine.js';
import { Leader, type LeaderHooks } from './leader.js';
import type { Members } from './membership.js';
import type { Standbys } from './standbycoordinator.js';
import { Reach } from './workerconnectivity.js';

const CLAIM_MS = 200;
/** How long a shard stays its dead home node's to take again. */
const ADOPT_AFTER_MS = 1500;
const HAND_BACK_AFTER_MS = 6000;
/** A node that has withdrawn takes a shard all the same when nobody else has for so long. */
const NOBODY_ELSE_MS = 12_000;
/** Machines that are asked whether this node reaches them again, and how many must answer. */
const PROBES = 5;
const PROBES_ANSWERED = 3;
const PROBE_MS = 1500;
/** An owner that has not been served for so long, while its standby was, is cut off from the state service. */
const CUT_OFF_MS = 2500;
/** What a home node that stands by may take to be level; then its shard goes back without. */
const LEVEL_MS = 20_000;
/** Questions for a shard that is just changing hands wait no longer than this. */
const SOON_MS = 500;
const SOON_STEP_MS = 20;

/** What this node owns: the shards that it takes, gives back and leaves to others, and the leadership when it has it. */
export class Ownership {
  readonly shards = new Map<number, Shard>();
  readonly reach: Reach;
  leader: Leader | null = null;
  /** All nodes of the settings, in the order in which they take what nobody has. */
  readonly order: string[];
  readonly zones: Map<string, string>;
  private readonly ownerGoneSince = new Map<string, number>();
  private readonly homeSince = new Map<number, number>();
  private probing = false;
  /**
   * Terms under which this node has owned a shard and does so no more. None is ever taken up again: tokens and attempts
   * would be those of the former ownership, whose orders may still be under way.
   */
  private readonly spentTerms = new Set<number>();
  private readonly claiming = new Set<string>();
  private readonly keepers = new Map<number, Keeper>();
  /** Shards that another node hands over to this one at this moment. */
  private readonly arriving = new Set<number>();
  /** Where standbys are enabled. */
  standbys: Standbys | null = null;

  constructor(
    private readonly world: World,
    private readonly members: Members,
    /** What a shard here needs of the others, and the leader of all. */
    private readonly others: Others,
    private readonly leading: LeaderHooks & {
      /** Tells the other nodes that a shard is this node's. */
      tellOwns(shard: number, term: number): void;
    },
  ) {
    const s = world.settings;
    this.order = [s.node, ...s.peers.map((p) => p.node)].sort();
    this.reach = new Reach(world.clock);
    this.zones = new Map([s, ...s.peers].map((n) => [n.node, n.zone]));
  }

  /** Looks at what nobody has, and at what this node has, from now on. */
  start(): void {
    this.standbys?.start();
    this.claimLoop();
  }

  /** A planned end: each shard with a level standby goes to it. */
  async leave(): Promise<void> {
    await Promise.all([...this.shards.values()].map((s) => this.switchOver(s, 'leaving')));
    this.dropAll();
  }

  dropAll(): void {
    for (const shard of [...this.shards.values()]) this.drop(shard);
    this.leader?.stop();
    this.leader = null;
  }

  private drop(shard: Shard): void {
    shard.stop();
    this.spentTerms.add(shard.term);
    if (this.shards.get(shard.index) !== shard) return;
    this.shards.delete(shard.index);
    this.keepers.delete(shard.index);
  }

  private claimLoop(): void {
    if (this.members.valid && this.members.mirror.ready) {
      this.considerWithdrawing();
      this.considerGivingUp();
      for (let k = 0; k < this.world.settings.nodes; k++) this.consider(k);
      this.considerLeading();
    }
    this.world.clock.after(CLAIM_MS, () => this.claimLoop());
  }

  // --- cut off from the workers

  /** A node that machines cannot reach leaves its shards to others, and comes back when it reaches machines again. */
  private considerWithdrawing(): void {
    if (this.reach.withdrawn) {
      if (this.reach.mayReturn && !this.probing) void this.probe();
      return;
    }
    const now = this.world.clock.now();
    const recent = this.world.settings.workers.leaseS * 1000;
    const lately = nextReportMs(this.world.settings.workers.reportS);
    let known = 0;
    let coming = 0;
    for (const s of this.shards.values()) {
      for (const m of s.fleet.machines.values()) {
        if (m.heardAt === null || m.lost || now - m.heardAt > recent) continue;
        known++;
        if (now - m.heardAt < lately) coming++;
      }
    }
    if (known === 0 || !this.reach.cutOff(known, coming) || this.world.settings.peers.length === 0) return;
    this.reach.withdraw();
    this.world.log.warn({ machines: known }, 'workers cannot reach this node: leaving its shards to others');
    const shards = [...this.shards.values()];
    const left = shards.filter((s) => !this.successorOf(s));
    for (const s of left) this.drop(s);
    for (const s of shards) if (!left.includes(s)) void this.switchOver(s, 'workers cannot reach this node');
    void this.members
      .tellWithdrawn(true)
      .catch((error) => this.world.log.info({ error: String(error) }, 'withdrawal not told'))
      .then(() => Promise.all(left.map((s) => this.release(s.index, s.term))));
  }

  // --- switches to a standby that is level

  private successorOf(shard: Shard): string | null {
    const keeper = this.keepers.get(shard.index);
    return keeper && shard.ready && this.standbys ? this.standbys.successor(keeper) : null;
  }

  /**
   * Hands a shard to its level standby: this node ends it first, for good, and sends users and machines on at once. True when
   * the standby has it; else the key is given up, as without a standby.
   */
  private async switchOver(shard: Shard, why: string): Promise<boolean> {
    const to = this.successorOf(shard);
    const keeper = this.keepers.get(shard.index);
    const successor = to === null ? null : this.members.presenceOf(to);
    if (!keeper || !successor) return false;
    const { index: k, term } = shard;
    this.world.log.info({ shard: k, to, why }, 'handing over');
    const key = KEYS.owner(k);
    this.claiming.add(key);
    this.drop(shard);
    this.members.handing(k, successor, term);
    const begun = this.world.clock.now();
    try {
      const taken = await keeper.handOver();
      this.world.log.info(
        { shard: k, to, taken, ms: Math.round(this.world.clock.now() - begun) },
        'handed over',
      );
      if (taken) return true;
      this.members.handing(k, null, term);
      await this.release(k, term);
      return false;
    } finally {
      this.claiming.delete(key);
    }
  }

  /** An owner that the state service serves no more, while it serves its standby, need not wait for its lease to run out. */
  private considerGivingUp(): void {
    const { failingMs } = this.members;
    if (failingMs < CUT_OFF_MS) return;
    for (const s of [...this.shards.values()]) {
      const ago = this.keepers.get(s.index)?.standbyStateAgoMs ?? null;
      if (ago !== null && ago < failingMs - 500) void this.switchOver(s, 'cut off from the state service');
    }
  }

  /** Lets a question wait a little for a shard that is being handed over to this node. */
  async soon(k: number): Promise<void> {
    const until = this.world.clock.now() + SOON_MS;
    const coming = () => this.arriving.has(k) && !this.shards.get(k)?.ready;
    while (coming() && this.world.clock.now() < until) await pause(this.world.clock, SOON_STEP_MS);
  }

  /** The owner of a shard hands it over to this node. */
  async assume(args: Record<string, unknown>): Promise<boolean> {
    const k = Number(args.shard);
    this.arriving.add(k);
    this.world.clock.after(SOON_MS * 4, () => this.arriving.delete(k));
    return (await this.standbys?.follower.assume(args)) ?? false;
  }

  private async probe(): Promise<void> {
    this.probing = true;
    try {
      const addrs: string[] = [];
      for (const [key, e] of this.members.mirror.entries) {
        const record = key.startsWith(KEYS.machines) ? readMachineRecord(e.value) : null;
        if (record?.addr) addrs.push(record.addr);
      }
      const step = Math.max(1, Math.floor(addrs.length / PROBES));
      const asked = addrs.filter((_, i) => i % step === 0).slice(0, PROBES);
      const answers = await Promise.all(
        asked.map((addr) =>
          this.world.http.request(addr, 'GET', WORKER_PATHS.show, null, PROBE_MS).then(
            () => 1,
            () => 0,
          ),
        ),
      );
      const answered = answers.reduce<number>((sum, n) => sum + n, 0);
      if (answered < Math.min(PROBES_ANSWERED, asked.length)) return;
      this.reach.comeBack();
      this.world.log.info('workers can be reached again');
      await this.members.tellWithdrawn(false);
    } catch (error) {
      this.world.log.info({ error: String(error) }, 'coming back not told');
    } finally {
      await pause(this.world.clock, PROBE_MS);
      this.probing = false;
    }
  }

  /** Lets another node have a shard that this one has dropped. */
  private async release(k: number, term: number): Promise<void> {
    const key = KEYS.owner(k);
    try {
      const r = await this.world.store.txn([{ key, version: term }], [{ delete: key }]);
      if (r.ok) this.members.mirror.remove(key, r.revision);
    } catch (error) {
      this.world.log.info({ shard: k, error: String(error) }, 'shard not released');
    }
  }

  /**
   * How long this node waits before it takes a key that nobody holds: first the home node, then the others in turn.
   * Nobody waits for one that has withdrawn.
   */
  private patience(shard: number): number {
    if (this.reach.withdrawn) return NOBODY_ELSE_MS;
    const n = this.order.length;
    let wait = 0;
    for (let i = 0; this.order[(shard + i) % n] !== this.world.settings.node; i++) {
      if (!this.members.withdrawn(this.order[(shard + i) % n]!)) wait += ADOPT_AFTER_MS;
    }
    return wait;
  }

  private consider(k: number): void {
    const key = KEYS.owner(k);
    const entry = this.members.mirror.entries.get(key);
    const mine = this.shards.get(k);
    const now = this.world.clock.now();
    if (entry) {
      this.ownerGoneSince.delete(key);
      const here = this.members.holds(entry.value);
      if (mine && (!here || mine.term !== entry.version)) {
        // Somebody else's, or a newer term of this node's.
        if (entry.version > mine.term) this.drop(mine);
      }
      if (here && !this.shards.has(k) && !this.claiming.has(key) && !this.members.successor(k)) {
        // A claim that was thought lost has been made after all; or the key of a former ownership is still there.
        if (!termIsNew(entry.version, this.spentTerms)) this.releaseSpent(k, entry.version);
        else this.take(k, entry.version);
      }
      if (here && this.shards.has(k)) this.considerHandBack(k);
      return;
    }
    if (mine) {
      this.drop(mine);
      return;
    }
    const since = this.ownerGoneSince.get(key) ?? now;
    this.ownerGoneSince.set(key, since);
    if (now - since < this.patience(k) || this.claiming.has(key)) return;
    this.claiming.add(key);
    void this.members
      .claim(key)
      .then((term) => {
        if (term !== null && !this.shards.has(k)) this.take(k, term);
      })
      .finally(() => this.claiming.delete(key));
  }

  home(shard: number): string {
    return this.order[shard % this.order.length]!;
  }

  /** A shard's key is this node's, under a term. */
  take(k: number, term: number, taken: Taken | null = null): void {
    const lease = this.members.leaseId;
    if (lease === null || this.shards.has(k)) return;
    const keeper = this.standbys?.keeper(k, term, lease) ?? null;
    if (keeper) this.keepers.set(k, keeper);
    const shard: Shard = new Shard(
      this.world,
      k,
      term,
      () => this.members.validUnder(lease),
      () => this.drop(shard),
      this.others,
      keeper,
      taken,
    );
    this.shards.set(k, shard);
    this.leading.tellOwns(k, term);
    void shard.start();
  }

  /** Another node has taken a shard under a newer term: this one's is over, whatever its copy of the keys shows. */
  superseded(k: number, term: number): void {
    const mine = this.shards.get(k);
    if (mine && mine.term < term) this.drop(mine);
  }

  /** A shard taken over goes back when its home node has been up for a while. */
  private considerHandBack(k: number): void {
    const home = this.home(k);
    const now = this.world.clock.now();
    if (home === this.world.settings.node || !this.members.present(home) || this.members.withdrawn(home)) {
      this.homeSince.delete(k);
      return;
    }
    const since = this.homeSince.get(k) ?? now;
    this.homeSince.set(k, since);
    if (now - since < HAND_BACK_AFTER_MS) return;
    const shard = this.shards.get(k)!;
    if (!shard.ready) return;
    if (this.standbys?.stands(home)) {
      if (!this.standbys.gainsByGoingHome(k)) return;
      if (this.successorOf(shard) === home) {
        this.homeSince.delete(k);
        void this.switchOver(shard, 'going home');
        return;
      }
      if (now - since < HAND_BACK_AFTER_MS + LEVEL_MS) return;
    }
    this.homeSince.delete(k);
    this.world.log.info({ shard: k, to: home }, 'handing back');
    this.drop(shard);
    this.releaseSpent(k, shard.term);
  }

  private releaseSpent(k: number, term: number): void {
    const key = KEYS.owner(k);
    this.claiming.add(key);
    void this.release(k, term).finally(() => this.claiming.delete(key));
  }

  private considerLeading(): void {
    const key = KEYS.leader;
    const entry = this.members.mirror.entries.get(key);
    const now = this.world.clock.now();
    if (entry) {
      this.ownerGoneSince.delete(key);
      const here = this.members.holds(entry.value);
      if (!here && this.leader) {
        this.leader.stop();
        this.leader = null;
      }
      if (here && !this.leader) this.lead(entry.version);
      return;
    }
    if (this.leader) {
      this.leader.stop();
      this.leader = null;
    }
    const since = this.ownerGoneSince.get(key) ?? now;
    this.ownerGoneSince.set(key, since);
    if (now - since < 300 * this.order.indexOf(this.world.settings.node) || this.claiming.has(key)) return;
    this.claiming.add(key);
    void this.members
      .claim(key)
      .then((term) => {
        if (term !== null && !this.leader) this.lead(term);
      })
      .finally(() => this.claiming.delete(key));
  }

  private lead(term: number): void {
    this.leader = new Leader(
      this.world,
      term,
      this.members.mirror,
      (shard) => this.zones.get(this.home(shard)) ?? '',
      this.leading,
    );
    this.leader.start();
    this.leader.listed(this.world.catalog.listed);
  }
}
