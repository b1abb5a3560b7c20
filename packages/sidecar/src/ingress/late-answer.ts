/** Decides how long an attempt with an incomplete answer may continue. */

/** Time in ms after the deadline in which an answer may still begin. */
const BEGIN_GRACE_MS = 60;
/**
 * Time in ms after the deadline for which an arriving answer is still buffered.
 * The platform's price for requests that are kept waiting begins at 250 ms.
 */
const BUFFER_GRACE_MS = 200;
/**
 * Time in ms without a frame after which an answer has stalled: less than the
 * 500 ms after a route's timeout in which the platform expects a final answer.
 */
const STALL_MS = 400;

/** An answer that is not complete. */
export interface UnfinishedAnswer {
  /** Time in ms at which the request times out. */
  deadlineMs: number;
  /** Time in ms at which its last frame arrived; undefined before that. */
  lastFrameMs: number | undefined;
}

/**
 * `wait`: check again at `untilMs`. `stream`: forward what has arrived and each
 * further frame. `cancel`: cancel the attempt and answer the caller.
 */
export type LateAnswerStep =
  {kind: 'wait'; untilMs: number} | {kind: 'stream'} | {kind: 'cancel'};

/** Decides the next step: an answer that keeps growing is always delivered. */
export function lateAnswerStep(
  {deadlineMs, lastFrameMs}: UnfinishedAnswer,
  nowMs: number,
): LateAnswerStep {
  const beginByMs = deadlineMs + BEGIN_GRACE_MS;
  if (nowMs < beginByMs) return {kind: 'wait', untilMs: beginByMs};
  const stalled = lastFrameMs === undefined || nowMs - lastFrameMs >= STALL_MS;
  if (stalled) return {kind: 'cancel'};
  const bufferUntilMs = deadlineMs + BUFFER_GRACE_MS;
  if (nowMs < bufferUntilMs) return {kind: 'wait', untilMs: bufferUntilMs};
  return {kind: 'stream'};
}
