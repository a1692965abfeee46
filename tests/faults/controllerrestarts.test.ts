import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FakeCluster, job, LEASE_S } from '../support/cluster.js';

const NODES = ['n0', 'n1', 'n2'];
const STATE = '10.2.0.1';

async function startBusyCluster(tasks = 6): Promise<FakeCluster> {
  const cluster = new FakeCluster(NODES);
  cluster.standby = true;
  cluster.teams = [{ name: 'red', cpus: 64, cpusMax: 0, gpus: 0, gpusMax: 0 }];
  for (let i = 0; i < 9; i++) cluster.addWorker('c8', 'a');
  for (const n of NODES) cluster.startNode(n);
  await cluster.clock.advance(8000);
  assert.ok(await cluster.submit('n1', job('wk-1', { pieces: tasks, cpus: 8, expectedS: 300 })));
  assert.ok(await cluster.clock.until(() => cluster.attempts === tasks, 20_000));
  await cluster.clock.advance(3000);
  return cluster;
}

const incarnations = (cluster: FakeCluster) => new Set(cluster.workers.map((w) => w.incarnation));

// Guards against an owner that keeps scheduling, or keeps its machines, when it can reach only the workers.
test('an owner that reaches only its workers is replaced without lost machines, and starts nothing twice after it is back', async () => {
  const cluster = await startBusyCluster();
  const shard = cluster.shardOf('wk-1');
  const oldOwner = cluster.owner(shard)!;
  const setPartitioned = (attemptCounts: boolean) => {
    cluster.net.outcomeOf = (from, addr) =>
      attemptCounts && from === oldOwner && addr.startsWith(STATE) ? 'silent' : 'deliver';
    cluster.isolatedNodes = attemptCounts ? new Set([oldOwner]) : new Set();
  };
  setPartitioned(true);
  assert.ok(
    await cluster.clock.until(
      () => cluster.owner(shard) !== undefined && cluster.owner(shard) !== oldOwner,
      15_000,
    ),
    'another node takes over',
  );
  // After the failover the old owner accepts no heartbeat with status 200, so that the machines find the new owner.
  const orders: string[] = [];
  const fate = cluster.net.outcomeOf;
  cluster.net.outcomeOf = (from, addr, method, path, body) => {
    if (from === oldOwner && path === '/do') orders.push(addr);
    return fate(from, addr, method, path, body);
  };
  await cluster.clock.advance(LEASE_S * 1000 + 8000);
  assert.deepEqual(orders, [], 'the old owner sends no commands');
  assert.deepEqual(incarnations(cluster), new Set([1]), 'no machine has lost its lease');
  assert.ok(await cluster.submit(NODES.find((n) => n !== oldOwner)!, job('wk-2', { cpus: 8, dueS: 900 })));
  assert.ok(await cluster.clock.until(() => cluster.workers.some((w) => w.isActive('wk-2/0')), 10_000));
  setPartitioned(false);
  await cluster.clock.advance(40_000);
  assert.deepEqual(incarnations(cluster), new Set([1]));
  assert.equal(cluster.starts, 7, 'nothing was started twice');
  assert.equal(cluster.attempts, 7);
});

