import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FakeCluster, job, LEASE_S } from '../support/cluster.js';

const NODES = ['n0', 'n1', 'n2'];

/** A cluster with standbys, all of them level, and a job of four tasks that run. */
async function warm(machines: number, nodes = NODES): Promise<FakeCluster> {
  const c = new FakeCluster(nodes);
  c.standby = true;
  for (let i = 0; i < machines; i++) c.addWorker('c8', 'a');
  for (const n of nodes) c.startNode(n);
  await c.clock.advance(8000);
  assert.ok(await c.submit('n1', job('wk-1', { pieces: 4, cpus: 8 })));
  assert.ok(await c.clock.until(() => c.attempts === 4, 15_000));
  await c.clock.advance(3000);
  return c;
}

const standby = (c: FakeCluster, k: number) =>
  (c.state.value(`c/stand/${k}`) as { node: string } | undefined)?.node;

test('every shard has a standby of its own, spread over the nodes, and not the next in a roll', async () => {
  const c = await warm(6);
  assert.deepEqual(
    [0, 1, 2].map((k) => [c.owner(k), standby(c, k)]),
    [
      ['n0', 'n2'],
      ['n1', 'n0'],
      ['n2', 'n1'],
    ],
  );
  const alone = new FakeCluster(['n0']);
  alone.standby = true;
  alone.startNode('n0');
  await alone.clock.advance(10_000);
  assert.equal(standby(alone, 0), undefined);
});

test('a crash is taken over within the promise, warm, and nothing that runs is started again', async () => {
  const c = await warm(6);
  const k = c.shardOf('wk-1');
  const [old, next] = [c.owner(k)!, standby(c, k)!];
  c.killNode(old);
  const at = c.clock.now();
  const user = NODES.find((n) => n !== old)!;
  assert.ok(await c.clock.until(() => c.owner(k) === next, 4000), 'the standby has it');
  assert.ok(await c.submit(user, job('wk-2', { dueS: 900 })), 'a deadline needs the plan');
  const took = c.clock.now() - at;
  assert.ok(took <= 3500, `accepted after ${took} ms`);
  await c.clock.advance(LEASE_S * 1000 + 5000);
  assert.ok(
    c.workers.every((w) => w.session === 1),
    'no machine has lost its lease',
  );
  assert.equal(c.attempts, 4);
  assert.equal(c.starts, 4, 'the team is at its limit, and what ran goes on');
});

// Guards against two owners: what a frozen owner had checked before the freeze comes due after the take-over.
test('an owner that stands still past the promise loses its shard, and does nothing of what it was about to do', async () => {
  const c = await warm(6);
  const k = c.shardOf('wk-1');
  const [old, next] = [c.owner(k)!, standby(c, k)!];
  const wake = c.freeze(old);
  await c.clock.advance(1500);
  assert.equal(c.owner(k), old, 'a short freeze costs nothing');
  assert.ok(await c.clock.until(() => c.owner(k) === next, 5000));
  c.workers.find((w) => w.on('wk-1/0'))!.end('wk-1/0', 'done');
  assert.ok(
    await c.clock.until(() => c.state.value('act/wk-1/0') !== undefined, 12_000),
    'stored by the new owner',
  );
  wake();
  await c.clock.advance(500);
  assert.equal(((await c.call(old, 'GET', '/api/jobs/wk-1')).body as { done: number }).done, 1);
  await c.clock.advance(25_000);
  assert.equal(c.starts, 4);
  assert.ok(c.workers.every((w) => w.session === 1));
});

