import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MessageParser, ParseError } from '../src/http/parser.js';

const LIMITS = { headerBytes: 512, bodyBytes: 64 };
const request = () => new MessageParser('request', LIMITS);
const all = (parser: MessageParser, text: string) => parser.feed(Buffer.from(text, 'latin1'));

test('a request split at any byte is read the same', () => {
  const text = 'POST /a?b=c HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhelloGET / HTTP/1.1\r\n\r\n';
  for (let cut = 1; cut < text.length; cut++) {
    const parser = request();
    const got = [...all(parser, text.slice(0, cut)), ...all(parser, text.slice(cut))];
    assert.equal(got.length, 2, `cut at ${cut}`);
    assert.deepEqual(got[0]!.start, ['POST', '/a?b=c', 'HTTP/1.1']);
    assert.equal(got[0]!.body.toString(), 'hello');
    assert.equal(got[1]!.start[0], 'GET');
    assert.ok(!parser.midway);
  }
});

test('chunked bodies are joined, byte by byte too', () => {
  const text =
    'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nTrailer: z\r\n\r\n';
  const parser = request();
  const got = [...text].flatMap((c) => all(parser, c));
  assert.equal(got.length, 1);
  assert.equal(got[0]!.body.toString(), 'abcde');
});

test('hostile input is refused with the status that says why', () => {
  const cases: [string, number][] = [
    ['GET\r\n\r\n', 400],
    ['GET / HTTP/2.0\r\n\r\n', 400],
    ['GET / HTTP/1.1\r\nno colon\r\n\r\n', 400],
    ['GET / HTTP/1.1\r\nbad name: x\r\n\r\n', 400],
    ['POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n', 400],
    ['POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n', 400],
    ['POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n', 400],
    ['POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n', 501],
    ['POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n', 413],
    ['POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffff\r\n', 413],
    ['POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n', 400],
    [`GET / HTTP/1.1\r\nA: ${'x'.repeat(600)}`, 431],
  ];
  for (const [text, status] of cases) {
    assert.throws(
      () => all(request(), text),
      (error) => error instanceof ParseError && error.status === status,
      text,
    );
  }
});

test('a response without a length ends when its connection does', () => {
  const parser = new MessageParser('response', LIMITS);
  assert.equal(all(parser, 'HTTP/1.1 200 OK\r\n\r\nabc').length, 0);
  assert.equal(parser.finish()?.body.toString(), 'abc');
});
