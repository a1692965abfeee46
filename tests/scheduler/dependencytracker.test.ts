import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ControllerContext } from '../../src/context/context.js';
import { makeJob } from '../../src/jobs/job.js';
import type { Plan } from '../../src/plan/plan.js';
import { TaskDispatcher } from '../../src/scheduler/taskdispatcher.js';
import { readJob } from '../../src/wire/users.js';
import type { Machine } from '../../src/workers/machine.js';
import type { MachineRegistry } from '../../src/workers/machineregistry.js';
import { FakeCluster, job } from '../support/cluster.js';

const status = (body: unknown) => (body as { status: string }).status;

async function reportedStatus(cluster: FakeCluster, node: string, id: string): Promise<string> {
  const reply = await cluster.call(node, 'GET', `/api/jobs/${id}`);
  return reply.status === 200 ? status(reply.body) : String(reply.status);
}

async function reachesState(
  cluster: FakeCluster,
  id: string,
  final: string,
  withinMs = 10_000,
): Promise<boolean> {
  const hasEnded = () =>
    (cluster.state.value(`job/${id}`) as { final?: string } | undefined)?.final === final;
  return cluster.clock.until(hasEnded, withinMs);
}

/** Starts two controllers and four machines, with a shard of one team for each controller. */
async function twoShards(): Promise<FakeCluster> {
  const cluster = new FakeCluster(['n0', 'n1']);
  cluster.teams = ['red', 'blue'].map((name) => ({ name, cpus: 320, cpusMax: 2000, gpus: 0, gpusMax: 0 }));
  for (let i = 0; i < 4; i++) cluster.addWorker('c8', 'a');
  cluster.startNode('n0');
  cluster.startNode('n1');
  await cluster.clock.advance(6000);
  return cluster;
}

const workerRunning = (cluster: FakeCluster, task: string) => cluster.workers.find((w) => w.isActive(task));
const startCount = (cluster: FakeCluster, task: string) =>
  cluster.workers.reduce((n, w) => n + w.executedStarts.filter((p) => p === task).length, 0);

function ownerOf(cluster: FakeCluster, team: string): string {
  const shard = (cluster.state.value('c/teams') as Record<string, number>)[team]!;
  return [...cluster.nodes.values()][0]!.node.membership.owner(shard)!.node;
}

async function waitForStart(cluster: FakeCluster, task: string, withinMs = 10_000): Promise<boolean> {
  return cluster.clock.until(() => workerRunning(cluster, task) !== undefined, withinMs);
}

async function complete(cluster: FakeCluster, task: string): Promise<void> {
  assert.ok(await waitForStart(cluster, task), `${task} runs`);
  workerRunning(cluster, task)!.endTask(task, 'done');
}

// Guards against `too_early`, and against a job that counts towards team limits before it can run.
test('a waiting job starts only after its dependencies are done, and counts towards no limit before', async () => {
  const cluster = new FakeCluster(['n0']);
  cluster.teams = [{ name: 'red', cpus: 4, cpusMax: 8, gpus: 0, gpusMax: 0 }];
  cluster.addWorker('c8', 'a');
  cluster.startNode('n0');
  assert.ok(await cluster.submit('n0', job('wk-1')));
  assert.ok(await cluster.submit('n0', job('wk-2', { waitsOn: ['wk-1', 'wk-1'], cpus: 8 })));
  assert.ok(await cluster.submit('n0', job('wk-3')));
  assert.ok(await waitForStart(cluster, 'wk-3/0'), 'a waiting job does not use up the limit of its team');
  await cluster.clock.advance(5000);
  assert.equal(await reportedStatus(cluster, 'n0', 'wk-2'), 'queued');
  assert.equal(startCount(cluster, 'wk-2/0'), 0);
  workerRunning(cluster, 'wk-3/0')!.endTask('wk-3/0', 'done');
  await cluster.clock.advance(3000);
  assert.equal(startCount(cluster, 'wk-2/0'), 0, 'free capacity alone does not start a waiting job');
  await complete(cluster, 'wk-1/0');
  assert.ok(await waitForStart(cluster, 'wk-2/0'));
  assert.notEqual(cluster.state.value('job/wk-1'), undefined, 'the end of the dependency is stored');
});

