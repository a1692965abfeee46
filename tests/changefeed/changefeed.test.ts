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
/** All that configuration is allowed, with room for what comes after. */
const SOON_MS = 1000;

async function started(nodes: string[], regionOf?: (node: string) => string): Promise<FeedCluster> {
  const c = new FeedCluster(nodes, regionOf);
  c.change('c/first');
  await c.clock.advance(3000);
  c.requests.clear();
  return c;
}

/** Changes a record every so often; fails when a node that is up does not know one of them in time. */
async function everyoneKnows(
  c: FeedCluster,
  times: number,
  everyMs: number,
  but: string[] = [],
): Promise<void> {
  for (let i = 0; i < times; i++) {
    const version = c.change(`c/record/${i % 3}`);
    assert.ok(
      await c.knownWithin(`c/record/${i % 3}`, version, SOON_MS, but),
      `change ${i} is not known: ${[...c.nodes].filter(([, n]) => n.stateCache.entries.get(`c/record/${i % 3}`)?.version !== version).map(([name, n]) => `${name} by ${n.feed.source}`)}`,
    );
    await c.clock.advance(everyMs);
  }
}

test('two nodes in each region watch the state service, and every change reaches the others by way of them', async () => {
  const c = await started(names(9), (n) => (Number(n.slice(1)) < 5 ? 'one' : 'two'));
  await everyoneKnows(c, 40, 500);
  for (const name of ['n0', 'n1', 'n5', 'n6']) {
    assert.equal(c.nodes.get(name)!.feed.source, null, name);
    assert.ok(c.watches(name) > 0, name);
  }
  for (const name of ['n2', 'n3', 'n4']) assert.equal(c.nodes.get(name)!.feed.source, 'n0');
  for (const name of ['n7', 'n8']) assert.equal(c.nodes.get(name)!.feed.source, 'n5');
  for (const name of ['n2', 'n3', 'n4', 'n7', 'n8']) assert.equal(c.watches(name), 0, name);
});

test('a source that dies in the middle of a stream is replaced at once, and nothing is read twice from the state service', async () => {
  const c = await started(names(6));
  await everyoneKnows(c, 5, 100);
  c.nodes.get('n0')!.down = true;
  c.cut.add('n0>n2').add('n0>n3').add('n0>n4').add('n0>n5').add('n0>n1');
  await everyoneKnows(c, 20, 100);
  for (const name of ['n2', 'n3', 'n4', 'n5']) {
    assert.equal(c.nodes.get(name)!.feed.source, 'n1');
    assert.equal(c.requests.get(`${name} list`) ?? 0, 0);
  }
});

test('a source that stands still with its connections open is left for another', async () => {
  const c = await started(names(6));
  await everyoneKnows(c, 3, 100);
  c.nodes.get('n0')!.down = true;
  const version = c.change('c/late');
  assert.ok(await c.knownWithin('c/late', version, 1500));
  await everyoneKnows(c, 10, 200);
});

for (const regions of [1, 2]) {
  test(`a source that the state service refuses is left within a second, and follows another one itself (regions: ${regions})`, async () => {
    const c = await started(names(8), (n) => `${Number(n.slice(1)) % regions}`);
    await everyoneKnows(c, 3, 300);
    c.state.refusing.add('n0');
    await everyoneKnows(c, 12, 300);
    assert.notEqual(c.nodes.get('n0')!.feed.source, null);
    for (const name of ['n4', 'n5', 'n6', 'n7']) assert.equal(c.watches(name), 0, name);
    c.state.refusing.delete('n0');
    await c.clock.advance(15_000);
    await everyoneKnows(c, 5, 300);
    assert.equal(c.nodes.get('n0')!.feed.source, null, 'it watches again');
  });
}

test('two sources that are cut off from the state service together keep nobody where they are', async () => {
  const c = await started(names(6));
  await everyoneKnows(c, 3, 300);
  for (const name of ['n0', 'n1']) {
    c.state.refusing.add(name);
    c.nodes.get(name)!.served = false;
  }
  await c.clock.advance(1500);
  await everyoneKnows(c, 10, 300);
  const watching = [...c.nodes].filter(([, n]) => n.feed.source === null).map(([name]) => name);
  assert.deepEqual(watching, ['n2'], 'the others follow it, the two sources as well');
});