test('a freeze just below the limit, and answers that get lost, cost no shard', async () => {
  const c = await warm(4);
  const before = [0, 1, 2].map((k) => c.state.items.get(`c/own/${k}`)!.version);
  for (const n of NODES) {
    const wake = c.freeze(n);
    await c.clock.advance(1700);
    wake();
    await c.clock.advance(9000);
  }
  assert.deepEqual(
    [0, 1, 2].map((k) => c.state.items.get(`c/own/${k}`)!.version),
    before,
  );
  // The owners' messages arrive, the answers do not: the standbys may not claim, since they are struck off.
  c.lostAnswers.add('stand');
  const named = [0, 1, 2].map((k) => c.state.items.get(`c/stand/${k}`)!.version);
  await c.clock.advance(500);
  const now = () => [0, 1, 2].map((k) => c.state.items.get(`c/stand/${k}`)?.version);
  assert.deepEqual(now(), named, 'not struck off at once');
  // Before the promises end.
  await c.clock.advance(1400);
  assert.ok(now().every((v, i) => v !== named[i]));
  assert.ok(await c.submit('n0', job('wk-2')), 'owners without a standby go by their lease');
  await c.clock.advance(20_000);
  assert.deepEqual(
    [0, 1, 2].map((k) => c.state.items.get(`c/own/${k}`)!.version),
    before,
  );
  c.lostAnswers.clear();
  assert.ok(await c.clock.until(() => [0, 1, 2].every((k) => standby(c, k)), 70_000), 'and have one again');
});

test('connections refused between controllers cost no shard, nor does a state outage', async () => {
  const c = await warm(4);
  const before = [0, 1, 2].map((k) => c.state.items.get(`c/own/${k}`)!.version);
  for (const n of NODES) c.refused.add(n);
  await c.clock.advance(20_000);
  c.refused.clear();
  await c.clock.advance(20_000);
  c.state.down = true;
  await c.clock.advance(10_000);
  c.state.restore();
  await c.clock.advance(10_000);
  assert.deepEqual(
    [0, 1, 2].map((k) => c.state.items.get(`c/own/${k}`)!.version),
    before,
  );
  assert.ok(c.workers.every((w) => w.session === 1));
});

test('when owner and standby crash together, the third takes the shard by the lease', async () => {
  const c = await warm(6);
  const k = c.shardOf('wk-1');
  const [old, next] = [c.owner(k)!, standby(c, k)!];
  const third = NODES.find((n) => n !== old && n !== next)!;
  c.killNode(old);
  c.killNode(next);
  assert.ok(await c.clock.until(() => c.owner(k) === third, 14_000));
  await c.clock.advance(LEASE_S * 1000 + 5000);
  assert.equal(c.starts, 4);
  assert.ok(c.workers.every((w) => w.session === 1));
});

test('a standby that crashes is struck off within the promise, and another takes its place', async () => {
  const c = await warm(6);
  const k = c.shardOf('wk-1');
  const [own, first] = [c.owner(k)!, standby(c, k)!];
  c.killNode(first);
  await c.clock.advance(1500);
  assert.ok(await c.submit(own, job('wk-2', { dueS: 900 })));
  assert.ok(
    await c.clock.until(() => standby(c, k) !== undefined && standby(c, k) !== first, 8000),
    'another stands by',
  );
  assert.equal(c.owner(k), own);
  await c.clock.advance(4000);
  const second = standby(c, k)!;
  c.killNode(own);
  assert.ok(await c.clock.until(() => c.owner(k) === second, 4000), 'and takes over');
  await c.clock.advance(5000);
  assert.equal(c.attempts, 4);
  assert.equal(c.starts, 4);
});

test('an owner that the state service alone refuses hands over before its lease runs out', async () => {
  const c = await warm(6);
  const k = c.shardOf('wk-1');
  const [old, next] = [c.owner(k)!, standby(c, k)!];
  c.net.fate = (from, addr) => (from === old && addr.startsWith('10.2.0.1') ? 'refuse' : 'deliver');
  assert.ok(await c.clock.until(() => c.owner(k) === next, 5500));
  assert.ok(await c.submit(old, job('wk-2', { dueS: 900 })), 'also by way of the node that was cut off');
  await c.clock.advance(30_000);
  assert.equal(c.owner(k), next, 'no way back while it is cut off');
  assert.ok(c.workers.every((w) => w.session === 1));
  assert.equal(c.starts, 4);
});

