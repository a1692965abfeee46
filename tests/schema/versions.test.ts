import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as v from 'valibot';
import { StateService } from '../../src/emulator/state.js';
import { makeJob } from '../../src/jobs/job.js';
import { JobRecords } from '../../src/jobs/records.js';
import { chunkTasks, TaskSet } from '../../src/jobs/taskset.js';
import { readLeaseHolder, readTeamAssignment, writeLeaseHolder } from '../../src/schema/schema.js';
import { StateStore } from '../../src/state/statestore.js';
import { readJob } from '../../src/wire/users.js';
import { FakeClock } from '../support/clock.js';
import { FakeCluster, job } from '../support/cluster.js';
import { FakeNet } from '../support/net.js';

/** What the version before this one reads of a record; all else it leaves out, and what is not so it drops. */
const formerSpec = v.object({
  id: v.string(),
  class: v.string(),
  team: v.string(),
  kind: v.picklist(['array', 'gang', 'service']),
  priority: v.number(),
  tasks: v.number(),
  cpus: v.number(),
  gpus: v.number(),
  memoryGb: v.number(),
  types: v.nullable(v.array(v.string())),
  zone: v.nullable(v.string()),
  oneZone: v.boolean(),
  spread: v.boolean(),
  spot: v.boolean(),
  image: v.string(),
  imageGb: v.number(),
  estimateS: v.number(),
  checkpointS: v.number(),
  saveS: v.number(),
  deadlineS: v.nullable(v.number()),
});
const formerJob = v.object({
  shard: v.number(),
  tag: v.string(),
  spec: formerSpec,
  accepted: v.number(),
  deadline: v.number(),
});
const formerHolder = v.object({
  node: v.string(),
  run: v.string(),
  lease: v.number(),
  aside: v.optional(v.boolean()),
});

const spec = (change: object = {}) => {
  const read = readJob(job('wk-1', { pieces: 100_000, ...change }));
  assert.ok(typeof read !== 'string');
  return read;
};

const OWNER = 'c/own/0';

/** A shard's records in a scripted state service, read and written by one owner after the other. */
async function records(allRead: { value: boolean }) {
  const clock = new FakeClock();
  const net = new FakeNet(clock);
  const state = new StateService(clock);
  net.peers.set('s', (m, p, b) => state.serve(m, p, b));
  const store = new StateStore(clock, net.requester('n0'), 's', { rps: 1e6, writeRps: 1e6, nodes: 1 });
  const settle = async <T>(work: Promise<T>): Promise<T> => {
    void work.catch(() => undefined).then(() => undefined);
    await clock.advance(2000);
    return work;
  };
  const first = await settle(store.compareAndSwap([], [{ put: OWNER, value: {} }]));
  assert.ok(first.ok);
  const owner = (limits: { valueKb: number; txnOps: number; layoutKb: number }) =>
    new JobRecords(store, 0, first.revision, limits, () => allRead.value);
  return { state, store, settle, owner };
}

const names = { team: 0, types: null, zone: null, image: 0, match: null };
const jobFrom = (s: ReturnType<typeof spec>, version: number) =>
  makeJob(s, { accepted: 1, deadline: 2, order: 1, fresh: false, version }, names);

/** Done tasks as the version before this one reads them: by the limit in its settings. */
function formerDone(state: StateService, tasks: number, valueKb: number): TaskSet {
  const done = new TaskSet(tasks);
  const per = chunkTasks(valueKb);
  for (const [key, item] of state.items) {
    const chunk = key.split('/')[2];
    const value = v.safeParse(v.object({ done: v.string() }), item.value);
    if (key.startsWith('act/wk-1/') && value.success) done.load(Number(chunk) * per, value.output.done);
  }
  return done;
}

const LOWER = { valueKb: 2, txnOps: 4, layoutKb: 8 };

