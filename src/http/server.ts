/** An HTTP/1.1 server on Node's `net`: connections, time limits and replies, whatever is asked. */

import net from 'node:net';
import type { Clock } from '../clock/clock.js';
import { type PeriodicTask, startPeriodicTask } from '../clock/periodictask.js';
import {
  type AdmissionCounts,
  type ClientKind,
  ConnectionAdmission,
  type ConnectionSlot,
} from './connectionadmission.js';
import { type HttpMessage, MessageParser } from './parser.js';

/** A complete request. */
export interface HttpRequest {
  method: string;
  /** Without the query, not decoded. */
  path: string;
  query: URLSearchParams;
  /** By lower-case name. */
  headers: Map<string, string>;
  body: Buffer;
}

/** A reply; its body is sent as JSON. */
export interface HttpReply {
  status: number;
  body?: object;
  headers?: Record<string, string>;
  /** What the content of the request has shown its client to be; a user unless set. */
  from?: 'worker' | 'health';
}

/** Answers a request; when it throws, the request is answered 503. */
export type Handler = (request: HttpRequest) => Promise<HttpReply> | HttpReply;

/** Bounds and hooks of a server; times in milliseconds. */
export interface ServerOptions {
  /** Connections at once, of all kinds. */
  maxConnections: number;
  /** The longest body of a request. */
  bodyBytes: number;
  /** A request must be complete within this time of its first byte. */
  requestMs: number;
  /** An idle connection is ended after this time. */
  idleMs: number;
  /** The kind of client that a request seems to come from, by its path alone. */
  classify?: (path: string) => ClientKind;
  onError: (error: unknown) => void;
  /** Called at intervals when connections were evicted or refused: the counts since the last call. */
  onOverload?: (counts: AdmissionCounts, open: number) => void;
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

/** An open connection and its limits' state. */
interface Connection {
  socket: net.Socket;
  slot: ConnectionSlot;
  parser: MessageParser;
  /** Complete requests not yet answered. */
  queue: HttpMessage[];
  /** A request is being answered. */
  busy: boolean;
  /** The last reply has been sent; nothing more is read. */
  closing: boolean;
  /** When it was last idle, or when the first part of an incomplete request was received. */
  since: number;
  /** Bytes received since then. */
  received: number;
  /** Bytes of replies that the other side has not received, and since when they have not become fewer. */
  unsent: number;
  unsentSince: number;
}

const HEADER_BYTES = 8192;
/** Requests are not pipelined; a client that does so anyway may have this many unanswered. */
const MAX_QUEUED = 8;
const SWEEP_INTERVAL_MS = 1000;
/** Longer than this after the last sweep, the process was stalled: that is not the fault of the connections, which get the time back. */
const STALL_MS = 2500;
/** Replies that are not received: at most so many bytes at once, and for so long. */
const MAX_UNSENT_BYTES = 256 * 1024;
const UNSENT_MS = 10_000;
/** After this time an incomplete request must have been received at this rate; near the server's capacity, sooner. */
const PROGRESS_MS = 4000;
const PROGRESS_NEAR_CAPACITY_MS = 1500;
const PROGRESS_BYTES_PER_S = 256;
/** Memory that all connections together may hold for incomplete requests and replies not received. */
const MAX_HELD_BYTES = 8 * 1024 * 1024;
const REPORT_INTERVAL_MS = 5000;

/**
 * Serves HTTP/1.1. Which connections are kept is up to `ConnectionAdmission`; this class enforces what a connection must do
 * to be kept: complete the requests that it has begun, and receive the replies.
 */
export class HttpServer {
  private readonly server: net.Server;
  private readonly connections = new Set<Connection>();
  private readonly admission: ConnectionAdmission;
  private sweptAt: number;
  private reportedAt: number;
  private reportedCounts: AdmissionCounts = { refused: 0, evicted: 0, deferred: 0 };
  private readonly sweeping: PeriodicTask;

  constructor(
    private readonly clock: Clock,
    private readonly handler: Handler,
    private readonly options: ServerOptions,
  ) {
    this.admission = new ConnectionAdmission(options.maxConnections);
    this.server = net.createServer({ noDelay: true }, (socket) => this.accept(socket));
    this.server.maxConnections = options.maxConnections;
    this.server.on('error', options.onError);
    this.sweptAt = clock.now();
    this.reportedAt = this.sweptAt;
    this.sweeping = startPeriodicTask(clock, SWEEP_INTERVAL_MS, () => this.sweep());
  }

  /** Resolves with the port once the server is listening; rejects when the address cannot be bound. */
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
    return this.admission.openCount;
  }

  /** Stops listening and ends all connections, for good. */
  close(): void {
    this.sweeping.stop();
    this.server.close();
    for (const c of this.connections) c.socket.destroy();
  }

