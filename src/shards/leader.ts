import { mostMachines } from '../config/settings.js';
import { valueBytes } from '../jobs/records.js';
import { fitCount } from '../plan/profile.js';
import { StateFailure } from '../state/store.js';
import type { ListedMachine } from '../wire/cloud.js';
import { PRIORITY } from '../wire/users.js';
import type { Gossip, Need, Spare } from './gossip.js';
import { KEYS, type MachineRecord, readParting } from './keys.js';
import type { Mirror } from './mirror.js';
import type { World } from './world.js';

/** What a machine that nobody has been given says of itself. */
export interface Stray {
  id: string;
  addr: string;
  type: string;
  zone: string;
  spot: boolean;
  ageS: number;
}

const ACT_MS = 250;
const GOSSIP_MS = 4000;
const GIVEN_MS = 2500;
/** Machines dealt in one transaction; together with their conditions they stay well below the largest request. */
const DEALT_TOGETHER = 24;
const DEALT_LEAST = 12;
/** Lesser work elsewhere is stopped for urgent tasks only when they would wait longer than this, one machine at a time. */
const CLEAR_WAIT_S = 8;
const CLEAR_PAUSE_MS = 700;
/** A machine is ceded where urgent work waits at least so long, and so much longer than in the shard that cedes it. */
const CEDE_LEAST_S = 12;
const CEDE_FACTOR = 1.25;
const CEDE_MARGIN_S = 6;
const CEDE_PAUSE_MS = 300;
const CEDE_FEWEST = 3;
const CEDE_AIM_S = 120;
const CEDE_AIM_SHARE = 1;
/** A machine just rented may report before its owner has recorded it; one still booting is its renter's to record. */
const STRAY_GRACE_MS = 400;
const BOOTING_GRACE_MS = 8000;

/**
 * The leader's work: it parts teams and unassigned machines among the shards and moves empty machines to where tasks
 * wait. What it decides is only ever a wish or a conditional write, so two leaders at once do no harm.
 */
export class Leader {
  private readonly gossip = new Map<number, { at: number; told: Gossip }>();
  private readonly strays = new Map<string, { stray: Stray; since: number; reported: boolean }>();
  private readonly given = new Map<string, number>();
  private stopped = false;
  private dealing = false;

  constructor(
    private readonly world: World,
    private readonly term: number,
    private readonly mirror: Mirror,
    /** Zone of the node that a shard is at home on. */
    private readonly zoneOf: (shard: number) => string,
    private readonly valid: () => boolean,
    private readonly giveAway: (shard: number, machine: string, to: number) => Promise<boolean>,
    private readonly vacate: (
      shard: number,
      machine: string,
      to: number,
      priority: number,
    ) => Promise<boolean>,
    private readonly cede: (shard: number, to: number, need: Need, zone: string) => Promise<boolean>,
    /** Whether every node understands what the first version did not. */
    private readonly allRead: () => boolean,
  ) {}

  start(): void {
    this.world.log.info({ term: this.term }, 'leading');
    this.loop();
  }

  stop(): void {
    this.stopped = true;
  }

  hear(told: Gossip): void {
    this.gossip.set(told.shard, { at: this.world.clock.now(), told });
  }

  /** A machine that no record names has reported. */
  seen(stray: Stray): void {
    const known = this.strays.get(stray.id);
    if (known) {
      if (!known.reported) known.since = this.world.clock.now();
      known.reported = true;
    } else this.strays.set(stray.id, { stray, since: this.world.clock.now(), reported: true });
  }

  listed(machines: ListedMachine[]): void {
    const now = this.world.clock.now();
    const buried = now - Math.max(30_000, this.world.settings.cloudLimits.listLagS * 5000);
    const names = new Set(machines.map((m) => m.id));
    for (const m of machines) {
      // The list is late: it still shows machines that have just been given back.
      if ((this.world.goneMachines.get(m.id) ?? Number.NEGATIVE_INFINITY) > buried) continue;
      if (m.state === 'failed' || this.mirror.entries.has(KEYS.machine(m.id)) || this.strays.has(m.id))
        continue;
      this.strays.set(m.id, { stray: { ...m }, since: now, reported: m.state === 'running' });
    }
    for (const [id, s] of this.strays) if (!s.reported && !names.has(id)) this.strays.delete(id);
  }

