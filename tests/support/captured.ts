import assert from 'node:assert/strict';
import type { Capture } from './capture.js';
import { FakeCluster, job } from './cluster.js';
import { requestWithRetry, submission } from './condor.js';

const GUARANTEED = { cpus: 320, cpusMax: 2000, gpus: 8, gpusMax: 80 };

async function startNodes(capture: Capture, cluster: FakeCluster, nodes: readonly string[]): Promise<void> {
  capture.attach(cluster);
  for (const node of nodes) cluster.startNode(node);
  await cluster.clock.advance(8000);
}

async function getWithQuery(
  cluster: FakeCluster,
  node: string,
  path: string,
  getWithQuery: string,
): Promise<void> {
  const request = cluster.request('GET', path);
  request.query = new URLSearchParams(getWithQuery);
  await cluster.answered(cluster.nodes.get(node)!.api.handle(request));
}

/** Provokes every kind of response to users: accepted, rejected and unknown jobs, status, lists and errors. */
async function playUserRequests(cluster: FakeCluster): Promise<void> {
  const urgent = { urgency: 'urgent', yard: 'a', flavors: ['c8'], spread: false, dueS: 900 };
  assert.ok(await cluster.submit('n0', job('wk-array', { pieces: 6, cpus: 2 })));
  assert.ok(
    await cluster.submit('n1', job('wk-gang', { shape: 'ensemble', pieces: 2, owner: 'blue', ...urgent })),
  );
  assert.ok(await cluster.submit('n2', job('wk-service', { shape: 'standing', urgency: 'production' })));
  for (const node of cluster.nodes.keys()) {
    await cluster.submit(node, job(`wk-low-${node}`, { urgency: 'low', owner: 'blue' }));
    await cluster.submit(node, job(`wk-after-${node}`, { waitsOn: ['wk-array', 'wk-gang'], owner: 'blue' }));
    await cluster.submit(node, job(`wk-before-${node}`, { waitsOn: ['wk-gang'] }));
  }
  await cluster.clock.advance(6000);
  for (const node of cluster.nodes.keys()) {
    for (const id of ['wk-array', 'wk-gang', 'wk-service', 'wk-after-n0', 'wk-none', 'x'])
      await cluster.call(node, 'GET', `/api/jobs/${id}`);
    await getWithQuery(cluster, node, '/api/jobs', 'under=wk-&after=wk-a');
    await cluster.call(node, 'GET', '/healthz');
  }
  await cluster.call('n0', 'POST', '/healthz');
  await cluster.call('n0', 'GET', '/v1/report');
  await cluster.call('n0', 'POST', '/v1/report', { worker: 7 });
  await cluster.call('n0', 'GET', '/api/other');
  await cluster.call('n0', 'PUT', '/api/jobs');
  await cluster.call('n0', 'POST', '/api/jobs', { id: 'wk-1' });
  await cluster.call('n0', 'POST', '/api/jobs', job('wk-unknown', { owner: 'green' }));
  await cluster.call('n0', 'POST', '/api/jobs', job('wk-large', { cpus: 800 }));
  for (const node of cluster.nodes.keys()) {
    await cluster.call(node, 'POST', '/api/jobs', job('wk-orphan', { waitsOn: ['wk-none'] }));
    await cluster.call(node, 'POST', '/api/jobs', job('wk-late', { dueS: 1, expectedS: 5000 }));
    await cluster.call(node, 'POST', '/api/jobs', job('wk-array', { pieces: 6, cpus: 2 }));
  }
  await cluster.call('n1', 'POST', '/api/jobs/wk-none/abort');
}

/** Ends attempts with every exit cause, cancels jobs, and reclaims a machine, until all tasks are done. */
async function playTaskEnds(cluster: FakeCluster): Promise<void> {
  for (const w of cluster.workers)
    for (const a of w.attempts) if (a.task === 'wk-array/0') w.endTask(a.task, 'done');
  await cluster.clock.advance(4000);
  const causes = ['error', 'no_room', 'busy', 'peers', 'alone', 'unknown'] as const;
  for (const [n, cause] of causes.entries()) {
    for (const w of cluster.workers)
      for (const a of w.attempts) if (a.task === `wk-array/${(n % 5) + 1}`) w.endTask(a.task, cause, n === 0);
    await cluster.clock.advance(4000);
  }
  for (const node of ['n0', 'n1', 'n2']) {
    await cluster.call(node, 'POST', `/api/jobs/wk-low-${node}/abort`);
    await cluster.call(node, 'POST', `/api/jobs/wk-low-${node}/abort`);
  }
  await cluster.call('n4', 'POST', '/api/jobs/wk-service/abort');
  cluster.workers[0]!.notice(120);
  await cluster.clock.advance(4000);
  for (let round = 0; round < 10; round++) {
    for (const w of cluster.workers) for (const a of w.attempts) w.endTask(a.task, 'done');
    await cluster.clock.advance(1500);
  }
  for (const node of cluster.nodes.keys()) await cluster.call(node, 'GET', '/api/jobs/wk-array');
}

