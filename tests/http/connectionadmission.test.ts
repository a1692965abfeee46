import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  type ClientKind,
  ConnectionAdmission,
  type ConnectionSlot,
} from '../../src/http/connectionadmission.js';

/** An admission with its open slots. */
class Connections {
  readonly admission: ConnectionAdmission;
  readonly open: ConnectionSlot[] = [];
  evicted: ConnectionSlot[] = [];

  constructor(places: number) {
    this.admission = new ConnectionAdmission(places);
  }

  admit(address: string): ConnectionSlot | null {
    const gone = () => {
      this.evicted.push(slot!);
      this.open.splice(this.open.indexOf(slot!), 1);
    };
    const slot: ConnectionSlot | null = this.admission.admit(address, gone);
    if (slot) this.open.push(slot);
    return slot;
  }

  /** A connection that has completed a request. */
  proven(address: string, kind: ClientKind): ConnectionSlot {
    const slot = this.admit(address)!;
    slot.initialDataRead = true;
    this.admission.tryServe(slot, kind);
    this.admission.onAnswered(slot, kind);
    return slot;
  }
}

test('strangers of the address with most of them go first, then idle users, workers last', () => {
  const server = new Connections(40);
  for (let i = 0; i < 20; i++) server.proven(`10.1.0.${i}`, 'worker');
  const users = [...Array(10).keys()].map((i) => server.proven(`10.2.0.${i}`, 'user'));
  const loner = server.admit('10.3.0.1')!;
  loner.initialDataRead = true;
  for (let i = 0; i < 4; i++) server.admit('10.3.0.2')!.initialDataRead = true;
  while (server.open.length < 38) server.proven('10.4.0.1', 'health');
  for (let i = 0; i < 3; i++) server.proven(`10.1.1.${i}`, 'worker');
  assert.deepEqual(new Set(server.evicted.map((s) => s.address)), new Set(['10.3.0.2']));
  server.evicted = [];
  for (let i = 0; i < 2; i++) server.proven(`10.1.2.${i}`, 'worker');
  assert.ok(server.evicted.includes(loner) && server.evicted.every((s) => s.kind === 'unidentified'));
  server.evicted = [];
  // One of these users has just asked again, so that it is idle for the shortest time.
  server.admission.tryServe(users[0]!, 'user');
  server.admission.onAnswered(users[0]!, 'user');
  for (let i = 0; i < 9; i++) server.proven(`10.1.3.${i}`, 'worker');
  assert.deepEqual(server.evicted, users.slice(1));
  server.proven('10.1.4.0', 'worker');
  assert.equal(server.evicted.at(-1), users[0]);
  server.proven('10.1.5.0', 'worker');
  assert.equal(server.evicted.at(-1)!.address, '10.1.0.0');
});

// Guards against users' requests that wait for something taking all places, so that no report comes in.
test('users whose requests are being answered leave places for workers and health checks', () => {
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
  for (let i = 0; i < 18; i++) assert.ok(server.admit(`10.1.0.${i}`), 'a worker is let in');
});

// Guards against a process that stood still ending connections whose requests have been waiting to be read.
test('a burst that came before anything could be read costs no worker its place, nor itself while there is room', () => {
  const server = new Connections(100);
  for (let i = 0; i < 40; i++) server.proven(`10.1.0.${i}`, 'worker');
  for (let i = 0; i < 200; i++) server.admit('10.9.0.1');
  assert.ok(server.open.filter((s) => s.address === '10.9.0.1').length >= 35);
  assert.deepEqual(server.evicted, []);
  const newcomer = server.admit('10.1.0.50');
  assert.ok(newcomer, 'another address comes in beside the burst');
});

test('whatever comes, places are kept and a worker goes only when nobody else can', () => {
  const step = fc.record({
    what: fc.constantFrom('enter', 'look', 'engage', 'serve', 'settle', 'leave'),
    who: fc.nat(200),
    address: fc.nat(5),
    kind: fc.constantFrom('user' as const, 'worker' as const, 'health' as const),
  });
  fc.assert(
    fc.property(fc.integer({ min: 4, max: 30 }), fc.array(step, { maxLength: 300 }), (places, steps) => {
      const server = new Connections(places);
      const claims = new Set<ConnectionSlot>();
      for (const s of steps) {
        const slot = server.open[s.who % Math.max(1, server.open.length)];
        if (s.what === 'enter') {
          const others = server.open.filter((o) => o.kind !== 'worker' && o.kind !== 'health');
          const easy = others.some((o) => (o.kind === 'unidentified' ? o.initialDataRead : !o.answeringUser));
          server.evicted = [];
          server.admit(`10.0.0.${s.address}`);
          if (easy) assert.ok(!server.evicted.some((v) => v.kind === 'worker'), 'a worker went too early');
        } else if (!slot) continue;
        else if (s.what === 'look') slot.initialDataRead = true;
        else if (s.what === 'engage') server.admission.onRequestStarted(slot);
        else if (s.what === 'serve' && !claims.has(slot)) {
          if (server.admission.tryServe(slot, s.kind)) claims.add(slot);
        } else if (s.what === 'settle' && claims.has(slot)) {
          server.admission.onAnswered(slot, s.kind);
          claims.delete(slot);
        } else if (s.what === 'leave') {
          server.open.splice(server.open.indexOf(slot), 1);
          server.admission.release(slot);
        }
        assert.ok(server.open.length <= places);
        assert.equal(server.admission.openCount, server.open.length);
        const served = server.open.filter((o) => o.answeringUser).length;
        assert.ok(served <= Math.ceil(places * 0.6), `${served} of ${places} served`);
      }
      for (const slot of [...server.open]) server.admission.release(slot);
      assert.equal(server.admission.openCount, 0);
    }),
    { seed: 20261201, numRuns: 300 },
  );
});
