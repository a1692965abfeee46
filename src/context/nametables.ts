import { NameTable } from '../interning/nametable.js';

/** The tables of one node. Names are mapped to indices where they enter, and back where they leave. */
export class NameTables {
  readonly teams = new NameTable();
  /** Machine types. */
  readonly types = new NameTable();
  readonly zones = new NameTable();
  /** Container images of tasks. */
  readonly images = new NameTable();
}
