import net from 'node:net';
import type { Clock } from '../clock/clock.js';
import { type Message, MessageParser, ParseError } from './parser.js';

export interface HttpRequest {
  method: string;
  path: string;
  query: URLSearchParams;
  headers: Map<string, string>;
  body: Buffer;
}

export interface HttpReply {
  status: number;
  body?: object;
  headers?: Record<string, string>;
}

export type Handler = (request: HttpRequest) => Promise<HttpReply> | HttpReply;

export interface ServerOptions {
  maxConnections: number;
  bodyBytes: number;
  /** A request that has begun must be complete by then. */
  requestMs: number;
  idleMs: number;
  /** Connections whose last request was for such a path make room for others only when there is no other that is idle. */
  keepsLonger?: (path: string) => boolean;
  onError: (error: unknown) => void;
}

const REASONS: Record<number, string> = {
  200: 'OK',
  201: 'Created',
  400: 'Bad Request',
  404: 'Not Found',
  405: 'Method Not Allowed',
  413: 'Content Too Large',
  421: 'Misdirected Request',
  422: 'Unprocessable Content',
  429: 'Too Many Requests',
  431: 'Request Header Fields Too Large',
  501: 'Not Implemented',
  503: 'Service Unavailable',
};

interface Connection {
  socket: net.Socket;
  parser: MessageParser;
  queue: Message[];
  busy: boolean;
  closing: boolean;
  since: number;
  kept: boolean;
}

const HEADER_BYTES = 8192;
/** Requests are not pipelined; a client that does so anyway is held to a few. */
const MAX_QUEUED = 8;
/** So many connections below the limit, idle ones make room for new ones. */
const SPARE_CONNECTIONS = 2;
const MAX_UNSENT_BYTES = 256 * 1024;

export class HttpServer {
  private readonly server: net.Server;
  private readonly connections = new Set<Connection>();

  constructor(
    private readonly clock: Clock,
    private readonly handler: Handler,
    private readonly options: ServerOptions,
  ) {
    this.server = net.createServer({ noDelay: true }, (socket) => this.accept(socket));
    this.server.maxConnections = options.maxConnections;
    this.server.on('error', options.onError);
    this.sweep();
  }

  /** Resolves with the port. */
  listen(host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({ host, port, backlog: 256 }, () => {
        this.server.off('error', reject);
        resolve((this.server.address() as net.AddressInfo).port);
      });
    });
  }

  close(): void {
    this.server.close();
    for (const c of this.connections) c.socket.destroy();
  }

  /**
   * Near the limit the connection that has been idle longest makes room: one controller may hold all shards for a while,
   * and neither users nor reports must be kept out by connections that nobody uses. Users' connections go before those
   * of workers: many questions must not cost machines their leases.
   */
  private makeRoom(): void {
    if (this.connections.size < this.options.maxConnections - SPARE_CONNECTIONS) return;
    let oldest: Connection | null = null;
    for (const c of this.connections) {
      if (c.busy || c.parser.midway || c.queue.length > 0) continue;
      if (!oldest || (c.kept === oldest.kept ? c.since < oldest.since : oldest.kept)) oldest = c;
    }
    if (!oldest) return;
    this.connections.delete(oldest);
    oldest.socket.destroy();
  }

  private accept(socket: net.Socket): void {
    this.makeRoom();
    const connection: Connection = {
      socket,
      parser: new MessageParser('request', { headerBytes: HEADER_BYTES, bodyBytes: this.options.bodyBytes }),
      queue: [],
      busy: false,
      closing: false,
      since: this.clock.now(),
      kept: false,
    };
    this.connections.add(connection);
    socket.on('data', (data) => this.receive(connection, data));
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.connections.delete(connection));
  }

  private receive(c: Connection, data: Buffer): void {
    if (c.closing) return;
    if (!c.parser.midway) c.since = this.clock.now();
    try {
      c.queue.push(...c.parser.feed(data));
    } catch (error) {
      const status = error instanceof ParseError ? error.status : 400;
      this.send(
        c,
        { status, body: { error: error instanceof Error ? error.message : 'bad request' } },
        false,
      );
      return;
    }
    if (c.queue.length > MAX_QUEUED) {
      c.socket.destroy();
      return;
    }
    if (!c.busy) void this.serve(c);
  }

  private async serve(c: Connection): Promise<void> {
    c.busy = true;
    for (let m = c.queue.shift(); m && !c.closing; m = c.queue.shift()) {
      let reply: HttpReply;
      try {
        const mark = m.start[1].indexOf('?');
        c.kept = this.options.keepsLonger?.(m.start[1]) ?? false;
        reply = await this.handler({
          method: m.start[0],
          path: mark < 0 ? m.start[1] : m.start[1].slice(0, mark),
          query: new URLSearchParams(mark < 0 ? '' : m.start[1].slice(mark + 1)),
          headers: m.headers,
          body: m.body,
        });
      } catch (error) {
        this.options.onError(error);
        reply = { status: 503, body: { error: 'internal' } };
      }
      this.send(c, reply, m.keepAlive);
    }
    c.busy = false;
    c.since = this.clock.now();
  }

  private send(c: Connection, reply: HttpReply, keepAlive: boolean): void {
    if (c.socket.destroyed) return;
    const body = reply.body === undefined ? '' : JSON.stringify(reply.body);
    let head = `HTTP/1.1 ${reply.status} ${REASONS[reply.status] ?? 'Other'}\r\nContent-Type: application/json\r\nContent-Length: ${Buffer.byteLength(body)}\r\n`;
    for (const [name, value] of Object.entries(reply.headers ?? {})) head += `${name}: ${value}\r\n`;
    if (!keepAlive) head += 'Connection: close\r\n';
    c.socket.write(`${head}\r\n${body}`);
    if (!keepAlive) {
      c.closing = true;
      c.socket.end();
    }
  }

  /** Slow or half-open connections must not hold a node: none stays midway or idle for long. */
  private sweep(): void {
    const now = this.clock.now();
    for (const c of this.connections) {
      const limit = c.parser.midway || c.closing ? this.options.requestMs : this.options.idleMs;
      if (c.busy ? c.socket.writableLength > MAX_UNSENT_BYTES : now - c.since > limit) c.socket.destroy();
    }
    this.clock.after(1000, () => this.sweep());
  }
}
