import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ServiceLevelObjectives, SLO_RANKS } from '../../src/scheduler/servicelevelobjectives.js';
import { FakeCluster, job } from '../support/cluster.js';

const objectives = [
  { kind: 'wait', class: 'train', withinS: 80, share: 0.9 },
  { kind: 'wait', class: 'train', withinS: 200, share: 0.97 },
  { kind: 'finished', class: 'train', withinS: 250, share: 0.97 },
  { kind: 'guarantee', class: null, withinS: 10, share: 0.8 },
];

test('a waiting gang ranks by the aims it can still meet, and is not put off for ever', () => {
  const aims = new ServiceLevelObjectives(objectives);
  const at = (ageS: number, runS = 60, deadlineS: number | null = null) =>
    aims.rank({ class: 'train', deadlineS }, ageS, runS);
  assert.equal(at(0), SLO_RANKS.allReachable);
  assert.equal(at(70), SLO_RANKS.allReachable);
  assert.equal(at(90), SLO_RANKS.someMissed, 'the first aim is missed, the others are far off');
  assert.equal(at(165), SLO_RANKS.lastChance, 'it has to start by 190 s to be done by 250 s');
  assert.equal(at(195), SLO_RANKS.allMissed);
  assert.equal(at(90, 150), SLO_RANKS.lastChance, 'a longer run has to start sooner');
  assert.equal(at(90, 60, 400), SLO_RANKS.allReachable, 'what was accepted for a deadline is not put off');
  assert.equal(at(90, 60, 160), SLO_RANKS.lastChance, 'and goes first when the deadline is near');
  assert.equal(at(1001), SLO_RANKS.allReachable, 'by its acceptance, before all that came later');
  assert.equal(aims.rank({ class: 'other', deadlineS: null }, 500, 60), SLO_RANKS.allReachable);
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

// Guards against one large array that holds up many small jobs which came just after it, and against the reverse: a large
// one that small ones put off for good.
test('among equals little work goes before much that came just before, and not before what came long before', async () => {
  const order = async (apartMs: number, dueS: number | null) => {
    const c = new FakeCluster(['n0']);
    c.teams = [];
    const worker = c.addWorker('c8', 'a');
    c.startNode('n0');
    assert.ok(await c.submit('n0', job('wk-1', { cpus: 8, expectedS: 300 })));
    assert.ok(await c.clock.until(() => worker.on('wk-1/0'), 20_000));
    assert.ok(await c.submit('n0', job('wk-2', { cpus: 8, pieces: 5, expectedS: 30, dueS })));
    await c.clock.advance(apartMs);
    assert.ok(await c.submit('n0', job('wk-3', { cpus: 8, expectedS: 1 })));
    await c.clock.advance(3000);
    worker.end('wk-1/0', 'done');
    assert.ok(await c.clock.until(() => worker.started.length > 1, 20_000));
    return worker.started[1]!.split('/')[0];
  };
  assert.equal(await order(20_000, null), 'wk-3');
  assert.equal(await order(70_000, null), 'wk-2');
  assert.equal(await order(20_000, 2000), 'wk-2', 'it was accepted for a deadline');
});

// Guards against urgent work that comes without end: inspections on a small deployment never began, since gangs took every
// place, and those that had begun were stopped for them.
test('ordinary work whose last aim comes near goes with urgent work, is not stopped for it, and stops nothing', async () => {
  const c = new FakeCluster(['n0']);
  c.objectives = [{ kind: 'finished', class: 'checks', withinS: 200, share: 0.9 }];
  c.teams = [];
  const worker = c.addWorker('c8', 'a');
  c.startNode('n0');
  const urgent = (id: string) =>
    job(id, { shape: 'ensemble', urgency: 'urgent', cpus: 8, expectedS: 60, saveEveryS: 0 });
  const order = () => worker.started.map((t) => t.split('/')[0]);
  assert.ok(await c.submit('n0', urgent('wk-1')));
  assert.ok(await c.clock.until(() => worker.on('wk-1/0'), 20_000));
  assert.ok(await c.submit('n0', job('wk-2', { jobClass: 'checks', cpus: 8, expectedS: 40 })));
  assert.ok(await c.submit('n0', urgent('wk-3')));
  await c.clock.advance(20_000);
  worker.end('wk-1/0', 'done');
  assert.ok(await c.clock.until(() => worker.on('wk-3/0'), 20_000), 'urgent work first while there is time');
  assert.ok(await c.submit('n0', urgent('wk-4')));
  await c.clock.advance(60_000);
  assert.ok(worker.on('wk-3/0'), 'nothing is stopped for it');
  worker.end('wk-3/0', 'done');
  assert.ok(await c.clock.until(() => worker.on('wk-2/0'), 20_000));
  assert.deepEqual(order(), ['wk-1', 'wk-3', 'wk-2']);
  await c.clock.advance(30_000);
  assert.ok(worker.on('wk-2/0'), 'and it is not stopped for what is urgent');
  worker.end('wk-2/0', 'done');
  assert.ok(await c.clock.until(() => worker.on('wk-4/0'), 20_000));
});

// Guards against the largest of a class that never begin: what has missed all of its aims, or has none, stood behind urgent work
// for good, and behind what other teams are guaranteed.
test('whatever stands before it, a large job begins within four minutes, in a shard that urgent work fills without end', async () => {
  for (const change of [
    { urgency: 'standard' },
    { urgency: 'low' },
    { urgency: 'standard', shape: 'ensemble' },
  ]) {
    const c = new FakeCluster(['n0']);
    c.objectives = [{ kind: 'finished', class: 'labels', withinS: 60, share: 0.9 }];
    c.teams = [
      { name: 'red', cpus: 8, cpusMax: 16, gpus: 0, gpusMax: 0 },
      { name: 'blue', cpus: 16, cpusMax: 0, gpus: 0, gpusMax: 0 },
    ];
    const machines = [c.addWorker('c8', 'a'), c.addWorker('c8', 'a')];
    c.startNode('n0');
    await c.clock.advance(5000);
    const large = job('wk-1', { jobClass: 'labels', cpus: 8, pieces: change.shape ? 2 : 40, ...change });
    let begunS: number | null = null;
    const ends = new Map<string, number>();
    for (let s = 0; s < 300 && begunS === null; s++) {
      // Two more than fit, and each urgent task runs for 20 s.
      if (s % 20 === 0)
        for (let i = 0; i < 3; i++) {
          const id = `wk-${100 + s * 3 + i}`;
          const urgent = { owner: 'blue', urgency: 'urgent', cpus: 8, expectedS: 20, saveEveryS: 0 };
          assert.ok(await c.submit('n0', job(id, urgent)));
        }
      if (s === 40) assert.ok(await c.submit('n0', large));
      for (const w of machines)
        for (const a of [...w.attempts]) {
          if (a.state === 'exited') continue;
          if (a.job === 'wk-1') begunS ??= s - 40;
          if (!ends.has(a.task)) ends.set(a.task, s + 20);
          if (s >= ends.get(a.task)!) w.end(a.task, 'done');
        }
      await c.clock.advance(1000);
    }
    assert.ok(begunS !== null && begunS <= 240, `${JSON.stringify(change)} begun after ${begunS} s`);
    assert.ok(begunS > 100, 'urgent work comes first until then');
  }
});

// Guards against large jobs that wait for each other to begin: one at a time was aged, with all of its tasks, so that where many are
// large the last ones waited for longer than any may, and a small one behind them as well.
test('many large jobs all begin within four minutes, and a small one among them, where urgent work comes without end', async () => {
  const c = new FakeCluster(['n0']);
  c.teams = [];
  const machines = Array.from({ length: 12 }, () => c.addWorker('c8', 'a'));
  c.startNode('n0');
  await c.clock.advance(5000);
  const waits = new Map<string, number>();
  const ends = new Map<string, number>();
  const many = Array.from({ length: 9 }, (_, i) => `wk-${i + 1}`);
  for (let s = 0; s < 330; s++) {
    // More than fit, each urgent task runs for 20 s, and each of the large jobs for 50 s.
    if (s % 20 === 0)
      for (let i = 0; i < 15; i++) {
        const urgent = { urgency: 'urgent', cpus: 8, expectedS: 20, saveEveryS: 0 };
        assert.ok(await c.submit('n0', job(`wk-${10_000 + s * 20 + i}`, urgent)));
      }
    if (s === 40)
      for (const [i, id] of many.entries())
        assert.ok(await c.submit('n0', job(id, { cpus: 2, pieces: i === 8 ? 1 : 60, expectedS: 50 })));
    for (const w of machines)
      for (const a of [...w.attempts]) {
        if (a.state === 'exited') continue;
        const large = many.includes(a.job);
        if (large && !waits.has(a.job)) waits.set(a.job, s - 40);
        if (!ends.has(`${a.task}#${a.attempt}`)) ends.set(`${a.task}#${a.attempt}`, s + (large ? 50 : 20));
        if (s >= ends.get(`${a.task}#${a.attempt}`)!) w.end(a.task, 'done');
      }
    await c.clock.advance(1000);
  }
  assert.deepEqual([...waits.keys()].sort(), many);
  const most = Math.max(...waits.values());
  assert.ok(most <= 240, `the last one begins after ${most} s`);
});
