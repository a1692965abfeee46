import * as v from 'valibot';
import { NotOwnerError } from '../errors/errors.js';
import { KEYS } from '../schema/schema.js';
import { type CompareAndSwapResult, type StateStore, StateStoreError } from '../state/statestore.js';
import type { Condition, Entry, Write } from '../wire/state.js';
import type { JobSpec } from '../wire/users.js';
import type { Job, JobEntry, JobRecord } from './job.js';
import { chunkTasks } from './taskset.js';

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
  after: v.optional(v.array(v.string()), []),
  match: v.optional(v.object({ requirements: v.string(), rank: v.nullable(v.string()) })),
});
const activeValue = v.object({
  shard: v.number(),
  tag: v.string(),
  /** How many parts the description has that is stored beside, since it is too long for this value. */
  parts: v.optional(v.number()),
  spec: v.optional(v.object({ after: v.optional(v.array(v.string())) })),
});
const times = { accepted: v.number(), deadline: v.number() };
const owned = { shard: v.number(), tag: v.string() };
const recordValue = v.object({ ...owned, ...times, spec: specValue });
const partedValue = v.object({ ...owned, ...times, parts: v.number() });
/** Done tasks in chunks of a size that follows from the state service's limit, as the first version stored them. */
const formerChunkValue = v.object({ done: v.string() });
/** Done tasks from one on, whatever the limit is or was. */
const chunkValue = v.object({ from: v.number(), bits: v.string() });
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

export type AcceptResult =
  | { kind: 'accepted'; version: number; partsUnder: string | null }
  | { kind: 'known'; entry: JobEntry };

export interface RecordLimits {
  valueKb: number;
  txnOps: number;
  /** The size of values that the former layout of done tasks follows from. */
  layoutKb: number;
}

/** Writes of one transaction stay well below the largest request. */
const TXN_BYTES = 40 * 1024;

/**
 * The jobs of one shard in the state service. Every write holds only while the shard's owner key has this term, so a
 * write that the network delivers late cannot undo what a newer owner wrote; and only for the version that it was
 * made from, so a late one cannot undo what came after it here.
 */
export class JobRecords {
  private readonly perChunk: number;
  private readonly formerPerChunk: number;

  constructor(
    private readonly store: StateStore,
    private readonly shard: number,
    private readonly term: number,
    private readonly limits: RecordLimits,
    /** Whether every node reads what the first version did not know. */
    private readonly allRead: () => boolean,
    /** A record of a job has been changed. */
    private readonly changed: () => void = () => undefined,
  ) {
    this.perChunk = chunkTasks(limits.valueKb);
    this.formerPerChunk = chunkTasks(limits.layoutKb);
  }

  private get ownerCondition(): Condition {
    return { key: KEYS.owner(this.shard), version: this.term };
  }

