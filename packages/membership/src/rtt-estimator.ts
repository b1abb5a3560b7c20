/** Estimates RTTs of probes, including the queueing delay on full links. */

/** Time in ms for which a sample is used. */
const SAMPLE_LIFETIME_MS = 3_000;

/**
 * Upper bound of the estimate in ms. Dead hosts have to be detected despite
 * full queues, and the node that raised a suspicion has to decide before those
 * that received it by gossip.
 */
const MAX_EXPECTED_RTT_MS = 1_500;

interface RttSample {
  ms: number;
  atMs: number;
}

export class RttEstimator {
  private readonly byTarget = new Map<string, RttSample>();

  /** Records a sample; increases apply in full, decreases by half. */
  record(target: string, ms: number, nowMs: number): void {
    this.removeExpired(nowMs);
    const previousMs = this.byTarget.get(target)?.ms ?? 0;
    this.byTarget.set(target, {
      ms: Math.max(ms, (previousMs + ms) / 2),
      atMs: nowMs,
    });
  }

  /**
   * Expected RTT in ms to the target. The minimum over all targets is
   * attributed to this node's own link and is a lower bound for each of them.
   */
  expectedRttMs(target: string, nowMs: number): number {
    this.removeExpired(nowMs);
    const all = Array.from(this.byTarget.values(), ({ms}) => ms);
    const minMs = all.length > 0 ? Math.min(...all) : 0;
    const targetMs = this.byTarget.get(target)?.ms ?? 0;
    return Math.min(MAX_EXPECTED_RTT_MS, Math.max(minMs, targetMs));
  }

  /** Removes all samples: those from before a pause are no longer valid. */
  clear(): void {
    this.byTarget.clear();
  }

  private removeExpired(nowMs: number): void {
    for (const [target, {atMs}] of this.byTarget) {
      if (nowMs - atMs > SAMPLE_LIFETIME_MS) this.byTarget.delete(target);
    }
  }
}