  private loop(): void {
    if (this.stopped) return;
    if (this.valid() && this.mirror.ready) {
      void this.partTeams();
      void this.deal();
      this.move();
    }
    this.world.clock.after(ACT_MS, () => this.loop());
  }

  private get shards(): number {
    return this.world.settings.nodes;
  }

  // --- teams

  private parting = false;

  /** Teams stay in the shard that they were given; new ones go where the guarantees weigh least. */
  private async partTeams(): Promise<void> {
    const known = readParting(this.mirror.entries) ?? {};
    const fresh = this.world.settings.teams.filter((t) => known[t.name] === undefined);
    if ((this.mirror.entries.has(KEYS.teams) && fresh.length === 0) || this.parting) return;
    this.parting = true;
    try {
      const records = this.partingRecords(partTeams(this.world.settings.teams, known, this.shards));
      for (const [key, value] of records) {
        const version = this.mirror.entries.get(key)?.version ?? 0;
        const result = await this.world.store.txn(
          [
            { key: KEYS.leader, version: this.term },
            { key, version },
          ],
          [{ put: key, value }],
        );
        if (!result.ok) break;
        this.mirror.apply({ key, value, version: result.revision });
      }
    } catch (error) {
      this.world.log.info({ error: String(error) }, 'parting teams failed');
    } finally {
      this.parting = false;
    }
  }

  /** The parting in as many records as the state service's limit asks for, the first last: it tells that all are there. */
  private partingRecords(parted: Record<string, number>): [string, Record<string, number>][] {
    const most = valueBytes(this.world.settings.stateLimits.valueKb);
    if (!this.allRead()) return [[KEYS.teams, parted]];
    const records: Record<string, number>[] = [{}];
    let bytes = 2;
    for (const [team, shard] of Object.entries(parted)) {
      const more = Buffer.byteLength(JSON.stringify({ [team]: shard }));
      if (bytes + more > most) {
        records.push({});
        bytes = 2;
      }
      bytes += more;
      records.at(-1)![team] = shard;
    }
    return records
      .map((r, n): [string, Record<string, number>] => [n === 0 ? KEYS.teams : KEYS.moreTeams(n), r])
      .reverse();
  }

  // --- machines that nobody has

  private async deal(): Promise<void> {
    if (this.dealing) return;
    const now = this.world.clock.now();
    const due: Stray[] = [];
    for (const [id, s] of this.strays) {
      if (this.mirror.entries.has(KEYS.machine(id))) this.strays.delete(id);
      else if (now - s.since >= (s.reported ? STRAY_GRACE_MS : BOOTING_GRACE_MS)) due.push(s.stray);
    }
    if (due.length === 0 || !this.mirror.entries.has(KEYS.teams)) return;
    this.dealing = true;
    try {
      const { txnOps } = this.world.settings.stateLimits;
      const together = Math.min(DEALT_TOGETHER, txnOps);
      const counts = this.machineCounts();
      // Where few fit a transaction, several follow each other: machines that are up must not wait for it.
      for (let i = 0; i < Math.max(DEALT_LEAST, together); i += together) {
        const part = due.slice(i, i + together);
        if (part.length === 0) break;
        const records = part.map((s): [string, MachineRecord] => [s.id, this.recordFor(s, counts)]);
        const result = await this.world.store.txn(
          [
            { key: KEYS.leader, version: this.term },
            ...records.map(([id]) => ({ key: KEYS.machine(id), version: 0 })),
          ],
          records.map(([id, value]) => ({ put: KEYS.machine(id), value })),
        );
        for (const [id, value] of records) {
          // One that failed has a record that this copy does not show yet.
          if (result.ok) this.mirror.apply({ key: KEYS.machine(id), value, version: result.revision });
          if (result.ok || result.failed.includes(KEYS.machine(id))) this.strays.delete(id);
        }
      }
    } catch (error) {
      if (!(error instanceof StateFailure)) throw error;
      this.world.log.info({ error: String(error) }, 'dealing machines failed');
    } finally {
      this.dealing = false;
    }
  }

