import assert from 'node:assert/strict';
import { test } from 'node:test';
import { WorkerConnectivity } from '../../src/controller/workerconnectivity.js';
import type { Worker } from '../../src/emulator/worker.js';
import { FakeClock } from '../support/clock.js';
import { FakeCluster, job, LEASE_S } from '../support/cluster.js';

const NODES = ['n0', 'n1', 'n2'];
const owners = (c: FakeCluster) => [0, 1, 2].map((k) => c.owner(k));
const shardOf = (c: FakeCluster, m: Worker) => (c.state.value(`c/m/${m.id}`) as { shard: number }).shard;

/** A cluster whose machines all belong to the shard of the only team, and a job that runs on each of the first. */
async function busy(machines: number, standby = true): Promise<FakeCluster> {
  const c = new FakeCluster(NODES);
  c.teams = [{ name: 'red', cpus: 64, cpusMax: 0, gpus: 0, gpusMax: 0 }];
  c.standby = standby;
  for (let i = 0; i < machines; i++) c.addWorker('c8', 'a');
  for (const n of NODES) c.startNode(n);
  await c.clock.advance(8000);
  assert.ok(await c.submit('n1', job('wk-1', { pieces: machines, cpus: 8, expectedS: 300 })));
  assert.ok(await c.clock.until(() => c.workers.every((w) => w.attempts.length === 1), 20_000));
  await c.clock.advance(3000);
  return c;
}

/** At every moment each task is on one machine at most; the test fails where it is not. */
function watch(c: FakeCluster): () => void {
  let over = false;
  const look = () => {
    if (over) return;
    const on = new Map<string, number>();
    for (const w of c.workers)
      for (const a of w.attempts)
        if (a.state !== 'exited' && w.on(a.task)) on.set(a.task, (on.get(a.task) ?? 0) + 1);
    for (const [task, n] of on) assert.equal(n, 1, `${task} is on ${n} machines`);
    c.clock.after(200, look);
  };
  look();
  return () => {
    over = true;
  };
}

// Guards against work that waits for ever for a machine whose reports come while no answer reaches it: each report counted as
// answered, so that its lease never seemed to end, and after a change of owner nothing adopted could start anywhere.
test('what may be on a deaf machine starts elsewhere once its lease is surely over, after a change of owner too', async () => {
  for (const standby of [true, false]) {
    const c = await busy(4, standby);
    const end = watch(c);
    const m = c.workers[0]!;
    const task = m.attempts[0]!.task;
    c.deaf.add(m);
    await c.clock.advance(1000);
    const k = shardOf(c, m);
    const old = c.owner(k)!;
    c.killNode(old);
    assert.ok(await c.clock.until(() => c.owner(k) !== undefined && c.owner(k) !== old, 15_000));
    const spare = c.addWorker('c8', 'a');
    assert.ok(
      await c.clock.until(() => spare.on(task), (2 * LEASE_S + 25) * 1000),
      `${task} runs elsewhere (standby ${standby})`,
    );
    assert.equal(m.started.length, 1, 'and nothing more was started there');
    end();
  }
});

test('a deaf machine takes no new tasks, is taken in again when it hears, and costs nobody else anything', async () => {
  const c = await busy(3);
  const end = watch(c);
  const [m] = c.workers as [Worker, Worker, Worker];
  const before = owners(c);
  m.end(m.attempts[0]!.task, 'done');
  await c.clock.advance(4000);
  c.deaf.add(m);
  await c.clock.advance(9000);
  // By now it has reported to other nodes: nothing is tried on it, and nothing is planned there.
  let orders = 0;
  c.net.fate = (_f, addr, _m, path, body) => {
    if (addr === m.place.addr && path === '/do' && JSON.stringify(body).includes('"run"')) orders++;
    return 'deliver';
  };
  const spare = c.addWorker('c8', 'a');
  for (let i = 2; i < 5; i++) {
    assert.ok(await c.submit('n0', job(`wk-${i}`, { cpus: 8, expectedS: 20 })));
    assert.ok(await c.clock.until(() => spare.on(`wk-${i}/0`), 12_000), `wk-${i} runs on the other machine`);
    spare.end(`wk-${i}/0`, 'done');
    await c.clock.advance(3000);
  }
  assert.equal(orders, 0);
  assert.deepEqual(owners(c), before, 'no shard is handed over for it');
  c.deaf.delete(m);
  await c.clock.advance(8000);
  spare.end('wk-1/0', 'done');
  assert.ok(await c.submit('n0', job('wk-9', { pieces: 2, cpus: 8 })));
  assert.ok(await c.clock.until(() => m.attempts.some((a) => a.job === 'wk-9'), 20_000));
  end();
});

// Guards against an owner that withdraws for a fault of its machines: each of them was sent to it by others, and at a
// moment none came, since all of them wait for answers at the same time.
test('machines that are all deaf are no reason to hand over; a cancellation and a notice meanwhile are kept', async () => {
  const c = await busy(3);
  const end = watch(c);
  const before = owners(c);
  const terms = () => [0, 1, 2].map((k) => c.state.items.get(`c/own/${k}`)?.version);
  const was = terms();
  for (const w of c.workers) c.deaf.add(w);
  const told = await c.call('n2', 'POST', '/api/jobs/wk-1/abort');
  assert.equal(told.status, 200);
  c.workers[1]!.notice(12);
  const at = c.clock.now();
  await c.clock.advance(LEASE_S * 1000 + 6000);
  assert.deepEqual(owners(c), before);
  assert.deepEqual(terms(), was, 'nor taken and given back');
  assert.ok(c.clock.now() - at < 45_000);
  assert.ok(
    c.workers.every((w) => w.attempts.every((a) => a.state === 'exited')),
    'gone in time',
  );
  c.deaf.clear();
  await c.clock.advance(10_000);
  assert.ok(await c.submit('n0', job('wk-2', { pieces: 2, cpus: 8 })));
  assert.ok(await c.clock.until(() => c.workers.some((w) => w.on('wk-2/1')), 20_000));
  end();
});

test('a machine that goes from node to node says nothing against its owner; one that comes back to the same does', async () => {
  const clock = new FakeClock();
  const reach = new WorkerConnectivity(clock);
  for (const by of ['n1', 'n2']) {
    reach.onRedirect('m-1', by);
    reach.onRedirect('m-2', by);
    await clock.advance(5000);
  }
  assert.equal(reach.isCutOff(2, 0), false);
  reach.onRedirect('m-1', 'n2');
  reach.onRedirect('m-2', 'n2');
  assert.equal(reach.isCutOff(2, 0), true);
});
