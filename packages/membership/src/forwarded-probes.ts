/** Probes sent on behalf of other nodes, whose acks are forwarded to them. */

import type {Endpoint} from './membership-types.js';

/** Time in ms for which the ack of a forwarded probe is still forwarded. */
const FORWARD_LIFETIME_MS = 2_000;

/** A probe of `target`, with the requester and its sequence number. */
export interface ForwardedProbe {
  requester: Endpoint;
  requesterSeq: number;
  target: string;
  expiresAtMs: number;
}

export class ForwardedProbes {
  private readonly bySeq = new Map<number, ForwardedProbe>();

  add(
    seq: number,
    requester: Endpoint,
    requesterSeq: number,
    target: string,
    nowMs: number,
  ): void {
    const expiresAtMs = nowMs + FORWARD_LIFETIME_MS;
    this.bySeq.set(seq, {requester, requesterSeq, target, expiresAtMs});
  }

  /** Removes and returns the probe with this sequence number and target. */
  remove(seq: number, target: string): ForwardedProbe | undefined {
    const probe = this.bySeq.get(seq);
    if (probe?.target !== target) return undefined;
    this.bySeq.delete(seq);
    return probe;
  }

  expire(nowMs: number): void {
    for (const [seq, probe] of this.bySeq) {
      if (nowMs >= probe.expiresAtMs) this.bySeq.delete(seq);
    }
  }
}
