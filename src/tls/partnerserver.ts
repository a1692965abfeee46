/** The end of a link that a partner cluster connects to. */

import type { AddressInfo, Socket } from 'node:net';
import tls from 'node:tls';
import type { Clock } from '../clock/clock.js';
import { type PeriodicTask, startPeriodicTask } from '../clock/periodictask.js';
import { encodeFrame, FrameReader, type PeerMessage } from '../peer/frames.js';
import { type Credentials, clusterOf, refusal } from './credentials.js';
import {
  certOf,
  context,
  doubtOf,
  LINK_LIMITS,
  type LinkLimits,
  PARTNER_VERSION,
  WRONG_VERSION,
} from './links.js';

/** What a server of links calls. */
export interface ServerHooks {
  /** Answers a partner's request. What it throws is answered as an error without its text. */
  answer(partner: string, op: string, args: unknown): Promise<unknown>;
  /** A connection was refused or ended for what the other side did. */
  refused(why: string, address: string): void;
}

function addressOf(socket: Socket): string {
  return `${socket.remoteAddress} ${socket.remotePort}`;
}

/** How often idle connections are looked for. */
const SWEEP_INTERVAL_MS = 1000;

/** An open connection of a partner. */
interface Connection {
  socket: tls.TLSSocket;
  partner: string;
  since: number;
  asked: number;
}

/** Accepts partners over mutual TLS, and answers their requests. */
export class PartnerServer {
  private readonly server: tls.Server;
  private readonly connections = new Set<Connection>();
  /** Those that have not shown who they are, the oldest first: they give way to whoever comes. */
  private readonly unidentified = new Map<string, Socket>();
  private readonly sweeping: PeriodicTask;
  /** Refused so far, by reason: a metric. */
  readonly counts = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private credentials: Credentials,
    private readonly partners: ReadonlySet<string>,
    private readonly hooks: ServerHooks,
    private readonly limits: LinkLimits = LINK_LIMITS,
  ) {
    // Certificates are looked at here, so that the reason of a refusal is known.
    this.server = tls.createServer(
      {
        ...context(credentials),
        requestCert: true,
        rejectUnauthorized: false,
        handshakeTimeout: limits.handshakeMs,
      },
      (socket) => this.welcome(socket),
    );
    this.server.on('connection', (socket) => {
      const key = addressOf(socket);
      this.unidentified.set(key, socket);
      socket.on('error', () => socket.destroy());
      socket.on('close', () => this.unidentified.delete(key));
      for (const [oldest, s] of this.unidentified) {
        if (this.unidentified.size <= limits.connections) break;
        this.unidentified.delete(oldest);
        this.refuse('too many connections', s.remoteAddress ?? '');
        s.destroy();
      }
    });
    this.server.on('tlsClientError', (error, socket) => {
      this.refuse(
        `handshake: ${(error as NodeJS.ErrnoException).code ?? error.message}`,
        socket.remoteAddress ?? '',
      );
      socket.destroy();
    });
    this.sweeping = startPeriodicTask(clock, SWEEP_INTERVAL_MS, () => this.sweep());
  }

  /** Connections that are open, those whose handshake is not complete included. */
  get open(): number {
    return this.unidentified.size + this.connections.size;
  }

  /** Resolves with the port once the server is listening; rejects when the address cannot be bound. */
  listen(host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => resolve((this.server.address() as AddressInfo).port));
    });
  }

  /** Uses other credentials from now on; connections that these would refuse are ended. */
  renew(c: Credentials): void {
    this.credentials = c;
    this.server.setSecureContext(context(c));
    for (const g of this.connections) {
      const why = refusal(certOf(g.socket), null, this.partners, c);
      if (why !== null) this.end(g.socket, why);
    }
  }

  /** Stops listening and ends all connections, for good. */
  close(): void {
    this.sweeping.stop();
    this.server.close();
    for (const s of this.unidentified.values()) s.destroy();
    for (const g of this.connections) g.socket.destroy();
  }

  private refuse(why: string, address: string): void {
    this.counts.set(why, (this.counts.get(why) ?? 0) + 1);
    this.hooks.refused(why, address);
  }

  private end(socket: tls.TLSSocket, why: string): void {
    this.refuse(why, socket.remoteAddress ?? '');
    socket.destroy();
  }

  private welcome(socket: tls.TLSSocket): void {
    socket.on('error', () => socket.destroy());
    const cert = certOf(socket);
    const why = refusal(cert, doubtOf(socket), this.partners, this.credentials);
    if (why !== null || !cert) {
      this.end(socket, why ?? 'no certificate');
      return;
    }
    const partner = clusterOf(cert)!;
    if ([...this.connections].filter((g) => g.partner === partner).length >= this.limits.ofOne) {
      this.end(socket, 'too many connections of one partner');
      return;
    }
    this.unidentified.delete(addressOf(socket));
    const guest: Connection = { socket, partner, since: this.clock.now(), asked: 0 };
    this.connections.add(guest);
    socket.on('close', () => this.connections.delete(guest));
    const reader = new FrameReader(this.limits.frameBytes);
    socket.on('data', (data) => {
      try {
        for (const m of reader.feed(data)) this.asked(guest, m);
      } catch {
        this.end(socket, 'not a frame');
      }
    });
  }

  private asked(g: Connection, m: PeerMessage): void {
    g.since = this.clock.now();
    if (!('q' in m) || typeof m.op !== 'string') return;
    if (g.asked >= this.limits.asked || g.socket.writableLength > this.limits.unsentBytes) {
      this.end(g.socket, 'asks more than it takes answers');
      return;
    }
    const [version, args] = Array.isArray(m.a) ? m.a : [0, null];
    const reply = (a: PeerMessage) => {
      if (!g.socket.destroyed) g.socket.write(encodeFrame(a));
    };
    if (version !== PARTNER_VERSION) {
      reply({ r: m.q, e: WRONG_VERSION });
      return;
    }
    g.asked++;
    this.hooks
      .answer(g.partner, m.op, args)
      .then(
        (a) => reply({ r: m.q, a }),
        () => reply({ r: m.q, e: 'cannot be answered now' }),
      )
      .finally(() => {
        g.asked--;
      });
  }

  private sweep(): void {
    const now = this.clock.now();
    for (const g of this.connections)
      if (g.asked === 0 && now - g.since > this.limits.idleMs) g.socket.destroy();
  }
}
