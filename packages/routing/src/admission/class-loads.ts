/** Shares of a server's slots that its classes of calls have used recently. */

/** Time in ms after which past use has lost two thirds of its weight. */
const DECAY_MS = 2_000;

interface ClassLoad {
  rank: number;
  /** Moving average of the time in ms from the arrival to the target. */
  slackMs: number;
  /** Slot time in ms, decayed to `updatedMs`. */
  busyMs: number;
  updatedMs: number;
}

/** Weight of a new sample in the moving averages. */
const SAMPLE_WEIGHT = 0.1;

export class ClassLoads {
  private readonly loads = new Map<string, ClassLoad>();

  /** Records the arrival of a call. */
  recordArrival(cls: string, rank: number, slackMs: number): void {
    const load = this.loads.get(cls);
    if (!load) {
      this.loads.set(cls, {rank, slackMs, busyMs: 0, updatedMs: 0});
      return;
    }
    load.rank = rank;
    load.slackMs += SAMPLE_WEIGHT * (slackMs - load.slackMs);
  }

  /** Records that a call has occupied a slot for `ms`. */
  recordRun(cls: string, ms: number, nowMs: number): void {
    const load = this.loads.get(cls);
    if (!load) return;
    load.busyMs = decayedMs(load, nowMs) + ms;
    load.updatedMs = nowMs;
  }

  /**
   * Share of `slots` used by classes whose calls go before one that has the
   * rank and the time in ms to its target.
   */
  shareBefore(
    rank: number,
    slackMs: number,
    slots: number,
    nowMs: number,
  ): number {
    let busyMs = 0;
    for (const load of this.loads.values()) {
      const goesBefore =
        load.rank < rank || (load.rank === rank && load.slackMs < slackMs);
      if (goesBefore) busyMs += decayedMs(load, nowMs);
    }
    return busyMs / (slots * DECAY_MS);
  }
}

function decayedMs({busyMs, updatedMs}: ClassLoad, nowMs: number): number {
  return busyMs * Math.exp((updatedMs - nowMs) / DECAY_MS);
}
