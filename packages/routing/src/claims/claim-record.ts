/** Records of a partition's stream: batches of claim operations. */

import type {KeptAnswer} from '@turmericmill/wire';

/** Claims a key for the attempt `claimId`. */
export interface ClaimOperation {
  type: 'claim';
  key: string;
  claimId: string;
  requestDigest: string;
}

/**
 * Frees a key whose attempt is certain never to run. It also voids a later claim
 * of the same attempt.
 */
export interface ReleaseOperation {
  type: 'release';
  key: string;
  claimId: string;
}

/** Keeps the answer for later attempts of the same request. */
export interface AnswerOperation {
  type: 'answer';
  key: string;
  claimId: string;
  answer: KeptAnswer;
}

export type ClaimLogOperation =
  ClaimOperation | ReleaseOperation | AnswerOperation;

/** Operations of one writer in order: the body of one record. */
export interface ClaimBatch {
  /** Id of the writer, which recognizes its own batch by it and `seq`. */
  writer: string;
  seq: number;
  /** Time in ms by the writer's clock. */
  atMs: number;
  /** Time in ms at which keys claimed by this batch expire. */
  untilMs: number;
  operations: ClaimLogOperation[];
}

/** A record read from the stream, with its offset. */
export interface StreamRecord {
  offset: number;
  body: string;
}

type CompactOperation = readonly [
  code: string,
  key: string,
  claimId: string,
  ...rest: unknown[],
];

/** Encodes one operation as JSON; a batch joins these with commas. */
export function encodeOperation(operation: ClaimLogOperation): string {
  const {key, claimId} = operation;
  switch (operation.type) {
    case 'claim':
      return JSON.stringify(['c', key, claimId, operation.requestDigest]);
    case 'release':
      return JSON.stringify(['r', key, claimId]);
    case 'answer': {
      const {status, headers, body} = operation.answer;
      const text = Buffer.from(body).toString('base64');
      return JSON.stringify(['a', key, claimId, status, headers, text]);
    }
  }
}

/** Encodes a batch from its head and its encoded operations. */
export function encodeBatch(
  head: Omit<ClaimBatch, 'operations'>,
  encoded: readonly string[],
): string {
  const text = JSON.stringify(head).slice(0, -1);
  return `${text},"operations":[${encoded.join(',')}]}`;
}

/**
 * Decodes the body of a log record. Returns undefined if it is not a batch of
 * claim operations; all readers skip such a record, so their states stay equal.
 */
export function decodeBatch(body: string): ClaimBatch | undefined {
  let value: unknown;
  try {
    value = JSON.parse(body);
  } catch {
    return undefined;
  }
  if (typeof value !== 'object' || value === null) return undefined;
  const batch = value as Partial<ClaimBatch>;
  if (typeof batch.writer !== 'string') return undefined;
  if (!Number.isSafeInteger(batch.seq)) return undefined;
  if (!Number.isFinite(batch.atMs)) return undefined;
  if (!Number.isFinite(batch.untilMs)) return undefined;
  if (!Array.isArray(batch.operations)) return undefined;
  const operations = (batch.operations as unknown[]).map(decodeOperation);
  if (operations.includes(undefined)) return undefined;
  return {...batch, operations} as ClaimBatch;
}

function decodeOperation(value: unknown): ClaimLogOperation | undefined {
  if (!Array.isArray(value)) return undefined;
  const [code, key, claimId, ...rest] = value as unknown as CompactOperation;
  if (typeof key !== 'string' || typeof claimId !== 'string') return undefined;
  const [first, headers, text] = rest;
  switch (code) {
    case 'c':
      if (typeof first !== 'string') return undefined;
      return {type: 'claim', key, claimId, requestDigest: first};
    case 'r':
      return {type: 'release', key, claimId};
    case 'a': {
      const answer = decodeAnswer(first, headers, text);
      return answer && {type: 'answer', key, claimId, answer};
    }
    default:
      return undefined;
  }
}

function decodeAnswer(
  status: unknown,
  headers: unknown,
  text: unknown,
): KeptAnswer | undefined {
  if (typeof status !== 'number' || typeof text !== 'string') return undefined;
  if (!Array.isArray(headers)) return undefined;
  if (!headers.every(header => typeof header === 'string')) return undefined;
  return {status, headers, body: Buffer.from(text, 'base64')};
}