  private async write(when: Condition[], writes: Write[]): Promise<CompareAndSwapResult> {
    const result = await this.store.compareAndSwap([this.ownerCondition, ...when], writes);
    if (!result.ok && result.failed.includes(this.ownerCondition.key)) throw new NotOwnerError();
    if (result.ok) this.changed();
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
  async accept(record: JobRecord, tag: string): Promise<AcceptResult> {
    const id = record.spec.id;
    const key = KEYS.activeJob(id);
    let value: object = { ...record, shard: this.shard, tag };
    let partsUnder: string | null = null;
    if (jsonBytes(value) > valueBytes(this.limits.valueKb)) {
      if (this.allRead()) {
        partsUnder = KEYS.specParts(id, tag);
        const parts = await this.storeParts(record.spec, tag);
        value = { accepted: record.accepted, deadline: record.deadline, shard: this.shard, tag, parts };
      } else if (jsonBytes(value) > valueBytes(this.limits.layoutKb)) {
        // Once all nodes run this version it is stored in parts.
        throw new StateStoreError(`the description of ${id} is too long for now`, false);
      }
    }
    try {
      const result = await this.write(
        [
          { key, version: 0 },
          { key: KEYS.job(id), version: 0 },
        ],
        [{ put: key, value }],
      );
      if (result.ok) return { kind: 'accepted', version: result.revision, partsUnder };
    } catch (error) {
      // Nobody knows whether a write without an answer was made: only reading it back tells.
      if (!(error instanceof StateStoreError) || !error.mayHaveApplied) throw error;
    }
    const stored = await this.store.get(key);
    if (stored && readActive(stored.value)?.tag === tag)
      return { kind: 'accepted', version: stored.version, partsUnder };
    const entry = await this.entry(id);
    if (!entry) throw new StateStoreError(`acceptance of ${id} is not decided`, true);
    if (partsUnder !== null) void this.sweepParts(partsUnder);
    return { kind: 'known', entry };
  }

  /** Stores a description that is too long for one value, before the job is accepted; returns in how many parts. */
  private async storeParts(spec: JobSpec, tag: string): Promise<number> {
    const bytes = Buffer.from(JSON.stringify(spec));
    const per = Math.max(30, Math.floor((valueBytes(this.limits.valueKb) / 4) * 3) - 6);
    const writes: Write[] = [];
    for (let from = 0; from < bytes.length; from += per) {
      const value = bytes.subarray(from, from + per).toString('base64');
      writes.push({ put: KEYS.specPart(spec.id, tag, writes.length), value });
    }
    const together = Math.max(1, Math.min(this.limits.txnOps, Math.floor(TXN_BYTES / (per * 1.4))));
    for (let i = 0; i < writes.length; i += together) await this.write([], writes.slice(i, i + together));
    return writes.length;
  }

  /** The chunk that a task is in, by its name. */
  chunkOf(job: Job, task: number): string {
    // One chunk holds them all: both layouts are the same.
    if (job.spec.tasks <= this.perChunk) return '0';
    if (this.allRead()) return `at${Math.floor(task / this.perChunk) * this.perChunk}`;
    return String(Math.floor(task / this.formerPerChunk));
  }

  private chunkValue(job: Job, name: string): object {
    if (!name.startsWith('at'))
      return { done: job.done.chunk(Number(name) * this.formerPerChunk, this.formerPerChunk) };
    const from = Number(name.slice(2));
    return { from, bits: job.done.chunk(from, this.perChunk) };
  }

  /** Takes over what was stored of a job's done tasks, in either layout. */
  restore(job: Job, chunks: LoadedJob['chunks']): void {
    for (const c of chunks) {
      job.done.load(c.from ?? Number(c.name) * this.formerPerChunk, c.bits);
      job.chunkVersions.set(c.name, c.version);
    }
    job.storedCount = job.done.count;
    // What is in the former layout is stored in the one that the record states, as soon as everybody reads that: the
    // former one is readable only as long as the state service's limit in the settings stays.
    if (!this.allRead() || !this.former(job).length) return;
    for (let i = 0; i < job.spec.tasks; i++) if (job.done.has(i)) job.dirtyChunks.add(this.chunkOf(job, i));
    job.storedCount = 0;
  }

  private former(job: Job): string[] {
    if (job.spec.tasks <= this.perChunk) return [];
    return [...job.chunkVersions.keys()].filter((name) => !name.startsWith('at'));
  }

  /** What was to be stored in the former layout goes into the other, once everybody reads that. */
  private restate(job: Job): void {
    if (job.spec.tasks <= this.perChunk || !this.allRead()) return;
    for (const name of [...job.dirtyChunks]) {
      if (name.startsWith('at')) continue;
      job.dirtyChunks.delete(name);
      const end = Math.min(job.spec.tasks, (Number(name) + 1) * this.formerPerChunk);
      const first = Number(name) * this.formerPerChunk;
      for (let i = first; i < end; i++) if (job.done.has(i)) job.dirtyChunks.add(this.chunkOf(job, i));
    }
  }

  /** Stores the tasks that are done; false when it has to be tried again. */
  async storeDone(job: Job): Promise<boolean> {
    this.restate(job);
    const chunks = [...job.dirtyChunks].slice(0, Math.max(1, this.limits.txnOps));
    const count = job.done.count;
    for (const n of chunks) job.dirtyChunks.delete(n);
    const keys = chunks.map((n) => KEYS.completionChunk(job.spec.id, n));
    try {
      const result = await this.write(
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
          await this.dropFormer(job);
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

  /** All that chunks of the former layout held is stored in the other by now. */
  private async dropFormer(job: Job): Promise<void> {
    if (!this.allRead()) return;
    const former = this.former(job);
    const stated = [...job.chunkVersions.keys()].some((name) => name.startsWith('at'));
    if (former.length === 0 || !stated) return;
    for (let i = 0; i < job.spec.tasks; i++)
      if (job.done.has(i) && !job.chunkVersions.has(this.chunkOf(job, i))) return;
    const part = former.slice(0, this.limits.txnOps);
    const result = await this.write(
      [],
      part.map((name) => ({ delete: KEYS.completionChunk(job.spec.id, name) })),
    );
    if (result.ok) for (const name of part) job.chunkVersions.delete(name);
  }

  private async refreshVersions(job: Job, chunks: string[]): Promise<void> {
    for (const n of chunks) {
      const stored = await this.store.get(KEYS.completionChunk(job.spec.id, n));
      if (stored) job.chunkVersions.set(n, stored.version);
    }
  }

  /**
   * Makes a job's end durable; returns how it stands. A try that surely came to nothing leaves it undecided whether one before
   * it did: `ending` stays until a try has found out, also by a write that the network delivers late.
   */
  async finish(job: Job, final: 'done' | 'cancelled'): Promise<'done' | 'cancelled'> {
    const id = job.spec.id;
    const entry: JobEntry = { shard: this.shard, final, tasks: job.spec.tasks };
    const drops: Write[] = [...job.chunkVersions.keys()].map((n) => ({
      delete: KEYS.completionChunk(id, n),
    }));
    const writes: Write[] = [{ put: KEYS.job(id), value: entry }, { delete: KEYS.activeJob(id) }, ...drops];
    const sweep = () => {
      if (writes.length > this.limits.txnOps) void this.sweep(writes.slice(this.limits.txnOps));
      if (job.partsUnder !== null) void this.sweepParts(job.partsUnder);
    };
    const undecided = job.endWriteSent;
    job.endWriteSent = true;
    try {
      // Condition on the active record: a late copy of this write finds it gone.
      const result = await this.write(
        [{ key: KEYS.activeJob(id), version: job.version }],
        writes.slice(0, Math.max(2, this.limits.txnOps)),
      );
      if (result.ok) {
        sweep();
        return final;
      }
    } catch (error) {
      if (!(error instanceof StateStoreError) || !error.mayHaveApplied) {
        job.endWriteSent = undecided;
        throw error;
      }
    }
    const stored = await this.store.get(KEYS.job(id));
    const known = stored && readJobEntry(stored.value);
    if (!known?.final) throw new StateStoreError(`end of ${id} is not decided`, true);
    sweep();
    return known.final;
  }

  /** Drops what is of no more use. What is left over when that fails is read by nobody. */
  private async sweep(drops: Write[]): Promise<void> {
    const per = Math.max(1, this.limits.txnOps);
    try {
      for (let i = 0; i < drops.length; i += per)
        await this.store.compareAndSwap([], drops.slice(i, i + per));
    } catch (error) {
      if (!(error instanceof StateStoreError)) throw error;
    }
  }

  private async sweepParts(under: string): Promise<void> {
    try {
      const { entries } = await this.store.list(under);
      await this.sweep(entries.map((e) => ({ delete: e.key })));
    } catch (error) {
      if (!(error instanceof StateStoreError)) throw error;
    }
  }

  /** All unfinished jobs of the shard with their done tasks, as the state service has them. */
  async load(prefix = KEYS.active): Promise<LoadedJob[]> {
    const { entries } = await this.store.list(prefix);
    const byId = new Map<string, LoadedJob>();
    for (const e of entries) {
      const [id, chunk] = e.key.slice(KEYS.active.length).split('/');
      if (id === undefined) continue;
      if (chunk === undefined) {
        if (shardOfRecord(e.value) !== this.shard) continue;
        const loaded = await readLoaded(this.store, id, e);
        if (loaded) byId.set(id, loaded);
        continue;
      }
      const read = readChunk(chunk, e);
      if (read) byId.get(id)?.chunks.push(read);
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
  if (found) {
    if (found.parts !== undefined) return { shard: found.shard, partsUnder: KEYS.specParts(id, found.tag) };
    return { shard: found.shard, after: found.spec?.after ?? [] };
  }
  const ended = await read(KEYS.job(id));
  return ended && readJobEntry(ended.value);
}

/** The shard of an unfinished job by its record; null when that is none. */
export function shardOfRecord(value: unknown): number | null {
  return readActive(value)?.shard ?? null;
}

/** An unfinished job by its record, without its done tasks; null when it cannot be read. */
export async function readLoaded(
  store: Pick<StateStore, 'list'>,
  id: string,
  e: Entry,
): Promise<LoadedJob | null> {
  const whole = v.safeParse(recordValue, e.value);
  if (whole.success) return { record: whole.output, version: e.version, chunks: [], partsUnder: null };
  const parted = v.safeParse(partedValue, e.value);
  if (!parted.success) return null;
  const { accepted, deadline, tag, parts } = parted.output;
  const partsUnder = KEYS.specParts(id, tag);
  const spec = await readParts(store, partsUnder, parts);
  return spec && { record: { spec, accepted, deadline }, version: e.version, chunks: [], partsUnder };
}

/** A chunk of done tasks, in either layout; null when it cannot be read. */
export function readChunk(name: string, e: Entry): LoadedJob['chunks'][number] | null {
  const stated = v.safeParse(chunkValue, e.value);
  if (stated.success) return { name, version: e.version, ...stated.output };
  const former = v.safeParse(formerChunkValue, e.value);
  return former.success ? { name, version: e.version, from: null, bits: former.output.done } : null;
}

export interface LoadedJob {
  record: JobRecord;
  version: number;
  /** `from` is null in the former layout: it follows from the chunk's name and the limit of values. */
  chunks: { name: string; from: number | null; bits: string; version: number }[];
  partsUnder: string | null;
}

/** A description that was stored in parts; null when one of them, or how many there are (`count`), is not right. */
export async function readParts(
  store: Pick<StateStore, 'list'>,
  under: string,
  count: number | null,
): Promise<JobSpec | null> {
  const { entries } = await store.list(under);
  const parts: string[] = [];
  for (const e of entries) parts[Number(e.key.slice(under.length))] = String(e.value);
  if (count !== null && entries.length !== count) return null;
  const bytes = Buffer.concat(parts.map((p) => Buffer.from(p, 'base64')));
  try {
    return readSpec(JSON.parse(bytes.toString('utf8')));
  } catch {
    return null;
  }
}

/** Bytes that a value may have, with some room for what the service counts beside. */
export function valueBytes(valueKb: number): number {
  return valueKb * 1000;
}

function jsonBytes(value: object): number {
  return Buffer.byteLength(JSON.stringify(value));
}
