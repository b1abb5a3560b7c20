/** Faults that the log stand-in simulates. */

/** Faults in force; `planCall` determines from them how a call is handled. */
export interface LogFaults {
  /** Every call is refused with 503; nothing takes effect. */
  down: boolean;
  /** No call is answered. */
  silent: boolean;
  /** Delay of each answer, in ms. */
  delayMs: number;
  /** Number of next appends that take effect but whose answer is lost. */
  loseAnswers: number;
  /** Number of next appends that are lost before they take effect. */
  loseRequests: number;
  /** Every second answer is sent after its successor. */
  crossAnswers: boolean;
  /** Maximum number of appends in one second; others are answered 503. */
  maxAppendsPerSecond: number;
  /** Maximum number of records of each stream; older ones are trimmed. */
  maxRecords: number;
}

/** No faults. */
export const NO_FAULTS: Readonly<LogFaults> = {
  down: false,
  silent: false,
  delayMs: 0,
  loseAnswers: 0,
  loseRequests: 0,
  crossAnswers: false,
  maxAppendsPerSecond: Number.MAX_SAFE_INTEGER,
  maxRecords: Number.MAX_SAFE_INTEGER,
};

/** How a call is handled. */
export type CallPlan =
  | 'serve'
  /** Answer 503. */
  | 'refuse'
  /** Apply the call, then close the connection without an answer. */
  | 'lose-answer'
  /** Close the connection without applying the call. */
  | 'lose-request'
  /** Never answer. */
  | 'hang';

/** Appends counted in the second that began at `startMs`. */
export interface AppendWindow {
  startMs: number;
  appends: number;
}

const WINDOW_MS = 1000;

/** Plans a call; returns the remaining faults and the updated window. */
export function planCall(
  faults: LogFaults,
  window: AppendWindow,
  isAppend: boolean,
  nowMs: number,
): {plan: CallPlan; faults: LogFaults; window: AppendWindow} {
  if (faults.silent) return {plan: 'hang', faults, window};
  if (faults.down) return {plan: 'refuse', faults, window};
  if (!isAppend) return {plan: 'serve', faults, window};
  const isOpen = nowMs < window.startMs + WINDOW_MS;
  const {startMs, appends} = isOpen ? window : {startMs: nowMs, appends: 0};
  const updated = {startMs, appends: appends + 1};
  if (appends >= faults.maxAppendsPerSecond) {
    return {plan: 'refuse', faults, window: updated};
  }
  if (faults.loseRequests > 0) {
    const remaining = {...faults, loseRequests: faults.loseRequests - 1};
    return {plan: 'lose-request', faults: remaining, window: updated};
  }
  if (faults.loseAnswers > 0) {
    const remaining = {...faults, loseAnswers: faults.loseAnswers - 1};
    return {plan: 'lose-answer', faults: remaining, window: updated};
  }
  return {plan: 'serve', faults, window: updated};
}
