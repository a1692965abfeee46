import { chooseEviction, chooseReservation, chooseTransfers, shardFor } from '../autoscaler/rebalancing.js';
import type { ResourceDemand, ShardStatus } from '../autoscaler/shardstatus.js';
import { maxMachinesPerShard } from '../config/settings.js';
import type { ControllerContext } from '../context/context.js';
import { valueBytes } from '../jobs/records.js';
import { KEYS, type MachineRecord, readTeamAssignment } from '../schema/schema.js';
import { StateStoreError } from '../state/statestore.js';
import type { ListedMachine } from '../wire/cloud.js';
import { readHeartbeat, WORKER_PATHS } from '../wire/workers.js';
import type { ClusterStateCache } from './clusterstatecache.js';

/** What a machine that nobody has been given says of itself. */
export interface UnregisteredMachine {
  id: string;
  addr: string;
  type: string;
  zone: string;
  spot: boolean;
  ageS: number;
}

/** A machine that nobody has: whether it has reported, and whether it has shown that it is there. */
interface PendingMachine {
  machine: UnregisteredMachine;
  knownSince: number;
  reported: boolean;
  confirmed?: boolean;
  probing?: boolean;
}

export interface LeaderHooks {
  /** Whether this node's lease surely lasts. */
  holdsLease(): boolean;
  /** The owner of a shard gives an empty machine to another. */
  transferMachine(shard: number, machine: string, to: number): Promise<boolean>;
  /** The owner of a shard clears a machine for another's more urgent work. */
  evictForTransfer(shard: number, machine: string, to: number, priority: number): Promise<boolean>;
  /** The owner of a shard promises a machine whose tasks end soon. */
  reserveForTransfer(shard: number, to: number, need: ResourceDemand, zone: string): Promise<boolean>;
  /** Whether every node understands what the first version did not. */
  allSupportLatest(): boolean;
}

const LEADER_INTERVAL_MS = 250;
const SHARD_STATUS_VALID_MS = 4000;
const TRANSFER_TIMEOUT_MS = 2500;
/** Machines dealt in one transaction; together with their conditions they stay well below the largest request. */
const MAX_MACHINES_PER_TRANSACTION = 24;
const MIN_MACHINES_PER_PASS = 12;
const EVICT_INTERVAL_MS = 700;
const RESERVE_INTERVAL_MS = 300;
const DEFAULT_START_OBJECTIVE_S = 120;
const RESERVE_OBJECTIVE_SHARE = 1;
/** A machine just rented may report before its owner has recorded it; one still booting is its renter's to record. */
const HEARTBEAT_GRACE_MS = 400;
const BOOTING_GRACE_MS = 8000;
/** Machines that the cloud does not list are asked whether they are there: so many at once, no longer than this each. */
const MAX_CONCURRENT_PROBES = 16;
const PROBE_TIMEOUT_MS = 1500;

/**
 * The leader's work: it parts teams and unassigned machines among the shards and moves empty machines to where tasks
 * wait. What it decides is only ever a wish or a conditional write, so two leaders at once do no harm.
 */
export class Leader {
  private readonly shardStatuses = new Map<number, { at: number; told: ShardStatus }>();
  private readonly pendingMachines = new Map<string, PendingMachine>();
  private probesInFlight = 0;
  private readonly transfersInFlight = new Map<string, number>();
  private stopped = false;
  private assigningMachines = false;

  constructor(
    private readonly context: ControllerContext,
    private readonly term: number,
    private readonly stateCache: ClusterStateCache,
    /** Zone of the node that a shard is at home on. */
    private readonly zoneOf: (shard: number) => string,
    private readonly hooks: LeaderHooks,
  ) {}

  start(): void {
    this.context.log.info({ term: this.term }, 'leading');
    this.loop();
  }

  stop(): void {
    this.stopped = true;
  }

  onShardStatus(told: ShardStatus): void {
    this.shardStatuses.set(told.shard, { at: this.context.clock.now(), told });
  }

