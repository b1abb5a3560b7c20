/** Suspected members and the deadlines by which they have to refute. */

/** Time in ms in which a member has to refute a suspicion by this node. */
const SUSPICION_TIMEOUT_MS = 800;

/**
 * Time in ms after which a node that received a suspicion by gossip declares
 * the member dead itself, as the node that raised the suspicion may have
 * failed.
 */
const GOSSIPED_SUSPICION_TIMEOUT_MS = 2_500;

/**
 * Time in ms after which a node that received a suspicion by gossip probes the
 * member itself: it may have missed the refutation. The node that raised the
 * suspicion has declared the member dead by then, if it was right.
 */
const VERIFICATION_DELAY_MS = 1_500;

/** Time in ms by which deadlines are postponed while this node is isolated. */
const POSTPONE_STEP_MS = 500;

interface Suspicion {
  incarnation: number;
  deadlineMs: number;
  /** Time in ms at which this node probes the member itself. */
  verifyAtMs: number;
  source: SuspicionSource;
}

export type SuspicionSource = 'own-probe' | 'gossip';

/** A suspicion that was not refuted in time. */
export interface ExpiredSuspicion {
  id: string;
  incarnation: number;
  source: SuspicionSource;
}

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
    const verifyAtMs =
      source === 'gossip' ? nowMs + VERIFICATION_DELAY_MS : Infinity;
    this.byId.set(id, {incarnation, deadlineMs, verifyAtMs, source});
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

  /** Returns the members that this node has to probe itself, once each. */
  takeVerificationsDue(nowMs: number): string[] {
    const due: string[] = [];
    for (const [id, suspicion] of this.byId) {
      if (suspicion.verifyAtMs > nowMs) continue;
      suspicion.verifyAtMs = Infinity;
      due.push(id);
    }
    return due;
  }

  /** Removes and returns the suspicions that were not refuted in time. */
  takeExpired(nowMs: number): ExpiredSuspicion[] {
    const expired: ExpiredSuspicion[] = [];
    for (const [id, {incarnation, deadlineMs, source}] of this.byId) {
      if (deadlineMs > nowMs) continue;
      this.byId.delete(id);
      expired.push({id, incarnation, source});
    }
    return expired;
  }
}
