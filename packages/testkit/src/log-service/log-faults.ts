/** What goes wrong at the log stand-in. */

/** Faults in force. Each call is decided on by `planCall`. */
export interface LogFaults {
  /** Every call is refused with 503; nothing takes effect. */
  down: boolean;
  /** Calls are taken and never answered. */
  silent: boolean;
  /** Time in ms by which answers are late. */
  delayMs: number;
  /** So many of the next appends take effect, but their answer is lost. */
  loseAnswers: number;
  /** So many of the next appends are lost before they take effect. */
  loseRequests: number;
  /** Every second answer is overtaken by the answer after it. */
  crossAnswers: boolean;
  /** Appends taken in one second; the others get 503. */
  maxAppendsPerSecond: number;
  /** Records kept of each stream; older ones are trimmed. */
  maxRecords: number;
}

/** A log without faults. */
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

/** What is to be done with one call. */
export type CallPlan =
  | 'serve'
  /** Answer 503. */
  | 'refuse'
  /** Take effect, then close the connection without an answer. */
  | 'lose-answer'
  /** Close the connection without effect. */
  | 'lose-request'
  /** Never answer. */
  | 'hang';

/** Appends counted in the second that began at `startMs`. */
export interface AppendWindow {
  startMs: number;
  appends: number;
}

const WINDOW_MS = 1000;

/** Decides on one call and returns the faults and the window after it. */
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
  const counted = {startMs, appends: appends + 1};
  if (appends >= faults.maxAppendsPerSecond) {
    return {plan: 'refuse', faults, window: counted};
  }
  if (faults.loseRequests > 0) {
    const left = {...faults, loseRequests: faults.loseRequests - 1};
    return {plan: 'lose-request', faults: left, window: counted};
  }
  if (faults.loseAnswers > 0) {
    const left = {...faults, loseAnswers: faults.loseAnswers - 1};
    return {plan: 'lose-answer', faults: left, window: counted};
  }
  return {plan: 'serve', faults, window: counted};
}
