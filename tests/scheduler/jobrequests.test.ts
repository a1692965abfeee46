import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pause } from '../../src/clock/clock.js';
import { jobStatus, NODES, startBusyCluster } from '../support/busy.js';
import { type FakeCluster, job, STATE } from '../support/cluster.js';
import { runFaultScenarios } from '../support/process.js';

/** Sends a submission to a node without waiting; returns an object that is filled in when the answer arrives. */
function submit(cluster: FakeCluster, node: string, wire: object): { status: number | null; body: unknown } {
  const answer: { status: number | null; body: unknown } = { status: null, body: null };
  void cluster.nodes
    .get(node)!
    .api.handle(cluster.request('POST', '/api/jobs', wire))
    .then((r) => Object.assign(answer, { status: r.status, body: r.body }));
  return answer;
}

// Guards against a stale answer: a submission waits for seconds behind another write of its job and is then
// answered from the memory of its owner, although another node has taken over the shard meanwhile and confirmed the
// cancellation of the job.
test('a submission delayed by a write is not answered by a node that has lost the shard in the meantime', async () => {
  const { cluster, shard } = await startBusyCluster(1);
  const old = cluster.owner(shard)!;
  const other = NODES.find((n) => n !== old)!;
  cluster.net.outcomeOf = (from, addr, _method, path, body) => {
    if (from !== old || addr !== STATE) return 'deliver';
    if (path === '/txn' && JSON.stringify(body).includes('"act/wk-9"')) return 'lost-answer';
    // Blocks the read by which the owner would check whether the write was applied.
    return path.startsWith('/keys/act/wk-9') ? 'silent' : 'deliver';
  };
  const wire = job('wk-9', { cpus: 8 });
  const first = submit(cluster, old, wire);
  await cluster.clock.advance(100);
  const second = submit(cluster, old, wire);
  await cluster.clock.advance(100);
  assert.equal(
    await jobStatus(cluster, other, 'wk-9'),
    'queued',
    'the job is stored and its owner has loaded it',
  );
  cluster.state.refusedCallers.add(old);
  assert.ok(
    await cluster.clock.until(() => cluster.owner(shard) !== undefined && cluster.owner(shard) !== old, 4500),
  );
  const next = cluster.owner(shard)!;
  let cancelled = false;
  for (let i = 0; i < 20 && !cancelled; i++) {
    cancelled = (await cluster.call(next, 'POST', '/api/jobs/wk-9/abort')).status === 200;
    if (!cancelled) await cluster.clock.advance(50);
  }
  assert.ok(
    cancelled && second.status === null,
    'the cancellation is confirmed while the second submission still waits',
  );
  await cluster.clock.advance(6000);
  for (const answer of [first, second]) assert.equal(answer.status, 503);
  cluster.state.refusedCallers.delete(old);
  cluster.net.outcomeOf = () => 'deliver';
  await cluster.clock.advance(9000);
  for (const n of NODES) {
    assert.equal(await jobStatus(cluster, n, 'wk-9'), 'aborted');
    const r = await cluster.call(n, 'POST', '/api/jobs', wire);
    assert.deepEqual([r.status, (r.body as { status: string }).status], [200, 'aborted']);
  }
});

// Guards against concurrent decisions about one job: the mutex of a refused job was dropped while other submissions
// waited for it, so that a later submission got another mutex.
test('serializes decisions about one job, also after a refusal', async () => {
  const { cluster, shard } = await startBusyCluster(1);
  const owner = cluster.owner(shard)!;
  const serve = cluster.net.peers.get(STATE)!;
  let concurrentReads = 0;
  let maxConcurrentReads = 0;
  let reads = 0;
  cluster.net.peers.set(STATE, async (method, path, body, from) => {
    if (from !== owner || path !== '/keys/act/wk-9') return serve(method, path, body, from);
    reads++;
    maxConcurrentReads = Math.max(maxConcurrentReads, ++concurrentReads);
    await pause(cluster.clock, 400);
    concurrentReads--;
    return serve(method, path, body, from);
  });
  // No plan can meet this deadline, so each submission reads whether the job was accepted before.
  const wire = job('wk-9', { cpus: 8, expectedS: 600, dueS: 1 });
  const answers = [];
  for (const ms of [0, 100, 500, 300, 200]) {
    await cluster.clock.advance(ms);
    answers.push(submit(cluster, owner, wire));
  }
  await cluster.clock.advance(6000);
  assert.deepEqual(
    answers.map((h) => h.status),
    [429, 429, 429, 429, 429],
  );
  assert.equal(reads, 5);
  assert.equal(maxConcurrentReads, 1);
});

// Guards against listing a job as unfinished after another node has read its end and reported it.
test('does not list a job as unfinished when its end may already be stored', async () => {
  const { cluster, shard } = await startBusyCluster(2);
  const owner = cluster.owner(shard)!;
  let endWriteSent = false;
  cluster.net.outcomeOf = (from, addr, _method, path, body) => {
    if (from !== owner || addr !== STATE) return 'deliver';
    if (path === '/txn' && JSON.stringify(body).includes('"job/wk-1"')) {
      endWriteSent = true;
      return 'lost-answer';
    }
    return path.includes('job/wk-1') ? 'silent' : 'deliver';
  };
  submit(cluster, owner, job('wk-1'));
  void cluster.nodes.get(owner)!.api.handle(cluster.request('POST', '/api/jobs/wk-1/abort'));
  assert.ok(await cluster.clock.until(() => endWriteSent, 1000));
  const other = NODES.find((n) => n !== owner)!;
  assert.equal(await jobStatus(cluster, other, 'wk-1'), 'aborted', 'read from its record');
  for (const n of NODES) {
    const r = await cluster.call(n, 'GET', '/api/jobs');
    assert.equal(r.status, 200);
    assert.deepEqual(
      (r.body as { jobs: { id: string }[] }).jobs.map((j) => j.id),
      ['wk-2'],
    );
  }
});

// Users query all nodes within milliseconds of each acceptance, end and confirmation, and repeat submissions and
// cancellations. No node may answer with a state older than the one that the users had been given when the request
// was sent.
for (const troubles of [
  ['odd requests@10+30*1'],
  ['lost answers@10+20*0.6', 'called off at the end@8+40*0.7'],
  ['late writes@12+30*0.5', 'called off at once@20+1*0.8'],
  ['slow state@10+20*1', 'state refuses owner@22+12*1', 'called off at once@22+5*0.8'],
  ['ten leaders@12+60*1', 'odd requests@10+30*1', 'called off at the end@10+40*0.6'],
]) {
  test(`no node answers with an outdated state during ${troubles.join(', ')}`, async () => {
    const args =
      troubles.length > 0 ? troubles.flatMap((t) => ['--trouble', t]) : ['--trouble', 'odd requests@10+30*1'];
    const { code, out } = await runFaultScenarios('--from', '300', '--seeds', '3', ...args);
    assert.match(out, /3 meetings played, 0 with a broken rule/, out);
    assert.equal(code, 0);
  });
}
