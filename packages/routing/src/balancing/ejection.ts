/** Outlier ejection: excludes a failing server, readmits it by real calls. */

import {DecayingRate} from './decaying-rate.js';

/** Failures in a row, or share of failures, that cause an ejection. */
const EJECT_AFTER_FAILURES = 3;
const EJECT_FAILURE_RATE = 0.5;
const FIRST_EJECTION_MS = 2_000;
const MAX_EJECTION_MS = 60_000;

/** Failures of one server and the time until which it is ejected. */
export class Ejection {
  private readonly failures = new DecayingRate();
  private failuresInRow = 0;
  private ejectionsInRow = 0;
  private ejectedUntilMs = 0;

  /** Share of calls that failed, between 0 and 1. */
  failureRate(nowMs: number): number {
    return this.failures.valueAt(nowMs);
  }

  /**
   * True while the server is excluded. When its ejection is over, one real call
   * at a time probes it until one is answered.
   */
  isActive(inFlight: number, nowMs: number): boolean {
    if (nowMs < this.ejectedUntilMs) return true;
    return this.ejectionsInRow > 0 && inFlight > 0;
  }

  succeeded(nowMs: number): void {
    this.failures.add(0, nowMs);
    this.failuresInRow = 0;
    this.ejectionsInRow = 0;
  }

  failed(nowMs: number): void {
    this.failures.add(1, nowMs);
    this.failuresInRow++;
    const eject =
      this.failuresInRow >= EJECT_AFTER_FAILURES ||
      this.failures.valueAt(nowMs) > EJECT_FAILURE_RATE ||
      this.ejectionsInRow > 0;
    if (!eject || nowMs < this.ejectedUntilMs) return;
    const backOffMs = FIRST_EJECTION_MS * 2 ** this.ejectionsInRow;
    this.ejectedUntilMs = nowMs + Math.min(MAX_EJECTION_MS, backOffMs);
    this.ejectionsInRow++;
  }
}
