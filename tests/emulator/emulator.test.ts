import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Market } from '../../src/emulator/market.js';
import { Random } from '../../src/emulator/random.js';
import { Reporter } from '../../src/emulator/reporter.js';
import { StateService } from '../../src/emulator/state.js';
import type { TaskEvent } from '../../src/emulator/tasks.js';
import { Tasks } from '../../src/emulator/tasks.js';
import { Worker } from '../../src/emulator/worker.js';
import type { Requester } from '../../src/http/client.js';
import { checkHistory } from '../../src/load/checkhistory.js';
import { startKey, type UserEvent } from '../../src/load/history.js';
import { sharesOf } from '../../src/load/served.js';
import { StarvationCheck } from '../../src/load/starvationcheck.js';
import { type JobSpec, readJob } from '../../src/wire/users.js';
import { FakeClock } from '../support/clock.js';
import { job } from '../support/cluster.js';

const spec = (id: string, change: object = {}) => readJob(job(id, change)) as JobSpec;
const TYPE = {
  name: 'c8',
  cpus: 8,
  gpus: 0,
  memoryGb: 32,
  cacheGb: 10,
  fetchGbPerS: 1,
  price: 1,
  spotPrice: 0.5,
  bootS: 30,
  zones: ['a'],
};

function createWorkers(n: number) {
  const clock = new FakeClock();
  const tasks = new Tasks(clock, new Random(1), new Map([['c8', TYPE]]), { gangWaitS: 40, gangPeerS: 5 });
  const workers = Array.from({ length: n }, (_, i) => {
    const place = { id: `m-${i}`, addr: `a:${i}`, type: 'c8', zone: 'a', spot: false };
    return new Worker(clock, place, 1000, tasks);
  });
  const order = (w: number, verb: string, piece: string, attempt: number, extraFields: object = {}) =>
    workers[w]!.serve('POST', '/do', {
      baton: 1,
      shift: 1,
      orders: [{ verb, piece, try: attempt, ...extraFields }],
    });
  const state = (w: number, task: string) => {
    const a = workers[w]!.attempts.filter((x) => x.task === task).at(-1);
    return a ? `${a.state}${a.cause ? ` ${a.cause}` : ''}${a.saved ? ' saved' : ''}` : 'none';
  };
  return { clock, tasks, workers, order, state };
}

test('emulated tasks fetch images, run, save when notified in time, and resume from saved progress', async () => {
  const emulated = createWorkers(2);
  emulated.tasks.upload({ spec: spec('wk-1', { pieces: 2 }), runS: 60, fails: false });
  emulated.order(0, 'run', 'wk-1/0', 1);
  assert.equal(emulated.state(0, 'wk-1/0'), 'fetching');
  await emulated.clock.advance(2000);
  assert.equal(emulated.state(0, 'wk-1/0'), 'running');
  emulated.order(0, 'run', 'wk-1/0', 2);
  assert.equal(emulated.state(0, 'wk-1/0'), 'exited busy');
  emulated.order(0, 'run', 'wk-9/0', 1);
  assert.equal(emulated.state(0, 'wk-9/0'), 'exited unknown');
  emulated.order(0, 'run', 'wk-1/1', 1);
  await emulated.clock.advance(10_000);
  emulated.order(0, 'kill', 'wk-1/0', 1, { windDownS: 2 });
  assert.equal(emulated.state(0, 'wk-1/0'), 'exited busy');
  await emulated.clock.advance(2100);
  assert.equal(emulated.workers[0]!.attempts.find((a) => a.attempt === 1 && a.index === 0)?.saved, true);
  emulated.order(1, 'run', 'wk-1/0', 3);
  await emulated.clock.advance(45_000);
  assert.equal(emulated.state(1, 'wk-1/0'), 'running');
  await emulated.clock.advance(12_000);
  assert.equal(emulated.state(1, 'wk-1/0'), 'exited done', 'ran for the rest of 60 s');
  emulated.tasks.upload({ spec: spec('wk-2', { shape: 'standing' }), runS: null, fails: false });
  emulated.order(0, 'run', 'wk-2/0', 1);
  await emulated.clock.advance(100_000);
  assert.equal(emulated.state(0, 'wk-2/0'), 'running', 'a service has no end');
  emulated.workers[0]!.killTasks();
  assert.equal(emulated.tasks.history.at(-1)?.cause, 'lost');
  assert.equal(emulated.tasks.duplicateCompletions, 0);
});

