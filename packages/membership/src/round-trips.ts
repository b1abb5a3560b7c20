/** How long answers to probes take: queues of full links count as such. */

/** Time in ms for which a measured round trip is expected to last. */
const LIFETIME_MS = 3_000;

/**
 * Longest wait in ms for queues: a dead host has to be found beside them, and
 * the node that accuses a member decides before those that heard of it.
 */
const MAX_EXPECTED_MS = 1_500;

interface RoundTrip {
  ms: number;
  atMs: number;
}

export class RoundTrips {
  private readonly byTarget = new Map<string, RoundTrip>();

  /** Records an answer; a longer way counts at once, a shorter one by half. */
  note(target: string, ms: number, nowMs: number): void {
    this.forgetOld(nowMs);
    const knownMs = this.byTarget.get(target)?.ms ?? 0;
    this.byTarget.set(target, {
      ms: Math.max(ms, (knownMs + ms) / 2),
      atMs: nowMs,
    });
  }

  /**
   * Time in ms that an answer of the target may take. The least round trip to
   * anybody is a matter of this node's own link, and counts for all.
   */
  expectedMs(target: string, nowMs: number): number {
    this.forgetOld(nowMs);
    const all = Array.from(this.byTarget.values(), ({ms}) => ms);
    const ownMs = all.length > 0 ? Math.min(...all) : 0;
    const targetMs = this.byTarget.get(target)?.ms ?? 0;
    return Math.min(MAX_EXPECTED_MS, Math.max(ownMs, targetMs));
  }

  /** What was measured before a pause of this process holds no more. */
  clear(): void {
    this.byTarget.clear();
  }

  private forgetOld(nowMs: number): void {
    for (const [target, {atMs}] of this.byTarget) {
      if (nowMs - atMs > LIFETIME_MS) this.byTarget.delete(target);
    }
  }
}
