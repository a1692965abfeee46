import assert from 'node:assert/strict';
import { test } from 'node:test';
import { busy, NODES, running, status } from '../support/busy.js';
import { type FakeCluster, job, STATE } from '../support/cluster.js';

const CANCEL_MS = 45_000;

const ends = (body: unknown, id: string) => JSON.stringify(body).includes(`"job/${id}"`);

/** What users hear of a job from all nodes while time passes: once cancelled, nothing else, and nothing of it on a machine in time. */
async function holds(
  c: FakeCluster,
  id: string,
  forMs: number,
  cancelToldAt: number | null = null,
): Promise<number> {
  const end = c.clock.now() + forMs;
  let toldAt = cancelToldAt;
  for (let i = 0; c.clock.now() < end; i++) {
    const node = NODES[i % 3]!;
    if (c.nodes.has(node)) {
      const heard = await status(c, node, id);
      if (heard === 'aborted') toldAt ??= c.clock.now();
      else if (toldAt !== null) assert.equal(typeof heard, 'number', `${id} was cancelled and is ${heard}`);
    }
    if (toldAt !== null && c.clock.now() > toldAt + CANCEL_MS)
      assert.equal(running(c, id), 0, `${id} runs on`);
    await c.clock.advance(700);
  }
  assert.ok(toldAt !== null, `nobody says that ${id} is cancelled`);
  return toldAt;
}

// Guards against a cancellation whose write got no answer and was made all the same, at once or seconds later: any other node
// found the record and told the user, while the owner renewed the leases of the job's tasks for good and called it running.
test('a cancellation of which nobody knows whether it was stored ends the job, asked for once and never again', async () => {
  for (const fate of ['lost-answer', 7000] as const) {
    const { c, k } = await busy(2);
    const owner = c.owner(k)!;
    const other = NODES.find((n) => n !== owner)!;
    let met = 0;
    c.net.fate = (from, addr, _method, path, body) => {
      if (from !== owner || addr !== STATE) return 'deliver';
      // The write, and what reads it back.
      if (path === '/txn' && ends(body, 'wk-1') && met++ === 0) return fate;
      return met > 0 && path.includes('job/wk-1') ? 'refuse' : 'deliver';
    };
    const reply = await c.call(other, 'POST', '/api/jobs/wk-1/abort');
    if (reply.status === 200)
      assert.ok(c.state.value('job/wk-1') && fate !== 'lost-answer', 'told before it is known');
    assert.ok(met > 0, 'and its write met its fate');
    assert.equal(running(c, 'wk-1'), 0, 'the wish is enough to stop it');
    c.net.fate = () => 'deliver';
    await holds(c, 'wk-1', CANCEL_MS + 10_000);
    assert.equal(c.owner(k), owner);
    assert.equal(running(c, 'wk-2'), 3, 'what was not cancelled runs on');
    assert.equal(await status(c, owner, 'wk-1'), 'aborted');
  }
});

// Guards against an owner that calls a job running whose end another node has read and told.
test('a completion whose write got no answer is never taken back', async () => {
  const { c, k } = await busy(1);
  const owner = c.owner(k)!;
  let met = 0;
  c.net.fate = (from, addr, _method, path, body) => {
    if (from !== owner || addr !== STATE) return 'deliver';
    if (path === '/txn' && ends(body, 'wk-1')) return met++ === 0 ? 'lost-answer' : 'refuse';
    return met > 0 && path.includes('job/wk-1') ? 'refuse' : 'deliver';
  };
  for (const w of c.workers) for (const a of [...w.attempts]) w.end(a.task, 'done');
  assert.ok(await c.clock.until(() => c.state.value('job/wk-1') !== undefined, 10_000));
  const others = NODES.filter((n) => n !== owner);
  assert.equal(await status(c, others[0]!, 'wk-1'), 'done');
  for (let i = 0; i < 12; i++) {
    for (const n of NODES) {
      const heard = await status(c, n, 'wk-1');
      assert.ok(heard === 'done' || typeof heard === 'number', `${n} says ${heard}`);
    }
    if (i === 6) c.net.fate = () => 'deliver';
    await c.clock.advance(1000);
  }
  for (const n of NODES) assert.equal(await status(c, n, 'wk-1'), 'done');
});