test('a source whose watches fail follows the other one, and watches again when they are served', async () => {
  const c = await started(names(5));
  c.net.fate = (from, _addr, _method, path) =>
    from === 'n0' && path.startsWith('/watch') ? 'refuse' : 'deliver';
  await everyoneKnows(c, 20, 150);
  assert.equal(c.nodes.get('n0')!.feed.source, 'n1');
  c.net.fate = () => 'deliver';
  await c.clock.advance(12_000);
  await everyoneKnows(c, 3, 150);
  assert.equal(c.nodes.get('n0')!.feed.source, null);
});

test('a copy of the keys takes no change from before its own revision, whoever tells it', async () => {
  const clock = new FakeClock();
  const told = [
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
    watch: async () => told.shift() ?? new Promise(() => undefined),
  };
  const stateCache = new ClusterStateCache(clock, source, 'c/', pino({ level: 'silent' }), () => undefined);
  void stateCache.run();
  await clock.advance(1000);
  assert.deepEqual([...stateCache.entries.keys()], ['c/new']);
  assert.deepEqual([stateCache.entries.get('c/new')?.version, stateCache.revision], [24, 25]);
});

test('followers that are cut off from their source go to the other one, and to the state service without either', async () => {
  const c = await started(names(6));
  c.cut.add('n0>n3');
  await everyoneKnows(c, 10, 100);
  assert.equal(c.nodes.get('n3')!.feed.source, 'n1');
  for (const other of ['n1', 'n2', 'n4', 'n5']) c.cut.add(`${other}>n3`);
  const version = c.change('c/alone');
  assert.ok(await c.knownWithin('c/alone', version, SOON_MS + 500));
  await everyoneKnows(c, 5, 600);
  assert.equal(c.nodes.get('n3')!.feed.source, null);
  // At a rate of its own: it never watches as often as a first source does.
  c.requests.clear();
  for (let i = 0; i < 100; i++) {
    c.change('c/quick');
    await c.clock.advance(50);
  }
  assert.ok(c.watches('n3') <= 15, `${c.watches('n3')} watches in 5 s`);
  assert.ok(c.watches('n3') >= 8);
});

test('an answer that does not follow what is known is dropped, and what a source does not keep is read elsewhere', async () => {
  const c = await started(names(5));
  // From now on the first source's answers to n2 leave a change out: they follow a later revision.
  c.tamper = (answer, from, to) => {
    const batch = answer as { since?: number; changes?: unknown[] };
    if (from !== 'n2' || to !== 'n0' || !batch.changes) return answer;
    return { ...batch, since: batch.since! + 1, changes: batch.changes.slice(1) };
  };
  await everyoneKnows(c, 20, 100);
  for (const [key, item] of c.state.items)
    assert.equal(c.nodes.get('n2')!.stateCache.entries.get(key)?.version, item.version);
  // Neither source keeps what n3 lacks: one watch at the state service brings all of it, and no list.
  c.tamper = (answer, from) =>
    from === 'n3' && 'changes' in (answer as object) ? { refused: 'gap' } : answer;
  await everyoneKnows(c, 3, 700);
  assert.ok(c.watches('n3') > 0);
  assert.equal(c.requests.get('n3 list') ?? 0, 0);
});

test('nodes never follow in a circle, whatever they take the order to be', async () => {
  const c = await started(names(4));
  // Each takes the two after it for the sources.
  c.seenBy.set('n0', ['n1', 'n2', 'n0', 'n3']);
  c.seenBy.set('n1', ['n2', 'n3', 'n1', 'n0']);
  c.seenBy.set('n2', ['n3', 'n0', 'n2', 'n1']);
  c.seenBy.set('n3', ['n0', 'n1', 'n3', 'n2']);
  await c.clock.advance(1500);
  await everyoneKnows(c, 20, 400);
  for (const [name, node] of c.nodes) {
    const { source } = node.feed;
    if (source !== null) assert.equal(c.nodes.get(source)!.feed.source, null, `${name} follows ${source}`);
  }
});

test('when all sources are lost at once, one of the others watches and the rest follow it', async () => {
  const c = await started(names(12));
  await everyoneKnows(c, 3, 100);
  for (const lost of ['n0', 'n1']) {
    c.nodes.get(lost)!.down = true;
    for (const other of c.nodes.keys()) c.cut.add(`${lost}>${other}`);
  }
  c.requests.clear();
  const version = c.change('c/after');
  assert.ok(await c.knownWithin('c/after', version, SOON_MS));
  await everyoneKnows(c, 5, 200);
  const watching = [...c.nodes].filter(([name, n]) => !n.down && c.watches(name) > 0).map(([name]) => name);
  assert.deepEqual(watching, ['n2']);
});

