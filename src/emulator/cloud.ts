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
import { TokenBucket } from './bucket.js';
import type { ServiceResponse } from './state.js';

/** Source of the emulated machines, separate from the protocol that `CloudService` implements. */
export interface MachineInventory {
  types(): MachineType[];
  /** Rents machines and returns their ids in ascending order; returns none when there is no capacity. */
  rent(rental: Rental): string[];
  release(machines: string[]): void;
  /** Returns the machines that a list shows at present, in ascending order of id. */
  list(): ListedMachine[];
}

const MAX_PAGE_ENTRIES = 500;
const BURST_S = 2;

/** Emulates the cloud's API as its protocol specifies it. */
export class CloudService {
  down = false;
  requestsPerSecond = Number.POSITIVE_INFINITY;
  private readonly requests: TokenBucket;
  private readonly rentalsByRequest = new Map<string, string[]>();

  constructor(
    clock: Clock,
    private readonly machines: MachineInventory,
  ) {
    this.requests = new TokenBucket(clock, BURST_S);
  }

  serve(method: string, path: string, body: unknown): ServiceResponse {
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
    const limit = Math.min(MAX_PAGE_ENTRIES, Number(query.get('most') ?? MAX_PAGE_ENTRIES));
    const remaining = this.machines.list().filter((m) => m.id > since);
    return { status: 200, body: writeList(remaining.slice(0, limit), remaining.length > limit) };
  }

  private rent(body: unknown): ServiceResponse {
    const rental = readRental(body);
    if (!rental) return { status: 400, body: { error: 'malformed' } };
    let workers = this.rentalsByRequest.get(rental.request);
    if (!workers) {
      workers = this.machines.rent(rental);
      if (workers.length === 0) return { status: 503, body: { error: 'no capacity' } };
      this.rentalsByRequest.set(rental.request, workers);
    }
    return { status: 200, body: { workers } };
  }
}
