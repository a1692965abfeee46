import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FakeCluster, job } from '../support/cluster.js';

const team = (name: string, cpus: number) => ({ name, cpus, cpusMax: cpus * 2, gpus: 0, gpusMax: 0 });
const guest = (id: string, change: object = {}) => job(id, { owner: 'guest', urgency: 'low', ...change });

// Guards against a guest team whose jobs all lie in one shard: its controller alone had to store and start them, and
// what was left on the machines of the others stayed unused.
test('jobs of a team with neither guarantee nor limit are spread over the shards of those that have one', async () => {
  const c = new FakeCluster(['n0', 'n1', 'n2']);
  c.teams = [team('red', 16), team('blue', 16), team('guest', 0)];
  for (let i = 0; i < 6; i++) c.addWorker('c8', 'a');
  for (const n of ['n0', 'n1', 'n2']) c.startNode(n);
  await c.clock.advance(8000);
  const teams = c.state.value('c/teams') as Record<string, number>;
  const shards = new Set<number>();
  for (let i = 1; i <= 12; i++) {
    assert.ok(await c.submit('n1', guest(`wk-${i}`, { cpus: 0.25 })));
    shards.add((c.state.value(`act/wk-${i}`) as { shard: number }).shard);
    assert.equal((await c.call('n2', 'POST', '/api/jobs', guest(`wk-${i}`, { cpus: 0.25 }))).status, 200);
  }
  assert.deepEqual([...shards].sort(), [teams.red, teams.blue].sort());
  const on = () => c.workers.reduce((n, w) => n + w.attempts.length, 0);
  assert.ok(await c.clock.until(() => on() === 12, 10_000));
});

test('of idle-time work, little goes before much that was accepted not long before', async () => {
  const c = new FakeCluster(['n0']);
  c.teams = [team('red', 16), team('guest', 0)];
  const w = c.addWorker('c8', 'a');
  c.startNode('n0');
  await c.clock.advance(6000);
  assert.ok(await c.submit('n0', guest('wk-1', { pieces: 100, cpus: 8 })));
  assert.ok(await c.clock.until(() => w.on('wk-1/0'), 8000));
  assert.ok(await c.submit('n0', guest('wk-2', { cpus: 8 })));
  await c.clock.advance(3000);
  w.end('wk-1/0', 'done');
  assert.ok(await c.clock.until(() => w.started.length === 2, 8000));
  assert.ok(w.on('wk-2/0'));
});

// Guards against tiny tasks that start as fast as they end on hundreds of machines: their orders and reports kept a
// controller with a sixth of a core from renewing its lease.
test('the least urgent work starts no faster than a controller can follow, other work at once', async () => {
  const c = new FakeCluster(['n0']);
  c.teams = [team('red', 600), team('guest', 0)];
  for (let i = 0; i < 30; i++) c.addWorker('c8', 'a');
  c.startNode('n0');
  await c.clock.advance(6000);
  const starts = () => c.workers.reduce((n, w) => n + w.started.length, 0);
  assert.ok(await c.submit('n0', guest('wk-1', { pieces: 5000, cpus: 0.1, memoryGb: 0.1 })));
  await c.clock.advance(4000);
  // 0.2 of a core allows 160 a second, and what two seconds saved.
  const early = starts();
  assert.ok(early > 300 && early <= 160 * 6 + 20, `${early} started`);
  assert.ok(await c.submit('n0', job('wk-2', { pieces: 30, cpus: 2 })));
  await c.clock.advance(2000);
  const other = c.workers.reduce((n, w) => n + w.started.filter((p) => p.startsWith('wk-2/')).length, 0);
  assert.equal(other, 30);
});
