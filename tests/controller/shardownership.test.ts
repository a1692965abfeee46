import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  CLAIM_DELAY_PER_NODE_MS,
  type ClusterView,
  CORDONED_CLAIM_DELAY_MS,
  claimDelayMs,
  decideShard,
  HAND_BACK_AFTER_MS,
  isCutOffFromStateStore,
  type OwnShardState,
  PREFERRED_NODE_SYNC_TIMEOUT_MS,
  preferredNode,
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
  readonly standbys?: Partial<{
    capable: boolean;
    returnToPreferredNode: boolean;
    successor: string | null;
  }> | null;
}

/** Returns the view of a cluster of three nodes, by default from n0; the preferred node of shard 1 is n1. */
function view(cluster: Cluster): ClusterView {
  const standbys: StandbyView | null = cluster.standbys
    ? {
        isStandbyCapable: () => cluster.standbys?.capable ?? true,
        shouldReturnToPreferredNode: () => cluster.standbys?.returnToPreferredNode ?? true,
        successorOf: () => cluster.standbys?.successor ?? null,
      }
    : null;
  return {
    thisNode: cluster.thisNode ?? 'n0',
    nodeOrder: ['n0', 'n1', 'n2'],
    cordoned: cluster.cordoned ?? false,
    standbys,
    ownerKey: () => cluster.key ?? null,
    isHandedOver: () => cluster.handedOver ?? false,
    isPresent: (node) => !cluster.absent?.includes(node),
    isNodeCordoned: (node) => cluster.cordonedNodes?.includes(node) ?? false,
  };
}

const STATE: OwnShardState = {
  shard: SHARD,
  owned: null,
  keyInFlight: false,
  retiredTerms: new Set(),
  unownedSince: null,
  preferredNodeAvailableSince: null,
};

interface Case {
  readonly name: string;
  readonly cluster: Cluster;
  readonly state?: Partial<OwnShardState>;
  readonly actions: readonly ShardAction[];
  readonly timers?: Partial<ShardTimers>;
}

function check(cases: readonly Case[]): void {
  for (const testCase of cases) {
    const decision = decideShard(view(testCase.cluster), { ...STATE, ...testCase.state }, NOW);
    assert.deepEqual(decision.actions, testCase.actions, testCase.name);
    if (testCase.timers) {
      const expected = { unownedSince: null, preferredNodeAvailableSince: null, ...testCase.timers };
      assert.deepEqual(decision.timers, expected, `${testCase.name}: timers`);
    }
  }
}

const ownedState = { term: 7, ready: true };
const heldHere = { term: 7, heldHere: true };

// Guards against a shard with two acting owners, and against resuming a shard under a term that has been retired.
test('starts, stops or releases ownership of a shard whose key has a holder', () => {
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
      state: { owned: ownedState },
      actions: [{ kind: 'stopOwning' }],
    },
    {
      name: 'the view still shows an older term than the one owned',
      cluster: { key: { term: 6, heldHere: false } },
      state: { owned: ownedState },
      actions: [],
    },
    {
      name: 'a claim considered failed was applied',
      cluster: { key: heldHere, absent: ['n1'] },
      actions: [{ kind: 'startOwning', term: 7 }],
      timers: {},
    },
    {
      name: 'a claim considered failed was applied, with the preferred node present: its timer starts',
      cluster: { key: heldHere },
      actions: [{ kind: 'startOwning', term: 7 }],
      timers: { preferredNodeAvailableSince: NOW },
    },
    {
      name: 'a newer term of this node itself',
      cluster: { key: { term: 9, heldHere: true } },
      state: { owned: ownedState },
      actions: [{ kind: 'stopOwning' }, { kind: 'startOwning', term: 9 }],
    },
    {
      name: 'a newer term of this node itself that is retired',
      cluster: { key: { term: 9, heldHere: true } },
      state: { owned: ownedState, retiredTerms: new Set([9]) },
      actions: [{ kind: 'stopOwning' }, { kind: 'releaseRetiredTerm', term: 9 }],
    },
    {
      name: 'a retired term',
      cluster: { key: heldHere },
      state: { retiredTerms: new Set([7]) },
      actions: [{ kind: 'releaseRetiredTerm', term: 7 }],
    },
    {
      name: 'a claim, release or handover is in flight',
      cluster: { key: heldHere },
      state: { keyInFlight: true, retiredTerms: new Set([7]) },
      actions: [],
    },
    { name: 'handed over', cluster: { key: heldHere, handedOver: true }, actions: [] },
  ]);
});

