import { Packr } from 'msgpackr';
import { ProtocolViolationError } from '../errors/errors.js';

/** What passes between controllers: a length of four bytes, then a msgpack value. */
export type PeerMessage =
  | { q: number; op: string; a: unknown }
  | { r: number; a: unknown }
  | { r: number; e: string }
  | { op: string; a: unknown };

const MAX_FRAME = 1024 * 1024;
const packr = new Packr({ useRecords: false });

export function encodeFrame(message: PeerMessage): Buffer {
  const body = packr.pack(message);
  const frame = Buffer.allocUnsafe(4 + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, 4);
  return frame;
}

export class FrameReader {
  private buffer: Buffer = Buffer.alloc(0);
  /** Bytes of the message that `feed` gave last, with its length. */
  lastBytes = 0;

  /** Until `allowAll`, no frame may be longer than this. */
  constructor(private most = MAX_FRAME) {}

  /** The other side has said who it is. */
  allowAll(): void {
    this.most = MAX_FRAME;
  }

  /**
   * Gives the messages that these bytes complete, one by one: the first may allow the next to be longer. Throws on bytes
   * that are no frame; the connection is then of no more use.
   */
  *feed(data: Buffer): Generator<PeerMessage> {
    this.buffer = this.buffer.length === 0 ? data : Buffer.concat([this.buffer, data]);
    while (this.buffer.length >= 4) {
      const length = this.buffer.readUInt32BE(0);
      if (length > this.most) throw new ProtocolViolationError('frame too long');
      if (this.buffer.length < 4 + length) break;
      const value: unknown = packr.unpack(this.buffer.subarray(4, 4 + length));
      this.buffer = this.buffer.subarray(4 + length);
      this.lastBytes = 4 + length;
      if (typeof value !== 'object' || value === null) throw new ProtocolViolationError('not a message');
      yield value as PeerMessage;
    }
  }
}
