import { maxMachinesPerShard as maxMachinesBySockets } from '../config/settings.js';
import type { ControllerContext } from '../context/context.js';
import { KEYS, type MachineRecord } from '../schema/schema.js';
import type { ClusterStateCache } from './clusterstatecache.js';

/** Factor by which a shard may exceed its even share of all machines. */
const SHARD_SIZE_MARGIN = 1.1;

/** Returns the records of all machines of the cluster from the cache. */
export function* machineRecords(stateCache: ClusterStateCache): Generator<MachineRecord> {
  for (const [key, entry] of stateCache.entries)
    if (key.startsWith(KEYS.machines)) yield entry.value as MachineRecord;
}

/** Number of machines of each shard, by type and by type and zone. */
export class MachineCounts {
  private readonly byKind = new Map<string, number[]>();

  constructor(private readonly shards: number) {}

  /** Adds a machine to the counts of a shard. */
  add(shard: number, type: string, zone: string): void {
    for (const kind of [type, `${type} ${zone}`]) {
      let counts = this.byKind.get(kind);
      if (!counts) {
        counts = new Array<number>(this.shards).fill(0);
        this.byKind.set(kind, counts);
      }
      if (counts[shard] !== undefined) counts[shard]++;
    }
  }

  ofType(shard: number, type: string): number {
    return this.byKind.get(type)?.[shard] ?? 0;
  }

  ofTypeInZone(shard: number, type: string, zone: string): number {
    return this.byKind.get(`${type} ${zone}`)?.[shard] ?? 0;
  }
}

/** Counts the machines of each shard. */
export function countByShard(stateCache: ClusterStateCache, shards: number): number[] {
  const counts = new Array<number>(shards).fill(0);
  for (const { shard } of machineRecords(stateCache)) if (counts[shard] !== undefined) counts[shard]++;
  return counts;
}

/**
 * Returns the maximum number of machines of a shard: as many as its owner has connections for, or the shard's share
 * of all machines plus a margin when that is larger.
 */
export function maxMachinesPerShard(
  context: ControllerContext,
  counts: readonly number[],
  unregistered: number,
): number {
  const all = counts.reduce((sum, n) => sum + n, unregistered);
  return Math.max(
    maxMachinesBySockets(context.settings.limits.maxSockets),
    Math.ceil((all * SHARD_SIZE_MARGIN) / context.settings.nodes),
  );
}
