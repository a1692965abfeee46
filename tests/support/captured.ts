import assert from 'node:assert/strict';
import type { Capture } from './capture.js';
import { FakeCluster, job } from './cluster.js';
import { ask, submission } from './condor.js';

const GUARANTEED = { cpus: 320, cpusMax: 2000, gpus: 8, gpusMax: 80 };

async function started(capture: Capture, c: FakeCluster, nodes: readonly string[]): Promise<void> {
  capture.watch(c);
  for (const node of nodes) c.startNode(node);
  await c.clock.advance(8000);
}

async function query(c: FakeCluster, node: string, path: string, query: string): Promise<void> {
  const request = c.request('GET', path);
  request.query = new URLSearchParams(query);
  await c.answered(c.nodes.get(node)!.api.handle(request));
}

/** Every answer that a user may get, and both ways of a job to its end. */
async function playUsers(c: FakeCluster): Promise<void> {
  const urgent = { urgency: 'urgent', yard: 'a', flavors: ['c8'], spread: false, dueS: 900 };
  assert.ok(await c.submit('n0', job('wk-array', { pieces: 6, cpus: 2 })));
  assert.ok(await c.submit('n1', job('wk-gang', { shape: 'ensemble', pieces: 2, owner: 'blue', ...urgent })));
  assert.ok(await c.submit('n2', job('wk-service', { shape: 'standing', urgency: 'production' })));
  for (const node of c.nodes.keys()) {
    await c.submit(node, job(`wk-low-${node}`, { urgency: 'low', owner: 'blue' }));
    await c.submit(node, job(`wk-after-${node}`, { waitsOn: ['wk-array', 'wk-gang'], owner: 'blue' }));
    await c.submit(node, job(`wk-before-${node}`, { waitsOn: ['wk-gang'] }));
  }
  await c.clock.advance(6000);
  for (const node of c.nodes.keys()) {
    for (const id of ['wk-array', 'wk-gang', 'wk-service', 'wk-after-n0', 'wk-none', 'x'])
      await c.call(node, 'GET', `/api/jobs/${id}`);
    await query(c, node, '/api/jobs', 'under=wk-&after=wk-a');
    await c.call(node, 'GET', '/healthz');
  }
  await c.call('n0', 'POST', '/healthz');
  await c.call('n0', 'GET', '/v1/report');
  await c.call('n0', 'POST', '/v1/report', { worker: 7 });
  await c.call('n0', 'GET', '/api/other');
  await c.call('n0', 'PUT', '/api/jobs');
  await c.call('n0', 'POST', '/api/jobs', { id: 'wk-1' });
  await c.call('n0', 'POST', '/api/jobs', job('wk-unknown', { owner: 'green' }));
  await c.call('n0', 'POST', '/api/jobs', job('wk-large', { cpus: 800 }));
  for (const node of c.nodes.keys()) {
    await c.call(node, 'POST', '/api/jobs', job('wk-orphan', { waitsOn: ['wk-none'] }));
    await c.call(node, 'POST', '/api/jobs', job('wk-late', { dueS: 1, expectedS: 5000 }));
    await c.call(node, 'POST', '/api/jobs', job('wk-array', { pieces: 6, cpus: 2 }));
  }
  await c.call('n1', 'POST', '/api/jobs/wk-none/abort');
}

/** Attempts that end in each way, cancellations, and what follows of either. */
async function playEnds(c: FakeCluster): Promise<void> {
  for (const w of c.workers) for (const a of w.attempts) if (a.task === 'wk-array/0') w.end(a.task, 'done');
  await c.clock.advance(4000);
  const causes = ['error', 'no_room', 'busy', 'peers', 'alone', 'unknown'] as const;
  for (const [n, cause] of causes.entries()) {
    for (const w of c.workers)
      for (const a of w.attempts) if (a.task === `wk-array/${(n % 5) + 1}`) w.end(a.task, cause, n === 0);
    await c.clock.advance(4000);
  }
  for (const node of ['n0', 'n1', 'n2']) {
    await c.call(node, 'POST', `/api/jobs/wk-low-${node}/abort`);
    await c.call(node, 'POST', `/api/jobs/wk-low-${node}/abort`);
  }
  await c.call('n4', 'POST', '/api/jobs/wk-service/abort');
  c.workers[0]!.notice(120);
  await c.clock.advance(4000);
  for (let round = 0; round < 10; round++) {
    for (const w of c.workers) for (const a of w.attempts) w.end(a.task, 'done');
    await c.clock.advance(1500);
  }
  for (const node of c.nodes.keys()) await c.call(node, 'GET', '/api/jobs/wk-array');
}

