import assert from 'node:assert/strict';
import { test } from 'node:test';
import { readJobList } from '../../src/wire/users.js';
import { FakeCluster, job, LEASE_S } from '../support/cluster.js';

const status = (body: unknown) => (body as { status: string }).status;

async function started(cluster: FakeCluster, task: string, withinMs = 10_000): Promise<boolean> {
  return cluster.clock.until(() => cluster.workers.some((w) => w.isActive(task)), withinMs);
}

test('a job is accepted, runs, and remains done after all controllers have restarted', async () => {
  const cluster = new FakeCluster(['n0', 'n1']);
  const worker = cluster.addWorker('c8', 'a');
  cluster.startNode('n0');
  cluster.startNode('n1');
  assert.ok(await cluster.submit('n1', job('wk-1')));
  assert.ok(await started(cluster, 'wk-1/0'));
  assert.equal(status((await cluster.call('n0', 'GET', '/api/jobs/wk-1')).body), 'running');
  worker.endTask('wk-1/0', 'done');
  assert.ok(
    await cluster.clock.until(() => worker.attempts.length === 0, 5000),
    'attempt cleared once its end is durable',
  );
  assert.deepEqual((cluster.state.value('job/wk-1') as { final: string }).final, 'done');
  for (const n of ['n0', 'n1']) {
    cluster.killNode(n);
    cluster.startNode(n);
  }
  await cluster.clock.advance(6000);
  assert.equal(status((await cluster.call('n1', 'GET', '/api/jobs/wk-1')).body), 'done');
  const repeat = await cluster.call('n0', 'POST', '/api/jobs', job('wk-1'));
  assert.equal(repeat.status, 200);
  assert.equal(status(repeat.body), 'done');
  assert.equal((await cluster.call('n0', 'GET', '/api/jobs/wk-2')).status, 404);
  assert.equal(worker.executedStarts.length, 1);
});

test('an acceptance whose answer was lost is read back, neither dropped nor repeated', async () => {
  const cluster = new FakeCluster(['n0']);
  cluster.addWorker('c8', 'a');
  cluster.startNode('n0');
  assert.ok(await cluster.submit('n0', job('wk-0')));
  let lostAnswers = 0;
  cluster.net.outcomeOf = (_from, _addr, _method, path, body) => {
    if (path === '/txn' && lostAnswers === 0 && JSON.stringify(body).includes('"set":"act/wk-1"')) {
      lostAnswers++;
      return 'lost-answer';
    }
    return 'deliver';
  };
  const reply = await cluster.call('n0', 'POST', '/api/jobs', job('wk-1'));
  assert.equal(lostAnswers, 1);
  assert.equal(reply.status, 201);
  assert.ok(await started(cluster, 'wk-1/0'));
});

test('a job whose acceptance is delivered late runs after its user retries', async () => {
  const cluster = new FakeCluster(['n0']);
  cluster.addWorker('c8', 'a');
  cluster.startNode('n0');
  assert.ok(await cluster.submit('n0', job('wk-0')));
  cluster.net.outcomeOf = (_f, _a, _m, path, body) =>
    path === '/txn' && JSON.stringify(body).includes('"set":"act/wk-1"') && cluster.net.held.length === 0
      ? 'hold'
      : 'deliver';
  assert.equal((await cluster.call('n0', 'POST', '/api/jobs', job('wk-1'))).status, 503);
  await cluster.net.release();
  assert.equal((await cluster.call('n0', 'POST', '/api/jobs', job('wk-1'))).status, 200);
  assert.ok(await started(cluster, 'wk-1/0'));
});

test('a new owner restarts no task while a former owner’s start order may still be delivered', async () => {
  const cluster = new FakeCluster(['n0', 'n1']);
  const first = cluster.addWorker('c8', 'a');
  cluster.startNode('n0');
  cluster.startNode('n1');
  await cluster.clock.advance(4000);
  // The network delays the start command and cuts the machine off.
  cluster.net.outcomeOf = (_f, addr, _m, path, body) =>
    addr === first.identity.addr
      ? path === '/do' && JSON.stringify(body).includes('wk-1')
        ? 'hold'
        : 'silent'
      : 'deliver';
  assert.ok(await cluster.submit('n0', job('wk-1')));
  assert.ok(await cluster.clock.until(() => cluster.net.held.length === 1, 5000));
  cluster.notSendingHeartbeats.add(first);
  const second = cluster.addWorker('c8', 'a');
  const owner = [...cluster.nodes].find(([, r]) => r.node.membership.owner(0)?.node === 'n0') ? 'n0' : 'n1';
  cluster.killNode(owner);
  const cutAt = cluster.clock.now();
  cluster.startNode(owner);
  await cluster.clock.advance(9000);
  assert.equal(
    second.executedStarts.length,
    0,
    'not before the first machine’s lease is guaranteed to have expired',
  );
  await cluster.net.release();
  assert.ok(first.isActive('wk-1/0'), 'the delayed order was executed');
  await cluster.clock.advance(cutAt + LEASE_S * 1000 - 500 - cluster.clock.now());
  assert.equal(second.executedStarts.length, 0);
  assert.ok(await cluster.clock.until(() => second.isActive('wk-1/0'), 15_000));
});

