/**
 * When a relay pushes what it read from the log. The first relays push at once
 * or after the batching window; each further one waits longer and pushes only
 * what no other relay's push has brought by then.
 */

import type {ConfigDelta} from '@turmericmill/wire';

import type {DistributionTiming} from '../agent/preference.js';
import {mergeDeltas} from '../replica/delta-history.js';

/** Changes that wait to be pushed. */
export class PushPlan {
  private deltas: ConfigDelta[] = [];
  private dueMs = Infinity;

  constructor(private readonly timing: DistributionTiming) {}

  /** Adds a change that a relay of this rank has read. */
  add(delta: ConfigDelta, rank: number, nowMs: number): void {
    if (rank < 0) return;
    const last = this.deltas.at(-1);
    if (last && last.to < delta.from) this.deltas = [];
    this.deltas.push(delta);
    const {pushingRelays, batchWindowMs, backupDelayMs} = this.timing;
    const extraMs = Math.max(0, rank + 1 - pushingRelays) * backupDelayMs;
    if (this.dueMs === Infinity) this.dueMs = nowMs + batchWindowMs + extraMs;
  }

  /** Another relay's push arrived; a relay that stands by has no need to. */
  onOtherPush(to: number, rank: number): void {
    if (rank < this.timing.pushingRelays) return;
    this.deltas = this.deltas.filter(delta => delta.to > to);
    if (this.deltas.length === 0) this.dueMs = Infinity;
  }

  /** The change to push now, if it is time. */
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
