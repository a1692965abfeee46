// This package: HTTP/1.1 on sockets: parser, server, client, and who gets a place; nothing of what is asked.
import net from 'node:net';
import type { Clock } from '../clock/clock.js';
import { Admission, type AdmissionCounts, type Seat, type Shown } from './admission.js';
import { type Message, MessageParser } from './parser.js';

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
  /** What the request has shown its sender to be; a user unless said otherwise. */
  from?: 'worker' | 'health';
}

export type Handler = (request: HttpRequest) => Promise<HttpReply> | HttpReply;

export interface ServerOptions {
  /** Connections at once, of all kinds. */
  maxConnections: number;
  bodyBytes: number;
  /** A request that has begun must be complete by then. */
  requestMs: number;
  idleMs: number;
  /** What a request claims to come from, by its path alone. */
  claims?: (path: string) => Shown;
  onError: (error: unknown) => void;
  /** Now and then, when connections had to go or were turned away: the counts since the last time. */
  onShort?: (counts: AdmissionCounts, open: number) => void;
}

const REASONS: Record<number, string> = {
  200: 'OK',
  201: 'Created',
  400: 'Bad Request',
  404: 'Not Found',
  405: 'Method Not Allowed',
  408: 'Request Timeout',
  413: 'Content Too Large',
  417: 'Expectation Failed',
  421: 'Misdirected Request',
  422: 'Unprocessable Content',
  429: 'Too Many Requests',
  431: 'Request Header Fields Too Large',
  501: 'Not Implemented',
  503: 'Service Unavailable',
};

interface Connection {
  socket: net.Socket;
  seat: Seat;
  parser: MessageParser;
  queue: Message[];
  busy: boolean;
  closing: boolean;
  /** When it was last idle, or since when part of a request is there. */
  since: number;
  /** Bytes that have come since then. */
  received: number;
  /** Bytes of answers that the other side has not taken, and since when they have not become fewer. */
  unsent: number;
  unsentSince: number;
}

const HEADER_BYTES = 8192;
/** Requests are not pipelined; a client that does so anyway is held to a few. */
const MAX_QUEUED = 8;
const SWEEP_MS = 1000;
/** Longer than this after the last sweep, the process has stood still, which is no fault of those who wait. */
const STOOD_STILL_MS = 2500;
/** Answers that nobody takes: so many bytes at once, and for so long. */
const MAX_UNSENT_BYTES = 256 * 1024;
const UNSENT_MS = 10_000;
/** After this long a request that has not all come must have come at this rate, and while places are short sooner. */
const PROGRESS_MS = 4000;
const PROGRESS_SHORT_MS = 1500;
const PROGRESS_BYTES_PER_S = 256;
/** All that connections may hold of requests not complete and answers not taken. */
const MAX_HELD_BYTES = 8 * 1024 * 1024;
const TELL_MS = 5000;

/**
 * HTTP/1.1 on Node's `net`. Who gets a place is up to `Admission`; here is what a connection must do to keep it: send
 * what it has begun, and take what it asked for.
 */
export class HttpServer {
  private readonly server: net.Server;
  private readonly connections = new Set<Connection>();
  private readonly admission: Admission;
  private sweptAt: number;
  private toldAt: number;
  private told: AdmissionCounts = { refused: 0, evicted: 0, deferred: 0 };
  private closed = false;

