/** Refuses calls of customers whose balance is known to be used up. */

import type {CallCounts} from './usage-record.js';

/** Used share of a balance from which a customer counts as near its limit. */
export const NEAR_LIMIT_SHARE = 0.9;

export class BalanceGate {
  private prepaid: ReadonlyMap<string, number> = new Map();
  private readonly used = new Map<string, number>();

  /** Sets the balances in calls; customers without a balance are not limited. */
  configure(prepaid: ReadonlyMap<string, number>): void {
    this.prepaid = prepaid;
  }

  /** Merges totals of usage; totals only grow, so late ones are harmless. */
  update(totals: CallCounts): void {
    for (const [customer, calls] of Object.entries(totals)) {
      const previous = this.used.get(customer) ?? 0;
      this.used.set(customer, Math.max(previous, calls));
    }
  }

  /** True unless the balance is known to be used up. */
  allows(customer: string): boolean {
    return this.usedBy(customer) < this.prepaidOf(customer);
  }

  /** True if the customer's calls should be reported at short intervals. */
  isNearLimit(customer: string): boolean {
    const limit = this.prepaidOf(customer) * NEAR_LIMIT_SHARE;
    return this.usedBy(customer) >= limit;
  }

  private usedBy(customer: string): number {
    return this.used.get(customer) ?? 0;
  }

  private prepaidOf(customer: string): number {
    return this.prepaid.get(customer) ?? Infinity;
  }
}
