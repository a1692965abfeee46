/** Links between partner clusters: TLS 1.3 with certificates of both sides, and bounded frames. */

import type { X509Certificate } from 'node:crypto';
import type { AddressInfo, Socket } from 'node:net';
import tls from 'node:tls';
import type { Clock, Timer } from '../clock/clock.js';
import { UnreachableError } from '../errors/errors.js';
import { encodeFrame, FrameReader, type PeerMessage } from '../peer/frames.js';
import { type Credentials, clusterOf, refusal } from './credentials.js';

/** Bounds of links; times in milliseconds. */
export interface LinkLimits {
  /** Connections at once whose handshake is not complete. */
  connections: number;
  /** Connections at once of one partner. */
  ofOne: number;
  /** The longest time for a handshake. */
  handshakeMs: number;
  /** A connection without requests is ended after this time. */
  idleMs: number;
  /** The longest frame. */
  frameBytes: number;
  /** Responses that the other side has not received. */
  unsentBytes: number;
  /** Requests of one connection that are being answered at once. */
  asked: number;
}

/** The bounds in production. */
export const LINK_LIMITS: LinkLimits = {
  connections: 64,
  ofOne: 8,
  handshakeMs: 5000,
  idleMs: 60_000,
  frameBytes: 256 * 1024,
  unsentBytes: 512 * 1024,
  asked: 32,
};

/** The version of the protocol between partners. Requests of another version are answered with `WRONG_VERSION`. */
const PARTNER_VERSION = 1;
/** The error text of the response to a request of another version. */
export const WRONG_VERSION = 'another version';

/** What a server of links calls. */
export interface ServerHooks {
  /** Answers a partner's request. What it throws is answered as an error without its text. */
  answer(partner: string, op: string, args: unknown): Promise<unknown>;
  /** A connection was refused or ended for what the other side did. */
  refused(why: string, address: string): void;
}

const VERSIONS = { minVersion: 'TLSv1.3' } as const;

function context(c: Credentials): tls.SecureContextOptions {
  return { key: c.key, cert: c.cert, ca: c.ca, ...VERSIONS };
}

function certOf(socket: tls.TLSSocket): X509Certificate | undefined {
  return socket.getPeerX509Certificate();
}

function doubtOf(socket: tls.TLSSocket): string | null {
  if (socket.authorized) return null;
  const error: unknown = socket.authorizationError;
  if (error instanceof Error) return (error as NodeJS.ErrnoException).code ?? error.message;
  return error === null || error === undefined ? 'unverified' : String(error);
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

/** A partner that does not answer, cannot be reached, or is not who it should be. */
export class PartnerAway extends UnreachableError {}

interface Waiting {
  resolve: (answer: unknown) => void;
  reject: (error: Error) => void;
  timer: Timer;
}

const FAILURES = 3;
const PAUSE_MS = 1000;
const PAUSE_MOST_MS = 60_000;

/** One partner as it is asked: one connection, opened when needed, and left alone for a while after failures in a row. */
export class PartnerLink {
  private socket: tls.TLSSocket | null = null;
  private ready: Promise<tls.TLSSocket> | null = null;
  private readonly waiting = new Map<number, Waiting>();
  private next = 1;
  private failures = 0;
  private closedUntil = 0;
  /** Why the last connection was not used. */
  refused: string | null = null;

  constructor(
    private readonly clock: Clock,
    private readonly credentials: () => Credentials,
    readonly partner: string,
    private readonly addr: { host: string; port: number },
    /** From 0 up to 1, so that clusters that lost a partner together do not come back together. */
    private readonly jitter: () => number,
    private readonly limits: LinkLimits = LINK_LIMITS,
  ) {}

  /** Whether the partner is left alone at present. */
  get resting(): boolean {
    return this.clock.now() < this.closedUntil;
  }

  /** Asks the partner. Fails with `PartnerAway`; whether it was heard is then not known. */
  async ask(op: string, args: unknown, timeoutMs: number): Promise<unknown> {
    if (this.resting) throw new PartnerAway(`${this.partner} is left alone`);
    if (this.waiting.size >= this.limits.asked) throw new PartnerAway(`${this.partner} is asked too much`);
    const socket = await this.connect(timeoutMs);
    const id = this.next++;
    const answer = new Promise<unknown>((resolve, reject) => {
      const timer = this.clock.after(timeoutMs, () => {
        this.waiting.delete(id);
        this.failed();
        reject(new PartnerAway(`${this.partner} does not answer`));
        // A cut may hold packets for minutes; a new connection finds out sooner that it is over.
        socket.destroy();
      });
      this.waiting.set(id, { resolve, reject, timer });
    });
    socket.write(encodeFrame({ q: id, op, a: [PARTNER_VERSION, args] }));
    return answer;
  }

  /** Ends the connection; a later request opens another one. */
  close(): void {
    this.socket?.destroy();
  }

  private connect(timeoutMs: number): Promise<tls.TLSSocket> {
    this.ready ??= this.open(timeoutMs).catch((error) => {
      this.ready = null;
      this.failed();
      throw error;
    });
    return this.ready;
  }

  private open(timeoutMs: number): Promise<tls.TLSSocket> {
    const c = this.credentials();
    return new Promise((resolve, reject) => {
      const socket = tls.connect({
        host: this.addr.host,
        port: this.addr.port,
        ...context(c),
        // The partner's name is that of its cluster, which `refusal` checks with all else.
        rejectUnauthorized: false,
        checkServerIdentity: () => undefined,
      });
      const timer = this.clock.after(Math.min(timeoutMs, this.limits.handshakeMs), () => socket.destroy());
      socket.once('secureConnect', () => {
        timer.cancel();
        this.refused = refusal(certOf(socket), doubtOf(socket), new Set([this.partner]), c);
        if (this.refused !== null) {
          reject(new PartnerAway(`${this.partner} refused: ${this.refused}`));
          socket.destroy();
          return;
        }
        this.socket = socket;
        resolve(socket);
      });
      this.readResponses(socket);
      socket.on('error', () => socket.destroy());
      socket.on('close', () => {
        timer.cancel();
        reject(new PartnerAway(`${this.partner} cannot be reached`));
        if (this.socket === socket) this.onClosed();
      });
    });
  }

  private readResponses(socket: tls.TLSSocket): void {
    const reader = new FrameReader(this.limits.frameBytes);
    socket.on('data', (data) => {
      try {
        for (const m of reader.feed(data)) if ('r' in m) this.settle(m);
      } catch {
        socket.destroy();
      }
    });
  }

  private onClosed(): void {
    this.socket = null;
    this.ready = null;
    for (const w of this.waiting.values()) {
      w.timer.cancel();
      w.reject(new PartnerAway(`${this.partner} was cut off`));
    }
    this.waiting.clear();
  }

  private settle(m: Extract<PeerMessage, { r: number }>): void {
    const w = this.waiting.get(m.r);
    if (!w) return;
    this.waiting.delete(m.r);
    w.timer.cancel();
    this.failures = 0;
    if ('e' in m) w.reject(new PartnerAway(`${this.partner}: ${m.e}`));
    else w.resolve(m.a);
  }

  private failed(): void {
    if (++this.failures < FAILURES) return;
    const pause = Math.min(PAUSE_MOST_MS, PAUSE_MS * 2 ** (this.failures - FAILURES));
    this.closedUntil = this.clock.now() + pause * (0.5 + this.jitter());
  }
}