// Guards against a lease that is counted only from the last answered heartbeat. An overloaded controller answered
// so late that the machine had started its next incarnation. The controller learned of that incarnation from the
// answer to a start command, and considered the machine lost while the started task was still running (recorded
// day inc-05ed: tasks ran twice).
test('counts the lease of an incarnation from the command answer that first showed it', async () => {
  const cluster = new FakeCluster(['n0']);
  const worker = cluster.addWorker('c8', 'a');
  cluster.startNode('n0');
  await cluster.clock.advance(6000);
  assert.ok(worker.fencingToken > 0);
  cluster.notSendingHeartbeats.add(worker);
  const lastHeartbeatAt = worker.lastHeartbeatSentAt;
  await cluster.clock.advance(15_000);
  // The controller answers this heartbeat, but too late for the machine.
  const lateReply = await cluster.call('n0', 'POST', '/v1/report', worker.report());
  assert.equal(lateReply.status, 200);
  await cluster.clock.advance(lastHeartbeatAt + LEASE_S * 1000 + 1000 - cluster.clock.now());
  assert.ok(await cluster.submit('n0', job('wk-1', { cpus: 8 })));
  assert.ok(await started(cluster, 'wk-1/0', 2000), 'started in the next incarnation');
  assert.equal(worker.incarnation, 2);
  const other = cluster.addWorker('c8', 'a');
  // Half a second after a lease counted from the last answered heartbeat would have expired, and before the
  // incarnation's own lease expires.
  await cluster.clock.advance(lastHeartbeatAt + (15 + LEASE_S + 2) * 1000 - cluster.clock.now());
  assert.ok(worker.isActive('wk-1/0'), 'its lease is still valid');
  assert.equal(other.executedStarts.length, 0, 'not started elsewhere while the lease is valid');
  assert.ok(
    await cluster.clock.until(() => other.isActive('wk-1/0'), 30_000),
    'restarted once the lease is guaranteed to have expired',
  );
});

// Guards against a second copy of a job in memory, which lacked the tasks that the first copy had started.
test('a status request during a job’s acceptance does not replace the job, which runs once', async () => {
  const cluster = new FakeCluster(['n0']);
  const first = cluster.addWorker('c8', 'a');
  const second = cluster.addWorker('c8', 'a');
  cluster.startNode('n0');
  assert.ok(await cluster.submit('n0', job('wk-0')));
  await cluster.clock.advance(2000);
  cluster.net.outcomeOf = (_f, _a, _m, path, body) =>
    path === '/txn' && JSON.stringify(body).includes('"set":"act/wk-1"') ? 'lost-answer' : 'deliver';
  const accepted = cluster.call('n0', 'POST', '/api/jobs', job('wk-1'));
  await cluster.clock.advance(500);
  assert.equal((await cluster.call('n0', 'GET', '/api/jobs/wk-1')).status, 200);
  assert.ok(await started(cluster, 'wk-1/0', 2000));
  assert.ok([200, 201].includes((await accepted).status));
  await cluster.clock.advance(10_000);
  const starts = [...first.executedStarts, ...second.executedStarts].filter((p) => p === 'wk-1/0');
  assert.equal(starts.length, 1);
});

// Guards against starting a task on a machine whose transfer, written without an answer, may still take effect: the
// next owner would not know of the task, and this owner would start it again elsewhere.
test('a machine whose transfer has an unknown outcome gets no task until its record is read back', async () => {
  const cluster = new FakeCluster(['n0', 'n1']);
  const worker = cluster.addWorker('c8', 'a');
  cluster.startNode('n0');
  cluster.startNode('n1');
  await cluster.clock.advance(8000);
  const owner = (shard: number) =>
    [...cluster.nodes].find(([name, r]) => r.node.membership.owner(shard)?.node === name)![0];
  const record = () => cluster.state.value(`c/m/${worker.id}`) as { shard: number };
  const from = record().shard;
  const name = owner(from);
  cluster.net.outcomeOf = (_f, _a, _m, path, body) =>
    path === '/txn' &&
    JSON.stringify(body).includes(`"set":"c/m/${worker.id}"`) &&
    cluster.net.held.length === 0
      ? 'hold'
      : 'deliver';
  const transferred = cluster.nodes
    .get(name)!
    .node.serve('give', { shard: from, machine: worker.id, to: 1 - from });
  assert.ok(await cluster.submit(name, job('wk-1')));
  assert.equal(worker.executedStarts.length, 0, 'not while the write may still be applied');
  assert.ok(await cluster.clock.until(() => cluster.net.held.length === 1, 1000));
  await cluster.clock.advance(4000);
  assert.equal(await transferred, false);
  const before = record();
  await cluster.net.release();
  assert.deepEqual(record(), before, 'the late write has no effect');
  await cluster.clock.advance(6000);
  assert.equal(worker.executedStarts.length, 1);
  assert.ok(worker.isActive('wk-1/0'));
});

// Guards against an owner that is cut off only from the workers: it keeps renewing its own lease during the
// partition, and every machine of its shard loses its tasks (recorded day inc-667e).
test('an owner that machines cannot reach gives up its shard before the machines’ leases expire', async () => {
  const cluster = new FakeCluster(['n0', 'n1', 'n2']);
  const machines = [1, 2, 3, 4].map(() => cluster.addWorker('c8', 'a'));
  for (const n of ['n0', 'n1', 'n2']) cluster.startNode(n);
  await cluster.clock.advance(6000);
  assert.ok(await cluster.submit('n1', job('wk-1', { pieces: 4, cpus: 8 })));
  assert.ok(await cluster.clock.until(() => machines.every((w) => w.executedStarts.length === 1), 15_000));
  const shard = (cluster.state.value(`c/m/${machines[0]!.id}`) as { shard: number }).shard;
  const owner = () => (cluster.state.value(`c/own/${shard}`) as { node: string } | undefined)?.node;
  const cutNode = owner()!;
  cluster.nodesCutFromWorkers.add(cutNode);
  cluster.net.outcomeOf = (from, addr) =>
    from === cutNode && addr.startsWith('10.1.') ? 'silent' : 'deliver';
  assert.ok(
    await cluster.clock.until(() => owner() !== undefined && owner() !== cutNode, 12_000),
    'handed over',
  );
  const newWorker = cluster.addWorker('c8', 'a');
  const next = [...cluster.nodes.keys()].find((n) => n !== cutNode)!;
  machines[0]!.endTask('wk-1/0', 'done');
  assert.ok(await cluster.submit(next, job('wk-2', { cpus: 8 })));
  assert.ok(await started(cluster, 'wk-2/0', 15_000));
  await cluster.clock.advance(30_000);
  assert.notEqual(owner(), cutNode, 'not returned while the partition lasts');
  cluster.nodesCutFromWorkers.clear();
  cluster.net.outcomeOf = () => 'deliver';
  assert.ok(
    await cluster.clock.until(() => owner() === cutNode, 60_000),
    'returned to its preferred node afterwards',
  );
  await cluster.clock.advance(5000);
  assert.ok(
    machines.every(
      (w) => w.incarnation === 1 && w.executedStarts.filter((p) => p.startsWith('wk-1')).length === 1,
    ),
  );
  assert.ok(machines.some((w) => w.isActive('wk-2/0')) || newWorker.isActive('wk-2/0'));
});

