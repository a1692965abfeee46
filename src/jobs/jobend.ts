import { KEYS } from '../schema/schema.js';
import { StateStoreError } from '../state/statestore.js';
import type { Write } from '../wire/state.js';
import type { FinalState, Job, JobEntry } from './job.js';
import type { OwnerWrites, OwnerWritesOptions } from './ownerwrites.js';
import { readJobEntry } from './storedjob.js';

/** Stores the ends of one shard's jobs. */
export class JobEnd {
  constructor(
    private readonly writes: OwnerWrites,
    private readonly options: OwnerWritesOptions,
  ) {}

  /**
   * Makes a job's end durable and returns the stored final state. An attempt that has certainly failed does not
   * show whether an earlier attempt succeeded, or still will by a write that the network delivers late.
   * Therefore `endWriteSent` stays set until an attempt has determined the result. Throws `StateStoreError` if
   * the write failed or its result is unknown.
   */
  async finish(job: Job, final: FinalState): Promise<FinalState> {
    const { transactions, limits } = this.options;
    const id = job.spec.id;
    const writes = this.endWrites(job, final);
    const sentBefore = job.endWriteSent;
    job.endWriteSent = true;
    try {
      // The condition on the active record makes a late copy of this write fail, because the record is then
      // deleted.
      const result = await this.writes.write(
        [{ key: KEYS.activeJob(id), version: job.version }],
        writes.slice(0, Math.max(2, limits.txnOps)),
      );
      if (result.ok) {
        this.deleteRemaining(job, writes);
        return final;
      }
    } catch (error) {
      if (!(error instanceof StateStoreError) || !error.mayHaveApplied) {
        job.endWriteSent = sentBefore;
        throw error;
      }
    }
    const stored = await transactions.store.get(KEYS.job(id));
    const entry = stored && readJobEntry(stored.value);
    if (!entry?.final) throw new StateStoreError(`end of ${id} is not decided`, true);
    this.deleteRemaining(job, writes);
    return entry.final;
  }

  /**
   * Returns the writes that store the end and delete the active record and the chunks of done tasks. The chunks
   * may be too many for one transaction.
   */
  private endWrites(job: Job, final: FinalState): Write[] {
    const id = job.spec.id;
    const entry: JobEntry = { shard: this.options.transactions.shard, final, tasks: job.spec.tasks };
    const deletions = [...job.chunkVersions.keys()].map((chunk) => ({
      delete: KEYS.completionChunk(id, chunk),
    }));
    return [{ put: KEYS.job(id), value: entry }, { delete: KEYS.activeJob(id) }, ...deletions];
  }

  private deleteRemaining(job: Job, writes: readonly Write[]): void {
    const { txnOps } = this.options.limits;
    if (writes.length > txnOps) void this.writes.deleteUnconditionally(writes.slice(txnOps));
    if (job.partsPrefix !== null) void this.writes.deleteParts(job.partsPrefix);
  }
}
