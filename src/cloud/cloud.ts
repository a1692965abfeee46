/** Requests to the cloud, within this node's share of its rate. */

import type { Clock } from '../clock/clock.js';
import { RemoteServiceError } from '../errors/errors.js';
import { HttpRequestError, type Requester } from '../http/client.js';
import { RateLimitExceededError, RateLimiter } from '../state/ratelimiter.js';
import {
  CLOUD_PATHS,
  type ListedMachine,
  listPath,
  type MachineType,
  RELEASE_LIMIT,
  type Rental,
  readList,
  readRented,
  readTypes,
  writeRelease,
  writeRental,
} from '../wire/cloud.js';

/** The cloud refused a request, or did not answer it. */
export class CloudError extends RemoteServiceError {}

const REQUEST_TIMEOUT_MS = 5000;
/** How long a request waits for its turn within the rate. */
const RATE_WAIT_MS = 3000;
const LIST_PAGE = 500;
/** The largest share of the rate that one node takes while the others need less. */
const MAX_RATE_SHARE = 0.6;

/** A client of the cloud; its methods throw `CloudError`. */
export class Cloud {
  private readonly limiter: RateLimiter;

  constructor(
    clock: Clock,
    private readonly http: Requester,
    private readonly addr: string,
    rps: number,
    nodes: number,
  ) {
    const share = (0.85 * rps) / nodes;
    this.limiter = new RateLimiter(
      clock,
      share,
      Math.max(1, share * 2),
      Math.max(share, MAX_RATE_SHARE * rps),
    );
  }

  /** The machine types on offer. */
  async types(): Promise<MachineType[]> {
    const answer = await this.send('GET', CLOUD_PATHS.types, null);
    const types = answer.status === 200 ? readTypes(answer.body) : null;
    if (!types) throw new CloudError(`types: ${answer.status}`, false);
    return types;
  }

  /** All machines that are rented, in as many pages as it takes. */
  async list(): Promise<ListedMachine[]> {
    const all: ListedMachine[] = [];
    let after: string | null = null;
    for (;;) {
      const answer = await this.send('GET', listPath(after, LIST_PAGE), null);
      const page = answer.status === 200 ? readList(answer.body) : null;
      if (!page) throw new CloudError(`list: ${answer.status}`, false);
      all.push(...page.machines);
      const last = page.machines.at(-1);
      if (!page.more || !last) return all;
      after = last.id;
    }
  }

  /** The ids of the machines rented; null when there is no capacity. The same request may be repeated until it is answered. */
  async rent(r: Rental): Promise<string[] | null> {
    const answer = await this.send(
      'POST',
      CLOUD_PATHS.machines,
      writeRental(r.request, r.type, r.zone, r.spot, r.count),
    );
    if (answer.status === 503 && (answer.body as { error?: unknown } | null)?.error === 'no capacity')
      return null;
    const rented = answer.status === 200 ? readRented(answer.body) : null;
    if (!rented) throw new CloudError(`rent: ${answer.status}`, false);
    return rented;
  }

  /** Returns machines to the cloud, in as many requests as it takes; those before one that fails are returned. */
  async release(machines: string[]): Promise<void> {
    for (let i = 0; i < machines.length; i += RELEASE_LIMIT) {
      const answer = await this.send(
        'POST',
        CLOUD_PATHS.release,
        writeRelease(machines.slice(i, i + RELEASE_LIMIT)),
      );
      if (answer.status !== 200) throw new CloudError(`release: ${answer.status}`, false);
    }
  }

  private async send(method: string, path: string, body: object | null) {
    try {
      // Lists and returns come before rentals: probing for capacity must not keep a node from seeing what it has.
      const urgent = method === 'GET' || path === CLOUD_PATHS.release;
      await this.limiter.acquire(1, { urgent, maxWaitMs: RATE_WAIT_MS });
      const answer = await this.http.request(this.addr, method, path, body, REQUEST_TIMEOUT_MS);
      if (answer.status === 429) this.limiter.onRejected();
      return answer;
    } catch (error) {
      if (error instanceof RateLimitExceededError)
        throw new CloudError(error.message, false, { cause: error });
      if (error instanceof HttpRequestError)
        throw new CloudError(error.message, error.sent, { cause: error });
      throw error;
    }
  }
}
