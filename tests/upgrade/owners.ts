import { pause } from '../../src/clock/clock.js';
import type { LocalCluster } from '../../src/emulator/local.js';
import { KEYS, readLeaseHolder, readStandbyRecord, readTeamAssignment } from '../../src/schema/schema.js';

/** The build that a controller runs. */
export type Build = 'old' | 'new';

const WATCH_MS = 500;

/**
 * Observes in the key-value store which controllers own the shards of a cluster and which are standbys, and counts
 * terms.
 */
export class OwnerWatch {
  /** Terms of shards, as owner key and version; each new owner of a shard begins one. */
  readonly terms = new Set<string>();
  /** Controllers that owned a shard, as build and number. */
  readonly owners = new Set<string>();
  /** Builds of a shard's owner and its standby, as `old>new`. */
  readonly standbys = new Set<string>();
  /** Maximum number of teams of the cluster at a moment at which owners of both builds served teams. */
  mixedTeams = 0;
  private stopped = false;

  constructor(
    private readonly cluster: LocalCluster,
    private readonly builds: readonly Build[],
  ) {}

  /** Samples the owners periodically until `stop` is called. */
  async run(): Promise<void> {
    while (!this.stopped) {
      this.sample();
      await pause(this.cluster.clock, WATCH_MS);
    }
  }

  stop(): void {
    this.stopped = true;
  }

  private sample(): void {
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
