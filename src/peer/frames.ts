/** Framing of the messages between controllers: a length of four bytes, big-endian, then a msgpack value. */

import { Packr } from 'msgpackr';
import { ProtocolViolationError } from '../errors/errors.js';

/**
 * The messages, in the field names of the wire: a request (`q` is its id, `a` the arguments), a response to it (`r` is the
 * id of the request, `a` the value), an error in place of a response (`e` is its text), and a notification.
 */
export type PeerMessage =
  | { q: number; op: string; a: unknown }
  | { r: number; a: unknown }
  | { r: number; e: string }
  | { op: string; a: unknown };

const MAX_FRAME_BYTES = 1024 * 1024;
/** Nothing more is sent on a connection while the other side has this much still to receive. */
export const MAX_UNSENT_BYTES = 1024 * 1024;
const packr = new Packr({ useRecords: false });

/** The bytes of one message, with its length. */
export function encodeFrame(message: PeerMessage): Buffer {
  const body = packr.pack(message);
  const frame = Buffer.allocUnsafe(4 + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, 4);
  return frame;
}

/** Takes bytes as they come and finds the messages in them. */
export class FrameReader {
  private buffer: Buffer = Buffer.alloc(0);
  /** Bytes of the message that `feed` yielded last, with its length. */
  lastBytes = 0;

  /** Until `allowAll`, no frame may be longer than `maxBytes`. */
  constructor(private maxBytes = MAX_FRAME_BYTES) {}

  /** The other side has identified itself: frames may be as long as any. */
  allowAll(): void {
    this.maxBytes = MAX_FRAME_BYTES;
  }

  /**
   * Yields the messages that these bytes complete, one by one: the first may allow the next to be longer. Throws on bytes
   * that are no frame; the connection is then of no more use.
   */
  *feed(data: Buffer): Generator<PeerMessage> {
    this.buffer = this.buffer.length === 0 ? data : Buffer.concat([this.buffer, data]);
    while (this.buffer.length >= 4) {
      const length = this.buffer.readUInt32BE(0);
      if (length > this.maxBytes) throw new ProtocolViolationError('frame too long');
      if (this.buffer.length < 4 + length) break;
      const value: unknown = packr.unpack(this.buffer.subarray(4, 4 + length));
      this.buffer = this.buffer.subarray(4 + length);
      this.lastBytes = 4 + length;
      if (typeof value !== 'object' || value === null) throw new ProtocolViolationError('not a message');
      yield value as PeerMessage;
    }
  }
}
