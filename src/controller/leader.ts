import { chooseClearing, chooseReservation, matchSpares, shardFor } from '../autoscaler/rebalancing.js';
import type { Gossip, Need } from '../autoscaler/shardstatus.js';
import { mostMachines } from '../config/settings.js';
import type { World } from '../context/context.js';
import { valueBytes } from '../jobs/records.js';
import { KEYS, type MachineRecord, readTeamAssignment } from '../schema/schema.js';
import { StateFailure } from '../state/statestore.js';
import type { ListedMachine } from '../wire/cloud.js';
import { readReport, WORKER_PATHS } from '../wire/workers.js';
import type { Mirror } from './clusterstatecache.js';

/** What a machine that nobody has been given says of itself. */
export interface UnassignedMachine {
  id: string;
  addr: string;
  type: string;
  zone: string;
  spot: boolean;
  ageS: number;
}

/** A machine that nobody has: whether it has reported, and whether it has shown that it is there. */
interface Unassigned {
  machine: UnassignedMachine;
  since: number;
  reported: boolean;
  there?: boolean;
  asking?: boolean;
}

export interface LeaderHooks {
  /** Whether this node's lease surely lasts. */
  valid(): boolean;
  /** The owner of a shard gives an empty machine to another. */
  giveAway(shard: number, machine: string, to: number): Promise<boolean>;
  /** The owner of a shard clears a machine for another's more urgent work. */
  clearMachine(shard: number, machine: string, to: number, priority: number): Promise<boolean>;
  /** The owner of a shard promises a machine whose tasks end soon. */
  reserveMachine(shard: number, to: number, need: Need, zone: string): Promise<boolean>;
  /** Whether every node understands what the first version did not. */
  allRead(): boolean;
}

const ACT_MS = 250;
const GOSSIP_MS = 4000;
const GIVEN_MS = 2500;
/** Machines dealt in one transaction; together with their conditions they stay well below the largest request. */
const DEALT_TOGETHER = 24;
const DEALT_LEAST = 12;
const CLEAR_PAUSE_MS = 700;
const RESERVE_PAUSE_MS = 300;
const RESERVE_AIM_S = 120;
const RESERVE_AIM_SHARE = 1;
/** A machine just rented may report before its owner has recorded it; one still booting is its renter's to record. */
const REPORTED_GRACE_MS = 400;
const BOOTING_GRACE_MS = 8000;
/** Machines that the cloud does not list are asked whether they are there: so many at once, no longer than this each. */
const ASKED_AT_ONCE = 16;
const ASK_MS = 1500;

/**
 * The leader's work: it parts teams and unassigned machines among the shards and moves empty machines to where tasks
 * wait. What it decides is only ever a wish or a conditional write, so two leaders at once do no harm.
 */
export class Leader {
  private readonly gossip = new Map<number, { at: number; told: Gossip }>();
  private readonly unassigned = new Map<string, Unassigned>();
  private asking = 0;
  private readonly given = new Map<string, number>();
  private stopped = false;
  private dealing = false;

