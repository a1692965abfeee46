import { KEYS, type OwnerTransactions } from '../schema/schema.js';
import { CompletionChunks } from './completionchunks.js';
import type { FinalState, Job, JobEntry, JobRecord } from './job.js';
import { type AcceptResult, JobAcceptance } from './jobacceptance.js';
import { JobEnd } from './jobend.js';
import { OwnerWrites, type OwnerWritesOptions, type RecordLimits } from './ownerwrites.js';
import { findJob, type LoadedJob, loadJobs, type StoredChunk } from './storedjob.js';

export { maxValueBytes } from './ownerwrites.js';
export {
  findJob,
  type LoadedJob,
  readChunk,
  readJobEntry,
  readLoaded,
  readParts,
  readSpec,
  shardOfRecord,
} from './storedjob.js';

/**
 * Job records of one shard in the key-value store. Every write is conditional on the owner's term, so a write that
 * the network delivers late cannot overwrite what a newer owner wrote. It is also conditional on the version it was
 * derived from, so a late write cannot overwrite a later change by this owner.
 */
export class JobRecords {
  private readonly acceptance: JobAcceptance;
  private readonly completions: CompletionChunks;
  private readonly end: JobEnd;

  constructor(
    private readonly transactions: OwnerTransactions,
    limits: RecordLimits,
    /** Whether all nodes can read formats that the first version did not support. */
    allSupportProtocolVersion: () => boolean,
    /** Called when a job record has been changed. */
    onChanged: () => void = () => undefined,
  ) {
    const options: OwnerWritesOptions = {
      transactions,
      limits,
      allSupportProtocolVersion,
      onChanged,
    };
    const writes = new OwnerWrites(options);
    this.acceptance = new JobAcceptance(writes, options);
    this.completions = new CompletionChunks(writes, options);
    this.end = new JobEnd(writes, options);
  }

  /** Returns the entry of a job that any shard has accepted, or null if there is none. */
  entry(id: string): Promise<JobEntry | null> {
    return findJob((key) => this.transactions.store.get(key), id);
  }

  /** Stores an accepted job (`JobAcceptance.accept`). */
  accept(record: JobRecord, tag: string): Promise<AcceptResult> {
    return this.acceptance.accept(record, tag);
  }

  /** Returns the name of the chunk that contains a task. */
  chunkOf(job: Job, task: number): string {
    return this.completions.chunkOf(job, task);
  }

  /** Restores the done tasks of a job from its stored chunks. */
  restore(job: Job, chunks: readonly StoredChunk[]): void {
    this.completions.restore(job, chunks);
  }

  /** Stores the tasks that are done. Returns false if the caller has to retry (`CompletionChunks.store`). */
  storeDone(job: Job): Promise<boolean> {
    return this.completions.store(job);
  }

  /** Makes a job's end durable and returns the stored final state (`JobEnd.finish`). */
  finish(job: Job, final: FinalState): Promise<FinalState> {
    return this.end.finish(job, final);
  }

  /** Loads all unfinished jobs of the shard with their done tasks from the key-value store. */
  load(prefix = KEYS.active): Promise<LoadedJob[]> {
    return loadJobs(this.transactions.store, this.transactions.shard, prefix);
  }

  /** Loads one unfinished job; returns null if it is not stored. */
  async loadOne(id: string): Promise<LoadedJob | null> {
    const all = await this.load(KEYS.activeJob(id));
    return all.find((l) => l.record.spec.id === id) ?? null;
  }
}