test('rejects malformed dependency lists, and answers 422 only for dependencies that were certainly never accepted', async () => {
  const cluster = new FakeCluster(['n0']);
  cluster.addWorker('c8', 'a');
  cluster.startNode('n0');
  assert.ok(await cluster.submit('n0', job('wk-1', { waitsOn: null })));
  assert.ok(await cluster.submit('n0', job('wk-2', { waitsOn: [] })));
  for (const bad of ['wk-1', [7], ['x'], { a: 1 }, [null]])
    assert.equal((await cluster.call('n0', 'POST', '/api/jobs', job('wk-3', { waitsOn: bad }))).status, 400);
  const submit = (id: string, waitsOn: string[]) =>
    cluster.call('n0', 'POST', '/api/jobs', job(id, { waitsOn }));
  assert.equal((await submit('wk-3', ['wk-1', 'wk-77'])).status, 422);
  assert.equal((await submit('wk-3', ['wk-3'])).status, 422);
  cluster.net.outcomeOf = (_f, _a, method, path) =>
    method === 'GET' && path.startsWith('/keys/act') ? 'refuse' : 'deliver';
  assert.equal(
    (await submit('wk-3', ['wk-78'])).status,
    503,
    'a failed read does not prove that the job was never accepted',
  );
  cluster.net.outcomeOf = () => 'deliver';
  assert.equal((await submit('wk-3', ['wk-1'])).status, 201);
  const repeated = await submit('wk-3', ['wk-1']);
  assert.equal(repeated.status, 200);
  assert.equal(status(repeated.body), 'queued');
  await complete(cluster, 'wk-1/0');
  await complete(cluster, 'wk-3/0');
  assert.ok(await reachesState(cluster, 'wk-3', 'done'));
  assert.equal((await submit('wk-3', ['wk-1'])).status, 200, 'a repeated submission finds the ended job');
  assert.equal(
    (await submit('wk-4', ['wk-3', 'wk-1'])).status,
    201,
    'a job whose dependencies have all ended is accepted',
  );
  assert.ok(await waitForStart(cluster, 'wk-4/0'));
});

// Guards against a release that depends on a message, because the message may get lost.
test('a job of another shard releases its dependents even when all messages about it are lost', async () => {
  for (const lost of [[], ['over'], ['over', 'needed']]) {
    const cluster = await twoShards();
    for (const op of lost) cluster.lostOperations.add(op);
    assert.ok(await cluster.submit('n0', job('wk-1', { owner: 'red' })));
    assert.ok(await cluster.submit('n1', job('wk-2', { owner: 'blue', waitsOn: ['wk-1'] })));
    assert.ok(await waitForStart(cluster, 'wk-1/0'));
    await cluster.clock.advance(4000);
    assert.equal(startCount(cluster, 'wk-2/0'), 0);
    await complete(cluster, 'wk-1/0');
    assert.ok(await waitForStart(cluster, 'wk-2/0', lost.length > 1 ? 8000 : 3000), `without ${lost}`);
    assert.ok((cluster.state.value('job/wk-1') as { final: string }).final === 'done');
  }
});

// Guards against a release that only the former owner knew of, and against a start before the release under a new
// owner.
test('the next owners release dependents when their owners die between the end of a job and the release', async () => {
  const cluster = await twoShards();
  assert.ok(await cluster.submit('n0', job('wk-1', { owner: 'red' })));
  assert.ok(await cluster.submit('n0', job('wk-2', { owner: 'blue', waitsOn: ['wk-1'] })));
  assert.ok(await cluster.submit('n0', job('wk-3', { owner: 'red', waitsOn: ['wk-2'] })));
  assert.ok(await waitForStart(cluster, 'wk-1/0'));
  for (const op of ['over', 'needed']) cluster.lostOperations.add(op);
  const red = ownerOf(cluster, 'red');
  const blue = ownerOf(cluster, 'blue');
  assert.notEqual(red, blue);
  await complete(cluster, 'wk-1/0');
  assert.ok(await reachesState(cluster, 'wk-1', 'done'));
  for (const n of [red, blue]) cluster.killNode(n);
  cluster.lostOperations.clear();
  for (const n of [red, blue]) cluster.startNode(n);
  assert.ok(await waitForStart(cluster, 'wk-2/0', 40_000), 'released by the next owner');
  assert.equal(startCount(cluster, 'wk-3/0'), 0, 'the job does not start before its own dependency is done');
  assert.equal(await reportedStatus(cluster, 'n0', 'wk-3'), 'queued');
  await complete(cluster, 'wk-2/0');
  assert.ok(await waitForStart(cluster, 'wk-3/0', 10_000));
});

