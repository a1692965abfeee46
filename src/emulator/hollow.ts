import { systemClock } from '../clock/clock.js';
import { HttpClient } from '../http/client.js';
import { HttpServer } from '../http/server.js';
import { Random } from './random.js';
import { Reporter } from './reporter.js';
import { Worker } from './worker.js';

/** Options of a process of one emulated worker, passed as JSON in its only argument. */
export interface EmulatedWorkerOptions {
  id: string;
  host: string;
  port: number;
  controller: string;
  reportS: number;
  leaseS: number;
}

const MAX_BODY_BYTES = 256 * 1024;

/** Runs one emulated worker until standard input ends. It speaks the whole control protocol, but runs no tasks. */
async function main(options: EmulatedWorkerOptions): Promise<void> {
  const { id, host, port, controller, reportS, leaseS } = options;
  const clock = systemClock;
  const machine = { id, addr: `${host}:${port}`, type: 'standard', zone: 'zone-1', spot: false };
  const http = new HttpClient(clock, { maxSockets: 4, maxBodyBytes: MAX_BODY_BYTES });
  const worker: Worker = new Worker(clock, machine, leaseS, null, () => reporter?.reportSoon());
  const nodes = [{ node: 'controller', addr: controller }];
  const reporter: Reporter | null = new Reporter(clock, http, new Random(1), worker, nodes, reportS);
  const server = new HttpServer(
    clock,
    (request) => {
      const body: unknown = request.body.length > 0 ? JSON.parse(request.body.toString('utf8')) : null;
      const served = worker.serve(request.method, request.path, body);
      return { status: served.status, body: (served.body ?? {}) as object };
    },
    {
      maxConnections: 16,
      maxBodyBytes: MAX_BODY_BYTES,
      requestTimeoutMs: 30_000,
      idleTimeoutMs: 120_000,
      onError: (error) => process.stderr.write(`${error}\n`),
    },
  );
  await server.listen(host, port);
  process.stdin.on('end', () => process.exit(0)).resume();
}

await main(JSON.parse(process.argv[2] ?? '{}') as EmulatedWorkerOptions);
