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
const noLimits = [{ cpus: 0, gpus: 0 }];

test('places a task on the most loaded machine that meets its deadline', () => {
  const machines = [machine(), machine({ running: [busy(200)] }), machine({ running: [busy(100)] })];
  const plan = new Plan(0, machines, noLimits);
  assert.equal(plan.reserve(planJob()), 60);
  assert.equal(plan.reservations[0]!.machine, 1);
});

test('uses a full machine only when the task still meets its deadline there', () => {
  const machines = [machine(), machine({ running: [busy(200, 8)] })];
  const tightDeadlinePlan = new Plan(0, machines, noLimits);
  tightDeadlinePlan.reserve(planJob({ deadline: 100 }));
  assert.equal(tightDeadlinePlan.reservations[0]!.machine, 0);
  const looseDeadlinePlan = new Plan(0, machines, noLimits);
  looseDeadlinePlan.reserve(planJob({ deadline: 300 }));
  assert.deepEqual(
    [looseDeadlinePlan.reservations[0]!.machine, looseDeadlinePlan.reservations[0]!.start],
    [1, 200],
  );
  looseDeadlinePlan.startEarly();
  assert.deepEqual(
    [looseDeadlinePlan.reservations[0]!.machine, looseDeadlinePlan.reservations[0]!.start],
    [0, 0],
    'backfilling starts the task early on another machine',
  );
});

test('estimates the finish with boots, image fetches, reservations and the team limit', () => {
  assert.equal(
    new Plan(0, [machine({ readyAt: 30, images: new Set() })], noLimits).earliestFinish(planJob()),
    92,
  );
  const limited = new Plan(0, [machine(), machine()], [{ cpus: 8, gpus: 0 }]);
  assert.equal(limited.earliestFinish(planJob({ total: 4, tasks: [0, 1, 2, 3] })), 120);
  assert.equal(limited.reservations.length, 0, 'an estimate reserves nothing');
  const unreconciled = new Plan(0, [machine()], [{ cpus: 8, gpus: 0 }]);
  unreconciled.reserveUnreconciled({ cpus: 8, gpus: 0, memoryGb: 0 }, 20);
  assert.equal(unreconciled.earliestFinish(planJob()), 80);
  assert.equal(
    new Plan(0, [machine()], noLimits).earliestFinish(planJob({ need: { ...size, cpus: 9 } })),
    null,
  );
});

test('starts a gang when all its tasks fit at once, in a single zone if required', () => {
  const gang = planJob({ kind: 'gang', total: 3, tasks: [0, 1, 2], oneZone: true });
  const machines = [machine({ running: [busy(50)] }), machine({ zone: 1 }), machine()];
  const plan = new Plan(0, machines, noLimits);
  assert.equal(plan.reserve(gang), 60);
  assert.deepEqual(new Set(plan.reservations.map((b) => machines[b.machine]!.zone)), new Set([0]));
  const full = new Plan(0, [machine({ running: [busy(50)] }), machine({ zone: 1 })], noLimits);
  assert.equal(full.reserve({ ...gang, tasks: [0, 1], total: 2 }), 60);
  assert.equal(full.reserve({ ...gang, id: 2, tasks: [0, 1], total: 2 }), 110);
});

test('limits a spread job to half of its tasks per zone; respects spot, type and quarantine', () => {
  const job = planJob({ spread: true, total: 3, tasks: [0, 1, 2] });
  const machines = [machine({ size: { cpus: 64, gpus: 0, memoryGb: 256 } }), machine({ zone: 1 })];
  const plan = new Plan(0, machines, noLimits);
  plan.reserve(job);
  assert.equal(plan.reservations.filter((b) => b.machine === 0).length, 2);
  const unsuitable = [machine({ spot: true }), machine({ type: 1 }), machine({ quarantined: true })];
  const strictJob = planJob({ spot: false, types: new Set([0]) });
  assert.equal(new Plan(0, unsuitable, noLimits).reserve(strictJob), null);
});

test('preempts the cheapest sufficient tasks, also for a team limit, or none if insufficient', () => {
  const need = { cpus: 8, gpus: 0, memoryGb: 8 };
  const victim = (ref: string, loss: number, sameTeam = false) => ({
    ref,
    need: { cpus: 4, gpus: 0, memoryGb: 4 },
    sameTeam,
    loss,
  });
  const none = { cpus: 0, gpus: 0, memoryGb: 0 };
  const unlimited = { cpus: 99, gpus: 99, memoryGb: 99 };
  const occupied = { free: { cpus: 4, gpus: 0, memoryGb: 32 }, victims: [victim('a', 9), victim('b', 1)] };
  assert.deepEqual(chooseVictims({ need, count: 1, teamLeft: unlimited }, [occupied]), ['b']);
  assert.equal(chooseVictims({ need, count: 2, teamLeft: unlimited }, [occupied]), null);
  const halfFull = {
    free: { cpus: 8, gpus: 0, memoryGb: 32 },
    victims: [victim('c', 1), victim('d', 2, true), victim('e', 3, true)],
  };
  assert.deepEqual(chooseVictims({ need, count: 1, teamLeft: { ...none, memoryGb: 99 } }, [halfFull]), [
    'd',
    'e',
  ]);
});

