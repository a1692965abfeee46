import { SpartrayError } from '../errors/errors.js';
import {
  Ad,
  type BinaryOp,
  ErrorValue,
  type Expr,
  LIMITS,
  type Scope,
  UNDEFINED,
  Undefined,
  type Value,
} from './ast.js';
import { FUNCTIONS } from './functions.js';

/** Inputs of an evaluation besides the expression. */
export interface EvaluationContext {
  my: Ad;
  target?: Ad | null;
  /** Seconds since the epoch, for `time()`. */
  now?: number;
}

/** Aborts an evaluation that exceeds a resource limit. */
class EvaluationLimitError extends SpartrayError {}

/**
 * Evaluates an expression. Never throws: a meaningless operation, or an evaluation that exceeds a resource
 * limit, yields an error value.
 */
export function evaluate(expr: Expr, context: EvaluationContext): Value {
  try {
    return new Evaluation(context).value(expr, context.my);
  } catch (error) {
    if (error instanceof EvaluationLimitError) return new ErrorValue(error.message);
    if (error instanceof RangeError) return new ErrorValue('too deep or too large');
    throw error;
  }
}

/** A call as the implementation of a function sees it: unevaluated arguments and a way to evaluate them. */
export interface FunctionCall {
  args: Expr[];
  value(expr: Expr): Value;
  now: number;
  /** Charges steps in proportion to the data visited; exceeding the limit aborts the evaluation. */
  chargeSteps(steps: number): void;
}

/** Creates an error value; `reason` is for people. */
export function errorValue(reason: string): ErrorValue {
  return new ErrorValue(reason);
}

/** Converts a value to a number: booleans become 0 and 1; null for all other types. */
export function asNumber(v: Value): bigint | number | null {
  if (typeof v === 'boolean') return v ? 1n : 0n;
  return typeof v === 'bigint' || typeof v === 'number' ? v : null;
}

/** Converts a value to a boolean: numbers become whether they differ from 0; null for all other types. */
export function asBoolean(v: Value): boolean | null {
  if (typeof v === 'boolean') return v;
  if (typeof v === 'bigint') return v !== 0n;
  return typeof v === 'number' ? v !== 0 : null;
}

const wrapToInt64 = (n: bigint) => BigInt.asIntN(64, n);

class Evaluation {
  private steps = 0;
  private depth = 0;
  /** Attributes that are being evaluated, to detect an attribute that depends on itself. */
  private readonly resolving = new Set<Expr>();

  constructor(private readonly context: EvaluationContext) {}

  chargeSteps(steps: number): void {
    this.steps += steps;
    if (this.steps > LIMITS.steps) throw new EvaluationLimitError('takes too many steps');
  }

  value(expr: Expr, ad: Ad): Value {
    this.chargeSteps(1);
    if (++this.depth > LIMITS.depth * 8) throw new EvaluationLimitError('nested too deep');
    try {
      return this.node(expr, ad);
    } finally {
      this.depth--;
    }
  }

  private node(expr: Expr, ad: Ad): Value {
    switch (expr.node) {
      case 'literal':
        return expr.value;
      case 'name':
        return this.resolveName(expr.scope, expr.name, ad);
      case 'select':
        return this.selectAttribute(this.value(expr.operand, ad), expr.name);
      case 'index':
        return this.index(this.value(expr.operand, ad), this.value(expr.at, ad));
      case 'unary':
        return unary(expr.op, this.value(expr.operand, ad));
      case 'binary':
        return this.binary(expr.op, expr.left, expr.right, ad);
      case 'if': {
        const test = this.value(expr.test, ad);
        if (expr.consequent === null)
          return test instanceof Undefined ? this.value(expr.alternate, ad) : test;
        if (test instanceof Undefined || test instanceof ErrorValue) return test;
        const yes = asBoolean(test);
        return yes === null
          ? errorValue('a condition that is no boolean')
          : this.value(yes ? expr.consequent : expr.alternate, ad);
      }
      case 'list':
        return expr.items.map((i) => this.value(i, ad));
      case 'ad':
        return expr.ad;
      case 'call': {
        const implementation = FUNCTIONS.get(expr.name.toLowerCase());
        if (!implementation) return errorValue(`no function ${expr.name}`);
        return implementation({
          args: expr.args,
          value: (a) => this.value(a, ad),
          now: this.context.now ?? 0,
          chargeSteps: (steps) => this.chargeSteps(steps),
        });
      }
    }
  }

