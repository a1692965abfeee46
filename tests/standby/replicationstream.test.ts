import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MAX_BATCH_RECORDS, readReplicationMessage } from '../../src/standby/messages.js';
import { type ReplicationRecord, writeReplicationRecord } from '../../src/standby/replicationrecord.js';
import { ReplicationStream } from '../../src/standby/replicationstream.js';
import { ShardReplica } from '../../src/standby/shardreplica.js';
import { chooseStandby, EvictionBackoff } from '../../src/standby/standbyselection.js';

const only = (job: string, machines: string[] | null): ReplicationRecord => ({
  kind: 'runsOnlyOn',
  job,
  machines,
});
const at = (job: string, machine: string) => ({ job, machine });

/** One message and its answer. */
function exchange(feed: ReplicationStream, copy: ShardReplica): void {
  const { from, records } = feed.batch();
  copy.applyBatch(from, records);
  feed.acknowledge(copy.nextSequence);
}

function levelled(records: ReplicationRecord[]): { feed: ReplicationStream; copy: ShardReplica } {
  const feed = new ReplicationStream({ snapshot: () => records[Symbol.iterator]() });
  const copy = new ShardReplica();
  for (let i = 0; i < 100 && !feed.inSync; i++) exchange(feed, copy);
  assert.ok(feed.inSync && copy.inSync);
  return { feed, copy };
}

test('a snapshot comes in bounded pieces, and only after the last of them the copy is level', () => {
  const many = Array.from({ length: 1400 }, (_, i) => only(`wk-${i}`, [`m-${i % 420}`]));
  const feed = new ReplicationStream({ snapshot: () => many[Symbol.iterator]() });
  const copy = new ShardReplica();
  let messages = 0;
  while (!feed.inSync) {
    assert.equal(copy.machinesOf('wk-7'), null, 'nothing is sure before');
    const { records } = feed.batch();
    assert.ok(records.length <= MAX_BATCH_RECORDS);
    assert.ok(JSON.stringify(records.map(writeReplicationRecord)).length < 64 * 1024);
    exchange(feed, copy);
    messages++;
  }
  assert.ok(messages >= 5 && messages < 12, `${messages} messages`);
  assert.deepEqual([...copy.machinesOf('wk-7')!], ['m-7']);
  assert.deepEqual([...copy.machinesOf('wk-9999')!], [], 'never started anywhere');
});

test('a start waits for the acknowledgement of its announcement, and for nothing while nobody is level', async () => {
  const early = new ReplicationStream({ snapshot: () => [only('wk-1', ['m-1'])][Symbol.iterator]() });
  assert.equal(
    early.announce([at('wk-2', 'm-2')]),
    null,
    'a copy that is not level makes nobody start anything',
  );
  const { feed, copy } = levelled([]);
  const settled: string[] = [];
  const note = (name: string, clear: Promise<boolean> | null) => {
    assert.ok(clear);
    void clear.then((ok) => settled.push(`${name} ${ok}`));
  };
  note('a', feed.announce([at('wk-3', 'm-3'), at('wk-3', 'm-3')]));
  const first = feed.batch();
  assert.equal(first.records.length, 1, 'said once');
  note('b', feed.announce([at('wk-4', 'm-4')]));
  copy.applyBatch(first.from, first.records);
  feed.acknowledge(copy.nextSequence);
  await Promise.resolve();
  assert.deepEqual(settled, ['a true'], 'the second came after that message');
  feed.close(false);
  await Promise.resolve();
  assert.deepEqual(settled, ['a true', 'b false'], 'an owner that is none any more starts nothing');
});

test('messages that come twice, late or after a gap leave the copy as it should be', () => {
  const { feed, copy } = levelled([]);
  feed.add({ kind: 'mayRunOn', job: 'wk-1', machine: 'm-1' });
  const first = feed.batch();
  copy.applyBatch(first.from, first.records);
  feed.add({ kind: 'leftMachine', job: 'wk-1', machine: 'm-1' });
  const both = feed.batch();
  copy.applyBatch(both.from, both.records);
  copy.applyBatch(first.from, first.records);
  assert.deepEqual([...copy.machinesOf('wk-1')!], [], 'the older word does not count again');
  const before = copy.nextSequence;
  copy.applyBatch(before + 3, [{ kind: 'mayRunOn', job: 'wk-2', machine: 'm-2' }]);
  assert.equal(copy.nextSequence, before, 'nothing is taken beyond a gap');
  feed.acknowledge(copy.nextSequence);
  assert.ok(feed.inSync);
  // A standby that has lost its copy says that it lacks all of it.
  const anew = new ShardReplica();
  feed.add({ kind: 'mayRunOn', job: 'wk-5', machine: 'm-5' });
  const { from, records } = feed.batch();
  anew.applyBatch(from, records);
  assert.equal(anew.nextSequence, 0);
  feed.acknowledge(anew.nextSequence);
  for (let i = 0; i < 5 && !feed.inSync; i++) exchange(feed, anew);
  assert.ok(anew.inSync);
});

