import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FakeCluster, job } from '../support/cluster.js';

// Guards against machines that never find their new owner: two of three controllers were cut off from the
// key-value store. The owner among them answered 503, and the other, with its cached keys from before the partition,
// redirected the machines back to it. All machines of the shard lost their leases although they, the new owner and
// the key-value store reached each other throughout.
test('machines find the new owner when the old owner and the next node are cut off from the key-value store', async () => {
  const cluster = new FakeCluster(['n0', 'n1', 'n2']);
  const machines = Array.from({ length: 9 }, () => cluster.addWorker('c8', 'a'));
  for (const n of ['n0', 'n1', 'n2']) cluster.startNode(n);
  await cluster.clock.advance(8000);
  assert.ok(await cluster.submit('n1', job('wk-1', { pieces: 4, cpus: 8 })));
  assert.ok(
    await cluster.clock.until(() => machines.filter((w) => w.attempts.length > 0).length === 4, 15_000),
  );
  const owner = (k: number) => (cluster.state.value(`c/own/${k}`) as { node: string } | undefined)?.node;
  const isolated = ['n0', 'n1'];
  cluster.net.outcomeOf = (from, addr) =>
    addr.startsWith('10.2.0.1') && isolated.includes(from) ? 'silent' : 'deliver';
  assert.ok(
    await cluster.clock.until(() => [0, 1, 2].every((k) => owner(k) === 'n2'), 30_000),
    'the third node owns all shards',
  );
  // Waits slightly longer than a lease after the failover.
  await cluster.clock.advance(26_000);
  assert.deepEqual(
    machines.map((w) => w.incarnation),
    machines.map(() => 1),
    'no machine has lost its lease',
  );
  assert.equal(machines.filter((w) => w.attempts.length > 0).length, 4);
  assert.equal(
    machines.reduce((n, w) => n + w.executedStarts.length, 0),
    4,
    'nothing was started again',
  );
  cluster.net.outcomeOf = () => 'deliver';
  await cluster.clock.advance(40_000);
  assert.deepEqual(new Set([0, 1, 2].map(owner)), new Set(['n0', 'n1', 'n2']));
  assert.ok(machines.every((w) => w.incarnation === 1));
});
