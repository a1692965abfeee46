/**
 * The outgoing connection to one peer, which carries this node's requests and notifications and the peer's responses.
 */

import net from 'node:net';
import type { Clock, Timer } from '../clock/clock.js';
import type { Peer } from '../config/settings.js';
import { SpartrayError, UnreachableError } from '../errors/errors.js';
import { encodeFrame, FrameReader, MAX_UNSENT_BYTES, type PeerMessage } from './frames.js';

/**
 * An error response of the peer, or a time-out while the peer is alive. The request must not be retried at this peer.
 */
export class PeerRejectedError extends SpartrayError {}

interface PendingRequest {
  readonly resolve: (value: unknown) => void;
  readonly reject: (error: Error) => void;
  readonly timeout: Timer;
}

/** Time limit for establishing a connection. */
const CONNECT_TIMEOUT_MS = 1500;
/** Delay between the end of a connection, or of an attempt to connect, and the next attempt. */
const RECONNECT_DELAY_MS = 300;

/** An outgoing connection to a peer that reconnects after every failure. */
export class PeerLink {
  private socket: net.Socket | null = null;
  private ready = false;
  private nextRequestId = 1;
  private lastReceivedAt = Number.NEGATIVE_INFINITY;
  private closed = false;
  private lastAttemptRefused = false;
  private readonly pending = new Map<number, PendingRequest>();

  /** Starts connecting; `self` is the name by which this node identifies itself to the peer. */
  constructor(
    private readonly clock: Clock,
    private readonly self: string,
    private readonly peer: Peer,
  ) {
    this.connect();
  }

  /** Implements `Mesh.request` for this peer. */
  request(op: string, args: unknown, timeoutMs: number): Promise<unknown> {
    return new Promise((resolve, reject) => {
      if (!this.ready) {
        reject(new UnreachableError(`${this.peer.node} is not connected`));
        return;
      }
      const id = this.nextRequestId++;
      const sentAt = this.clock.now();
      const timeout = this.clock.after(timeoutMs, () => {
        this.pending.delete(id);
        reject(this.onRequestTimeout(sentAt));
      });
      this.pending.set(id, { resolve, reject, timeout });
      this.write({ q: id, op, a: args });
    });
  }

  /** Implements `Mesh.notify` for this peer. */
  notify(op: string, args: unknown): void {
    if (this.ready) this.write({ op, a: args });
  }

  /** Whether the connection is established; its loss may not have been detected yet. */
  get connected(): boolean {
    return this.ready;
  }

  /** Whether the last connection attempt was refused. */
  get refused(): boolean {
    return this.lastAttemptRefused;
  }

  /** Closes the connection without reconnecting. */
  close(): void {
    this.closed = true;
    this.socket?.destroy();
  }

  /** Returns the error for a request sent at `sentAt` that timed out; reconnects if nothing was received since. */
  private onRequestTimeout(sentAt: number): Error {
    // The peer has sent other responses since, so it is alive but slow. A retry by another route would slow it more.
    if (this.lastReceivedAt > sentAt) return new PeerRejectedError(`${this.peer.node} is busy`);
    // A network partition can delay packets on this connection for minutes, even after it has healed. A new connection
    // detects sooner that the peer is reachable again.
    this.socket?.destroy();
    return new UnreachableError(`${this.peer.node} does not answer`);
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
    const connectTimeout = this.clock.after(CONNECT_TIMEOUT_MS, () => socket.destroy());
    socket.on('connect', () => {
      connectTimeout.cancel();
      this.onConnected();
    });
    socket.on('data', (data) => {
      this.lastReceivedAt = this.clock.now();
      try {
        for (const message of reader.feed(data)) if ('r' in message) this.onResponse(message);
      } catch {
        socket.destroy();
      }
    });
    socket.on('error', (error: NodeJS.ErrnoException) => {
      this.lastAttemptRefused = error.code === 'ECONNREFUSED';
      socket.destroy();
    });
    socket.on('end', () => socket.destroy());
    socket.on('close', () => {
      connectTimeout.cancel();
      this.onClosed();
    });
  }

  private onConnected(): void {
    this.ready = true;
    this.lastAttemptRefused = false;
    this.write({ op: 'hello', a: this.self });
  }

  private onResponse(message: { r: number; a?: unknown; e?: string }): void {
    const request = this.pending.get(message.r);
    if (!request) return;
    this.pending.delete(message.r);
    request.timeout.cancel();
    if (message.e !== undefined) request.reject(new PeerRejectedError(message.e));
    else request.resolve(message.a);
  }

  private onClosed(): void {
    this.ready = false;
    this.socket = null;
    for (const request of this.pending.values()) {
      request.timeout.cancel();
      request.reject(new UnreachableError(`connection to ${this.peer.node} closed`));
    }
    this.pending.clear();
    if (!this.closed) this.clock.after(RECONNECT_DELAY_MS, () => !this.closed && this.connect());
  }
}
