import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FakeCluster, job, LEASE_S } from '../support/cluster.js';

const NODES = ['n0', 'n1', 'n2'];

/** Starts a cluster whose standbys are in sync, with a job of four running tasks. */
async function startInSyncCluster(machines: number, nodes = NODES): Promise<FakeCluster> {
  const cluster = new FakeCluster(nodes);
  cluster.standby = true;
  for (let i = 0; i < machines; i++) cluster.addWorker('c8', 'a');
  for (const n of nodes) cluster.startNode(n);
  await cluster.clock.advance(8000);
  assert.ok(await cluster.submit('n1', job('wk-1', { pieces: 4, cpus: 8 })));
  assert.ok(await cluster.clock.until(() => cluster.attempts === 4, 15_000));
  await cluster.clock.advance(3000);
  return cluster;
}

const standby = (cluster: FakeCluster, shard: number) =>
  (cluster.state.value(`c/stand/${shard}`) as { node: string } | undefined)?.node;

test('names a standby for every shard, spread over the nodes, and avoids the next node of a rolling restart', async () => {
  const cluster = await startInSyncCluster(6);
  assert.deepEqual(
    [0, 1, 2].map((shard) => [cluster.owner(shard), standby(cluster, shard)]),
    [
      ['n0', 'n2'],
      ['n1', 'n0'],
      ['n2', 'n1'],
    ],
  );
  const singleNode = new FakeCluster(['n0']);
  singleNode.standby = true;
  singleNode.startNode('n0');
  await singleNode.clock.advance(10_000);
  assert.equal(standby(singleNode, 0), undefined);
});

test('takes over after a crash within the standby lease, and starts no running task again', async () => {
  const cluster = await startInSyncCluster(6);
  const shard = cluster.shardOf('wk-1');
  const [initialOwner, standbyNode] = [cluster.owner(shard)!, standby(cluster, shard)!];
  cluster.killNode(initialOwner);
  const killedAt = cluster.clock.now();
  const user = NODES.find((n) => n !== initialOwner)!;
  assert.ok(
    await cluster.clock.until(() => cluster.owner(shard) === standbyNode, 4000),
    'the standby owns the shard',
  );
  assert.ok(await cluster.submit(user, job('wk-2', { dueS: 900 })), 'accepting a deadline requires the plan');
  const elapsedMs = cluster.clock.now() - killedAt;
  assert.ok(elapsedMs <= 3500, `accepted after ${elapsedMs} ms`);
  await cluster.clock.advance(LEASE_S * 1000 + 5000);
  assert.ok(
    cluster.workers.every((worker) => worker.incarnation === 1),
    'no machine lost its lease',
  );
  assert.equal(cluster.attempts, 4);
  assert.equal(cluster.starts, 4, 'the team is at its limit, and running tasks continue');
});

// Guards against two owners: a frozen owner may resume after the takeover with steps that it checked before the
// freeze.
test('an owner paused beyond the standby lease loses its shard and executes none of its pending steps', async () => {
  const cluster = await startInSyncCluster(6);
  const shard = cluster.shardOf('wk-1');
  const [initialOwner, standbyNode] = [cluster.owner(shard)!, standby(cluster, shard)!];
  const resume = cluster.freeze(initialOwner);
  await cluster.clock.advance(1500);
  assert.equal(cluster.owner(shard), initialOwner, 'a short pause has no effect');
  assert.ok(await cluster.clock.until(() => cluster.owner(shard) === standbyNode, 5000));
  cluster.workers.find((worker) => worker.isActive('wk-1/0'))!.endTask('wk-1/0', 'done');
  assert.ok(
    await cluster.clock.until(() => cluster.state.value('act/wk-1/0') !== undefined, 12_000),
    'stored by the new owner',
  );
  resume();
  await cluster.clock.advance(500);
  assert.equal(
    ((await cluster.call(initialOwner, 'GET', '/api/jobs/wk-1')).body as { done: number }).done,
    1,
  );
  await cluster.clock.advance(25_000);
  assert.equal(cluster.starts, 4);
  assert.ok(cluster.workers.every((worker) => worker.incarnation === 1));
});

