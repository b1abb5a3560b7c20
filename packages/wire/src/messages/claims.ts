/** Messages of calls with an idempotency key. */

import type {FlatHeaders} from './calls.js';

/** Asks the writer of the key's partition for permission to run a request. */
export interface ClaimRequest {
  /** Unique within one incarnation of the sender. */
  requestId: number;
  partition: number;
  /** Digest of customer and idempotency key. */
  key: string;
  /**
   * Identifies the attempt at one entry node; unique across nodes and restarts.
   * A repeated message with the same id gets the same reply and claims nothing
   * further.
   */
  claimId: string;
  /** Digest of method, path and body: a key stands for one request only. */
  requestDigest: string;
  /** Remaining time in ms in which the sender waits for the reply. */
  remainingMs: number;
}

/** An answer kept for later attempts with the same key. */
export interface KeptAnswer {
  status: number;
  headers: FlatHeaders;
  body: Uint8Array;
}

/**
 * `granted`: run the request now, once; with any other verdict, do not run it.
 * `answered`: an earlier attempt was answered. `claimed`: another attempt holds
 * the key. `mismatch`: the key was used for a different request. `not-writer`:
 * the receiver is not the writer of the partition.
 */
export type ClaimVerdict =
  | 'granted'
  | 'answered'
  | 'claimed'
  | 'mismatch'
  | 'unavailable'
  | 'not-writer';

export interface ClaimReply {
  requestId: number;
  /** The attempt replied to; request ids repeat after a node's restart. */
  claimId: string;
  verdict: ClaimVerdict;
  /** True if the key may have been claimed nevertheless: release it. */
  inDoubt: boolean;
  /** Present only if the verdict is `answered`. */
  answer?: KeptAnswer;
}

/** Outcome of a granted request; `released`: it was certainly not run. */
export interface ClaimOutcome {
  partition: number;
  key: string;
  /** The attempt that holds the claim; outcomes of others are ignored. */
  claimId: string;
  outcome: 'answered' | 'released';
  answer?: KeptAnswer;
}
