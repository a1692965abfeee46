import { pause } from '../clock/clock.js';
import { isGuest, type JobEntry } from '../jobs/job.js';
import { findJob, readSpec } from '../jobs/records.js';
import { standing, waits } from '../jobs/standing.js';
import { Answered, type Mesh } from '../peer/mesh.js';
import { StateFailure } from '../state/store.js';
import type { Entry } from '../wire/state.js';
import type { JobSpec } from '../wire/users.js';
import { type Report, WORKER_PATHS } from '../wire/workers.js';
import { Deputy } from './deputy.js';
import { type Need, readGossip, readNeed } from './gossip.js';
import { KEYS, LEVEL, readMachineRecord, readParting } from './keys.js';
import { Leader, type Stray } from './leader.js';
import { Mailbox } from './mailbox.js';
import { Members } from './members.js';
import { Reach } from './reach.js';
import { NOT_READY, OwnerAway, Shard, type StatusAnswer, type SubmitAnswer, Unavailable } from './shard.js';
import { type Claim, readClaims, readStandings, type Standing } from './waiting.js';
import type { World } from './world.js';

export type ReportAnswer =
  | { kind: 'orders'; body: object }
  | { kind: 'redirect'; node: string | null }
  /** `known` when the machine is one of the cluster's. */
  | { kind: 'busy'; known: boolean };

const CLAIM_MS = 200;
const GOSSIP_MS = 500;
const LIST_MS = 5000;
const TYPES_MS = 30_000;
const ASK_MS = 3500;
/**
 * When a question can also be answered by way of the state service, less is spent on the direct way: users wait 2 s for
 * the state of a job and 5 s for other answers.
 */
const ASK_FIRST_MS = 1800;
const ASK_STATUS_MS = 900;
/** An owner that has answered neither directly nor by letter is not written to for this long: users are told at once. */
const NO_LETTERS_MS = 2500;
const MAIL_MS = 1000;
const MAILED = new Set(['submit', 'submitAfter', 'cancel']);
/** Owners ask each other often what has become of jobs, and the state service when there is no answer. */
const ASK_NEEDED_MS = 2000;
/** How long a shard stays its dead home node's to take again. */
const ADOPT_AFTER_MS = 1500;
const HAND_BACK_AFTER_MS = 6000;
/** A node that stands aside takes a shard all the same when nobody else has for so long. */
const NOBODY_ELSE_MS = 12_000;
/** Machines that are asked whether this node reaches them again, and how many must answer. */
const PROBES = 5;
const PROBES_ANSWERED = 3;
const PROBE_MS = 1500;
const ROUTES_KEPT = 20_000;
const GONE_KEPT = 2000;

/** One controller: the shards it owns, the leadership when it has it, and the way to everybody else's. */
export class ControllerNode {
  readonly members: Members;
  private readonly mailbox: Mailbox;
  private readonly deputy: Deputy;
  private readonly shards = new Map<number, Shard>();
  private readonly order: string[];
  private readonly zones: Map<string, string>;
  private readonly ownerGoneSince = new Map<string, number>();
  private readonly homeSince = new Map<number, number>();
  private readonly reach: Reach;
  private probing = false;
  private leaving = false;
  /**
   * Terms under which this node has owned a shard and does so no more. None is ever taken up again: tokens and attempts
   * would be those of the former ownership, whose orders may still be under way.
   */
  private readonly spentTerms = new Set<number>();
  private readonly noLettersUntil = new Map<string, number>();
  private readonly claiming = new Set<string>();
  private readonly routes = new Map<string, JobEntry>();
  private leader: Leader | null = null;
  private mesh: Mesh | null = null;

  constructor(private readonly world: World) {
    const s = world.settings;
    this.order = [s.node, ...s.peers.map((p) => p.node)].sort();
    this.reach = new Reach(world.clock);
    this.zones = new Map([s, ...s.peers].map((n) => [n.node, n.zone]));
    this.members = new Members(
      world.clock,
      world.store,
      s.node,
      world.run,
      world.log,
      (key, entry) => this.changed(key, entry),
      () => this.dropAll(),
    );
    this.mailbox = new Mailbox(world, this.members.mirror, (shard, op, args) => {
      const here = this.shards.get(shard);
      return here?.ready && MAILED.has(op) ? this.serve(op, { ...args, shard }) : null;
    });
    this.deputy = new Deputy(
      world,
      this.members,
      () => this.allRead,
      (shard, id) => this.confirm(shard, id),
    );
  }

