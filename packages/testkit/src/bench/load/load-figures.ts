/** What callers got out of a pattern of load. */

import type {LoadClass} from './load-pattern.js';

/** How a caller's request ended after all its attempts. */
export type CallerEnd = 'on-time' | 'late' | 'refused' | 'failed';

export interface LoadFigures {
  /** Worth earned, as a share of what all answers on time would earn. */
  worth: number;
  onTime: number;
  late: number;
  refused: number;
  failed: number;
  /** Share of requests refused more than once. */
  refusedAgain: number;
  /** Mean time in ms for which a refusal was held back. */
  refusalHeldMs: number;
  /** Refusals held for more than half of their target. */
  lateRefusals: number;
  /** Bytes of answers between data centres for each request. */
  crossingBytes: number;
  /** Runs begun for each request. */
  runs: number;
}

function round(value: number): number {
  return Number(value.toFixed(3));
}

/** Sums over all requests of a run. */
export class LoadCounts {
  private readonly ends: Record<CallerEnd, number> = {
    'on-time': 0,
    late: 0,
    refused: 0,
    failed: 0,
  };
  private owed = 0;
  private earned = 0;
  private refusals = 0;
  private heldMs = 0;
  private lateRefusals = 0;
  private again = 0;
  crossingBytes = 0;
  runs = 0;

  /** A request has come for the first time. */
  asked(cls: LoadClass): void {
    this.owed += cls.worth;
  }

  ended(cls: LoadClass, end: CallerEnd, attempts: number): void {
    this.ends[end] += 1;
    if (end === 'on-time') this.earned += cls.worth;
    if (end === 'late') this.earned += cls.lateWorth;
    if (end === 'refused' && attempts > 1) this.again += 1;
  }

  /** One attempt was refused after `heldMs`. */
  refusedAfter(cls: LoadClass, heldMs: number): void {
    this.refusals += 1;
    this.heldMs += heldMs;
    if (heldMs > cls.targetMs / 2) this.lateRefusals += 1;
  }

  figures(): LoadFigures {
    const total = Object.values(this.ends).reduce((sum, n) => sum + n, 0);
    const share = (count: number) => round(count / Math.max(1, total));
    return {
      worth: round(this.earned / Math.max(1, this.owed)),
      onTime: share(this.ends['on-time']),
      late: share(this.ends.late),
      refused: share(this.ends.refused),
      failed: share(this.ends.failed),
      refusedAgain: share(this.again),
      refusalHeldMs: round(this.heldMs / Math.max(1, this.refusals)),
      lateRefusals: share(this.lateRefusals),
      crossingBytes: Math.round(this.crossingBytes / Math.max(1, total)),
      runs: share(this.runs),
    };
  }
}
