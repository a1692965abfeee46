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
   * Makes a job's end durable; returns how it stands. A try that surely came to nothing leaves it undecided whether one before
   * it did: `endWriteSent` stays until a try has found out, also by a write that the network delivers late. Throws
   * `StateStoreError` when it failed or is not decided.
   */
  async finish(job: Job, final: FinalState): Promise<FinalState> {
    const { store, limits } = this.options;
    const id = job.spec.id;
    const writes = this.endWrites(job, final);
    const sentBefore = job.endWriteSent;
    job.endWriteSent = true;
    try {
      // Condition on the active record: a late copy of this write finds it gone.
      const result = await this.writes.write(
        [{ key: KEYS.activeJob(id), version: job.version }],
        writes.slice(0, Math.max(2, limits.txnOps)),
      );
      if (result.ok) {
        this.sweepRest(job, writes);
        return final;
      }
    } catch (error) {
      if (!(error instanceof StateStoreError) || !error.mayHaveApplied) {
        job.endWriteSent = sentBefore;
        throw error;
      }
    }
    const stored = await store.get(KEYS.job(id));
    const known = stored && readJobEntry(stored.value);
    if (!known?.final) throw new StateStoreError(`end of ${id} is not decided`, true);
    this.sweepRest(job, writes);
    return known.final;
  }

  /** The end, the record that it takes away, and the chunks of done tasks, which a transaction may not hold all. */
  private endWrites(job: Job, final: FinalState): Write[] {
    const id = job.spec.id;
    const entry: JobEntry = { shard: this.options.shard, final, tasks: job.spec.tasks };
    const drops = [...job.chunkVersions.keys()].map((n) => ({ delete: KEYS.completionChunk(id, n) }));
    return [{ put: KEYS.job(id), value: entry }, { delete: KEYS.activeJob(id) }, ...drops];
  }

  private sweepRest(job: Job, writes: readonly Write[]): void {
    const { txnOps } = this.options.limits;
    if (writes.length > txnOps) void this.writes.sweep(writes.slice(txnOps));
    if (job.partsUnder !== null) void this.writes.sweepParts(job.partsUnder);
  }
}
