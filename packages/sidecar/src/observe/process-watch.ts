/** Watches what the whole process is short of: processor time and memory. */

import type {Clock} from '@turmericmill/utils';
import type Logger from 'bunyan';

import {LogBudget, type LineRate} from './log-budget.js';

/** Time in ms between looks. */
const TICK_MS = 250;
/** Lateness in ms of the event loop that is worth a line. */
const LATE_LINE_MS = 250;
const LATE_RATE: LineRate = {perSecond: 0.2, burst: 5};
/** Growth in bytes of the largest memory so far that is worth a line. */
const MEMORY_STEP_BYTES = 32 * 1024 * 1024;

/** Where the watch reads from and writes to. */
export interface ProcessWatchParts {
  clock: Clock;
  logger: Logger;
  /** Resident memory of the process in bytes. */
  residentBytes(): number;
  /** Called with the lateness in ms of the event loop at each look. */
  onDelay(delayMs: number): void;
}

/**
 * Load pattern: a node that is starved or about to be killed for its memory
 * can't tell so afterwards. Its lines are bounded: one for each step of memory
 * that it never had before, and a budget for lateness.
 */
export class ProcessWatch {
  private readonly budget = new LogBudget();
  private tickMs: number;
  private mostSteps = 0;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly parts: ProcessWatchParts) {
    this.tickMs = parts.clock.now();
  }

  start(): void {
    this.tickMs = this.parts.clock.now();
    this.timer = setInterval(() => this.tick(), TICK_MS);
    this.timer.unref();
  }

  stop(): void {
    clearInterval(this.timer);
  }

  tick(): void {
    const now = this.parts.clock.now();
    const delayMs = Math.max(0, now - this.tickMs - TICK_MS);
    this.tickMs = now;
    this.parts.onDelay(delayMs);
    this.lookAtDelay(delayMs, now);
    this.lookAtMemory();
  }

  private lookAtDelay(delayMs: number, now: number): void {
    if (delayMs < LATE_LINE_MS) return;
    const {write, leftOut} = this.budget.take('late', LATE_RATE, now);
    if (!write) return;
    const entry = {
      delayMs: Math.round(delayMs),
      ...(leftOut > 0 && {leftOut}),
    };
    this.parts.logger.info(entry, 'event loop late');
  }

  private lookAtMemory(): void {
    const residentBytes = this.parts.residentBytes();
    const steps = Math.floor(residentBytes / MEMORY_STEP_BYTES);
    if (steps <= this.mostSteps) return;
    this.mostSteps = steps;
    this.parts.logger.info({residentBytes}, 'memory grew');
  }
}
