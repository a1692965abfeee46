import assert from 'node:assert/strict';
import { test } from 'node:test';
import pino from 'pino';
import type { ChangeSource } from '../../src/changefeed/changefeed.js';
import { ChangeLog } from '../../src/changefeed/changelog.js';
import { sourceOrder } from '../../src/changefeed/sourceorder.js';
import { minWatchIntervalMs } from '../../src/changefeed/watchpacing.js';
import { ClusterStateCache } from '../../src/controller/clusterstatecache.js';
import type { Change } from '../../src/wire/state.js';
import { FakeClock } from '../support/clock.js';
import { FakeCluster, job } from '../support/cluster.js';
import { FeedCluster } from '../support/feeds.js';

const names = (n: number) => Array.from({ length: n }, (_, i) => `n${i}`);
/**
 * Maximum time for a change to reach all nodes; it leaves time for the steps that follow within the limit for
 * configuration changes.
 */
const MAX_PROPAGATION_MS = 1000;

async function startCluster(nodes: string[], regionOf?: (node: string) => string): Promise<FeedCluster> {
  const cluster = new FeedCluster(nodes, regionOf);
  cluster.writeRecord('c/first');
  await cluster.clock.advance(3000);
  cluster.requests.clear();
  return cluster;
}

/** Changes a record `times` times, `everyMs` apart; fails if a node that is up does not learn of a change in time. */
async function assertChangesReachAll(
  cluster: FeedCluster,
  times: number,
  everyMs: number,
  except: string[] = [],
): Promise<void> {
  for (let i = 0; i < times; i++) {
    const version = cluster.writeRecord(`c/record/${i % 3}`);
    assert.ok(
      await cluster.isKnownWithin(`c/record/${i % 3}`, version, MAX_PROPAGATION_MS, except),
      `change ${i} is not known: ${[...cluster.nodes].filter(([, n]) => n.stateCache.entries.get(`c/record/${i % 3}`)?.version !== version).map(([name, n]) => `${name} by ${n.feed.source}`)}`,
    );
    await cluster.clock.advance(everyMs);
  }
}

test('two nodes in each region watch the key-value store, and the other nodes receive every change from them', async () => {
  const cluster = await startCluster(names(9), (n) => (Number(n.slice(1)) < 5 ? 'one' : 'two'));
  await assertChangesReachAll(cluster, 40, 500);
  for (const name of ['n0', 'n1', 'n5', 'n6']) {
    assert.equal(cluster.nodes.get(name)!.feed.source, null, name);
    assert.ok(cluster.watchCount(name) > 0, name);
  }
  for (const name of ['n2', 'n3', 'n4']) assert.equal(cluster.nodes.get(name)!.feed.source, 'n0');
  for (const name of ['n7', 'n8']) assert.equal(cluster.nodes.get(name)!.feed.source, 'n5');
  for (const name of ['n2', 'n3', 'n4', 'n7', 'n8']) assert.equal(cluster.watchCount(name), 0, name);
});

test('followers replace a source that dies during a stream at once, without listing the store again', async () => {
  const cluster = await startCluster(names(6));
  await assertChangesReachAll(cluster, 5, 100);
  cluster.nodes.get('n0')!.down = true;
  cluster.cut.add('n0>n2').add('n0>n3').add('n0>n4').add('n0>n5').add('n0>n1');
  await assertChangesReachAll(cluster, 20, 100);
  for (const name of ['n2', 'n3', 'n4', 'n5']) {
    assert.equal(cluster.nodes.get(name)!.feed.source, 'n1');
    assert.equal(cluster.requests.get(`${name} list`) ?? 0, 0);
  }
});

test('followers switch to another source when theirs is frozen with its connections open', async () => {
  const cluster = await startCluster(names(6));
  await assertChangesReachAll(cluster, 3, 100);
  cluster.nodes.get('n0')!.down = true;
  const version = cluster.writeRecord('c/late');
  assert.ok(await cluster.isKnownWithin('c/late', version, 1500));
  await assertChangesReachAll(cluster, 10, 200);
});

for (const regions of [1, 2]) {
  test(`a source that the key-value store refuses is left within a second and becomes a follower (regions: ${regions})`, async () => {
    const cluster = await startCluster(names(8), (n) => `${Number(n.slice(1)) % regions}`);
    await assertChangesReachAll(cluster, 3, 300);
    cluster.state.refusedCallers.add('n0');
    await assertChangesReachAll(cluster, 12, 300);
    assert.notEqual(cluster.nodes.get('n0')!.feed.source, null);
    for (const name of ['n4', 'n5', 'n6', 'n7']) assert.equal(cluster.watchCount(name), 0, name);
    cluster.state.refusedCallers.delete('n0');
    await cluster.clock.advance(15_000);
    await assertChangesReachAll(cluster, 5, 300);
    assert.equal(cluster.nodes.get('n0')!.feed.source, null, 'the former source watches again');
  });
}

