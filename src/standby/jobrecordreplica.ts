import { Mutex } from 'async-mutex';
import type { Log } from '../config/log.js';
import type { ControllerContext } from '../context/context.js';
import { type LoadedJob, readChunk, readLoaded, shardOfRecord } from '../jobs/records.js';
import { KEYS } from '../schema/schema.js';
import type { Entry } from '../wire/state.js';
import { recordsComplete } from './takeoverchecks.js';

/** Changes are read no more often than this while there are some, and not at all while there are none. */
const MIN_READ_INTERVAL_MS = 5000;

/** The unfinished jobs of a shard with all changes up to a revision. */
export interface ReplicatedJobs {
  readonly jobs: LoadedJob[];
  /** How many changes had to be read for it. */
  readonly changes: number;
}

/** An unfinished job, and the shard whose it is. */
interface ShardJob {
  readonly shard: number;
  readonly loaded: LoadedJob;
}

/**
 * The unfinished jobs of the shards that this node stands by for, as the key-value store has them: read once, and from then on
 * the changes since, all with one request. Nothing depends on how old it is: whoever takes a shard reads on to the revision of its claim.
 */
export class JobRecordReplica {
  private readonly jobs = new Map<string, ShardJob>();
  private readonly shards = new Set<number>();
  /** All changes up to this revision are in the replica; 0 when all has to be read. */
  private revision = 0;
  /** When something was last read, in steady milliseconds. */
  private readAt = Number.NEGATIVE_INFINITY;
  /**
   * Reads go one after the other: of two at once the older could put back a job that had ended, and a new owner would
   * call it queued.
   */
  private readonly mutex = new Mutex();

  constructor(
    private readonly context: ControllerContext,
    private readonly log: Log,
  ) {}

  /** How many jobs are kept. */
  get size(): number {
    return this.jobs.size;
  }

  /** From now on the shard is followed. */
  follow(shard: number): void {
    if (this.shards.has(shard)) return;
    this.shards.add(shard);
    void this.mutex
      .runExclusive(async () => {
        this.revision = 0;
        await this.read();
      })
      .catch((error) => this.log.debug({ err: error }, 'job records not read yet'));
  }

  /** The shard is no longer followed; its jobs are dropped. */
  unfollow(shard: number): void {
    if (!this.shards.delete(shard)) return;
    for (const [id, j] of this.jobs) if (j.shard === shard) this.jobs.delete(id);
  }

  /** An owner has changed something since: it is read, unless that was done just now. */
  onRecordsChanged(): void {
    if (this.mutex.isLocked() || this.context.clock.now() - this.readAt < MIN_READ_INTERVAL_MS) return;
    void this.mutex
      .runExclusive(() => this.read())
      .catch((error) => this.log.debug({ err: error }, 'job record changes not read yet'));
  }

  /**
   * All unfinished jobs of a shard with all changes up to a revision; null when they have to be read anew. Throws when the
   * key-value store does not answer.
   */
  upTo(revision: number, shard: number): Promise<ReplicatedJobs | null> {
    return this.mutex.runExclusive(async () => {
      if (!this.shards.has(shard) || this.revision === 0) return null;
      const changes = recordsComplete(this.revision, revision) ? 0 : await this.read();
      if (!recordsComplete(this.revision, revision)) return null;
      const jobs = [...this.jobs.values()].filter((j) => j.shard === shard).map((j) => j.loaded);
      return { jobs, changes };
    });
  }

  /** Reads what has changed, or all of it; returns how many changes or records that were. */
  private async read(): Promise<number> {
    const { store, clock } = this.context;
    this.readAt = clock.now();
    if (this.revision > 0) {
      const result = await store.watch(KEYS.active, this.revision, 0);
      if (result) {
        for (const c of result.changes) {
          if ('gone' in c) this.remove(c.key);
          else await this.apply({ key: c.key, value: c.value, version: c.version });
        }
        this.revision = Math.max(this.revision, result.revision);
        return result.changes.length;
      }
    }
    this.revision = 0;
    const { entries, revision } = await store.list(KEYS.active);
    this.jobs.clear();
    for (const e of entries) await this.apply(e);
    // A listing of several pages may show later changes too; those are read once more, and are the same.
    this.revision = revision;
    return entries.length;
  }

  private async apply(e: Entry): Promise<void> {
    const [id, chunk] = e.key.slice(KEYS.active.length).split('/');
    if (id === undefined) return;
    const known = this.jobs.get(id);
    if (chunk !== undefined) {
      const read = readChunk(chunk, e);
      if (!known || !read) return;
      known.loaded.chunks = known.loaded.chunks.filter((c) => c.name !== chunk);
      known.loaded.chunks.push(read);
      return;
    }
    const shard = shardOfRecord(e.value);
    if (shard === null || !this.shards.has(shard)) return;
    const loaded = await readLoaded(this.context.store, id, e);
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
