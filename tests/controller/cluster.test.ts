import assert from 'node:assert/strict';
import { test } from 'node:test';
import { readJobList } from '../../src/wire/users.js';
import { FakeCluster, job, LEASE_S } from '../support/cluster.js';

const status = (body: unknown) => (body as { status: string }).status;

async function started(cluster: FakeCluster, piece: string, withinMs = 10_000): Promise<boolean> {
  return cluster.clock.until(() => cluster.workers.some((w) => w.on(piece)), withinMs);
}

test('a job is accepted, runs, is done and stays done after all controllers restarted', async () => {
  const c = new FakeCluster(['n0', 'n1']);
  const w = c.addWorker('c8', 'a');
  c.startNode('n0');
  c.startNode('n1');
  assert.ok(await c.submit('n1', job('wk-1')));
  assert.ok(await started(c, 'wk-1/0'));
  assert.equal(status((await c.call('n0', 'GET', '/api/jobs/wk-1')).body), 'running');
  w.end('wk-1/0', 'done');
  assert.ok(await c.clock.until(() => w.attempts.length === 0, 5000), 'cleared once it is durable');
  assert.deepEqual((c.state.value('job/wk-1') as { final: string }).final, 'done');
  for (const n of ['n0', 'n1']) {
    c.killNode(n);
    c.startNode(n);
  }
  await c.clock.advance(6000);
  assert.equal(status((await c.call('n1', 'GET', '/api/jobs/wk-1')).body), 'done');
  const repeat = await c.call('n0', 'POST', '/api/jobs', job('wk-1'));
  assert.equal(repeat.status, 200);
  assert.equal(status(repeat.body), 'done');
  assert.equal((await c.call('n0', 'GET', '/api/jobs/wk-2')).status, 404);
  assert.equal(w.started.length, 1);
});

test('an acceptance whose answer was lost is read back, not lost or made twice', async () => {
  const c = new FakeCluster(['n0']);
  c.addWorker('c8', 'a');
  c.startNode('n0');
  assert.ok(await c.submit('n0', job('wk-0')));
  let lost = 0;
  c.net.fate = (_from, _addr, _method, path, body) => {
    if (path === '/txn' && lost === 0 && JSON.stringify(body).includes('"set":"act/wk-1"')) {
      lost++;
      return 'lost-answer';
    }
    return 'deliver';
  };
  const reply = await c.call('n0', 'POST', '/api/jobs', job('wk-1'));
  assert.equal(lost, 1);
  assert.equal(reply.status, 201);
  assert.ok(await started(c, 'wk-1/0'));
});

test('an acceptance that the network applies late still runs once its user asks again', async () => {
  const c = new FakeCluster(['n0']);
  c.addWorker('c8', 'a');
  c.startNode('n0');
  assert.ok(await c.submit('n0', job('wk-0')));
  c.net.fate = (_f, _a, _m, path, body) =>
    path === '/txn' && JSON.stringify(body).includes('"set":"act/wk-1"') && c.net.held.length === 0
      ? 'hold'
      : 'deliver';
  assert.equal((await c.call('n0', 'POST', '/api/jobs', job('wk-1'))).status, 503);
  await c.net.release();
  assert.equal((await c.call('n0', 'POST', '/api/jobs', job('wk-1'))).status, 200);
  assert.ok(await started(c, 'wk-1/0'));
});

test('a new owner starts nothing anew while an old owner’s order may be held', async () => {
  const c = new FakeCluster(['n0', 'n1']);
  const first = c.addWorker('c8', 'a');
  c.startNode('n0');
  c.startNode('n1');
  await c.clock.advance(4000);
  // The start goes out, but the network holds it, and the machine is cut off.
  c.net.fate = (_f, addr, _m, path, body) =>
    addr === first.place.addr
      ? path === '/do' && JSON.stringify(body).includes('wk-1')
        ? 'hold'
        : 'silent'
      : 'deliver';
  assert.ok(await c.submit('n0', job('wk-1')));
  assert.ok(await c.clock.until(() => c.net.held.length === 1, 5000));
  c.silent.add(first);
  const second = c.addWorker('c8', 'a');
  const owner = [...c.nodes].find(([, r]) => r.node.membership.owner(0)?.node === 'n0') ? 'n0' : 'n1';
  c.killNode(owner);
  const cutAt = c.clock.now();
  c.startNode(owner);
  await c.clock.advance(9000);
  assert.equal(second.started.length, 0, 'not before the first machine has surely dropped it');
  await c.net.release();
  assert.ok(first.on('wk-1/0'), 'the held order was executed');
  await c.clock.advance(cutAt + LEASE_S * 1000 - 500 - c.clock.now());
  assert.equal(second.started.length, 0);
  assert.ok(await c.clock.until(() => second.on('wk-1/0'), 15_000));
});

