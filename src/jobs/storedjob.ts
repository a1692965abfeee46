import * as v from 'valibot';
import { KEYS } from '../schema/schema.js';
import type { StateStore } from '../state/statestore.js';
import type { Entry } from '../wire/state.js';
import type { JobSpec } from '../wire/users.js';
import type { JobEntry, JobRecord } from './job.js';

/** Reads stored jobs. They are written by `jobacceptance.ts`, `completionchunks.ts` and `jobend.ts`. */

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
  /** Number of parts of the description if it is stored separately because it is too long for this value. */
  parts: v.optional(v.number()),
  spec: v.optional(v.object({ after: v.optional(v.array(v.string())) })),
});
const times = { accepted: v.number(), deadline: v.number() };
const ownership = { shard: v.number(), tag: v.string() };
const singleValue = v.object({ ...ownership, ...times, spec: specValue });
const inPartsValue = v.object({ ...ownership, ...times, parts: v.number() });
/**
 * Legacy layout of the first version: done tasks in chunks whose size is derived from the key-value store's
 * limit.
 */
const legacyChunkValue = v.object({ done: v.string() });
/** Explicit layout: done tasks starting at `from`, independent of the current or a former limit. */
const explicitChunkValue = v.object({ from: v.number(), bits: v.string() });
const entryValue = v.object({
  shard: v.number(),
  final: v.optional(v.picklist(['done', 'cancelled'])),
  tasks: v.optional(v.number()),
});

/** Stored chunk of a job's done tasks. */
export interface StoredChunk {
  /**
   * Name in the key-value store: the prefixed first task in the explicit layout, the chunk number in the legacy
   * layout.
   */
  readonly name: string;
  /**
   * First task of the chunk; null in the legacy layout, where it is derived from the chunk's name and the value
   * size limit.
   */
  readonly from: number | null;
  /** Done tasks as encoded by `TaskSet.chunk`. */
  readonly bits: string;
  readonly version: number;
}

/** Stored unfinished job with its done tasks. */
export interface LoadedJob {
  readonly record: JobRecord;
  readonly version: number;
  chunks: StoredChunk[];
  /** Key prefix of the description's parts; null if the description is stored in one value. */
  readonly partsPrefix: string | null;
}

/** Validates the entry of a job; returns null if it is invalid. */
export function readJobEntry(value: unknown): JobEntry | null {
  const parsed = v.safeParse(entryValue, value);
  return parsed.success ? parsed.output : null;
}

/**
 * Reads the shard and the acceptance tag from the record of an unfinished job; returns null if it is invalid.
 */
export function readActive(value: unknown): v.InferOutput<typeof activeValue> | null {
  const parsed = v.safeParse(activeValue, value);
  return parsed.success ? parsed.output : null;
}

/** Validates a stored job description; returns null if it is invalid. */
export function readSpec(value: unknown): JobSpec | null {
  const parsed = v.safeParse(specValue, value);
  return parsed.success ? parsed.output : null;
}

/** Returns the shard of an unfinished job's record, or null if the record is invalid. */
export function shardOfRecord(value: unknown): number | null {
  return readActive(value)?.shard ?? null;
}

/**
 * Finds the shard or the final state of a job in the key-value store; returns null if the job was never
 * accepted. An ending job is moved from the unfinished jobs to the ended jobs in one transaction, so reading in
 * this order finds it at any time.
 */
export async function findJob(
  read: (key: string) => Promise<Entry | null>,
  id: string,
): Promise<JobEntry | null> {
  const active = await read(KEYS.activeJob(id));
  const found = active && readActive(active.value);
  if (found) {
    if (found.parts !== undefined) return { shard: found.shard, partsPrefix: KEYS.specParts(id, found.tag) };
    return { shard: found.shard, after: found.spec?.after ?? [] };
  }
  const ended = await read(KEYS.job(id));
  return ended && readJobEntry(ended.value);
}

/** Reads the record of an unfinished job, without its done tasks; returns null if it cannot be read. */
export async function readLoaded(
  store: Pick<StateStore, 'list'>,
  id: string,
  entry: Entry,
): Promise<LoadedJob | null> {
  const single = v.safeParse(singleValue, entry.value);
  if (single.success) return { record: single.output, version: entry.version, chunks: [], partsPrefix: null };
  const inParts = v.safeParse(inPartsValue, entry.value);
  if (!inParts.success) return null;
  const { accepted, deadline, tag, parts } = inParts.output;
  const partsPrefix = KEYS.specParts(id, tag);
  const spec = await readParts(store, partsPrefix, parts);
  return (
    spec && {
      record: { spec, accepted, deadline },
      version: entry.version,
      chunks: [],
      partsPrefix,
    }
  );
}

/** Reads a chunk of done tasks in either layout; returns null if it cannot be read. */
export function readChunk(name: string, entry: Entry): StoredChunk | null {
  const explicit = v.safeParse(explicitChunkValue, entry.value);
  if (explicit.success) return { name, version: entry.version, ...explicit.output };
  const legacy = v.safeParse(legacyChunkValue, entry.value);
  return legacy.success ? { name, version: entry.version, from: null, bits: legacy.output.done } : null;
}

/**
 * Reads a description that is stored in parts. Returns null if a part is invalid or the number of parts differs
 * from `count`.
 */
export async function readParts(
  store: Pick<StateStore, 'list'>,
  prefix: string,
  count: number | null,
): Promise<JobSpec | null> {
  const { entries } = await store.list(prefix);
  const parts: string[] = [];
  for (const entry of entries) parts[Number(entry.key.slice(prefix.length))] = String(entry.value);
  if (count !== null && entries.length !== count) return null;
  const bytes = Buffer.concat(parts.map((p) => Buffer.from(p, 'base64')));
  try {
    return readSpec(JSON.parse(bytes.toString('utf8')));
  } catch {
    return null;
  }
}

/** Loads the unfinished jobs of a shard under a key prefix, with their done tasks. */
export async function loadJobs(store: StateStore, shard: number, prefix: string): Promise<LoadedJob[]> {
  const { entries } = await store.list(prefix);
  const byId = new Map<string, LoadedJob>();
  for (const entry of entries) {
    const [id, chunk] = entry.key.slice(KEYS.active.length).split('/');
    if (id === undefined) continue;
    if (chunk === undefined) {
      if (shardOfRecord(entry.value) !== shard) continue;
      const loaded = await readLoaded(store, id, entry);
      if (loaded) byId.set(id, loaded);
      continue;
    }
    const storedChunk = readChunk(chunk, entry);
    if (storedChunk) byId.get(id)?.chunks.push(storedChunk);
  }
  return [...byId.values()];
}
