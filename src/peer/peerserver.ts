/** Incoming connections of the other controllers: who may connect, and how requests are answered. */

import net from 'node:net';
import type { Clock, Timer } from '../clock/clock.js';
import type { Endpoint } from '../config/settings.js';
import { ProtocolViolationError, UnavailableError } from '../errors/errors.js';
import { encodeFrame, FrameReader, MAX_UNSENT_BYTES, type PeerMessage } from './frames.js';

/** Handles a request or notification of the peer `from`; what it returns is the response to a request. */
export type PeerHandler = (op: string, args: unknown, from: string) => Promise<unknown> | unknown;

/** What the incoming connections report to. */
export interface PeerServerOptions {
  readonly handler: PeerHandler;
  readonly onError: (error: unknown) => void;
  /** A connection has been ended that did not identify itself as a controller; `why` is for the log. */
  readonly onRejected: (why: string) => void;
}

/** Whoever connects must identify itself within this time, and is accepted only under the name of another controller. */
const HELLO_TIMEOUT_MS = 3000;
/** The longest frame before that. */
const MAX_HELLO_BYTES = 1024;
const MAX_ANONYMOUS = 16;
/** Connections of one controller: a new one, and the one before that may be cut off without knowing it. */
const MAX_PER_PEER = 2;
/** Requests of one connection that are being answered at once. */
const MAX_IN_PROGRESS = 512;

/** Listens for the other controllers and serves their connections. */
export class PeerServer {
  private readonly server: net.Server;
  private readonly connections: IncomingConnections;

  /** `peers` are the names of the controllers that may connect. */
  constructor(clock: Clock, peers: ReadonlySet<string>, options: PeerServerOptions) {
    this.connections = new IncomingConnections(peers);
    this.server = net.createServer(
      { noDelay: true },
      (socket) => new IncomingConnection(clock, socket, this.connections, options),
    );
    this.server.on('error', options.onError);
  }

  /** Resolves once the server is listening; rejects when the address cannot be bound. */
  listen(at: Endpoint): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({ host: at.host, port: at.port }, () => {
        this.server.off('error', reject);
        resolve();
      });
    });
  }

  /** Stops listening and ends all connections, for good. */
  close(): void {
    this.server.close();
    this.connections.destroyAll();
  }
}

/** The open sockets, each group in the order in which they connected; a new one ends the oldest beyond the bound. */
class IncomingConnections {
  private readonly anonymous = new Set<net.Socket>();
  private readonly byPeer = new Map<string, Set<net.Socket>>();

  constructor(private readonly peers: ReadonlySet<string>) {}

  isPeer(name: string): boolean {
    return this.peers.has(name);
  }

  /** Adds a connection that has not identified itself yet. */
  add(socket: net.Socket): void {
    this.anonymous.add(socket);
    destroyOldest(this.anonymous, MAX_ANONYMOUS);
  }

  /** A connection has identified itself as that of a peer. */
  identify(socket: net.Socket, peer: string): void {
    this.anonymous.delete(socket);
    const sockets = this.byPeer.get(peer);
    if (!sockets) this.byPeer.set(peer, new Set([socket]));
    else destroyOldest(sockets.add(socket), MAX_PER_PEER);
  }

  /** A connection has ended; `peer` is null if it had not identified itself. */
  remove(socket: net.Socket, peer: string | null): void {
    this.anonymous.delete(socket);
    if (peer !== null) this.byPeer.get(peer)?.delete(socket);
  }

  destroyAll(): void {
    for (const sockets of [this.anonymous, ...this.byPeer.values()]) for (const s of sockets) s.destroy();
  }
}

/** Ends the oldest sockets as long as there are more than `max`. */
function destroyOldest(sockets: Set<net.Socket>, max: number): void {
  for (const socket of sockets) {
    if (sockets.size <= max) return;
    sockets.delete(socket);
    socket.destroy();
  }
}

/** One incoming connection, from the accept to its end. */
class IncomingConnection {
  private readonly reader = new FrameReader(MAX_HELLO_BYTES);
  private readonly helloTimeout: Timer;
  /** Null until the other side has identified itself. */
  private peer: string | null = null;
  private inProgress = 0;

  constructor(
    clock: Clock,
    private readonly socket: net.Socket,
    private readonly connections: IncomingConnections,
    private readonly options: PeerServerOptions,
  ) {
    connections.add(socket);
    this.helloTimeout = clock.after(HELLO_TIMEOUT_MS, () => socket.destroy());
    socket.on('data', (data) => this.onData(data));
    socket.on('error', () => socket.destroy());
    socket.on('end', () => socket.destroy());
    socket.on('close', () => {
      this.helloTimeout.cancel();
      connections.remove(socket, this.peer);
    });
  }

  private onData(data: Buffer): void {
    try {
      for (const message of this.reader.feed(data)) {
        if (!('op' in message)) continue;
        if (message.op === 'hello') this.onHello(String(message.a));
        else if (this.peer === null) throw new ProtocolViolationError('request before hello');
        else void this.answer(message, this.peer);
      }
    } catch (error) {
      if (this.peer === null) this.options.onRejected(String(error));
      else this.options.onError(error);
      this.socket.destroy();
    }
  }

  private onHello(name: string): void {
    if (this.peer !== null || !this.connections.isPeer(name))
      throw new ProtocolViolationError(`hello with unknown name ${name.slice(0, 80)}`);
    this.peer = name;
    this.helloTimeout.cancel();
    this.reader.allowAll();
    this.connections.identify(this.socket, name);
  }

  /** Handles a request or, without `q`, a notification. */
  private async answer(message: { q?: number; op: string; a: unknown }, from: string): Promise<void> {
    let response: PeerMessage | null = null;
    this.inProgress++;
    try {
      if (this.inProgress > MAX_IN_PROGRESS) throw new UnavailableError('too many questions at once');
      const value = await this.options.handler(message.op, message.a, from);
      if (message.q !== undefined) response = { r: message.q, a: value };
    } catch (error) {
      if (message.q !== undefined)
        response = { r: message.q, e: error instanceof Error ? error.message : 'failed' };
      else this.options.onError(error);
    } finally {
      this.inProgress--;
    }
    if (response && !this.socket.destroyed && this.socket.writableLength < MAX_UNSENT_BYTES)
      this.socket.write(encodeFrame(response));
  }
}