test('an owner keeps its shard when the machines themselves are faulty', async () => {
  const cluster = new FakeCluster(['n0', 'n1']);
  const machines = [1, 2, 3, 4].map(() => cluster.addWorker('c8', 'a'));
  cluster.startNode('n0');
  cluster.startNode('n1');
  await cluster.clock.advance(8000);
  const before = [0, 1].map((k) => JSON.stringify(cluster.state.value(`c/own/${k}`)));
  for (const worker of machines.slice(1)) cluster.notSendingHeartbeats.add(worker);
  cluster.net.outcomeOf = (_f, addr) =>
    machines.slice(1).some((w) => w.identity.addr === addr) ? 'silent' : 'deliver';
  await cluster.clock.advance(30_000);
  assert.deepEqual(
    [0, 1].map((k) => JSON.stringify(cluster.state.value(`c/own/${k}`))),
    before,
  );
});

// Guards against new jobs that queue for storage until their users have given up and retry. A burst of one-task jobs
// used up the key-value store's whole rate in that way (recorded day inc-05ed).
test('new jobs beyond the storage rate are rejected at once, with retry times spread over time', async () => {
  const cluster = new FakeCluster(['n0']);
  cluster.stateRates = { rps: 100, writeRps: 10 };
  cluster.addWorker('c8', 'a');
  cluster.startNode('n0');
  assert.ok(await cluster.submit('n0', job('wk-0')));
  await cluster.clock.advance(3000);
  const startedAt = cluster.clock.now();
  const answers: { status: number; elapsedMs: number; retryAfterS: number }[] = [];
  for (let i = 1; i <= 60; i++) {
    void cluster.nodes
      .get('n0')!
      .api.handle(cluster.request('POST', '/api/jobs', job(`wk-${i}`, { cpus: 0.1, memoryGb: 0.1 })))
      .then((r) => {
        const retryAfterS = Number(r.headers?.['Retry-After'] ?? 0);
        answers.push({ status: r.status, elapsedMs: cluster.clock.now() - startedAt, retryAfterS });
      });
    await cluster.clock.advance(10);
  }
  await cluster.clock.advance(4000);
  assert.equal(answers.length, 60);
  const rejected = answers.filter((a) => a.status === 503);
  const accepted = answers.filter((a) => a.status === 201).length;
  assert.ok(
    accepted >= 5 && accepted + rejected.length === 60,
    `${accepted} accepted, ${rejected.length} rejected`,
  );
  assert.ok(rejected.every((a) => a.elapsedMs < 1000 && a.retryAfterS >= 1));
  assert.ok(new Set(rejected.map((a) => a.retryAfterS)).size >= 6, 'spread over time');
  const stored = [...cluster.state.items.keys()].filter((k) => k.startsWith('act/')).length;
  assert.equal(stored, accepted + 1);
});

// Guards against renting machines for tasks that are planned late on a loaded machine while other machines boot, and
// for tasks that wait for their team's limit: every plan rented again until the cloud had no capacity left.
test('rents no more machines than tasks can use, regardless of their boot time', async () => {
  const cluster = new FakeCluster(['n0']);
  cluster.cloudHasCapacity = true;
  cluster.startNode('n0');
  await cluster.clock.advance(6000);
  // The team's limit allows four of the 20 tasks at once, and each task is as large as a machine.
  assert.ok(await cluster.submit('n0', job('wk-1', { pieces: 20, cpus: 8 })));
  await cluster.clock.advance(25_000);
  assert.equal(
    cluster.rented.reduce((sum, r) => sum + r.count, 0),
    4,
  );
});

// Guards against shards that keep their initial machines on a day with full load: no machine is ever idle then, so
// none was transferred.
test('a shard with little urgent work transfers machines as their tasks end, and stops no task', async () => {
  const cluster = new FakeCluster(['n0', 'n1']);
  cluster.teams = ['red', 'blue'].map((name) => ({ name, cpus: 320, cpusMax: 2000, gpus: 0, gpusMax: 0 }));
  for (let i = 0; i < 100; i++) cluster.addWorker('c8', i % 2 ? 'a' : 'b');
  cluster.startNode('n0');
  cluster.startNode('n1');
  await cluster.clock.advance(8000);
  const shard = (cluster.state.value('c/teams') as Record<string, number>).red;
  const redMachines = () =>
    cluster.workers.filter((w) => (cluster.state.value(`c/m/${w.id}`) as { shard: number }).shard === shard);
  cluster.objectives[0]!.withinS = 120;
  const work = { cpus: 8, expectedS: 15, saveEveryS: 0, urgency: 'urgent' };
  assert.ok(await cluster.submit('n0', job('wk-1', { ...work, owner: 'blue', pieces: 200 })));
  assert.ok(await cluster.submit('n0', job('wk-2', { ...work, pieces: 600 })));
  const busy = () => cluster.workers.every((w) => w.attempts.some((p) => p.state === 'running'));
  assert.ok(await cluster.clock.until(busy, 15_000));
  const before = redMachines().length;
  for (let i = 0; i < 12; i++) {
    await cluster.clock.advance(2000);
    for (const [n, worker] of cluster.workers.entries())
      for (const p of worker.attempts)
        if (p.state === 'running' && n % 12 === i) worker.endTask(p.task, 'done');
  }
  assert.ok(redMachines().length > before + 5, `${before} machines, then ${redMachines().length}`);
  const causes = new Set(cluster.workers.flatMap((w) => w.attempts.map((p) => p.cause ?? 'done')));
  assert.deepEqual([...causes], ['done']);
  assert.ok(cluster.workers.every((w) => w.incarnation === 1));
});

