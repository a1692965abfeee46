import { pause } from '../clock/clock.js';
import type { ControllerContext } from '../context/context.js';
import type { PeerShards } from '../scheduler/responses.js';
import { Shard } from '../scheduler/shard.js';
import { KEYS, readMachineRecord } from '../schema/schema.js';
import type { TakeoverState } from '../standby/standbyreplicas.js';
import type { StandbyReplicator } from '../standby/standbyreplicator.js';
import { isFreshTerm } from '../standby/takeoverchecks.js';
import { WORKER_PATHS } from '../wire/workers.js';
import { nextHeartbeatWithinMs } from '../workers/machine.js';
import { Leader, type LeaderHooks } from './leader.js';
import type { Membership } from './membership.js';
import type { StandbyCoordinator } from './standbycoordinator.js';
import { WorkerConnectivity } from './workerconnectivity.js';

const RECONCILE_INTERVAL_MS = 200;
/** How long a shard stays its dead home node's to take again. */
const CLAIM_DELAY_PER_NODE_MS = 1500;
const HAND_BACK_AFTER_MS = 6000;
/** A node that has withdrawn takes a shard all the same when nobody else has for so long. */
const CORDONED_CLAIM_DELAY_MS = 12_000;
/** Machines that are asked whether this node reaches them again, and how many must answer. */
const PROBES = 5;
const MIN_PROBES_ANSWERED = 3;
const PROBE_TIMEOUT_MS = 1500;
/** An owner that has not been served for so long, while its standby was, is cut off from the state service. */
const STATE_STORE_CUT_OFF_MS = 2500;
/** What a home node that stands by may take to be level; then its shard goes back without. */
const HOME_SYNC_TIMEOUT_MS = 20_000;
/** Questions for a shard that is just changing hands wait no longer than this. */
const HANDOVER_WAIT_MS = 500;
const HANDOVER_POLL_MS = 20;

/** What this node owns: the shards that it takes, gives back and leaves to others, and the leadership when it has it. */
export class Ownership {
  readonly shards = new Map<number, Shard>();
  readonly workerConnectivity: WorkerConnectivity;
  leader: Leader | null = null;
  /** All nodes of the settings, in the order in which they take what nobody has. */
  readonly nodeOrder: string[];
  readonly zones: Map<string, string>;
  private readonly ownerGoneSince = new Map<string, number>();
  private readonly homeSince = new Map<number, number>();
  private probingWorkers = false;
  /**
   * Terms under which this node has owned a shard and does so no more. None is ever taken up again: tokens and attempts
   * would be those of the former ownership, whose orders may still be under way.
   */
  private readonly retiredTerms = new Set<number>();
  private readonly keysInFlight = new Set<string>();
  private readonly replicators = new Map<number, StandbyReplicator>();
  /** Shards that another node hands over to this one at this moment. */
  private readonly incomingHandovers = new Set<number>();
  /** Where standbys are enabled. */
  standbyCoordinator: StandbyCoordinator | null = null;

  constructor(
    private readonly context: ControllerContext,
    private readonly members: Membership,
    /** What a shard here needs of the others, and the leader of all. */
    private readonly peerShards: PeerShards,
    private readonly hooks: LeaderHooks & {
      /** Tells the other nodes that a shard is this node's. */
      tellOwns(shard: number, term: number): void;
    },
  ) {
    const s = context.settings;
    this.nodeOrder = [s.node, ...s.peers.map((p) => p.node)].sort();
    this.workerConnectivity = new WorkerConnectivity(context.clock);
    this.zones = new Map([s, ...s.peers].map((n) => [n.node, n.zone]));
  }

  /** Looks at what nobody has, and at what this node has, from now on. */
  start(): void {
    this.standbyCoordinator?.start();
    this.reconcileLoop();
  }

  /** A planned end: each shard with a level standby goes to it. */
  async leave(): Promise<void> {
    await Promise.all([...this.shards.values()].map((s) => this.handOverToStandby(s, 'leaving')));
    this.stopOwningAll();
  }

  stopOwningAll(): void {
    for (const shard of [...this.shards.values()]) this.stopOwning(shard);
    this.leader?.stop();
    this.leader = null;
  }

