/**
 * Fair shares of a server's slots among tenants. Load pattern: one tenant sends
 * several times its usual load to servers that are full, and the others' calls
 * wait behind its calls. Start-time fair queueing by slot time: each call has a
 * start tag, the slot time that its tenant has used; the call with the smallest
 * tag goes first. A call is charged its expected time when it starts, which is
 * corrected when it ends.
 */

/** Time in ms after which a tenant without a start is forgotten. */
const FORGET_MS = 10_000;
/** Least number of tenants of a rank before any are looked for to forget. */
const MIN_SWEEP_SIZE = 16;

/** A call as far as shares depend on it. */
export interface SharedCall {
  rank: number;
  /** True if the call goes behind all calls of its rank that are on time. */
  acceptsLate: boolean;
  /** Undefined for calls that count towards no share. */
  tenant?: string | undefined;
}

/** What a call's charge depends on. */
type Claim = Pick<SharedCall, 'rank' | 'tenant'>;

interface Account {
  /** Slot time in ms up to which the tenant is charged, in virtual time. */
  chargedMs: number;
  /** Time in ms of the last start. */
  startedMs: number;
}

/** Accounts of the tenants that compete within one rank. */
interface RankShares {
  /** Start tag of the last call that started; never decreases. */
  virtualMs: number;
  accounts: Map<string, Account>;
  /** Number of accounts at which some may be forgotten. */
  sweepSize: number;
}

/** A waiting call with its start tag, in ms ahead of the shares in use. */
export interface TaggedCall<T> {
  entry: T;
  excessMs: number;
}

export class TenantShares {
  private readonly ranks = new Map<number, RankShares>();

  /** Charges the expected time in ms of a call that starts. */
  started({rank, tenant}: Claim, expectedMs: number, nowMs: number): void {
    if (tenant === undefined) {
      this.advance(rank, expectedMs);
      return;
    }
    const shares = this.sharesOf(rank);
    const chargedMs = shares.accounts.get(tenant)?.chargedMs ?? 0;
    const startTagMs = Math.max(shares.virtualMs, chargedMs);
    const account = {chargedMs: startTagMs + expectedMs, startedMs: nowMs};
    shares.accounts.set(tenant, account);
    shares.virtualMs = startTagMs;
    forget(shares, nowMs);
  }

  /** Corrects the charge of a call that has ended by `excessMs`. */
  finished({rank, tenant}: Claim, excessMs: number): void {
    if (tenant === undefined) return;
    const account = this.ranks.get(rank)?.accounts.get(tenant);
    if (account) account.chargedMs += excessMs;
  }

  /**
   * Returns waiting calls in the order in which they get slots, given those in
   * the order by rank, then on time before late, then by target. Within a rank,
   * calls with equal tags and those of one tenant keep their order.
   */
  order<T extends {call: SharedCall}>(
    waiting: readonly T[],
    expectedMs: (entry: T) => number,
  ): TaggedCall<T>[] {
    const tags = new Map<string, number>();
    let group: TaggedCall<T>[] = [];
    const ordered: TaggedCall<T>[] = [];
    let previous: SharedCall | undefined;
    for (const entry of waiting) {
      const {call} = entry;
      if (!previous || !isSameGroup(call, previous)) {
        ordered.push(...group.sort(byExcess));
        group = [];
      }
      if (previous && call.rank !== previous.rank) tags.clear();
      previous = call;
      const {rank, tenant} = call;
      if (tenant === undefined) {
        group.push({entry, excessMs: 0});
        continue;
      }
      const excessMs = tags.get(tenant) ?? this.excessMs(rank, tenant);
      tags.set(tenant, excessMs + expectedMs(entry));
      group.push({entry, excessMs});
    }
    ordered.push(...group.sort(byExcess));
    return ordered;
  }

  /** Slot time in ms that a tenant without a waiting call has used ahead. */
  excessMs(rank: number, tenant: string): number {
    const shares = this.ranks.get(rank);
    const chargedMs = shares?.accounts.get(tenant)?.chargedMs ?? 0;
    return Math.max(0, chargedMs - (shares?.virtualMs ?? 0));
  }

  /** Number of accounts kept, for bounds on memory. */
  get size(): number {
    let sum = 0;
    for (const {accounts} of this.ranks.values()) sum += accounts.size;
    return sum;
  }

  /**
   * Lets the tenants of a rank catch up while calls without a tenant run. These
   * go before all tenants that have used their share, so without this, a steady
   * flow of them would starve all tenants that have started a call.
   */
  private advance(rank: number, expectedMs: number): void {
    const shares = this.ranks.get(rank);
    if (!shares) return;
    const {accounts} = shares;
    shares.virtualMs += expectedMs / Math.max(1, accounts.size);
  }

  private sharesOf(rank: number): RankShares {
    let shares = this.ranks.get(rank);
    if (!shares) {
      const accounts = new Map<string, Account>();
      shares = {virtualMs: 0, accounts, sweepSize: MIN_SWEEP_SIZE};
      this.ranks.set(rank, shares);
    }
    return shares;
  }
}

function isSameGroup(a: SharedCall, b: SharedCall): boolean {
  return a.rank === b.rank && a.acceptsLate === b.acceptsLate;
}

function byExcess(a: {excessMs: number}, b: {excessMs: number}): number {
  return a.excessMs - b.excessMs;
}

/**
 * Removes the tenants that have no charge above the others, or no recent start.
 * Checked only once their number has doubled, so that a start costs O(1).
 */
function forget(shares: RankShares, nowMs: number): void {
  const {accounts, virtualMs} = shares;
  if (accounts.size < shares.sweepSize) return;
  for (const [tenant, {chargedMs, startedMs}] of accounts) {
    const isOld = nowMs - startedMs > FORGET_MS;
    if (isOld || chargedMs <= virtualMs) accounts.delete(tenant);
  }
  shares.sweepSize = Math.max(MIN_SWEEP_SIZE, 2 * accounts.size);
}