/** Expands, holds, releases and removes HTCondor clusters, until one has ended. */
async function playCondor(cluster: FakeCluster): Promise<void> {
  const text = 'request_cpus = 1\nrequirements = Memory >= 1024\nrank = Cpus\nbatch_name = nightly\nqueue 3';
  for (const n of [0, 1])
    await requestWithRetry(cluster, 'n1', 'POST', '/condor/clusters', submission(text, n));
  await requestWithRetry(cluster, 'n1', 'POST', '/condor/clusters', submission('queue x y', 2));
  await cluster.clock.advance(5000);
  for (const node of ['n0', 'n1']) {
    const path = '/condor/clusters/1';
    await requestWithRetry(cluster, node, 'POST', `${path}/hold`, {
      procs: [0],
      constraint: 'ProcId == 0',
      reason: 'wait',
    });
    for (const what of ['', '/procs?from=0', '/analyze?from=1'])
      await requestWithRetry(cluster, node, 'GET', `${path}${what}`);
    await requestWithRetry(cluster, node, 'POST', `${path}/release`, { procs: [0] });
    await requestWithRetry(cluster, node, 'POST', `${path}/remove`, { procs: [node === 'n0' ? 1 : 2] });
  }
  await requestWithRetry(cluster, 'n0', 'GET', '/condor/clusters/77');
  await requestWithRetry(cluster, 'n0', 'POST', '/condor/clusters/2/remove', {});
  const hasEnded = () => cluster.state.value('condor/over/00000002') !== undefined;
  const completeTasks = async () => {
    for (const w of cluster.workers) for (const a of w.attempts) w.endTask(a.task, 'done');
    await cluster.clock.advance(1000);
  };
  for (let i = 0; i < 90 && !hasEnded(); i++) await completeTasks();
  assert.ok(hasEnded(), 'a cluster has ended');
  for (const node of ['n0', 'n1']) await requestWithRetry(cluster, node, 'GET', '/condor/clusters?over=1');
}

/** Makes shard owners unreachable for workers, leave gracefully, crash and restart. */
async function playOwnerFailures(cluster: FakeCluster): Promise<void> {
  const unreachableOwner = cluster.owner(0)!;
  cluster.nodesCutFromWorkers.add(unreachableOwner);
  cluster.net.outcomeOf = (from, address) =>
    from === unreachableOwner && address.startsWith('10.1.') ? 'silent' : 'deliver';
  await cluster.clock.advance(15_000);
  cluster.nodesCutFromWorkers.clear();
  cluster.net.outcomeOf = () => 'deliver';
  await cluster.clock.advance(40_000);
  const leaving = cluster.owner(1)!;
  const departure = cluster.nodes.get(leaving)!.node.leave();
  await cluster.clock.advance(5000);
  await departure;
  cluster.killNode(leaving);
  await cluster.clock.advance(2000);
  cluster.startNode(leaving);
  await cluster.clock.advance(10_000);
  cluster.killNode(cluster.owner(2)!);
  await cluster.clock.advance(15_000);
}

async function playLargeCluster(capture: Capture): Promise<void> {
  const nodes = ['n0', 'n1', 'n2', 'n3', 'n4'];
  const cluster = new FakeCluster(nodes);
  cluster.standby = true;
  cluster.condor = true;
  cluster.teams = ['red', 'blue'].map((name) => ({ name, ...GUARANTEED }));
  for (let i = 0; i < 14; i++) cluster.addWorker(i % 3 ? 'c8' : 'g8', i % 2 ? 'a' : 'b', i % 5 === 4);
  await startNodes(capture, cluster, nodes);
  await playUserRequests(cluster);
  await playTaskEnds(cluster);
  await playCondor(cluster);
  await playOwnerFailures(cluster);
}

/**
 * Sends submissions and cancellations through the key-value store while the owner refuses connections from its peers.
 */
async function playStoredRequests(capture: Capture): Promise<void> {
  const cluster = new FakeCluster(['n0', 'n1']);
  cluster.teams = [{ name: 'red', ...GUARANTEED }];
  cluster.addWorker('c8', 'a');
  await startNodes(capture, cluster, ['n0', 'n1']);
  const owner = cluster.owner((cluster.state.value('c/teams') as Record<string, number>).red!)!;
  const other = owner === 'n0' ? 'n1' : 'n0';
  cluster.nodesRefusingPeers.add(owner);
  assert.ok(await cluster.submit(other, job('wk-mail')));
  await cluster.call(other, 'POST', '/api/jobs/wk-mail/abort');
  await cluster.call(other, 'GET', '/api/jobs/wk-mail');
  cluster.state.down = true;
  await cluster.call(other, 'GET', '/api/jobs/wk-away');
}