test('emulated gangs start together, fail with any member, and save only when all members are notified in time', async () => {
  const emulated = createWorkers(3);
  const gang = { shape: 'ensemble', pieces: 3, saveEveryS: 10, savingS: 2 };
  emulated.tasks.upload({ spec: spec('wk-1', gang), runS: 100, fails: false });
  const start = (attempt: number) => {
    for (const w of [0, 1, 2]) emulated.order(w, 'run', `wk-1/${w}`, attempt);
  };
  const states = () => [0, 1, 2].map((w) => emulated.state(w, `wk-1/${w}`));
  emulated.order(0, 'run', 'wk-1/0', 1);
  await emulated.clock.advance(43_000);
  assert.equal(emulated.state(0, 'wk-1/0'), 'exited alone');
  start(2);
  await emulated.clock.advance(20_000);
  assert.deepEqual(states(), ['running', 'running', 'running']);
  emulated.workers[2]!.killTasks();
  await emulated.clock.advance(5100);
  assert.deepEqual(states().slice(0, 2), ['exited peers', 'exited peers']);
  start(3);
  await emulated.clock.advance(15_000);
  for (const w of [0, 1, 2]) emulated.order(w, 'kill', `wk-1/${w}`, 3, { windDownS: 2 });
  await emulated.clock.advance(2100);
  assert.deepEqual(states(), Array(3).fill('exited stopped saved'));
  start(4);
  await emulated.clock.advance(5000);
  emulated.order(0, 'kill', 'wk-1/0', 4, { windDownS: 2 });
  await emulated.clock.advance(5100);
  assert.deepEqual(states(), ['exited stopped', 'exited peers', 'exited peers'], 'two were not notified');
  start(5);
  await emulated.clock.advance(85_000);
  assert.deepEqual(
    states(),
    Array(3).fill('exited done'),
    'resumed from saved progress, not from the beginning',
  );
});

test('the emulated cloud lists machines with a lag, boots them with a delay, and reclaims spot machines', async () => {
  const clock = new FakeClock();
  const up: string[] = [];
  const gone: string[] = [];
  const market = new Market(
    clock,
    new Random(3),
    {
      types: [TYPE],
      capacity: [{ type: 'c8', zone: 'a', count: 2, spot: 1, up: 0 }],
      listLagS: 5,
      bootFailureShare: 0,
      spotReclaimsPerHour: 0,
      noticeS: 20,
    },
    {
      address: (n) => `a:${n}`,
      up: (p) => up.push(p.id),
      notice: () => undefined,
      gone: (id) => gone.push(id),
    },
  );
  const rent = (spot: boolean, count: number) =>
    market.rent({ request: 'r', type: 'c8', zone: 'a', spot, count });
  assert.equal(rent(false, 5).length, 2);
  assert.equal(rent(false, 1).length, 0, 'no capacity');
  const [spotMachine] = rent(true, 1);
  assert.equal(market.list().length, 0, 'not listed yet');
  await clock.advance(140_000);
  assert.equal(up.length, 3);
  assert.deepEqual(
    market.list().map((m) => m.state),
    ['running', 'running', 'running'],
  );
  market.reclaim(spotMachine!, 10_000);
  await clock.advance(10_100);
  assert.deepEqual(gone, [spotMachine]);
  assert.equal(market.list().length, 3, 'still listed');
  await clock.advance(12_000);
  assert.equal(market.list().length, 2);
  assert.ok(Math.abs(market.charge() - (2 * 162.1 + 0.5 * 150.1) / 3600) < 0.01);
});