test('two sources that are both cut off from the key-value store do not hold back their followers', async () => {
  const cluster = await startCluster(names(6));
  await assertChangesReachAll(cluster, 3, 300);
  for (const name of ['n0', 'n1']) {
    cluster.state.refusedCallers.add(name);
    cluster.nodes.get(name)!.stateStoreReachable = false;
  }
  await cluster.clock.advance(1500);
  await assertChangesReachAll(cluster, 10, 300);
  const watching = [...cluster.nodes].filter(([, n]) => n.feed.source === null).map(([name]) => name);
  assert.deepEqual(watching, ['n2'], 'all other nodes follow n2, including the two sources');
});

test('a source whose watches fail follows the other source, and watches again once its watches succeed', async () => {
  const cluster = await startCluster(names(5));
  cluster.net.outcomeOf = (from, _addr, _method, path) =>
    from === 'n0' && path.startsWith('/watch') ? 'refuse' : 'deliver';
  await assertChangesReachAll(cluster, 20, 150);
  assert.equal(cluster.nodes.get('n0')!.feed.source, 'n1');
  cluster.net.outcomeOf = () => 'deliver';
  await cluster.clock.advance(12_000);
  await assertChangesReachAll(cluster, 3, 150);
  assert.equal(cluster.nodes.get('n0')!.feed.source, null);
});

test('a cache of the keys ignores changes older than its own revision, whatever their source', async () => {
  const clock = new FakeClock();
  const answers = [
    {
      revision: 20,
      changes: [
        { key: 'c/new', value: 1, version: 15 },
        { key: 'c/old', gone: true as const, version: 18 },
      ],
    },
    {
      revision: 25,
      changes: [
        { key: 'c/old', value: 'late', version: 12 },
        { key: 'c/new', value: 2, version: 24 },
      ],
    },
  ];
  const source: ChangeSource = {
    list: async () => ({ entries: [{ key: 'c/old', value: 0, version: 5 }], revision: 10 }),
    watch: async () => answers.shift() ?? new Promise(() => undefined),
  };
  const stateCache = new ClusterStateCache(clock, source, 'c/', pino({ level: 'silent' }), () => undefined);
  void stateCache.run();
  await clock.advance(1000);
  assert.deepEqual([...stateCache.entries.keys()], ['c/new']);
  assert.deepEqual([stateCache.entries.get('c/new')?.version, stateCache.revision], [24, 25]);
});

test('followers cut off from their source switch to the other source, and without either to the store', async () => {
  const cluster = await startCluster(names(6));
  cluster.cut.add('n0>n3');
  await assertChangesReachAll(cluster, 10, 100);
  assert.equal(cluster.nodes.get('n3')!.feed.source, 'n1');
  for (const other of ['n1', 'n2', 'n4', 'n5']) cluster.cut.add(`${other}>n3`);
  const version = cluster.writeRecord('c/alone');
  assert.ok(await cluster.isKnownWithin('c/alone', version, MAX_PROPAGATION_MS + 500));
  await assertChangesReachAll(cluster, 5, 600);
  assert.equal(cluster.nodes.get('n3')!.feed.source, null);
  // A follower without a source has its own rate limit: it never watches as often as a first source does.
  cluster.requests.clear();
  for (let i = 0; i < 100; i++) {
    cluster.writeRecord('c/quick');
    await cluster.clock.advance(50);
  }
  assert.ok(cluster.watchCount('n3') <= 15, `${cluster.watchCount('n3')} watches in 5 s`);
  assert.ok(cluster.watchCount('n3') >= 8);
});

