/** Whether an answer of a backend server is to be believed. */

import {headerOf} from '@turmericmill/node';
import {
  ANSWER_PROOF_HEADER,
  NOT_RUN_HEADER,
  WRONG_SERVER_STATUS,
} from '@turmericmill/platform-adapter';

import type {ServerAnswer} from './answer-parser.js';

/**
 * `whole`: the server's answer to the request. `not-run`: the server says that
 * it has not run the request. `wrong-server`: as `not-run`, since another
 * server has the address. `spoiled`: no proof that the bytes are an answer.
 */
export type AnswerVerdict = 'whole' | 'not-run' | 'wrong-server' | 'spoiled';

export function checkAnswer({status, headers}: ServerAnswer): AnswerVerdict {
  if (status === WRONG_SERVER_STATUS) return 'wrong-server';
  if (headerOf(headers, NOT_RUN_HEADER) !== undefined) return 'not-run';
  if (status >= 300) return 'whole';
  const proof = headerOf(headers, ANSWER_PROOF_HEADER);
  const encoding = headerOf(headers, 'content-encoding');
  return proof === undefined || encoding !== undefined ? 'spoiled' : 'whole';
}
