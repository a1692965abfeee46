/** The outgoing connection to one peer: requests and notifications leave on it, and responses come back. */

import net from 'node:net';
import type { Clock, Timer } from '../clock/clock.js';
import type { Peer } from '../config/settings.js';
import { SpartrayError, UnreachableError } from '../errors/errors.js';
import { encodeFrame, FrameReader, MAX_UNSENT_BYTES, type PeerMessage } from './frames.js';

/** The peer responded that it cannot do it, or is alive and does not respond in time: it is not to be asked again. */
export class PeerRejectedError extends SpartrayError {}

interface PendingRequest {
  readonly resolve: (value: unknown) => void;
  readonly reject: (error: Error) => void;
  readonly timeout: Timer;
}

/** A connection that is not established by then is given up. */
const CONNECT_TIMEOUT_MS = 1500;
/** Pause between the end of a connection and the next attempt. */
const RECONNECT_DELAY_MS = 300;

/** One outgoing connection to a peer, opened again whenever it breaks. */
export class PeerLink {
  private socket: net.Socket | null = null;
  private ready = false;
  private nextRequestId = 1;
  private lastReceivedAt = Number.NEGATIVE_INFINITY;
  private closed = false;
  private lastAttemptRefused = false;
  private readonly pending = new Map<number, PendingRequest>();

  /** Connects at once; `self` is the name that this node gives as its own. */
  constructor(
    private readonly clock: Clock,
    private readonly self: string,
    private readonly peer: Peer,
  ) {
    this.connect();
  }

  /** As `Mesh.request`. */
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

  /** As `Mesh.notify`. */
  notify(op: string, args: unknown): void {
    if (this.ready) this.write({ op, a: args });
  }

  /** Whether the connection is established, as far as this side knows. */
  get connected(): boolean {
    return this.ready;
  }

  /** Whether the last attempt to connect was refused. */
  get refused(): boolean {
    return this.lastAttemptRefused;
  }

  /** Ends the connection, for good. */
  close(): void {
    this.closed = true;
    this.socket?.destroy();
  }

  /** What a request fails with that was sent at `sentAt` and got no response in time. */
  private onRequestTimeout(sentAt: number): Error {
    // A node that answers others is only slow. To ask it once more in another way would make it slower still.
    if (this.lastReceivedAt > sentAt) return new PeerRejectedError(`${this.peer.node} is busy`);
    // A cut may hold packets for minutes; a new connection finds out sooner that it is over.
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
