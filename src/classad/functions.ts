import { RE2JS } from 're2js';
import { Ad, ErrorValue, LIMITS, UNDEFINED, Undefined, type Value } from './ast.js';
import { arithmetic, asBoolean, asNumber, type Call, failed, order } from './evaluate.js';
import { parseExpr } from './parser.js';
import { printValue } from './print.js';
import { formatTime, splitTime } from './times.js';

/** A function of the language: its call to its value. */
export type Function = (call: Call) => Value;

/** Evaluates all arguments; what is undefined or an error is the answer at once. */
function strict(least: number, most: number, f: (args: Value[], call: Call) => Value): Function {
  return (call) => {
    if (call.args.length < least || call.args.length > most) return failed('a wrong number of arguments');
    const args = call.args.map(call.value);
    return (
      args.find((a) => a instanceof ErrorValue) ?? args.find((a) => a instanceof Undefined) ?? f(args, call)
    );
  };
}

/** Of one value of whatever kind, also undefined and errors. */
function about(f: (v: Value) => boolean): Function {
  return (call) =>
    call.args.length === 1 ? f(call.value(call.args[0]!)) : failed('a wrong number of arguments');
}

const bounded = (text: string): Value => (text.length > LIMITS.text ? failed('too long a string') : text);
const boundedList = (list: Value[]): Value => (list.length > LIMITS.list ? failed('too long a list') : list);

function texts(args: Value[]): string[] | null {
  return args.every((a) => typeof a === 'string') ? (args as string[]) : null;
}

function textOf(v: Value): string {
  return typeof v === 'string' ? v : printValue(v);
}

function integerOf(v: Value): Value {
  if (typeof v === 'string') {
    const n = numberIn(v);
    return n === null ? failed('no integer in that') : integerOf(n);
  }
  const n = asNumber(v);
  if (n === null) return failed('no integer in that');
  if (typeof n === 'bigint') return n;
  return Number.isFinite(n) ? BigInt.asIntN(64, BigInt(Math.trunc(n))) : failed('no integer in that');
}

function numberIn(text: string): bigint | number | null {
  const t = text.trim();
  if (/^[+-]?\d{1,18}$/.test(t)) return BigInt(t);
  if (/^[+-]?inf$/i.test(t)) return t.startsWith('-') ? Number.NEGATIVE_INFINITY : Number.POSITIVE_INFINITY;
  if (/^nan$/i.test(t)) return Number.NaN;
  return /^[+-]?(\d+\.?\d*|\.\d+)(e[+-]?\d+)?$/i.test(t) ? Number(t) : null;
}

function realOf(v: Value): Value {
  const n = typeof v === 'string' ? numberIn(v) : asNumber(v);
  return n === null ? failed('no real in that') : Number(n);
}

const rounding = (f: (n: number) => number): Function =>
  strict(1, 1, ([v]) => {
    const n = typeof v === 'string' ? numberIn(v) : asNumber(v!);
    if (n === null) return failed('no number');
    return typeof n === 'bigint' ? n : integerOf(f(n));
  });

// --- lists and lists in strings

function fold(f: (a: Value, b: Value) => Value, none: Value): Function {
  return strict(1, 1, ([list], call) => {
    if (!Array.isArray(list)) return failed('no list');
    call.spend(list.length);
    const known = list.filter((v) => !(v instanceof Undefined));
    return known.length === 0 ? none : known.reduce((a, b) => (a instanceof ErrorValue ? a : f(a, b)));
  });
}

const extreme = (sign: number) => (a: Value, b: Value) => {
  if (asNumber(a) === null || asNumber(b) === null) return failed('no number');
  return order(a, b) === sign ? a : b;
};

function average(list: Value[]): Value {
  if (list.length === 0) return 0;
  const sum = list.reduce((a, b) => arithmetic('+', a, b));
  return sum instanceof ErrorValue ? sum : arithmetic('/', Number(asNumber(sum)), BigInt(list.length));
}

/** The items of a list written in one string. */
function items(text: string, delimiters: string | undefined, call: Call): string[] {
  const marks = new Set(delimiters ?? ', ');
  const list: string[] = [];
  let item = '';
  for (const c of text) {
    if (!marks.has(c)) item += c;
    else {
      if (item.trim() !== '') list.push(item.trim());
      item = '';
    }
  }
  if (item.trim() !== '') list.push(item.trim());
  call.spend(list.length);
  return list;
}

const ofStringList = (f: (list: string[]) => Value): Function =>
  strict(1, 2, (args, call) => {
    const t = texts(args);
    return t ? f(items(t[0]!, t[1], call)) : failed('no string');
  });