  /**
   * Resolves an attribute reference. A name without scope is looked up in the ad that contains it, then in the
   * enclosing ads, then in MY and last in TARGET.
   */
  private resolveName(scope: Scope, name: string, ad: Ad): Value {
    const { my, target } = this.context;
    if (scope === 'target') return target ? this.attributeValue(target, name) : UNDEFINED;
    if (scope === 'my') return this.attributeValue(my, name);
    for (let at: Ad | null = ad; at; at = at.parent) if (at.has(name)) return this.attributeValue(at, name);
    if (my.has(name)) return this.attributeValue(my, name);
    return target?.has(name) ? this.attributeValue(target, name) : UNDEFINED;
  }

  private attributeValue(ad: Ad, name: string): Value {
    const expr = ad.get(name);
    if (!expr) return UNDEFINED;
    if (expr.node === 'literal') return expr.value;
    if (this.resolving.has(expr)) return errorValue(`${name} needs itself`);
    this.resolving.add(expr);
    try {
      // An attribute of the target ad is evaluated with MY and TARGET swapped.
      if (ad === this.context.target) return this.evaluateAsTarget(expr, ad);
      return this.value(expr, ad);
    } finally {
      this.resolving.delete(expr);
    }
  }

  private evaluateAsTarget(expr: Expr, ad: Ad): Value {
    const swapped = new Evaluation({ ...this.context, my: ad, target: this.context.my });
    swapped.steps = this.steps;
    swapped.depth = this.depth;
    for (const active of this.resolving) swapped.resolving.add(active);
    const result = swapped.value(expr, ad);
    this.steps = swapped.steps;
    return result;
  }

  private selectAttribute(operand: Value, name: string): Value {
    if (operand instanceof Undefined || operand instanceof ErrorValue) return operand;
    return operand instanceof Ad
      ? this.attributeValue(operand, name)
      : errorValue(`.${name} of what is no ad`);
  }

  private index(of: Value, at: Value): Value {
    if (of instanceof Undefined || of instanceof ErrorValue) return of;
    if (at instanceof Undefined || at instanceof ErrorValue) return at;
    if (Array.isArray(of) && typeof at === 'bigint')
      return of[Number(at)] ?? errorValue('an index beyond its list');
    if (of instanceof Ad && typeof at === 'string') return this.attributeValue(of, at);
    return errorValue('an index that does not fit');
  }

  private binary(op: BinaryOp, left: Expr, right: Expr, ad: Ad): Value {
    const leftValue = this.value(left, ad);
    if (op === '&&' || op === '||') return this.evaluateLogical(op, leftValue, () => this.value(right, ad));
    const rightValue = this.value(right, ad);
    if (op === '=?=') return this.isIdentical(leftValue, rightValue);
    if (op === '=!=') return !this.isIdentical(leftValue, rightValue);
    if (leftValue instanceof ErrorValue) return leftValue;
    if (rightValue instanceof ErrorValue) return rightValue;
    if (leftValue instanceof Undefined || rightValue instanceof Undefined) return UNDEFINED;
    return op in COMPARISONS
      ? evaluateComparison(op, leftValue, rightValue)
      : arithmetic(op, leftValue, rightValue);
  }

  /**
   * Evaluates `&&` or `||` in three-valued logic. An operand that decides the result alone (false for `&&`,
   * true for `||`) decides it on either side, except after an error on the left; otherwise an error takes
   * precedence over undefined.
   */
  private evaluateLogical(op: '&&' | '||', leftValue: Value, evaluateRight: () => Value): Value {
    const decidingValue = op === '||';
    const left = toLogical(leftValue);
    if (left === decidingValue || left instanceof ErrorValue) return left;
    const right = toLogical(evaluateRight());
    if (right === decidingValue || right instanceof ErrorValue) return right;
    return left instanceof Undefined ? left : right;
  }

