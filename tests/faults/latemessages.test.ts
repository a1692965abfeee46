import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Random } from '../../src/emulator/random.js';
import { FakeCluster, job, LEASE_S } from '../support/cluster.js';

const NODES = ['n0', 'n1', 'n2'];

/** Delivers a report that was sent long ago, to nobody's knowledge. */
function deliver(c: FakeCluster, node: string, report: object): void {
  void c.nodes.get(node)?.api.handle(c.request('POST', '/v1/report', report));
}

// Guards against places on machines that are gone: a late copy of a report made the leader deal the machine out anew, and
// deadlines were promised on it until it counted as never come up.
test('a late copy of a report brings back no machine that was given back, whoever leads by then', async () => {
  const c = new FakeCluster(NODES);
  c.objectives = [];
  for (const n of NODES) c.startNode(n);
  const w = c.addWorker('c8', 'a');
  await c.clock.advance(5000);
  assert.ok(c.state.value(`c/m/${w.id}`));
  const report = w.report();
  assert.ok(await c.clock.until(() => c.released.includes(w.id), 120_000));
  await c.clock.advance(3000);
  c.net.peers.delete(w.place.addr);
  for (const restart of [false, true]) {
    if (restart) {
      for (const n of NODES) c.killNode(n);
      for (const n of NODES) c.startNode(n);
      await c.clock.advance(15_000);
    }
    for (let i = 0; i < 20; i++) {
      for (const n of NODES) deliver(c, n, report);
      await c.clock.advance(500);
      assert.equal(c.state.value(`c/m/${w.id}`), undefined, `dealt out (restarted: ${restart})`);
    }
  }
  // Its address may be another machine's by then: that one is asked no more often than copies come.
  let asked = 0;
  c.net.peers.set(w.place.addr, () => ({ status: 200, body: { ...report, worker: `m-${++asked}` } }));
  deliver(c, 'n0', report);
  await c.clock.advance(10_000);
  assert.equal(asked, 1);
  c.net.peers.delete(w.place.addr);
  const real = c.addWorker('c8', 'a');
  assert.ok(await c.clock.until(() => c.state.value(`c/m/${real.id}`) !== undefined, 15_000));
});

// Guards against a task that counts as gone, or as there, by a report from before it came or went.
test('a copy from before a start does not end it, and one from a session that is over brings nothing back', async () => {
  const c = new FakeCluster(['n0']);
  const [w, v] = [c.addWorker('c8', 'a'), c.addWorker('c8', 'a')];
  c.startNode('n0');
  await c.clock.advance(6000);
  assert.ok(await c.submit('n0', job('wk-0', { cpus: 8 })));
  assert.ok(await c.clock.until(() => [w, v].some((m) => m.on('wk-0/0')), 10_000));
  await c.clock.advance(2000);
  const m = w.on('wk-0/0') ? v : w;
  const empty = m.report();
  assert.ok(await c.submit('n0', job('wk-1', { cpus: 8, saveEveryS: 0 })));
  assert.ok(await c.clock.until(() => m.on('wk-1/0'), 10_000));
  await c.clock.advance(2000);
  const spare = c.addWorker('c8', 'b');
  await c.clock.advance(5000);
  const full = m.report();
  for (let i = 0; i < 5; i++) {
    deliver(c, 'n0', empty);
    await c.clock.advance(300);
  }
  assert.deepEqual(
    [m, spare].map((x) => x.started.length),
    [1, 0],
    'it is still there',
  );
  // Its lease ends, and the task waits for room.
  assert.ok(await c.submit('n0', job('wk-2', { cpus: 8, urgency: 'production' })));
  assert.ok(await c.clock.until(() => spare.on('wk-2/0'), 10_000));
  c.silent.add(m);
  c.net.fate = (_from, addr) => (addr === m.place.addr ? 'refuse' : 'deliver');
  m.lastSent = Number.NEGATIVE_INFINITY;
  m.checkLease();
  deliver(c, 'n0', m.report());
  await c.clock.advance(10);
  deliver(c, 'n0', full);
  await c.clock.advance(10);
  const reply = await c.call('n0', 'GET', '/api/jobs/wk-1');
  assert.equal((reply.body as { running: number }).running, 0, 'nothing of it runs any more');
});