const inStringList = (fold: (s: string) => string, whole: boolean): Function =>
  strict(2, 3, (args, call) => {
    const t = texts(args);
    if (!t) return failed('no string');
    const list = new Set(items(t[1]!, t[2], call).map(fold));
    const wanted = whole ? items(t[0]!, t[2], call) : [t[0]!];
    return wanted.every((w) => list.has(fold(w)));
  });

const numbersIn = (f: (list: (bigint | number)[]) => Value): Function =>
  ofStringList((list) => {
    const numbers = list.map(numberIn);
    return numbers.includes(null) ? failed('an item that is no number') : f(numbers as (bigint | number)[]);
  });

const sumOf = (list: (bigint | number)[]): Value => list.reduce<Value>((a, b) => arithmetic('+', a, b), 0n);
const pick = (sign: number) => (list: (bigint | number)[]) =>
  list.length === 0 ? UNDEFINED : list.reduce((a, b) => (order(a, b) === sign ? a : b));
const same = (s: string) => s;
const lower = (s: string) => s.toLowerCase();

const among = (f: (call: Call, item: Value, list: Value[]) => Value): Function =>
  strict(2, 2, ([item, list], call) => {
    if (!Array.isArray(list)) return failed('no list');
    if (Array.isArray(item) || item instanceof Ad) return failed('an item that is a list or an ad');
    call.spend(list.length);
    return f(call, item!, list);
  });

/** Compares the members of a list with a value, by an operator in a string. */
const comparing = (all: boolean): Function =>
  strict(3, 3, ([op, list, value], call) => {
    if (typeof op !== 'string' || !Array.isArray(list)) return failed('anyCompare("<", list, value)');
    if (!/^(<|<=|>|>=|==|!=|=\?=|=!=)$/.test(op)) return failed(`no comparison ${op}`);
    call.spend(list.length);
    const holds = (v: Value) => {
      const sign = order(v, value!);
      if (sign === null) return false;
      if (op === '==' || op === '=?=') return sign === 0;
      if (op === '!=' || op === '=!=') return sign !== 0;
      return op.startsWith('<')
        ? sign < 0 || (op === '<=' && sign === 0)
        : sign > 0 || (op === '>=' && sign === 0);
    };
    return all ? list.every(holds) : list.some(holds);
  });

// --- patterns

const patterns = new Map<string, RE2JS | null>();
const PATTERNS_KEPT = 500;

/** A pattern that takes time in proportion to the text, whatever it says; null when it is none. */
function pattern(text: string, options: string): RE2JS | null {
  const key = `${options}/${text}`;
  let p = patterns.get(key);
  if (p === undefined) {
    let flags = 0;
    if (/i/i.test(options)) flags |= RE2JS.CASE_INSENSITIVE;
    if (/s/i.test(options)) flags |= RE2JS.DOTALL;
    if (/m/i.test(options)) flags |= RE2JS.MULTILINE;
    try {
      p = text.length > 1024 ? null : RE2JS.compile(/f/i.test(options) ? `^(?:${text})$` : text, flags);
    } catch {
      p = null;
    }
    if (patterns.size >= PATTERNS_KEPT) patterns.delete(patterns.keys().next().value!);
    patterns.set(key, p);
  }
  return p;
}

function matching(text: string, p: string, options: string | undefined, call: Call): boolean | ErrorValue {
  call.spend(text.length >> 3);
  const compiled = pattern(p, options ?? '');
  return compiled ? compiled.matcher(text).find() : failed('a pattern that cannot be read');
}

const replacing = (all: boolean, whole: boolean): Function =>
  strict(3, 4, (args, call) => {
    const t = texts(args);
    const compiled = t && pattern(t[0]!, t[3] ?? '');
    if (!t || !compiled) return failed('a pattern that cannot be read');
    call.spend(t[1]!.length);
    const m = compiled.matcher(t[1]!);
    let out = '';
    let from = 0;
    while (m.find()) {
      const filled = t[2]!.replace(/\\([0-9])/g, (_, n: string) =>
        Number(n) <= m.groupCount() ? (m.group(Number(n)) ?? '') : '',
      );
      if (whole) return bounded(filled);
      out += t[1]!.slice(from, m.start()) + filled;
      from = m.end();
      if (out.length > LIMITS.text) return failed('too long a string');
      if (!all) break;
    }
    return whole ? '' : bounded(out + t[1]!.slice(from));
  });

// --- versions

function versionOrder(a: string, b: string): number {
  const parts = (s: string) => s.match(/\d+|\D+/g) ?? [];
  const [x, y] = [parts(a), parts(b)];
  for (let i = 0; i < Math.max(x.length, y.length); i++) {
    const [p, q] = [x[i] ?? '', y[i] ?? ''];
    if (p === q) continue;
    if (/^\d/.test(p) && /^\d/.test(q)) {
      const d = BigInt(p) - BigInt(q);
      if (d !== 0n) return d < 0n ? -1 : 1;
      continue;
    }
    return p < q ? -1 : 1;
  }
  return 0;
}