// Guards against tasks that run twice or never: the layout followed from the limit alone, which changes.
test('done tasks are read as the former version stored them, and stored so that it reads them while it is there', async () => {
  const allRead = { value: false };
  const w = await records(allRead);
  const accepted = await w.settle(w.owner(LOWER).accept({ spec: spec(), accepted: 1, deadline: 2 }, 'tag'));
  assert.ok(accepted.kind === 'accepted');
  // As the former version stored them: 48,384 tasks a chunk at 8 KiB.
  const former = new TaskSet(100_000);
  for (let i = 0; i < 100_000; i += 3) former.add(i);
  const per = chunkTasks(8);
  for (const n of [0, 1, 2])
    await w.settle(
      w.store.compareAndSwap([], [{ put: `act/wk-1/${n}`, value: { done: former.chunk(n * per, per) } }]),
    );
  const [loaded] = await w.settle(w.owner(LOWER).load());
  const restored = jobFrom(loaded!.record.spec, loaded!.version);
  const owner = w.owner(LOWER);
  owner.restore(restored, loaded!.chunks);
  assert.equal(restored.done.count, former.count);
  assert.ok(restored.done.has(99_999) && !restored.done.has(99_998));
  // While an older node is there, it must be able to read on.
  restored.done.add(60_001);
  restored.dirtyChunks.add(owner.chunkOf(restored, 60_001));
  assert.ok(await w.settle(owner.storeDone(restored)));
  const asFormer = formerDone(w.state, 100_000, 8);
  assert.equal(asFormer.count, former.count + 1);
  assert.ok(asFormer.has(60_001));
  // Once there is none, the layout is stated, fits the lower limits, and nothing of the former one is left.
  allRead.value = true;
  w.state.limits = { ...w.state.limits, valueBytes: 2048, txnOps: 4 };
  const [again] = await w.settle(w.owner(LOWER).load());
  const next = jobFrom(again!.record.spec, again!.version);
  owner.restore(next, again!.chunks);
  assert.equal(next.done.count, former.count + 1);
  assert.ok(next.storedCount < next.done.count, 'to be stored anew');
  for (let i = 0; next.storedCount < next.done.count && i < 20; i++) await w.settle(owner.storeDone(next));
  assert.equal(w.state.refused[400], 0);
  assert.equal(formerDone(w.state, 100_000, 8).count, 0);
  // Whatever the limit in the settings is by then.
  const later = w.owner({ valueKb: 1, txnOps: 4, layoutKb: 1 });
  const [last] = await w.settle(later.load());
  const read = jobFrom(last!.record.spec, last!.version);
  later.restore(read, last!.chunks);
  assert.equal(read.done.count, former.count + 1);
  assert.deepEqual(
    [60_001, 60_002, 99_999].map((i) => read.done.has(i)),
    [true, false, true],
  );
});

// Guards against an end that does not fit a transaction, and against chunks that nobody ever takes away.
test('the end of a job with many chunks fits the lower limits, and takes all of them away', async () => {
  const w = await records({ value: true });
  w.state.limits = { ...w.state.limits, valueBytes: 2048, txnOps: 4 };
  const owner = w.owner(LOWER);
  const accepted = await w.settle(owner.accept({ spec: spec(), accepted: 1, deadline: 2 }, 'tag'));
  assert.ok(accepted.kind === 'accepted');
  const j = jobFrom(spec(), accepted.version);
  for (let i = 0; i < 100_000; i++) if (j.done.add(i)) j.dirtyChunks.add(owner.chunkOf(j, i));
  while (j.dirtyChunks.size > 0) assert.ok(await w.settle(owner.storeDone(j)));
  assert.ok([...w.state.items.keys()].filter((k) => k.startsWith('act/wk-1/')).length >= 9);
  assert.equal(await w.settle(owner.finish(j, 'done')), 'done');
  assert.deepEqual(
    [...w.state.items.keys()].filter((k) => k.startsWith('act/') || k.startsWith('part/')),
    [],
  );
  assert.equal(w.state.refused[400], 0);
});

