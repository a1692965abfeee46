// HTCondor submit files: their language, the requests of their processes, and the expansion of clusters into jobs.
import { InvalidInputError } from '../errors/errors.js';

/** An error in a submit file; line and column count from 1. */
export class SubmitError extends InvalidInputError {
  constructor(
    message: string,
    readonly line: number,
    readonly column: number,
  ) {
    super(message);
  }
}

/** A setting as written, with the position at which its value begins. */
export interface Setting {
  name: string;
  value: string;
  line: number;
  column: number;
}

/** Settings by lower-case name. */
export type Settings = ReadonlyMap<string, Setting>;

const MAX_EXPANSION_DEPTH = 32;
const MAX_EXPANDED_LENGTH = 64 * 1024;
/** Name of a file name function, `$Fpnx(..)`; its letters select path, name, extension, directory and quotes. */
const FILE_NAME_FUNCTION = /^F([pdnxbqaf]*)$/;

/**
 * Expands macros: `$(name)`, `$(name:default)`, `$INT(..)`, `$REAL(..)`, `$CHOICE(..)`, `$SUBSTR(..)` and
 * `$Fx(..)`.
 */
export class MacroExpander {
  private expandedLength = 0;

  constructor(
    private readonly settings: Settings,
    /** Macros of the process by lower-case name: Cluster, Process, Item and the variables of its queue statement. */
    private readonly processMacros: ReadonlyMap<string, string>,
  ) {}

  /** Returns the value of a name with all macros expanded; undefined when the name is not set. */
  get(name: string): string | undefined {
    const processValue = this.processMacros.get(name.toLowerCase());
    if (processValue !== undefined) return processValue;
    const setting = this.settings.get(name.toLowerCase());
    return setting && this.expand(setting.value, setting.line, setting.column);
  }

  expand(text: string, line: number, column: number, depth = 0): string {
    if (!text.includes('$')) return text;
    const fail = (message: string, at: number): never => {
      throw new SubmitError(message, line, column + at);
    };
    if (depth > MAX_EXPANSION_DEPTH) fail('macros that need each other', 0);
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
      const end = findClosingParenthesis(text, i + head[0].length);
      if (end < 0) fail(`"${head[0]}" has no closing bracket`, i);
      const body = text.slice(i + head[0].length, end);
      out += this.expandCall(head[1]!, body, line, column + i, depth + 1);
      this.expandedLength += out.length;
      if (out.length > MAX_EXPANDED_LENGTH || this.expandedLength > MAX_EXPANDED_LENGTH * 64)
        fail('macros make too much text', i);
      i = end + 1;
    }
    return out;
  }

  private expandCall(
    functionName: string,
    body: string,
    line: number,
    column: number,
    depth: number,
  ): string {
    const fail = (message: string): never => {
      throw new SubmitError(message, line, column);
    };
    if (functionName === '') return this.expandReference(body, line, column, depth);
    if (functionName === 'ENV')
      fail('$ENV( ) is not read here: a controller knows nothing of your environment, write the value');
    if (/^RANDOM_/.test(functionName))
      fail(`$${functionName}( ) would differ each time a process is made: write the value`);
    const [first = '', ...rest] = this.expand(body, line, column, depth)
      .split(',')
      .map((s) => s.trim());
    const value = this.get(first) ?? first;
    switch (functionName) {
      case 'INT':
      case 'REAL': {
        const n = Number(value);
        if (value === '' || Number.isNaN(n)) fail(`$${functionName}(${first}): "${value}" is no number`);
        return functionName === 'INT' ? String(Math.trunc(n)) : String(n);
      }
      case 'CHOICE': {
        const choices =
          rest.length === 1 ? (this.get(rest[0]!) ?? rest[0]!).split(',').map((s) => s.trim()) : rest;
        return choices[Number(value)] ?? fail(`$CHOICE(${body}): no item ${value}`);
      }
      case 'SUBSTR': {
        const from = Number(rest[0] ?? 0);
        const length = rest[1] === undefined ? undefined : Number(rest[1]);
        const start = from < 0 ? Math.max(0, value.length + from) : from;
        if (length === undefined) return value.slice(start);
        return value.slice(start, length < 0 ? length : start + length);
      }
    }
    const fileFunction = FILE_NAME_FUNCTION.exec(functionName);
    return fileFunction
      ? formatFileName(fileFunction[1]!, value)
      : fail(`no macro function $${functionName}( )`);
  }

  private expandReference(body: string, line: number, column: number, depth: number): string {
    const colon = body.indexOf(':');
    const name = this.expand(colon < 0 ? body : body.slice(0, colon), line, column, depth).trim();
    if (name.toUpperCase() === 'DOLLAR') return '$';
    const processValue = this.processMacros.get(name.toLowerCase());
    if (processValue !== undefined) return processValue;
    const setting = this.settings.get(name.toLowerCase());
    if (setting) return this.expand(setting.value, setting.line, setting.column, depth);
    return colon < 0 ? '' : this.expand(body.slice(colon + 1), line, column, depth);
  }
}

function findClosingParenthesis(text: string, from: number): number {
  let openCount = 1;
  for (let i = from; i < text.length; i++) {
    if (text[i] === '(') openCount++;
    else if (text[i] === ')' && --openCount === 0) return i;
  }
  return -1;
}

function formatFileName(parts: string, path: string): string {
  const unquoted = path.replace(/^"(.*)"$/, '$1');
  const slash = unquoted.lastIndexOf('/');
  const dir = unquoted.slice(0, slash + 1);
  const file = unquoted.slice(slash + 1);
  const dot = file.lastIndexOf('.');
  const [stem, ext] = dot > 0 ? [file.slice(0, dot), file.slice(dot)] : [file, ''];
  let out = '';
  if (parts.includes('p')) out += dir;
  else if (parts.includes('d'))
    out += dir.replace(/\/$/, '').replace(/^.*\//, '') + (dir && /[nx]/.test(parts) ? '/' : '');
  if (parts.includes('n')) out += stem;
  if (parts.includes('x')) out += parts.includes('b') ? ext.slice(1) : ext;
  if (!/[pdnx]/.test(parts)) out = unquoted;
  return parts.includes('q') ? `"${out}"` : out;
}