const versions = (f: (sign: number) => Value): Function =>
  strict(2, 2, (args) => {
    const t = texts(args);
    return t ? f(versionOrder(t[0]!, t[1]!)) : failed('no string');
  });

const onText = (f: (text: string) => Value): Function =>
  strict(1, 1, ([v]) => (typeof v === 'string' ? f(v) : bounded(textOf(v!))));

const comparingText = (fold: (s: string) => string): Function =>
  strict(2, 2, (args) => {
    const [a, b] = args.map((v) => fold(textOf(v)));
    return a! < b! ? -1n : a! > b! ? 1n : 0n;
  });

function cut(text: string, offset: bigint, length: bigint | undefined): string {
  const size = text.length;
  const from = offset < 0n ? Math.max(0, size + Number(offset)) : Math.min(size, Number(offset));
  if (length === undefined) return text.slice(from);
  const to = length < 0n ? size + Number(length) : from + Number(length);
  return text.slice(from, Math.max(from, to));
}

const split = (mark: string): Function =>
  strict(1, 1, ([v]) => {
    if (typeof v !== 'string') return failed('no string');
    const at = v.indexOf(mark);
    if (at < 0) return mark === '@' ? [v, ''] : ['', v];
    return [v.slice(0, at), v.slice(at + 1)];
  });

const REGEXP = strict(2, 3, (args, call) => {
  const t = texts(args);
  return t ? matching(t[1]!, t[0]!, t[2], call) : failed('no string');
});