// Guards against a lease counted from the last answered report alone: an overloaded controller answered so late that the
// machine had begun its next session, learnt of that session from the answer to a start, and took the machine for lost
// while the start's task ran on (recorded day inc-05ed: tasks ran twice).
test('the lease of a session that shows itself in the answer to a command counts from there', async () => {
  const c = new FakeCluster(['n0']);
  const w = c.addWorker('c8', 'a');
  c.startNode('n0');
  await c.clock.advance(6000);
  assert.ok(w.token > 0);
  c.silent.add(w);
  const quiet = w.lastSent;
  await c.clock.advance(15_000);
  // The controller answers this report, but too late for the machine.
  const late = await c.call('n0', 'POST', '/v1/report', w.report());
  assert.equal(late.status, 200);
  await c.clock.advance(quiet + LEASE_S * 1000 + 1000 - c.clock.now());
  assert.ok(await c.submit('n0', job('wk-1', { cpus: 8 })));
  assert.ok(await started(c, 'wk-1/0', 2000), 'started in the next session');
  assert.equal(w.session, 2);
  const other = c.addWorker('c8', 'a');
  // Half a second after a lease from the last answered report, and before the end of the session's own.
  await c.clock.advance(quiet + (15 + LEASE_S + 2) * 1000 - c.clock.now());
  assert.ok(w.on('wk-1/0'), 'its lease still lasts');
  assert.equal(other.started.length, 0, 'not started elsewhere meanwhile');
  assert.ok(await c.clock.until(() => other.on('wk-1/0'), 30_000), 'but once the lease is surely over');
});

// Guards against a second copy of a job in memory: it knew nothing of the tasks that the first one had started.
test('a job that is asked for while its acceptance is under way is not replaced, and runs once', async () => {
  const c = new FakeCluster(['n0']);
  const first = c.addWorker('c8', 'a');
  const second = c.addWorker('c8', 'a');
  c.startNode('n0');
  assert.ok(await c.submit('n0', job('wk-0')));
  await c.clock.advance(2000);
  c.net.fate = (_f, _a, _m, path, body) =>
    path === '/txn' && JSON.stringify(body).includes('"set":"act/wk-1"') ? 'lost-answer' : 'deliver';
  const accepted = c.call('n0', 'POST', '/api/jobs', job('wk-1'));
  await c.clock.advance(500);
  assert.equal((await c.call('n0', 'GET', '/api/jobs/wk-1')).status, 200);
  assert.ok(await started(c, 'wk-1/0', 2000));
  assert.ok([200, 201].includes((await accepted).status));
  await c.clock.advance(10_000);
  const starts = [...first.started, ...second.started].filter((p) => p === 'wk-1/0');
  assert.equal(starts.length, 1);
});

// Guards against work on a machine that a write without an answer may yet give away: its next owner would know of no
// task there, and this one would start the task again.
test('a machine whose giving away is undecided takes no task until the record is settled', async () => {
  const c = new FakeCluster(['n0', 'n1']);
  const w = c.addWorker('c8', 'a');
  c.startNode('n0');
  c.startNode('n1');
  await c.clock.advance(8000);
  const owner = (shard: number) =>
    [...c.nodes].find(([name, r]) => r.node.membership.owner(shard)?.node === name)![0];
  const record = () => c.state.value(`c/m/${w.id}`) as { shard: number };
  const from = record().shard;
  const name = owner(from);
  c.net.fate = (_f, _a, _m, path, body) =>
    path === '/txn' && JSON.stringify(body).includes(`"set":"c/m/${w.id}"`) && c.net.held.length === 0
      ? 'hold'
      : 'deliver';
  const given = c.nodes.get(name)!.node.serve('give', { shard: from, machine: w.id, to: 1 - from });
  assert.ok(await c.submit(name, job('wk-1')));
  assert.equal(w.started.length, 0, 'not while the write may yet be made');
  assert.ok(await c.clock.until(() => c.net.held.length === 1, 1000));
  await c.clock.advance(4000);
  assert.equal(await given, false);
  const before = record();
  await c.net.release();
  assert.deepEqual(record(), before, 'the late copy of the write does nothing');
  await c.clock.advance(6000);
  assert.equal(w.started.length, 1);
  assert.ok(w.on('wk-1/0'));
});

// Guards against an owner that only the workers are cut off from: it renews its lease for as long as the cut lasts, and
// every machine of its shard loses its tasks (recorded day inc-667e).
test('an owner that machines cannot reach leaves its shard to another before their leases run out', async () => {
  const c = new FakeCluster(['n0', 'n1', 'n2']);
  const machines = [1, 2, 3, 4].map(() => c.addWorker('c8', 'a'));
  for (const n of ['n0', 'n1', 'n2']) c.startNode(n);
  await c.clock.advance(6000);
  assert.ok(await c.submit('n1', job('wk-1', { pieces: 4, cpus: 8 })));
  assert.ok(await c.clock.until(() => machines.every((w) => w.started.length === 1), 15_000));
  const shard = (c.state.value(`c/m/${machines[0]!.id}`) as { shard: number }).shard;
  const owner = () => (c.state.value(`c/own/${shard}`) as { node: string } | undefined)?.node;
  const cut = owner()!;
  c.cutFromWorkers.add(cut);
  c.net.fate = (from, addr) => (from === cut && addr.startsWith('10.1.') ? 'silent' : 'deliver');
  assert.ok(await c.clock.until(() => owner() !== undefined && owner() !== cut, 12_000), 'handed over');
  const fresh = c.addWorker('c8', 'a');
  const next = [...c.nodes.keys()].find((n) => n !== cut)!;
  machines[0]!.end('wk-1/0', 'done');
  assert.ok(await c.submit(next, job('wk-2', { cpus: 8 })));
  assert.ok(await started(c, 'wk-2/0', 15_000));
  await c.clock.advance(30_000);
  assert.notEqual(owner(), cut, 'no way back while the cut lasts');
  c.cutFromWorkers.clear();
  c.net.fate = () => 'deliver';
  assert.ok(await c.clock.until(() => owner() === cut, 60_000), 'and home again after it');
  await c.clock.advance(5000);
  assert.ok(
    machines.every((w) => w.session === 1 && w.started.filter((p) => p.startsWith('wk-1')).length === 1),
  );
  assert.ok(machines.some((w) => w.on('wk-2/0')) || fresh.on('wk-2/0'));
});

