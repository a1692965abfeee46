import type { Clock } from '../clock/clock.js';
import {
  CLOUD_PATHS,
  type ListedMachine,
  type MachineType,
  type Rental,
  readRelease,
  readRental,
  writeList,
  writeTypes,
} from '../wire/cloud.js';
import { Bucket } from './bucket.js';
import type { Served } from './state.js';

/** What machines there are, which is no matter of the protocol. */
export interface Machines {
  types(): MachineType[];
  /** The machines rented, in the order of their names; none when there is no capacity. */
  rent(r: Rental): string[];
  release(machines: string[]): void;
  /** What a list shows now, in the order of names. */
  list(): ListedMachine[];
}

const PAGE_MOST = 500;
const BURST_S = 2;

/** A stand-in for the cloud's interface, as its protocol describes it. */
export class CloudService {
  down = false;
  requestsPerSecond = Number.POSITIVE_INFINITY;
  private readonly requests: Bucket;
  private readonly answered = new Map<string, string[]>();

  constructor(
    clock: Clock,
    private readonly machines: Machines,
  ) {
    this.requests = new Bucket(clock, BURST_S);
  }

  serve(method: string, path: string, body: unknown): Served {
    if (this.down) return { status: 503, body: { error: 'trouble' } };
    if (!this.requests.take(1, this.requestsPerSecond)) return { status: 429, body: {} };
    if (path === CLOUD_PATHS.types) return { status: 200, body: writeTypes(this.machines.types()) };
    if (path === CLOUD_PATHS.release) {
      const machines = readRelease(body);
      if (!machines) return { status: 400, body: { error: 'malformed' } };
      this.machines.release(machines);
      return { status: 200, body: {} };
    }
    if (method === 'POST') return this.rent(body);
    const query = new URLSearchParams(path.includes('?') ? path.slice(path.indexOf('?')) : '');
    const since = query.get('since') ?? '';
    const most = Math.min(PAGE_MOST, Number(query.get('most') ?? PAGE_MOST));
    const after = this.machines.list().filter((m) => m.id > since);
    return { status: 200, body: writeList(after.slice(0, most), after.length > most) };
  }

  private rent(body: unknown): Served {
    const r = readRental(body);
    if (!r) return { status: 400, body: { error: 'malformed' } };
    let workers = this.answered.get(r.request);
    if (!workers) {
      workers = this.machines.rent(r);
      if (workers.length === 0) return { status: 503, body: { error: 'no capacity' } };
      this.answered.set(r.request, workers);
    }
    return { status: 200, body: { workers } };
  }
}