test('drops an answer that does not follow the known revision, and reads changes a source lacks elsewhere', async () => {
  const cluster = await startCluster(names(5));
  // From now on the first source's answers to n2 omit a change: they follow a later revision.
  cluster.alterAnswer = (answer, from, to) => {
    const batch = answer as { since?: number; changes?: unknown[] };
    if (from !== 'n2' || to !== 'n0' || !batch.changes) return answer;
    return { ...batch, since: batch.since! + 1, changes: batch.changes.slice(1) };
  };
  await assertChangesReachAll(cluster, 20, 100);
  for (const [key, item] of cluster.state.items)
    assert.equal(cluster.nodes.get('n2')!.stateCache.entries.get(key)?.version, item.version);
  // Neither source keeps the changes that n3 lacks: one watch of the key-value store returns them all, without a
  // list.
  cluster.alterAnswer = (answer, from) =>
    from === 'n3' && 'changes' in (answer as object) ? { refused: 'gap' } : answer;
  await assertChangesReachAll(cluster, 3, 700);
  assert.ok(cluster.watchCount('n3') > 0);
  assert.equal(cluster.requests.get('n3 list') ?? 0, 0);
});

test('nodes never follow each other in a circle, even if their views of the order differ', async () => {
  const cluster = await startCluster(names(4));
  // Each node considers the two nodes after it to be the sources.
  cluster.presenceSeenBy.set('n0', ['n1', 'n2', 'n0', 'n3']);
  cluster.presenceSeenBy.set('n1', ['n2', 'n3', 'n1', 'n0']);
  cluster.presenceSeenBy.set('n2', ['n3', 'n0', 'n2', 'n1']);
  cluster.presenceSeenBy.set('n3', ['n0', 'n1', 'n3', 'n2']);
  await cluster.clock.advance(1500);
  await assertChangesReachAll(cluster, 20, 400);
  for (const [name, node] of cluster.nodes) {
    const { source } = node.feed;
    if (source !== null)
      assert.equal(cluster.nodes.get(source)!.feed.source, null, `${name} follows ${source}`);
  }
});

test('when all sources are lost at once, one other node watches and the rest follow it', async () => {
  const cluster = await startCluster(names(12));
  await assertChangesReachAll(cluster, 3, 100);
  for (const lost of ['n0', 'n1']) {
    cluster.nodes.get(lost)!.down = true;
    for (const other of cluster.nodes.keys()) cluster.cut.add(`${lost}>${other}`);
  }
  cluster.requests.clear();
  const version = cluster.writeRecord('c/after');
  assert.ok(await cluster.isKnownWithin('c/after', version, MAX_PROPAGATION_MS));
  await assertChangesReachAll(cluster, 5, 200);
  const watching = [...cluster.nodes]
    .filter(([name, n]) => !n.down && cluster.watchCount(name) > 0)
    .map(([name]) => name);
  assert.deepEqual(watching, ['n2']);
});

test('a node that missed more changes than the store keeps lists the keys again, without effect on others', async () => {
  const cluster = await startCluster(names(4));
  const gone = cluster.writeRecord('c/gone');
  assert.ok(await cluster.isKnownWithin('c/gone', gone, MAX_PROPAGATION_MS));
  cluster.nodes.get('n3')!.down = true;
  cluster.deleteRecord('c/gone');
  for (let i = 0; i < 11_500; i++) {
    cluster.writeRecord(`c/many/${i % 50}`);
    if (i % 100 === 0) await cluster.clock.advance(300);
  }
  await cluster.clock.advance(1000);
  const node = cluster.nodes.get('n3')!;
  node.down = false;
  void node.stateCache.run();
  const version = cluster.writeRecord('c/last');
  assert.ok(await cluster.isKnownWithin('c/last', version, 5000));
  assert.ok(!node.stateCache.entries.has('c/gone'));
  assert.equal(cluster.requests.get('n3 list'), 1);
  for (const name of ['n0', 'n1', 'n2']) assert.equal(cluster.requests.get(`${name} list`) ?? 0, 0);
});

test('ignores a late answer from a source that the follower has left', async () => {
  const cluster = await startCluster(names(4));
  const n3 = cluster.nodes.get('n3')!;
  // Answers from n0 to n3 take two seconds, so that n3 has switched to n1 long before they arrive.
  cluster.answerMs = (from, to, op) => (from === 'n3' && to === 'n0' && op === 'changes' ? 2000 : 0);
  const old = cluster.writeRecord('c/deleted');
  assert.ok(await cluster.isKnownWithin('c/deleted', old, 2000));
  assert.equal(n3.feed.source, 'n1');
  const dropped = cluster.deleteRecord('c/deleted');
  assert.ok(await cluster.clock.until(() => !n3.stateCache.entries.has('c/deleted'), MAX_PROPAGATION_MS));
  assert.ok(n3.stateCache.revision >= dropped);
  for (let i = 0; i < 40; i++) {
    await cluster.clock.advance(100);
    assert.ok(!n3.stateCache.entries.has('c/deleted'), 'the deleted key reappeared');
    assert.ok(n3.stateCache.revision >= dropped);
  }
});

