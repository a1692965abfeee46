import { type Ad, ErrorValue, type Expr, type Literal, PRECEDENCE, Undefined, type Value } from './ast.js';

const NAME = /^[A-Za-z_][A-Za-z0-9_]*$/;
const RESERVED = new Set(['true', 'false', 'undefined', 'error', 'is', 'isnt', 'my', 'target']);
const TERNARY = 0;
const UNARY = 11;
const POSTFIX = 12;

/** Prints an expression as text that parses to the same expression. */
export function printExpr(e: Expr): string {
  return print(e, TERNARY);
}

/** Prints an ad as text that can be parsed again. */
export function printAd(ad: Ad): string {
  const parts = [...ad].map(([name, e]) => `${printName(name)} = ${printExpr(e)}`);
  return parts.length === 0 ? '[ ]' : `[ ${parts.join('; ')} ]`;
}

/** Prints a value as text that can be parsed again. */
export function printValue(value: Value): string {
  if (Array.isArray(value)) return `{ ${value.map(printValue).join(', ')} }`;
  if (typeof value === 'object' && 'get' in value) return printAd(value);
  return printLiteral(value);
}

function quote(text: string): string {
  return `"${escapeText(text, '"')}"`;
}

const ESCAPE_SEQUENCES: Record<string, string> = {
  '\n': '\\n',
  '\t': '\\t',
  '\r': '\\r',
  '\b': '\\b',
  '\f': '\\f',
  '\\': '\\\\',
};

function escapeText(text: string, quoteMark: string): string {
  // biome-ignore lint/suspicious/noControlCharactersInRegex: control characters are what is escaped
  return text.replace(/[\u0000-\u001f\\"']/g, (c) => {
    if (c === '"' || c === "'") return c === quoteMark ? `\\${c}` : c;
    return ESCAPE_SEQUENCES[c] ?? `\\${c.charCodeAt(0).toString(8).padStart(3, '0')}`;
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

function print(expr: Expr, minPrecedence: number): string {
  const [text, precedence] = format(expr);
  return precedence < minPrecedence ? `(${text})` : text;
}

/** Returns the text of an expression and the precedence of its outermost operator. */
function format(expr: Expr): [string, number] {
  switch (expr.node) {
    case 'literal': {
      const text = printLiteral(expr.value);
      return [text, text.startsWith('-') ? UNARY : POSTFIX];
    }
    case 'name':
      return [
        expr.scope === null ? printName(expr.name) : `${expr.scope.toUpperCase()}.${printName(expr.name)}`,
        POSTFIX,
      ];
    case 'select': {
      // `(my).x` differs from `MY.x`, and `1.x` is not a selection.
      const of =
        expr.operand.node === 'literal' ? `(${print(expr.operand, TERNARY)})` : print(expr.operand, POSTFIX);
      return [`${of}.${printName(expr.name)}`, POSTFIX];
    }
    case 'index':
      return [`${print(expr.operand, POSTFIX)}[${print(expr.at, TERNARY)}]`, POSTFIX];
    case 'unary':
      return [`${expr.op}${print(expr.operand, UNARY)}`, UNARY];
    case 'binary': {
      const precedence = PRECEDENCE[expr.op];
      return [`${print(expr.left, precedence)} ${expr.op} ${print(expr.right, precedence + 1)}`, precedence];
    }
    case 'if':
      return [
        `${print(expr.test, 1)} ?${expr.consequent ? ` ${print(expr.consequent, TERNARY)} ` : ''}: ${print(expr.alternate, TERNARY)}`,
        TERNARY,
      ];
    case 'list':
      return [
        expr.items.length === 0 ? '{ }' : `{ ${expr.items.map((i) => print(i, TERNARY)).join(', ')} }`,
        POSTFIX,
      ];
    case 'ad':
      return [printAd(expr.ad), POSTFIX];
    case 'call':
      return [`${printName(expr.name)}(${expr.args.map((a) => print(a, TERNARY)).join(', ')})`, POSTFIX];
  }
}