  private recordFor(s: Stray, counts: Map<string, number[]>): MachineRecord {
    const shard = this.poorest(s, counts);
    return {
      shard,
      addr: s.addr,
      type: s.type,
      zone: s.zone,
      spot: s.spot,
      state: 'use',
      rentedAt: Math.round(this.world.clock.wall() - s.ageS * 1000),
    };
  }

  /** How many machines of each type, and of each type in each zone, every shard has. */
  private machineCounts(): Map<string, number[]> {
    const counts = new Map<string, number[]>();
    for (const [key, e] of this.mirror.entries) {
      if (!key.startsWith(KEYS.machines)) continue;
      const r = e.value as MachineRecord;
      this.count(counts, r.shard, r.type, r.zone);
    }
    return counts;
  }

  /** How many machines every shard has. */
  private shardCounts(): number[] {
    const counts = new Array<number>(this.shards).fill(0);
    for (const [key, e] of this.mirror.entries) {
      if (!key.startsWith(KEYS.machines)) continue;
      const { shard } = e.value as MachineRecord;
      if (counts[shard] !== undefined) counts[shard]++;
    }
    return counts;
  }

  /** A shard gets no more machines than its owner has connections for, or its part of them when there are too many. */
  private mostOf(counts: readonly number[]): number {
    const all = counts.reduce((sum, n) => sum + n, this.strays.size);
    return Math.max(
      mostMachines(this.world.settings.limits.maxSockets),
      Math.ceil((all * 1.1) / this.shards),
    );
  }

  private count(counts: Map<string, number[]>, shard: number, type: string, zone: string): void {
    for (const kind of [type, `${type} ${zone}`]) {
      let list = counts.get(kind);
      if (!list) {
        list = new Array<number>(this.shards).fill(0);
        counts.set(kind, list);
      }
      if (list[shard] !== undefined) list[shard]++;
    }
  }

  /** The shard that a machine goes to; it counts as given there. */
  private poorest(s: Stray, counts: Map<string, number[]>): number {
    const weights = this.weights();
    const shards = weights.map((weight, i) => ({
      weight,
      have: counts.get(s.type)?.[i] ?? 0,
      haveInZone: counts.get(`${s.type} ${s.zone}`)?.[i] ?? 0,
      near: this.zoneOf(i) === s.zone,
    }));
    let unassigned = 0;
    for (const other of this.strays.values()) if (other.stray.type === s.type) unassigned++;
    const best = shardFor(shards, unassigned);
    this.count(counts, best, s.type, s.zone);
    return best;
  }

  private weights(): number[] {
    const weights = new Array<number>(this.shards).fill(0.01);
    const parted = readParting(this.mirror.entries) ?? {};
    for (const t of this.world.settings.teams) {
      const shard = parted[t.name];
      if (shard !== undefined && weights[shard] !== undefined) weights[shard]! += t.cpus + 10 * t.gpus + 1;
    }
    return weights;
  }

  // --- moving empty machines

  private move(): void {
    const now = this.world.clock.now();
    for (const [id, at] of this.given) if (now - at > GIVEN_MS) this.given.delete(id);
    const fresh = [...this.gossip.values()].filter((g) => now - g.at < GOSSIP_MS).map((g) => g.told);
    const sizeOf = (type: string) => this.world.catalog.size(this.world.names.types.index(type));
    const counts = this.shardCounts();
    const most = this.mostOf(counts);
    for (const m of matchSpares(fresh, sizeOf)) {
      if (this.given.has(m.machine) || counts[m.to]! >= most) continue;
      counts[m.to]!++;
      this.given.set(m.machine, now);
      void this.giveAway(m.from, m.machine, m.to).catch(() => undefined);
    }
    const ceding = now - this.cededAt < CEDE_PAUSE_MS ? null : chooseCeding(fresh, this.cedeMostS());
    if (ceding && counts[ceding.to]! < most) {
      this.cededAt = now;
      void this.cede(ceding.from, ceding.to, ceding.need, ceding.zone).catch(() => undefined);
    }
    if (now - this.clearedAt < CLEAR_PAUSE_MS) return;
    const clear = chooseClearing(fresh, sizeOf);
    if (!clear || this.given.has(clear.machine)) return;
    this.clearedAt = now;
    this.given.set(clear.machine, now);
    void this.vacate(clear.from, clear.machine, clear.to, clear.priority).catch(() => undefined);
  }

