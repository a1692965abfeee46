/**
 * Messages between the controllers, whatever they say. Each node keeps one connection to each other one, on which its own
 * requests leave and their responses come back; the requests of the others come in on connections that these have opened.
 */

import type { Clock } from '../clock/clock.js';
import type { Endpoint, Peer } from '../config/settings.js';
import { UnreachableError } from '../errors/errors.js';
import { PeerLink } from './peerlink.js';
import { type PeerHandler, PeerServer } from './peerserver.js';

export { PeerRejectedError } from './peerlink.js';

/** The other controllers, by the names of their nodes. */
export interface Mesh {
  /**
   * Sends a request to another node and resolves with its response. Rejects with `PeerRejectedError` when the node failed
   * it or is too slow, with `UnreachableError` when the node did not respond at all.
   */
  request(node: string, op: string, args: unknown, timeoutMs: number): Promise<unknown>;
  /** Sends a message that has no response; it may be lost. */
  notify(node: string, op: string, args: unknown): void;
  /** Whether the connection to another node is established, as far as this side knows. */
  connected(node: string): boolean;
  /** Whether the last attempt to connect was refused: nobody listens there, or a packet filter says so. */
  refused(node: string): boolean;
}

/** The mesh over TCP. */
export class PeerMesh implements Mesh {
  private readonly links = new Map<string, PeerLink>();
  private server: PeerServer | null = null;

  constructor(
    private readonly clock: Clock,
    private readonly self: string,
    private readonly peers: readonly Peer[],
    private readonly onError: (error: unknown) => void,
    /** A connection has been ended that did not identify itself as a controller. */
    private readonly onRejected: (why: string) => void,
  ) {}

  /** Connects to the peers and listens for them. Resolves once it listens; rejects when the address cannot be bound. */
  listen(at: Endpoint, handler: PeerHandler): Promise<void> {
    const { clock, self, peers, onError, onRejected } = this;
    this.server = new PeerServer(clock, new Set(peers.map((p) => p.node)), { handler, onError, onRejected });
    for (const peer of peers) this.links.set(peer.node, new PeerLink(clock, self, peer));
    return this.server.listen(at);
  }

  request(node: string, op: string, args: unknown, timeoutMs: number): Promise<unknown> {
    const link = this.links.get(node);
    return link
      ? link.request(op, args, timeoutMs)
      : Promise.reject(new UnreachableError(`unknown node ${node}`));
  }

  notify(node: string, op: string, args: unknown): void {
    this.links.get(node)?.notify(op, args);
  }

  connected(node: string): boolean {
    return this.links.get(node)?.connected === true;
  }

  refused(node: string): boolean {
    return this.links.get(node)?.refused === true;
  }

  /** Ends all connections, for good. */
  close(): void {
    this.server?.close();
    for (const link of this.links.values()) link.close();
  }
}
