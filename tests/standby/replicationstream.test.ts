import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MAX_BATCH_RECORDS, readReplicationMessage } from '../../src/standby/messages.js';
import { type ReplicationRecord, writeReplicationRecord } from '../../src/standby/replicationrecord.js';
import { ReplicationStream } from '../../src/standby/replicationstream.js';
import { ShardReplica } from '../../src/standby/shardreplica.js';
import { chooseStandby, EvictionBackoff } from '../../src/standby/standbyselection.js';

const runsOnlyOn = (job: string, machines: string[] | null): ReplicationRecord => ({
  kind: 'runsOnlyOn',
  job,
  machines,
});
const taskStart = (job: string, machine: string) => ({ job, machine });

/** Delivers one message and its acknowledgement. */
function exchange(stream: ReplicationStream, replica: ShardReplica): void {
  const { from, records } = stream.batch();
  replica.applyBatch(from, records);
  stream.acknowledge(replica.nextSequence);
}

function inSyncPair(records: ReplicationRecord[]): { stream: ReplicationStream; replica: ShardReplica } {
  const stream = new ReplicationStream({ snapshot: () => records[Symbol.iterator]() });
  const replica = new ShardReplica();
  for (let i = 0; i < 100 && !stream.inSync; i++) exchange(stream, replica);
  assert.ok(stream.inSync && replica.inSync);
  return { stream, replica };
}

test('sends a snapshot in bounded pieces, and the replica is in sync only after the last piece', () => {
  const snapshotRecords = Array.from({ length: 1400 }, (_, i) => runsOnlyOn(`wk-${i}`, [`m-${i % 420}`]));
  const stream = new ReplicationStream({ snapshot: () => snapshotRecords[Symbol.iterator]() });
  const replica = new ShardReplica();
  let messages = 0;
  while (!stream.inSync) {
    assert.equal(replica.machinesOf('wk-7'), null, 'placements are unknown before the replica is in sync');
    const { records } = stream.batch();
    assert.ok(records.length <= MAX_BATCH_RECORDS);
    assert.ok(JSON.stringify(records.map(writeReplicationRecord)).length < 64 * 1024);
    exchange(stream, replica);
    messages++;
  }
  assert.ok(messages >= 5 && messages < 12, `${messages} messages`);
  assert.deepEqual([...replica.machinesOf('wk-7')!], ['m-7']);
  assert.deepEqual([...replica.machinesOf('wk-9999')!], [], 'a job without records was never started');
});

test('delays a start until its announcement is acknowledged, and does not delay it while no standby is in sync', async () => {
  const unsyncedStream = new ReplicationStream({
    snapshot: () => [runsOnlyOn('wk-1', ['m-1'])][Symbol.iterator](),
  });
  assert.equal(
    unsyncedStream.announce([taskStart('wk-2', 'm-2')]),
    null,
    'a replica that is not in sync does not delay a start',
  );
  const { stream, replica } = inSyncPair([]);
  const settled: string[] = [];
  const note = (name: string, announcement: Promise<boolean> | null) => {
    assert.ok(announcement);
    void announcement.then((ok) => settled.push(`${name} ${ok}`));
  };
  note('a', stream.announce([taskStart('wk-3', 'm-3'), taskStart('wk-3', 'm-3')]));
  const first = stream.batch();
  assert.equal(first.records.length, 1, 'a repeated start is announced once');
  note('b', stream.announce([taskStart('wk-4', 'm-4')]));
  replica.applyBatch(first.from, first.records);
  stream.acknowledge(replica.nextSequence);
  await Promise.resolve();
  assert.deepEqual(settled, ['a true'], 'the second announcement was not part of that message');
  stream.close(false);
  await Promise.resolve();
  assert.deepEqual(settled, ['a true', 'b false'], 'a former owner must not start anything');
});

test('ignores repeated and late messages, and messages after a gap', () => {
  const { stream, replica } = inSyncPair([]);
  stream.add({ kind: 'mayRunOn', job: 'wk-1', machine: 'm-1' });
  const first = stream.batch();
  replica.applyBatch(first.from, first.records);
  stream.add({ kind: 'leftMachine', job: 'wk-1', machine: 'm-1' });
  const secondBatch = stream.batch();
  replica.applyBatch(secondBatch.from, secondBatch.records);
  replica.applyBatch(first.from, first.records);
  assert.deepEqual([...replica.machinesOf('wk-1')!], [], 'a late older record is not applied again');
  const before = replica.nextSequence;
  replica.applyBatch(before + 3, [{ kind: 'mayRunOn', job: 'wk-2', machine: 'm-2' }]);
  assert.equal(replica.nextSequence, before, 'nothing is applied after a gap');
  stream.acknowledge(replica.nextSequence);
  assert.ok(stream.inSync);
  // A standby that has lost its replica acknowledges nothing, and receives a new snapshot.
  const emptyReplica = new ShardReplica();
  stream.add({ kind: 'mayRunOn', job: 'wk-5', machine: 'm-5' });
  const { from, records } = stream.batch();
  emptyReplica.applyBatch(from, records);
  assert.equal(emptyReplica.nextSequence, 0);
  stream.acknowledge(emptyReplica.nextSequence);
  for (let i = 0; i < 5 && !stream.inSync; i++) exchange(stream, emptyReplica);
  assert.ok(emptyReplica.inSync);
});

