import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { MessageParser } from '../../src/http/parser.js';

const LIMITS = { headerBytes: 512, bodyBytes: 64 };
const requestParser = () => new MessageParser('request', LIMITS);
const feed = (parser: MessageParser, text: string) => parser.feed(Buffer.from(text, 'latin1'));

test('parses a request split at any byte identically', () => {
  const text =
    'POST /a?b=c HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhelloGET / HTTP/1.1\r\nHost: x\r\n\r\n';
  for (let cut = 1; cut < text.length; cut++) {
    const parser = requestParser();
    const messages = [...feed(parser, text.slice(0, cut)), ...feed(parser, text.slice(cut))];
    assert.equal(messages.length, 2, `cut at ${cut}`);
    assert.deepEqual(messages[0]!.startLine, ['POST', '/a?b=c', 'HTTP/1.1']);
    assert.equal(messages[0]!.body.toString(), 'hello');
    assert.equal(messages[1]!.startLine[0], 'GET');
    assert.ok(!parser.messageInProgress);
  }
});

test('joins chunked bodies received byte by byte', () => {
  const text =
    'POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nTrailer: z\r\n\r\n';
  const parser = requestParser();
  const messages = [...text].flatMap((c) => feed(parser, c));
  assert.equal(messages.length, 1);
  assert.equal(messages[0]!.body.toString(), 'abcde');
});

test('rejects malformed or oversized input with the matching status', () => {
  const cases: [string, number][] = [
    ['GET\r\n\r\n', 400],
    ['GET / HTTP/2.0\r\n\r\n', 400],
    ['GET / HTTP/1.1\r\nHost: x\r\nno colon\r\n\r\n', 400],
    ['GET / HTTP/1.1\r\nHost: x\r\nbad name: x\r\n\r\n', 400],
    ['POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n', 400],
    ['POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n', 400],
    ['POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n', 400],
    ['POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\n', 501],
    ['POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 65\r\n\r\n', 413],
    ['POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nffffff\r\n', 413],
    ['POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n', 400],
    [`GET / HTTP/1.1\r\nHost: x\r\nA: ${'x'.repeat(600)}`, 431],
    ['GET / HTTP/1.1\r\nA: b\r\n\r\n', 400],
    ['GET / HTTP/1.1\r\nHost: x\r\nHost: x\r\n\r\n', 400],
    ['GET / HTTP/1.1\r\nHost: x\r\nA: b\nC: d\r\n\r\n', 400],
    ['GET / HTTP/1.1\r\nHost: x\r\n A: folded\r\n\r\n', 400],
    ['POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n', 400],
    [`POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n${'T: x\r\n'.repeat(200)}`, 431],
  ];
  for (const [text, status] of cases) {
    const parser = requestParser();
    assert.equal(feed(parser, text).length, 0);
    assert.equal(parser.failure?.status, status, text);
  }
});

test('completes a response without a length at the end of its connection', () => {
  const parser = new MessageParser('response', LIMITS);
  assert.equal(feed(parser, 'HTTP/1.1 200 OK\r\n\r\nabc').length, 0);
  assert.equal(parser.finish()?.body.toString(), 'abc');
});

test('skips interim responses', () => {
  const parser = new MessageParser('response', LIMITS);
  const messages = feed(
    parser,
    'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok',
  );
  assert.equal(messages.length, 1);
  assert.equal(messages[0]!.body.toString(), 'ok');
});

// Generators of valid messages and malformed input.
const token = fc.stringMatching(/^[!#$%&'*+.^_`|~0-9A-Za-z-]{1,12}$/);
const value = fc.stringMatching(/^[\x21-\x7e]{0,20}$/);
const payload = fc.uint8Array({ maxLength: 70 }).map((b) => Buffer.from(b).toString('latin1'));
const framed = fc.oneof(
  payload.map((p) => `Content-Length: ${p.length}\r\n\r\n${p}`),
  fc
    .array(
      payload.filter((p) => p.length > 0),
      { maxLength: 3 },
    )
    .map(
      (ps) =>
        `Transfer-Encoding: chunked\r\n\r\n${ps.map((p) => `${p.length.toString(16)}\r\n${p}\r\n`).join('')}0\r\n\r\n`,
    ),
  fc.constant('\r\n'),
);
const validMessage = fc
  .tuple(token, value, fc.array(fc.tuple(token, value), { maxLength: 4 }), framed)
  .map(
    ([m, p, headers, rest]) =>
      `${m} /${p} HTTP/1.1\r\nHost: x\r\n${headers.map(([n, v]) => `${n}: ${v}\r\n`).join('')}${rest}`,
  );
const malformed = fc.oneof(
  payload,
  fc.constantFrom('\r\n\r\n', '\r', '\n', '0\r\n', 'Host: x\r\n', ' HTTP/1.1\r\n', 'Content-Length: 9\r\n'),
  fc.constantFrom(
    'Transfer-Encoding: chunked\r\n',
    'ffffffff\r\n',
    '1;a=b\r\n',
    'x'.repeat(511),
    'y'.repeat(1024),
  ),
);
const stream = fc.array(
  fc.oneof({ weight: 3, arbitrary: validMessage }, { weight: 2, arbitrary: malformed }),
  {
    maxLength: 8,
  },
);

/** Parses input in pieces; returns the messages and the status for the rest (0 if there was no failure). */
function parsePieces(pieces: Buffer[]): { messages: unknown[]; rejectedWith: number } {
  const parser = requestParser();
  const messages: unknown[] = [];
  for (const piece of pieces) {
    for (const m of parser.feed(piece))
      messages.push([m.startLine, [...m.headers], m.body.toString('latin1'), m.keepAlive]);
    // At most twice the body, because its buffer grows by doubling, plus the rest of a head or a line.
    assert.ok(parser.heldBytes <= 2 * LIMITS.bodyBytes + 256 + 2 * 1024, `${parser.heldBytes} bytes held`);
  }
  return { messages, rejectedWith: parser.failure?.status ?? 0 };
}

// Guards against request smuggling (two parsers seeing different requests in the same bytes) and against input of
// untrusted clients that crashes the process or exhausts its memory.
test('parses and rejects any input identically, however it is split', () => {
  fc.assert(
    fc.property(stream, fc.array(fc.nat(60), { maxLength: 40 }), (texts, cuts) => {
      const bytes = Buffer.from(texts.join(''), 'latin1');
      const pieces: Buffer[] = [];
      let from = 0;
      for (const cut of cuts) {
        pieces.push(bytes.subarray(from, from + cut));
        from += cut;
      }
      pieces.push(bytes.subarray(from));
      const single = parsePieces([...bytes].map((b) => Buffer.from([b])));
      assert.deepEqual(parsePieces(pieces), single);
      assert.deepEqual(parsePieces([bytes]), single);
    }),
    { seed: 20261201, numRuns: 500 },
  );
});
