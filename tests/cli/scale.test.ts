import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { pause, systemClock } from '../../src/clock/clock.js';
import { Network } from '../../src/emulator/network.js';
import { loadPlatform } from '../../src/emulator/platform.js';
import { PeerRelay } from '../../src/emulator/relay.js';
import { ratesBetween, Traffic } from '../../src/emulator/traffic.js';
import { checkSizes, sizedPlatform, sizedScenario } from '../../src/load/scale.js';
import type { ScaleReport } from '../../src/load/scalerun.js';
import { loadScenario } from '../../src/load/scenario.js';
import { measureSingleWorker } from '../../src/load/singleworker.js';
import { encodeFrame, FrameReader } from '../../src/peer/frames.js';
import { runNode } from '../support/process.js';

const MAIN = 'target/main.js';
const PLATFORM = 'examples/scale/platform.toml';
const SCENARIO = 'examples/scale/day.toml';
const GIB = 1024 ** 3;
/**
 * Below the ephemeral port range, and dependent on the process id, because two concurrent runs of the suite would
 * otherwise take each other's ports.
 */
const FIRST_PORT = 20_000 + (process.pid % 10) * 1000;
const SIZES = { workers: 1800, controllers: 17, teams: 44, startsPerSecond: 400 };

test('rejects sizes beyond the capacity of this machine before anything starts, and names the field and the limit', async () => {
  checkSizes(SIZES, 24 * GIB);
  const assertRejected = (change: object, message: RegExp, memory = 24 * GIB) =>
    assert.throws(() => checkSizes({ ...SIZES, ...change }, memory), message);
  assertRejected({ workers: 0 }, /workers: 0 is below 1/);
  assertRejected({ workers: 4001 }, /workers: 4001 is above 4000 \(ports\)/);
  assertRejected({ controllers: 40 }, /controllers: 40 is above 39 \(ports\)/);
  assertRejected({ teams: -1 }, /teams: -1 is below 1/);
  assertRejected({ startsPerSecond: 5000 }, /startsPerSecond: 5000 is above 1000/);
  assertRejected({}, /controllers: 4.0 GiB needed, 2.0 GiB allowed/, 4 * GIB);
  const startedAt = performance.now();
  const invalidSize = await runNode(MAIN, ['scale', SCENARIO, '--machines', PLATFORM, '--workers', '0']);
  assert.equal(invalidSize.code, 2);
  assert.match(invalidSize.err, /workers: 0 is below 1/);
  const invalidControllers = await runNode(MAIN, ['scale', 'examples/morning.toml', '--controllers', '99']);
  assert.equal(invalidControllers.code, 2);
  assert.match(invalidControllers.err, /controllers/);
  const data = mkdtempSync(join(tmpdir(), 'spartray-used-'));
  writeFileSync(join(data, 'state.msgpack'), '');
  const usedDirectory = await runNode(MAIN, ['scale', SCENARIO, '--machines', PLATFORM, '--data', data]);
  rmSync(data, { recursive: true });
  assert.equal(usedDirectory.code, 2);
  assert.match(usedDirectory.err, /holds the state of another run/);
  assert.ok(performance.now() - startedAt < 20_000);
});

test('scales workers, teams and arrival rates to the requested size', () => {
  const platform = sizedPlatform(loadPlatform(PLATFORM), SIZES);
  const workersUp = platform.capacity.map((c) => c.up);
  assert.equal(
    workersUp.reduce((a, b) => a + b, 0),
    1800,
  );
  assert.deepEqual([...new Set(workersUp)], [300]);
  assert.equal(platform.teams.length, 44);
  const cpus = 1800 * 32;
  const guaranteed = platform.teams.reduce((sum, t) => sum + t.cpus, 0);
  assert.ok(guaranteed > cpus * 0.59 && guaranteed <= cpus * 0.6);
  const scenario = sizedScenario(loadScenario(SCENARIO), SIZES);
  const mean = (n: readonly number[]) => n.reduce((a, b) => a + b, 0) / n.length;
  const startsPerSecond = scenario.classes.reduce((sum, c) => sum + (c.a_minute * mean(c.pieces)) / 60, 0);
  assert.ok(Math.abs(startsPerSecond - 400) < 1e-6);
  const [resident] = scenario.classes;
  assert.equal(resident!.pieces[0]! * resident!.at_start, 1710);
});

test('network delays depend on the locations of both ends, and a partition separates exactly the affected locations', () => {
  const network = new Network(loadPlatform(PLATFORM));
  const zoneA = network.inZone('one-a');
  const zoneB = network.inZone('one-b');
  const otherRegion = network.inZone('two-a');
  assert.deepEqual(
    [network.delayMs(zoneA, zoneA), network.delayMs(zoneA, zoneB), network.delayMs(zoneA, otherRegion)],
    [0.5, 1.5, 12],
  );
  const machine = network.inRack('one-a', 7);
  const healRack = network.startPartition({ kind: 'rack', zone: 'one-a', rack: 2 });
  assert.ok(network.isSeparated(machine, zoneA) && !network.isSeparated(network.inRack('one-a', 8), zoneA));
  assert.ok(
    !network.isSeparated(machine, network.inRack('one-a', 12)),
    'machines of one rack still reach each other',
  );
  healRack();
  const healZone = network.startPartition({ kind: 'zone', zone: 'one-a' });
  assert.ok(
    network.isSeparated(machine, zoneB) &&
      network.isSeparated(zoneA, network.services) &&
      !network.isSeparated(machine, zoneA),
  );
  healZone();
  const healRegions = network.startPartition({ kind: 'regions' });
  assert.ok(
    network.isSeparated(zoneA, otherRegion) &&
      !network.isSeparated(zoneA, zoneB) &&
      network.isSeparated(otherRegion, network.services),
  );
  healRegions();
  assert.ok(!network.isSeparated(zoneA, otherRegion));
});

