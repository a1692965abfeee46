import assert from 'node:assert/strict';
import { test } from 'node:test';
import { chooseReservation, chooseTransfers, shardFor } from '../../src/autoscaler/rebalancing.js';
import { assignTeams } from '../../src/controller/teamassignment.js';
import { makeJob, withinGuarantee } from '../../src/jobs/job.js';
import { Plan } from '../../src/plan/plan.js';
import { chooseOption } from '../../src/plan/rentalchoice.js';
import { chooseVictims } from '../../src/plan/victimchoice.js';
import type { JobSpec } from '../../src/wire/users.js';
import { machine, planJob, size } from '../support/plan.js';

const busy = (end: number, cpus = 4) => ({ team: 0, end, need: { cpus, gpus: 0, memoryGb: 4 } });
const noCaps = [{ cpus: 0, gpus: 0 }];

test('a task goes to the most loaded machine that meets its deadline', () => {
  const machines = [machine(), machine({ running: [busy(200)] }), machine({ running: [busy(100)] })];
  const plan = new Plan(0, machines, noCaps);
  assert.equal(plan.reserve(planJob()), 60);
  assert.equal(plan.reservations[0]!.machine, 1);
});

test('a full machine is passed over when its task would end too late, and used when it would not', () => {
  const machines = [machine(), machine({ running: [busy(200, 8)] })];
  const tight = new Plan(0, machines, noCaps);
  tight.reserve(planJob({ deadline: 100 }));
  assert.equal(tight.reservations[0]!.machine, 0);
  const wide = new Plan(0, machines, noCaps);
  wide.reserve(planJob({ deadline: 300 }));
  assert.deepEqual([wide.reservations[0]!.machine, wide.reservations[0]!.start], [1, 200]);
  wide.startEarly();
  assert.deepEqual(
    [wide.reservations[0]!.machine, wide.reservations[0]!.start],
    [0, 0],
    'and starts early elsewhere',
  );
});

test('the finish counts booting machines, fetches, bookings and the team’s limit', () => {
  assert.equal(
    new Plan(0, [machine({ readyAt: 30, images: new Set() })], noCaps).earliestFinish(planJob()),
    92,
  );
  const capped = new Plan(0, [machine(), machine()], [{ cpus: 8, gpus: 0 }]);
  assert.equal(capped.earliestFinish(planJob({ total: 4, tasks: [0, 1, 2, 3] })), 120);
  assert.equal(capped.reservations.length, 0, 'asking books nothing');
  const unseen = new Plan(0, [machine()], [{ cpus: 8, gpus: 0 }]);
  unseen.reserveUnreconciled({ cpus: 8, gpus: 0, memoryGb: 0 }, 20);
  assert.equal(unseen.earliestFinish(planJob()), 80);
  assert.equal(
    new Plan(0, [machine()], noCaps).earliestFinish(planJob({ need: { ...size, cpus: 9 } })),
    null,
  );
});

test('a gang waits until all of it fits at once, in one zone where it must', () => {
  const gang = planJob({ kind: 'gang', total: 3, tasks: [0, 1, 2], oneZone: true });
  const machines = [machine({ running: [busy(50)] }), machine({ zone: 1 }), machine()];
  const plan = new Plan(0, machines, noCaps);
  assert.equal(plan.reserve(gang), 60);
  assert.deepEqual(new Set(plan.reservations.map((b) => machines[b.machine]!.zone)), new Set([0]));
  const full = new Plan(0, [machine({ running: [busy(50)] }), machine({ zone: 1 })], noCaps);
  assert.equal(full.reserve({ ...gang, tasks: [0, 1], total: 2 }), 60);
  assert.equal(full.reserve({ ...gang, id: 2, tasks: [0, 1], total: 2 }), 110);
});

test('spread keeps half of the tasks out of each zone; spot, type and closed machines are respected', () => {
  const job = planJob({ spread: true, total: 3, tasks: [0, 1, 2] });
  const machines = [machine({ size: { cpus: 64, gpus: 0, memoryGb: 256 } }), machine({ zone: 1 })];
  const plan = new Plan(0, machines, noCaps);
  plan.reserve(job);
  assert.equal(plan.reservations.filter((b) => b.machine === 0).length, 2);
  const barred = [machine({ spot: true }), machine({ type: 1 }), machine({ quarantined: true })];
  const strict = planJob({ spot: false, types: new Set([0]) });
  assert.equal(new Plan(0, barred, noCaps).reserve(strict), null);
});

test('preemption stops the least that suffices, also for a team’s limit, and nothing in vain', () => {
  const need = { cpus: 8, gpus: 0, memoryGb: 8 };
  const victim = (ref: string, loss: number, sameTeam = false) => ({
    ref,
    need: { cpus: 4, gpus: 0, memoryGb: 4 },
    sameTeam,
    loss,
  });
  const none = { cpus: 0, gpus: 0, memoryGb: 0 };
  const wide = { cpus: 99, gpus: 99, memoryGb: 99 };
  const one = { free: { cpus: 4, gpus: 0, memoryGb: 32 }, victims: [victim('a', 9), victim('b', 1)] };
  assert.deepEqual(chooseVictims({ need, count: 1, teamLeft: wide }, [one]), ['b']);
  assert.equal(chooseVictims({ need, count: 2, teamLeft: wide }, [one]), null);
  const roomy = {
    free: { cpus: 8, gpus: 0, memoryGb: 32 },
    victims: [victim('c', 1), victim('d', 2, true), victim('e', 3, true)],
  };
  assert.deepEqual(chooseVictims({ need, count: 1, teamLeft: { ...none, memoryGb: 99 } }, [roomy]), [
    'd',
    'e',
  ]);
});