test('keeps all shards after a pause just below the limit and after lost responses', async () => {
  const cluster = await startInSyncCluster(4);
  const before = [0, 1, 2].map((shard) => cluster.state.items.get(`c/own/${shard}`)!.version);
  for (const n of NODES) {
    const resume = cluster.freeze(n);
    await cluster.clock.advance(1700);
    resume();
    await cluster.clock.advance(9000);
  }
  assert.deepEqual(
    [0, 1, 2].map((shard) => cluster.state.items.get(`c/own/${shard}`)!.version),
    before,
  );
  // The owners' messages arrive, the responses do not: the standbys must not claim, because they are evicted.
  cluster.lostAnswers.add('stand');
  const namedVersions = [0, 1, 2].map((shard) => cluster.state.items.get(`c/stand/${shard}`)!.version);
  await cluster.clock.advance(500);
  const currentVersions = () =>
    [0, 1, 2].map((shard) => cluster.state.items.get(`c/stand/${shard}`)?.version);
  assert.deepEqual(currentVersions(), namedVersions, 'not evicted at once');
  // The standbys are evicted before the standby leases end.
  await cluster.clock.advance(1400);
  assert.ok(currentVersions().every((v, i) => v !== namedVersions[i]));
  assert.ok(
    await cluster.submit('n0', job('wk-2')),
    'an owner without a standby depends on its own lease only',
  );
  await cluster.clock.advance(20_000);
  assert.deepEqual(
    [0, 1, 2].map((shard) => cluster.state.items.get(`c/own/${shard}`)!.version),
    before,
  );
  cluster.lostAnswers.clear();
  assert.ok(
    await cluster.clock.until(() => [0, 1, 2].every((shard) => standby(cluster, shard)), 70_000),
    'a standby is named again',
  );
});

test('keeps all shards when connections between controllers are refused and during a key-value store outage', async () => {
  const cluster = await startInSyncCluster(4);
  const before = [0, 1, 2].map((shard) => cluster.state.items.get(`c/own/${shard}`)!.version);
  for (const n of NODES) cluster.nodesRefusingPeers.add(n);
  await cluster.clock.advance(20_000);
  cluster.nodesRefusingPeers.clear();
  await cluster.clock.advance(20_000);
  cluster.state.down = true;
  await cluster.clock.advance(10_000);
  cluster.state.endOutage();
  await cluster.clock.advance(10_000);
  assert.deepEqual(
    [0, 1, 2].map((shard) => cluster.state.items.get(`c/own/${shard}`)!.version),
    before,
  );
  assert.ok(cluster.workers.every((worker) => worker.incarnation === 1));
});

test('the third node takes over by lease expiry when owner and standby crash together', async () => {
  const cluster = await startInSyncCluster(6);
  const shard = cluster.shardOf('wk-1');
  const [initialOwner, standbyNode] = [cluster.owner(shard)!, standby(cluster, shard)!];
  const third = NODES.find((n) => n !== initialOwner && n !== standbyNode)!;
  cluster.killNode(initialOwner);
  cluster.killNode(standbyNode);
  assert.ok(await cluster.clock.until(() => cluster.owner(shard) === third, 14_000));
  await cluster.clock.advance(LEASE_S * 1000 + 5000);
  assert.equal(cluster.starts, 4);
  assert.ok(cluster.workers.every((worker) => worker.incarnation === 1));
});

test('evicts a crashed standby within the standby lease and names another one', async () => {
  const cluster = await startInSyncCluster(6);
  const shard = cluster.shardOf('wk-1');
  const [owner, first] = [cluster.owner(shard)!, standby(cluster, shard)!];
  cluster.killNode(first);
  await cluster.clock.advance(1500);
  assert.ok(await cluster.submit(owner, job('wk-2', { dueS: 900 })));
  assert.ok(
    await cluster.clock.until(
      () => standby(cluster, shard) !== undefined && standby(cluster, shard) !== first,
      8000,
    ),
    'another standby is named',
  );
  assert.equal(cluster.owner(shard), owner);
  await cluster.clock.advance(4000);
  const second = standby(cluster, shard)!;
  cluster.killNode(owner);
  assert.ok(
    await cluster.clock.until(() => cluster.owner(shard) === second, 4000),
    'the second standby takes over',
  );
  await cluster.clock.advance(5000);
  assert.equal(cluster.attempts, 4);
  assert.equal(cluster.starts, 4);
});

