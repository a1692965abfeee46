import type { Clock } from '../../src/clock/clock.js';
import type { ServiceResponse } from '../../src/emulator/state.js';
import { HttpRequestError, type HttpResponse, type Requester } from '../../src/http/client.js';

export type Peer = (
  method: string,
  path: string,
  body: unknown,
  from: string,
) => ServiceResponse | Promise<ServiceResponse>;

/**
 * The outcome of a request. `refuse` fails at once; for all values other than `deliver` and `refuse` the sender
 * times out: `silent` drops the request, `lost-answer` executes it at once, `hold` keeps it until the test releases
 * it, and a number delivers it after that many milliseconds.
 */
export type RequestOutcome = 'deliver' | 'refuse' | 'silent' | 'lost-answer' | 'hold' | number;

/** A request as it arrived at a peer. */
export interface SentRequest {
  readonly addr: string;
  readonly method: string;
  readonly path: string;
  readonly body: unknown;
  readonly from: string;
}

/** A network of scripted peers; a test decides the outcome of each request. */
export class FakeNet {
  readonly peers = new Map<string, Peer>();
  readonly held: SentRequest[] = [];
  /** Called with each request that a peer has answered in time. */
  onAnswered: ((request: SentRequest, response: ServiceResponse) => void) | null = null;
  outcomeOf: (from: string, addr: string, method: string, path: string, body: unknown) => RequestOutcome =
    () => 'deliver';

  /** Returns whether two addresses are partitioned; this takes precedence over `outcomeOf`. */
  isPartitioned: (from: string, addr: string) => boolean = () => false;

  /** Returns the latency of a delivered request, in milliseconds. */
  delayMs: () => number = () => 0;

  constructor(private readonly clock: Clock) {}

  requester(from: string): Requester {
    return {
      request: (addr, method, path, body, timeoutMs) =>
        this.request(from, addr, method, path, body, timeoutMs),
    };
  }

  /** Delivers the held requests; their senders have timed out and get no answer. */
  async release(): Promise<void> {
    for (const request of this.held.splice(0)) await this.repeat(request);
  }

  /** Delivers a request once more; its sender gets no answer. Returns the response, or null if no peer is there. */
  async repeat({ addr, method, path, body, from }: SentRequest): Promise<ServiceResponse | null> {
    const copy: unknown = body === null ? null : JSON.parse(JSON.stringify(body));
    return (await this.peers.get(addr)?.(method, path, copy, from)) ?? null;
  }

  private async request(
    from: string,
    addr: string,
    method: string,
    path: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<HttpResponse> {
    const copy: unknown = body === null ? null : JSON.parse(JSON.stringify(body));
    const fate = this.isPartitioned(from, addr) ? 'silent' : this.outcomeOf(from, addr, method, path, copy);
    const peer = this.peers.get(addr);
    if (fate === 'refuse' || !peer) throw new HttpRequestError('refused', false);
    if (fate === 'hold') this.held.push({ addr, method, path, body: copy, from });
    if (fate === 'lost-answer') void peer(method, path, copy, from);
    if (typeof fate === 'number')
      this.clock.after(fate, () => void this.peers.get(addr)?.(method, path, copy, from));
    if (fate !== 'deliver') {
      await new Promise<void>((resolve) => {
        this.clock.after(timeoutMs, resolve);
      });
      throw new HttpRequestError('timeout', true);
    }
    return new Promise((resolve, reject) => {
      const timer = this.clock.after(timeoutMs, () => reject(new HttpRequestError('timeout', true)));
      const arrive = () =>
        void Promise.resolve(peer(method, path, copy, from)).then((served) => {
          timer.cancel();
          this.onAnswered?.({ addr, method, path, body: copy, from }, served);
          resolve({ ...served, headers: new Map() });
        });
      const ms = this.delayMs();
      if (ms > 0) this.clock.after(ms, arrive);
      else arrive();
    });
  }
}