test('an owner keeps its shard when the fault is the machines’', async () => {
  const c = new FakeCluster(['n0', 'n1']);
  const machines = [1, 2, 3, 4].map(() => c.addWorker('c8', 'a'));
  c.startNode('n0');
  c.startNode('n1');
  await c.clock.advance(8000);
  const before = [0, 1].map((k) => JSON.stringify(c.state.value(`c/own/${k}`)));
  for (const w of machines.slice(1)) c.silent.add(w);
  c.net.fate = (_f, addr) => (machines.slice(1).some((w) => w.place.addr === addr) ? 'silent' : 'deliver');
  await c.clock.advance(30_000);
  assert.deepEqual(
    [0, 1].map((k) => JSON.stringify(c.state.value(`c/own/${k}`))),
    before,
  );
});

// Guards against new jobs that wait for their turn to be stored until their users have given up, and then come again: a
// swarm of one-task jobs took all of the state service's rate that way (recorded day inc-05ed).
test('more new jobs than can be stored are told at once when to come back, each at a turn of its own', async () => {
  const c = new FakeCluster(['n0']);
  c.stateRates = { rps: 100, writeRps: 10 };
  c.addWorker('c8', 'a');
  c.startNode('n0');
  assert.ok(await c.submit('n0', job('wk-0')));
  await c.clock.advance(3000);
  const begun = c.clock.now();
  const answers: { status: number; after: number; back: number }[] = [];
  for (let i = 1; i <= 60; i++) {
    void c.nodes
      .get('n0')!
      .api.handle(c.request('POST', '/api/jobs', job(`wk-${i}`, { cpus: 0.1, memoryGb: 0.1 })))
      .then((r) => {
        const back = Number(r.headers?.['Retry-After'] ?? 0);
        answers.push({ status: r.status, after: c.clock.now() - begun, back });
      });
    await c.clock.advance(10);
  }
  await c.clock.advance(4000);
  assert.equal(answers.length, 60);
  const away = answers.filter((a) => a.status === 503);
  const taken = answers.filter((a) => a.status === 201).length;
  assert.ok(taken >= 5 && taken + away.length === 60, `${taken} taken, ${away.length} sent away`);
  assert.ok(away.every((a) => a.after < 1000 && a.back >= 1));
  assert.ok(new Set(away.map((a) => a.back)).size >= 6, 'spread over time');
  const stored = [...c.state.items.keys()].filter((k) => k.startsWith('act/')).length;
  assert.equal(stored, taken + 1);
});

// Guards against renting for tasks that are booked for late on a loaded machine while others boot, and for tasks that
// wait for their team's limit: every plan rented once more until nothing was to be had.
test('no more machines are rented than tasks can use, however long they boot', async () => {
  const c = new FakeCluster(['n0']);
  c.capacity = true;
  c.startNode('n0');
  await c.clock.advance(6000);
  // Of 20 tasks the team's limit allows four at once, each as large as a machine.
  assert.ok(await c.submit('n0', job('wk-1', { pieces: 20, cpus: 8 })));
  await c.clock.advance(25_000);
  assert.equal(
    c.rented.reduce((sum, r) => sum + r.count, 0),
    4,
  );
});

// Guards against shards that stay as they were parted on a full day: no machine is ever empty there, so none was moved.
test('a shard with little urgent work cedes machines as their tasks end, and stops nothing', async () => {
  const c = new FakeCluster(['n0', 'n1']);
  c.teams = ['red', 'blue'].map((name) => ({ name, cpus: 320, cpusMax: 2000, gpus: 0, gpusMax: 0 }));
  for (let i = 0; i < 100; i++) c.addWorker('c8', i % 2 ? 'a' : 'b');
  c.startNode('n0');
  c.startNode('n1');
  await c.clock.advance(8000);
  const shard = (c.state.value('c/teams') as Record<string, number>).red;
  const reds = () =>
    c.workers.filter((w) => (c.state.value(`c/m/${w.id}`) as { shard: number }).shard === shard);
  c.objectives[0]!.withinS = 120;
  const work = { cpus: 8, expectedS: 15, saveEveryS: 0, urgency: 'urgent' };
  assert.ok(await c.submit('n0', job('wk-1', { ...work, owner: 'blue', pieces: 200 })));
  assert.ok(await c.submit('n0', job('wk-2', { ...work, pieces: 600 })));
  const busy = () => c.workers.every((w) => w.attempts.some((p) => p.state === 'running'));
  assert.ok(await c.clock.until(busy, 15_000));
  const before = reds().length;
  for (let i = 0; i < 12; i++) {
    await c.clock.advance(2000);
    for (const [n, w] of c.workers.entries())
      for (const p of w.attempts) if (p.state === 'running' && n % 12 === i) w.end(p.task, 'done');
  }
  assert.ok(reds().length > before + 5, `${before} machines, then ${reds().length}`);
  const causes = new Set(c.workers.flatMap((w) => w.attempts.map((p) => p.cause ?? 'done')));
  assert.deepEqual([...causes], ['done']);
  assert.ok(c.workers.every((w) => w.session === 1));
});