// Guards against a mix-up of two incarnations of a node that restarts before its peers notice, during a claim of a
// shard, the naming of a standby, a handover to the preferred node, or an election.
test('controllers that restart within a fraction of a second at any moment lose no job and repeat no start', async () => {
  const cluster = await startBusyCluster();
  const accepted = new Set<string>();
  let next = 2;
  const moments: [string, () => boolean][] = [
    ['no transition', () => true],
    ['a claim', () => [0, 1, 2].some((k) => cluster.owner(k) === undefined)],
    [
      'the naming of a standby',
      () => [0, 1, 2].some((k) => cluster.state.value(`c/stand/${k}`) === undefined),
    ],
    ['an election', () => cluster.state.value('c/lead') === undefined],
    ['a handover', () => cluster.sentMessages.at(-1)?.op === 'assume'],
  ];
  for (const [moment, isReached] of moments)
    for (const victim of NODES) {
      // Triggers the transition: another node is killed, and the victim as soon as the moment is reached.
      const other = NODES.find((n) => n !== victim && cluster.nodes.has(n))!;
      cluster.killNode(other);
      await cluster.clock.until(isReached, 4000);
      cluster.killNode(victim);
      await cluster.clock.advance(150);
      cluster.startNode(victim);
      await cluster.clock.advance(400);
      cluster.startNode(other);
      assert.ok(
        await cluster.submit(victim, job(`wk-${next}`, { cpus: 1, expectedS: 5 })),
        `accepted during ${moment}`,
      );
      accepted.add(`wk-${next++}`);
      await cluster.clock.advance(9000);
      const attemptCounts = new Map<string, number>();
      for (const w of cluster.workers)
        for (const a of w.attempts)
          if (a.state !== 'exited') attemptCounts.set(a.task, (attemptCounts.get(a.task) ?? 0) + 1);
      assert.deepEqual(
        [...attemptCounts].filter(([, n]) => n > 1),
        [],
        `each task on one machine after ${moment}`,
      );
    }
  await cluster.clock.advance(30_000);
  assert.deepEqual(new Set([0, 1, 2].map((k) => cluster.owner(k))), new Set(NODES), 'one shard each again');
  assert.deepEqual(incarnations(cluster), new Set([1]), 'no machine has lost its lease');
  for (const id of accepted) {
    const reply = await cluster.call('n0', 'GET', `/api/jobs/${id}`);
    assert.equal((reply.body as { status: string }).status, 'running', id);
  }
  assert.equal(cluster.starts, 6 + accepted.size, 'nothing was started twice');
});

// Guards against accepted jobs whose status no node knows within 75 s of the end of all faults.
test('every accepted job is known after crashes of accepting nodes, lost messages, failed handovers and split records', async () => {
  const cluster = await startBusyCluster(2);
  const shard = cluster.shardOf('wk-1');
  const ids: string[] = [];
  const submit = async (node: string, id: string, change: object = {}) => {
    if (await cluster.submit(node, job(id, { cpus: 1, expectedS: 20, ...change }))) ids.push(id);
  };
  // The owner is paused: another node accepts a job for it, and crashes before the owner has confirmed it.
  const oldOwner = cluster.owner(shard)!;
  const resume = cluster.freeze(oldOwner);
  const acceptor = NODES.find((n) => n !== oldOwner)!;
  cluster.lostOperations.add('status');
  cluster.lostOperations.add('submit');
  await submit(acceptor, 'wk-2');
  cluster.killNode(acceptor);
  resume();
  await cluster.clock.advance(700);
  cluster.startNode(acceptor);
  // The owner leaves, and crashes in the middle of the handover together with its successor.
  cluster.lostAnswers.add('assume');
  void cluster.nodes.get(cluster.owner(shard) ?? oldOwner)?.node.leave();
  await cluster.clock.advance(50);
  for (const n of NODES) cluster.killNode(n);
  cluster.lostAnswers.clear();
  cluster.lostOperations.clear();
  await cluster.clock.advance(300);
  for (const n of NODES) cluster.startNode(n);
  await cluster.clock.advance(5000);
  // A job description is split over several records, all controllers crash right after it is accepted, and the
  // key-value store is down when they restart.
  const needed = Array.from({ length: 500 }, (_, i) => `wk-${1000 + i}`);
  await submit('n0', 'wk-3', { waitsOn: ['wk-1'], bundle: `img-${needed.join('').slice(0, 150)}` });
  await submit('n1', 'wk-4', { pieces: 40 });
  for (const n of NODES) cluster.killNode(n);
  cluster.state.down = true;
  await cluster.clock.advance(300);
  for (const n of NODES) cluster.startNode(n);
  await cluster.clock.advance(12_000);
  cluster.state.endOutage();
  cluster.stateRates = { rps: 20, writeRps: 10 };
  assert.ok(ids.length >= 3, `${ids.length} accepted`);
  const answeredAt = new Map(ids.map((id) => [id, cluster.clock.now()]));
  for (let seconds = 0; seconds < 75; seconds += 5) {
    for (const id of ids)
      for (const n of NODES) {
        const reply = await cluster.call(n, 'GET', `/api/jobs/${id}`);
        assert.notEqual(reply.status, 404, `${id} at ${n}`);
        if (reply.status === 200) answeredAt.set(id, cluster.clock.now());
      }
    await cluster.clock.advance(5000);
  }
  for (const [id, at] of answeredAt)
    assert.ok(cluster.clock.now() - at < 20_000, `the status of ${id} was not answered for 20 s`);
});