test('relay delays controller messages, counts them by kind, and holds them in order during a partition', async () => {
  const platform = loadPlatform(PLATFORM);
  const network = new Network(platform);
  const traffic = new Traffic();
  const received: unknown[] = [];
  const target = net.createServer((socket) => {
    const reader = new FrameReader();
    socket.on('data', (data) => {
      for (const message of reader.feed(data)) {
        received.push(message);
        if ('q' in message) socket.write(encodeFrame({ r: message.q, a: 'yes' }));
      }
    });
    socket.on('error', () => socket.destroy());
  });
  await new Promise<void>((resolve) => target.listen(0, '127.0.0.1', resolve));
  const { port } = target.address() as net.AddressInfo;
  const sites = new Map([
    ['near', network.inZone('one-a')],
    ['far', network.inZone('two-a')],
  ]);
  const to = { node: 'near', host: '127.0.0.1', port };
  const relay = new PeerRelay(systemClock, network, traffic, to, (n) => sites.get(n) ?? null);
  const relayPort = await freePort();
  await relay.listen('127.0.0.1', relayPort);
  const caller = net.connect({ host: '127.0.0.1', port: relayPort });
  const before = traffic.snapshot();
  const answered = new Promise<number>((resolve) => {
    const sentAt = performance.now();
    caller.once('data', () => resolve(performance.now() - sentAt));
  });
  caller.write(encodeFrame({ op: 'hello', a: 'far' }));
  caller.write(encodeFrame({ q: 1, op: 'status', a: { id: 'wk-1' } }));
  assert.ok((await answered) >= 23, 'a round trip takes twice 12 ms');
  const flows = ratesBetween(before, traffic.snapshot(), 1);
  assert.equal(flows['peer status']?.messages, 1);
  assert.equal(flows['peer status answer']?.bytes, encodeFrame({ r: 1, a: 'yes' }).length);
  const heal = network.startPartition({ kind: 'regions' });
  for (const n of [2, 3, 4]) caller.write(encodeFrame({ op: 'sent', a: n }));
  await pause(systemClock, 200);
  assert.equal(received.length, 2, 'no message passes during the partition');
  const lateCaller = net.connect({ host: '127.0.0.1', port: relayPort });
  lateCaller.on('error', () => undefined);
  const reset = new Promise((resolve) => lateCaller.once('close', resolve));
  lateCaller.write(encodeFrame({ op: 'hello', a: 'far' }));
  await reset;
  heal();
  await pause(systemClock, 400);
  assert.deepEqual(
    received.slice(2).map((message) => (message as { a: unknown }).a),
    [2, 3, 4],
  );
  caller.destroy();
  relay.close();
  target.close();
});

// A complete run at a small size; `npm run check:scale` runs the long one.
test('a short run at a small size measures all roles, violates no rule and exits on its own', async () => {
  const sizes = ['--workers', '40', '--controllers', '3', '--teams', '4', '--starts', '10'];
  const flags = ['--machines', PLATFORM, '--speed', '10', '--port', String(FIRST_PORT), '--json'];
  const result = await runNode(MAIN, ['scale', 'examples/scale/short.toml', ...sizes, ...flags]);
  assert.equal(result.code, 0, result.err);
  const report = JSON.parse(result.out) as ScaleReport;
  assert.deepEqual(report.load.violations, []);
  assert.equal(report.load.twice, 0);
  assert.ok(report.load.startsPeak > 0);
  assert.ok(report.propagation.allMs.count >= 10);
  assert.equal(report.propagation.unknown, 0);
  assert.deepEqual(
    report.phases.map((p) => p.name),
    ['rest', 'peak'],
  );
  for (const phase of report.phases) {
    assert.equal(phase.controllers.length, 3);
    assert.equal(phase.controllers.filter((c) => c.leader).length, 1);
    const shards = phase.controllers.reduce((n, c) => n + c.shards, 0);
    assert.equal(shards, 3);
    for (const kind of ['worker report', 'worker report answer', 'state lease', 'peer gossip'])
      assert.ok((phase.traffic[kind]?.messages ?? 0) > 0 && phase.traffic[kind]!.bytes > 0, kind);
    assert.equal(phase.stored['c/own/']?.entries, 3);
  }
  const urgent = report.load.classes.find((c) => c.name === 'interactive')!;
  assert.ok(urgent.waitS.count > 0 && urgent.withinSecond > 0);
});

test('measures a single worker at rest and at the peak against an empty process', async () => {
  const [rest, peak] = await measureSingleWorker({
    reportS: 0.3,
    leaseS: 16,
    tasks: 3,
    startsPerSecond: 4,
    secondsPerPhase: 1.5,
    settleMs: 1000,
    port: 31_600,
  });
  assert.deepEqual([rest!.phase, peak!.phase], ['rest', 'peak']);
  assert.ok(rest!.sentBytes > 0 && rest!.receivedBytes > 0);
  assert.ok(peak!.sentBytes > rest!.sentBytes, 'reports with tasks are larger');
  assert.ok(rest!.residentMb > 0 && rest!.emptyResidentMb > 0);
});

function freePort(): Promise<number> {
  return new Promise((resolve) => {
    const probe = net.createServer();
    probe.listen(0, '127.0.0.1', () => {
      const { port } = probe.address() as net.AddressInfo;
      probe.close(() => resolve(port));
    });
  });
}