test('an owner that only the key-value store refuses hands over before its lease expires', async () => {
  const cluster = await startInSyncCluster(6);
  const shard = cluster.shardOf('wk-1');
  const [initialOwner, standbyNode] = [cluster.owner(shard)!, standby(cluster, shard)!];
  cluster.net.outcomeOf = (from, addr) =>
    from === initialOwner && addr.startsWith('10.2.0.1') ? 'refuse' : 'deliver';
  assert.ok(await cluster.clock.until(() => cluster.owner(shard) === standbyNode, 5500));
  assert.ok(
    await cluster.submit(initialOwner, job('wk-2', { dueS: 900 })),
    'also through the node that is cut off',
  );
  await cluster.clock.advance(30_000);
  assert.equal(
    cluster.owner(shard),
    standbyNode,
    'the shard does not return while its former owner is cut off',
  );
  assert.ok(cluster.workers.every((worker) => worker.incarnation === 1));
  assert.equal(cluster.starts, 4);
});

// Guards against a gap at each handover: requests were refused between the end of one owner and the start of
// the next.
test('refuses no request and loses no machine when a shard returns to its preferred node or a node leaves', async () => {
  const cluster = await startInSyncCluster(6);
  const shard = cluster.shardOf('wk-1');
  const preferredNode = cluster.owner(shard)!;
  cluster.killNode(preferredNode);
  assert.ok(await cluster.clock.until(() => cluster.owner(shard) !== preferredNode, 4000));
  await cluster.clock.advance(2000);
  cluster.startNode(preferredNode);
  await cluster.clock.advance(2000);
  const replies: number[] = [];
  let i = 10;
  const sendRequests = async (n: string) => {
    if (!cluster.nodes.has(n)) return;
    const id = `wk-${i++}`;
    replies.push(
      (await cluster.nodes.get(n)!.api.handle(cluster.request('POST', '/api/jobs', job(id, { dueS: 5000 }))))
        .status,
    );
    replies.push((await cluster.nodes.get(n)!.api.handle(cluster.request('GET', '/api/jobs/wk-1'))).status);
  };
  for (let t = 0; t < 300 && cluster.owner(shard) !== preferredNode; t++) {
    for (const n of NODES) void sendRequests(n);
    await cluster.clock.advance(50);
  }
  assert.equal(cluster.owner(shard), preferredNode, 'the shard has returned to its preferred node');
  for (let t = 0; t < 20; t++) {
    for (const n of NODES) void sendRequests(n);
    await cluster.clock.advance(50);
  }
  await cluster.clock.advance(4000);
  const leaving = cluster.nodes.get(preferredNode)!.node.leave();
  for (let t = 0; t < 10; t++) {
    for (const n of NODES) void sendRequests(n);
    await cluster.clock.advance(20);
  }
  await leaving;
  cluster.killNode(preferredNode);
  assert.notEqual(cluster.owner(shard), preferredNode);
  await cluster.clock.advance(5000);
  assert.ok(replies.length > 200);
  assert.deepEqual(
    replies.filter((s) => s !== 201 && s !== 200),
    [],
  );
  assert.equal(cluster.workers.filter((worker) => worker.incarnation > 1).length, 0);
});