  /** A shard cedes machines as long as its own urgent work still meets the hastiest aim for a start. */
  private cedeMostS(): number {
    let hastiest = CEDE_AIM_S;
    for (const o of this.world.settings.objectives)
      if (o.kind === 'wait' && o.withinS !== null) hastiest = Math.min(hastiest, o.withinS);
    return hastiest * CEDE_AIM_SHARE;
  }

  private clearedAt = Number.NEGATIVE_INFINITY;
  private cededAt = Number.NEGATIVE_INFINITY;
}

/**
 * From which shard to which a machine should go as its tasks end, where urgent work waits much longer in one than in
 * another: on full days no machine is ever empty, and shards would stay as they were parted.
 */
export function chooseCeding(
  told: readonly Gossip[],
  mostS: number,
): { from: number; to: number; need: Need; zone: string } | null {
  let to: Gossip | null = null;
  for (const g of told) if (!to || g.urgentS > to.urgentS) to = g;
  const need = to?.needs.find((n) => n.priority >= PRIORITY.high);
  if (!to || !need || to.urgentS < CEDE_LEAST_S) return null;
  let from: Gossip | null = null;
  for (const g of told) {
    if (g.shard === to.shard || g.machines < CEDE_FEWEST) continue;
    if (!from || g.urgentS < from.urgentS) from = g;
  }
  // Where urgent work waits long itself nothing is gained: when all wait equally long, all may miss their aims.
  if (!from || from.urgentS > mostS || from.urgentS * CEDE_FACTOR + CEDE_MARGIN_S > to.urgentS) return null;
  return { from: from.shard, to: to.shard, need, zone: to.zone };
}

export interface Move {
  machine: string;
  from: number;
  to: number;
}

/** Which empty machines go to which shard: the most urgent and then earliest due need first. */
export function matchSpares(
  told: readonly Gossip[],
  sizeOf: (type: string) => { cpus: number; gpus: number; memoryGb: number },
): Move[] {
  const needs: { shard: number; need: Need }[] = told.flatMap((g) =>
    g.needs.map((need) => ({ shard: g.shard, need })),
  );
  needs.sort(
    (a, b) =>
      b.need.priority - a.need.priority ||
      Number(b.need.guaranteed) - Number(a.need.guaranteed) ||
      a.need.deadline - b.need.deadline,
  );
  const kinds = spareKinds(told);
  const zones = new Map(told.map((g) => [g.shard, g.zone]));
  const moves: Move[] = [];
  for (const { shard, need } of needs) {
    let left = need.count;
    const fitting = kinds
      .filter((k) => spareFits(k.like, need) && fitCount(sizeOf(k.like.type), need, 1) > 0)
      // Machines with GPUs last for tasks that need none.
      .sort(
        (a, b) =>
          waste(a.like, need, sizeOf) - waste(b.like, need, sizeOf) ||
          Number(b.like.zone === zones.get(shard)) - Number(a.like.zone === zones.get(shard)),
      );
    // Its own first: they are already where the tasks are.
    for (const own of [true, false]) {
      for (const k of fitting) {
        const per = fitCount(sizeOf(k.like.type), need, need.count);
        for (const [from, ids] of k.byShard) {
          if ((from === shard) !== own) continue;
          while (left > 0 && ids.length > 0) {
            const machine = ids.shift()!;
            left -= per;
            if (!own) moves.push({ machine, from, to: shard });
          }
        }
      }
    }
  }
  return moves;
}

