import assert from 'node:assert/strict';
import { test } from 'node:test';
import { allocateRate } from '../../src/state/rateallocation.js';
import { RateLimiter } from '../../src/state/ratelimiter.js';
import { FakeClock } from '../support/clock.js';
import { FakeCluster, job } from '../support/cluster.js';

const sum = (numbers: number[]) => numbers.reduce((a, b) => a + b, 0);

test('a rate is dealt by demand: small wants are met, large ones the same, and what is left is of use to all', () => {
  assert.deepEqual(allocateRate(68, []), []);
  // More is wanted than there is: exactly all of it is dealt out.
  const short = allocateRate(60, [5, 100, 40, 1]);
  assert.deepEqual(short, [5, 27, 27, 1]);
  assert.ok(Math.abs(sum(short) - 60) < 1e-9);
  // One node alone has work: it gets it, and a quarter of what is left beside.
  const [busy, idle] = allocateRate(68, [20, ...new Array<number>(16).fill(0)]);
  assert.deepEqual([busy, idle], [20 + 48 / 4, 48 / 4]);
  // Who has not told keeps an even part, and the others get no more than the rest.
  const unknown = allocateRate(68, [null, null, 100, 100]);
  assert.deepEqual(unknown.slice(0, 2), [17, 17]);
  assert.ok(sum(unknown) <= 68 + 1e-9);
  for (const n of [1, 3, 17]) assert.ok(sum(allocateRate(80, new Array<number>(n).fill(1000))) <= 80 + 1e-9);
});

test('a share that is not renewed ends, and the node keeps to its own part again', async () => {
  const clock = new FakeClock();
  const limiter = new RateLimiter(clock, 4, 4, 40);
  limiter.allocate(30, 2000);
  let went = 0;
  for (let i = 0; i < 200; i++)
    void limiter.acquire(1, { maxWaitMs: 60_000 }).then(() => {
      went++;
    });
  await clock.advance(1900);
  assert.ok(went >= 50 && went <= 75, `${went} by the share`);
  limiter.onRejected();
  assert.equal(limiter.rate, 30, 'a refusal says that the service is full, not whose share is too large');
  await clock.advance(200);
  const before = went;
  await clock.advance(400);
  assert.ok(went - before <= 4, `${went - before} by its own part`);
});

// Guards against hand-overs and submissions that fail for one node's part while two thirds of the rate are free.
test('one node of nine with work uses what the others leave, and no lease is refused its renewal', async () => {
  const nodes = Array.from({ length: 9 }, (_, i) => `n${i}`);
  const c = new FakeCluster(nodes);
  c.stateRates = { rps: 200, writeRps: 80 };
  c.ratesParted = 9;
  c.state.limits.requestsPerSecond = 200;
  c.state.limits.writesPerSecond = 80;
  let renewalsRefused = 0;
  c.state.observed = (r) => {
    if (r.kind === 'lease' && r.status === 429) renewalsRefused++;
  };
  for (const n of nodes) c.startNode(n);
  await c.clock.advance(12_000);
  const { store } = c.nodes.get('n4')!;
  const results: boolean[] = [];
  for (let i = 0; i < 120; i++) {
    void store
      .compareAndSwap([], [{ put: `c/trial/${i}`, value: i }])
      .then(
        (r) => r.ok,
        () => false,
      )
      .then((ok) => results.push(ok));
    await c.clock.advance(25);
  }
  await c.clock.advance(3000);
  assert.equal(results.length, 120);
  assert.equal(results.filter((ok) => !ok).length, 0, 'none waited in vain');
  assert.equal(renewalsRefused, 0);
  assert.equal(c.state.refused[429], 0);
});

test('when the node that deals the shares ends, the others keep to their parts until the next one deals', async () => {
  const nodes = ['n0', 'n1', 'n2', 'n3', 'n4'];
  const c = new FakeCluster(nodes);
  c.ratesParted = 5;
  for (const n of nodes) c.startNode(n);
  await c.clock.advance(10_000);
  const leader = (c.state.value('c/lead') as { node: string }).node;
  const other = nodes.find((n) => n !== leader)!;
  const { store } = c.nodes.get(other)!;
  const part = (300 * 0.85) / 5;
  assert.ok(store.writesPerSecond > part * 1.1, `${store.writesPerSecond}`);
  c.killNode(leader);
  await c.clock.advance(3500);
  assert.ok(Math.abs(store.writesPerSecond - part) < 1e-6, `${store.writesPerSecond}`);
  await c.clock.advance(15_000);
  assert.ok(store.writesPerSecond > part * 1.1, 'another one deals');
  assert.ok(await c.submit(other, job('wk-1')));
});
