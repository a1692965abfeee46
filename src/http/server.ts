/** An HTTP/1.1 server on Node's `net`: connections, time limits and replies, independent of request content. */

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
  /** Path without the query, still percent-encoded. */
  path: string;
  query: URLSearchParams;
  /** Header values by lower-case name. */
  headers: Map<string, string>;
  body: Buffer;
}

/** A reply; its body is sent as JSON. */
export interface HttpReply {
  status: number;
  body?: object;
  headers?: Record<string, string>;
  /** The kind of client that the request's content has identified; a user if unset. */
  clientKind?: 'worker' | 'health';
}

/** Answers a request; if it throws, the reply has status 503. */
export type Handler = (request: HttpRequest) => Promise<HttpReply> | HttpReply;

/** Limits and callbacks of a server; times are in milliseconds. */
export interface ServerOptions {
  /** Maximum number of open connections of all kinds. */
  maxConnections: number;
  /** Maximum size of a request body. */
  maxBodyBytes: number;
  /** Maximum time from the first byte of a request to its last. */
  requestTimeoutMs: number;
  /** Idle connections are closed after this time. */
  idleTimeoutMs: number;
  /** Guesses the kind of client from the path of a request. */
  classify?: (path: string) => ClientKind;
  onError: (error: unknown) => void;
  /** Called at intervals with the counts since the last call, unless nothing was refused, evicted or deferred. */
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

/** An open connection with the state of its limits. */
interface Connection {
  socket: net.Socket;
  slot: ConnectionSlot;
  parser: MessageParser;
  /** Complete requests that have not been answered. */
  queue: HttpMessage[];
  /** Whether a request is being answered. */
  answering: boolean;
  /** Whether the last reply has been sent; further input is ignored. */
  closing: boolean;
  /** Start of the current idle time or, while a request is incomplete, the time of its first bytes. */
  waitingSince: number;
  /** Bytes received since `waitingSince`. */
  receivedBytes: number;
  /** Bytes of replies that are buffered because the client has not received them. */
  unsentBytes: number;
  /** Time since which `unsentBytes` has not decreased. */
  unsentSince: number;
}

const HEADER_BYTES = 8192;
/** Maximum number of unanswered pipelined requests per connection; regular clients do not pipeline. */
const MAX_QUEUED = 8;
const SWEEP_INTERVAL_MS = 1000;
/** A longer interval between sweeps means that the process was stalled. Connections are not charged for the delay. */
const STALL_MS = 2500;
/** Maximum size of the buffered replies of a connection. */
const MAX_UNSENT_BYTES = 256 * 1024;
/** Maximum time for which a client may receive nothing of its buffered replies. */
const UNSENT_MS = 10_000;
/** After this time, an incomplete request must have been received at the minimum rate `PROGRESS_BYTES_PER_S`. */
const PROGRESS_MS = 4000;
/** The same for unidentified connections while the server is near its capacity. */
const PROGRESS_NEAR_CAPACITY_MS = 1500;
const PROGRESS_BYTES_PER_S = 256;
/** Maximum memory for incomplete requests and buffered replies of all connections together. */
const MAX_HELD_BYTES = 8 * 1024 * 1024;
const REPORT_INTERVAL_MS = 5000;

/**
 * An HTTP/1.1 server. `ConnectionAdmission` decides which connections to admit and evict. This class closes
 * connections that do not complete the requests that they have begun, or do not receive the replies, in time.
 */
export class HttpServer {
  private readonly server: net.Server;
  private readonly connections = new Set<Connection>();
  private readonly admission: ConnectionAdmission;
  private sweptAt: number;
  private reportedAt: number;
  private reportedCounts: AdmissionCounts = { refused: 0, evicted: 0, deferred: 0 };
  private readonly sweepTask: PeriodicTask;

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
    this.sweepTask = startPeriodicTask(clock, SWEEP_INTERVAL_MS, () => this.sweep());
  }

