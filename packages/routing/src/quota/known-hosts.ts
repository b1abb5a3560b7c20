/**
 * Counts the hosts that may serve. A host that was lost still counts for some
 * time, because the other side of a split network may serve its callers.
 */

/**
 * Time in ms for which a lost host counts. A split that lasts longer lets both
 * sides divide the caps among fewer hosts than there are. A host that is off
 * for good takes its part of the caps with it for this time.
 */
const LOST_HOST_COUNTS_MS = 600_000;

export class KnownHosts {
  /** Time in ms at which each host was last known to be there. */
  private readonly seenMs = new Map<string, number>();

  /** Records hosts that are live, or that the store names. */
  record(ids: Iterable<string>, nowMs: number): void {
    for (const id of ids) this.seenMs.set(id, nowMs);
  }

  /** Removes hosts that have said that they serve no more. */
  remove(ids: Iterable<string>): void {
    for (const id of ids) this.seenMs.delete(id);
  }

  /** Number of hosts that may serve; at least 1. */
  count(nowMs: number): number {
    for (const [id, seenMs] of this.seenMs) {
      if (nowMs - seenMs > LOST_HOST_COUNTS_MS) this.seenMs.delete(id);
    }
    return Math.max(1, this.seenMs.size);
  }
}