// Guards against `orphaned` and `ran_cancelled`: the dependents of a cancelled job are cancelled despite any
// failure in between.
test('cancels all dependents of a cancelled job across shards, despite an outage', async () => {
  const cluster = await twoShards();
  assert.ok(await cluster.submit('n0', job('wk-1', { owner: 'red' })));
  assert.ok(await cluster.submit('n0', job('wk-2', { owner: 'blue', waitsOn: ['wk-1'] })));
  assert.ok(await cluster.submit('n0', job('wk-3', { owner: 'red', waitsOn: ['wk-2'] })));
  assert.ok(await cluster.submit('n0', job('wk-4', { owner: 'blue', waitsOn: ['wk-3', 'wk-1'] })));
  assert.ok(await waitForStart(cluster, 'wk-1/0'));
  const reply = await cluster.call('n1', 'POST', '/api/jobs/wk-1/abort');
  assert.equal(status(reply.body), 'aborted');
  const cancelledAt = cluster.clock.now();
  cluster.state.down = true;
  for (const r of cluster.nodes.values()) r.disconnected = true;
  await cluster.clock.advance(10_000);
  cluster.state.endOutage();
  for (const id of ['wk-2', 'wk-3', 'wk-4'])
    assert.ok(
      await reachesState(cluster, id, 'cancelled', 20_000),
      `${id} is cancelled through the key-value store`,
    );
  assert.ok(cluster.clock.now() - cancelledAt < 45_000);
  for (const r of cluster.nodes.values()) r.disconnected = false;
  await cluster.clock.advance(4000);
  for (const id of ['wk-2', 'wk-3', 'wk-4']) {
    assert.equal(await reportedStatus(cluster, 'n0', id), 'aborted');
    assert.equal(startCount(cluster, `${id}/0`), 0);
  }
  // A job that names a cancelled job is still accepted, and then cancelled.
  const dependentReply = await cluster.call(
    'n1',
    'POST',
    '/api/jobs',
    job('wk-5', { owner: 'red', waitsOn: ['wk-4'] }),
  );
  assert.deepEqual(
    [dependentReply.status, status(dependentReply.body)],
    [201, 'aborted'],
    'the job is not reported as queued',
  );
  assert.equal((cluster.state.value('job/wk-5') as { final: string }).final, 'cancelled');
  assert.equal(startCount(cluster, 'wk-5/0'), 0);
});

// Guards against `orphaned` when the owner cannot store the end of a job: neither the owner nor another node may
// report the job as queued.
test('a job about to be cancelled because of a dependency is not reported as queued', async () => {
  const cluster = await twoShards();
  assert.ok(await cluster.submit('n0', job('wk-1', { owner: 'red' })));
  assert.ok(await cluster.submit('n0', job('wk-2', { owner: 'blue', waitsOn: ['wk-1'] })));
  cluster.net.outcomeOf = (_f, _a, _m, path, body) =>
    path === '/txn' && JSON.stringify(body).includes('"set":"job/wk-2"') ? 'refuse' : 'deliver';
  assert.equal(status((await cluster.call('n1', 'POST', '/api/jobs/wk-1/abort')).body), 'aborted');
  await cluster.clock.advance(3000);
  for (const n of ['n0', 'n1']) assert.equal(await reportedStatus(cluster, n, 'wk-2'), '503');
  // A node that cannot reach the owner does not report the status in the record either.
  const other = ownerOf(cluster, 'red');
  cluster.nodes.get(ownerOf(cluster, 'blue'))!.disconnected = true;
  assert.equal(await reportedStatus(cluster, other, 'wk-2'), '503');
  cluster.net.outcomeOf = () => 'deliver';
  cluster.nodes.get(ownerOf(cluster, 'blue'))!.disconnected = false;
  assert.ok(await reachesState(cluster, 'wk-2', 'cancelled'));
  assert.equal(await reportedStatus(cluster, other, 'wk-2'), 'aborted');
});

test('a waiting job is still reported as queued when its owner cannot be reached', async () => {
  const cluster = await twoShards();
  assert.ok(await cluster.submit('n0', job('wk-1', { owner: 'red' })));
  assert.ok(await cluster.submit('n0', job('wk-2', { owner: 'blue', waitsOn: ['wk-1'] })));
  cluster.nodes.get(ownerOf(cluster, 'blue'))!.disconnected = true;
  await cluster.clock.advance(60_000);
  assert.equal(await reportedStatus(cluster, ownerOf(cluster, 'red'), 'wk-2'), 'queued');
});

