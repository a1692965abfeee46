import { ProtocolViolationError } from '../errors/errors.js';
/** An HTTP/1.1 message parser that takes bytes as they come, for requests and for responses. */
export interface Message {
  /** First line, split at its first two spaces. */
  start: [string, string, string];
  headers: Map<string, string>;
  body: Buffer;
  keepAlive: boolean;
}

export interface ParserLimits {
  headerBytes: number;
  bodyBytes: number;
}

/** A message that cannot be accepted, with the status that a server answers it with. */
export class ParseError extends ProtocolViolationError {
  constructor(
    readonly status: number,
    message: string,
  ) {
    super(message);
  }
}

type Phase = 'head' | 'fixed' | 'chunk-size' | 'chunk-data' | 'chunk-end' | 'trailer' | 'until-close';

const TOKEN = /^[!#$%&'*+.^_`|~0-9A-Za-z-]+$/;
/** A bare line end inside a value lets two readers see two different heads. */
const FORBIDDEN = /[\0\r\n]/;
const ONCE = new Set(['content-length', 'transfer-encoding', 'host']);
const CHUNK_LINE = 1024;
const EMPTY = Buffer.alloc(0);

/** Bytes of a body as they come: memory in proportion to what has come, and time too, however small the pieces are. */
class Body {
  private buffer: Buffer = EMPTY;
  bytes = 0;

  get held(): number {
    return this.buffer.length;
  }

  append(data: Buffer): void {
    if (this.bytes === 0) {
      // Most bodies come whole and are not copied.
      this.buffer = data;
    } else {
      if (this.bytes + data.length > this.buffer.length) {
        const larger = Buffer.allocUnsafe(Math.max(this.buffer.length * 2, this.bytes + data.length, 256));
        this.buffer.copy(larger, 0, 0, this.bytes);
        this.buffer = larger;
      }
      data.copy(this.buffer, this.bytes);
    }
    this.bytes += data.length;
  }

  take(): Buffer {
    const whole = this.buffer.subarray(0, this.bytes);
    this.buffer = EMPTY;
    this.bytes = 0;
    return whole;
  }
}

export class MessageParser {
  private buffer: Buffer = EMPTY;
  private phase: Phase = 'head';
  private start: [string, string, string] = ['', '', ''];
  private headers = new Map<string, string>();
  private readonly body = new Body();
  private bodyBytes = 0;
  private trailerBytes = 0;
  private expected = 0;
  private scanned = 0;
  /** The client waits to be told to send the body (`Expect: 100-continue`); whoever tells it clears this. */
  awaitsContinue = false;
  /** Set by a client before the response of a request without a body in its answer. */
  noBody = false;

  constructor(
    private readonly kind: 'request' | 'response',
    private readonly limits: ParserLimits,
  ) {}

  /** True while part of a message has come. */
  get midway(): boolean {
    return this.phase !== 'head' || this.buffer.length > 0;
  }

  /** Bytes of memory that a message not yet complete takes. */
  get held(): number {
    return this.buffer.length + this.body.held;
  }

  /** Why nothing more can be read here; whatever comes after is passed over. */
  failure: ParseError | null = null;

  /** Takes bytes and returns the messages that they complete; then `failure` tells whether the rest can be accepted. */
  feed(data: Buffer): Message[] {
    const out: Message[] = [];
    if (this.failure) return out;
    this.buffer = this.buffer.length === 0 ? data : Buffer.concat([this.buffer, data]);
    try {
      for (let message = this.step(); message !== 'more'; message = this.step()) {
        if (message !== 'again') out.push(message);
      }
    } catch (error) {
      if (!(error instanceof ParseError)) throw error;
      this.failure = error;
      this.buffer = EMPTY;
      this.body.take();
    }
    return out;
  }

  /** The other side has closed: a response without a length ends here. */
  finish(): Message | null {
    if (this.failure || this.phase !== 'until-close') return null;
    const last = this.complete(false);
    return last === 'again' ? null : last;
  }

  private step(): Message | 'more' | 'again' {
    switch (this.phase) {
      case 'head':
        return this.head();
      case 'fixed': {
        if (!this.take()) return 'more';
        return this.complete(true);
      }
      case 'chunk-size': {
        const line = this.line(CHUNK_LINE);
        if (line === null) return 'more';
        const size = /^([0-9a-fA-F]{1,8})[ \t]*(;.*)?$/.exec(line);
        if (!size) throw new ParseError(400, 'bad chunk size');
        this.expected = Number.parseInt(size[1]!, 16);
        if (this.expected === 0) {
          this.phase = 'trailer';
          return 'again';
        }
        this.grow(this.expected);
        this.phase = 'chunk-data';
        return 'again';
      }
      case 'chunk-data': {
        if (!this.take()) return 'more';
        this.phase = 'chunk-end';
        return 'again';
      }
      case 'chunk-end': {
        const line = this.line(8);
        if (line === null) return 'more';
        if (line !== '') throw new ParseError(400, 'bad chunk end');
        this.phase = 'chunk-size';
        return 'again';
      }
      case 'trailer': {
        const line = this.line(this.limits.headerBytes);
        if (line === null) return 'more';
        this.trailerBytes += line.length;
        if (this.trailerBytes > this.limits.headerBytes) throw new ParseError(431, 'trailer too large');
        return line === '' ? this.complete(true) : 'again';
      }
      case 'until-close': {
        if (this.buffer.length > 0) {
          this.grow(this.buffer.length);
          this.body.append(this.buffer);
          this.buffer = EMPTY;
        }
        return 'more';
      }
    }
  }

  private grow(bytes: number): void {
    this.bodyBytes += bytes;
    if (this.bodyBytes > this.limits.bodyBytes) throw new ParseError(413, 'body too large');
  }

  /** Moves what has come of the expected bytes to the body; true when all have. */
  private take(): boolean {
    const bytes = Math.min(this.expected, this.buffer.length);
    if (bytes > 0) this.body.append(this.buffer.subarray(0, bytes));
    this.buffer = bytes === this.buffer.length ? EMPTY : this.buffer.subarray(bytes);
    this.expected -= bytes;
    return this.expected === 0;
  }

  private line(limit: number): string | null {
    const end = this.buffer.indexOf('\r\n');
    // The same whether the line comes whole or in pieces, of which the last may end between the two bytes of its end.
    if (end > limit || (end < 0 && this.buffer.length > limit + 1))
      throw new ParseError(400, 'line too long');
    if (end < 0) return null;
    const text = this.buffer.toString('latin1', 0, end);
    this.buffer = this.buffer.subarray(end + 2);
    return text;
  }

  private head(): Message | 'more' | 'again' {
    // Empty lines before a request line are allowed.
    while (this.buffer.length >= 2 && this.buffer[0] === 13 && this.buffer[1] === 10) {
      this.buffer = this.buffer.subarray(2);
    }
    const end = this.buffer.indexOf('\r\n\r\n', Math.max(0, this.scanned - 3));
    if (end < 0) {
      this.scanned = this.buffer.length;
      if (this.buffer.length > this.limits.headerBytes + 3) throw new ParseError(431, 'header too large');
      return 'more';
    }
    this.scanned = 0;
    if (end > this.limits.headerBytes) throw new ParseError(431, 'header too large');
    const lines = this.buffer.toString('latin1', 0, end).split('\r\n');
    this.buffer = this.buffer.subarray(end + 4);
    this.readStart(lines[0]!);
    this.headers = new Map();
    for (let i = 1; i < lines.length; i++) this.readHeader(lines[i]!);
    if (this.kind === 'request') this.checkRequest();
    return this.frame();
  }

  private readStart(line: string): void {
    const parts =
      this.kind === 'request'
        ? /^([!#$%&'*+.^_`|~0-9A-Za-z-]{1,32}) ([\x21-\x7e]{1,4096}) (HTTP\/1\.[01])$/.exec(line)
        : /^(HTTP\/1\.[01]) (\d{3})(?: (.*))?$/.exec(line);
    if (!parts) throw new ParseError(400, 'bad first line');
    this.start = [parts[1]!, parts[2]!, parts[3] ?? ''];
  }

  private readHeader(line: string): void {
    const colon = line.indexOf(':');
    const name = line.slice(0, colon).toLowerCase();
    if (colon <= 0 || !TOKEN.test(name)) throw new ParseError(400, 'bad header');
    const value = line.slice(colon + 1).trim();
    if (FORBIDDEN.test(value)) throw new ParseError(400, 'bad header');
    const before = this.headers.get(name);
    // Two lengths, or a length beside chunks, let two readers see two different bodies; two hosts, two servers.
    if (before !== undefined && ONCE.has(name)) throw new ParseError(400, `repeated ${name}`);
    this.headers.set(name, before === undefined ? value : `${before}, ${value}`);
  }

  /** What HTTP/1.1 demands of a request beyond its form (RFC 9112, 3.2 and 6.1; RFC 9110, 10.1.1). */
  private checkRequest(): void {
    const modern = this.start[2] === 'HTTP/1.1';
    if (modern && !this.headers.has('host')) throw new ParseError(400, 'no host');
    if (!modern && this.headers.has('transfer-encoding')) throw new ParseError(400, 'bad transfer coding');
    const expects = modern ? this.headers.get('expect') : undefined;
    if (expects === undefined) return;
    if (expects.toLowerCase() !== '100-continue') throw new ParseError(417, 'unknown expectation');
    this.awaitsContinue = true;
  }

  private frame(): Message | 'again' {
    this.bodyBytes = 0;
    this.trailerBytes = 0;
    const coding = this.headers.get('transfer-encoding');
    const length = this.headers.get('content-length');
    if (coding !== undefined) {
      if (length !== undefined || coding.toLowerCase() !== 'chunked') {
        throw new ParseError(coding.toLowerCase() === 'chunked' ? 400 : 501, 'bad transfer coding');
      }
      this.phase = 'chunk-size';
      return 'again';
    }
    if (length !== undefined) {
      if (!/^\d{1,15}$/.test(length)) throw new ParseError(400, 'bad length');
      this.expected = Number(length);
      if (this.expected > this.limits.bodyBytes) throw new ParseError(413, 'body too large');
      this.phase = 'fixed';
      return 'again';
    }
    const status = this.kind === 'response' ? Number(this.start[1]) : 0;
    if (this.kind === 'request' || this.noBody || status === 204 || status === 304 || status < 200) {
      return this.complete(true);
    }
    this.phase = 'until-close';
    return 'again';
  }

  private complete(framed: boolean): Message | 'again' {
    this.phase = 'head';
    this.noBody = false;
    this.awaitsContinue = false;
    const body = this.body.take();
    // Interim answers come before the one that counts; nothing asks for another protocol.
    if (this.kind === 'response' && this.start[1] === '101') throw new ParseError(400, 'protocol switched');
    if (this.kind === 'response' && this.start[1].startsWith('1')) return 'again';
    const version = this.kind === 'request' ? this.start[2] : this.start[0];
    const connection = (this.headers.get('connection') ?? '').toLowerCase();
    const keepAlive =
      framed && (version === 'HTTP/1.1' ? !connection.includes('close') : connection.includes('keep-alive'));
    return { start: this.start, headers: this.headers, body, keepAlive };
  }
}
