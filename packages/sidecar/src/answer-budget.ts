/** Memory budget of a node for the answers that it buffers. */

import {ByteBudget} from '@turmericmill/utils';

import type {MemoryAccount} from './memory/memory-account.js';
import {memoryLimits, type MemoryLimits} from './memory/memory-limits.js';

/** Buffers bytes of an answer. */
export interface AnswerHolder {
  /** Frees the buffer; the budget has already released its bytes. */
  freeBuffer(): void;
}

/** Shared by the answers of the server and those of other nodes. */
export type AnswerBudget = ByteBudget<AnswerHolder>;

/** Creates the budget of a process that may use `memoryMb` in total. */
export function createAnswerBudget(
  memoryMb: number,
  limits: MemoryLimits = memoryLimits(memoryMb),
  account?: MemoryAccount,
): AnswerBudget {
  const {answerBytes, loneAnswerBytes} = limits;
  return new ByteBudget(answerBytes, {
    maxLoneBytes: loneAnswerBytes,
    onChange: bytes => account?.add('answers', bytes),
  });
}

/**
 * Reserves bytes for `holder`. If that exceeds the budget, the largest holders
 * free their buffers, perhaps `holder` itself.
 */
export function reserveBytes(
  budget: AnswerBudget,
  holder: AnswerHolder,
  bytes: number,
): void {
  for (const largest of budget.reserve(holder, bytes)) largest.freeBuffer();
}
