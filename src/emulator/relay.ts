import net from 'node:net';
import type { Clock } from '../clock/clock.js';
import { FrameReader, type PeerMessage } from '../peer/frames.js';
import type { Network, Site } from './network.js';
import type { Traffic } from './traffic.js';

/** A controller to which a relay passes connections on. */
export interface RelayTarget {
  /** Name of the controller, and where it listens for the others. */
  node: string;
  host: string;
  port: number;
}

/** How often a connection that is cut off looks whether the links are there again. */
const CUT_LOOK_MS = 100;

/**
 * The links between controllers: each reaches the others through one relay per target, which delays, holds and counts
 * what passes. Who connects is known by its first frame. Across a cut nothing passes: what is under way is held and
 * delivered in order afterwards; a new connection is reset.
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

  private accept(caller: net.Socket): void {
    const target = net.connect({ host: this.target.host, port: this.target.port, noDelay: true });
    for (const s of [caller, target]) {
      this.sockets.add(s);
      s.on('error', () => s.destroy());
      s.on('close', () => this.sockets.delete(s));
    }
    caller.on('close', () => target.destroy());
    target.on('close', () => caller.destroy());
    const here = this.siteOf(this.target.node);
    let from: Site | null = null;
    const ops = new Map<number, string>();
    const there = (message: PeerMessage, bytes: number) => {
      if (!('op' in message)) return;
      if (message.op === 'hello') {
        from = this.siteOf(String(message.a));
        if (from && here && this.network.apart(from, here)) caller.destroy();
        return;
      }
      if ('q' in message) ops.set(message.q, message.op);
      this.traffic.add(`peer ${message.op}`, bytes);
    };
    const back = (message: PeerMessage, bytes: number) => {
      if (!('r' in message)) return;
      this.traffic.add(`peer ${ops.get(message.r) ?? 'unknown'} answer`, bytes);
      ops.delete(message.r);
    };
    const between = () => (from && here ? { from, here } : null);
    this.pass(caller, target, there, between);
    this.pass(target, caller, back, between);
  }

  /** Passes bytes on in order, after the delay of the link, and none while it is cut. */
  private pass(
    source: net.Socket,
    sink: net.Socket,
    count: (message: PeerMessage, bytes: number) => void,
    between: () => { from: Site; here: Site } | null,
  ): void {
    const reader = new FrameReader();
    const held: Buffer[] = [];
    let looking = false;
    const apart = () => {
      const link = between();
      return link !== null && this.network.apart(link.from, link.here);
    };
    const flush = () => {
      if (apart()) {
        if (!looking) {
          looking = true;
          this.clock.after(CUT_LOOK_MS, () => {
            looking = false;
            flush();
          });
        }
        return;
      }
      for (const data of held.splice(0)) if (!sink.destroyed) sink.write(data);
    };
    source.on('data', (data: Buffer) => {
      try {
        for (const message of reader.feed(data)) count(message, reader.lastBytes);
      } catch {
        source.destroy();
        return;
      }
      const link = between();
      const delayMs = link ? this.network.delayMs(link.from, link.here) : 0;
      const deliver = () => {
        held.push(data);
        flush();
      };
      if (delayMs > 0) this.clock.after(delayMs, deliver);
      else deliver();
    });
  }
}
