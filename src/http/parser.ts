/** An incremental HTTP/1.1 parser for requests and responses. */

import { ProtocolViolationError } from '../errors/errors.js';

/** A complete request or response. */
export interface HttpMessage {
  /** The start line, split at its first two spaces. */
  startLine: [string, string, string];
  /** Header values by lower-case name; those of repeated headers are joined by commas. */
  headers: Map<string, string>;
  body: Buffer;
  /** Whether the connection may be used for another message. */
  keepAlive: boolean;
}

/** Maximum sizes of the head (without its empty line) and the body of a message. */
export interface ParserLimits {
  headerBytes: number;
  bodyBytes: number;
}

/** An invalid or too large message, with the status of the server's reply to it. */
class ParseError extends ProtocolViolationError {
  constructor(
    readonly status: number,
    message: string,
  ) {
    super(message);
  }
}

/** The part of a message that is expected next. */
type ParserPhase = 'head' | 'fixed' | 'chunk-size' | 'chunk-data' | 'chunk-end' | 'trailer' | 'until-close';

const TOKEN = /^[!#$%&'*+.^_`|~0-9A-Za-z-]+$/;
/** Two parsers may interpret a bare CR or LF in a header value differently, which enables request smuggling. */
const FORBIDDEN_IN_VALUE = /[\0\r\n]/;
const SINGLE_HEADERS = new Set(['content-length', 'transfer-encoding', 'host']);
const MAX_CHUNK_LINE_BYTES = 1024;
const EMPTY = Buffer.alloc(0);

/** Accumulates a body. Memory and time are linear in the bytes received, regardless of the size of the pieces. */
class BodyBuffer {
  private buffer: Buffer = EMPTY;
  bytes = 0;

  get allocatedBytes(): number {
    return this.buffer.length;
  }

  append(data: Buffer): void {
    if (this.bytes === 0) {
      // Most bodies are received in one piece, so the first piece is not copied.
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
    const body = this.buffer.subarray(0, this.bytes);
    this.buffer = EMPTY;
    this.bytes = 0;
    return body;
  }
}

/** Parses the messages of one connection. */
export class MessageParser {
  private buffer: Buffer = EMPTY;
  private phase: ParserPhase = 'head';
  private startLine: [string, string, string] = ['', '', ''];
  private headers = new Map<string, string>();
  private readonly body = new BodyBuffer();
  private bodyBytes = 0;
  private trailerBytes = 0;
  private expectedBytes = 0;
  private scannedBytes = 0;
  /**
   * Whether the client waits for an interim response before it sends the body (`Expect: 100-continue`). Reset by the
   * sender of that response.
   */
  awaitsContinue = false;
  /** Set by a client if the response to its request has no body (HEAD). */
  noBody = false;

  constructor(
    private readonly kind: 'request' | 'response',
    private readonly limits: ParserLimits,
  ) {}

  /** Whether part of an incomplete message has been received. */
  get messageInProgress(): boolean {
    return this.phase !== 'head' || this.buffer.length > 0;
  }

  /** Memory held for the incomplete message, in bytes. */
  get heldBytes(): number {
    return this.buffer.length + this.body.allocatedBytes;
  }

  /** The error after which nothing more is parsed on this connection; further bytes are ignored. */
  failure: ParseError | null = null;

  /** Parses `data` and returns the messages that it completes; sets `failure` if the rest is invalid or too large. */
  feed(data: Buffer): HttpMessage[] {
    const messages: HttpMessage[] = [];
    if (this.failure) return messages;
    this.buffer = this.buffer.length === 0 ? data : Buffer.concat([this.buffer, data]);
    try {
      for (let message = this.advance(); message !== 'more'; message = this.advance()) {
        if (message !== 'again') messages.push(message);
      }
    } catch (error) {
      if (!(error instanceof ParseError)) throw error;
      this.failure = error;
      this.buffer = EMPTY;
      this.body.take();
    }
    return messages;
  }

  /** Completes a response that is delimited by the end of the connection; call it when the peer has closed it. */
  finish(): HttpMessage | null {
    if (this.failure || this.phase !== 'until-close') return null;
    const message = this.complete(false);
    return message === 'again' ? null : message;
  }

  /**
   * Parses the part that is expected next. Returns a complete message, `again` if another part can be parsed, or
   * `more` if more bytes are needed.
   */
  private advance(): HttpMessage | 'more' | 'again' {
    switch (this.phase) {
      case 'head':
        return this.readHead();
      case 'fixed':
        return this.takeExpected() ? this.complete(true) : 'more';
      case 'chunk-size':
        return this.readChunkSize();
      case 'chunk-data':
        return this.takeExpected() ? this.enterPhase('chunk-end') : 'more';
      case 'chunk-end':
        return this.readChunkEnd();
      case 'trailer':
        return this.readTrailer();
      case 'until-close':
        return this.readUntilClose();
    }
  }

  private enterPhase(phase: ParserPhase): 'again' {
    this.phase = phase;
    return 'again';
  }

  private readChunkSize(): 'more' | 'again' {
    const line = this.takeLine(MAX_CHUNK_LINE_BYTES);
    if (line === null) return 'more';
    const match = /^([0-9a-fA-F]{1,8})[ \t]*(;.*)?$/.exec(line);
    if (!match) throw new ParseError(400, 'bad chunk size');
    this.expectedBytes = Number.parseInt(match[1]!, 16);
    if (this.expectedBytes === 0) return this.enterPhase('trailer');
    this.countBodyBytes(this.expectedBytes);
    return this.enterPhase('chunk-data');
  }

  private readChunkEnd(): 'more' | 'again' {
    const line = this.takeLine(8);
    if (line === null) return 'more';
    if (line !== '') throw new ParseError(400, 'bad chunk end');
    return this.enterPhase('chunk-size');
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

  /** Moves the expected bytes received so far to the body; returns whether all have been received. */
  private takeExpected(): boolean {
    const bytes = Math.min(this.expectedBytes, this.buffer.length);
    if (bytes > 0) this.body.append(this.buffer.subarray(0, bytes));
    this.buffer = bytes === this.buffer.length ? EMPTY : this.buffer.subarray(bytes);
    this.expectedBytes -= bytes;
    return this.expectedBytes === 0;
  }

  /** Removes and returns the next line without its line end; returns null while the line is incomplete. */
  private takeLine(limit: number): string | null {
    const end = this.buffer.indexOf('\r\n');
    // The result must not depend on how the line is split into pieces, even between the CR and the LF.
    if (end > limit || (end < 0 && this.buffer.length > limit + 1))
      throw new ParseError(400, 'line too long');
    if (end < 0) return null;
    const text = this.buffer.toString('latin1', 0, end);
    this.buffer = this.buffer.subarray(end + 2);
    return text;
  }

  private readHead(): HttpMessage | 'more' | 'again' {
    // Empty lines before the start line are ignored.
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
    this.readStartLine(lines[0]!);
    this.headers = new Map();
    for (let i = 1; i < lines.length; i++) this.readHeader(lines[i]!);
    if (this.kind === 'request') this.checkRequest();
    return this.beginBody();
  }

  private readStartLine(line: string): void {
    const parts =
      this.kind === 'request'
        ? /^([!#$%&'*+.^_`|~0-9A-Za-z-]{1,32}) ([\x21-\x7e]{1,4096}) (HTTP\/1\.[01])$/.exec(line)
        : /^(HTTP\/1\.[01]) (\d{3})(?: (.*))?$/.exec(line);
    if (!parts) throw new ParseError(400, 'bad first line');
    this.startLine = [parts[1]!, parts[2]!, parts[3] ?? ''];
  }

  private readHeader(line: string): void {
    const colon = line.indexOf(':');
    const name = line.slice(0, colon).toLowerCase();
    if (colon <= 0 || !TOKEN.test(name)) throw new ParseError(400, 'bad header');
    const value = line.slice(colon + 1).trim();
    if (FORBIDDEN_IN_VALUE.test(value)) throw new ParseError(400, 'bad header');
    const previous = this.headers.get(name);
    // With two lengths, or a length and chunked coding, two parsers may disagree on the body; with two hosts, on the
    // server.
    if (previous !== undefined && SINGLE_HEADERS.has(name)) throw new ParseError(400, `repeated ${name}`);
    this.headers.set(name, previous === undefined ? value : `${previous}, ${value}`);
  }

  /** Checks the headers of a request as HTTP/1.1 requires (RFC 9112, 3.2 and 6.1; RFC 9110, 10.1.1). */
  private checkRequest(): void {
    const isHttp11 = this.startLine[2] === 'HTTP/1.1';
    if (isHttp11 && !this.headers.has('host')) throw new ParseError(400, 'no host');
    if (!isHttp11 && this.headers.has('transfer-encoding')) throw new ParseError(400, 'bad transfer coding');
    const expectation = isHttp11 ? this.headers.get('expect') : undefined;
    if (expectation === undefined) return;
    if (expectation.toLowerCase() !== '100-continue') throw new ParseError(417, 'unknown expectation');
    this.awaitsContinue = true;
  }

  /** Determines from the head how the body is delimited (RFC 9112, 6.3). */
  private beginBody(): HttpMessage | 'again' {
    this.bodyBytes = 0;
    this.trailerBytes = 0;
    const coding = this.headers.get('transfer-encoding');
    const length = this.headers.get('content-length');
    if (coding !== undefined) {
      if (length !== undefined || coding.toLowerCase() !== 'chunked') {
        throw new ParseError(coding.toLowerCase() === 'chunked' ? 400 : 501, 'bad transfer coding');
      }
      return this.enterPhase('chunk-size');
    }
    if (length !== undefined) {
      if (!/^\d{1,15}$/.test(length)) throw new ParseError(400, 'bad length');
      this.expectedBytes = Number(length);
      if (this.expectedBytes > this.limits.bodyBytes) throw new ParseError(413, 'body too large');
      return this.enterPhase('fixed');
    }
    const status = this.kind === 'response' ? Number(this.startLine[1]) : 0;
    if (this.kind === 'request' || this.noBody || status === 204 || status === 304 || status < 200) {
      return this.complete(true);
    }
    return this.enterPhase('until-close');
  }

  /** Completes a message; `framed` is false if it was delimited only by the end of the connection. */
  private complete(framed: boolean): HttpMessage | 'again' {
    this.phase = 'head';
    this.noBody = false;
    this.awaitsContinue = false;
    const body = this.body.take();
    // Other interim responses are skipped; a protocol switch (101) is an error, because no request asks for one.
    if (this.kind === 'response' && this.startLine[1] === '101')
      throw new ParseError(400, 'protocol switched');
    if (this.kind === 'response' && this.startLine[1].startsWith('1')) return 'again';
    const version = this.kind === 'request' ? this.startLine[2] : this.startLine[0];
    const connection = (this.headers.get('connection') ?? '').toLowerCase();
    const keepAlive =
      framed && (version === 'HTTP/1.1' ? !connection.includes('close') : connection.includes('keep-alive'));
    return { startLine: this.startLine, headers: this.headers, body, keepAlive };
  }
}
