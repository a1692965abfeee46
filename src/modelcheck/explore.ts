// This package: all that can happen to a small model, looked at step by step; it drives the code that runs in production.

export interface Model<S> {
  initial: S;
  /** All that can happen next. */
  next(state: S): Iterable<{ what: string; state: S }>;
  /** What is wrong in a state that must never be; null when nothing is. */
  wrong(state: S): string | null;
  /** States that mean the same have the same key. */
  key(state: S): string;
  /** A good end, for `hopeless`. */
  ended(state: S): boolean;
}

export interface Found {
  states: number;
  /** What is wrong, and the steps that lead there; the shortest ones. */
  wrong: { what: string; steps: string[] } | null;
  /** States from which no good end can be reached, with the steps to one of them. */
  hopeless: { count: number; steps: string[] } | null;
  /** Whether the bound was met before everything was seen. */
  cut: boolean;
}

interface Seen<S> {
  state: S;
  from: number;
  what: string;
  /** By which states it is reached. */
  before: number[];
}

/** Walks all states up to a number, the nearest first. */
export function explore<S>(model: Model<S>, most: number): Found {
  const seen: Seen<S>[] = [{ state: model.initial, from: -1, what: '', before: [] }];
  const index = new Map([[model.key(model.initial), 0]]);
  const steps = (at: number) => {
    const list: string[] = [];
    for (let i = at; i > 0; i = seen[i]!.from) list.unshift(seen[i]!.what);
    return list;
  };
  let cut = false;
  for (let at = 0; at < seen.length; at++) {
    const { state } = seen[at]!;
    const what = model.wrong(state);
    if (what !== null)
      return { states: seen.length, wrong: { what, steps: steps(at) }, hopeless: null, cut: true };
    for (const n of model.next(state)) {
      const key = model.key(n.state);
      const known = index.get(key);
      if (known !== undefined) {
        seen[known]!.before.push(at);
        continue;
      }
      if (seen.length >= most) {
        cut = true;
        continue;
      }
      index.set(key, seen.length);
      seen.push({ state: n.state, from: at, what: n.what, before: [at] });
    }
  }
  return { states: seen.length, wrong: null, hopeless: cut ? null : hopeless(model, seen, steps), cut };
}

function hopeless<S>(model: Model<S>, seen: Seen<S>[], steps: (at: number) => string[]): Found['hopeless'] {
  const good = new Uint8Array(seen.length);
  const open: number[] = [];
  seen.forEach((s, i) => {
    if (!model.ended(s.state)) return;
    good[i] = 1;
    open.push(i);
  });
  for (let i = open.pop(); i !== undefined; i = open.pop())
    for (const b of seen[i]!.before)
      if (!good[b]) {
        good[b] = 1;
        open.push(b);
      }
  const first = good.indexOf(0);
  if (first < 0) return null;
  return { count: good.reduce((n, g) => n + (g ? 0 : 1), 0), steps: steps(first) };
}

/** Walks at random, far beyond what all states can be seen of; `draw` gives numbers from 0 up to 1. */
export function wander<S>(model: Model<S>, draw: () => number, length: number): Found['wrong'] {
  let state = model.initial;
  const steps: string[] = [];
  for (let i = 0; i < length; i++) {
    const all = [...model.next(state)];
    if (all.length === 0) return null;
    const step = all[Math.floor(draw() * all.length)]!;
    steps.push(step.what);
    state = step.state;
    const what = model.wrong(state);
    if (what !== null) return { what, steps };
  }
  return null;
}
