/** The memory that a node has for answers that are not whole yet. */

import {ByteBudget} from '@turmericmill/utils';

/** Keeps bytes of an answer in memory. */
export interface AnswerHolder {
  /** Drops the answer; its bytes are released already. */
  giveUp(): void;
}

/** Shared by all answers that one node holds. */
export type AnswerBudget = ByteBudget<AnswerHolder>;

/** Part of the process's memory that answers may take. */
const ANSWER_MEMORY_SHARE = 0.08;
const BYTES_PER_MB = 1024 * 1024;

/** The budget of a process that may use `memoryMb` in all. */
export function answerBudget(memoryMb: number): AnswerBudget {
  return new ByteBudget(memoryMb * ANSWER_MEMORY_SHARE * BYTES_PER_MB);
}

/** Reserves for `holder`; whoever holds too much gives up, perhaps itself. */
export function holdBytes(
  budget: AnswerBudget,
  holder: AnswerHolder,
  bytes: number,
): void {
  for (const largest of budget.reserve(holder, bytes)) largest.giveUp();
}
