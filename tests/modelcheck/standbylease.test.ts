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
import * as standbyLease from '../../src/standby/standbylease.js';
import * as takeoverChecks from '../../src/standby/takeoverchecks.js';
import * as machine from '../../src/workers/machine.js';

const LEASE_ONLY: Bounds = {
  ticks: 6,
  messages: 1,
  writes: 1,
  namings: 1,
  incarnations: 1,
  ownerRestarts: true,
  reports: 0,
  task: false,
  guards: GUARDED,
};
const WITH_TASK: Bounds = { ...LEASE_ONLY, ticks: 3, namings: 1, incarnations: 1, reports: 1, task: true };
const STATES = 100_000;
/** Bounds for faults that take more steps than can be explored exhaustively. */
const FAR: Bounds = { ...WITH_TASK, ownerRestarts: false, ticks: 8, messages: 2, writes: 2, reports: 6 };
const SEEDS = 4000;

test('never lets two owners act for a shard, nor a task start while another attempt may run', () => {
  for (const bounds of [
    LEASE_ONLY,
    { ...LEASE_ONLY, incarnations: 2 },
    { ...LEASE_ONLY, namings: 2 },
    WITH_TASK,
  ]) {
    const result = explore(standbyLeaseModel(PRODUCTION, bounds), STATES);
    assert.deepEqual([result.violation, result.truncated], [null, false], `${result.states} states`);
    assert.ok(result.states > 5000, `${result.states} states`);
  }
});

test('random walks with more messages, writes, namings and standby restarts find no violation', () => {
  const bounds = {
    ticks: 40,
    messages: 4,
    writes: 3,
    namings: 6,
    incarnations: 4,
    ownerRestarts: false,
    reports: 12,
    task: true,
    guards: GUARDED,
  };
  const model = standbyLeaseModel(PRODUCTION, bounds);
  for (let seed = 1; seed <= 300; seed++) {
    const random = new Random(seed);
    const violation = randomWalk(model, () => random.next(), 250);
    assert.equal(violation, null, `seed ${seed}`);
  }
});

/** Faulty models, each with one guard removed, and the violation that results. */
const FAULTS: {
  name: string;
  transitions?: Partial<Transitions>;
  bounds?: Partial<Bounds>;
  randomWalk?: boolean;
  violation: RegExp;
}[] = [
  {
    name: 'an owner ignores the lease with its standby',
    transitions: { leaseCovers: () => true },
    violation: /two owners may act/,
  },
  {
    name: 'the lease is extended from the time of the response',
    transitions: {
      onAcknowledged: (lease, r, at) =>
        standbyLease.onAcknowledged(lease, r, at + standbyLease.STANDBY_LEASE_MS / 2),
    },
    violation: /two owners may act/,
  },
  {
    name: 'the lease has no allowance for drift and no margin',
    transitions: {
      onSend: (lease, r, now) =>
        lease.boundRevision === r ? lease : { boundRevision: r, until: now + standbyLease.STANDBY_LEASE_MS },
      onAcknowledged: (lease, r, at) =>
        lease.boundRevision === r
          ? { boundRevision: r, until: Math.max(lease.until, at + standbyLease.STANDBY_LEASE_MS) }
          : lease,
      mayClaim: (state, now) =>
        !state.claimed && (state.released || now > state.answeredAt + standbyLease.STANDBY_LEASE_MS),
    },
    violation: /two owners may act/,
  },
  {
    name: 'a standby claims before the lease has expired',
    transitions: {
      mayClaim: (state, now) => standbyLease.mayClaim(state, now + standbyLease.STANDBY_LEASE_MS / 2),
    },
    violation: /two owners may act/,
  },
  {
    name: 'a standby answers after it has claimed',
    transitions: {
      onMessage: (state, t, r, now) =>
        state && state.term === t && state.revision === r
          ? { ...state, answeredAt: now }
          : standbyLease.onMessage(state, t, r, now),
    },
    violation: /two owners may act/,
  },
  {
    name: 'another incarnation of the standby responds while a claim is in flight',
    bounds: { guards: { ...GUARDED, incarnation: false }, incarnations: 2, ticks: 7 },
    violation: /two owners may act/,
  },
  {
    name: 'a claim is not conditional on the standby key',
    bounds: { guards: { ...GUARDED, namedClaim: false } },
    violation: /two owners may act/,
  },
  {
    name: 'an eviction takes effect without confirmation',
    bounds: { guards: { ...GUARDED, confirmedEviction: false } },
    violation: /two owners may act/,
  },
  {
    name: 'an owner sends the handover before it stops',
    bounds: { guards: { ...GUARDED, stopsBeforeHandover: false } },
    violation: /two owners may act/,
  },
  {
    name: 'orders are sent before the start is announced',
    bounds: { task: true, guards: { ...GUARDED, announcedStarts: false } },
    violation: /run twice/,
  },
  {
    name: 'a task is started without waiting for the machines of announced starts',
    transitions: { isConfirmedNotRunning: () => true },
    bounds: { task: true },
    violation: /run twice/,
  },
  {
    name: 'a replica that is not in sync is treated as in sync',
    transitions: {
      isConfirmedNotRunning: (job, snapshot, allReconciled, mayHoldTasks) =>
        snapshot?.machinesOf(job.id) === null ||
        takeoverChecks.isConfirmedNotRunning(job, snapshot, allReconciled, mayHoldTasks),
    },
    bounds: { task: true },
    violation: /run twice/,
  },
  {
    name: 'a report under the former token is accepted as one under the new token',
    transitions: {
      classifyHeartbeat: (known, r) =>
        machine.classifyHeartbeat(known, r) === 'untokened' ? 'ok' : machine.classifyHeartbeat(known, r),
    },
    randomWalk: true,
    violation: /run twice/,
  },
  {
    name: 'a restarted owner resumes the ownership of its former incarnation',
    bounds: { guards: { ...GUARDED, freshIncarnation: false } },
    violation: /two owners may act/,
  },
  {
    name: 'a machine executes orders under an older token',
    bounds: { task: true, ownerRestarts: false, guards: { ...GUARDED, token: false } },
    violation: /run twice/,
  },
];

// A model that never reports a violation might check nothing. Each guard is therefore removed once, and the
// model has to detect its absence.
for (const fault of FAULTS) {
  test(`detects the fault: ${fault.name}`, () => {
    const transitions = { ...PRODUCTION, ...fault.transitions };
    if (fault.randomWalk) {
      const model = standbyLeaseModel(transitions, { ...FAR, ...fault.bounds });
      let violation: ReturnType<typeof randomWalk> = null;
      for (let seed = 1; seed <= SEEDS && !violation; seed++) {
        const random = new Random(seed);
        violation = randomWalk(model, () => random.next(), 120);
      }
      assert.match(violation?.message ?? 'no violation', fault.violation);
      return;
    }
    const bounds = { ...(fault.bounds?.task ? WITH_TASK : LEASE_ONLY), ...fault.bounds };
    const result = explore(standbyLeaseModel(transitions, bounds), STATES);
    assert.match(
      result.violation?.message ?? `no violation in ${result.states} states, truncated ${result.truncated}`,
      fault.violation,
    );
    assert.ok(result.violation!.steps.length > 2);
  });
}
