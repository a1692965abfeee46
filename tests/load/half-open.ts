/**
 * Measures a real controller process on loopback while one address holds 2,000 half-open connections, each reopened
 * as soon as it is closed, and 400 workers send heartbeats. Not part of the tests: it takes half a minute of real time.
 *
 *     node target/check/tests/load/half-open.js [PATH-TO-main.js] [SECONDS]
 */
import { spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { systemClock } from '../../src/clock/clock.js';
import { StateService } from '../../src/emulator/state.js';
import { HttpServer } from '../../src/http/server.js';

const WORKERS = 400;
const HALF_OPEN_CONNECTIONS = 2000;
const REPORT_INTERVAL_MS = 2500;
const REPORT_TIMEOUT_MS = 4000;
const HEALTH_CHECK_INTERVAL_MS = 250;
const MAX_OPENED_PER_S = 4000;

const main = process.argv[2] ?? 'target/main.js';
const seconds = Math.min(60, Number(process.argv[3] ?? 20));
const state = new StateService(systemClock);

const type = {
  label: 'c8',
  cpus: 8,
  cards: 0,
  memoryGb: 32,
  localGb: 100,
  pullGbPerS: 1,
  price: 1,
  lowPrice: 0.5,
  readyS: 30,
  yards: ['a'],
};
const services = new HttpServer(
  systemClock,
  async (r) => {
    if (r.path === '/flavors') return { status: 200, body: { flavors: [type] } };
    if (r.path === '/machines') return { status: 200, body: { workers: [], more: false } };
    const query = r.query.size > 0 ? `?${r.query}` : '';
    const body: unknown = r.body.length > 0 ? JSON.parse(r.body.toString()) : null;
    const served = await state.serve(r.method, r.path + query, body);
    return { status: served.status, body: served.body as object };
  },
  {
    maxConnections: 500,
    maxBodyBytes: 1e6,
    requestTimeoutMs: 60_000,
    idleTimeoutMs: 60_000,
    onError: (e) => console.error(e),
  },
);

async function findFreePort(): Promise<number> {
  const probe = net.createServer();
  await new Promise<void>((resolve) => probe.listen(0, '127.0.0.1', resolve));
  const { port } = probe.address() as net.AddressInfo;
  await new Promise((resolve) => probe.close(resolve));
  return port;
}

const servicesPort = await services.listen('127.0.0.1', 0);
const [users, peers] = [await findFreePort(), await findFreePort()];
const address = (i: number) => `127.0.${1 + (i >> 8)}.${i & 255}`;
const machine = (i: number) => `m-${String(i).padStart(6, '0')}`;
for (let i = 0; i < WORKERS; i++) {
  const value = {
    shard: 0,
    addr: `${address(i)}:9`,
    type: 'c8',
    zone: 'a',
    spot: false,
    state: 'use',
    rentedAt: Date.now(),
  };
  await state.serve('POST', '/txn', { when: [], writes: [{ set: `c/m/${machine(i)}`, value }] });
}
const dir = mkdtempSync(join(tmpdir(), 'half-open-'));
const config = join(dir, 'settings.toml');
writeFileSync(
  config,
  `node = "n1"
zone = "a"
bind = "127.0.0.1:${users}"
peer_bind = "127.0.0.1:${peers}"
[external]
cloud = "127.0.0.1:${servicesPort}"
state = "127.0.0.1:${servicesPort}"
[params]
initial_size = 1
zones = ["a"]
[params.workers]
report_s = 3.0
lease_s = 20.0
gang_wait_s = 40.0
gang_peer_s = 5.0
cancel_s = 45.0
[params.state]
rps = 500.0
write_rps = 400.0
value_kb = 8.0
txn_ops = 32
[params.cloud]
rps = 10.0
list_lag_s = 6.0
[params.limits]
cores = 1.0
memory_mb = 178.0
max_sockets = 800
`,
);
const child = spawn(process.execPath, [main, '--config', config], {
  stdio: ['ignore', 'ignore', 'inherit'],
  env: { ...process.env, LOG_LEVEL: 'error' },
});

let stopping = false;
const counts = { reports: 0, refused: 0, reconnected: 0, probes: 0, probesFailed: 0, opened: 0 };
const reportTimesMs: number[] = [];
const healthTimesMs: number[] = [];

/** Sends one request on a connection; returns its status, or 0 when the connection closes or no answer arrives. */
function sendRequest(socket: net.Socket, text: string, timeoutMs: number): Promise<number> {
  return new Promise((resolve) => {
    const done = (status: number) => {
      clearTimeout(timer);
      socket.removeAllListeners('data').removeListener('close', closed);
      resolve(status);
    };
    const closed = () => done(0);
    const timer = setTimeout(() => done(0), timeoutMs);
    socket.once('close', closed);
    socket.on('data', (d) => done(Number(/^HTTP\/1.1 (\d+)/.exec(d.toString())?.[1] ?? 0)));
    socket.write(text);
  });
}

const pause = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));
const connectFrom = (from: string) =>
  net
    .connect({ port: users, host: '127.0.0.1', localAddress: from, noDelay: true })
    .on('error', () => undefined);

