/** Server end of a link, to which partner clusters connect. */

import type { AddressInfo, Socket } from 'node:net';
import tls from 'node:tls';
import type { Clock } from '../clock/clock.js';
import { type PeriodicTask, startPeriodicTask } from '../clock/periodictask.js';
import { encodeFrame, FrameReader, type PeerMessage } from '../peer/frames.js';
import { type Credentials, clusterNameOf, rejectionReason } from './credentials.js';
import {
  LINK_LIMITS,
  type LinkLimits,
  PARTNER_VERSION,
  peerCertificateOf,
  secureContextOptions,
  verificationErrorOf,
  WRONG_VERSION,
} from './links.js';

/** Callbacks of a partner server. */
export interface ServerHooks {
  /** Handles a partner's request. The response to a rejected promise is an error that does not contain its text. */
  handleRequest(partner: string, op: string, args: unknown): Promise<unknown>;
  /** Called when a connection was rejected, or closed because the other side violated the protocol or a limit. */
  onRejected(reason: string, address: string): void;
}

function addressOf(socket: Socket): string {
  return `${socket.remoteAddress} ${socket.remotePort}`;
}

/** Interval at which idle connections are closed. */
const IDLE_CHECK_INTERVAL_MS = 1000;

/** Open connection of an authenticated partner. */
interface Connection {
  socket: tls.TLSSocket;
  partner: string;
  lastActivityAt: number;
  requestsInProgress: number;
}

/** Accepts connections of partners over mutual TLS, and answers their requests. */
export class PartnerServer {
  private readonly server: tls.Server;
  private readonly connections = new Set<Connection>();
  /** Connections whose peer is not authenticated yet, oldest first; the oldest are closed in favour of new ones. */
  private readonly unauthenticated = new Map<string, Socket>();
  private readonly idleCheck: PeriodicTask;
  /** Number of rejected or closed connections by reason, for a metric. */
  readonly rejectionCounts = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private credentials: Credentials,
    private readonly partners: ReadonlySet<string>,
    private readonly hooks: ServerHooks,
    private readonly limits: LinkLimits = LINK_LIMITS,
  ) {
    // `accept` verifies the certificate instead of the TLS library, so that the reason of a rejection is known.
    this.server = tls.createServer(
      {
        ...secureContextOptions(credentials),
        requestCert: true,
        rejectUnauthorized: false,
        handshakeTimeout: limits.handshakeMs,
      },
      (socket) => this.accept(socket),
    );
    this.server.on('connection', (socket) => {
      const key = addressOf(socket);
      this.unauthenticated.set(key, socket);
      socket.on('error', () => socket.destroy());
      socket.on('close', () => this.unauthenticated.delete(key));
      for (const [oldest, oldestSocket] of this.unauthenticated) {
        if (this.unauthenticated.size <= limits.pendingHandshakes) break;
        this.unauthenticated.delete(oldest);
        this.reject('too many connections', oldestSocket.remoteAddress ?? '');
        oldestSocket.destroy();
      }
    });
    this.server.on('tlsClientError', (error, socket) => {
      this.reject(
        `handshake: ${(error as NodeJS.ErrnoException).code ?? error.message}`,
        socket.remoteAddress ?? '',
      );
      socket.destroy();
    });
    this.idleCheck = startPeriodicTask(clock, IDLE_CHECK_INTERVAL_MS, () => this.closeIdle());
  }

  /** Number of open connections, including those whose handshake is not complete. */
  get openConnections(): number {
    return this.unauthenticated.size + this.connections.size;
  }

  /** Resolves with the port once the server is listening; rejects when the address cannot be bound. */
  listen(host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => resolve((this.server.address() as AddressInfo).port));
    });
  }

  /**
   * Replaces the credentials, and closes the open connections whose certificates are now revoked. Issuer and dates of
   * the certificates of open connections are not verified again.
   */
  replaceCredentials(credentials: Credentials): void {
    this.credentials = credentials;
    this.server.setSecureContext(secureContextOptions(credentials));
    for (const connection of this.connections) {
      const reason = rejectionReason(peerCertificateOf(connection.socket), null, this.partners, credentials);
      if (reason !== null) this.closeRejected(connection.socket, reason);
    }
  }

  /** Stops listening and closes all connections; the server cannot be used again. */
  close(): void {
    this.idleCheck.stop();
    this.server.close();
    for (const socket of this.unauthenticated.values()) socket.destroy();
    for (const connection of this.connections) connection.socket.destroy();
  }

  private reject(reason: string, address: string): void {
    this.rejectionCounts.set(reason, (this.rejectionCounts.get(reason) ?? 0) + 1);
    this.hooks.onRejected(reason, address);
  }

  private closeRejected(socket: tls.TLSSocket, reason: string): void {
    this.reject(reason, socket.remoteAddress ?? '');
    socket.destroy();
  }

  private accept(socket: tls.TLSSocket): void {
    socket.on('error', () => socket.destroy());
    const certificate = peerCertificateOf(socket);
    const reason = rejectionReason(certificate, verificationErrorOf(socket), this.partners, this.credentials);
    if (reason !== null || !certificate) {
      this.closeRejected(socket, reason ?? 'no certificate');
      return;
    }
    const partner = clusterNameOf(certificate)!;
    if (
      [...this.connections].filter((other) => other.partner === partner).length >=
      this.limits.connectionsPerPartner
    ) {
      this.closeRejected(socket, 'too many connections of one partner');
      return;
    }
    this.unauthenticated.delete(addressOf(socket));
    const connection: Connection = {
      socket,
      partner,
      lastActivityAt: this.clock.now(),
      requestsInProgress: 0,
    };
    this.connections.add(connection);
    socket.on('close', () => this.connections.delete(connection));
    const reader = new FrameReader(this.limits.frameBytes);
    socket.on('data', (data) => {
      try {
        for (const message of reader.feed(data)) this.onMessage(connection, message);
      } catch {
        this.closeRejected(socket, 'not a frame');
      }
    });
  }

  private onMessage(connection: Connection, message: PeerMessage): void {
    connection.lastActivityAt = this.clock.now();
    if (!('q' in message) || typeof message.op !== 'string') return;
    if (
      connection.requestsInProgress >= this.limits.concurrentRequests ||
      connection.socket.writableLength > this.limits.unsentBytes
    ) {
      this.closeRejected(connection.socket, 'asks more than it takes answers');
      return;
    }
    const [version, args] = Array.isArray(message.a) ? message.a : [0, null];
    const reply = (response: PeerMessage) => {
      if (!connection.socket.destroyed) connection.socket.write(encodeFrame(response));
    };
    if (version !== PARTNER_VERSION) {
      reply({ r: message.q, e: WRONG_VERSION });
      return;
    }
    connection.requestsInProgress++;
    this.hooks
      .handleRequest(connection.partner, message.op, args)
      .then(
        (result) => reply({ r: message.q, a: result }),
        () => reply({ r: message.q, e: 'cannot be answered now' }),
      )
      .finally(() => {
        connection.requestsInProgress--;
      });
  }

  private closeIdle(): void {
    const now = this.clock.now();
    for (const connection of this.connections)
      if (connection.requestsInProgress === 0 && now - connection.lastActivityAt > this.limits.idleMs)
        connection.socket.destroy();
  }
}
