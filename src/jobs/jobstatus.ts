import { type StateStore, StateStoreError } from '../state/statestore.js';
import type { FinalState, JobEntry } from './job.js';
import { findJob, readParts } from './storedjob.js';

/**
 * Maximum number of jobs read for one answer. For a job that would need more, the status is reported as unsure.
 */
const MAX_JOBS_READ = 24;

/** Whether an unfinished job has dependencies, as far as its record shows without further reads. */
export function hasDependencies(entry: JobEntry): boolean {
  return entry.partsPrefix !== undefined || (entry.after?.length ?? 0) > 0;
}

/** Status of a job according to the key-value store. */
export type StoredJobStatus = 'active' | FinalState | 'unsure';

/**
 * Determines the status of a job from the key-value store alone, for use when the owner does not answer. A job
 * with a cancelled direct or indirect dependency will be cancelled as well, but is not yet. For such a job, and
 * if too many records would have to be read, the result is `unsure`.
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
    if (entry.partsPrefix !== undefined) {
      const spec = await readParts(store, entry.partsPrefix, null);
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
