/**
 * Strings that match are recorded literally, since they may be part of the format; other strings are recorded as
 * `string`.
 */
const ENUM_WORD = /^[a-z][A-Za-z_]{0,23}$/;
/** Members whose content is a stored value, which has a shape of its own and is not recorded here. */
const OPAQUE_MEMBERS: ReadonlySet<string> = new Set(['value']);

function describeLeaf(value: unknown): string {
  if (typeof value !== 'string') return value === null ? 'null' : typeof value;
  return ENUM_WORD.test(value) ? JSON.stringify(value) : 'string';
}

/**
 * The shape of all messages of one kind: the member names of each object, in their order, and the types of all
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
      this.lines.add(`${path} is ${describeLeaf(value)}`);
      return;
    }
    const members = Object.entries(value);
    this.lines.add(`${path} {${members.map(([name]) => name).join(', ')}}`);
    for (const [name, member] of members) if (!OPAQUE_MEMBERS.has(name)) this.add(member, `${path}.${name}`);
  }

  get sorted(): string[] {
    return [...this.lines].sort();
  }
}

/** Shapes, by the kind of message or record. */
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
