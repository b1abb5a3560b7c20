/** Suspected members and the deadlines at which they count as dead. */

/** Time in ms that a suspected member has to refute. */
const SUSPICION_TIMEOUT_MS = 800;

/**
 * Time in ms after which a node that only heard of a suspicion gives up on the
 * accuser and condemns the member itself.
 */
const HEARSAY_TIMEOUT_MS = 2_500;

/** Time in ms by which deadlines are put off while this node is cut off. */
const HOLD_STEP_MS = 500;

interface Suspicion {
  incarnation: number;
  deadlineMs: number;
  source: SuspicionSource;
}

export type SuspicionSource = 'own-probe' | 'hearsay';

export class Suspicions {
  private readonly byId = new Map<string, Suspicion>();

  get size(): number {
    return this.byId.size;
  }

  /** True for a member that a probe of this node's own has failed to reach. */
  isOwnFinding(id: string): boolean {
    return this.byId.get(id)?.source === 'own-probe';
  }

  /** Starts a suspicion; an earlier deadline of the same incarnation stays. */
  start(
    id: string,
    incarnation: number,
    source: SuspicionSource,
    factor: number,
    nowMs: number,
  ): void {
    const timeoutMs =
      source === 'own-probe' ? SUSPICION_TIMEOUT_MS : HEARSAY_TIMEOUT_MS;
    const deadlineMs = nowMs + timeoutMs * factor;
    const known = this.byId.get(id);
    const same = known?.incarnation === incarnation;
    if (known && same && known.deadlineMs <= deadlineMs) return;
    this.byId.set(id, {incarnation, deadlineMs, source});
  }

  /** Leaves a member that has shown life all of the time to refute again. */
  renew(id: string, factor: number, fromMs: number): void {
    const known = this.byId.get(id);
    if (!known) return;
    const deadlineMs = fromMs + SUSPICION_TIMEOUT_MS * factor;
    known.deadlineMs = Math.max(known.deadlineMs, deadlineMs);
  }

  clear(id: string): void {
    this.byId.delete(id);
  }

  /** Puts all deadlines off by `ms`, as after a pause of this process. */
  postpone(ms: number): void {
    for (const suspicion of this.byId.values()) suspicion.deadlineMs += ms;
  }

  /** Puts off what is due: this node may be the one that is cut off. */
  hold(nowMs: number): void {
    for (const suspicion of this.byId.values()) {
      if (suspicion.deadlineMs > nowMs) continue;
      suspicion.deadlineMs = nowMs + HOLD_STEP_MS;
    }
  }

  /** Removes and returns the suspicions that were not refuted in time. */
  takeDue(nowMs: number): {id: string; incarnation: number}[] {
    const due: {id: string; incarnation: number}[] = [];
    for (const [id, {incarnation, deadlineMs}] of this.byId) {
      if (deadlineMs > nowMs) continue;
      this.byId.delete(id);
      due.push({id, incarnation});
    }
    return due;
  }
}
