import type { Mesh } from '../peer/mesh.js';

/** The connections to the other nodes, shared by all parts of a node; there are none before the node starts. */
export class PeerConnections {
  private current: Mesh | null = null;

  /** Called once, when the node starts. */
  connect(mesh: Mesh): void {
    this.current = mesh;
  }

  /** Null before the node has started. */
  get mesh(): Mesh | null {
    return this.current;
  }

  /** Sends a notice to another node, without knowing whether it arrives. */
  notify(node: string, op: string, args: unknown): void {
    this.current?.notify(node, op, args);
  }
}
