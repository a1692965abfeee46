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

/** What an evaluation looks at beside the expression. */
export interface Surroundings {
  my: Ad;
  target?: Ad | null;
  /** Seconds since the epoch, for `time()`. */
  now?: number;
}

/** Ends an evaluation that costs too much. */
class TooMuch extends SpartrayError {}

/** Evaluates an expression; never throws: what has no meaning or costs too much is an error value. */
export function evaluate(e: Expr, around: Surroundings): Value {
  try {
    return new Evaluation(around).value(e, around.my);
  } catch (error) {
    if (error instanceof TooMuch) return new ErrorValue(error.message);
    if (error instanceof RangeError) return new ErrorValue('too deep or too large');
    throw error;
  }
}

/** What a function is given. */
export interface Call {
  args: Expr[];
  value(e: Expr): Value;
  now: number;
  /** Counts work in proportion to what is looked at. */
  spend(steps: number): void;
}

/** An error value; `why` is for people. */
export function failed(why: string): ErrorValue {
  return new ErrorValue(why);
}

/** Numbers, and booleans as 0 and 1. */
export function asNumber(v: Value): bigint | number | null {
  if (typeof v === 'boolean') return v ? 1n : 0n;
  return typeof v === 'bigint' || typeof v === 'number' ? v : null;
}

/** Booleans, and numbers as whether they are not 0. */
export function asBoolean(v: Value): boolean | null {
  if (typeof v === 'boolean') return v;
  if (typeof v === 'bigint') return v !== 0n;
  return typeof v === 'number' ? v !== 0 : null;
}

const wrap = (n: bigint) => BigInt.asIntN(64, n);

class Evaluation {
  private steps = 0;
  private depth = 0;
  /** Attributes being looked up, which must not need themselves. */
  private readonly open = new Set<Expr>();

  constructor(private readonly around: Surroundings) {}

  spend(steps: number): void {
    this.steps += steps;
    if (this.steps > LIMITS.steps) throw new TooMuch('takes too many steps');
  }

  value(e: Expr, ad: Ad): Value {
    this.spend(1);
    if (++this.depth > LIMITS.depth * 8) throw new TooMuch('nested too deep');
    try {
      return this.node(e, ad);
    } finally {
      this.depth--;
    }
  }

  private node(e: Expr, ad: Ad): Value {
    switch (e.node) {
      case 'literal':
        return e.value;
      case 'name':
        return this.attribute(e.scope, e.name, ad);
      case 'select':
        return this.select(this.value(e.of, ad), e.name);
      case 'index':
        return this.index(this.value(e.of, ad), this.value(e.at, ad));
      case 'unary':
        return unary(e.op, this.value(e.of, ad));
      case 'binary':
        return this.binary(e.op, e.left, e.right, ad);
      case 'if': {
        const test = this.value(e.test, ad);
        if (e.yes === null) return test instanceof Undefined ? this.value(e.no, ad) : test;
        if (test instanceof Undefined || test instanceof ErrorValue) return test;
        const yes = asBoolean(test);
        return yes === null ? failed('a condition that is no boolean') : this.value(yes ? e.yes : e.no, ad);
      }
      case 'list':
        return e.items.map((i) => this.value(i, ad));
      case 'ad':
        return e.ad;
      case 'call': {
        const f = FUNCTIONS.get(e.name.toLowerCase());
        if (!f) return failed(`no function ${e.name}`);
        return f({
          args: e.args,
          value: (a) => this.value(a, ad),
          now: this.around.now ?? 0,
          spend: (steps) => this.spend(steps),
        });
      }
    }
  }

  /** A name means the ad it is written in, those around that, and then the other side. */
  private attribute(scope: Scope, name: string, ad: Ad): Value {
    const { my, target } = this.around;
    if (scope === 'target') return target ? this.from(target, name) : UNDEFINED;
    if (scope === 'my') return this.from(my, name);
    for (let at: Ad | null = ad; at; at = at.parent) if (at.has(name)) return this.from(at, name);
    if (my.has(name)) return this.from(my, name);
    return target?.has(name) ? this.from(target, name) : UNDEFINED;
  }

  private from(ad: Ad, name: string): Value {
    const e = ad.get(name);
    if (!e) return UNDEFINED;
    if (e.node === 'literal') return e.value;
    if (this.open.has(e)) return failed(`${name} needs itself`);
    this.open.add(e);
    try {
      // Seen from the other side, the two change places.
      if (ad === this.around.target) return this.turned(e, ad);
      return this.value(e, ad);
    } finally {
      this.open.delete(e);
    }
  }

  private turned(e: Expr, ad: Ad): Value {
    const other = new Evaluation({ ...this.around, my: ad, target: this.around.my });
    other.steps = this.steps;
    other.depth = this.depth;
    for (const o of this.open) other.open.add(o);
    const v = other.value(e, ad);
    this.steps = other.steps;
    return v;
  }

  private select(of: Value, name: string): Value {
    if (of instanceof Undefined || of instanceof ErrorValue) return of;
    return of instanceof Ad ? this.from(of, name) : failed(`.${name} of what is no ad`);
  }

