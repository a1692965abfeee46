import { KEYS } from '../schema/schema.js';
import { StateStoreError } from '../state/statestore.js';
import type { Job } from './job.js';
import type { OwnerWrites, OwnerWritesOptions } from './ownerwrites.js';
import type { StoredChunk } from './storedjob.js';
import { chunkTasks } from './taskset.js';

/** Before the first task of a chunk in the explicit layout, as its name. */
const EXPLICIT_PREFIX = 'at';

/**
 * The done tasks of one shard's jobs, stored in chunks. In the legacy layout a chunk is named by its number, and its first task
 * follows from that and the limit of values in the settings, which may change; in the explicit layout it is named by its
 * first task, and its record states it.
 */
export class CompletionChunks {
  private readonly tasksPerChunk: number;
  private readonly legacyTasksPerChunk: number;

  constructor(
    private readonly writes: OwnerWrites,
    private readonly options: OwnerWritesOptions,
  ) {
    this.tasksPerChunk = chunkTasks(options.limits.valueKb);
    this.legacyTasksPerChunk = chunkTasks(options.limits.layoutKb);
  }

  /** The chunk that a task is in, by its name. */
  chunkOf(job: Job, task: number): string {
    // One chunk holds them all: both layouts are the same.
    if (job.spec.tasks <= this.tasksPerChunk) return '0';
    if (this.options.allSupportLatest())
      return `${EXPLICIT_PREFIX}${Math.floor(task / this.tasksPerChunk) * this.tasksPerChunk}`;
    return String(Math.floor(task / this.legacyTasksPerChunk));
  }

  /** Takes over what was stored of a job's done tasks, in either layout. */
  restore(job: Job, chunks: readonly StoredChunk[]): void {
    for (const c of chunks) {
      job.done.load(c.from ?? Number(c.name) * this.legacyTasksPerChunk, c.bits);
      job.chunkVersions.set(c.name, c.version);
    }
    job.storedCount = job.done.count;
    // What is in the legacy layout is stored in the explicit one, as soon as everybody reads that: the legacy one is
    // readable only as long as the key-value store's limit in the settings stays.
    if (!this.options.allSupportLatest() || !this.legacyChunks(job).length) return;
    this.markDirty(job, 0, job.spec.tasks);
    job.storedCount = 0;
  }

  /** Stores the tasks that are done; false when it has to be tried again. Throws `StateStoreError` when it failed. */
  async store(job: Job): Promise<boolean> {
    this.moveDirtyToExplicit(job);
    const chunks = [...job.dirtyChunks].slice(0, Math.max(1, this.options.limits.txnOps));
    const count = job.done.count;
    for (const n of chunks) job.dirtyChunks.delete(n);
    const keys = chunks.map((n) => KEYS.completionChunk(job.spec.id, n));
    try {
      const result = await this.writes.write(
        [
          // One that comes late, after the job's end, would leave a chunk behind that nobody ever drops.
          { key: KEYS.activeJob(job.spec.id), version: job.version },
          ...chunks.map((n, i) => ({ key: keys[i]!, version: job.chunkVersions.get(n) ?? 0 })),
        ],
        chunks.map((n, i) => ({ put: keys[i]!, value: this.chunkValue(job, n) })),
      );
      if (result.ok) {
        for (const n of chunks) job.chunkVersions.set(n, result.revision);
        if (job.dirtyChunks.size === 0) {
          job.storedCount = count;
          await this.dropLegacy(job);
        }
        return true;
      }
      await this.refreshVersions(job, chunks);
    } catch (error) {
      for (const n of chunks) job.dirtyChunks.add(n);
      if (error instanceof StateStoreError && error.mayHaveApplied) await this.refreshVersions(job, chunks);
      else throw error;
    }
    for (const n of chunks) job.dirtyChunks.add(n);
    return false;
  }

  /** The done tasks of a chunk as they are stored, in the layout that its name tells. */
  private chunkValue(job: Job, name: string): object {
    if (!isExplicit(name)) {
      const count = this.legacyTasksPerChunk;
      return { done: job.done.chunk(Number(name) * count, count) };
    }
    const from = Number(name.slice(EXPLICIT_PREFIX.length));
    return { from, bits: job.done.chunk(from, this.tasksPerChunk) };
  }

  /** Names of the stored chunks of a job in the legacy layout; none where both layouts are the same. */
  private legacyChunks(job: Job): string[] {
    if (job.spec.tasks <= this.tasksPerChunk) return [];
    return [...job.chunkVersions.keys()].filter((name) => !isExplicit(name));
  }

  /** The chunks of the done tasks from `from` up to `end` are to be stored. */
  private markDirty(job: Job, from: number, end: number): void {
    for (let i = from; i < end; i++) if (job.done.has(i)) job.dirtyChunks.add(this.chunkOf(job, i));
  }

  /** What was to be stored in the legacy layout goes into the explicit one, once everybody reads that. */
  private moveDirtyToExplicit(job: Job): void {
    if (job.spec.tasks <= this.tasksPerChunk || !this.options.allSupportLatest()) return;
    for (const name of [...job.dirtyChunks]) {
      if (isExplicit(name)) continue;
      job.dirtyChunks.delete(name);
      const first = Number(name) * this.legacyTasksPerChunk;
      this.markDirty(job, first, Math.min(job.spec.tasks, first + this.legacyTasksPerChunk));
    }
  }

  /** Drops chunks of the legacy layout once all that they held is stored in the explicit one. */
  private async dropLegacy(job: Job): Promise<void> {
    if (!this.options.allSupportLatest()) return;
    const legacy = this.legacyChunks(job);
    if (legacy.length === 0 || ![...job.chunkVersions.keys()].some(isExplicit)) return;
    for (let i = 0; i < job.spec.tasks; i++)
      if (job.done.has(i) && !job.chunkVersions.has(this.chunkOf(job, i))) return;
    const dropped = legacy.slice(0, this.options.limits.txnOps);
    const result = await this.writes.write(
      [],
      dropped.map((name) => ({ delete: KEYS.completionChunk(job.spec.id, name) })),
    );
    if (result.ok) for (const name of dropped) job.chunkVersions.delete(name);
  }

  private async refreshVersions(job: Job, chunks: readonly string[]): Promise<void> {
    for (const n of chunks) {
      const stored = await this.options.store.get(KEYS.completionChunk(job.spec.id, n));
      if (stored) job.chunkVersions.set(n, stored.version);
    }
  }
}

function isExplicit(chunkName: string): boolean {
  return chunkName.startsWith(EXPLICIT_PREFIX);
}
