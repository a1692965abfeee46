// This package: messages between controllers; nothing of what they say.

import net from 'node:net';
import type { Clock, Timer } from '../clock/clock.js';
import type { Endpoint, Peer } from '../config/settings.js';
import {
  ProtocolViolationError,
  SpartrayError,
  UnavailableError,
  UnreachableError,
} from '../errors/errors.js';
import { encodeFrame, FrameReader, type PeerMessage } from './frames.js';

/** The other node answered that it cannot do it, or is there and does not answer in time: it is not to be asked again. */
export class PeerRejectedError extends SpartrayError {}

export type PeerHandler = (op: string, args: unknown, from: string) => Promise<unknown> | unknown;

export interface Mesh {
  /** Asks another node; fails when there is no answer in time. */
  request(node: string, op: string, args: unknown, timeoutMs: number): Promise<unknown>;
  /** Tells another node, without knowing whether it hears. */
  notify(node: string, op: string, args: unknown): void;
  /** Whether the connection to another node stands, as far as this side knows. */
  connected(node: string): boolean;
  /** Whether the last try to connect was refused: nobody listens there, or a packet filter says so. */
  refused(node: string): boolean;
}

interface Pending {
  resolve: (value: unknown) => void;
  reject: (error: Error) => void;
  timer: Timer;
}

const CONNECT_MS = 1500;
const RETRY_MS = 300;
const MAX_UNSENT_BYTES = 1024 * 1024;
/** Who connects has to say so soon, and is let in only under the name of another controller. */
const HELLO_MS = 3000;
const HELLO_BYTES = 1024;
const MAX_UNNAMED = 16;
/** Connections of one controller: a new one, and the one before that may be cut off without knowing it. */
const MOST_OF_ONE = 2;
/** Questions of one connection that are being answered at once. */
const MOST_ASKED = 512;

/** One outgoing connection to a peer, opened again whenever it breaks. */
class Link {
  private socket: net.Socket | null = null;
  private ready = false;
  private next = 1;
  private lastReceivedAt = Number.NEGATIVE_INFINITY;
  private closed = false;
  private wasRefused = false;
  private readonly pending = new Map<number, Pending>();

  constructor(
    private readonly clock: Clock,
    private readonly self: string,
    private readonly peer: Peer,
  ) {
    this.connect();
  }

  request(op: string, args: unknown, timeoutMs: number): Promise<unknown> {
    return new Promise((resolve, reject) => {
      if (!this.ready) {
        reject(new UnreachableError(`${this.peer.node} is not connected`));
        return;
      }
      const id = this.next++;
      const asked = this.clock.now();
      const timer = this.clock.after(timeoutMs, () => {
        this.pending.delete(id);
        // A node that answers others is only slow. To ask it once more in another way would make it slower still.
        if (this.lastReceivedAt > asked) {
          reject(new PeerRejectedError(`${this.peer.node} is busy`));
          return;
        }
        reject(new UnreachableError(`${this.peer.node} does not answer`));
        // A cut may hold packets for minutes; a new connection finds out sooner that it is over.
        this.socket?.destroy();
      });
      this.pending.set(id, { resolve, reject, timer });
      this.write({ q: id, op, a: args });
    });
  }

  notify(op: string, args: unknown): void {
    if (this.ready) this.write({ op, a: args });
  }

  get connected(): boolean {
    return this.ready;
  }

  get refused(): boolean {
    return this.wasRefused;
  }

  close(): void {
    this.closed = true;
    this.socket?.destroy();
  }

  private write(message: PeerMessage): void {
    if (!this.socket || this.socket.writableLength > MAX_UNSENT_BYTES) return;
    this.socket.write(encodeFrame(message));
  }

  private connect(): void {
    const colon = this.peer.addr.lastIndexOf(':');
    const socket = net.connect({
      host: this.peer.addr.slice(0, colon),
      port: Number(this.peer.addr.slice(colon + 1)),
      noDelay: true,
    });
    this.socket = socket;
    const reader = new FrameReader();
    const timer = this.clock.after(CONNECT_MS, () => socket.destroy());
    socket.on('connect', () => {
      timer.cancel();
      this.ready = true;
      this.wasRefused = false;
      this.write({ op: 'hello', a: this.self });
    });
    socket.on('data', (data) => {
      this.lastReceivedAt = this.clock.now();
      try {
        for (const m of reader.feed(data)) if ('r' in m) this.settle(m);
      } catch {
        socket.destroy();
      }
    });
    socket.on('error', (error: NodeJS.ErrnoException) => {
      this.wasRefused = error.code === 'ECONNREFUSED';
      socket.destroy();
    });
    socket.on('end', () => socket.destroy());
    socket.on('close', () => {
      timer.cancel();
      this.ready = false;
      this.socket = null;
      for (const p of this.pending.values()) {
        p.timer.cancel();
        p.reject(new UnreachableError(`connection to ${this.peer.node} closed`));
      }
      this.pending.clear();
      if (!this.closed) this.clock.after(RETRY_MS, () => !this.closed && this.connect());
    });
  }

