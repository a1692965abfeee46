import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FakeCluster, job } from '../support/cluster.js';

// Guards against machines that never find their new owner: two of three controllers were cut off from the state service; the
// owner among them answered 503, and the next one, by its copy of the keys from before the cut, sent the machines back to it.
// All machines of the shard lost their leases though they, the new owner and the state service reached each other throughout.
test('machines find the new owner when their former one and the node after it are cut off from the state service', async () => {
  const c = new FakeCluster(['n0', 'n1', 'n2']);
  const machines = Array.from({ length: 9 }, () => c.addWorker('c8', 'a'));
  for (const n of ['n0', 'n1', 'n2']) c.startNode(n);
  await c.clock.advance(8000);
  assert.ok(await c.submit('n1', job('wk-1', { pieces: 4, cpus: 8 })));
  assert.ok(await c.clock.until(() => machines.filter((w) => w.attempts.length > 0).length === 4, 15_000));
  const owner = (k: number) => (c.state.value(`c/own/${k}`) as { node: string } | undefined)?.node;
  const cut = ['n0', 'n1'];
  c.net.fate = (from, addr) => (addr.startsWith('10.2.0.1') && cut.includes(from) ? 'silent' : 'deliver');
  assert.ok(
    await c.clock.until(() => [0, 1, 2].every((k) => owner(k) === 'n2'), 30_000),
    'the third has all shards',
  );
  // As long as a lease from the take-over, and a little more.
  await c.clock.advance(26_000);
  assert.deepEqual(
    machines.map((w) => w.session),
    machines.map(() => 1),
    'no machine has lost its lease',
  );
  assert.equal(machines.filter((w) => w.attempts.length > 0).length, 4);
  assert.equal(
    machines.reduce((n, w) => n + w.started.length, 0),
    4,
    'nothing was started again',
  );
  c.net.fate = () => 'deliver';
  await c.clock.advance(40_000);
  assert.deepEqual(new Set([0, 1, 2].map(owner)), new Set(['n0', 'n1', 'n2']));
  assert.ok(machines.every((w) => w.session === 1));
});
