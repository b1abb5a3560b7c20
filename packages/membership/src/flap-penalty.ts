/** Flap damping of members and servers that leave and return repeatedly. */

/** Time in ms after which a penalty has decayed to half. */
const HALF_LIFE_MS = 20_000;

/** Penalty above which a member or server is damped; each return adds 1. */
const DAMPING_LEVEL = 3;

/** Penalty below which the damping ends. */
const RELEASE_LEVEL = 1;

/** A penalty that grows with each return and decays with time. */
export class FlapPenalty {
  private value = 0;
  private updatedAtMs = 0;
  private damped = false;

  /** Adds the penalty of one return. */
  add(nowMs: number): void {
    this.value = this.valueAt(nowMs) + 1;
    this.updatedAtMs = nowMs;
    if (this.value > DAMPING_LEVEL) this.damped = true;
  }

  /** True while the member or server should be used only as a last resort. */
  isDamped(nowMs: number): boolean {
    if (this.damped && this.valueAt(nowMs) < RELEASE_LEVEL) this.damped = false;
    return this.damped;
  }

  private valueAt(nowMs: number): number {
    return this.value * 0.5 ** ((nowMs - this.updatedAtMs) / HALF_LIFE_MS);
  }
}
