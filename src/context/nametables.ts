import { NameTable } from '../interning/nametable.js';

/**
 * The name tables of one node. Names are mapped to indices when they are received, and back when they are sent or
 * stored.
 */
export class NameTables {
  readonly teams = new NameTable();
  /** Machine types. */
  readonly types = new NameTable();
  readonly zones = new NameTable();
  /** Container images of tasks. */
  readonly images = new NameTable();
}