test('rentals take the cheapest fitting kind per task', () => {
  const option = (type: number, price: number, cpus: number, spot = false) => ({
    type,
    zone: 0,
    spot,
    size: { ...size, cpus },
    price,
    bootS: 30,
  });
  const need = { cpus: 4, gpus: 0, memoryGb: 1 };
  const shortage = { types: null, zone: null, spot: false, match: null, need, count: 6 };
  const options = [option(0, 1, 4), option(1, 1.5, 8), option(2, 0.1, 8, true), option(3, 0.1, 2)];
  assert.deepEqual(chooseOption(shortage, options, 8), { option: options[1], count: 3 });
  assert.equal(chooseOption({ ...shortage, spot: true }, options, 8)?.option, options[2]);
  assert.equal(chooseOption({ ...shortage, types: new Set([3]) }, options, 8), null);
});

test('empty machines go to the most urgent need elsewhere, but a shard keeps what it needs itself', () => {
  const sizeOf = () => size;
  const spare = (id: string) => ({ id, type: 't', zone: 'a', spot: false, images: [] });
  const need = (priority: number) => ({
    types: null,
    zone: null,
    match: null,
    spot: true,
    cpus: 8,
    gpus: 0,
    memoryGb: 1,
    count: 1,
    priority,
    guaranteed: false,
    deadline: 1,
    waitS: 9,
  });
  const told = (shard: number, spares: string[], priorities: number[]) => ({
    shard,
    node: 'n',
    zone: 'a',
    urgentS: 0,
    machines: 10,
    preemptible: [],
    idleMachines: spares.map(spare),
    demands: priorities.map(need),
  });
  const moves = chooseTransfers([told(0, ['m-1'], []), told(1, ['m-2'], [1]), told(2, [], [2])], sizeOf);
  assert.deepEqual(moves, [{ machine: 'm-1', from: 0, to: 2 }]);
  // Full shards: a machine goes, as its tasks end, from where urgent work waits least to where it waits much longer.
  const full = (shard: number, urgentS: number, machines = 10) => ({
    ...told(shard, [], [2]),
    urgentS,
    machines,
  });
  const ceding = chooseReservation([full(0, 12), full(1, 60), full(2, 0, 1)], 40);
  assert.deepEqual([ceding?.from, ceding?.to], [0, 1]);
  assert.equal(chooseReservation([full(0, 45), full(1, 60)], 50), null, 'not to and fro where both wait');
  assert.equal(chooseReservation([full(0, 0), full(1, 10)], 40), null);
  assert.equal(
    chooseReservation([full(0, 60), full(1, 300)], 40),
    null,
    'not where its own urgent work waits long',
  );
});

// Guards against a shard whose machines lie in a zone that its owner cannot reach: in a cut between zones they all lost
// their leases, and half of the work began anew.
test('machines go to shards at home in their zone, up to each shard’s fair part', () => {
  const zones = ['a', 'b', 'a'];
  const weights = [3, 5, 2];
  const have = [0, 0, 0].map(() => ({ a: 0, b: 0 }));
  const machines = [...Array<'a'>(40).fill('a'), ...Array<'b'>(60).fill('b')];
  machines.forEach((zone, n) => {
    const takers = weights.map((weight, i) => ({
      weight,
      machines: have[i]!.a + have[i]!.b,
      machinesInZone: have[i]![zone],
      isHomeZone: zones[i] === zone,
    }));
    have[shardFor(takers, machines.length - n)]![zone]++;
  });
  assert.deepEqual(
    have.map((h) => h.a + h.b),
    [30, 50, 20],
  );
  assert.deepEqual([have[1]!.a, have[1]!.b], [0, 50], 'none of the other zone');
});

test('what a team is guaranteed counts its unfinished tasks in the order of acceptance', () => {
  const at = (team: number, tasks: number, gpus: number) => {
    const spec = { tasks, cpus: 10, gpus, memoryGb: 1 } as JobSpec;
    const record = { accepted: 0, deadline: 0, order: 0, fresh: true, version: 1 };
    return makeJob(spec, record, { team, types: null, zone: null, image: 0, match: null });
  };
  const [first, second, third, plain, other] = [
    at(0, 30, 1),
    at(0, 30, 1),
    at(0, 5, 1),
    at(0, 1, 0),
    at(1, 3, 0),
  ];
  const teams = [
    { cpus: 0, gpus: 50 },
    { cpus: 40, gpus: 0 },
  ];
  const within = () => withinGuarantee([first, second, third, plain, other], teams);
  assert.deepEqual(
    [...within().whole],
    [first, other],
    'what comes after one that is too large is beyond it',
  );
  assert.deepEqual([...within().partly], [first, second, other], 'but a part of that one is not');
  for (let i = 0; i < 15; i++) first.done.add(i);
  assert.deepEqual([...within().whole], [first, second, third, other]);
});

test('teams are spread by their guarantees, and known ones stay', () => {
  const teams = ['a', 'b', 'c', 'd'].map((name, i) => ({ name, cpus: 10 * (4 - i), gpus: 0 }));
  const parted = assignTeams(teams, {}, 3);
  assert.equal(new Set([parted.a, parted.b, parted.c]).size, 3);
  assert.equal(parted.d, parted.c);
  assert.equal(assignTeams(teams, { d: 0 }, 3).d, 0);
});