/** Asks a node to cancel, at once and without waiting; tells when the user was told. */
function cancel(c: FakeCluster, node: string, id: string): { toldAt: number | null } {
  const told: { toldAt: number | null } = { toldAt: null };
  void c.nodes
    .get(node)!
    .api.handle(c.request('POST', `/api/jobs/${id}/abort`))
    .then((reply) => {
      if (reply.status === 200) told.toldAt = c.clock.now();
    });
  return told;
}

// The gap: the state service refuses the leading controller alone, another one confirms cancellations, then it is out for all, longer
// than a cancellation may take, while machines go on reporting to the old leader. What bounds it is that the old leader gives up its
// shard before anyone else can take it, and answers no report with 200 from then on.
test('cancelled through another node before an outage longer than that may take, all tasks are gone in time', async () => {
  for (const mode of ['refused', 'refused, and no peer', 'lost in the last second'] as const) {
    const { c, k } = await busy(3);
    const [old, next] = [c.owner(k)!, (c.state.value(`c/stand/${k}`) as { node: string }).node];
    const other = NODES.find((n) => n !== old && n !== next)!;
    const told = new Map<string, { toldAt: number | null }>();
    const oks: string[] = [];
    const { api } = c.nodes.get(old)!;
    const handle = api.handle.bind(api);
    let watching = false;
    api.handle = async (r) => {
      const reply = await handle(r);
      if (watching && r.path === '/v1/report' && reply.status === 200) oks.push(r.path);
      return reply;
    };
    c.state.refusing.add(old);
    if (mode === 'refused, and no peer') c.parted = new Set([old]);
    told.set('wk-1', cancel(c, old, 'wk-1'));
    assert.ok(await c.clock.until(() => c.owner(k) === next, 9000), `another has the shard (${mode})`);
    assert.equal(running(c, 'wk-1'), 0, 'asked of the old leader: that is enough to stop it');
    watching = true;
    await c.clock.advance(300);
    if (mode === 'lost in the last second')
      c.net.fate = (_from, addr, _method, _path, body) =>
        addr === STATE && ends(body, 'wk-2') ? 'lost-answer' : 'deliver';
    // The machines still report to the old leader, and orders of the new one do not reach them.
    const loseOrders = c.net.fate;
    c.net.fate = (from, addr, ...rest) =>
      addr.startsWith('10.1.') ? 'silent' : loseOrders(from, addr, ...rest);
    for (const id of ['wk-1', 'wk-2']) told.set(id, cancel(c, other, id));
    await c.clock.advance(200);
    c.state.down = true;
    // The next owner knows nothing of what was asked of the old one, and may have started that job once more meanwhile.
    const all = [...c.workers];
    const begun = () => all.flatMap((w) => w.started).filter((t) => !t.startsWith('wk-3'));
    const before = begun();
    const since = c.clock.now();
    if (mode !== 'lost in the last second')
      assert.ok(told.get('wk-2')!.toldAt !== null, `confirmed by another (${mode})`);
    else assert.ok(c.state.value('job/wk-2'), 'stored, and nobody knows');
    c.state.refusing.delete(old);
    c.parted = new Set();
    await c.clock.advance(57_000);
    watching = false;
    c.net.fate = () => 'deliver';
    c.state.restore();
    for (const id of ['wk-1', 'wk-2']) {
      assert.equal(running(c, id), 0, `${id} is gone ${Math.round((c.clock.now() - since) / 1000)} s later`);
      await holds(c, id, 20_000, told.get(id)!.toldAt);
    }
    assert.deepEqual(oks, [], 'no report was answered by the old leader');
    assert.deepEqual(begun(), before, 'nothing of them was started again');
    assert.ok(await c.clock.until(() => running(c, 'wk-3') === 3, 20_000), 'the other one runs');
  }
});

