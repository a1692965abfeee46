import { createToken, EmbeddedActionsParser, type IToken, Lexer, type TokenType } from 'chevrotain';
import { InvalidInputError } from '../errors/errors.js';
import {
  Ad,
  type BinaryOp,
  ErrorValue,
  type Expr,
  LIMITS,
  type Literal,
  PRECEDENCE,
  UNDEFINED,
  type UnaryOp,
} from './ast.js';

/** A syntax error; line and column count from 1 in the parsed text. */
export class ClassAdError extends InvalidInputError {
  constructor(
    message: string,
    readonly line: number,
    readonly column: number,
  ) {
    super(message);
  }
}

const token = (name: string, pattern: RegExp | string, more: object = {}) =>
  createToken({ name, pattern, ...more });

const Space = token('Space', /[\s]+/, { group: Lexer.SKIPPED, line_breaks: true });
const LineComment = token('LineComment', /\/\/[^\n]*/, { group: Lexer.SKIPPED });
const BlockComment = token('BlockComment', /\/\*[\s\S]*?\*\//, { group: Lexer.SKIPPED, line_breaks: true });
const Text = token('Text', /"(?:[^"\\]|\\[\s\S])*"/, { line_breaks: true });
const QuotedName = token('QuotedName', /'(?:[^'\\]|\\[\s\S])+'/, { line_breaks: true });
const Real = token(
  'Real',
  /(?:\d+\.\d*|\.\d+)(?:[eE][+-]?\d+)?[kKmMgGtT]?(?![A-Za-z0-9_])|\d+[eE][+-]?\d+(?![A-Za-z0-9_])/,
);
const Integer = token('Integer', /0[xX][0-9a-fA-F]+(?![A-Za-z0-9_])|\d+[kKmMgGtTbB]?(?![A-Za-z0-9_])/);
const Name = token('Name', /[A-Za-z_][A-Za-z0-9_]*/);
const Operator = token('Operator', /=\?=|=!=|==|!=|<<|>>>|>>|<=|>=|&&|\|\||[<>&|^*/%]/);
const Sign = token('Sign', /[+-]/);
const Not = token('Not', /[!~]/);
const Assign = token('Assign', '=');
const Question = token('Question', '?');
const Colon = token('Colon', ':');
const Semicolon = token('Semicolon', ';');
const Comma = token('Comma', ',');
const Dot = token('Dot', '.');
const Open = token('Open', '(');
const Close = token('Close', ')');
const OpenList = token('OpenList', '{');
const CloseList = token('CloseList', '}');
const OpenAd = token('OpenAd', '[');
const CloseAd = token('CloseAd', ']');

const TOKENS: TokenType[] = [
  Space,
  LineComment,
  BlockComment,
  Text,
  QuotedName,
  Real,
  Integer,
  Name,
  Operator,
  Sign,
  Not,
  Assign,
  Question,
  Colon,
  Semicolon,
  Comma,
  Dot,
  Open,
  Close,
  OpenList,
  CloseList,
  OpenAd,
  CloseAd,
];
const lexer = new Lexer(TOKENS, { ensureOptimizations: false });
const WORD_OPERATORS: Record<string, BinaryOp> = { is: '=?=', isnt: '=!=' };
const SIZE_SUFFIXES: Record<string, number> = { b: 0, k: 1, m: 2, g: 3, t: 4 };

class Grammar extends EmbeddedActionsParser {
  constructor() {
    // Validating the grammar takes most of the start-up time; mistakes in it are found by its tests instead.
    super(TOKENS, { maxLookahead: 2, skipValidations: true });
    this.performSelfAnalysis();
  }

  /** Parses a sequence of operands and operators, which is then combined by operator precedence. */
  readonly expression = this.RULE('expression', (): Expr => {
    const operands = [this.SUBRULE(this.unary)];
    const operators: BinaryOp[] = [];
    this.MANY(() => {
      operators.push(this.SUBRULE(this.operator));
      operands.push(this.SUBRULE2(this.unary));
    });
    const test = this.ACTION(() => applyPrecedence(operands, operators));
    const rest = this.OPTION(() => {
      this.CONSUME(Question);
      let yes: Expr | null = null;
      this.OPTION2(() => {
        yes = this.SUBRULE(this.expression);
      });
      this.CONSUME(Colon);
      return { yes, no: this.SUBRULE2(this.expression) };
    });
    return rest ? { node: 'if', test, consequent: rest.yes, alternate: rest.no } : test;
  });

  private readonly operator = this.RULE(
    'operator',
    (): BinaryOp =>
      this.OR([
        { ALT: () => this.CONSUME(Operator).image as BinaryOp },
        { ALT: () => this.CONSUME(Sign).image as BinaryOp },
        {
          GATE: () => this.LA(1).image.toLowerCase() in WORD_OPERATORS,
          ALT: () => {
            const { image } = this.CONSUME(Name);
            return this.ACTION(() => WORD_OPERATORS[image.toLowerCase()]!);
          },
        },
      ]),
  );

