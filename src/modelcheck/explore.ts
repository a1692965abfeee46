// This package: model checking: all that can happen to a small model, step by step; it drives the code that runs in production.

/** A model with states `S`: what can happen, and what must never be. */
export interface Model<S> {
  initial: S;
  /** All that can happen next. */
  next(state: S): Iterable<{ what: string; state: S }>;
  /** What is wrong in a state that must never be; null when nothing is. */
  violationIn(state: S): string | null;
  /** States that mean the same have the same key. */
  key(state: S): string;
  /** Whether this is a good end, for `deadEnds`. */
  isGoodEnd(state: S): boolean;
}

/** What was found by `explore`. */
export interface ExplorationResult {
  /** How many states were visited. */
  states: number;
  /** What is wrong, or null, and the steps that lead there; the shortest ones. */
  violation: { what: string; steps: string[] } | null;
  /** States from which no good end can be reached, with the steps to one of them. */
  deadEnds: { count: number; steps: string[] } | null;
  /** Whether the bound was met before everything was seen. */
  truncated: boolean;
}

interface VisitedState<S> {
  state: S;
  from: number;
  what: string;
  /** By which states it is reached. */
  predecessors: number[];
}

/** Visits all states up to a number, the nearest first. */
export function explore<S>(model: Model<S>, maxStates: number): ExplorationResult {
  const seen: VisitedState<S>[] = [{ state: model.initial, from: -1, what: '', predecessors: [] }];
  const index = new Map([[model.key(model.initial), 0]]);
  const steps = (at: number) => {
    const list: string[] = [];
    for (let i = at; i > 0; i = seen[i]!.from) list.unshift(seen[i]!.what);
    return list;
  };
  let truncated = false;
  for (let at = 0; at < seen.length; at++) {
    const { state } = seen[at]!;
    const what = model.violationIn(state);
    if (what !== null)
      return { states: seen.length, violation: { what, steps: steps(at) }, deadEnds: null, truncated: true };
    for (const n of model.next(state)) {
      const key = model.key(n.state);
      const known = index.get(key);
      if (known !== undefined) {
        seen[known]!.predecessors.push(at);
        continue;
      }
      if (seen.length >= maxStates) {
        truncated = true;
        continue;
      }
      index.set(key, seen.length);
      seen.push({ state: n.state, from: at, what: n.what, predecessors: [at] });
    }
  }
  return {
    states: seen.length,
    violation: null,
    deadEnds: truncated ? null : findDeadEnds(model, seen, steps),
    truncated,
  };
}

/** The visited states from which no good end can be reached; null when there is none. */
function findDeadEnds<S>(
  model: Model<S>,
  seen: VisitedState<S>[],
  steps: (at: number) => string[],
): ExplorationResult['deadEnds'] {
  const good = new Uint8Array(seen.length);
  const open: number[] = [];
  seen.forEach((s, i) => {
    if (!model.isGoodEnd(s.state)) return;
    good[i] = 1;
    open.push(i);
  });
  for (let i = open.pop(); i !== undefined; i = open.pop())
    for (const b of seen[i]!.predecessors)
      if (!good[b]) {
        good[b] = 1;
        open.push(b);
      }
  const first = good.indexOf(0);
  if (first < 0) return null;
  return { count: good.reduce((n, g) => n + (g ? 0 : 1), 0), steps: steps(first) };
}

/** Walks at random, far beyond what all states can be visited of; `draw` gives numbers from 0 up to 1. */
export function randomWalk<S>(
  model: Model<S>,
  draw: () => number,
  length: number,
): ExplorationResult['violation'] {
  let state = model.initial;
  const steps: string[] = [];
  for (let i = 0; i < length; i++) {
    const all = [...model.next(state)];
    if (all.length === 0) return null;
    const step = all[Math.floor(draw() * all.length)]!;
    steps.push(step.what);
    state = step.state;
    const what = model.violationIn(state);
    if (what !== null) return { what, steps };
  }
  return null;
}
