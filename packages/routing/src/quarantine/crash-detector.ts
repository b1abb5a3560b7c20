/** Distinguishes a server crash from a lost connection. */

import {MAX_REPORTED_FINGERPRINTS} from './crash-ledger.js';

/** Time in ms for which a lost call may be attributed to a crash. */
const LOSS_WINDOW_MS = 5_000;

interface Loss {
  fingerprint: string;
  atMs: number;
}

/**
 * Lost calls of one incarnation of a server. They are attributed to a crash
 * once the server is unreachable or another incarnation of it has started.
 */
export class CrashDetector {
  private losses: Loss[] = [];

  /** Records a running call that ended without an answer. */
  recordLoss(fingerprint: string, nowMs: number): void {
    this.losses.push({fingerprint, atMs: nowMs});
    if (this.losses.length > MAX_REPORTED_FINGERPRINTS) this.losses.shift();
  }

  /**
   * Returns the distinct fingerprints of the calls lost in the last
   * `LOSS_WINDOW_MS`, and removes all losses. To be called once the server is
   * unreachable or another incarnation has started. If the result is empty, a
   * crash is unlikely.
   */
  takeRecentLosses(nowMs: number): string[] {
    const recent = this.losses.filter(
      ({atMs}) => nowMs - atMs <= LOSS_WINDOW_MS,
    );
    this.losses = [];
    return [...new Set(recent.map(({fingerprint}) => fingerprint))];
  }
}
