import assert from 'node:assert/strict';
import { test } from 'node:test';
import { allocateRate } from '../../src/state/rateallocation.js';
import { RateLimiter } from '../../src/state/ratelimiter.js';
import { FakeClock } from '../support/clock.js';
import { FakeCluster, job } from '../support/cluster.js';

const sum = (numbers: number[]) => numbers.reduce((a, b) => a + b, 0);

test('allocates a rate by demand: meets small demands, shares the rest equally and distributes unused capacity', () => {
  assert.deepEqual(allocateRate(68, []), []);
  // The demands exceed the rate: exactly the whole rate is allocated.
  const short = allocateRate(60, [5, 100, 40, 1]);
  assert.deepEqual(short, [5, 27, 27, 1]);
  assert.ok(Math.abs(sum(short) - 60) < 1e-9);
  // Only one node has a demand: it is met, and the node also gets a quarter of the unused rate.
  const [busy, idle] = allocateRate(68, [20, ...new Array<number>(16).fill(0)]);
  assert.deepEqual([busy, idle], [20 + 48 / 4, 48 / 4]);
  // Nodes with an unknown demand keep an even share, and the others get no more than the rest.
  const unknown = allocateRate(68, [null, null, 100, 100]);
  assert.deepEqual(unknown.slice(0, 2), [17, 17]);
  assert.ok(sum(unknown) <= 68 + 1e-9);
  for (const n of [1, 3, 17]) assert.ok(sum(allocateRate(80, new Array<number>(n).fill(1000))) <= 80 + 1e-9);
});

test('a node returns to its even share when its allocation expires', async () => {
  const clock = new FakeClock();
  const limiter = new RateLimiter(clock, 4, 4, 40);
  limiter.allocate(30, 2000);
  let sentCount = 0;
  for (let i = 0; i < 200; i++)
    void limiter.acquire(1, { maxWaitMs: 60_000 }).then(() => {
      sentCount++;
    });
  await clock.advance(1900);
  assert.ok(sentCount >= 50 && sentCount <= 75, `${sentCount} at the allocated rate`);
  limiter.onRejected();
  assert.equal(
    limiter.rate,
    30,
    'a rejection means that the service is overloaded, not that this share is too large',
  );
  await clock.advance(200);
  const sentBefore = sentCount;
  await clock.advance(400);
  assert.ok(sentCount - sentBefore <= 4, `${sentCount - sentBefore} at the even share`);
});

// Guards against handovers and submissions that fail because a node has used up its even share, while two thirds of
// the rate are unused.
test('one busy node of nine uses the capacity the others leave, and no lease renewal is rejected', async () => {
  const nodes = Array.from({ length: 9 }, (_, i) => `n${i}`);
  const cluster = new FakeCluster(nodes);
  cluster.stateRates = { rps: 200, writeRps: 80 };
  cluster.rateDivisor = 9;
  cluster.state.limits.requestsPerSecond = 200;
  cluster.state.limits.writesPerSecond = 80;
  let renewalsRejected = 0;
  cluster.state.onRequest = (request) => {
    if (request.kind === 'lease' && request.status === 429) renewalsRejected++;
  };
  for (const n of nodes) cluster.startNode(n);
  await cluster.clock.advance(12_000);
  const { store } = cluster.nodes.get('n4')!;
  const results: boolean[] = [];
  for (let i = 0; i < 120; i++) {
    void store
      .compareAndSwap([], [{ put: `c/trial/${i}`, value: i }])
      .then(
        (r) => r.ok,
        () => false,
      )
      .then((ok) => results.push(ok));
    await cluster.clock.advance(25);
  }
  await cluster.clock.advance(3000);
  assert.equal(results.length, 120);
  assert.equal(results.filter((ok) => !ok).length, 0, 'no request waited until its timeout');
  assert.equal(renewalsRejected, 0);
  assert.equal(cluster.state.refused[429], 0);
});

test('nodes return to their even shares when the allocating leader dies, until the next leader allocates', async () => {
  const nodes = ['n0', 'n1', 'n2', 'n3', 'n4'];
  const cluster = new FakeCluster(nodes);
  cluster.rateDivisor = 5;
  for (const n of nodes) cluster.startNode(n);
  await cluster.clock.advance(10_000);
  const leader = (cluster.state.value('c/lead') as { node: string }).node;
  const other = nodes.find((n) => n !== leader)!;
  const { store } = cluster.nodes.get(other)!;
  const evenShare = (300 * 0.85) / 5;
  assert.ok(store.writesPerSecond > evenShare * 1.1, `${store.writesPerSecond}`);
  cluster.killNode(leader);
  await cluster.clock.advance(3500);
  assert.ok(Math.abs(store.writesPerSecond - evenShare) < 1e-6, `${store.writesPerSecond}`);
  await cluster.clock.advance(15_000);
  assert.ok(store.writesPerSecond > evenShare * 1.1, 'the next leader allocates shares');
  assert.ok(await cluster.submit(other, job('wk-1')));
});