  private readonly unary = this.RULE('unary', (): Expr => {
    const ops: UnaryOp[] = [];
    this.MANY(() => {
      const op = this.OR([{ ALT: () => this.CONSUME(Sign) }, { ALT: () => this.CONSUME(Not) }]);
      ops.push(op.image as UnaryOp);
    });
    const of = this.SUBRULE(this.postfix);
    return this.ACTION(() => ops.reduceRight<Expr>((e, op) => ({ node: 'unary', op, operand: e }), of));
  });

  private readonly postfix = this.RULE('postfix', (): Expr => {
    let expr = this.SUBRULE(this.primary);
    this.MANY(() => {
      this.OR([
        {
          ALT: () => {
            this.CONSUME(Dot);
            const name = this.SUBRULE(this.name);
            expr = this.ACTION(() => select(expr, name));
          },
        },
        {
          ALT: () => {
            this.CONSUME(OpenAd);
            const at = this.SUBRULE(this.expression);
            this.CONSUME(CloseAd);
            expr = { node: 'index', operand: expr, at };
          },
        },
      ]);
    });
    return expr;
  });

  private literal(type: TokenType, lexed: (t: IToken) => Literal): Expr {
    const t = this.CONSUME(type);
    return this.ACTION((): Expr => ({ node: 'literal', value: lexed(t) }));
  }

  private readonly primary = this.RULE(
    'primary',
    (): Expr =>
      this.OR([
        { ALT: () => this.literal(Integer, parseInteger) },
        { ALT: () => this.literal(Real, (t) => parseReal(t.image)) },
        { ALT: () => this.literal(Text, (t) => unescapeQuoted(t.image)) },
        {
          ALT: () => {
            this.CONSUME(Open);
            const e = this.SUBRULE(this.expression);
            this.CONSUME(Close);
            return e;
          },
        },
        { ALT: (): Expr => ({ node: 'list', items: this.SUBRULE(this.list) }) },
        { ALT: (): Expr => ({ node: 'ad', ad: this.SUBRULE(this.ad) }) },
        { ALT: () => this.SUBRULE(this.named) },
      ]),
  );

  private readonly list = this.RULE('list', (): Expr[] => {
    const items: Expr[] = [];
    this.CONSUME(OpenList);
    this.MANY_SEP({ SEP: Comma, DEF: () => items.push(this.SUBRULE(this.expression)) });
    this.CONSUME(CloseList);
    return items;
  });

  readonly ad = this.RULE('ad', (): Ad => {
    const ad = new Ad();
    this.CONSUME(OpenAd);
    this.MANY(() => {
      this.OR([
        { ALT: () => this.CONSUME(Semicolon) },
        {
          ALT: () => {
            const name = this.SUBRULE(this.name);
            this.CONSUME(Assign);
            const e = this.SUBRULE(this.expression);
            this.ACTION(() => ad.set(name, e));
          },
        },
      ]);
    });
    this.CONSUME(CloseAd);
    return ad;
  });

  /** Parses an attribute name, a constant such as `true`, or a function call. */
  private readonly named = this.RULE('named', (): Expr => {
    const quoted = this.LA(1).tokenType === QuotedName;
    const name = this.SUBRULE(this.name);
    const args = this.OPTION(() => {
      const list: Expr[] = [];
      this.CONSUME(Open);
      this.MANY_SEP({ SEP: Comma, DEF: () => list.push(this.SUBRULE(this.expression)) });
      this.CONSUME(Close);
      return list;
    });
    return this.ACTION(() =>
      args ? { node: 'call', name, args } : quoted ? attribute(name) : constant(name),
    );
  });

  private readonly name = this.RULE('name', (): string =>
    this.OR([
      { ALT: () => this.CONSUME(Name).image },
      {
        ALT: () => {
          const t = this.CONSUME(QuotedName);
          return this.ACTION(() => unescapeQuoted(t.image));
        },
      },
    ]),
  );
}

const grammar = new Grammar();

function attribute(name: string): Expr {
  return { node: 'name', scope: null, name };
}

function constant(name: string): Expr {
  switch (name.toLowerCase()) {
    case 'true':
      return { node: 'literal', value: true };
    case 'false':
      return { node: 'literal', value: false };
    case 'undefined':
      return { node: 'literal', value: UNDEFINED };
    case 'error':
      return { node: 'literal', value: new ErrorValue('written as such') };
    default:
      return attribute(name);
  }
}

function select(operand: Expr, name: string): Expr {
  if (operand.node === 'name' && operand.scope === null) {
    const scope = operand.name.toLowerCase();
    if (scope === 'my' || scope === 'target') return { node: 'name', scope, name };
  }
  return { node: 'select', operand, name };
}

function applyPrecedence(operands: Expr[], operators: BinaryOp[]): Expr {
  const output: Expr[] = [operands[0]!];
  const pending: BinaryOp[] = [];
  const reduce = () => {
    const right = output.pop()!;
    const left = output.pop()!;
    output.push({ node: 'binary', op: pending.pop()!, left, right });
  };
  operators.forEach((op, i) => {
    while (pending.length > 0 && PRECEDENCE[pending.at(-1)!] >= PRECEDENCE[op]) reduce();
    pending.push(op);
    output.push(operands[i + 1]!);
  });
  while (pending.length > 0) reduce();
  return output[0]!;
}

