import assert from 'node:assert/strict';
import { test } from 'node:test';
import { countRunningAttempts, jobStatus, NODES, startBusyCluster } from '../support/busy.js';
import { type FakeCluster, job, STATE } from '../support/cluster.js';

const CANCEL_MS = 45_000;

const writesEnd = (body: unknown, id: string) => JSON.stringify(body).includes(`"job/${id}"`);

/**
 * Polls a job at all nodes for `forMs`: once reported cancelled it must keep that status, and no attempt of it may
 * run after the time limit for cancellations. Returns when it was first reported cancelled.
 */
async function checkCancellationHolds(
  cluster: FakeCluster,
  id: string,
  forMs: number,
  confirmedAt: number | null = null,
): Promise<number> {
  const end = cluster.clock.now() + forMs;
  let abortedAt = confirmedAt;
  for (let i = 0; cluster.clock.now() < end; i++) {
    const node = NODES[i % 3]!;
    if (cluster.nodes.has(node)) {
      const answer = await jobStatus(cluster, node, id);
      if (answer === 'aborted') abortedAt ??= cluster.clock.now();
      else if (abortedAt !== null)
        assert.equal(typeof answer, 'number', `${id} was cancelled and is ${answer}`);
    }
    if (abortedAt !== null && cluster.clock.now() > abortedAt + CANCEL_MS)
      assert.equal(countRunningAttempts(cluster, id), 0, `${id} still runs`);
    await cluster.clock.advance(700);
  }
  assert.ok(abortedAt !== null, `no node reports ${id} as cancelled`);
  return abortedAt;
}

// Guards against a cancellation whose write got no answer but was executed, at once or seconds later.
// Any other node found the record and reported the job cancelled, while the owner kept renewing the leases of its
// tasks and reported it running.
test('a cancellation whose write has an unknown outcome ends the job without a second request', async () => {
  for (const fate of ['lost-answer', 7000] as const) {
    const { cluster, shard } = await startBusyCluster(2);
    const owner = cluster.owner(shard)!;
    const other = NODES.find((n) => n !== owner)!;
    let affectedWrites = 0;
    cluster.net.outcomeOf = (from, addr, _method, path, body) => {
      if (from !== owner || addr !== STATE) return 'deliver';
      // Affects the write and the reads that check its outcome.
      if (path === '/txn' && writesEnd(body, 'wk-1') && affectedWrites++ === 0) return fate;
      return affectedWrites > 0 && path.includes('job/wk-1') ? 'refuse' : 'deliver';
    };
    const reply = await cluster.call(other, 'POST', '/api/jobs/wk-1/abort');
    if (reply.status === 200)
      assert.ok(
        cluster.state.value('job/wk-1') && fate !== 'lost-answer',
        'confirmed only when the outcome is known',
      );
    assert.ok(affectedWrites > 0, 'the write was affected');
    assert.equal(countRunningAttempts(cluster, 'wk-1'), 0, 'the request alone stops the tasks');
    cluster.net.outcomeOf = () => 'deliver';
    await checkCancellationHolds(cluster, 'wk-1', CANCEL_MS + 10_000);
    assert.equal(cluster.owner(shard), owner);
    assert.equal(countRunningAttempts(cluster, 'wk-2'), 3, 'the job that was not cancelled still runs');
    assert.equal(await jobStatus(cluster, owner, 'wk-1'), 'aborted');
  }
});

// Guards against an owner that reports a job running after another node has read its end from the key-value store and
// reported it.
test('a completion whose write has an unknown outcome is never reported as unfinished again', async () => {
  const { cluster, shard } = await startBusyCluster(1);
  const owner = cluster.owner(shard)!;
  let affectedWrites = 0;
  cluster.net.outcomeOf = (from, addr, _method, path, body) => {
    if (from !== owner || addr !== STATE) return 'deliver';
    if (path === '/txn' && writesEnd(body, 'wk-1')) return affectedWrites++ === 0 ? 'lost-answer' : 'refuse';
    return affectedWrites > 0 && path.includes('job/wk-1') ? 'refuse' : 'deliver';
  };
  for (const w of cluster.workers) for (const a of [...w.attempts]) w.endTask(a.task, 'done');
  assert.ok(await cluster.clock.until(() => cluster.state.value('job/wk-1') !== undefined, 10_000));
  const others = NODES.filter((n) => n !== owner);
  assert.equal(await jobStatus(cluster, others[0]!, 'wk-1'), 'done');
  for (let i = 0; i < 12; i++) {
    for (const n of NODES) {
      const answer = await jobStatus(cluster, n, 'wk-1');
      assert.ok(answer === 'done' || typeof answer === 'number', `${n} reports ${answer}`);
    }
    if (i === 6) cluster.net.outcomeOf = () => 'deliver';
    await cluster.clock.advance(1000);
  }
  for (const n of NODES) assert.equal(await jobStatus(cluster, n, 'wk-1'), 'done');
});

