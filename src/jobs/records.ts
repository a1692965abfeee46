import * as v from 'valibot';
import { KEYS } from '../shards/keys.js';
import { StateFailure, type StateStore, type TxnResult } from '../state/store.js';
import type { Condition, Entry, Write } from '../wire/state.js';
import type { JobSpec } from '../wire/users.js';
import { chunkTasks } from './bits.js';
import type { Job, JobEntry, JobRecord } from './job.js';

const specValue = v.object({
  id: v.string(),
  class: v.string(),
  team: v.string(),
  kind: v.picklist(['array', 'gang', 'service']),
  priority: v.number(),
  tasks: v.number(),
  cpus: v.number(),
  gpus: v.number(),
  memoryGb: v.number(),
  types: v.nullable(v.array(v.string())),
  zone: v.nullable(v.string()),
  oneZone: v.boolean(),
  spread: v.boolean(),
  spot: v.boolean(),
  image: v.string(),
  imageGb: v.number(),
  estimateS: v.number(),
  checkpointS: v.number(),
  saveS: v.number(),
  deadlineS: v.nullable(v.number()),
});
const activeValue = v.object({ shard: v.number(), tag: v.string() });
const recordValue = v.object({
  ...activeValue.entries,
  spec: specValue,
  accepted: v.number(),
  deadline: v.number(),
});
const chunkValue = v.object({ done: v.string() });
const entryValue = v.object({
  shard: v.number(),
  final: v.optional(v.picklist(['done', 'cancelled'])),
  tasks: v.optional(v.number()),
});

export function readJobEntry(value: unknown): JobEntry | null {
  const p = v.safeParse(entryValue, value);
  return p.success ? p.output : null;
}

/** Whose an unfinished job is. */
function readActive(value: unknown): v.InferOutput<typeof activeValue> | null {
  const p = v.safeParse(activeValue, value);
  return p.success ? p.output : null;
}

export function readSpec(value: unknown): JobSpec | null {
  const p = v.safeParse(specValue, value);
  return p.success ? p.output : null;
}

/** The shard is no longer this node's. */
export class NotOwner extends Error {}

export type Accepted = { kind: 'accepted'; version: number } | { kind: 'known'; entry: JobEntry };

/**
 * The jobs of one shard in the state service. Every write holds only while the shard's owner key has this term, so a
 * write that the network delivers late cannot undo what a newer owner wrote; and only for the version that it was
 * made from, so a late one cannot undo what came after it here.
 */
export class JobRecords {
  readonly perChunk: number;

  constructor(
    private readonly store: StateStore,
    private readonly shard: number,
    private readonly term: number,
    private readonly limits: { valueKb: number; txnOps: number },
  ) {
    this.perChunk = chunkTasks(limits.valueKb);
  }

  private get owned(): Condition {
    return { key: KEYS.owner(this.shard), version: this.term };
  }

  private async write(when: Condition[], writes: Write[]): Promise<TxnResult> {
    const result = await this.store.txn([this.owned, ...when], writes);
    if (!result.ok && result.failed.includes(this.owned.key)) throw new NotOwner();
    return result;
  }

  /** A job that was accepted once, by this shard or another; null when there is none. */
  async entry(id: string): Promise<JobEntry | null> {
    return findJob((key) => this.store.get(key), id);
  }

  /**
   * Stores a job that is accepted. It is one change, since a swarm of small jobs needs as many acceptances a second as
   * the state service takes changes; that nobody else has accepted it, or it is over, are conditions.
   */
  async accept(record: JobRecord, tag: string): Promise<Accepted> {
    const id = record.spec.id;
    const key = KEYS.activeJob(id);
    const value = { ...record, shard: this.shard, tag };
    try {
      const result = await this.write(
        [
          { key, version: 0 },
          { key: KEYS.job(id), version: 0 },
        ],
        [{ put: key, value }],
      );
      if (result.ok) return { kind: 'accepted', version: result.revision };
    } catch (error) {
      // Nobody knows whether a write without an answer was made: only reading it back tells.
      if (!(error instanceof StateFailure) || !error.maybe) throw error;
    }
    const stored = await this.store.get(key);
    if (stored && readActive(stored.value)?.tag === tag) return { kind: 'accepted', version: stored.version };
    const entry = await this.entry(id);
    if (!entry) throw new StateFailure(`acceptance of ${id} is not decided`, true);
    return { kind: 'known', entry };
  }