test('a follower that reconnects within a fraction of a second resumes without using the key-value store', async () => {
  const cluster = await startCluster(names(5));
  await assertChangesReachAll(cluster, 3, 100);
  cluster.requests.clear();
  for (const source of ['n0', 'n1']) cluster.cut.add(`${source}>n4`);
  const missed = [cluster.writeRecord('c/one'), cluster.writeRecord('c/two')];
  await cluster.clock.advance(100);
  cluster.cut.clear();
  assert.ok(await cluster.isKnownWithin('c/two', missed[1]!, MAX_PROPAGATION_MS));
  assert.equal(cluster.nodes.get('n4')!.stateCache.entries.get('c/one')?.version, missed[0]);
  assert.equal(cluster.watchCount('n4') + (cluster.requests.get('n4 list') ?? 0), 0);
});

test('only the order of presence determines the sources: restarted nodes come last, regions have their own', () => {
  const regionOf = (node: string) => (node < 'm' ? 'one' : 'two');
  const present = ['c', 'a', 'b', 'x', 'y', 'z'].map((node, version) => ({ node, version: version + 1 }));
  const order = (self: string) => sourceOrder(self, present, regionOf);
  assert.deepEqual(
    [order('c').position, order('c').isSource, order('c').candidates],
    [0, true, ['a', 'b', 'x', 'y']],
  );
  assert.deepEqual(
    [order('b').position, order('b').isSource, order('b').candidates],
    [2, false, ['c', 'a', 'x', 'y']],
  );
  assert.deepEqual(order('z').candidates, ['x', 'y', 'c', 'a']);
  assert.deepEqual(order('z').progressPeers, ['c', 'a', 'x', 'y']);
  assert.deepEqual(
    order('a').progressPeers,
    ['c', 'b', 'x', 'y'],
    'the second source checks its first source',
  );
  assert.equal(order('c').regionCount, 2);
  // Node `c` restarts: its presence now has the highest revision.
  present[0]!.version = 9;
  assert.deepEqual([order('a').position, order('c').position], [0, 2]);
  // A node that is missing from its own cache is placed after all present nodes.
  assert.equal(order('d').position, 3);
  assert.equal(order('d').isSource, false);
});

test('a change log returns changes in whole revisions, and reports when it does not reach back far enough', () => {
  const log = new ChangeLog();
  const change = (version: number, key = `c/${version}`): Change => ({
    key,
    value: 'x'.repeat(100),
    version,
  });
  log.startFrom(10);
  log.append({ since: 10, revision: 14, changes: [change(14), change(12)] });
  assert.deepEqual(
    log.after(10)!.changes.map((c) => c.version),
    [12, 14],
  );
  assert.equal(log.after(9), null);
  assert.deepEqual(log.after(14), { since: 14, revision: 14, changes: [] });
  assert.equal(log.after(99)!.revision, 99, 'a follower that is ahead gets no changes');
  // The changes of one revision are never split.
  const wide = Array.from({ length: 450 }, (_, i) => change(20 + Math.floor(i / 150), `c/wide/${i}`));
  log.append({ since: 14, revision: 30, changes: wide });
  const first = log.after(14)!;
  assert.deepEqual([first.changes.length, first.revision], [300, 21]);
  const rest = log.after(first.revision)!;
  assert.deepEqual([rest.changes.length, rest.revision], [150, 30]);
  // Large values make shorter batches.
  const big = Array.from(
    { length: 100 },
    (_, i): Change => ({ key: 'c/big', value: 'y'.repeat(16_000), version: 40 + i }),
  );
  log.append({ since: 30, revision: 200, changes: big });
  assert.ok(log.after(30)!.changes.length < 20);
  // A batch that does not follow the end of the log restarts it.
  log.append({ since: 500, revision: 501, changes: [change(501)] });
  assert.equal(log.after(200), null);
  assert.equal(log.lastChange, 501);
});

test('sources watch less often the more nodes share the rate, and at the maximum useful rate with few nodes', () => {
  for (const nodes of [3, 5]) assert.equal(minWatchIntervalMs(true, 1, 200 / nodes), 80, `${nodes} nodes`);
  assert.equal(minWatchIntervalMs(false, 1, 200 / 3), 80);
  for (const regions of [1, 2, 3]) {
    const first = 1000 / minWatchIntervalMs(true, regions, 200 / 17);
    const second = 1000 / minWatchIntervalMs(false, regions, 200 / 17);
    assert.ok(regions * (first + second) < 200 * 0.08, `${regions * (first + second)} a second of 200`);
  }
  assert.ok(minWatchIntervalMs(false, 1, 200 / 17) > minWatchIntervalMs(true, 1, 200 / 17));
});

