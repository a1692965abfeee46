import * as v from 'valibot';
import type { Change } from '../wire/state.js';
import type { Batch } from './changelog.js';

/** Names of the requests that followers send to a node that passes changes on. */
export const CHANGE_FEED_OPS = { changes: 'changes', head: 'changesHead' } as const;

const changesRequest = v.object({
  prefix: v.string(),
  /** The sender knows all changes up to this revision. */
  since: v.number(),
  /** How long the answer may wait for a change, in milliseconds. */
  waitMs: v.pipe(v.number(), v.minValue(0), v.maxValue(5000)),
});
/** A request for the changes after a revision. */
export type ChangesRequest = v.InferOutput<typeof changesRequest>;

const change = v.union([
  v.object({ key: v.string(), version: v.number(), gone: v.literal(true) }),
  v.object({ key: v.string(), version: v.number(), value: v.unknown() }),
]);
const batch = v.object({ since: v.number(), revision: v.number(), changes: v.array(change) });

/**
 * `follows`: the node does not watch the key-value store itself, or is not served by it. `gap`: its log does not
 * reach back that far.
 */
const refusal = v.object({ refused: v.picklist(['follows', 'gap']) });
const changesResponse = v.union([batch, refusal]);
/** Changes in whole revisions, or the reason why there are none. */
export type ChangesResponse = Batch | v.InferOutput<typeof refusal>;

const latestRevisionResponse = v.object({
  /** The revision of the last change that the node knows; null while it does not watch the key-value store itself. */
  lastChange: v.nullable(v.number()),
});
/** The progress of a node. */
export type LatestRevisionResponse = v.InferOutput<typeof latestRevisionResponse>;

/** Reads a received request for changes; returns null if the value is not one. */
export function readChangesRequest(value: unknown): ChangesRequest | null {
  const parsed = v.safeParse(changesRequest, value);
  return parsed.success ? parsed.output : null;
}

/** Reads a received answer with changes; returns null if the value is not one. */
export function readChangesResponse(value: unknown): ChangesResponse | null {
  const parsed = v.safeParse(changesResponse, value);
  if (!parsed.success) return null;
  return 'refused' in parsed.output
    ? parsed.output
    : { ...parsed.output, changes: parsed.output.changes as Change[] };
}

/** Reads a received answer with the latest revision; returns null if the value is not one. */
export function readLatestRevisionResponse(value: unknown): LatestRevisionResponse | null {
  const parsed = v.safeParse(latestRevisionResponse, value);
  return parsed.success ? parsed.output : null;
}
