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

async function asked(c: FakeCluster, node: string, id: string): Promise<string> {
  const reply = await c.call(node, 'GET', `/api/jobs/${id}`);
  return reply.status === 200 ? status(reply.body) : String(reply.status);
}

async function ended(c: FakeCluster, id: string, final: string, withinMs = 10_000): Promise<boolean> {
  const is = () => (c.state.value(`job/${id}`) as { final?: string } | undefined)?.final === final;
  return c.clock.until(is, withinMs);
}

/** Two controllers, each with a shard of one team, and a machine for either. */
async function twoShards(): Promise<FakeCluster> {
  const c = new FakeCluster(['n0', 'n1']);
  c.teams = ['red', 'blue'].map((name) => ({ name, cpus: 320, cpusMax: 2000, gpus: 0, gpusMax: 0 }));
  for (let i = 0; i < 4; i++) c.addWorker('c8', 'a');
  c.startNode('n0');
  c.startNode('n1');
  await c.clock.advance(6000);
  return c;
}

const running = (c: FakeCluster, piece: string) => c.workers.find((w) => w.on(piece));
const starts = (c: FakeCluster, piece: string) =>
  c.workers.reduce((n, w) => n + w.started.filter((p) => p === piece).length, 0);

function ownerOf(c: FakeCluster, team: string): string {
  const shard = (c.state.value('c/teams') as Record<string, number>)[team]!;
  return [...c.nodes.values()][0]!.node.membership.owner(shard)!.node;
}

async function start(c: FakeCluster, piece: string, withinMs = 10_000): Promise<boolean> {
  return c.clock.until(() => running(c, piece) !== undefined, withinMs);
}

async function finish(c: FakeCluster, piece: string): Promise<void> {
  assert.ok(await start(c, piece), `${piece} runs`);
  running(c, piece)!.end(piece, 'done');
}

// Guards against `too_early`, and against a job that takes part in limits before it can run.
test('a job waits for those that it names, and counts for no limit meanwhile', async () => {
  const c = new FakeCluster(['n0']);
  c.teams = [{ name: 'red', cpus: 4, cpusMax: 8, gpus: 0, gpusMax: 0 }];
  c.addWorker('c8', 'a');
  c.startNode('n0');
  assert.ok(await c.submit('n0', job('wk-1')));
  assert.ok(await c.submit('n0', job('wk-2', { waitsOn: ['wk-1', 'wk-1'], cpus: 8 })));
  assert.ok(await c.submit('n0', job('wk-3')));
  assert.ok(await start(c, 'wk-3/0'), 'the limit of the team is free for what can run');
  await c.clock.advance(5000);
  assert.equal(await asked(c, 'n0', 'wk-2'), 'queued');
  assert.equal(starts(c, 'wk-2/0'), 0);
  running(c, 'wk-3/0')!.end('wk-3/0', 'done');
  await c.clock.advance(3000);
  assert.equal(starts(c, 'wk-2/0'), 0, 'room alone does not start it');
  await finish(c, 'wk-1/0');
  assert.ok(await start(c, 'wk-2/0'));
  assert.notEqual(c.state.value('job/wk-1'), undefined, 'what it waited for was durably done');
});

test('what is no list of job ids is malformed, and only what was surely never accepted can never run', async () => {
  const c = new FakeCluster(['n0']);
  c.addWorker('c8', 'a');
  c.startNode('n0');
  assert.ok(await c.submit('n0', job('wk-1', { waitsOn: null })));
  assert.ok(await c.submit('n0', job('wk-2', { waitsOn: [] })));
  for (const bad of ['wk-1', [7], ['x'], { a: 1 }, [null]])
    assert.equal((await c.call('n0', 'POST', '/api/jobs', job('wk-3', { waitsOn: bad }))).status, 400);
  const submit = (id: string, waitsOn: string[]) => c.call('n0', 'POST', '/api/jobs', job(id, { waitsOn }));
  assert.equal((await submit('wk-3', ['wk-1', 'wk-77'])).status, 422);
  assert.equal((await submit('wk-3', ['wk-3'])).status, 422);
  c.net.fate = (_f, _a, method, path) =>
    method === 'GET' && path.startsWith('/keys/act') ? 'refuse' : 'deliver';
  assert.equal((await submit('wk-3', ['wk-78'])).status, 503, 'not told, so not known');
  c.net.fate = () => 'deliver';
  assert.equal((await submit('wk-3', ['wk-1'])).status, 201);
  const again = await submit('wk-3', ['wk-1']);
  assert.equal(again.status, 200);
  assert.equal(status(again.body), 'queued');
  await finish(c, 'wk-1/0');
  await finish(c, 'wk-3/0');
  assert.ok(await ended(c, 'wk-3', 'done'));
  assert.equal((await submit('wk-3', ['wk-1'])).status, 200, 'the same job for good');
  assert.equal((await submit('wk-4', ['wk-3', 'wk-1'])).status, 201, 'all that it names is over');
  assert.ok(await start(c, 'wk-4/0'));
});