test('the emulated key-value store answers 410 for discarded changes, and can refuse a single caller', async () => {
  const clock = new FakeClock();
  const state = new StateService(clock);
  const put = (n: number) => state.serve('POST', '/txn', { when: [], writes: [{ set: `k/${n}`, value: n }] });
  for (let i = 0; i < 12_000; i++) void put(i);
  const response = await state.serve('GET', '/watch?under=k/&since=5&waitMs=10', null);
  assert.equal(response.status, 410);
  state.refusedCallers.add('n0');
  assert.equal((await state.serve('GET', '/keys/k/1', null, 'n0')).status, 503);
  assert.equal((await state.serve('GET', '/keys/k/1', null, 'n1')).status, 200);
  state.limits.requestsPerSecond = 5;
  const statuses = [];
  for (let i = 0; i < 7; i++) statuses.push((await state.serve('GET', '/keys/k/1', null)).status);
  assert.deepEqual(statuses, [200, 200, 200, 200, 200, 429, 429]);
});

// Guards against a checker that misses violations and passes every run: the test violates each rule once.
test('the checker reports every rule that a history violates, and no others', () => {
  const jobs = new Map(
    [
      spec('wk-a', { pieces: 2, cpus: 8 }),
      spec('wk-b', { waitsOn: ['wk-a'] }),
      spec('wk-c', { yard: 'b', loaner: false }),
      spec('wk-d', { oneZone: true, pieces: 2, cpus: 1 }),
    ].map((s) => [s.id, s]),
  );
  const limits = { teams: [{ name: 'red', cpusMax: 16, gpusMax: 0 }], cancelS: 45 };
  const on = (at: number, job: string, index: number, machine = 'm-1', more: object = {}): TaskEvent => {
    return { at, kind: 'on', machine, type: 'c8', zone: 'b', spot: false, job, index, attempt: 1, ...more };
  };
  const off = (
    at: number,
    job: string,
    index: number,
    machine = 'm-1',
    cause: TaskEvent['cause'] = 'done',
  ): TaskEvent => {
    return { ...on(at, job, index, machine), kind: 'off', cause: cause! };
  };
  const told = (at: number, id: string, status: UserEvent['status']): UserEvent => ({
    at,
    job: id,
    kind: 'told',
    status,
  });
  const did = (at: number, id: string, kind: UserEvent['kind']): UserEvent => ({ at, job: id, kind });
  const rules = (tasks: TaskEvent[], users: UserEvent[] = []) => [
    ...new Set(checkHistory(tasks, users, jobs, limits).map((v) => v.rule)),
  ];
  const clean = [
    on(0, 'wk-a', 0),
    on(0, 'wk-a', 1, 'm-2'),
    off(9000, 'wk-a', 0),
    off(9000, 'wk-a', 1, 'm-2'),
  ];
  const after = [on(9500, 'wk-b', 0), off(9900, 'wk-b', 0)];
  assert.deepEqual(rules([...clean, ...after], [did(0, 'wk-a', 'accepted'), told(9100, 'wk-a', 'done')]), []);
  assert.deepEqual(rules([on(0, 'wk-a', 0), on(5, 'wk-a', 0, 'm-2')]), ['ran_twice']);
  assert.deepEqual(rules([...clean.slice(0, 2), on(1, 'wk-c', 0)]), ['quota']);
  assert.deepEqual(rules([on(0, 'wk-c', 0, 'm-1', { zone: 'a' })]), ['wrong_place']);
  assert.deepEqual(rules([on(0, 'wk-c', 0, 'm-1', { spot: true })]), ['wrong_place']);
  assert.deepEqual(rules([on(0, 'wk-d', 0), on(1, 'wk-d', 1, 'm-2', { zone: 'a' })]), ['wrong_place']);
  assert.deepEqual(rules([on(0, 'wk-b', 0)]), ['too_early']);
  const cancel = [did(0, 'wk-a', 'cancel asked'), did(10, 'wk-a', 'cancelled')];
  assert.deepEqual(rules([on(0, 'wk-a', 0), off(46_000, 'wk-a', 0)], cancel), ['ran_cancelled']);
  assert.deepEqual(rules([on(0, 'wk-a', 0), off(44_000, 'wk-a', 0)], cancel), []);
  assert.deepEqual(rules(clean, [did(0, 'wk-a', 'accepted'), did(5, 'wk-a', 'unknown')]), ['forgotten']);
  assert.deepEqual(rules(clean, [told(5, 'wk-none', 'queued')]), ['invented']);
  assert.deepEqual(rules(clean, [told(5, 'wk-a', 'done')]), ['not_done']);
  assert.deepEqual(rules(clean, [told(9100, 'wk-a', 'done'), told(9200, 'wk-a', 'running')]), ['went_back']);
  assert.deepEqual(rules(clean, [told(9100, 'wk-c', 'cancelled')]), ['went_back']);
  assert.deepEqual(rules(clean, [...cancel, told(50_000, 'wk-b', 'queued')]), ['orphaned']);
  assert.deepEqual(rules([], []), ['nothing_ran']);
  // The answer to a request sent before the end was reported may have crossed with that report; the answer to a
  // request sent after it must not be older.
  const requestedAfter = (e: UserEvent, asked: number): UserEvent => ({ ...e, eventsBeforeRequest: asked });
  const end = told(9100, 'wk-a', 'done');
  assert.deepEqual(rules(clean, [end, requestedAfter(told(9101, 'wk-a', 'running'), 0)]), []);
  assert.deepEqual(rules(clean, [end, requestedAfter(told(9101, 'wk-a', 'running'), 1)]), ['went_back']);
  assert.deepEqual(rules(clean, [end, requestedAfter(told(9101, 'wk-a', 'cancelled'), 0)]), ['went_back']);
  const accepted = did(1, 'wk-a', 'accepted');
  assert.deepEqual(rules(clean, [accepted, requestedAfter(did(2, 'wk-a', 'unknown'), 0)]), []);
  assert.deepEqual(rules(clean, [accepted, requestedAfter(did(2, 'wk-a', 'refused'), 1)]), ['forgotten']);
  assert.deepEqual(rules(clean, [{ ...did(1, 'wk-odd', 'accepted'), unfit: 'it has no id' }]), [
    'accepted_unfit',
  ]);
  const ordered = (at: number) => new Map([[startKey('m-1', 'wk-a', 0, on(0, 'wk-a', 0).attempt), at]]);
  const started = (at: number) =>
    checkHistory([on(900, 'wk-a', 0)], cancel, jobs, { ...limits, startSentAt: ordered(at) }).map(
      (v) => v.rule,
    );
  assert.deepEqual(started(9), [], 'the start command was already under way');
  assert.deepEqual(started(11), ['started_cancelled']);
});