// Guards against a controller that acts, when it wakes, on what it decided or read before it stood still.
test('a controller that stood still past its lease does nothing of what it was about to do', async () => {
  const c = new FakeCluster(['n0', 'n1', 'n2']);
  const machines = [1, 2, 3].map(() => c.addWorker('c8', 'a'));
  for (const n of ['n0', 'n1', 'n2']) c.startNode(n);
  await c.clock.advance(8000);
  assert.ok(await c.submit('n1', job('wk-1', { pieces: 2, cpus: 8 })));
  assert.ok(await c.clock.until(() => machines.filter((w) => w.attempts.length > 0).length === 2, 10_000));
  const shard = (c.state.value(`c/m/${machines[0]!.id}`) as { shard: number }).shard;
  const owner = () => (c.state.value(`c/own/${shard}`) as { node: string } | undefined)?.node;
  const old = owner()!;
  const other = ['n0', 'n1', 'n2'].find((n) => n !== old)!;
  // A new job is accepted, and its start is planned: then the owner stands still before its timer comes.
  assert.ok(await c.submit(old, job('wk-2', { cpus: 8 })));
  const wake = c.freeze(old);
  assert.ok(await c.clock.until(() => owner() !== undefined && owner() !== old, 15_000), 'adopted');
  assert.ok(await c.clock.until(() => machines.some((w) => w.on('wk-2/0')), 10_000));
  const cancelled = await c.call(other, 'POST', '/api/jobs/wk-1/abort');
  assert.equal(status(cancelled.body), 'aborted');
  await c.clock.advance(10_000);
  const late = c.nodes.get(old)!.api.handle(c.request('POST', '/v1/report', machines[0]!.report()));
  const asked = c.nodes.get(old)!.api.handle(c.request('GET', '/api/jobs/wk-1'));
  const started = () => machines.flatMap((w) => w.started).sort();
  const before = started();
  const requests: string[] = [];
  c.net.fate = (from, addr, _m, path, body) => {
    if (from === old && addr.startsWith('10.1.')) requests.push(path);
    if (from === old && path === '/txn' && JSON.stringify(body).includes('act/')) requests.push(path);
    return 'deliver';
  };
  wake();
  await c.clock.advance(1500);
  assert.notEqual((await late).status, 200, 'no lease is renewed on its word');
  assert.notEqual(status((await asked).body), 'running', 'nothing older than what was told');
  assert.deepEqual(requests, [], 'no order and no record');
  assert.notEqual(owner(), old);
  await c.clock.advance(20_000);
  assert.deepEqual(started(), before);
  assert.equal(owner(), old, 'its shard goes home, once');
  assert.ok(machines.every((w) => w.session === 1));
  assert.equal(status((await c.call(old, 'GET', '/api/jobs/wk-1')).body), 'aborted');
});

// Guards against a task started a third time: of two attempts of a task that are on machines, the one that was to be
// stopped had no place, so the end of the other made the task free.
test('while a second attempt of a task is on a machine and is being stopped, the task has its place there', async () => {
  const c = new FakeCluster(['n0']);
  const first = c.addWorker('c8', 'a');
  c.startNode('n0');
  assert.ok(await c.submit('n0', job('wk-1', { cpus: 8 })));
  assert.ok(await started(c, 'wk-1/0'));
  const second = c.addWorker('c8', 'a');
  await c.clock.advance(4000);
  // The second machine holds the task as well, and no stop reaches it.
  const answer = second.answer.bind(second);
  second.answer = (body, sent) => answer({ ...(body as object), orders: [] }, sent);
  c.net.fate = (_f, addr, _m, path) => (addr === second.place.addr && path === '/do' ? 'silent' : 'deliver');
  second.attempts.push({
    task: 'wk-1/0',
    job: 'wk-1',
    index: 0,
    attempt: 1,
    state: 'running',
    cause: null,
    saved: false,
  });
  await c.clock.advance(3000);
  const third = c.addWorker('c8', 'a');
  await c.clock.advance(4000);
  first.end('wk-1/0', 'error');
  await c.clock.advance(10_000);
  assert.ok(second.on('wk-1/0'));
  assert.deepEqual([first.started.length, third.started.length], [1, 0], 'not started beside it');
  second.end('wk-1/0', 'stopped');
  assert.ok(await c.clock.until(() => first.started.length + third.started.length === 2, 20_000));
});

test('an order held back is void once the machine has a newer token', async () => {
  const c = new FakeCluster(['n0']);
  const w = c.addWorker('c8', 'a');
  c.startNode('n0');
  await c.clock.advance(4000);
  c.net.fate = (_f, _a, _m, path, body) =>
    path === '/do' && JSON.stringify(body).includes('wk-1') && c.net.held.length === 0 ? 'hold' : 'deliver';
  assert.ok(await c.submit('n0', job('wk-1')));
  assert.ok(await c.clock.until(() => c.net.held.length === 1, 3000));
  const before = w.token;
  assert.ok(await started(c, 'wk-1/0', 10_000));
  assert.ok(w.token > before, 'the start was repeated only under a newer token');
  await c.net.release();
  assert.equal(w.started.length, 1);
});

