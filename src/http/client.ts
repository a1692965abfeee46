/** An HTTP/1.1 client that sends and receives JSON and keeps its connections open between requests. */

import type net from 'node:net';
import type { Clock, Timer } from '../clock/clock.js';
import { UnreachableError } from '../errors/errors.js';
import { ConnectionPool, type PoolLimits } from './connectionpool.js';
import { type HttpMessage, MessageParser } from './parser.js';

/** A response; its body is the JSON value, null where it is empty. */
export interface HttpAnswer {
  status: number;
  body: unknown;
  /** By lower-case name. */
  headers: Map<string, string>;
}

/** There was no usable response. `sent` is false only when the other side surely never gets the request. */
export class HttpRequestError extends UnreachableError {
  constructor(
    message: string,
    readonly sent: boolean,
  ) {
    super(message);
  }
}

/** Whatever sends requests: the client itself, or what stands in its place. */
export interface Requester {
  /**
   * Sends a request to `addr` (`host:port`), with `body` as JSON unless it is null, and resolves with the response, whatever
   * its status. Rejects with `HttpRequestError` when there is none within `timeoutMs`.
   */
  request(
    addr: string,
    method: string,
    path: string,
    body: object | null,
    timeoutMs: number,
  ): Promise<HttpAnswer>;
}

/** Bounds of a client. */
export interface ClientOptions extends PoolLimits {
  /** The longest body of a response. */
  bodyBytes: number;
  /** Memory that all incomplete responses together may hold; the one that goes beyond fails. */
  maxHeldBytes?: number;
}

const HEADER_BYTES = 16 * 1024;
const MAX_HELD_BYTES = 48 * 1024 * 1024;

/** Sends one request at a time on each connection. */
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

  /** Ends all connections, for good. */
  close(): void {
    this.pool.close();
  }

  request(
    addr: string,
    method: string,
    path: string,
    body: object | null,
    timeoutMs: number,
  ): Promise<HttpAnswer> {
    const text = requestText(addr, method, path, body);
    const socket = this.pool.acquire(addr);
    if (!socket) return Promise.reject(new HttpRequestError('no socket free', false));
    return new Promise((resolve, reject) => {
      new Exchange({
        clock: this.clock,
        socket,
        parser: new MessageParser('response', {
          headerBytes: HEADER_BYTES,
          bodyBytes: this.options.bodyBytes,
        }),
        memory: this.memory,
        onEnd: (state) => this.pool.release(addr, socket, state),
        resolve,
        reject: (why, sent) => reject(new HttpRequestError(`${method} ${path}: ${why}`, sent)),
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

/** Counts the bytes that incomplete responses hold. */
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
  readonly resolve: (answer: HttpAnswer) => void;
  readonly reject: (why: string, sent: boolean) => void;
}

/** One request and its response on a connection. */
class Exchange {
  private timeout: Timer | null = null;
  private sent = false;
  private over = false;
  private heldBytes = 0;

  constructor(private readonly options: ExchangeOptions) {}

  start(text: string, timeoutMs: number): void {
    const { clock, socket } = this.options;
    this.timeout = clock.after(timeoutMs, () => this.fail('timeout'));
    socket.once('failed', (why: string) => this.fail(why));
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
    const [first] = parser.feed(data);
    if (first) {
      this.onResponse(first);
      return;
    }
    this.hold(parser.held);
    if (parser.failure) this.fail(parser.failure.message);
    else if (memory.exceeded) this.fail('too much at once');
  }

  private onClosed(): void {
    const last = this.options.parser.finish();
    if (last) this.onResponse(last);
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
    this.options.resolve({ status: Number(message.start[1]), body, headers: message.headers });
  }

  private fail(why: string): void {
    if (this.end('broken')) this.options.reject(why, this.sent);
  }

  /** False when the exchange is over already. */
  private end(state: 'reusable' | 'broken'): boolean {
    if (this.over) return false;
    this.over = true;
    this.timeout?.cancel();
    this.hold(0);
    const { socket } = this.options;
    for (const event of ['data', 'end', 'connect']) socket.removeAllListeners(event);
    this.options.onEnd(state);
    return true;
  }

  private hold(bytes: number): void {
    this.options.memory.heldBytes += bytes - this.heldBytes;
    this.heldBytes = bytes;
  }
}
