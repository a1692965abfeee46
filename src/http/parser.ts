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
export class ParseError extends Error {
  constructor(
    readonly status: number,
    message: string,
  ) {
    super(message);
  }
}

type Phase = 'head' | 'fixed' | 'chunk-size' | 'chunk-data' | 'chunk-end' | 'trailer' | 'until-close';

const TOKEN = /^[!#$%&'*+.^_`|~0-9A-Za-z-]+$/;
const EMPTY = Buffer.alloc(0);

export class MessageParser {
  private buffer: Buffer = EMPTY;
  private phase: Phase = 'head';
  private start: [string, string, string] = ['', '', ''];
  private headers = new Map<string, string>();
  private parts: Buffer[] = [];
  private bodyBytes = 0;
  private expected = 0;
  private scanned = 0;
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

  /** Takes bytes and returns the messages that they complete. */
  feed(data: Buffer): Message[] {
    this.buffer = this.buffer.length === 0 ? data : Buffer.concat([this.buffer, data]);
    const out: Message[] = [];
    for (;;) {
      const message = this.step();
      if (message === 'more') return out;
      if (message !== 'again') out.push(message);
    }
  }

  /** The other side has closed: a response without a length ends here. */
  finish(): Message | null {
    return this.phase === 'until-close' ? this.complete(false) : null;
  }

  private step(): Message | 'more' | 'again' {
    switch (this.phase) {
      case 'head':
        return this.head();
      case 'fixed': {
        if (!this.take(this.expected)) return 'more';
        return this.complete(true);
      }
      case 'chunk-size': {
        const line = this.line(1024);
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
        if (!this.take(this.expected)) return 'more';
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
        return line === '' ? this.complete(true) : 'again';
      }
      case 'until-close': {
        if (this.buffer.length > 0) {
          this.grow(this.buffer.length);
          this.parts.push(this.buffer);
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

  private take(bytes: number): boolean {
    if (this.buffer.length < bytes) return false;
    this.parts.push(this.buffer.subarray(0, bytes));
    this.buffer = this.buffer.subarray(bytes);
    return true;
  }

  private line(limit: number): string | null {
    const end = this.buffer.indexOf('\r\n');
    if (end < 0) {
      if (this.buffer.length > limit) throw new ParseError(400, 'line too long');
      return null;
    }
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
      if (this.buffer.length > this.limits.headerBytes) throw new ParseError(431, 'header too large');
      return 'more';
    }
    this.scanned = 0;
    if (end > this.limits.headerBytes) throw new ParseError(431, 'header too large');
    const lines = this.buffer.toString('latin1', 0, end).split('\r\n');
    this.buffer = this.buffer.subarray(end + 4);
    this.readStart(lines[0]!);
    this.headers = new Map();
    for (let i = 1; i < lines.length; i++) this.readHeader(lines[i]!);
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
    const before = this.headers.get(name);
    // Two lengths, or a length beside chunks, let two readers see two different bodies.
    if (before !== undefined && (name === 'content-length' || name === 'transfer-encoding')) {
      throw new ParseError(400, 'repeated length');
    }
    this.headers.set(name, before === undefined ? value : `${before}, ${value}`);
  }

  private frame(): Message | 'again' {
    this.parts = [];
    this.bodyBytes = 0;
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

  private complete(framed: boolean): Message {
    const version = this.kind === 'request' ? this.start[2] : this.start[0];
    const connection = (this.headers.get('connection') ?? '').toLowerCase();
    const keepAlive =
      framed && (version === 'HTTP/1.1' ? !connection.includes('close') : connection.includes('keep-alive'));
    const body = this.parts.length === 1 ? this.parts[0]! : Buffer.concat(this.parts);
    this.parts = [];
    this.phase = 'head';
    this.noBody = false;
    return { start: this.start, headers: this.headers, body, keepAlive };
  }
}
