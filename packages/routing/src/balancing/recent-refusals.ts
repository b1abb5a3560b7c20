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
  /** Tenant of the call; undefined without one. */
  tenant?: string | undefined;
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

/** Tenants of a server for which refusals are kept; the oldest goes first. */
const MAX_TENANTS_PER_SERVER = 128;

/** Refusals of one server by tenant; '' stands for calls without one. */
type ServerRefusals = Map<string, Refusal>;

/**
 * In an overload of several seconds, every request would be offered to every
 * server in turn, and the offers alone would starve the nodes. A node therefore
 * makes a full server no similar offer until the refusal has expired. A server
 * refuses calls of a tenant above its share and accepts those of others, so that
 * a refusal applies to the tenant's calls only.
 */
export class RecentRefusals {
  private readonly onTime = new Map<string, ServerRefusals>();
  private readonly late = new Map<string, ServerRefusals>();

  /** Records that a server had no slot in time. */
  record(offer: CallOffer, nowMs: number): void {
    // A covered offer adds nothing and must not narrow the known refusal.
    if (this.covers(offer, nowMs)) return;
    const {server, tenant = '', rank, slackMs} = offer;
    const byServer = this.refusalsOf(offer);
    const refusals: ServerRefusals = byServer.get(server) ?? new Map();
    byServer.set(server, refusals);
    // Set anew, as the oldest refusal is the first one in the map.
    refusals.delete(tenant);
    refusals.set(tenant, {rank, slackMs, untilMs: nowMs + REFUSAL_VALID_MS});
    for (const oldest of refusals.keys()) {
      if (refusals.size <= MAX_TENANTS_PER_SERVER) break;
      refusals.delete(oldest);
    }
  }

  /**
   * Forgets the refusals of a server that has accepted a call. A server with
   * room for one tenant's call may still refuse those of another.
   */
  clear(server: string, tenant = ''): void {
    this.onTime.get(server)?.delete(tenant);
    this.late.get(server)?.delete(tenant);
  }

  /** True if the server would refuse the same offer now. */
  covers(offer: CallOffer, nowMs: number): boolean {
    const {server, tenant = '', rank, slackMs} = offer;
    const refusal = this.refusalsOf(offer).get(server)?.get(tenant);
    if (!refusal || nowMs >= refusal.untilMs) return false;
    return rank >= refusal.rank && slackMs <= refusal.slackMs;
  }

  /**
   * Within a rank, calls on time are queued ahead of late ones: a refusal applies
   * to its kind only.
   */
  private refusalsOf({acceptsLate}: CallOffer): Map<string, ServerRefusals> {
    return acceptsLate ? this.late : this.onTime;
  }
}
