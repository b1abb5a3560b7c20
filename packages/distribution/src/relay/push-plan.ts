/**
 * Decides when a relay pushes the changes that it read from the log. The first
 * relays push immediately or after the batch window. Each further relay waits
 * longer and pushes only changes that no other relay has pushed by then.
 */

import type {ConfigDelta} from '@turmericmill/wire';

import type {DistributionTiming} from '../agent/preference.js';
import {mergeDeltas} from '../replica/delta-history.js';

/** The changes that a relay has not pushed yet. */
export class PushPlan {
  private deltas: ConfigDelta[] = [];
  private dueMs = Infinity;

  constructor(private readonly timing: DistributionTiming) {}

  /** Adds a change that was read; `rank` is -1 if the node is no relay. */
  add(delta: ConfigDelta, rank: number, nowMs: number): void {
    if (rank < 0) return;
    const last = this.deltas.at(-1);
    if (last && last.to < delta.from) this.deltas = [];
    this.deltas.push(delta);
    const {pushingRelays, batchWindowMs, backupDelayMs} = this.timing;
    const extraMs = Math.max(0, rank + 1 - pushingRelays) * backupDelayMs;
    if (this.dueMs === Infinity) this.dueMs = nowMs + batchWindowMs + extraMs;
  }

  /** Drops changes that another relay pushed, if this relay is a backup. */
  onOtherPush(to: number, rank: number): void {
    if (rank < this.timing.pushingRelays) return;
    this.deltas = this.deltas.filter(delta => delta.to > to);
    if (this.deltas.length === 0) this.dueMs = Infinity;
  }

  /** Removes and returns all changes, merged into one, when they are due. */
  poll(nowMs: number): ConfigDelta | undefined {
    if (nowMs < this.dueMs) return undefined;
    const merged = mergeDeltas(this.deltas);
    this.deltas = [];
    this.dueMs = Infinity;
    return merged;
  }

  nextDeadlineMs(): number {
    return this.dueMs;
  }
}
