import { type StateStore, StateStoreError } from '../state/statestore.js';
import type { FinalState, JobEntry } from './job.js';
import { findJob, readParts } from './storedjob.js';

/** The most jobs that are read for one answer; of what needs more nothing is said for now. */
const MAX_JOBS_READ = 24;

/** Whether an unfinished job names others, as far as its record says without reading more. */
export function hasDependencies(entry: JobEntry): boolean {
  return entry.partsUnder !== undefined || (entry.after?.length ?? 0) > 0;
}

/** How a job stands as far as the key-value store knows. */
export type StoredJobStatus = 'active' | FinalState | 'unsure';

/**
 * How a job stands by the key-value store alone: for when its owner cannot be asked. A job of which one that it needs, directly
 * or through others, is cancelled will be cancelled as well, but is not yet: of such a job, and where too much would have
 * to be read, the answer is `unsure`.
 */
export async function jobStatusFromStore(
  store: Pick<StateStore, 'getCoalesced' | 'list'>,
  id: string,
): Promise<StoredJobStatus> {
  const seen = new Set([id]);
  const queue = [id];
  for (let current = queue.shift(); current !== undefined; current = queue.shift()) {
    if (seen.size > MAX_JOBS_READ) return 'unsure';
    const entry = await findJob((key) => store.getCoalesced(key), current);
    if (!entry) throw new StateStoreError(`no record of ${current}`, false);
    if (current === id && entry.final) return entry.final;
    if (entry.final === 'cancelled') return 'unsure';
    let after = entry.after ?? [];
    if (entry.partsUnder !== undefined) {
      const spec = await readParts(store, entry.partsUnder, null);
      if (!spec) return 'unsure';
      after = spec.after;
    }
    for (const next of after) {
      if (seen.has(next)) continue;
      seen.add(next);
      queue.push(next);
    }
  }
  return 'active';
}
