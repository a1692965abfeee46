import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Random } from '../../src/emulator/random.js';
import { explore, randomWalk } from '../../src/modelcheck/explore.js';
import {
  type Bounds,
  GUARDED,
  PRODUCTION,
  standbyLeaseModel,
  type Transitions,
} from '../../src/modelcheck/standbylease.js';
import * as promise from '../../src/standby/standbylease.js';
import * as checks from '../../src/standby/takeoverchecks.js';
import * as machine from '../../src/workers/machine.js';

const ALONE: Bounds = {
  ticks: 6,
  messages: 1,
  writes: 1,
  namings: 1,
  runs: 1,
  returns: true,
  reports: 0,
  task: false,
  guards: GUARDED,
};
const WITH_TASK: Bounds = { ...ALONE, ticks: 3, namings: 1, runs: 1, reports: 1, task: true };
const STATES = 100_000;
/** For what takes more steps than all states can be seen of. */
const FAR: Bounds = { ...WITH_TASK, returns: false, ticks: 8, messages: 2, writes: 2, reports: 6 };
const SEEDS = 4000;

test('never may two act for a shard, nor a task be started beside one that may run', () => {
  for (const bounds of [ALONE, { ...ALONE, runs: 2 }, { ...ALONE, namings: 2 }, WITH_TASK]) {
    const found = explore(standbyLeaseModel(PRODUCTION, bounds), STATES);
    assert.deepEqual([found.violation, found.truncated], [null, false], `${found.states} states`);
    assert.ok(found.states > 5000, `${found.states} states`);
  }
});

test('the same at random far beyond: more messages, writes, namings, and standbys that start anew', () => {
  const bounds = {
    ticks: 40,
    messages: 4,
    writes: 3,
    namings: 6,
    runs: 4,
    returns: false,
    reports: 12,
    task: true,
    guards: GUARDED,
  };
  const model = standbyLeaseModel(PRODUCTION, bounds);
  for (let seed = 1; seed <= 300; seed++) {
    const random = new Random(seed);
    const wrong = randomWalk(model, () => random.next(), 250);
    assert.equal(wrong, null, `seed ${seed}`);
  }
});

/** Each guard taken out, and what that leads to. */
const BROKEN: {
  what: string;
  f?: Partial<Transitions>;
  bounds?: Partial<Bounds>;
  far?: boolean;
  wrong: RegExp;
}[] = [
  {
    what: 'an owner acts as long as its lease',
    f: { leaseCovers: () => true },
    wrong: /two may act/,
  },
  {
    what: 'the promise counts from when the answer came',
    f: { onAcknowledged: (p, r, at) => promise.onAcknowledged(p, r, at + promise.STANDBY_LEASE_MS / 2) },
    wrong: /two may act/,
  },
  {
    what: 'neither drift nor margin',
    f: {
      onSend: (p, r, now) =>
        p.boundRevision === r ? p : { boundRevision: r, until: now + promise.STANDBY_LEASE_MS },
      onAcknowledged: (p, r, at) =>
        p.boundRevision === r
          ? { boundRevision: r, until: Math.max(p.until, at + promise.STANDBY_LEASE_MS) }
          : p,
      mayClaim: (v, now) => !v.claimed && (v.released || now > v.answeredAt + promise.STANDBY_LEASE_MS),
    },
    wrong: /two may act/,
  },
  {
    what: 'a standby claims before the promise is over',
    f: { mayClaim: (v, now) => promise.mayClaim(v, now + promise.STANDBY_LEASE_MS / 2) },
    wrong: /two may act/,
  },
  {
    what: 'a standby answers after it has claimed',
    f: {
      onMessage: (v, t, r, now) =>
        v && v.term === t && v.revision === r ? { ...v, answeredAt: now } : promise.onMessage(v, t, r, now),
    },
    wrong: /two may act/,
  },
  {
    what: 'another run of the standby answers for a claim under way',
    bounds: { guards: { ...GUARDED, run: false }, runs: 2, ticks: 7 },
    wrong: /two may act/,
  },
  {
    what: 'a claim does not ask who is named',
    bounds: { guards: { ...GUARDED, named: false } },
    wrong: /two may act/,
  },
  {
    what: 'a striking off counts without an answer',
    bounds: { guards: { ...GUARDED, lookedUp: false } },
    wrong: /two may act/,
  },
  {
    what: 'a release is said before the owner stops',
    bounds: { guards: { ...GUARDED, stopsFirst: false } },
    wrong: /two may act/,
  },
  {
    what: 'orders are sent before they are announced',
    bounds: { task: true, guards: { ...GUARDED, announced: false } },
    wrong: /run twice/,
  },
  {
    what: 'what was announced on a machine that has not reported is no reason to wait',
    f: { surelyNotRunning: () => true },
    bounds: { task: true },
    wrong: /run twice/,
  },
  {
    what: 'a copy that is not level is taken for one that is',
    f: {
      surelyNotRunning: (job, snapshot, adopted, unseen) =>
        snapshot?.machinesOf(job.id) === null || checks.surelyNotRunning(job, snapshot, adopted, unseen),
    },
    bounds: { task: true },
    wrong: /run twice/,
  },
  {
    what: 'a report under the former token counts as one under the new one',
    f: {
      classifyHeartbeat: (known, r) =>
        machine.classifyHeartbeat(known, r) === 'untokened' ? 'ok' : machine.classifyHeartbeat(known, r),
    },
    far: true,
    wrong: /run twice/,
  },
  {
    what: 'an owner that is back at once takes up what its former run had',
    bounds: { guards: { ...GUARDED, fresh: false } },
    wrong: /two may act/,
  },
  {
    what: 'a machine executes orders under an older token',
    bounds: { task: true, returns: false, guards: { ...GUARDED, token: false } },
    wrong: /run twice/,
  },
];

// A model that finds nothing wrong may not look: each guard is taken out once, and its absence is found.
for (const b of BROKEN) {
  test(`found when it is so: ${b.what}`, () => {
    const f = { ...PRODUCTION, ...b.f };
    if (b.far) {
      const model = standbyLeaseModel(f, { ...FAR, ...b.bounds });
      let wrong: ReturnType<typeof randomWalk> = null;
      for (let seed = 1; seed <= SEEDS && !wrong; seed++) {
        const random = new Random(seed);
        wrong = randomWalk(model, () => random.next(), 120);
      }
      assert.match(wrong?.what ?? 'nothing wrong', b.wrong);
      return;
    }
    const bounds = { ...(b.bounds?.task ? WITH_TASK : ALONE), ...b.bounds };
    const found = explore(standbyLeaseModel(f, bounds), STATES);
    assert.match(
      found.violation?.what ?? `nothing wrong in ${found.states} states, cut ${found.truncated}`,
      b.wrong,
    );
    assert.ok(found.violation!.steps.length > 2);
  });
}