// Guards against a gap at each change of hands: between the end of one owner and the beginning of the next, users were refused.
test('going home and leaving are switches: no request is refused and no machine is lost', async () => {
  const c = await warm(6);
  const k = c.shardOf('wk-1');
  const home = c.owner(k)!;
  c.killNode(home);
  assert.ok(await c.clock.until(() => c.owner(k) !== home, 4000));
  await c.clock.advance(2000);
  c.startNode(home);
  await c.clock.advance(2000);
  const replies: number[] = [];
  let i = 10;
  const ask = async (n: string) => {
    if (!c.nodes.has(n)) return;
    const id = `wk-${i++}`;
    replies.push(
      (await c.nodes.get(n)!.api.handle(c.request('POST', '/api/jobs', job(id, { dueS: 5000 })))).status,
    );
    replies.push((await c.nodes.get(n)!.api.handle(c.request('GET', '/api/jobs/wk-1'))).status);
  };
  for (let t = 0; t < 300 && c.owner(k) !== home; t++) {
    for (const n of NODES) void ask(n);
    await c.clock.advance(50);
  }
  assert.equal(c.owner(k), home, 'home again');
  for (let t = 0; t < 20; t++) {
    for (const n of NODES) void ask(n);
    await c.clock.advance(50);
  }
  await c.clock.advance(4000);
  const leaving = c.nodes.get(home)!.node.leave();
  for (let t = 0; t < 10; t++) {
    for (const n of NODES) void ask(n);
    await c.clock.advance(20);
  }
  await leaving;
  c.killNode(home);
  assert.notEqual(c.owner(k), home);
  await c.clock.advance(5000);
  assert.ok(replies.length > 200);
  assert.deepEqual(
    replies.filter((s) => s !== 201 && s !== 200),
    [],
  );
  assert.equal(c.workers.filter((w) => w.session > 1).length, 0);
});

// Guards against one machine that hangs at the moment of a take-over keeping all waiting work from starting for a lease.
test('what was never started starts at once after a take-over, beside a machine that hangs; what may run does not', async () => {
  const c = new FakeCluster(NODES);
  c.standby = true;
  c.teams = [{ name: 'red', cpus: 0, cpusMax: 0, gpus: 0, gpusMax: 0 }];
  const all = Array.from({ length: 3 }, () => c.addWorker('c8', 'a'));
  for (const n of NODES) c.startNode(n);
  await c.clock.advance(8000);
  assert.ok(await c.submit('n0', job('wk-1', { pieces: 3, cpus: 8 })));
  assert.ok(await c.clock.until(() => c.attempts === 3, 20_000));
  assert.ok(await c.submit('n0', job('wk-2', { pieces: 1, cpus: 8 })), 'waits: all places are taken');
  await c.clock.advance(2000);
  const k = c.shardOf('wk-1');
  const hung = all[0]!;
  c.silent.add(hung);
  c.net.fate = (_f, addr) => (addr === hung.place.addr ? 'silent' : 'deliver');
  const mine = ['wk-1/0', 'wk-1/1', 'wk-1/2'].find((p) => !hung.on(p))!;
  c.killNode(c.owner(k)!);
  const at = c.clock.now();
  all.find((w) => w.on(mine))!.end(mine, 'done');
  assert.ok(await c.clock.until(() => all.some((w) => w.on('wk-2/0')), 10_000), 'not only after the lease');
  assert.ok(c.clock.now() - at < 8000);
  const held = ['wk-1/0', 'wk-1/1', 'wk-1/2'].find((p) => hung.on(p))!;
  assert.equal(all.filter((w) => w.started.includes(held)).length, 1, 'its machine has not reported');
});

test('a state outage between the claim and the first read delays the take-over, and nothing is decided before', async () => {
  const c = await warm(6);
  const k = c.shardOf('wk-1');
  const [old, next] = [c.owner(k)!, standby(c, k)!];
  let cut = false;
  c.net.fate = (from, addr, _m, path) => {
    if (from === next && addr.startsWith('10.2.0.1') && c.owner(k) === next) cut = true;
    return cut && addr.startsWith('10.2.0.1') && path !== '/leases' && !path.endsWith('/touch')
      ? 'refuse'
      : 'deliver';
  };
  c.killNode(old);
  assert.ok(await c.clock.until(() => cut, 5000));
  await c.clock.advance(4000);
  assert.equal((await c.call(next, 'GET', '/api/jobs/wk-1')).status, 503, 'how it stands is not known yet');
  assert.equal(c.starts, 4);
  cut = false;
  c.net.fate = () => 'deliver';
  assert.ok(await c.submit(next, job('wk-2', { dueS: 900 })));
  await c.clock.advance(25_000);
  assert.equal(c.starts, 4);
  assert.ok(c.workers.every((w) => w.session === 1));
});

