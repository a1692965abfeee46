import { type PeriodicTask, startPacedTask } from '../clock/periodictask.js';
import type { ControllerContext } from '../context/context.js';
import { KEYS } from '../schema/schema.js';
import type { ClusterStateCache } from './clusterstatecache.js';
import type { Ownership } from './ownership.js';

const LIST_INTERVAL_MS = 5000;
/** List interval of nodes that are not the leader. */
const FOLLOWER_LIST_INTERVAL_MS = LIST_INTERVAL_MS * 3;
const TYPES_INTERVAL_MS = 30_000;
const TYPES_RETRY_MS = 1500;

/** Polls the cloud for its machine types and its list of machines. */
export class CloudPoller {
  private pollTasks: readonly PeriodicTask[] = [];

  constructor(
    private readonly context: ControllerContext,
    private readonly stateCache: ClusterStateCache,
    private readonly ownership: Ownership,
  ) {}

  start(): void {
    const { clock } = this.context;
    this.pollTasks = [
      startPacedTask(clock, () => this.pollTypes()),
      startPacedTask(clock, () => this.pollMachines()),
    ];
  }

  stop(): void {
    for (const task of this.pollTasks) task.stop();
  }

  /** Polls the machine types. Like `pollMachines`, returns the delay until the next poll, in milliseconds. */
  private async pollTypes(): Promise<number> {
    try {
      this.context.catalog.set(await this.context.cloud.listMachineTypes());
      for (const shard of this.ownership.shards.values()) shard.requestPlan();
      void this.storeTypes();
      return TYPES_INTERVAL_MS;
    } catch (error) {
      this.context.log.debug({ err: error }, 'machine type poll failed');
      this.restoreStoredTypes();
      return TYPES_RETRY_MS;
    }
  }

  /** Uses the stored machine types on a node that started while the cloud does not answer. */
  private restoreStoredTypes(): void {
    if (this.context.catalog.hasTypes) return;
    const stored = this.stateCache.entries.get(KEYS.machineTypes);
    if (stored && Array.isArray(stored.value)) this.context.catalog.set(stored.value);
  }

  /**
   * Stores the types, on the leader, for nodes that start while the cloud does not answer. Does nothing when types
   * are already stored, or when they are too large for the key-value store.
   */
  private async storeTypes(): Promise<void> {
    if (!this.ownership.leader) return;
    const types = this.context.catalog.offeredTypes().map(([, type]) => type);
    const stored = this.stateCache.entries.get(KEYS.machineTypes);
    if (stored || JSON.stringify(types).length > this.context.settings.stateLimits.valueKb * 1000) return;
    try {
      await this.context.store.compareAndSwap(
        [{ key: KEYS.machineTypes, version: 0 }],
        [{ put: KEYS.machineTypes, value: types }],
      );
    } catch (error) {
      this.context.log.debug({ err: error }, 'machine type update failed');
    }
  }

  private async pollMachines(): Promise<number> {
    try {
      const machines = await this.context.cloud.listMachines();
      this.context.catalog.setListed(machines);
      for (const shard of this.ownership.shards.values()) shard.onMachineList();
      this.ownership.leader?.onMachineList(this.context.catalog.listedMachines);
    } catch (error) {
      this.context.log.debug({ err: error }, 'machine list poll failed');
    }
    // The leader needs the list to find machines without a record. For other nodes it only confirms what heartbeats
    // show.
    return this.ownership.leader ? LIST_INTERVAL_MS : FOLLOWER_LIST_INTERVAL_MS;
  }
}
