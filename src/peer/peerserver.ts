/**
 * Incoming connections of the other controllers: identification of the peer, connection limits and request handling.
 */

import net from 'node:net';
import type { Clock, Timer } from '../clock/clock.js';
import type { Endpoint } from '../config/settings.js';
import { ProtocolViolationError, UnavailableError } from '../errors/errors.js';
import { encodeFrame, FrameReader, MAX_UNSENT_BYTES, type PeerMessage } from './frames.js';

/** Handles a request or notification of the peer `from`; the returned value is the response to a request. */
export type PeerHandler = (op: string, args: unknown, from: string) => Promise<unknown> | unknown;

/** The request handler and the error callbacks of a `PeerServer`. */
export interface PeerServerOptions {
  readonly handler: PeerHandler;
  readonly onError: (error: unknown) => void;
  /**
   * Called when a connection is closed because it did not identify itself as a controller; `reason` is for the log.
   */
  readonly onRejected: (reason: string) => void;
}

/** A client must identify itself within this time; only the names of the other controllers are accepted. */
const HELLO_TIMEOUT_MS = 3000;
/** Maximum length of a frame before the client has identified itself. */
const MAX_HELLO_BYTES = 1024;
const MAX_ANONYMOUS = 16;
/** Connections per controller: the current one and its predecessor, whose loss may not have been detected yet. */
const MAX_PER_PEER = 2;
/** Maximum number of requests and notifications of one connection that are handled concurrently. */
const MAX_IN_PROGRESS = 512;

/** Accepts connections of the other controllers and serves their requests. */
export class PeerServer {
  private readonly server: net.Server;
  private readonly connections: IncomingConnections;

  /** Creates a server that accepts only controllers whose names are in `peers`. */
  constructor(clock: Clock, peers: ReadonlySet<string>, options: PeerServerOptions) {
    this.connections = new IncomingConnections(peers);
    this.server = net.createServer(
      { noDelay: true },
      (socket) => new IncomingConnection(clock, socket, this.connections, options),
    );
    this.server.on('error', options.onError);
  }

  /** Starts listening. Resolves once it listens; rejects if the address cannot be bound. */
  listen(endpoint: Endpoint): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({ host: endpoint.host, port: endpoint.port }, () => {
        this.server.off('error', reject);
        resolve();
      });
    });
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.server.close();
    this.connections.destroyAll();
  }
}

/** The open sockets, anonymous or by peer, the oldest first. Beyond a group's limit, the oldest one is closed. */
class IncomingConnections {
  private readonly anonymous = new Set<net.Socket>();
  private readonly byPeer = new Map<string, Set<net.Socket>>();

  constructor(private readonly peers: ReadonlySet<string>) {}

  isPeer(name: string): boolean {
    return this.peers.has(name);
  }

  /** Adds a connection whose client has not identified itself yet. */
  add(socket: net.Socket): void {
    this.anonymous.add(socket);
    destroyOldest(this.anonymous, MAX_ANONYMOUS);
  }

  /** Moves a connection from the anonymous ones to those of the peer that its client has named. */
  identify(socket: net.Socket, peer: string): void {
    this.anonymous.delete(socket);
    const sockets = this.byPeer.get(peer);
    if (!sockets) this.byPeer.set(peer, new Set([socket]));
    else destroyOldest(sockets.add(socket), MAX_PER_PEER);
  }

  /** Removes a closed connection; `peer` is null if its client had not identified itself. */
  remove(socket: net.Socket, peer: string | null): void {
    this.anonymous.delete(socket);
    if (peer !== null) this.byPeer.get(peer)?.delete(socket);
  }

  destroyAll(): void {
    for (const sockets of [this.anonymous, ...this.byPeer.values()])
      for (const socket of sockets) socket.destroy();
  }
}

/** Closes the oldest sockets beyond `max`. */
function destroyOldest(sockets: Set<net.Socket>, max: number): void {
  for (const socket of sockets) {
    if (sockets.size <= max) return;
    sockets.delete(socket);
    socket.destroy();
  }
}

/** An incoming connection: identifies the peer, then handles its requests and notifications. */
class IncomingConnection {
  private readonly reader = new FrameReader(MAX_HELLO_BYTES);
  private readonly helloTimeout: Timer;
  /** The name of the peer; null until it has identified itself. */
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
        else void this.handle(message, this.peer);
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
    this.reader.allowFullSize();
    this.connections.identify(this.socket, name);
  }

  /** Handles a request or, if `q` is missing, a notification. */
  private async handle(message: { q?: number; op: string; a: unknown }, from: string): Promise<void> {
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
