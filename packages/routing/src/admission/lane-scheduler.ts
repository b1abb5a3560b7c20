/** Decides which class gets the next free slot. */

import type {ClassPriority} from '@turmericmill/config';

import type {CallLane} from './call-lane.js';

/** Share of slots that waiting bulk calls are entitled to. */
const BULK_SHARE = 0.2;
/** Interactive calls after which a bulk call starts if none is running. */
const INTERACTIVE_PER_BULK = 4;
/** Share of slots closed to bulk calls while interactive ones arrive. */
const INTERACTIVE_RESERVE = 0.25;
/** Time in ms for which the reserve lasts after an interactive call. */
const RESERVE_MS = 10_000;

/** Shares the slots of a server among its lanes, by priority and weight. */
export class LaneScheduler {
  private lastInteractiveAtMs = -Infinity;
  private startsSinceBulk = 0;

  /** Records that an interactive call has arrived. */
  noteInteractive(nowMs: number): void {
    this.lastInteractiveAtMs = nowMs;
  }

  /** Records that a call of this priority was given a slot. */
  noteStart(priority: ClassPriority): void {
    this.startsSinceBulk = priority === 'bulk' ? 0 : this.startsSinceBulk + 1;
  }

  /** The lane whose call starts next; undefined if none may start. */
  choose(
    lanes: readonly CallLane[],
    limit: number,
    nowMs: number,
  ): CallLane | undefined {
    const isSuspectRunning = lanes.some(
      lane => lane.holdsSuspects && lane.running > 0,
    );
    const eligible = lanes.filter(
      lane => lane.length > 0 && !(lane.holdsSuspects && isSuspectRunning),
    );
    const bulk = eligible.filter(({priority}) => priority === 'bulk');
    const interactive = eligible.filter(({priority}) => priority !== 'bulk');
    const bulkRunning = lanes
      .filter(({priority}) => priority === 'bulk')
      .reduce((sum, {running}) => sum + running, 0);
    const bulkFirst =
      interactive.length === 0 || this.isBulkEntitled(bulkRunning, limit);
    if (bulkFirst && bulkRunning < this.bulkLimit(limit, nowMs)) {
      const lane = leastServed(bulk);
      if (lane) return lane;
    }
    return leastServed(interactive);
  }

  private isBulkEntitled(bulkRunning: number, limit: number): boolean {
    if (bulkRunning < Math.floor(limit * BULK_SHARE)) return true;
    return bulkRunning === 0 && this.startsSinceBulk >= INTERACTIVE_PER_BULK;
  }

  private bulkLimit(limit: number, nowMs: number): number {
    if (nowMs > this.lastInteractiveAtMs + RESERVE_MS) return limit;
    return Math.max(1, limit - Math.ceil(limit * INTERACTIVE_RESERVE));
  }
}

/** The lane with the fewest running calls for its weight, then by deadline. */
function leastServed(lanes: readonly CallLane[]): CallLane | undefined {
  const share = (lane: CallLane) => (lane.running + 1) / lane.weight;
  const deadlineMs = (lane: CallLane) => lane.peek()?.deadlineMs ?? Infinity;
  const ordered = [...lanes].sort(
    (a, b) => share(a) - share(b) || deadlineMs(a) - deadlineMs(b),
  );
  return ordered[0];
}
