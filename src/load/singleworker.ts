import { type ChildProcess, spawn } from 'node:child_process';
import net from 'node:net';
import { fileURLToPath } from 'node:url';
import { pause, systemClock } from '../clock/clock.js';
import type { HollowOptions } from '../emulator/hollow.js';
import { HttpServer } from '../http/server.js';
import { readHeartbeat, type TaskStatus, writeHeartbeatResponse } from '../wire/workers.js';
import { coresBetween, processUse, residentMb } from './processes.js';

/** What control costs one worker, above an empty process of the same kind. */
export interface WorkerCost {
  phase: 'rest' | 'peak';
  seconds: number;
  /** Processor seconds a second, the worker's and the empty process's. */
  cores: number;
  emptyCores: number;
  residentMb: number;
  emptyResidentMb: number;
  /** Bytes a second on the wire, with headers. */
  sentBytes: number;
  receivedBytes: number;
  startsPerSecond: number;
}

/** How one worker alone is measured. */
export interface SingleWorkerOptions {
  reportS: number;
  leaseS: number;
  /** Tasks that the worker keeps running, and starts a second, at the peak. */
  tasks: number;
  startsPerSecond: number;
  secondsPerPhase: number;
  /** After a change of phase, in milliseconds. */
  settleMs: number;
  /** The first of three ports. */
  port: number;
}

const HOST = '127.0.0.1';

/** Measures one hollow worker alone in a process, at rest and at the peak. Fails where a port is taken. */
export async function measureSingleWorker(options: SingleWorkerOptions): Promise<WorkerCost[]> {
  const { reportS, leaseS, port } = options;
  const controller = new SingleWorkerController();
  const server = new HttpServer(systemClock, (r) => controller.answer(r.body), {
    maxConnections: 16,
    bodyBytes: 256 * 1024,
    requestMs: 30_000,
    idleMs: 120_000,
    onError: (error) => process.stderr.write(`spartray: ${error}\n`),
  });
  await server.listen(HOST, port);
  const link = new CountingLink(port);
  await link.listen(port + 1);
  const hollow: HollowOptions = {
    id: 'm-000001',
    host: HOST,
    port: port + 2,
    controller: `${HOST}:${port + 1}`,
    reportS,
    leaseS,
  };
  const program = fileURLToPath(new URL('../emulator/hollow.js', import.meta.url));
  const worker = spawn(process.execPath, [program, JSON.stringify(hollow)], {
    stdio: ['pipe', 'ignore', 'inherit'],
  });
  const empty = spawn(process.execPath, ['-e', 'process.stdin.resume()'], {
    stdio: ['pipe', 'ignore', 'inherit'],
  });
  try {
    await pause(systemClock, options.settleMs);
    const rest = await measure('rest', options, worker, empty, link);
    controller.load(options.tasks, options.startsPerSecond);
    await pause(systemClock, options.settleMs);
    return [rest, await measure('peak', options, worker, empty, link)];
  } finally {
    worker.stdin?.end();
    empty.stdin?.end();
    server.close();
    link.close();
  }
}

async function measure(
  phase: WorkerCost['phase'],
  options: SingleWorkerOptions,
  worker: ChildProcess,
  empty: ChildProcess,
  link: CountingLink,
): Promise<WorkerCost> {
  const uses = () => [worker, empty].map((p) => (p.pid === undefined ? null : processUse(p.pid)));
  const before = uses();
  const bytes = { ...link.bytes };
  const begun = systemClock.now();
  await pause(systemClock, options.secondsPerPhase * 1000);
  const seconds = (systemClock.now() - begun) / 1000;
  const after = uses();
  const cores = (i: number) => coresBetween(before[i] ?? null, after[i] ?? null, seconds);
  return {
    phase,
    seconds,
    cores: cores(0),
    emptyCores: cores(1),
    residentMb: residentMb(after[0] ?? null),
    emptyResidentMb: residentMb(after[1] ?? null),
    sentBytes: (link.bytes.sent - bytes.sent) / seconds,
    receivedBytes: (link.bytes.received - bytes.received) / seconds,
    startsPerSecond: phase === 'peak' ? options.startsPerSecond : 0,
  };
}

/** Answers one worker's reports, and keeps so many tasks running by orders in the answers. */
class SingleWorkerController {
  private tasks = 0;
  private gapMs = Number.POSITIVE_INFINITY;
  private startedAt = 0;
  private made = 0;

  load(tasks: number, startsPerSecond: number): void {
    this.tasks = tasks;
    this.gapMs = 1000 / startsPerSecond;
    this.startedAt = systemClock.now();
  }

  answer(body: Buffer): { status: number; body: object } {
    const report = readHeartbeat(JSON.parse(body.toString('utf8')));
    if (!report) return { status: 400, body: {} };
    const due = Math.floor((systemClock.now() - this.startedAt) / this.gapMs) - this.made;
    const starts = Array.from({ length: Math.max(0, due) }, () => ({
      op: 'start' as const,
      job: `wk-lone-${++this.made}`,
      index: 0,
      attempt: 1,
    }));
    const running = report.tasks.filter((t) => t.state !== 'exited');
    const ended = report.tasks.filter((t) => t.state === 'exited');
    const over = running.slice(0, Math.max(0, running.length + starts.length - this.tasks));
    const named = ({ job, index, attempt }: TaskStatus) => ({ job, index, attempt });
    const orders = [
      ...over.map((t) => ({ op: 'stop' as const, ...named(t), graceS: 0 })),
      ...ended.map((t) => ({ op: 'forget' as const, ...named(t) })),
      ...starts,
    ];
    return { status: 200, body: writeHeartbeatResponse(1, orders) };
  }
}

/** Passes connections on and counts their bytes. */
class CountingLink {
  readonly bytes = { sent: 0, received: 0 };
  private readonly server: net.Server;
  private readonly sockets = new Set<net.Socket>();

  constructor(to: number) {
    this.server = net.createServer((near) => {
      const far = net.connect({ host: HOST, port: to });
      for (const s of [near, far]) {
        this.sockets.add(s);
        s.on('error', () => s.destroy());
        s.on('close', () => this.sockets.delete(s));
      }
      near.on('data', (data) => {
        this.bytes.sent += data.length;
      });
      far.on('data', (data) => {
        this.bytes.received += data.length;
      });
      near.on('close', () => far.destroy());
      far.on('close', () => near.destroy());
      near.pipe(far).pipe(near);
    });
  }

  listen(port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({ host: HOST, port }, resolve);
    });
  }

  close(): void {
    this.server.close();
    for (const s of this.sockets) s.destroy();
  }
}
