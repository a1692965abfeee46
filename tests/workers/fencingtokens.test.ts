import assert from 'node:assert/strict';
import { test } from 'node:test';
import pino from 'pino';
import { Worker } from '../../src/emulator/worker.js';
import { readHeartbeat } from '../../src/wire/workers.js';
import type { Machine, TaskAttempt } from '../../src/workers/machine.js';
import { MachineRegistry } from '../../src/workers/machineregistry.js';
import { FakeClock } from '../support/clock.js';
import { LEASE_S } from '../support/cluster.js';
import { FakeNet } from '../support/net.js';

const ADDR = '10.1.0.1:9000';
const TERM = 10;

function createMachine(now: number): Machine {
  return {
    ...{ id: 'm-000001', addr: ADDR, type: 0, zone: 0, spot: false, decommissioning: false, version: TERM },
    ...{
      fencingToken: TERM,
      minFencingToken: TERM,
      incarnation: 0,
      heartbeatSequence: -1,
      minIncarnation: 0,
    },
    ...{ reconciled: false, mayHoldUnreportedTasks: false, leaseRenewedAt: now, lastAcknowledgedAt: now },
    ...{ lastHeartbeatAt: null, leaseExpired: false, rentedAt: now, reclaimAt: null, attempts: new Map() },
    ...{ images: new Map(), idleSince: now, unreachableAt: null, unconfirmedResponses: 0 },
    ...{ consecutiveErrors: 0, quarantinedUntil: 0 },
  };
}

/** A registry with one machine, whose worker sends a heartbeat when `report` is called. */
function createRegistry() {
  const clock = new FakeClock();
  const net = new FakeNet(clock);
  const shard = { ownedRevision: TERM, changingShard: false, recordsWritten: 0, gone: [] as TaskAttempt[] };
  const identity = { id: 'm-000001', addr: ADDR, type: 'c8', zone: 'a', spot: false };
  const worker = new Worker(clock, identity, LEASE_S);
  net.peers.set(ADDR, (method, path, body) => worker.serve(method, path, body));
  const times = { reportS: 3, leaseS: LEASE_S };
  const registry = new MachineRegistry(clock, net.requester('n0'), times, pino({ level: 'silent' }), {
    holdsShard: () => true,
    ownedRevision: () => shard.ownedRevision,
    writeRecord: async () => {
      shard.recordsWritten++;
      shard.ownedRevision++;
      return shard.ownedRevision;
    },
    isChangingShard: () => shard.changingShard,
    onAttemptFound: () => undefined,
    onAttemptChanged: (attempt) => {
      attempt.exitRecorded = attempt.state === 'exited';
    },
    onAttemptGone: (attempt) => shard.gone.push(attempt),
    onIncarnation: () => undefined,
    announceStarts: () => null,
    requestPlan: () => undefined,
  });
  const machine = createMachine(clock.now());
  registry.machines.set(machine.id, machine);
  const report = async () => {
    const sentAt = clock.now();
    const answer = registry.onHeartbeat(machine, readHeartbeat(worker.report())!);
    if (answer) worker.handleHeartbeatResponse(JSON.parse(JSON.stringify(answer)), sentAt);
    await clock.advance(1000);
  };
  return { clock, net, shard, worker, registry, machine, report };
}

// Guards against a token above that of the machine's next owner, which the machine would refuse for good: the version
// that gives the machine to another shard may be older than the latest revision that this owner learns meanwhile.
test('no token is raised while the record of a machine may be giving it to another shard', async () => {
  const { shard, worker, registry, machine, report } = createRegistry();
  await report();
  registry.startTasks(machine, [{ job: 'wk-1', index: 0, attempt: 1 }]);
  await report();
  worker.endTask('wk-1/0', 'error');
  shard.changingShard = true;
  shard.ownedRevision = TERM + 5;
  for (let i = 0; i < 5; i++) await report();
  assert.deepEqual([worker.fencingToken, worker.attempts.length, shard.recordsWritten], [TERM, 1, 0]);
  shard.changingShard = false;
  await report();
  assert.deepEqual([worker.fencingToken, worker.attempts.length], [TERM + 5, 0]);
  assert.equal(shard.recordsWritten, 0, 'the revision is known and needs no write');
});

// Guards against an unanswered start that counts as gone although it may still be executed: a heartbeat from before the
// machine has seen the newer token does not show that.
test('an unanswered start counts as gone only once the machine has seen a newer token', async () => {
  const { clock, net, shard, worker, registry, machine, report } = createRegistry();
  await report();
  net.outcomeOf = () => 'hold';
  registry.startTasks(machine, [{ job: 'wk-1', index: 0, attempt: 1 }]);
  shard.ownedRevision = TERM + 5;
  const before = readHeartbeat(worker.report())!;
  await clock.advance(4000);
  assert.equal(machine.fencingToken, TERM + 5, 'the start is made void without a write');
  assert.equal(shard.recordsWritten, 0);
  registry.onHeartbeat(machine, before);
  assert.equal(shard.gone.length, 0);
  await report();
  await report();
  assert.equal(shard.gone.length, 1);
  await net.release();
  assert.deepEqual(worker.executedStarts, [], 'the late start is refused');
});