  /** A machine that no record names has reported. */
  onUnregisteredMachine(machine: UnregisteredMachine): void {
    // A copy of its report that comes late: a name that was given back is never used again.
    if (this.context.removedMachines.has(machine.id)) return;
    const known = this.pendingMachines.get(machine.id);
    if (known) {
      if (!known.reported) known.knownSince = this.context.clock.now();
      known.reported = true;
    } else
      this.pendingMachines.set(machine.id, { machine, knownSince: this.context.clock.now(), reported: true });
  }

  onMachineList(machines: ListedMachine[]): void {
    const now = this.context.clock.now();
    const buried = now - Math.max(30_000, this.context.settings.cloudLimits.listLagS * 5000);
    const names = new Set(machines.map((m) => m.id));
    for (const m of machines) {
      // The list is late: it still shows machines that have just been given back.
      if ((this.context.removedMachines.get(m.id) ?? Number.NEGATIVE_INFINITY) > buried) continue;
      if (
        m.state === 'failed' ||
        this.stateCache.entries.has(KEYS.machine(m.id)) ||
        this.pendingMachines.has(m.id)
      )
        continue;
      this.pendingMachines.set(m.id, { machine: { ...m }, knownSince: now, reported: m.state === 'running' });
    }
    for (const [id, s] of this.pendingMachines)
      if (!s.reported && !names.has(id)) this.pendingMachines.delete(id);
  }

  private loop(): void {
    if (this.stopped) return;
    if (this.hooks.holdsLease() && this.stateCache.isLoaded) {
      void this.assignTeams();
      void this.assignMachines();
      this.rebalanceMachines();
    }
    this.context.clock.after(LEADER_INTERVAL_MS, () => this.loop());
  }

  private get shardCount(): number {
    return this.context.settings.nodes;
  }

  // --- teams

  private assigningTeams = false;

  /** Teams stay in the shard that they were given; new ones go where the guarantees weigh least. */
  private async assignTeams(): Promise<void> {
    const known = readTeamAssignment(this.stateCache.entries) ?? {};
    const fresh = this.context.settings.teams.filter((t) => known[t.name] === undefined);
    if ((this.stateCache.entries.has(KEYS.teams) && fresh.length === 0) || this.assigningTeams) return;
    this.assigningTeams = true;
    try {
      const records = this.assignmentRecords(
        assignTeams(this.context.settings.teams, known, this.shardCount),
      );
      for (const [key, value] of records) {
        const version = this.stateCache.entries.get(key)?.version ?? 0;
        const result = await this.context.store.compareAndSwap(
          [
            { key: KEYS.leader, version: this.term },
            { key, version },
          ],
          [{ put: key, value }],
        );
        if (!result.ok) break;
        this.stateCache.apply({ key, value, version: result.revision });
      }
    } catch (error) {
      this.context.log.info({ err: error }, 'assigning teams failed');
    } finally {
      this.assigningTeams = false;
    }
  }