const ALL: Record<string, Function> = {
  isundefined: about((v) => v instanceof Undefined),
  iserror: about((v) => v instanceof ErrorValue),
  isstring: about((v) => typeof v === 'string'),
  isinteger: about((v) => typeof v === 'bigint'),
  isreal: about((v) => typeof v === 'number'),
  isboolean: about((v) => typeof v === 'boolean'),
  islist: about((v) => Array.isArray(v)),
  isclassad: about((v) => v instanceof Ad),
  int: strict(1, 1, ([v]) => integerOf(v!)),
  real: strict(1, 1, ([v]) => realOf(v!)),
  string: strict(1, 1, ([v]) => bounded(textOf(v!))),
  bool: strict(1, 1, ([v]) => {
    if (typeof v === 'string')
      return /^true$/i.test(v) ? true : /^false$/i.test(v) ? false : failed('no boolean');
    return asBoolean(v!) ?? failed('no boolean');
  }),
  floor: rounding(Math.floor),
  ceiling: rounding(Math.ceil),
  round: rounding((n) => Math.sign(n) * Math.round(Math.abs(n))),
  pow: strict(2, 2, ([a, b]) => {
    const [x, y] = [asNumber(a!), asNumber(b!)];
    if (x === null || y === null) return failed('no number');
    if (typeof x === 'bigint' && typeof y === 'bigint' && y >= 0n && y < 64n)
      return BigInt.asIntN(64, x ** y);
    return Number(x) ** Number(y);
  }),
  quantize: strict(2, 2, ([a, b]) => {
    const x = asNumber(a!);
    if (x === null) return failed('no number');
    const steps = Array.isArray(b) ? b.map(asNumber) : [asNumber(b!)];
    if (steps.includes(null)) return failed('no number');
    if (Array.isArray(b)) {
      const fits = steps.find((s) => s! >= x);
      if (fits !== undefined) return fits!;
    }
    const step = steps.at(-1);
    if (step === undefined || step === null || Number(step) === 0) return x;
    const n = Math.ceil(Number(x) / Number(step));
    return typeof step === 'bigint' ? BigInt(n) * step : n * step;
  }),
  time: (call) =>
    call.args.length === 0 ? BigInt(Math.floor(call.now)) : failed('a wrong number of arguments'),
  interval: strict(1, 1, ([v]) => {
    const n = integerOf(v!);
    if (typeof n !== 'bigint') return n;
    const s = Number(n);
    const two = (x: number) => String(Math.floor(x)).padStart(2, '0');
    const days = Math.floor(s / 86_400);
    const rest = `${two((s % 86_400) / 3600)}:${two((s % 3600) / 60)}:${two(s % 60)}`;
    return days > 0 ? `${days}+${rest}` : rest;
  }),
  formattime: (call) => {
    const args = call.args.map(call.value);
    const at = args[0] === undefined ? BigInt(Math.floor(call.now)) : integerOf(args[0]);
    const form = args[1] ?? '%c';
    return typeof at === 'bigint' && typeof form === 'string'
      ? bounded(formatTime(at, form))
      : failed('no time');
  },
  splittime: strict(1, 1, ([v]) => (typeof v === 'bigint' ? splitTime(v) : failed('no time'))),
  strcat: strict(0, 1000, (args) => bounded(args.map(textOf).join(''))),
  join: strict(1, 1000, (args) => {
    const [mark, ...rest] = args;
    const list = rest.length === 1 && Array.isArray(rest[0]) ? rest[0] : rest;
    if (rest.length === 0 && Array.isArray(mark)) return bounded(mark.map(textOf).join(''));
    return typeof mark === 'string' ? bounded(list.map(textOf).join(mark)) : failed('no string');
  }),
  split: strict(1, 2, (args, call) => {
    const t = texts(args);
    return t ? boundedList(items(t[0]!, t[1], call)) : failed('no string');
  }),
  substr: strict(2, 3, ([s, offset, length]) => {
    if (typeof s !== 'string' || typeof offset !== 'bigint') return failed('substr("text", 0)');
    if (length !== undefined && typeof length !== 'bigint') return failed('no integer');
    return cut(s, offset, length);
  }),
  strcmp: comparingText(same),
  stricmp: comparingText(lower),
  toupper: onText((s) => s.toUpperCase()),
  tolower: onText((s) => s.toLowerCase()),
  size: strict(1, 1, ([v]) => {
    if (typeof v === 'string' || Array.isArray(v)) return BigInt(v.length);
    return v instanceof Ad ? BigInt(v.size) : failed('no size');
  }),
  ifthenelse: (call) => {
    if (call.args.length !== 3) return failed('a wrong number of arguments');
    const test = call.value(call.args[0]!);
    if (test instanceof Undefined || test instanceof ErrorValue) return test;
    const yes = asBoolean(test);
    return yes === null ? failed('a condition that is no boolean') : call.value(call.args[yes ? 1 : 2]!);
  },
  member: among((_, item, list) => list.some((v) => order(v, item) === 0)),
  identicalmember: among((_, item, list) => list.some((v) => v === item)),
  anycompare: comparing(false),
  allcompare: comparing(true),
  sum: fold((a, b) => arithmetic('+', a, b), UNDEFINED),
  avg: strict(1, 1, ([list], call) => {
    if (!Array.isArray(list)) return failed('no list');
    call.spend(list.length);
    return average(list);
  }),
  min: fold(extreme(-1), UNDEFINED),
  max: fold(extreme(1), UNDEFINED),
  regexp: REGEXP,
  regexps: replacing(false, true),
  replace: replacing(false, false),
  replaceall: replacing(true, false),
  regexpmember: strict(2, 3, ([p, list, options], call) => {
    if (typeof p !== 'string' || !Array.isArray(list)) return failed('no list');
    for (const v of list) {
      const found =
        typeof v === 'string'
          ? matching(v, p, options === undefined ? '' : String(options), call)
          : failed('no string');
      if (found !== false) return found;
    }
    return false;
  }),
  stringlistsize: ofStringList((list) => BigInt(list.length)),
  stringlistsum: numbersIn(sumOf),
  stringlistavg: numbersIn(average),
  stringlistmin: numbersIn(pick(-1)),
  stringlistmax: numbersIn(pick(1)),
  stringlistmember: inStringList(same, false),
  stringlistimember: inStringList(lower, false),
  stringlistsubsetmatch: inStringList(same, true),
  stringlistisubsetmatch: inStringList(lower, true),
  stringlistregexpmember: strict(2, 4, (args, call) => {
    const t = texts(args);
    if (!t) return failed('no string');
    for (const item of items(t[1]!, t[2], call)) {
      const found = matching(item, t[0]!, t[3], call);
      if (found !== false) return found;
    }
    return false;
  }),
  versioncmp: versions((s) => BigInt(s)),
  versiongt: versions((s) => s > 0),
  versionge: versions((s) => s >= 0),
  versionlt: versions((s) => s < 0),
  versionle: versions((s) => s <= 0),
  versioneq: versions((s) => s === 0),
  splitusername: split('@'),
  splitslotname: split('@'),
  unparse: (call) => {
    const [e] = call.args;
    return e?.node === 'name' ? bounded(printValue(call.value(e))) : failed('unparse(attribute)');
  },
  eval: strict(1, 1, ([v], call) => {
    if (typeof v !== 'string') return v!;
    call.spend(v.length);
    try {
      return call.value(parseExpr(v));
    } catch (error) {
      return failed(error instanceof Error ? error.message : 'not an expression');
    }
  }),
};
ALL.strlen = ALL.size!;
ALL.stringlist_regexpmember = ALL.stringlistregexpmember!;

/** The standard functions by their names in lower case. */
export const FUNCTIONS: ReadonlyMap<string, Function> = new Map(Object.entries(ALL));
