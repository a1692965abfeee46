import assert from 'node:assert/strict';
import { test } from 'node:test';
import { WorkerConnectivity } from '../../src/controller/workerconnectivity.js';
import type { Worker } from '../../src/emulator/worker.js';
import { FakeClock } from '../support/clock.js';
import { FakeCluster, job, LEASE_S } from '../support/cluster.js';

const NODES = ['n0', 'n1', 'n2'];
const owners = (cluster: FakeCluster) => [0, 1, 2].map((k) => cluster.owner(k));
const shardOf = (cluster: FakeCluster, worker: Worker) =>
  (cluster.state.value(`c/m/${worker.id}`) as { shard: number }).shard;

/**
 * Starts a cluster with a single team, whose shard owns all machines, and a job that runs one task on each machine.
 */
async function startBusyCluster(machines: number, standby = true): Promise<FakeCluster> {
  const cluster = new FakeCluster(NODES);
  cluster.teams = [{ name: 'red', cpus: 64, cpusMax: 0, gpus: 0, gpusMax: 0 }];
  cluster.standby = standby;
  for (let i = 0; i < machines; i++) cluster.addWorker('c8', 'a');
  for (const n of NODES) cluster.startNode(n);
  await cluster.clock.advance(8000);
  assert.ok(await cluster.submit('n1', job('wk-1', { pieces: machines, cpus: 8, expectedS: 300 })));
  assert.ok(await cluster.clock.until(() => cluster.workers.every((w) => w.attempts.length === 1), 20_000));
  await cluster.clock.advance(3000);
  return cluster;
}

/** Checks every 200 ms that each task is on at most one machine, until the returned function is called. */
function checkSinglePlacement(cluster: FakeCluster): () => void {
  let stopped = false;
  const check = () => {
    if (stopped) return;
    const placements = new Map<string, number>();
    for (const w of cluster.workers)
      for (const a of w.attempts)
        if (a.state !== 'exited' && w.isActive(a.task))
          placements.set(a.task, (placements.get(a.task) ?? 0) + 1);
    for (const [task, n] of placements) assert.equal(n, 1, `${task} is on ${n} machines`);
    cluster.clock.after(200, check);
  };
  check();
  return () => {
    stopped = true;
  };
}

// Guards against tasks that wait forever for a machine whose heartbeats arrive while no response reaches it. Each
// heartbeat was counted as answered, so that the lease never seemed to expire, and after a change of owner no
// adopted task could start anywhere.
test('tasks of a machine that receives nothing start elsewhere after its lease has expired, also after a failover', async () => {
  for (const standby of [true, false]) {
    const cluster = await startBusyCluster(4, standby);
    const stopCheck = checkSinglePlacement(cluster);
    const worker = cluster.workers[0]!;
    const task = worker.attempts[0]!.task;
    cluster.inboundBlocked.add(worker);
    await cluster.clock.advance(1000);
    const shard = shardOf(cluster, worker);
    const oldOwner = cluster.owner(shard)!;
    cluster.killNode(oldOwner);
    assert.ok(
      await cluster.clock.until(
        () => cluster.owner(shard) !== undefined && cluster.owner(shard) !== oldOwner,
        15_000,
      ),
    );
    const spare = cluster.addWorker('c8', 'a');
    assert.ok(
      await cluster.clock.until(() => spare.isActive(task), (2 * LEASE_S + 25) * 1000),
      `${task} runs on another machine (standby ${standby})`,
    );
    assert.equal(worker.executedStarts.length, 1, 'nothing more was started on the unreachable machine');
    stopCheck();
  }
});

test('a machine that receives nothing gets no new tasks until it does, and causes no handover', async () => {
  const cluster = await startBusyCluster(3);
  const stopCheck = checkSinglePlacement(cluster);
  const [worker] = cluster.workers as [Worker, Worker, Worker];
  const ownersBefore = owners(cluster);
  worker.endTask(worker.attempts[0]!.task, 'done');
  await cluster.clock.advance(4000);
  cluster.inboundBlocked.add(worker);
  await cluster.clock.advance(9000);
  // The machine has sent heartbeats to other nodes by now, so nothing is planned or started on it.
  let orders = 0;
  cluster.net.outcomeOf = (_f, addr, _m, path, body) => {
    if (addr === worker.identity.addr && path === '/do' && JSON.stringify(body).includes('"run"')) orders++;
    return 'deliver';
  };
  const spare = cluster.addWorker('c8', 'a');
  for (let i = 2; i < 5; i++) {
    assert.ok(await cluster.submit('n0', job(`wk-${i}`, { cpus: 8, expectedS: 20 })));
    assert.ok(
      await cluster.clock.until(() => spare.isActive(`wk-${i}/0`), 12_000),
      `wk-${i} runs on the other machine`,
    );
    spare.endTask(`wk-${i}/0`, 'done');
    await cluster.clock.advance(3000);
  }
  assert.equal(orders, 0);
  assert.deepEqual(owners(cluster), ownersBefore, 'no shard is handed over because of the machine');
  cluster.inboundBlocked.delete(worker);
  await cluster.clock.advance(8000);
  spare.endTask('wk-1/0', 'done');
  assert.ok(await cluster.submit('n0', job('wk-9', { pieces: 2, cpus: 8 })));
  assert.ok(await cluster.clock.until(() => worker.attempts.some((a) => a.job === 'wk-9'), 20_000));
  stopCheck();
});

// Guards against an owner that hands over because of a fault of its machines: other nodes redirected each machine to
// the owner, and at some moment no machine sent it a heartbeat, since all were waiting for responses at the same time.
test('an owner whose machines all receive nothing does not hand over, and honours a cancellation and a reclaim notice', async () => {
  const cluster = await startBusyCluster(3);
  const stopCheck = checkSinglePlacement(cluster);
  const ownersBefore = owners(cluster);
  const terms = () => [0, 1, 2].map((k) => cluster.state.items.get(`c/own/${k}`)?.version);
  const termsBefore = terms();
  for (const w of cluster.workers) cluster.inboundBlocked.add(w);
  const reply = await cluster.call('n2', 'POST', '/api/jobs/wk-1/abort');
  assert.equal(reply.status, 200);
  cluster.workers[1]!.notice(12);
  const at = cluster.clock.now();
  await cluster.clock.advance(LEASE_S * 1000 + 6000);
  assert.deepEqual(owners(cluster), ownersBefore);
  assert.deepEqual(terms(), termsBefore, 'no shard was handed over and back');
  assert.ok(cluster.clock.now() - at < 45_000);
  assert.ok(
    cluster.workers.every((w) => w.attempts.every((a) => a.state === 'exited')),
    'the cancelled tasks are gone in time',
  );
  cluster.inboundBlocked.clear();
  await cluster.clock.advance(10_000);
  assert.ok(await cluster.submit('n0', job('wk-2', { pieces: 2, cpus: 8 })));
  assert.ok(await cluster.clock.until(() => cluster.workers.some((w) => w.isActive('wk-2/1')), 20_000));
  stopCheck();
});

test('an owner counts as cut off only when the same node redirects machines to it repeatedly', async () => {
  const clock = new FakeClock();
  const connectivity = new WorkerConnectivity(clock);
  for (const node of ['n1', 'n2']) {
    connectivity.onRedirect('m-1', node);
    connectivity.onRedirect('m-2', node);
    await clock.advance(5000);
  }
  assert.equal(connectivity.isCutOff(2, 0), false);
  connectivity.onRedirect('m-1', 'n2');
  connectivity.onRedirect('m-2', 'n2');
  assert.equal(connectivity.isCutOff(2, 0), true);
});