// Guards against followers that, while their source is behind, keep sending work and machines to an owner that has
// lost its shard.
test('jobs are accepted and run once while the followers’ source is refused and its shard changes owner', async () => {
  for (const fault of ['refused', 'frozen'] as const) {
    const nodes = names(5);
    const cluster = new FakeCluster(nodes);
    cluster.standby = true;
    cluster.teams = nodes.map((_, i) => ({ name: `team-${i}`, cpus: 8, cpusMax: 64, gpus: 0, gpusMax: 0 }));
    for (let i = 0; i < 10; i++) cluster.addWorker('c8', 'a');
    for (const n of nodes) cluster.startNode(n);
    await cluster.clock.advance(15_000);
    const source = cluster.nodes.get('n4')!.node.membership.changeFeed.source;
    assert.ok(source !== null, 'n4 follows');
    const behind = nodes.findIndex((n) => cluster.owner(nodes.indexOf(n)) === source);
    const unfreeze = fault === 'frozen' ? cluster.freeze(source) : null;
    if (fault === 'refused') cluster.state.refusedCallers.add(source);
    const ids: string[] = [];
    const otherNodes = nodes.filter((n) => n !== source);
    for (let i = 0; i < 15; i++) {
      const id = `wk-${i}`;
      assert.ok(
        await cluster.submit(
          otherNodes[i % otherNodes.length]!,
          job(id, { owner: `team-${i % 5}`, cpus: 4 }),
        ),
        id,
      );
      ids.push(id);
      await cluster.clock.advance(400);
    }
    assert.notEqual(cluster.owner(behind), source, 'another node has taken over its shard');
    unfreeze?.();
    cluster.state.refusedCallers.clear();
    await cluster.clock.advance(30_000);
    for (const id of ids) {
      const starts = cluster.workers.flatMap((w) => w.executedStarts).filter((task) => task === `${id}/0`);
      assert.equal(starts.length, 1, `${id} after the fault of its source: ${fault}`);
    }
    const leaderVersion = cluster.state.items.get('c/lead')!.version;
    for (const n of nodes)
      assert.equal(
        cluster.nodes.get(n)!.node.membership.stateCache.entries.get('c/lead')?.version,
        leaderVersion,
        n,
      );
  }
});

test('changes reach nodes of the production version too, and these are never sent requests they do not know', async () => {
  const nodes = names(6);
  const cluster = new FakeCluster(nodes);
  for (const n of ['n0', 'n2']) cluster.previousVersionNodes.add(n);
  for (let i = 0; i < 6; i++) cluster.addWorker('c8', 'a');
  for (const n of nodes) cluster.startNode(n);
  await cluster.clock.advance(15_000);
  cluster.sentMessages.length = 0;
  for (let i = 0; i < 6; i++) {
    assert.ok(await cluster.submit(nodes[i]!, job(`wk-${i}`)), nodes[i]);
    void cluster.state.serve('POST', '/txn', { when: [], writes: [{ set: 'c/record', value: i }] });
    await cluster.clock.advance(1000);
    for (const n of nodes)
      assert.equal(cluster.nodes.get(n)!.node.membership.stateCache.entries.get('c/record')?.value, i, n);
  }
  const currentNodes = ['n1', 'n3', 'n4', 'n5'];
  const requests = cluster.sentMessages.filter(
    (m) => ['changes', 'changesHead', 'rates'].includes(m.op) && currentNodes.includes(m.from),
  );
  assert.ok(requests.some((m) => m.op === 'changes'));
  assert.deepEqual(
    [...new Set(requests.map((m) => m.to))].filter((to) => cluster.previousVersionNodes.has(to)),
    [],
  );
  // The remaining nodes of the production version are replaced, so that all nodes run this version.
  for (const n of ['n0', 'n2']) {
    cluster.killNode(n);
    cluster.previousVersionNodes.delete(n);
    await cluster.clock.advance(2000);
    cluster.startNode(n);
    await cluster.clock.advance(15_000);
  }
  const watching = nodes.filter((n) => cluster.nodes.get(n)!.node.membership.changeFeed.source === null);
  assert.equal(watching.length, 2, `${watching} watch`);
});