// Guards against an endless wait for a job that is stored but unknown to its owner.
test('loads and runs a dependency that is stored but unknown to its owner', async () => {
  const cluster = new FakeCluster(['n0']);
  cluster.addWorker('c8', 'a');
  cluster.startNode('n0');
  assert.ok(await cluster.submit('n0', job('wk-0', { cpus: 1 })));
  cluster.net.outcomeOf = (_f, _a, _m, path, body) =>
    path === '/txn' && JSON.stringify(body).includes('"set":"act/wk-1"') ? 'hold' : 'deliver';
  assert.equal((await cluster.call('n0', 'POST', '/api/jobs', job('wk-1', { cpus: 1 }))).status, 503);
  cluster.net.outcomeOf = () => 'deliver';
  await cluster.net.release();
  assert.ok(await cluster.submit('n0', job('wk-2', { cpus: 1, waitsOn: ['wk-1'] })));
  await complete(cluster, 'wk-1/0');
  assert.ok(await waitForStart(cluster, 'wk-2/0'));
});

// Guards against a hot loop of reads: with many dependencies and a failing key-value store, reads are retried only at
// the polling rate.
test('retries failed reads of dependencies at a bounded rate during an outage', async () => {
  const cluster = await twoShards();
  const ids = Array.from({ length: 30 }, (_, i) => `wk-${100 + i}`);
  for (const id of ids) assert.ok(await cluster.submit('n0', job(id, { owner: 'red', cpus: 1 })));
  assert.ok(await cluster.submit('n0', job('wk-2', { owner: 'blue', waitsOn: ids })));
  const blue = ownerOf(cluster, 'blue');
  cluster.killNode(blue);
  cluster.lostOperations.add('needed');
  cluster.startNode(blue);
  await cluster.clock.advance(8000);
  let reads = 0;
  cluster.net.outcomeOf = (from, _a, method, path) => {
    if (from !== blue || method !== 'GET' || !path.startsWith('/keys/')) return 'deliver';
    reads++;
    return 'refuse';
  };
  await cluster.clock.advance(10_000);
  assert.ok(reads > 0 && reads <= 10 * 9, `${reads} reads in 10 s`);
  cluster.net.outcomeOf = () => 'deliver';
  for (const id of ids) await complete(cluster, `${id}/0`);
  assert.ok(await waitForStart(cluster, 'wk-2/0', 20_000));
});

test('a job whose cancellation is answered with done releases its dependents', async () => {
  const cluster = await twoShards();
  assert.ok(await cluster.submit('n0', job('wk-1', { owner: 'red' })));
  assert.ok(await cluster.submit('n0', job('wk-2', { owner: 'blue', waitsOn: ['wk-1'] })));
  assert.ok(await waitForStart(cluster, 'wk-1/0'));
  // The end is stored but the answer to its owner is lost, and the cancellation arrives before the owner learns the
  // outcome.
  const blocked = { value: true };
  cluster.net.outcomeOf = (_f, _a, _m, path, body) => {
    if (!blocked.value || path !== '/txn' || !JSON.stringify(body).includes('"final":"done"'))
      return 'deliver';
    blocked.value = false;
    return 'lost-answer';
  };
  workerRunning(cluster, 'wk-1/0')!.endTask('wk-1/0', 'done');
  assert.ok(await reachesState(cluster, 'wk-1', 'done'));
  const reply = await cluster.call('n0', 'POST', '/api/jobs/wk-1/abort');
  assert.equal(status(reply.body), 'done', 'the cancellation reports the stored outcome');
  assert.ok(await waitForStart(cluster, 'wk-2/0'));
});