// Guards against a controller that, after a pause of its process, acts on decisions or reads from before the pause.
test('a controller paused beyond its lease executes none of its pending actions', async () => {
  const cluster = new FakeCluster(['n0', 'n1', 'n2']);
  const machines = [1, 2, 3].map(() => cluster.addWorker('c8', 'a'));
  for (const n of ['n0', 'n1', 'n2']) cluster.startNode(n);
  await cluster.clock.advance(8000);
  assert.ok(await cluster.submit('n1', job('wk-1', { pieces: 2, cpus: 8 })));
  assert.ok(
    await cluster.clock.until(() => machines.filter((w) => w.attempts.length > 0).length === 2, 10_000),
  );
  const shard = (cluster.state.value(`c/m/${machines[0]!.id}`) as { shard: number }).shard;
  const owner = () => (cluster.state.value(`c/own/${shard}`) as { node: string } | undefined)?.node;
  const formerOwner = owner()!;
  const other = ['n0', 'n1', 'n2'].find((n) => n !== formerOwner)!;
  // A new job is accepted and its start is planned; then the owner is paused before the timer of the start fires.
  assert.ok(await cluster.submit(formerOwner, job('wk-2', { cpus: 8 })));
  const resume = cluster.freeze(formerOwner);
  assert.ok(
    await cluster.clock.until(() => owner() !== undefined && owner() !== formerOwner, 15_000),
    'shard taken over',
  );
  assert.ok(await cluster.clock.until(() => machines.some((w) => w.isActive('wk-2/0')), 10_000));
  const cancelled = await cluster.call(other, 'POST', '/api/jobs/wk-1/abort');
  assert.equal(status(cancelled.body), 'aborted');
  await cluster.clock.advance(10_000);
  const heartbeatReply = cluster.nodes
    .get(formerOwner)!
    .api.handle(cluster.request('POST', '/v1/report', machines[0]!.report()));
  const statusRequest = cluster.nodes.get(formerOwner)!.api.handle(cluster.request('GET', '/api/jobs/wk-1'));
  const started = () => machines.flatMap((w) => w.executedStarts).sort();
  const before = started();
  const requests: string[] = [];
  cluster.net.outcomeOf = (from, addr, _m, path, body) => {
    if (from === formerOwner && addr.startsWith('10.1.')) requests.push(path);
    if (from === formerOwner && path === '/txn' && JSON.stringify(body).includes('act/')) requests.push(path);
    return 'deliver';
  };
  resume();
  await cluster.clock.advance(1500);
  assert.notEqual((await heartbeatReply).status, 200, 'it renews no worker lease');
  assert.notEqual(status((await statusRequest).body), 'running', 'no status older than one already returned');
  assert.deepEqual(requests, [], 'no order sent and no record written');
  assert.notEqual(owner(), formerOwner);
  await cluster.clock.advance(20_000);
  assert.deepEqual(started(), before);
  assert.equal(owner(), formerOwner, 'its shard is returned to it, once');
  assert.ok(machines.every((w) => w.incarnation === 1));
  assert.equal(status((await cluster.call(formerOwner, 'GET', '/api/jobs/wk-1')).body), 'aborted');
});

// Guards against a task that is started a third time. When two attempts of a task were on machines, the one being
// stopped was not recorded as placed, so the end of the other attempt made the task startable again.
test('a task is not restarted while a second attempt of it is still being stopped on a machine', async () => {
  const cluster = new FakeCluster(['n0']);
  const first = cluster.addWorker('c8', 'a');
  cluster.startNode('n0');
  assert.ok(await cluster.submit('n0', job('wk-1', { cpus: 8 })));
  assert.ok(await started(cluster, 'wk-1/0'));
  const second = cluster.addWorker('c8', 'a');
  await cluster.clock.advance(4000);
  // The second machine runs the task as well, and no stop command reaches it.
  const answer = second.handleHeartbeatResponse.bind(second);
  second.handleHeartbeatResponse = (body, sent) => answer({ ...(body as object), orders: [] }, sent);
  cluster.net.outcomeOf = (_f, addr, _m, path) =>
    addr === second.identity.addr && path === '/do' ? 'silent' : 'deliver';
  second.attempts.push({
    task: 'wk-1/0',
    job: 'wk-1',
    index: 0,
    attempt: 1,
    state: 'running',
    cause: null,
    saved: false,
  });
  await cluster.clock.advance(3000);
  const third = cluster.addWorker('c8', 'a');
  await cluster.clock.advance(4000);
  first.endTask('wk-1/0', 'error');
  await cluster.clock.advance(10_000);
  assert.ok(second.isActive('wk-1/0'));
  assert.deepEqual(
    [first.executedStarts.length, third.executedStarts.length],
    [1, 0],
    'not started while the second attempt exists',
  );
  second.endTask('wk-1/0', 'stopped');
  assert.ok(
    await cluster.clock.until(() => first.executedStarts.length + third.executedStarts.length === 2, 20_000),
  );
});

test('a delayed order has no effect once the machine has a newer fencing token', async () => {
  const cluster = new FakeCluster(['n0']);
  const worker = cluster.addWorker('c8', 'a');
  cluster.startNode('n0');
  await cluster.clock.advance(4000);
  cluster.net.outcomeOf = (_f, _a, _m, path, body) =>
    path === '/do' && JSON.stringify(body).includes('wk-1') && cluster.net.held.length === 0
      ? 'hold'
      : 'deliver';
  assert.ok(await cluster.submit('n0', job('wk-1')));
  assert.ok(await cluster.clock.until(() => cluster.net.held.length === 1, 3000));
  const before = worker.fencingToken;
  assert.ok(await started(cluster, 'wk-1/0', 10_000));
  assert.ok(worker.fencingToken > before, 'the start was repeated only under a newer token');
  await cluster.net.release();
  assert.equal(worker.executedStarts.length, 1);
});

