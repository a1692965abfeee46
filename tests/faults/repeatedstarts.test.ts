import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ExitCause } from '../../src/wire/workers.js';
import { readCommands, WORKER_PATHS } from '../../src/wire/workers.js';
import { FakeCluster, job, LEASE_S } from '../support/cluster.js';
import type { SentRequest } from '../support/net.js';
import { runFaultScenarios } from '../support/process.js';

const LEASE_MS = LEASE_S * 1000;

/** Records the requests by which workers have started tasks, by task. */
function recordStarts(cluster: FakeCluster): Map<string, SentRequest> {
  const startRequests = new Map<string, SentRequest>();
  cluster.net.onAnswered = (request, response) => {
    if (request.path !== WORKER_PATHS.commands || response.status !== 200) return;
    for (const command of readCommands(request.body)?.commands ?? [])
      if (command.op === 'start' && !startRequests.has(`${command.job}/${command.index}`))
        startRequests.set(`${command.job}/${command.index}`, request);
  };
  return startRequests;
}

// Guards against `ran_twice` (review case 4): the network repeated a start that had been carried out, after the task was
// preempted, forgotten by its machine and started on another one. The first machine started it again, since the fencing
// token of that request was still the machine's.
test('a repeated start of a task that has moved to another machine is refused', async () => {
  const cluster = new FakeCluster(['n0']);
  cluster.objectives = [];
  const startRequests = recordStarts(cluster);
  const [first, second] = [cluster.addWorker('c8', 'a'), cluster.addWorker('c8', 'b')];
  cluster.startNode('n0');
  await cluster.clock.advance(6000);
  assert.ok(await cluster.submit('n0', job('wk-1', { cpus: 8, yard: 'b' })));
  assert.ok(await cluster.clock.until(() => second.isActive('wk-1/0'), 10_000));
  assert.ok(await cluster.submit('n0', job('wk-2', { cpus: 8, urgency: 'low' })));
  assert.ok(await cluster.clock.until(() => first.isActive('wk-2/0'), 10_000));
  assert.ok(await cluster.submit('n0', job('wk-3', { cpus: 8, yard: 'a', urgency: 'urgent' })));
  assert.ok(await cluster.clock.until(() => first.isActive('wk-3/0'), 20_000), 'the urgent job preempts');
  second.endTask('wk-1/0', 'done');
  assert.ok(await cluster.clock.until(() => second.isActive('wk-2/0'), 20_000), 'the low job has moved');
  first.endTask('wk-3/0', 'done');
  assert.ok(await cluster.clock.until(() => first.attempts.length === 0, LEASE_MS), 'all is forgotten');
  const response = await cluster.net.repeat(startRequests.get('wk-2/0')!);
  assert.equal(response?.status, 409);
  assert.ok(second.isActive('wk-2/0'));
  assert.ok(!first.isActive('wk-2/0'), 'the task is not on both machines');
});

// Guards against starts after a confirmed cancellation and against use above a team's limit, by the same fault: whatever
// ended an attempt, its machine must not forget it before its start is void. In the shard of this job nothing else is
// written, so that the owner has to renew the fencing token by a write of its own.
for (const end of ['done', 'error', 'cancelled'] as const) {
  test(`a repeated start of an attempt that has ended (${end}) is refused, and the attempt is forgotten in time`, async () => {
    const cluster = new FakeCluster(['n0']);
    cluster.objectives = [];
    const startRequests = recordStarts(cluster);
    const worker = cluster.addWorker('c8', 'a');
    cluster.startNode('n0');
    await cluster.clock.advance(6000);
    assert.ok(await cluster.submit('n0', job('wk-1', { pieces: 2, cpus: 4 })));
    assert.ok(await cluster.clock.until(() => worker.isActive('wk-1/0'), 10_000));
    const { attempt } = worker.attempts.find((a) => a.index === 0)!;
    if (end === 'cancelled') await cluster.call('n0', 'POST', '/api/jobs/wk-1/abort');
    else worker.endTask('wk-1/0', end satisfies ExitCause);
    const isForgotten = () => !worker.attempts.some((a) => a.index === 0 && a.attempt === attempt);
    assert.ok(await cluster.clock.until(isForgotten, LEASE_MS), 'the attempt is forgotten within a lease');
    const startsBefore = worker.executedStarts.length;
    const response = await cluster.net.repeat(startRequests.get('wk-1/0')!);
    assert.equal(response?.status, 409);
    assert.equal(worker.executedStarts.length, startsBefore);
  });
}

// Guards against starts that are refused because the token was raised while they were on their way: each would cost a
// plan and, for a gang, a new attempt of all its tasks.
test('no command is refused while tokens are raised on slow links', async () => {
  const cluster = new FakeCluster(['n0']);
  cluster.objectives = [];
  cluster.linkDelayMs = () => 350;
  const answers = new Map<number, number>();
  cluster.net.onAnswered = (request, response) => {
    if (request.path === WORKER_PATHS.commands)
      answers.set(response.status, (answers.get(response.status) ?? 0) + 1);
  };
  const workers = [1, 2, 3, 4].map(() => cluster.addWorker('c8', 'a'));
  cluster.startNode('n0');
  await cluster.clock.advance(8000);
  answers.clear();
  const tokens = new Set<number>();
  for (let round = 0; round < 60; round++) {
    await cluster.call('n0', 'POST', '/api/jobs', job(`wk-${round}`, { cpus: 4, expectedS: 3 }));
    for (const worker of workers) {
      tokens.add(worker.fencingToken);
      const running = worker.attempts.find((a) => a.state === 'running');
      if (running && round % 2 === 0) worker.endTask(running.task, 'done');
    }
    await cluster.clock.advance(700);
  }
  assert.ok(tokens.size > 10, `${tokens.size} tokens were seen`);
  assert.ok((answers.get(200) ?? 0) > 20);
  assert.equal(answers.get(409) ?? 0, 0, 'no command was refused');
});

// The same fault beside others: during random faults, half of the commands that were carried out are repeated up to a
// minute later. No repeat may start anything, and no rule may break. `npm run check:meetings -- --with KIND@AT+FOR*SHARE
// --seeds N` runs more seeds.
test('no repeated start is carried out, and no rule is broken, in 5 random fault scenarios from seed 501', async () => {
  const { code, out } = await runFaultScenarios(
    ...['--from', '501', '--seeds', '5', '--with', 'repeated orders@2+90*0.5'],
  );
  assert.match(out, /5 meetings played, 0 with a broken rule/, out);
  const repeated = Number(/(\d+) starts repeated/.exec(out)?.[1]);
  assert.ok(repeated > 20, `${repeated} starts were repeated`);
  assert.equal(code, 0);
});
