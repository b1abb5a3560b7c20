/** Damps members and servers that come and go in quick succession. */

/** Time in ms after which a penalty counts half. */
const PENALTY_HALF_LIFE_MS = 20_000;

/** Returns of one subject within a short time from which it is damped. */
const DAMP_ABOVE = 3;

/** A damped subject is trusted again below this penalty. */
const RELEASE_BELOW = 1;

/** A penalty that grows with each return and decays with time. */
export class FlapPenalty {
  private value = 0;
  private atMs = 0;
  private damped = false;

  /** Counts one return of the subject. */
  add(nowMs: number): void {
    this.value = this.valueAt(nowMs) + 1;
    this.atMs = nowMs;
    if (this.value > DAMP_ABOVE) this.damped = true;
  }

  /** True while the subject should be used only if nothing else is left. */
  isDamped(nowMs: number): boolean {
    if (this.damped && this.valueAt(nowMs) < RELEASE_BELOW) this.damped = false;
    return this.damped;
  }

  private valueAt(nowMs: number): number {
    return this.value * 0.5 ** ((nowMs - this.atMs) / PENALTY_HALF_LIFE_MS);
  }
}
