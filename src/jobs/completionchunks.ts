import { KEYS } from '../schema/schema.js';
import { StateStoreError } from '../state/statestore.js';
import type { Job } from './job.js';
import type { OwnerWrites, OwnerWritesOptions } from './ownerwrites.js';
import type { StoredChunk } from './storedjob.js';
import { tasksPerChunk } from './taskset.js';

/** Prefix of chunk names in the explicit layout, followed by the chunk's first task. */
const EXPLICIT_PREFIX = 'at';

/**
 * Stores the done tasks of one shard's jobs in chunks. In the legacy layout a chunk is named by its number; its
 * first task is derived from that number and the value size limit in the settings, which may change. In the
 * explicit layout a chunk is named by its first task, and its record contains that task.
 */
export class CompletionChunks {
  private readonly tasksPerChunk: number;
  private readonly legacyTasksPerChunk: number;

  constructor(
    private readonly writes: OwnerWrites,
    private readonly options: OwnerWritesOptions,
  ) {
    this.tasksPerChunk = tasksPerChunk(options.limits.valueKb);
    this.legacyTasksPerChunk = tasksPerChunk(options.limits.layoutKb);
  }

  /** Returns the name of the chunk that contains a task. */
  chunkOf(job: Job, task: number): string {
    // A single chunk holds all tasks, and both layouts are the same.
    if (job.spec.tasks <= this.tasksPerChunk) return '0';
    if (this.options.allSupportProtocolVersion())
      return `${EXPLICIT_PREFIX}${Math.floor(task / this.tasksPerChunk) * this.tasksPerChunk}`;
    return String(Math.floor(task / this.legacyTasksPerChunk));
  }

  /** Restores the done tasks of a job from its stored chunks, in either layout. */
  restore(job: Job, chunks: readonly StoredChunk[]): void {
    for (const chunk of chunks) {
      job.done.load(chunk.from ?? Number(chunk.name) * this.legacyTasksPerChunk, chunk.bits);
      job.chunkVersions.set(chunk.name, chunk.version);
    }
    job.storedCount = job.done.count;
    // Done tasks in the legacy layout are stored again in the explicit layout as soon as all nodes can read
    // that layout. The legacy layout stays readable only as long as the key-value store's limit in the settings
    // is unchanged.
    if (!this.options.allSupportProtocolVersion() || !this.legacyChunks(job).length) return;
    this.markDirty(job, 0, job.spec.tasks);
    job.storedCount = 0;
  }

  /**
   * Stores the tasks that are done. Returns false if the caller has to retry. Throws `StateStoreError` if the
   * write failed.
   */
  async store(job: Job): Promise<boolean> {
    this.moveDirtyToExplicit(job);
    const chunks = [...job.dirtyChunks].slice(0, Math.max(1, this.options.limits.txnOps));
    const count = job.done.count;
    for (const chunk of chunks) job.dirtyChunks.delete(chunk);
    const keys = chunks.map((chunk) => KEYS.completionChunk(job.spec.id, chunk));
    try {
      const result = await this.writes.write(
        [
          // A write delivered after the end of the job would leave a chunk behind that no node ever deletes.
          { key: KEYS.activeJob(job.spec.id), version: job.version },
          ...chunks.map((chunk, i) => ({ key: keys[i]!, version: job.chunkVersions.get(chunk) ?? 0 })),
        ],
        chunks.map((chunk, i) => ({ put: keys[i]!, value: this.chunkValue(job, chunk) })),
      );
      if (result.ok) {
        for (const chunk of chunks) job.chunkVersions.set(chunk, result.revision);
        if (job.dirtyChunks.size === 0) {
          job.storedCount = count;
          await this.deleteLegacy(job);
        }
        return true;
      }
      await this.refreshVersions(job, chunks);
    } catch (error) {
      for (const chunk of chunks) job.dirtyChunks.add(chunk);
      if (error instanceof StateStoreError && error.mayHaveApplied) await this.refreshVersions(job, chunks);
      else throw error;
    }
    for (const chunk of chunks) job.dirtyChunks.add(chunk);
    return false;
  }

  /** Returns the stored value of a chunk of done tasks, in the layout given by the chunk's name. */
  private chunkValue(job: Job, name: string): object {
    if (!isExplicit(name)) {
      const count = this.legacyTasksPerChunk;
      return { done: job.done.chunk(Number(name) * count, count) };
    }
    const from = Number(name.slice(EXPLICIT_PREFIX.length));
    return { from, bits: job.done.chunk(from, this.tasksPerChunk) };
  }

  /** Returns the names of a job's stored chunks in the legacy layout; empty if both layouts are the same. */
  private legacyChunks(job: Job): string[] {
    if (job.spec.tasks <= this.tasksPerChunk) return [];
    return [...job.chunkVersions.keys()].filter((name) => !isExplicit(name));
  }

  /** Marks the chunks of the done tasks from `from` up to `end` to be stored. */
  private markDirty(job: Job, from: number, end: number): void {
    for (let i = from; i < end; i++) if (job.done.has(i)) job.dirtyChunks.add(this.chunkOf(job, i));
  }

  /**
   * Marks chunks that were to be stored in the legacy layout for the explicit layout, once all nodes can read
   * that layout.
   */
  private moveDirtyToExplicit(job: Job): void {
    if (job.spec.tasks <= this.tasksPerChunk || !this.options.allSupportProtocolVersion()) return;
    for (const name of [...job.dirtyChunks]) {
      if (isExplicit(name)) continue;
      job.dirtyChunks.delete(name);
      const first = Number(name) * this.legacyTasksPerChunk;
      this.markDirty(job, first, Math.min(job.spec.tasks, first + this.legacyTasksPerChunk));
    }
  }

  /** Deletes the chunks in the legacy layout once all of their tasks are stored in the explicit layout. */
  private async deleteLegacy(job: Job): Promise<void> {
    if (!this.options.allSupportProtocolVersion()) return;
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
    for (const chunk of chunks) {
      const stored = await this.options.transactions.store.get(KEYS.completionChunk(job.spec.id, chunk));
      if (stored) job.chunkVersions.set(chunk, stored.version);
    }
  }
}

function isExplicit(chunkName: string): boolean {
  return chunkName.startsWith(EXPLICIT_PREFIX);
}
