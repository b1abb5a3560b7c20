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

/** Splits the byte stream of one connection into messages. */
export class FrameReader {
  private chunks: Buffer[] = [];
  private bufferedBytes = 0;
  /** Bytes to buffer until the next length prefix or frame is complete. */
  private requiredBytes = LENGTH_BYTES;

  /** Bytes received of a frame that is not complete yet. */
  get pendingBytes(): number {
    return this.bufferedBytes;
  }

  /** Adds received bytes and returns the messages that are now complete. */
  push(chunk: Buffer): Result<Message[], FrameError> {
    this.chunks.push(chunk);
    this.bufferedBytes += chunk.length;
    if (this.bufferedBytes < this.requiredBytes) return Ok([]);
    const bytes = this.chunks.length === 1 ? chunk : Buffer.concat(this.chunks);
    const messages: Message[] = [];
    let offset = 0;
    this.requiredBytes = LENGTH_BYTES;
    while (bytes.length - offset >= LENGTH_BYTES) {
      const length = bytes.readUInt32BE(offset);
      if (length > MAX_FRAME_BYTES) return tooLarge(length);
      const end = offset + LENGTH_BYTES + length;
      if (bytes.length < end) {
        this.requiredBytes = LENGTH_BYTES + length;
        break;
      }
      const payload = bytes.subarray(offset + LENGTH_BYTES, end);
      const decoded = decodeMessage(payload);
      if (decoded.isErr()) return decoded;
      messages.push(decoded.value);
      offset = end;
    }
    const rest = bytes.subarray(offset);
    this.chunks = rest.length > 0 ? [rest] : [];
    this.bufferedBytes = rest.length;
    return Ok(messages);
  }
}

function tooLarge(length: number): Result<never, FrameError> {
  const message = `Frame of ${length} bytes; the limit is ${MAX_FRAME_BYTES}.`;
  return Err({code: 'frame-too-large', message});
}
