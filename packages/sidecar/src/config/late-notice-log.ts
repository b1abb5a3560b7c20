/** Logs notices that were held back on their way, as far as a rate allows. */

import type Logger from 'bunyan';

import {LogBudget, type LineRate} from '../observe/log-budget.js';
import {BEACON_INTERVAL_MS} from './source-choice.js';

const EVENT = 'notice late';
const LINE_RATE: LineRate = {perSecond: 1, burst: 5};

/** A notice that has arrived. Times in ms. */
export interface ArrivedNotice {
  peerId: string;
  version: number;
  /** Time for which it was held back. */
  delayMs: number;
  /** Age of the version that it confirms. */
  ageMs: number;
}

export class LateNoticeLog {
  private readonly budget = new LogBudget();

  constructor(private readonly logger: Logger) {}

  record(notice: ArrivedNotice, nowMs: number): void {
    if (notice.delayMs <= BEACON_INTERVAL_MS) return;
    const line = this.budget.decideLine(EVENT, LINE_RATE, nowMs);
    if (!line.write) return;
    const {leftOut} = line;
    this.logger.info({...notice, ...(leftOut > 0 && {leftOut})}, EVENT);
  }
}
