import assert from 'node:assert/strict';
import { test } from 'node:test';
import pino from 'pino';
import { type Job, makeJob } from '../../src/jobs/job.js';
import { FailureTracker } from '../../src/scheduler/failuretracker.js';
import { readJob } from '../../src/wire/users.js';
import { MAX_CONSECUTIVE_ERRORS, type Machine } from '../../src/workers/machine.js';
import { FakeCluster, job } from '../support/cluster.js';

function setting(jobs: string[], machines: string[]) {
  const j = new Map<string, Job>();
  for (const [i, id] of jobs.entries()) {
    const spec = readJob(job(id, { pieces: 8 }));
    assert.ok(typeof spec !== 'string');
    const record = { accepted: 0, deadline: 0, order: i, fresh: true, version: 1 };
    j.set(id, makeJob(spec, record, { team: 0, types: null, zone: null, image: 0, match: null }));
  }
  const m = new Map(machines.map((id) => [id, { id, consecutiveErrors: 0, quarantinedUntil: 0 } as Machine]));
  const failures = new FailureTracker(j, m, pino({ level: 'silent' }));
  const fails = (id: string, on: string, at: number) => failures.onTaskFailed(j.get(id)!, m.get(on)!, at);
  return { jobs: j, machines: m, failures, fails };
}

// Guards against good machines closed and given back for a job that was submitted with a mistake.
test('failures on several machines speak against the job, and clear the machines', () => {
  const { jobs, machines, failures, fails } = setting(['wk-1'], ['a', 'b', 'c', 'd']);
  const bad = jobs.get('wk-1')!;
  for (let i = 0; i < 4; i++) fails('wk-1', 'a', 1000);
  assert.equal(machines.get('a')!.consecutiveErrors, 1, 'four failures of one job at once are one');
  assert.ok(machines.get('a')!.quarantinedUntil > 1000);
  fails('wk-1', 'b', 1100);
  assert.equal(bad.quarantined, false);
  fails('wk-1', 'c', 1200);
  assert.equal(bad.quarantined, true);
  for (const id of ['a', 'b', 'c']) assert.equal(machines.get(id)!.quarantinedUntil, 0);
  const first = bad.notBefore;
  fails('wk-1', 'd', 1300);
  assert.equal(bad.notBefore, first, 'the same round');
  assert.equal(machines.get('d')!.consecutiveErrors, 0);
  fails('wk-1', 'd', first + 10);
  assert.ok(bad.notBefore - (first + 10) >= 2 * (first - 1200), 'ever less often');
  failures.onTaskSucceeded(bad, machines.get('d')!);
  assert.equal(bad.quarantined, false);
  assert.equal(bad.notBefore, 0, 'soon again when it turns out good');
});

test('failures of several jobs on one machine speak against the machine, also where a job met three such', () => {
  const { jobs, machines, fails } = setting(['wk-1', 'wk-2', 'wk-3', 'wk-4'], ['a', 'b', 'c']);
  fails('wk-2', 'a', 0);
  fails('wk-3', 'b', 0);
  fails('wk-1', 'a', 100);
  fails('wk-1', 'b', 200);
  assert.equal(machines.get('a')!.consecutiveErrors, MAX_CONSECUTIVE_ERRORS);
  assert.equal(machines.get('b')!.consecutiveErrors, MAX_CONSECUTIVE_ERRORS);
  fails('wk-1', 'c', 300);
  fails('wk-4', 'c', 400);
  assert.ok(
    [...jobs.values()].every((j) => !j.quarantined),
    'a gang on sick machines keeps its aim',
  );
  assert.equal(machines.get('c')!.consecutiveErrors, MAX_CONSECUTIVE_ERRORS);
});

test('a job that fails everywhere rents nothing, is tried with one task, keeps nobody waiting, and can be cancelled', async () => {
  const c = new FakeCluster(['n0']);
  const machines = [1, 2, 3, 4].map(() => c.addWorker('c8', 'a'));
  c.startNode('n0');
  await c.clock.advance(6000);
  let running = 0;
  let most = 0;
  c.clock.after(10, function fail() {
    running = 0;
    for (const w of machines) {
      for (const p of w.attempts) {
        if (!p.task.startsWith('wk-1/') || p.state !== 'running') continue;
        running++;
        w.end(p.task, 'error');
      }
    }
    most = Math.max(most, running);
    c.clock.after(700, fail);
  });
  assert.ok(await c.submit('n0', job('wk-1', { pieces: 30, cpus: 8 })));
  await c.clock.advance(20_000);
  const rented = c.rented.length;
  assert.equal(c.released.length, 0, 'no machine given back for its failures');
  const begun = () => machines.reduce((n, w) => n + w.started.filter((p) => p.startsWith('wk-1/')).length, 0);
  const before = begun();
  most = 0;
  assert.ok(await c.submit('n0', job('wk-2', { pieces: 4, cpus: 8 })));
  assert.ok(
    await c.clock.until(
      () =>
        machines.every(
          (w) => w.on(`wk-2/${machines.indexOf(w)}`) || w.attempts.some((p) => p.task.startsWith('wk-2/')),
        ),
      4000,
    ),
  );
  for (const w of machines) for (const p of w.attempts) if (p.task.startsWith('wk-2/')) w.end(p.task, 'done');
  await c.clock.advance(60_000);
  assert.ok(most <= 1, `${most} at once`);
  assert.ok(begun() > before && begun() - before <= 6, `${begun() - before} more starts`);
  assert.equal(c.rented.length, rented);
  const reply = await c.call('n0', 'POST', '/api/jobs/wk-1/abort');
  assert.equal((reply.body as { status: string }).status, 'aborted');
});