  private stopOwning(shard: Shard): void {
    shard.stop();
    this.retiredTerms.add(shard.term);
    if (this.shards.get(shard.index) !== shard) return;
    this.shards.delete(shard.index);
    this.replicators.delete(shard.index);
  }

  private reconcileLoop(): void {
    if (this.members.holdsLease && this.members.stateCache.isLoaded) {
      this.reconcileWorkerConnectivity();
      this.handOverIfCutOff();
      for (let k = 0; k < this.context.settings.nodes; k++) this.reconcileShard(k);
      this.reconcileLeadership();
    }
    this.context.clock.after(RECONCILE_INTERVAL_MS, () => this.reconcileLoop());
  }

  // --- cut off from the workers

  /** A node that machines cannot reach leaves its shards to others, and comes back when it reaches machines again. */
  private reconcileWorkerConnectivity(): void {
    if (this.workerConnectivity.cordoned) {
      if (this.workerConnectivity.mayUncordon && !this.probingWorkers) void this.probeWorkers();
      return;
    }
    const now = this.context.clock.now();
    const recent = this.context.settings.workers.leaseS * 1000;
    const lately = nextHeartbeatWithinMs(this.context.settings.workers.reportS);
    let known = 0;
    let coming = 0;
    for (const s of this.shards.values()) {
      for (const m of s.registry.machines.values()) {
        if (m.lastHeartbeatAt === null || m.leaseExpired || now - m.lastHeartbeatAt > recent) continue;
        known++;
        if (now - m.lastHeartbeatAt < lately) coming++;
      }
    }
    if (
      known === 0 ||
      !this.workerConnectivity.isCutOff(known, coming) ||
      this.context.settings.peers.length === 0
    )
      return;
    this.workerConnectivity.cordon();
    this.context.log.warn(
      { machines: known },
      'workers cannot reach this node: leaving its shards to others',
    );
    const shards = [...this.shards.values()];
    const left = shards.filter((s) => !this.successorOf(s));
    for (const s of left) this.stopOwning(s);
    for (const s of shards)
      if (!left.includes(s)) void this.handOverToStandby(s, 'workers cannot reach this node');
    void this.members
      .publishCordoned(true)
      .catch((error) => this.context.log.info({ err: error }, 'withdrawal not told'))
      .then(() => Promise.all(left.map((s) => this.release(s.index, s.term))));
  }

  // --- switches to a standby that is level

  private successorOf(shard: Shard): string | null {
    const replicator = this.replicators.get(shard.index);
    return replicator && shard.ready && this.standbyCoordinator
      ? this.standbyCoordinator.successor(replicator)
      : null;
  }

  /**
   * Hands a shard to its level standby: this node ends it first, for good, and sends users and machines on at once. True when
   * the standby has it; else the key is given up, as without a standby.
   */
  private async handOverToStandby(shard: Shard, why: string): Promise<boolean> {
    const to = this.successorOf(shard);
    const replicator = this.replicators.get(shard.index);
    const successor = to === null ? null : this.members.presenceOf(to);
    if (!replicator || !successor) return false;
    const { index: k, term } = shard;
    this.context.log.info({ shard: k, to, why }, 'handing over');
    const key = KEYS.owner(k);
    this.keysInFlight.add(key);
    this.stopOwning(shard);
    this.members.setSuccessor(k, successor, term);
    const begun = this.context.clock.now();
    try {
      const taken = await replicator.handOver();
      this.context.log.info(
        { shard: k, to, taken, ms: Math.round(this.context.clock.now() - begun) },
        'handed over',
      );
      if (taken) return true;
      this.members.setSuccessor(k, null, term);
      await this.release(k, term);
      return false;
    } finally {
      this.keysInFlight.delete(key);
    }
  }

  /** An owner that the state service serves no more, while it serves its standby, need not wait for its lease to run out. */
  private handOverIfCutOff(): void {
    const { renewalFailingMs: failingMs } = this.members;
    if (failingMs < STATE_STORE_CUT_OFF_MS) return;
    for (const s of [...this.shards.values()]) {
      const ago = this.replicators.get(s.index)?.standbyLeaseRenewedAgoMs ?? null;
      if (ago !== null && ago < failingMs - 500)
        void this.handOverToStandby(s, 'cut off from the state service');
    }
  }

