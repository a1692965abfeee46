/** The end of a link that a partner cluster connects to. */

import type { AddressInfo, Socket } from 'node:net';
import tls from 'node:tls';
import type { Clock, Timer } from '../clock/clock.js';
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

interface Guest {
  socket: tls.TLSSocket;
  partner: string;
  since: number;
  asked: number;
}

/** Lets partners in over mutual TLS, and answers what they ask. */
export class PartnerServer {
  private readonly server: tls.Server;
  private readonly guests = new Set<Guest>();
  /** Those that have not shown who they are, the oldest first: they give way to whoever comes. */
  private readonly strangers = new Map<string, Socket>();
  private timer: Timer | null = null;
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
      this.strangers.set(key, socket);
      socket.on('error', () => socket.destroy());
      socket.on('close', () => this.strangers.delete(key));
      for (const [oldest, s] of this.strangers) {
        if (this.strangers.size <= limits.connections) break;
        this.strangers.delete(oldest);
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
    this.sweep();
  }

  /** Connections that are open, those that have not shown who they are included. */
  get open(): number {
    return this.strangers.size + this.guests.size;
  }

  listen(host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => resolve((this.server.address() as AddressInfo).port));
    });
  }

  /** Uses other credentials from now on; who would no longer be let in has to go. */
  renew(c: Credentials): void {
    this.credentials = c;
    this.server.setSecureContext(context(c));
    for (const g of this.guests) {
      const why = refusal(certOf(g.socket), null, this.partners, c);
      if (why !== null) this.end(g.socket, why);
    }
  }

  close(): void {
    this.timer?.cancel();
    this.server.close();
    for (const s of this.strangers.values()) s.destroy();
    for (const g of this.guests) g.socket.destroy();
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
    if ([...this.guests].filter((g) => g.partner === partner).length >= this.limits.ofOne) {
      this.end(socket, 'too many connections of one partner');
      return;
    }
    this.strangers.delete(addressOf(socket));
    const guest: Guest = { socket, partner, since: this.clock.now(), asked: 0 };
    this.guests.add(guest);
    socket.on('close', () => this.guests.delete(guest));
    const reader = new FrameReader(this.limits.frameBytes);
    socket.on('data', (data) => {
      try {
        for (const m of reader.feed(data)) this.asked(guest, m);
      } catch {
        this.end(socket, 'not a frame');
      }
    });
  }

  private asked(g: Guest, m: PeerMessage): void {
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
    for (const g of this.guests) if (g.asked === 0 && now - g.since > this.limits.idleMs) g.socket.destroy();
    this.timer = this.clock.after(1000, () => this.sweep());
  }
}