  constructor(
    private readonly world: World,
    private readonly term: number,
    private readonly mirror: Mirror,
    /** Zone of the node that a shard is at home on. */
    private readonly zoneOf: (shard: number) => string,
    private readonly hooks: LeaderHooks,
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
  seen(machine: UnassignedMachine): void {
    // A copy of its report that comes late: a name that was given back is never used again.
    if (this.world.goneMachines.has(machine.id)) return;
    const known = this.unassigned.get(machine.id);
    if (known) {
      if (!known.reported) known.since = this.world.clock.now();
      known.reported = true;
    } else this.unassigned.set(machine.id, { machine, since: this.world.clock.now(), reported: true });
  }

  listed(machines: ListedMachine[]): void {
    const now = this.world.clock.now();
    const buried = now - Math.max(30_000, this.world.settings.cloudLimits.listLagS * 5000);
    const names = new Set(machines.map((m) => m.id));
    for (const m of machines) {
      // The list is late: it still shows machines that have just been given back.
      if ((this.world.goneMachines.get(m.id) ?? Number.NEGATIVE_INFINITY) > buried) continue;
      if (m.state === 'failed' || this.mirror.entries.has(KEYS.machine(m.id)) || this.unassigned.has(m.id))
        continue;
      this.unassigned.set(m.id, { machine: { ...m }, since: now, reported: m.state === 'running' });
    }
    for (const [id, s] of this.unassigned) if (!s.reported && !names.has(id)) this.unassigned.delete(id);
  }

  private loop(): void {
    if (this.stopped) return;
    if (this.hooks.valid() && this.mirror.ready) {
      void this.assignTeams();
      void this.deal();
      this.move();
    }
    this.world.clock.after(ACT_MS, () => this.loop());
  }

  private get shards(): number {
    return this.world.settings.nodes;
  }

  // --- teams

  private assigning = false;

  /** Teams stay in the shard that they were given; new ones go where the guarantees weigh least. */
  private async assignTeams(): Promise<void> {
    const known = readTeamAssignment(this.mirror.entries) ?? {};
    const fresh = this.world.settings.teams.filter((t) => known[t.name] === undefined);
    if ((this.mirror.entries.has(KEYS.teams) && fresh.length === 0) || this.assigning) return;
    this.assigning = true;
    try {
      const records = this.assignmentRecords(assignTeams(this.world.settings.teams, known, this.shards));
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
      this.world.log.info({ error: String(error) }, 'assigning teams failed');
    } finally {
      this.assigning = false;
    }
  }

  /** The assignment in as many records as the state service's limit asks for, the first last: it tells that all are there. */
  private assignmentRecords(parted: Record<string, number>): [string, Record<string, number>][] {
    const most = valueBytes(this.world.settings.stateLimits.valueKb);
    if (!this.hooks.allRead()) return [[KEYS.teams, parted]];
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
    const due: UnassignedMachine[] = [];
    for (const [id, s] of this.unassigned) {
      if (this.mirror.entries.has(KEYS.machine(id))) this.unassigned.delete(id);
      else if (now - s.since >= (s.reported ? REPORTED_GRACE_MS : BOOTING_GRACE_MS)) {
        if (this.isThere(id, s)) due.push(s.machine);
      }
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
          if (result.ok || result.failed.includes(KEYS.machine(id))) this.unassigned.delete(id);
        }
      }
    } catch (error) {
      if (!(error instanceof StateFailure)) throw error;
      this.world.log.info({ error: String(error) }, 'dealing machines failed');
    } finally {
      this.dealing = false;
    }
  }

  /**
   * Whether a machine that nobody has is there: the cloud lists it, or it answers. A report alone does not show that: it may be
   * a late copy, and the machine long gone, so that its place would be planned with until it counts as never come up.
   */
  private isThere(id: string, s: Unassigned): boolean {
    if (s.there || this.world.catalog.listedById.has(id)) return true;
    if (s.asking || this.asking >= ASKED_AT_ONCE) return false;
    s.asking = true;
    this.asking++;
    void this.world.http
      .request(s.machine.addr, 'GET', WORKER_PATHS.show, null, ASK_MS)
      .then((shown) => {
        s.there = readReport(shown.body)?.machine === id;
        // Its address is another's by now.
        if (!s.there) this.unassigned.delete(id);
      })
      // It is asked again when it reports again.
      .catch(() => this.unassigned.delete(id))
      .finally(() => {
        s.asking = false;
        this.asking--;
      });
    return false;
  }

  private recordFor(s: UnassignedMachine, counts: Map<string, number[]>): MachineRecord {
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
    const all = counts.reduce((sum, n) => sum + n, this.unassigned.size);
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
  private poorest(s: UnassignedMachine, counts: Map<string, number[]>): number {
    const weights = this.weights();
    const shards = weights.map((weight, i) => ({
      weight,
      have: counts.get(s.type)?.[i] ?? 0,
      haveInZone: counts.get(`${s.type} ${s.zone}`)?.[i] ?? 0,
      near: this.zoneOf(i) === s.zone,
    }));
    let others = 0;
    for (const other of this.unassigned.values()) if (other.machine.type === s.type) others++;
    const best = shardFor(shards, others);
    this.count(counts, best, s.type, s.zone);
    return best;
  }

  private weights(): number[] {
    const weights = new Array<number>(this.shards).fill(0.01);
    const parted = readTeamAssignment(this.mirror.entries) ?? {};
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
      void this.hooks.giveAway(m.from, m.machine, m.to).catch(() => undefined);
    }
    const reservation =
      now - this.reservedAt < RESERVE_PAUSE_MS ? null : chooseReservation(fresh, this.reserveMostS());
    if (reservation && counts[reservation.to]! < most) {
      this.reservedAt = now;
      void this.hooks
        .reserveMachine(reservation.from, reservation.to, reservation.need, reservation.zone)
        .catch(() => undefined);
    }
    if (now - this.clearedAt < CLEAR_PAUSE_MS) return;
    const clear = chooseClearing(fresh, sizeOf);
    if (!clear || this.given.has(clear.machine)) return;
    this.clearedAt = now;
    this.given.set(clear.machine, now);
    void this.hooks.clearMachine(clear.from, clear.machine, clear.to, clear.priority).catch(() => undefined);
  }

  /** A shard reserves machines as long as its own urgent work still meets the hastiest aim for a start. */
  private reserveMostS(): number {
    let hastiest = RESERVE_AIM_S;
    for (const o of this.world.settings.objectives)
      if (o.kind === 'wait' && o.withinS !== null) hastiest = Math.min(hastiest, o.withinS);
    return hastiest * RESERVE_AIM_SHARE;
  }

  private clearedAt = Number.NEGATIVE_INFINITY;
  private reservedAt = Number.NEGATIVE_INFINITY;
}

/** Spreads teams over the shards by their guarantees, the largest first. */
export function assignTeams(
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
