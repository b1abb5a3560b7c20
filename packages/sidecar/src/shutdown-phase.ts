/** The course of a planned shutdown, decided from what is still at work. */

/**
 * Time in ms after SIGTERM in which callers are still served in full: the
 * platform needs two readiness questions, a second apart, to stop sending.
 */
const LEAVE_SERVING_MS = 2_500;
/** Time in ms kept between the last work and the end of the grace period. */
const WORK_RESERVE_MS = 700;
/** Time in ms kept between the last answer and the end of that period. */
const ANSWER_RESERVE_MS = 400;
/** Time in ms kept between the last bytes sent and the end of that period. */
const EXIT_RESERVE_MS = 200;
/**
 * Time in ms without work after which none is expected: other nodes learn by
 * gossip that this one leaves, and callers' connections have closed by then.
 */
const QUIET_MS = 500;

/**
 * `serving`: all is taken, and each answer ends its caller's connection.
 * `finishing`: no new connections; what is taken has to end in time.
 * `refusing`: nothing is taken, what has been answered leaves.
 * `over`: the connections to other nodes close.
 */
export type ShutdownPhase = 'serving' | 'finishing' | 'refusing' | 'over';

/** When the phases end at the latest, in ms since the epoch. */
export interface ShutdownTimes {
  servingEndMs: number;
  /** Work that would end later is not taken. */
  workEndMs: number;
  answerEndMs: number;
  exitMs: number;
}

/** What is at work, as of `nowMs`. */
export interface ShutdownActivity {
  busy: boolean;
  /** When it was last seen busy. */
  lastBusyMs: number;
}

export function shutdownTimes(termMs: number, graceMs: number): ShutdownTimes {
  const killMs = termMs + graceMs;
  const before = (reserveMs: number) => Math.max(termMs, killMs - reserveMs);
  const workEndMs = before(WORK_RESERVE_MS);
  return {
    servingEndMs: Math.min(termMs + LEAVE_SERVING_MS, workEndMs),
    workEndMs,
    answerEndMs: before(ANSWER_RESERVE_MS),
    exitMs: before(EXIT_RESERVE_MS),
  };
}

/** The phase that follows `phase`, or `phase` itself while it lasts. */
export function nextPhase(
  phase: ShutdownPhase,
  times: ShutdownTimes,
  {busy, lastBusyMs}: ShutdownActivity,
  nowMs: number,
): ShutdownPhase {
  switch (phase) {
    case 'serving':
      return nowMs < times.servingEndMs ? phase : 'finishing';
    case 'finishing': {
      const quietMs = nowMs - Math.max(lastBusyMs, times.servingEndMs);
      const isDone = !busy && quietMs >= QUIET_MS;
      return isDone || nowMs >= times.workEndMs ? 'refusing' : phase;
    }
    case 'refusing':
      return busy && nowMs < times.answerEndMs ? phase : 'over';
    case 'over':
      return phase;
  }
}
