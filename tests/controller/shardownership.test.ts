import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  CLAIM_DELAY_PER_NODE_MS,
  type ClusterView,
  CORDONED_CLAIM_DELAY_MS,
  claimDelayMs,
  decideShard,
  HAND_BACK_AFTER_MS,
  HOME_SYNC_TIMEOUT_MS,
  homeNode,
  isCutOffFromStateStore,
  type OwnShardState,
  type ShardAction,
  type ShardTimers,
  type StandbyView,
} from '../../src/controller/shardownership.js';

const NOW = 1_000_000;
const SHARD = 1;

interface Cluster {
  readonly thisNode?: string;
  readonly cordoned?: boolean;
  readonly key?: { readonly term: number; readonly heldHere: boolean } | null;
  readonly handedOver?: boolean;
  readonly absent?: readonly string[];
  readonly cordonedNodes?: readonly string[];
  readonly standbys?: Partial<{ capable: boolean; returnHome: boolean; successor: string | null }> | null;
}

/** A cluster of three nodes, seen by n0 unless said otherwise; shard 1 is at home on n1. */
function view(c: Cluster): ClusterView {
  const standbys: StandbyView | null = c.standbys
    ? {
        isStandbyCapable: () => c.standbys?.capable ?? true,
        shouldReturnHome: () => c.standbys?.returnHome ?? true,
        successorOf: () => c.standbys?.successor ?? null,
      }
    : null;
  return {
    thisNode: c.thisNode ?? 'n0',
    nodeOrder: ['n0', 'n1', 'n2'],
    cordoned: c.cordoned ?? false,
    standbys,
    ownerKey: () => c.key ?? null,
    isHandedOver: () => c.handedOver ?? false,
    isPresent: (node) => !c.absent?.includes(node),
    isNodeCordoned: (node) => c.cordonedNodes?.includes(node) ?? false,
  };
}

const STATE: OwnShardState = {
  shard: SHARD,
  owned: null,
  keyInFlight: false,
  retiredTerms: new Set(),
  unownedSince: null,
  homeAvailableSince: null,
};

interface Case {
  readonly name: string;
  readonly cluster: Cluster;
  readonly state?: Partial<OwnShardState>;
  readonly actions: readonly ShardAction[];
  readonly timers?: Partial<ShardTimers>;
}

function check(cases: readonly Case[]): void {
  for (const c of cases) {
    const decision = decideShard(view(c.cluster), { ...STATE, ...c.state }, NOW);
    assert.deepEqual(decision.actions, c.actions, c.name);
    if (c.timers) {
      const expected = { unownedSince: null, homeAvailableSince: null, ...c.timers };
      assert.deepEqual(decision.timers, expected, `${c.name}: timers`);
    }
  }
}

const own = { term: 7, ready: true };
const heldHere = { term: 7, heldHere: true };

// Guards against a shard that two nodes act for, or that is taken up again under a term that it was dropped under.
test('what a node does about a shard whose key somebody holds', () => {
  check([
    {
      name: 'another node holds it',
      cluster: { key: { term: 7, heldHere: false } },
      state: { unownedSince: NOW - 50 },
      actions: [],
      timers: { unownedSince: null },
    },
    {
      name: 'another node holds it under a newer term',
      cluster: { key: { term: 8, heldHere: false } },
      state: { owned: own },
      actions: [{ kind: 'stopOwning' }],
    },
    {
      name: 'the view still shows an older term than the one owned',
      cluster: { key: { term: 6, heldHere: false } },
      state: { owned: own },
      actions: [],
    },
    {
      name: 'a claim that was thought lost',
      cluster: { key: heldHere, absent: ['n1'] },
      actions: [{ kind: 'startOwning', term: 7 }],
      timers: {},
    },
    {
      name: 'a claim that was thought lost, with the home node present: its time begins',
      cluster: { key: heldHere },
      actions: [{ kind: 'startOwning', term: 7 }],
      timers: { homeAvailableSince: NOW },
    },
    {
      name: 'a newer term of this node itself',
      cluster: { key: { term: 9, heldHere: true } },
      state: { owned: own },
      actions: [{ kind: 'stopOwning' }, { kind: 'startOwning', term: 9 }],
    },
    {
      name: 'a newer term of this node itself that is retired',
      cluster: { key: { term: 9, heldHere: true } },
      state: { owned: own, retiredTerms: new Set([9]) },
      actions: [{ kind: 'stopOwning' }, { kind: 'releaseRetiredTerm', term: 9 }],
    },
    {
      name: 'a retired term',
      cluster: { key: heldHere },
      state: { retiredTerms: new Set([7]) },
      actions: [{ kind: 'releaseRetiredTerm', term: 7 }],
    },
    {
      name: 'a claim, release or handover is under way',
      cluster: { key: heldHere },
      state: { keyInFlight: true, retiredTerms: new Set([7]) },
      actions: [],
    },
    { name: 'handed over', cluster: { key: heldHere, handedOver: true }, actions: [] },
  ]);
});

