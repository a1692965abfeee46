/** An HTTP/1.1 message parser that takes bytes as they are received, for requests and for responses. */

import { ProtocolViolationError } from '../errors/errors.js';

/** A complete request or response. */
export interface HttpMessage {
  /** First line, split at its first two spaces. */
  start: [string, string, string];
  /** By lower-case name; repeated ones joined by commas. */
  headers: Map<string, string>;
  body: Buffer;
  /** Whether the connection may be used for another message. */
  keepAlive: boolean;
}

/** The longest head (without the empty line) and body of a message. */
export interface ParserLimits {
  headerBytes: number;
  bodyBytes: number;
}

/** A message that cannot be accepted, with the status that a server replies with. */
class ParseError extends ProtocolViolationError {
  constructor(
    readonly status: number,
    message: string,
  ) {
    super(message);
  }
}

/** Which part of a message is expected next. */
type ParserPhase = 'head' | 'fixed' | 'chunk-size' | 'chunk-data' | 'chunk-end' | 'trailer' | 'until-close';

const TOKEN = /^[!#$%&'*+.^_`|~0-9A-Za-z-]+$/;
/** A bare line end inside a value would be read differently by two parsers (request smuggling). */
const FORBIDDEN_IN_VALUE = /[\0\r\n]/;
const SINGLE_HEADERS = new Set(['content-length', 'transfer-encoding', 'host']);
const MAX_CHUNK_LINE_BYTES = 1024;
const EMPTY = Buffer.alloc(0);

/** A body as it is received: memory and time in proportion to the bytes received, however small the pieces are. */
class BodyBuffer {
  private buffer: Buffer = EMPTY;
  bytes = 0;

  get held(): number {
    return this.buffer.length;
  }

  append(data: Buffer): void {
    if (this.bytes === 0) {
      // Most bodies are received in one piece and are not copied.
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

/** Parses the messages of one connection. */
export class MessageParser {
  private buffer: Buffer = EMPTY;
  private phase: ParserPhase = 'head';
  private start: [string, string, string] = ['', '', ''];
  private headers = new Map<string, string>();
  private readonly body = new BodyBuffer();
  private bodyBytes = 0;
  private trailerBytes = 0;
  private expectedBytes = 0;
  private scannedBytes = 0;
  /** The client waits for an interim reply before it sends the body (`Expect: 100-continue`); who sends that clears this. */
  awaitsContinue = false;
  /** Set by a client whose request gets a response without a body (HEAD). */
  noBody = false;

  constructor(
    private readonly kind: 'request' | 'response',
    private readonly limits: ParserLimits,
  ) {}

  /** Whether part of a message has been received. */
  get midway(): boolean {
    return this.phase !== 'head' || this.buffer.length > 0;
  }

  /** Bytes of memory that the incomplete message takes. */
  get held(): number {
    return this.buffer.length + this.body.held;
  }

  /** Why nothing more can be parsed on this connection; further bytes are ignored. */
  failure: ParseError | null = null;

  /** Takes bytes and returns the messages that they complete; `failure` is then set if the rest cannot be accepted. */
  feed(data: Buffer): HttpMessage[] {
    const out: HttpMessage[] = [];
    if (this.failure) return out;
    this.buffer = this.buffer.length === 0 ? data : Buffer.concat([this.buffer, data]);
    try {
      for (let message = this.advance(); message !== 'more'; message = this.advance()) {
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

  /** The other side has closed the connection: completes a response without a length. */
  finish(): HttpMessage | null {
    if (this.failure || this.phase !== 'until-close') return null;
    const last = this.complete(false);
    return last === 'again' ? null : last;
  }

  /** Parses the part that is expected next: a complete message, or whether to parse on or to wait for more bytes. */
  private advance(): HttpMessage | 'more' | 'again' {
    switch (this.phase) {
      case 'head':
        return this.readHead();
      case 'fixed':
        return this.takeExpected() ? this.complete(true) : 'more';
      case 'chunk-size':
        return this.readChunkSize();
      case 'chunk-data':
        return this.takeExpected() ? this.enter('chunk-end') : 'more';
      case 'chunk-end':
        return this.readChunkEnd();
      case 'trailer':
        return this.readTrailer();
      case 'until-close':
        return this.readUntilClose();
    }
  }

  private enter(phase: ParserPhase): 'again' {
    this.phase = phase;
    return 'again';
  }

  private readChunkSize(): 'more' | 'again' {
    const line = this.takeLine(MAX_CHUNK_LINE_BYTES);
    if (line === null) return 'more';
    const size = /^([0-9a-fA-F]{1,8})[ \t]*(;.*)?$/.exec(line);
    if (!size) throw new ParseError(400, 'bad chunk size');
    this.expectedBytes = Number.parseInt(size[1]!, 16);
    if (this.expectedBytes === 0) return this.enter('trailer');
    this.countBodyBytes(this.expectedBytes);
    return this.enter('chunk-data');
  }

  private readChunkEnd(): 'more' | 'again' {
    const line = this.takeLine(8);
    if (line === null) return 'more';
    if (line !== '') throw new ParseError(400, 'bad chunk end');
    return this.enter('chunk-size');
  }

  private readTrailer(): HttpMessage | 'more' | 'again' {
    const line = this.takeLine(this.limits.headerBytes);
    if (line === null) return 'more';
    this.trailerBytes += line.length;
    if (this.trailerBytes > this.limits.headerBytes) throw new ParseError(431, 'trailer too large');
    return line === '' ? this.complete(true) : 'again';
  }

  private readUntilClose(): 'more' {
    if (this.buffer.length > 0) {
      this.countBodyBytes(this.buffer.length);
      this.body.append(this.buffer);
      this.buffer = EMPTY;
    }
    return 'more';
  }

  private countBodyBytes(bytes: number): void {
    this.bodyBytes += bytes;
    if (this.bodyBytes > this.limits.bodyBytes) throw new ParseError(413, 'body too large');
  }

  /** Moves the expected bytes received so far to the body; true when all have been received. */
  private takeExpected(): boolean {
    const bytes = Math.min(this.expectedBytes, this.buffer.length);
    if (bytes > 0) this.body.append(this.buffer.subarray(0, bytes));
    this.buffer = bytes === this.buffer.length ? EMPTY : this.buffer.subarray(bytes);
    this.expectedBytes -= bytes;
    return this.expectedBytes === 0;
  }

  /** The next line without its end, or null while it is incomplete. */
  private takeLine(limit: number): string | null {
    const end = this.buffer.indexOf('\r\n');
    // The same result however the line is split into pieces, also between the two bytes of its end.
    if (end > limit || (end < 0 && this.buffer.length > limit + 1))
      throw new ParseError(400, 'line too long');
    if (end < 0) return null;
    const text = this.buffer.toString('latin1', 0, end);
    this.buffer = this.buffer.subarray(end + 2);
    return text;
  }

  private readHead(): HttpMessage | 'more' | 'again' {
    // Empty lines before a request line are allowed.
    while (this.buffer.length >= 2 && this.buffer[0] === 13 && this.buffer[1] === 10) {
      this.buffer = this.buffer.subarray(2);
    }
    const end = this.buffer.indexOf('\r\n\r\n', Math.max(0, this.scannedBytes - 3));
    if (end < 0) {
      this.scannedBytes = this.buffer.length;
      if (this.buffer.length > this.limits.headerBytes + 3) throw new ParseError(431, 'header too large');
      return 'more';
    }
    this.scannedBytes = 0;
    if (end > this.limits.headerBytes) throw new ParseError(431, 'header too large');
    const lines = this.buffer.toString('latin1', 0, end).split('\r\n');
    this.buffer = this.buffer.subarray(end + 4);
    this.readStart(lines[0]!);
    this.headers = new Map();
    for (let i = 1; i < lines.length; i++) this.readHeader(lines[i]!);
    if (this.kind === 'request') this.checkRequest();
    return this.beginBody();
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
    if (FORBIDDEN_IN_VALUE.test(value)) throw new ParseError(400, 'bad header');
    const before = this.headers.get(name);
    // Two lengths, or a length beside chunks, let two parsers see two different bodies; two hosts, two servers.
    if (before !== undefined && SINGLE_HEADERS.has(name)) throw new ParseError(400, `repeated ${name}`);
    this.headers.set(name, before === undefined ? value : `${before}, ${value}`);
  }

  /** What HTTP/1.1 requires of a request beyond its form (RFC 9112, 3.2 and 6.1; RFC 9110, 10.1.1). */
  private checkRequest(): void {
    const modern = this.start[2] === 'HTTP/1.1';
    if (modern && !this.headers.has('host')) throw new ParseError(400, 'no host');
    if (!modern && this.headers.has('transfer-encoding')) throw new ParseError(400, 'bad transfer coding');
    const expects = modern ? this.headers.get('expect') : undefined;
    if (expects === undefined) return;
    if (expects.toLowerCase() !== '100-continue') throw new ParseError(417, 'unknown expectation');
    this.awaitsContinue = true;
  }

  /** How the body is delimited, by the head (RFC 9112, 6.3). */
  private beginBody(): HttpMessage | 'again' {
    this.bodyBytes = 0;
    this.trailerBytes = 0;
    const coding = this.headers.get('transfer-encoding');
    const length = this.headers.get('content-length');
    if (coding !== undefined) {
      if (length !== undefined || coding.toLowerCase() !== 'chunked') {
        throw new ParseError(coding.toLowerCase() === 'chunked' ? 400 : 501, 'bad transfer coding');
      }
      return this.enter('chunk-size');
    }
    if (length !== undefined) {
      if (!/^\d{1,15}$/.test(length)) throw new ParseError(400, 'bad length');
      this.expectedBytes = Number(length);
      if (this.expectedBytes > this.limits.bodyBytes) throw new ParseError(413, 'body too large');
      return this.enter('fixed');
    }
    const status = this.kind === 'response' ? Number(this.start[1]) : 0;
    if (this.kind === 'request' || this.noBody || status === 204 || status === 304 || status < 200) {
      return this.complete(true);
    }
    return this.enter('until-close');
  }

  /** Ends a message; `framed` is false when only the end of the connection has delimited it. */
  private complete(framed: boolean): HttpMessage | 'again' {
    this.phase = 'head';
    this.noBody = false;
    this.awaitsContinue = false;
    const body = this.body.take();
    // Interim responses precede the final one; no request asks for another protocol.
    if (this.kind === 'response' && this.start[1] === '101') throw new ParseError(400, 'protocol switched');
    if (this.kind === 'response' && this.start[1].startsWith('1')) return 'again';
    const version = this.kind === 'request' ? this.start[2] : this.start[0];
    const connection = (this.headers.get('connection') ?? '').toLowerCase();
    const keepAlive =
      framed && (version === 'HTTP/1.1' ? !connection.includes('close') : connection.includes('keep-alive'));
    return { start: this.start, headers: this.headers, body, keepAlive };
  }
}
