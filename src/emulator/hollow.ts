import { systemClock } from '../clock/clock.js';
import { HttpClient } from '../http/client.js';
import { HttpServer } from '../http/server.js';
import { Random } from './random.js';
import { Reporter } from './reporter.js';
import { Worker } from './worker.js';

/** What a hollow worker in a process of its own is told as its only argument. */
export interface HollowOptions {
  id: string;
  host: string;
  port: number;
  controller: string;
  reportS: number;
  leaseS: number;
}

const BODY_BYTES = 256 * 1024;

/** Runs one hollow worker until standard input ends: all that a worker does for control, and no task. */
async function main(options: HollowOptions): Promise<void> {
  const { id, host, port, controller, reportS, leaseS } = options;
  const clock = systemClock;
  const place = { id, addr: `${host}:${port}`, type: 'standard', zone: 'zone-1', spot: false };
  const http = new HttpClient(clock, { maxSockets: 4, bodyBytes: BODY_BYTES });
  const worker: Worker = new Worker(clock, place, leaseS, null, () => reporter?.touch());
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
      bodyBytes: BODY_BYTES,
      requestMs: 30_000,
      idleMs: 120_000,
      onError: (error) => process.stderr.write(`${error}\n`),
    },
  );
  await server.listen(host, port);
  process.stdin.on('end', () => process.exit(0)).resume();
}

await main(JSON.parse(process.argv[2] ?? '{}') as HollowOptions);