test('heartbeats are not answered with 200 while the node’s lease may have expired', async () => {
  const cluster = new FakeCluster(['n0']);
  const worker = cluster.addWorker('c8', 'a');
  cluster.startNode('n0');
  assert.ok(await cluster.submit('n0', job('wk-1')));
  assert.ok(await started(cluster, 'wk-1/0'));
  cluster.state.down = true;
  await cluster.clock.advance(8500);
  const during = await cluster.nodes.get('n0')!.api.handle({
    method: 'POST',
    path: '/v1/report',
    query: new URLSearchParams(),
    headers: new Map(),
    body: Buffer.from(JSON.stringify(worker.report())),
  });
  assert.equal(during.status, 503);
  cluster.state.endOutage();
  await cluster.clock.advance(5000);
  assert.ok(worker.isActive('wk-1/0'), 'the task survives the outage');
  assert.equal(worker.executedStarts.length, 1);
});

test('a cancelled job is stopped even if its start order is still in flight', async () => {
  const cluster = new FakeCluster(['n0']);
  const worker = cluster.addWorker('c8', 'a');
  cluster.startNode('n0');
  await cluster.clock.advance(4000);
  cluster.net.outcomeOf = (_f, _a, _m, path, body) =>
    path === '/do' && JSON.stringify(body).includes('"run"') && cluster.net.held.length === 0
      ? 'hold'
      : 'deliver';
  assert.ok(await cluster.submit('n0', job('wk-1')));
  await cluster.clock.until(() => cluster.net.held.length === 1, 3000);
  const reply = await cluster.call('n0', 'POST', '/api/jobs/wk-1/abort');
  assert.equal(reply.status, 200);
  assert.equal(status(reply.body), 'aborted');
  await cluster.net.release();
  await cluster.clock.advance(8000);
  assert.ok(!worker.isActive('wk-1/0'));
  assert.equal(status((await cluster.call('n0', 'GET', '/api/jobs/wk-1')).body), 'aborted');
  assert.equal(status((await cluster.call('n0', 'POST', '/api/jobs', job('wk-1'))).body), 'aborted');
});

test('a gang starts as one attempt, and restarts after a lost task only when all its tasks have ended', async () => {
  const cluster = new FakeCluster(['n0']);
  const firstWorker = cluster.addWorker('c8', 'a');
  const secondWorker = cluster.addWorker('c8', 'a');
  cluster.startNode('n0');
  await cluster.clock.advance(6000);
  assert.ok(
    await cluster.submit('n0', job('wk-1', { shape: 'ensemble', pieces: 2, cpus: 8, oneZone: true })),
  );
  assert.ok(
    await cluster.clock.until(
      () => firstWorker.attempts.length === 1 && secondWorker.attempts.length === 1,
      15_000,
    ),
  );
  const attempt = firstWorker.attempts[0]!.attempt;
  assert.equal(secondWorker.attempts[0]!.attempt, attempt);
  firstWorker.endTask(firstWorker.attempts[0]!.task, 'error');
  assert.ok(
    await cluster.clock.until(
      () => !secondWorker.attempts.some((p) => p.attempt === attempt && p.state !== 'exited'),
      5000,
    ),
  );
  const again = () =>
    [firstWorker, secondWorker].every((w) =>
      w.attempts.some((p) => p.attempt !== attempt && p.state === 'running'),
    );
  assert.ok(await cluster.clock.until(again, 30_000));
});

test('tasks that may still run on unreachable machines count against the team’s limit', async () => {
  const cluster = new FakeCluster(['n0']);
  const machines = [1, 2, 3, 4].map(() => cluster.addWorker('c8', 'a'));
  cluster.startNode('n0');
  assert.ok(await cluster.submit('n0', job('wk-1', { pieces: 4, cpus: 8 })));
  assert.ok(await cluster.clock.until(() => machines.every((w) => w.attempts.length === 1), 15_000));
  // All 32 CPUs that the team may use are taken; then one machine is cut off and the controller restarts.
  const cutMachine = machines[0]!;
  cluster.notSendingHeartbeats.add(cutMachine);
  cluster.net.outcomeOf = (_f, addr) => (addr === cutMachine.identity.addr ? 'silent' : 'deliver');
  cluster.killNode('n0');
  const newWorker = cluster.addWorker('c8', 'a');
  cluster.startNode('n0');
  assert.ok(await cluster.submit('n0', job('wk-2', { cpus: 8 })));
  await cluster.clock.advance(10_000);
  assert.equal(newWorker.executedStarts.length, 0, 'the unreachable machine’s task may still run');
  assert.ok(
    await cluster.clock.until(() => newWorker.executedStarts.length === 1, 30_000),
    'its lease has expired',
  );
});

test('unregistered machines are assigned, and an idle machine moves to the shard with waiting tasks', async () => {
  const cluster = new FakeCluster(['n0', 'n1']);
  cluster.startNode('n0');
  cluster.startNode('n1');
  assert.ok(await cluster.submit('n0', job('wk-1', { cpus: 8, loaner: false })));
  await cluster.clock.advance(3000);
  assert.ok(cluster.rented.length > 0);
  assert.equal(
    new Set(cluster.rented.map((r) => r.request)).size,
    cluster.rented.length,
    'no request name is used twice',
  );
  // Unregistered machines, known only from their own heartbeats; all but one are initially of no use to the team's
  // shard.
  cluster.addWorker('g8', 'a');
  cluster.addWorker('g8', 'a');
  const worker = cluster.addWorker('c8', 'b');
  assert.ok(await started(cluster, 'wk-1/0', 30_000));
  assert.ok(cluster.workers.some((x) => x.isActive('wk-1/0')));
  assert.ok(worker.fencingToken > 0);
});

test('a machine is marked as leaving before its return, which is retried after a lost answer', async () => {
  const cluster = new FakeCluster(['n0']);
  const worker = cluster.addWorker('c8', 'a');
  cluster.startNode('n0');
  let releaseRequests = 0;
  cluster.net.outcomeOf = (_f, _a, _m, path) => {
    if (path !== '/machines/release') return 'deliver';
    assert.equal((cluster.state.value(`c/m/${worker.id}`) as { state: string }).state, 'leaving');
    return releaseRequests++ === 0 ? 'hold' : 'deliver';
  };
  assert.ok(await cluster.clock.until(() => cluster.released.includes(worker.id), 300_000));
  assert.equal(releaseRequests, 2);
  assert.ok(await cluster.clock.until(() => cluster.state.value(`c/m/${worker.id}`) === undefined, 5000));
});

