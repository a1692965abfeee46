import assert from 'node:assert/strict';
import { test } from 'node:test';
import { jobStatus, NODES, startBusyCluster } from '../support/busy.js';
import { FakeCluster, job } from '../support/cluster.js';

const TEXT = ['id', 'jobClass', 'owner', 'shape', 'urgency', 'bundle'];
const AMOUNTS = ['cpus', 'cards', 'memoryGb', 'pullGb', 'expectedS', 'saveEveryS', 'savingS'];
const FLAGS = ['oneZone', 'spread', 'loaner'];
const NULLABLE = ['flavors', 'yard', 'dueS', 'waitsOn'];

/** Returns invalid values for a field of a submission, as JSON. */
function invalidValues(field: string): string[] {
  if (TEXT.includes(field)) return ['null', '7', '""', '["x"]', '{}', 'true'];
  if (AMOUNTS.includes(field)) return ['null', '"4"', '-1', '1e999', '-1e999', '[4]', 'true'];
  if (FLAGS.includes(field)) return ['null', '0', '"true"', '{}'];
  if (field === 'pieces') return ['null', '0', '-1', '1.5', '100001', '1e999', '"3"', '[]'];
  if (field === 'flavors') return ['"c8"', '[7]', '{}', '[null]'];
  if (field === 'yard') return ['7', '[]', '""'];
  if (field === 'dueS') return ['0', '-5', '"60"', '1e999'];
  return ['"wk-2"', '[7]', '["nothing"]', '{}'];
}

test('every node rejects a submission with a missing or invalid field and stores nothing', async () => {
  const { cluster } = await startBusyCluster(1);
  const post = async (node: string, text: string) =>
    (
      await cluster.answered(
        cluster.nodes
          .get(node)!
          .api.handle({ ...cluster.request('POST', '/api/jobs'), body: Buffer.from(text) }),
      )
    ).status;
  const valid = job('wk-9', { waitsOn: null }) as Record<string, unknown>;
  const fields = Object.keys(valid);
  assert.deepEqual(fields.sort(), [...TEXT, ...AMOUNTS, ...FLAGS, 'pieces', ...NULLABLE].sort());
  let nextNode = 0;
  const node = () => NODES[nextNode++ % NODES.length]!;
  for (const field of fields) {
    const { [field]: _, ...without } = valid;
    if (!NULLABLE.includes(field))
      assert.equal(await post(node(), JSON.stringify(without)), 400, `without ${field}`);
    for (const value of invalidValues(field)) {
      const text = JSON.stringify({ ...without, [field]: '§' }).replace('"§"', value);
      assert.equal(await post(node(), text), 400, `${field}: ${value}`);
    }
  }
  for (const text of ['', 'x', '[]', 'null', '7', '{', JSON.stringify([valid])])
    assert.equal(await post(node(), text), 400, text);
  assert.equal(await jobStatus(cluster, 'n0', 'wk-9'), 404, 'no job was created');
  // A malformed submission with the id of an accepted job does not change that job.
  assert.equal(await post('n0', JSON.stringify({ ...valid, id: 'wk-1', pieces: 'many' })), 400);
  for (const n of NODES) assert.equal(await jobStatus(cluster, n, 'wk-1'), 'running');
  // Nullable fields may also be omitted.
  const { flavors: _f, yard: _y, dueS: _d, waitsOn: _w, ...minimal } = valid;
  assert.equal(await post('n1', JSON.stringify(minimal)), 201);
});

