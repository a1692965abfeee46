import { Ad } from '../classad/ast.js';
import { asBoolean, evaluate } from '../classad/evaluate.js';
import { ClassAdError, parseExpr } from '../classad/parser.js';
import { Macros, type Setting, type Settings, SubmitError } from './macros.js';

/** Where the items of a queue statement come from. `rows` is null until whoever has the files has filled it in. */
export type Items =
  | { kind: 'none' }
  | { kind: 'in'; rows: string[] }
  | { kind: 'from'; file: string | null; rows: string[] | null }
  | { kind: 'matching'; what: 'any' | 'files' | 'dirs'; globs: string[]; rows: string[] | null };

/** A queue statement. */
export interface Queue {
  line: number;
  column: number;
  /** The statement as written. */
  text: string;
  /** How many processes for each item. */
  count: string;
  variables: string[];
  items: Items;
  slice: { from: number | null; to: number | null; step: number } | null;
  /** What was set before it. */
  settings: Settings;
}

const LIMITS = { text: 64 * 1024, lines: 20_000, items: 100_000, ifs: 32 };
/** The version that `if version` compares with. */
const VERSION = [10, 0, 0];
const NONE: ReadonlyMap<string, string> = new Map();

/** Reads a submit file up to its last queue statement. Fails with `SubmitError`. */
export function parseSubmit(text: string): Queue[] {
  if (Buffer.byteLength(text) > LIMITS.text)
    throw new SubmitError(
      `longer than ${LIMITS.text / 1024} KiB: give long item lists in a file, or part them`,
      1,
      1,
    );
  return new Reader(text).read();
}

/** How many items a queue statement has, once its files have been read. */
export function rowsOf(q: Queue): string[] {
  const { items } = q;
  if (items.kind === 'none') return [''];
  if (items.rows === null) throw new SubmitError('its items have not been read', q.line, q.column);
  const rows = items.rows;
  if (!q.slice) return rows;
  const at = (n: number | null, otherwise: number) =>
    n === null ? otherwise : n < 0 ? Math.max(0, rows.length + n) : Math.min(rows.length, n);
  const out: string[] = [];
  const to = at(q.slice.to, rows.length);
  for (let i = at(q.slice.from, 0); i < to; i += q.slice.step) out.push(rows[i]!);
  return out;
}

/** The variables of a queue statement for one row: the last one takes all that is left. */
export function split(row: string, variables: readonly string[]): Map<string, string> {
  const values = new Map<string, string>();
  let rest = row.trim();
  variables.forEach((v, i) => {
    const more = i < variables.length - 1;
    const cut = more ? /^(?:"([^"]*)"|([^\s,]*))(?:\s*,\s*|\s+|$)/.exec(rest) : null;
    values.set(v.toLowerCase(), more ? (cut?.[1] ?? cut?.[2] ?? '') : rest);
    if (cut) rest = rest.slice(cut[0].length);
  });
  return values;
}

class Reader {
  private readonly lines: string[];
  private at = 0;
  private readonly settings = new Map<string, Setting>();
  private readonly queues: Queue[] = [];
  /** Of each `if` that is open: whether its lines count now, whether a branch was taken, and whether it is in `else`. */
  private readonly ifs: { on: boolean; taken: boolean; otherwise: boolean; line: number }[] = [];

  constructor(text: string) {
    this.lines = text.split(/\r?\n/);
    if (this.lines.length > LIMITS.lines)
      throw new SubmitError(`more than ${LIMITS.lines} lines`, LIMITS.lines, 1);
  }

  read(): Queue[] {
    while (this.at < this.lines.length) this.statement();
    const open = this.ifs.at(-1);
    if (open) throw new SubmitError('"if" without "endif"', open.line, 1);
    if (this.queues.length === 0)
      throw new SubmitError('"queue" was expected: nothing is submitted', this.lines.length, 1);
    return this.queues;
  }

  private get on(): boolean {
    return this.ifs.every((i) => i.on);
  }

