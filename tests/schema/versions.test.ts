import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as v from 'valibot';
import { StateService } from '../../src/emulator/state.js';
import { makeJob } from '../../src/jobs/job.js';
import { JobRecords } from '../../src/jobs/records.js';
import { TaskSet, tasksPerChunk } from '../../src/jobs/taskset.js';
import {
  OwnerTransactions,
  readLeaseHolder,
  readTeamAssignment,
  writeLeaseHolder,
} from '../../src/schema/schema.js';
import { StateStore } from '../../src/state/statestore.js';
import { readJob } from '../../src/wire/users.js';
import { FakeClock } from '../support/clock.js';
import { FakeCluster, job } from '../support/cluster.js';
import { FakeNet } from '../support/net.js';

/**
 * The fields of a record that the previous version reads; it ignores other fields and discards records that do not
 * match.
 */
const previousSpec = v.object({
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
const previousJob = v.object({
  shard: v.number(),
  tag: v.string(),
  spec: previousSpec,
  accepted: v.number(),
  deadline: v.number(),
});
const previousHolder = v.object({
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

/** Sets up a shard's records in a scripted key-value store, which successive owners read and write. */
async function createRecords(allRead: { value: boolean }) {
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
    new JobRecords(new OwnerTransactions(store, 0, first.revision), limits, () => allRead.value);
  return { state, store, settle, owner };
}

const names = { team: 0, types: null, zone: null, image: 0, match: null };
const jobFrom = (s: ReturnType<typeof spec>, version: number) =>
  makeJob(s, { accepted: 1, deadline: 2, order: 1, fresh: false, version }, names);

/**
 * Returns the completed tasks as the previous version reads them: in chunks whose size follows from the limit in its
 * settings.
 */
function previousDone(state: StateService, tasks: number, valueKb: number): TaskSet {
  const done = new TaskSet(tasks);
  const chunkSize = tasksPerChunk(valueKb);
  for (const [key, item] of state.items) {
    const chunk = key.split('/')[2];
    const value = v.safeParse(v.object({ done: v.string() }), item.value);
    if (key.startsWith('act/wk-1/') && value.success) done.load(Number(chunk) * chunkSize, value.output.done);
  }
  return done;
}

const LOWER_LIMITS = { valueKb: 2, txnOps: 4, layoutKb: 8 };

// Guards against tasks that run twice or never: the layout of completed tasks once followed from the limit alone,
// which changes.
test('reads and writes completed tasks in the layout of the previous version while a node runs it', async () => {
  const allRead = { value: false };
  const fixture = await createRecords(allRead);
  const accepted = await fixture.settle(
    fixture.owner(LOWER_LIMITS).accept({ spec: spec(), accepted: 1, deadline: 2 }, 'tag'),
  );
  assert.ok(accepted.kind === 'accepted');
  // The layout of the previous version: 48,384 tasks per chunk at 8 KiB.
  const previous = new TaskSet(100_000);
  for (let i = 0; i < 100_000; i += 3) previous.add(i);
  const chunkSize = tasksPerChunk(8);
  for (const n of [0, 1, 2])
    await fixture.settle(
      fixture.store.compareAndSwap(
        [],
        [{ put: `act/wk-1/${n}`, value: { done: previous.chunk(n * chunkSize, chunkSize) } }],
      ),
    );
  const [loaded] = await fixture.settle(fixture.owner(LOWER_LIMITS).load());
  const restored = jobFrom(loaded!.record.spec, loaded!.version);
  const owner = fixture.owner(LOWER_LIMITS);
  owner.restore(restored, loaded!.chunks);
  assert.equal(restored.done.count, previous.count);
  assert.ok(restored.done.has(99_999) && !restored.done.has(99_998));
  // While an older node is present, it must be able to read the completed tasks.
  restored.done.add(60_001);
  restored.dirtyChunks.add(owner.chunkOf(restored, 60_001));
  assert.ok(await fixture.settle(owner.storeDone(restored)));
  const asPrevious = previousDone(fixture.state, 100_000, 8);
  assert.equal(asPrevious.count, previous.count + 1);
  assert.ok(asPrevious.has(60_001));
  // Once no older node is present, the record states the layout, which fits the lower limits, and no old chunk
  // remains.
  allRead.value = true;
  fixture.state.limits = { ...fixture.state.limits, valueBytes: 2048, txnOps: 4 };
  const [again] = await fixture.settle(fixture.owner(LOWER_LIMITS).load());
  const next = jobFrom(again!.record.spec, again!.version);
  owner.restore(next, again!.chunks);
  assert.equal(next.done.count, previous.count + 1);
  assert.ok(next.storedCount < next.done.count, 'completed tasks are to be stored again');
  for (let i = 0; next.storedCount < next.done.count && i < 20; i++)
    await fixture.settle(owner.storeDone(next));
  assert.equal(fixture.state.refused[400], 0);
  assert.equal(previousDone(fixture.state, 100_000, 8).count, 0);
  // The stated layout applies regardless of the limit in the settings at that time.
  const later = fixture.owner({ valueKb: 1, txnOps: 4, layoutKb: 1 });
  const [last] = await fixture.settle(later.load());
  const read = jobFrom(last!.record.spec, last!.version);
  later.restore(read, last!.chunks);
  assert.equal(read.done.count, previous.count + 1);
  assert.deepEqual(
    [60_001, 60_002, 99_999].map((i) => read.done.has(i)),
    [true, false, true],
  );
});

// Guards against a job whose final transaction exceeds the limits, and against chunks that are never deleted.
test('ending a job with many chunks fits the lower limits and deletes all of the chunks', async () => {
  const fixture = await createRecords({ value: true });
  fixture.state.limits = { ...fixture.state.limits, valueBytes: 2048, txnOps: 4 };
  const owner = fixture.owner(LOWER_LIMITS);
  const accepted = await fixture.settle(owner.accept({ spec: spec(), accepted: 1, deadline: 2 }, 'tag'));
  assert.ok(accepted.kind === 'accepted');
  const storedJob = jobFrom(spec(), accepted.version);
  for (let i = 0; i < 100_000; i++)
    if (storedJob.done.add(i)) storedJob.dirtyChunks.add(owner.chunkOf(storedJob, i));
  while (storedJob.dirtyChunks.size > 0) assert.ok(await fixture.settle(owner.storeDone(storedJob)));
  assert.ok([...fixture.state.items.keys()].filter((k) => k.startsWith('act/wk-1/')).length >= 9);
  assert.equal(await fixture.settle(owner.finish(storedJob, 'done')), 'done');
  assert.deepEqual(
    [...fixture.state.items.keys()].filter((k) => k.startsWith('act/') || k.startsWith('part/')),
    [],
  );
  assert.equal(fixture.state.refused[400], 0);
});

// Guards against a job that can never be accepted because its description fits no value.
test('stores a description that exceeds a value in parts, but only when all nodes can read them', async () => {
  const allRead = { value: false };
  const fixture = await createRecords(allRead);
  const longSpec = spec({ pieces: 3, waitsOn: Array.from({ length: 3000 }, (_, i) => `wk-${100_000 + i}`) });
  const owner = fixture.owner(LOWER_LIMITS);
  const record = { spec: longSpec, accepted: 1, deadline: 2 };
  await assert.rejects(fixture.settle(owner.accept(record, 'tag')), /too long for now/);
  // A description within the current limit is stored in one value, so that the older node can read it.
  const mediumSpec = spec({
    pieces: 3,
    flavors: Array.from({ length: 200 }, (_, i) => `flavor-number-${i}`),
  });
  assert.ok(
    (await fixture.settle(owner.accept({ ...record, spec: { ...mediumSpec, id: 'wk-2' } }, 'tag'))).kind ===
      'accepted',
  );
  assert.ok(v.safeParse(previousJob, fixture.state.value('act/wk-2')).success);
  allRead.value = true;
  fixture.state.limits = { ...fixture.state.limits, valueBytes: 2048, txnOps: 4 };
  const accepted = await fixture.settle(owner.accept(record, 'tag2'));
  assert.ok(accepted.kind === 'accepted');
  const loaded = await fixture.settle(owner.load());
  const restored = loaded.find((l) => l.record.spec.id === 'wk-1')!;
  assert.deepEqual(restored.record.spec, longSpec);
  assert.equal(loaded.length, 2, 'values stored under the larger limit stay readable');
  const storedJob = jobFrom(restored.record.spec, restored.version);
  storedJob.partsPrefix = restored.partsPrefix;
  assert.equal(await fixture.settle(owner.finish(storedJob, 'cancelled')), 'cancelled');
  assert.deepEqual(
    [...fixture.state.items.keys()].filter((k) => k.startsWith('part/')),
    [],
  );
  assert.equal(fixture.state.refused[400], 0);
});

test('this version and the previous one read each other’s records of ordinary jobs and nodes', async () => {
  const cluster = new FakeCluster(['n0']);
  cluster.addWorker('c8', 'a');
  cluster.startNode('n0');
  assert.ok(await cluster.submit('n0', job('wk-1', { pieces: 2, cpus: 1 })));
  const stored = v.parse(previousJob, cluster.state.value('act/wk-1'));
  assert.equal(stored.spec.tasks, 2);
  assert.equal(v.parse(previousHolder, cluster.state.value('c/node/n0')).node, 'n0');
  assert.equal(readLeaseHolder(cluster.state.value('c/node/n0'))?.protocolVersion, 2);
  assert.deepEqual(v.parse(v.record(v.string(), v.number()), cluster.state.value('c/teams')), { red: 0 });
  const previous = { node: 'n0', run: 'x', lease: 1 };
  const read = readLeaseHolder(previous);
  assert.deepEqual(read, { node: 'n0', incarnation: 'x', leaseId: 1 });
  assert.deepEqual(read && writeLeaseHolder(read), previous);
  // A record written by the previous version, without the new field, is a job that waits for no other job.
  cluster.killNode('n0');
  cluster.state.items.set('act/wk-2', {
    value: { ...stored, spec: { ...stored.spec, id: 'wk-2' } },
    version: 1,
    lease: null,
  });
  cluster.startNode('n0');
  assert.ok(
    await cluster.clock.until(
      () => cluster.workers[0]!.isActive('wk-2/1') || cluster.workers[0]!.isActive('wk-2/0'),
      40_000,
    ),
  );
});

// Guards against `too_early` in a mixed cluster: an older owner or forwarder drops the field that it does not know.
test('accepts and forwards jobs with new features only once every node understands them', async () => {
  const cluster = new FakeCluster(['n0', 'n1']);
  cluster.teams = ['red', 'blue'].map((name) => ({ name, cpus: 320, cpusMax: 2000, gpus: 0, gpusMax: 0 }));
  cluster.addWorker('c8', 'a');
  cluster.startNode('n0');
  await cluster.clock.advance(6000);
  assert.ok(await cluster.submit('n0', job('wk-1')));
  const wait = () => cluster.call('n0', 'POST', '/api/jobs', job('wk-2', { waitsOn: ['wk-1'] }));
  assert.equal((await wait()).status, 503, 'a node has never announced the protocol version');
  // The node starts with this version, and is then away.
  cluster.startNode('n1');
  await cluster.clock.advance(9000);
  cluster.killNode('n1');
  await cluster.clock.advance(12_000);
  assert.equal((await wait()).status, 201, 'a node that announced the protocol version is away');
  // The node returns with the previous version: its presence does not announce the protocol version.
  void cluster.state.serve('POST', '/txn', {
    when: [],
    writes: [{ set: 'c/node/n1', value: { node: 'n1', run: 'old', lease: 99 } }],
  });
  await cluster.clock.advance(1000);
  const late = () => cluster.call('n0', 'POST', '/api/jobs', job('wk-3', { waitsOn: ['wk-1'] }));
  assert.equal((await late()).status, 503);
  assert.equal((await cluster.call('n0', 'POST', '/api/jobs', job('wk-4'))).status, 201);
  assert.deepEqual(
    cluster.sentMessages.filter((m) => m.op === 'submitAfter'),
    [],
  );
});

// Guards against a stuck job, a tight retry loop or a lost lease when limits fall without notice.
test('limits that fall at runtime stop no job, and lease renewals take precedence', async () => {
  const cluster = new FakeCluster(['n0', 'n1']);
  cluster.stateLimits = { rps: 150, writeRps: 10, valueKb: 2, txnOps: 4 };
  cluster.stateRates = { rps: 100, writeRps: 10 };
  for (let i = 0; i < 10; i++) cluster.addWorker('c8', 'a');
  cluster.startNode('n0');
  cluster.startNode('n1');
  await cluster.clock.advance(8000);
  assert.ok(await cluster.submit('n0', job('wk-0', { pieces: 8, cpus: 2 })));
  const owner = cluster.nodes.get('n0')!.node.membership.owner(0)!;
  cluster.state.limits = { ...cluster.state.limits, valueBytes: 2048, txnOps: 4, writesPerSecond: 7 };
  for (let i = 1; i <= 40; i++) assert.ok(await cluster.submit(`n${i % 2}`, job(`wk-${i}`, { cpus: 1 })));
  const before = cluster.state.refused[429];
  for (let i = 0; i < 60; i++) {
    for (const worker of cluster.workers) for (const p of worker.attempts) worker.endTask(p.task, 'done');
    await cluster.clock.advance(1000);
  }
  for (let i = 0; i <= 40; i++)
    assert.equal(
      (cluster.state.value(`job/wk-${i}`) as { final?: string } | undefined)?.final,
      'done',
      `wk-${i}`,
    );
  assert.equal(cluster.state.refused[400], 0);
  assert.deepEqual(cluster.nodes.get('n0')!.node.membership.owner(0), owner, 'no lease was lost');
  assert.ok(
    cluster.state.refused[429] - before < 200,
    `${cluster.state.refused[429] - before} refusals in a minute`,
  );
});

// Guards against an assignment that exceeds the size of a value, so that no new team could ever submit.
test('splits an assignment of many teams into several records once all nodes read them', async () => {
  const cluster = new FakeCluster(['n0']);
  cluster.stateLimits = { rps: 600, writeRps: 300, valueKb: 2, txnOps: 4 };
  cluster.state.limits = { ...cluster.state.limits, valueBytes: 2048, txnOps: 4 };
  cluster.teams = Array.from({ length: 300 }, (_, i) => ({
    name: `a-team-with-a-name-${i}`,
    cpus: 8,
    cpusMax: 32,
    gpus: 0,
    gpusMax: 0,
  }));
  cluster.addWorker('c8', 'a');
  cluster.startNode('n0');
  assert.ok(await cluster.submit('n0', job('wk-1', { owner: 'a-team-with-a-name-299' })));
  const assignment = readTeamAssignment(
    new Map([...cluster.state.items].map(([k, i]) => [k, { value: i.value }])),
  );
  assert.equal(Object.keys(assignment!).length, 300);
});
