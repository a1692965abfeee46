import assert from 'node:assert/strict';
import { test } from 'node:test';
import { countRunningAttempts, jobStatus, NODES, startBusyCluster } from '../support/busy.js';
import { FakeCluster, job, STATE } from '../support/cluster.js';
import { runFaultScenarios } from '../support/process.js';

const CANCEL_MS = 45_000;
const LEASE_MS = 20_000;

// Guards against a write whose answer is lost although it was executed, so that other nodes read a record whose
// outcome its writer does not know: for each kind of record that controllers write, with a change of owner and
// users who poll all nodes.
for (const [key, kind] of [
  ['act/', 'acceptances and done tasks'],
  ['job/', 'job ends'],
  ['c/own/', 'shard ownership'],
  ['c/lead', 'leadership'],
  ['c/stand/', 'standby records'],
  ['c/m/', 'machine records'],
  ['c/node/', 'node presence'],
  ['c/teams', 'team assignment'],
] as const) {
  test(`no rule is broken when answers to writes of ${kind} are lost while other nodes read the records`, async () => {
    const faultArgs = ['crash@20+5*1', 'called off at the end@10+40*0.4'].flatMap((fault) => [
      '--trouble',
      fault,
    ]);
    const { code, out } = await runFaultScenarios(
      '--from',
      '40',
      '--seeds',
      '2',
      '--lose',
      key,
      ...faultArgs,
    );
    const lost = Number(/(\d+) answers to writes/.exec(out)?.[1]);
    assert.ok(lost >= 2, `${lost} answers were lost`);
    assert.match(out, /2 meetings played, 0 with a broken rule/, out);
    assert.equal(code, 0);
  });
}

