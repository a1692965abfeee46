import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { Admission, type Seat, type Shown } from '../../src/http/admission.js';

/** An admission with its open seats. */
class Door {
  readonly admission: Admission;
  readonly open: Seat[] = [];
  evicted: Seat[] = [];

  constructor(places: number) {
    this.admission = new Admission(places);
  }

  enter(address: string): Seat | null {
    const gone = () => {
      this.evicted.push(seat!);
      this.open.splice(this.open.indexOf(seat!), 1);
    };
    const seat: Seat | null = this.admission.enter(address, gone);
    if (seat) this.open.push(seat);
    return seat;
  }

  /** A connection that has completed a request. */
  proven(address: string, kind: Shown): Seat {
    const seat = this.enter(address)!;
    seat.looked = true;
    this.admission.serve(seat, kind);
    this.admission.settle(seat, kind);
    return seat;
  }
}

test('strangers of the address with most of them go first, then idle users, workers last', () => {
  const door = new Door(40);
  for (let i = 0; i < 20; i++) door.proven(`10.1.0.${i}`, 'worker');
  const users = [...Array(10).keys()].map((i) => door.proven(`10.2.0.${i}`, 'user'));
  const loner = door.enter('10.3.0.1')!;
  loner.looked = true;
  for (let i = 0; i < 4; i++) door.enter('10.3.0.2')!.looked = true;
  while (door.open.length < 38) door.proven('10.4.0.1', 'health');
  for (let i = 0; i < 3; i++) door.proven(`10.1.1.${i}`, 'worker');
  assert.deepEqual(new Set(door.evicted.map((s) => s.address)), new Set(['10.3.0.2']));
  door.evicted = [];
  for (let i = 0; i < 2; i++) door.proven(`10.1.2.${i}`, 'worker');
  assert.ok(door.evicted.includes(loner) && door.evicted.every((s) => s.kind === 'stranger'));
  door.evicted = [];
  // One of these users has just asked again, so that it is idle for the shortest time.
  door.admission.serve(users[0]!, 'user');
  door.admission.settle(users[0]!, 'user');
  for (let i = 0; i < 9; i++) door.proven(`10.1.3.${i}`, 'worker');
  assert.deepEqual(door.evicted, users.slice(1));
  door.proven('10.1.4.0', 'worker');
  assert.equal(door.evicted.at(-1), users[0]);
  door.proven('10.1.5.0', 'worker');
  assert.equal(door.evicted.at(-1)!.address, '10.1.0.0');
});

// Guards against users' requests that wait for something taking all places, so that no report comes in.
test('users whose requests are being answered leave places for workers and health checks', () => {
  const door = new Door(50);
  let served = 0;
  for (let i = 0; i < 60; i++) {
    const seat = door.enter('10.2.0.1');
    if (!seat) continue;
    seat.looked = true;
    if (door.admission.serve(seat, 'user')) served++;
    else door.admission.leave(seat);
  }
  assert.equal(served, 30);
  assert.equal(door.admission.counts.deferred, 30);
  for (let i = 0; i < 18; i++) assert.ok(door.enter(`10.1.0.${i}`), 'a worker is let in');
});

// Guards against a process that stood still ending connections whose requests have been waiting to be read.
test('a burst that came before anything could be read costs no worker its place, nor itself while there is room', () => {
  const door = new Door(100);
  for (let i = 0; i < 40; i++) door.proven(`10.1.0.${i}`, 'worker');
  for (let i = 0; i < 200; i++) door.enter('10.9.0.1');
  assert.ok(door.open.filter((s) => s.address === '10.9.0.1').length >= 35);
  assert.deepEqual(door.evicted, []);
  const newcomer = door.enter('10.1.0.50');
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
      const door = new Door(places);
      const claims = new Set<Seat>();
      for (const s of steps) {
        const seat = door.open[s.who % Math.max(1, door.open.length)];
        if (s.what === 'enter') {
          const others = door.open.filter((o) => o.kind !== 'worker' && o.kind !== 'health');
          const easy = others.some((o) => (o.kind === 'stranger' ? o.looked : !o.served));
          door.evicted = [];
          door.enter(`10.0.0.${s.address}`);
          if (easy) assert.ok(!door.evicted.some((v) => v.kind === 'worker'), 'a worker went too early');
        } else if (!seat) continue;
        else if (s.what === 'look') seat.looked = true;
        else if (s.what === 'engage') door.admission.engage(seat);
        else if (s.what === 'serve' && !claims.has(seat)) {
          if (door.admission.serve(seat, s.kind)) claims.add(seat);
        } else if (s.what === 'settle' && claims.has(seat)) {
          door.admission.settle(seat, s.kind);
          claims.delete(seat);
        } else if (s.what === 'leave') {
          door.open.splice(door.open.indexOf(seat), 1);
          door.admission.leave(seat);
        }
        assert.ok(door.open.length <= places);
        assert.equal(door.admission.size, door.open.length);
        const served = door.open.filter((o) => o.served).length;
        assert.ok(served <= Math.ceil(places * 0.6), `${served} of ${places} served`);
      }
      for (const seat of [...door.open]) door.admission.leave(seat);
      assert.equal(door.admission.size, 0);
    }),
    { seed: 20261201, numRuns: 300 },
  );
});
