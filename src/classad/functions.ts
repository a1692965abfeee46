import { RE2JS } from 're2js';
import { Ad, ErrorValue, LIMITS, UNDEFINED, Undefined, type Value } from './ast.js';
import { arithmetic, asBoolean, asNumber, compareValues, errorValue, type FunctionCall } from './evaluate.js';
import { parseExpr } from './parser.js';
import { printValue } from './print.js';
import { formatTime, splitTime } from './times.js';

/** Implementation of a ClassAd function: maps a call to its value. */
export type ClassAdFunction = (call: FunctionCall) => Value;

/** Evaluates all arguments first; if one of them is an error, or else undefined, that is the result of the call. */
function strict(
  minArgs: number,
  maxArgs: number,
  implementation: (args: Value[], call: FunctionCall) => Value,
): ClassAdFunction {
  return (call) => {
    if (call.args.length < minArgs || call.args.length > maxArgs)
      return errorValue('a wrong number of arguments');
    const args = call.args.map(call.value);
    return (
      args.find((a) => a instanceof ErrorValue) ??
      args.find((a) => a instanceof Undefined) ??
      implementation(args, call)
    );
  };
}

/** Creates a predicate on one value of any type, including undefined and error. */
function typeTest(predicate: (v: Value) => boolean): ClassAdFunction {
  return (call) =>
    call.args.length === 1 ? predicate(call.value(call.args[0]!)) : errorValue('a wrong number of arguments');
}

const boundedString = (text: string): Value =>
  text.length > LIMITS.text ? errorValue('too long a string') : text;
const boundedList = (list: Value[]): Value =>
  list.length > LIMITS.list ? errorValue('too long a list') : list;

function allStrings(args: Value[]): string[] | null {
  return args.every((a) => typeof a === 'string') ? (args as string[]) : null;
}

function toText(v: Value): string {
  return typeof v === 'string' ? v : printValue(v);
}

function toInteger(value: Value): Value {
  if (typeof value === 'string') {
    const n = parseNumber(value);
    return n === null ? errorValue('no integer in that') : toInteger(n);
  }
  const n = asNumber(value);
  if (n === null) return errorValue('no integer in that');
  if (typeof n === 'bigint') return n;
  return Number.isFinite(n) ? BigInt.asIntN(64, BigInt(Math.trunc(n))) : errorValue('no integer in that');
}

function parseNumber(text: string): bigint | number | null {
  const trimmed = text.trim();
  if (/^[+-]?\d{1,18}$/.test(trimmed)) return BigInt(trimmed);
  if (/^[+-]?inf$/i.test(trimmed))
    return trimmed.startsWith('-') ? Number.NEGATIVE_INFINITY : Number.POSITIVE_INFINITY;
  if (/^nan$/i.test(trimmed)) return Number.NaN;
  return /^[+-]?(\d+\.?\d*|\.\d+)(e[+-]?\d+)?$/i.test(trimmed) ? Number(trimmed) : null;
}

function toReal(v: Value): Value {
  const n = typeof v === 'string' ? parseNumber(v) : asNumber(v);
  return n === null ? errorValue('no real in that') : Number(n);
}

const rounding = (f: (n: number) => number): ClassAdFunction =>
  strict(1, 1, ([v]) => {
    const n = typeof v === 'string' ? parseNumber(v) : asNumber(v!);
    if (n === null) return errorValue('no number');
    return typeof n === 'bigint' ? n : toInteger(f(n));
  });

// --- lists and string lists

function reduceList(combine: (a: Value, b: Value) => Value, emptyResult: Value): ClassAdFunction {
  return strict(1, 1, ([list], call) => {
    if (!Array.isArray(list)) return errorValue('no list');
    call.chargeSteps(list.length);
    const defined = list.filter((v) => !(v instanceof Undefined));
    return defined.length === 0
      ? emptyResult
      : defined.reduce((a, b) => (a instanceof ErrorValue ? a : combine(a, b)));
  });
}

const extremeOfPair = (sign: number) => (a: Value, b: Value) => {
  if (asNumber(a) === null || asNumber(b) === null) return errorValue('no number');
  return compareValues(a, b) === sign ? a : b;
};

