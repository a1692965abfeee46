import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Random } from '../../src/emulator/random.js';
import { Tasks } from '../../src/emulator/tasks.js';
import { checkHistory } from '../../src/load/checkhistory.js';
import { NODES } from '../support/busy.js';
import { FakeCluster, job } from '../support/cluster.js';
import { Users } from '../support/users.js';

const COMING_S = 120;
const A_SECOND = 4;

// One-task jobs come four a second for minutes, a quarter of them is called off soon after, and nothing of it may pile up: within the
// state service's rates of either operator, as its protocol counts them.
for (const { rps, writeRps } of [
  { rps: 150, writeRps: 50 },
  { rps: 200, writeRps: 80 },
]) {
  test(`four one-task jobs a second for two minutes, a quarter cancelled, within ${writeRps} changes a second`, async () => {
    const c = new FakeCluster(NODES);
    c.teams = [{ name: 'red', cpus: 64, cpusMax: 0, gpus: 0, gpusMax: 0 }];
    c.standby = true;
    c.stateRates = { rps, writeRps };
    c.ratesParted = NODES.length;
    Object.assign(c.state.limits, { requestsPerSecond: rps, writesPerSecond: writeRps });
    const random = new Random(7);
    const tasks = new Tasks(c.clock, random, new Map(c.types.map((t) => [t.name, t])), {
      gangWaitS: 40,
      gangPeerS: 5,
    });
    c.runtime = tasks;
    for (let i = 0; i < 8; i++) c.addWorker('c8', 'a');
    for (const n of NODES) c.startNode(n);
    await c.clock.advance(8000);
    const users = new Users(c, tasks, random);
    users.looking = false;
    const ids = Array.from({ length: COMING_S * A_SECOND }, (_, i) => `wk-${i + 1}`);
    const begun = c.clock.now();
    for (const [i, id] of ids.entries())
      c.clock.after((i * 1000) / A_SECOND, () => {
        void users.submit(
          job(id, { cpus: 1, memoryGb: 1, pullGb: 0.1, expectedS: 4, saveEveryS: 0 }),
          random.between(2, 5),
        );
        if (!random.chance(0.25)) return;
        const again = () =>
          users.jobs.get(id)!.accepted ? void users.cancel(id) : void c.clock.after(500, again);
        c.clock.after(random.between(200, 4000), again);
      });
    await c.clock.advance(COMING_S * 1000);
    const open = [...users.jobs.values()].filter((j) => !j.over).length;
    assert.ok(open < 90, `${open} jobs are open as the last one comes`);
    await c.clock.advance(25_000);
    assert.deepEqual(
      [...users.jobs.values()].filter((j) => !j.over).map((j) => j.spec.id),
      [],
      'all are over soon',
    );
    const at = (kind: string) =>
      new Map(users.events.filter((e) => e.kind === kind).map((e) => [e.job, e.at]));
    const submitted = at('submitted');
    const waits = [...at('accepted')].map(([id, ms]) => ms - submitted.get(id)!).sort((a, b) => a - b);
    assert.equal(waits.length, ids.length);
    assert.ok(
      waits[Math.floor(waits.length * 0.95)]! < 1000,
      `accepted after ${waits.at(-1)} ms at the most`,
    );
    const asked = at('cancel asked');
    assert.ok(asked.size > 80, `${asked.size} were called off`);
    const confirmed = [...at('cancelled')].map(([id, ms]) => ms - asked.get(id)!).sort((a, b) => a - b);
    assert.ok(
      confirmed[Math.floor(confirmed.length * 0.95)]! < 1500,
      `confirmed after ${confirmed.at(-1)} ms at the most`,
    );
    const specs = new Map([...users.jobs].map(([id, k]) => [id, k.spec]));
    assert.deepEqual(checkHistory(tasks.history, users.events, specs, { teams: c.teams, cancelS: 45 }), []);
    const seconds = (c.clock.now() - begun) / 1000;
    assert.ok(c.state.refused[429] < seconds, `${c.state.refused[429]} requests were over the rates`);
    assert.deepEqual(
      [...c.state.items.keys()].filter((k) => k.startsWith('act/')),
      [],
      'nothing is left behind',
    );
  });
}
