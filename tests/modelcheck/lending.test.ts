import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Random } from '../../src/emulator/random.js';
import * as lending from '../../src/federation/lending.js';
import { explore, randomWalk } from '../../src/modelcheck/explore.js';
import { type Bounds, lendingModel, PRODUCTION, type Transitions } from '../../src/modelcheck/lending.js';

const limits = { leaseMs: 5, skewMs: 1, stopMs: 1 };
const BOUNDS: Bounds = { epochs: 3, messages: 1, writes: 1, cancels: false, limits };
const STATES = 400_000;

test('a job that may be lent runs in one cluster at a time, has one answer, and can always end', () => {
  assert.ok(lending.areLimitsConsistent(limits, 7));
  assert.equal(lending.areLimitsConsistent(limits, 6), false, 'a cancellation would not take effect in time');
  assert.equal(
    lending.areLimitsConsistent({ ...limits, stopMs: 3 }, 7),
    false,
    'no time is left to run tasks',
  );
  const result = explore(lendingModel(PRODUCTION, BOUNDS), STATES);
  assert.deepEqual([result.violation, result.deadEnds, result.truncated], [null, null, false]);
  assert.ok(result.states > 20_000);
});

test('random walks with more messages, writes, lendings and cancellations find no violation', () => {
  const model = lendingModel(PRODUCTION, { ...BOUNDS, epochs: 9, messages: 4, writes: 2, cancels: true });
  for (let seed = 1; seed <= 150; seed++) {
    const random = new Random(seed);
    assert.equal(
      randomWalk(model, () => random.next(), 300),
      null,
      `seed ${seed}`,
    );
  }
});

/** Faulty transitions, each with one guard removed, and the violation that results. */
const FAULTS: {
  name: string;
  transitions: Partial<Transitions>;
  bounds?: Partial<Bounds>;
  violation: RegExp;
}[] = [
  {
    name: 'a result of an earlier epoch is accepted',
    transitions: { acceptCompletion: (r) => lending.acceptCompletion(r, r.epoch) },
    violation: /no longer valid/,
  },
  {
    name: 'home does not wait for the clock skew',
    transitions: { reclaimExpired: (r, now, l) => lending.reclaimExpired(r, now, { ...l, skewMs: 0 }) },
    bounds: { limits: { leaseMs: 8, skewMs: 2, stopMs: 1 } },
    violation: /two clusters/,
  },
  {
    name: 'home does not wait for the lease',
    transitions: { reclaimExpired: (r, now, l) => lending.reclaimExpired(r, now + 100, l) },
    violation: /two clusters/,
  },
  {
    name: 'the partner stops only when the lease has expired',
    transitions: { mustStop: (r, now, l) => lending.mustStop(r, now, { ...l, skewMs: 0, stopMs: 0 }) },
    violation: /two clusters/,
  },
  {
    name: 'the partner starts regardless of the remaining lease',
    transitions: { mayRunBorrowed: (r) => r.state === 'started', mustStop: (r) => r.state !== 'started' },
    violation: /two clusters/,
  },
  {
    name: 'a renewal is granted before it is stored',
    transitions: { renew: (r, e, now, l) => ({ ...lending.renew(r, e, now, l), record: null }) },
    violation: /two clusters/,
  },
  {
    name: 'the partner borrows a job again under the same epoch',
    transitions: { acceptLoan: (_r, e, until, now, l) => lending.acceptLoan(null, e, until, now, l) },
    violation: /two clusters/,
  },
  {
    name: 'the partner returns a job that has started',
    transitions: { handleRecall: (r, e) => lending.handleRecall({ ...r, state: 'held' }, e) },
    violation: /two clusters/,
  },
  {
    name: 'home starts a lent job',
    transitions: { mayRunHome: (r) => r.final === null },
    violation: /two clusters/,
  },
  {
    name: 'a cancelled job is renewed',
    transitions: { renew: (r, e, now, l) => lending.renew({ ...r, final: null }, e, now, l) },
    bounds: { cancels: true },
    violation: /cancellation|no longer valid|answer changed|reported a result/,
  },
  {
    name: 'an answer is sent before it is stored',
    transitions: {},
    bounds: { answersBeforeStoring: true, cancels: true },
    violation: /answer changed|reported a result/,
  },
];

// A model that never reports a violation might check nothing. Each guard is therefore removed once, and the
// model has to detect its absence.
for (const fault of FAULTS) {
  test(`detects the fault: ${fault.name}`, () => {
    const result = explore(
      lendingModel({ ...PRODUCTION, ...fault.transitions }, { ...BOUNDS, ...fault.bounds }),
      STATES,
    );
    assert.match(result.violation?.message ?? 'no violation', fault.violation);
    assert.ok(result.violation!.steps.length > 2);
  });
}