  private statement(): void {
    const line = this.at + 1;
    let text = this.lines[this.at++]!;
    if (/^\s*(#.*)?$/.test(text)) return;
    while (/\\\s*$/.test(text) && this.at < this.lines.length)
      text = `${text.replace(/\\\s*$/, '')}${this.lines[this.at++]!.replace(/^\s*#.*$/, '')}`;
    const column = text.search(/\S/) + 1;
    const word = /^\s*([A-Za-z]+)\b/.exec(text)?.[1]?.toLowerCase();
    const assigns = /^\s*[+A-Za-z_][\w.]*\s*@?=/.test(text);
    if (!assigns && (word === 'if' || word === 'elif' || word === 'else' || word === 'endif')) {
      this.branch(word, text, line, column);
      return;
    }
    if (!this.on) return;
    if (!assigns && word === 'queue') this.queue(text, line, column);
    else if (!assigns && word === 'include')
      throw new SubmitError(
        'include is not read here: put the lines of that file in its place',
        line,
        column,
      );
    else this.assign(text, line, column);
  }

  private branch(word: 'if' | 'elif' | 'else' | 'endif', text: string, line: number, column: number): void {
    const last = this.ifs.at(-1);
    if (word === 'if') {
      if (this.ifs.length >= LIMITS.ifs)
        throw new SubmitError(`"if" nested deeper than ${LIMITS.ifs}`, line, column);
      const on = this.on && this.condition(text, 'if', line);
      this.ifs.push({ on, taken: on, otherwise: false, line });
      return;
    }
    if (!last) throw new SubmitError(`"${word}" without "if"`, line, column);
    if (word === 'endif') {
      this.ifs.pop();
      return;
    }
    if (last.otherwise) throw new SubmitError(`"${word}" after "else"`, line, column);
    const outer = this.ifs.slice(0, -1).every((i) => i.on);
    last.on = outer && !last.taken && (word === 'else' || this.condition(text, word, line));
    last.taken ||= last.on;
    last.otherwise = word === 'else';
  }

  private condition(text: string, word: string, line: number): boolean {
    const from = text.toLowerCase().indexOf(word) + word.length;
    const column = from + 2;
    const raw = text.slice(from).trim();
    const not = raw.startsWith('!');
    const bare = not ? raw.slice(1).trim() : raw;
    const fail = (): never => {
      throw new SubmitError(
        `a condition was expected after "${word}": defined NAME, version >= 8.0, or a truth`,
        line,
        column,
      );
    };
    const defined = /^defined\s+(\S+)$/i.exec(bare);
    const version = /^version\s*(==|!=|<=|>=|<|>)\s*(\d+(?:\.\d+)*)$/i.exec(bare);
    let holds: boolean | null;
    if (defined) holds = this.settings.has(defined[1]!.replace(/^\$\((.*)\)$/, '$1').toLowerCase());
    else if (version) holds = compareVersion(version[1]!, version[2]!);
    else {
      const put = new Macros(this.settings, NONE).expand(bare, line, column);
      try {
        holds = asBoolean(evaluate(parseExpr(put === '' ? 'false' : put), { my: new Ad() }));
      } catch (error) {
        if (!(error instanceof ClassAdError)) throw error;
        holds = fail();
      }
    }
    return holds === null ? fail() : holds !== not;
  }

  private assign(text: string, line: number, column: number): void {
    const m = /^(\s*)(\+?|MY\.)([A-Za-z_][\w.]*)(\s*)(@?=)(\s*)(.*)$/i.exec(text);
    if (!m) throw new SubmitError('"name = value", "queue" or "if" was expected', line, column);
    const own = m[2] !== '' || /^my\./i.test(m[3]!);
    const name = (own ? '+' : '') + m[3]!.replace(/^my\./i, '');
    let value = m[7]!.trimEnd();
    if (m[5] === '@=') value = this.block(value.trim(), line, column);
    const key = name.toLowerCase();
    const before = this.settings.get(key)?.value ?? '';
    // A setting may add to what it was.
    const self = new RegExp(`\\$\\(\\s*${key.replace(/[+.]/g, '\\$&')}\\s*\\)`, 'gi');
    value = value.replace(self, () => before);
    if (value.length > LIMITS.text) throw new SubmitError('a value that is too long', line, column);
    const start = m[1]!.length + m[2]!.length + m[3]!.length + m[4]!.length + m[5]!.length + m[6]!.length + 1;
    this.settings.set(key, { name, value, line, column: start });
  }

  /** Lines up to `@tag`. */
  private block(tag: string, line: number, column: number): string {
    const lines: string[] = [];
    while (this.at < this.lines.length) {
      const text = this.lines[this.at++]!;
      if (text.trim() === `@${tag}`) return lines.join('\n');
      lines.push(text);
    }
    throw new SubmitError(`"@${tag}" was expected to end this`, line, column);
  }

  private queue(text: string, line: number, column: number): void {
    const macros = new Macros(this.settings, NONE);
    const fail = (message: string, at = column): never => {
      throw new SubmitError(message, line, at);
    };
    const body = text.trim().slice('queue'.length);
    const m = /^\s*(.*?)(?:\b(in|from|matching)\b(.*))?$/is.exec(body)!;
    const head = m[1]!.trim();
    const count = /^(\$?\(.*\)|\d+|\$\([^)]*\)|[\d\s+*/()-]+)?\s*(.*)$/s.exec(head)!;
    const variables = count[2]! === '' ? [] : count[2]!.split(/[\s,]+/);
    const bad = variables.find((v) => !/^[A-Za-z_]\w*$/.test(v));
    if (bad !== undefined)
      fail(`a number or a name was expected after "queue", not "${bad}"`, text.indexOf(bad) + 1);
    const how = m[2]?.toLowerCase();
    if (!how && variables.length > 0)
      fail(`"in", "from" or "matching" was expected after ${variables.join(', ')}`);
    let rest = (m[3] ?? '').trim();
    const cut = how ? /^\[\s*(-?\d*)\s*(?::\s*(-?\d*)\s*(?::\s*(\d*)\s*)?)?\]\s*/.exec(rest) : null;
    if (cut) rest = rest.slice(cut[0].length);
    const index = (s: string | undefined) => (s === undefined || s === '' ? null : Number(s));
    const slice = cut && { from: index(cut[1]), to: index(cut[2]), step: Math.max(1, index(cut[3]) ?? 1) };
    const items = how ? this.items(how, macros.expand(rest, line, column), fail) : { kind: 'none' as const };
    if (how && variables.length === 0) variables.push('Item');
    this.queues.push({
      text,
      line,
      column,
      count: macros.expand(count[1]?.trim() || '1', line, column),
      variables,
      items,
      slice,
      settings: new Map(this.settings),
    });
  }

  private items(how: string, rest: string, fail: (message: string) => never): Items {
    let text = rest;
    // A list in brackets may go over several lines.
    const lines: string[] = [];
    if (text.startsWith('(')) {
      text = text.slice(1);
      while (!text.includes(')') || (how === 'from' && !/^\s*\)\s*$/.test(text) && !/\)\s*$/.test(text))) {
        lines.push(text);
        const next = this.lines[this.at++];
        if (next === undefined) return fail('")" was expected to end the items');
        text = next;
      }
      lines.push(text.slice(0, text.lastIndexOf(')')));
      const full = lines.map((l) => l.trim()).filter((l) => l !== '' && !l.startsWith('#'));
      const rows = how === 'from' ? full : full.flatMap((l) => l.split(/[\s,]+/)).filter((l) => l !== '');
      if (rows.length > LIMITS.items) return fail(`more than ${LIMITS.items} items`);
      if (how === 'from') return { kind: 'from', file: null, rows };
      return how === 'in' ? { kind: 'in', rows } : { kind: 'matching', what: 'any', globs: rows, rows: null };
    }
    if (text === '') return fail(`items were expected after "${how}"`);
    if (how === 'in') return { kind: 'in', rows: text.split(/[\s,]+/).filter((l) => l !== '') };
    if (how === 'from') {
      if (text.endsWith('|')) return fail('items from a program are not read here: put them into a file');
      return { kind: 'from', file: text, rows: null };
    }
    const what = /^(files|dirs|any)\s+/i.exec(text);
    const globs = text
      .slice(what?.[0].length ?? 0)
      .replace(/^\(|\)$/g, '')
      .split(/[\s,]+/)
      .filter((g) => g !== '');
    return {
      kind: 'matching',
      what: (what?.[1]?.toLowerCase() as 'files' | 'dirs' | undefined) ?? 'any',
      globs,
      rows: null,
    };
  }
}

function compareVersion(op: string, text: string): boolean {
  const asked = text.split('.').map(Number);
  let sign = 0;
  for (let i = 0; i < 3 && sign === 0; i++) sign = VERSION[i]! - (asked[i] ?? 0);
  if (op === '==') return sign === 0;
  if (op === '!=') return sign !== 0;
  if (op.startsWith('<')) return sign < 0 || (op === '<=' && sign === 0);
  return sign > 0 || (op === '>=' && sign === 0);
}
