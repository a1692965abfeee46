import { pause } from '../clock/clock.js';
import type { ControllerContext } from '../context/context.js';
import { KEYS } from '../schema/schema.js';
import type { ClusterStateCache } from './clusterstatecache.js';
import type { Ownership } from './ownership.js';

const LIST_MS = 5000;
const TYPES_MS = 30_000;
const TYPES_AGAIN_MS = 1500;

/** Keeps what the cloud tells: machine types and the list of machines. */
export class CloudPoller {
  constructor(
    private readonly context: ControllerContext,
    private readonly stateCache: ClusterStateCache,
    private readonly ownership: Ownership,
  ) {}

  start(): void {
    void this.keepTypes();
    void this.keepList();
  }

  private async keepTypes(): Promise<never> {
    for (;;) {
      try {
        this.context.catalog.set(await this.context.cloud.types());
        for (const s of this.ownership.shards.values()) s.requestPlan();
        void this.storeTypes();
        await pause(this.context.clock, TYPES_MS);
      } catch (error) {
        this.context.log.debug({ err: error }, 'machine types not read');
        this.recallTypes();
        await pause(this.context.clock, TYPES_AGAIN_MS);
      }
    }
  }

  /** A node that starts while the cloud does not answer decides by what the cloud last said. */
  private recallTypes(): void {
    if (this.context.catalog.known) return;
    const stored = this.stateCache.entries.get(KEYS.machineTypes);
    if (stored && Array.isArray(stored.value)) this.context.catalog.set(stored.value);
  }

  private async storeTypes(): Promise<void> {
    if (!this.ownership.leader) return;
    const types = this.context.catalog.all().map(([, t]) => t);
    const stored = this.stateCache.entries.get(KEYS.machineTypes);
    if (stored || JSON.stringify(types).length > this.context.settings.stateLimits.valueKb * 1000) return;
    try {
      await this.context.store.compareAndSwap(
        [{ key: KEYS.machineTypes, version: 0 }],
        [{ put: KEYS.machineTypes, value: types }],
      );
    } catch (error) {
      this.context.log.debug({ err: error }, 'machine types not stored');
    }
  }

  private async keepList(): Promise<never> {
    for (;;) {
      try {
        const listed = await this.context.cloud.list();
        this.context.catalog.setListed(listed);
        for (const s of this.ownership.shards.values()) s.onMachineList();
        this.ownership.leader?.onMachineList(this.context.catalog.listedMachines);
      } catch (error) {
        this.context.log.debug({ err: error }, 'machine list not read');
      }
      // The leader looks for machines that nobody has; for the others the list only confirms what reports tell.
      await pause(this.context.clock, this.ownership.leader ? LIST_MS : LIST_MS * 3);
    }
  }
}
