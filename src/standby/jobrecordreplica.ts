import { Mutex } from 'async-mutex';
import type { Log } from '../config/log.js';
import type { ControllerContext } from '../context/context.js';
import { type LoadedJob, readChunk, readLoaded, shardOfRecord } from '../jobs/records.js';
import { KEYS } from '../schema/schema.js';
import type { Entry } from '../wire/state.js';
import { recordsComplete } from './takeoverchecks.js';

/** Minimum interval between reads of changes. Nothing is read while there are no changes. */
const MIN_READ_INTERVAL_MS = 5000;

/** Unfinished jobs of a shard, with all changes up to a revision. */
export interface ReplicatedJobs {
  readonly jobs: LoadedJob[];
  /** Number of changes that had to be read to reach the revision. */
  readonly changes: number;
}

/** An unfinished job and its shard. */
interface ShardJob {
  readonly shard: number;
  readonly loaded: LoadedJob;
}

/**
 * Replica of the unfinished job records of the shards that this node stands by for. Records are listed once;
 * after that only changes are read, one request for all shards. Correctness does not depend on the age of the
 * replica: a node that takes over a shard first reads up to the revision of its claim.
 */
export class JobRecordReplica {
  private readonly jobs = new Map<string, ShardJob>();
  private readonly shards = new Set<number>();
  /** The replica contains all changes up to this revision; 0 if all records have to be listed. */
  private revision = 0;
  /** Time of the last read, in milliseconds of the monotonic clock. */
  private readAt = Number.NEGATIVE_INFINITY;
  /**
   * Serializes reads. Of two concurrent reads, the older one could restore a job that has ended, and a new
   * owner would report the job as queued.
   */
  private readonly mutex = new Mutex();

  constructor(
    private readonly context: ControllerContext,
    private readonly log: Log,
  ) {}

  /** Number of jobs in the replica. */
  get size(): number {
    return this.jobs.size;
  }

  /** Starts to follow a shard. */
  follow(shard: number): void {
    if (this.shards.has(shard)) return;
    this.shards.add(shard);
    void this.mutex
      .runExclusive(async () => {
        this.revision = 0;
        await this.read();
      })
      .catch((error) =>
        this.log.debug(
          { err: error },
          'failed to read job records: retried when their owner reports a change',
        ),
      );
  }

  /** Stops following a shard and drops its jobs. */
  unfollow(shard: number): void {
    if (!this.shards.delete(shard)) return;
    for (const [id, job] of this.jobs) if (job.shard === shard) this.jobs.delete(id);
  }

  /** Reads the changes after an owner has reported some, unless a read is running or has just been made. */
  onRecordsChanged(): void {
    if (this.mutex.isLocked() || this.context.clock.now() - this.readAt < MIN_READ_INTERVAL_MS) return;
    void this.mutex
      .runExclusive(() => this.read())
      .catch((error) =>
        this.log.debug(
          { err: error },
          'failed to read job record changes: retried when their owner reports a change',
        ),
      );
  }

  /**
   * Returns all unfinished jobs of a shard with all changes up to a revision, or null if the caller has to list
   * them itself. Throws if the key-value store does not answer.
   */
  readUpTo(revision: number, shard: number): Promise<ReplicatedJobs | null> {
    return this.mutex.runExclusive(async () => {
      if (!this.shards.has(shard) || this.revision === 0) return null;
      const changes = recordsComplete(this.revision, revision) ? 0 : await this.read();
      if (!recordsComplete(this.revision, revision)) return null;
      const jobs = [...this.jobs.values()].filter((job) => job.shard === shard).map((job) => job.loaded);
      return { jobs, changes };
    });
  }

  /** Reads the changes, or all records. Returns the number of changes or records read. */
  private async read(): Promise<number> {
    const { store, clock } = this.context;
    this.readAt = clock.now();
    if (this.revision > 0) {
      const result = await store.watch(KEYS.active, this.revision, 0);
      if (result) {
        for (const change of result.changes) {
          if ('gone' in change) this.remove(change.key);
          else await this.apply({ key: change.key, value: change.value, version: change.version });
        }
        this.revision = Math.max(this.revision, result.revision);
        return result.changes.length;
      }
    }
    this.revision = 0;
    const { entries, revision } = await store.list(KEYS.active);
    this.jobs.clear();
    for (const entry of entries) await this.apply(entry);
    // A listing of several pages may already contain later changes. They are read a second time, with the same
    // result.
    this.revision = revision;
    return entries.length;
  }

  private async apply(entry: Entry): Promise<void> {
    const [id, chunk] = entry.key.slice(KEYS.active.length).split('/');
    if (id === undefined) return;
    const known = this.jobs.get(id);
    if (chunk !== undefined) {
      const storedChunk = readChunk(chunk, entry);
      if (!known || !storedChunk) return;
      known.loaded.chunks = known.loaded.chunks.filter((c) => c.name !== chunk);
      known.loaded.chunks.push(storedChunk);
      return;
    }
    const shard = shardOfRecord(entry.value);
    if (shard === null || !this.shards.has(shard)) return;
    const loaded = await readLoaded(this.context.store, id, entry);
    if (!loaded) {
      this.jobs.delete(id);
      return;
    }
    if (known) loaded.chunks = known.loaded.chunks;
    this.jobs.set(id, { shard, loaded });
  }

  private remove(key: string): void {
    const [id, chunk] = key.slice(KEYS.active.length).split('/');
    const known = id === undefined ? undefined : this.jobs.get(id);
    if (!known) return;
    if (chunk === undefined) this.jobs.delete(id!);
    else known.loaded.chunks = known.loaded.chunks.filter((c) => c.name !== chunk);
  }
}
