import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { PlanJob, PlanMachine } from '../../src/plan/model.js';
import { Plan } from '../../src/plan/plan.js';
import { chooseRentals, type RentOption } from '../../src/plan/rentalchoice.js';
import { RateLimiter } from '../../src/state/ratelimiter.js';
import { FakeClock } from '../support/clock.js';
import { FakeCluster, job } from '../support/cluster.js';

const MACHINES = 1000;

function registry(): PlanMachine[] {
  return Array.from({ length: MACHINES }, (_, i) => ({
    id: null,
    type: 0,
    zone: i % 2,
    spot: false,
    size: { cpus: 32, gpus: 4, memoryGb: 128 },
    readyAt: 0,
    until: Number.POSITIVE_INFINITY,
    quarantined: false,
    fetchGbPerS: 1,
    images: new Set([i % 5]),
    running: [0, 1].map((k) => ({
      team: 0,
      end: 20 + ((i * 7 + k * 31) % 90),
      need: { cpus: 15, gpus: 0, memoryGb: 50 },
    })),
  }));
}

function planJob(id: number, kind: 'array' | 'gang', tasks: number): PlanJob {
  return {
    id,
    team: id % 2,
    kind,
    need: kind === 'gang' ? { cpus: 15, gpus: 0, memoryGb: 50 } : { cpus: 6, gpus: 1, memoryGb: 24 },
    types: null,
    zone: null,
    match: null,
    oneZone: kind === 'gang',
    spread: false,
    spot: true,
    image: id % 5,
    imageGb: 3,
    runS: 60,
    deadline: 600,
    total: tasks,
    tasks: [...Array(tasks).keys()],
    present: new Map(),
  };
}

// Guards against a plan that costs machines times tasks times bookings: it held a controller's thread for seconds at a
// thousand machines, so that its lease ran out and users waited.
test('a plan looks at each machine a few times a job, not once for every task', () => {
  const caps = [
    { cpus: 40_000, gpus: 0 },
    { cpus: 0, gpus: 0 },
  ];
  const arrays = new Plan(0, registry(), caps);
  for (let i = 0; i < 20; i++) assert.notEqual(arrays.reserve(planJob(i, 'array', 200)), null);
  arrays.startEarly();
  assert.equal(arrays.reservations.length, 4000);
  assert.ok(arrays.probes < 20 * 2 * MACHINES + 4 * 4000, `${arrays.probes} looks`);
  const gangs = new Plan(0, registry(), caps);
  for (let i = 0; i < 60; i++) assert.notEqual(gangs.reserve(planJob(i, 'gang', 16)), null);
  assert.ok(gangs.probes < 60 * 4 * MACHINES, `${gangs.probes} looks`);
});

test('one round of rentals serves many jobs, each kind in one request', () => {
  const option = (type: number, gpus: number, price: number): RentOption => ({
    type,
    zone: 0,
    spot: false,
    size: { cpus: 12 * gpus, gpus, memoryGb: 60 * gpus },
    price,
    bootS: 50,
  });
  const short = Array.from({ length: 30 }, () => ({
    types: null,
    zone: null,
    match: null,
    spot: false,
    need: { cpus: 10, gpus: 1, memoryGb: 54 },
    count: 5,
  }));
  const four = option(1, 4, 8);
  const rentals = chooseRentals(short, [option(0, 2, 7), four], 50);
  assert.equal(rentals.length, 1);
  assert.equal(rentals[0]!.option, four);
  const { count } = rentals[0]!;
  assert.ok(count >= 38 && count <= 42, `150 tasks at four a machine, ${count} machines`);
});