async function runWorker(i: number): Promise<void> {
  await pause((i / WORKERS) * REPORT_INTERVAL_MS);
  let socket: net.Socket | null = null;
  for (let sequence = 1; !stopping; sequence++) {
    if (!socket || socket.destroyed) {
      if (socket) counts.reconnected++;
      socket = connectFrom(address(i));
    }
    const body = JSON.stringify({
      worker: machine(i),
      addr: `${address(i)}:9`,
      flavor: 'c8',
      yard: 'a',
      loaner: false,
      shift: 1,
      tally: sequence,
      baton: 0,
      recallS: null,
      pieces: [],
    });
    const sentAt = performance.now();
    counts.reports++;
    const text = `POST /v1/report HTTP/1.1\r\nHost: n1\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
    if ((await sendRequest(socket, text, REPORT_TIMEOUT_MS)) !== 200) {
      counts.refused++;
      socket.destroy();
    } else reportTimesMs.push(performance.now() - sentAt);
    await pause(REPORT_INTERVAL_MS);
  }
  socket?.destroy();
}

async function runHealthChecks(): Promise<void> {
  while (!stopping) {
    const sentAt = performance.now();
    counts.probes++;
    const socket = connectFrom('127.0.9.9');
    const status = await sendRequest(socket, 'GET /healthz HTTP/1.1\r\nHost: n1\r\n\r\n', 1000);
    if (status === 200) healthTimesMs.push(performance.now() - sentAt);
    else counts.probesFailed++;
    socket.destroy();
    await pause(HEALTH_CHECK_INTERVAL_MS);
  }
}

const halfOpen = new Set<net.Socket>();
let openBudget = 0;
function openHalfOpenConnections(): void {
  openBudget = Math.min(MAX_OPENED_PER_S / 10, openBudget + MAX_OPENED_PER_S / 100);
  while (!stopping && halfOpen.size < HALF_OPEN_CONNECTIONS && openBudget >= 1) {
    openBudget--;
    counts.opened++;
    const s = connectFrom('127.0.0.1');
    halfOpen.add(s);
    s.write('GET /hea');
    s.on('close', () => halfOpen.delete(s));
  }
  if (!stopping) setTimeout(openHalfOpenConnections, 10);
}

async function waitUntilHealthy(): Promise<void> {
  for (let i = 0; i < 100; i++) {
    const socket = connectFrom('127.0.9.9');
    const status = await sendRequest(socket, 'GET /healthz HTTP/1.1\r\nHost: n1\r\n\r\n', 1000);
    socket.destroy();
    if (status === 200) return;
    await pause(100);
  }
  throw new Error('the controller did not become healthy within 100 checks');
}

try {
  await waitUntilHealthy();
  const workersDone = [...Array(WORKERS).keys()].map(runWorker);
  await pause(REPORT_INTERVAL_MS + 500);
  openHalfOpenConnections();
  const checksDone = runHealthChecks();
  await pause(seconds * 1000);
  stopping = true;
  for (const s of halfOpen) s.destroy();
  await Promise.all([...workersDone, checksDone]);
  const percentile99 = (xs: number[]) =>
    xs.length === 0
      ? null
      : Math.round([...xs].sort((a, b) => a - b)[Math.floor(xs.length * 0.99)]! * 10) / 10;
  const largest = (xs: number[]) => (xs.length === 0 ? null : Math.round(Math.max(...xs) * 10) / 10);
  process.stdout.write(
    `${JSON.stringify({ ...counts, reportMs: { p99: percentile99(reportTimesMs), max: largest(reportTimesMs) }, healthMs: { p99: percentile99(healthTimesMs), max: largest(healthTimesMs) } })}\n`,
  );
} finally {
  stopping = true;
  child.kill('SIGTERM');
  services.close();
  rmSync(dir, { recursive: true });
  setTimeout(() => process.exit(), 1500);
}