test('a node that missed more changes than the state service keeps reads the keys anew; the others notice nothing', async () => {
  const c = await started(names(4));
  const gone = c.change('c/gone');
  assert.ok(await c.knownWithin('c/gone', gone, SOON_MS));
  c.nodes.get('n3')!.down = true;
  c.drop('c/gone');
  for (let i = 0; i < 11_500; i++) {
    c.change(`c/many/${i % 50}`);
    if (i % 100 === 0) await c.clock.advance(300);
  }
  await c.clock.advance(1000);
  const node = c.nodes.get('n3')!;
  node.down = false;
  void node.stateCache.run();
  const version = c.change('c/last');
  assert.ok(await c.knownWithin('c/last', version, 5000));
  assert.ok(!node.stateCache.entries.has('c/gone'));
  assert.equal(c.requests.get('n3 list'), 1);
  for (const name of ['n0', 'n1', 'n2']) assert.equal(c.requests.get(`${name} list`) ?? 0, 0);
});

test('what a former source sends after its follower has gone to another one changes nothing', async () => {
  const c = await started(names(4));
  const n3 = c.nodes.get('n3')!;
  // Its answers to n3 are under way for two seconds, so that n3 has long gone to n1 when they come.
  c.answerMs = (from, to, op) => (from === 'n3' && to === 'n0' && op === 'changes' ? 2000 : 0);
  const old = c.change('c/deleted');
  assert.ok(await c.knownWithin('c/deleted', old, 2000));
  assert.equal(n3.feed.source, 'n1');
  const dropped = c.drop('c/deleted');
  assert.ok(await c.clock.until(() => !n3.stateCache.entries.has('c/deleted'), SOON_MS));
  assert.ok(n3.stateCache.revision >= dropped);
  for (let i = 0; i < 40; i++) {
    await c.clock.advance(100);
    assert.ok(!n3.stateCache.entries.has('c/deleted'), 'it came back');
    assert.ok(n3.stateCache.revision >= dropped);
  }
});

test('a follower that is back within a fraction of a second goes on where it was, without the state service', async () => {
  const c = await started(names(5));
  await everyoneKnows(c, 3, 100);
  c.requests.clear();
  for (const source of ['n0', 'n1']) c.cut.add(`${source}>n4`);
  const missed = [c.change('c/one'), c.change('c/two')];
  await c.clock.advance(100);
  c.cut.clear();
  assert.ok(await c.knownWithin('c/two', missed[1]!, SOON_MS));
  assert.equal(c.nodes.get('n4')!.stateCache.entries.get('c/one')?.version, missed[0]);
  assert.equal(c.watches('n4') + (c.requests.get('n4 list') ?? 0), 0);
});

test('the order of presence decides alone, a restarted node comes last, and regions have their own sources', () => {
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
  assert.deepEqual(order('a').progressPeers, ['c', 'b', 'x', 'y'], 'the second looks after its first');
  assert.equal(order('c').regionCount, 2);
  // `c` comes back: what it wrote last is the newest.
  present[0]!.version = 9;
  assert.deepEqual([order('a').position, order('c').position], [0, 2]);
  // One that is not there by this node's own copy follows all that are.
  assert.equal(order('d').position, 3);
  assert.equal(order('d').isSource, false);
});

test('a log gives what follows a revision in whole revisions, and says when it does not reach back so far', () => {
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
  assert.equal(log.after(99)!.revision, 99, 'whoever is further has nothing to learn');
  // Many changes of one revision stay together.
  const wide = Array.from({ length: 450 }, (_, i) => change(20 + Math.floor(i / 150), `c/wide/${i}`));
  log.append({ since: 14, revision: 30, changes: wide });
  const first = log.after(14)!;
  assert.deepEqual([first.changes.length, first.revision], [300, 21]);
  const rest = log.after(first.revision)!;
  assert.deepEqual([rest.changes.length, rest.revision], [150, 30]);
  // Large values make shorter answers.
  const big = Array.from(
    { length: 100 },
    (_, i): Change => ({ key: 'c/big', value: 'y'.repeat(16_000), version: 40 + i }),
  );
  log.append({ since: 30, revision: 200, changes: big });
  assert.ok(log.after(30)!.changes.length < 20);
  // What does not follow begins anew.
  log.append({ since: 500, revision: 501, changes: [change(501)] });
  assert.equal(log.after(200), null);
  assert.equal(log.lastChange, 501);
});

