/**
 * Frames: a 4-byte big-endian length, then the CBOR array `[id, body]`. A UDP
 * datagram holds the array alone.
 */

import {Encoder} from 'cbor-x';

import {Err, Ok, type Result} from '@turmericmill/utils';

import {
  MESSAGE_IDS,
  messageName,
  type Message,
  type MessageName,
  type MessageOf,
} from './message-table.js';

/** Largest frame in bytes, without its length. */
export const MAX_FRAME_BYTES = 4 * 1024 * 1024;

const LENGTH_BYTES = 4;

export type FrameErrorCode =
  'frame-too-large' | 'malformed' | 'unknown-message';

export interface FrameError {
  code: FrameErrorCode;
  message: string;
}

const encoder = new Encoder({
  useRecords: false,
  mapsAsObjects: true,
  tagUint8Array: false,
});

/** Encodes a message without its length, as sent in one datagram. */
export function encodeMessage<K extends MessageName>(
  message: MessageOf<K>,
): Buffer {
  return encoder.encode([MESSAGE_IDS[message.type], message.body]);
}

/** Encodes a message with its length, as sent over TCP. */
export function encodeFrame<K extends MessageName>(
  message: MessageOf<K>,
): Buffer {
  const payload = encodeMessage(message);
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + payload.length);
  frame.writeUInt32BE(payload.length, 0);
  payload.copy(frame, LENGTH_BYTES);
  return frame;
}

/** Decodes one message. The body's fields are not checked one by one. */
export function decodeMessage(
  payload: Uint8Array,
): Result<Message, FrameError> {
  let value: unknown;
  try {
    value = encoder.decode(payload);
  } catch (err) {
    return Err({code: 'malformed', message: String(err)});
  }
  if (!Array.isArray(value) || value.length !== 2) {
    return Err({code: 'malformed', message: 'Not an array of id and body.'});
  }
  const [id, body] = value as [unknown, unknown];
  const type = typeof id === 'number' ? messageName(id) : undefined;
  if (type === undefined) {
    return Err({code: 'unknown-message', message: `No message ${String(id)}.`});
  }
  if (typeof body !== 'object' || body === null) {
    return Err({code: 'malformed', message: `${type} without a body.`});
  }
  return Ok({type, body} as Message);
}

/** Cuts a byte stream into messages. One instance serves one connection. */
export class FrameReader {
  private pieces: Buffer[] = [];
  private held = 0;
  /** Bytes with which the next length or message is whole. */
  private needed = LENGTH_BYTES;

  /** Bytes of a message that has arrived in part. */
  get pendingBytes(): number {
    return this.held;
  }

  /** Takes received bytes and returns all messages that are now complete. */
  push(chunk: Buffer): Result<Message[], FrameError> {
    this.pieces.push(chunk);
    this.held += chunk.length;
    if (this.held < this.needed) return Ok([]);
    const bytes = this.pieces.length === 1 ? chunk : Buffer.concat(this.pieces);
    const messages: Message[] = [];
    let offset = 0;
    this.needed = LENGTH_BYTES;
    while (bytes.length - offset >= LENGTH_BYTES) {
      const length = bytes.readUInt32BE(offset);
      if (length > MAX_FRAME_BYTES) return tooLarge(length);
      const end = offset + LENGTH_BYTES + length;
      if (bytes.length < end) {
        this.needed = LENGTH_BYTES + length;
        break;
      }
      const payload = bytes.subarray(offset + LENGTH_BYTES, end);
      const decoded = decodeMessage(payload);
      if (decoded.isErr()) return decoded;
      messages.push(decoded.value);
      offset = end;
    }
    const rest = bytes.subarray(offset);
    this.pieces = rest.length > 0 ? [rest] : [];
    this.held = rest.length;
    return Ok(messages);
  }
}

function tooLarge(length: number): Result<never, FrameError> {
  const message = `Frame of ${length} bytes; at most ${MAX_FRAME_BYTES}.`;
  return Err({code: 'frame-too-large', message});
}