  /** Lets a question wait a little for a shard that is being handed over to this node. */
  async waitForHandover(k: number): Promise<void> {
    const until = this.context.clock.now() + HANDOVER_WAIT_MS;
    const coming = () => this.incomingHandovers.has(k) && !this.shards.get(k)?.ready;
    while (coming() && this.context.clock.now() < until) await pause(this.context.clock, HANDOVER_POLL_MS);
  }

  /** The owner of a shard hands it over to this node. */
  async acceptHandover(args: Record<string, unknown>): Promise<boolean> {
    const k = Number(args.shard);
    this.incomingHandovers.add(k);
    this.context.clock.after(HANDOVER_WAIT_MS * 4, () => this.incomingHandovers.delete(k));
    return (await this.standbyCoordinator?.replicas.onHandover(args)) ?? false;
  }

  private async probeWorkers(): Promise<void> {
    this.probingWorkers = true;
    try {
      const addrs: string[] = [];
      for (const [key, e] of this.members.stateCache.entries) {
        const record = key.startsWith(KEYS.machines) ? readMachineRecord(e.value) : null;
        if (record?.addr) addrs.push(record.addr);
      }
      const step = Math.max(1, Math.floor(addrs.length / PROBES));
      const asked = addrs.filter((_, i) => i % step === 0).slice(0, PROBES);
      const answers = await Promise.all(
        asked.map((addr) =>
          this.context.http.request(addr, 'GET', WORKER_PATHS.status, null, PROBE_TIMEOUT_MS).then(
            () => 1,
            () => 0,
          ),
        ),
      );
      const answered = answers.reduce<number>((sum, n) => sum + n, 0);
      if (answered < Math.min(MIN_PROBES_ANSWERED, asked.length)) return;
      this.workerConnectivity.uncordon();
      this.context.log.info('workers can be reached again');
      await this.members.publishCordoned(false);
    } catch (error) {
      this.context.log.info({ err: error }, 'coming back not told');
    } finally {
      await pause(this.context.clock, PROBE_TIMEOUT_MS);
      this.probingWorkers = false;
    }
  }

  /** Lets another node have a shard that this one has dropped. */
  private async release(k: number, term: number): Promise<void> {
    const key = KEYS.owner(k);
    try {
      const r = await this.context.store.compareAndSwap([{ key, version: term }], [{ delete: key }]);
      if (r.ok) this.members.stateCache.remove(key, r.revision);
    } catch (error) {
      this.context.log.info({ shard: k, err: error }, 'shard not released');
    }
  }

  /**
   * How long this node waits before it takes a key that nobody holds: first the home node, then the others in turn.
   * Nobody waits for one that has withdrawn.
   */
  private claimDelayMs(shard: number): number {
    if (this.workerConnectivity.cordoned) return CORDONED_CLAIM_DELAY_MS;
    const n = this.nodeOrder.length;
    let wait = 0;
    for (let i = 0; this.nodeOrder[(shard + i) % n] !== this.context.settings.node; i++) {
      if (!this.members.isNodeCordoned(this.nodeOrder[(shard + i) % n]!)) wait += CLAIM_DELAY_PER_NODE_MS;
    }
    return wait;
  }

  private reconcileShard(k: number): void {
    const key = KEYS.owner(k);
    const entry = this.members.stateCache.entries.get(key);
    const mine = this.shards.get(k);
    const now = this.context.clock.now();
    if (entry) {
      this.ownerGoneSince.delete(key);
      const here = this.members.isHeldHere(entry.value);
      if (mine && (!here || mine.term !== entry.version)) {
        // Somebody else's, or a newer term of this node's.
        if (entry.version > mine.term) this.stopOwning(mine);
      }
      if (here && !this.shards.has(k) && !this.keysInFlight.has(key) && !this.members.successor(k)) {
        // A claim that was thought lost has been made after all; or the key of a former ownership is still there.
        if (!isFreshTerm(entry.version, this.retiredTerms)) this.releaseRetiredTerm(k, entry.version);
        else this.startOwning(k, entry.version);
      }
      if (here && this.shards.has(k)) this.reconcileHome(k);
      return;
    }
    if (mine) {
      this.stopOwning(mine);
      return;
    }
    const since = this.ownerGoneSince.get(key) ?? now;
    this.ownerGoneSince.set(key, since);
    if (now - since < this.claimDelayMs(k) || this.keysInFlight.has(key)) return;
    this.keysInFlight.add(key);
    void this.members
      .claim(key)
      .then((term) => {
        if (term !== null && !this.shards.has(k)) this.startOwning(k, term);
      })
      .finally(() => this.keysInFlight.delete(key));
  }

