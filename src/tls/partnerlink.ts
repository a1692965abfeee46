/** Client end of a link, which sends requests to a partner cluster. */

import tls from 'node:tls';
import type { Clock, Timer } from '../clock/clock.js';
import { UnreachableError } from '../errors/errors.js';
import { encodeFrame, FrameReader, type PeerMessage } from '../peer/frames.js';
import { type Credentials, rejectionReason } from './credentials.js';
import {
  LINK_LIMITS,
  type LinkLimits,
  PARTNER_VERSION,
  peerCertificateOf,
  secureContextOptions,
  verificationErrorOf,
} from './links.js';

/** A partner does not answer, cannot be reached, presents an unacceptable certificate, or answers with an error. */
export class PartnerUnavailableError extends UnreachableError {}

interface PendingRequest {
  resolve: (response: unknown) => void;
  reject: (error: Error) => void;
  timer: Timer;
}

const FAILURES_BEFORE_BACKOFF = 3;
const INITIAL_BACKOFF_MS = 1000;
const MAX_BACKOFF_MS = 60_000;

/**
 * Client of one partner. Uses a single connection, opened on demand, and sends nothing for a backoff period after
 * consecutive failures.
 */
export class PartnerLink {
  private socket: tls.TLSSocket | null = null;
  private connection: Promise<tls.TLSSocket> | null = null;
  private readonly pending = new Map<number, PendingRequest>();
  private nextRequestId = 1;
  private failures = 0;
  private backoffUntil = 0;
  /** Reason for which the certificate of the last connection was rejected; null if it was not. */
  lastRejectionReason: string | null = null;

  constructor(
    private readonly clock: Clock,
    private readonly credentials: () => Credentials,
    readonly partner: string,
    private readonly addr: { host: string; port: number },
    /**
     * Returns a number from 0 up to 1 that randomizes the backoff, so that clusters that lost a partner at the same
     * time do not reconnect at the same time.
     */
    private readonly jitter: () => number,
    private readonly limits: LinkLimits = LINK_LIMITS,
  ) {}

  /** Whether requests currently fail immediately because the backoff period has not ended. */
  get isBackingOff(): boolean {
    return this.clock.now() < this.backoffUntil;
  }

  /**
   * Sends a request and returns the response of the partner. Throws `PartnerUnavailableError`; it is then unknown
   * whether the partner received the request.
   */
  async request(op: string, args: unknown, timeoutMs: number): Promise<unknown> {
    if (this.isBackingOff)
      throw new PartnerUnavailableError(
        `${this.partner} is not contacted: backing off after repeated failures`,
      );
    if (this.pending.size >= this.limits.concurrentRequests)
      throw new PartnerUnavailableError(`${this.partner} has too many requests in progress`);
    const socket = await this.connect(timeoutMs);
    const id = this.nextRequestId++;
    const response = new Promise<unknown>((resolve, reject) => {
      const timer = this.clock.after(timeoutMs, () => {
        this.pending.delete(id);
        this.onFailure();
        reject(new PartnerUnavailableError(`${this.partner} does not answer`));
        // A network partition may delay the packets of an existing connection for minutes; a new connection detects
        // sooner that the partition has ended.
        socket.destroy();
      });
      this.pending.set(id, { resolve, reject, timer });
    });
    socket.write(encodeFrame({ q: id, op, a: [PARTNER_VERSION, args] }));
    return response;
  }

  /** Closes the connection; a later request opens a new one. */
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
    const credentials = this.credentials();
    return new Promise((resolve, reject) => {
      const socket = tls.connect({
        host: this.addr.host,
        port: this.addr.port,
        ...secureContextOptions(credentials),
        // After the handshake, `rejectionReason` verifies the certificate and its name (a cluster's, not a host's).
        rejectUnauthorized: false,
        checkServerIdentity: () => undefined,
      });
      const timer = this.clock.after(Math.min(timeoutMs, this.limits.handshakeMs), () => socket.destroy());
      socket.once('secureConnect', () => {
        timer.cancel();
        this.lastRejectionReason = rejectionReason(
          peerCertificateOf(socket),
          verificationErrorOf(socket),
          new Set([this.partner]),
          credentials,
        );
        if (this.lastRejectionReason !== null) {
          reject(
            new PartnerUnavailableError(
              `certificate of ${this.partner} rejected: ${this.lastRejectionReason}`,
            ),
          );
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
        reject(new PartnerUnavailableError(`${this.partner} cannot be reached`));
        if (this.socket === socket) this.onClosed();
      });
    });
  }

  private readResponses(socket: tls.TLSSocket): void {
    const reader = new FrameReader(this.limits.frameBytes);
    socket.on('data', (data) => {
      try {
        for (const message of reader.feed(data)) if ('r' in message) this.onResponse(message);
      } catch {
        socket.destroy();
      }
    });
  }

  private onClosed(): void {
    this.socket = null;
    this.connection = null;
    for (const request of this.pending.values()) {
      request.timer.cancel();
      request.reject(
        new PartnerUnavailableError(`connection to ${this.partner} was closed before the response`),
      );
    }
    this.pending.clear();
  }

  private onResponse(message: Extract<PeerMessage, { r: number }>): void {
    const request = this.pending.get(message.r);
    if (!request) return;
    this.pending.delete(message.r);
    request.timer.cancel();
    this.failures = 0;
    if ('e' in message) request.reject(new PartnerUnavailableError(`${this.partner}: ${message.e}`));
    else request.resolve(message.a);
  }

  private onFailure(): void {
    if (++this.failures < FAILURES_BEFORE_BACKOFF) return;
    const backoffMs = Math.min(
      MAX_BACKOFF_MS,
      INITIAL_BACKOFF_MS * 2 ** (this.failures - FAILURES_BEFORE_BACKOFF),
    );
    this.backoffUntil = this.clock.now() + backoffMs * (0.5 + this.jitter());
  }
}
