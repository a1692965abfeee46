import { maxMachinesPerShard as maxMachinesBySockets } from '../config/settings.js';
import type { ControllerContext } from '../context/context.js';
import { KEYS, type MachineRecord } from '../schema/schema.js';
import type { ClusterStateCache } from './clusterstatecache.js';

/** Beside its even share of all machines, a shard may have this much more of them. */
const SHARD_SIZE_MARGIN = 1.1;

/** The records of all machines of the cluster, as the copy of the keys shows them. */
export function* machineRecords(stateCache: ClusterStateCache): Generator<MachineRecord> {
  for (const [key, entry] of stateCache.entries)
    if (key.startsWith(KEYS.machines)) yield entry.value as MachineRecord;
}

/** How many machines of each type, and of each type in each zone, every shard has. */
export class MachineCounts {
  private readonly byKind = new Map<string, number[]>();

  constructor(private readonly shards: number) {}

  /** Counts a machine as the shard's. */
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

/** How many machines every shard has. */
export function countByShard(stateCache: ClusterStateCache, shards: number): number[] {
  const counts = new Array<number>(shards).fill(0);
  for (const { shard } of machineRecords(stateCache)) if (counts[shard] !== undefined) counts[shard]++;
  return counts;
}

/** A shard gets no more machines than its owner has connections for, or its share of them when there are too many. */
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
