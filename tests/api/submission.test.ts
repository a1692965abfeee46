import assert from 'node:assert/strict';
import { test } from 'node:test';
import { busy, NODES, status } from '../support/busy.js';
import { FakeCluster, job } from '../support/cluster.js';

const TEXT = ['id', 'jobClass', 'owner', 'shape', 'urgency', 'bundle'];
const AMOUNTS = ['cpus', 'cards', 'memoryGb', 'pullGb', 'expectedS', 'saveEveryS', 'savingS'];
const FLAGS = ['oneZone', 'spread', 'loaner'];
const MAY_BE_NULL = ['flavors', 'yard', 'dueS', 'waitsOn'];

/** What no field of a submission may be, as it stands in its JSON. */
function wrongValues(field: string): string[] {
  if (TEXT.includes(field)) return ['null', '7', '""', '["x"]', '{}', 'true'];
  if (AMOUNTS.includes(field)) return ['null', '"4"', '-1', '1e999', '-1e999', '[4]', 'true'];
  if (FLAGS.includes(field)) return ['null', '0', '"true"', '{}'];
  if (field === 'pieces') return ['null', '0', '-1', '1.5', '100001', '1e999', '"3"', '[]'];
  if (field === 'flavors') return ['"c8"', '[7]', '{}', '[null]'];
  if (field === 'yard') return ['7', '[]', '""'];
  if (field === 'dueS') return ['0', '-5', '"60"', '1e999'];
  return ['"wk-2"', '[7]', '["nothing"]', '{}'];
}

test('a submission that lacks a field, or in which one is not as it may be, is malformed at every node and leaves nothing', async () => {
  const { c } = await busy(1);
  const post = async (node: string, text: string) =>
    (
      await c.answered(
        c.nodes.get(node)!.api.handle({ ...c.request('POST', '/api/jobs'), body: Buffer.from(text) }),
      )
    ).status;
  const good = job('wk-9', { waitsOn: null }) as Record<string, unknown>;
  const fields = Object.keys(good);
  assert.deepEqual(fields.sort(), [...TEXT, ...AMOUNTS, ...FLAGS, 'pieces', ...MAY_BE_NULL].sort());
  let turn = 0;
  const node = () => NODES[turn++ % NODES.length]!;
  for (const field of fields) {
    const { [field]: _, ...without } = good;
    if (!MAY_BE_NULL.includes(field))
      assert.equal(await post(node(), JSON.stringify(without)), 400, `without ${field}`);
    for (const value of wrongValues(field)) {
      const text = JSON.stringify({ ...without, [field]: '§' }).replace('"§"', value);
      assert.equal(await post(node(), text), 400, `${field}: ${value}`);
    }
  }
  for (const text of ['', 'x', '[]', 'null', '7', '{', JSON.stringify([good])])
    assert.equal(await post(node(), text), 400, text);
  assert.equal(await status(c, 'n0', 'wk-9'), 404, 'nothing of it is there');
  // A malformed request under the id of an accepted job changes nothing of it.
  assert.equal(await post('n0', JSON.stringify({ ...good, id: 'wk-1', pieces: 'many' })), 400);
  for (const n of NODES) assert.equal(await status(c, n, 'wk-1'), 'running');
  // What may be null may be left out as well.
  const { flavors: _f, yard: _y, dueS: _d, waitsOn: _w, ...least } = good;
  assert.equal(await post('n1', JSON.stringify(least)), 201);
});

test('what can never run is refused for good by every node, and what was accepted once never is', async () => {
  const c = new FakeCluster(NODES);
  c.teams = [{ name: 'red', cpus: 16, cpusMax: 32, gpus: 0, gpusMax: 2 }];
  for (let i = 0; i < 3; i++) c.addWorker('c8', 'a');
  c.moreTypes.push(['c64', 64, 0]);
  for (const n of NODES) c.startNode(n);
  await c.clock.advance(8000);
  for (const [why, change] of [
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
      const wire = job('wk-bad', change);
      assert.equal((await c.call(n, 'POST', '/api/jobs', wire)).status, 422, `${why}, at ${n}`);
      assert.equal(await status(c, n, 'wk-bad'), 404);
    }
  // An array is taken although all of it at once would be beyond the limit.
  assert.equal((await c.call('n0', 'POST', '/api/jobs', job('wk-1', { pieces: 100, cpus: 8 }))).status, 201);
  const large = job('wk-2', { cpus: 30, flavors: ['c64'] });
  assert.equal((await c.call('n1', 'POST', '/api/jobs', large)).status, 201);
  const over = job('wk-3', { cpus: 1 });
  assert.equal((await c.call('n1', 'POST', '/api/jobs', over)).status, 201);
  assert.equal((await c.call('n2', 'POST', '/api/jobs/wk-3/abort')).status, 200);
  // The type goes, and the nodes learn of it: what was accepted is known all the same.
  c.moreTypes.pop();
  await c.clock.advance(40_000);
  assert.equal((await c.call('n0', 'POST', '/api/jobs', { ...large, id: 'wk-4' })).status, 422);
  for (const n of NODES) {
    const r = await c.call(n, 'POST', '/api/jobs', large);
    assert.deepEqual([r.status, (r.body as { status: string }).status], [200, 'queued']);
    const again = await c.call(n, 'POST', '/api/jobs', { ...over, cpus: 900 });
    assert.deepEqual([again.status, (again.body as { status: string }).status], [200, 'aborted']);
  }
});

test('a job that is done stays done, whoever cancels it, wherever and however often', async () => {
  const { c, k } = await busy(1);
  const abort = async (n: string) => {
    const r = await c.call(n, 'POST', '/api/jobs/wk-1/abort');
    return [r.status, (r.body as { status?: string }).status];
  };
  for (const w of c.workers) for (const a of [...w.attempts]) w.end(a.task, 'done');
  assert.ok(await c.clock.until(() => c.state.value('job/wk-1') !== undefined, 10_000));
  for (const n of [...NODES, ...NODES]) assert.deepEqual(await abort(n), [200, 'done']);
  // Also by those who have it from its record alone, when its owner has ended.
  const old = c.owner(k)!;
  c.killNode(old);
  for (const n of NODES.filter((x) => x !== old)) assert.deepEqual(await abort(n), [200, 'done']);
  c.startNode(old);
  await c.clock.advance(9000);
  for (const n of NODES) {
    assert.deepEqual(await abort(n), [200, 'done']);
    assert.equal(await status(c, n, 'wk-1'), 'done');
  }
  assert.equal((await c.call('n0', 'POST', '/api/jobs/wk-none/abort')).status, 404);
});
