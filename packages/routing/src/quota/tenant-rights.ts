/** Rights and demand of one tenant at one host. */

import type {QuotaTerms, QuotaTime} from './quota-terms.js';

/** Rights of one grant. A request that has not run gives its right back here. */
export interface RightLot {
  count: number;
  /** Time in ms by `progressMs` at which the rights end. */
  endsMs: number;
}

/** How the wait for a right ends; `no-reply`: no owner answered. */
export type QuotaOutcome =
  | {kind: 'granted'; lot: RightLot}
  | {kind: 'refused'; reason: 'cap' | 'no-reply'; retryAfterMs: number};

/** A request that waits for a right. */
export interface QuotaWaiter {
  /** Times in ms by the steady clock. */
  sinceMs: number;
  deadlineMs: number;
  settle(outcome: QuotaOutcome): void;
}

/** Weight of the newest interval in the rate of arrivals. */
const RATE_WEIGHT = 0.4;
/** Arrivals per ms below which a tenant counts as idle. */
const IDLE_RATE = 0.0003;
/** Arrivals per ms from which rights are asked for ahead. */
const AHEAD_RATE = 0.002;
/** Time in ms of arrivals that are asked for: an interval and a reply. */
const AHEAD_MS = 180;
/** Rights that end within this time in ms do not count as in hand. */
const SOON_MS = 60;

export class TenantRights {
  private lots: RightLot[] = [];
  private waiters: QuotaWaiter[] = [];
  private arrivals = 0;
  private rate = 0;
  private measuredMs: number;

  constructor(
    private readonly terms: QuotaTerms,
    {steadyMs}: QuotaTime,
  ) {
    this.measuredMs = steadyMs;
  }

  get waiting(): number {
    return this.waiters.length;
  }

  /** Earliest deadline in ms of a waiting request; Infinity without one. */
  get deadlineMs(): number {
    return this.waiters[0]?.deadlineMs ?? Infinity;
  }

  /** True if nothing has arrived for some seconds and nothing waits. */
  get isIdle(): boolean {
    const {rate, arrivals, waiters} = this;
    return rate < IDLE_RATE && arrivals === 0 && waiters.length === 0;
  }

  /** Counts an arrival and returns the right for it; undefined if none. */
  take(time: QuotaTime): RightLot | undefined {
    this.arrivals++;
    if (this.waiters.length > 0) return undefined;
    return this.takeRight(time);
  }

  wait(waiter: QuotaWaiter): void {
    this.waiters.push(waiter);
  }

  /** Adds rights, which go to the requests that wait. */
  add(lot: RightLot, time: QuotaTime): void {
    this.lots.push(lot);
    for (;;) {
      const waiter = this.waiters[0];
      const right = waiter && this.takeRight(time);
      if (!right) return;
      this.waiters.shift();
      waiter.settle({kind: 'granted', lot: right});
    }
  }

  /**
   * Refuses requests that began to wait by `askedMs` and that do not wait long
   * enough for a right in `retryAfterMs`.
   */
  refuse(retryAfterMs: number, askedMs: number, time: QuotaTime): void {
    const freeAtMs = time.steadyMs + retryAfterMs;
    this.waiters = this.waiters.filter(waiter => {
      if (waiter.sinceMs > askedMs || waiter.deadlineMs > freeAtMs) return true;
      waiter.settle({kind: 'refused', reason: 'cap', retryAfterMs});
      return false;
    });
  }

  /** Removes and returns the requests whose wait has ended. */
  takeOverdue({steadyMs}: QuotaTime): QuotaWaiter[] {
    const overdue = this.waiters.filter(w => w.deadlineMs <= steadyMs);
    this.waiters = this.waiters.filter(w => w.deadlineMs > steadyMs);
    return overdue;
  }

  /** Ends an interval of the rate, and returns the rights to ask ahead for. */
  measureAhead({steadyMs, progressMs}: QuotaTime): number {
    const elapsedMs = Math.max(1, steadyMs - this.measuredMs);
    const newest = this.arrivals / elapsedMs;
    this.rate += (newest - this.rate) * RATE_WEIGHT;
    this.arrivals = 0;
    this.measuredMs = steadyMs;
    if (this.rate < AHEAD_RATE) return 0;
    const aheadMs = Math.min(AHEAD_MS, this.terms.leaseMs);
    const inHand = this.lots
      .filter(({endsMs}) => endsMs > progressMs + SOON_MS)
      .reduce((sum, {count}) => sum + count, 0);
    return Math.max(0, Math.ceil(this.rate * aheadMs) - inHand);
  }

  private takeRight({progressMs}: QuotaTime): RightLot | undefined {
    while (this.lots[0]) {
      const [lot] = this.lots;
      if (lot.endsMs > progressMs && lot.count > 0) {
        lot.count--;
        return lot;
      }
      this.lots.shift();
    }
    return undefined;
  }
}

/** Gives a right back if its lease has not ended. */
export function returnRight(lot: RightLot, {progressMs}: QuotaTime): void {
  if (progressMs < lot.endsMs) lot.count++;
}