// Guards against a release that hangs on a message: the message may get lost.
test('a job of another shard releases what waits for it, also when every message of it is lost', async () => {
  for (const lost of [[], ['over'], ['over', 'needed']]) {
    const c = await twoShards();
    for (const op of lost) c.lostMessages.add(op);
    assert.ok(await c.submit('n0', job('wk-1', { owner: 'red' })));
    assert.ok(await c.submit('n1', job('wk-2', { owner: 'blue', waitsOn: ['wk-1'] })));
    assert.ok(await start(c, 'wk-1/0'));
    await c.clock.advance(4000);
    assert.equal(starts(c, 'wk-2/0'), 0);
    await finish(c, 'wk-1/0');
    assert.ok(await start(c, 'wk-2/0', lost.length > 1 ? 8000 : 3000), `without ${lost}`);
    assert.ok((c.state.value('job/wk-1') as { final: string }).final === 'done');
  }
});

// Guards against a release that only a former owner knew of, and against a start before it after an adoption.
test('an owner that dies between the end of a job and the release leaves both to the next', async () => {
  const c = await twoShards();
  assert.ok(await c.submit('n0', job('wk-1', { owner: 'red' })));
  assert.ok(await c.submit('n0', job('wk-2', { owner: 'blue', waitsOn: ['wk-1'] })));
  assert.ok(await c.submit('n0', job('wk-3', { owner: 'red', waitsOn: ['wk-2'] })));
  assert.ok(await start(c, 'wk-1/0'));
  for (const op of ['over', 'needed']) c.lostMessages.add(op);
  const red = ownerOf(c, 'red');
  const blue = ownerOf(c, 'blue');
  assert.notEqual(red, blue);
  await finish(c, 'wk-1/0');
  assert.ok(await ended(c, 'wk-1', 'done'));
  for (const n of [red, blue]) c.killNode(n);
  c.lostMessages.clear();
  for (const n of [red, blue]) c.startNode(n);
  assert.ok(await start(c, 'wk-2/0', 40_000), 'released by the next owner');
  assert.equal(starts(c, 'wk-3/0'), 0, 'not before what it needs itself');
  assert.equal(await asked(c, 'n0', 'wk-3'), 'queued');
  await finish(c, 'wk-2/0');
  assert.ok(await start(c, 'wk-3/0', 10_000));
});

// Guards against `orphaned` and `ran_cancelled`: what follows a cancelled job is cancelled whatever fails meanwhile.
test('a cancelled job takes all along that need it, over shards and through an outage', async () => {
  const c = await twoShards();
  assert.ok(await c.submit('n0', job('wk-1', { owner: 'red' })));
  assert.ok(await c.submit('n0', job('wk-2', { owner: 'blue', waitsOn: ['wk-1'] })));
  assert.ok(await c.submit('n0', job('wk-3', { owner: 'red', waitsOn: ['wk-2'] })));
  assert.ok(await c.submit('n0', job('wk-4', { owner: 'blue', waitsOn: ['wk-3', 'wk-1'] })));
  assert.ok(await start(c, 'wk-1/0'));
  const reply = await c.call('n1', 'POST', '/api/jobs/wk-1/abort');
  assert.equal(status(reply.body), 'aborted');
  const toldAt = c.clock.now();
  c.state.down = true;
  for (const r of c.nodes.values()) r.cut = true;
  await c.clock.advance(10_000);
  c.state.restore();
  for (const id of ['wk-2', 'wk-3', 'wk-4'])
    assert.ok(await ended(c, id, 'cancelled', 20_000), `${id} by way of the state service`);
  assert.ok(c.clock.now() - toldAt < 45_000);
  for (const r of c.nodes.values()) r.cut = false;
  await c.clock.advance(4000);
  for (const id of ['wk-2', 'wk-3', 'wk-4']) {
    assert.equal(await asked(c, 'n0', id), 'aborted');
    assert.equal(starts(c, `${id}/0`), 0);
  }
  // Named later: accepted all the same, then cancelled.
  const named = await c.call('n1', 'POST', '/api/jobs', job('wk-5', { owner: 'red', waitsOn: ['wk-4'] }));
  assert.deepEqual([named.status, status(named.body)], [201, 'aborted'], 'never called queued');
  assert.equal((c.state.value('job/wk-5') as { final: string }).final, 'cancelled');
  assert.equal(starts(c, 'wk-5/0'), 0);
});