/**
 * Sends a cancellation to a node without waiting; the result's `confirmedAt` is set when the user gets the
 * confirmation.
 */
function cancel(cluster: FakeCluster, node: string, id: string): { confirmedAt: number | null } {
  const confirmation: { confirmedAt: number | null } = { confirmedAt: null };
  void cluster.nodes
    .get(node)!
    .api.handle(cluster.request('POST', `/api/jobs/${id}/abort`))
    .then((reply) => {
      if (reply.status === 200) confirmation.confirmedAt = cluster.clock.now();
    });
  return confirmation;
}

// Guards against tasks that outlive a confirmed cancellation: the key-value store refuses the owner alone, another
// node confirms cancellations, and then the key-value store is down for all for longer than a cancellation may take,
// while machines still send heartbeats to the old owner. The time is bounded because the old owner gives up its
// shard before any other node can take it, and accepts no heartbeat with status 200 from then on.
test('tasks cancelled through another node are gone in time when an outage longer than the time limit follows', async () => {
  for (const mode of ['refused', 'refused, and no peer', 'lost in the last second'] as const) {
    const { cluster, shard } = await startBusyCluster(3);
    const [oldOwner, newOwner] = [
      cluster.owner(shard)!,
      (cluster.state.value(`c/stand/${shard}`) as { node: string }).node,
    ];
    const other = NODES.find((n) => n !== oldOwner && n !== newOwner)!;
    const confirmations = new Map<string, { confirmedAt: number | null }>();
    const acceptedHeartbeats: string[] = [];
    const { api } = cluster.nodes.get(oldOwner)!;
    const handle = api.handle.bind(api);
    let watching = false;
    api.handle = async (request) => {
      const reply = await handle(request);
      if (watching && request.path === '/v1/report' && reply.status === 200)
        acceptedHeartbeats.push(request.path);
      return reply;
    };
    cluster.state.refusedCallers.add(oldOwner);
    if (mode === 'refused, and no peer') cluster.isolatedNodes = new Set([oldOwner]);
    confirmations.set('wk-1', cancel(cluster, oldOwner, 'wk-1'));
    assert.ok(
      await cluster.clock.until(() => cluster.owner(shard) === newOwner, 9000),
      `another node owns the shard (${mode})`,
    );
    assert.equal(
      countRunningAttempts(cluster, 'wk-1'),
      0,
      'the request to the old owner is enough to stop the tasks',
    );
    watching = true;
    await cluster.clock.advance(300);
    if (mode === 'lost in the last second')
      cluster.net.outcomeOf = (_from, addr, _method, _path, body) =>
        addr === STATE && writesEnd(body, 'wk-2') ? 'lost-answer' : 'deliver';
    // The machines still send heartbeats to the old owner, and commands of the new owner do not reach them.
    const previousFate = cluster.net.outcomeOf;
    cluster.net.outcomeOf = (from, addr, ...rest) =>
      addr.startsWith('10.1.') ? 'silent' : previousFate(from, addr, ...rest);
    for (const id of ['wk-1', 'wk-2']) confirmations.set(id, cancel(cluster, other, id));
    await cluster.clock.advance(200);
    cluster.state.down = true;
    // The new owner does not know of the request to the old owner, and may have started that job again by now.
    const all = [...cluster.workers];
    const startedTasks = () => all.flatMap((w) => w.executedStarts).filter((t) => !t.startsWith('wk-3'));
    const startedBefore = startedTasks();
    const since = cluster.clock.now();
    if (mode !== 'lost in the last second')
      assert.ok(confirmations.get('wk-2')!.confirmedAt !== null, `another node confirmed it (${mode})`);
    else assert.ok(cluster.state.value('job/wk-2'), 'the end is stored and no node knows it');
    cluster.state.refusedCallers.delete(oldOwner);
    cluster.isolatedNodes = new Set();
    await cluster.clock.advance(57_000);
    watching = false;
    cluster.net.outcomeOf = () => 'deliver';
    cluster.state.endOutage();
    for (const id of ['wk-1', 'wk-2']) {
      assert.equal(
        countRunningAttempts(cluster, id),
        0,
        `${id} is gone ${Math.round((cluster.clock.now() - since) / 1000)} s later`,
      );
      await checkCancellationHolds(cluster, id, 20_000, confirmations.get(id)!.confirmedAt);
    }
    assert.deepEqual(acceptedHeartbeats, [], 'the old owner accepted no heartbeat');
    assert.deepEqual(startedTasks(), startedBefore, 'no task of the cancelled jobs was started again');
    assert.ok(
      await cluster.clock.until(() => countRunningAttempts(cluster, 'wk-3') === 3, 20_000),
      'the other job runs',
    );
  }
});