// Guards against a pipeline stage that stays at the end of the queue although the rest of the pipeline is urgent.
test('a dependency inherits priority and deadline from its dependents, also from a later job in another shard', async () => {
  const cluster = await twoShards();
  const jobOf = (id: string) => [...cluster.nodes.values()].map((r) => r.node.job(id)).find((j) => j);
  assert.ok(await cluster.submit('n0', job('wk-2', { owner: 'red', urgency: 'low', expectedS: 100 })));
  assert.ok(await cluster.submit('n0', job('wk-3', { owner: 'red', urgency: 'low', waitsOn: ['wk-2'] })));
  await cluster.clock.advance(2000);
  assert.equal(jobOf('wk-2')!.priority, 0);
  const dueBefore = jobOf('wk-2')!.dueWall;
  const urgentJob = job('wk-4', {
    owner: 'blue',
    urgency: 'urgent',
    waitsOn: ['wk-3'],
    dueS: 250,
    expectedS: 30,
  });
  assert.ok(await cluster.submit('n1', urgentJob));
  await cluster.clock.advance(3000);
  assert.equal(jobOf('wk-3')!.priority, 2);
  assert.equal(jobOf('wk-2')!.priority, 2);
  const due = jobOf('wk-4')!.deadlineWall;
  assert.equal(jobOf('wk-3')!.dueWall, Math.min(jobOf('wk-3')!.deadlineWall, due - 30_000));
  assert.equal(jobOf('wk-2')!.dueWall, Math.min(dueBefore, due - 30_000 - 60_000));
  // Its former dependencies lose the inherited priority after the cancellation.
  assert.ok(await cluster.call('n0', 'POST', '/api/jobs/wk-4/abort'));
  await cluster.clock.advance(8000);
  assert.equal(jobOf('wk-2')!.priority, 0);
});

// Guards against a plan that reserves capacity for a waiting job before the expected end of its dependencies.
test('refuses a waiting job whose dependency is expected to end too late for its deadline', async () => {
  const cluster = new FakeCluster(['n0']);
  cluster.addWorker('c8', 'a');
  cluster.startNode('n0');
  assert.ok(await cluster.submit('n0', job('wk-1', { expectedS: 100 })));
  const lateReply = await cluster.call(
    'n0',
    'POST',
    '/api/jobs',
    job('wk-2', { waitsOn: ['wk-1'], dueS: 120 }),
  );
  assert.equal(lateReply.status, 429);
  assert.ok(lateReply.headers?.['Retry-After']);
  const independentReply = await cluster.call('n0', 'POST', '/api/jobs', job('wk-3', { dueS: 120 }));
  assert.equal(independentReply.status, 201, 'the same deadline is accepted without a dependency');
  const laterDeadlineReply = await cluster.call(
    'n0',
    'POST',
    '/api/jobs',
    job('wk-2', { waitsOn: ['wk-1'], dueS: 250 }),
  );
  assert.equal(laterDeadlineReply.status, 201);
});

// Guards against `too_early` when a plan contains a waiting job for any reason.
test('starts no task of a job that waits or is to be cancelled, even if the plan contains it', () => {
  const spec = readJob(job('wk-1', { owner: 'red' }));
  assert.ok(typeof spec !== 'string');
  const size = { cpus: 8, gpus: 0, memoryGb: 32 };
  const context = {
    settings: { teams: [], limits: { cores: 1 } },
    catalog: { size: () => size },
  } as unknown as ControllerContext;
  const machine = {
    id: 'm-1',
    addr: '10.0.0.1:1',
    type: 0,
    zone: 0,
    reconciled: true,
    reclaimAt: null,
    unreachableAt: null,
    unconfirmedResponses: 0,
    lastAcknowledgedAt: 0,
    attempts: new Map(),
  } as unknown as Machine;
  const startedJobs: string[] = [];
  const registry = {
    machines: new Map([[machine.id, machine]]),
    startTasks: (_m: Machine, starts: { job: string }[]) => {
      startedJobs.push(...starts.map((s) => s.job));
      return [];
    },
  } as unknown as MachineRegistry;
  const waitingJob = makeJob(
    spec,
    { accepted: 0, deadline: 0, order: 1, fresh: true, version: 1 },
    { team: 0, types: null, zone: null, image: 0, match: null },
  );
  const log = { debug: () => undefined } as never;
  const dispatcher = new TaskDispatcher(context, 7, registry, new Map([['wk-1', waitingJob]]), log, {
    usageOf: () => null,
    unreconciledCapacity: () => ({ cpus: 0, gpus: 0, memoryGb: 0 }),
    isConfirmedNotRunning: () => true,
    isReservedForTransfer: () => false,
    onOwnershipLost: () => new Error('lost'),
  });
  const plan = {
    reservations: [{ job: { id: 1 }, task: 0, machine: 0, start: 0, end: 60 }],
  } as unknown as Plan;
  const dispatch = () => dispatcher.dispatch(plan, [machine], new Map([[1, waitingJob]]), 1000);
  waitingJob.pendingDependencies.add('wk-0');
  dispatch();
  waitingJob.pendingDependencies.clear();
  waitingJob.cancelledByDependency = true;
  dispatch();
  assert.deepEqual(startedJobs, []);
  waitingJob.cancelledByDependency = false;
  dispatch();
  assert.deepEqual(startedJobs, ['wk-1']);
});
