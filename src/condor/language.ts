import { Ad } from '../classad/ast.js';
import { asBoolean, evaluate } from '../classad/evaluate.js';
import { ClassAdError, parseExpr } from '../classad/parser.js';
import { MacroExpander, type Setting, type Settings, SubmitError } from './macros.js';

/** Source of the items of a queue statement. `rows` is null until the program that has the files fills it in. */
export type Items =
  | { kind: 'none' }
  | { kind: 'in'; rows: string[] }
  | { kind: 'from'; file: string | null; rows: string[] | null }
  | { kind: 'matching'; what: 'any' | 'files' | 'dirs'; globs: string[]; rows: string[] | null };

/** A queue statement. */
export interface Queue {
  line: number;
  column: number;
  /** Source text of the statement. */
  text: string;
  /** Expression for the number of processes per item. */
  count: string;
  variables: string[];
  items: Items;
  slice: { from: number | null; to: number | null; step: number } | null;
  /** Settings that precede the statement. */
  settings: Settings;
}

const LIMITS = { text: 64 * 1024, lines: 20_000, items: 100_000, ifs: 32 };
/** HTCondor version that `if version` compares with. */
const HTCONDOR_VERSION = [10, 0, 0];
const NO_PROCESS_MACROS: ReadonlyMap<string, string> = new Map();

/** Parses a submit file and returns its queue statements. Throws `SubmitError`. */
export function parseSubmit(text: string): Queue[] {
  if (Buffer.byteLength(text) > LIMITS.text)
    throw new SubmitError(
      `longer than ${LIMITS.text / 1024} KiB: give long item lists in a file, or part them`,
      1,
      1,
    );
  return new SubmitFileParser(text).parse();
}

/** Returns the selected items of a queue statement, one a row; its files must have been read. */
export function rowsOf(queue: Queue): string[] {
  const { items } = queue;
  if (items.kind === 'none') return [''];
  if (items.rows === null) throw new SubmitError('its items have not been read', queue.line, queue.column);
  const rows = items.rows;
  if (!queue.slice) return rows;
  const resolveIndex = (n: number | null, fallback: number) =>
    n === null ? fallback : n < 0 ? Math.max(0, rows.length + n) : Math.min(rows.length, n);
  const selected: string[] = [];
  const to = resolveIndex(queue.slice.to, rows.length);
  for (let i = resolveIndex(queue.slice.from, 0); i < to; i += queue.slice.step) selected.push(rows[i]!);
  return selected;
}

/** Splits one row into the variables of its queue statement; the last variable takes the rest of the row. */
export function splitRow(row: string, variables: readonly string[]): Map<string, string> {
  const values = new Map<string, string>();
  let rest = row.trim();
  variables.forEach((v, i) => {
    const hasNext = i < variables.length - 1;
    const field = hasNext ? /^(?:"([^"]*)"|([^\s,]*))(?:\s*,\s*|\s+|$)/.exec(rest) : null;
    values.set(v.toLowerCase(), hasNext ? (field?.[1] ?? field?.[2] ?? '') : rest);
    if (field) rest = rest.slice(field[0].length);
  });
  return values;
}

class SubmitFileParser {
  private readonly lines: string[];
  private lineIndex = 0;
  private readonly settings = new Map<string, Setting>();
  private readonly queues: Queue[] = [];
  /** The open `if` statements: whether the current branch is active, a branch was taken, and `else` was reached. */
  private readonly openConditionals: { active: boolean; taken: boolean; inElse: boolean; line: number }[] =
    [];

  constructor(text: string) {
    this.lines = text.split(/\r?\n/);
    if (this.lines.length > LIMITS.lines)
      throw new SubmitError(`more than ${LIMITS.lines} lines`, LIMITS.lines, 1);
  }

  parse(): Queue[] {
    while (this.lineIndex < this.lines.length) this.parseStatement();
    const open = this.openConditionals.at(-1);
    if (open) throw new SubmitError('"if" without "endif"', open.line, 1);
    if (this.queues.length === 0)
      throw new SubmitError('"queue" was expected: nothing is submitted', this.lines.length, 1);
    return this.queues;
  }

  private get isActive(): boolean {
    return this.openConditionals.every((conditional) => conditional.active);
  }

