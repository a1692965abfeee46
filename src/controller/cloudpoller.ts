import { pause } from '../clock/clock.js';
import type { World } from '../context/context.js';
import { KEYS } from '../schema/schema.js';
import type { Mirror } from './clusterstatecache.js';
import type { Ownership } from './ownership.js';

const LIST_MS = 5000;
const TYPES_MS = 30_000;
const TYPES_AGAIN_MS = 1500;

/** Keeps what the cloud tells: machine types and the list of machines. */
export class CloudWatch {
  constructor(
    private readonly world: World,
    private readonly mirror: Mirror,
    private readonly own: Ownership,
  ) {}

  start(): void {
    void this.keepTypes();
    void this.keepList();
  }

  private async keepTypes(): Promise<never> {
    for (;;) {
      try {
        this.world.catalog.set(await this.world.cloud.types());
        for (const s of this.own.shards.values()) s.requestPlan();
        void this.storeTypes();
        await pause(this.world.clock, TYPES_MS);
      } catch (error) {
        this.world.log.debug({ error: String(error) }, 'machine types not read');
        this.recallTypes();
        await pause(this.world.clock, TYPES_AGAIN_MS);
      }
    }
  }

  /** A node that starts while the cloud does not answer decides by what the cloud last said. */
  private recallTypes(): void {
    if (this.world.catalog.known) return;
    const stored = this.mirror.entries.get(KEYS.types);
    if (stored && Array.isArray(stored.value)) this.world.catalog.set(stored.value);
  }

  private async storeTypes(): Promise<void> {
    if (!this.own.leader) return;
    const types = this.world.catalog.all().map(([, t]) => t);
    const stored = this.mirror.entries.get(KEYS.types);
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
        for (const s of this.own.shards.values()) s.listed();
        this.own.leader?.listed(this.world.catalog.listed);
      } catch (error) {
        this.world.log.debug({ error: String(error) }, 'machine list not read');
      }
      // The leader looks for machines that nobody has; for the others the list only confirms what reports tell.
      await pause(this.world.clock, this.own.leader ? LIST_MS : LIST_MS * 3);
    }
  }
}