  /** Stores the tasks that are done; false when it has to be tried again. */
  async storeDone(job: Job): Promise<boolean> {
    const chunks = [...job.dirtyChunks].slice(0, Math.max(1, this.limits.txnOps));
    const count = job.done.count;
    for (const n of chunks) job.dirtyChunks.delete(n);
    const keys = chunks.map((n) => KEYS.chunk(job.spec.id, n));
    try {
      const result = await this.write(
        chunks.map((n, i) => ({ key: keys[i]!, version: job.chunkVersions.get(n) ?? 0 })),
        chunks.map((n, i) => ({ put: keys[i]!, value: { done: job.done.chunk(n, this.perChunk) } })),
      );
      if (result.ok) {
        for (const n of chunks) job.chunkVersions.set(n, result.revision);
        if (job.dirtyChunks.size === 0) job.stored = count;
        return true;
      }
      await this.refreshVersions(job, chunks);
    } catch (error) {
      for (const n of chunks) job.dirtyChunks.add(n);
      if (error instanceof StateFailure && error.maybe) await this.refreshVersions(job, chunks);
      else throw error;
    }
    for (const n of chunks) job.dirtyChunks.add(n);
    return false;
  }

  private async refreshVersions(job: Job, chunks: number[]): Promise<void> {
    for (const n of chunks) {
      const stored = await this.store.get(KEYS.chunk(job.spec.id, n));
      if (stored) job.chunkVersions.set(n, stored.version);
    }
  }

  /** Makes a job's end durable; returns how it stands. */
  async finish(job: Job, final: 'done' | 'cancelled'): Promise<'done' | 'cancelled'> {
    const id = job.spec.id;
    const entry: JobEntry = { shard: this.shard, final, tasks: job.spec.tasks };
    const writes: Write[] = [{ put: KEYS.job(id), value: entry }, { delete: KEYS.activeJob(id) }];
    for (const n of job.chunkVersions.keys()) writes.push({ delete: KEYS.chunk(id, n) });
    try {
      // Condition on the active record: a late copy of this write finds it gone.
      const result = await this.write(
        [{ key: KEYS.activeJob(id), version: job.version }],
        writes.slice(0, this.limits.txnOps),
      );
      if (result.ok) return final;
    } catch (error) {
      if (!(error instanceof StateFailure) || !error.maybe) throw error;
    }
    const stored = await this.store.get(KEYS.job(id));
    const known = stored && readJobEntry(stored.value);
    if (known?.final) return known.final;
    throw new StateFailure(`end of ${id} is not decided`, true);
  }

  /** All unfinished jobs of the shard with their done tasks, as the state service has them. */
  async load(prefix = KEYS.active): Promise<LoadedJob[]> {
    const { entries } = await this.store.list(prefix);
    const byId = new Map<string, LoadedJob>();
    for (const e of entries) {
      const [id, chunk] = e.key.slice(KEYS.active.length).split('/');
      if (id === undefined) continue;
      if (chunk === undefined) {
        if (readActive(e.value)?.shard !== this.shard) continue;
        const p = v.safeParse(recordValue, e.value);
        if (p.success) byId.set(id, { record: p.output, version: e.version, chunks: [] });
        continue;
      }
      const p = v.safeParse(chunkValue, e.value);
      if (p.success) byId.get(id)?.chunks.push({ n: Number(chunk), done: p.output.done, version: e.version });
    }
    return [...byId.values()];
  }

  /** One unfinished job, when it is stored. */
  async loadOne(id: string): Promise<LoadedJob | null> {
    const all = await this.load(KEYS.activeJob(id));
    return all.find((l) => l.record.spec.id === id) ?? null;
  }
}

/**
 * Where a job is, or how it ended, as far as the state service knows; null when it was never accepted. A job that ends
 * leaves the unfinished ones and enters the ended ones in one transaction, so it is found in this order at any moment.
 */
export async function findJob(
  read: (key: string) => Promise<Entry | null>,
  id: string,
): Promise<JobEntry | null> {
  const active = await read(KEYS.activeJob(id));
  const found = active && readActive(active.value);
  if (found) return { shard: found.shard };
  const ended = await read(KEYS.job(id));
  return ended && readJobEntry(ended.value);
}

export interface LoadedJob {
  record: JobRecord;
  version: number;
  chunks: { n: number; done: string; version: number }[];
}