test('reports a waiting job when a suitable machine has capacity and its team is below its limit for 90 s', () => {
  const spec = readJob(job('wk-w', { cpus: 4, shape: 'ensemble', pieces: 2, oneZone: true })) as JobSpec;
  const machine = (zone: string, cpus: number) => ({
    type: 'c8',
    zone,
    spot: false,
    cpus,
    gpus: 0,
    memoryGb: 64,
  });
  const starvationReports = (
    machines: ReturnType<typeof machine>[],
    leftCpus: number | null,
    gapAtS = -1,
  ) => {
    const check = new StarvationCheck();
    const violations = [];
    for (let s = 0; s <= 200; s++)
      violations.push(
        ...check.observe(s * 1000, s === gapAtS ? [] : machines, [
          { spec, quotaCpusLeft: leftCpus, quotaGpusLeft: null },
        ]),
      );
    return violations.map((v) => [v.rule, v.at]);
  };
  assert.deepEqual(starvationReports([machine('a', 8)], null), [['left_waiting', 91_000]]);
  assert.deepEqual(
    starvationReports([machine('a', 8)], 8, 50),
    [['left_waiting', 142_000]],
    'capacity throughout except for one gap; reported once',
  );
  assert.deepEqual(starvationReports([machine('a', 8)], 7), [], 'beyond the limit of the team');
  assert.deepEqual(
    starvationReports([machine('a', 4), machine('b', 7)], null),
    [],
    'not enough capacity in one zone',
  );
  assert.deepEqual(starvationReports([{ ...machine('a', 8), memoryGb: 7 }], null), [], 'not enough memory');
});

