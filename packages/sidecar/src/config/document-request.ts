/**
 * Decides when a node asks for a document. Load pattern: a node that lacks a
 * version hears of it from several nodes, several times, before the answer to
 * its first request has crossed a full link.
 */

/** Share of the bound after which a request counts as unanswered. */
const ANSWER_SHARE = 0.2;

/** A request whose answer may be on its way. */
export interface DocumentRequest {
  peerId: string;
  /** Time in ms from which another peer may be asked. */
  deadlineMs: number;
}

/** Returns the request that is sent to a peer now. */
export function createRequest(
  peerId: string,
  configInForceMs: number,
  nowMs: number,
): DocumentRequest {
  return {peerId, deadlineMs: nowMs + ANSWER_SHARE * configInForceMs};
}

/** True if a node may send a request beside its last one. */
export function mayRequest(
  last: DocumentRequest | undefined,
  nowMs: number,
): boolean {
  return !last || nowMs >= last.deadlineMs;
}
