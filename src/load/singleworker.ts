import { type ChildProcess, spawn } from 'node:child_process';
import net from 'node:net';
import { fileURLToPath } from 'node:url';
import { pause, systemClock } from '../clock/clock.js';
import type { EmulatedWorkerOptions } from '../emulator/hollow.js';
import { HttpServer } from '../http/server.js';
import { readHeartbeat, type TaskStatus, writeHeartbeatResponse } from '../wire/workers.js';
import { coresBetween, processUse, residentMb } from './processes.js';

/** Cost of the control protocol for one worker, with an empty process of the same kind as the baseline. */
export interface WorkerCost {
  phase: 'rest' | 'peak';
  seconds: number;
  /** CPU seconds per second of the worker; `emptyCores` are those of the empty process. */
  cores: number;
  emptyCores: number;
  residentMb: number;
  emptyResidentMb: number;
  /** Bytes per second on the wire, including headers. */
  sentBytes: number;
  receivedBytes: number;
  startsPerSecond: number;
}

/** Options of the single-worker run. */
export interface SingleWorkerOptions {
  reportS: number;
  leaseS: number;
  /** Number of tasks that the worker keeps running at the peak; `startsPerSecond` is its rate of task starts. */
  tasks: number;
  startsPerSecond: number;
  secondsPerPhase: number;
  /** Settling time after a change of phase, in milliseconds. */
  settleMs: number;
  /** First of three consecutive ports. */
  port: number;
}

const HOST = '127.0.0.1';

/** Measures one emulated worker in a separate process, at rest and at the peak. Fails when a port is taken. */
export async function measureSingleWorker(options: SingleWorkerOptions): Promise<WorkerCost[]> {
  const { reportS, leaseS, port } = options;
  const controller = new SingleWorkerController();
  const server = new HttpServer(systemClock, (r) => controller.answer(r.body), {
    maxConnections: 16,
    maxBodyBytes: 256 * 1024,
    requestTimeoutMs: 30_000,
    idleTimeoutMs: 120_000,
    onError: (error) => process.stderr.write(`spartray: ${error}\n`),
  });
  await server.listen(HOST, port);
  const proxy = new ByteCountingProxy(port);
  await proxy.listen(port + 1);
  const workerOptions: EmulatedWorkerOptions = {
    id: 'm-000001',
    host: HOST,
    port: port + 2,
    controller: `${HOST}:${port + 1}`,
    reportS,
    leaseS,
  };
  const program = fileURLToPath(new URL('../emulator/hollow.js', import.meta.url));
  const worker = spawn(process.execPath, [program, JSON.stringify(workerOptions)], {
    stdio: ['pipe', 'ignore', 'inherit'],
  });
  const emptyProcess = spawn(process.execPath, ['-e', 'process.stdin.resume()'], {
    stdio: ['pipe', 'ignore', 'inherit'],
  });
  try {
    await pause(systemClock, options.settleMs);
    const rest = await measure('rest', options, worker, emptyProcess, proxy);
    controller.setLoad(options.tasks, options.startsPerSecond);
    await pause(systemClock, options.settleMs);
    return [rest, await measure('peak', options, worker, emptyProcess, proxy)];
  } finally {
    worker.stdin?.end();
    emptyProcess.stdin?.end();
    server.close();
    proxy.close();
  }
}

async function measure(
  phase: WorkerCost['phase'],
  options: SingleWorkerOptions,
  worker: ChildProcess,
  emptyProcess: ChildProcess,
  proxy: ByteCountingProxy,
): Promise<WorkerCost> {
  const sampleUses = () =>
    [worker, emptyProcess].map((p) => (p.pid === undefined ? null : processUse(p.pid)));
  const before = sampleUses();
  const bytesBefore = { ...proxy.bytes };
  const startedAt = systemClock.now();
  await pause(systemClock, options.secondsPerPhase * 1000);
  const seconds = (systemClock.now() - startedAt) / 1000;
  const after = sampleUses();
  const coresOf = (i: number) => coresBetween(before[i] ?? null, after[i] ?? null, seconds);
  return {
    phase,
    seconds,
    cores: coresOf(0),
    emptyCores: coresOf(1),
    residentMb: residentMb(after[0] ?? null),
    emptyResidentMb: residentMb(after[1] ?? null),
    sentBytes: (proxy.bytes.sent - bytesBefore.sent) / seconds,
    receivedBytes: (proxy.bytes.received - bytesBefore.received) / seconds,
    startsPerSecond: phase === 'peak' ? options.startsPerSecond : 0,
  };
}

/** Answers one worker's heartbeats, and keeps a given number of tasks running by commands in the answers. */
class SingleWorkerController {
  private tasks = 0;
  private startIntervalMs = Number.POSITIVE_INFINITY;
  private startedAt = 0;
  private startCount = 0;

  setLoad(tasks: number, startsPerSecond: number): void {
    this.tasks = tasks;
    this.startIntervalMs = 1000 / startsPerSecond;
    this.startedAt = systemClock.now();
  }

  answer(body: Buffer): { status: number; body: object } {
    const report = readHeartbeat(JSON.parse(body.toString('utf8')));
    if (!report) return { status: 400, body: {} };
    const due = Math.floor((systemClock.now() - this.startedAt) / this.startIntervalMs) - this.startCount;
    const starts = Array.from({ length: Math.max(0, due) }, () => ({
      op: 'start' as const,
      job: `wk-lone-${++this.startCount}`,
      index: 0,
      attempt: 1,
    }));
    const running = report.tasks.filter((t) => t.state !== 'exited');
    const ended = report.tasks.filter((t) => t.state === 'exited');
    const excess = running.slice(0, Math.max(0, running.length + starts.length - this.tasks));
    const taskRef = ({ job, index, attempt }: TaskStatus) => ({ job, index, attempt });
    const orders = [
      ...excess.map((t) => ({ op: 'stop' as const, ...taskRef(t), graceS: 0 })),
      ...ended.map((t) => ({ op: 'forget' as const, ...taskRef(t) })),
      ...starts,
    ];
    return { status: 200, body: writeHeartbeatResponse(1, orders) };
  }
}

/** Proxy that forwards connections and counts their bytes. */
class ByteCountingProxy {
  readonly bytes = { sent: 0, received: 0 };
  private readonly server: net.Server;
  private readonly sockets = new Set<net.Socket>();

  constructor(targetPort: number) {
    this.server = net.createServer((client) => {
      const upstream = net.connect({ host: HOST, port: targetPort });
      for (const s of [client, upstream]) {
        this.sockets.add(s);
        s.on('error', () => s.destroy());
        s.on('close', () => this.sockets.delete(s));
      }
      client.on('data', (data) => {
        this.bytes.sent += data.length;
      });
      upstream.on('data', (data) => {
        this.bytes.received += data.length;
      });
      client.on('close', () => upstream.destroy());
      upstream.on('close', () => client.destroy());
      client.pipe(upstream).pipe(client);
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