test('reports are not answered with 200 once the lease may have run out, and are again after the outage', async () => {
  const c = new FakeCluster(['n0']);
  const w = c.addWorker('c8', 'a');
  c.startNode('n0');
  assert.ok(await c.submit('n0', job('wk-1')));
  assert.ok(await started(c, 'wk-1/0'));
  c.state.down = true;
  await c.clock.advance(8500);
  const during = await c.nodes.get('n0')!.api.handle({
    method: 'POST',
    path: '/v1/report',
    query: new URLSearchParams(),
    headers: new Map(),
    body: Buffer.from(JSON.stringify(w.report())),
  });
  assert.equal(during.status, 503);
  c.state.restore();
  await c.clock.advance(5000);
  assert.ok(w.on('wk-1/0'), 'the task lives through the outage');
  assert.equal(w.started.length, 1);
});

test('a cancelled job is stopped, also when its start was still in flight', async () => {
  const c = new FakeCluster(['n0']);
  const w = c.addWorker('c8', 'a');
  c.startNode('n0');
  await c.clock.advance(4000);
  c.net.fate = (_f, _a, _m, path, body) =>
    path === '/do' && JSON.stringify(body).includes('"run"') && c.net.held.length === 0 ? 'hold' : 'deliver';
  assert.ok(await c.submit('n0', job('wk-1')));
  await c.clock.until(() => c.net.held.length === 1, 3000);
  const reply = await c.call('n0', 'POST', '/api/jobs/wk-1/abort');
  assert.equal(reply.status, 200);
  assert.equal(status(reply.body), 'aborted');
  await c.net.release();
  await c.clock.advance(8000);
  assert.ok(!w.on('wk-1/0'));
  assert.equal(status((await c.call('n0', 'GET', '/api/jobs/wk-1')).body), 'aborted');
  assert.equal(status((await c.call('n0', 'POST', '/api/jobs', job('wk-1'))).body), 'aborted');
});

test('a gang starts as one attempt, and after losing a task again only when all of it is gone', async () => {
  const c = new FakeCluster(['n0']);
  const a = c.addWorker('c8', 'a');
  const b = c.addWorker('c8', 'a');
  c.startNode('n0');
  await c.clock.advance(6000);
  assert.ok(await c.submit('n0', job('wk-1', { shape: 'ensemble', pieces: 2, cpus: 8, oneZone: true })));
  assert.ok(await c.clock.until(() => a.attempts.length === 1 && b.attempts.length === 1, 15_000));
  const attempt = a.attempts[0]!.attempt;
  assert.equal(b.attempts[0]!.attempt, attempt);
  a.end(a.attempts[0]!.task, 'error');
  assert.ok(
    await c.clock.until(() => !b.attempts.some((p) => p.attempt === attempt && p.state !== 'exited'), 5000),
  );
  const again = () =>
    [a, b].every((w) => w.attempts.some((p) => p.attempt !== attempt && p.state === 'running'));
  assert.ok(await c.clock.until(again, 30_000));
});

test('what unreachable machines may hold counts against the team’s limit', async () => {
  const c = new FakeCluster(['n0']);
  const machines = [1, 2, 3, 4].map(() => c.addWorker('c8', 'a'));
  c.startNode('n0');
  assert.ok(await c.submit('n0', job('wk-1', { pieces: 4, cpus: 8 })));
  assert.ok(await c.clock.until(() => machines.every((w) => w.attempts.length === 1), 15_000));
  // All 32 CPUs that the team may use are taken; then one machine is cut off and the controller restarts.
  const cut = machines[0]!;
  c.silent.add(cut);
  c.net.fate = (_f, addr) => (addr === cut.place.addr ? 'silent' : 'deliver');
  c.killNode('n0');
  const fresh = c.addWorker('c8', 'a');
  c.startNode('n0');
  assert.ok(await c.submit('n0', job('wk-2', { cpus: 8 })));
  await c.clock.advance(10_000);
  assert.equal(fresh.started.length, 0, 'the cut machine’s task may still run');
  assert.ok(await c.clock.until(() => fresh.started.length === 1, 30_000), 'its lease ran out');
});

test('machines rented late are taken in, and an empty machine goes to the shard where tasks wait', async () => {
  const c = new FakeCluster(['n0', 'n1']);
  c.startNode('n0');
  c.startNode('n1');
  assert.ok(await c.submit('n0', job('wk-1', { cpus: 8, loaner: false })));
  await c.clock.advance(3000);
  assert.ok(c.rented.length > 0);
  assert.equal(
    new Set(c.rented.map((r) => r.request)).size,
    c.rented.length,
    'no request name is used twice',
  );
  // Strays: nobody knows of them but their own reports, and all but one are no use to the team's shard at first.
  c.addWorker('g8', 'a');
  c.addWorker('g8', 'a');
  const w = c.addWorker('c8', 'b');
  assert.ok(await started(c, 'wk-1/0', 30_000));
  assert.ok(c.workers.some((x) => x.on('wk-1/0')));
  assert.ok(w.token > 0);
});

test('a machine being returned is marked first, and its release is repeated after a lost answer', async () => {
  const c = new FakeCluster(['n0']);
  const w = c.addWorker('c8', 'a');
  c.startNode('n0');
  let lost = 0;
  c.net.fate = (_f, _a, _m, path) => {
    if (path !== '/machines/release') return 'deliver';
    assert.equal((c.state.value(`c/m/${w.id}`) as { state: string }).state, 'leaving');
    return lost++ === 0 ? 'hold' : 'deliver';
  };
  assert.ok(await c.clock.until(() => c.released.includes(w.id), 300_000));
  assert.equal(lost, 2);
  assert.ok(await c.clock.until(() => c.state.value(`c/m/${w.id}`) === undefined, 5000));
});