// Guards against a job that can never be accepted since its description fits no value.
test('a description longer than a value is stored in parts, and only when all nodes read it', async () => {
  const allRead = { value: false };
  const w = await records(allRead);
  const long = spec({ pieces: 3, waitsOn: Array.from({ length: 3000 }, (_, i) => `wk-${100_000 + i}`) });
  const owner = w.owner(LOWER);
  const record = { spec: long, accepted: 1, deadline: 2 };
  await assert.rejects(w.settle(owner.accept(record, 'tag')), /too long for now/);
  // What fits the limit of now is stored whole for the older node.
  const middle = spec({ pieces: 3, flavors: Array.from({ length: 200 }, (_, i) => `flavor-number-${i}`) });
  assert.ok(
    (await w.settle(owner.accept({ ...record, spec: { ...middle, id: 'wk-2' } }, 'tag'))).kind === 'accepted',
  );
  assert.ok(v.safeParse(formerJob, w.state.value('act/wk-2')).success);
  allRead.value = true;
  w.state.limits = { ...w.state.limits, valueBytes: 2048, txnOps: 4 };
  const accepted = await w.settle(owner.accept(record, 'tag2'));
  assert.ok(accepted.kind === 'accepted');
  const loaded = await w.settle(owner.load());
  const back = loaded.find((l) => l.record.spec.id === 'wk-1')!;
  assert.deepEqual(back.record.spec, long);
  assert.equal(loaded.length, 2, 'what was stored larger stays readable');
  const j = jobFrom(back.record.spec, back.version);
  j.partsUnder = back.partsUnder;
  assert.equal(await w.settle(owner.finish(j, 'cancelled')), 'cancelled');
  assert.deepEqual(
    [...w.state.items.keys()].filter((k) => k.startsWith('part/')),
    [],
  );
  assert.equal(w.state.refused[400], 0);
});

test('the former version reads what this one writes of ordinary jobs and nodes, and the other way round', async () => {
  const c = new FakeCluster(['n0']);
  c.addWorker('c8', 'a');
  c.startNode('n0');
  assert.ok(await c.submit('n0', job('wk-1', { pieces: 2, cpus: 1 })));
  const stored = v.parse(formerJob, c.state.value('act/wk-1'));
  assert.equal(stored.spec.tasks, 2);
  assert.equal(v.parse(formerHolder, c.state.value('c/node/n0')).node, 'n0');
  assert.equal(readLeaseHolder(c.state.value('c/node/n0'))?.protocolVersion, 2);
  assert.deepEqual(v.parse(v.record(v.string(), v.number()), c.state.value('c/teams')), { red: 0 });
  const former = { node: 'n0', run: 'x', lease: 1 };
  const read = readLeaseHolder(former);
  assert.deepEqual(read, { node: 'n0', incarnation: 'x', leaseId: 1 });
  assert.deepEqual(read && writeLeaseHolder(read), former);
  // The record as the former version wrote it, without the new field, is a job that waits for nothing.
  c.killNode('n0');
  c.state.items.set('act/wk-2', {
    value: { ...stored, spec: { ...stored.spec, id: 'wk-2' } },
    version: 1,
    lease: null,
  });
  c.startNode('n0');
  assert.ok(await c.clock.until(() => c.workers[0]!.on('wk-2/1') || c.workers[0]!.on('wk-2/0'), 40_000));
});

