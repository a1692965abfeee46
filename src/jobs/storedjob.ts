import * as v from 'valibot';
import { KEYS } from '../schema/schema.js';
import type { StateStore } from '../state/statestore.js';
import type { Entry } from '../wire/state.js';
import type { JobSpec } from '../wire/users.js';
import type { JobEntry, JobRecord } from './job.js';

/** Reading of jobs as they are stored; who writes them is in `jobacceptance.ts`, `completionchunks.ts` and `jobend.ts`. */

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
const wholeValue = v.object({ ...owned, ...times, spec: specValue });
const inPartsValue = v.object({ ...owned, ...times, parts: v.number() });
/** The legacy layout: done tasks in chunks of a size that follows from the key-value store's limit, as the first version stored them. */
const legacyChunkValue = v.object({ done: v.string() });
/** The explicit layout: done tasks from one on, whatever the limit is or was. */
const explicitChunkValue = v.object({ from: v.number(), bits: v.string() });
const entryValue = v.object({
  shard: v.number(),
  final: v.optional(v.picklist(['done', 'cancelled'])),
  tasks: v.optional(v.number()),
});

/** A chunk of a job's done tasks as it is stored. */
export interface StoredChunk {
  /** Its name in the key-value store: its first task in the explicit layout, its number in the legacy one. */
  readonly name: string;
  /** Its first task; null in the legacy layout: it follows from the chunk's name and the limit of values. */
  readonly from: number | null;
  /** The done tasks, as `TaskSet.chunk` writes them. */
  readonly bits: string;
  readonly version: number;
}

/** An unfinished job as it is stored, with its done tasks. */
export interface LoadedJob {
  readonly record: JobRecord;
  readonly version: number;
  chunks: StoredChunk[];
  /** The prefix of the parts of its description; null when it is stored in one value. */
  readonly partsUnder: string | null;
}

/** How a job ended by its record; null when it is none. */
export function readJobEntry(value: unknown): JobEntry | null {
  const p = v.safeParse(entryValue, value);
  return p.success ? p.output : null;
}

/** Whose an unfinished job is, and by which acceptance; null when it is no record of one. */
export function readActive(value: unknown): v.InferOutput<typeof activeValue> | null {
  const p = v.safeParse(activeValue, value);
  return p.success ? p.output : null;
}

/** A job's description as it is stored; null when it is none. */
export function readSpec(value: unknown): JobSpec | null {
  const p = v.safeParse(specValue, value);
  return p.success ? p.output : null;
}

/** The shard of an unfinished job by its record; null when that is none. */
export function shardOfRecord(value: unknown): number | null {
  return readActive(value)?.shard ?? null;
}

/**
 * Where a job is, or how it ended, as far as the key-value store knows; null when it was never accepted. A job that ends
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

/** An unfinished job by its record, without its done tasks; null when it cannot be read. */
export async function readLoaded(
  store: Pick<StateStore, 'list'>,
  id: string,
  e: Entry,
): Promise<LoadedJob | null> {
  const whole = v.safeParse(wholeValue, e.value);
  if (whole.success) return { record: whole.output, version: e.version, chunks: [], partsUnder: null };
  const inParts = v.safeParse(inPartsValue, e.value);
  if (!inParts.success) return null;
  const { accepted, deadline, tag, parts } = inParts.output;
  const partsUnder = KEYS.specParts(id, tag);
  const spec = await readParts(store, partsUnder, parts);
  return spec && { record: { spec, accepted, deadline }, version: e.version, chunks: [], partsUnder };
}

/** A chunk of done tasks, in either layout; null when it cannot be read. */
export function readChunk(name: string, e: Entry): StoredChunk | null {
  const explicit = v.safeParse(explicitChunkValue, e.value);
  if (explicit.success) return { name, version: e.version, ...explicit.output };
  const legacy = v.safeParse(legacyChunkValue, e.value);
  return legacy.success ? { name, version: e.version, from: null, bits: legacy.output.done } : null;
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

/** The unfinished jobs of a shard under a prefix with their done tasks, as the key-value store has them. */
export async function loadJobs(store: StateStore, shard: number, prefix: string): Promise<LoadedJob[]> {
  const { entries } = await store.list(prefix);
  const byId = new Map<string, LoadedJob>();
  for (const e of entries) {
    const [id, chunk] = e.key.slice(KEYS.active.length).split('/');
    if (id === undefined) continue;
    if (chunk === undefined) {
      if (shardOfRecord(e.value) !== shard) continue;
      const loaded = await readLoaded(store, id, e);
      if (loaded) byId.set(id, loaded);
      continue;
    }
    const read = readChunk(chunk, e);
    if (read) byId.get(id)?.chunks.push(read);
  }
  return [...byId.values()];
}
