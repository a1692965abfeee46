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
import { run } from '../support/process.js';

const MAIN = 'target/main.js';
const PLATFORM = 'examples/scale/platform.toml';
const SCENARIO = 'examples/scale/day.toml';
const GIB = 1024 ** 3;
/** Below the ephemeral ports, and not the same in two runs of the suite at once: they would take each other's ports. */
const FIRST_PORT = 20_000 + (process.pid % 10) * 1000;
const SIZES = { workers: 1800, controllers: 17, teams: 44, startsPerSecond: 400 };

test('sizes that this machine cannot carry are refused by field and bound, before anything starts', async () => {
  checkSizes(SIZES, 24 * GIB);
  const refused = (change: object, what: RegExp, memory = 24 * GIB) =>
    assert.throws(() => checkSizes({ ...SIZES, ...change }, memory), what);
  refused({ workers: 0 }, /workers: 0 is below 1/);
  refused({ workers: 4001 }, /workers: 4001 is above 4000 \(ports\)/);
  refused({ controllers: 40 }, /controllers: 40 is above 39 \(ports\)/);
  refused({ teams: -1 }, /teams: -1 is below 1/);
  refused({ startsPerSecond: 5000 }, /startsPerSecond: 5000 is above 1000/);
  refused({}, /controllers: 4.0 GiB needed, 2.0 GiB allowed/, 4 * GIB);
  const begun = performance.now();
  const ended = await run(MAIN, ['scale', SCENARIO, '--machines', PLATFORM, '--workers', '0']);
  assert.equal(ended.code, 2);
  assert.match(ended.err, /workers: 0 is below 1/);
  const unknown = await run(MAIN, ['scale', 'examples/morning.toml', '--controllers', '99']);
  assert.equal(unknown.code, 2);
  assert.match(unknown.err, /controllers/);
  const data = mkdtempSync(join(tmpdir(), 'spartray-used-'));
  writeFileSync(join(data, 'state.msgpack'), '');
  const used = await run(MAIN, ['scale', SCENARIO, '--machines', PLATFORM, '--data', data]);
  rmSync(data, { recursive: true });
  assert.equal(used.code, 2);
  assert.match(used.err, /holds the state of another run/);
  assert.ok(performance.now() - begun < 20_000);
});

test('workers, teams and arrivals grow to the size that was asked for', () => {
  const platform = sizedPlatform(loadPlatform(PLATFORM), SIZES);
  const up = platform.capacity.map((c) => c.up);
  assert.equal(
    up.reduce((a, b) => a + b, 0),
    1800,
  );
  assert.deepEqual([...new Set(up)], [300]);
  assert.equal(platform.teams.length, 44);
  const cpus = 1800 * 32;
  const guaranteed = platform.teams.reduce((sum, t) => sum + t.cpus, 0);
  assert.ok(guaranteed > cpus * 0.59 && guaranteed <= cpus * 0.6);
  const scenario = sizedScenario(loadScenario(SCENARIO), SIZES);
  const mean = (n: readonly number[]) => n.reduce((a, b) => a + b, 0) / n.length;
  const asked = scenario.classes.reduce((sum, c) => sum + (c.a_minute * mean(c.pieces)) / 60, 0);
  assert.ok(Math.abs(asked - 400) < 1e-6);
  const [resident] = scenario.classes;
  assert.equal(resident!.pieces[0]! * resident!.at_start, 1710);
});

test('links have the delay of where they lead, and a cut parts exactly what it cuts off', () => {
  const network = new Network(loadPlatform(PLATFORM));
  const a = network.inZone('one-a');
  const b = network.inZone('one-b');
  const far = network.inZone('two-a');
  assert.deepEqual([network.delayMs(a, a), network.delayMs(a, b), network.delayMs(a, far)], [0.5, 1.5, 12]);
  const machine = network.inRack('one-a', 7);
  const rack = network.cut({ kind: 'rack', zone: 'one-a', rack: 2 });
  assert.ok(network.apart(machine, a) && !network.apart(network.inRack('one-a', 8), a));
  assert.ok(!network.apart(machine, network.inRack('one-a', 12)), 'inside the rack it goes on');
  rack();
  const zone = network.cut({ kind: 'zone', zone: 'one-a' });
  assert.ok(network.apart(machine, b) && network.apart(a, network.services) && !network.apart(machine, a));
  zone();
  const regions = network.cut({ kind: 'regions' });
  assert.ok(network.apart(a, far) && !network.apart(a, b) && network.apart(far, network.services));
  regions();
  assert.ok(!network.apart(a, far));
});

test('what passes between controllers is delayed, counted by kind, and held in order while they are apart', async () => {
  const platform = loadPlatform(PLATFORM);
  const network = new Network(platform);
  const traffic = new Traffic();
  const heard: unknown[] = [];
  const target = net.createServer((socket) => {
    const reader = new FrameReader();
    socket.on('data', (data) => {
      for (const m of reader.feed(data)) {
        heard.push(m);
        if ('q' in m) socket.write(encodeFrame({ r: m.q, a: 'yes' }));
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
    const begun = performance.now();
    caller.once('data', () => resolve(performance.now() - begun));
  });
  caller.write(encodeFrame({ op: 'hello', a: 'far' }));
  caller.write(encodeFrame({ q: 1, op: 'status', a: { id: 'wk-1' } }));
  assert.ok((await answered) >= 23, 'twice 12 ms');
  const flows = ratesBetween(before, traffic.snapshot(), 1);
  assert.equal(flows['peer status']?.messages, 1);
  assert.equal(flows['peer status answer']?.bytes, encodeFrame({ r: 1, a: 'yes' }).length);
  const restore = network.cut({ kind: 'regions' });
  for (const n of [2, 3, 4]) caller.write(encodeFrame({ op: 'sent', a: n }));
  await pause(systemClock, 200);
  assert.equal(heard.length, 2, 'nothing passes');
  const late = net.connect({ host: '127.0.0.1', port: relayPort });
  late.on('error', () => undefined);
  const reset = new Promise((resolve) => late.once('close', resolve));
  late.write(encodeFrame({ op: 'hello', a: 'far' }));
  await reset;
  restore();
  await pause(systemClock, 400);
  assert.deepEqual(
    heard.slice(2).map((m) => (m as { a: unknown }).a),
    [2, 3, 4],
  );
  caller.destroy();
  relay.close();
  target.close();
});

// The whole run at a small size; `npm run check:scale` is the long one.
test('a short run at a small size measures all roles, breaks no rule, and stops by itself', async () => {
  const sizes = ['--workers', '40', '--controllers', '3', '--teams', '4', '--starts', '10'];
  const flags = ['--machines', PLATFORM, '--speed', '10', '--port', String(FIRST_PORT), '--json'];
  const ended = await run(MAIN, ['scale', 'examples/scale/short.toml', ...sizes, ...flags]);
  assert.equal(ended.code, 0, ended.err);
  const report = JSON.parse(ended.out) as ScaleReport;
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

test('one worker alone is measured at rest and at the peak, against an empty process', async () => {
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
  assert.ok(peak!.sentBytes > rest!.sentBytes, 'reports tell of tasks');
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