  /** The assignment in as many records as the state service's limit asks for, the first last: it tells that all are there. */
  private assignmentRecords(parted: Record<string, number>): [string, Record<string, number>][] {
    const most = valueBytes(this.context.settings.stateLimits.valueKb);
    if (!this.hooks.allSupportLatest()) return [[KEYS.teams, parted]];
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

  private async assignMachines(): Promise<void> {
    if (this.assigningMachines) return;
    const now = this.context.clock.now();
    const due: UnregisteredMachine[] = [];
    for (const [id, s] of this.pendingMachines) {
      if (this.stateCache.entries.has(KEYS.machine(id))) this.pendingMachines.delete(id);
      else if (now - s.knownSince >= (s.reported ? HEARTBEAT_GRACE_MS : BOOTING_GRACE_MS)) {
        if (this.isConfirmed(id, s)) due.push(s.machine);
      }
    }
    if (due.length === 0 || !this.stateCache.entries.has(KEYS.teams)) return;
    this.assigningMachines = true;
    try {
      const { txnOps } = this.context.settings.stateLimits;
      const together = Math.min(MAX_MACHINES_PER_TRANSACTION, txnOps);
      const counts = this.machineCounts();
      // Where few fit a transaction, several follow each other: machines that are up must not wait for it.
      for (let i = 0; i < Math.max(MIN_MACHINES_PER_PASS, together); i += together) {
        const part = due.slice(i, i + together);
        if (part.length === 0) break;
        const records = part.map((s): [string, MachineRecord] => [s.id, this.recordFor(s, counts)]);
        const result = await this.context.store.compareAndSwap(
          [
            { key: KEYS.leader, version: this.term },
            ...records.map(([id]) => ({ key: KEYS.machine(id), version: 0 })),
          ],
          records.map(([id, value]) => ({ put: KEYS.machine(id), value })),
        );
        for (const [id, value] of records) {
          // One that failed has a record that this copy does not show yet.
          if (result.ok) this.stateCache.apply({ key: KEYS.machine(id), value, version: result.revision });
          if (result.ok || result.failed.includes(KEYS.machine(id))) this.pendingMachines.delete(id);
        }
      }
    } catch (error) {
      if (!(error instanceof StateStoreError)) throw error;
      this.context.log.info({ err: error }, 'dealing machines failed');
    } finally {
      this.assigningMachines = false;
    }
  }

  /**
   * Whether a machine that nobody has is there: the cloud lists it, or it answers. A report alone does not show that: it may be
   * a late copy, and the machine long gone, so that its place would be planned with until it counts as never come up.
   */
  private isConfirmed(id: string, s: PendingMachine): boolean {
    if (s.confirmed || this.context.catalog.listedById.has(id)) return true;
    if (s.probing || this.probesInFlight >= MAX_CONCURRENT_PROBES) return false;
    s.probing = true;
    this.probesInFlight++;
    void this.context.http
      .request(s.machine.addr, 'GET', WORKER_PATHS.status, null, PROBE_TIMEOUT_MS)
      .then((shown) => {
        s.confirmed = readHeartbeat(shown.body)?.machine === id;
        // Its address is another's by now.
        if (!s.confirmed) this.pendingMachines.delete(id);
      })
      // It is asked again when it reports again.
      .catch(() => this.pendingMachines.delete(id))
      .finally(() => {
        s.probing = false;
        this.probesInFlight--;
      });
    return false;
  }

  private recordFor(s: UnregisteredMachine, counts: Map<string, number[]>): MachineRecord {
    const shard = this.chooseShard(s, counts);
    return {
      shard,
      addr: s.addr,
      type: s.type,
      zone: s.zone,
      spot: s.spot,
      state: 'use',
      rentedAt: Math.round(this.context.clock.wall() - s.ageS * 1000),
    };
  }

  /** How many machines of each type, and of each type in each zone, every shard has. */
  private machineCounts(): Map<string, number[]> {
    const counts = new Map<string, number[]>();
    for (const [key, e] of this.stateCache.entries) {
      if (!key.startsWith(KEYS.machines)) continue;
      const r = e.value as MachineRecord;
      this.count(counts, r.shard, r.type, r.zone);
    }
    return counts;
  }

  /** How many machines every shard has. */
  private shardCounts(): number[] {
    const counts = new Array<number>(this.shardCount).fill(0);
    for (const [key, e] of this.stateCache.entries) {
      if (!key.startsWith(KEYS.machines)) continue;
      const { shard } = e.value as MachineRecord;
      if (counts[shard] !== undefined) counts[shard]++;
    }
    return counts;
  }

  /** A shard gets no more machines than its owner has connections for, or its part of them when there are too many. */
  private maxMachinesPerShard(counts: readonly number[]): number {
    const all = counts.reduce((sum, n) => sum + n, this.pendingMachines.size);
    return Math.max(
      maxMachinesPerShard(this.context.settings.limits.maxSockets),
      Math.ceil((all * 1.1) / this.shardCount),
    );
  }

  private count(counts: Map<string, number[]>, shard: number, type: string, zone: string): void {
    for (const kind of [type, `${type} ${zone}`]) {
      let list = counts.get(kind);
      if (!list) {
        list = new Array<number>(this.shardCount).fill(0);
        counts.set(kind, list);
      }
      if (list[shard] !== undefined) list[shard]++;
    }
  }

  /** The shard that a machine goes to; it counts as given there. */
  private chooseShard(s: UnregisteredMachine, counts: Map<string, number[]>): number {
    const weights = this.shardWeights();
    const shards = weights.map((weight, i) => ({
      weight,
      machines: counts.get(s.type)?.[i] ?? 0,
      machinesInZone: counts.get(`${s.type} ${s.zone}`)?.[i] ?? 0,
      isHomeZone: this.zoneOf(i) === s.zone,
    }));
    let others = 0;
    for (const other of this.pendingMachines.values()) if (other.machine.type === s.type) others++;
    const best = shardFor(shards, others);
    this.count(counts, best, s.type, s.zone);
    return best;
  }

  private shardWeights(): number[] {
    const weights = new Array<number>(this.shardCount).fill(0.01);
    const parted = readTeamAssignment(this.stateCache.entries) ?? {};
    for (const t of this.context.settings.teams) {
      const shard = parted[t.name];
      if (shard !== undefined && weights[shard] !== undefined) weights[shard]! += t.cpus + 10 * t.gpus + 1;
    }
    return weights;
  }

  // --- moving empty machines

  private rebalanceMachines(): void {
    const now = this.context.clock.now();
    for (const [id, at] of this.transfersInFlight)
      if (now - at > TRANSFER_TIMEOUT_MS) this.transfersInFlight.delete(id);
    const fresh = [...this.shardStatuses.values()]
      .filter((g) => now - g.at < SHARD_STATUS_VALID_MS)
      .map((g) => g.told);
    const sizeOf = (type: string) => this.context.catalog.size(this.context.names.types.index(type));
    const counts = this.shardCounts();
    const most = this.maxMachinesPerShard(counts);
    for (const m of chooseTransfers(fresh, sizeOf)) {
      if (this.transfersInFlight.has(m.machine) || counts[m.to]! >= most) continue;
      counts[m.to]!++;
      this.transfersInFlight.set(m.machine, now);
      void this.hooks.transferMachine(m.from, m.machine, m.to).catch(() => undefined);
    }
    const reservation =
      now - this.reservedForTransferAt < RESERVE_INTERVAL_MS
        ? null
        : chooseReservation(fresh, this.maxReserverWaitS());
    if (reservation && counts[reservation.to]! < most) {
      this.reservedForTransferAt = now;
      void this.hooks
        .reserveForTransfer(reservation.from, reservation.to, reservation.need, reservation.zone)
        .catch(() => undefined);
    }
    if (now - this.evictedForTransferAt < EVICT_INTERVAL_MS) return;
    const clear = chooseEviction(fresh, sizeOf);
    if (!clear || this.transfersInFlight.has(clear.machine)) return;
    this.evictedForTransferAt = now;
    this.transfersInFlight.set(clear.machine, now);
    void this.hooks
      .evictForTransfer(clear.from, clear.machine, clear.to, clear.priority)
      .catch(() => undefined);
  }

  /** A shard reserves machines as long as its own urgent work still meets the hastiest aim for a start. */
  private maxReserverWaitS(): number {
    let hastiest = DEFAULT_START_OBJECTIVE_S;
    for (const o of this.context.settings.objectives)
      if (o.kind === 'wait' && o.withinS !== null) hastiest = Math.min(hastiest, o.withinS);
    return hastiest * RESERVE_OBJECTIVE_SHARE;
  }

  private evictedForTransferAt = Number.NEGATIVE_INFINITY;
  private reservedForTransferAt = Number.NEGATIVE_INFINITY;
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