/** Stores values that exceed the size limit of one record, and rents and returns machines. */
async function playSmallValues(capture: Capture): Promise<void> {
  const cluster = new FakeCluster(['n0']);
  cluster.stateLimits = { rps: 600, writeRps: 300, valueKb: 1, txnOps: 4 };
  cluster.cloudHasCapacity = true;
  cluster.teams = Array.from({ length: 40 }, (_, i) => ({
    name: i === 0 ? 'red' : `a-team-with-a-long-name-${i}`,
    ...GUARANTEED,
  }));
  await startNodes(capture, cluster, ['n0']);
  const waitsOn = Array.from({ length: 30 }, (_, i) => `wk-needed-by-another-${i}`);
  for (const id of waitsOn) assert.ok(await cluster.submit('n0', job(id, { cpus: 1 })));
  assert.ok(await cluster.submit('n0', job('wk-parts', { waitsOn })));
  assert.ok(await cluster.submit('n0', job('wk-many', { pieces: 12_000, cpus: 1, memoryGb: 1 })));
  const rented = () => cluster.rented.length > 0 && cluster.workers.length > 0;
  assert.ok(await cluster.clock.until(rented, 20_000));
  for (const w of cluster.workers) cluster.notSendingHeartbeats.delete(w);
  await cluster.clock.advance(20_000);
  for (let round = 0; round < 4; round++) {
    for (const w of cluster.workers) for (const a of w.attempts) w.endTask(a.task, 'done');
    await cluster.clock.advance(4000);
  }
  for (const id of [...waitsOn, 'wk-parts', 'wk-many'])
    await cluster.call('n0', 'POST', `/api/jobs/${id}/abort`);
  for (let round = 0; round < 40 && cluster.released.length === 0; round++)
    await cluster.clock.advance(10_000);
  assert.ok(cluster.released.length > 0, 'machines are returned');
}

/** Transfers machines between shards at the leader's request. */
async function playMachineTransfers(capture: Capture): Promise<void> {
  const cluster = new FakeCluster(['n0', 'n1']);
  cluster.teams = ['red', 'blue'].map((name) => ({ name, ...GUARANTEED, cpusMax: 0, gpusMax: 0 }));
  for (let i = 0; i < 100; i++) cluster.addWorker('c8', i % 2 ? 'a' : 'b');
  await startNodes(capture, cluster, ['n0', 'n1']);
  cluster.objectives[0]!.withinS = 120;
  const wideTasks = { cpus: 8, expectedS: 15, saveEveryS: 0, urgency: 'urgent' };
  assert.ok(await cluster.submit('n0', job('wk-1', { ...wideTasks, owner: 'blue', pieces: 200 })));
  assert.ok(await cluster.submit('n0', job('wk-2', { ...wideTasks, pieces: 600 })));
  await cluster.clock.advance(15_000);
  for (let i = 0; i < 12; i++) {
    await cluster.clock.advance(2000);
    for (const [n, w] of cluster.workers.entries())
      for (const a of w.attempts) if (a.state === 'running' && n % 12 === i) w.endTask(a.task, 'done');
  }
}

/** Submits urgent work to one shard while another shard owns all machines and runs low-priority work on them. */
async function playPreemption(capture: Capture): Promise<void> {
  const cluster = new FakeCluster(['n0', 'n1']);
  cluster.teams = ['red', 'blue'].map((name) => ({ name, ...GUARANTEED }));
  for (let i = 0; i < 6; i++) cluster.addWorker('c8', 'a');
  await startNodes(capture, cluster, ['n0', 'n1']);
  const lowPriority = { cpus: 8, pieces: 40, urgency: 'low', owner: 'blue', expectedS: 900 };
  assert.ok(await cluster.submit('n0', job('wk-low', lowPriority)));
  await cluster.clock.advance(30_000);
  const urgent = { cpus: 8, pieces: 4, urgency: 'production', expectedS: 300 };
  assert.ok(await cluster.submit('n0', job('wk-urgent', urgent)));
  await cluster.clock.advance(60_000);
}

/**
 * Runs a job that fails on every machine and succeeds in the end; its failures are replicated to the shard's
 * standby.
 */
async function playFailingJob(capture: Capture): Promise<void> {
  const nodes = ['n0', 'n1', 'n2'];
  const cluster = new FakeCluster(nodes);
  cluster.standby = true;
  for (let i = 0; i < 12; i++) cluster.addWorker('c8', 'a');
  await startNodes(capture, cluster, nodes);
  assert.ok(await cluster.submit('n0', job('wk-wrong', { cpus: 8, pieces: 4 })));
  for (let round = 0; round < 20; round++) {
    for (const w of cluster.workers)
      for (const a of w.attempts) w.endTask(a.task, round < 14 ? 'error' : 'done');
    await cluster.clock.advance(2500);
  }
}

/** Runs scripted clusters that together produce every kind of message and stored record. */
export async function playClusters(capture: Capture): Promise<void> {
  await playLargeCluster(capture);
  await playStoredRequests(capture);
  await playSmallValues(capture);
  await playMachineTransfers(capture);
  await playPreemption(capture);
  await playFailingJob(capture);
}
