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
const recordValue = v.object({ spec: specValue, accepted: v.number(), deadline: v.number() });
const chunkValue = v.object({ done: v.string() });
const entryValue = v.object({
  shard: v.number(),
  final: v.optional(v.picklist(['done', 'cancelled'])),
  tasks: v.optional(v.number()),
  tag: v.optional(v.string()),
});

export function readJobEntry(value: unknown): JobEntry | null {
  const p = v.safeParse(entryValue, value);
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

  async entry(id: string): Promise<Entry | null> {
    return this.store.get(KEYS.job(id));
  }

  async accept(record: JobRecord, tag: string): Promise<Accepted> {
    const id = record.spec.id;
    const entry: JobEntry = { shard: this.shard, tag };
    let version: number | null = null;
    try {
      const result = await this.write(
        [{ key: KEYS.job(id), version: 0 }],
        [
          { put: KEYS.job(id), value: entry },
          { put: KEYS.activeJob(this.shard, id), value: record },
        ],
      );
      if (result.ok) version = result.revision;
    } catch (error) {
      // Nobody knows whether a write without an answer was made: only reading it back tells.
      if (!(error instanceof StateFailure) || !error.maybe) throw error;
    }
    if (version !== null) return { kind: 'accepted', version };
    const stored = await this.store.get(KEYS.job(id));
    const known = stored && readJobEntry(stored.value);
    if (!stored || !known) throw new StateFailure(`acceptance of ${id} is not decided`, true);
    if (known.tag === tag && !known.final) return { kind: 'accepted', version: stored.version };
    return { kind: 'known', entry: known };
  }

  /** Stores the tasks that are done; false when it has to be tried again. */
  async storeDone(job: Job): Promise<boolean> {
    const chunks = [...job.dirtyChunks].slice(0, Math.max(1, this.limits.txnOps));
    const count = job.done.count;
    for (const n of chunks) job.dirtyChunks.delete(n);
    const keys = chunks.map((n) => KEYS.chunk(this.shard, job.spec.id, n));
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
      const stored = await this.store.get(KEYS.chunk(this.shard, job.spec.id, n));
      if (stored) job.chunkVersions.set(n, stored.version);
    }
  }

  /** Makes a job's end durable; returns how it stands. */
  async finish(job: Job, final: 'done' | 'cancelled'): Promise<'done' | 'cancelled'> {
    const id = job.spec.id;
    const entry: JobEntry = { shard: this.shard, final, tasks: job.spec.tasks };
    const writes: Write[] = [{ put: KEYS.job(id), value: entry }, { delete: KEYS.activeJob(this.shard, id) }];
    for (const n of job.chunkVersions.keys()) writes.push({ delete: KEYS.chunk(this.shard, id, n) });
    try {
      // Condition on the active record: a late copy of this write finds it gone.
      const result = await this.write(
        [{ key: KEYS.activeJob(this.shard, id), version: job.version }],
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
  async load(prefix = KEYS.active(this.shard)): Promise<LoadedJob[]> {
    const { entries } = await this.store.list(prefix);
    const byId = new Map<string, LoadedJob>();
    for (const e of entries) {
      const [id, chunk] = e.key.slice(KEYS.active(this.shard).length).split('/');
      if (id === undefined) continue;
      if (chunk === undefined) {
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
    const all = await this.load(KEYS.activeJob(this.shard, id));
    return all.find((l) => l.record.spec.id === id) ?? null;
  }
}

export interface LoadedJob {
  record: JobRecord;
  version: number;
  chunks: { n: number; done: string; version: number }[];
}
