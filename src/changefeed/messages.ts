import * as v from 'valibot';
import type { Change } from '../wire/state.js';
import type { Batch } from './changelog.js';

/** Names of the requests of followers to a node that passes changes on. */
export const CHANGE_FEED_OPS = { changes: 'changes', head: 'changesHead' } as const;

const changesRequest = v.object({
  prefix: v.string(),
  /** All changes up to this revision are known to whoever asks. */
  since: v.number(),
  /** How long the answer may wait for a change, in milliseconds. */
  waitMs: v.pipe(v.number(), v.minValue(0), v.maxValue(5000)),
});
/** Asks for the changes after a revision. */
export type ChangesRequest = v.InferOutput<typeof changesRequest>;

const change = v.union([
  v.object({ key: v.string(), version: v.number(), gone: v.literal(true) }),
  v.object({ key: v.string(), version: v.number(), value: v.unknown() }),
]);
const batch = v.object({ since: v.number(), revision: v.number(), changes: v.array(change) });

/** `follows`: the node does not watch the key-value store itself, or is not served by it. `gap`: its changes do not reach back so far. */
const refusal = v.object({ refused: v.picklist(['follows', 'gap']) });
const changesResponse = v.union([batch, refusal]);
/** Changes in whole revisions, or why there are none. */
export type ChangesResponse = Batch | v.InferOutput<typeof refusal>;

const latestRevisionResponse = v.object({
  /** The revision of the last change that the node knows; null while it does not watch the key-value store itself. */
  lastChange: v.nullable(v.number()),
});
/** How far a node is. */
export type LatestRevisionResponse = v.InferOutput<typeof latestRevisionResponse>;

/** A request for changes that has come; null when it is none. */
export function readChangesRequest(value: unknown): ChangesRequest | null {
  const p = v.safeParse(changesRequest, value);
  return p.success ? p.output : null;
}

/** An answer with changes that has come; null when it is none. */
export function readChangesResponse(value: unknown): ChangesResponse | null {
  const p = v.safeParse(changesResponse, value);
  if (!p.success) return null;
  return 'refused' in p.output ? p.output : { ...p.output, changes: p.output.changes as Change[] };
}

/** An answer with a latest revision that has come; null when it is none. */
export function readLatestRevisionResponse(value: unknown): LatestRevisionResponse | null {
  const p = v.safeParse(latestRevisionResponse, value);
  return p.success ? p.output : null;
}
