/** Suspected members and the deadlines by which they have to refute. */

/** Time in ms in which a member has to refute a suspicion by this node. */
const SUSPICION_TIMEOUT_MS = 800;

/**
 * Time in ms after which a node that received a suspicion by gossip declares
 * the member dead itself, as the node that raised the suspicion may have
 * failed.
 */
const GOSSIPED_SUSPICION_TIMEOUT_MS = 2_500;

/** Time in ms by which deadlines are postponed while this node is isolated. */
const POSTPONE_STEP_MS = 500;

interface Suspicion {
  incarnation: number;
  deadlineMs: number;
  source: SuspicionSource;
}

export type SuspicionSource = 'own-probe' | 'gossip';

export class Suspicions {
  private readonly byId = new Map<string, Suspicion>();

  get size(): number {
    return this.byId.size;
  }

  /** True if the suspicion was raised by this node, after a failed probe. */
  isFromOwnProbe(id: string): boolean {
    return this.byId.get(id)?.source === 'own-probe';
  }

  /** Starts a suspicion; keeps an earlier deadline of the same incarnation. */
  start(
    id: string,
    incarnation: number,
    source: SuspicionSource,
    timeoutFactor: number,
    nowMs: number,
  ): void {
    const timeoutMs =
      source === 'own-probe'
        ? SUSPICION_TIMEOUT_MS
        : GOSSIPED_SUSPICION_TIMEOUT_MS;
    const deadlineMs = nowMs + timeoutMs * timeoutFactor;
    const existing = this.byId.get(id);
    const isSame = existing?.incarnation === incarnation;
    if (existing && isSame && existing.deadlineMs <= deadlineMs) return;
    this.byId.set(id, {incarnation, deadlineMs, source});
  }

  /**
   * Extends the deadline of a member that has shown life: the whole timeout
   * starts again at `fromMs`.
   */
  extend(id: string, timeoutFactor: number, fromMs: number): void {
    const existing = this.byId.get(id);
    if (!existing) return;
    const deadlineMs = fromMs + SUSPICION_TIMEOUT_MS * timeoutFactor;
    existing.deadlineMs = Math.max(existing.deadlineMs, deadlineMs);
  }

  clear(id: string): void {
    this.byId.delete(id);
  }

  /** Postpones all deadlines by `ms`, for use after a pause of this process. */
  postpone(ms: number): void {
    for (const suspicion of this.byId.values()) suspicion.deadlineMs += ms;
  }

  /** Postpones expired deadlines, for use while this node may be isolated. */
  postponeDue(nowMs: number): void {
    for (const suspicion of this.byId.values()) {
      if (suspicion.deadlineMs > nowMs) continue;
      suspicion.deadlineMs = nowMs + POSTPONE_STEP_MS;
    }
  }

  /** Removes and returns the suspicions that were not refuted in time. */
  takeExpired(nowMs: number): {id: string; incarnation: number}[] {
    const expired: {id: string; incarnation: number}[] = [];
    for (const [id, {incarnation, deadlineMs}] of this.byId) {
      if (deadlineMs > nowMs) continue;
      this.byId.delete(id);
      expired.push({id, incarnation});
    }
    return expired;
  }
}
