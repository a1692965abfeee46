import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Random } from '../../src/emulator/random.js';
import { FakeCluster, job, LEASE_S } from '../support/cluster.js';

const NODES = ['n0', 'n1', 'n2'];

/** Delivers an old heartbeat to a node; the response is not awaited. */
function deliverHeartbeat(cluster: FakeCluster, node: string, report: object): void {
  void cluster.nodes.get(node)?.api.handle(cluster.request('POST', '/v1/report', report));
}

// Guards against plans on machines that no longer exist: a duplicate of an old heartbeat made the leader assign the
// machine to a shard again, and jobs with deadlines were accepted on the strength of its capacity until it counted as
// failed to boot.
test('a duplicate of an old heartbeat does not bring back a returned machine, also after a change of leader', async () => {
  const cluster = new FakeCluster(NODES);
  cluster.objectives = [];
  for (const n of NODES) cluster.startNode(n);
  const worker = cluster.addWorker('c8', 'a');
  await cluster.clock.advance(5000);
  assert.ok(cluster.state.value(`c/m/${worker.id}`));
  const report = worker.report();
  assert.ok(await cluster.clock.until(() => cluster.released.includes(worker.id), 120_000));
  await cluster.clock.advance(3000);
  cluster.net.peers.delete(worker.identity.addr);
  for (const restart of [false, true]) {
    if (restart) {
      for (const n of NODES) cluster.killNode(n);
      for (const n of NODES) cluster.startNode(n);
      await cluster.clock.advance(15_000);
    }
    for (let i = 0; i < 20; i++) {
      for (const n of NODES) deliverHeartbeat(cluster, n, report);
      await cluster.clock.advance(500);
      assert.equal(
        cluster.state.value(`c/m/${worker.id}`),
        undefined,
        `not assigned to a shard (restarted: ${restart})`,
      );
    }
  }
  // Another machine may have that address now, and gets at most one status request per duplicate.
  let asked = 0;
  cluster.net.peers.set(worker.identity.addr, () => ({
    status: 200,
    body: { ...report, worker: `m-${++asked}` },
  }));
  deliverHeartbeat(cluster, 'n0', report);
  await cluster.clock.advance(10_000);
  assert.equal(asked, 1);
  cluster.net.peers.delete(worker.identity.addr);
  const real = cluster.addWorker('c8', 'a');
  assert.ok(await cluster.clock.until(() => cluster.state.value(`c/m/${real.id}`) !== undefined, 15_000));
});

// Guards against a heartbeat from before a task started or ended, by which the task would count as ended or as
// still running.
test('a duplicate heartbeat from before a start does not end the task, and one from an ended incarnation does not restore it', async () => {
  const cluster = new FakeCluster(['n0']);
  const [first, second] = [cluster.addWorker('c8', 'a'), cluster.addWorker('c8', 'a')];
  cluster.startNode('n0');
  await cluster.clock.advance(6000);
  assert.ok(await cluster.submit('n0', job('wk-0', { cpus: 8 })));
  assert.ok(await cluster.clock.until(() => [first, second].some((m) => m.isActive('wk-0/0')), 10_000));
  await cluster.clock.advance(2000);
  const target = first.isActive('wk-0/0') ? second : first;
  const heartbeatBefore = target.report();
  assert.ok(await cluster.submit('n0', job('wk-1', { cpus: 8, saveEveryS: 0 })));
  assert.ok(await cluster.clock.until(() => target.isActive('wk-1/0'), 10_000));
  await cluster.clock.advance(2000);
  const spare = cluster.addWorker('c8', 'b');
  await cluster.clock.advance(5000);
  const heartbeatAfter = target.report();
  for (let i = 0; i < 5; i++) {
    deliverHeartbeat(cluster, 'n0', heartbeatBefore);
    await cluster.clock.advance(300);
  }
  assert.deepEqual(
    [target, spare].map((x) => x.executedStarts.length),
    [1, 0],
    'the task still runs on its machine',
  );
  // The machine's lease expires, and its task waits for free capacity.
  assert.ok(await cluster.submit('n0', job('wk-2', { cpus: 8, urgency: 'production' })));
  assert.ok(await cluster.clock.until(() => spare.isActive('wk-2/0'), 10_000));
  cluster.notSendingHeartbeats.add(target);
  cluster.net.outcomeOf = (_from, addr) => (addr === target.identity.addr ? 'refuse' : 'deliver');
  target.lastHeartbeatSentAt = Number.NEGATIVE_INFINITY;
  target.checkLease();
  deliverHeartbeat(cluster, 'n0', target.report());
  await cluster.clock.advance(10);
  deliverHeartbeat(cluster, 'n0', heartbeatAfter);
  await cluster.clock.advance(10);
  const reply = await cluster.call('n0', 'GET', '/api/jobs/wk-1');
  assert.equal((reply.body as { running: number }).running, 0, 'the job has no running task any more');
});