  /** Makes a shard's owner read the record of a job that it may not know of. */
  private async confirm(shard: number, id: string): Promise<boolean> {
    try {
      await this.ask(shard, 'status', { id }, (s) => s.status(id));
      return true;
    } catch (error) {
      if (!(error instanceof Unavailable || error instanceof StateFailure)) throw error;
      return false;
    }
  }

  async start(mesh: Mesh): Promise<void> {
    this.mesh = mesh;
    void this.keepTypes();
    void this.keepList();
    void this.mailbox.sweep();
    this.gossipLoop();
    await this.members.start();
    this.claimLoop();
  }

  /** A planned end: whoever is next need not wait for the lease to run out. */
  async leave(): Promise<void> {
    this.leaving = true;
    this.dropAll();
    await this.members.leave();
  }

  get healthy(): boolean {
    return !this.leaving && this.members.mirror.ready && this.world.catalog.known;
  }

  // --- ownership

  private changed(key: string, entry: Entry | null): void {
    if (entry && key.startsWith(KEYS.mail)) this.mailbox.changed(key, entry);
    if (key.startsWith(KEYS.machines)) {
      const id = key.slice(KEYS.machines.length);
      for (const shard of this.shards.values()) shard.machineRecord(id, entry);
      if (!entry) this.bury(id);
    }
  }

  private bury(id: string): void {
    this.world.goneMachines.set(id, this.world.clock.now());
    if (this.world.goneMachines.size > GONE_KEPT) {
      this.world.goneMachines.delete(this.world.goneMachines.keys().next().value!);
    }
  }

  private dropAll(): void {
    for (const shard of [...this.shards.values()]) this.drop(shard);
    this.leader?.stop();
    this.leader = null;
  }

  private drop(shard: Shard): void {
    shard.stop();
    this.spentTerms.add(shard.term);
    if (this.shards.get(shard.index) === shard) this.shards.delete(shard.index);
  }

  private claimLoop(): void {
    if (this.members.valid && this.members.mirror.ready) {
      this.considerStandingAside();
      for (let k = 0; k < this.world.settings.nodes; k++) this.consider(k);
      this.considerLeading();
    }
    this.world.clock.after(CLAIM_MS, () => this.claimLoop());
  }

  // --- cut off from the workers