  private accept(socket: net.Socket): void {
    const slot = this.admission.admit(socket.remoteAddress ?? '', () => socket.destroy());
    if (!slot) {
      socket.destroy();
      return;
    }
    const now = this.clock.now();
    const connection: Connection = {
      socket,
      slot: slot,
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
    // What it sent before it was accepted is read in the next turn of the event loop.
    setImmediate(() => {
      setImmediate(() => {
        slot.initialDataRead = true;
      });
    });
    socket.on('data', (data) => this.receive(connection, data));
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      this.connections.delete(connection);
      this.admission.release(slot);
    });
  }

  private receive(c: Connection, data: Buffer): void {
    if (c.closing) return;
    if (!c.parser.midway) {
      c.since = this.clock.now();
      c.received = 0;
      this.admission.onRequestStarted(c.slot);
    }
    c.received += data.length;
    c.queue.push(...c.parser.feed(data));
    if (c.queue.length > MAX_QUEUED || c.socket.writableLength > MAX_UNSENT_BYTES) {
      c.socket.destroy();
      return;
    }
    if (c.parser.awaitsContinue) {
      c.parser.awaitsContinue = false;
      // The reply to an earlier request must not be overtaken.
      if (!c.busy && c.queue.length === 0) c.socket.write('HTTP/1.1 100 Continue\r\n\r\n');
    }
    if (!c.busy && (c.queue.length > 0 || c.parser.failure)) void this.serve(c);
  }

  private async serve(c: Connection): Promise<void> {
    c.busy = true;
    let kind: ClientKind = 'user';
    for (let m = c.queue.shift(); m && !c.closing; m = c.queue.shift()) {
      if (!this.admission.tryServe(c.slot, this.options.classify?.(m.start[1]) ?? 'user')) {
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
    // The complete requests before the one that cannot be parsed have been answered.
    const { failure } = c.parser;
    if (failure && !c.closing)
      this.send(c, { status: failure.status, body: { error: failure.message } }, false);
    c.busy = false;
    c.since = this.clock.now();
    c.received = 0;
    if (!this.connections.has(c)) return;
    this.admission.onAnswered(c.slot, kind);
    if (c.parser.midway) this.admission.onRequestStarted(c.slot);
  }

  private async answer(m: HttpMessage): Promise<HttpReply> {
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

  /** Ends connections that are overdue, so that slow or half-open ones do not exhaust the node, and the largest if memory is short. */
  private sweep(): void {
    const now = this.clock.now();
    const lateMs = now - this.sweptAt - SWEEP_INTERVAL_MS;
    this.sweptAt = now;
    let held = 0;
    let largest: Connection | null = null;
    let largestBytes = 0;
    for (const c of this.connections) {
      if (lateMs > STALL_MS - SWEEP_INTERVAL_MS) {
        c.since = Math.min(now, c.since + lateMs);
        c.unsentSince = Math.min(now, c.unsentSince + lateMs);
      }
      if (this.overdue(c, now)) {
        c.socket.destroy();
        continue;
      }
      const bytes = c.parser.held + c.unsent;
      held += bytes;
      if (bytes > largestBytes) {
        largestBytes = bytes;
        largest = c;
      }
    }
    if (held > MAX_HELD_BYTES) largest?.socket.destroy();
    this.reportCounts(now);
  }

  /** Whether a connection has exceeded one of its time limits; also updates what it has unsent. */
  private overdue(c: Connection, now: number): boolean {
    const unsent = c.socket.writableLength;
    if (unsent === 0 || unsent < c.unsent) c.unsentSince = now;
    c.unsent = unsent;
    if (unsent > MAX_UNSENT_BYTES || now - c.unsentSince > UNSENT_MS) return true;
    if (c.busy) return false;
    const waited = now - c.since;
    if (c.closing) return waited > this.options.requestMs;
    const unidentified = c.slot.kind === 'unidentified';
    if (!c.parser.midway && !(unidentified && c.received === 0)) return waited > this.options.idleMs;
    if (waited > this.options.requestMs) return true;
    const hurried = unidentified && this.admission.nearCapacity;
    if (waited <= (hurried ? PROGRESS_NEAR_CAPACITY_MS : PROGRESS_MS)) return false;
    // A connection opened ahead of need sends nothing, which is tolerated while slots are not scarce.
    if (!c.parser.midway) return hurried;
    return (c.received * 1000) / waited < PROGRESS_BYTES_PER_S;
  }

  private reportCounts(now: number): void {
    if (now - this.reportedAt < REPORT_INTERVAL_MS) return;
    this.reportedAt = now;
    const { refused, evicted, deferred } = this.admission.counts;
    const before = this.reportedCounts;
    if (refused === before.refused && evicted === before.evicted && deferred === before.deferred) return;
    this.reportedCounts = { refused, evicted, deferred };
    this.options.onOverload?.(
      {
        refused: refused - before.refused,
        evicted: evicted - before.evicted,
        deferred: deferred - before.deferred,
      },
      this.open,
    );
  }
}