  /** Evaluates `=?=`: never undefined, without type conversion, and case-sensitive for strings. */
  private isIdentical(left: Value, right: Value): boolean {
    this.chargeSteps(1);
    if (left instanceof Undefined || right instanceof Undefined)
      return left instanceof Undefined && right instanceof Undefined;
    if (left instanceof ErrorValue || right instanceof ErrorValue)
      return left instanceof ErrorValue && right instanceof ErrorValue;
    if (Array.isArray(left) && Array.isArray(right))
      return left.length === right.length && left.every((x, i) => this.isIdentical(x, right[i]!));
    if (typeof left === 'number' && typeof right === 'number')
      return Object.is(left, right) || left === right;
    return left === right;
  }
}

function toLogical(v: Value): boolean | Undefined | ErrorValue {
  if (v instanceof Undefined || v instanceof ErrorValue) return v;
  return asBoolean(v) ?? errorValue('&& or || of what is no boolean');
}

function unary(op: '-' | '+' | '!' | '~', operand: Value): Value {
  if (operand instanceof Undefined || operand instanceof ErrorValue) return operand;
  if (op === '!') {
    const b = asBoolean(operand);
    return b === null ? errorValue('! of what is no boolean') : !b;
  }
  const n = asNumber(operand);
  if (n === null) return errorValue(`${op} of what is no number`);
  if (op === '~') return typeof n === 'bigint' ? wrapToInt64(~n) : errorValue('~ of what is no integer');
  if (op === '+') return n;
  return typeof n === 'bigint' ? wrapToInt64(-n) : -n;
}

const COMPARISONS: Record<string, (sign: number) => boolean> = {
  '<': (s) => s < 0,
  '<=': (s) => s <= 0,
  '>': (s) => s > 0,
  '>=': (s) => s >= 0,
  '==': (s) => s === 0,
  '!=': (s) => s !== 0,
};

/**
 * Compares two values: -1, 0 or 1; NaN when an operand is NaN, so that only `!=` holds; null when the values
 * are not comparable. Strings are compared case-insensitively.
 */
export function compareValues(left: Value, right: Value): number | null {
  if (typeof left === 'string' && typeof right === 'string') {
    const [x, y] = [left.toLowerCase(), right.toLowerCase()];
    return x < y ? -1 : x > y ? 1 : 0;
  }
  const x = asNumber(left);
  const y = asNumber(right);
  if (x === null || y === null) return null;
  return x < y ? -1 : x > y ? 1 : x >= y ? 0 : Number.NaN;
}

function evaluateComparison(op: BinaryOp, a: Value, b: Value): Value {
  const sign = compareValues(a, b);
  if (sign === null) return errorValue(`${op} of what cannot be compared`);
  return Number.isNaN(sign) ? op === '!=' : COMPARISONS[op]!(sign);
}

/** Applies an arithmetic operator to two values; an error value when one of them is not a number. */
export function arithmetic(op: BinaryOp, left: Value, right: Value): Value {
  const x = asNumber(left);
  const y = asNumber(right);
  if (x === null || y === null) return errorValue(`${op} of what is no number`);
  if (typeof x === 'bigint' && typeof y === 'bigint') return integerArithmetic(op, x, y);
  const [leftReal, rightReal] = [Number(x), Number(y)];
  switch (op) {
    case '+':
      return leftReal + rightReal;
    case '-':
      return leftReal - rightReal;
    case '*':
      return leftReal * rightReal;
    case '/':
      return rightReal === 0 ? errorValue('division by zero') : leftReal / rightReal;
    case '%':
      return rightReal === 0 ? errorValue('division by zero') : leftReal % rightReal;
    default:
      return errorValue(`${op} of what is no integer`);
  }
}

function integerArithmetic(op: BinaryOp, x: bigint, y: bigint): Value {
  const shift = y & 63n;
  switch (op) {
    case '+':
      return wrapToInt64(x + y);
    case '-':
      return wrapToInt64(x - y);
    case '*':
      return wrapToInt64(x * y);
    case '/':
      return y === 0n ? errorValue('division by zero') : wrapToInt64(x / y);
    case '%':
      return y === 0n ? errorValue('division by zero') : x % y;
    case '&':
      return x & y;
    case '|':
      return x | y;
    case '^':
      return x ^ y;
    case '<<':
      return wrapToInt64(x << shift);
    case '>>':
      return x >> shift;
    default:
      return wrapToInt64(BigInt.asUintN(64, x) >> shift);
  }
}
