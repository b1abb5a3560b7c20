/** Probes that this node makes for others, and to whom the answers go. */

import type {Endpoint} from './membership-types.js';

/** Time in ms for which the answer to a forwarded probe is passed on. */
const FORWARD_LIFETIME_MS = 2_000;

/** A requester and its own sequence number. */
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

  /** Removes and returns the probe that `seq` answers. */
  take(seq: number, target: string): ForwardedProbe | undefined {
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
