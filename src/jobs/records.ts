import { KEYS } from '../schema/schema.js';
import type { StateStore } from '../state/statestore.js';
import { CompletionChunks } from './completionchunks.js';
import type { FinalState, Job, JobEntry, JobRecord } from './job.js';
import { type AcceptResult, JobAcceptance } from './jobacceptance.js';
import { JobEnd } from './jobend.js';
import { OwnerWrites, type OwnerWritesOptions, type RecordLimits } from './ownerwrites.js';
import { findJob, type LoadedJob, loadJobs, type StoredChunk } from './storedjob.js';

export { valueBytes } from './ownerwrites.js';
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
 * The jobs of one shard in the key-value store. Every write holds only while the shard's owner key has this term, so a
 * write that the network delivers late cannot undo what a newer owner wrote; and only for the version that it was
 * made from, so a late one cannot undo what came after it here.
 */
export class JobRecords {
  private readonly acceptance: JobAcceptance;
  private readonly completions: CompletionChunks;
  private readonly end: JobEnd;

  constructor(
    private readonly store: StateStore,
    private readonly shard: number,
    term: number,
    limits: RecordLimits,
    /** Whether every node reads what the first version did not know. */
    allSupportLatest: () => boolean,
    /** A record of a job has been changed. */
    onChanged: () => void = () => undefined,
  ) {
    const options: OwnerWritesOptions = { store, shard, term, limits, allSupportLatest, onChanged };
    const writes = new OwnerWrites(options);
    this.acceptance = new JobAcceptance(writes, options);
    this.completions = new CompletionChunks(writes, options);
    this.end = new JobEnd(writes, options);
  }

  /** A job that was accepted once, by this shard or another; null when there is none. */
  entry(id: string): Promise<JobEntry | null> {
    return findJob((key) => this.store.get(key), id);
  }

  /** Stores a job that is accepted (`JobAcceptance.accept`). */
  accept(record: JobRecord, tag: string): Promise<AcceptResult> {
    return this.acceptance.accept(record, tag);
  }

  /** The chunk that a task is in, by its name. */
  chunkOf(job: Job, task: number): string {
    return this.completions.chunkOf(job, task);
  }

  /** Takes over what was stored of a job's done tasks. */
  restore(job: Job, chunks: readonly StoredChunk[]): void {
    this.completions.restore(job, chunks);
  }

  /** Stores the tasks that are done; false when it has to be tried again (`CompletionChunks.store`). */
  storeDone(job: Job): Promise<boolean> {
    return this.completions.store(job);
  }

  /** Makes a job's end durable; returns how it stands (`JobEnd.finish`). */
  finish(job: Job, final: FinalState): Promise<FinalState> {
    return this.end.finish(job, final);
  }

  /** All unfinished jobs of the shard with their done tasks, as the key-value store has them. */
  load(prefix = KEYS.active): Promise<LoadedJob[]> {
    return loadJobs(this.store, this.shard, prefix);
  }

  /** One unfinished job, when it is stored. */
  async loadOne(id: string): Promise<LoadedJob | null> {
    const all = await this.load(KEYS.activeJob(id));
    return all.find((l) => l.record.spec.id === id) ?? null;
  }
}