/** Empty machines by type, zone and whether they are spot ones: there are far fewer kinds than machines. */
function spareKinds(told: readonly Gossip[]): { like: Spare; byShard: Map<number, string[]> }[] {
  const kinds = new Map<string, { like: Spare; byShard: Map<number, string[]> }>();
  for (const g of told) {
    for (const s of g.spares) {
      const key = `${s.type} ${s.zone} ${s.spot}`;
      let kind = kinds.get(key);
      if (!kind) {
        kind = { like: s, byShard: new Map() };
        kinds.set(key, kind);
      }
      const ids = kind.byShard.get(g.shard);
      if (ids) ids.push(s.id);
      else kind.byShard.set(g.shard, [s.id]);
    }
  }
  return [...kinds.values()];
}

/** A machine with nothing but lesser work, for the most urgent tasks that would wait long in their own shard. */
export function chooseClearing(
  told: readonly Gossip[],
  sizeOf: (type: string) => { cpus: number; gpus: number; memoryGb: number },
): (Move & { priority: number }) | null {
  const needs = told
    .flatMap((g) => g.needs.map((need) => ({ shard: g.shard, need })))
    .filter((n) => n.need.priority >= PRIORITY.high && n.need.waitS > CLEAR_WAIT_S)
    .sort((a, b) => b.need.priority - a.need.priority || a.need.deadline - b.need.deadline);
  for (const { shard, need } of needs) {
    const soft = told
      .filter((g) => g.shard !== shard)
      .flatMap((g) => g.soft.map((s) => ({ shard: g.shard, s })))
      .filter(
        (x) => x.s.top < need.priority && spareFits(x.s, need) && fitCount(sizeOf(x.s.type), need, 1) > 0,
      )
      .sort((a, b) => a.s.top - b.s.top || waste(a.s, need, sizeOf) - waste(b.s, need, sizeOf));
    const first = soft[0];
    if (first) return { machine: first.s.id, from: first.shard, to: shard, priority: need.priority };
  }
  return null;
}

function waste(s: Spare, need: Need, sizeOf: (type: string) => { gpus: number }): number {
  return need.gpus === 0 ? sizeOf(s.type).gpus : 0;
}

function spareFits(s: Spare, need: Need): boolean {
  return (
    (!need.types || need.types.includes(s.type)) &&
    (need.zone === null || need.zone === s.zone) &&
    (need.spot || !s.spot)
  );
}

/** A shard as it is weighed for a machine of some type in some zone. */
export interface Taker {
  /** What its teams are guaranteed. */
  weight: number;
  /** Its machines of this type, and those of them in the machine's zone. */
  have: number;
  haveInZone: number;
  /** At home in the machine's zone. */
  near: boolean;
}

/**
 * The shard with the fewest machines of a type for what its teams are guaranteed. Shards at home in the machine's zone
 * come first up to their fair part: between zones that cannot reach each other a machine loses all its tasks, since no
 * node that it reaches may answer it.
 */
export function shardFor(shards: readonly Taker[], unassigned: number): number {
  const all = shards.reduce((sum, s) => sum + s.have, unassigned);
  const weights = shards.reduce((sum, s) => sum + s.weight, 0);
  const first = (s: Taker) => s.near && s.have < (all * s.weight) / weights;
  const need = (s: Taker) => (s.have + 0.001 * s.haveInZone + 0.5) / s.weight;
  let best = 0;
  shards.forEach((s, i) => {
    const b = shards[best]!;
    if (first(s) !== first(b) ? first(s) : need(s) < need(b)) best = i;
  });
  return best;
}

/** Spreads teams over the shards by their guarantees, the largest first. */
export function partTeams(
  teams: readonly { name: string; cpus: number; gpus: number }[],
  known: Record<string, number>,
  shards: number,
): Record<string, number> {
  const out: Record<string, number> = { ...known };
  const weight = (t: { cpus: number; gpus: number }) => t.cpus + 10 * t.gpus + 1;
  const load = new Array<number>(shards).fill(0);
  for (const t of teams) {
    const s = out[t.name];
    if (s !== undefined && load[s] !== undefined) load[s]! += weight(t);
  }
  for (const t of [...teams].sort((a, b) => weight(b) - weight(a))) {
    if (out[t.name] !== undefined) continue;
    const least = load.indexOf(Math.min(...load));
    out[t.name] = least;
    load[least]! += weight(t);
  }
  return out;
}
