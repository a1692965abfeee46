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

const here = { term: 5, heldHere: true };
const elsewhere = { term: 5, heldHere: false };
const due = NOW - LEADER_CLAIM_DELAY_PER_NODE_MS;

const CASES: readonly Case[] = [
  {
    name: 'another node leads',
    state: { leaderKey: elsewhere, vacantSince: 3 },
    actions: [],
    vacantSince: null,
  },
  { name: 'this node leads', state: { leaderKey: here, leading: true }, actions: [], vacantSince: null },
  {
    name: 'the key is another node’s now',
    state: { leaderKey: elsewhere, leading: true },
    actions: [{ kind: 'resign' }],
    vacantSince: null,
  },
  {
    name: 'a claim that was thought lost',
    state: { leaderKey: here, claimInFlight: true },
    actions: [{ kind: 'lead', term: 5 }],
    vacantSince: null,
  },
  { name: 'vacant since now', state: {}, actions: [], vacantSince: NOW },
  { name: 'before its turn', state: { vacantSince: due + 1 }, actions: [], vacantSince: due + 1 },
  { name: 'its turn', state: { vacantSince: due }, actions: [{ kind: 'claim' }], vacantSince: due },
  {
    name: 'a claim is under way',
    state: { vacantSince: due, claimInFlight: true },
    actions: [],
    vacantSince: due,
  },
  { name: 'the first node at once', state: { nodeIndex: 0 }, actions: [{ kind: 'claim' }], vacantSince: NOW },
  {
    name: 'its key is gone: it resigns, and claims again in its turn',
    state: { leading: true, nodeIndex: 0 },
    actions: [{ kind: 'resign' }, { kind: 'claim' }],
    vacantSince: NOW,
  },
  {
    name: 'its key is gone, and others come first',
    state: { leading: true },
    actions: [{ kind: 'resign' }],
    vacantSince: NOW,
  },
];

// Guards against a cluster without a leader, and against a node that goes on to lead without the key.
test('what a node does about the leadership', () => {
  for (const { name, state, actions, vacantSince } of CASES)
    assert.deepEqual(decideLeadership({ ...STATE, ...state }, NOW), { actions, vacantSince }, name);
});
