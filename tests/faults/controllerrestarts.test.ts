import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FakeCluster, job, LEASE_S } from '../support/cluster.js';

const NODES = ['n0', 'n1', 'n2'];
const STATE = '10.2.0.1';

async function busy(tasks = 6): Promise<FakeCluster> {
  const c = new FakeCluster(NODES);
  c.standby = true;
  c.teams = [{ name: 'red', cpus: 64, cpusMax: 0, gpus: 0, gpusMax: 0 }];
  for (let i = 0; i < 9; i++) c.addWorker('c8', 'a');
  for (const n of NODES) c.startNode(n);
  await c.clock.advance(8000);
  assert.ok(await c.submit('n1', job('wk-1', { pieces: tasks, cpus: 8, expectedS: 300 })));
  assert.ok(await c.clock.until(() => c.attempts === tasks, 20_000));
  await c.clock.advance(3000);
  return c;
}

const sessions = (c: FakeCluster) => new Set(c.workers.map((w) => w.session));

// Guards against an owner that goes on deciding, or holds its machines, when all that it still reaches are the workers.
test('an owner that keeps only its workers stops deciding, loses no machine, and takes nothing up twice when it is back', async () => {
  const c = await busy();
  const k = c.shardOf('wk-1');
  const old = c.owner(k)!;
  const cut = (on: boolean) => {
    c.net.fate = (from, addr) => (on && from === old && addr.startsWith(STATE) ? 'silent' : 'deliver');
    c.parted = on ? new Set([old]) : new Set();
  };
  cut(true);
  assert.ok(await c.clock.until(() => c.owner(k) !== undefined && c.owner(k) !== old, 15_000), 'taken over');
  // From the take-over on it answers no report with 200: the machines find the new owner.
  const orders: string[] = [];
  const fate = c.net.fate;
  c.net.fate = (from, addr, method, path, body) => {
    if (from === old && path === '/do') orders.push(addr);
    return fate(from, addr, method, path, body);
  };
  await c.clock.advance(LEASE_S * 1000 + 8000);
  assert.deepEqual(orders, [], 'it gives no orders');
  assert.deepEqual(sessions(c), new Set([1]), 'no machine has lost its lease');
  assert.ok(await c.submit(NODES.find((n) => n !== old)!, job('wk-2', { cpus: 8, dueS: 900 })));
  assert.ok(await c.clock.until(() => c.workers.some((w) => w.on('wk-2/0')), 10_000));
  cut(false);
  await c.clock.advance(40_000);
  assert.deepEqual(sessions(c), new Set([1]));
  assert.equal(c.starts, 7, 'nothing was started twice');
  assert.equal(c.attempts, 7);
});

// Guards against an old and a new run of one name that mix: back before anybody has noticed, in the middle of a claim, a naming, a
// switch home or an election.
test('controllers that are back within a fraction of a second, at any moment, lose and repeat nothing', async () => {
  const c = await busy();
  const told = new Set<string>();
  let next = 2;
  const moments: [string, () => boolean][] = [
    ['at rest', () => true],
    ['a claim', () => [0, 1, 2].some((k) => c.owner(k) === undefined)],
    ['a naming', () => [0, 1, 2].some((k) => c.state.value(`c/stand/${k}`) === undefined)],
    ['an election', () => c.state.value('c/lead') === undefined],
    ['a switch', () => c.sent.at(-1)?.op === 'assume'],
  ];
  for (const [what, is] of moments)
    for (const victim of NODES) {
      // Something to be in the middle of: the owner of a shard ends, and the victim some moments later.
      const other = NODES.find((n) => n !== victim && c.nodes.has(n))!;
      c.killNode(other);
      await c.clock.until(is, 4000);
      c.killNode(victim);
      await c.clock.advance(150);
      c.startNode(victim);
      await c.clock.advance(400);
      c.startNode(other);
      assert.ok(
        await c.submit(victim, job(`wk-${next}`, { cpus: 1, expectedS: 5 })),
        `accepted during ${what}`,
      );
      told.add(`wk-${next++}`);
      await c.clock.advance(9000);
      const on = new Map<string, number>();
      for (const w of c.workers)
        for (const a of w.attempts) if (a.state !== 'exited') on.set(a.task, (on.get(a.task) ?? 0) + 1);
      assert.deepEqual(
        [...on].filter(([, n]) => n > 1),
        [],
        `one place each after ${what}`,
      );
    }
  await c.clock.advance(30_000);
  assert.deepEqual(new Set([0, 1, 2].map((k) => c.owner(k))), new Set(NODES), 'one shard each again');
  assert.deepEqual(sessions(c), new Set([1]), 'no machine has lost its lease');
  for (const id of told) {
    const reply = await c.call('n0', 'GET', `/api/jobs/${id}`);
    assert.equal((reply.body as { status: string }).status, 'running', id);
  }
  assert.equal(c.starts, 6 + told.size, 'nothing was started twice');
});

// Guards against accepted jobs that nobody answers for: within 75 s of the end of all troubles each is known, by whichever way.
test('after all troubles every accepted job is known: deputies that died, owners that never heard, records in pieces', async () => {
  const c = await busy(2);
  const k = c.shardOf('wk-1');
  const ids: string[] = [];
  const submit = async (node: string, id: string, change: object = {}) => {
    if (await c.submit(node, job(id, { cpus: 1, expectedS: 20, ...change }))) ids.push(id);
  };
  // An owner that stands still: deputies accept for it, and die before anybody has confirmed.
  const old = c.owner(k)!;
  const wake = c.freeze(old);
  const deputy = NODES.find((n) => n !== old)!;
  c.lostMessages.add('status');
  c.lostMessages.add('submit');
  await submit(deputy, 'wk-2');
  c.killNode(deputy);
  wake();
  await c.clock.advance(700);
  c.startNode(deputy);
  // The owner leaves in the middle of a switch, and its successor ends with it.
  c.lostAnswers.add('assume');
  void c.nodes.get(c.owner(k) ?? old)?.node.leave();
  await c.clock.advance(50);
  for (const n of NODES) c.killNode(n);
  c.lostAnswers.clear();
  c.lostMessages.clear();
  await c.clock.advance(300);
  for (const n of NODES) c.startNode(n);
  await c.clock.advance(5000);
  // A description in several records, all controllers gone right after, and a state service that is out when they are back.
  const after = Array.from({ length: 500 }, (_, i) => `wk-${1000 + i}`);
  await submit('n0', 'wk-3', { waitsOn: ['wk-1'], bundle: `img-${after.join('').slice(0, 150)}` });
  await submit('n1', 'wk-4', { pieces: 40 });
  for (const n of NODES) c.killNode(n);
  c.state.down = true;
  await c.clock.advance(300);
  for (const n of NODES) c.startNode(n);
  await c.clock.advance(12_000);
  c.state.restore();
  c.stateRates = { rps: 20, writeRps: 10 };
  assert.ok(ids.length >= 3, `${ids.length} accepted`);
  const silent = new Map(ids.map((id) => [id, c.clock.now()]));
  for (let s = 0; s < 75; s += 5) {
    for (const id of ids)
      for (const n of NODES) {
        const reply = await c.call(n, 'GET', `/api/jobs/${id}`);
        assert.notEqual(reply.status, 404, `${id} at ${n}`);
        if (reply.status === 200) silent.set(id, c.clock.now());
      }
    await c.clock.advance(5000);
  }
  for (const [id, at] of silent)
    assert.ok(c.clock.now() - at < 20_000, `${id} was last answered for long ago`);
});