function average(list: Value[]): Value {
  if (list.length === 0) return 0;
  const sum = list.reduce((a, b) => arithmetic('+', a, b));
  return sum instanceof ErrorValue ? sum : arithmetic('/', Number(asNumber(sum)), BigInt(list.length));
}

/** Splits a string list into its items. */
function splitStringList(text: string, delimiters: string | undefined, call: FunctionCall): string[] {
  const delimiterSet = new Set(delimiters ?? ', ');
  const list: string[] = [];
  let item = '';
  for (const c of text) {
    if (!delimiterSet.has(c)) item += c;
    else {
      if (item.trim() !== '') list.push(item.trim());
      item = '';
    }
  }
  if (item.trim() !== '') list.push(item.trim());
  call.chargeSteps(list.length);
  return list;
}

const stringListFunction = (f: (list: string[]) => Value): ClassAdFunction =>
  strict(1, 2, (args, call) => {
    const t = allStrings(args);
    return t ? f(splitStringList(t[0]!, t[1], call)) : errorValue('no string');
  });

const stringListMembership = (normalize: (s: string) => string, matchAllItems: boolean): ClassAdFunction =>
  strict(2, 3, (args, call) => {
    const t = allStrings(args);
    if (!t) return errorValue('no string');
    const list = new Set(splitStringList(t[1]!, t[2], call).map(normalize));
    const wanted = matchAllItems ? splitStringList(t[0]!, t[2], call) : [t[0]!];
    return wanted.every((w) => list.has(normalize(w)));
  });

const numericListFunction = (f: (list: (bigint | number)[]) => Value): ClassAdFunction =>
  stringListFunction((list) => {
    const numbers = list.map(parseNumber);
    return numbers.includes(null)
      ? errorValue('an item that is no number')
      : f(numbers as (bigint | number)[]);
  });

const sumOfNumbers = (list: (bigint | number)[]): Value =>
  list.reduce<Value>((a, b) => arithmetic('+', a, b), 0n);
const extremeOfNumbers = (sign: number) => (list: (bigint | number)[]) =>
  list.length === 0 ? UNDEFINED : list.reduce((a, b) => (compareValues(a, b) === sign ? a : b));
const identity = (s: string) => s;
const toLowerCase = (s: string) => s.toLowerCase();

const listMembership = (f: (call: FunctionCall, item: Value, list: Value[]) => Value): ClassAdFunction =>
  strict(2, 2, ([item, list], call) => {
    if (!Array.isArray(list)) return errorValue('no list');
    if (Array.isArray(item) || item instanceof Ad) return errorValue('an item that is a list or an ad');
    call.chargeSteps(list.length);
    return f(call, item!, list);
  });

/** Compares the members of a list with a value; the operator is given as a string. */
const listComparison = (all: boolean): ClassAdFunction =>
  strict(3, 3, ([op, list, value], call) => {
    if (typeof op !== 'string' || !Array.isArray(list)) return errorValue('anyCompare("<", list, value)');
    if (!/^(<|<=|>|>=|==|!=|=\?=|=!=)$/.test(op)) return errorValue(`no comparison ${op}`);
    call.chargeSteps(list.length);
    const holds = (v: Value) => {
      const sign = compareValues(v, value!);
      if (sign === null) return false;
      if (op === '==' || op === '=?=') return sign === 0;
      if (op === '!=' || op === '=!=') return sign !== 0;
      return op.startsWith('<')
        ? sign < 0 || (op === '<=' && sign === 0)
        : sign > 0 || (op === '>=' && sign === 0);
    };
    return all ? list.every(holds) : list.some(holds);
  });

// --- regular expressions

const compiledPatterns = new Map<string, RE2JS | null>();
const MAX_CACHED_PATTERNS = 500;

/**
 * Compiles a regular expression that matches in time linear in the text, whatever the pattern; null when the
 * pattern is invalid or longer than 1,024 characters.
 */
