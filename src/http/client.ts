import net from 'node:net';
import type { Clock, Timer } from '../clock/clock.js';
import { UnreachableError } from '../errors/errors.js';
import { type Message, MessageParser } from './parser.js';

export interface HttpAnswer {
  status: number;
  body: unknown;
  headers: Map<string, string>;
}

/** `sent` is false only when the other side surely never gets the request. */
export class HttpRequestError extends UnreachableError {
  constructor(
    message: string,
    readonly sent: boolean,
  ) {
    super(message);
  }
}

export interface Requester {
  request(
    addr: string,
    method: string,
    path: string,
    body: object | null,
    timeoutMs: number,
  ): Promise<HttpAnswer>;
}

interface Idle {
  socket: net.Socket;
  since: number;
}

export interface ClientOptions {
  maxSockets: number;
  /** Connections to one address at once, so that one that is slow does not take all; no more than `maxSockets`. */
  mostTo?: (addr: string) => number;
  /** The longest body of an answer. */
  bodyBytes: number;
  /** All that answers not yet complete may hold together; the one that goes beyond fails. */
  heldBytes?: number;
}

const HEADER_BYTES = 16 * 1024;
const HELD_BYTES = 48 * 1024 * 1024;
const IDLE_MS = 15_000;

/** Keeps connections open between requests; one request at a time on each. */
export class HttpClient implements Requester {
  private readonly idle = new Map<string, Idle[]>();
  private readonly openTo = new Map<string, number>();
  private open = 0;
  /** Bytes of answers not yet complete. */
  private held = 0;
  private closed = false;

  constructor(
    private readonly clock: Clock,
    private readonly options: ClientOptions,
  ) {
    this.sweep();
  }

  /** Ends all connections, for good. */
  close(): void {
    this.closed = true;
    for (const list of this.idle.values()) for (const kept of list) kept.socket.destroy();
    this.idle.clear();
  }

  request(
    addr: string,
    method: string,
    path: string,
    body: object | null,
    timeoutMs: number,
  ): Promise<HttpAnswer> {
    const payload = body === null ? '' : JSON.stringify(body);
    const length =
      body === null
        ? ''
        : `Content-Type: application/json\r\nContent-Length: ${Buffer.byteLength(payload)}\r\n`;
    const text = `${method} ${path} HTTP/1.1\r\nHost: ${addr}\r\n${length}\r\n${payload}`;
    return new Promise((resolve, reject) => {
      let timer: Timer | null = null;
      let sent = false;
      let over = false;
      const socket = this.take(addr);
      if (!socket) {
        reject(new HttpRequestError('no socket free', false));
        return;
      }
      const parser = new MessageParser('response', {
        headerBytes: HEADER_BYTES,
        bodyBytes: this.options.bodyBytes,
      });
      let holds = 0;
      const hold = (bytes: number) => {
        this.held += bytes - holds;
        holds = bytes;
      };
      const end = (reuse: boolean, finish: () => void) => {
        if (over) return;
        over = true;
        timer?.cancel();
        hold(0);
        socket.removeAllListeners('data');
        socket.removeAllListeners('end');
        socket.removeAllListeners('connect');
        if (reuse && !socket.destroyed && !this.closed) this.put(addr, socket);
        else socket.destroy();
        finish();
      };
      const fail = (why: string) =>
        end(false, () => reject(new HttpRequestError(`${method} ${path}: ${why}`, sent)));
      const take = (m: Message) => {
        let parsed: unknown = null;
        try {
          if (m.body.length > 0) parsed = JSON.parse(m.body.toString('utf8'));
        } catch {
          fail('not JSON');
          return;
        }
        end(m.keepAlive, () => resolve({ status: Number(m.start[1]), body: parsed, headers: m.headers }));
      };
      const write = () => {
        sent = true;
        socket.write(text);
      };
      timer = this.clock.after(timeoutMs, () => fail('timeout'));
      socket.once('failed', (why: string) => fail(why));
      socket.on('data', (data) => {
        const [first] = parser.feed(data);
        if (first) {
          take(first);
          return;
        }
        hold(parser.held);
        if (parser.failure) fail(parser.failure.message);
        else if (this.held > (this.options.heldBytes ?? HELD_BYTES)) fail('too much at once');
      });
      socket.on('end', () => {
        const last = parser.finish();
        if (last) take(last);
        else fail('closed');
      });
      if (socket.connecting) socket.once('connect', write);
      else write();
    });
  }

  private take(addr: string): net.Socket | null {
    const list = this.idle.get(addr);
    for (let kept = list?.pop(); kept; kept = list?.pop()) {
      if (!kept.socket.destroyed && kept.socket.writable) return kept.socket;
    }
    const there = this.openTo.get(addr) ?? 0;
    if (there >= (this.options.mostTo?.(addr) ?? this.options.maxSockets)) return null;
    if (this.open >= this.options.maxSockets && !this.dropOldest()) return null;
    const colon = addr.lastIndexOf(':');
    this.open++;
    this.openTo.set(addr, there + 1);
    const socket = net.connect({
      host: addr.slice(0, colon),
      port: Number(addr.slice(colon + 1)),
      noDelay: true,
    });
    socket.on('error', (error) => {
      socket.emit('failed', error.message);
      socket.destroy();
    });
    socket.on('close', () => {
      this.open--;
      const left = (this.openTo.get(addr) ?? 1) - 1;
      if (left > 0) this.openTo.set(addr, left);
      else this.openTo.delete(addr);
      socket.emit('failed', 'closed');
    });
    return socket;
  }

  private put(addr: string, socket: net.Socket): void {
    socket.removeAllListeners('failed');
    let list = this.idle.get(addr);
    if (!list) {
      list = [];
      this.idle.set(addr, list);
    }
    list.push({ socket, since: this.clock.now() });
    // A connection kept idle that the other side closes must not be used again.
    socket.once('end', () => socket.destroy());
  }

  private dropOldest(): boolean {
    for (const list of this.idle.values()) {
      const kept = list.shift();
      if (kept) {
        kept.socket.destroy();
        return true;
      }
    }
    return false;
  }

  private sweep(): void {
    if (this.closed) return;
    const limit = this.clock.now() - IDLE_MS;
    for (const [addr, list] of this.idle) {
      while (list[0] && (list[0].since < limit || list[0].socket.destroyed)) list.shift()!.socket.destroy();
      if (list.length === 0) this.idle.delete(addr);
    }
    this.clock.after(5000, () => this.sweep());
  }
}
