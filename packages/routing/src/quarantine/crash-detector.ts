/** Tells a crash of a server from a lost connection. */

import {MAX_REPORTED_FINGERPRINTS} from './crash-ledger.js';

/** Time in ms for which a lost call may belong to a crash. */
const LOSS_WINDOW_MS = 5_000;

interface Loss {
  fingerprint: string;
  atMs: number;
}

/**
 * Losses of one incarnation of a server. Calls that broke off are laid to a
 * crash once the server cannot be reached or another incarnation is there.
 */
export class CrashDetector {
  private losses: Loss[] = [];

  /** A call that ran broke off without an answer. */
  recordLoss(fingerprint: string, nowMs: number): void {
    this.losses.push({fingerprint, atMs: nowMs});
    if (this.losses.length > MAX_REPORTED_FINGERPRINTS) this.losses.shift();
  }

  /**
   * The server is unreachable or gone. Returns the fingerprints of the calls
   * that were running, none if it does not look like a crash; each is
   * returned once.
   */
  takeRecentLosses(nowMs: number): string[] {
    const recent = this.losses.filter(
      ({atMs}) => nowMs - atMs <= LOSS_WINDOW_MS,
    );
    this.losses = [];
    return [...new Set(recent.map(({fingerprint}) => fingerprint))];
  }
}
