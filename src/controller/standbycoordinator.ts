import type { World } from '../context/context.js';
import type { Mesh } from '../peer/mesh.js';
import { KEYS, readMachineRecord } from '../schema/schema.js';
import { RecordCopy } from '../standby/jobrecordreplica.js';
import { readStandKey } from '../standby/messages.js';
import { Follower, type Taken } from '../standby/standbyreplicas.js';
import { Keeper } from '../standby/standbyreplicator.js';
import { chooseStandby, StruckOff } from '../standby/standbyselection.js';
import type { Members } from './membership.js';

const TELL_MS = 15_000;
/** Machines of the shards are counted no more often than this. */
const COUNT_MS = 2000;
/** A standby whose lease was renewed no longer ago than this reaches the state service. */
const STATE_RECENT_MS = 3500;

export interface StandbysHooks {
  /** The node that a shard is at home on. */
  home(shard: number): string;
  order: readonly string[];
  zoneOf(node: string): string;
  /** This node takes no shard, since the workers cannot reach it. */
  withdrawn(): boolean;
  /** A shard has been taken over under a new term. */
  taken(shard: number, term: number, from: Taken): void;
  /** Somebody else has a shard that was this node's under a term. */
  lost(shard: number, term: number): void;
  requestPlan(shard: number): void;
}

/** Who stands by for this node's shards, and for which others' it does; one for a node where that is enabled. */
export class Standbys {
  readonly follower: Follower;
  private readonly records: RecordCopy;
  private readonly struck = new StruckOff();
  private toldAt = 0;
  private readonly counts = new Map<number, Map<string, number>>();
  private countedAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly world: World,
    private readonly members: Members,
    private readonly mesh: Mesh,
    private readonly hooks: StandbysHooks,
  ) {
    const { clock, log } = world;
    this.records = new RecordCopy(world, log);
    this.follower = new Follower(this.records, log, {
      now: () => clock.now(),
      after: (ms, run) => void clock.after(ms, run),
      run: world.run,
      mayTake: () => members.valid && members.mirror.ready && !hooks.withdrawn(),
      refused: (node) => mesh.refused(node),
      seen: (shard) => ({
        owner: members.mirror.entries.get(KEYS.owner(shard))?.version ?? 0,
        standby: members.mirror.entries.get(KEYS.standby(shard))?.version ?? 0,
        revision: members.mirror.revision,
      }),
      stateAgoMs: () => members.renewedAgoMs,
      claim: (shard, term, revision) => {
        const key = KEYS.standby(shard);
        return members.replace(KEYS.owner(shard), term, [{ key, version: revision }], [{ delete: key }]);
      },
      taken: (shard, term, from) => hooks.taken(shard, term, from),
    });
  }

  start(): void {
    this.follower.start();
    this.tell();
  }

  /** The owner's side of a shard that is this node's now. */
  keeper(shard: number, term: number, lease: number): Keeper {
    const log = this.world.log.child({ shard, term });
    return new Keeper(this.world, this.mesh, shard, term, this.struck, log, {
      leased: () => this.members.validUnder(lease),
      lease: () => (this.members.validUnder(lease) ? lease : null),
      choose: () => this.choose(shard),
      homeBack: () => {
        const home = this.hooks.home(shard);
        const away = home !== this.world.settings.node && this.fit(home);
        return away && this.gainsByGoingHome(shard) ? home : null;
      },
      present: (node) => this.members.presenceOf(node),
      lost: () => this.hooks.lost(shard, term),
      requestPlan: () => this.hooks.requestPlan(shard),
    });
  }

  /** Whether a node stands by for shards. */
  stands(node: string): boolean {
    return this.members.presenceOf(node)?.stands === true;
  }

  /** The node that can take a shard over at once and reaches the state service; null when there is none. */
  successor(keeper: Keeper): string | null {
    const ago = keeper.standbyStateAgoMs;
    return ago !== null && ago < STATE_RECENT_MS ? keeper.levelStandby : null;
  }

  private fit(node: string): boolean {
    if (this.struck.waits(node, this.world.clock.now())) return false;
    return this.stands(node) && !this.members.withdrawn(node) && this.mesh.connected(node);
  }

  /** Machines of each shard by zone, counted now and then. */
  private counted(shard: number): ReadonlyMap<string, number> {
    const now = this.world.clock.now();
    if (now - this.countedAt > COUNT_MS) {
      this.countedAt = now;
      this.counts.clear();
      for (const [key, e] of this.members.mirror.entries) {
        const m = key.startsWith(KEYS.machines) ? readMachineRecord(e.value) : null;
        if (!m) continue;
        const zones = this.counts.get(m.shard) ?? new Map<string, number>();
        zones.set(m.zone, (zones.get(m.zone) ?? 0) + 1);
        this.counts.set(m.shard, zones);
      }
    }
    return this.counts.get(shard) ?? new Map();
  }

  /** What a shard costs its owner; one without machines is a little work too. */
  private weight(shard: number): number {
    let sum = 1;
    for (const n of this.counted(shard).values()) sum += n;
    return sum;
  }

  /**
   * Whether a shard is better off at home. Each way costs a question to each of its machines, so it goes there only when that takes
   * more off this node than it puts on the home node, or when that is where most of its machines are and this one is not.
   */
  gainsByGoingHome(shard: number): boolean {
    const here = this.world.settings.node;
    const home = this.hooks.home(shard);
    const zones = this.counted(shard);
    const near = (node: string) => zones.get(this.hooks.zoneOf(node)) ?? 0;
    if (near(home) !== near(here)) return near(home) > near(here);
    const load = (node: string) => {
      let sum = 0;
      for (let k = 0; k < this.world.settings.nodes; k++)
        if (this.members.owner(k)?.node === node) sum += this.weight(k);
      return sum;
    };
    return load(here) > load(home) + this.weight(shard);
  }

  private choose(shard: number): string | null {
    const { entries } = this.members.mirror;
    const load = new Map<string, number>();
    const count = (node: string | undefined, n: number) => {
      if (node !== undefined) load.set(node, (load.get(node) ?? 0) + n);
    };
    for (let k = 0; k < this.world.settings.nodes; k++) {
      count(this.members.owner(k)?.node, this.weight(k));
      count(readStandKey(entries.get(KEYS.standby(k))?.value)?.node, this.weight(k));
    }
    return chooseStandby({
      owner: this.world.settings.node,
      home: this.gainsByGoingHome(shard) ? this.hooks.home(shard) : this.world.settings.node,
      order: this.hooks.order,
      fit: (node) => this.fit(node),
      load: (node) => load.get(node) ?? 0,
      zoneOf: (node) => this.hooks.zoneOf(node),
      machines: this.counted(shard),
    });
  }

  private tell(): void {
    const now = this.world.clock.now();
    if (now - this.toldAt >= TELL_MS && this.follower.count > 0) {
      this.toldAt = now;
      this.world.log.info({ shards: this.follower.told(), records: this.records.size }, 'standing by for');
    }
    this.world.clock.after(TELL_MS / 3, () => this.tell());
  }
}
