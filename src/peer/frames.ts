/** Framing of messages between controllers: a big-endian length of four bytes, followed by a msgpack value. */

import { Packr } from 'msgpackr';
import { ProtocolViolationError } from '../errors/errors.js';

/**
 * A message, with the field names of the protocol: a request (`q` is its id, `a` the arguments), a response (`r` is
 * the id of the request, `a` the value), an error response (`e` is its text), or a notification.
 */
export type PeerMessage =
  | { q: number; op: string; a: unknown }
  | { r: number; a: unknown }
  | { r: number; e: string }
  | { op: string; a: unknown };

const MAX_FRAME_BYTES = 1024 * 1024;
/** While more than this is buffered for sending on a connection, further messages to it are dropped. */
export const MAX_UNSENT_BYTES = 1024 * 1024;
const packr = new Packr({ useRecords: false });

/** Encodes a message as a frame: its length and its msgpack bytes. */
export function encodeFrame(message: PeerMessage): Buffer {
  const body = packr.pack(message);
  const frame = Buffer.allocUnsafe(4 + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, 4);
  return frame;
}

/** Decodes the messages of one connection from its bytes, in pieces of any size. */
export class FrameReader {
  private buffer: Buffer = Buffer.alloc(0);
  /** Size in bytes of the frame that `feed` decoded last, including its length prefix. */
  lastFrameBytes = 0;

  /** Limits frames to `maxBytes` until `allowFullSize` is called. */
  constructor(private maxBytes = MAX_FRAME_BYTES) {}

  /** Raises the limit to the general maximum of a frame, once the peer has identified itself. */
  allowFullSize(): void {
    this.maxBytes = MAX_FRAME_BYTES;
  }

  /**
   * Decodes the messages that `data` completes and yields them one at a time, because the handling of one message may
   * raise the size limit for the next. Throws on malformed data; the connection must then be closed.
   */
  *feed(data: Buffer): Generator<PeerMessage> {
    this.buffer = this.buffer.length === 0 ? data : Buffer.concat([this.buffer, data]);
    while (this.buffer.length >= 4) {
      const length = this.buffer.readUInt32BE(0);
      if (length > this.maxBytes) throw new ProtocolViolationError('frame too long');
      if (this.buffer.length < 4 + length) break;
      const value: unknown = packr.unpack(this.buffer.subarray(4, 4 + length));
      this.buffer = this.buffer.subarray(4 + length);
      this.lastFrameBytes = 4 + length;
      if (typeof value !== 'object' || value === null) throw new ProtocolViolationError('not a message');
      yield value as PeerMessage;
    }
  }
}