// Guards against `orphaned` where the owner cannot store the end: it must not call the job queued, nor anybody else.
test('a job that is about to be cancelled with another is not called queued', async () => {
  const c = await twoShards();
  assert.ok(await c.submit('n0', job('wk-1', { owner: 'red' })));
  assert.ok(await c.submit('n0', job('wk-2', { owner: 'blue', waitsOn: ['wk-1'] })));
  c.net.fate = (_f, _a, _m, path, body) =>
    path === '/txn' && JSON.stringify(body).includes('"set":"job/wk-2"') ? 'refuse' : 'deliver';
  assert.equal(status((await c.call('n1', 'POST', '/api/jobs/wk-1/abort')).body), 'aborted');
  await c.clock.advance(3000);
  for (const n of ['n0', 'n1']) assert.equal(await asked(c, n, 'wk-2'), '503');
  // Nor does a node that cannot reach the owner take the record at its word.
  const other = ownerOf(c, 'red');
  c.nodes.get(ownerOf(c, 'blue'))!.cut = true;
  assert.equal(await asked(c, other, 'wk-2'), '503');
  c.net.fate = () => 'deliver';
  c.nodes.get(ownerOf(c, 'blue'))!.cut = false;
  assert.ok(await ended(c, 'wk-2', 'cancelled'));
  assert.equal(await asked(c, other, 'wk-2'), 'aborted');
});

test('where an owner cannot be reached, a job that truly waits is still called queued', async () => {
  const c = await twoShards();
  assert.ok(await c.submit('n0', job('wk-1', { owner: 'red' })));
  assert.ok(await c.submit('n0', job('wk-2', { owner: 'blue', waitsOn: ['wk-1'] })));
  c.nodes.get(ownerOf(c, 'blue'))!.cut = true;
  await c.clock.advance(60_000);
  assert.equal(await asked(c, ownerOf(c, 'red'), 'wk-2'), 'queued');
});

// Guards against a wait without end for a job that is stored, and that its owner does not know of.
test('a job that is needed and that the owner does not know of is loaded and runs', async () => {
  const c = new FakeCluster(['n0']);
  c.addWorker('c8', 'a');
  c.startNode('n0');
  assert.ok(await c.submit('n0', job('wk-0', { cpus: 1 })));
  c.net.fate = (_f, _a, _m, path, body) =>
    path === '/txn' && JSON.stringify(body).includes('"set":"act/wk-1"') ? 'hold' : 'deliver';
  assert.equal((await c.call('n0', 'POST', '/api/jobs', job('wk-1', { cpus: 1 }))).status, 503);
  c.net.fate = () => 'deliver';
  await c.net.release();
  assert.ok(await c.submit('n0', job('wk-2', { cpus: 1, waitsOn: ['wk-1'] })));
  await finish(c, 'wk-1/0');
  assert.ok(await start(c, 'wk-2/0'));
});

// Guards against a hot loop of reads: where many are waited for and the state service fails, each is read at its turn.
test('what cannot be read during an outage is read again at a bounded rate', async () => {
  const c = await twoShards();
  const ids = Array.from({ length: 30 }, (_, i) => `wk-${100 + i}`);
  for (const id of ids) assert.ok(await c.submit('n0', job(id, { owner: 'red', cpus: 1 })));
  assert.ok(await c.submit('n0', job('wk-2', { owner: 'blue', waitsOn: ids })));
  const blue = ownerOf(c, 'blue');
  c.killNode(blue);
  c.lostMessages.add('needed');
  c.startNode(blue);
  await c.clock.advance(8000);
  let reads = 0;
  c.net.fate = (from, _a, method, path) => {
    if (from !== blue || method !== 'GET' || !path.startsWith('/keys/')) return 'deliver';
    reads++;
    return 'refuse';
  };
  await c.clock.advance(10_000);
  assert.ok(reads > 0 && reads <= 10 * 9, `${reads} reads in 10 s`);
  c.net.fate = () => 'deliver';
  for (const id of ids) await finish(c, `${id}/0`);
  assert.ok(await start(c, 'wk-2/0', 20_000));
});

test('a cancellation that is answered with done lets the jobs after it go on', async () => {
  const c = await twoShards();
  assert.ok(await c.submit('n0', job('wk-1', { owner: 'red' })));
  assert.ok(await c.submit('n0', job('wk-2', { owner: 'blue', waitsOn: ['wk-1'] })));
  assert.ok(await start(c, 'wk-1/0'));
  // The end is stored, but its owner does not hear so: the cancellation comes between.
  const blocked = { value: true };
  c.net.fate = (_f, _a, _m, path, body) => {
    if (!blocked.value || path !== '/txn' || !JSON.stringify(body).includes('"final":"done"'))
      return 'deliver';
    blocked.value = false;
    return 'lost-answer';
  };
  running(c, 'wk-1/0')!.end('wk-1/0', 'done');
  assert.ok(await ended(c, 'wk-1', 'done'));
  const reply = await c.call('n0', 'POST', '/api/jobs/wk-1/abort');
  assert.equal(status(reply.body), 'done', 'one outcome, the same for everybody');
  assert.ok(await start(c, 'wk-2/0'));
});