test('every node rejects a job that can never run, but not the resubmission of an accepted job', async () => {
  const cluster = new FakeCluster(NODES);
  cluster.teams = [{ name: 'red', cpus: 16, cpusMax: 32, gpus: 0, gpusMax: 2 }];
  for (let i = 0; i < 3; i++) cluster.addWorker('c8', 'a');
  cluster.additionalTypes.push(['c64', 64, 0]);
  for (const n of NODES) cluster.startNode(n);
  await cluster.clock.advance(8000);
  for (const [reason, change] of [
    ['its team is unknown', { owner: 'nobody' }],
    ['a task is larger than any machine', { cpus: 65 }],
    ['a task is larger than the type that it allows', { cpus: 9, flavors: ['c8'] }],
    ['it allows no type that there is', { flavors: ['x8'] }],
    ['no type is in its zone', { yard: 'z' }],
    ['no machine has so many GPUs', { cards: 3 }],
    ['a task is beyond the limit of its team', { cpus: 33 }],
    ['a gang is beyond the limit of its team', { shape: 'ensemble', pieces: 5, cpus: 8 }],
    [
      'a service is beyond the limit of its team',
      { shape: 'standing', pieces: 3, cards: 1, flavors: ['g8'] },
    ],
  ] as const)
    for (const n of NODES) {
      const submission = job('wk-bad', change);
      assert.equal(
        (await cluster.call(n, 'POST', '/api/jobs', submission)).status,
        422,
        `${reason}, at ${n}`,
      );
      assert.equal(await jobStatus(cluster, n, 'wk-bad'), 404);
    }
  // An array is accepted even if all of its tasks together exceed the team's limit.
  assert.equal(
    (await cluster.call('n0', 'POST', '/api/jobs', job('wk-1', { pieces: 100, cpus: 8 }))).status,
    201,
  );
  const large = job('wk-2', { cpus: 30, flavors: ['c64'] });
  assert.equal((await cluster.call('n1', 'POST', '/api/jobs', large)).status, 201);
  const cancelled = job('wk-3', { cpus: 1 });
  assert.equal((await cluster.call('n1', 'POST', '/api/jobs', cancelled)).status, 201);
  assert.equal((await cluster.call('n2', 'POST', '/api/jobs/wk-3/abort')).status, 200);
  // After the nodes have learned that the machine type was withdrawn, accepted jobs are still known.
  cluster.additionalTypes.pop();
  await cluster.clock.advance(40_000);
  assert.equal((await cluster.call('n0', 'POST', '/api/jobs', { ...large, id: 'wk-4' })).status, 422);
  for (const n of NODES) {
    const response = await cluster.call(n, 'POST', '/api/jobs', large);
    assert.deepEqual([response.status, (response.body as { status: string }).status], [200, 'queued']);
    const cancelledResponse = await cluster.call(n, 'POST', '/api/jobs', { ...cancelled, cpus: 900 });
    assert.deepEqual(
      [cancelledResponse.status, (cancelledResponse.body as { status: string }).status],
      [200, 'aborted'],
    );
  }
});

test('a done job stays done despite repeated cancellations at every node', async () => {
  const { cluster, shard } = await startBusyCluster(1);
  const abort = async (n: string) => {
    const response = await cluster.call(n, 'POST', '/api/jobs/wk-1/abort');
    return [response.status, (response.body as { status?: string }).status];
  };
  for (const w of cluster.workers) for (const a of [...w.attempts]) w.endTask(a.task, 'done');
  assert.ok(await cluster.clock.until(() => cluster.state.value('job/wk-1') !== undefined, 10_000));
  for (const n of [...NODES, ...NODES]) assert.deepEqual(await abort(n), [200, 'done']);
  // Nodes that know the job only from its stored record, after its owner was killed, answer the same.
  const oldOwner = cluster.owner(shard)!;
  cluster.killNode(oldOwner);
  for (const n of NODES.filter((x) => x !== oldOwner)) assert.deepEqual(await abort(n), [200, 'done']);
  cluster.startNode(oldOwner);
  await cluster.clock.advance(9000);
  for (const n of NODES) {
    assert.deepEqual(await abort(n), [200, 'done']);
    assert.equal(await jobStatus(cluster, n, 'wk-1'), 'done');
  }
  assert.equal((await cluster.call('n0', 'POST', '/api/jobs/wk-none/abort')).status, 404);
});
