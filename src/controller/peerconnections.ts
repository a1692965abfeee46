import type { Mesh } from '../peer/mesh.js';

/** Connections to the other nodes, shared by all components of a node; not available before the node starts. */
export class PeerConnections {
  private current: Mesh | null = null;

  /** Sets the mesh; called once, when the node starts. */
  connect(mesh: Mesh): void {
    this.current = mesh;
  }

  /** The mesh of connections; null before the node has started. */
  get mesh(): Mesh | null {
    return this.current;
  }

  /** Sends a one-way notice to another node, without confirmation of delivery. */
  notify(node: string, op: string, args: unknown): void {
    this.current?.notify(node, op, args);
  }
}
