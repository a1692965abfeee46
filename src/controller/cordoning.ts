import { pause } from '../clock/clock.js';
import type { ControllerContext } from '../context/context.js';
import { nextHeartbeatWithinMs } from '../workers/machine.js';
import type { Handovers } from './handover.js';
import type { Membership } from './membership.js';
import type { OwnedShards } from './ownedshards.js';
import type { OwnerKeys } from './ownerkeys.js';
import type { WorkerConnectivity } from './workerconnectivity.js';
import { canReachWorkers, PROBE_TIMEOUT_MS } from './workerprobe.js';

/**
 * Number of machines whose last heartbeat to this node is within a worker's lease, and of those among them that are
 * on time.
 */
export interface HeartbeatCounts {
  readonly recent: number;
  readonly current: number;
}

/** Last heartbeat and lease state of a machine; times in milliseconds of the monotonic clock. */
interface HeartbeatAge {
  readonly lastHeartbeatAt: number | null;
  readonly leaseExpired: boolean;
}

/**
 * Counts machines whose last heartbeat is not older than `recentMs`, and those among them whose last heartbeat is
 * younger than `currentMs`. Machines whose lease has expired are not counted.
 */
export function countHeartbeats(
  machines: Iterable<HeartbeatAge>,
  now: number,
  { recentMs, currentMs }: { readonly recentMs: number; readonly currentMs: number },
): HeartbeatCounts {
  let recent = 0;
  let current = 0;
  for (const machine of machines) {
    if (machine.lastHeartbeatAt === null || machine.leaseExpired) continue;
    const age = now - machine.lastHeartbeatAt;
    if (age > recentMs) continue;
    recent++;
    if (age < currentMs) current++;
  }
  return { recent, current };
}

function* machinesOf(owned: OwnedShards): Generator<HeartbeatAge> {
  for (const shard of owned.shards.values()) yield* shard.registry.machines.values();
}

/** Dependencies of `Cordoning`. */
export interface CordoningOptions {
  readonly context: ControllerContext;
  readonly members: Membership;
  readonly owned: OwnedShards;
  readonly keys: OwnerKeys;
  readonly handovers: Handovers;
  readonly connectivity: WorkerConnectivity;
}

/**
 * Cordons this node, which leaves its shards to other nodes, while the workers cannot reach it, and uncordons it
 * afterwards.
 */
export class Cordoning {
  private probing = false;

  constructor(private readonly options: CordoningOptions) {}

  /**
   * Cordons the node when it is cut off from the workers. On a cordoned node, probes whether it reaches them again.
   */
  reconcile(): void {
    const { connectivity } = this.options;
    if (connectivity.cordoned) {
      if (connectivity.mayUncordon && !this.probing) void this.probeWorkers();
      return;
    }
    const { recent, current } = this.heartbeatCounts();
    const isCutOff = recent > 0 && connectivity.isCutOff(recent, current);
    if (isCutOff && this.options.context.settings.peers.length > 0) this.cordon(recent);
  }

  private heartbeatCounts(): HeartbeatCounts {
    const { context, owned } = this.options;
    const { workers } = context.settings;
    return countHeartbeats(machinesOf(owned), context.clock.now(), {
      recentMs: workers.leaseS * 1000,
      currentMs: nextHeartbeatWithinMs(workers.reportS),
    });
  }

  private cordon(machines: number): void {
    const { context, members, owned, keys, handovers, connectivity } = this.options;
    connectivity.cordon();
    context.log.warn({ machines }, 'node cordoned: workers cannot reach it');
    const shards = [...owned.shards.values()];
    const withoutSuccessor = shards.filter((s) => !owned.successorOf(s));
    for (const shard of withoutSuccessor) owned.stopOwning(shard);
    for (const shard of shards)
      if (!withoutSuccessor.includes(shard)) void handovers.handOver(shard, 'workers cannot reach this node');
    void members
      .publishCordoned(true)
      .catch((error) => context.log.info({ err: error }, 'presence update failed'))
      .then(() => Promise.all(withoutSuccessor.map((s) => keys.release(s.index, s.term))));
  }

  private async probeWorkers(): Promise<void> {
    const { context, members, connectivity } = this.options;
    this.probing = true;
    try {
      if (!(await canReachWorkers(context, members.stateCache))) return;
      connectivity.uncordon();
      context.log.info('node uncordoned: it reaches workers again');
      await members.publishCordoned(false);
    } catch (error) {
      context.log.info({ err: error }, 'presence update failed');
    } finally {
      await pause(context.clock, PROBE_TIMEOUT_MS);
      this.probing = false;
    }
  }
}
