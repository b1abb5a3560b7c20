/**
 * Framing of messages. A frame is a 4-byte big-endian payload length and the
 * payload, the CBOR array `[id, body]`. A UDP datagram is one payload without
 * the length.
 */

import {Encoder} from 'cbor-x';

import {Err, Ok, type Result} from '@turmericmill/utils';

import {findMalformedField} from './message-shapes.js';
import {
  MESSAGE_IDS,
  messageName,
  type Message,
  type MessageName,
  type MessageOf,
} from './message-table.js';

/** Maximum payload of a frame in bytes; the length prefix is not counted. */
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

/** Encodes a message without the length prefix, as sent in one datagram. */
export function encodeMessage<K extends MessageName>(
  message: MessageOf<K>,
): Buffer {
  return encoder.encode([MESSAGE_IDS[message.type], message.body]);
}

/** Encodes a message with the length prefix, as sent over TCP. */
export function encodeFrame<K extends MessageName>(
  message: MessageOf<K>,
): Buffer {
  const payload = encodeMessage(message);
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + payload.length);
  frame.writeUInt32BE(payload.length, 0);
  payload.copy(frame, LENGTH_BYTES);
  return frame;
}

/** Decodes one payload; refuses a body with a malformed field. */
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
    return Err({
      code: 'malformed',
      message: 'Payload is not an array of id and body.',
    });
  }
  const [id, body] = value as [unknown, unknown];
  const type = typeof id === 'number' ? messageName(id) : undefined;
  if (type === undefined) {
    return Err({
      code: 'unknown-message',
      message: `Unknown message id ${String(id)}.`,
    });
  }
  if (typeof body !== 'object' || body === null) {
    return Err({code: 'malformed', message: `Message ${type} has no body.`});
  }
  const field = findMalformedField(type, body);
  if (field !== undefined) {
    const message = `Field ${field} of message ${type} is malformed.`;
    return Err({code: 'malformed', message});
  }
  return Ok({type, body} as Message);
}

/**
 * Splits the byte stream of one connection into messages. A payload that
 * arrives in pieces is copied into a buffer of its size: the bytes of a message
 * refer to that buffer, which thus holds nothing else.
 */
export class FrameReader {
  private readonly prefix = Buffer.alloc(LENGTH_BYTES);
  private prefixBytes = 0;
  /** The payload of an incomplete frame; undefined until its length is known. */
  private payload: Buffer | undefined;
  private payloadBytes = 0;

  /** Bytes received of a frame that is not complete yet. */
  get pendingBytes(): number {
    return this.prefixBytes + this.payloadBytes;
  }

  /** Adds received bytes and returns the messages that are now complete. */
  push(chunk: Buffer): Result<Message[], FrameError> {
    const messages: Message[] = [];
    let offset = 0;
    while (offset < chunk.length) {
      if (!this.payload) {
        offset += this.readPrefix(chunk, offset);
        if (this.prefixBytes < LENGTH_BYTES) break;
        const length = this.prefix.readUInt32BE(0);
        if (length > MAX_FRAME_BYTES) return tooLarge(length);
        const isWhole = chunk.length - offset >= length;
        this.payload = isWhole
          ? chunk.subarray(offset, offset + length)
          : Buffer.allocUnsafeSlow(length);
        if (isWhole) this.payloadBytes = length;
        if (isWhole) offset += length;
      }
      const {payload} = this;
      if (this.payloadBytes < payload.length) {
        const copied = chunk.copy(payload, this.payloadBytes, offset);
        this.payloadBytes += copied;
        offset += copied;
      }
      if (this.payloadBytes < payload.length) break;
      this.payload = undefined;
      this.payloadBytes = 0;
      this.prefixBytes = 0;
      const decoded = decodeMessage(payload);
      if (decoded.isErr()) return decoded;
      messages.push(decoded.value);
    }
    return Ok(messages);
  }

  /** Reads what is missing of the length prefix; returns its bytes. */
  private readPrefix(chunk: Buffer, offset: number): number {
    const end = offset + LENGTH_BYTES - this.prefixBytes;
    const copied = chunk.copy(this.prefix, this.prefixBytes, offset, end);
    this.prefixBytes += copied;
    return copied;
  }
}

function tooLarge(length: number): Result<never, FrameError> {
  const message = `Frame of ${length} bytes; the limit is ${MAX_FRAME_BYTES}.`;
  return Err({code: 'frame-too-large', message});
}
