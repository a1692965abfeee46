import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FakeCluster, job, LEASE_S } from './support/cluster.js';

const NODES = ['n0', 'n1', 'n2'];

/** A cluster with standbys, all of them level, and a job of four tasks that run. */
async function warm(machines: number, nodes = NODES): Promise<FakeCluster> {
  const c = new FakeCluster(nodes);
  c.standby = true;
  for (let i = 0; i < machines; i++) c.addWorker('c8', 'a');
  for (const n of nodes) c.startNode(n);
  await c.clock.advance(8000);
  assert.ok(await c.submit('n1', job('wk-1', { pieces: 4, cpus: 8 })));
  assert.ok(await c.clock.until(() => running(c) === 4, 15_000));
  await c.clock.advance(3000);
  return c;
}

const running = (c: FakeCluster) => c.workers.reduce((n, w) => n + w.attempts.length, 0);
const starts = (c: FakeCluster) => c.workers.reduce((n, w) => n + w.started.length, 0);
const owner = (c: FakeCluster, k: number) =>
  (c.state.value(`c/own/${k}`) as { node: string } | undefined)?.node;
const standby = (c: FakeCluster, k: number) =>
  (c.state.value(`c/stand/${k}`) as { node: string } | undefined)?.node;
/** The shard that the jobs of the only team are in. */
const shardOf = (c: FakeCluster, id = 'wk-1') => (c.state.value(`act/${id}`) as { shard: number }).shard;

test('every shard has a standby of its own, spread over the nodes, and not the next in a roll', async () => {
  const c = await warm(6);
  assert.deepEqual(
    [0, 1, 2].map((k) => [owner(c, k), standby(c, k)]),
    [
      ['n0', 'n2'],
      ['n1', 'n0'],
      ['n2', 'n1'],
    ],
  );
  const alone = new FakeCluster(['n0']);
  alone.standby = true;
  alone.startNode('n0');
  await alone.clock.advance(10_000);
  assert.equal(standby(alone, 0), undefined);
});

test('a crash is taken over within the promise, warm, and nothing that runs is started again', async () => {
  const c = await warm(6);
  const k = shardOf(c);
  const [old, next] = [owner(c, k)!, standby(c, k)!];
  c.killNode(old);
  const at = c.clock.now();
  const user = NODES.find((n) => n !== old)!;
  assert.ok(await c.clock.until(() => owner(c, k) === next, 4000), 'the standby has it');
  assert.ok(await c.submit(user, job('wk-2', { dueS: 900 })), 'a deadline needs the plan');
  const took = c.clock.now() - at;
  assert.ok(took <= 3500, `accepted after ${took} ms`);
  await c.clock.advance(LEASE_S * 1000 + 5000);
  assert.ok(
    c.workers.every((w) => w.session === 1),
    'no machine has lost its lease',
  );
  assert.equal(running(c), 4);
  assert.equal(starts(c), 4, 'the team is at its limit, and what ran goes on');
});