// Guards against a machine that hangs during a takeover blocking all waiting work for the duration of a lease.
test('after a takeover with a hanging machine, starts tasks that never ran at once, but none that may be running', async () => {
  const cluster = new FakeCluster(NODES);
  cluster.standby = true;
  cluster.teams = [{ name: 'red', cpus: 0, cpusMax: 0, gpus: 0, gpusMax: 0 }];
  const workers = Array.from({ length: 3 }, () => cluster.addWorker('c8', 'a'));
  for (const n of NODES) cluster.startNode(n);
  await cluster.clock.advance(8000);
  assert.ok(await cluster.submit('n0', job('wk-1', { pieces: 3, cpus: 8 })));
  assert.ok(await cluster.clock.until(() => cluster.attempts === 3, 20_000));
  assert.ok(
    await cluster.submit('n0', job('wk-2', { pieces: 1, cpus: 8 })),
    'waits because all machines are full',
  );
  await cluster.clock.advance(2000);
  const shard = cluster.shardOf('wk-1');
  const silentWorker = workers[0]!;
  cluster.notSendingHeartbeats.add(silentWorker);
  cluster.net.outcomeOf = (_f, addr) => (addr === silentWorker.identity.addr ? 'silent' : 'deliver');
  const otherTask = ['wk-1/0', 'wk-1/1', 'wk-1/2'].find((p) => !silentWorker.isActive(p))!;
  cluster.killNode(cluster.owner(shard)!);
  const killedAt = cluster.clock.now();
  workers.find((worker) => worker.isActive(otherTask))!.endTask(otherTask, 'done');
  assert.ok(
    await cluster.clock.until(() => workers.some((worker) => worker.isActive('wk-2/0')), 10_000),
    'starts before the lease of the hanging machine expires',
  );
  assert.ok(cluster.clock.now() - killedAt < 8000);
  const silentTask = ['wk-1/0', 'wk-1/1', 'wk-1/2'].find((p) => silentWorker.isActive(p))!;
  assert.equal(
    workers.filter((worker) => worker.executedStarts.includes(silentTask)).length,
    1,
    'its machine has not reported',
  );
});

test('makes no decision during a key-value store outage between the claim and the first read', async () => {
  const cluster = await startInSyncCluster(6);
  const shard = cluster.shardOf('wk-1');
  const [initialOwner, standbyNode] = [cluster.owner(shard)!, standby(cluster, shard)!];
  let storeCutOff = false;
  cluster.net.outcomeOf = (from, addr, _m, path) => {
    if (from === standbyNode && addr.startsWith('10.2.0.1') && cluster.owner(shard) === standbyNode)
      storeCutOff = true;
    return storeCutOff && addr.startsWith('10.2.0.1') && path !== '/leases' && !path.endsWith('/touch')
      ? 'refuse'
      : 'deliver';
  };
  cluster.killNode(initialOwner);
  assert.ok(await cluster.clock.until(() => storeCutOff, 5000));
  await cluster.clock.advance(4000);
  assert.equal(
    (await cluster.call(standbyNode, 'GET', '/api/jobs/wk-1')).status,
    503,
    'the status is not known yet',
  );
  assert.equal(cluster.starts, 4);
  storeCutOff = false;
  cluster.net.outcomeOf = () => 'deliver';
  assert.ok(await cluster.submit(standbyNode, job('wk-2', { dueS: 900 })));
  await cluster.clock.advance(25_000);
  assert.equal(cluster.starts, 4);
  assert.ok(cluster.workers.every((worker) => worker.incarnation === 1));
});

test('loses and repeats no task in a rolling restart where each new owner was the standby', async () => {
  const cluster = await startInSyncCluster(8);
  for (let round = 0; round < 2; round++) {
    for (const n of NODES) {
      cluster.killNode(n);
      await cluster.clock.advance(4000);
      cluster.startNode(n);
      await cluster.clock.advance(8000);
    }
  }
  await cluster.clock.advance(25_000);
  assert.equal(cluster.starts, 4);
  assert.ok(cluster.workers.every((worker) => worker.incarnation === 1));
  assert.deepEqual(new Set([0, 1, 2].map((shard) => cluster.owner(shard))), new Set(NODES));
});

