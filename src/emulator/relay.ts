import net from 'node:net';
import type { Clock } from '../clock/clock.js';
import { FrameReader, type PeerMessage } from '../peer/frames.js';
import type { Network, Site } from './network.js';
import type { Traffic } from './traffic.js';

/** Controller to which a relay forwards connections. */
export interface RelayTarget {
  /** Name of the controller; it accepts peer connections at `host` and `port`. */
  node: string;
  host: string;
  port: number;
}

/** Interval at which a partitioned connection checks whether the partition has ended. */
const LINK_CHECK_INTERVAL_MS = 100;

/**
 * Emulates the links between controllers: they reach each controller through one relay, which delays, holds back and
 * counts the messages. The first frame of a connection identifies the caller. No data passes during a partition: data
 * in transit is held back and delivered in order afterwards, and new connections are reset.
 */
export class PeerRelay {
  private readonly server = net.createServer({ noDelay: true }, (socket) => this.accept(socket));
  private readonly sockets = new Set<net.Socket>();

  constructor(
    private readonly clock: Clock,
    private readonly network: Network,
    private readonly traffic: Traffic,
    private readonly target: RelayTarget,
    private readonly siteOf: (node: string) => Site | null,
  ) {}

  listen(host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({ host, port }, resolve);
    });
  }

  close(): void {
    this.server.close();
    for (const s of this.sockets) s.destroy();
  }

  private accept(callerSocket: net.Socket): void {
    const targetSocket = net.connect({ host: this.target.host, port: this.target.port, noDelay: true });
    for (const socket of [callerSocket, targetSocket]) {
      this.sockets.add(socket);
      socket.on('error', () => socket.destroy());
      socket.on('close', () => this.sockets.delete(socket));
    }
    callerSocket.on('close', () => targetSocket.destroy());
    targetSocket.on('close', () => callerSocket.destroy());
    const targetSite = this.siteOf(this.target.node);
    let callerSite: Site | null = null;
    const opByRequestId = new Map<number, string>();
    const onRequest = (message: PeerMessage, bytes: number) => {
      if (!('op' in message)) return;
      if (message.op === 'hello') {
        callerSite = this.siteOf(String(message.a));
        if (callerSite && targetSite && this.network.isSeparated(callerSite, targetSite))
          callerSocket.destroy();
        return;
      }
      if ('q' in message) opByRequestId.set(message.q, message.op);
      this.traffic.add(`peer ${message.op}`, bytes);
    };
    const onResponse = (message: PeerMessage, bytes: number) => {
      if (!('r' in message)) return;
      this.traffic.add(`peer ${opByRequestId.get(message.r) ?? 'unknown'} answer`, bytes);
      opByRequestId.delete(message.r);
    };
    const currentLink = () => (callerSite && targetSite ? { callerSite, targetSite } : null);
    this.forward(callerSocket, targetSocket, onRequest, currentLink);
    this.forward(targetSocket, callerSocket, onResponse, currentLink);
  }

  /** Forwards data in order after the delay of the link, and holds it back during a partition. */
  private forward(
    source: net.Socket,
    sink: net.Socket,
    observe: (message: PeerMessage, bytes: number) => void,
    currentLink: () => { callerSite: Site; targetSite: Site } | null,
  ): void {
    const reader = new FrameReader();
    const pendingChunks: Buffer[] = [];
    let checkScheduled = false;
    const isCut = () => {
      const link = currentLink();
      return link !== null && this.network.isSeparated(link.callerSite, link.targetSite);
    };
    const flush = () => {
      if (isCut()) {
        if (!checkScheduled) {
          checkScheduled = true;
          this.clock.after(LINK_CHECK_INTERVAL_MS, () => {
            checkScheduled = false;
            flush();
          });
        }
        return;
      }
      for (const data of pendingChunks.splice(0)) if (!sink.destroyed) sink.write(data);
    };
    source.on('data', (data: Buffer) => {
      try {
        for (const message of reader.feed(data)) observe(message, reader.lastFrameBytes);
      } catch {
        source.destroy();
        return;
      }
      const link = currentLink();
      const delayMs = link ? this.network.delayMs(link.callerSite, link.targetSite) : 0;
      const deliver = () => {
        pendingChunks.push(data);
        flush();
      };
      if (delayMs > 0) this.clock.after(delayMs, deliver);
      else deliver();
    });
  }
}
