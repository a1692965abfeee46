/** Interning of names as dense indices, for tables that are indexed by number instead of text. */

/** Maps names to dense indices, in the order in which the names are first added. */
export class NameTable {
  private readonly byName = new Map<string, number>();
  private readonly names: string[] = [];

  /** Returns the index of a name, adding the name if it is new. */
  index(name: string): number {
    let index = this.byName.get(name);
    if (index === undefined) {
      index = this.names.length;
      this.names.push(name);
      this.byName.set(name, index);
    }
    return index;
  }

  /** Returns the index of a name; undefined if the name has not been added. */
  find(name: string): number | undefined {
    return this.byName.get(name);
  }

  /** Returns the name of an index; empty if there is none. */
  name(index: number): string {
    return this.names[index] ?? '';
  }

  /** Number of names, which is also the index of the next new name. */
  get size(): number {
    return this.names.length;
  }
}