// Guards against a stage that is left to the end of the queue although all of its pipeline is urgent.
test('a job that is needed inherits priority and deadline, also of a later job in another shard', async () => {
  const c = await twoShards();
  const jobOf = (id: string) => [...c.nodes.values()].map((r) => r.node.job(id)).find((j) => j);
  assert.ok(await c.submit('n0', job('wk-2', { owner: 'red', urgency: 'low', expectedS: 100 })));
  assert.ok(await c.submit('n0', job('wk-3', { owner: 'red', urgency: 'low', waitsOn: ['wk-2'] })));
  await c.clock.advance(2000);
  assert.equal(jobOf('wk-2')!.priority, 0);
  const before = jobOf('wk-2')!.dueWall;
  const last = job('wk-4', { owner: 'blue', urgency: 'urgent', waitsOn: ['wk-3'], dueS: 250, expectedS: 30 });
  assert.ok(await c.submit('n1', last));
  await c.clock.advance(3000);
  assert.equal(jobOf('wk-3')!.priority, 2);
  assert.equal(jobOf('wk-2')!.priority, 2);
  const due = jobOf('wk-4')!.deadlineWall;
  assert.equal(jobOf('wk-3')!.dueWall, Math.min(jobOf('wk-3')!.deadlineWall, due - 30_000));
  assert.equal(jobOf('wk-2')!.dueWall, Math.min(before, due - 30_000 - 60_000));
  // What it needed is not urgent for it any more.
  assert.ok(await c.call('n0', 'POST', '/api/jobs/wk-4/abort'));
  await c.clock.advance(8000);
  assert.equal(jobOf('wk-2')!.priority, 0);
});

// Guards against a plan that books a job before what it waits for can be over.
test('a job that waits is refused when what it waits for ends too late for its deadline', async () => {
  const c = new FakeCluster(['n0']);
  c.addWorker('c8', 'a');
  c.startNode('n0');
  assert.ok(await c.submit('n0', job('wk-1', { expectedS: 100 })));
  const late = await c.call('n0', 'POST', '/api/jobs', job('wk-2', { waitsOn: ['wk-1'], dueS: 120 }));
  assert.equal(late.status, 429);
  assert.ok(late.headers?.['Retry-After']);
  const alone = await c.call('n0', 'POST', '/api/jobs', job('wk-3', { dueS: 120 }));
  assert.equal(alone.status, 201, 'in time when it waits for nothing');
  const loose = await c.call('n0', 'POST', '/api/jobs', job('wk-2', { waitsOn: ['wk-1'], dueS: 250 }));
  assert.equal(loose.status, 201);
});

// Guards against `too_early` by a plan that has a waiting job in it all the same, whatever made it.
test('no start is ordered of a job that waits or is to be cancelled, whatever the plan says', () => {
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
  const ordered: string[] = [];
  const registry = {
    machines: new Map([[machine.id, machine]]),
    startTasks: (_m: Machine, starts: { job: string }[]) => {
      ordered.push(...starts.map((s) => s.job));
      return [];
    },
  } as unknown as MachineRegistry;
  const one = makeJob(
    spec,
    { accepted: 0, deadline: 0, order: 1, fresh: true, version: 1 },
    { team: 0, types: null, zone: null, image: 0, match: null },
  );
  const log = { debug: () => undefined } as never;
  const starts = new TaskDispatcher(context, 7, registry, new Map([['wk-1', one]]), log, {
    usageOf: () => null,
    unreconciledCapacity: () => ({ cpus: 0, gpus: 0, memoryGb: 0 }),
    surelyNotRunning: () => true,
    isReservedForTransfer: () => false,
    lostOwnership: () => new Error('lost'),
  });
  const plan = {
    reservations: [{ job: { id: 1 }, task: 0, machine: 0, start: 0, end: 60 }],
  } as unknown as Plan;
  const dispatch = () => starts.dispatch(plan, [machine], new Map([[1, one]]), 1000);
  one.pendingDependencies.add('wk-0');
  dispatch();
  one.pendingDependencies.clear();
  one.cancelledByDependency = true;
  dispatch();
  assert.deepEqual(ordered, []);
  one.cancelledByDependency = false;
  dispatch();
  assert.deepEqual(ordered, ['wk-1']);
});
