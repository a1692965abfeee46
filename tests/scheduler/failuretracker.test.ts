import assert from 'node:assert/strict';
import { test } from 'node:test';
import pino from 'pino';
import { type Job, makeJob } from '../../src/jobs/job.js';
import { FailureTracker } from '../../src/scheduler/failuretracker.js';
import { readJob } from '../../src/wire/users.js';
import { MAX_CONSECUTIVE_ERRORS, type Machine } from '../../src/workers/machine.js';
import { FakeCluster, job } from '../support/cluster.js';

function createTracker(jobs: string[], machines: string[]) {
  const jobsById = new Map<string, Job>();
  for (const [i, id] of jobs.entries()) {
    const spec = readJob(job(id, { pieces: 8 }));
    assert.ok(typeof spec !== 'string');
    const record = { accepted: 0, deadline: 0, order: i, fresh: true, version: 1 };
    jobsById.set(id, makeJob(spec, record, { team: 0, types: null, zone: null, image: 0, match: null }));
  }
  const machinesById = new Map(
    machines.map((id) => [id, { id, consecutiveErrors: 0, quarantinedUntil: 0 } as Machine]),
  );
  const tracker = new FailureTracker(jobsById, machinesById, pino({ level: 'silent' }));
  const reportFailure = (id: string, on: string, at: number) =>
    tracker.onTaskFailed(jobsById.get(id)!, machinesById.get(on)!, at);
  return { jobs: jobsById, machines: machinesById, tracker, reportFailure };
}

// Guards against quarantining and returning healthy machines because of a job that was submitted with a mistake.
test('failures of one job on several machines quarantine the job and clear the machines', () => {
  const { jobs, machines, tracker, reportFailure } = createTracker(['wk-1'], ['a', 'b', 'c', 'd']);
  const faultyJob = jobs.get('wk-1')!;
  for (let i = 0; i < 4; i++) reportFailure('wk-1', 'a', 1000);
  assert.equal(machines.get('a')!.consecutiveErrors, 1, 'simultaneous failures of one job count once');
  assert.ok(machines.get('a')!.quarantinedUntil > 1000);
  reportFailure('wk-1', 'b', 1100);
  assert.equal(faultyJob.quarantined, false);
  reportFailure('wk-1', 'c', 1200);
  assert.equal(faultyJob.quarantined, true);
  for (const id of ['a', 'b', 'c']) assert.equal(machines.get(id)!.quarantinedUntil, 0);
  const firstRetryAt = faultyJob.notBefore;
  reportFailure('wk-1', 'd', 1300);
  assert.equal(faultyJob.notBefore, firstRetryAt, 'failures in the same retry round do not extend the delay');
  assert.equal(machines.get('d')!.consecutiveErrors, 0);
  reportFailure('wk-1', 'd', firstRetryAt + 10);
  assert.ok(
    faultyJob.notBefore - (firstRetryAt + 10) >= 2 * (firstRetryAt - 1200),
    'the retry delay doubles',
  );
  tracker.onTaskSucceeded(faultyJob, machines.get('d')!);
  assert.equal(faultyJob.quarantined, false);
  assert.equal(faultyJob.notBefore, 0, 'a success ends the retry delay');
});

test('failures of several jobs on one machine count against the machine, even if one job failed on three such machines', () => {
  const { jobs, machines, reportFailure } = createTracker(['wk-1', 'wk-2', 'wk-3', 'wk-4'], ['a', 'b', 'c']);
  reportFailure('wk-2', 'a', 0);
  reportFailure('wk-3', 'b', 0);
  reportFailure('wk-1', 'a', 100);
  reportFailure('wk-1', 'b', 200);
  assert.equal(machines.get('a')!.consecutiveErrors, MAX_CONSECUTIVE_ERRORS);
  assert.equal(machines.get('b')!.consecutiveErrors, MAX_CONSECUTIVE_ERRORS);
  reportFailure('wk-1', 'c', 300);
  reportFailure('wk-4', 'c', 400);
  assert.ok(
    [...jobs.values()].every((j) => !j.quarantined),
    'a job that failed only on faulty machines is not quarantined',
  );
  assert.equal(machines.get('c')!.consecutiveErrors, MAX_CONSECUTIVE_ERRORS);
});

test('a job that fails everywhere causes no rentals, is retried with one task, delays no other job and can be cancelled', async () => {
  const cluster = new FakeCluster(['n0']);
  const machines = [1, 2, 3, 4].map(() => cluster.addWorker('c8', 'a'));
  cluster.startNode('n0');
  await cluster.clock.advance(6000);
  let running = 0;
  let maxRunning = 0;
  cluster.clock.after(10, function fail() {
    running = 0;
    for (const w of machines) {
      for (const p of w.attempts) {
        if (!p.task.startsWith('wk-1/') || p.state !== 'running') continue;
        running++;
        w.endTask(p.task, 'error');
      }
    }
    maxRunning = Math.max(maxRunning, running);
    cluster.clock.after(700, fail);
  });
  assert.ok(await cluster.submit('n0', job('wk-1', { pieces: 30, cpus: 8 })));
  await cluster.clock.advance(20_000);
  const rentedBefore = cluster.rented.length;
  assert.equal(cluster.released.length, 0, 'its failures cause no machine to be returned');
  const startCount = () =>
    machines.reduce((n, w) => n + w.executedStarts.filter((p) => p.startsWith('wk-1/')).length, 0);
  const startsBefore = startCount();
  maxRunning = 0;
  assert.ok(await cluster.submit('n0', job('wk-2', { pieces: 4, cpus: 8 })));
  assert.ok(
    await cluster.clock.until(
      () =>
        machines.every(
          (w) =>
            w.isActive(`wk-2/${machines.indexOf(w)}`) || w.attempts.some((p) => p.task.startsWith('wk-2/')),
        ),
      4000,
    ),
  );
  for (const w of machines)
    for (const p of w.attempts) if (p.task.startsWith('wk-2/')) w.endTask(p.task, 'done');
  await cluster.clock.advance(60_000);
  assert.ok(maxRunning <= 1, `${maxRunning} at once`);
  assert.ok(
    startCount() > startsBefore && startCount() - startsBefore <= 6,
    `${startCount() - startsBefore} more starts`,
  );
  assert.equal(cluster.rented.length, rentedBefore);
  const reply = await cluster.call('n0', 'POST', '/api/jobs/wk-1/abort');
  assert.equal((reply.body as { status: string }).status, 'aborted');
});
