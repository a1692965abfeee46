import assert from 'node:assert/strict';
import { test } from 'node:test';
import { WorkerConnectivity } from '../../src/controller/workerconnectivity.js';
import { FakeClock } from '../support/clock.js';
import { FakeCluster, job } from '../support/cluster.js';

// Guards against a shard that goes to and fro: a slow owner that has just taken over hundreds of machines is told of many
// that were sent to it, but some come all the time.
test('a node is cut off only when machines are sent to it again and again, and hardly any comes', async () => {
  const clock = new FakeClock();
  const reach = new WorkerConnectivity(clock);
  const send = (n: number) => {
    for (let i = 0; i < n; i++) reach.onRedirect(`m-${i}`, 'n1');
  };
  send(10);
  assert.equal(reach.isCutOff(10, 0), false, 'sent once');
  await clock.advance(4000);
  send(10);
  assert.equal(reach.isCutOff(10, 3), false, 'some still come');
  assert.equal(reach.isCutOff(30, 0), false, 'a third of the machines');
  assert.equal(reach.isCutOff(10, 0), true);
  for (let i = 0; i < 6; i++) reach.onHeartbeat(`m-${i}`);
  assert.equal(reach.isCutOff(10, 0), false, 'they have come');
  await clock.advance(20_000);
  send(1);
  assert.equal(reach.isCutOff(1, 0), false, 'one machine has a fault of its own');
  reach.cordon();
  assert.equal(reach.mayUncordon, false);
  await clock.advance(10_000);
  assert.equal(reach.mayUncordon, true);
  reach.uncordon();
  reach.cordon();
  await clock.advance(10_000);
  assert.equal(reach.mayUncordon, false, 'longer when it happens again soon');
});

// Guards against a shard taken up again under the term that it was dropped under: tokens and attempts would be those of
// the former ownership, whose orders may still be under way.
test('a shard whose release gets no answer is not taken up again under its old term', async () => {
  const c = new FakeCluster(['n0', 'n1']);
  c.teams = ['red', 'blue'].map((name) => ({ name, cpus: 16, cpusMax: 32, gpus: 0, gpusMax: 0 }));
  c.startNode('n0');
  c.startNode('n1');
  await c.clock.advance(4000);
  c.killNode('n1');
  const owner = () => c.state.value('c/own/1') as { node: string } | undefined;
  assert.ok(await c.clock.until(() => owner()?.node === 'n0', 15_000));
  await c.clock.advance(2000);
  let unanswered = 0;
  c.net.fate = (from, _a, _m, path, body) =>
    from === 'n0' && path === '/txn' && JSON.stringify(body).includes('"drop":"c/own/1"') && unanswered++ < 2
      ? 'silent'
      : 'deliver';
  const serves = async () => {
    const answer = c.nodes.get('n0')!.node.serve('status', { shard: 1, id: 'wk-1' });
    return answer.then(
      () => true,
      (error) => !String(error).includes('not the owner'),
    );
  };
  assert.equal(await serves(), true);
  c.startNode('n1');
  assert.ok(await c.clock.until(() => unanswered > 0, 15_000), 'handing back');
  for (let i = 0; i < 40 && owner()?.node !== 'n1'; i++) {
    assert.equal(await serves(), false);
    await c.clock.advance(200);
  }
  assert.equal(owner()?.node, 'n1');
  assert.ok(unanswered >= 2);
  assert.ok(await c.submit('n0', job('wk-2')));
});