function splitSizeSuffix(image: string): { digits: string; factor: number } {
  const size = SIZE_SUFFIXES[image.at(-1)!.toLowerCase()];
  return size === undefined
    ? { digits: image, factor: 1 }
    : { digits: image.slice(0, -1), factor: 1024 ** size };
}

function parseInteger(integerToken: IToken): bigint {
  if (/^0x/i.test(integerToken.image)) return BigInt.asIntN(64, BigInt(integerToken.image));
  const { digits, factor } = splitSizeSuffix(integerToken.image);
  const value = BigInt(digits) * BigInt(factor);
  if (value > 2n ** 63n)
    throw new ClassAdError(
      'an integer beyond 64 bits',
      integerToken.startLine ?? 1,
      integerToken.startColumn ?? 1,
    );
  return BigInt.asIntN(64, value);
}

function parseReal(image: string): number {
  const { digits, factor } = splitSizeSuffix(image);
  return Number(digits) * factor;
}

const ESCAPES: Record<string, string> = { n: '\n', t: '\t', r: '\r', b: '\b', f: '\f' };

function unescapeQuoted(image: string): string {
  return image
    .slice(1, -1)
    .replace(/\\([0-3]?[0-7]{1,2}|[\s\S])/g, (_, c: string) =>
      /^[0-7]/.test(c) ? String.fromCharCode(Number.parseInt(c, 8)) : (ESCAPES[c] ?? c),
    );
}

const OPENING = new Set([Open, OpenList, OpenAd]);
const CLOSING = new Set([Close, CloseList, CloseAd]);

function tokenize(text: string): IToken[] {
  if (text.length > LIMITS.text) throw new ClassAdError(`longer than ${LIMITS.text} characters`, 1, 1);
  const lexed = lexer.tokenize(text);
  const [lexingError] = lexed.errors;
  if (lexingError) {
    const found = text.slice(lexingError.offset, lexingError.offset + 1);
    const message =
      found === '"' ? 'a string that does not end' : `${JSON.stringify(found)} has no meaning here`;
    throw new ClassAdError(message, lexingError.line ?? 1, lexingError.column ?? 1);
  }
  let depth = 0;
  let unbracketedNesting = 0;
  for (const current of lexed.tokens) {
    if (OPENING.has(current.tokenType)) depth++;
    if (CLOSING.has(current.tokenType)) depth--;
    // Unary signs and conditional operators nest without brackets.
    unbracketedNesting = [Sign, Not, Question, Colon].includes(current.tokenType)
      ? unbracketedNesting + 1
      : [Comma, Semicolon].includes(current.tokenType)
        ? 0
        : unbracketedNesting;
    if (depth > LIMITS.depth || unbracketedNesting > LIMITS.depth * 5)
      throw new ClassAdError(
        `nested deeper than ${LIMITS.depth}`,
        current.startLine ?? 1,
        current.startColumn ?? 1,
      );
  }
  return lexed.tokens;
}

function parseWith<T>(text: string, rule: () => T): T {
  grammar.input = tokenize(text);
  const result = rule();
  const [error] = grammar.errors;
  if (!error) return result;
  const position = error.token.tokenType.name === 'EOF' ? grammar.input.at(-1) : error.token;
  const found = error.token.image === '' ? 'the end' : JSON.stringify(error.token.image);
  const column = position === error.token ? (position.startColumn ?? 1) : (position?.endColumn ?? 0) + 1;
  throw new ClassAdError(
    `${found} where ${EXPECTED_BY_ERROR[error.name] ?? 'something else'} was expected`,
    position?.startLine ?? 1,
    column,
  );
}

const EXPECTED_BY_ERROR: Record<string, string> = {
  MismatchedTokenException: 'a closing bracket, a name or "="',
  NoViableAltException: 'a value',
  NotAllInputParsedException: 'an operator or the end',
  EarlyExitException: 'a value',
};

/** Parses one expression. Throws `ClassAdError`. */
export function parseExpr(text: string): Expr {
  return parseWith(text, () => grammar.expression());
}

/**
 * Parses an ad in the new syntax, `[ a = 1; b = 2 ]`, or in the old one, with one attribute per line. Throws
 * `ClassAdError`.
 */
export function parseAd(text: string): Ad {
  if (/^\s*\[/.test(text)) return parseWith(text, () => grammar.ad());
  const ad = new Ad();
  text.split('\n').forEach((line, i) => {
    if (/^\s*(#.*|\/\/.*)?$/.test(line)) return;
    const named = /^\s*([A-Za-z_][\w.]*)\s*=(?![=?!])(.*)$/.exec(line);
    if (!named) throw new ClassAdError('"name = value" was expected', i + 1, 1);
    try {
      ad.set(named[1]!, parseExpr(named[2]!));
    } catch (error) {
      if (!(error instanceof ClassAdError)) throw error;
      throw new ClassAdError(error.message, i + 1, line.length - named[2]!.length + error.column);
    }
  });
  return ad;
}