// Guards against heartbeats that are applied after they became stale: duplicates that arrive between seconds and
// three lease durations late, during restarts within a fraction of a second, handovers to standbys, elections, and
// new worker incarnations.
test('duplicates of heartbeats that arrive late restore no task, end none, and cause no wrong status', async () => {
  for (const seed of [1, 2, 3, 4, 5, 6]) {
    const random = new Random(seed);
    const pick = <T>(list: readonly T[]) => list[Math.floor(random.next() * list.length)]!;
    const cluster = new FakeCluster(NODES);
    cluster.teams = ['red', 'blue'].map((name) => ({ name, cpus: 32, cpusMax: 40, gpus: 0, gpusMax: 0 }));
    cluster.standby = seed % 2 === 0;
    const heartbeats: object[] = [];
    cluster.onHeartbeat = (r) => heartbeats.push(r);
    for (let i = 0; i < 9; i++) cluster.addWorker('c8', 'a');
    for (const n of NODES) cluster.startNode(n);
    await cluster.clock.advance(8000);
    const tasks = new Map<string, number>();
    const ended = new Set<string>();
    const reportedDone = new Set<string>();
    const lastStatus = new Map<string, string>();
    const checkJob = async (id: string) => {
      const node = pick([...cluster.nodes.keys()]);
      const reply = await cluster.call(node, 'GET', `/api/jobs/${id}`);
      if (reply.status !== 200) return;
      const { status, done: n } = reply.body as { status: string; done: number };
      const completed = [...ended].filter((t) => t.startsWith(`${id}/`)).length;
      assert.ok(n <= completed, `${id}: ${n} tasks are reported done, and ${completed} are`);
      if (status === 'done') assert.equal(completed, tasks.get(id), `${id} is reported done`);
      if (lastStatus.get(id) === 'done') assert.equal(status, 'done', `${id} was reported done before`);
      lastStatus.set(id, status);
      if (status === 'done') reportedDone.add(id);
    };
    for (let round = 0; round < 150; round++) {
      if (round % 12 === 0 && round < 120) {
        const id = `wk-${round}`;
        tasks.set(id, 3);
        const owner = pick(['red', 'blue']);
        assert.ok(
          await cluster.submit(pick([...cluster.nodes.keys()]), job(id, { owner, pieces: 3, cpus: 4 })),
        );
      }
      for (let i = 0; i < 8 && heartbeats.length > 0; i++) {
        const age = 1 + Math.floor(random.next() ** 3 * 9 * 3 * LEASE_S);
        deliverHeartbeat(
          cluster,
          pick([...cluster.nodes.keys()]),
          heartbeats[Math.max(0, heartbeats.length - age)]!,
        );
      }
      for (const worker of cluster.workers) {
        const a = worker.attempts.find((x) => x.state === 'running');
        if (a && random.next() < 0.08) {
          ended.add(a.task);
          worker.endTask(a.task, 'done');
        }
      }
      if (round < 110 && random.next() < 0.06) {
        const n = pick(NODES);
        cluster.killNode(n);
        await cluster.clock.advance(100 + random.next() * 700);
        cluster.startNode(n);
      }
      if (round < 110 && random.next() < 0.04) {
        const reset = pick(cluster.workers);
        reset.lastHeartbeatSentAt = Number.NEGATIVE_INFINITY;
        reset.checkLease();
      }
      await cluster.clock.advance(1000);
      const placedOn = new Map<string, string>();
      for (const worker of cluster.workers)
        for (const a of worker.attempts) {
          if (a.state === 'exited') continue;
          assert.equal(
            placedOn.get(a.task),
            undefined,
            `${a.task} is on ${worker.id} and ${placedOn.get(a.task)}, seed ${seed}`,
          );
          placedOn.set(a.task, worker.id);
        }
      await checkJob(pick([...tasks.keys()]));
    }
    for (let round = 0; round < 150 && reportedDone.size < tasks.size; round++) {
      for (const worker of cluster.workers)
        for (const a of [...worker.attempts]) {
          if (a.state !== 'running') continue;
          ended.add(a.task);
          worker.endTask(a.task, 'done');
        }
      await cluster.clock.advance(1000);
      for (const id of tasks.keys()) if (!reportedDone.has(id)) await checkJob(id);
    }
    assert.deepEqual(
      [...tasks.keys()].filter((id) => !reportedDone.has(id)),
      [],
      `seed ${seed}`,
    );
  }
});