test('in a roll of all, each next owner having been the standby, nothing is lost or started twice', async () => {
  const c = await warm(8);
  for (let round = 0; round < 2; round++) {
    for (const n of NODES) {
      c.killNode(n);
      await c.clock.advance(4000);
      c.startNode(n);
      await c.clock.advance(8000);
    }
  }
  await c.clock.advance(25_000);
  assert.equal(c.starts, 4);
  assert.ok(c.workers.every((w) => w.session === 1));
  assert.deepEqual(new Set([0, 1, 2].map((k) => c.owner(k))), new Set(NODES));
});

test('beside a version without standbys no shard of its is followed, and it takes what is left as ever', async () => {
  const c = new FakeCluster(NODES);
  c.standby = ['n1', 'n2'];
  for (let i = 0; i < 6; i++) c.addWorker('c8', 'a');
  for (const n of NODES) c.startNode(n);
  await c.clock.advance(12_000);
  assert.deepEqual(
    [0, 1, 2].map((k) => standby(c, k)),
    [undefined, 'n2', 'n1'],
  );
  assert.ok(await c.submit('n0', job('wk-1', { pieces: 4, cpus: 8 })));
  assert.ok(await c.clock.until(() => c.attempts === 4, 15_000));
  c.killNode('n1');
  c.killNode('n2');
  assert.ok(await c.clock.until(() => [0, 1, 2].every((k) => c.owner(k) === 'n0'), 20_000));
  c.startNode('n1');
  await c.clock.advance(20_000);
  assert.equal(c.owner(1), 'n1', 'handed back as ever');
  await c.clock.advance(10_000);
  assert.equal(c.starts, 4);
  assert.ok(c.workers.every((w) => w.session === 1));
});

test('a shard of 1,400 tasks and 420 machines is taken over warm, and at rest the standbys ask nothing of the state service', async () => {
  const c = new FakeCluster(NODES);
  c.standby = true;
  c.teams = [{ name: 'red', cpus: 0, cpusMax: 0, gpus: 0, gpusMax: 0 }];
  let asked = 0;
  let greeted = 0;
  let machinesAsked = 0;
  const readFrom: number[] = [];
  c.net.fate = (_f, addr, _m, path) => {
    const since = /^\/watch\?under=act%2F&since=(\d+)&waitMs=0/.exec(path);
    if (since) readFrom.push(Number(since[1]));
    if (addr.startsWith('10.2.0.1') && !path.startsWith('/leases')) asked++;
    if (addr.startsWith('10.1.')) machinesAsked++;
    if (addr.startsWith('10.1.') && path === '/show') greeted++;
    return 'deliver';
  };
  for (const n of NODES) c.startNode(n);
  await c.clock.advance(6000);
  assert.ok([0, 1, 2].every((k) => standby(c, k)));
  asked = 0;
  await c.clock.advance(20_000);
  // Each node's watch ends every 10 s; nothing else.
  assert.ok(asked <= 3 * 3, `${asked} requests in 20 s at rest`);
  for (let i = 0; i < 420; i++) c.addWorker('c8', 'a');
  assert.ok(await c.submit('n0', job('wk-0', { cpus: 8 })));
  const k = c.shardOf('wk-0');
  const mine = () =>
    [...c.state.items].filter(
      ([key, i]) => key.startsWith('c/m/') && (i.value as { shard: number }).shard === k,
    );
  for (let i = 1; i <= 14; i++)
    assert.ok(await c.submit('n0', job(`wk-${i}`, { pieces: 100, cpus: 8, expectedS: 600 })));
  assert.ok(await c.clock.until(() => c.attempts > 250, 40_000), `${c.attempts} run on ${mine().length}`);
  await c.clock.advance(8000);
  const [old, next] = [c.owner(k)!, standby(c, k)!];
  const before = c.attempts;
  const began = c.starts;
  const here = mine().length;
  const late = c.state.items.get('act/wk-14')!.version;
  readFrom.length = 0;
  [greeted, machinesAsked, asked] = [0, 0, 0];
  c.killNode(old);
  const at = c.clock.now();
  assert.ok(await c.clock.until(() => c.owner(k) === next, 4000));
  assert.ok(await c.submit(next, job('wk-99', { cpus: 8, dueS: 9000 })));
  assert.ok(c.clock.now() - at < 3500, `${c.clock.now() - at} ms to the first answer`);
  assert.ok(
    readFrom.length > 0 && readFrom.every((r) => r >= late),
    'only what changed in the last seconds is read',
  );
  assert.ok(asked < 60, `${asked} requests to the state service`);
  await c.clock.advance(1500);
  assert.ok(greeted < here / 10, `${greeted} machines had to be asked for their session`);
  assert.ok(machinesAsked >= here, `${machinesAsked} of ${here} machines greeted`);
  await c.clock.advance(23_000);
  assert.ok(c.attempts >= before);
  assert.ok(c.starts - began <= 420 - before + 1, 'nothing that ran was started again');
  assert.ok(c.workers.every((w) => w.session === 1));
});