  /** A node that machines cannot reach leaves its shards to others, and comes back when it reaches machines again. */
  private considerStandingAside(): void {
    if (this.reach.aside) {
      if (this.reach.mayReturn && !this.probing) void this.probe();
      return;
    }
    const now = this.world.clock.now();
    const recent = this.world.settings.workers.leaseS * 1000;
    const lately = this.world.settings.workers.reportS * 1250 + 500;
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
    this.reach.standAside();
    this.world.log.warn({ machines: known }, 'workers cannot reach this node: leaving its shards to others');
    const shards = [...this.shards.values()];
    for (const s of shards) this.drop(s);
    void this.members
      .tellAside(true)
      .catch((error) => this.world.log.info({ error: String(error) }, 'standing aside not told'))
      .then(() => Promise.all(shards.map((s) => this.release(s.index, s.term))));
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
      await this.members.tellAside(false);
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

  private home(shard: number): string {
    return this.order[shard % this.order.length]!;
  }

  /**
   * How long this node waits before it takes a key that nobody holds: first the home node, then the others in turn.
   * Nobody waits for one that stands aside.
   */
  private patience(shard: number): number {
    if (this.reach.aside) return NOBODY_ELSE_MS;
    const n = this.order.length;
    let wait = 0;
    for (let i = 0; this.order[(shard + i) % n] !== this.world.settings.node; i++) {
      if (!this.members.aside(this.order[(shard + i) % n]!)) wait += ADOPT_AFTER_MS;
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
      if (here && !this.shards.has(k) && !this.claiming.has(key)) {
        // A claim that was thought lost has been made after all; or the key of a former ownership is still there.
        if (this.spentTerms.has(entry.version)) this.releaseSpent(k, entry.version);
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

  private take(k: number, term: number): void {
    const lease = this.members.leaseId;
    if (lease === null) return;
    const shard: Shard = new Shard(
      this.world,
      k,
      term,
      () => this.members.validUnder(lease),
      () => this.drop(shard),
      this.others,
    );
    this.shards.set(k, shard);
    void shard.start();
  }

  /** A shard taken over goes back when its home node has been up for a while. */
  private considerHandBack(k: number): void {
    const home = this.home(k);
    const now = this.world.clock.now();
    if (home === this.world.settings.node || !this.members.present(home) || this.members.aside(home)) {
      this.homeSince.delete(k);
      return;
    }
    const since = this.homeSince.get(k) ?? now;
    this.homeSince.set(k, since);
    if (now - since < HAND_BACK_AFTER_MS) return;
    const shard = this.shards.get(k)!;
    if (!shard.ready) return;
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
      () => this.members.valid,
      (shard, machine, to) => this.giveAway(shard, machine, to),
      (shard, machine, to, priority) => this.vacate(shard, machine, to, priority),
      (shard, to, need, zone) => this.cede(shard, to, need, zone),
      () => this.allRead,
    );
    this.leader.start();
    this.leader.listed(this.world.catalog.listed);
  }

  // --- what the cloud tells

  private async keepTypes(): Promise<never> {
    for (;;) {
      try {
        this.world.catalog.set(await this.world.cloud.types());
        for (const s of this.shards.values()) s.stir();
        void this.storeTypes();
        await pause(this.world.clock, TYPES_MS);
      } catch (error) {
        this.world.log.debug({ error: String(error) }, 'machine types not read');
        this.recallTypes();
        await pause(this.world.clock, 1500);
      }
    }
  }

  /** A node that starts while the cloud does not answer decides by what the cloud last said. */
  private recallTypes(): void {
    if (this.world.catalog.known) return;
    const stored = this.members.mirror.entries.get(KEYS.types);
    if (stored && Array.isArray(stored.value)) this.world.catalog.set(stored.value);
  }

  private async storeTypes(): Promise<void> {
    if (!this.leader) return;
    const types = this.world.catalog.all().map(([, t]) => t);
    const stored = this.members.mirror.entries.get(KEYS.types);
    if (stored || JSON.stringify(types).length > this.world.settings.stateLimits.valueKb * 1000) return;
    try {
      await this.world.store.txn([{ key: KEYS.types, version: 0 }], [{ put: KEYS.types, value: types }]);
    } catch (error) {
      this.world.log.debug({ error: String(error) }, 'machine types not stored');
    }
  }

  private async keepList(): Promise<never> {
    for (;;) {
      try {
        const listed = await this.world.cloud.list();
        this.world.catalog.setListed(listed);
        for (const s of this.shards.values()) s.listed();
        this.leader?.listed(this.world.catalog.listed);
      } catch (error) {
        this.world.log.debug({ error: String(error) }, 'machine list not read');
      }
      // The leader looks for machines that nobody has; for the others the list only confirms what reports tell.
      await pause(this.world.clock, this.leader ? LIST_MS : LIST_MS * 3);
    }
  }

  // --- between the nodes

  private gossipLoop(): void {
    const leader = this.members.leader();
    for (const s of this.shards.values()) {
      if (!s.ready) continue;
      const told = s.gossip(this.world.settings.node);
      if (this.leader) this.leader.hear(told);
      else if (leader) this.mesh?.tell(leader, 'gossip', told);
    }
    this.world.clock.after(GOSSIP_MS, () => this.gossipLoop());
  }

  private async giveAway(shard: number, machine: string, to: number): Promise<boolean> {
    const local = this.shards.get(shard);
    if (local) return local.give(machine, to);
    const owner = this.members.owner(shard);
    if (!owner) return false;
    return (await this.mesh?.ask(owner.node, 'give', { shard, machine, to }, ASK_MS)) === true;
  }

  private async vacate(shard: number, machine: string, to: number, priority: number): Promise<boolean> {
    const local = this.shards.get(shard);
    if (local) return local.vacate(machine, to, priority);
    const owner = this.members.owner(shard);
    if (!owner) return false;
    return (await this.mesh?.ask(owner.node, 'vacate', { shard, machine, to, priority }, ASK_MS)) === true;
  }

  private async cede(shard: number, to: number, need: Need, zone: string): Promise<boolean> {
    const local = this.shards.get(shard);
    if (local) return local.cede(to, need, zone);
    const owner = this.members.owner(shard);
    if (!owner) return false;
    return (await this.mesh?.ask(owner.node, 'cede', { shard, to, need, zone }, ASK_MS)) === true;
  }

  /** What another controller asks. */
  async serve(op: string, args: unknown): Promise<unknown> {
    const a = (typeof args === 'object' && args !== null ? args : {}) as Record<string, unknown>;
    switch (op) {
      case 'gossip': {
        const told = readGossip(args);
        if (told) this.leader?.hear(told);
        return null;
      }
      case 'stray':
        this.leader?.seen(a as unknown as Stray);
        return null;
      case 'sent':
        this.reach.sentHere(String(a.machine));
        return null;
      case 'give': {
        const shard = this.shards.get(Number(a.shard));
        return shard ? shard.give(String(a.machine), Number(a.to)) : false;
      }
      case 'vacate': {
        const shard = this.shards.get(Number(a.shard));
        return shard ? shard.vacate(String(a.machine), Number(a.to), Number(a.priority)) : false;
      }
      case 'cede': {
        const shard = this.shards.get(Number(a.shard));
        const need = readNeed(a.need);
        return shard && need ? shard.cede(Number(a.to), need, String(a.zone)) : false;
      }
      case 'needed':
        return this.local(a.shard).neededBy(Number(a.from), readClaims(a.claims));
      case 'over':
        if (a.status === 'done' || a.status === 'cancelled')
          this.shards.get(Number(a.shard))?.overElsewhere(String(a.id), a.status);
        return null;
      case 'submitAfter':
      case 'submit': {
        const spec = readSpec(a.spec);
        if (!spec) throw new Error('bad job');
        return this.local(a.shard).submit(spec);
      }
      case 'status':
        return this.local(a.shard).status(String(a.id));
      case 'cancel':
        return this.local(a.shard).cancel(String(a.id));
      default:
        throw new Error(`unknown request ${op}`);
    }
  }

  private local(shard: unknown): Shard {
    const s = this.shards.get(Number(shard));
    if (!s) throw new Unavailable('not the owner');
    return s;
  }

  /** Puts a question to a shard's owner, wherever it is. */
  private async ask<T>(
    shard: number,
    op: string,
    args: object,
    here: (s: Shard) => Promise<T>,
    mayMail = true,
  ): Promise<T> {
    const local = this.shards.get(shard);
    if (local) return here(local);
    const owner = this.members.owner(shard);
    if (!owner || owner.node === this.world.settings.node || !this.mesh)
      throw new OwnerAway('no owner at present');
    const mailed = MAILED.has(op);
    const ms = mailed ? ASK_FIRST_MS : op === 'status' ? ASK_STATUS_MS : ASK_MS;
    try {
      return (await this.mesh.ask(owner.node, op, { shard, ...args }, ms)) as T;
    } catch (error) {
      // An owner that answers is not to be asked again: it knows best that it cannot serve now.
      const message = error instanceof Error ? error.message : 'owner does not answer';
      if (error instanceof Answered)
        throw message === NOT_READY ? new OwnerAway(message) : new Unavailable(message);
      if (mailed && mayMail) return await this.askByMail<T>(shard, owner.run, op, args);
      throw new OwnerAway(message);
    }
  }

  private async askByMail<T>(shard: number, run: string, op: string, args: object): Promise<T> {
    const now = this.world.clock.now();
    if (now < (this.noLettersUntil.get(run) ?? 0)) throw new Unavailable('owner does not answer');
    try {
      return (await this.mailbox.ask(shard, op, { ...args }, MAIL_MS)) as T;
    } catch (error) {
      if (this.noLettersUntil.size > this.order.length * 4) this.noLettersUntil.clear();
      this.noLettersUntil.set(run, this.world.clock.now() + NO_LETTERS_MS);
      throw new Unavailable(error instanceof Error ? error.message : 'owner does not answer');
    }
  }

  /** Whether every node understands what the first version did not. */
  private get allRead(): boolean {
    return this.members.allSpeak(this.order, LEVEL);
  }

  /** What a shard here needs of the others. */
  private readonly others = {
    allRead: () => this.allRead,
    locate: (id: string) => this.locate(id),
    read: (id: string) => standing(this.world.store, id),
    askNeeded: async (shard: number, from: number, claims: Claim[]): Promise<Standing[]> => {
      const local = this.shards.get(shard);
      if (local) return local.neededBy(from, claims);
      const owner = this.members.owner(shard);
      if (!owner || !this.mesh) throw new Unavailable('no owner at present');
      return readStandings(await this.mesh.ask(owner.node, 'needed', { shard, from, claims }, ASK_NEEDED_MS));
    },
    tellOver: (shard: number, id: string, status: 'done' | 'cancelled') => {
      const local = this.shards.get(shard);
      const owner = this.members.owner(shard);
      if (local) local.overElsewhere(id, status);
      else if (owner) this.mesh?.tell(owner.node, 'over', { shard, id, status });
    },
  };

  // --- users

  /**
   * The shard of a job that is submitted; null while teams have not been parted. Jobs without a team go by a hash of their
   * id, and so do those of a team with neither a guarantee nor a limit: nothing of theirs has to be counted in one place,
   * and so their small tasks find what is left on the machines of all shards.
   */
  shardOf(spec: JobSpec): number | null {
    const { teams, nodes } = this.world.settings;
    if (teams.length === 0) return hash(spec.id) % nodes;
    const parted = readParting(this.members.mirror.entries);
    const own = parted?.[spec.team];
    if (!parted || own === undefined) return null;
    const team = teams.find((t) => t.name === spec.team);
    if (!team || !isGuest(team)) return own;
    const shards = new Set<number>();
    for (const t of teams) if (!isGuest(t) && parted[t.name] !== undefined) shards.add(parted[t.name]!);
    const among = [...shards].sort((a, b) => a - b);
    return among.length === 0 ? own : among[hash(spec.id) % among.length]!;
  }

  private remember(id: string, { shard, final, tasks }: JobEntry): void {
    this.routes.set(id, final ? { shard, final, tasks: tasks ?? 0 } : { shard });
    if (this.routes.size > ROUTES_KEPT) this.routes.delete(this.routes.keys().next().value!);
  }

  /** Where a job is, or how it ended; null only when the state service has never heard of it. */
  async locate(id: string): Promise<JobEntry | null> {
    const known = this.routes.get(id);
    if (known) return known;
    for (const s of this.shards.values()) if (s.ready && s.jobs.has(id)) return { shard: s.index };
    const entry = await findJob((key) => this.world.store.look(key), id);
    if (entry) this.remember(id, entry);
    return entry;
  }

  /**
   * How a job stands as far as the state service knows, for when its owner cannot be reached: behind a cut between
   * zones a user may see no other node for minutes. An end is durable before anyone hears of it, so this is never
   * older than what the user was told.
   */
  private async stored(id: string): Promise<StatusAnswer | null> {
    const entry = await findJob((key) => this.world.store.look(key), id);
    if (!entry) return null;
    this.remember(id, entry);
    // While it waits, one that it needs may have been cancelled, and it must not be called queued for long then.
    if (!entry.final && waits(entry) && (await standing(this.world.store, id)) !== 'active')
      throw new Unavailable('what the job waits for is not known now');
    const done = entry.final === 'done' ? (entry.tasks ?? 0) : 0;
    return { status: entry.final ?? 'queued', done, running: 0 };
  }

  async submit(spec: JobSpec): Promise<SubmitAnswer> {
    const known = this.routes.get(spec.id);
    if (known?.final) return { kind: 'known', status: known.final };
    const shard = known?.shard ?? this.shardOf(spec);
    if (shard === null) throw new Unavailable('teams are not parted yet');
    // An older version would not see that it waits: it would start it at once.
    if (spec.after.length > 0 && !this.allRead)
      throw new Unavailable('not all controllers run a version that lets jobs wait for others');
    const op = spec.after.length > 0 ? 'submitAfter' : 'submit';
    let answer: SubmitAnswer;
    try {
      const deputy = this.deputy.mayAccept(spec);
      answer = await this.ask<SubmitAnswer>(shard, op, { spec }, (s) => s.submit(spec), !deputy).catch(
        (error) => {
          if (!deputy || !(error instanceof OwnerAway)) throw error;
          return this.acceptFor(shard, op, spec);
        },
      );
    } catch (error) {
      // What was accepted before is known without its owner; only a new job has to wait for it.
      const stored = error instanceof Unavailable ? await this.stored(spec.id) : null;
      if (!stored) throw error;
      return { kind: 'known', status: stored.status };
    }
    if (answer.kind === 'accepted') this.remember(spec.id, { shard });
    return answer;
  }

  /** Accepts a job whose owner is away; an owner that only this node cannot reach hears of it by letter. */
  private async acceptFor(shard: number, op: string, spec: JobSpec): Promise<SubmitAnswer> {
    for (const id of spec.after) {
      const entry = await this.locate(id);
      if (!entry) return { kind: 'never', needs: id };
      // It has to be cancelled together with its acceptance.
      if (entry.final === 'cancelled') throw new Unavailable('no owner at present');
    }
    const answer = await this.deputy.accept(shard, spec);
    if (answer.kind === 'known' && answer.status === 'queued')
      throw new Unavailable('known, but not how it stands');
    const owner = this.members.owner(shard);
    if (answer.kind === 'accepted' && owner && owner.node !== this.world.settings.node)
      void this.askByMail(shard, owner.run, op, { spec }).catch(() => undefined);
    return answer;
  }

  async status(id: string): Promise<StatusAnswer | null> {
    const entry = await this.locate(id);
    if (!entry) return null;
    if (entry.final) {
      return { status: entry.final, done: entry.final === 'done' ? (entry.tasks ?? 0) : 0, running: 0 };
    }
    let answer: StatusAnswer | null;
    try {
      answer = await this.ask(entry.shard, 'status', { id }, (s) => s.status(id));
    } catch (error) {
      const stored = error instanceof Unavailable ? await this.stored(id) : null;
      if (!stored) throw error;
      return stored;
    }
    if (!answer) {
      // Over, and the owner has forgotten it: the state service knows.
      this.routes.delete(id);
      const again = await this.locate(id);
      if (!again?.final) throw new Unavailable('between two owners');
      return { status: again.final, done: again.final === 'done' ? (again.tasks ?? 0) : 0, running: 0 };
    }
    if (answer.status === 'done' || answer.status === 'cancelled') {
      this.remember(id, { shard: entry.shard, final: answer.status, tasks: answer.done });
    }
    return answer;
  }

  async cancel(id: string): Promise<'done' | 'cancelled' | null> {
    const entry = await this.locate(id);
    if (!entry) return null;
    if (entry.final) return entry.final;
    const answer = await this.ask(entry.shard, 'cancel', { id }, (s) => s.cancel(id));
    if (answer === null) {
      this.routes.delete(id);
      const again = await this.locate(id);
      if (!again?.final) throw new Unavailable('between two owners');
      return again.final;
    }
    this.remember(id, { shard: entry.shard, final: answer, tasks: entry.tasks });
    return answer;
  }

  // --- workers

  report(r: Report): ReportAnswer {
    for (const s of this.shards.values()) {
      const m = s.fleet.machines.get(r.machine);
      if (!m) continue;
      this.reach.heard(m.id);
      const body = s.report(m, r);
      return body ? { kind: 'orders', body } : { kind: 'busy', known: true };
    }
    const entry = this.members.mirror.entries.get(KEYS.machine(r.machine));
    const record = entry && readMachineRecord(entry.value);
    if (!record) {
      this.stray(r);
      return { kind: 'busy', known: false };
    }
    const owner = this.members.owner(record.shard);
    if (!owner || owner.node === this.world.settings.node) return { kind: 'busy', known: true };
    this.mesh?.tell(owner.node, 'sent', { machine: r.machine });
    return { kind: 'redirect', node: owner.node };
  }

  private stray(r: Report): void {
    const stray: Stray = { id: r.machine, addr: r.addr, type: r.type, zone: r.zone, spot: r.spot, ageS: 0 };
    const leader = this.members.leader();
    if (this.leader) this.leader.seen(stray);
    else if (leader) this.mesh?.tell(leader, 'stray', stray);
  }
}

function hash(text: string): number {
  let h = 2166136261;
  for (let i = 0; i < text.length; i++) h = Math.imul(h ^ text.charCodeAt(i), 16777619) >>> 0;
  return h;
}