  /** Starts listening. Resolves with the port once it listens; rejects if the address cannot be bound. */
  listen(host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({ host, port, backlog: 256 }, () => {
        this.server.off('error', reject);
        resolve((this.server.address() as net.AddressInfo).port);
      });
    });
  }

  /** Number of open connections. */
  get openCount(): number {
    return this.admission.openCount;
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.sweepTask.stop();
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
      parser: new MessageParser('request', {
        headerBytes: HEADER_BYTES,
        bodyBytes: this.options.maxBodyBytes,
      }),
      queue: [],
      answering: false,
      closing: false,
      waitingSince: now,
      receivedBytes: 0,
      unsentBytes: 0,
      unsentSince: now,
    };
    this.connections.add(connection);
    // Data sent before the accept are read in the next iteration of the event loop.
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

  private receive(connection: Connection, data: Buffer): void {
    if (connection.closing) return;
    if (!connection.parser.messageInProgress) {
      connection.waitingSince = this.clock.now();
      connection.receivedBytes = 0;
      this.admission.onRequestStarted(connection.slot);
    }
    connection.receivedBytes += data.length;
    connection.queue.push(...connection.parser.feed(data));
    if (connection.queue.length > MAX_QUEUED || connection.socket.writableLength > MAX_UNSENT_BYTES) {
      connection.socket.destroy();
      return;
    }
    if (connection.parser.awaitsContinue) {
      connection.parser.awaitsContinue = false;
      // The interim response must not overtake the reply to an earlier request.
      if (!connection.answering && connection.queue.length === 0)
        connection.socket.write('HTTP/1.1 100 Continue\r\n\r\n');
    }
    if (!connection.answering && (connection.queue.length > 0 || connection.parser.failure))
      void this.serve(connection);
  }

  private async serve(connection: Connection): Promise<void> {
    connection.answering = true;
    let kind: ClientKind = 'user';
    for (let next = connection.queue.shift(); next && !connection.closing; next = connection.queue.shift()) {
      if (!this.admission.tryServe(connection.slot, this.options.classify?.(next.startLine[1]) ?? 'user')) {
        this.send(
          connection,
          { status: 503, body: { error: 'too many requests at once' }, headers: { 'Retry-After': '1' } },
          false,
        );
        break;
      }
      const reply = await this.callHandler(next);
      kind = reply.clientKind ?? 'user';
      this.send(connection, reply, next.keepAlive);
    }
    // All complete requests before the invalid one have been answered, so its error reply is sent in order.
    const { failure } = connection.parser;
    if (failure && !connection.closing)
      this.send(connection, { status: failure.status, body: { error: failure.message } }, false);
    connection.answering = false;
    connection.waitingSince = this.clock.now();
    connection.receivedBytes = 0;
    if (!this.connections.has(connection)) return;
    this.admission.onAnswered(connection.slot, kind);
    if (connection.parser.messageInProgress) this.admission.onRequestStarted(connection.slot);
  }

  private async callHandler(message: HttpMessage): Promise<HttpReply> {
    try {
      const queryStart = message.startLine[1].indexOf('?');
      return await this.handler({
        method: message.startLine[0],
        path: queryStart < 0 ? message.startLine[1] : message.startLine[1].slice(0, queryStart),
        query: new URLSearchParams(queryStart < 0 ? '' : message.startLine[1].slice(queryStart + 1)),
        headers: message.headers,
        body: message.body,
      });
    } catch (error) {
      this.options.onError(error);
      return { status: 503, body: { error: 'internal' } };
    }
  }

  private send(connection: Connection, reply: HttpReply, keepAlive: boolean): void {
    if (connection.socket.destroyed) return;
    const body = reply.body === undefined ? '' : JSON.stringify(reply.body);
    let head = `HTTP/1.1 ${reply.status} ${REASONS[reply.status] ?? 'Other'}\r\nContent-Type: application/json\r\nContent-Length: ${Buffer.byteLength(body)}\r\n`;
    for (const [name, value] of Object.entries(reply.headers ?? {})) head += `${name}: ${value}\r\n`;
    if (!keepAlive) head += 'Connection: close\r\n';
    connection.socket.write(`${head}\r\n${body}`);
    if (!keepAlive) {
      connection.closing = true;
      connection.waitingSince = this.clock.now();
      connection.socket.end();
    }
  }

  /**
   * Closes overdue connections, so that slow or half-open ones do not exhaust the node, and the connection that holds
   * most memory if the total exceeds `MAX_HELD_BYTES`.
   */
  private sweep(): void {
    const now = this.clock.now();
    const delayMs = now - this.sweptAt - SWEEP_INTERVAL_MS;
    this.sweptAt = now;
    let heldBytes = 0;
    let largest: Connection | null = null;
    let largestBytes = 0;
    for (const connection of this.connections) {
      if (delayMs > STALL_MS - SWEEP_INTERVAL_MS) {
        connection.waitingSince = Math.min(now, connection.waitingSince + delayMs);
        connection.unsentSince = Math.min(now, connection.unsentSince + delayMs);
      }
      if (this.isOverdue(connection, now)) {
        connection.socket.destroy();
        continue;
      }
      const bytes = connection.parser.heldBytes + connection.unsentBytes;
      heldBytes += bytes;
      if (bytes > largestBytes) {
        largestBytes = bytes;
        largest = connection;
      }
    }
    if (heldBytes > MAX_HELD_BYTES) largest?.socket.destroy();
    this.reportCounts(now);
  }

  /** Returns whether a connection has exceeded one of its limits; also updates `unsentBytes` and `unsentSince`. */
  private isOverdue(connection: Connection, now: number): boolean {
    const unsentBytes = connection.socket.writableLength;
    if (unsentBytes === 0 || unsentBytes < connection.unsentBytes) connection.unsentSince = now;
    connection.unsentBytes = unsentBytes;
    if (unsentBytes > MAX_UNSENT_BYTES || now - connection.unsentSince > UNSENT_MS) return true;
    if (connection.answering) return false;
    const waitedMs = now - connection.waitingSince;
    if (connection.closing) return waitedMs > this.options.requestTimeoutMs;
    const unidentified = connection.slot.kind === 'unidentified';
    if (!connection.parser.messageInProgress && !(unidentified && connection.receivedBytes === 0))
      return waitedMs > this.options.idleTimeoutMs;
    if (waitedMs > this.options.requestTimeoutMs) return true;
    const useShortLimit = unidentified && this.admission.nearCapacity;
    if (waitedMs <= (useShortLimit ? PROGRESS_NEAR_CAPACITY_MS : PROGRESS_MS)) return false;
    // A connection opened in advance sends nothing until its first request. It is kept while slots are not scarce.
    if (!connection.parser.messageInProgress) return useShortLimit;
    return (connection.receivedBytes * 1000) / waitedMs < PROGRESS_BYTES_PER_S;
  }

  private reportCounts(now: number): void {
    if (now - this.reportedAt < REPORT_INTERVAL_MS) return;
    this.reportedAt = now;
    const { refused, evicted, deferred } = this.admission.counts;
    const previous = this.reportedCounts;
    if (refused === previous.refused && evicted === previous.evicted && deferred === previous.deferred)
      return;
    this.reportedCounts = { refused, evicted, deferred };
    this.options.onOverload?.(
      {
        refused: refused - previous.refused,
        evicted: evicted - previous.evicted,
        deferred: deferred - previous.deferred,
      },
      this.openCount,
    );
  }
}
