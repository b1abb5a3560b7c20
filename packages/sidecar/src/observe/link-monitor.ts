/** Logs how long the host's link is busy with traffic to other nodes. */

import type Logger from 'bunyan';

import {LogBudget, type LineRate} from './log-budget.js';

/** Share of the link's bandwidth from which it counts as busy. */
const BUSY_SHARE = 0.8;
/** Buffered bytes from which it counts as busy, in ms of its bandwidth. */
const BUSY_BUFFERED_MS = 250;
const EVENT = 'link busy';
const LINE_RATE: LineRate = {perSecond: 0.5, burst: 5};
const MS_PER_S = 1000;

export interface LinkMonitorParts {
  /** Bandwidth of the host's link in bytes per ms. */
  bytesPerMs: number;
  logger: Logger;
  /** Bytes sent to other nodes since the start. */
  sentBytes(): number;
  /** Bytes written to sockets that are still buffered in this process. */
  unsentBytes(): number;
}

/**
 * Load pattern: long answers fill the link of a host, and its notices are late
 * at others. Together with the delay of the event loop this distinguishes a full
 * link from a process that is starved.
 */
export class LinkMonitor {
  private readonly budget = new LogBudget();
  private lastCheckMs: number;
  private lastSentBytes = 0;

  constructor(
    private readonly parts: LinkMonitorParts,
    nowMs: number,
  ) {
    this.lastCheckMs = nowMs;
  }

  /** `loopDelayMs`: event loop delay in ms at this check. */
  check(loopDelayMs: number, nowMs: number): void {
    const {bytesPerMs, logger} = this.parts;
    const elapsedMs = nowMs - this.lastCheckMs;
    if (elapsedMs <= 0) return;
    const sentBytes = this.parts.sentBytes();
    const sentPerMs = (sentBytes - this.lastSentBytes) / elapsedMs;
    this.lastCheckMs = nowMs;
    this.lastSentBytes = sentBytes;
    const unsentBytes = this.parts.unsentBytes();
    const isBusy =
      sentPerMs >= BUSY_SHARE * bytesPerMs ||
      unsentBytes >= BUSY_BUFFERED_MS * bytesPerMs;
    if (!isBusy) return;
    const {write, leftOut} = this.budget.decideLine(EVENT, LINE_RATE, nowMs);
    if (!write) return;
    const entry = {
      sentBytesPerS: Math.round(sentPerMs * MS_PER_S),
      linkShare: Number((sentPerMs / bytesPerMs).toFixed(2)),
      unsentBytes,
      loopDelayMs: Math.round(loopDelayMs),
      ...(leftOut > 0 && {leftOut}),
    };
    logger.info(entry, EVENT);
  }
}
