import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Random } from '../../src/emulator/random.js';
import { Tasks } from '../../src/emulator/tasks.js';
import { checkHistory } from '../../src/load/checkhistory.js';
import { NODES } from '../support/busy.js';
import { FakeCluster, job } from '../support/cluster.js';
import { Users } from '../support/users.js';

const SUBMISSION_S = 120;
const JOBS_PER_SECOND = 4;

// Guards against a backlog of short jobs: one-task jobs arrive at four per second for two minutes, and a quarter of
// them is cancelled soon after. Jobs must not pile up at the key-value store rate limits of either operator, with
// requests and writes counted as the protocol of the store counts them.
for (const { rps, writeRps } of [
  { rps: 150, writeRps: 50 },
  { rps: 200, writeRps: 80 },
]) {
  test(`keeps up with four one-task jobs per second, a quarter cancelled, at ${writeRps} writes/s`, async () => {
    const cluster = new FakeCluster(NODES);
    cluster.teams = [{ name: 'red', cpus: 64, cpusMax: 0, gpus: 0, gpusMax: 0 }];
    cluster.standby = true;
    cluster.stateRates = { rps, writeRps };
    cluster.rateDivisor = NODES.length;
    Object.assign(cluster.state.limits, { requestsPerSecond: rps, writesPerSecond: writeRps });
    const random = new Random(7);
    const tasks = new Tasks(cluster.clock, random, new Map(cluster.types.map((t) => [t.name, t])), {
      gangWaitS: 40,
      gangPeerS: 5,
    });
    cluster.runtime = tasks;
    for (let i = 0; i < 8; i++) cluster.addWorker('c8', 'a');
    for (const n of NODES) cluster.startNode(n);
    await cluster.clock.advance(8000);
    const users = new Users(cluster, tasks, random);
    users.pollsClosely = false;
    const ids = Array.from({ length: SUBMISSION_S * JOBS_PER_SECOND }, (_, i) => `wk-${i + 1}`);
    const startedAt = cluster.clock.now();
    for (const [i, id] of ids.entries())
      cluster.clock.after((i * 1000) / JOBS_PER_SECOND, () => {
        void users.submit(
          job(id, { cpus: 1, memoryGb: 1, pullGb: 0.1, expectedS: 4, saveEveryS: 0 }),
          random.between(2, 5),
        );
        if (!random.chance(0.25)) return;
        const cancelOnceAccepted = () =>
          users.jobs.get(id)!.accepted
            ? void users.cancel(id)
            : void cluster.clock.after(500, cancelOnceAccepted);
        cluster.clock.after(random.between(200, 4000), cancelOnceAccepted);
      });
    await cluster.clock.advance(SUBMISSION_S * 1000);
    const unfinished = [...users.jobs.values()].filter((j) => !j.ended).length;
    assert.ok(unfinished < 90, `${unfinished} jobs are unfinished when the last one is submitted`);
    await cluster.clock.advance(25_000);
    assert.deepEqual(
      [...users.jobs.values()].filter((j) => !j.ended).map((j) => j.spec.id),
      [],
      'all jobs end soon',
    );
    const timesOf = (kind: string) =>
      new Map(users.events.filter((e) => e.kind === kind).map((e) => [e.job, e.at]));
    const submittedAt = timesOf('submitted');
    const waits = [...timesOf('accepted')].map(([id, ms]) => ms - submittedAt.get(id)!).sort((a, b) => a - b);
    assert.equal(waits.length, ids.length);
    assert.ok(
      waits[Math.floor(waits.length * 0.95)]! < 1000,
      `accepted after ${waits.at(-1)} ms at the most`,
    );
    const cancelRequestedAt = timesOf('cancel asked');
    assert.ok(cancelRequestedAt.size > 80, `${cancelRequestedAt.size} were cancelled`);
    const confirmationDelays = [...timesOf('cancelled')]
      .map(([id, ms]) => ms - cancelRequestedAt.get(id)!)
      .sort((a, b) => a - b);
    assert.ok(
      confirmationDelays[Math.floor(confirmationDelays.length * 0.95)]! < 1500,
      `confirmed after ${confirmationDelays.at(-1)} ms at the most`,
    );
    const specs = new Map([...users.jobs].map(([id, k]) => [id, k.spec]));
    assert.deepEqual(
      checkHistory(tasks.history, users.events, specs, { teams: cluster.teams, cancelS: 45 }),
      [],
    );
    const seconds = (cluster.clock.now() - startedAt) / 1000;
    assert.ok(
      cluster.state.refused[429] < seconds,
      `${cluster.state.refused[429]} requests were over the rates`,
    );
    assert.deepEqual(
      [...cluster.state.items.keys()].filter((k) => k.startsWith('act/')),
      [],
      'no job records remain',
    );
  });
}
