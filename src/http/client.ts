/** An HTTP/1.1 client for JSON requests that reuses its connections. */

import type net from 'node:net';
import type { Clock, Timer } from '../clock/clock.js';
import { UnreachableError } from '../errors/errors.js';
import { ConnectionPool, type PoolLimits } from './connectionpool.js';
import { type HttpMessage, MessageParser } from './parser.js';

/** A response; `body` is the parsed JSON value, or null if the body is empty. */
export interface HttpResponse {
  status: number;
  body: unknown;
  /** Header values by lower-case name. */
  headers: Map<string, string>;
}

/**
 * Thrown if no usable response was received. `sent` is false only if the request certainly never reaches the server.
 */
export class HttpRequestError extends UnreachableError {
  constructor(
    message: string,
    readonly sent: boolean,
  ) {
    super(message);
  }
}

/** Sends HTTP requests; implemented by `HttpClient` and its substitutes. */
export interface Requester {
  /**
   * Sends a request to `addr` (`host:port`), with `body` as JSON unless it is null, and resolves with the response of
   * any status. Rejects with `HttpRequestError` if there is no usable response within `timeoutMs`.
   */
  request(
    addr: string,
    method: string,
    path: string,
    body: object | null,
    timeoutMs: number,
  ): Promise<HttpResponse>;
}

/** Resource limits of a client. */
export interface ClientOptions extends PoolLimits {
  /** Maximum size of a response body. */
  maxBodyBytes: number;
  /** Maximum memory for all incomplete responses together; the request whose response exceeds it fails. */
  maxHeldBytes?: number;
}

const HEADER_BYTES = 16 * 1024;
const MAX_HELD_BYTES = 48 * 1024 * 1024;

/** An HTTP client that sends one request at a time per connection. */
export class HttpClient implements Requester {
  private readonly pool: ConnectionPool;
  private readonly memory: ResponseMemory;

  constructor(
    private readonly clock: Clock,
    private readonly options: ClientOptions,
  ) {
    this.pool = new ConnectionPool(clock, options);
    this.memory = new ResponseMemory(options.maxHeldBytes ?? MAX_HELD_BYTES);
  }

  /** Closes the idle connections at once and the others after their exchanges. */
  close(): void {
    this.pool.close();
  }

  request(
    addr: string,
    method: string,
    path: string,
    body: object | null,
    timeoutMs: number,
  ): Promise<HttpResponse> {
    const text = requestText(addr, method, path, body);
    const socket = this.pool.acquire(addr);
    if (!socket) return Promise.reject(new HttpRequestError('no socket free', false));
    return new Promise((resolve, reject) => {
      new Exchange({
        clock: this.clock,
        socket,
        parser: new MessageParser('response', {
          headerBytes: HEADER_BYTES,
          bodyBytes: this.options.maxBodyBytes,
        }),
        memory: this.memory,
        onEnd: (state) => this.pool.release(addr, socket, state),
        resolve,
        reject: (reason, sent) => reject(new HttpRequestError(`${method} ${path}: ${reason}`, sent)),
      }).start(text, timeoutMs);
    });
  }
}

function requestText(addr: string, method: string, path: string, body: object | null): string {
  const payload = body === null ? '' : JSON.stringify(body);
  const length =
    body === null
      ? ''
      : `Content-Type: application/json\r\nContent-Length: ${Buffer.byteLength(payload)}\r\n`;
  return `${method} ${path} HTTP/1.1\r\nHost: ${addr}\r\n${length}\r\n${payload}`;
}

/** Tracks the memory held by the incomplete responses of a client. */
class ResponseMemory {
  heldBytes = 0;

  constructor(private readonly maxBytes: number) {}

  get exceeded(): boolean {
    return this.heldBytes > this.maxBytes;
  }
}

interface ExchangeOptions {
  readonly clock: Clock;
  readonly socket: net.Socket;
  readonly parser: MessageParser;
  readonly memory: ResponseMemory;
  /** Called once, before the exchange resolves or rejects. */
  readonly onEnd: (state: 'reusable' | 'broken') => void;
  readonly resolve: (answer: HttpResponse) => void;
  readonly reject: (reason: string, sent: boolean) => void;
}

/** A request and its response on one connection. */
class Exchange {
  private timeout: Timer | null = null;
  private sent = false;
  private ended = false;
  private heldBytes = 0;

  constructor(private readonly options: ExchangeOptions) {}

  start(text: string, timeoutMs: number): void {
    const { clock, socket } = this.options;
    this.timeout = clock.after(timeoutMs, () => this.fail('timeout'));
    socket.once('failed', (reason: string) => this.fail(reason));
    socket.on('data', (data) => this.onData(data));
    socket.on('end', () => this.onClosed());
    if (socket.connecting) socket.once('connect', () => this.write(text));
    else this.write(text);
  }

  private write(text: string): void {
    this.sent = true;
    this.options.socket.write(text);
  }

  private onData(data: Buffer): void {
    const { parser, memory } = this.options;
    const [response] = parser.feed(data);
    if (response) {
      this.onResponse(response);
      return;
    }
    this.setHeldBytes(parser.heldBytes);
    if (parser.failure) this.fail(parser.failure.message);
    else if (memory.exceeded) this.fail('too much at once');
  }

  private onClosed(): void {
    const response = this.options.parser.finish();
    if (response) this.onResponse(response);
    else this.fail('closed');
  }

  private onResponse(message: HttpMessage): void {
    let body: unknown = null;
    try {
      if (message.body.length > 0) body = JSON.parse(message.body.toString('utf8'));
    } catch {
      this.fail('not JSON');
      return;
    }
    if (!this.end(message.keepAlive ? 'reusable' : 'broken')) return;
    this.options.resolve({ status: Number(message.startLine[1]), body, headers: message.headers });
  }

  private fail(reason: string): void {
    if (this.end('broken')) this.options.reject(reason, this.sent);
  }

  /** Ends the exchange and hands its connection back; returns false if the exchange had already ended. */
  private end(state: 'reusable' | 'broken'): boolean {
    if (this.ended) return false;
    this.ended = true;
    this.timeout?.cancel();
    this.setHeldBytes(0);
    const { socket } = this.options;
    for (const event of ['data', 'end', 'connect']) socket.removeAllListeners(event);
    this.options.onEnd(state);
    return true;
  }

  private setHeldBytes(bytes: number): void {
    this.options.memory.heldBytes += bytes - this.heldBytes;
    this.heldBytes = bytes;
  }
}
