/** The end of a link that sends requests to a partner cluster. */

import tls from 'node:tls';
import type { Clock, Timer } from '../clock/clock.js';
import { UnreachableError } from '../errors/errors.js';
import { encodeFrame, FrameReader, type PeerMessage } from '../peer/frames.js';
import { type Credentials, refusal } from './credentials.js';
import { certOf, context, doubtOf, LINK_LIMITS, type LinkLimits, PARTNER_VERSION } from './links.js';

/** A partner that does not answer, cannot be reached, or is not who it should be. */
export class PartnerAway extends UnreachableError {}

interface PendingRequest {
  resolve: (answer: unknown) => void;
  reject: (error: Error) => void;
  timer: Timer;
}

const FAILURES_BEFORE_PAUSE = 3;
const PAUSE_MS = 1000;
const MAX_PAUSE_MS = 60_000;

/** One partner as it is asked: one connection, opened when needed, and left alone for a while after failures in a row. */
export class PartnerLink {
  private socket: tls.TLSSocket | null = null;
  private connection: Promise<tls.TLSSocket> | null = null;
  private readonly pending = new Map<number, PendingRequest>();
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
    if (this.pending.size >= this.limits.asked) throw new PartnerAway(`${this.partner} is asked too much`);
    const socket = await this.connect(timeoutMs);
    const id = this.next++;
    const answer = new Promise<unknown>((resolve, reject) => {
      const timer = this.clock.after(timeoutMs, () => {
        this.pending.delete(id);
        this.onFailure();
        reject(new PartnerAway(`${this.partner} does not answer`));
        // A cut may hold packets for minutes; a new connection finds out sooner that it is over.
        socket.destroy();
      });
      this.pending.set(id, { resolve, reject, timer });
    });
    socket.write(encodeFrame({ q: id, op, a: [PARTNER_VERSION, args] }));
    return answer;
  }

  /** Ends the connection; a later request opens another one. */
  close(): void {
    this.socket?.destroy();
  }

  private connect(timeoutMs: number): Promise<tls.TLSSocket> {
    this.connection ??= this.open(timeoutMs).catch((error) => {
      this.connection = null;
      this.onFailure();
      throw error;
    });
    return this.connection;
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
        for (const m of reader.feed(data)) if ('r' in m) this.onResponse(m);
      } catch {
        socket.destroy();
      }
    });
  }

  private onClosed(): void {
    this.socket = null;
    this.connection = null;
    for (const w of this.pending.values()) {
      w.timer.cancel();
      w.reject(new PartnerAway(`${this.partner} was cut off`));
    }
    this.pending.clear();
  }

  private onResponse(m: Extract<PeerMessage, { r: number }>): void {
    const w = this.pending.get(m.r);
    if (!w) return;
    this.pending.delete(m.r);
    w.timer.cancel();
    this.failures = 0;
    if ('e' in m) w.reject(new PartnerAway(`${this.partner}: ${m.e}`));
    else w.resolve(m.a);
  }

  private onFailure(): void {
    if (++this.failures < FAILURES_BEFORE_PAUSE) return;
    const pause = Math.min(MAX_PAUSE_MS, PAUSE_MS * 2 ** (this.failures - FAILURES_BEFORE_PAUSE));
    this.closedUntil = this.clock.now() + pause * (0.5 + this.jitter());
  }
}
