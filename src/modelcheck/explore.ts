// This package contains model checking: it explores all possible step sequences of a small model that drives
// the code used in production.

/** Model with states `S`: its possible transitions and its invariants. */
export interface Model<S> {
  initial: S;
  /** Returns all transitions that are possible in a state. */
  next(state: S): Iterable<{ action: string; state: S }>;
  /** Returns a description of the invariant that a state violates, or null if it violates none. */
  violationIn(state: S): string | null;
  /** Returns a key that is equal for equivalent states. */
  key(state: S): string;
  /** Whether a state is an acceptable end state, for `deadEnds`. */
  isGoodEnd(state: S): boolean;
}

/** Result of `explore`. */
export interface ExplorationResult {
  /** Number of visited states. */
  states: number;
  /** The violated invariant with the shortest sequence of steps that leads to it, or null. */
  violation: { message: string; steps: string[] } | null;
  /** States from which no acceptable end state can be reached, with the steps to one of them. */
  deadEnds: { count: number; steps: string[] } | null;
  /** Whether the limit on the number of states was reached before all states were visited. */
  truncated: boolean;
}

interface VisitedState<S> {
  state: S;
  parent: number;
  action: string;
  /** Indices of the states from which this state is reached in one step. */
  predecessors: number[];
}

/** Visits the reachable states in breadth-first order, up to a maximum number. */
export function explore<S>(model: Model<S>, maxStates: number): ExplorationResult {
  const visited: VisitedState<S>[] = [{ state: model.initial, parent: -1, action: '', predecessors: [] }];
  const indexByKey = new Map([[model.key(model.initial), 0]]);
  const stepsTo = (target: number) => {
    const list: string[] = [];
    for (let i = target; i > 0; i = visited[i]!.parent) list.unshift(visited[i]!.action);
    return list;
  };
  let truncated = false;
  for (let current = 0; current < visited.length; current++) {
    const { state } = visited[current]!;
    const message = model.violationIn(state);
    if (message !== null)
      return {
        states: visited.length,
        violation: { message, steps: stepsTo(current) },
        deadEnds: null,
        truncated: true,
      };
    for (const step of model.next(state)) {
      const key = model.key(step.state);
      const knownIndex = indexByKey.get(key);
      if (knownIndex !== undefined) {
        visited[knownIndex]!.predecessors.push(current);
        continue;
      }
      if (visited.length >= maxStates) {
        truncated = true;
        continue;
      }
      indexByKey.set(key, visited.length);
      visited.push({ state: step.state, parent: current, action: step.action, predecessors: [current] });
    }
  }
  return {
    states: visited.length,
    violation: null,
    deadEnds: truncated ? null : findDeadEnds(model, visited, stepsTo),
    truncated,
  };
}

/** Finds the visited states from which no acceptable end state can be reached; returns null if there are none. */
function findDeadEnds<S>(
  model: Model<S>,
  visited: VisitedState<S>[],
  stepsTo: (target: number) => string[],
): ExplorationResult['deadEnds'] {
  const reachesGoodEnd = new Uint8Array(visited.length);
  const pending: number[] = [];
  visited.forEach((s, i) => {
    if (!model.isGoodEnd(s.state)) return;
    reachesGoodEnd[i] = 1;
    pending.push(i);
  });
  for (let i = pending.pop(); i !== undefined; i = pending.pop())
    for (const predecessor of visited[i]!.predecessors)
      if (!reachesGoodEnd[predecessor]) {
        reachesGoodEnd[predecessor] = 1;
        pending.push(predecessor);
      }
  const first = reachesGoodEnd.indexOf(0);
  if (first < 0) return null;
  return { count: reachesGoodEnd.reduce((n, reached) => n + (reached ? 0 : 1), 0), steps: stepsTo(first) };
}

/**
 * Walks the model at random, far beyond the depth that can be explored exhaustively. `draw` returns random
 * numbers from 0 up to, but not including, 1.
 */
export function randomWalk<S>(
  model: Model<S>,
  draw: () => number,
  length: number,
): ExplorationResult['violation'] {
  let state = model.initial;
  const steps: string[] = [];
  for (let i = 0; i < length; i++) {
    const transitions = [...model.next(state)];
    if (transitions.length === 0) return null;
    const step = transitions[Math.floor(draw() * transitions.length)]!;
    steps.push(step.action);
    state = step.state;
    const message = model.violationIn(state);
    if (message !== null) return { message, steps };
  }
  return null;
}