// Guards against two nodes that claim a free shard at once, and against one that nobody claims.
test('what a node does about a shard whose key nobody holds', () => {
  const free = { key: null };
  const waited = (ms: number) => ({ unownedSince: NOW - ms });
  // n0 comes after n1 and n2 for shard 1.
  const delay = 2 * CLAIM_DELAY_PER_NODE_MS;
  check([
    {
      name: 'it owns it: the key is lost',
      cluster: free,
      state: { owned: own, unownedSince: null },
      actions: [{ kind: 'stopOwning' }],
      timers: {},
    },
    { name: 'seen first now', cluster: free, actions: [], timers: { unownedSince: NOW } },
    {
      name: 'before its turn',
      cluster: free,
      state: waited(delay - 1),
      actions: [],
      timers: waited(delay - 1),
    },
    {
      name: 'its turn',
      cluster: free,
      state: waited(delay),
      actions: [{ kind: 'claim' }],
      timers: waited(delay),
    },
    {
      name: 'a claim is under way',
      cluster: free,
      state: { ...waited(delay), keyInFlight: true },
      actions: [],
    },
    { name: 'the home node claims at once', cluster: { thisNode: 'n1' }, actions: [{ kind: 'claim' }] },
    {
      name: 'nobody waits for a cordoned node',
      cluster: { cordonedNodes: ['n1'] },
      state: waited(CLAIM_DELAY_PER_NODE_MS),
      actions: [{ kind: 'claim' }],
    },
    {
      name: 'a cordoned node leaves it to the others',
      cluster: { thisNode: 'n1', cordoned: true },
      state: waited(CORDONED_CLAIM_DELAY_MS - 1),
      actions: [],
    },
    {
      name: 'a cordoned node claims it when nobody else does',
      cluster: { thisNode: 'n1', cordoned: true },
      state: waited(CORDONED_CLAIM_DELAY_MS),
      actions: [{ kind: 'claim' }],
    },
  ]);
});

// Guards against shards that stay where they were taken over, and against ones that go to and fro.
test('when a shard owned away from home goes back', () => {
  const since = (ms: number) => ({ owned: own, homeAvailableSince: NOW - ms });
  const handBack = { kind: 'handBack', to: 'n1', term: 7 } as const;
  const late = HAND_BACK_AFTER_MS + HOME_SYNC_TIMEOUT_MS;
  check([
    {
      name: 'owned at home',
      cluster: { thisNode: 'n1', key: heldHere },
      state: since(late),
      actions: [],
      timers: {},
    },
    {
      name: 'home absent',
      cluster: { key: heldHere, absent: ['n1'] },
      state: since(late),
      actions: [],
      timers: {},
    },
    {
      name: 'home cordoned',
      cluster: { key: heldHere, cordonedNodes: ['n1'] },
      state: since(late),
      actions: [],
      timers: {},
    },
    {
      name: 'home back now',
      cluster: { key: heldHere },
      state: { owned: own },
      actions: [],
      timers: { homeAvailableSince: NOW },
    },
    { name: 'too soon', cluster: { key: heldHere }, state: since(HAND_BACK_AFTER_MS - 1), actions: [] },
    {
      name: 'home back long enough',
      cluster: { key: heldHere },
      state: since(HAND_BACK_AFTER_MS),
      actions: [handBack],
      timers: {},
    },
    {
      name: 'not ready',
      cluster: { key: heldHere },
      state: { ...since(late), owned: { term: 7, ready: false } },
      actions: [],
      timers: { homeAvailableSince: NOW - late },
    },
    {
      name: 'the home node is no standby',
      cluster: { key: heldHere, standbys: { capable: false, returnHome: false } },
      state: since(HAND_BACK_AFTER_MS),
      actions: [handBack],
    },
    {
      name: 'better off here',
      cluster: { key: heldHere, standbys: { returnHome: false } },
      state: since(late),
      actions: [],
    },
    {
      name: 'the home node is in sync',
      cluster: { key: heldHere, standbys: { successor: 'n1' } },
      state: since(HAND_BACK_AFTER_MS),
      actions: [{ kind: 'handOverToHome' }],
      timers: {},
    },
    {
      name: 'the home node is not in sync yet',
      cluster: { key: heldHere, standbys: { successor: 'n2' } },
      state: since(late - 1),
      actions: [],
      timers: { homeAvailableSince: NOW - late + 1 },
    },
    {
      name: 'the home node does not get in sync',
      cluster: { key: heldHere, standbys: {} },
      state: since(late),
      actions: [handBack],
    },
  ]);
});

test('the order of claims begins with the home node and goes round', () => {
  const nodes = ['n0', 'n1', 'n2'];
  for (const [shard, order] of [
    ['n0', 'n1', 'n2'],
    ['n1', 'n2', 'n0'],
    ['n2', 'n0', 'n1'],
  ].entries()) {
    assert.equal(homeNode(nodes, shard), order[0]);
    for (const [turn, thisNode] of order.entries())
      assert.equal(claimDelayMs(view({ thisNode }), shard), turn * CLAIM_DELAY_PER_NODE_MS);
  }
  assert.equal(homeNode(nodes, 4), 'n1');
});

test('an owner is cut off from the state service only while its standby is not', () => {
  for (const [failingMs, standbyAgoMs, expected] of [
    [0, 0, false],
    [2499, 0, false],
    [2500, 0, true],
    [2500, null, false],
    [2500, 1999, true],
    [2500, 2000, false],
    [9000, 8600, false],
  ] as const)
    assert.equal(isCutOffFromStateStore(failingMs, standbyAgoMs), expected, `${failingMs} ${standbyAgoMs}`);
});
