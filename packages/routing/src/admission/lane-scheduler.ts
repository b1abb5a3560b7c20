/** Which class gets the next free slot. */

import type {ClassPriority} from '@turmericmill/config';

import type {CallLane} from './call-lane.js';

/** Share of slots that bulk calls get while they wait. */
const BULK_SHARE = 0.2;
/** Interactive calls after which a waiting bulk call gets its turn. */
const STARTS_PER_BULK = 4;
/** Share of slots kept from bulk calls while interactive ones arrive. */
const INTERACTIVE_RESERVE = 0.25;
/** Time in ms for which an interactive call keeps up the reserve. */
const RESERVE_MS = 10_000;

/** Orders the lanes of a server and remembers what bulk calls are owed. */
export class LaneScheduler {
  private interactiveAtMs = -Infinity;
  private startsSinceBulk = 0;

  /** An interactive call has arrived. */
  noteInteractive(nowMs: number): void {
    this.interactiveAtMs = nowMs;
  }

  /** A call of this priority was given a slot. */
  noteStart(priority: ClassPriority): void {
    this.startsSinceBulk = priority === 'bulk' ? 0 : this.startsSinceBulk + 1;
  }

  /** The lane whose call starts next, if any may. */
  choose(
    lanes: readonly CallLane[],
    limit: number,
    nowMs: number,
  ): CallLane | undefined {
    const suspectRuns = lanes.some(lane => lane.suspects && lane.running > 0);
    const open = lanes.filter(
      lane => lane.length > 0 && !(lane.suspects && suspectRuns),
    );
    const bulk = open.filter(({priority}) => priority === 'bulk');
    const interactive = open.filter(({priority}) => priority !== 'bulk');
    const bulkRunning = lanes
      .filter(({priority}) => priority === 'bulk')
      .reduce((sum, {running}) => sum + running, 0);
    const bulkFirst =
      interactive.length === 0 || this.bulkIsOwed(bulkRunning, limit);
    if (bulkFirst && bulkRunning < this.bulkLimit(limit, nowMs)) {
      const lane = leastServed(bulk);
      if (lane) return lane;
    }
    return leastServed(interactive);
  }

  private bulkIsOwed(bulkRunning: number, limit: number): boolean {
    if (bulkRunning < Math.floor(limit * BULK_SHARE)) return true;
    return bulkRunning === 0 && this.startsSinceBulk >= STARTS_PER_BULK;
  }

  private bulkLimit(limit: number, nowMs: number): number {
    if (nowMs > this.interactiveAtMs + RESERVE_MS) return limit;
    return Math.max(1, limit - Math.ceil(limit * INTERACTIVE_RESERVE));
  }
}

/** The lane that is furthest below its weight; then the first deadline. */
function leastServed(lanes: readonly CallLane[]): CallLane | undefined {
  const share = (lane: CallLane) => (lane.running + 1) / lane.weight;
  const due = (lane: CallLane) => lane.peek()?.deadlineMs ?? Infinity;
  const ordered = [...lanes].sort(
    (a, b) => share(a) - share(b) || due(a) - due(b),
  );
  return ordered[0];
}