// Guards against reports that count for more than they say: copies that come from seconds to three leases late, through
// crashes that are over within a fraction of a second, warm switches, elections, and machines that begin new sessions.
test('copies of reports at any later time bring nothing back, end nothing, and say nothing that was not', async () => {
  for (const seed of [1, 2, 3, 4, 5, 6]) {
    const random = new Random(seed);
    const pick = <T>(list: readonly T[]) => list[Math.floor(random.next() * list.length)]!;
    const c = new FakeCluster(NODES);
    c.teams = ['red', 'blue'].map((name) => ({ name, cpus: 32, cpusMax: 40, gpus: 0, gpusMax: 0 }));
    c.standby = seed % 2 === 0;
    const old: object[] = [];
    c.reported = (r) => old.push(r);
    for (let i = 0; i < 9; i++) c.addWorker('c8', 'a');
    for (const n of NODES) c.startNode(n);
    await c.clock.advance(8000);
    const tasks = new Map<string, number>();
    const ended = new Set<string>();
    const done = new Set<string>();
    const told = new Map<string, string>();
    const look = async (id: string) => {
      const node = pick([...c.nodes.keys()]);
      const reply = await c.call(node, 'GET', `/api/jobs/${id}`);
      if (reply.status !== 200) return;
      const { status, done: n } = reply.body as { status: string; done: number };
      const truly = [...ended].filter((t) => t.startsWith(`${id}/`)).length;
      assert.ok(n <= truly, `${id}: ${n} tasks called done, ${truly} are`);
      if (status === 'done') assert.equal(truly, tasks.get(id), `${id} is called done`);
      if (told.get(id) === 'done') assert.equal(status, 'done', `${id} went back`);
      told.set(id, status);
      if (status === 'done') done.add(id);
    };
    for (let s = 0; s < 150; s++) {
      if (s % 12 === 0 && s < 120) {
        const id = `wk-${s}`;
        tasks.set(id, 3);
        const owner = pick(['red', 'blue']);
        assert.ok(await c.submit(pick([...c.nodes.keys()]), job(id, { owner, pieces: 3, cpus: 4 })));
      }
      for (let i = 0; i < 8 && old.length > 0; i++) {
        const back = 1 + Math.floor(random.next() ** 3 * 9 * 3 * LEASE_S);
        deliver(c, pick([...c.nodes.keys()]), old[Math.max(0, old.length - back)]!);
      }
      for (const w of c.workers) {
        const a = w.attempts.find((x) => x.state === 'running');
        if (a && random.next() < 0.08) {
          ended.add(a.task);
          w.end(a.task, 'done');
        }
      }
      if (s < 110 && random.next() < 0.06) {
        const n = pick(NODES);
        c.killNode(n);
        await c.clock.advance(100 + random.next() * 700);
        c.startNode(n);
      }
      if (s < 110 && random.next() < 0.04) {
        const w = pick(c.workers);
        w.lastSent = Number.NEGATIVE_INFINITY;
        w.checkLease();
      }
      await c.clock.advance(1000);
      const on = new Map<string, string>();
      for (const w of c.workers)
        for (const a of w.attempts) {
          if (a.state === 'exited') continue;
          assert.equal(
            on.get(a.task),
            undefined,
            `${a.task} is on ${w.id} and ${on.get(a.task)}, seed ${seed}`,
          );
          on.set(a.task, w.id);
        }
      await look(pick([...tasks.keys()]));
    }
    for (let s = 0; s < 150 && done.size < tasks.size; s++) {
      for (const w of c.workers)
        for (const a of [...w.attempts]) {
          if (a.state !== 'running') continue;
          ended.add(a.task);
          w.end(a.task, 'done');
        }
      await c.clock.advance(1000);
      for (const id of tasks.keys()) if (!done.has(id)) await look(id);
    }
    assert.deepEqual(
      [...tasks.keys()].filter((id) => !done.has(id)),
      [],
      `seed ${seed}`,
    );
  }
});