test('rents the fitting kind of machine with the lowest price per task', () => {
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

test('transfers idle machines to the most urgent demand, except those that their own shard needs', () => {
  const sizeOf = () => size;
  const idleMachine = (id: string) => ({ id, type: 't', zone: 'a', spot: false, images: [] });
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
  const statusOf = (shard: number, idleMachines: string[], priorities: number[]) => ({
    shard,
    node: 'n',
    zone: 'a',
    urgentS: 0,
    machines: 10,
    preemptible: [],
    idleMachines: idleMachines.map(idleMachine),
    demands: priorities.map(need),
  });
  const transfers = chooseTransfers(
    [statusOf(0, ['m-1'], []), statusOf(1, ['m-2'], [1]), statusOf(2, [], [2])],
    sizeOf,
  );
  assert.deepEqual(transfers, [{ machine: 'm-1', from: 0, to: 2 }]);
  // Full shards: a machine is reserved in the shard where urgent work waits least, for one where it waits much
  // longer, and transferred once its tasks have ended.
  const full = (shard: number, urgentS: number, machines = 10) => ({
    ...statusOf(shard, [], [2]),
    urgentS,
    machines,
  });
  const reservation = chooseReservation([full(0, 12), full(1, 60), full(2, 0, 1)], 40);
  assert.deepEqual([reservation?.from, reservation?.to], [0, 1]);
  assert.equal(
    chooseReservation([full(0, 45), full(1, 60)], 50),
    null,
    'no transfers back and forth between shards that both wait',
  );
  assert.equal(chooseReservation([full(0, 0), full(1, 10)], 40), null);
  assert.equal(
    chooseReservation([full(0, 60), full(1, 300)], 40),
    null,
    'no transfer from a shard whose own urgent work waits long',
  );
});

// Guards against a shard whose machines are in another zone than its owner: in a network partition between the
// zones all of them lost their leases, and half of the work had to be restarted.
test('assigns machines to shards with the same preferred zone, up to the fair share of each shard', () => {
  const zones = ['a', 'b', 'a'];
  const weights = [3, 5, 2];
  const machinesByShard = [0, 0, 0].map(() => ({ a: 0, b: 0 }));
  const machines = [...Array<'a'>(40).fill('a'), ...Array<'b'>(60).fill('b')];
  machines.forEach((zone, n) => {
    const candidates = weights.map((weight, i) => ({
      weight,
      machines: machinesByShard[i]!.a + machinesByShard[i]!.b,
      machinesInZone: machinesByShard[i]![zone],
      isPreferredZone: zones[i] === zone,
    }));
    machinesByShard[shardFor(candidates, machines.length - n)]![zone]++;
  });
  assert.deepEqual(
    machinesByShard.map((h) => h.a + h.b),
    [30, 50, 20],
  );
  assert.deepEqual([machinesByShard[1]!.a, machinesByShard[1]!.b], [0, 50], 'no machine of the other zone');
});

test('counts unfinished tasks against a team guarantee in the order of acceptance', () => {
  const makeTeamJob = (team: number, tasks: number, gpus: number) => {
    const spec = { tasks, cpus: 10, gpus, memoryGb: 1 } as JobSpec;
    const record = { accepted: 0, deadline: 0, order: 0, fresh: true, version: 1 };
    return makeJob(spec, record, { team, types: null, zone: null, image: 0, match: null });
  };
  const [first, second, third, plain, other] = [
    makeTeamJob(0, 30, 1),
    makeTeamJob(0, 30, 1),
    makeTeamJob(0, 5, 1),
    makeTeamJob(0, 1, 0),
    makeTeamJob(1, 3, 0),
  ];
  const teams = [
    { cpus: 0, gpus: 50 },
    { cpus: 40, gpus: 0 },
  ];
  const within = () => withinGuarantee([first, second, third, plain, other], teams);
  assert.deepEqual(
    [...within().whole],
    [first, other],
    'jobs accepted after one that exceeds the guarantee are beyond it',
  );
  assert.deepEqual(
    [...within().partly],
    [first, second, other],
    'part of the exceeding job is still within the guarantee',
  );
  for (let i = 0; i < 15; i++) first.done.add(i);
  assert.deepEqual([...within().whole], [first, second, third, other]);
});

test('assigns teams to shards by their guarantees and keeps existing assignments', () => {
  const teams = ['a', 'b', 'c', 'd'].map((name, i) => ({ name, cpus: 10 * (4 - i), gpus: 0 }));
  const assigned = assignTeams(teams, {}, 3);
  assert.equal(new Set([assigned.a, assigned.b, assigned.c]).size, 3);
  assert.equal(assigned.d, assigned.c);
  assert.equal(assignTeams(teams, { d: 0 }, 3).d, 0);
});
