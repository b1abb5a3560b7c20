/** Monitors the resources of the process: CPU time, memory and link. */

import type {Clock} from '@turmericmill/utils';
import type Logger from 'bunyan';

import {LinkMonitor, type LinkMonitorParts} from './link-monitor.js';
import {LogBudget, type LineRate} from './log-budget.js';

/** Interval in ms between checks. */
const CHECK_INTERVAL_MS = 250;
/** Minimum event loop delay in ms that is logged. */
const MIN_LOGGED_DELAY_MS = 250;
const DELAY_LINE_RATE: LineRate = {perSecond: 0.2, burst: 5};
/** Resident memory is logged when a multiple of this size is first reached. */
const MEMORY_STEP_BYTES = 32 * 1024 * 1024;

export interface ProcessMonitorParts {
  clock: Clock;
  logger: Logger;
  /** Resident memory of the process in bytes. */
  residentBytes(): number;
  /** Called at each check with the event loop delay in ms. */
  onDelay(delayMs: number): void;
  link: Omit<LinkMonitorParts, 'logger'>;
}

/**
 * Load pattern: a node that is starved of CPU time, or about to be killed for
 * its memory, cannot log this afterwards. The number of lines is limited: one
 * whenever resident memory reaches a step for the first time, and a rate
 * limit for event loop delay and for the link.
 */
export class ProcessMonitor {
  private readonly budget = new LogBudget();
  private readonly link: LinkMonitor;
  private lastTickMs: number;
  private maxSteps = 0;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly parts: ProcessMonitorParts) {
    const {clock, link, logger} = parts;
    this.lastTickMs = clock.now();
    this.link = new LinkMonitor({...link, logger}, this.lastTickMs);
  }

  start(): void {
    this.lastTickMs = this.parts.clock.now();
    this.timer = setInterval(() => this.tick(), CHECK_INTERVAL_MS);
    this.timer.unref();
  }

  stop(): void {
    clearInterval(this.timer);
  }

  tick(): void {
    const now = this.parts.clock.now();
    const delayMs = Math.max(0, now - this.lastTickMs - CHECK_INTERVAL_MS);
    this.lastTickMs = now;
    this.parts.onDelay(delayMs);
    this.checkDelay(delayMs, now);
    this.checkMemory();
    this.link.check(delayMs, now);
  }

  private checkDelay(delayMs: number, now: number): void {
    if (delayMs < MIN_LOGGED_DELAY_MS) return;
    const {write, leftOut} = this.budget.decideLine(
      'late',
      DELAY_LINE_RATE,
      now,
    );
    if (!write) return;
    const entry = {
      delayMs: Math.round(delayMs),
      ...(leftOut > 0 && {leftOut}),
    };
    this.parts.logger.info(entry, 'event loop late');
  }

  private checkMemory(): void {
    const residentBytes = this.parts.residentBytes();
    const steps = Math.floor(residentBytes / MEMORY_STEP_BYTES);
    if (steps <= this.maxSteps) return;
    this.maxSteps = steps;
    this.parts.logger.info(
      {residentBytes},
      'resident memory reached a new maximum',
    );
  }
}
