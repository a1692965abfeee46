import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { Ad, type BinaryOp, ErrorValue, type Expr, PRECEDENCE, UNDEFINED } from '../../src/classad/ast.js';
import { evaluate } from '../../src/classad/evaluate.js';
import { flatten, targetAttributeNames } from '../../src/classad/flatten.js';
import { ClassAdError, parseAd, parseExpr } from '../../src/classad/parser.js';
import { printExpr, printValue } from '../../src/classad/print.js';

const MY = parseAd(
  '[ Owner = "ann"; RequestMemory = 2048; Twice = RequestMemory * 2; Loop = Pool; Pool = Loop ]',
);
const TARGET = parseAd(
  'Memory = 4096\nArch = "X86_64"\nImages = {"a", "B"}\nWants = TARGET.Owner == "ANN"\nBox = [ x = 1; y = x + 1 ]',
);
const NOW = 1_700_000_000;
const printedValue = (text: string) =>
  printValue(evaluate(parseExpr(text), { my: MY, target: TARGET, now: NOW }));

test('evaluates expressions to the values that the ClassAd language defines', () => {
  const cases: Record<string, string> = {
    '1 + 2 * 3 - 4 / 3': '6',
    '7 / 2.0': '3.5',
    '5 % 3 + (1 << 4) + (-8 >> 1) + (255 & 15 ^ 3 | 64)': '90',
    '0x10 + 2K': '2064',
    '1 / 0': 'error',
    'undefined + 1': 'undefined',
    '"a" == "A" && "a" =!= "A"': 'true',
    '1 == 1.0 && 1 =!= 1.0': 'true',
    'true == 1': 'true',
    '"1" < 2': 'error',
    'Missing =?= undefined': 'true',
    'Missing isnt error': 'true',
    'Missing ?: 4': '4',
    'Missing ? 1 : 2': 'undefined',
    'Memory >= RequestMemory && TARGET.Arch == "x86_64"': 'true',
    'MY.Memory': 'undefined',
    Twice: '4096',
    Loop: 'error',
    'TARGET.Wants': 'true',
    'Box.y + Box["x"]': '3',
    'Images[1]': '"B"',
    'Images[7]': 'error',
    'member("b", Images) && !identicalMember("b", Images)': 'true',
    'anyCompare("<", {3, 9}, 4) && !allCompare("<", {3, 9}, 4)': 'true',
    'ifThenElse(isUndefined(Missing), "none", Missing)': '"none"',
    'strcat("a", 1, true, 2.5)': '"a1true2.5"',
    'substr("canteen", 3) + 1': 'error',
    'substr("canteen", -4, 2)': '"te"',
    'toUpper("ab") == toLower("AB")': 'true',
    'size("abc") + size(Images)': '5',
    'join("-", {"a", 2})': '"a-2"',
    'split("a b,c")': '{ "a", "b", "c" }',
    'stringListMember("B", "a, b") || stringListIMember("B", "a, b")': 'true',
    'stringListSum("1,2.5") + stringListMax("4 7")': '10.5',
    'stringListSubsetMatch("a,b", "c,b,a")': 'true',
    'regexp("^ca.*N$", "canteen", "i")': 'true',
    'regexps("(c)(an)", "canteen", "\\\\2\\\\1")': '"anc"',
    'replaceAll("e", "canteen", "E")': '"cantEEn"',
    'int("12") + int(3.9) + round(2.5) + ceiling(1.1) + floor(-1.1)': '18',
    'pow(2, 10) + quantize(13, 8) + quantize(3, {2, 4})': '1044',
    'real("1e3")': '1000.0',
    'sum({1, 2, 3}) + max({4, 9}) + min({4, 9})': '19',
    'avg({1, 2})': '1.5',
    'time()': String(NOW),
    'formatTime(0, "%Y-%m-%d %H:%M")': '"1970-01-01 00:00"',
    'splitTime(86400).Day': '2',
    'interval(90061)': '"1+01:01:01"',
    'versionGT("10.2.1", "9.12")': 'true',
    'splitSlotName("slot1@host")[1]': '"host"',
    'eval("1 + Memory")': '4097',
    'noSuch(1)': 'error',
    '!3 || -2': 'true',
    '1 < 2 ? "y" : "n"': '"y"',
  };
  for (const [text, value] of Object.entries(cases)) assert.equal(printedValue(text), value, text);
});

