import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { TaskEvent } from '../../src/emulator/tasks.js';
import { ranAgain, SETTLED_MS, type StepHistory, settledBefore } from './history.js';
import { submissionsOf } from './jobs.js';

const STOPPED_AT = 60_000;
const specs = new Map(
  submissionsOf('unit', 100, 8)
    .flatMap((s) => s.orders)
    .map(({ spec }) => [spec.id, spec]),
);
const ARRAY = 'wk-upgrade-unit-bulk';

function event(at: number, kind: 'on' | 'off', index: number, cause?: 'done' | 'lost'): TaskEvent {
  const place = { machine: 'm-1', type: 'small', zone: 'north', spot: false };
  return { at, kind, ...place, job: ARRAY, index, attempt: 1, ...(cause && { cause }) };
}

const first: StepHistory = {
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

function second(...indexes: number[]): StepHistory {
  const events = indexes.map((index) => event(STOPPED_AT + 1000, 'on', index));
  return { step: 'second', events, stoppedAt: Number.POSITIVE_INFINITY };
}

// The check of upgrades rests on this: a build that cannot read done tasks runs them again and ends all jobs all the same.
test('a task that was stored as done must not start in a later cluster; one that may not have been stored may', () => {
  assert.deepEqual([...settledBefore([first], specs).get(ARRAY)!], [0]);
  assert.deepEqual(ranAgain([first, second(1, 2)], specs), []);
  const [broken, ...more] = ranAgain([first, second(0, 1, 2), second(0)], specs);
  assert.equal(broken?.rule, 'ran_again');
  assert.match(broken?.what ?? '', /^1 tasks of wk-upgrade-unit-bulk/);
  assert.equal(more.length, 1);
});