test('a node whose lease ran out does not take up its former shard under its new lease', async () => {
  const c = new FakeCluster(['n0', 'n1']);
  const w = c.addWorker('c8', 'a');
  c.startNode('n0');
  c.startNode('n1');
  assert.ok(await c.submit('n1', job('wk-1')));
  assert.ok(await started(c, 'wk-1/0'));
  const owner = c.nodes.get('n0')!;
  assert.equal(owner.node.membership.owner(0)?.node, 'n0');
  const term = c.state.items.get('c/own/0')!.version;
  // The state service does not answer n0 alone; its watches stay open and tell nothing, so its copy grows old.
  c.net.fate = (from, addr) => (from === 'n0' && addr.startsWith('10.2.0.1') ? 'silent' : 'deliver');
  assert.ok(
    await c.clock.until(() => (c.state.items.get('c/own/0')?.version ?? term) > term, 20_000),
    'n1 adopts',
  );
  let watching = true;
  c.net.fate = (from, _addr, _method, path) =>
    from === 'n0' && watching && path.startsWith('/watch') ? 'silent' : 'deliver';
  await c.clock.until(() => owner.node.membership.holdsLease, 5000);
  for (let i = 0; i < 100; i++) {
    const held = c.state.items.get('c/own/0');
    const reply = await owner.api.handle({
      method: 'POST',
      path: '/v1/report',
      query: new URLSearchParams(),
      headers: new Map(),
      body: Buffer.from(JSON.stringify({ ...w.report(), tally: 1_000_000 + i })),
    });
    if ((held?.value as { node?: string } | undefined)?.node !== 'n0') assert.notEqual(reply.status, 200);
    await c.clock.advance(30);
  }
  watching = false;
  assert.equal(w.started.length, 1);
});

test('a shard that comes back to the same process uses no rental name again', async () => {
  const c = new FakeCluster(['n0', 'n1']);
  c.startNode('n0');
  c.startNode('n1');
  assert.ok(await c.submit('n0', job('wk-1', { pieces: 3 })));
  await c.clock.advance(5000);
  // n0 alone loses the state service: its shard goes to n1, and back when n0 is well again.
  c.net.fate = (from, addr) => (from === 'n0' && addr.startsWith('10.2.0.1') ? 'silent' : 'deliver');
  await c.clock.advance(15_000);
  c.net.fate = () => 'deliver';
  await c.clock.advance(60_000);
  assert.equal(c.nodes.get('n1')!.node.membership.owner(0)?.node, 'n0');
  const bookings = c.rented.map((r) => r.request);
  assert.ok(bookings.filter((b) => b.startsWith('n0')).length > 4);
  assert.equal(new Set(bookings).size, bookings.length);
});

test('behind a cut between controllers a job is still known, and its end is not older than told', async () => {
  const c = new FakeCluster(['n0', 'n1']);
  const w = c.addWorker('c8', 'a');
  c.startNode('n0');
  c.startNode('n1');
  assert.ok(await c.submit('n1', job('wk-1')));
  assert.ok(await started(c, 'wk-1/0'));
  assert.equal(c.nodes.get('n0')!.node.membership.owner(0)?.node, 'n0');
  c.nodes.get('n1')!.cut = true;
  assert.equal(status((await c.call('n1', 'GET', '/api/jobs/wk-1')).body), 'queued');
  assert.equal((await c.call('n1', 'POST', '/api/jobs', job('wk-1'))).status, 200);
  w.end('wk-1/0', 'done');
  await c.clock.until(() => w.attempts.length === 0, 5000);
  assert.equal(status((await c.call('n1', 'GET', '/api/jobs/wk-1')).body), 'done');
});

// Guards against a node that tried for ever to store what a shard it had lost still had to store: it never came back to
// anything else, kept its connections, and was of no use until it was killed.
test('a node that loses its shard with completions not yet stored goes on serving', async () => {
  const c = new FakeCluster(['n0', 'n1']);
  const w = c.addWorker('c8', 'a');
  c.startNode('n0');
  c.startNode('n1');
  assert.ok(await c.submit('n0', job('wk-1', { pieces: 2 })));
  assert.ok(await started(c, 'wk-1/0'));
  assert.equal(c.nodes.get('n0')!.node.membership.owner(0)?.node, 'n0');
  c.net.fate = (from, addr) => (from === 'n0' && addr.startsWith('10.2.0.1') ? 'refuse' : 'deliver');
  w.end('wk-1/0', 'done');
  assert.ok(await c.clock.until(() => c.nodes.get('n1')!.node.membership.owner(0)?.node === 'n1', 20_000));
  await c.clock.advance(5000);
  c.net.fate = () => 'deliver';
  await c.clock.advance(5000);
  assert.equal((await c.call('n0', 'GET', '/healthz')).status, 200);
  w.end('wk-1/1', 'done');
  assert.ok(await c.clock.until(() => w.attempts.length === 0, 10_000), 'the next owner stores them');
  assert.equal(status((await c.call('n0', 'GET', '/api/jobs/wk-1')).body), 'done');
});

