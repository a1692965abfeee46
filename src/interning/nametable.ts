/** Names as dense indices, for tables that are indexed by number in place of text. */

/** Maps names to dense indices, in the order in which they are first seen. */
export class NameTable {
  private readonly byName = new Map<string, number>();
  private readonly names: string[] = [];

  /** The index of a name, which is entered if it is new. */
  index(name: string): number {
    let ix = this.byName.get(name);
    if (ix === undefined) {
      ix = this.names.length;
      this.names.push(name);
      this.byName.set(name, ix);
    }
    return ix;
  }

  /** The index of a name; undefined if it has not been entered. */
  find(name: string): number | undefined {
    return this.byName.get(name);
  }

  /** The name of an index; empty if there is none. */
  name(ix: number): string {
    return this.names[ix] ?? '';
  }

  /** Number of names, and the index of the next new one. */
  get size(): number {
    return this.names.length;
  }
}