// Guards against a leader that deals hundreds of machines at the pace of one node's fixed part of the write rate.
test('a node uses what the others leave of a rate, and keeps to its part once it is refused', async () => {
  const clock = new FakeClock();
  const limiter = new RateLimiter(clock, 10, 10, 40);
  let served = 0;
  const load = async () => {
    for (;;) {
      await limiter.acquire(1, { maxWaitMs: 1e9 });
      served++;
    }
  };
  void load();
  const during = async (ms: number) => {
    const before = served;
    await clock.advance(ms);
    return served - before;
  };
  await during(10_000);
  const grown = await during(5000);
  assert.ok(grown > 180 && grown <= 205, `${grown} in 5 s`);
  limiter.onRejected();
  const humble = await during(4000);
  assert.ok(humble <= 42, `${humble} in 4 s`);
});

test('a thousand machines are dealt, and given back, in transactions and requests of many', async () => {
  const c = new FakeCluster(['n0']);
  c.objectives = [{ kind: 'wait', class: 'train', withinS: 10, share: 0.99 }];
  const requests = new Map<string, number>();
  c.net.fate = (_f, addr, method, path) => {
    const key = addr.startsWith('10.2.0.') ? `${method} ${path.split('?')[0]}` : 'worker';
    requests.set(key, (requests.get(key) ?? 0) + 1);
    return 'deliver';
  };
  for (let i = 0; i < MACHINES; i++) c.addWorker('c8', i % 2 ? 'a' : 'b');
  c.startNode('n0');
  const records = () => [...c.state.items.keys()].filter((k) => k.startsWith('c/m/')).length;
  assert.ok(await c.clock.until(() => records() === MACHINES, 30_000), `${records()} dealt`);
  const dealing = requests.get('POST /txn') ?? 0;
  assert.ok(dealing < MACHINES / 10, `${dealing} transactions`);
  // No aim needs idle machines any more.
  c.objectives.length = 0;
  assert.ok(await c.clock.until(() => c.released.length >= MACHINES, 90_000), `${c.released.length} back`);
  assert.ok(await c.clock.until(() => records() === 0, 10_000));
  const releases = requests.get('POST /machines/release') ?? 0;
  assert.ok(releases <= 30, `${releases} releases`);
  const transactions = (requests.get('POST /txn') ?? 0) - dealing;
  assert.ok(transactions < MACHINES / 4, `${transactions} transactions`);
  assert.ok((requests.get('GET /watch') ?? 0) < 1000, 'changes are watched in gathered steps');
});

// Guards against machines that are rented without end where their job's tasks may not start: a task that had to be in another zone
// than the first one got one machine after the other in its own shard's zone.
test('a job whose tasks are spread over zones, or held to one, rents where they may start, and runs whole', async () => {
  for (const change of [
    { spread: true, pieces: 2 },
    { spread: true, pieces: 5, shape: 'ensemble' },
    { oneZone: true, pieces: 3, shape: 'ensemble' },
    { oneZone: true, pieces: 3 },
    { oneZone: true, spread: true, pieces: 4 },
  ]) {
    const c = new FakeCluster(['n0', 'n1', 'n2']);
    c.teams = [];
    c.capacity = true;
    for (const n of ['n0', 'n1', 'n2']) c.startNode(n);
    await c.clock.advance(8000);
    assert.ok(await c.submit('n1', job('wk-1', { cpus: 8, expectedS: 600, ...change })));
    const most = change.oneZone && change.spread ? 2 : change.pieces;
    const up = () => {
      for (const w of c.workers) c.silent.delete(w);
      c.clock.after(500, up);
    };
    up();
    assert.ok(await c.clock.until(() => c.attempts === most, 30_000), `${JSON.stringify(change)} runs`);
    await c.clock.advance(60_000);
    assert.equal(c.attempts, most);
    const zones = c.workers.filter((w) => w.attempts.length > 0).map((w) => w.place.zone);
    if (change.oneZone) assert.equal(new Set(zones).size, 1);
    else assert.ok(zones.filter((z) => z === 'a').length <= Math.ceil(change.pieces / 2));
    const rented = c.rented.reduce((n, r) => n + r.count, 0);
    assert.ok(rented <= change.pieces + 2, `${rented} machines are rented for ${JSON.stringify(change)}`);
  }
});
