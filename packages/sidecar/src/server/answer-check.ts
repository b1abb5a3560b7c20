/** Checks that received bytes are the answer of the expected backend server. */

import {headerOf} from '@turmericmill/node';
import {
  ANSWER_PROOF_HEADER,
  NOT_RUN_HEADER,
  WRONG_SERVER_STATUS,
} from '@turmericmill/platform-adapter';

import type {ServerAnswer} from './answer-parser.js';

/**
 * `complete`: the server's answer to the request. `not-run`: the server states
 * that it has not run the request. `wrong-server`: the request has not run, as
 * another server has the address. `unproven`: no proof that the bytes are the
 * server's answer, or a status that contradicts it.
 */
export type AnswerVerdict =
  'complete' | 'not-run' | 'wrong-server' | 'unproven';

/**
 * Statuses that tell a caller that its request has not run. A server's answer
 * that has one of them without saying so must not be forwarded.
 */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 429, 503]);

export function checkAnswer({status, headers}: ServerAnswer): AnswerVerdict {
  if (status === WRONG_SERVER_STATUS) return 'wrong-server';
  if (headerOf(headers, NOT_RUN_HEADER) !== undefined) return 'not-run';
  if (NOT_RUN_STATUSES.has(status)) return 'unproven';
  if (status >= 300) return 'complete';
  const proof = headerOf(headers, ANSWER_PROOF_HEADER);
  const encoding = headerOf(headers, 'content-encoding');
  return !proof || encoding !== undefined ? 'unproven' : 'complete';
}
