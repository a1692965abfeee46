// ClassAd expressions: parsing, printing and evaluation. Pure functions whose cost is bounded for any input.

/** Resource limits of expressions: a hostile expression ends in an error and never blocks the process. */
export const LIMITS = {
  /** Maximum length, in characters, of an expression and of a string that it produces. */
  text: 64 * 1024,
  /** Maximum nesting depth of brackets, operators and calls. */
  depth: 100,
  /** Maximum number of nodes and list items visited in one evaluation. */
  steps: 100_000,
  list: 10_000,
} as const;

/** Type of the undefined value: the value of a missing attribute. */
export class Undefined {
  readonly kind = 'undefined';
}
/** The only instance of the undefined value. */
export const UNDEFINED = new Undefined();

/** Error value: the result of a meaningless operation. `why` is for people and is ignored in comparisons. */
export class ErrorValue {
  readonly kind = 'error';
  constructor(readonly why: string) {}
}

/** A ClassAd value. Integers are 64 bits wide (`bigint`), reals are numbers. */
export type Value = Undefined | ErrorValue | boolean | bigint | number | string | Value[] | Ad;

/** A value that has a literal form: any value but lists and ads. */
export type Literal = Undefined | ErrorValue | boolean | bigint | number | string;

/** Scope of an attribute reference: this ad, the target ad, or (null) the first ad that has the attribute. */
export type Scope = 'my' | 'target' | null;

/** Unary operators. */
export type UnaryOp = '-' | '+' | '!' | '~';
/** Binary operators. */
export type BinaryOp = keyof typeof PRECEDENCE;

/** Node of the syntax tree of an expression. */
export type Expr =
  | { node: 'literal'; value: Literal }
  /** An attribute reference; the name keeps the case in which it was written. */
  | { node: 'name'; scope: Scope; name: string }
  | { node: 'select'; operand: Expr; name: string }
  | { node: 'index'; operand: Expr; at: Expr }
  | { node: 'unary'; op: UnaryOp; operand: Expr }
  | { node: 'binary'; op: BinaryOp; left: Expr; right: Expr }
  /** `consequent` is null in `a ?: b`, which evaluates to `a` unless that is undefined. */
  | { node: 'if'; test: Expr; consequent: Expr | null; alternate: Expr }
  | { node: 'list'; items: Expr[] }
  | { node: 'ad'; ad: Ad }
  | { node: 'call'; name: string; args: Expr[] };

/** Operator precedence; a higher number binds tighter. Binary operators are left-associative. */
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

/** Attributes by case-insensitive name; a name keeps the case in which it was first written. */
export class Ad {
  private readonly attributes = new Map<string, { name: string; expr: Expr }>();
  /** The enclosing ad, if this one is nested. */
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

/** Returns the direct subexpressions of an expression; the attributes of nested ads are not included. */
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

/** Returns whether a value is neither a list nor an ad. */
export function isLiteral(value: Value): value is Literal {
  return !Array.isArray(value) && !(value instanceof Ad);
}