test('the more nodes share the rate, the less often each source watches, and few nodes watch as often as is worth it', () => {
  for (const nodes of [3, 5]) assert.equal(minWatchIntervalMs(true, 1, 200 / nodes), 80, `${nodes} nodes`);
  assert.equal(minWatchIntervalMs(false, 1, 200 / 3), 80);
  for (const regions of [1, 2, 3]) {
    const first = 1000 / minWatchIntervalMs(true, regions, 200 / 17);
    const second = 1000 / minWatchIntervalMs(false, regions, 200 / 17);
    assert.ok(regions * (first + second) < 200 * 0.08, `${regions * (first + second)} a second of 200`);
  }
  assert.ok(minWatchIntervalMs(false, 1, 200 / 17) > minWatchIntervalMs(true, 1, 200 / 17));
});

// Guards against followers that send work and machines to an owner that is none any more, for as long as their source is behind.
test('while the source of the others is refused and its shards change hands, jobs are accepted and run once', async () => {
  for (const trouble of ['refused', 'frozen'] as const) {
    const nodes = names(5);
    const c = new FakeCluster(nodes);
    c.standby = true;
    c.teams = nodes.map((_, i) => ({ name: `team-${i}`, cpus: 8, cpusMax: 64, gpus: 0, gpusMax: 0 }));
    for (let i = 0; i < 10; i++) c.addWorker('c8', 'a');
    for (const n of nodes) c.startNode(n);
    await c.clock.advance(15_000);
    const source = c.nodes.get('n4')!.node.membership.changeFeed.source;
    assert.ok(source !== null, 'n4 follows');
    const behind = nodes.findIndex((n) => c.owner(nodes.indexOf(n)) === source);
    const awake = trouble === 'frozen' ? c.freeze(source) : null;
    if (trouble === 'refused') c.state.refusing.add(source);
    const ids: string[] = [];
    const asked = nodes.filter((n) => n !== source);
    for (let i = 0; i < 15; i++) {
      const id = `wk-${i}`;
      assert.ok(await c.submit(asked[i % asked.length]!, job(id, { owner: `team-${i % 5}`, cpus: 4 })), id);
      ids.push(id);
      await c.clock.advance(400);
    }
    assert.notEqual(c.owner(behind), source, 'its shard is another node’s');
    awake?.();
    c.state.refusing.clear();
    await c.clock.advance(30_000);
    for (const id of ids) {
      const starts = c.workers.flatMap((w) => w.started).filter((task) => task === `${id}/0`);
      assert.equal(starts.length, 1, `${id} after its source was ${trouble}`);
    }
    const at = c.state.items.get('c/lead')!.version;
    for (const n of nodes)
      assert.equal(c.nodes.get(n)!.node.membership.stateCache.entries.get('c/lead')?.version, at, n);
  }
});

test('beside nodes of the production version changes reach all, and none of these is asked what it does not know', async () => {
  const nodes = names(6);
  const c = new FakeCluster(nodes);
  for (const n of ['n0', 'n2']) c.former.add(n);
  for (let i = 0; i < 6; i++) c.addWorker('c8', 'a');
  for (const n of nodes) c.startNode(n);
  await c.clock.advance(15_000);
  c.sent.length = 0;
  for (let i = 0; i < 6; i++) {
    assert.ok(await c.submit(nodes[i]!, job(`wk-${i}`)), nodes[i]);
    void c.state.serve('POST', '/txn', { when: [], writes: [{ set: 'c/record', value: i }] });
    await c.clock.advance(1000);
    for (const n of nodes)
      assert.equal(c.nodes.get(n)!.node.membership.stateCache.entries.get('c/record')?.value, i, n);
  }
  const fresh = ['n1', 'n3', 'n4', 'n5'];
  const asked = c.sent.filter(
    (m) => ['changes', 'changesHead', 'rates'].includes(m.op) && fresh.includes(m.from),
  );
  assert.ok(asked.some((m) => m.op === 'changes'));
  assert.deepEqual(
    [...new Set(asked.map((m) => m.to))].filter((to) => c.former.has(to)),
    [],
  );
  // The last of them is replaced, and all are of this version.
  for (const n of ['n0', 'n2']) {
    c.killNode(n);
    c.former.delete(n);
    await c.clock.advance(2000);
    c.startNode(n);
    await c.clock.advance(15_000);
  }
  const watching = nodes.filter((n) => c.nodes.get(n)!.node.membership.changeFeed.source === null);
  assert.equal(watching.length, 2, `${watching} watch`);
});
