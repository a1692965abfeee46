import assert from 'node:assert/strict';
import { test } from 'node:test';
import { WorkerConnectivity } from '../../src/controller/workerconnectivity.js';
import { FakeClock } from '../support/clock.js';
import { FakeCluster, job } from '../support/cluster.js';

// Guards against a shard that moves back and forth: a slow owner that has just taken over hundreds of machines is
// notified of many redirects to it, but some of the machines do send it heartbeats.
test('a node is cut off only when machines are redirected to it repeatedly and hardly any reaches it', async () => {
  const clock = new FakeClock();
  const connectivity = new WorkerConnectivity(clock);
  const redirectMachines = (n: number) => {
    for (let i = 0; i < n; i++) connectivity.onRedirect(`m-${i}`, 'n1');
  };
  redirectMachines(10);
  assert.equal(connectivity.isCutOff(10, 0), false, 'redirected once');
  await clock.advance(4000);
  redirectMachines(10);
  assert.equal(connectivity.isCutOff(10, 3), false, 'some still send heartbeats');
  assert.equal(connectivity.isCutOff(30, 0), false, 'only a third of the machines is misrouted');
  assert.equal(connectivity.isCutOff(10, 0), true);
  for (let i = 0; i < 6; i++) connectivity.onHeartbeat(`m-${i}`);
  assert.equal(connectivity.isCutOff(10, 0), false, 'most have sent heartbeats');
  await clock.advance(20_000);
  redirectMachines(1);
  assert.equal(connectivity.isCutOff(1, 0), false, 'a single machine is considered faulty itself');
  connectivity.cordon();
  assert.equal(connectivity.mayUncordon, false);
  await clock.advance(10_000);
  assert.equal(connectivity.mayUncordon, true);
  connectivity.uncordon();
  connectivity.cordon();
  await clock.advance(10_000);
  assert.equal(connectivity.mayUncordon, false, 'cordoned for longer when it happens again soon');
});

// Guards against resuming a shard under a retired term: fencing tokens and attempt numbers would equal those of the
// former ownership, whose commands may still be in flight.
test('a shard whose release gets no answer is not resumed under its old term', async () => {
  const cluster = new FakeCluster(['n0', 'n1']);
  cluster.teams = ['red', 'blue'].map((name) => ({ name, cpus: 16, cpusMax: 32, gpus: 0, gpusMax: 0 }));
  cluster.startNode('n0');
  cluster.startNode('n1');
  await cluster.clock.advance(4000);
  cluster.killNode('n1');
  const owner = () => cluster.state.value('c/own/1') as { node: string } | undefined;
  assert.ok(await cluster.clock.until(() => owner()?.node === 'n0', 15_000));
  await cluster.clock.advance(2000);
  let unanswered = 0;
  cluster.net.outcomeOf = (from, _a, _m, path, body) =>
    from === 'n0' && path === '/txn' && JSON.stringify(body).includes('"drop":"c/own/1"') && unanswered++ < 2
      ? 'silent'
      : 'deliver';
  const serves = async () => {
    const answer = cluster.nodes.get('n0')!.node.serve('status', { shard: 1, id: 'wk-1' });
    return answer.then(
      () => true,
      (error) => !String(error).includes('not the owner'),
    );
  };
  assert.equal(await serves(), true);
  cluster.startNode('n1');
  assert.ok(await cluster.clock.until(() => unanswered > 0, 15_000), 'the shard is being handed back');
  for (let i = 0; i < 40 && owner()?.node !== 'n1'; i++) {
    assert.equal(await serves(), false);
    await cluster.clock.advance(200);
  }
  assert.equal(owner()?.node, 'n1');
  assert.ok(unanswered >= 2);
  assert.ok(await cluster.submit('n0', job('wk-2')));
});
