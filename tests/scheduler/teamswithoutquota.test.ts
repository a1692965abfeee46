import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FakeCluster, job } from '../support/cluster.js';

const team = (name: string, cpus: number) => ({ name, cpus, cpusMax: cpus * 2, gpus: 0, gpusMax: 0 });
const guestJob = (id: string, overrides: object = {}) =>
  job(id, { owner: 'guest', urgency: 'low', ...overrides });

// Guards against a guest team whose jobs are all in one shard: its controller alone had to store and start them, and
// free capacity on the machines of the other shards stayed unused.
test('spreads jobs of a team without guarantee and limit over the shards of teams that have one', async () => {
  const cluster = new FakeCluster(['n0', 'n1', 'n2']);
  cluster.teams = [team('red', 16), team('blue', 16), team('guest', 0)];
  for (let i = 0; i < 6; i++) cluster.addWorker('c8', 'a');
  for (const n of ['n0', 'n1', 'n2']) cluster.startNode(n);
  await cluster.clock.advance(8000);
  const teams = cluster.state.value('c/teams') as Record<string, number>;
  const shards = new Set<number>();
  for (let i = 1; i <= 12; i++) {
    assert.ok(await cluster.submit('n1', guestJob(`wk-${i}`, { cpus: 0.25 })));
    shards.add((cluster.state.value(`act/wk-${i}`) as { shard: number }).shard);
    assert.equal(
      (await cluster.call('n2', 'POST', '/api/jobs', guestJob(`wk-${i}`, { cpus: 0.25 }))).status,
      200,
    );
  }
  assert.deepEqual([...shards].sort(), [teams.red, teams.blue].sort());
  const placedTasks = () => cluster.workers.reduce((n, worker) => n + worker.attempts.length, 0);
  assert.ok(await cluster.clock.until(() => placedTasks() === 12, 10_000));
});

test('starts a small low-priority job before a large one accepted shortly before', async () => {
  const cluster = new FakeCluster(['n0']);
  cluster.teams = [team('red', 16), team('guest', 0)];
  const worker = cluster.addWorker('c8', 'a');
  cluster.startNode('n0');
  await cluster.clock.advance(6000);
  assert.ok(await cluster.submit('n0', guestJob('wk-1', { pieces: 100, cpus: 8 })));
  assert.ok(await cluster.clock.until(() => worker.isActive('wk-1/0'), 8000));
  assert.ok(await cluster.submit('n0', guestJob('wk-2', { cpus: 8 })));
  await cluster.clock.advance(3000);
  worker.endTask('wk-1/0', 'done');
  assert.ok(await cluster.clock.until(() => worker.executedStarts.length === 2, 8000));
  assert.ok(worker.isActive('wk-2/0'));
});

// Guards against tiny tasks that start as fast as they end on hundreds of machines: their commands and heartbeats kept
// a controller with a sixth of a core from renewing its lease.
test('limits the start rate of low-priority tasks, but not of other tasks', async () => {
  const cluster = new FakeCluster(['n0']);
  cluster.teams = [team('red', 600), team('guest', 0)];
  for (let i = 0; i < 30; i++) cluster.addWorker('c8', 'a');
  cluster.startNode('n0');
  await cluster.clock.advance(6000);
  const starts = () => cluster.workers.reduce((n, worker) => n + worker.executedStarts.length, 0);
  assert.ok(await cluster.submit('n0', guestJob('wk-1', { pieces: 5000, cpus: 0.1, memoryGb: 0.1 })));
  await cluster.clock.advance(4000);
  // 0.2 of a core allows 160 starts per second, plus a burst of two seconds.
  const startedEarly = starts();
  assert.ok(startedEarly > 300 && startedEarly <= 160 * 6 + 20, `${startedEarly} started`);
  assert.ok(await cluster.submit('n0', job('wk-2', { pieces: 30, cpus: 2 })));
  await cluster.clock.advance(2000);
  const otherStarted = cluster.workers.reduce(
    (n, worker) => n + worker.executedStarts.filter((p) => p.startsWith('wk-2/')).length,
    0,
  );
  assert.equal(otherStarted, 30);
});
