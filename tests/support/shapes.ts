/** Words are kept as they are, since they may be part of the format; names with digits, texts and the like are not. */
const WORD = /^[a-z][A-Za-z_]{0,23}$/;
/** Members whose content is of another kind, which has a shape of its own. */
const FOREIGN: ReadonlySet<string> = new Set(['value']);

function leafOf(value: unknown): string {
  if (typeof value !== 'string') return value === null ? 'null' : typeof value;
  return WORD.test(value) ? JSON.stringify(value) : 'string';
}

/**
 * What messages of one kind look like: the names of the members of each object, in their order, and the types of all
 * values, without the values themselves.
 */
export class Shape {
  private readonly lines = new Set<string>();

  add(value: unknown, path = '$'): void {
    if (Array.isArray(value)) {
      this.lines.add(`${path} is a list`);
      for (const member of value) this.add(member, `${path}[]`);
      return;
    }
    if (typeof value !== 'object' || value === null) {
      this.lines.add(`${path} is ${leafOf(value)}`);
      return;
    }
    const members = Object.entries(value);
    this.lines.add(`${path} {${members.map(([name]) => name).join(', ')}}`);
    for (const [name, member] of members) if (!FOREIGN.has(name)) this.add(member, `${path}.${name}`);
  }

  get sorted(): string[] {
    return [...this.lines].sort();
  }
}

/** Shapes by the kind of message or record. */
export class Shapes {
  private readonly kinds = new Map<string, Shape>();

  add(kind: string, value: unknown): void {
    const shape = this.kinds.get(kind) ?? new Shape();
    this.kinds.set(kind, shape);
    shape.add(value);
  }

  get sorted(): Record<string, string[]> {
    const entries = [...this.kinds].map(([kind, shape]): [string, string[]] => [kind, shape.sorted]);
    return Object.fromEntries(entries.sort(([a], [b]) => (a < b ? -1 : 1)));
  }
}
