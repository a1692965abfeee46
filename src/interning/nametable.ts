// This package: names as dense indices.
/** Maps names to dense indices, in the order in which they are first seen. */
export class NameTable {
  private readonly byName = new Map<string, number>();
  private readonly names: string[] = [];

  index(name: string): number {
    let ix = this.byName.get(name);
    if (ix === undefined) {
      ix = this.names.length;
      this.names.push(name);
      this.byName.set(name, ix);
    }
    return ix;
  }

  find(name: string): number | undefined {
    return this.byName.get(name);
  }

  name(ix: number): string {
    return this.names[ix] ?? '';
  }

  get size(): number {
    return this.names.length;
  }
}