test('reports the served fraction of each class and team, lowest first', () => {
  const counts = { submitted: 10, accepted: 10, started: 10, done: 10, cancelled: 0 };
  const shares = sharesOf([
    { ...counts, name: 'plans', team: 'depot' },
    { ...counts, name: 'checks', team: 'workshop', accepted: 9, started: 3, done: 2, cancelled: 2 },
    { ...counts, name: 'sweeps', team: 'workshop', submitted: 0, accepted: 0, started: 0, done: 0 },
  ]);
  assert.deepEqual(
    shares.slice(0, 4).map((s) => [s.who, s.what, s.share]),
    [
      ['class checks', 'done', 0.25],
      ['class checks', 'started', 0.375],
      ['team workshop', 'started', 0.375],
      ['class checks', 'accepted', 0.9],
    ],
  );
  assert.ok(shares.slice(4).every((s) => s.share === 1));
});

// Guards against an emulated store that ends a refused caller's watch with a revision whose changes it never sent.
test('the watch of a refused caller stays open beyond its wait time, and misses no change', async () => {
  const clock = new FakeClock();
  const state = new StateService(clock);
  await state.serve('POST', '/txn', { when: [], writes: [{ set: 'c/a', value: 1 }] });
  let response: { ledgerRev: number; events: { set: string }[] } | null = null;
  state.refusedCallers.add('n0');
  void Promise.resolve(state.serve('GET', '/watch?under=c/&since=1&waitMs=3000', null, 'n0')).then((s) => {
    response = s.body as typeof response;
  });
  await state.serve('POST', '/txn', { when: [], writes: [{ set: 'c/b', value: 2 }] });
  await clock.advance(8000);
  assert.equal(response, null);
  state.refusedCallers.delete('n0');
  await state.serve('POST', '/txn', { when: [], writes: [{ set: 'd/x', value: 3 }] });
  await clock.advance(10);
  assert.deepEqual(
    response!.events.map((e) => e.set),
    ['c/b'],
  );
});

// Guards against an emulated worker that keeps tasks for up to a second after its lease has expired: tasks on machines
// behind a partition then seemed to run twice.
test('a disconnected emulated worker ends its tasks when its lease expires, not at its next heartbeat', async () => {
  const clock = new FakeClock();
  const place = { id: 'm-1', addr: 'a:1', type: 'c8', zone: 'a', spot: false };
  const worker: Worker = new Worker(clock, place, 16);
  const nodes = [{ node: 'n0', addr: 'n:0' }];
  const unresponsive: Requester = { request: () => new Promise(() => undefined) };
  const reporter = new Reporter(clock, unresponsive, new Random(1), worker, nodes, 2.5);
  await clock.advance(10);
  worker.serve('POST', '/do', { baton: 1, shift: 1, orders: [{ verb: 'run', piece: 'wk-1/0', try: 1 }] });
  await clock.advance(15_980);
  assert.deepEqual([worker.attempts.length, worker.incarnation], [1, 1]);
  await clock.advance(20);
  assert.deepEqual([worker.attempts.length, worker.incarnation], [0, 2]);
  reporter.stop();
});
