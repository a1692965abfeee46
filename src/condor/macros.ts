// This package: HTCondor's submit files: their language, what a process asks for, and clusters of them as jobs.
import { InvalidInputError } from '../errors/errors.js';

/** Something wrong in a submit file; lines and columns count from 1. */
export class SubmitError extends InvalidInputError {
  constructor(
    message: string,
    readonly line: number,
    readonly column: number,
  ) {
    super(message);
  }
}

/** A setting as it was written, and where its value begins. */
export interface Setting {
  name: string;
  value: string;
  line: number;
  column: number;
}

/** Settings by their names in lower case. */
export type Settings = ReadonlyMap<string, Setting>;

const MAX_DEPTH = 32;
const MAX_LENGTH = 64 * 1024;
/** What a file name is asked for: path, name, extension, directory, quoted. */
const FILE_PART = /^F([pdnxbqaf]*)$/;

/** Puts macros in: `$(name)`, `$(name:default)`, `$INT(..)`, `$REAL(..)`, `$CHOICE(..)`, `$SUBSTR(..)` and `$Fx(..)`. */
export class Macros {
  private expandedLength = 0;

  constructor(
    private readonly settings: Settings,
    /** Of the process: Cluster, Process, Item and the variables of its queue statement, by names in lower case. */
    private readonly own: ReadonlyMap<string, string>,
  ) {}

  /** The value of a name, with all macros put in; undefined when nothing sets it. */
  get(name: string): string | undefined {
    const own = this.own.get(name.toLowerCase());
    if (own !== undefined) return own;
    const s = this.settings.get(name.toLowerCase());
    return s && this.expand(s.value, s.line, s.column);
  }

  expand(text: string, line: number, column: number, depth = 0): string {
    if (!text.includes('$')) return text;
    const fail = (message: string, at: number): never => {
      throw new SubmitError(message, line, column + at);
    };
    if (depth > MAX_DEPTH) fail('macros that need each other', 0);
    let out = '';
    for (let i = 0; i < text.length; ) {
      if (text[i] !== '$') {
        out += text[i++];
        continue;
      }
      if (text.startsWith('$$(', i) || text.startsWith('$$([', i))
        fail('$$( ) would be filled in from the machine, which has not been chosen yet: write the value', i);
      const head = /^\$([A-Za-z_]*)\(/.exec(text.slice(i, i + 40));
      if (!head) {
        out += text[i++];
        continue;
      }
      const end = closing(text, i + head[0].length);
      if (end < 0) fail(`"${head[0]}" has no closing bracket`, i);
      const inner = text.slice(i + head[0].length, end);
      out += this.put(head[1]!, inner, line, column + i, depth + 1);
      this.expandedLength += out.length;
      if (out.length > MAX_LENGTH || this.expandedLength > MAX_LENGTH * 64)
        fail('macros make too much text', i);
      i = end + 1;
    }
    return out;
  }

  private put(fn: string, inner: string, line: number, column: number, depth: number): string {
    const fail = (message: string): never => {
      throw new SubmitError(message, line, column);
    };
    if (fn === '') return this.name(inner, line, column, depth);
    if (fn === 'ENV')
      fail('$ENV( ) is not read here: a controller knows nothing of your environment, write the value');
    if (/^RANDOM_/.test(fn)) fail(`$${fn}( ) would differ each time a process is made: write the value`);
    const [first = '', ...rest] = this.expand(inner, line, column, depth)
      .split(',')
      .map((s) => s.trim());
    const value = this.get(first) ?? first;
    switch (fn) {
      case 'INT':
      case 'REAL': {
        const n = Number(value);
        if (value === '' || Number.isNaN(n)) fail(`$${fn}(${first}): "${value}" is no number`);
        return fn === 'INT' ? String(Math.trunc(n)) : String(n);
      }
      case 'CHOICE': {
        const listed =
          rest.length === 1 ? (this.get(rest[0]!) ?? rest[0]!).split(',').map((s) => s.trim()) : rest;
        return listed[Number(value)] ?? fail(`$CHOICE(${inner}): no item ${value}`);
      }
      case 'SUBSTR': {
        const from = Number(rest[0] ?? 0);
        const length = rest[1] === undefined ? undefined : Number(rest[1]);
        const start = from < 0 ? Math.max(0, value.length + from) : from;
        if (length === undefined) return value.slice(start);
        return value.slice(start, length < 0 ? length : start + length);
      }
    }
    const part = FILE_PART.exec(fn);
    return part ? filePart(part[1]!, value) : fail(`no macro function $${fn}( )`);
  }

  private name(inner: string, line: number, column: number, depth: number): string {
    const colon = inner.indexOf(':');
    const name = this.expand(colon < 0 ? inner : inner.slice(0, colon), line, column, depth).trim();
    if (name.toUpperCase() === 'DOLLAR') return '$';
    const own = this.own.get(name.toLowerCase());
    if (own !== undefined) return own;
    const s = this.settings.get(name.toLowerCase());
    if (s) return this.expand(s.value, s.line, s.column, depth);
    return colon < 0 ? '' : this.expand(inner.slice(colon + 1), line, column, depth);
  }
}

function closing(text: string, from: number): number {
  let open = 1;
  for (let i = from; i < text.length; i++) {
    if (text[i] === '(') open++;
    else if (text[i] === ')' && --open === 0) return i;
  }
  return -1;
}

function filePart(parts: string, path: string): string {
  const bare = path.replace(/^"(.*)"$/, '$1');
  const slash = bare.lastIndexOf('/');
  const dir = bare.slice(0, slash + 1);
  const file = bare.slice(slash + 1);
  const dot = file.lastIndexOf('.');
  const [stem, ext] = dot > 0 ? [file.slice(0, dot), file.slice(dot)] : [file, ''];
  let out = '';
  if (parts.includes('p')) out += dir;
  else if (parts.includes('d'))
    out += dir.replace(/\/$/, '').replace(/^.*\//, '') + (dir && /[nx]/.test(parts) ? '/' : '');
  if (parts.includes('n')) out += stem;
  if (parts.includes('x')) out += parts.includes('b') ? ext.slice(1) : ext;
  if (!/[pdnx]/.test(parts)) out = bare;
  return parts.includes('q') ? `"${out}"` : out;
}