  constructor(
    private readonly clock: Clock,
    private readonly handler: Handler,
    private readonly options: ServerOptions,
  ) {
    this.admission = new Admission(options.maxConnections);
    this.server = net.createServer({ noDelay: true }, (socket) => this.accept(socket));
    this.server.maxConnections = options.maxConnections;
    this.server.on('error', options.onError);
    this.sweptAt = clock.now();
    this.toldAt = this.sweptAt;
    clock.after(SWEEP_MS, () => this.sweep());
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

  /** Connections that are open. */
  get open(): number {
    return this.admission.size;
  }

  close(): void {
    this.closed = true;
    this.server.close();
    for (const c of this.connections) c.socket.destroy();
  }

  private accept(socket: net.Socket): void {
    const seat = this.admission.enter(socket.remoteAddress ?? '', () => socket.destroy());
    if (!seat) {
      socket.destroy();
      return;
    }
    const now = this.clock.now();
    const connection: Connection = {
      socket,
      seat,
      parser: new MessageParser('request', { headerBytes: HEADER_BYTES, bodyBytes: this.options.bodyBytes }),
      queue: [],
      busy: false,
      closing: false,
      since: now,
      received: 0,
      unsent: 0,
      unsentSince: now,
    };
    this.connections.add(connection);
    // What it sent before it was accepted is read in the turn of the event loop after this one.
    setImmediate(() => {
      setImmediate(() => {
        seat.looked = true;
      });
    });
    socket.on('data', (data) => this.receive(connection, data));
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      this.connections.delete(connection);
      this.admission.leave(seat);
    });
  }

  private receive(c: Connection, data: Buffer): void {
    if (c.closing) return;
    if (!c.parser.midway) {
      c.since = this.clock.now();
      c.received = 0;
      this.admission.engage(c.seat);
    }
    c.received += data.length;
    c.queue.push(...c.parser.feed(data));
    if (c.queue.length > MAX_QUEUED || c.socket.writableLength > MAX_UNSENT_BYTES) {
      c.socket.destroy();
      return;
    }
    if (c.parser.awaitsContinue) {
      c.parser.awaitsContinue = false;
      // An answer to a request before this one must not be overtaken.
      if (!c.busy && c.queue.length === 0) c.socket.write('HTTP/1.1 100 Continue\r\n\r\n');
    }
    if (!c.busy && (c.queue.length > 0 || c.parser.failure)) void this.serve(c);
  }

  private async serve(c: Connection): Promise<void> {
    c.busy = true;
    let kind: Shown = 'user';
    for (let m = c.queue.shift(); m && !c.closing; m = c.queue.shift()) {
      if (!this.admission.serve(c.seat, this.options.claims?.(m.start[1]) ?? 'user')) {
        this.send(
          c,
          { status: 503, body: { error: 'too many requests at once' }, headers: { 'Retry-After': '1' } },
          false,
        );
        break;
      }
      const reply = await this.answer(m);
      kind = reply.from ?? 'user';
      this.send(c, reply, m.keepAlive);
    }
    // What was complete before what cannot be read has been answered.
    const { failure } = c.parser;
    if (failure && !c.closing)
      this.send(c, { status: failure.status, body: { error: failure.message } }, false);
    c.busy = false;
    c.since = this.clock.now();
    c.received = 0;
    if (!this.connections.has(c)) return;
    this.admission.settle(c.seat, kind);
    if (c.parser.midway) this.admission.engage(c.seat);
  }

  private async answer(m: Message): Promise<HttpReply> {
    try {
      const mark = m.start[1].indexOf('?');
      return await this.handler({
        method: m.start[0],
        path: mark < 0 ? m.start[1] : m.start[1].slice(0, mark),
        query: new URLSearchParams(mark < 0 ? '' : m.start[1].slice(mark + 1)),
        headers: m.headers,
        body: m.body,
      });
    } catch (error) {
      this.options.onError(error);
      return { status: 503, body: { error: 'internal' } };
    }
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
      c.since = this.clock.now();
      c.socket.end();
    }
  }

  /** Slow or half-open connections must not hold a node: none stays midway, unread or idle for long. */
  private sweep(): void {
    if (this.closed) return;
    const now = this.clock.now();
    const late = now - this.sweptAt - SWEEP_MS;
    this.sweptAt = now;
    let held = 0;
    let largest: Connection | null = null;
    let most = 0;
    for (const c of this.connections) {
      if (late > STOOD_STILL_MS - SWEEP_MS) {
        c.since = Math.min(now, c.since + late);
        c.unsentSince = Math.min(now, c.unsentSince + late);
      }
      if (this.overdue(c, now)) {
        c.socket.destroy();
        continue;
      }
      const bytes = c.parser.held + c.unsent;
      held += bytes;
      if (bytes > most) {
        most = bytes;
        largest = c;
      }
    }
    if (held > MAX_HELD_BYTES) largest?.socket.destroy();
    this.tell(now);
    this.clock.after(SWEEP_MS, () => this.sweep());
  }

  private overdue(c: Connection, now: number): boolean {
    const unsent = c.socket.writableLength;
    if (unsent === 0 || unsent < c.unsent) c.unsentSince = now;
    c.unsent = unsent;
    if (unsent > MAX_UNSENT_BYTES || now - c.unsentSince > UNSENT_MS) return true;
    if (c.busy) return false;
    const waited = now - c.since;
    if (c.closing) return waited > this.options.requestMs;
    const stranger = c.seat.kind === 'stranger';
    if (!c.parser.midway && !(stranger && c.received === 0)) return waited > this.options.idleMs;
    if (waited > this.options.requestMs) return true;
    const hurried = stranger && this.admission.short;
    if (waited <= (hurried ? PROGRESS_SHORT_MS : PROGRESS_MS)) return false;
    // A connection opened ahead of need sends nothing, which is no slowness while places are not short.
    if (!c.parser.midway) return hurried;
    return (c.received * 1000) / waited < PROGRESS_BYTES_PER_S;
  }

  private tell(now: number): void {
    if (now - this.toldAt < TELL_MS) return;
    this.toldAt = now;
    const { refused, evicted, deferred } = this.admission.counts;
    const before = this.told;
    if (refused === before.refused && evicted === before.evicted && deferred === before.deferred) return;
    this.told = { refused, evicted, deferred };
    this.options.onShort?.(
      {
        refused: refused - before.refused,
        evicted: evicted - before.evicted,
        deferred: deferred - before.deferred,
      },
      this.open,
    );
  }
}