test('a version without standbys gets none for its shard, and takes over shards by lease expiry', async () => {
  const cluster = new FakeCluster(NODES);
  cluster.standby = ['n1', 'n2'];
  for (let i = 0; i < 6; i++) cluster.addWorker('c8', 'a');
  for (const n of NODES) cluster.startNode(n);
  await cluster.clock.advance(12_000);
  assert.deepEqual(
    [0, 1, 2].map((shard) => standby(cluster, shard)),
    [undefined, 'n2', 'n1'],
  );
  assert.ok(await cluster.submit('n0', job('wk-1', { pieces: 4, cpus: 8 })));
  assert.ok(await cluster.clock.until(() => cluster.attempts === 4, 15_000));
  cluster.killNode('n1');
  cluster.killNode('n2');
  assert.ok(
    await cluster.clock.until(() => [0, 1, 2].every((shard) => cluster.owner(shard) === 'n0'), 20_000),
  );
  cluster.startNode('n1');
  await cluster.clock.advance(20_000);
  assert.equal(cluster.owner(1), 'n1', 'handed back to its preferred node');
  await cluster.clock.advance(10_000);
  assert.equal(cluster.starts, 4);
  assert.ok(cluster.workers.every((worker) => worker.incarnation === 1));
});

test('takes over a shard of 1,400 tasks and 420 machines from its replica, and idle standbys read nothing from the store', async () => {
  const cluster = new FakeCluster(NODES);
  cluster.standby = true;
  cluster.teams = [{ name: 'red', cpus: 0, cpusMax: 0, gpus: 0, gpusMax: 0 }];
  let storeRequests = 0;
  let incarnationRequests = 0;
  let machineRequests = 0;
  const readFrom: number[] = [];
  cluster.net.outcomeOf = (_f, addr, _m, path) => {
    const since = /^\/watch\?under=act%2F&since=(\d+)&waitMs=0/.exec(path);
    if (since) readFrom.push(Number(since[1]));
    if (addr.startsWith('10.2.0.1') && !path.startsWith('/leases')) storeRequests++;
    if (addr.startsWith('10.1.')) machineRequests++;
    if (addr.startsWith('10.1.') && path === '/show') incarnationRequests++;
    return 'deliver';
  };
  for (const n of NODES) cluster.startNode(n);
  await cluster.clock.advance(6000);
  assert.ok([0, 1, 2].every((shard) => standby(cluster, shard)));
  storeRequests = 0;
  await cluster.clock.advance(20_000);
  // The only requests are each node's watch, which ends every 10 s.
  assert.ok(storeRequests <= 3 * 3, `${storeRequests} requests in 20 s at rest`);
  for (let i = 0; i < 420; i++) cluster.addWorker('c8', 'a');
  assert.ok(await cluster.submit('n0', job('wk-0', { cpus: 8 })));
  const shard = cluster.shardOf('wk-0');
  const shardMachines = () =>
    [...cluster.state.items].filter(
      ([key, i]) => key.startsWith('c/m/') && (i.value as { shard: number }).shard === shard,
    );
  for (let i = 1; i <= 14; i++)
    assert.ok(await cluster.submit('n0', job(`wk-${i}`, { pieces: 100, cpus: 8, expectedS: 600 })));
  assert.ok(
    await cluster.clock.until(() => cluster.attempts > 250, 40_000),
    `${cluster.attempts} run on ${shardMachines().length}`,
  );
  await cluster.clock.advance(8000);
  const [initialOwner, standbyNode] = [cluster.owner(shard)!, standby(cluster, shard)!];
  const before = cluster.attempts;
  const startsBefore = cluster.starts;
  const ownedMachines = shardMachines().length;
  const latestVersion = cluster.state.items.get('act/wk-14')!.version;
  readFrom.length = 0;
  [incarnationRequests, machineRequests, storeRequests] = [0, 0, 0];
  cluster.killNode(initialOwner);
  const killedAt = cluster.clock.now();
  assert.ok(await cluster.clock.until(() => cluster.owner(shard) === standbyNode, 4000));
  assert.ok(await cluster.submit(standbyNode, job('wk-99', { cpus: 8, dueS: 9000 })));
  assert.ok(
    cluster.clock.now() - killedAt < 3500,
    `${cluster.clock.now() - killedAt} ms to the first answer`,
  );
  assert.ok(
    readFrom.length > 0 && readFrom.every((r) => r >= latestVersion),
    'only changes of the last seconds are read',
  );
  assert.ok(storeRequests < 60, `${storeRequests} requests to the key-value store`);
  await cluster.clock.advance(1500);
  assert.ok(
    incarnationRequests < ownedMachines / 10,
    `${incarnationRequests} machines were asked for their incarnation`,
  );
  assert.ok(machineRequests >= ownedMachines, `${machineRequests} of ${ownedMachines} machines contacted`);
  await cluster.clock.advance(23_000);
  assert.ok(cluster.attempts >= before);
  assert.ok(cluster.starts - startsBefore <= 420 - before + 1, 'no running task was started again');
  assert.ok(cluster.workers.every((worker) => worker.incarnation === 1));
});

