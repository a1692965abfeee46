/** The client's open connections: which are idle, and how many there may be. */

import net from 'node:net';
import type { Clock } from '../clock/clock.js';
import { type PeriodicTask, startPeriodicTask } from '../clock/periodictask.js';

/** How many connections a pool may have open. */
export interface PoolLimits {
  /** In all. */
  maxSockets: number;
  /** Connections to one address at once, so that one that is slow does not take all; no more than `maxSockets`. */
  maxSocketsTo?: (addr: string) => number;
}

interface IdleSocket {
  readonly socket: net.Socket;
  readonly since: number;
}

/** An idle connection is ended after this time. */
const IDLE_MS = 15_000;
const SWEEP_INTERVAL_MS = 5000;

/**
 * Connections by address. Whoever has acquired one uses it alone until it is kept for the next or destroyed. A connection
 * emits `failed` with the reason (a text) when it breaks while it is in use.
 */
export class ConnectionPool {
  /** By address, the longest idle first. */
  private readonly idle = new Map<string, IdleSocket[]>();
  private readonly openTo = new Map<string, number>();
  private open = 0;
  private closed = false;
  private readonly sweeping: PeriodicTask;

  constructor(
    private readonly clock: Clock,
    private readonly limits: PoolLimits,
  ) {
    this.sweeping = startPeriodicTask(clock, SWEEP_INTERVAL_MS, () => this.sweep());
  }

  /** Ends the idle connections now and those in use when they are released, for good. */
  close(): void {
    this.closed = true;
    this.sweeping.stop();
    for (const list of this.idle.values()) for (const kept of list) kept.socket.destroy();
    this.idle.clear();
  }

  /** An idle connection to an address or a new one, perhaps still connecting; null when there are too many. */
  acquire(addr: string): net.Socket | null {
    const list = this.idle.get(addr);
    for (let kept = list?.pop(); kept; kept = list?.pop()) {
      if (!kept.socket.destroyed && kept.socket.writable) return kept.socket;
    }
    const openTo = this.openTo.get(addr) ?? 0;
    if (openTo >= (this.limits.maxSocketsTo?.(addr) ?? this.limits.maxSockets)) return null;
    if (this.open >= this.limits.maxSockets && !this.destroyOldestIdle()) return null;
    return this.connect(addr);
  }

  /** The exchange on a connection is over; when that left it reusable, it is kept for the next one. */
  release(addr: string, socket: net.Socket, state: 'reusable' | 'broken'): void {
    if (state === 'reusable' && !socket.destroyed && !this.closed) this.keepIdle(addr, socket);
    else socket.destroy();
  }

  private connect(addr: string): net.Socket {
    const colon = addr.lastIndexOf(':');
    this.open++;
    this.openTo.set(addr, (this.openTo.get(addr) ?? 0) + 1);
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
      this.open--;
      const left = (this.openTo.get(addr) ?? 1) - 1;
      if (left > 0) this.openTo.set(addr, left);
      else this.openTo.delete(addr);
      socket.emit('failed', 'closed');
    });
    return socket;
  }

  private keepIdle(addr: string, socket: net.Socket): void {
    socket.removeAllListeners('failed');
    let list = this.idle.get(addr);
    if (!list) {
      list = [];
      this.idle.set(addr, list);
    }
    list.push({ socket, since: this.clock.now() });
    // An idle connection that the other side closes must not be used again.
    socket.once('end', () => socket.destroy());
  }

  private destroyOldestIdle(): boolean {
    for (const list of this.idle.values()) {
      const kept = list.shift();
      if (kept) {
        kept.socket.destroy();
        return true;
      }
    }
    return false;
  }

  private sweep(): void {
    const limit = this.clock.now() - IDLE_MS;
    for (const [addr, list] of this.idle) {
      while (list[0] && (list[0].since < limit || list[0].socket.destroyed)) list.shift()!.socket.destroy();
      if (list.length === 0) this.idle.delete(addr);
    }
  }
}
