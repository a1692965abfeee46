import assert from 'node:assert/strict';
import { test } from 'node:test';
import pino from 'pino';
import { nodeLease } from '../../src/config/bounds.js';
import { ClusterStateCache } from '../../src/controller/clusterstatecache.js';
import type { Change } from '../../src/wire/state.js';
import { busy, NODES } from '../support/busy.js';
import { FakeClock } from '../support/clock.js';
import { FakeCluster, STATE } from '../support/cluster.js';

// Guards against a question that goes to and fro for ever between two nodes that have each handed the shard to the other.
test('a question is passed on once at most', async () => {
  const { c, k } = await busy(1);
  const owner = c.owner(k)!;
  const [x, y] = NODES.filter((n) => n !== owner) as [string, string];
  const term = c.state.items.get(`c/own/${k}`)!.version;
  for (const [at, to] of [
    [x, y],
    [y, x],
  ] as const) {
    const { membership: members } = c.nodes.get(at)!.node;
    members.setSuccessor(k, members.presenceOf(to), term);
  }
  c.sent.length = 0;
  const before = c.clock.now();
  const reply = await c.call(x, 'GET', '/api/jobs/wk-1');
  assert.ok(reply.status === 200 || reply.status === 503);
  assert.ok(c.clock.now() - before < 2000);
  assert.ok(c.sent.filter((m) => m.op === 'status').length <= 2, 'asked and passed on');
});

// Guards against a node that is absent for good: a late copy of the write of its presence, under a lease that it gave up at once, took
// the place of the present one and went with that lease. Nor may a late word of standing aside outlast a newer one.
test('late writes of its presence and of standing aside leave a node as it last showed itself', async () => {
  const c = new FakeCluster(NODES);
  let lost = 0;
  c.net.fate = (from, addr, _method, path, body) =>
    from === 'n0' &&
    addr === STATE &&
    path === '/txn' &&
    JSON.stringify(body).includes('"c/node/n0"') &&
    lost++ === 0
      ? 6000
      : 'deliver';
  for (const n of NODES) c.startNode(n);
  const shown = () => c.state.value('c/node/n0') as { lease: number; aside?: boolean } | undefined;
  await c.clock.advance(20_000);
  assert.ok(lost > 1, 'written once more');
  assert.equal(
    shown()?.lease,
    c.nodes.get('n0')!.node.membership.leaseId,
    'present under the lease that it has',
  );
  const { membership: members } = c.nodes.get('n0')!.node;
  lost = 0;
  void members.publishCordoned(true).catch(() => undefined);
  await c.clock.advance(3000);
  void members.publishCordoned(false).catch(() => undefined);
  await c.clock.advance(12_000);
  assert.equal(shown()?.aside ?? false, false);
  // What could not be told at all is told with a later renewal.
  c.net.fate = (from, addr, _method, path) =>
    from === 'n0' && addr === STATE && path === '/txn' ? 'refuse' : 'deliver';
  void members.publishCordoned(true).catch(() => undefined);
  await c.clock.advance(1000);
  c.net.fate = () => 'deliver';
  await c.clock.advance(5000);
  assert.equal(shown()?.aside, true);
});

// Guards against a chunk of done tasks that a late write leaves behind for good, after the job's end.
test('a late write of done tasks finds its job over', async () => {
  const { c, k } = await busy(1);
  const owner = c.owner(k)!;
  let late = 0;
  c.net.fate = (from, addr, _method, path, body) =>
    from === owner &&
    addr === STATE &&
    path === '/txn' &&
    JSON.stringify(body).includes('"act/wk-1/0"') &&
    late++ === 0
      ? 11_000
      : 'deliver';
  c.workers.find((w) => w.on('wk-1/0'))!.end('wk-1/0', 'done');
  await c.clock.advance(2500);
  assert.equal(late, 1);
  assert.equal((await c.call(owner, 'POST', '/api/jobs/wk-1/abort')).status, 200);
  await c.clock.advance(15_000);
  assert.deepEqual(
    [...c.state.items.keys()].filter((key) => key.startsWith('act/')),
    [],
  );
});

test('a lease of a node is as short as cancellations need it, and where none is short enough that is said', () => {
  // The known sites, and tighter ones.
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

// Guards against a copy of the keys that misses a change for good: a watch ended while its node was refused, with a revision of which
// it had not told the changes, and a shard that nobody had was taken for somebody's.
test('an empty answer to a watch does not move the copy of the keys on', async () => {
  const clock = new FakeClock();
  const asked: number[] = [];
  const answers: Change[][] = [[], [{ key: 'c/own/0', gone: true, version: 9 }]];
  const store = {
    list: async () => ({ entries: [{ key: 'c/own/0', value: {}, version: 4 }], revision: 7 }),
    watch: async (_under: string, since: number) => {
      asked.push(since);
      const changes = answers.shift();
      return changes ? { revision: 20, changes } : new Promise<never>(() => undefined);
    },
  };
  const stateCache = new ClusterStateCache(clock, store, 'c/', pino({ level: 'silent' }), () => undefined);
  void stateCache.run();
  await clock.advance(1000);
  assert.deepEqual(asked, [7, 7, 20]);
  assert.equal(stateCache.entries.size, 0);
});
