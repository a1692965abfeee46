import { pause } from '../../src/clock/clock.js';
import type { LocalCluster } from '../../src/emulator/local.js';
import { KEYS, readLeaseHolder, readStandbyRecord, readTeamAssignment } from '../../src/schema/schema.js';

/** The build that a controller runs. */
export type Build = 'old' | 'new';

const WATCH_MS = 500;

/** Watches in the state service who owns the shards of a cluster, who stands by, and in which terms. */
export class OwnerWatch {
  /** Each new owner of a shard begins one. */
  readonly terms = new Set<string>();
  /** Controllers that owned a shard, as their build and number. */
  readonly owners = new Set<string>();
  /** Builds of a shard's owner and its standby, as `old>new`. */
  readonly standbys = new Set<string>();
  /** Teams that were served by owners of both builds at one moment, the most of them. */
  mixedTeams = 0;
  private over = false;

  constructor(
    private readonly cluster: LocalCluster,
    private readonly builds: readonly Build[],
  ) {}

  /** Looks on until `stop` is called. */
  async run(): Promise<void> {
    while (!this.over) {
      this.look();
      await pause(this.cluster.clock, WATCH_MS);
    }
  }

  stop(): void {
    this.over = true;
  }

  private look(): void {
    const { items } = this.cluster.state;
    const buildOfShard = new Map<number, Build>();
    for (const [key, item] of items) {
      if (!key.startsWith(KEYS.owners)) continue;
      const owner = this.indexOf(readLeaseHolder(item.value)?.node);
      if (owner === null) continue;
      const shard = Number(key.slice(KEYS.owners.length));
      const build = this.buildOf(owner);
      buildOfShard.set(shard, build);
      this.terms.add(`${key}@${item.version}`);
      this.owners.add(`${build}-${owner}`);
      const standby = this.indexOf(readStandbyRecord(items.get(KEYS.standby(shard))?.value)?.node);
      if (standby !== null) this.standbys.add(`${build}>${this.buildOf(standby)}`);
    }
    this.countMixed(buildOfShard);
  }

  private countMixed(buildOfShard: ReadonlyMap<number, Build>): void {
    const assignment = readTeamAssignment(this.cluster.state.items) ?? {};
    const builds = Object.values(assignment).map((shard) => buildOfShard.get(shard));
    if (builds.includes('old') && builds.includes('new'))
      this.mixedTeams = Math.max(this.mixedTeams, builds.length);
  }

  private indexOf(node: string | undefined): number | null {
    const index = this.cluster.controllers.findIndex((c) => c.node === node);
    return index < 0 ? null : index;
  }

  private buildOf(controller: number): Build {
    return this.builds[controller % this.builds.length]!;
  }
}
