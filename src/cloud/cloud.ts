/** The client of the cloud's API, which limits its requests to this node's share of the rate limit. */

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

/** Thrown if a request exceeds the rate limit, is rejected, or gets no response or an unusable one. */
export class CloudError extends RemoteServiceError {}

const REQUEST_TIMEOUT_MS = 5000;
/** Maximum time for which the rate limiter delays a request. */
const RATE_WAIT_MS = 3000;
const LIST_PAGE = 500;
/** Maximum share of the rate limit that a node uses while the others need less. */
const MAX_RATE_SHARE = 0.6;

/** A client of the cloud. Its methods throw `CloudError`. */
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

  /** Returns the machine types that the cloud offers. */
  async listMachineTypes(): Promise<MachineType[]> {
    const response = await this.send('GET', CLOUD_PATHS.types, null);
    const types = response.status === 200 ? readTypes(response.body) : null;
    if (!types)
      throw new CloudError(`cannot list machine types: unusable response, status ${response.status}`, false);
    return types;
  }

  /** Returns all rented machines, requested page by page. */
  async listMachines(): Promise<ListedMachine[]> {
    const all: ListedMachine[] = [];
    let after: string | null = null;
    for (;;) {
      const response = await this.send('GET', listPath(after, LIST_PAGE), null);
      const page = response.status === 200 ? readList(response.body) : null;
      if (!page)
        throw new CloudError(`cannot list machines: unusable response, status ${response.status}`, false);
      all.push(...page.machines);
      const last = page.machines.at(-1);
      if (!page.more || !last) return all;
      after = last.id;
    }
  }

  /**
   * Rents machines and returns their ids, or null if the cloud has no capacity. The same rental may be retried until
   * it is answered.
   */
  async rent(rental: Rental): Promise<string[] | null> {
    const response = await this.send(
      'POST',
      CLOUD_PATHS.machines,
      writeRental(rental.request, rental.type, rental.zone, rental.spot, rental.count),
    );
    if (response.status === 503 && (response.body as { error?: unknown } | null)?.error === 'no capacity')
      return null;
    const rented = response.status === 200 ? readRented(response.body) : null;
    if (!rented)
      throw new CloudError(`cannot rent machines: unusable response, status ${response.status}`, false);
    return rented;
  }

  /** Returns machines in batches of `RELEASE_LIMIT`. If a batch fails, the batches before it have been returned. */
  async release(machines: string[]): Promise<void> {
    for (let i = 0; i < machines.length; i += RELEASE_LIMIT) {
      const response = await this.send(
        'POST',
        CLOUD_PATHS.release,
        writeRelease(machines.slice(i, i + RELEASE_LIMIT)),
      );
      if (response.status !== 200)
        throw new CloudError(`cannot release machines: status ${response.status}`, false);
    }
  }

  private async send(method: string, path: string, body: object | null) {
    try {
      // Lists and releases take precedence over rentals: a node that probes for capacity must still be able to list
      // and return the machines that it has.
      const urgent = method === 'GET' || path === CLOUD_PATHS.release;
      await this.limiter.acquire(1, { urgent, maxWaitMs: RATE_WAIT_MS });
      const response = await this.http.request(this.addr, method, path, body, REQUEST_TIMEOUT_MS);
      if (response.status === 429) this.limiter.onRejected();
      return response;
    } catch (error) {
      if (error instanceof RateLimitExceededError)
        throw new CloudError(error.message, false, { cause: error });
      if (error instanceof HttpRequestError)
        throw new CloudError(error.message, error.sent, { cause: error });
      throw error;
    }
  }
}
