import { type PeriodicTask, startPeriodicTask } from '../clock/periodictask.js';
import type { ControllerContext } from '../context/context.js';
import type { Mesh } from '../peer/mesh.js';
import { KEYS, readMachineRecord, readStandbyRecord } from '../schema/schema.js';
import { JobRecordReplica } from '../standby/jobrecordreplica.js';
import { StandbyReplicas, type TakeoverState } from '../standby/standbyreplicas.js';
import { StandbyReplicator, type StandbyReplicatorHooks } from '../standby/standbyreplicator.js';
import { chooseStandby, EvictionBackoff } from '../standby/standbyselection.js';
import type { Membership } from './membership.js';

const STATUS_LOG_INTERVAL_MS = 15_000;
const STATUS_CHECK_INTERVAL_MS = STATUS_LOG_INTERVAL_MS / 3;
/** Minimum interval between counts of the shards' machines. */
const COUNT_INTERVAL_MS = 2000;
/** A standby whose lease was renewed within this time is considered able to reach the key-value store. */
const RECENT_RENEWAL_MS = 3500;

/** Functions of the node that the coordinator uses. */
export interface StandbyCoordinatorHooks {
  /** Returns the preferred node of a shard. */
  preferredNode(shard: number): string;
  nodeOrder: readonly string[];
  zoneOf(node: string): string;
  /** Whether this node takes no shards, because the workers cannot reach it or it is leaving the cluster. */
  isCordoned(): boolean;
  /** Called when this node has taken over a shard under a new term. */
  onTakeover(shard: number, term: number, takeover: TakeoverState): void;
  /** Called when another node has taken a shard that this node owned under `term`. */
  onShardLost(shard: number, term: number): void;
  requestPlan(shard: number): void;
}

/**
 * Chooses the standbys of this node's shards, and holds this node's replicas of other nodes' shards. A node has one
 * coordinator if standbys are enabled.
 */
