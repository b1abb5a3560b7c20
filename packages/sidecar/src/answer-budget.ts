/** The memory that a node has for the answers that it holds. */

import {ByteBudget} from '@turmericmill/utils';

/** Keeps bytes of an answer in memory. */
export interface AnswerHolder {
  /** Keeps none of them any more; they are released already. */
  freeBuffer(): void;
}

/** Shared by answers that arrive from the server and from other nodes. */
export type AnswerBudget = ByteBudget<AnswerHolder>;

/** Part of the process's memory that answers may take. */
const ANSWER_MEMORY_SHARE = 0.1;
const BYTES_PER_MB = 1024 * 1024;

/** The budget of a process that may use `memoryMb` in all. */
export function createAnswerBudget(memoryMb: number): AnswerBudget {
  return new ByteBudget(memoryMb * ANSWER_MEMORY_SHARE * BYTES_PER_MB);
}

/** Reserves for `holder`; whoever holds most makes room, perhaps itself. */
export function reserveBytes(
  budget: AnswerBudget,
  holder: AnswerHolder,
  bytes: number,
): void {
  for (const largest of budget.reserve(holder, bytes)) largest.freeBuffer();
}
