import { shardFor } from '../autoscaler/rebalancing.js';
import type { ControllerContext } from '../context/context.js';
import { KEYS, type MachineRecord, readTeamAssignment } from '../schema/schema.js';
import { StateStoreError } from '../state/statestore.js';
import type { ListedMachine } from '../wire/cloud.js';
import { readHeartbeat, WORKER_PATHS } from '../wire/workers.js';
import type { ClusterStateCache } from './clusterstatecache.js';
import { MachineCounts, machineRecords } from './machinecounts.js';
import { teamWeight } from './teamassignment.js';

/** Machines assigned in one transaction; together with their conditions they stay well below the largest request. */
const MAX_MACHINES_PER_TRANSACTION = 24;
const MIN_MACHINES_PER_PASS = 12;
/** A machine just rented may report before its owner has recorded it; one still booting is its renter's to record. */
const HEARTBEAT_GRACE_MS = 400;
const BOOTING_GRACE_MS = 8000;
/** Machines that the cloud does not list are asked whether they are there: so many at once, no longer than this each. */
const MAX_CONCURRENT_PROBES = 16;
const PROBE_TIMEOUT_MS = 1500;
/** The cloud's list still shows a machine that was given back for so many times its usual lag, and for half a minute at least. */
const LIST_LAG_FACTOR = 5;
const MIN_LIST_LAG_MS = 30_000;
/** What a shard without teams counts when machines are assigned. */
const MIN_SHARD_WEIGHT = 0.01;

/** What a machine that no record names says of itself. */
export interface UnregisteredMachine {
  readonly id: string;
  readonly addr: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** How long it has been rented, in seconds. */
  readonly ageS: number;
}

/** An unregistered machine: whether it has reported, and whether it has shown that it is there. */
interface PendingMachine {
  readonly machine: UnregisteredMachine;
  /** In steady milliseconds; counted anew from its first report. */
  knownSince: number;
  reported: boolean;
  confirmed?: boolean;
  probing?: boolean;
}

/** What the assignment of machines reads and writes. */
export interface MachineAssignerOptions {
  readonly context: ControllerContext;
  /** The leader's term: what it writes holds only under this. */
  readonly term: number;
  readonly stateCache: ClusterStateCache;
  /** Zone of the node that a shard is at home on. */
  zoneOf(shard: number): string;
}

/** The leader's part for machines that no record names: assigns each to a shard, when it is sure to be there. */
export class MachineAssigner {
  private readonly pending = new Map<string, PendingMachine>();
  private probesInFlight = 0;
  private assigning = false;

  constructor(private readonly options: MachineAssignerOptions) {}

  /** How many machines are known that no record names. */
  get pendingCount(): number {
    return this.pending.size;
  }

  /** A machine that no record names has reported. */
  onUnregisteredMachine(machine: UnregisteredMachine): void {
    const { removedMachines, clock } = this.options.context;
    // A copy of its report that comes late: a name that was given back is never used again.
    if (removedMachines.has(machine.id)) return;
    const known = this.pending.get(machine.id);
    if (known) {
      if (!known.reported) known.knownSince = clock.now();
      known.reported = true;
    } else this.pending.set(machine.id, { machine, knownSince: clock.now(), reported: true });
  }

  /** The cloud has listed its machines. */
  onMachineList(machines: readonly ListedMachine[]): void {
    const { removedMachines, clock, settings } = this.options.context;
    const now = clock.now();
    const lagMs = Math.max(MIN_LIST_LAG_MS, settings.cloudLimits.listLagS * 1000 * LIST_LAG_FACTOR);
    const listed = new Set(machines.map((m) => m.id));
    for (const machine of machines) {
      const { id, state } = machine;
      // The list is late: it still shows machines that have just been given back.
      if ((removedMachines.get(id) ?? Number.NEGATIVE_INFINITY) > now - lagMs) continue;
      if (state === 'failed' || this.isRegistered(id) || this.pending.has(id)) continue;
      this.pending.set(id, { machine: { ...machine }, knownSince: now, reported: state === 'running' });
    }
    for (const [id, pending] of this.pending)
      if (!pending.reported && !listed.has(id)) this.pending.delete(id);
  }

  private isRegistered(id: string): boolean {
    return this.options.stateCache.entries.has(KEYS.machine(id));
  }

  /** Assigns the machines that are due; one pass at a time. */
  async assign(): Promise<void> {
    if (this.assigning) return;
    const due = this.dueMachines();
    if (due.length === 0 || !this.options.stateCache.entries.has(KEYS.teams)) return;
    this.assigning = true;
    try {
      await this.assignMachines(due);
    } catch (error) {
      if (!(error instanceof StateStoreError)) throw error;
      this.options.context.log.info({ err: error }, 'machine assignment failed');
    } finally {
      this.assigning = false;
    }
  }