test('a standby that takes nothing makes the stream begin anew rather than grow, and orders still wait for it', async () => {
  let drawn = 0;
  const feed = new ReplicationStream({
    snapshot: () => {
      drawn++;
      return [only('wk-1', ['m-1', 'm-9'])][Symbol.iterator]();
    },
  });
  const copy = new ShardReplica();
  while (!feed.inSync) exchange(feed, copy);
  let clear: boolean | null = null;
  void feed.announce([at('wk-1', 'm-9')])!.then((ok) => {
    clear = ok;
  });
  for (let i = 0; i < 20_000; i++) feed.add({ kind: 'mayRunOn', job: `wk-${i}`, machine: 'm-3' });
  assert.ok(feed.unacknowledged <= 6000);
  assert.ok(feed.streams > 1);
  await Promise.resolve();
  assert.equal(clear, null, 'the copy is level as it was, and knows nothing of that start');
  const { from, records } = feed.batch();
  copy.applyBatch(from, records);
  feed.acknowledge(copy.nextSequence);
  await Promise.resolve();
  assert.equal(clear, true, 'now it has forgotten all, or knows');
  while (!feed.inSync) exchange(feed, copy);
  assert.ok(drawn > 1);
  assert.ok(copy.machinesOf('wk-1')!.has('m-9'));
});

test('what the copy cannot keep apart it does not claim to know', () => {
  const { feed, copy } = levelled([]);
  for (let i = 0; i < 80; i++) feed.add({ kind: 'mayRunOn', job: 'wk-wide', machine: `m-${i}` });
  feed.add(only('wk-sure', ['m-1']));
  feed.add({ kind: 'mayRunOn', job: 'wk-over', machine: 'm-1' });
  feed.add({ kind: 'jobEnded', job: 'wk-over' });
  while (!feed.inSync) exchange(feed, copy);
  assert.equal(copy.machinesOf('wk-wide'), null);
  assert.deepEqual([...copy.machinesOf('wk-sure')!], ['m-1']);
  assert.ok(copy.size < 10);
  for (let j = 0; j < 2000; j++)
    for (let i = 0; i < 20; i++) feed.add({ kind: 'mayRunOn', job: `wk-${j}`, machine: `m-${i}` });
  for (let i = 0; i < 400 && !feed.inSync; i++) exchange(feed, copy);
  assert.ok(copy.size < 45_000, `${copy.size} entries`);
});

test('messages that are none are not taken, whoever sent them', () => {
  const good = { shard: 0, term: 3, revision: 4, run: 'n1-1', from: 0, records: [], changes: 0 };
  assert.ok(readReplicationMessage(good));
  for (const bad of [
    null,
    [],
    { ...good, term: 0 },
    { ...good, from: -1 },
    { ...good, records: [{ t: 'at', job: 1, machine: 'm' }] },
    { ...good, records: Array.from({ length: MAX_BATCH_RECORDS + 1 }, () => ({ t: 'level' })) },
    { ...good, run: undefined },
  ])
    assert.equal(readReplicationMessage(bad), null);
});

test('who stands by: home first, then the zone of the machines, then the idle, and not the next of a roll', () => {
  const order = ['n0', 'n1', 'n2', 'n3', 'n4'];
  const zones: Record<string, string> = { n0: 'a', n1: 'b', n2: 'a', n3: 'b', n4: 'a' };
  const loads: Record<string, number> = { n0: 200, n1: 180, n2: 190, n3: 1, n4: 1 };
  const choose = (owner: string, home: string, out: string[] = []) =>
    chooseStandby({
      owner,
      home,
      order,
      isEligible: (n) => !out.includes(n),
      load: (n) => loads[n]!,
      zoneOf: (n) => zones[n]!,
      machines: new Map([['a', 150]]),
    });
  assert.equal(choose('n0', 'n0'), 'n4', 'of its zone and idle');
  assert.equal(choose('n0', 'n0', ['n4']), 'n2');
  assert.equal(choose('n0', 'n0', ['n4', 'n2']), 'n3', 'n1 is restarted next');
  assert.equal(choose('n0', 'n0', ['n2', 'n3', 'n4']), 'n1', 'better than none');
  assert.equal(choose('n4', 'n1'), 'n1');
  assert.equal(choose('n0', 'n0', ['n1', 'n2', 'n3', 'n4']), null);
  const struck = new EvictionBackoff();
  struck.onEvicted('n1', 0);
  assert.deepEqual([struck.isBackingOff('n1', 4000), struck.isBackingOff('n1', 6000)], [true, false]);
  struck.onEvicted('n1', 7000);
  assert.deepEqual([struck.isBackingOff('n1', 16_000), struck.isBackingOff('n1', 18_000)], [true, false]);
});