function compilePattern(text: string, options: string): RE2JS | null {
  const key = `${options}/${text}`;
  let compiled = compiledPatterns.get(key);
  if (compiled === undefined) {
    let flags = 0;
    if (/i/i.test(options)) flags |= RE2JS.CASE_INSENSITIVE;
    if (/s/i.test(options)) flags |= RE2JS.DOTALL;
    if (/m/i.test(options)) flags |= RE2JS.MULTILINE;
    try {
      compiled =
        text.length > 1024 ? null : RE2JS.compile(/f/i.test(options) ? `^(?:${text})$` : text, flags);
    } catch {
      compiled = null;
    }
    if (compiledPatterns.size >= MAX_CACHED_PATTERNS)
      compiledPatterns.delete(compiledPatterns.keys().next().value!);
    compiledPatterns.set(key, compiled);
  }
  return compiled;
}

function matchesPattern(
  text: string,
  patternText: string,
  options: string | undefined,
  call: FunctionCall,
): boolean | ErrorValue {
  call.chargeSteps(text.length >> 3);
  const compiled = compilePattern(patternText, options ?? '');
  return compiled ? compiled.matcher(text).find() : errorValue('a pattern that cannot be read');
}

const replaceFunction = (all: boolean, substitutionOnly: boolean): ClassAdFunction =>
  strict(3, 4, (args, call) => {
    const strings = allStrings(args);
    const compiled = strings && compilePattern(strings[0]!, strings[3] ?? '');
    if (!strings || !compiled) return errorValue('a pattern that cannot be read');
    call.chargeSteps(strings[1]!.length);
    const matcher = compiled.matcher(strings[1]!);
    let out = '';
    let from = 0;
    while (matcher.find()) {
      const substitution = strings[2]!.replace(/\\([0-9])/g, (_, n: string) =>
        Number(n) <= matcher.groupCount() ? (matcher.group(Number(n)) ?? '') : '',
      );
      if (substitutionOnly) return boundedString(substitution);
      out += strings[1]!.slice(from, matcher.start()) + substitution;
      from = matcher.end();
      if (out.length > LIMITS.text) return errorValue('too long a string');
      if (!all) break;
    }
    return substitutionOnly ? '' : boundedString(out + strings[1]!.slice(from));
  });

// --- versions