  private dueMachines(): UnregisteredMachine[] {
    const now = this.options.context.clock.now();
    const due: UnregisteredMachine[] = [];
    for (const [id, pending] of this.pending) {
      const graceMs = pending.reported ? HEARTBEAT_GRACE_MS : BOOTING_GRACE_MS;
      if (this.isRegistered(id)) this.pending.delete(id);
      else if (now - pending.knownSince >= graceMs && this.isConfirmed(id, pending))
        due.push(pending.machine);
    }
    return due;
  }

  private async assignMachines(due: readonly UnregisteredMachine[]): Promise<void> {
    const { context, stateCache } = this.options;
    const batchSize = Math.min(MAX_MACHINES_PER_TRANSACTION, context.settings.stateLimits.txnOps);
    const counts = new MachineCounts(context.settings.nodes);
    for (const { shard, type, zone } of machineRecords(stateCache)) counts.add(shard, type, zone);
    // Where few fit a transaction, several follow each other: machines that are up must not wait for it.
    for (let i = 0; i < Math.max(MIN_MACHINES_PER_PASS, batchSize); i += batchSize) {
      const batch = due.slice(i, i + batchSize);
      if (batch.length === 0) break;
      await this.writeRecords(batch.map((machine) => [machine.id, this.recordFor(machine, counts)]));
    }
  }

  private async writeRecords(records: readonly (readonly [string, MachineRecord])[]): Promise<void> {
    const { context, term, stateCache } = this.options;
    const written = await context.store.compareAndSwap(
      [
        { key: KEYS.leader, version: term },
        ...records.map(([id]) => ({ key: KEYS.machine(id), version: 0 })),
      ],
      records.map(([id, value]) => ({ put: KEYS.machine(id), value })),
    );
    for (const [id, value] of records) {
      const key = KEYS.machine(id);
      if (written.ok) stateCache.apply({ key, value, version: written.revision });
      // One that failed has a record that this copy does not show yet.
      if (written.ok || written.failed.includes(key)) this.pending.delete(id);
    }
  }

  /**
   * Whether an unregistered machine is there: the cloud lists it, or it answers. A report alone does not show that: it may
   * be a late copy, and the machine long gone, so that its place would be planned with until it counts as never come up.
   */
  private isConfirmed(id: string, pending: PendingMachine): boolean {
    if (pending.confirmed || this.options.context.catalog.listedById.has(id)) return true;
    if (!pending.probing && this.probesInFlight < MAX_CONCURRENT_PROBES) this.probe(id, pending);
    return false;
  }

  private probe(id: string, pending: PendingMachine): void {
    pending.probing = true;
    this.probesInFlight++;
    void this.options.context.http
      .request(pending.machine.addr, 'GET', WORKER_PATHS.status, null, PROBE_TIMEOUT_MS)
      .then((answer) => {
        pending.confirmed = readHeartbeat(answer.body)?.machine === id;
        // Its address is another's by now.
        if (!pending.confirmed) this.pending.delete(id);
      })
      // It is asked again when it reports again.
      .catch(() => this.pending.delete(id))
      .finally(() => {
        pending.probing = false;
        this.probesInFlight--;
      });
  }

  private recordFor(machine: UnregisteredMachine, counts: MachineCounts): MachineRecord {
    const { addr, type, zone, spot } = machine;
    const shard = this.chooseShard(machine, counts);
    counts.add(shard, type, zone);
    const rentedAt = Math.round(this.options.context.clock.wall() - machine.ageS * 1000);
    return { shard, addr, type, zone, spot, state: 'use', rentedAt };
  }

  private chooseShard({ type, zone }: UnregisteredMachine, counts: MachineCounts): number {
    const candidates = this.shardWeights().map((weight, shard) => ({
      weight,
      machines: counts.ofType(shard, type),
      machinesInZone: counts.ofTypeInZone(shard, type, zone),
      isHomeZone: this.options.zoneOf(shard) === zone,
    }));
    let unassigned = 0;
    for (const { machine } of this.pending.values()) if (machine.type === type) unassigned++;
    return shardFor(candidates, unassigned);
  }

  /** What the teams of each shard are guaranteed. */
  private shardWeights(): number[] {
    const { context, stateCache } = this.options;
    const weights = new Array<number>(context.settings.nodes).fill(MIN_SHARD_WEIGHT);
    const assignment = readTeamAssignment(stateCache.entries) ?? {};
    for (const team of context.settings.teams) {
      const shard = assignment[team.name];
      if (shard !== undefined && weights[shard] !== undefined) weights[shard]! += teamWeight(team);
    }
    return weights;
  }
}