// Guards against an order that outlives its reason: while a start waits for the standby's acknowledgement, its machine may begin
// a new session or its job be cancelled, and the task may be starting elsewhere.
test('a start that waits for the standby is not sent when its job is cancelled or its machine has begun anew', async () => {
  const c = await warm(6);
  const k = c.shardOf('wk-1');
  const own = c.owner(k)!;
  const ordered: string[] = [];
  c.net.fate = (_f, _a, _m, path, body) => {
    if (path === '/do') ordered.push(JSON.stringify(body));
    return 'deliver';
  };
  c.workers.find((w) => w.on('wk-1/0'))!.end('wk-1/0', 'done');
  await c.clock.advance(3000);
  assert.ok(await c.submit(own, job('wk-5', { cpus: 4 })));
  assert.ok(await c.clock.until(() => c.workers.some((w) => w.on('wk-5/0')), 5000));
  c.lostAnswers.add('stand');
  assert.ok(await c.submit(own, job('wk-6', { cpus: 4 })));
  await c.clock.advance(200);
  assert.ok(!ordered.some((o) => o.includes('wk-6')), 'announced, and not acknowledged');
  assert.equal((await c.call(own, 'POST', '/api/jobs/wk-6/abort')).status, 200);
  c.lostAnswers.clear();
  await c.clock.advance(10_000);
  assert.ok(!ordered.some((o) => o.includes('"verb":"run"') && o.includes('wk-6')), 'and never sent');
  assert.equal(c.starts, 5);
  // The machines begin anew while a start waits.
  c.lostAnswers.add('stand');
  assert.ok(await c.submit(own, job('wk-7', { cpus: 4 })));
  await c.clock.advance(100);
  for (const w of c.workers) {
    w.lastSent = Number.NEGATIVE_INFINITY;
    w.checkLease();
  }
  await c.clock.advance(300);
  c.lostAnswers.clear();
  await c.clock.advance(15_000);
  assert.equal(c.workers.filter((w) => w.on('wk-7/0')).length, 1, 'once');
});

test('a task that was done, but not stored as done, when its owner crashed is not started again elsewhere', async () => {
  const c = await warm(6);
  const k = c.shardOf('wk-1');
  const old = c.owner(k)!;
  const [first, second] = ['wk-1/0', 'wk-1/1'].map((p) => c.workers.find((w) => w.on(p))!);
  first!.end('wk-1/0', 'done');
  await c.clock.advance(1200);
  // The first completion has just been stored; the next one is gathered with those after it.
  second!.end('wk-1/1', 'done');
  await c.clock.advance(1000);
  c.killNode(old);
  c.silent.add(second!);
  c.net.fate = (_f, addr) => (addr === second!.place.addr ? 'silent' : 'deliver');
  await c.clock.advance(9000);
  assert.notEqual(c.owner(k), old);
  assert.equal(c.starts, 4, 'the machine that has it does not answer yet');
  c.silent.delete(second!);
  c.net.fate = () => 'deliver';
  await c.clock.advance(8000);
  assert.equal(((await c.call(c.owner(k)!, 'GET', '/api/jobs/wk-1')).body as { done: number }).done, 2);
  assert.equal(c.starts, 4);
});
