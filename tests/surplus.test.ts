import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FakeCluster, job } from './support/cluster.js';

// Guards against a fleet that stays as large as it ever was: small tasks end and begin all over it, and no machine is ever empty.
test('machines that the work at hand does not need run empty and are given back, spot ones last, and nothing is stopped', async () => {
  const c = new FakeCluster(['n0']);
  c.teams = [];
  c.objectives = [
    { kind: 'wait', class: 'train', withinS: 10, share: 0.9 },
    { kind: 'guarantee', class: null, withinS: 10, share: 0.97 },
  ];
  for (let i = 0; i < 12; i++) c.addWorker('c8', 'a', i < 6);
  c.startNode('n0');
  await c.clock.advance(6000);
  const at = new Map<string, number>();
  let next = 0;
  let stopped = 0;
  // One task of one CPU each second, 24 s long: three of twelve machines hold them all.
  for (let s = 0; s < 120; s++) {
    const id = `wk-${next++}`;
    assert.ok(await c.submit('n0', job(id, { cpus: 1, memoryGb: 1, expectedS: 24 })));
    for (const w of c.workers)
      for (const a of [...w.attempts]) {
        if (a.cause === 'stopped') stopped++;
        if (a.state === 'exited') continue;
        if (!at.has(a.task)) at.set(a.task, s);
        if (s - at.get(a.task)! >= 24) w.end(a.task, 'done');
      }
    await c.clock.advance(1000);
  }
  assert.ok(c.released.length >= 6, `${c.released.length} of 12 given back in two minutes`);
  assert.ok(c.workers.length >= 3);
  const spots = c.workers.filter((w) => w.place.spot).length;
  assert.ok(spots === c.workers.length, `${spots} of ${c.workers.length} left are spot machines`);
  assert.equal(stopped, 0);
});
