import type { ControllerContext } from '../context/context.js';
import { KEYS, readMachineRecord } from '../schema/schema.js';
import { WORKER_PATHS } from '../wire/workers.js';
import type { ClusterStateCache } from './clusterstatecache.js';

/** Number of workers to probe, spread over all machines of the cluster, and number of them that have to answer. */
const PROBE_COUNT = 5;
const MIN_PROBES_ANSWERED = 3;
/** Time-out of a probe, in milliseconds. */
export const PROBE_TIMEOUT_MS = 1500;

/** Returns whether this node reaches workers, by requesting the status of a sample of the cluster's workers. */
export async function canReachWorkers(
  context: ControllerContext,
  stateCache: ClusterStateCache,
): Promise<boolean> {
  const addresses: string[] = [];
  for (const [key, entry] of stateCache.entries) {
    const record = key.startsWith(KEYS.machines) ? readMachineRecord(entry.value) : null;
    if (record?.addr) addresses.push(record.addr);
  }
  const probed = sample(addresses, PROBE_COUNT);
  const answers = await Promise.all(
    probed.map((address) =>
      context.http.request(address, 'GET', WORKER_PATHS.status, null, PROBE_TIMEOUT_MS).then(
        () => true,
        () => false,
      ),
    ),
  );
  return answers.filter(Boolean).length >= Math.min(MIN_PROBES_ANSWERED, probed.length);
}

/** Returns at most `max` items, evenly spaced. */
function sample<T>(items: readonly T[], max: number): T[] {
  const step = Math.max(1, Math.floor(items.length / max));
  return items.filter((_, i) => i % step === 0).slice(0, max);
}
