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

test('ranks a waiting gang by the objectives it can still meet, without deferring it forever', () => {
  const slos = new ServiceLevelObjectives(objectives);
  const rankAt = (ageS: number, runS = 60, deadlineS: number | null = null) =>
    slos.rank({ class: 'train', deadlineS }, ageS, runS);
  assert.equal(rankAt(0), SLO_RANKS.allReachable);
  assert.equal(rankAt(70), SLO_RANKS.allReachable);
  assert.equal(rankAt(90), SLO_RANKS.someMissed, 'the first objective is missed, the others are far off');
  assert.equal(rankAt(165), SLO_RANKS.lastChance, 'it has to start by 190 s to be done by 250 s');
  assert.equal(rankAt(195), SLO_RANKS.allMissed);
  assert.equal(rankAt(90, 150), SLO_RANKS.lastChance, 'a longer run has to start sooner');
  assert.equal(rankAt(90, 60, 400), SLO_RANKS.allReachable, 'a job accepted with a deadline is not deferred');
  assert.equal(rankAt(90, 60, 160), SLO_RANKS.lastChance, 'it goes first when its deadline is near');
  assert.equal(rankAt(1001), SLO_RANKS.allReachable, 'ordered by acceptance, ahead of all later jobs');
  assert.equal(slos.rank({ class: 'other', deadlineS: null }, 500, 60), SLO_RANKS.allReachable);
});

// Guards against a burst after which every gang waits behind those that have already missed their objective.
test('starts gangs that can still meet their objective first after a burst', async () => {
  const cluster = new FakeCluster(['n0']);
  cluster.objectives = [{ kind: 'wait', class: 'train', withinS: 60, share: 0.9 }];
  cluster.teams = [];
  const worker = cluster.addWorker('c8', 'a');
  cluster.startNode('n0');
  const gang = (id: string) => job(id, { shape: 'ensemble', cpus: 8, expectedS: 300 });
  for (const id of ['wk-1', 'wk-2']) {
    assert.ok(await cluster.submit('n0', gang(id)));
    await cluster.clock.advance(1000);
  }
  assert.ok(await cluster.clock.until(() => worker.isActive('wk-1/0'), 20_000));
  await cluster.clock.advance(70_000);
  assert.ok(await cluster.submit('n0', gang('wk-3')));
  await cluster.clock.advance(3000);
  worker.endTask('wk-1/0', 'done');
  assert.ok(await cluster.clock.until(() => worker.executedStarts.length > 1, 20_000));
  assert.deepEqual(worker.executedStarts, ['wk-1/0', 'wk-3/0']);
  worker.endTask('wk-3/0', 'done');
  assert.ok(
    await cluster.clock.until(() => worker.isActive('wk-2/0'), 20_000),
    'the deferred gang still starts',
  );
});

// Guards against a large array that delays many small jobs accepted just after it, and against small jobs that defer
// a large one forever.
test('starts a small job before an equal large one accepted shortly before, but not long before', async () => {
  const startOrder = async (gapMs: number, dueS: number | null) => {
    const cluster = new FakeCluster(['n0']);
    cluster.teams = [];
    const worker = cluster.addWorker('c8', 'a');
    cluster.startNode('n0');
    assert.ok(await cluster.submit('n0', job('wk-1', { cpus: 8, expectedS: 300 })));
    assert.ok(await cluster.clock.until(() => worker.isActive('wk-1/0'), 20_000));
    assert.ok(await cluster.submit('n0', job('wk-2', { cpus: 8, pieces: 5, expectedS: 30, dueS })));
    await cluster.clock.advance(gapMs);
    assert.ok(await cluster.submit('n0', job('wk-3', { cpus: 8, expectedS: 1 })));
    await cluster.clock.advance(3000);
    worker.endTask('wk-1/0', 'done');
    assert.ok(await cluster.clock.until(() => worker.executedStarts.length > 1, 20_000));
    return worker.executedStarts[1]!.split('/')[0];
  };
  assert.equal(await startOrder(20_000, null), 'wk-3');
  assert.equal(await startOrder(70_000, null), 'wk-2');
  assert.equal(await startOrder(20_000, 2000), 'wk-2', 'it was accepted with a deadline');
});

// Guards against starvation by a continuous stream of urgent work: on a small deployment, inspection jobs never
// started because gangs took all capacity, and those that had started were preempted.
test('ages normal jobs near their last objective, which neither preempt nor are preempted', async () => {
  const cluster = new FakeCluster(['n0']);
  cluster.objectives = [{ kind: 'finished', class: 'checks', withinS: 200, share: 0.9 }];
  cluster.teams = [];
  const worker = cluster.addWorker('c8', 'a');
  cluster.startNode('n0');
  const urgent = (id: string) =>
    job(id, { shape: 'ensemble', urgency: 'urgent', cpus: 8, expectedS: 60, saveEveryS: 0 });
  const startOrder = () => worker.executedStarts.map((t) => t.split('/')[0]);
  assert.ok(await cluster.submit('n0', urgent('wk-1')));
  assert.ok(await cluster.clock.until(() => worker.isActive('wk-1/0'), 20_000));
  assert.ok(await cluster.submit('n0', job('wk-2', { jobClass: 'checks', cpus: 8, expectedS: 40 })));
  assert.ok(await cluster.submit('n0', urgent('wk-3')));
  await cluster.clock.advance(20_000);
  worker.endTask('wk-1/0', 'done');
  assert.ok(
    await cluster.clock.until(() => worker.isActive('wk-3/0'), 20_000),
    'urgent work goes first while there is time',
  );
  assert.ok(await cluster.submit('n0', urgent('wk-4')));
  await cluster.clock.advance(60_000);
  assert.ok(worker.isActive('wk-3/0'), 'no task is preempted for the aged job');
  worker.endTask('wk-3/0', 'done');
  assert.ok(await cluster.clock.until(() => worker.isActive('wk-2/0'), 20_000));
  assert.deepEqual(startOrder(), ['wk-1', 'wk-3', 'wk-2']);
  await cluster.clock.advance(30_000);
  assert.ok(worker.isActive('wk-2/0'), 'the aged job is not preempted for urgent work');
  worker.endTask('wk-2/0', 'done');
  assert.ok(await cluster.clock.until(() => worker.isActive('wk-4/0'), 20_000));
});