// Guards against two nodes that claim an unowned shard at the same time, and against a shard that no node claims.
test('claims a shard whose key has no holder after the delay of the claim order', () => {
  const free = { key: null };
  const unownedFor = (ms: number) => ({ unownedSince: NOW - ms });
  // n0 follows n1 and n2 in the claim order of shard 1.
  const turnDelayMs = 2 * CLAIM_DELAY_PER_NODE_MS;
  check([
    {
      name: 'this node owns the shard, but has lost its key',
      cluster: free,
      state: { owned: ownedState, unownedSince: null },
      actions: [{ kind: 'stopOwning' }],
      timers: {},
    },
    { name: 'first seen unowned now', cluster: free, actions: [], timers: { unownedSince: NOW } },
    {
      name: 'before its claim delay has passed',
      cluster: free,
      state: unownedFor(turnDelayMs - 1),
      actions: [],
      timers: unownedFor(turnDelayMs - 1),
    },
    {
      name: 'its claim delay has passed',
      cluster: free,
      state: unownedFor(turnDelayMs),
      actions: [{ kind: 'claim' }],
      timers: unownedFor(turnDelayMs),
    },
    {
      name: 'a claim is in flight',
      cluster: free,
      state: { ...unownedFor(turnDelayMs), keyInFlight: true },
      actions: [],
    },
    {
      name: 'the preferred node claims without delay',
      cluster: { thisNode: 'n1' },
      actions: [{ kind: 'claim' }],
    },
    {
      name: 'does not wait for a cordoned node',
      cluster: { cordonedNodes: ['n1'] },
      state: unownedFor(CLAIM_DELAY_PER_NODE_MS),
      actions: [{ kind: 'claim' }],
    },
    {
      name: 'a cordoned node leaves it to the others',
      cluster: { thisNode: 'n1', cordoned: true },
      state: unownedFor(CORDONED_CLAIM_DELAY_MS - 1),
      actions: [],
    },
    {
      name: 'a cordoned node claims it when no other node does',
      cluster: { thisNode: 'n1', cordoned: true },
      state: unownedFor(CORDONED_CLAIM_DELAY_MS),
      actions: [{ kind: 'claim' }],
    },
  ]);
});

// Guards against shards that are never returned to their preferred node, and against shards that move back and forth.
test('returns a shard to its preferred node once that node has been available long enough', () => {
  const preferredNodeAvailableFor = (ms: number) => ({
    owned: ownedState,
    preferredNodeAvailableSince: NOW - ms,
  });
  const handBack = { kind: 'handBack', to: 'n1', term: 7 } as const;
  const handBackTimeoutMs = HAND_BACK_AFTER_MS + PREFERRED_NODE_SYNC_TIMEOUT_MS;
  check([
    {
      name: 'owned by its preferred node',
      cluster: { thisNode: 'n1', key: heldHere },
      state: preferredNodeAvailableFor(handBackTimeoutMs),
      actions: [],
      timers: {},
    },
    {
      name: 'preferred node absent',
      cluster: { key: heldHere, absent: ['n1'] },
      state: preferredNodeAvailableFor(handBackTimeoutMs),
      actions: [],
      timers: {},
    },
    {
      name: 'preferred node cordoned',
      cluster: { key: heldHere, cordonedNodes: ['n1'] },
      state: preferredNodeAvailableFor(handBackTimeoutMs),
      actions: [],
      timers: {},
    },
    {
      name: 'preferred node first seen available now',
      cluster: { key: heldHere },
      state: { owned: ownedState },
      actions: [],
      timers: { preferredNodeAvailableSince: NOW },
    },
    {
      name: 'preferred node not available long enough',
      cluster: { key: heldHere },
      state: preferredNodeAvailableFor(HAND_BACK_AFTER_MS - 1),
      actions: [],
    },
    {
      name: 'preferred node available long enough',
      cluster: { key: heldHere },
      state: preferredNodeAvailableFor(HAND_BACK_AFTER_MS),
      actions: [handBack],
      timers: {},
    },
    {
      name: 'shard not ready',
      cluster: { key: heldHere },
      state: { ...preferredNodeAvailableFor(handBackTimeoutMs), owned: { term: 7, ready: false } },
      actions: [],
      timers: { preferredNodeAvailableSince: NOW - handBackTimeoutMs },
    },
    {
      name: 'the preferred node cannot be a standby',
      cluster: { key: heldHere, standbys: { capable: false, returnToPreferredNode: false } },
      state: preferredNodeAvailableFor(HAND_BACK_AFTER_MS),
      actions: [handBack],
    },
    {
      name: 'a move would not improve the placement',
      cluster: { key: heldHere, standbys: { returnToPreferredNode: false } },
      state: preferredNodeAvailableFor(handBackTimeoutMs),
      actions: [],
    },
    {
      name: 'the preferred node is in sync',
      cluster: { key: heldHere, standbys: { successor: 'n1' } },
      state: preferredNodeAvailableFor(HAND_BACK_AFTER_MS),
      actions: [{ kind: 'handOverToPreferredNode' }],
      timers: {},
    },
    {
      name: 'the preferred node is not in sync yet',
      cluster: { key: heldHere, standbys: { successor: 'n2' } },
      state: preferredNodeAvailableFor(handBackTimeoutMs - 1),
      actions: [],
      timers: { preferredNodeAvailableSince: NOW - handBackTimeoutMs + 1 },
    },
    {
      name: 'the preferred node does not get in sync',
      cluster: { key: heldHere, standbys: {} },
      state: preferredNodeAvailableFor(handBackTimeoutMs),
      actions: [handBack],
    },
  ]);
});

test('the claim order starts with the preferred node and continues cyclically', () => {
  const nodes = ['n0', 'n1', 'n2'];
  for (const [shard, order] of [
    ['n0', 'n1', 'n2'],
    ['n1', 'n2', 'n0'],
    ['n2', 'n0', 'n1'],
  ].entries()) {
    assert.equal(preferredNode(nodes, shard), order[0]);
    for (const [turn, thisNode] of order.entries())
      assert.equal(claimDelayMs(view({ thisNode }), shard), turn * CLAIM_DELAY_PER_NODE_MS);
  }
  assert.equal(preferredNode(nodes, 4), 'n1');
});

test('an owner counts as cut off from the key-value store only while its standby is not', () => {
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