// Guards against usage that is counted too low while machines are unreachable, which would exceed a team's limit,
// and against usage that is counted too high for longer than their leases: with all teams at their limits, nothing
// could start during that time.
for (const failure of ['cut off', 'hung'] as const) {
  test(`keeps team limits when jobs are cancelled on ${failure} machines and the owner crashes`, async () => {
    const cluster = new FakeCluster(NODES);
    // The last team shares the shard of the first.
    cluster.teams = ['red', 'green', 'gray', 'blue'].map((name) => {
      const cpus = name === 'blue' ? 16 : 24;
      return { name, cpus, cpusMax: cpus, gpus: 0, gpusMax: 0 };
    });
    const limit = { red: 24, blue: 16 } as const;
    cluster.standby = true;
    cluster.cloudHasCapacity = true;
    for (let i = 0; i < 18; i++) cluster.addWorker('c8', 'a');
    for (const n of NODES) cluster.startNode(n);
    await cluster.clock.advance(8000);
    const jobs = { 'wk-1': 'red', 'wk-2': 'red', 'wk-3': 'blue', 'wk-4': 'blue' } as const;
    for (const [id, owner] of Object.entries(jobs)) {
      const pieces = owner === 'red' ? 3 : 2;
      assert.ok(await cluster.submit('n1', job(id, { owner, pieces, cpus: 8, expectedS: 600 })));
    }
    assert.ok(await cluster.clock.until(() => cluster.attempts === 5, 20_000));
    await cluster.clock.advance(4000);
    const shard = cluster.shardOf('wk-1');
    assert.equal(cluster.shardOf('wk-3'), shard, 'both teams share a shard');
    assert.equal(
      countRunningAttempts(cluster, 'wk-1') + countRunningAttempts(cluster, 'wk-3'),
      5,
      'both teams run at their limits',
    );
    const unreachable = cluster.workers.filter((w) => w.attempts.length > 0);
    const addrs = new Set(unreachable.map((w) => w.identity.addr));
    for (const w of unreachable) cluster.notSendingHeartbeats.add(w);
    const hungAt = cluster.clock.now();
    // A hung machine handles the requests sent to it when it resumes.
    const hungMs = 15_000;
    cluster.net.outcomeOf = (_from, addr) => {
      if (!addrs.has(addr)) return 'deliver';
      return failure === 'cut off' ? 'silent' : Math.max(0, hungAt + hungMs - cluster.clock.now()) + 50;
    };
    const oldOwner = cluster.owner(shard)!;
    for (const id of ['wk-1', 'wk-3'])
      assert.equal((await cluster.call(oldOwner, 'POST', `/api/jobs/${id}/abort`)).status, 200);
    const confirmedMs = cluster.clock.now();
    cluster.killNode(oldOwner);
    let resumed = false;
    const all = [...cluster.workers];
    const used = (team: string) =>
      all.reduce((n, w) => {
        w.checkLease();
        const active = w.attempts.filter(
          (a) => a.state !== 'exited' && jobs[a.job as keyof typeof jobs] === team,
        );
        return n + 8 * active.length;
      }, 0);
    let startedAt: number | null = null;
    for (let ms = 0; ms < CANCEL_MS + 5000; ms += 250) {
      await cluster.clock.advance(250);
      // Idle machines of other shards are returned during this time; machines that are rented boot at once.
      for (const w of cluster.workers) if (!all.includes(w)) cluster.notSendingHeartbeats.delete(w);
      for (const team of ['red', 'blue'] as const)
        assert.ok(used(team) <= limit[team], `${team} uses ${used(team)} after ${ms} ms`);
      if (
        startedAt === null &&
        countRunningAttempts(cluster, 'wk-2') === 3 &&
        countRunningAttempts(cluster, 'wk-4') === 2
      )
        startedAt = cluster.clock.now();
      if (failure === 'hung' && !resumed && cluster.clock.now() > hungAt + hungMs) {
        resumed = true;
        for (const w of unreachable) cluster.notSendingHeartbeats.delete(w);
        cluster.net.outcomeOf = () => 'deliver';
      }
    }
    assert.equal(
      countRunningAttempts(cluster, 'wk-1') + countRunningAttempts(cluster, 'wk-3'),
      0,
      'cancelled tasks are gone in time',
    );
    // The bound covers a failover, the remaining lease time after it, and the rental of machines.
    assert.ok(startedAt !== null, 'the other jobs start');
    assert.ok(startedAt - confirmedMs < LEASE_MS + 9000, `started after ${startedAt - confirmedMs} ms`);
    for (const n of NODES.filter((x) => x !== oldOwner)) {
      assert.equal(await jobStatus(cluster, n, 'wk-1'), 'aborted');
      assert.equal(await jobStatus(cluster, n, 'wk-2'), 'running');
    }
  });
}

