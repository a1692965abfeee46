import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  decideLeadership,
  LEADER_CLAIM_DELAY_PER_NODE_MS,
  type LeadershipAction,
  type LeadershipState,
} from '../../src/controller/leaderelection.js';

const NOW = 1_000_000;
const STATE: LeadershipState = {
  leaderKey: null,
  leading: false,
  claimInFlight: false,
  vacantSince: null,
  nodeIndex: 1,
};

interface Case {
  readonly name: string;
  readonly state: Partial<LeadershipState>;
  readonly actions: readonly LeadershipAction[];
  readonly vacantSince: number | null;
}

const heldHere = { term: 5, heldHere: true };
const heldElsewhere = { term: 5, heldHere: false };
const dueSince = NOW - LEADER_CLAIM_DELAY_PER_NODE_MS;

const CASES: readonly Case[] = [
  {
    name: 'another node leads',
    state: { leaderKey: heldElsewhere, vacantSince: 3 },
    actions: [],
    vacantSince: null,
  },
  { name: 'this node leads', state: { leaderKey: heldHere, leading: true }, actions: [], vacantSince: null },
  {
    name: 'another node has taken the key',
    state: { leaderKey: heldElsewhere, leading: true },
    actions: [{ kind: 'resign' }],
    vacantSince: null,
  },
  {
    name: 'a claim considered failed was applied',
    state: { leaderKey: heldHere, claimInFlight: true },
    actions: [{ kind: 'lead', term: 5 }],
    vacantSince: null,
  },
  { name: 'vacant since now', state: {}, actions: [], vacantSince: NOW },
  {
    name: 'before its claim delay has passed',
    state: { vacantSince: dueSince + 1 },
    actions: [],
    vacantSince: dueSince + 1,
  },
  {
    name: 'its claim delay has passed',
    state: { vacantSince: dueSince },
    actions: [{ kind: 'claim' }],
    vacantSince: dueSince,
  },
  {
    name: 'a claim is in flight',
    state: { vacantSince: dueSince, claimInFlight: true },
    actions: [],
    vacantSince: dueSince,
  },
  {
    name: 'the first node claims without delay',
    state: { nodeIndex: 0 },
    actions: [{ kind: 'claim' }],
    vacantSince: NOW,
  },
  {
    name: 'its key was deleted: it resigns, and claims again after its claim delay',
    state: { leading: true, nodeIndex: 0 },
    actions: [{ kind: 'resign' }, { kind: 'claim' }],
    vacantSince: NOW,
  },
  {
    name: 'its key was deleted, and other nodes precede it in the claim order',
    state: { leading: true },
    actions: [{ kind: 'resign' }],
    vacantSince: NOW,
  },
];

// Guards against a cluster without a leader, and against a node that keeps leading without the key.
test('claims, starts and resigns the leadership according to the leader key', () => {
  for (const { name, state, actions, vacantSince } of CASES)
    assert.deepEqual(decideLeadership({ ...STATE, ...state }, NOW), { actions, vacantSince }, name);
});
