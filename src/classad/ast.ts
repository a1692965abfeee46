// This package: ClassAd expressions: reading, printing, evaluating. Pure, and bounded whatever is read.

/** What an expression may cost: a hostile one ends in an error, never in a stall. */
export const LIMITS = {
  /** Characters of one expression, and of one string that it makes. */
  text: 64 * 1024,
  /** Brackets, operators and calls within each other. */
  depth: 100,
  /** Nodes and list items looked at in one evaluation. */
  steps: 100_000,
  list: 10_000,
} as const;

/** No value: an attribute that is not there. */
export class Undefined {
  readonly kind = 'undefined';
}
/** The one value of what is undefined. */
export const UNDEFINED = new Undefined();

/** What has no meaning; `why` is for people and takes no part in comparisons. */
export class ErrorValue {
  readonly kind = 'error';
  constructor(readonly why: string) {}
}

/** Integers are 64 bits wide (`bigint`), reals are numbers. */
export type Value = Undefined | ErrorValue | boolean | bigint | number | string | Value[] | Ad;

/** A value that can be written as it is. */
export type Literal = Undefined | ErrorValue | boolean | bigint | number | string;

/** Whose attribute a name means: this ad's, the other ad's, or whichever has it. */
export type Scope = 'my' | 'target' | null;

/** Operators with one operand. */
export type UnaryOp = '-' | '+' | '!' | '~';
/** Operators with two operands. */
export type BinaryOp = keyof typeof PRECEDENCE;

/** A parsed expression. */
export type Expr =
  | { node: 'literal'; value: Literal }
  /** An attribute by its name, as it was written. */
  | { node: 'name'; scope: Scope; name: string }
  | { node: 'select'; operand: Expr; name: string }
  | { node: 'index'; operand: Expr; at: Expr }
  | { node: 'unary'; op: UnaryOp; operand: Expr }
  | { node: 'binary'; op: BinaryOp; left: Expr; right: Expr }
  /** `yes` is null in `a ?: b`, which is `a` unless that is undefined. */
  | { node: 'if'; test: Expr; consequent: Expr | null; alternate: Expr }
  | { node: 'list'; items: Expr[] }
  | { node: 'ad'; ad: Ad }
  | { node: 'call'; name: string; args: Expr[] };

/** How tightly operators bind; all of them to the left. */
export const PRECEDENCE = {
  '||': 1,
  '&&': 2,
  '|': 3,
  '^': 4,
  '&': 5,
  '==': 6,
  '!=': 6,
  '=?=': 6,
  '=!=': 6,
  '<': 7,
  '<=': 7,
  '>': 7,
  '>=': 7,
  '<<': 8,
  '>>': 8,
  '>>>': 8,
  '+': 9,
  '-': 9,
  '*': 10,
  '/': 10,
  '%': 10,
} as const;

/** Attributes by name, whatever the case; names keep the case in which they were first written. */
export class Ad {
  private readonly attributes = new Map<string, { name: string; expr: Expr }>();
  /** The ad that this one is written in. */
  parent: Ad | null = null;

  get size(): number {
    return this.attributes.size;
  }

  set(name: string, expr: Expr): this {
    const key = name.toLowerCase();
    this.attributes.set(key, { name: this.attributes.get(key)?.name ?? name, expr });
    for (const nested of nestedAds(expr)) nested.parent = this;
    return this;
  }

  setValue(name: string, value: Literal): this {
    return this.set(name, { node: 'literal', value });
  }

  get(name: string): Expr | undefined {
    return this.attributes.get(name.toLowerCase())?.expr;
  }

  has(name: string): boolean {
    return this.attributes.has(name.toLowerCase());
  }

  delete(name: string): void {
    this.attributes.delete(name.toLowerCase());
  }

  *[Symbol.iterator](): Iterator<[string, Expr]> {
    for (const { name, expr } of this.attributes.values()) yield [name, expr];
  }

  copy(): Ad {
    const ad = new Ad();
    for (const [name, expr] of this) ad.attributes.set(name.toLowerCase(), { name, expr });
    ad.parent = this.parent;
    return ad;
  }
}

function nestedAds(expr: Expr): Ad[] {
  if (expr.node === 'ad') return [expr.ad];
  return childrenOf(expr).flatMap(nestedAds);
}

/** The expressions that one is made of, nested ads apart. */
export function childrenOf(expr: Expr): Expr[] {
  switch (expr.node) {
    case 'literal':
    case 'name':
    case 'ad':
      return [];
    case 'select':
    case 'unary':
      return [expr.operand];
    case 'index':
      return [expr.operand, expr.at];
    case 'binary':
      return [expr.left, expr.right];
    case 'if':
      return expr.consequent ? [expr.test, expr.consequent, expr.alternate] : [expr.test, expr.alternate];
    case 'list':
      return expr.items;
    case 'call':
      return expr.args;
  }
}

/** Whether a value is neither a list nor an ad. */
export function isLiteral(value: Value): value is Literal {
  return !Array.isArray(value) && !(value instanceof Ad);
}