export class StandbyCoordinator {
  readonly replicas: StandbyReplicas;
  private readonly jobRecords: JobRecordReplica;
  private readonly evictionBackoff = new EvictionBackoff();
  private loggedAt = 0;
  private statusLogTask: PeriodicTask | null = null;
  /** Number of machines by shard and zone. */
  private readonly machinesByShard = new Map<number, Map<string, number>>();
  private countedAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly context: ControllerContext,
    private readonly members: Membership,
    private readonly mesh: Mesh,
    private readonly hooks: StandbyCoordinatorHooks,
  ) {
    const { clock, log } = context;
    this.jobRecords = new JobRecordReplica(context, log);
    this.replicas = new StandbyReplicas(this.jobRecords, log, {
      clock,
      incarnation: context.incarnation,
      mayTakeOver: () => members.holdsLease && members.stateCache.isLoaded && !hooks.isCordoned(),
      connectionsRefused: (node) => mesh.refused(node),
      cachedVersions: (shard) => ({
        owner: members.stateCache.entries.get(KEYS.owner(shard))?.version ?? 0,
        standby: members.stateCache.entries.get(KEYS.standby(shard))?.version ?? 0,
        revision: members.stateCache.revision,
      }),
      leaseRenewedAgoMs: () => members.leaseRenewedAgoMs,
      claim: (shard, term, revision) => {
        const key = KEYS.standby(shard);
        return members.compareAndSwapHolder({
          key: KEYS.owner(shard),
          version: term,
          conditions: [{ key, version: revision }],
          writes: [{ delete: key }],
        });
      },
      onTakeover: (shard, term, takeover) => hooks.onTakeover(shard, term, takeover),
    });
  }

  /** Starts monitoring the owners for which this node is the standby. */
  start(): void {
    this.replicas.start();
    this.statusLogTask = startPeriodicTask(this.context.clock, STATUS_CHECK_INTERVAL_MS, () =>
      this.logStatus(),
    );
  }

  /** Stops the periodic status log; the replicas keep running. */
  stop(): void {
    this.statusLogTask?.stop();
  }

  /** Creates the owner's side of the replication for a shard that this node now owns. */
  createReplicator(shard: number, term: number, lease: number): StandbyReplicator {
    const log = this.context.log.child({ shard, term });
    const hooks: StandbyReplicatorHooks = {
      holdsLease: () => this.members.holdsLeaseId(lease),
      leaseId: () => (this.members.holdsLeaseId(lease) ? lease : null),
      chooseStandby: () => this.chooseStandby(shard),
      eligiblePreferredNode: () => {
        const preferredNode = this.hooks.preferredNode(shard);
        const away = preferredNode !== this.context.settings.node && this.isEligible(preferredNode);
        return away && this.shouldReturnToPreferredNode(shard) ? preferredNode : null;
      },
      presenceOf: (node) => this.members.presenceOf(node),
      onShardLost: () => this.hooks.onShardLost(shard, term),
      requestPlan: () => this.hooks.requestPlan(shard),
    };
    const { context, mesh, evictionBackoff } = this;
    return new StandbyReplicator({ context, mesh, shard, term, evictionBackoff, log, hooks });
  }

  /** Returns whether a node can be a standby for shards. */
  isStandbyCapable(node: string): boolean {
    return this.members.presenceOf(node)?.standbyCapable === true;
  }

  /**
   * Returns the standby that can take over a shard immediately and reaches the key-value store; null when there is
   * none.
   */
  successor(replicator: StandbyReplicator): string | null {
    const renewedAgoMs = replicator.standbyLeaseRenewedAgoMs;
    return renewedAgoMs !== null && renewedAgoMs < RECENT_RENEWAL_MS ? replicator.inSyncStandby : null;
  }

  /** Returns whether a node may currently be chosen as a standby of this node's shards. */
  private isEligible(node: string): boolean {
    if (this.evictionBackoff.isBackingOff(node, this.context.clock.now())) return false;
    return this.isStandbyCapable(node) && !this.members.isNodeCordoned(node) && this.mesh.connected(node);
  }

  /** Returns a shard's number of machines by zone. The counts are refreshed every 2 s at most. */
  private machinesByZone(shard: number): ReadonlyMap<string, number> {
    const now = this.context.clock.now();
    if (now - this.countedAt > COUNT_INTERVAL_MS) {
      this.countedAt = now;
      this.machinesByShard.clear();
      for (const [key, e] of this.members.stateCache.entries) {
        const machine = key.startsWith(KEYS.machines) ? readMachineRecord(e.value) : null;
        if (!machine) continue;
        const zones = this.machinesByShard.get(machine.shard) ?? new Map<string, number>();
        zones.set(machine.zone, (zones.get(machine.zone) ?? 0) + 1);
        this.machinesByShard.set(machine.shard, zones);
      }
    }
    return this.machinesByShard.get(shard) ?? new Map();
  }

  /** Returns the load of a shard on its owner: one unit for each machine, and one for the shard itself. */
  private weight(shard: number): number {
    let sum = 1;
    for (const n of this.machinesByZone(shard).values()) sum += n;
    return sum;
  }

  /**
   * Returns whether a shard should move to its preferred node. A move costs a request to each of the shard's
   * machines. It is therefore worthwhile only when this node has more load than the preferred node would have
   * with the shard added, or when more of its machines are in the preferred node's zone than in this node's. When
   * the two zones have different numbers of the shard's machines, the zones alone decide.
   */
  shouldReturnToPreferredNode(shard: number): boolean {
    const here = this.context.settings.node;
    const preferredNode = this.hooks.preferredNode(shard);
    const zones = this.machinesByZone(shard);
    const inZoneOf = (node: string) => zones.get(this.hooks.zoneOf(node)) ?? 0;
    if (inZoneOf(preferredNode) !== inZoneOf(here)) return inZoneOf(preferredNode) > inZoneOf(here);
    const load = (node: string) => {
      let sum = 0;
      for (let k = 0; k < this.context.settings.nodes; k++)
        if (this.members.owner(k)?.node === node) sum += this.weight(k);
      return sum;
    };
    return load(here) > load(preferredNode) + this.weight(shard);
  }

  private chooseStandby(shard: number): string | null {
    const { entries } = this.members.stateCache;
    const load = new Map<string, number>();
    const addLoad = (node: string | undefined, weight: number) => {
      if (node !== undefined) load.set(node, (load.get(node) ?? 0) + weight);
    };
    for (let k = 0; k < this.context.settings.nodes; k++) {
      addLoad(this.members.owner(k)?.node, this.weight(k));
      addLoad(readStandbyRecord(entries.get(KEYS.standby(k))?.value)?.node, this.weight(k));
    }
    return chooseStandby({
      owner: this.context.settings.node,
      preferredNode: this.shouldReturnToPreferredNode(shard)
        ? this.hooks.preferredNode(shard)
        : this.context.settings.node,
      order: this.hooks.nodeOrder,
      isEligible: (node) => this.isEligible(node),
      load: (node) => load.get(node) ?? 0,
      zoneOf: (node) => this.hooks.zoneOf(node),
      machines: this.machinesByZone(shard),
    });
  }

  private logStatus(): void {
    const now = this.context.clock.now();
    if (now - this.loggedAt >= STATUS_LOG_INTERVAL_MS && this.replicas.count > 0) {
      this.loggedAt = now;
      this.context.log.info(
        { shards: this.replicas.status(), records: this.jobRecords.size },
        'standby status',
      );
    }
  }
}
