import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pause } from '../../src/clock/clock.js';
import { busy, NODES, status } from '../support/busy.js';
import { type FakeCluster, job, STATE } from '../support/cluster.js';
import { checkMeetings } from '../support/process.js';

/** Submits at a node without waiting; what was answered, and when. */
function submit(c: FakeCluster, node: string, wire: object): { status: number | null; body: unknown } {
  const heard: { status: number | null; body: unknown } = { status: null, body: null };
  void c.nodes
    .get(node)!
    .api.handle(c.request('POST', '/api/jobs', wire))
    .then((r) => Object.assign(heard, { status: r.status, body: r.body }));
  return heard;
}

// Guards against a submission that waited seconds for another write of its job, and was then answered from the memory of an owner
// whose shard was another's by that time: that one had confirmed the cancellation.
test('a submission that waited for a write says nothing of a shard that is another’s by then', async () => {
  const { c, k } = await busy(1);
  const old = c.owner(k)!;
  const other = NODES.find((n) => n !== old)!;
  c.net.fate = (from, addr, _method, path, body) => {
    if (from !== old || addr !== STATE) return 'deliver';
    if (path === '/txn' && JSON.stringify(body).includes('"act/wk-9"')) return 'lost-answer';
    // What would read it back.
    return path.startsWith('/keys/act/wk-9') ? 'silent' : 'deliver';
  };
  const wire = job('wk-9', { cpus: 8 });
  const first = submit(c, old, wire);
  await c.clock.advance(100);
  const again = submit(c, old, wire);
  await c.clock.advance(100);
  assert.equal(await status(c, other, 'wk-9'), 'queued', 'stored, and read by its owner');
  c.state.refusing.add(old);
  assert.ok(await c.clock.until(() => c.owner(k) !== undefined && c.owner(k) !== old, 4500));
  const next = c.owner(k)!;
  let cancelled = false;
  for (let i = 0; i < 20 && !cancelled; i++) {
    cancelled = (await c.call(next, 'POST', '/api/jobs/wk-9/abort')).status === 200;
    if (!cancelled) await c.clock.advance(50);
  }
  assert.ok(cancelled && again.status === null, 'confirmed while it still waits');
  await c.clock.advance(6000);
  for (const heard of [first, again]) assert.equal(heard.status, 503);
  c.state.refusing.delete(old);
  c.net.fate = () => 'deliver';
  await c.clock.advance(9000);
  for (const n of NODES) {
    assert.equal(await status(c, n, 'wk-9'), 'aborted');
    const r = await c.call(n, 'POST', '/api/jobs', wire);
    assert.deepEqual([r.status, (r.body as { status: string }).status], [200, 'aborted']);
  }
});

// Guards against two that decide about one job side by side: the mutex of a job that was refused was dropped while others waited for
// it, and who came then got another one.
test('one at a time decides about a job, also after a refusal', async () => {
  const { c, k } = await busy(1);
  const owner = c.owner(k)!;
  const serve = c.net.peers.get(STATE)!;
  let reading = 0;
  let most = 0;
  let reads = 0;
  c.net.peers.set(STATE, async (method, path, body, from) => {
    if (from !== owner || path !== '/keys/act/wk-9') return serve(method, path, body, from);
    reads++;
    most = Math.max(most, ++reading);
    await pause(c.clock, 400);
    reading--;
    return serve(method, path, body, from);
  });
  // No plan meets that; each reads whether it was accepted before.
  const wire = job('wk-9', { cpus: 8, expectedS: 600, dueS: 1 });
  const heard = [];
  for (const ms of [0, 100, 500, 300, 200]) {
    await c.clock.advance(ms);
    heard.push(submit(c, owner, wire));
  }
  await c.clock.advance(6000);
  assert.deepEqual(
    heard.map((h) => h.status),
    [429, 429, 429, 429, 429],
  );
  assert.equal(reads, 5);
  assert.equal(most, 1);
});

// Guards against a list that names a job as unfinished whose end another node has read and told.
test('a job whose end may be stored is on no list of unfinished ones', async () => {
  const { c, k } = await busy(2);
  const owner = c.owner(k)!;
  let met = false;
  c.net.fate = (from, addr, _method, path, body) => {
    if (from !== owner || addr !== STATE) return 'deliver';
    if (path === '/txn' && JSON.stringify(body).includes('"job/wk-1"')) {
      met = true;
      return 'lost-answer';
    }
    return path.includes('job/wk-1') ? 'silent' : 'deliver';
  };
  submit(c, owner, job('wk-1'));
  void c.nodes.get(owner)!.api.handle(c.request('POST', '/api/jobs/wk-1/abort'));
  assert.ok(await c.clock.until(() => met, 1000));
  const other = NODES.find((n) => n !== owner)!;
  assert.equal(await status(c, other, 'wk-1'), 'aborted', 'read from its record');
  for (const n of NODES) {
    const r = await c.call(n, 'GET', '/api/jobs');
    assert.equal(r.status, 200);
    assert.deepEqual(
      (r.body as { jobs: { id: string }[] }).jobs.map((j) => j.id),
      ['wk-2'],
    );
  }
});

// Users ask all nodes within milliseconds of each acceptance, end and confirmation, submit again and cancel again: whatever they
// had heard when a request was sent, no node may answer with something older.
for (const troubles of [
  ['odd requests@10+30*1'],
  ['lost answers@10+20*0.6', 'called off at the end@8+40*0.7'],
  ['late writes@12+30*0.5', 'called off at once@20+1*0.8'],
  ['slow state@10+20*1', 'state refuses owner@22+12*1', 'called off at once@22+5*0.8'],
  ['ten leaders@12+60*1', 'odd requests@10+30*1', 'called off at the end@10+40*0.6'],
]) {
  test(`looks at all nodes while there is ${troubles.join(', ')}`, async () => {
    const args =
      troubles.length > 0 ? troubles.flatMap((t) => ['--trouble', t]) : ['--trouble', 'odd requests@10+30*1'];
    const { code, out } = await checkMeetings('--from', '300', '--seeds', '3', ...args);
    assert.match(out, /3 meetings played, 0 with a broken rule/, out);
    assert.equal(code, 0);
  });
}
