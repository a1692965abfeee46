import { shardFor } from '../autoscaler/rebalancing.js';
import type { ControllerContext } from '../context/context.js';
import { KEYS, type MachineRecord, readTeamAssignment } from '../schema/schema.js';
import { StateStoreError } from '../state/statestore.js';
import type { ListedMachine } from '../wire/cloud.js';
import { readHeartbeat, WORKER_PATHS } from '../wire/workers.js';
import type { ClusterStateCache } from './clusterstatecache.js';
import { MachineCounts, machineRecords } from './machinecounts.js';
import { teamWeight } from './teamassignment.js';

/** Maximum number of machines assigned in one transaction, which keeps it well below the largest allowed request. */
const MAX_MACHINES_PER_TRANSACTION = 24;
const MIN_MACHINES_PER_PASS = 12;
/**
 * Delays before an unregistered machine is assigned, after its first heartbeat and while it is booting. A machine
 * just rented may send heartbeats before its owner has recorded it, and a booting machine is to be recorded by the
 * shard that rented it.
 */
const HEARTBEAT_GRACE_MS = 400;
const BOOTING_GRACE_MS = 8000;
/** Limits of the probes of machines that the cloud does not list: concurrent probes, and the time-out of each. */
const MAX_CONCURRENT_PROBES = 16;
const PROBE_TIMEOUT_MS = 1500;
/**
 * The cloud's list may still contain a returned machine for this many times its usual lag, and for at least
 * `MIN_LIST_LAG_MS`.
 */
const LIST_LAG_FACTOR = 5;
const MIN_LIST_LAG_MS = 30_000;
/** Weight of a shard without teams in the assignment of machines. */
const MIN_SHARD_WEIGHT = 0.01;

/** A machine without a record, as described by its heartbeat or by the cloud's list. */
export interface UnregisteredMachine {
  readonly id: string;
  readonly addr: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** Time since the machine was rented, in seconds. */
  readonly ageS: number;
}

/** An unregistered machine, whether it has sent a heartbeat, and whether it has been confirmed to exist. */
interface PendingMachine {
  readonly machine: UnregisteredMachine;
  /** Monotonic time in milliseconds at which the machine became known; reset at its first heartbeat. */
  knownSince: number;
  reported: boolean;
  confirmed?: boolean;
  probing?: boolean;
}

/** Dependencies of `MachineAssigner`. */
export interface MachineAssignerOptions {
  readonly context: ControllerContext;
  /** The leader's term; writes are conditional on it. */
  readonly term: number;
  readonly stateCache: ClusterStateCache;
  /** Returns the zone of a shard's preferred node. */
  zoneOf(shard: number): string;
}

/** Assigns machines without a record to shards, on the leader, once each machine is confirmed to exist. */
export class MachineAssigner {
  private readonly pending = new Map<string, PendingMachine>();
  private probesInFlight = 0;
  private assigning = false;

  constructor(private readonly options: MachineAssignerOptions) {}

  /** Number of known machines without a record. */
  get pendingCount(): number {
    return this.pending.size;
  }

  /** Handles a heartbeat of a machine without a record. */
  onUnregisteredMachine(machine: UnregisteredMachine): void {
    const { removedMachines, clock } = this.options.context;
    // A late duplicate of a heartbeat: the id of a returned machine is never reused.
    if (removedMachines.has(machine.id)) return;
    const known = this.pending.get(machine.id);
    if (known) {
      if (!known.reported) known.knownSince = clock.now();
      known.reported = true;
    } else this.pending.set(machine.id, { machine, knownSince: clock.now(), reported: true });
  }

  /** Handles a new list of machines from the cloud. */
  onMachineList(machines: readonly ListedMachine[]): void {
    const { removedMachines, clock, settings } = this.options.context;
    const now = clock.now();
    const lagMs = Math.max(MIN_LIST_LAG_MS, settings.cloudLimits.listLagS * 1000 * LIST_LAG_FACTOR);
    const listed = new Set(machines.map((m) => m.id));
    for (const machine of machines) {
      const { id, state } = machine;
      // The list lags behind, and still contains machines that have just been returned.
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

  /** Assigns the machines that are due. Passes do not overlap. */
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
    // Where only a few machines fit into a transaction, several transactions follow in one pass, so that running
    // machines need not wait for the next pass.
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
      // A machine whose condition failed has a record that the cache does not show yet.
      if (written.ok || written.failed.includes(key)) this.pending.delete(id);
    }
  }

  /**
   * Returns whether an unregistered machine is confirmed to exist, because the cloud lists it or it answered a probe;
   * starts a probe if needed. A heartbeat alone is no proof: it may be a late duplicate from a machine that no longer
   * exists, whose capacity would then stay in the plan until the machine is considered to have failed to boot.
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
        // The address now belongs to another machine.
        if (!pending.confirmed) this.pending.delete(id);
      })
      // The machine is probed again after its next heartbeat.
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
      isPreferredZone: this.options.zoneOf(shard) === zone,
    }));
    let unassigned = 0;
    for (const { machine } of this.pending.values()) if (machine.type === type) unassigned++;
    return shardFor(candidates, unassigned);
  }

  /** Returns the sum of the weights of each shard's teams. */
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