function compareVersions(left: string, right: string): number {
  const splitDigits = (s: string) => s.match(/\d+|\D+/g) ?? [];
  const [leftParts, rightParts] = [splitDigits(left), splitDigits(right)];
  for (let i = 0; i < Math.max(leftParts.length, rightParts.length); i++) {
    const [p, q] = [leftParts[i] ?? '', rightParts[i] ?? ''];
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

const versionComparison = (f: (sign: number) => Value): ClassAdFunction =>
  strict(2, 2, (args) => {
    const t = allStrings(args);
    return t ? f(compareVersions(t[0]!, t[1]!)) : errorValue('no string');
  });

const stringFunction = (f: (text: string) => Value): ClassAdFunction =>
  strict(1, 1, ([v]) => (typeof v === 'string' ? f(v) : boundedString(toText(v!))));

const stringComparison = (normalize: (s: string) => string): ClassAdFunction =>
  strict(2, 2, (args) => {
    const [a, b] = args.map((v) => normalize(toText(v)));
    return a! < b! ? -1n : a! > b! ? 1n : 0n;
  });

function substring(text: string, offset: bigint, length: bigint | undefined): string {
  const size = text.length;
  const from = offset < 0n ? Math.max(0, size + Number(offset)) : Math.min(size, Number(offset));
  if (length === undefined) return text.slice(from);
  const to = length < 0n ? size + Number(length) : from + Number(length);
  return text.slice(from, Math.max(from, to));
}

const splitAtFirst = (separator: string): ClassAdFunction =>
  strict(1, 1, ([v]) => {
    if (typeof v !== 'string') return errorValue('no string');
    const at = v.indexOf(separator);
    if (at < 0) return separator === '@' ? [v, ''] : ['', v];
    return [v.slice(0, at), v.slice(at + 1)];
  });

const REGEXP = strict(2, 3, (args, call) => {
  const t = allStrings(args);
  return t ? matchesPattern(t[1]!, t[0]!, t[2], call) : errorValue('no string');
});

const IMPLEMENTATIONS: Record<string, ClassAdFunction> = {
  isundefined: typeTest((v) => v instanceof Undefined),
  iserror: typeTest((v) => v instanceof ErrorValue),
  isstring: typeTest((v) => typeof v === 'string'),
  isinteger: typeTest((v) => typeof v === 'bigint'),
  isreal: typeTest((v) => typeof v === 'number'),
  isboolean: typeTest((v) => typeof v === 'boolean'),
  islist: typeTest((v) => Array.isArray(v)),
  isclassad: typeTest((v) => v instanceof Ad),
  int: strict(1, 1, ([v]) => toInteger(v!)),
  real: strict(1, 1, ([v]) => toReal(v!)),
  string: strict(1, 1, ([v]) => boundedString(toText(v!))),
  bool: strict(1, 1, ([v]) => {
    if (typeof v === 'string')
      return /^true$/i.test(v) ? true : /^false$/i.test(v) ? false : errorValue('no boolean');
    return asBoolean(v!) ?? errorValue('no boolean');
  }),
  floor: rounding(Math.floor),
  ceiling: rounding(Math.ceil),
  round: rounding((n) => Math.sign(n) * Math.round(Math.abs(n))),
  pow: strict(2, 2, ([a, b]) => {
    const [x, y] = [asNumber(a!), asNumber(b!)];
    if (x === null || y === null) return errorValue('no number');
    if (typeof x === 'bigint' && typeof y === 'bigint' && y >= 0n && y < 64n)
      return BigInt.asIntN(64, x ** y);
    return Number(x) ** Number(y);
  }),
  quantize: strict(2, 2, ([a, b]) => {
    const x = asNumber(a!);
    if (x === null) return errorValue('no number');
    const steps = Array.isArray(b) ? b.map(asNumber) : [asNumber(b!)];
    if (steps.includes(null)) return errorValue('no number');
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
    call.args.length === 0 ? BigInt(Math.floor(call.now)) : errorValue('a wrong number of arguments'),
  interval: strict(1, 1, ([v]) => {
    const n = toInteger(v!);
    if (typeof n !== 'bigint') return n;
    const s = Number(n);
    const twoDigits = (x: number) => String(Math.floor(x)).padStart(2, '0');
    const days = Math.floor(s / 86_400);
    const rest = `${twoDigits((s % 86_400) / 3600)}:${twoDigits((s % 3600) / 60)}:${twoDigits(s % 60)}`;
    return days > 0 ? `${days}+${rest}` : rest;
  }),
  formattime: (call) => {
    const args = call.args.map(call.value);
    const at = args[0] === undefined ? BigInt(Math.floor(call.now)) : toInteger(args[0]);
    const format = args[1] ?? '%c';
    return typeof at === 'bigint' && typeof format === 'string'
      ? boundedString(formatTime(at, format))
      : errorValue('no time');
  },
  splittime: strict(1, 1, ([v]) => (typeof v === 'bigint' ? splitTime(v) : errorValue('no time'))),
  strcat: strict(0, 1000, (args) => boundedString(args.map(toText).join(''))),
  join: strict(1, 1000, (args) => {
    const [mark, ...rest] = args;
    const list = rest.length === 1 && Array.isArray(rest[0]) ? rest[0] : rest;
    if (rest.length === 0 && Array.isArray(mark)) return boundedString(mark.map(toText).join(''));
    return typeof mark === 'string' ? boundedString(list.map(toText).join(mark)) : errorValue('no string');
  }),
  split: strict(1, 2, (args, call) => {
    const t = allStrings(args);
    return t ? boundedList(splitStringList(t[0]!, t[1], call)) : errorValue('no string');
  }),
  substr: strict(2, 3, ([s, offset, length]) => {
    if (typeof s !== 'string' || typeof offset !== 'bigint') return errorValue('substr("text", 0)');
    if (length !== undefined && typeof length !== 'bigint') return errorValue('no integer');
    return substring(s, offset, length);
  }),
  strcmp: stringComparison(identity),
  stricmp: stringComparison(toLowerCase),
  toupper: stringFunction((s) => s.toUpperCase()),
  tolower: stringFunction((s) => s.toLowerCase()),
  size: strict(1, 1, ([v]) => {
    if (typeof v === 'string' || Array.isArray(v)) return BigInt(v.length);
    return v instanceof Ad ? BigInt(v.size) : errorValue('no size');
  }),
  ifthenelse: (call) => {
    if (call.args.length !== 3) return errorValue('a wrong number of arguments');
    const test = call.value(call.args[0]!);
    if (test instanceof Undefined || test instanceof ErrorValue) return test;
    const yes = asBoolean(test);
    return yes === null ? errorValue('a condition that is no boolean') : call.value(call.args[yes ? 1 : 2]!);
  },
  member: listMembership((_, item, list) => list.some((v) => compareValues(v, item) === 0)),
  identicalmember: listMembership((_, item, list) => list.some((v) => v === item)),
  anycompare: listComparison(false),
  allcompare: listComparison(true),
  sum: reduceList((a, b) => arithmetic('+', a, b), UNDEFINED),
  avg: strict(1, 1, ([list], call) => {
    if (!Array.isArray(list)) return errorValue('no list');
    call.chargeSteps(list.length);
    return average(list);
  }),
  min: reduceList(extremeOfPair(-1), UNDEFINED),
  max: reduceList(extremeOfPair(1), UNDEFINED),
  regexp: REGEXP,
  regexps: replaceFunction(false, true),
  replace: replaceFunction(false, false),
  replaceall: replaceFunction(true, false),
  regexpmember: strict(2, 3, ([p, list, options], call) => {
    if (typeof p !== 'string' || !Array.isArray(list)) return errorValue('no list');
    for (const v of list) {
      const found =
        typeof v === 'string'
          ? matchesPattern(v, p, options === undefined ? '' : String(options), call)
          : errorValue('no string');
      if (found !== false) return found;
    }
    return false;
  }),
  stringlistsize: stringListFunction((list) => BigInt(list.length)),
  stringlistsum: numericListFunction(sumOfNumbers),
  stringlistavg: numericListFunction(average),
  stringlistmin: numericListFunction(extremeOfNumbers(-1)),
  stringlistmax: numericListFunction(extremeOfNumbers(1)),
  stringlistmember: stringListMembership(identity, false),
  stringlistimember: stringListMembership(toLowerCase, false),
  stringlistsubsetmatch: stringListMembership(identity, true),
  stringlistisubsetmatch: stringListMembership(toLowerCase, true),
  stringlistregexpmember: strict(2, 4, (args, call) => {
    const t = allStrings(args);
    if (!t) return errorValue('no string');
    for (const item of splitStringList(t[1]!, t[2], call)) {
      const found = matchesPattern(item, t[0]!, t[3], call);
      if (found !== false) return found;
    }
    return false;
  }),
  versioncmp: versionComparison((s) => BigInt(s)),
  versiongt: versionComparison((s) => s > 0),
  versionge: versionComparison((s) => s >= 0),
  versionlt: versionComparison((s) => s < 0),
  versionle: versionComparison((s) => s <= 0),
  versioneq: versionComparison((s) => s === 0),
  splitusername: splitAtFirst('@'),
  splitslotname: splitAtFirst('@'),
  unparse: (call) => {
    const [e] = call.args;
    return e?.node === 'name' ? boundedString(printValue(call.value(e))) : errorValue('unparse(attribute)');
  },
  eval: strict(1, 1, ([v], call) => {
    if (typeof v !== 'string') return v!;
    call.chargeSteps(v.length);
    try {
      return call.value(parseExpr(v));
    } catch (error) {
      return errorValue(error instanceof Error ? error.message : 'not an expression');
    }
  }),
};
IMPLEMENTATIONS.strlen = IMPLEMENTATIONS.size!;
IMPLEMENTATIONS.stringlist_regexpmember = IMPLEMENTATIONS.stringlistregexpmember!;

/** The standard functions by lower-case name. */
export const FUNCTIONS: ReadonlyMap<string, ClassAdFunction> = new Map(Object.entries(IMPLEMENTATIONS));
