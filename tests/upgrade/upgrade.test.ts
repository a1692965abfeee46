import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { TaskEvent } from '../../src/emulator/tasks.js';
import { findRepeatedTasks, SETTLED_MS, type StepHistory, settledBefore } from './history.js';
import { submissionsOf } from './jobs.js';

const STOPPED_AT = 60_000;
const specs = new Map(
  submissionsOf('unit', 100, 8)
    .flatMap((s) => s.entries)
    .map(({ spec }) => [spec.id, spec]),
);
const ARRAY = 'wk-upgrade-unit-bulk';

function event(at: number, kind: 'on' | 'off', index: number, cause?: 'done' | 'lost'): TaskEvent {
  const place = { machine: 'm-1', type: 'small', zone: 'north', spot: false };
  return { at, kind, ...place, job: ARRAY, index, attempt: 1, ...(cause && { cause }) };
}

const firstStep: StepHistory = {
  step: 'first',
  events: [
    event(0, 'on', 0),
    event(STOPPED_AT - SETTLED_MS, 'off', 0, 'done'),
    event(0, 'on', 1),
    event(STOPPED_AT - SETTLED_MS + 1, 'off', 1, 'done'),
    event(0, 'on', 2),
    event(STOPPED_AT, 'off', 2, 'lost'),
  ],
  stoppedAt: STOPPED_AT,
};

function secondStep(...indexes: number[]): StepHistory {
  const events = indexes.map((index) => event(STOPPED_AT + 1000, 'on', index));
  return { step: 'second', events, stoppedAt: Number.POSITIVE_INFINITY };
}

// The upgrade check depends on this: a build that cannot read completed tasks runs them again, and still finishes
// all jobs.
test('reports a task that was stored as done and starts in a later cluster, and allows one that may not have been stored', () => {
  assert.deepEqual([...settledBefore([firstStep], specs).get(ARRAY)!], [0]);
  assert.deepEqual(findRepeatedTasks([firstStep, secondStep(1, 2)], specs), []);
  const [broken, ...more] = findRepeatedTasks([firstStep, secondStep(0, 1, 2), secondStep(0)], specs);
  assert.equal(broken?.rule, 'ran_again');
  assert.match(broken?.what ?? '', /^1 tasks of wk-upgrade-unit-bulk/);
  assert.equal(more.length, 1);
});