// Guards against done tasks that a change of owner loses, runs again or counts too early: stored by the one, reported to the other,
// or in flight at both, in a job whose tasks end far apart.
test('tasks that end far apart across a change of owner are each done once, and the job only with the last', async () => {
  for (const change of ['crash', 'switch', 'freeze'] as const) {
    const { c, k } = await busy(1);
    const old = c.owner(k)!;
    const on = (task: string) => c.workers.find((w) => w.attempts.some((a) => a.task === task))!;
    const [first, second, third] = ['wk-1/0', 'wk-1/1', 'wk-1/2'].map(on);
    first!.end('wk-1/0', 'done');
    assert.ok(await c.clock.until(() => c.state.value('act/wk-1/0') !== undefined, 6000), 'stored');
    await c.clock.advance(3000);
    let late = 0;
    c.net.fate = (from, addr, _method, path, body) => {
      if (from !== old || addr !== STATE || path !== '/txn') return 'deliver';
      if (!JSON.stringify(body).includes('"act/wk-1/0"')) return 'deliver';
      late++;
      return 5000;
    };
    second!.end('wk-1/1', 'done');
    assert.ok(await c.clock.until(() => late > 0, 6000), 'reported, and its write is under way');
    let wake: () => void = () => undefined;
    if (change === 'crash') c.killNode(old);
    else if (change === 'freeze') wake = c.freeze(old);
    else void c.nodes.get(old)!.node.leave();
    const asked = NODES.filter((n) => n !== old);
    assert.ok(await c.clock.until(() => c.owner(k) !== undefined && c.owner(k) !== old, 9000), change);
    for (let i = 0; i < 30; i++) {
      const heard = await status(c, asked[i % 2]!, 'wk-1');
      assert.ok(
        heard !== 'done' && heard !== 404 && heard !== 'aborted',
        `${change}: ${heard} while a task runs`,
      );
      if (i === 12) wake();
      await c.clock.advance(600);
    }
    third!.end('wk-1/2', 'done');
    let done = false;
    await c.clock.until(() => {
      done = c.state.value('job/wk-1') !== undefined;
      return done;
    }, 8000);
    assert.ok(done, `${change}: done with the last`);
    for (const n of asked) assert.equal(await status(c, n, 'wk-1'), 'done');
    assert.deepEqual(
      c.workers.flatMap((w) => w.started).sort(),
      ['wk-1/0', 'wk-1/1', 'wk-1/2'],
      'none runs again',
    );
  }
});

// Guards against a leader that is cut off from the state service and the other nodes, and tells users who still reach it what was true
// before: another has accepted, ended and cancelled jobs since.
test('a leader that keeps only workers and users says nothing older than what the new one has told', async () => {
  const { c, k } = await busy(2);
  const old = c.owner(k)!;
  const others = NODES.filter((n) => n !== old);
  c.state.refusing.add(old);
  c.net.fate = (from, addr) => (from === old && addr === STATE ? 'silent' : 'deliver');
  c.parted = new Set([old]);
  assert.ok(await c.clock.until(() => c.owner(k) !== old && c.owner(k) !== undefined, 9000));
  await c.clock.advance(1500);
  assert.equal((await c.call(others[0]!, 'POST', '/api/jobs/wk-1/abort')).status, 200);
  for (const w of c.workers) for (const a of [...w.attempts]) if (a.job === 'wk-2') w.end(a.task, 'done');
  assert.ok(await c.submit(others[1]!, job('wk-9', { cpus: 8 })));
  for (let i = 0; i < 9; i++) {
    for (const [id, final] of [
      ['wk-1', 'aborted'],
      ['wk-2', 'done'],
    ] as const) {
      const heard = await status(c, old, id);
      const ended = c.state.value(`job/${id}`) !== undefined;
      assert.ok(
        !ended || heard === final || heard === 503 || heard === 504,
        `${id} is ${heard} at the old leader`,
      );
    }
    assert.notEqual(await status(c, old, 'wk-9'), 404, 'accepted by another');
    await c.clock.advance(500);
  }
  c.state.refusing.delete(old);
  c.net.fate = () => 'deliver';
  c.parted = new Set();
  await c.clock.advance(12_000);
  assert.equal(await status(c, old, 'wk-1'), 'aborted');
  assert.equal(await status(c, old, 'wk-2'), 'done');
  assert.equal(running(c, 'wk-1'), 0);
});
