import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Random } from '../../src/emulator/random.js';
import * as lending from '../../src/federation/lending.js';
import { explore, randomWalk } from '../../src/modelcheck/explore.js';
import { type Bounds, lendingModel, PRODUCTION, type Transitions } from '../../src/modelcheck/lending.js';

const limits = { leaseMs: 5, skewMs: 1, stopMs: 1 };
const BOUNDS: Bounds = { epochs: 3, messages: 1, writes: 1, cancels: false, limits };
const STATES = 400_000;

test('a job that may be lent runs in one cluster at a time, has one answer, and can always come to an end', () => {
  assert.ok(lending.leaseFits(limits, 7));
  assert.equal(lending.leaseFits(limits, 6), false, 'a cancellation would not hold');
  assert.equal(lending.leaseFits({ ...limits, stopMs: 3 }, 7), false, 'nothing is left to run in');
  const found = explore(lendingModel(PRODUCTION, BOUNDS), STATES);
  assert.deepEqual([found.violation, found.deadEnds, found.truncated], [null, null, false]);
  assert.ok(found.states > 20_000);
});

test('the same at random far beyond all that can be seen: more messages, writes and lendings, and cancellations', () => {
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

/** Each guard of the transitions taken out, and what that leads to. */
const BROKEN: { what: string; f: Partial<Transitions>; bounds?: Partial<Bounds>; wrong: RegExp }[] = [
  {
    what: 'a result of an earlier epoch counts',
    f: { takeDone: (r) => lending.takeDone(r, r.epoch) },
    wrong: /counts no more/,
  },
  {
    what: 'home does not wait for the skew of clocks',
    f: { takeBack: (r, now, l) => lending.takeBack(r, now, { ...l, skewMs: 0 }) },
    bounds: { limits: { leaseMs: 8, skewMs: 2, stopMs: 1 } },
    wrong: /two clusters/,
  },
  {
    what: 'home does not wait for the lease',
    f: { takeBack: (r, now, l) => lending.takeBack(r, now + 100, l) },
    wrong: /two clusters/,
  },
  {
    what: 'the partner stops when the lease is over, not before',
    f: { mustStop: (r, now, l) => lending.mustStop(r, now, { ...l, skewMs: 0, stopMs: 0 }) },
    wrong: /two clusters/,
  },
  {
    what: 'the partner starts whatever is left of the lease',
    f: { mayRunBorrowed: (r) => r.state === 'started', mustStop: (r) => r.state !== 'started' },
    wrong: /two clusters/,
  },
  {
    what: 'a renewal is granted before it is stored',
    f: { renew: (r, e, now, l) => ({ ...lending.renew(r, e, now, l), record: null }) },
    wrong: /two clusters/,
  },
  {
    what: 'the partner borrows again what it had under the same epoch',
    f: { borrow: (_r, e, until, now, l) => lending.borrow(null, e, until, now, l) },
    wrong: /two clusters/,
  },
  {
    what: 'the partner gives back what has started',
    f: { giveBack: (r, e) => lending.giveBack({ ...r, state: 'held' }, e) },
    wrong: /two clusters/,
  },
  {
    what: 'home starts what is lent',
    f: { mayRunHome: (r) => r.final === null },
    wrong: /two clusters/,
  },
  {
    what: 'a cancelled job is renewed',
    f: { renew: (r, e, now, l) => lending.renew({ ...r, final: null }, e, now, l) },
    bounds: { cancels: true },
    wrong: /cancellation|counts no more|answer changed|told what/,
  },
  {
    what: 'told before it is stored',
    f: {},
    bounds: { answersBeforeStoring: true, cancels: true },
    wrong: /answer changed|told what/,
  },
];

// A model that finds nothing wrong may not look: each guard is taken out once, and its absence is found.
for (const b of BROKEN) {
  test(`found when it is so: ${b.what}`, () => {
    const found = explore(lendingModel({ ...PRODUCTION, ...b.f }, { ...BOUNDS, ...b.bounds }), STATES);
    assert.match(found.violation?.what ?? 'nothing wrong', b.wrong);
    assert.ok(found.violation!.steps.length > 2);
  });
}