// Guards against a cancellation that is lost between two owners: requested from the old owner, which may or may not
// have stored it, confirmed by the new owner, and then not enforced by either one on the job's tasks.
for (const change of ['switch', 'crash', 'cut from state'] as const) {
  test(`cancellations around a ${change} of the owner are each confirmed and never revoked`, async () => {
    const { cluster, shard } = await startBusyCluster(8);
    const oldOwner = cluster.owner(shard)!;
    const changeAt = cluster.clock.now() + 300;
    const confirmedAt = new Map<string, number>();
    // Like a user, repeats each request every second until it is answered, at each node in turn.
    const cancel = (id: string, at: number, turn: number): void => {
      cluster.clock.after(at - cluster.clock.now(), () => {
        const alive = NODES.filter((n) => cluster.nodes.has(n));
        const to = cluster.nodes.get(alive[turn % alive.length]!)!;
        let answered = false;
        void to.api.handle(cluster.request('POST', `/api/jobs/${id}/abort`)).then((r) => {
          if (to.stopped.value || r.status !== 200) return;
          answered = true;
          assert.equal((r.body as { status: string }).status, 'aborted');
          if (!confirmedAt.has(id)) confirmedAt.set(id, cluster.clock.now());
        });
        cluster.clock.after(
          1000,
          () => answered || confirmedAt.has(id) || cancel(id, cluster.clock.now(), turn + 1),
        );
      });
    };
    [-250, -60, -5, 5, 40, 150, 700].forEach((ms, i) => {
      cancel(`wk-${i + 1}`, changeAt + ms, i);
    });
    await cluster.clock.advance(300);
    if (change === 'crash') cluster.killNode(oldOwner);
    else if (change === 'switch') void cluster.nodes.get(oldOwner)!.node.leave();
    else cluster.state.refusedCallers.add(oldOwner);
    const askedNodes = NODES.filter((n) => change !== 'crash' || n !== oldOwner);
    for (let i = 0; i < 60; i++) {
      for (const id of [...confirmedAt.keys()]) {
        const answer = await jobStatus(cluster, askedNodes[i % askedNodes.length]!, id);
        assert.ok(
          answer === 'aborted' || answer === 503 || answer === 504,
          `${id} was cancelled and is ${answer}`,
        );
      }
      if (i === 30) cluster.state.refusedCallers.delete(oldOwner);
      await cluster.clock.advance(250);
    }
    assert.equal(confirmedAt.size, 7, 'all cancellations are confirmed');
    assert.notEqual(cluster.owner(shard), undefined);
    await cluster.clock.advance(
      Math.max(0, Math.max(...confirmedAt.values()) + CANCEL_MS - cluster.clock.now()),
    );
    for (let i = 1; i <= 7; i++) assert.equal(countRunningAttempts(cluster, `wk-${i}`), 0, `wk-${i} is gone`);
    assert.equal(countRunningAttempts(cluster, 'wk-8'), 3, 'the job that was not cancelled still runs');
    const startsOfLast = cluster.workers.flatMap((w) => w.executedStarts).filter((t) => t.startsWith('wk-8'));
    assert.equal(startsOfLast.length, 3, 'and its tasks were started once');
  });
}

// Guards against a lost answer to the write of a machine record after a rental: the owner took it for a failure of
// the cloud, the remaining machines got no records, and a machine that booted at once could get work from an owner
// that had not stored its record.
for (const fate of ['lost-answer', 7000, 'refuse'] as const) {
  test(`fast-booting machines have one owner and run each task once (writes of their records: ${fate})`, async () => {
    const cluster = new FakeCluster(NODES);
    cluster.teams = [{ name: 'red', cpus: 64, cpusMax: 0, gpus: 0, gpusMax: 0 }];
    cluster.standby = true;
    cluster.cloudHasCapacity = true;
    for (const n of NODES) cluster.startNode(n);
    await cluster.clock.advance(8000);
    let affectedWrites = 0;
    cluster.net.outcomeOf = (_from, addr, _method, path, body) => {
      if (addr !== STATE || path !== '/txn') return 'deliver';
      const { writes } = body as { writes: { set?: string }[] };
      return writes.some((w) => w.set?.startsWith('c/m/')) && affectedWrites++ < 2 ? fate : 'deliver';
    };
    const wire = { pieces: 3, cpus: 8, expectedS: 600 };
    assert.ok(await cluster.submit('n1', job('wk-1', wire)));
    assert.ok(await cluster.clock.until(() => cluster.workers.length >= 3, 20_000), 'machines are rented');
    const shard = cluster.shardOf('wk-1');
    // All rented machines boot within two seconds.
    const bootAll = () => {
      for (const w of cluster.workers) cluster.notSendingHeartbeats.delete(w);
      cluster.clock.after(1500, bootAll);
    };
    cluster.clock.after(1500, bootAll);
    await cluster.clock.advance(2500);
    assert.ok(affectedWrites > 0, 'writes of machine records were affected');
    const oldOwner = cluster.owner(shard)!;
    cluster.killNode(oldOwner);
    await cluster.clock.advance(6000);
    cluster.startNode(oldOwner);
    await cluster.clock.until(() => countRunningAttempts(cluster, 'wk-1') === 3, 40_000);
    await cluster.clock.advance(LEASE_MS);
    assert.equal(countRunningAttempts(cluster, 'wk-1'), 3);
    const started = cluster.workers.flatMap((w) => w.executedStarts);
    assert.equal(started.length, new Set(started).size, `no task was started twice: ${started}`);
    const rented = cluster.rented.reduce((n, r) => n + r.count, 0);
    assert.ok(rented <= 6, `${rented} machines were rented for three tasks`);
    const shards = cluster.workers.map(
      (w) => (cluster.state.value(`c/m/${w.id}`) as { shard: number } | undefined)?.shard,
    );
    for (const [i, w] of cluster.workers.entries())
      if (w.attempts.length > 0) assert.equal(shards[i], shard, `${w.id} has work and belongs to the shard`);
  });
}

