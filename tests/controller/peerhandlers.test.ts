import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Membership } from '../../src/controller/membership.js';
import type { OwnerClient } from '../../src/controller/ownerclient.js';
import type { Ownership } from '../../src/controller/ownership.js';
import { PeerConnections } from '../../src/controller/peerconnections.js';
import { PeerHandlers } from '../../src/controller/peerhandlers.js';
import type { RateAllocator } from '../../src/controller/rateallocator.js';
import { UnavailableError } from '../../src/errors/errors.js';
import type { Shard } from '../../src/scheduler/shard.js';

/** Returns the handlers of a node that owns shard 1, with fakes that record their calls. */
function handlers() {
  const calls: unknown[][] = [];
  const recorder =
    (name: string, answer: unknown = null) =>
    (...args: unknown[]) => {
      calls.push([name, ...args]);
      return answer;
    };
  const shard = {
    ready: true,
    transferMachine: recorder('transferMachine', true),
    evictForTransfer: recorder('evictForTransfer', true),
    reserveForTransfer: recorder('reserveForTransfer', true),
    dependencyStatus: recorder('dependencyStatus', []),
    onDependencyEnded: recorder('onDependencyEnded'),
    status: recorder('status'),
    list: recorder('list', []),
    registry: { onRedirectedHeartbeat: recorder('onRedirectedHeartbeat') },
  } as unknown as Shard;
  const shards = new Map([[1, shard]]);
  const ownership = {
    shards,
    leader: {
      onUnregisteredMachine: recorder('onUnregisteredMachine'),
      onShardStatus: recorder('onShardStatus'),
    },
    workerConnectivity: { onRedirect: recorder('onRedirect') },
    incomingHandovers: { wait: async () => undefined },
    handovers: { accept: recorder('accept', false) },
    standbyCoordinator: null,
    onNewerTerm: recorder('onNewerTerm'),
  } as unknown as Ownership;
  const ownerClient = {
    localShard: (index: number) => {
      const found = shards.get(index);
      if (!found) throw new UnavailableError('not the owner');
      return found;
    },
  } as unknown as OwnerClient;
  const members = {
    successor: () => null,
    onOwnerAnnounced: recorder('onOwnerAnnounced'),
  } as unknown as Membership;
  const peerHandlers = new PeerHandlers({
    members,
    ownership,
    ownerClient,
    rateAllocator: null as unknown as RateAllocator,
    peers: new PeerConnections(),
  });
  return { peerHandlers, calls };
}

const MACHINE = { id: 'm-1', addr: '10.0.0.1:1', type: 'c8', zone: 'a', spot: false, ageS: 0 };
const HOLDER = { node: 'n1', run: 'n1-x', lease: 3 };

// Guards against a parser that rejects messages of earlier versions, or answers them differently from those versions.
test('answers messages, malformed ones included, as earlier versions do', async () => {
  for (const [op, args, answer, expected] of [
    ['give', { shard: 1, machine: 'm-1', to: 2, more: true }, true, [['transferMachine', 'm-1', 2]]],
    ['give', { shard: '1', machine: 5, to: '2' }, true, [['transferMachine', '5', 2]]],
    ['give', { shard: 'x', machine: 'm-1', to: 2 }, false, []],
    ['give', null, false, []],
    ['vacate', { shard: 1, machine: 'm-1', to: 2, priority: 3 }, true, [['evictForTransfer', 'm-1', 2, 3]]],
    ['vacate', { shard: 1 }, true, [['evictForTransfer', 'undefined', Number.NaN, Number.NaN]]],
    ['vacate', {}, false, []],
    ['cede', { shard: 1, to: 2, need: {}, zone: 'a' }, false, []],
    ['cede', [], false, []],
    ['assume', { shard: 4, term: 2 }, false, [['accept', 4, { shard: 4, term: 2 }]]],
    ['stand', {}, null, []],
    ['status', { shard: 1, id: 'j' }, null, [['status', 'j']]],
    ['list', { shard: 1, under: 'a', after: '', most: 9 }, [], [['list', 'a', '', 9]]],
    ['needed', { shard: 1, from: 2, claims: 'x' }, [], [['dependencyStatus', 2, []]]],
    ['over', { shard: 1, id: 'j', status: 'done' }, null, [['onDependencyEnded', 'j', 'done']]],
    ['over', { shard: 1, id: 'j', status: 'queued' }, null, []],
    ['over', { shard: 2, id: 'j', status: 'done' }, null, []],
    ['stray', { ...MACHINE, more: 1 }, null, [['onUnregisteredMachine', MACHINE]]],
    ['stray', { ...MACHINE, spot: 'no' }, null, []],
    ['gossip', { shard: 1 }, null, []],
    [
      'sent',
      { machine: 'm-1' },
      null,
      [
        ['onRedirect', 'm-1', 'n2'],
        ['onRedirectedHeartbeat', 'm-1'],
      ],
    ],
    [
      'owns',
      { shard: 3, term: 8, holder: HOLDER },
      null,
      [
        ['onOwnerAnnounced', 3, { node: 'n1', incarnation: 'n1-x', leaseId: 3 }, 8],
        ['onNewerTerm', 3, 8],
      ],
    ],
    ['owns', { shard: 3, term: 8.5, holder: HOLDER }, null, []],
    ['owns', { shard: 3, term: 8, holder: {} }, null, []],
  ] as [string, unknown, unknown, unknown[][]][]) {
    const { peerHandlers, calls } = handlers();
    const message = `${op} ${JSON.stringify(args)}`;
    assert.deepEqual(await peerHandlers.serve(op, args, 'n2'), answer, message);
    assert.deepEqual(calls, expected, message);
  }
});

test('requests that cannot be served fail with the same messages as in earlier versions', async () => {
  const { peerHandlers } = handlers();
  for (const [op, args, message] of [
    ['submit', { shard: 1 }, 'bad job'],
    ['submitAfter', null, 'bad job'],
    ['status', { shard: 7, id: 'j' }, 'not the owner'],
    ['cancel', {}, 'not the owner'],
    ['list', { shard: 'x' }, 'not the owner'],
    ['needed', {}, 'not the owner'],
    ['unheard', {}, 'unknown request unheard'],
  ] as const)
    await assert.rejects(peerHandlers.serve(op, args), { message }, op);
  peerHandlers.extensions.set('unheard', async (args) => args);
  assert.deepEqual(await peerHandlers.serve('unheard', { a: 1 }), { a: 1 });
  assert.deepEqual(await peerHandlers.serve('unheard', 5), {});
});