  private index(of: Value, at: Value): Value {
    if (of instanceof Undefined || of instanceof ErrorValue) return of;
    if (at instanceof Undefined || at instanceof ErrorValue) return at;
    if (Array.isArray(of) && typeof at === 'bigint')
      return of[Number(at)] ?? failed('an index beyond its list');
    if (of instanceof Ad && typeof at === 'string') return this.from(of, at);
    return failed('an index that does not fit');
  }

  private binary(op: BinaryOp, left: Expr, right: Expr, ad: Ad): Value {
    const a = this.value(left, ad);
    if (op === '&&' || op === '||') return this.logic(op, a, () => this.value(right, ad));
    const b = this.value(right, ad);
    if (op === '=?=') return this.same(a, b);
    if (op === '=!=') return !this.same(a, b);
    if (a instanceof ErrorValue) return a;
    if (b instanceof ErrorValue) return b;
    if (a instanceof Undefined || b instanceof Undefined) return UNDEFINED;
    return op in COMPARE ? compare(op, a, b) : arithmetic(op, a, b);
  }

  /** What decides alone decides, on whichever side it stands; then an error goes before what is undefined. */
  private logic(op: '&&' | '||', a: Value, second: () => Value): Value {
    const decides = op === '||';
    const left = logical(a);
    if (left === decides || left instanceof ErrorValue) return left;
    const right = logical(second());
    if (right === decides || right instanceof ErrorValue) return right;
    return left instanceof Undefined ? left : right;
  }

  /** The very same value: never undefined, no conversions, and the case of text counts. */
  private same(a: Value, b: Value): boolean {
    this.spend(1);
    if (a instanceof Undefined || b instanceof Undefined)
      return a instanceof Undefined && b instanceof Undefined;
    if (a instanceof ErrorValue || b instanceof ErrorValue)
      return a instanceof ErrorValue && b instanceof ErrorValue;
    if (Array.isArray(a) && Array.isArray(b))
      return a.length === b.length && a.every((x, i) => this.same(x, b[i]!));
    if (typeof a === 'number' && typeof b === 'number') return Object.is(a, b) || a === b;
    return a === b;
  }
}

function logical(v: Value): boolean | Undefined | ErrorValue {
  if (v instanceof Undefined || v instanceof ErrorValue) return v;
  return asBoolean(v) ?? failed('&& or || of what is no boolean');
}

function unary(op: '-' | '+' | '!' | '~', v: Value): Value {
  if (v instanceof Undefined || v instanceof ErrorValue) return v;
  if (op === '!') {
    const b = asBoolean(v);
    return b === null ? failed('! of what is no boolean') : !b;
  }
  const n = asNumber(v);
  if (n === null) return failed(`${op} of what is no number`);
  if (op === '~') return typeof n === 'bigint' ? wrap(~n) : failed('~ of what is no integer');
  if (op === '+') return n;
  return typeof n === 'bigint' ? wrap(-n) : -n;
}

const COMPARE: Record<string, (sign: number) => boolean> = {
  '<': (s) => s < 0,
  '<=': (s) => s <= 0,
  '>': (s) => s > 0,
  '>=': (s) => s >= 0,
  '==': (s) => s === 0,
  '!=': (s) => s !== 0,
};

/** -1, 0 or 1, NaN when nothing holds; null when the two cannot be compared. Text is compared whatever its case. */
export function order(a: Value, b: Value): number | null {
  if (typeof a === 'string' && typeof b === 'string') {
    const [x, y] = [a.toLowerCase(), b.toLowerCase()];
    return x < y ? -1 : x > y ? 1 : 0;
  }
  const x = asNumber(a);
  const y = asNumber(b);
  if (x === null || y === null) return null;
  return x < y ? -1 : x > y ? 1 : x >= y ? 0 : Number.NaN;
}

function compare(op: BinaryOp, a: Value, b: Value): Value {
  const sign = order(a, b);
  if (sign === null) return failed(`${op} of what cannot be compared`);
  return Number.isNaN(sign) ? op === '!=' : COMPARE[op]!(sign);
}

/** An arithmetic operator on two values; an error value where one is no number. */
export function arithmetic(op: BinaryOp, a: Value, b: Value): Value {
  const x = asNumber(a);
  const y = asNumber(b);
  if (x === null || y === null) return failed(`${op} of what is no number`);
  if (typeof x === 'bigint' && typeof y === 'bigint') return integers(op, x, y);
  const [p, q] = [Number(x), Number(y)];
  switch (op) {
    case '+':
      return p + q;
    case '-':
      return p - q;
    case '*':
      return p * q;
    case '/':
      return q === 0 ? failed('division by zero') : p / q;
    case '%':
      return q === 0 ? failed('division by zero') : p % q;
    default:
      return failed(`${op} of what is no integer`);
  }
}

function integers(op: BinaryOp, x: bigint, y: bigint): Value {
  const by = y & 63n;
  switch (op) {
    case '+':
      return wrap(x + y);
    case '-':
      return wrap(x - y);
    case '*':
      return wrap(x * y);
    case '/':
      return y === 0n ? failed('division by zero') : wrap(x / y);
    case '%':
      return y === 0n ? failed('division by zero') : x % y;
    case '&':
      return x & y;
    case '|':
      return x | y;
    case '^':
      return x ^ y;
    case '<<':
      return wrap(x << by);
    case '>>':
      return x >> by;
    default:
      return wrap(BigInt.asUintN(64, x) >> by);
  }
}