/** Clusters of submit files: expanded, held, released, removed and over. */
async function playCondor(c: FakeCluster): Promise<void> {
  const text = 'request_cpus = 1\nrequirements = Memory >= 1024\nrank = Cpus\nbatch_name = nightly\nqueue 3';
  for (const n of [0, 1]) await ask(c, 'n1', 'POST', '/condor/clusters', submission(text, n));
  await ask(c, 'n1', 'POST', '/condor/clusters', submission('queue x y', 2));
  await c.clock.advance(5000);
  for (const node of ['n0', 'n1']) {
    const path = '/condor/clusters/1';
    await ask(c, node, 'POST', `${path}/hold`, { procs: [0], constraint: 'ProcId == 0', reason: 'wait' });
    for (const what of ['', '/procs?from=0', '/analyze?from=1']) await ask(c, node, 'GET', `${path}${what}`);
    await ask(c, node, 'POST', `${path}/release`, { procs: [0] });
    await ask(c, node, 'POST', `${path}/remove`, { procs: [node === 'n0' ? 1 : 2] });
  }
  await ask(c, 'n0', 'GET', '/condor/clusters/77');
  await ask(c, 'n0', 'POST', '/condor/clusters/2/remove', {});
  const over = () => c.state.value('condor/over/00000002') !== undefined;
  const step = async () => {
    for (const w of c.workers) for (const a of w.attempts) w.end(a.task, 'done');
    await c.clock.advance(1000);
  };
  for (let i = 0; i < 90 && !over(); i++) await step();
  assert.ok(over(), 'a cluster is over');
  for (const node of ['n0', 'n1']) await ask(c, node, 'GET', '/condor/clusters?over=1');
}

/** Owners that workers cannot reach, that leave, that die and come back. */
async function playOwners(c: FakeCluster): Promise<void> {
  const cut = c.owner(0)!;
  c.cutFromWorkers.add(cut);
  c.net.fate = (from, address) => (from === cut && address.startsWith('10.1.') ? 'silent' : 'deliver');
  await c.clock.advance(15_000);
  c.cutFromWorkers.clear();
  c.net.fate = () => 'deliver';
  await c.clock.advance(40_000);
  const leaving = c.owner(1)!;
  const left = c.nodes.get(leaving)!.node.leave();
  await c.clock.advance(5000);
  await left;
  c.killNode(leaving);
  await c.clock.advance(2000);
  c.startNode(leaving);
  await c.clock.advance(10_000);
  c.killNode(c.owner(2)!);
  await c.clock.advance(15_000);
}

async function playLargeCluster(capture: Capture): Promise<void> {
  const nodes = ['n0', 'n1', 'n2', 'n3', 'n4'];
  const c = new FakeCluster(nodes);
  c.standby = true;
  c.condor = true;
  c.teams = ['red', 'blue'].map((name) => ({ name, ...GUARANTEED }));
  for (let i = 0; i < 14; i++) c.addWorker(i % 3 ? 'c8' : 'g8', i % 2 ? 'a' : 'b', i % 5 === 4);
  await started(capture, c, nodes);
  await playUsers(c);
  await playEnds(c);
  await playCondor(c);
  await playOwners(c);
}

/** Submissions and cancellations by way of the state service, while the owner hears no other controller. */
async function playStoredRequests(capture: Capture): Promise<void> {
  const c = new FakeCluster(['n0', 'n1']);
  c.teams = [{ name: 'red', ...GUARANTEED }];
  c.addWorker('c8', 'a');
  await started(capture, c, ['n0', 'n1']);
  const owner = c.owner((c.state.value('c/teams') as Record<string, number>).red!)!;
  const other = owner === 'n0' ? 'n1' : 'n0';
  c.refused.add(owner);
  assert.ok(await c.submit(other, job('wk-mail')));
  await c.call(other, 'POST', '/api/jobs/wk-mail/abort');
  await c.call(other, 'GET', '/api/jobs/wk-mail');
  c.state.down = true;
  await c.call(other, 'GET', '/api/jobs/wk-away');
}

