/** Servers that have recently refused calls. */

/**
 * Time in ms for which a refusal also applies to calls of the same or a less
 * urgent rank that have no more time than the refused one. A server refuses
 * only while its queued work takes longer than this, so no slot is idle
 * meanwhile.
 */
const REFUSAL_VALID_MS = 80;

/** Offer of a call to a server, as far as a refusal depends on it. */
export interface CallOffer {
  /** Identifies the server. */
  server: string;
  /** 0 is the most urgent. */
  rank: number;
  /** True if an answer after the target is accepted. */
  acceptsLate: boolean;
  /** Time in ms within which the call needs its answer. */
  slackMs: number;
}

interface Refusal {
  rank: number;
  slackMs: number;
  untilMs: number;
}

/**
 * In an overload of several seconds, every request would be offered to every
 * server in turn, and the offers alone would starve the nodes. A node therefore
 * makes a full server no similar offer until the refusal has expired.
 */
export class RecentRefusals {
  private readonly onTime = new Map<string, Refusal>();
  private readonly late = new Map<string, Refusal>();

  /** Records that a server had no slot in time. */
  record(offer: CallOffer, nowMs: number): void {
    // A covered offer adds nothing and must not narrow the known refusal.
    if (this.covers(offer, nowMs)) return;
    const {server, rank, acceptsLate, slackMs} = offer;
    const refusal = {rank, slackMs, untilMs: nowMs + REFUSAL_VALID_MS};
    // Calls on time precede late ones: a refusal applies to its kind only.
    (acceptsLate ? this.late : this.onTime).set(server, refusal);
  }

  /** Forgets the refusals of a server that has accepted a call. */
  clear(server: string): void {
    this.onTime.delete(server);
    this.late.delete(server);
  }

  /** True if the server would refuse the same offer now. */
  covers(offer: CallOffer, nowMs: number): boolean {
    const {server, rank, acceptsLate, slackMs} = offer;
    const refusal = (acceptsLate ? this.late : this.onTime).get(server);
    if (!refusal || nowMs >= refusal.untilMs) return false;
    return rank >= refusal.rank && slackMs <= refusal.slackMs;
  }
}