// Guards against users who reach only nodes cut off from the owner: for half a minute none of their jobs were accepted,
// although both nodes reached the state service.
test('behind a cut between controllers jobs are accepted and cancelled by way of the state service', async () => {
  const c = new FakeCluster(['n0', 'n1']);
  c.addWorker('c8', 'a');
  c.startNode('n0');
  c.startNode('n1');
  assert.ok(await c.submit('n1', job('wk-1')));
  assert.equal(c.nodes.get('n0')!.node.membership.owner(0)?.node, 'n0');
  c.nodes.get('n1')!.cut = true;
  assert.equal((await c.call('n1', 'POST', '/api/jobs', job('wk-2', { dueS: 900 }))).status, 201);
  assert.equal((await c.call('n1', 'POST', '/api/jobs', job('wk-2', { dueS: 900 }))).status, 200);
  assert.ok(await started(c, 'wk-2/0'));
  const over = await c.call('n1', 'POST', '/api/jobs/wk-2/abort');
  assert.deepEqual([over.status, status(over.body)], [200, 'aborted']);
  assert.equal(status((await c.call('n0', 'GET', '/api/jobs/wk-2')).body), 'aborted');
  const letters = () => [...c.state.items.keys()].filter((k) => k.startsWith('c/mail/'));
  assert.deepEqual(letters(), [], 'letters are taken away');
  // A letter that the network delivers late is not acted on, and is dropped in the end.
  c.net.fate = (_f, _a, _m, path, body) =>
    path === '/txn' && JSON.stringify(body).includes('"op":"submit"') ? 'hold' : 'deliver';
  assert.equal((await c.call('n1', 'POST', '/api/jobs', job('wk-3', { dueS: 900 }))).status, 503);
  await c.clock.advance(10_000);
  c.net.fate = () => 'deliver';
  await c.net.release();
  await c.clock.advance(2000);
  assert.equal((await c.call('n0', 'GET', '/api/jobs/wk-3')).status, 404);
  assert.ok(await c.clock.until(() => letters().length === 0, 120_000));
});

// Guards against a shard that accepts nothing while its owner restarts, and against a job that the owner never hears of.
test('a job without a deadline is accepted while its owner is away, and runs', async () => {
  const c = new FakeCluster(['n0', 'n1']);
  c.addWorker('c8', 'a');
  c.startNode('n0');
  c.startNode('n1');
  assert.ok(await c.submit('n1', job('wk-1', { cpus: 1 })));
  const owner = c.nodes.get('n1')!.node.membership.owner(0)!.node;
  const other = owner === 'n0' ? 'n1' : 'n0';
  const submit = (id: string, change: object = {}) =>
    c.call(other, 'POST', '/api/jobs', job(id, { cpus: 1, ...change }));
  // Only this node cannot reach the owner, and its letters are lost: the owner learns of the job once it is reached.
  c.nodes.get(other)!.cut = true;
  c.net.fate = (_f, _a, _m, path, body) =>
    path === '/txn' && JSON.stringify(body).includes('"set":"c/mail') ? 'refuse' : 'deliver';
  assert.equal((await submit('wk-2')).status, 201);
  assert.equal((await submit('wk-2')).status, 200);
  await c.clock.advance(3000);
  assert.equal(await started(c, 'wk-2/0', 0), false);
  c.nodes.get(other)!.cut = false;
  assert.ok(await started(c, 'wk-2/0', 4000));
  c.net.fate = () => 'deliver';
  // The owner is dead: the next one finds the job.
  c.killNode(owner);
  assert.equal((await submit('wk-3')).status, 201);
  assert.equal(
    (await submit('wk-4', { dueS: 600 })).status,
    503,
    'the plan has to say whether it ends in time',
  );
  assert.equal(status((await c.call(other, 'GET', '/api/jobs/wk-3')).body), 'queued');
  assert.equal((await submit('wk-5', { waitsOn: ['wk-99'] })).status, 422);
  assert.equal((await submit('wk-5', { waitsOn: ['wk-3'] })).status, 201);
  assert.ok(await started(c, 'wk-3/0', 40_000));
  assert.equal(c.workers[0]!.started.includes('wk-5/0'), false);
  c.workers[0]!.end('wk-3/0', 'done');
  assert.ok(await started(c, 'wk-5/0', 5000));
  assert.deepEqual(
    ['wk-2/0', 'wk-3/0', 'wk-5/0'].map((p) => c.workers[0]!.started.filter((x) => x === p).length),
    [1, 1, 1],
  );
});

// Guards against dear machines that stand idle for a class that would never pay for them (Lanchi: price 4.9, then 3.9).
test('idle machines are kept for a hasty class of small tasks only where a place for them is cheap', async () => {
  const c = new FakeCluster(['n0']);
  c.cardPrice = 2;
  c.objectives = [{ kind: 'wait', class: 'train', withinS: 10, share: 0.99 }];
  const cheap = c.addWorker('c8', 'a');
  const dear = c.addWorker('g8', 'a');
  c.startNode('n0');
  assert.ok(await c.submit('n0', job('wk-1', { cpus: 1, memoryGb: 1 })));
  assert.ok(await started(c, 'wk-1/0'));
  cheap.end('wk-1/0', 'done');
  assert.ok(await c.clock.until(() => c.released.includes(dear.id), 40_000));
  await c.clock.advance(60_000);
  assert.equal(c.released.includes(cheap.id), false);
  // Tasks that take half a machine need one that is empty, whatever it costs.
  const second = c.addWorker('g8', 'a');
  assert.ok(await c.submit('n0', job('wk-2')));
  assert.ok(await started(c, 'wk-2/0'));
  cheap.end('wk-2/0', 'done');
  await c.clock.advance(90_000);
  assert.equal(c.released.includes(second.id), false);
});

