/**
 * Transport for messages between controllers, independent of their content. Each node keeps one connection to every
 * other node, for its own requests and the responses to them; requests of other nodes arrive on the connections that
 * they opened.
 */

import type { Clock } from '../clock/clock.js';
import type { Endpoint, Peer } from '../config/settings.js';
import { UnreachableError } from '../errors/errors.js';
import { PeerLink } from './peerlink.js';
import { type PeerHandler, PeerServer } from './peerserver.js';

export { PeerRejectedError } from './peerlink.js';

/** Connections to the other controllers, addressed by node name. */
export interface Mesh {
  /**
   * Sends a request to another node and resolves with its response. Rejects with `PeerRejectedError` if the node
   * responded with an error or is alive but too slow, and with `UnreachableError` if the node did not respond at all.
   */
  request(node: string, op: string, args: unknown, timeoutMs: number): Promise<unknown>;
  /** Sends a notification, without a response and without guaranteed delivery. */
  notify(node: string, op: string, args: unknown): void;
  /** Returns whether the connection to a node is established; a lost one may not have been detected yet. */
  connected(node: string): boolean;
  /** Returns whether the last connection attempt was refused: no listener, or a rejection by a packet filter. */
  refused(node: string): boolean;
}

/** Implements `Mesh` over TCP. */
export class PeerMesh implements Mesh {
  private readonly links = new Map<string, PeerLink>();
  private server: PeerServer | null = null;

  constructor(
    private readonly clock: Clock,
    private readonly self: string,
    private readonly peers: readonly Peer[],
    private readonly onError: (error: unknown) => void,
    /** Called when a connection is closed because it did not identify itself as a controller. */
    private readonly onRejected: (reason: string) => void,
  ) {}

  /**
   * Connects to the peers and listens for theirs. Resolves once it listens; rejects if the address cannot be bound.
   */
  listen(endpoint: Endpoint, handler: PeerHandler): Promise<void> {
    const { clock, self, peers, onError, onRejected } = this;
    this.server = new PeerServer(clock, new Set(peers.map((p) => p.node)), { handler, onError, onRejected });
    for (const peer of peers) this.links.set(peer.node, new PeerLink(clock, self, peer));
    return this.server.listen(endpoint);
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

  /** Stops listening and closes all connections without reconnecting. */
  close(): void {
    this.server?.close();
    for (const link of this.links.values()) link.close();
  }
}