test('a node whose lease expired does not resume its former shard under its new lease', async () => {
  const cluster = new FakeCluster(['n0', 'n1']);
  const worker = cluster.addWorker('c8', 'a');
  cluster.startNode('n0');
  cluster.startNode('n1');
  assert.ok(await cluster.submit('n1', job('wk-1')));
  assert.ok(await started(cluster, 'wk-1/0'));
  const owner = cluster.nodes.get('n0')!;
  assert.equal(owner.node.membership.owner(0)?.node, 'n0');
  const term = cluster.state.items.get('c/own/0')!.version;
  // The key-value store answers every node but n0, whose watches stay open without changes, so that its cache is
  // stale.
  cluster.net.outcomeOf = (from, addr) =>
    from === 'n0' && addr.startsWith('10.2.0.1') ? 'silent' : 'deliver';
  assert.ok(
    await cluster.clock.until(() => (cluster.state.items.get('c/own/0')?.version ?? term) > term, 20_000),
    'n1 takes the shard over',
  );
  let watching = true;
  cluster.net.outcomeOf = (from, _addr, _method, path) =>
    from === 'n0' && watching && path.startsWith('/watch') ? 'silent' : 'deliver';
  await cluster.clock.until(() => owner.node.membership.holdsLease, 5000);
  for (let i = 0; i < 100; i++) {
    const ownerEntry = cluster.state.items.get('c/own/0');
    const reply = await owner.api.handle({
      method: 'POST',
      path: '/v1/report',
      query: new URLSearchParams(),
      headers: new Map(),
      body: Buffer.from(JSON.stringify({ ...worker.report(), tally: 1_000_000 + i })),
    });
    if ((ownerEntry?.value as { node?: string } | undefined)?.node !== 'n0')
      assert.notEqual(reply.status, 200);
    await cluster.clock.advance(30);
  }
  watching = false;
  assert.equal(worker.executedStarts.length, 1);
});

test('a shard that returns to the same process does not reuse the names of its rental requests', async () => {
  const cluster = new FakeCluster(['n0', 'n1']);
  cluster.startNode('n0');
  cluster.startNode('n1');
  assert.ok(await cluster.submit('n0', job('wk-1', { pieces: 3 })));
  await cluster.clock.advance(5000);
  // Only n0 loses the key-value store: its shard moves to n1, and back once n0 has recovered.
  cluster.net.outcomeOf = (from, addr) =>
    from === 'n0' && addr.startsWith('10.2.0.1') ? 'silent' : 'deliver';
  await cluster.clock.advance(15_000);
  cluster.net.outcomeOf = () => 'deliver';
  await cluster.clock.advance(60_000);
  assert.equal(cluster.nodes.get('n1')!.node.membership.owner(0)?.node, 'n0');
  const rentalRequests = cluster.rented.map((r) => r.request);
  assert.ok(rentalRequests.filter((b) => b.startsWith('n0')).length > 4);
  assert.equal(new Set(rentalRequests).size, rentalRequests.length);
});

test('a job’s status is answered, and never goes back, during a partition between controllers', async () => {
  const cluster = new FakeCluster(['n0', 'n1']);
  const worker = cluster.addWorker('c8', 'a');
  cluster.startNode('n0');
  cluster.startNode('n1');
  assert.ok(await cluster.submit('n1', job('wk-1')));
  assert.ok(await started(cluster, 'wk-1/0'));
  assert.equal(cluster.nodes.get('n0')!.node.membership.owner(0)?.node, 'n0');
  cluster.nodes.get('n1')!.disconnected = true;
  assert.equal(status((await cluster.call('n1', 'GET', '/api/jobs/wk-1')).body), 'queued');
  assert.equal((await cluster.call('n1', 'POST', '/api/jobs', job('wk-1'))).status, 200);
  worker.endTask('wk-1/0', 'done');
  await cluster.clock.until(() => worker.attempts.length === 0, 5000);
  assert.equal(status((await cluster.call('n1', 'GET', '/api/jobs/wk-1')).body), 'done');
});

// Guards against a node that retried forever to store the pending records of a shard that it had lost: it did no
// other work, kept its connections open, and was unusable until it was killed.
test('a node that loses a shard with completions not yet stored keeps serving requests', async () => {
  const cluster = new FakeCluster(['n0', 'n1']);
  const worker = cluster.addWorker('c8', 'a');
  cluster.startNode('n0');
  cluster.startNode('n1');
  assert.ok(await cluster.submit('n0', job('wk-1', { pieces: 2 })));
  assert.ok(await started(cluster, 'wk-1/0'));
  assert.equal(cluster.nodes.get('n0')!.node.membership.owner(0)?.node, 'n0');
  cluster.net.outcomeOf = (from, addr) =>
    from === 'n0' && addr.startsWith('10.2.0.1') ? 'refuse' : 'deliver';
  worker.endTask('wk-1/0', 'done');
  assert.ok(
    await cluster.clock.until(() => cluster.nodes.get('n1')!.node.membership.owner(0)?.node === 'n1', 20_000),
  );
  await cluster.clock.advance(5000);
  cluster.net.outcomeOf = () => 'deliver';
  await cluster.clock.advance(5000);
  assert.equal((await cluster.call('n0', 'GET', '/healthz')).status, 200);
  worker.endTask('wk-1/1', 'done');
  assert.ok(
    await cluster.clock.until(() => worker.attempts.length === 0, 10_000),
    'the next owner stores them',
  );
  assert.equal(status((await cluster.call('n0', 'GET', '/api/jobs/wk-1')).body), 'done');
});

