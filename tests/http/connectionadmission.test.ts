import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  type ClientKind,
  ConnectionAdmission,
  type ConnectionSlot,
} from '../../src/http/connectionadmission.js';

/** A `ConnectionAdmission` with its open and evicted slots. */
class Connections {
  readonly admission: ConnectionAdmission;
  readonly open: ConnectionSlot[] = [];
  evicted: ConnectionSlot[] = [];

  constructor(capacity: number) {
    this.admission = new ConnectionAdmission(capacity);
  }

  admit(address: string): ConnectionSlot | null {
    const evict = () => {
      this.evicted.push(slot!);
      this.open.splice(this.open.indexOf(slot!), 1);
    };
    const slot: ConnectionSlot | null = this.admission.admit(address, evict);
    if (slot) this.open.push(slot);
    return slot;
  }

  /** Admits a connection and completes a request of the given kind on it. */
  admitIdentified(address: string, kind: ClientKind): ConnectionSlot {
    const slot = this.admit(address)!;
    slot.initialDataRead = true;
    this.admission.tryServe(slot, kind);
    this.admission.onAnswered(slot, kind);
    return slot;
  }
}

test('first evicts unidentified connections of the address with the most, then idle users, workers last', () => {
  const server = new Connections(40);
  for (let i = 0; i < 20; i++) server.admitIdentified(`10.1.0.${i}`, 'worker');
  const users = [...Array(10).keys()].map((i) => server.admitIdentified(`10.2.0.${i}`, 'user'));
  const single = server.admit('10.3.0.1')!;
  single.initialDataRead = true;
  for (let i = 0; i < 4; i++) server.admit('10.3.0.2')!.initialDataRead = true;
  while (server.open.length < 38) server.admitIdentified('10.4.0.1', 'health');
  for (let i = 0; i < 3; i++) server.admitIdentified(`10.1.1.${i}`, 'worker');
  assert.deepEqual(new Set(server.evicted.map((s) => s.address)), new Set(['10.3.0.2']));
  server.evicted = [];
  for (let i = 0; i < 2; i++) server.admitIdentified(`10.1.2.${i}`, 'worker');
  assert.ok(server.evicted.includes(single) && server.evicted.every((s) => s.kind === 'unidentified'));
  server.evicted = [];
  // The first user has just completed another request, so it is the most recently used one.
  server.admission.tryServe(users[0]!, 'user');
  server.admission.onAnswered(users[0]!, 'user');
  for (let i = 0; i < 9; i++) server.admitIdentified(`10.1.3.${i}`, 'worker');
  assert.deepEqual(server.evicted, users.slice(1));
  server.admitIdentified('10.1.4.0', 'worker');
  assert.equal(server.evicted.at(-1), users[0]);
  server.admitIdentified('10.1.5.0', 'worker');
  assert.equal(server.evicted.at(-1)!.address, '10.1.0.0');
});

// Guards against slow user requests occupying all slots, so that no heartbeat is received.
test('reserves slots for workers and health checks while user requests are in progress', () => {
  const server = new Connections(50);
  let served = 0;
  for (let i = 0; i < 60; i++) {
    const slot = server.admit('10.2.0.1');
    if (!slot) continue;
    slot.initialDataRead = true;
    if (server.admission.tryServe(slot, 'user')) served++;
    else server.admission.release(slot);
  }
  assert.equal(served, 30);
  assert.equal(server.admission.counts.deferred, 30);
  for (let i = 0; i < 18; i++) assert.ok(server.admit(`10.1.0.${i}`), 'a worker is admitted');
});

// Guards against a stalled process closing connections whose requests have arrived but have not been read yet.
test('a burst of connections with unread data evicts no worker and is kept while slots are free', () => {
  const server = new Connections(100);
  for (let i = 0; i < 40; i++) server.admitIdentified(`10.1.0.${i}`, 'worker');
  for (let i = 0; i < 200; i++) server.admit('10.9.0.1');
  assert.ok(server.open.filter((s) => s.address === '10.9.0.1').length >= 35);
  assert.deepEqual(server.evicted, []);
  const newcomer = server.admit('10.1.0.50');
  assert.ok(newcomer, 'a connection from another address is admitted during the burst');
});

test('never exceeds the capacity and evicts a worker only if no other connection can be evicted', () => {
  const step = fc.record({
    what: fc.constantFrom('enter', 'look', 'engage', 'serve', 'settle', 'leave'),
    who: fc.nat(200),
    address: fc.nat(5),
    kind: fc.constantFrom('user' as const, 'worker' as const, 'health' as const),
  });
  fc.assert(
    fc.property(fc.integer({ min: 4, max: 30 }), fc.array(step, { maxLength: 300 }), (capacity, steps) => {
      const server = new Connections(capacity);
      const inProgress = new Set<ConnectionSlot>();
      for (const action of steps) {
        const slot = server.open[action.who % Math.max(1, server.open.length)];
        if (action.what === 'enter') {
          const nonWorkers = server.open.filter((o) => o.kind !== 'worker' && o.kind !== 'health');
          const hasEvictable = nonWorkers.some((o) =>
            o.kind === 'unidentified' ? o.initialDataRead : !o.answeringUser,
          );
          server.evicted = [];
          server.admit(`10.0.0.${action.address}`);
          if (hasEvictable)
            assert.ok(
              !server.evicted.some((v) => v.kind === 'worker'),
              'a worker was evicted while another connection could be',
            );
        } else if (!slot) continue;
        else if (action.what === 'look') slot.initialDataRead = true;
        else if (action.what === 'engage') server.admission.onRequestStarted(slot);
        else if (action.what === 'serve' && !inProgress.has(slot)) {
          if (server.admission.tryServe(slot, action.kind)) inProgress.add(slot);
        } else if (action.what === 'settle' && inProgress.has(slot)) {
          server.admission.onAnswered(slot, action.kind);
          inProgress.delete(slot);
        } else if (action.what === 'leave') {
          server.open.splice(server.open.indexOf(slot), 1);
          server.admission.release(slot);
        }
        assert.ok(server.open.length <= capacity);
        assert.equal(server.admission.openCount, server.open.length);
        const served = server.open.filter((o) => o.answeringUser).length;
        assert.ok(served <= Math.ceil(capacity * 0.6), `${served} of ${capacity} served`);
      }
      for (const slot of [...server.open]) server.admission.release(slot);
      assert.equal(server.admission.openCount, 0);
    }),
    { seed: 20261201, numRuns: 300 },
  );
});