test('follows the truth tables of three-valued logic', () => {
  const values = ['false', 'undefined', 'error', 'true'];
  // Rows (left operand) and columns (right operand) are in the order of `values`. An operand that decides the
  // result alone does so on either side, except after an error on the left; an error takes precedence over
  // undefined.
  const and = { false: 'FFFF', undefined: 'FUEU', error: 'EEEE', true: 'FUET' };
  const or = { false: 'FUET', undefined: 'UUET', error: 'EEEE', true: 'TTTT' };
  for (const [op, tables] of [
    ['&&', and],
    ['||', or],
  ] as const) {
    for (const a of values)
      values.forEach((b, i) => {
        const want = tables[a as keyof typeof and][i];
        assert.equal(printedValue(`${a} ${op} ${b}`)[0]!.toUpperCase(), want, `${a} ${op} ${b}`);
      });
  }
  for (const op of ['=?=', '=!='])
    for (const a of values)
      for (const b of values)
        assert.equal(printedValue(`${a} ${op} ${b}`), String((a === b) === (op === '=?=')));
});

/** Generates plain objects, like those that the parser creates. */
const plainObject = <T>(of: { [K in keyof T]: fc.Arbitrary<T[K]> }) =>
  fc.record<T>(of, { noNullPrototype: true });
const name = fc.constantFrom('a', 'Memory', 'x9', 'Owner');
const literal: fc.Arbitrary<Expr> = fc
  .oneof(
    fc.bigInt(0n, 2n ** 62n),
    fc.double({ min: 0, max: 1e9, noNaN: true }).map(Math.abs),
    fc.string(),
    fc.boolean(),
    fc.constant(UNDEFINED),
  )
  .map((value) => ({ node: 'literal', value }));
const { expr } = fc.letrec<{ expr: Expr; ad: Expr }>((tie) => ({
  expr: fc.oneof(
    { maxDepth: 4, withCrossShrink: true },
    literal,
    fc.record(
      { node: fc.constant('name' as const), scope: fc.constantFrom(null, 'my', 'target'), name },
      { noNullPrototype: true },
    ),
    fc.record(
      {
        node: fc.constant('unary' as const),
        op: fc.constantFrom('-', '+', '!', '~'),
        operand: tie('expr'),
      },
      { noNullPrototype: true },
    ),
    fc.record(
      {
        node: fc.constant('binary' as const),
        op: fc.constantFrom(...(Object.keys(PRECEDENCE) as BinaryOp[])),
        left: tie('expr'),
        right: tie('expr'),
      },
      { noNullPrototype: true },
    ),
    plainObject({
      node: fc.constant('if' as const),
      test: tie('expr'),
      consequent: fc.option(tie('expr'), { nil: null }),
      alternate: tie('expr'),
    }),
    fc.record(
      { node: fc.constant('list' as const), items: fc.array(tie('expr'), { maxLength: 3 }) },
      { noNullPrototype: true },
    ),
    plainObject({
      node: fc.constant('call' as const),
      name: fc.constantFrom(
        'size',
        'strcat',
        'regexp',
        'ifThenElse',
        'member',
        'int',
        'substr',
        'pow',
        'eval',
        'split',
      ),
      args: fc.array(tie('expr'), { maxLength: 3 }),
    }),
    fc.record(
      { node: fc.constant('index' as const), operand: tie('expr'), at: tie('expr') },
      { noNullPrototype: true },
    ),
    plainObject({ node: fc.constant('select' as const), operand: tie('expr'), name }),
    tie('ad'),
  ) as fc.Arbitrary<Expr>,
  ad: fc.dictionary(name, tie('expr') as fc.Arbitrary<Expr>, { maxKeys: 2 }).map((d) => {
    const ad = new Ad();
    for (const [k, e] of Object.entries(d)) ad.set(k, e);
    return { node: 'ad', ad } as Expr;
  }) as fc.Arbitrary<Expr>,
}));
const RUNS = { seed: 17, numRuns: 600 };