// Guards against a planned restart that leaves a shard without an owner until a lease of 8 s has run out.
test('a controller that is told to end hands its shards over at once', async () => {
  const c = new FakeCluster(['n0', 'n1']);
  c.addWorker('c8', 'a');
  c.startNode('n0');
  c.startNode('n1');
  assert.ok(await c.submit('n1', job('wk-1')));
  assert.equal(c.nodes.get('n1')!.node.membership.owner(0)?.node, 'n0');
  await c.nodes.get('n0')!.node.leave();
  assert.equal(c.nodes.get('n0')!.node.healthy, false);
  const owner = () => c.nodes.get('n1')!.node.membership.owner(0)?.node;
  assert.ok(await c.clock.until(() => owner() === 'n1', 3000));
  await c.clock.advance(10_000);
  assert.equal(owner(), 'n1', 'it takes nothing back');
  assert.equal((await c.call('n1', 'POST', '/api/jobs', job('wk-2', { dueS: 900 }))).status, 201);
});

test('a rented machine stays in the plan while it boots, and is given back when it never comes up', async () => {
  const c = new FakeCluster(['n0']);
  c.capacity = true;
  c.startNode('n0');
  assert.ok(await c.submit('n0', job('wk-1', { cpus: 8 })));
  await c.clock.advance(60_000);
  assert.equal(c.rented.length, 1, 'one machine is enough, also past one lease');
  const first = c.workers[0]!;
  assert.ok(await c.clock.until(() => c.released.includes(first.id), 40_000));
  assert.ok(await c.clock.until(() => c.rented.length === 2, 5000));
  c.silent.clear();
  assert.ok(await started(c, 'wk-1/0'));
});

test('an adopted machine that still boots is not taken for lost', async () => {
  const c = new FakeCluster(['n0']);
  c.capacity = true;
  c.startNode('n0');
  assert.ok(await c.submit('n0', job('wk-1', { cpus: 8 })));
  await c.clock.advance(3000);
  c.killNode('n0');
  c.net.fate = (_f, addr) => (addr.startsWith('10.1.') ? 'silent' : 'deliver');
  c.startNode('n0');
  await c.clock.advance(30_000);
  assert.equal(c.rented.length, 1);
  c.net.fate = () => 'deliver';
  c.silent.clear();
  assert.ok(await started(c, 'wk-1/0'));
});

test('a machine is idle only from when it is up, and what the late list still shows is not taken in again', async () => {
  const c = new FakeCluster(['n0']);
  c.objectives = [];
  c.capacity = true;
  c.startNode('n0');
  assert.ok(await c.submit('n0', job('wk-1', { cpus: 8 })));
  await c.clock.advance(3000);
  const w = c.workers[0]!;
  await c.call('n0', 'POST', '/api/jobs/wk-1/abort');
  await c.clock.advance(65_000);
  c.silent.clear();
  c.ghosts.push(w);
  await c.clock.advance(12_000);
  assert.deepEqual(c.released, [], 'up for 12 s only');
  assert.ok(await c.clock.until(() => c.released.includes(w.id), 10_000));
  for (let i = 0; i < 20; i++) {
    await c.clock.advance(1000);
    if (i > 1) assert.equal(c.state.value(`c/m/${w.id}`), undefined);
  }
});

test('a cloud that is down is asked one rental at a time, and rented from when it is back', async () => {
  const c = new FakeCluster(['n0']);
  c.capacity = true;
  c.startNode('n0');
  await c.clock.advance(3000);
  c.cloud.down = true;
  assert.ok(await c.submit('n0', job('wk-1', { cpus: 8, pieces: 4 })));
  await c.clock.advance(30_000);
  assert.ok(c.rented.length >= 5 && c.rented.length <= 20, `${c.rented.length} requests`);
  const before = c.workers.length;
  c.cloud.down = false;
  assert.ok(await c.clock.until(() => c.workers.length > before, 10_000));
});

test('unfinished jobs of all shards are listed by any node, page by page, and none when an owner is away', async () => {
  const c = new FakeCluster(['n0', 'n1']);
  c.teams = [
    { name: 'red', cpus: 16, cpusMax: 32, gpus: 0, gpusMax: 0 },
    { name: 'blue', cpus: 16, cpusMax: 32, gpus: 0, gpusMax: 0 },
  ];
  c.addWorker('c8', 'a');
  for (const n of ['n0', 'n1']) c.startNode(n);
  for (let i = 0; i < 230; i++) {
    const owner = i % 2 ? 'red' : 'blue';
    const id = `wk-${i < 210 ? 'a' : 'b'}-${String(i).padStart(3, '0')}`;
    assert.ok(await c.submit('n0', job(id, { owner })));
  }
  const list = async (query: string) => {
    const request = { ...c.request('GET', '/api/jobs'), query: new URLSearchParams(query) };
    const reply = await c.answered(c.nodes.get('n1')!.api.handle(request));
    return reply.status === 200 ? readJobList(JSON.parse(JSON.stringify(reply.body))) : null;
  };
  const first = await list('under=wk-a-');
  assert.deepEqual([first?.jobs.length, first?.more, first?.jobs[0]?.id], [200, true, 'wk-a-000']);
  const second = await list(`under=wk-a-&after=${first!.jobs.at(-1)!.id}`);
  assert.deepEqual([second?.jobs.length, second?.more], [10, false]);
  assert.deepEqual(new Set(second!.jobs.map((j) => j.team)), new Set(['red', 'blue']));
  c.killNode('n0');
  assert.equal(
    await list('under=wk-a-'),
    null,
    'a list that leaves out a shard would look like jobs that are over',
  );
});
