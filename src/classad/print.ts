import { type Ad, ErrorValue, type Expr, type Literal, PRECEDENCE, Undefined, type Value } from './ast.js';

const NAME = /^[A-Za-z_][A-Za-z0-9_]*$/;
const RESERVED = new Set(['true', 'false', 'undefined', 'error', 'is', 'isnt', 'my', 'target']);
const IF = 0;
const UNARY = 11;
const POSTFIX = 12;

/** An expression as text that reads back as the same. */
export function printExpr(e: Expr): string {
  return print(e, IF);
}

/** An ad as text that can be parsed again. */
export function printAd(ad: Ad): string {
  const parts = [...ad].map(([name, e]) => `${printName(name)} = ${printExpr(e)}`);
  return parts.length === 0 ? '[ ]' : `[ ${parts.join('; ')} ]`;
}

/** A value as text that can be parsed again. */
export function printValue(value: Value): string {
  if (Array.isArray(value)) return `{ ${value.map(printValue).join(', ')} }`;
  if (typeof value === 'object' && 'get' in value) return printAd(value);
  return printLiteral(value);
}

function quote(text: string): string {
  return `"${escapeText(text, '"')}"`;
}

const ESCAPED: Record<string, string> = {
  '\n': '\\n',
  '\t': '\\t',
  '\r': '\\r',
  '\b': '\\b',
  '\f': '\\f',
  '\\': '\\\\',
};

function escapeText(text: string, mark: string): string {
  // biome-ignore lint/suspicious/noControlCharactersInRegex: control characters are what is escaped
  return text.replace(/[\u0000-\u001f\\"']/g, (c) => {
    if (c === '"' || c === "'") return c === mark ? `\\${c}` : c;
    return ESCAPED[c] ?? `\\${c.charCodeAt(0).toString(8).padStart(3, '0')}`;
  });
}

function printName(name: string): string {
  return NAME.test(name) && !RESERVED.has(name.toLowerCase()) ? name : `'${escapeText(name, "'")}'`;
}

function printLiteral(value: Literal): string {
  if (value instanceof Undefined) return 'undefined';
  if (value instanceof ErrorValue) return 'error';
  if (typeof value === 'string') return quote(value);
  if (typeof value !== 'number') return String(value);
  if (!Number.isFinite(value))
    return Number.isNaN(value) ? 'real("NaN")' : `real("${value > 0 ? '' : '-'}INF")`;
  const text = String(value);
  return /[.e]/.test(text) ? text : `${text}.0`;
}

function print(e: Expr, within: number): string {
  const [text, binds] = form(e);
  return binds < within ? `(${text})` : text;
}

/** Its text, and how tightly that binds. */
function form(e: Expr): [string, number] {
  switch (e.node) {
    case 'literal': {
      const text = printLiteral(e.value);
      return [text, text.startsWith('-') ? UNARY : POSTFIX];
    }
    case 'name':
      return [
        e.scope === null ? printName(e.name) : `${e.scope.toUpperCase()}.${printName(e.name)}`,
        POSTFIX,
      ];
    case 'select': {
      // `(my).x` is not `MY.x`, and `1.x` is no selection.
      const of = e.of.node === 'literal' ? `(${print(e.of, IF)})` : print(e.of, POSTFIX);
      return [`${of}.${printName(e.name)}`, POSTFIX];
    }
    case 'index':
      return [`${print(e.of, POSTFIX)}[${print(e.at, IF)}]`, POSTFIX];
    case 'unary':
      return [`${e.op}${print(e.of, UNARY)}`, UNARY];
    case 'binary': {
      const p = PRECEDENCE[e.op];
      return [`${print(e.left, p)} ${e.op} ${print(e.right, p + 1)}`, p];
    }
    case 'if':
      return [`${print(e.test, 1)} ?${e.yes ? ` ${print(e.yes, IF)} ` : ''}: ${print(e.no, IF)}`, IF];
    case 'list':
      return [e.items.length === 0 ? '{ }' : `{ ${e.items.map((i) => print(i, IF)).join(', ')} }`, POSTFIX];
    case 'ad':
      return [printAd(e.ad), POSTFIX];
    case 'call':
      return [`${printName(e.name)}(${e.args.map((a) => print(a, IF)).join(', ')})`, POSTFIX];
  }
}