// Guards against obsolete start commands: while a start waits for the standby's acknowledgement, its job may be
// cancelled, or its machine may begin a new incarnation while the task is started elsewhere.
test('drops a start that waits for the standby when its job is cancelled or its machine begins a new incarnation', async () => {
  const cluster = await startInSyncCluster(6);
  const shard = cluster.shardOf('wk-1');
  const owner = cluster.owner(shard)!;
  const runOrders: string[] = [];
  cluster.net.outcomeOf = (_f, _a, _m, path, body) => {
    if (path === '/do') runOrders.push(JSON.stringify(body));
    return 'deliver';
  };
  cluster.workers.find((worker) => worker.isActive('wk-1/0'))!.endTask('wk-1/0', 'done');
  await cluster.clock.advance(3000);
  assert.ok(await cluster.submit(owner, job('wk-5', { cpus: 4 })));
  assert.ok(
    await cluster.clock.until(() => cluster.workers.some((worker) => worker.isActive('wk-5/0')), 5000),
  );
  cluster.lostAnswers.add('stand');
  assert.ok(await cluster.submit(owner, job('wk-6', { cpus: 4 })));
  await cluster.clock.advance(200);
  assert.ok(!runOrders.some((o) => o.includes('wk-6')), 'announced but not acknowledged');
  assert.equal((await cluster.call(owner, 'POST', '/api/jobs/wk-6/abort')).status, 200);
  cluster.lostAnswers.clear();
  await cluster.clock.advance(10_000);
  assert.ok(
    !runOrders.some((o) => o.includes('"verb":"run"') && o.includes('wk-6')),
    'the start order is never sent',
  );
  assert.equal(cluster.starts, 5);
  // The machines begin new incarnations while a start waits.
  cluster.lostAnswers.add('stand');
  assert.ok(await cluster.submit(owner, job('wk-7', { cpus: 4 })));
  await cluster.clock.advance(100);
  for (const worker of cluster.workers) {
    worker.lastHeartbeatSentAt = Number.NEGATIVE_INFINITY;
    worker.checkLease();
  }
  await cluster.clock.advance(300);
  cluster.lostAnswers.clear();
  await cluster.clock.advance(15_000);
  assert.equal(
    cluster.workers.filter((worker) => worker.isActive('wk-7/0')).length,
    1,
    'started exactly once',
  );
});

test('does not restart a task that was done but not stored as done when its owner crashed', async () => {
  const cluster = await startInSyncCluster(6);
  const shard = cluster.shardOf('wk-1');
  const initialOwner = cluster.owner(shard)!;
  const [first, second] = ['wk-1/0', 'wk-1/1'].map(
    (p) => cluster.workers.find((worker) => worker.isActive(p))!,
  );
  first!.endTask('wk-1/0', 'done');
  await cluster.clock.advance(1200);
  // The first completion has just been stored; the next one is batched with later ones.
  second!.endTask('wk-1/1', 'done');
  await cluster.clock.advance(1000);
  cluster.killNode(initialOwner);
  cluster.notSendingHeartbeats.add(second!);
  cluster.net.outcomeOf = (_f, addr) => (addr === second!.identity.addr ? 'silent' : 'deliver');
  await cluster.clock.advance(9000);
  assert.notEqual(cluster.owner(shard), initialOwner);
  assert.equal(cluster.starts, 4, 'the machine of the completed task does not answer yet');
  cluster.notSendingHeartbeats.delete(second!);
  cluster.net.outcomeOf = () => 'deliver';
  await cluster.clock.advance(8000);
  assert.equal(
    ((await cluster.call(cluster.owner(shard)!, 'GET', '/api/jobs/wk-1')).body as { done: number }).done,
    2,
  );
  assert.equal(cluster.starts, 4);
});