// Guards against `too_early` in a mixed cluster: an older owner or forwarder drops the field that it does not know.
test('nothing new is accepted, nor sent to a node, before every node understands it', async () => {
  const c = new FakeCluster(['n0', 'n1']);
  c.teams = ['red', 'blue'].map((name) => ({ name, cpus: 320, cpusMax: 2000, gpus: 0, gpusMax: 0 }));
  c.addWorker('c8', 'a');
  c.startNode('n0');
  await c.clock.advance(6000);
  assert.ok(await c.submit('n0', job('wk-1')));
  const wait = () => c.call('n0', 'POST', '/api/jobs', job('wk-2', { waitsOn: ['wk-1'] }));
  assert.equal((await wait()).status, 503, 'a node that has never said so');
  // It comes up as this version, and is away.
  c.startNode('n1');
  await c.clock.advance(9000);
  c.killNode('n1');
  await c.clock.advance(12_000);
  assert.equal((await wait()).status, 201, 'one that has said so and is away');
  // It comes back as it was before: its presence does not say so.
  void c.state.serve('POST', '/txn', {
    when: [],
    writes: [{ set: 'c/node/n1', value: { node: 'n1', run: 'old', lease: 99 } }],
  });
  await c.clock.advance(1000);
  const late = () => c.call('n0', 'POST', '/api/jobs', job('wk-3', { waitsOn: ['wk-1'] }));
  assert.equal((await late()).status, 503);
  assert.equal((await c.call('n0', 'POST', '/api/jobs', job('wk-4'))).status, 201);
  assert.deepEqual(
    c.sent.filter((m) => m.op === 'submitAfter'),
    [],
  );
});

// Guards against a stuck job, a hot loop of retries or a lost lease when limits fall without notice.
test('limits that fall in mid-run stop nothing, and leases are renewed before all else', async () => {
  const c = new FakeCluster(['n0', 'n1']);
  c.stateLimits = { rps: 150, writeRps: 10, valueKb: 2, txnOps: 4 };
  c.stateRates = { rps: 100, writeRps: 10 };
  for (let i = 0; i < 10; i++) c.addWorker('c8', 'a');
  c.startNode('n0');
  c.startNode('n1');
  await c.clock.advance(8000);
  assert.ok(await c.submit('n0', job('wk-0', { pieces: 8, cpus: 2 })));
  const owner = c.nodes.get('n0')!.node.membership.owner(0)!;
  c.state.limits = { ...c.state.limits, valueBytes: 2048, txnOps: 4, writesPerSecond: 7 };
  for (let i = 1; i <= 40; i++) assert.ok(await c.submit(`n${i % 2}`, job(`wk-${i}`, { cpus: 1 })));
  const before = c.state.refused[429];
  for (let i = 0; i < 60; i++) {
    for (const w of c.workers) for (const p of w.attempts) w.end(p.task, 'done');
    await c.clock.advance(1000);
  }
  for (let i = 0; i <= 40; i++)
    assert.equal((c.state.value(`job/wk-${i}`) as { final?: string } | undefined)?.final, 'done', `wk-${i}`);
  assert.equal(c.state.refused[400], 0);
  assert.deepEqual(c.nodes.get('n0')!.node.membership.owner(0), owner, 'no lease was lost');
  assert.ok(c.state.refused[429] - before < 200, `${c.state.refused[429] - before} refusals in a minute`);
});

// Guards against an assignment that no longer fits a value: no new team could ever submit.
test('an assignment of many teams goes into several records, once all nodes read them', async () => {
  const c = new FakeCluster(['n0']);
  c.stateLimits = { rps: 600, writeRps: 300, valueKb: 2, txnOps: 4 };
  c.state.limits = { ...c.state.limits, valueBytes: 2048, txnOps: 4 };
  c.teams = Array.from({ length: 300 }, (_, i) => ({
    name: `a-team-with-a-name-${i}`,
    cpus: 8,
    cpusMax: 32,
    gpus: 0,
    gpusMax: 0,
  }));
  c.addWorker('c8', 'a');
  c.startNode('n0');
  assert.ok(await c.submit('n0', job('wk-1', { owner: 'a-team-with-a-name-299' })));
  const assignment = readTeamAssignment(new Map([...c.state.items].map(([k, i]) => [k, { value: i.value }])));
  assert.equal(Object.keys(assignment!).length, 300);
});