// Guards against rejecting all jobs of users who reach only nodes partitioned from the owner: for half a minute none
// of their jobs was accepted, although both nodes reached the key-value store.
test('accepts and cancels jobs through the key-value store during a partition between controllers', async () => {
  const cluster = new FakeCluster(['n0', 'n1']);
  cluster.addWorker('c8', 'a');
  cluster.startNode('n0');
  cluster.startNode('n1');
  assert.ok(await cluster.submit('n1', job('wk-1')));
  assert.equal(cluster.nodes.get('n0')!.node.membership.owner(0)?.node, 'n0');
  cluster.nodes.get('n1')!.disconnected = true;
  assert.equal((await cluster.call('n1', 'POST', '/api/jobs', job('wk-2', { dueS: 900 }))).status, 201);
  assert.equal((await cluster.call('n1', 'POST', '/api/jobs', job('wk-2', { dueS: 900 }))).status, 200);
  assert.ok(await started(cluster, 'wk-2/0'));
  const cancelled = await cluster.call('n1', 'POST', '/api/jobs/wk-2/abort');
  assert.deepEqual([cancelled.status, status(cancelled.body)], [200, 'aborted']);
  assert.equal(status((await cluster.call('n0', 'GET', '/api/jobs/wk-2')).body), 'aborted');
  const storedRequestKeys = () => [...cluster.state.items.keys()].filter((k) => k.startsWith('c/mail/'));
  assert.deepEqual(storedRequestKeys(), [], 'stored requests are deleted');
  // A stored request that the network delivers late is not executed, and is deleted in the end.
  cluster.net.outcomeOf = (_f, _a, _m, path, body) =>
    path === '/txn' && JSON.stringify(body).includes('"op":"submit"') ? 'hold' : 'deliver';
  assert.equal((await cluster.call('n1', 'POST', '/api/jobs', job('wk-3', { dueS: 900 }))).status, 503);
  await cluster.clock.advance(10_000);
  cluster.net.outcomeOf = () => 'deliver';
  await cluster.net.release();
  await cluster.clock.advance(2000);
  assert.equal((await cluster.call('n0', 'GET', '/api/jobs/wk-3')).status, 404);
  assert.ok(await cluster.clock.until(() => storedRequestKeys().length === 0, 120_000));
});

// Guards against a shard that accepts no jobs while its owner restarts, and against an accepted job that the owner
// never learns of.
test('a job without a deadline is accepted while the owner of its shard is unavailable, and runs', async () => {
  const cluster = new FakeCluster(['n0', 'n1']);
  cluster.addWorker('c8', 'a');
  cluster.startNode('n0');
  cluster.startNode('n1');
  assert.ok(await cluster.submit('n1', job('wk-1', { cpus: 1 })));
  const owner = cluster.nodes.get('n1')!.node.membership.owner(0)!.node;
  const other = owner === 'n0' ? 'n1' : 'n0';
  const submit = (id: string, change: object = {}) =>
    cluster.call(other, 'POST', '/api/jobs', job(id, { cpus: 1, ...change }));
  // Only this node cannot reach the owner, and its stored requests are lost: the owner learns of the job once this
  // node reaches it again.
  cluster.nodes.get(other)!.disconnected = true;
  cluster.net.outcomeOf = (_f, _a, _m, path, body) =>
    path === '/txn' && JSON.stringify(body).includes('"set":"c/mail') ? 'refuse' : 'deliver';
  assert.equal((await submit('wk-2')).status, 201);
  assert.equal((await submit('wk-2')).status, 200);
  await cluster.clock.advance(3000);
  assert.equal(await started(cluster, 'wk-2/0', 0), false);
  cluster.nodes.get(other)!.disconnected = false;
  assert.ok(await started(cluster, 'wk-2/0', 4000));
  cluster.net.outcomeOf = () => 'deliver';
  // The owner is dead, and the next owner finds the job.
  cluster.killNode(owner);
  assert.equal((await submit('wk-3')).status, 201);
  assert.equal(
    (await submit('wk-4', { dueS: 600 })).status,
    503,
    'only the plan can decide whether it meets its deadline',
  );
  assert.equal(status((await cluster.call(other, 'GET', '/api/jobs/wk-3')).body), 'queued');
  assert.equal((await submit('wk-5', { waitsOn: ['wk-99'] })).status, 422);
  assert.equal((await submit('wk-5', { waitsOn: ['wk-3'] })).status, 201);
  assert.ok(await started(cluster, 'wk-3/0', 40_000));
  assert.equal(cluster.workers[0]!.executedStarts.includes('wk-5/0'), false);
  cluster.workers[0]!.endTask('wk-3/0', 'done');
  assert.ok(await started(cluster, 'wk-5/0', 5000));
  assert.deepEqual(
    ['wk-2/0', 'wk-3/0', 'wk-5/0'].map(
      (p) => cluster.workers[0]!.executedStarts.filter((x) => x === p).length,
    ),
    [1, 1, 1],
  );
});

// Guards against keeping expensive idle machines for a class whose tasks do not justify the price (Lanchi: price 4.9,
// then 3.9).
test('keeps only cheap machines idle for a class of small tasks with a short wait objective', async () => {
  const cluster = new FakeCluster(['n0']);
  cluster.gpuPrice = 2;
  cluster.objectives = [{ kind: 'wait', class: 'train', withinS: 10, share: 0.99 }];
  const cheap = cluster.addWorker('c8', 'a');
  const expensive = cluster.addWorker('g8', 'a');
  cluster.startNode('n0');
  assert.ok(await cluster.submit('n0', job('wk-1', { cpus: 1, memoryGb: 1 })));
  assert.ok(await started(cluster, 'wk-1/0'));
  cheap.endTask('wk-1/0', 'done');
  assert.ok(await cluster.clock.until(() => cluster.released.includes(expensive.id), 40_000));
  await cluster.clock.advance(60_000);
  assert.equal(cluster.released.includes(cheap.id), false);
  // Tasks that take half a machine need an idle machine, whatever it costs.
  const second = cluster.addWorker('g8', 'a');
  assert.ok(await cluster.submit('n0', job('wk-2')));
  assert.ok(await started(cluster, 'wk-2/0'));
  cheap.endTask('wk-2/0', 'done');
  await cluster.clock.advance(90_000);
  assert.equal(cluster.released.includes(second.id), false);
});

