import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { PlanJob, PlanMachine } from '../../src/plan/model.js';
import { Plan } from '../../src/plan/plan.js';
import { chooseRentals, type RentOption } from '../../src/plan/rentalchoice.js';
import { RateLimiter } from '../../src/state/ratelimiter.js';
import { FakeClock } from '../support/clock.js';
import { FakeCluster, job } from '../support/cluster.js';

const MACHINES = 1000;

function makeMachines(): PlanMachine[] {
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
    placedByZone: new Map(),
  };
}

// Guards against a plan whose cost grows with machines times tasks times reservations: with a thousand machines it
// blocked the controller's thread for seconds, so that its lease expired and users waited.
test('queries each machine a few times per job, not once per task', () => {
  const limits = [
    { cpus: 40_000, gpus: 0 },
    { cpus: 0, gpus: 0 },
  ];
  const arrays = new Plan(0, makeMachines(), limits);
  for (let i = 0; i < 20; i++) assert.notEqual(arrays.reserve(planJob(i, 'array', 200)), null);
  arrays.startEarly();
  assert.equal(arrays.reservations.length, 4000);
  assert.ok(arrays.probes < 20 * 2 * MACHINES + 4 * 4000, `${arrays.probes} probes`);
  const gangs = new Plan(0, makeMachines(), limits);
  for (let i = 0; i < 60; i++) assert.notEqual(gangs.reserve(planJob(i, 'gang', 16)), null);
  assert.ok(gangs.probes < 60 * 4 * MACHINES, `${gangs.probes} probes`);
});

test('combines the rentals for many jobs into one request per kind of machine', () => {
  const option = (type: number, gpus: number, price: number): RentOption => ({
    type,
    zone: 0,
    spot: false,
    size: { cpus: 12 * gpus, gpus, memoryGb: 60 * gpus },
    price,
    bootS: 50,
  });
  const shortages = Array.from({ length: 30 }, () => ({
    types: null,
    zone: null,
    match: null,
    spot: false,
    need: { cpus: 10, gpus: 1, memoryGb: 54 },
    count: 5,
  }));
  const fourGpuOption = option(1, 4, 8);
  const rentals = chooseRentals(shortages, [option(0, 2, 7), fourGpuOption], 50);
  assert.equal(rentals.length, 1);
  assert.equal(rentals[0]!.option, fourGpuOption);
  const { count } = rentals[0]!;
  assert.ok(count >= 38 && count <= 42, `150 tasks at four a machine, ${count} machines`);
});

// Guards against a leader that assigns hundreds of machines only at its fixed share of the write rate.
test('uses the unused part of a shared rate, and falls back to its own share after a rejection', async () => {
  const clock = new FakeClock();
  const limiter = new RateLimiter(clock, 10, 10, 40);
  let served = 0;
  const acquireForever = async () => {
    for (;;) {
      await limiter.acquire(1, { maxWaitMs: 1e9 });
      served++;
    }
  };
  void acquireForever();
  const servedDuring = async (ms: number) => {
    const before = served;
    await clock.advance(ms);
    return served - before;
  };
  await servedDuring(10_000);
  const servedAtGrownRate = await servedDuring(5000);
  assert.ok(servedAtGrownRate > 180 && servedAtGrownRate <= 205, `${servedAtGrownRate} in 5 s`);
  limiter.onRejected();
  const servedAfterRejection = await servedDuring(4000);
  assert.ok(servedAfterRejection <= 42, `${servedAfterRejection} in 4 s`);
});

test('assigns and returns a thousand machines in batched transactions and requests', async () => {
  const cluster = new FakeCluster(['n0']);
  cluster.objectives = [{ kind: 'wait', class: 'train', withinS: 10, share: 0.99 }];
  const requests = new Map<string, number>();
  cluster.net.outcomeOf = (_f, addr, method, path) => {
    const key = addr.startsWith('10.2.0.') ? `${method} ${path.split('?')[0]}` : 'worker';
    requests.set(key, (requests.get(key) ?? 0) + 1);
    return 'deliver';
  };
  for (let i = 0; i < MACHINES; i++) cluster.addWorker('c8', i % 2 ? 'a' : 'b');
  cluster.startNode('n0');
  const records = () => [...cluster.state.items.keys()].filter((k) => k.startsWith('c/m/')).length;
  assert.ok(await cluster.clock.until(() => records() === MACHINES, 30_000), `${records()} assigned`);
  const transactionsToAssign = requests.get('POST /txn') ?? 0;
  assert.ok(transactionsToAssign < MACHINES / 10, `${transactionsToAssign} transactions`);
  // Without objectives no idle machines are needed any longer.
  cluster.objectives.length = 0;
  assert.ok(
    await cluster.clock.until(() => cluster.released.length >= MACHINES, 90_000),
    `${cluster.released.length} released`,
  );
  assert.ok(await cluster.clock.until(() => records() === 0, 10_000));
  const releases = requests.get('POST /machines/release') ?? 0;
  assert.ok(releases <= 30, `${releases} releases`);
  const transactions = (requests.get('POST /txn') ?? 0) - transactionsToAssign;
  assert.ok(transactions < MACHINES / 4, `${transactions} transactions`);
  assert.ok((requests.get('GET /watch') ?? 0) < 1000, 'watched changes are batched');
});

// Guards against endless rentals where a job's tasks may not start: for a task that had to run in another zone than
// the first one, machine after machine was rented in the zone of its shard.
test('rents machines for a job with zone constraints only where its tasks can start', async () => {
  for (const overrides of [
    { spread: true, pieces: 2 },
    { spread: true, pieces: 5, shape: 'ensemble' },
    { oneZone: true, pieces: 3, shape: 'ensemble' },
    { oneZone: true, pieces: 3 },
    { oneZone: true, spread: true, pieces: 4 },
  ]) {
    const cluster = new FakeCluster(['n0', 'n1', 'n2']);
    cluster.teams = [];
    cluster.cloudHasCapacity = true;
    for (const n of ['n0', 'n1', 'n2']) cluster.startNode(n);
    await cluster.clock.advance(8000);
    assert.ok(await cluster.submit('n1', job('wk-1', { cpus: 8, expectedS: 600, ...overrides })));
    const maxRunning = overrides.oneZone && overrides.spread ? 2 : overrides.pieces;
    const keepWorkersReporting = () => {
      for (const w of cluster.workers) cluster.notSendingHeartbeats.delete(w);
      cluster.clock.after(500, keepWorkersReporting);
    };
    keepWorkersReporting();
    assert.ok(
      await cluster.clock.until(() => cluster.attempts === maxRunning, 30_000),
      `${JSON.stringify(overrides)} runs`,
    );
    await cluster.clock.advance(60_000);
    assert.equal(cluster.attempts, maxRunning);
    const zones = cluster.workers.filter((w) => w.attempts.length > 0).map((w) => w.identity.zone);
    if (overrides.oneZone) assert.equal(new Set(zones).size, 1);
    else assert.ok(zones.filter((z) => z === 'a').length <= Math.ceil(overrides.pieces / 2));
    const rented = cluster.rented.reduce((n, r) => n + r.count, 0);
    assert.ok(
      rented <= overrides.pieces + 2,
      `${rented} machines are rented for ${JSON.stringify(overrides)}`,
    );
  }
});