test('restarts the stream instead of growing when the standby acknowledges nothing, and still delays start orders', async () => {
  let snapshotsTaken = 0;
  const stream = new ReplicationStream({
    snapshot: () => {
      snapshotsTaken++;
      return [runsOnlyOn('wk-1', ['m-1', 'm-9'])][Symbol.iterator]();
    },
  });
  const replica = new ShardReplica();
  while (!stream.inSync) exchange(stream, replica);
  let settled: boolean | null = null;
  void stream.announce([taskStart('wk-1', 'm-9')])!.then((ok) => {
    settled = ok;
  });
  for (let i = 0; i < 20_000; i++) stream.add({ kind: 'mayRunOn', job: `wk-${i}`, machine: 'm-3' });
  assert.ok(stream.unacknowledged <= 6000);
  assert.ok(stream.streams > 1);
  await Promise.resolve();
  assert.equal(settled, null, 'the replica is still in sync and does not contain the start');
  const { from, records } = stream.batch();
  replica.applyBatch(from, records);
  stream.acknowledge(replica.nextSequence);
  await Promise.resolve();
  assert.equal(settled, true, 'the replica has discarded its state or contains the start');
  while (!stream.inSync) exchange(stream, replica);
  assert.ok(snapshotsTaken > 1);
  assert.ok(replica.machinesOf('wk-1')!.has('m-9'));
});

test('reports placements as unknown when they exceed the limits of the replica', () => {
  const { stream, replica } = inSyncPair([]);
  for (let i = 0; i < 80; i++) stream.add({ kind: 'mayRunOn', job: 'wk-wide', machine: `m-${i}` });
  stream.add(runsOnlyOn('wk-sure', ['m-1']));
  stream.add({ kind: 'mayRunOn', job: 'wk-over', machine: 'm-1' });
  stream.add({ kind: 'jobEnded', job: 'wk-over' });
  while (!stream.inSync) exchange(stream, replica);
  assert.equal(replica.machinesOf('wk-wide'), null);
  assert.deepEqual([...replica.machinesOf('wk-sure')!], ['m-1']);
  assert.ok(replica.size < 10);
  for (let j = 0; j < 2000; j++)
    for (let i = 0; i < 20; i++) stream.add({ kind: 'mayRunOn', job: `wk-${j}`, machine: `m-${i}` });
  for (let i = 0; i < 400 && !stream.inSync; i++) exchange(stream, replica);
  assert.ok(replica.size < 45_000, `${replica.size} entries`);
});

test('rejects invalid replication messages', () => {
  const valid = { shard: 0, term: 3, revision: 4, run: 'n1-1', from: 0, records: [], changes: 0 };
  assert.ok(readReplicationMessage(valid));
  for (const invalid of [
    null,
    [],
    { ...valid, term: 0 },
    { ...valid, from: -1 },
    { ...valid, records: [{ t: 'at', job: 1, machine: 'm' }] },
    { ...valid, records: Array.from({ length: MAX_BATCH_RECORDS + 1 }, () => ({ t: 'level' })) },
    { ...valid, run: undefined },
  ])
    assert.equal(readReplicationMessage(invalid), null);
});

test('chooses the preferred node first, then by zone and load, and avoids the next node of a rolling restart', () => {
  const order = ['n0', 'n1', 'n2', 'n3', 'n4'];
  const zones: Record<string, string> = { n0: 'a', n1: 'b', n2: 'a', n3: 'b', n4: 'a' };
  const loads: Record<string, number> = { n0: 200, n1: 180, n2: 190, n3: 1, n4: 1 };
  const choose = (owner: string, preferredNode: string, ineligible: string[] = []) =>
    chooseStandby({
      owner,
      preferredNode,
      order,
      isEligible: (n) => !ineligible.includes(n),
      load: (n) => loads[n]!,
      zoneOf: (n) => zones[n]!,
      machines: new Map([['a', 150]]),
    });
  assert.equal(choose('n0', 'n0'), 'n4', 'in the zone of the machines, with the lowest load');
  assert.equal(choose('n0', 'n0', ['n4']), 'n2');
  assert.equal(choose('n0', 'n0', ['n4', 'n2']), 'n3', 'n1 is restarted next');
  assert.equal(choose('n0', 'n0', ['n2', 'n3', 'n4']), 'n1', 'the only node left');
  assert.equal(choose('n4', 'n1'), 'n1');
  assert.equal(choose('n0', 'n0', ['n1', 'n2', 'n3', 'n4']), null);
  const backoff = new EvictionBackoff();
  backoff.onEvicted('n1', 0);
  assert.deepEqual([backoff.isBackingOff('n1', 4000), backoff.isBackingOff('n1', 6000)], [true, false]);
  backoff.onEvicted('n1', 7000);
  assert.deepEqual([backoff.isBackingOff('n1', 16_000), backoff.isBackingOff('n1', 18_000)], [true, false]);
});
