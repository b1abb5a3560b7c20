/**
 * Decides whether a reported server may be used after a restart of its node.
 * The process before may have acknowledged that the server leaves. A heartbeat
 * does not disprove that, as it may be late; nor does a directory that names no
 * departure, as it may not have been reachable. Only what the server says after
 * the restart does.
 */

import {
  LATE_REPORT_WINDOW_MS,
  startKey,
  type ServerStart,
} from './reported-server.js';

export class RestartGuard {
  /** Time in ms from which on a report was made after the restart. */
  readonly lateReportsUntilMs: number;
  /** Key of the start that may be used. */
  private cleared: string | undefined;

  /** `isFirstStart`: no process of this node ran before. */
  constructor(
    startedMs: number,
    private readonly isFirstStart: boolean,
  ) {
    this.lateReportsUntilMs = startedMs + LATE_REPORT_WINDOW_MS;
  }

  /** Records a heartbeat that changed the state of the server. */
  recordReport(start: ServerStart, nowMs: number): void {
    if (nowMs >= this.lateReportsUntilMs) this.cleared = startKey(start);
  }

  /** Records that the server stated, when asked, that it is not leaving. */
  recordHealthy(start: ServerStart): void {
    this.cleared = startKey(start);
  }

  isCleared(start: ServerStart): boolean {
    return this.isFirstStart || this.cleared === startKey(start);
  }
}