  private settle(m: { r: number; a?: unknown; e?: string }): void {
    const p = this.pending.get(m.r);
    if (!p) return;
    this.pending.delete(m.r);
    p.timer.cancel();
    if (m.e !== undefined) p.reject(new PeerRejectedError(m.e));
    else p.resolve(m.a);
  }
}

/** Connections between the controllers. */
export class PeerMesh implements Mesh {
  private readonly links = new Map<string, Link>();
  private server: net.Server | null = null;
  /** Incoming connections in the order of their coming: of those that have not said who they are, and by controller. */
  private readonly unnamed = new Set<net.Socket>();
  private readonly named = new Map<string, Set<net.Socket>>();

  constructor(
    private readonly clock: Clock,
    private readonly self: string,
    private readonly peers: Peer[],
    private readonly onError: (error: unknown) => void,
    /** Somebody who is no controller has connected. */
    private readonly onStranger: (why: string) => void,
  ) {}

  listen(at: Endpoint, handler: PeerHandler): Promise<void> {
    const server = net.createServer({ noDelay: true }, (socket) => this.serve(socket, handler));
    server.on('error', this.onError);
    this.server = server;
    for (const peer of this.peers) this.links.set(peer.node, new Link(this.clock, this.self, peer));
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen({ host: at.host, port: at.port }, () => {
        server.off('error', reject);
        resolve();
      });
    });
  }

  request(node: string, op: string, args: unknown, timeoutMs: number): Promise<unknown> {
    const link = this.links.get(node);
    return link
      ? link.request(op, args, timeoutMs)
      : Promise.reject(new UnreachableError(`unknown node ${node}`));
  }

  notify(node: string, op: string, args: unknown): void {
    this.links.get(node)?.notify(op, args);
  }

  connected(node: string): boolean {
    return this.links.get(node)?.connected === true;
  }

  refused(node: string): boolean {
    return this.links.get(node)?.refused === true;
  }

  /** Ends all connections, for good. */
  close(): void {
    this.server?.close();
    for (const link of this.links.values()) link.close();
    for (const sockets of [this.unnamed, ...this.named.values()]) for (const s of sockets) s.destroy();
  }

  private serve(socket: net.Socket, handler: PeerHandler): void {
    this.unnamed.add(socket);
    crowd(this.unnamed, MAX_UNNAMED);
    const reader = new FrameReader(HELLO_BYTES);
    const timer = this.clock.after(HELLO_MS, () => socket.destroy());
    let from = '';
    let asked = 0;
    const answer = async (m: { q?: number; op: string; a: unknown }) => {
      let reply: PeerMessage | null = null;
      asked++;
      try {
        if (asked > MOST_ASKED) throw new UnavailableError('too many questions at once');
        const value = await handler(m.op, m.a, from);
        if (m.q !== undefined) reply = { r: m.q, a: value };
      } catch (error) {
        if (m.q !== undefined) reply = { r: m.q, e: error instanceof Error ? error.message : 'failed' };
        else this.onError(error);
      } finally {
        asked--;
      }
      if (reply && !socket.destroyed && socket.writableLength < MAX_UNSENT_BYTES)
        socket.write(encodeFrame(reply));
    };
    const hello = (name: string) => {
      if (from !== '' || !this.links.has(name))
        throw new ProtocolViolationError(`a stranger says it is ${name.slice(0, 80)}`);
      from = name;
      timer.cancel();
      reader.allowAll();
      this.unnamed.delete(socket);
      const others = this.named.get(name);
      if (!others) this.named.set(name, new Set([socket]));
      else crowd(others.add(socket), MOST_OF_ONE);
    };
    socket.on('data', (data) => {
      try {
        for (const m of reader.feed(data)) {
          if (!('op' in m)) continue;
          if (m.op === 'hello') hello(String(m.a));
          else if (from === '') throw new ProtocolViolationError('a question before a name');
          else void answer(m);
        }
      } catch (error) {
        if (from === '') this.onStranger(String(error));
        else this.onError(error);
        socket.destroy();
      }
    });
    socket.on('error', () => socket.destroy());
    socket.on('end', () => socket.destroy());
    socket.on('close', () => {
      timer.cancel();
      this.unnamed.delete(socket);
      this.named.get(from)?.delete(socket);
    });
  }
}

/** The oldest go when there are more than `most`. */
function crowd(sockets: Set<net.Socket>, most: number): void {
  for (const socket of sockets) {
    if (sockets.size <= most) return;
    sockets.delete(socket);
    socket.destroy();
  }
}
