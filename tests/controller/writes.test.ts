import assert from 'node:assert/strict';
import { test } from 'node:test';
import pino from 'pino';
import { nodeLease } from '../../src/config/bounds.js';
import { ClusterStateCache } from '../../src/controller/clusterstatecache.js';
import type { Change } from '../../src/wire/state.js';
import { NODES, startBusyCluster } from '../support/busy.js';
import { FakeClock } from '../support/clock.js';
import { FakeCluster, STATE } from '../support/cluster.js';

// Guards against a request that is forwarded forever between two nodes that have each handed the shard to the other.
test('a request is forwarded at most once', async () => {
  const { cluster, shard } = await startBusyCluster(1);
  const owner = cluster.owner(shard)!;
  const [firstNode, secondNode] = NODES.filter((n) => n !== owner) as [string, string];
  const term = cluster.state.items.get(`c/own/${shard}`)!.version;
  for (const [at, to] of [
    [firstNode, secondNode],
    [secondNode, firstNode],
  ] as const) {
    const { membership: members } = cluster.nodes.get(at)!.node;
    members.setSuccessor(shard, members.presenceOf(to), term);
  }
  cluster.sentMessages.length = 0;
  const before = cluster.clock.now();
  const reply = await cluster.call(firstNode, 'GET', '/api/jobs/wk-1');
  assert.ok(reply.status === 200 || reply.status === 503);
  assert.ok(cluster.clock.now() - before < 2000);
  assert.ok(
    cluster.sentMessages.filter((m) => m.op === 'status').length <= 2,
    'sent once and forwarded once',
  );
});

// Guards against a node that is absent permanently: a late duplicate of its presence write, under a lease that the
// node had already given up, replaced the current record and was deleted with that lease. A late write of the
// cordoned state must not override a newer one either.
test('late writes of a node’s presence or cordoned state do not override newer ones', async () => {
  const cluster = new FakeCluster(NODES);
  let presenceWrites = 0;
  cluster.net.outcomeOf = (from, addr, _method, path, body) =>
    from === 'n0' &&
    addr === STATE &&
    path === '/txn' &&
    JSON.stringify(body).includes('"c/node/n0"') &&
    presenceWrites++ === 0
      ? 6000
      : 'deliver';
  for (const n of NODES) cluster.startNode(n);
  const presence = () => cluster.state.value('c/node/n0') as { lease: number; aside?: boolean } | undefined;
  await cluster.clock.advance(20_000);
  assert.ok(presenceWrites > 1, 'written again');
  assert.equal(
    presence()?.lease,
    cluster.nodes.get('n0')!.node.membership.leaseId,
    'present under its current lease',
  );
  const { membership: members } = cluster.nodes.get('n0')!.node;
  presenceWrites = 0;
  void members.publishCordoned(true).catch(() => undefined);
  await cluster.clock.advance(3000);
  void members.publishCordoned(false).catch(() => undefined);
  await cluster.clock.advance(12_000);
  assert.equal(presence()?.aside ?? false, false);
  // A state that could not be written is written with a later renewal.
  cluster.net.outcomeOf = (from, addr, _method, path) =>
    from === 'n0' && addr === STATE && path === '/txn' ? 'refuse' : 'deliver';
  void members.publishCordoned(true).catch(() => undefined);
  await cluster.clock.advance(1000);
  cluster.net.outcomeOf = () => 'deliver';
  await cluster.clock.advance(5000);
  assert.equal(presence()?.aside, true);
});

// Guards against a chunk of done tasks that a late write leaves behind permanently after its job has ended.
test('a late write of done tasks has no effect after its job has ended', async () => {
  const { cluster, shard } = await startBusyCluster(1);
  const owner = cluster.owner(shard)!;
  let doneTaskWrites = 0;
  cluster.net.outcomeOf = (from, addr, _method, path, body) =>
    from === owner &&
    addr === STATE &&
    path === '/txn' &&
    JSON.stringify(body).includes('"act/wk-1/0"') &&
    doneTaskWrites++ === 0
      ? 11_000
      : 'deliver';
  cluster.workers.find((w) => w.isActive('wk-1/0'))!.endTask('wk-1/0', 'done');
  await cluster.clock.advance(2500);
  assert.equal(doneTaskWrites, 1);
  assert.equal((await cluster.call(owner, 'POST', '/api/jobs/wk-1/abort')).status, 200);
  await cluster.clock.advance(15_000);
  assert.deepEqual(
    [...cluster.state.items.keys()].filter((key) => key.startsWith('act/')),
    [],
  );
});

test('a node lease is as short as cancellations require, and any time still missing is returned', () => {
  // The known sites, and settings with tighter limits.
  for (const [leaseS, cancelS] of [
    [20, 45],
    [16, 41],
    [26, 51],
  ] as const)
    assert.deepEqual(nodeLease({ leaseS, cancelS }), { leaseMs: 8000, missingMs: 0 });
  const tighter = nodeLease({ leaseS: 16, cancelS: 25 });
  assert.equal(tighter.missingMs, 0);
  assert.ok(tighter.leaseMs < 6000 && tighter.leaseMs + 16_000 + 3000 < 25_000);
  assert.ok(nodeLease({ leaseS: 20, cancelS: 22 }).missingMs > 3000);
});

// Guards against a cache of the keys that misses a change permanently: a watch ended while its node was being
// refused, with a revision whose changes it had not delivered, and an unowned shard was considered owned.
test('an empty answer to a watch does not advance the revision of the cache', async () => {
  const clock = new FakeClock();
  const watchedRevisions: number[] = [];
  const answers: Change[][] = [[], [{ key: 'c/own/0', gone: true, version: 9 }]];
  const store = {
    list: async () => ({ entries: [{ key: 'c/own/0', value: {}, version: 4 }], revision: 7 }),
    watch: async (_under: string, since: number) => {
      watchedRevisions.push(since);
      const changes = answers.shift();
      return changes ? { revision: 20, changes } : new Promise<never>(() => undefined);
    },
  };
  const stateCache = new ClusterStateCache(clock, store, 'c/', pino({ level: 'silent' }), () => undefined);
  void stateCache.run();
  await clock.advance(1000);
  assert.deepEqual(watchedRevisions, [7, 7, 20]);
  assert.equal(stateCache.entries.size, 0);
});