  homeNode(shard: number): string {
    return this.nodeOrder[shard % this.nodeOrder.length]!;
  }

  /** A shard's key is this node's, under a term. */
  startOwning(k: number, term: number, taken: TakeoverState | null = null): void {
    const lease = this.members.leaseId;
    if (lease === null || this.shards.has(k)) return;
    const replicator = this.standbyCoordinator?.createReplicator(k, term, lease) ?? null;
    if (replicator) this.replicators.set(k, replicator);
    const shard: Shard = new Shard({
      context: this.context,
      index: k,
      term,
      leaseCovers: () => this.members.holdsLeaseId(lease),
      onOwnershipLost: () => this.stopOwning(shard),
      peers: this.peerShards,
      replicator,
      takeover: taken,
    });
    this.shards.set(k, shard);
    this.hooks.tellOwns(k, term);
    void shard.start();
  }

  /** Another node has taken a shard under a newer term: this one's is over, whatever its copy of the keys shows. */
  onNewerTerm(k: number, term: number): void {
    const mine = this.shards.get(k);
    if (mine && mine.term < term) this.stopOwning(mine);
  }

  /** A shard taken over goes back when its home node has been up for a while. */
  private reconcileHome(k: number): void {
    const home = this.homeNode(k);
    const now = this.context.clock.now();
    if (
      home === this.context.settings.node ||
      !this.members.isPresent(home) ||
      this.members.isNodeCordoned(home)
    ) {
      this.homeSince.delete(k);
      return;
    }
    const since = this.homeSince.get(k) ?? now;
    this.homeSince.set(k, since);
    if (now - since < HAND_BACK_AFTER_MS) return;
    const shard = this.shards.get(k)!;
    if (!shard.ready) return;
    if (this.standbyCoordinator?.isStandbyCapable(home)) {
      if (!this.standbyCoordinator.shouldReturnHome(k)) return;
      if (this.successorOf(shard) === home) {
        this.homeSince.delete(k);
        void this.handOverToStandby(shard, 'going home');
        return;
      }
      if (now - since < HAND_BACK_AFTER_MS + HOME_SYNC_TIMEOUT_MS) return;
    }
    this.homeSince.delete(k);
    this.context.log.info({ shard: k, to: home }, 'handing back');
    this.stopOwning(shard);
    this.releaseRetiredTerm(k, shard.term);
  }

  private releaseRetiredTerm(k: number, term: number): void {
    const key = KEYS.owner(k);
    this.keysInFlight.add(key);
    void this.release(k, term).finally(() => this.keysInFlight.delete(key));
  }

  private reconcileLeadership(): void {
    const key = KEYS.leader;
    const entry = this.members.stateCache.entries.get(key);
    const now = this.context.clock.now();
    if (entry) {
      this.ownerGoneSince.delete(key);
      const here = this.members.isHeldHere(entry.value);
      if (!here && this.leader) {
        this.leader.stop();
        this.leader = null;
      }
      if (here && !this.leader) this.becomeLeader(entry.version);
      return;
    }
    if (this.leader) {
      this.leader.stop();
      this.leader = null;
    }
    const since = this.ownerGoneSince.get(key) ?? now;
    this.ownerGoneSince.set(key, since);
    if (now - since < 300 * this.nodeOrder.indexOf(this.context.settings.node) || this.keysInFlight.has(key))
      return;
    this.keysInFlight.add(key);
    void this.members
      .claim(key)
      .then((term) => {
        if (term !== null && !this.leader) this.becomeLeader(term);
      })
      .finally(() => this.keysInFlight.delete(key));
  }

  private becomeLeader(term: number): void {
    this.leader = new Leader(
      this.context,
      term,
      this.members.stateCache,
      (shard) => this.zones.get(this.homeNode(shard)) ?? '',
      this.hooks,
    );
    this.leader.start();
    this.leader.onMachineList(this.context.catalog.listedMachines);
  }
}
