/**
 * How far a node trusts its own observations. A node that is slow, paused or
 * cut off sees everybody else fail; it then has to wait longer before it
 * accuses others.
 */

/** Highest score; time-outs grow up to one more than this many times. */
const MAX_SCORE = 7;

/** A tick later than this, in ms, is taken for a pause of this process. */
const PAUSE_THRESHOLD_MS = 400;

/** A node that has heard nobody for this time in ms may itself be cut off. */
const SILENCE_MS = 1_000;

/** Loss of trust by a failed probe during which nobody was heard. */
const SILENCE_WEIGHT = 2;

export class LocalHealth {
  private score = 0;
  private lastTickMs: number | undefined;
  private lastHeardMs = 0;
  private lastSilenceMs = 0;

  /** Factor by which time-outs grow; 1 when all is well. */
  get factor(): number {
    return this.score + 1;
  }

  /** True once trust has fallen as far as it can. */
  get exhausted(): boolean {
    return this.score >= MAX_SCORE;
  }

  /**
   * Records a tick and returns by how many ms this process was paused; 0 when
   * it was not.
   */
  tick(nowMs: number): number {
    const sinceMs = nowMs - (this.lastTickMs ?? nowMs);
    this.lastTickMs = nowMs;
    if (sinceMs <= PAUSE_THRESHOLD_MS) return 0;
    this.raise(2);
    return sinceMs;
  }

  /** Records a message from any member. */
  heard(nowMs: number): void {
    this.lastHeardMs = nowMs;
  }

  heardSince(timeMs: number): boolean {
    return this.lastHeardMs >= timeMs;
  }

  /** True while nobody is heard, unless that has lasted too long. */
  isCutOff(nowMs: number): boolean {
    return !this.exhausted && nowMs - this.lastHeardMs > SILENCE_MS;
  }

  /** A probe was answered in time. */
  succeeded(): void {
    this.score = Math.max(0, this.score - 1);
  }

  /**
   * A probe that began at `startedAtMs` failed and nobody was heard meanwhile.
   * Probes that ran side by side count once.
   */
  failedInSilence(startedAtMs: number, nowMs: number): void {
    if (startedAtMs < this.lastSilenceMs) return;
    this.lastSilenceMs = nowMs;
    this.raise(SILENCE_WEIGHT);
  }

  /** A probe failed in a way that may be this node's own fault. */
  raise(by = 1): void {
    this.score = Math.min(MAX_SCORE, this.score + by);
  }
}
