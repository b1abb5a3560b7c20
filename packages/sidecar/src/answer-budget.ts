/** Memory budget of a node for the answers that it buffers. */

import {ByteBudget} from '@turmericmill/utils';

/** Buffers bytes of an answer. */
export interface AnswerHolder {
  /** Frees the buffer; the budget has already released its bytes. */
  freeBuffer(): void;
}

/** Shared by the answers of the server and those of other nodes. */
export type AnswerBudget = ByteBudget<AnswerHolder>;

/** Share of the process's memory that buffered answers may occupy. */
const ANSWER_MEMORY_SHARE = 0.1;
const BYTES_PER_MB = 1024 * 1024;

/** Creates the budget of a process that may use `memoryMb` in total. */
export function createAnswerBudget(memoryMb: number): AnswerBudget {
  return new ByteBudget(memoryMb * ANSWER_MEMORY_SHARE * BYTES_PER_MB);
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