  private parseStatement(): void {
    const line = this.lineIndex + 1;
    let text = this.lines[this.lineIndex++]!;
    if (/^\s*(#.*)?$/.test(text)) return;
    while (/\\\s*$/.test(text) && this.lineIndex < this.lines.length)
      text = `${text.replace(/\\\s*$/, '')}${this.lines[this.lineIndex++]!.replace(/^\s*#.*$/, '')}`;
    const column = text.search(/\S/) + 1;
    const keyword = /^\s*([A-Za-z]+)\b/.exec(text)?.[1]?.toLowerCase();
    const isAssignment = /^\s*[+A-Za-z_][\w.]*\s*@?=/.test(text);
    if (
      !isAssignment &&
      (keyword === 'if' || keyword === 'elif' || keyword === 'else' || keyword === 'endif')
    ) {
      this.parseConditional(keyword, text, line, column);
      return;
    }
    if (!this.isActive) return;
    if (!isAssignment && keyword === 'queue') this.parseQueue(text, line, column);
    else if (!isAssignment && keyword === 'include')
      throw new SubmitError(
        'include is not read here: put the lines of that file in its place',
        line,
        column,
      );
    else this.parseAssignment(text, line, column);
  }

  private parseConditional(
    keyword: 'if' | 'elif' | 'else' | 'endif',
    text: string,
    line: number,
    column: number,
  ): void {
    const last = this.openConditionals.at(-1);
    if (keyword === 'if') {
      if (this.openConditionals.length >= LIMITS.ifs)
        throw new SubmitError(`"if" nested deeper than ${LIMITS.ifs}`, line, column);
      const active = this.isActive && this.evaluateCondition(text, 'if', line);
      this.openConditionals.push({ active, taken: active, inElse: false, line });
      return;
    }
    if (!last) throw new SubmitError(`"${keyword}" without "if"`, line, column);
    if (keyword === 'endif') {
      this.openConditionals.pop();
      return;
    }
    if (last.inElse) throw new SubmitError(`"${keyword}" after "else"`, line, column);
    const outerActive = this.openConditionals.slice(0, -1).every((conditional) => conditional.active);
    last.active =
      outerActive && !last.taken && (keyword === 'else' || this.evaluateCondition(text, keyword, line));
    last.taken ||= last.active;
    last.inElse = keyword === 'else';
  }

  private evaluateCondition(text: string, keyword: string, line: number): boolean {
    const from = text.toLowerCase().indexOf(keyword) + keyword.length;
    const column = from + 2;
    const raw = text.slice(from).trim();
    const negated = raw.startsWith('!');
    const conditionText = negated ? raw.slice(1).trim() : raw;
    const fail = (): never => {
      throw new SubmitError(
        `a condition was expected after "${keyword}": defined NAME, version >= 8.0, or a truth`,
        line,
        column,
      );
    };
    const defined = /^defined\s+(\S+)$/i.exec(conditionText);
    const version = /^version\s*(==|!=|<=|>=|<|>)\s*(\d+(?:\.\d+)*)$/i.exec(conditionText);
    let holds: boolean | null;
    if (defined) holds = this.settings.has(defined[1]!.replace(/^\$\((.*)\)$/, '$1').toLowerCase());
    else if (version) holds = compareVersion(version[1]!, version[2]!);
    else {
      const expanded = new MacroExpander(this.settings, NO_PROCESS_MACROS).expand(
        conditionText,
        line,
        column,
      );
      try {
        holds = asBoolean(evaluate(parseExpr(expanded === '' ? 'false' : expanded), { my: new Ad() }));
      } catch (error) {
        if (!(error instanceof ClassAdError)) throw error;
        holds = fail();
      }
    }
    return holds === null ? fail() : holds !== negated;
  }

  private parseAssignment(text: string, line: number, column: number): void {
    const match = /^(\s*)(\+?|MY\.)([A-Za-z_][\w.]*)(\s*)(@?=)(\s*)(.*)$/i.exec(text);
    if (!match) throw new SubmitError('"name = value", "queue" or "if" was expected', line, column);
    const isAttribute = match[2] !== '' || /^my\./i.test(match[3]!);
    const name = (isAttribute ? '+' : '') + match[3]!.replace(/^my\./i, '');
    let value = match[7]!.trimEnd();
    if (match[5] === '@=') value = this.readBlock(value.trim(), line, column);
    const key = name.toLowerCase();
    const previous = this.settings.get(key)?.value ?? '';
    // A setting may refer to its own previous value.
    const selfReference = new RegExp(`\\$\\(\\s*${key.replace(/[+.]/g, '\\$&')}\\s*\\)`, 'gi');
    value = value.replace(selfReference, () => previous);
    if (value.length > LIMITS.text) throw new SubmitError('a value that is too long', line, column);
    const start =
      match[1]!.length +
      match[2]!.length +
      match[3]!.length +
      match[4]!.length +
      match[5]!.length +
      match[6]!.length +
      1;
    this.settings.set(key, { name, value, line, column: start });
  }

  /** Reads the lines up to `@tag`. */
  private readBlock(tag: string, line: number, column: number): string {
    const lines: string[] = [];
    while (this.lineIndex < this.lines.length) {
      const text = this.lines[this.lineIndex++]!;
      if (text.trim() === `@${tag}`) return lines.join('\n');
      lines.push(text);
    }
    throw new SubmitError(`"@${tag}" was expected to end this`, line, column);
  }

  private parseQueue(text: string, line: number, column: number): void {
    const macros = new MacroExpander(this.settings, NO_PROCESS_MACROS);
    const fail = (message: string, at = column): never => {
      throw new SubmitError(message, line, at);
    };
    const body = text.trim().slice('queue'.length);
    const match = /^\s*(.*?)(?:\b(in|from|matching)\b(.*))?$/is.exec(body)!;
    const head = match[1]!.trim();
    const countMatch = /^(\$?\(.*\)|\d+|\$\([^)]*\)|[\d\s+*/()-]+)?\s*(.*)$/s.exec(head)!;
    const variables = countMatch[2]! === '' ? [] : countMatch[2]!.split(/[\s,]+/);
    const invalid = variables.find((v) => !/^[A-Za-z_]\w*$/.test(v));
    if (invalid !== undefined)
      fail(`a number or a name was expected after "queue", not "${invalid}"`, text.indexOf(invalid) + 1);
    const keyword = match[2]?.toLowerCase();
    if (!keyword && variables.length > 0)
      fail(`"in", "from" or "matching" was expected after ${variables.join(', ')}`);
    let rest = (match[3] ?? '').trim();
    const range = keyword ? /^\[\s*(-?\d*)\s*(?::\s*(-?\d*)\s*(?::\s*(\d*)\s*)?)?\]\s*/.exec(rest) : null;
    if (range) rest = rest.slice(range[0].length);
    const parseIndex = (s: string | undefined) => (s === undefined || s === '' ? null : Number(s));
    const slice = range && {
      from: parseIndex(range[1]),
      to: parseIndex(range[2]),
      step: Math.max(1, parseIndex(range[3]) ?? 1),
    };
    const items = keyword
      ? this.parseItems(keyword, macros.expand(rest, line, column), fail)
      : { kind: 'none' as const };
    if (keyword && variables.length === 0) variables.push('Item');
    this.queues.push({
      text,
      line,
      column,
      count: macros.expand(countMatch[1]?.trim() || '1', line, column),
      variables,
      items,
      slice,
      settings: new Map(this.settings),
    });
  }

  private parseItems(kind: string, rest: string, fail: (message: string) => never): Items {
    let text = rest;
    // A list in parentheses may span several lines.
    const lines: string[] = [];
    if (text.startsWith('(')) {
      text = text.slice(1);
      while (!text.includes(')') || (kind === 'from' && !/^\s*\)\s*$/.test(text) && !/\)\s*$/.test(text))) {
        lines.push(text);
        const next = this.lines[this.lineIndex++];
        if (next === undefined) return fail('")" was expected to end the items');
        text = next;
      }
      lines.push(text.slice(0, text.lastIndexOf(')')));
      const nonEmpty = lines.map((l) => l.trim()).filter((l) => l !== '' && !l.startsWith('#'));
      const rows =
        kind === 'from' ? nonEmpty : nonEmpty.flatMap((l) => l.split(/[\s,]+/)).filter((l) => l !== '');
      if (rows.length > LIMITS.items) return fail(`more than ${LIMITS.items} items`);
      if (kind === 'from') return { kind: 'from', file: null, rows };
      return kind === 'in'
        ? { kind: 'in', rows }
        : { kind: 'matching', what: 'any', globs: rows, rows: null };
    }
    if (text === '') return fail(`items were expected after "${kind}"`);
    if (kind === 'in') return { kind: 'in', rows: text.split(/[\s,]+/).filter((l) => l !== '') };
    if (kind === 'from') {
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
  const operand = text.split('.').map(Number);
  let sign = 0;
  for (let i = 0; i < 3 && sign === 0; i++) sign = HTCONDOR_VERSION[i]! - (operand[i] ?? 0);
  if (op === '==') return sign === 0;
  if (op === '!=') return sign !== 0;
  if (op.startsWith('<')) return sign < 0 || (op === '<=' && sign === 0);
  return sign > 0 || (op === '>=' && sign === 0);
}
