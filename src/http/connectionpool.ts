/** The connection pool of the HTTP client. */

import net from 'node:net';
import type { Clock } from '../clock/clock.js';
import { type PeriodicTask, startPeriodicTask } from '../clock/periodictask.js';

/** Limits on the number of open connections of a pool. */
export interface PoolLimits {
  /** Maximum number of open connections in total. */
  maxSockets: number;
  /**
   * Maximum number of open connections to an address, so that a slow server cannot occupy all; `maxSockets` is the
   * default and must not be exceeded.
   */
  maxSocketsPerAddress?: (addr: string) => number;
}

interface IdleSocket {
  readonly socket: net.Socket;
  readonly idleSince: number;
}

/** Idle connections are closed after this time. */
const IDLE_MS = 15_000;
const SWEEP_INTERVAL_MS = 5000;

/**
 * Keeps connections by address. An acquired connection is used exclusively until it is released. It emits `failed`
 * with the reason as a string if it breaks while it is in use.
 */
export class ConnectionPool {
  /** Idle connections by address, longest idle first. */
  private readonly idle = new Map<string, IdleSocket[]>();
  private readonly openByAddress = new Map<string, number>();
  private openCount = 0;
  private closed = false;
  private readonly sweepTask: PeriodicTask;

  constructor(
    private readonly clock: Clock,
    private readonly limits: PoolLimits,
  ) {
    this.sweepTask = startPeriodicTask(clock, SWEEP_INTERVAL_MS, () => this.sweep());
  }

  /** Closes the idle connections now and the others when they are released. */
  close(): void {
    this.closed = true;
    this.sweepTask.stop();
    for (const idleSockets of this.idle.values())
      for (const idleSocket of idleSockets) idleSocket.socket.destroy();
    this.idle.clear();
  }

  /** Returns an idle connection to `addr` or a new one that may still be connecting; null if a limit is reached. */
  acquire(addr: string): net.Socket | null {
    const idleSockets = this.idle.get(addr);
    for (let idleSocket = idleSockets?.pop(); idleSocket; idleSocket = idleSockets?.pop()) {
      if (!idleSocket.socket.destroyed && idleSocket.socket.writable) return idleSocket.socket;
    }
    const openToAddress = this.openByAddress.get(addr) ?? 0;
    if (openToAddress >= (this.limits.maxSocketsPerAddress?.(addr) ?? this.limits.maxSockets)) return null;
    if (this.openCount >= this.limits.maxSockets && !this.destroyOldestIdle()) return null;
    return this.connect(addr);
  }

  /** Hands a connection back after an exchange; it is kept for reuse if `state` is `reusable`, else closed. */
  release(addr: string, socket: net.Socket, state: 'reusable' | 'broken'): void {
    if (state === 'reusable' && !socket.destroyed && !this.closed) this.keepIdle(addr, socket);
    else socket.destroy();
  }

  private connect(addr: string): net.Socket {
    const colon = addr.lastIndexOf(':');
    this.openCount++;
    this.openByAddress.set(addr, (this.openByAddress.get(addr) ?? 0) + 1);
    const socket = net.connect({
      host: addr.slice(0, colon),
      port: Number(addr.slice(colon + 1)),
      noDelay: true,
    });
    socket.on('error', (error) => {
      socket.emit('failed', error.message);
      socket.destroy();
    });
    socket.on('close', () => {
      this.openCount--;
      const remaining = (this.openByAddress.get(addr) ?? 1) - 1;
      if (remaining > 0) this.openByAddress.set(addr, remaining);
      else this.openByAddress.delete(addr);
      socket.emit('failed', 'closed');
    });
    return socket;
  }

  private keepIdle(addr: string, socket: net.Socket): void {
    socket.removeAllListeners('failed');
    let idleSockets = this.idle.get(addr);
    if (!idleSockets) {
      idleSockets = [];
      this.idle.set(addr, idleSockets);
    }
    idleSockets.push({ socket, idleSince: this.clock.now() });
    // A connection that the server closes while it is idle must not be reused.
    socket.once('end', () => socket.destroy());
  }

  private destroyOldestIdle(): boolean {
    for (const idleSockets of this.idle.values()) {
      const idleSocket = idleSockets.shift();
      if (idleSocket) {
        idleSocket.socket.destroy();
        return true;
      }
    }
    return false;
  }

  private sweep(): void {
    const expiredBefore = this.clock.now() - IDLE_MS;
    for (const [addr, idleSockets] of this.idle) {
      while (idleSockets[0] && (idleSockets[0].idleSince < expiredBefore || idleSockets[0].socket.destroyed))
        idleSockets.shift()!.socket.destroy();
      if (idleSockets.length === 0) this.idle.delete(addr);
    }
  }
}