// Guards against completed tasks that a change of owner loses, runs again or counts too early. The completions are
// stored by the old owner, reported to the new one, or in flight at both, in a job whose tasks end far apart.
test('tasks that end before, during and after a change of owner each run once, and the last one ends the job', async () => {
  for (const change of ['crash', 'switch', 'freeze'] as const) {
    const { cluster, shard } = await startBusyCluster(1);
    const oldOwner = cluster.owner(shard)!;
    const workerOf = (task: string) => cluster.workers.find((w) => w.attempts.some((a) => a.task === task))!;
    const [first, second, third] = ['wk-1/0', 'wk-1/1', 'wk-1/2'].map(workerOf);
    first!.endTask('wk-1/0', 'done');
    assert.ok(
      await cluster.clock.until(() => cluster.state.value('act/wk-1/0') !== undefined, 6000),
      'the first completion is stored',
    );
    await cluster.clock.advance(3000);
    let delayedWrites = 0;
    cluster.net.outcomeOf = (from, addr, _method, path, body) => {
      if (from !== oldOwner || addr !== STATE || path !== '/txn') return 'deliver';
      if (!JSON.stringify(body).includes('"act/wk-1/0"')) return 'deliver';
      delayedWrites++;
      return 5000;
    };
    second!.endTask('wk-1/1', 'done');
    assert.ok(
      await cluster.clock.until(() => delayedWrites > 0, 6000),
      'the second completion is reported and its write is in flight',
    );
    let resume: () => void = () => undefined;
    if (change === 'crash') cluster.killNode(oldOwner);
    else if (change === 'freeze') resume = cluster.freeze(oldOwner);
    else void cluster.nodes.get(oldOwner)!.node.leave();
    const otherNodes = NODES.filter((n) => n !== oldOwner);
    assert.ok(
      await cluster.clock.until(
        () => cluster.owner(shard) !== undefined && cluster.owner(shard) !== oldOwner,
        9000,
      ),
      change,
    );
    for (let i = 0; i < 30; i++) {
      const answer = await jobStatus(cluster, otherNodes[i % 2]!, 'wk-1');
      assert.ok(
        answer !== 'done' && answer !== 404 && answer !== 'aborted',
        `${change}: reported ${answer} while a task runs`,
      );
      if (i === 12) resume();
      await cluster.clock.advance(600);
    }
    third!.endTask('wk-1/2', 'done');
    let done = false;
    await cluster.clock.until(() => {
      done = cluster.state.value('job/wk-1') !== undefined;
      return done;
    }, 8000);
    assert.ok(done, `${change}: the job is done with its last task`);
    for (const n of otherNodes) assert.equal(await jobStatus(cluster, n, 'wk-1'), 'done');
    assert.deepEqual(
      cluster.workers.flatMap((w) => w.executedStarts).sort(),
      ['wk-1/0', 'wk-1/1', 'wk-1/2'],
      'no task runs again',
    );
  }
});

// Guards against an owner that is cut off from the key-value store and the other nodes, and gives users who still
// reach it an outdated status: the new owner has accepted, ended and cancelled jobs since.
test('an owner that reaches only workers and users reports no status older than what the new owner has reported', async () => {
  const { cluster, shard } = await startBusyCluster(2);
  const oldOwner = cluster.owner(shard)!;
  const others = NODES.filter((n) => n !== oldOwner);
  cluster.state.refusedCallers.add(oldOwner);
  cluster.net.outcomeOf = (from, addr) => (from === oldOwner && addr === STATE ? 'silent' : 'deliver');
  cluster.isolatedNodes = new Set([oldOwner]);
  assert.ok(
    await cluster.clock.until(
      () => cluster.owner(shard) !== oldOwner && cluster.owner(shard) !== undefined,
      9000,
    ),
  );
  await cluster.clock.advance(1500);
  assert.equal((await cluster.call(others[0]!, 'POST', '/api/jobs/wk-1/abort')).status, 200);
  for (const w of cluster.workers)
    for (const a of [...w.attempts]) if (a.job === 'wk-2') w.endTask(a.task, 'done');
  assert.ok(await cluster.submit(others[1]!, job('wk-9', { cpus: 8 })));
  for (let i = 0; i < 9; i++) {
    for (const [id, final] of [
      ['wk-1', 'aborted'],
      ['wk-2', 'done'],
    ] as const) {
      const answer = await jobStatus(cluster, oldOwner, id);
      const ended = cluster.state.value(`job/${id}`) !== undefined;
      assert.ok(
        !ended || answer === final || answer === 503 || answer === 504,
        `${id} is ${answer} at the old owner`,
      );
    }
    assert.notEqual(await jobStatus(cluster, oldOwner, 'wk-9'), 404, 'another node has accepted it');
    await cluster.clock.advance(500);
  }
  cluster.state.refusedCallers.delete(oldOwner);
  cluster.net.outcomeOf = () => 'deliver';
  cluster.isolatedNodes = new Set();
  await cluster.clock.advance(12_000);
  assert.equal(await jobStatus(cluster, oldOwner, 'wk-1'), 'aborted');
  assert.equal(await jobStatus(cluster, oldOwner, 'wk-2'), 'done');
  assert.equal(countRunningAttempts(cluster, 'wk-1'), 0);
});
