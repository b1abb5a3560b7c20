/** Servers that have refused calls a moment ago. */

/**
 * Time in ms for which a refusal speaks for calls of the same rank or a less
 * urgent one that have no more time. A server refuses only with work queued for
 * longer than this, so that no slot runs empty meanwhile.
 */
const REFUSAL_HOLDS_MS = 80;

/** What a call asked for when it was refused. */
export interface RefusedOffer {
  /** Identifies the server. */
  server: string;
  /** 0 is the most urgent. */
  rank: number;
  /** True if an answer after the target would have been taken. */
  acceptsLate: boolean;
  /** Time in ms within which the call wanted its answer. */
  slackMs: number;
}

interface Refusal {
  rank: number;
  slackMs: number;
  untilMs: number;
}

/**
 * Load pattern: an overload of seconds, in which every request would ask every
 * server in turn; the asking alone would starve the nodes. Each node asks a
 * full server again only after a while.
 */
export class RecentRefusals {
  private readonly onTime = new Map<string, Refusal>();
  private readonly late = new Map<string, Refusal>();

  /** A server had no slot in time. */
  record(offer: RefusedOffer, nowMs: number): void {
    // What is covered already adds nothing and must not narrow what is known.
    if (this.covers(offer, nowMs)) return;
    const {server, rank, acceptsLate, slackMs} = offer;
    const refusal = {rank, slackMs, untilMs: nowMs + REFUSAL_HOLDS_MS};
    // Calls on time go before late ones: each kind speaks for itself.
    (acceptsLate ? this.late : this.onTime).set(server, refusal);
  }

  /** A server has taken a call. */
  clear(server: string): void {
    this.onTime.delete(server);
    this.late.delete(server);
  }

  /** True if the server would refuse the same offer now. */
  covers(offer: RefusedOffer, nowMs: number): boolean {
    const {server, rank, acceptsLate, slackMs} = offer;
    const known = (acceptsLate ? this.late : this.onTime).get(server);
    if (!known || nowMs >= known.untilMs) return false;
    return rank >= known.rank && slackMs <= known.slackMs;
  }
}
