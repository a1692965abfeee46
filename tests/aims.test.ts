import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Aims, RANKS } from '../src/shard/aims.js';
import { FakeCluster, job } from './support/cluster.js';

const objectives = [
  { kind: 'wait', class: 'train', withinS: 80, share: 0.9 },
  { kind: 'wait', class: 'train', withinS: 200, share: 0.97 },
  { kind: 'finished', class: 'train', withinS: 250, share: 0.97 },
  { kind: 'guarantee', class: null, withinS: 10, share: 0.8 },
];

test('a waiting gang ranks by the aims it can still meet, and is not put off for ever', () => {
  const aims = new Aims(objectives);
  const at = (ageS: number, runS = 60, deadlineS: number | null = null) =>
    aims.rank({ class: 'train', deadlineS }, ageS, runS);
  assert.equal(at(0), RANKS.allInReach);
  assert.equal(at(70), RANKS.allInReach);
  assert.equal(at(90), RANKS.someLost, 'the first aim is missed, the others are far off');
  assert.equal(at(165), RANKS.lastChance, 'it has to start by 190 s to be done by 250 s');
  assert.equal(at(195), RANKS.allLost);
  assert.equal(at(90, 150), RANKS.lastChance, 'a longer run has to start sooner');
  assert.equal(at(90, 60, 160), RANKS.lastChance, 'what its user was promised is an aim too');
  assert.equal(at(1001), RANKS.allInReach, 'by its acceptance, before all that came later');
  assert.equal(aims.rank({ class: 'other', deadlineS: null }, 500, 60), RANKS.allInReach);
});

// Guards against a burst after which every gang waits behind those that have already missed their aim.
test('after a burst, gangs that can still meet their aim go before those that cannot', async () => {
  const c = new FakeCluster(['n0']);
  c.objectives = [{ kind: 'wait', class: 'train', withinS: 60, share: 0.9 }];
  c.teams = [];
  const worker = c.addWorker('c8', 'a');
  c.startNode('n0');
  const gang = (id: string) => job(id, { shape: 'ensemble', cpus: 8, expectedS: 300 });
  for (const id of ['wk-1', 'wk-2']) {
    assert.ok(await c.submit('n0', gang(id)));
    await c.clock.advance(1000);
  }
  assert.ok(await c.clock.until(() => worker.on('wk-1/0'), 20_000));
  await c.clock.advance(70_000);
  assert.ok(await c.submit('n0', gang('wk-3')));
  await c.clock.advance(3000);
  worker.end('wk-1/0', 'done');
  assert.ok(await c.clock.until(() => worker.started.length > 1, 20_000));
  assert.deepEqual(worker.started, ['wk-1/0', 'wk-3/0']);
  worker.end('wk-3/0', 'done');
  assert.ok(await c.clock.until(() => worker.on('wk-2/0'), 20_000), 'the other one is not forgotten');
});
