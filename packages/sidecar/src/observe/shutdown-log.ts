/** Logs the shutdown of a node and the work that remains. */

import type {Clock} from '@turmericmill/utils';
import type Logger from 'bunyan';

/** Work that has not ended. */
export interface WorkLeft {
  /** Requests of this host's callers that have not ended. */
  requests: number;
  /** Calls of other nodes that have not ended. */
  peerCalls: number;
  /** Answers that have ended but are not fully written to their callers. */
  answersUnflushed: number;
}

export class ShutdownLog {
  private readonly startedMs: number;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly workLeft: () => WorkLeft,
  ) {
    this.startedMs = clock.now();
  }

  /**
   * Logs the start of the shutdown. At `deadlineMs`, in ms since the epoch,
   * callers' requests without an answer are cancelled.
   */
  stopping(deadlineMs: number): void {
    const remainingMs = Math.round(deadlineMs - this.startedMs);
    this.logger.info({...this.workLeft(), remainingMs}, 'stopping');
  }

  /** Called before requests are cancelled; logs only if work remains. */
  closing(): void {
    const left = this.workLeft();
    if (left.requests + left.peerCalls + left.answersUnflushed === 0) return;
    this.logger.warn({...left, tookMs: this.tookMs}, 'work ended by shutdown');
  }

  /** Logs the end of the shutdown; work that remains is lost. */
  stopped(): void {
    this.logger.info({...this.workLeft(), tookMs: this.tookMs}, 'stopped');
  }

  private get tookMs(): number {
    return Math.round(this.clock.now() - this.startedMs);
  }
}
