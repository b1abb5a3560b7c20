/** Messages of calls with an idempotency key. */

import type {FlatHeaders} from './calls.js';

/** Asks the writer of the key's partition for the right to run a request. */
export interface ClaimRequest {
  requestId: number;
  partition: number;
  /** Digest of customer and idempotency key. */
  key: string;
  /**
   * Identifies the try at one entry node, unique over all nodes and starts.
   * Asking again with the same id repeats the answer and claims nothing more.
   */
  claimId: string;
  /** Digest of method, path and body: the same key must mean the same. */
  requestDigest: string;
  remainingMs: number;
}

/** An answer that was kept for later tries. */
export interface KeptAnswer {
  status: number;
  headers: FlatHeaders;
  body: Uint8Array;
}

/** `granted`: run it now, once. The others: do not run. */
export type ClaimVerdict =
  | 'granted'
  | 'answered'
  | 'claimed'
  | 'mismatch'
  | 'unavailable'
  | 'not-writer';

export interface ClaimReply {
  requestId: number;
  /** The try that is answered; request ids repeat after a node's restart. */
  claimId: string;
  verdict: ClaimVerdict;
  /** True when the key may be claimed all the same: release it. */
  inDoubt: boolean;
  /** Present when the verdict is `answered`. */
  answer?: KeptAnswer;
}

/** The end of a granted request; `released` when it was provably not run. */
export interface ClaimOutcome {
  partition: number;
  key: string;
  /** The try that held the claim; the outcome of any other is ignored. */
  claimId: string;
  outcome: 'answered' | 'released';
  answer?: KeptAnswer;
}