// Guards against large jobs that never start: a job that had missed all of its objectives, or had none, stayed behind
// urgent work and behind the guarantees of other teams forever.
test('starts a large job within four minutes in a shard that urgent work fills continuously', async () => {
  for (const overrides of [
    { urgency: 'standard' },
    { urgency: 'low' },
    { urgency: 'standard', shape: 'ensemble' },
  ]) {
    const cluster = new FakeCluster(['n0']);
    cluster.objectives = [{ kind: 'finished', class: 'labels', withinS: 60, share: 0.9 }];
    cluster.teams = [
      { name: 'red', cpus: 8, cpusMax: 16, gpus: 0, gpusMax: 0 },
      { name: 'blue', cpus: 16, cpusMax: 0, gpus: 0, gpusMax: 0 },
    ];
    const machines = [cluster.addWorker('c8', 'a'), cluster.addWorker('c8', 'a')];
    cluster.startNode('n0');
    await cluster.clock.advance(5000);
    const large = job('wk-1', {
      jobClass: 'labels',
      cpus: 8,
      pieces: overrides.shape ? 2 : 40,
      ...overrides,
    });
    let startDelayS: number | null = null;
    const ends = new Map<string, number>();
    for (let second = 0; second < 300 && startDelayS === null; second++) {
      // Each round submits one urgent job more than the two that fit; each urgent task runs for 20 s.
      if (second % 20 === 0)
        for (let i = 0; i < 3; i++) {
          const id = `wk-${100 + second * 3 + i}`;
          const urgent = { owner: 'blue', urgency: 'urgent', cpus: 8, expectedS: 20, saveEveryS: 0 };
          assert.ok(await cluster.submit('n0', job(id, urgent)));
        }
      if (second === 40) assert.ok(await cluster.submit('n0', large));
      for (const worker of machines)
        for (const attempt of [...worker.attempts]) {
          if (attempt.state === 'exited') continue;
          if (attempt.job === 'wk-1') startDelayS ??= second - 40;
          if (!ends.has(attempt.task)) ends.set(attempt.task, second + 20);
          if (second >= ends.get(attempt.task)!) worker.endTask(attempt.task, 'done');
        }
      await cluster.clock.advance(1000);
    }
    assert.ok(
      startDelayS !== null && startDelayS <= 240,
      `${JSON.stringify(overrides)} started after ${startDelayS} s`,
    );
    assert.ok(startDelayS > 100, 'urgent work goes first until then');
  }
});

// Guards against large jobs that wait for each other to start: they aged one at a time, each with all of its tasks, so
// that the last of many large jobs, and a small one behind them, waited longer than any job may.
test('starts many large jobs and a small one within four minutes under continuous urgent work', async () => {
  const cluster = new FakeCluster(['n0']);
  cluster.teams = [];
  const machines = Array.from({ length: 12 }, () => cluster.addWorker('c8', 'a'));
  cluster.startNode('n0');
  await cluster.clock.advance(5000);
  const waits = new Map<string, number>();
  const ends = new Map<string, number>();
  const largeJobs = Array.from({ length: 9 }, (_, i) => `wk-${i + 1}`);
  for (let second = 0; second < 330; second++) {
    // More urgent jobs than fit: each urgent task runs for 20 s, each task of the large jobs for 50 s.
    if (second % 20 === 0)
      for (let i = 0; i < 15; i++) {
        const urgent = { urgency: 'urgent', cpus: 8, expectedS: 20, saveEveryS: 0 };
        assert.ok(await cluster.submit('n0', job(`wk-${10_000 + second * 20 + i}`, urgent)));
      }
    if (second === 40)
      for (const [i, id] of largeJobs.entries())
        assert.ok(await cluster.submit('n0', job(id, { cpus: 2, pieces: i === 8 ? 1 : 60, expectedS: 50 })));
    for (const worker of machines)
      for (const attempt of [...worker.attempts]) {
        if (attempt.state === 'exited') continue;
        const large = largeJobs.includes(attempt.job);
        if (large && !waits.has(attempt.job)) waits.set(attempt.job, second - 40);
        if (!ends.has(`${attempt.task}#${attempt.attempt}`))
          ends.set(`${attempt.task}#${attempt.attempt}`, second + (large ? 50 : 20));
        if (second >= ends.get(`${attempt.task}#${attempt.attempt}`)!) worker.endTask(attempt.task, 'done');
      }
    await cluster.clock.advance(1000);
  }
  assert.deepEqual([...waits.keys()].sort(), largeJobs);
  const longestWaitS = Math.max(...waits.values());
  assert.ok(longestWaitS <= 240, `the last one starts after ${longestWaitS} s`);
});
