/** Lines on the shutdown of a node, with the work that is left. */

import type {Clock} from '@turmericmill/utils';
import type Logger from 'bunyan';

/** What a node has still to do. */
export interface WorkLeft {
  /** Requests of this host's callers that have not ended. */
  requests: number;
  /** Calls of other nodes that have not ended. */
  peerCalls: number;
  /** Answers that have ended and wait to be written to their callers. */
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

  /** `deadlineMs`: time in ms at which work is ended. */
  stopping(deadlineMs: number): void {
    const remainingMs = Math.round(deadlineMs - this.startedMs);
    this.logger.info({...this.workLeft(), remainingMs}, 'stopping');
  }

  /** Before sockets close: a line only if that ends work. */
  closing(): void {
    const left = this.workLeft();
    if (left.requests + left.peerCalls + left.answersUnflushed === 0) return;
    this.logger.warn({...left, tookMs: this.tookMs}, 'work ended by shutdown');
  }

  /** The process ends after this; what is left is lost. */
  stopped(): void {
    this.logger.info({...this.workLeft(), tookMs: this.tookMs}, 'stopped');
  }

  private get tookMs(): number {
    return Math.round(this.clock.now() - this.startedMs);
  }
}
