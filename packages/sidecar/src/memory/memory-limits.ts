/** Limits on the bytes that a process holds for others. */

import type {MemorySettings} from '@turmericmill/platform-adapter';

const BYTES_PER_MB = 1024 * 1024;
/**
 * Shares of the process's memory. The rest is for the program itself, which
 * takes up to 130 MB, and for bytes that await garbage collection.
 */
const HELD_SHARE = 0.25;
const ANSWERS_SHARE = 0.1;
const BODIES_SHARE = 0.1;
/** A single answer of 35 MB, the largest that callers are promised. */
const LONE_ANSWER_BYTES = 40 * BYTES_PER_MB;
/** A single body of 64 MiB, the usual limit of configurations. */
const LONE_BODY_BYTES = 64 * BYTES_PER_MB;

/** Limits in bytes. */
export interface MemoryLimits {
  /** Everything that is held, of all kinds. */
  heldBytes: number;
  /** Answers that are buffered, together. */
  answerBytes: number;
  /** A single answer while others buffer little. */
  loneAnswerBytes: number;
  /** Bodies of requests, together. */
  bodyBytes: number;
  /** A single body while there are no other large ones. */
  loneBodyBytes: number;
}

/** Returns the limits of a process that may use `memoryMb` MiB in all. */
export function memoryLimits(
  memoryMb: number,
  settings: MemorySettings = {},
): MemoryLimits {
  const bytesOf = (mb: number | undefined, share: number) =>
    (mb ?? memoryMb * share) * BYTES_PER_MB;
  const answerBytes = bytesOf(settings.answersMb, ANSWERS_SHARE);
  const bodyBytes = bytesOf(settings.bodiesMb, BODIES_SHARE);
  return {
    heldBytes: bytesOf(settings.heldMb, HELD_SHARE),
    answerBytes,
    loneAnswerBytes: Math.max(answerBytes, LONE_ANSWER_BYTES),
    bodyBytes,
    loneBodyBytes: Math.max(bodyBytes, LONE_BODY_BYTES),
  };
}