// Guards against a planned restart that leaves a shard without an owner until a lease of 8 s has expired.
test('a controller that shuts down as planned hands over its shards at once', async () => {
  const cluster = new FakeCluster(['n0', 'n1']);
  cluster.addWorker('c8', 'a');
  cluster.startNode('n0');
  cluster.startNode('n1');
  assert.ok(await cluster.submit('n1', job('wk-1')));
  assert.equal(cluster.nodes.get('n1')!.node.membership.owner(0)?.node, 'n0');
  await cluster.nodes.get('n0')!.node.leave();
  assert.equal(cluster.nodes.get('n0')!.node.healthy, false);
  const owner = () => cluster.nodes.get('n1')!.node.membership.owner(0)?.node;
  assert.ok(await cluster.clock.until(() => owner() === 'n1', 3000));
  await cluster.clock.advance(10_000);
  assert.equal(owner(), 'n1', 'the leaving node claims no shard again');
  assert.equal((await cluster.call('n1', 'POST', '/api/jobs', job('wk-2', { dueS: 900 }))).status, 201);
});

test('a rented machine stays in the plan while it boots, and is returned when it fails to boot', async () => {
  const cluster = new FakeCluster(['n0']);
  cluster.cloudHasCapacity = true;
  cluster.startNode('n0');
  assert.ok(await cluster.submit('n0', job('wk-1', { cpus: 8 })));
  await cluster.clock.advance(60_000);
  assert.equal(cluster.rented.length, 1, 'one machine is enough, even after one lease duration');
  const first = cluster.workers[0]!;
  assert.ok(await cluster.clock.until(() => cluster.released.includes(first.id), 40_000));
  assert.ok(await cluster.clock.until(() => cluster.rented.length === 2, 5000));
  cluster.notSendingHeartbeats.clear();
  assert.ok(await started(cluster, 'wk-1/0'));
});

test('a machine that is still booting after a change of owner is not considered lost', async () => {
  const cluster = new FakeCluster(['n0']);
  cluster.cloudHasCapacity = true;
  cluster.startNode('n0');
  assert.ok(await cluster.submit('n0', job('wk-1', { cpus: 8 })));
  await cluster.clock.advance(3000);
  cluster.killNode('n0');
  cluster.net.outcomeOf = (_f, addr) => (addr.startsWith('10.1.') ? 'silent' : 'deliver');
  cluster.startNode('n0');
  await cluster.clock.advance(30_000);
  assert.equal(cluster.rented.length, 1);
  cluster.net.outcomeOf = () => 'deliver';
  cluster.notSendingHeartbeats.clear();
  assert.ok(await started(cluster, 'wk-1/0'));
});

test('idle time starts after booting, and a returned machine still listed is not registered again', async () => {
  const cluster = new FakeCluster(['n0']);
  cluster.objectives = [];
  cluster.cloudHasCapacity = true;
  cluster.startNode('n0');
  assert.ok(await cluster.submit('n0', job('wk-1', { cpus: 8 })));
  await cluster.clock.advance(3000);
  const worker = cluster.workers[0]!;
  await cluster.call('n0', 'POST', '/api/jobs/wk-1/abort');
  await cluster.clock.advance(65_000);
  cluster.notSendingHeartbeats.clear();
  cluster.listedRemovedMachines.push(worker);
  await cluster.clock.advance(12_000);
  assert.deepEqual(cluster.released, [], 'running for only 12 s');
  assert.ok(await cluster.clock.until(() => cluster.released.includes(worker.id), 10_000));
  for (let i = 0; i < 20; i++) {
    await cluster.clock.advance(1000);
    if (i > 1) assert.equal(cluster.state.value(`c/m/${worker.id}`), undefined);
  }
});

test('sends an unavailable cloud one rental request at a time, and rents once it recovers', async () => {
  const cluster = new FakeCluster(['n0']);
  cluster.cloudHasCapacity = true;
  cluster.startNode('n0');
  await cluster.clock.advance(3000);
  cluster.cloud.down = true;
  assert.ok(await cluster.submit('n0', job('wk-1', { cpus: 8, pieces: 4 })));
  await cluster.clock.advance(30_000);
  assert.ok(cluster.rented.length >= 5 && cluster.rented.length <= 20, `${cluster.rented.length} requests`);
  const before = cluster.workers.length;
  cluster.cloud.down = false;
  assert.ok(await cluster.clock.until(() => cluster.workers.length > before, 10_000));
});

test('any node lists unfinished jobs of all shards by pages, or fails if an owner is unavailable', async () => {
  const cluster = new FakeCluster(['n0', 'n1']);
  cluster.teams = [
    { name: 'red', cpus: 16, cpusMax: 32, gpus: 0, gpusMax: 0 },
    { name: 'blue', cpus: 16, cpusMax: 32, gpus: 0, gpusMax: 0 },
  ];
  cluster.addWorker('c8', 'a');
  for (const n of ['n0', 'n1']) cluster.startNode(n);
  for (let i = 0; i < 230; i++) {
    const owner = i % 2 ? 'red' : 'blue';
    const id = `wk-${i < 210 ? 'a' : 'b'}-${String(i).padStart(3, '0')}`;
    assert.ok(await cluster.submit('n0', job(id, { owner })));
  }
  const list = async (query: string) => {
    const request = { ...cluster.request('GET', '/api/jobs'), query: new URLSearchParams(query) };
    const reply = await cluster.answered(cluster.nodes.get('n1')!.api.handle(request));
    return reply.status === 200 ? readJobList(JSON.parse(JSON.stringify(reply.body))) : null;
  };
  const first = await list('under=wk-a-');
  assert.deepEqual([first?.jobs.length, first?.more, first?.jobs[0]?.id], [200, true, 'wk-a-000']);
  const second = await list(`under=wk-a-&after=${first!.jobs.at(-1)!.id}`);
  assert.deepEqual([second?.jobs.length, second?.more], [10, false]);
  assert.deepEqual(new Set(second!.jobs.map((j) => j.team)), new Set(['red', 'blue']));
  cluster.killNode('n0');
  assert.equal(
    await list('under=wk-a-'),
    null,
    'a list without one shard’s jobs would suggest that those have ended',
  );
});
