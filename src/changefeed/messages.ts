import * as v from 'valibot';
import type { Change } from '../wire/state.js';
import type { Batch } from './changelog.js';

/** What followers ask a node that passes changes on, and what it answers. */
export const CHANGE_FEED_OPS = { changes: 'changes', head: 'changesHead' } as const;

const changesQuestion = v.object({
  prefix: v.string(),
  /** All changes up to this revision are known to whoever asks. */
  since: v.number(),
  /** How long the answer may wait for a change, in milliseconds. */
  waitMs: v.pipe(v.number(), v.minValue(0), v.maxValue(5000)),
});
export type ChangesRequest = v.InferOutput<typeof changesQuestion>;

const change = v.union([
  v.object({ key: v.string(), version: v.number(), gone: v.literal(true) }),
  v.object({ key: v.string(), version: v.number(), value: v.unknown() }),
]);
const batch = v.object({ since: v.number(), revision: v.number(), changes: v.array(change) });

/** `follows`: the node does not watch the state service itself, or is not served by it. `gap`: its changes do not reach back so far. */
const refusal = v.object({ refused: v.picklist(['follows', 'gap']) });
const changesAnswer = v.union([batch, refusal]);
export type ChangesResponse = Batch | v.InferOutput<typeof refusal>;

const headAnswer = v.object({
  /** The revision of the last change that the node knows; null while it does not watch the state service itself. */
  lastChange: v.nullable(v.number()),
});
export type LatestRevisionResponse = v.InferOutput<typeof headAnswer>;

export function readChangesRequest(value: unknown): ChangesRequest | null {
  const p = v.safeParse(changesQuestion, value);
  return p.success ? p.output : null;
}

export function readChangesResponse(value: unknown): ChangesResponse | null {
  const p = v.safeParse(changesAnswer, value);
  if (!p.success) return null;
  return 'refused' in p.output ? p.output : { ...p.output, changes: p.output.changes as Change[] };
}

export function readLatestRevisionResponse(value: unknown): LatestRevisionResponse | null {
  const p = v.safeParse(headAnswer, value);
  return p.success ? p.output : null;
}