/** Values that are too long for one record, and machines that are rented and given back. */
async function playSmallValues(capture: Capture): Promise<void> {
  const c = new FakeCluster(['n0']);
  c.stateLimits = { rps: 600, writeRps: 300, valueKb: 1, txnOps: 4 };
  c.capacity = true;
  c.teams = Array.from({ length: 40 }, (_, i) => ({
    name: i === 0 ? 'red' : `a-team-with-a-long-name-${i}`,
    ...GUARANTEED,
  }));
  await started(capture, c, ['n0']);
  const waitsOn = Array.from({ length: 30 }, (_, i) => `wk-needed-by-another-${i}`);
  for (const id of waitsOn) assert.ok(await c.submit('n0', job(id, { cpus: 1 })));
  assert.ok(await c.submit('n0', job('wk-parts', { waitsOn })));
  assert.ok(await c.submit('n0', job('wk-many', { pieces: 12_000, cpus: 1, memoryGb: 1 })));
  const rented = () => c.rented.length > 0 && c.workers.length > 0;
  assert.ok(await c.clock.until(rented, 20_000));
  for (const w of c.workers) c.silent.delete(w);
  await c.clock.advance(20_000);
  for (let round = 0; round < 4; round++) {
    for (const w of c.workers) for (const a of w.attempts) w.end(a.task, 'done');
    await c.clock.advance(4000);
  }
  for (const id of [...waitsOn, 'wk-parts', 'wk-many']) await c.call('n0', 'POST', `/api/jobs/${id}/abort`);
  for (let round = 0; round < 40 && c.released.length === 0; round++) await c.clock.advance(10_000);
  assert.ok(c.released.length > 0, 'machines are given back');
}

/** Shards that hand machines to each other, by the leader's wish. */
async function playMoves(capture: Capture): Promise<void> {
  const c = new FakeCluster(['n0', 'n1']);
  c.teams = ['red', 'blue'].map((name) => ({ name, ...GUARANTEED, cpusMax: 0, gpusMax: 0 }));
  for (let i = 0; i < 100; i++) c.addWorker('c8', i % 2 ? 'a' : 'b');
  await started(capture, c, ['n0', 'n1']);
  c.objectives[0]!.withinS = 120;
  const work = { cpus: 8, expectedS: 15, saveEveryS: 0, urgency: 'urgent' };
  assert.ok(await c.submit('n0', job('wk-1', { ...work, owner: 'blue', pieces: 200 })));
  assert.ok(await c.submit('n0', job('wk-2', { ...work, pieces: 600 })));
  await c.clock.advance(15_000);
  for (let i = 0; i < 12; i++) {
    await c.clock.advance(2000);
    for (const [n, w] of c.workers.entries())
      for (const a of w.attempts) if (a.state === 'running' && n % 12 === i) w.end(a.task, 'done');
  }
}

/** Urgent work of one shard, where another has all machines and lesser work on them. */
async function playClearing(capture: Capture): Promise<void> {
  const c = new FakeCluster(['n0', 'n1']);
  c.teams = ['red', 'blue'].map((name) => ({ name, ...GUARANTEED }));
  for (let i = 0; i < 6; i++) c.addWorker('c8', 'a');
  await started(capture, c, ['n0', 'n1']);
  const lesser = { cpus: 8, pieces: 40, urgency: 'low', owner: 'blue', expectedS: 900 };
  assert.ok(await c.submit('n0', job('wk-low', lesser)));
  await c.clock.advance(30_000);
  const urgent = { cpus: 8, pieces: 4, urgency: 'production', expectedS: 300 };
  assert.ok(await c.submit('n0', job('wk-urgent', urgent)));
  await c.clock.advance(60_000);
}

/** A job that fails on every machine and succeeds in the end, told to the standby of its shard. */
async function playMistake(capture: Capture): Promise<void> {
  const nodes = ['n0', 'n1', 'n2'];
  const c = new FakeCluster(nodes);
  c.standby = true;
  for (let i = 0; i < 12; i++) c.addWorker('c8', 'a');
  await started(capture, c, nodes);
  assert.ok(await c.submit('n0', job('wk-wrong', { cpus: 8, pieces: 4 })));
  for (let round = 0; round < 20; round++) {
    for (const w of c.workers) for (const a of w.attempts) w.end(a.task, round < 14 ? 'error' : 'done');
    await c.clock.advance(2500);
  }
}

/** Plays scripted clusters in which every kind of message and record passes. */
export async function playClusters(capture: Capture): Promise<void> {
  await playLargeCluster(capture);
  await playStoredRequests(capture);
  await playSmallValues(capture);
  await playMoves(capture);
  await playClearing(capture);
  await playMistake(capture);
}
