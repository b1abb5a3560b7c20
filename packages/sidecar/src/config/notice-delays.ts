/**
 * Estimates how late the notices of each peer arrive. Load pattern: a connection
 * to a host behind a full link holds messages back for seconds, and each of them
 * was fresh when it was sent. The clocks of two hosts differ by an amount that is
 * not known but does not change, so the smallest difference of late is that of a
 * notice that nothing held back.
 */

/**
 * Time in ms for which a smallest difference counts, and for up to twice of
 * which: a sender's clock that stood still makes all that follow seem late.
 */
const WINDOW_MS = 15_000;

interface Differences {
  incarnation: number;
  /** Smallest difference in ms in this window, and in the one before. */
  smallestMs: number;
  smallestBeforeMs: number;
  windowEndMs: number;
}

export class NoticeDelays {
  private readonly byPeer = new Map<string, Differences>();

  /**
   * Returns the delay in ms of a notice that a peer has sent at `sentMs` by its
   * own clock; 0 for the first one of an incarnation.
   */
  record(
    {nodeId, incarnation}: {nodeId: string; incarnation: number},
    sentMs: number,
    nowMs: number,
  ): number {
    const differenceMs = nowMs - sentMs;
    let differences = this.byPeer.get(nodeId);
    if (differences?.incarnation !== incarnation) {
      differences = {
        incarnation,
        smallestMs: Infinity,
        smallestBeforeMs: Infinity,
        windowEndMs: nowMs + WINDOW_MS,
      };
      this.byPeer.set(nodeId, differences);
    }
    if (nowMs >= differences.windowEndMs) {
      differences.smallestBeforeMs = differences.smallestMs;
      differences.smallestMs = Infinity;
      differences.windowEndMs = nowMs + WINDOW_MS;
    }
    differences.smallestMs = Math.min(differences.smallestMs, differenceMs);
    const {smallestMs, smallestBeforeMs} = differences;
    return differenceMs - Math.min(smallestMs, smallestBeforeMs);
  }
}