test('parses a printed expression to the same expression', () => {
  fc.assert(
    fc.property(expr, (e) => {
      const text = printExpr(e);
      assert.equal(printExpr(parseExpr(text)), text);
      if (!/\[ /.test(text)) assert.deepEqual(parseExpr(text), e, text);
    }),
    RUNS,
  );
});

test('never throws during evaluation, and flattening with one ad preserves the value', () => {
  fc.assert(
    fc.property(expr, (e) => {
      const context = { my: MY, target: TARGET, now: NOW };
      const value = evaluate(e, context);
      const flattenedValue = evaluate(flatten(e, MY), context);
      if (
        !(value instanceof ErrorValue || flattenedValue instanceof ErrorValue) &&
        !printExpr(e).includes('[')
      )
        assert.equal(printValue(flattenedValue), printValue(value), printExpr(e));
    }),
    RUNS,
  );
});

// Guards against a submission that blocks a controller: without limits each of these took seconds or all memory.
test('rejects hostile expressions quickly with an error', () => {
  const nested = (n: number) => `${'('.repeat(n)}1${')'.repeat(n)}`;
  assert.throws(() => parseExpr(nested(5000)), ClassAdError);
  assert.throws(() => parseExpr('-'.repeat(50_000)), ClassAdError);
  assert.throws(() => parseExpr('1?'.repeat(20_000)), ClassAdError);
  assert.throws(() => parseExpr(`"${'x'.repeat(70_000)}"`), ClassAdError);
  assert.equal(printedValue(nested(90)), '1');
  const doubling = parseAd(
    `[ a0 = "xxxxxxxxxx"; ${Array.from({ length: 40 }, (_, i) => `a${i + 1} = strcat(a${i}, a${i})`).join('; ')} ]`,
  );
  const context = { my: doubling };
  assert.ok(evaluate(parseExpr('size(a40)'), context) instanceof ErrorValue);
  assert.ok(
    evaluate(parseExpr('regexp("(a+)+$", "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaab")'), context) === false,
  );
  const wide = `{ ${Array.from({ length: 20_000 }, () => '1').join(', ')} }`;
  assert.equal(printedValue(`size(${wide})`), '20000');
  const heavy = parseAd(`[ l = ${wide}; t = ${Array.from({ length: 30 }, () => 'sum(l)').join(' + ')} ]`);
  assert.ok(evaluate(parseExpr('t'), { my: heavy }) instanceof ErrorValue);
});

test('reports line and column of syntax errors', () => {
  const errorPosition = (text: string, read: (t: string) => unknown = parseExpr) => {
    try {
      read(text);
    } catch (error) {
      assert.ok(error instanceof ClassAdError);
      return [error.line, error.column];
    }
    return null;
  };
  assert.deepEqual(errorPosition('1 + '), [1, 4]);
  assert.deepEqual(errorPosition('(Memory > 3'), [1, 12]);
  assert.deepEqual(errorPosition('a @ b'), [1, 3]);
  assert.deepEqual(errorPosition('1 2'), [1, 3]);
  assert.deepEqual(errorPosition('x = 1\ny = (2', parseAd), [2, 7]);
  assert.deepEqual(errorPosition('x = 1\nwhat is this', parseAd), [2, 1]);
  assert.equal(errorPosition('x = 1 // so\n# and so\n\ny = "\\"quoted\\""', parseAd), null);
});

test('flattening leaves only the attributes of the target ad', () => {
  const e = parseExpr('(Memory >= RequestMemory) && (Owner == "ann") && (Arch == "X86_64" || Twice > 1e6)');
  assert.equal(printExpr(flatten(e, MY)), 'TARGET.Memory >= 2048 && TARGET.Arch == "X86_64"');
  assert.deepEqual([...targetAttributeNames(flatten(e, MY), MY)].sort(), ['arch', 'memory']);
});
