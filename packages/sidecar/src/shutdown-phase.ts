/** Decides the phases of a planned shutdown by the activity of the node. */

/**
 * Time in ms after SIGTERM in which callers are still fully served: the
 * platform stops sending only after two readiness probes, a second apart.
 */
const MAX_SERVING_MS = 2_500;
/** Time in ms reserved between the last work and the grace period's end. */
const WORK_RESERVE_MS = 700;
/** Time in ms reserved between the last answer and the grace period's end. */
const ANSWER_RESERVE_MS = 400;
/** Time in ms reserved between the last byte and the grace period's end. */
const EXIT_RESERVE_MS = 200;
/**
 * Time in ms without work after which no more is expected: by then, gossip has
 * spread that this node leaves, and callers' connections have closed.
 */
const QUIET_MS = 500;

/**
 * `serving`: all work is accepted; each answer closes its caller's connection.
 * `finishing`: no new connections; work is accepted only if it ends in time.
 * `refusing`: new work is refused, and callers' requests whose answer has not
 * begun are cancelled; answers that have begun are still sent.
 * `over`: the connections to other nodes close.
 */
export type ShutdownPhase = 'serving' | 'finishing' | 'refusing' | 'over';

/** Latest ends of the phases, in ms since the epoch. */
export interface ShutdownTimes {
  servingEndMs: number;
  /** Work that would end later is refused. */
  workEndMs: number;
  answerEndMs: number;
  exitMs: number;
}

/** Activity of the node at `nowMs`. */
export interface ShutdownActivity {
  busy: boolean;
  /** Time in ms at which the node was last busy. */
  lastBusyMs: number;
}

export function shutdownTimes(termMs: number, graceMs: number): ShutdownTimes {
  const killMs = termMs + graceMs;
  const latestEnd = (reserveMs: number) => Math.max(termMs, killMs - reserveMs);
  const workEndMs = latestEnd(WORK_RESERVE_MS);
  return {
    servingEndMs: Math.min(termMs + MAX_SERVING_MS, workEndMs),
    workEndMs,
    answerEndMs: latestEnd(ANSWER_RESERVE_MS),
    exitMs: latestEnd(EXIT_RESERVE_MS),
  };
}

/** Returns the phase that follows `phase`, or `phase` itself while it lasts. */
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
