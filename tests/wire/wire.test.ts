import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseSettings, SettingsError } from '../../src/config/settings.js';
import { TaskSet, tasksPerChunk } from '../../src/jobs/taskset.js';
import { encodeFrame, FrameReader } from '../../src/peer/frames.js';
import { readJob } from '../../src/wire/users.js';
import { readHeartbeat } from '../../src/wire/workers.js';
import { job } from '../support/cluster.js';

test('rejects a submission with a missing, mistyped or out-of-range field and names the field', () => {
  assert.equal(typeof readJob(job('wk-1')), 'object');
  const invalid: [object, string][] = [
    [{ id: 'x-1' }, 'id'],
    [{ pieces: 0 }, 'pieces'],
    [{ pieces: 1.5 }, 'pieces'],
    [{ pieces: 100_001 }, 'pieces'],
    [{ cpus: -1 }, 'cpus'],
    [{ cpus: '4' }, 'cpus'],
    [{ memoryGb: Number.NaN }, 'memoryGb'],
    [{ shape: 'other' }, 'shape'],
    [{ oneZone: undefined }, 'oneZone'],
    [{ dueS: 0 }, 'dueS'],
    [{ flavors: 'c8' }, 'flavors'],
  ];
  for (const [change, field] of invalid) {
    const error = readJob({ ...job('wk-1'), ...change });
    assert.equal(typeof error, 'string', field);
    assert.ok((error as string).startsWith(field), `${error}`);
  }
  const { flavors: _f, yard: _y, dueS: _d, ...rest } = job('wk-1') as Record<string, unknown>;
  assert.equal(typeof readJob(rest), 'object', 'nullable fields may be omitted');
});

test('rejects malformed heartbeats but accepts unknown fields and task states', () => {
  const report = {
    worker: 'm-1',
    addr: '10.0.0.1:9000',
    flavor: 'c8',
    yard: 'a',
    loaner: false,
    shift: 1,
    tally: 2,
    baton: 3,
    pieces: [{ piece: 'wk-1/7', try: 4, status: 'dreaming', extra: 1 }],
  };
  assert.deepEqual(readHeartbeat(report)?.tasks[0], {
    job: 'wk-1',
    index: 7,
    attempt: 4,
    state: 'running',
    cause: null,
    saved: false,
  });
  for (const change of [
    { addr: 'nowhere' },
    { shift: 'x' },
    { pieces: [{ piece: 'wk-1' }] },
    { worker: 7 },
  ]) {
    assert.equal(readHeartbeat({ ...report, ...change }), null);
  }
});

test('restores the set of done tasks of the largest job from chunks that fit the smallest value limit', () => {
  const chunkSize = tasksPerChunk(8);
  const set = new TaskSet(100_000);
  for (let i = 0; i < 100_000; i += 7) set.add(i);
  const copy = new TaskSet(100_000);
  for (let n = 0; n * chunkSize < 100_000; n++) {
    const text = set.chunk(n * chunkSize, chunkSize);
    assert.ok(text.length < 8 * 1024 - 64);
    copy.load(n * chunkSize, text);
  }
  assert.equal(copy.count, set.count);
  assert.ok(copy.has(99_995) && !copy.has(99_996));
});

test('decodes peer frames split at any byte and throws on malformed data', () => {
  const frames = Buffer.concat([
    encodeFrame({ q: 1, op: 'status', a: { id: 'wk-1' } }),
    encodeFrame({ r: 1, a: null }),
  ]);
  for (let cut = 1; cut < frames.length; cut++) {
    const reader = new FrameReader();
    assert.equal([...reader.feed(frames.subarray(0, cut)), ...reader.feed(frames.subarray(cut))].length, 2);
  }
  assert.throws(() => [...new FrameReader().feed(Buffer.from([255, 255, 255, 255, 0]))]);
});

test('rejects an invalid settings file and names the field', () => {
  const valid = `
node = "w0"
zone = "a"
bind = "127.0.0.1:1"
peer_bind = "127.0.0.1:2"
later = "unknown fields are ignored"
[external]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[params]
initial_size = 3
[params.workers]
report_s = 3.0
lease_s = 20.0
gang_wait_s = 40.0
gang_peer_s = 5.0
cancel_s = 45.0
[params.state]
rps = 150.0
write_rps = 50.0
value_kb = 8.0
txn_ops = 32
[params.cloud]
rps = 10.0
list_lag_s = 6.0
[params.limits]
cores = 0.17
memory_mb = 178.0
max_sockets = 800
`;
  assert.equal(parseSettings(valid).workers.leaseS, 20);
  // Lower limits that the key-value store announces for later (`state.next`) are applied from the start; higher ones
  // are not.
  const { stateLimits } = parseSettings(valid);
  const next = valid.replace(
    /(\[params\.state\][^[]*)/,
    '$1\n[params.state.next]\nvalue_kb = 2.0\nrps = 1e9\n',
  );
  assert.notEqual(next, valid);
  assert.deepEqual(parseSettings(next).stateLimits, { ...stateLimits, valueKb: 2 });
  assert.equal(parseSettings(next).layoutKb, stateLimits.valueKb);
  const assertRejected = (text: string, message: RegExp) =>
    assert.throws(
      () => parseSettings(text),
      (e) => e instanceof SettingsError && message.test(e.message),
    );
  assertRejected(valid.replace('lease_s = 20.0', 'lease_s = -1'), /params\.workers\.lease_s/);
  assertRejected(valid.replace('bind = "127.0.0.1:1"', 'bind = "here"'), /^bind/);
  assertRejected(valid.replace('initial_size = 3', ''), /params\.initial_size/);
  assertRejected('node = ', /TOML/);
});
