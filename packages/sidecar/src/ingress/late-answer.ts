/** How long a try may go on whose answer is not whole. */

/** Time in ms after the deadline in which an answer may still begin to arrive. */
const BEGIN_GRACE_MS = 60;
/**
 * Time in ms after the deadline for which an answer that arrives is still held.
 * The platform's price for requests that are kept waiting begins at 250.
 */
const HOLD_GRACE_MS = 200;
/**
 * Time in ms without a frame after which no more is expected: within the half
 * second past a route's timeout by which the platform expects a final answer.
 */
const STALL_MS = 400;

/** An answer that is not whole. */
export interface UnfinishedAnswer {
  /** Time in ms at which the request is given up. */
  deadlineMs: number;
  /** Time in ms at which its last frame arrived; undefined before the first. */
  lastFrameMs: number | undefined;
}

/**
 * `wait`: look again at `untilMs`. `stream`: pass on what has come and what will
 * come. `give-up`: cancel the try and answer the caller.
 */
export type LateStep =
  {kind: 'wait'; untilMs: number} | {kind: 'stream'} | {kind: 'give-up'};

/** An answer that keeps growing is delivered, however late. */
export function lateStep(
  {deadlineMs, lastFrameMs}: UnfinishedAnswer,
  nowMs: number,
): LateStep {
  const beginsByMs = deadlineMs + BEGIN_GRACE_MS;
  if (nowMs < beginsByMs) return {kind: 'wait', untilMs: beginsByMs};
  const stalled = lastFrameMs === undefined || nowMs - lastFrameMs >= STALL_MS;
  if (stalled) return {kind: 'give-up'};
  const heldUntilMs = deadlineMs + HOLD_GRACE_MS;
  if (nowMs < heldUntilMs) return {kind: 'wait', untilMs: heldUntilMs};
  return {kind: 'stream'};
}
