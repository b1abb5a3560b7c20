/** Limits the rate of log lines for each event, and counts the omitted ones. */

import {TokenBucket} from '@turmericmill/membership';

/** Lines of an event: the sustained rate, and the maximum at once. */
export interface LineRate {
  perSecond: number;
  burst: number;
}

/** Whether to write a line, and how many of its event were omitted before. */
export interface LineDecision {
  write: boolean;
  leftOut: number;
}

interface EventState {
  bucket: TokenBucket;
  leftOut: number;
}

/**
 * Load pattern: a fault that ends hundreds of requests a second in the same
 * way. Each event has its own budget, so that lines of a frequent event do not
 * suppress those of a rare one.
 */
export class LogBudget {
  private readonly states = new Map<string, EventState>();

  /** Total number of omitted lines of all events. */
  leftOutTotal = 0;

  /** Decides whether to write a line; counts the line as written or omitted. */
  decideLine(event: string, rate: LineRate, nowMs: number): LineDecision {
    const state = this.stateOf(event, rate, nowMs);
    if (!state.bucket.take(1, nowMs)) {
      state.leftOut += 1;
      this.leftOutTotal += 1;
      return {write: false, leftOut: state.leftOut};
    }
    const {leftOut} = state;
    state.leftOut = 0;
    return {write: true, leftOut};
  }

  private stateOf(event: string, rate: LineRate, nowMs: number): EventState {
    let state = this.states.get(event);
    if (!state) {
      const bucket = new TokenBucket(rate.perSecond, rate.burst, nowMs);
      state = {bucket, leftOut: 0};
      this.states.set(event, state);
    }
    return state;
  }
}