// Guards against stale heartbeats that give a new owner outdated state: of an earlier worker incarnation, of a machine
// that has been released or has crashed, or of tasks that have ended since.
test('stale heartbeats that reach every controller during a failover change nothing', async () => {
  const { cluster, shard } = await startBusyCluster(3);
  const heartbeats: object[] = [];
  cluster.onHeartbeat = (r) => void heartbeats.push(JSON.parse(JSON.stringify(r)));
  await cluster.clock.advance(4000);
  const [ended, silent, removed] = cluster.workers as [
    (typeof cluster.workers)[0],
    (typeof cluster.workers)[0],
    (typeof cluster.workers)[0],
  ];
  const task = ended.attempts[0]!.task;
  ended.endTask(task, 'done');
  await cluster.clock.advance(3000);
  // Ends the incarnation of one machine by expiry of its lease, and removes another machine.
  cluster.notSendingHeartbeats.add(silent);
  await cluster.clock.advance(LEASE_MS + 3000);
  cluster.notSendingHeartbeats.delete(silent);
  cluster.remove(removed);
  await cluster.clock.advance(LEASE_MS + 4000);
  const before = new Map(
    cluster.workers.map((w) => [
      w.id,
      w.attempts.filter((a) => a.state !== 'exited').map((a) => `${a.task}#${a.attempt}`),
    ]),
  );
  const oldOwner = cluster.owner(shard)!;
  const replayed = heartbeats.slice(0, 60);
  cluster.onHeartbeat = null;
  cluster.killNode(oldOwner);
  let deliveries = 0;
  const term = cluster.state.items.get(`c/own/${shard}`)!.version;
  for (let i = 0; i < 1000 && deliveries < 4; i++) {
    await cluster.clock.advance(20);
    const now = cluster.state.items.get(`c/own/${shard}`)?.version;
    if (now === undefined || now === term) continue;
    // Delivers them at once after the failover, and again while the new owner contacts its machines.
    deliveries++;
    for (const report of replayed)
      for (const { api } of cluster.nodes.values())
        void api.handle(cluster.request('POST', '/v1/report', report));
  }
  assert.equal(deliveries, 4);
  await cluster.clock.advance(LEASE_MS + 12_000);
  for (const w of cluster.workers) {
    const attemptsBefore = before.get(w.id) ?? [];
    const attemptsAfter = w.attempts.filter((a) => a.state !== 'exited').map((a) => `${a.task}#${a.attempt}`);
    for (const a of attemptsBefore) assert.ok(attemptsAfter.includes(a), `${a} still runs on ${w.id}`);
  }
  const runningTasks = cluster.workers.flatMap((w) =>
    w.attempts.filter((a) => a.state !== 'exited').map((a) => a.task),
  );
  assert.equal(runningTasks.length, new Set(runningTasks).size, 'no task is on two machines');
  assert.ok(!runningTasks.includes(task), 'the ended task does not run again');
  assert.equal(
    cluster.state.value(`c/m/${removed.id}`) && cluster.workers.some((w) => w.id === removed.id),
    false,
  );
  for (const id of ['wk-1', 'wk-2', 'wk-3']) {
    const answer = await jobStatus(cluster, NODES.find((n) => n !== oldOwner)!, id);
    assert.equal(answer, 'running');
  }
});
