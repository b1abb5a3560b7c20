/** Adaptive limit on the calls that a backend server runs at once. */

/** Weight of a sample in the short-term average of latencies. */
const SHORT_TERM_WEIGHT = 0.05;
/** Weight of a sample in the long-term average. */
const LONG_TERM_WEIGHT = 0.02;
/** Number of first samples of a class whose mean is its baseline. */
const BASELINE_SAMPLES = 20;
/** Weight by which the baseline rises during a lasting slow-down. */
const BASELINE_WEIGHT = 0.005;
/** Ratio of short-term average to baseline that indicates congestion. */
const CONGESTION_RATIO = 3;
const CONGESTION_DECREASE_FACTOR = 0.9;
const OVERLOAD_DECREASE_FACTOR = 0.8;
/** Share of the slots below which congestion alone never lowers the limit. */
const CONGESTION_FLOOR = 0.5;
/** Utilization of the limit from which latencies may change it. */
const MIN_UTILIZATION = 0.8;
/** Time in ms without growth after the server reported an overload. */
const GROWTH_PAUSE_MS = 5_000;

/**
 * How a call ended at the server. `overloaded`: the server refused it with
 * status 429 or 503. `lost`: no answer came.
 */
export type ServerOutcome = 'answered' | 'overloaded' | 'lost' | 'cancelled';

/** A call that has ended at the server. */
export interface ServerSample {
  class: string;
  outcome: ServerOutcome;
  startedAtMs: number;
  /** Calls at the server when it ended, itself included. */
  running: number;
}

interface ClassLatency {
  samples: number;
  shortMs: number;
  /** Steadier than `shortMs`; used to compare servers. */
  longMs: number;
  baselineMs: number;
}

function newLatency(firstMs: number): ClassLatency {
  return {samples: 0, shortMs: firstMs, longMs: firstMs, baselineMs: firstMs};
}

/**
 * Additive increase, multiplicative decrease (AIMD) between 1 and the slots
 * that the server announced. The server's own refusals may lower the limit to
 * 1, rising latency only to half the slots: a server that is merely slow gains
 * nothing from fewer calls.
 */
export class AdaptiveLimit {
  private limit: number;
  private loweredAtMs = 0;
  private growthPausedUntilMs = 0;
  private readonly latencies = new Map<string, ClassLatency>();

  constructor(private slots: number) {
    this.limit = slots;
  }

  /** Calls that may run at once; a whole number of at least 1. */
  get value(): number {
    return Math.max(1, Math.floor(this.limit));
  }

  /** Expected time in ms of a call of the class; undefined before the first. */
  serviceMs(cls: string): number | undefined {
    return this.latencies.get(cls)?.longMs;
  }

  /** Sets the number of slots; a change resets the limit to it. */
  resize(slots: number): void {
    if (slots === this.slots) return;
    this.slots = slots;
    this.limit = slots;
  }

  /** Updates the limit and the latencies with a call that has ended. */
  record(sample: ServerSample, nowMs: number): void {
    if (sample.outcome === 'overloaded') this.onOverloaded(sample, nowMs);
    if (sample.outcome === 'answered') this.onAnswered(sample, nowMs);
  }

  private onOverloaded(sample: ServerSample, nowMs: number): void {
    this.growthPausedUntilMs = nowMs + GROWTH_PAUSE_MS;
    if (sample.startedAtMs < this.loweredAtMs) return;
    this.loweredAtMs = nowMs;
    const concurrency = Math.min(this.limit, sample.running);
    this.limit = Math.max(1, concurrency * OVERLOAD_DECREASE_FACTOR);
  }

  private onAnswered(sample: ServerSample, nowMs: number): void {
    const latencyMs = nowMs - sample.startedAtMs;
    const latency = this.updateLatency(sample.class, latencyMs);
    const isBusy = sample.running >= this.value * MIN_UTILIZATION;
    if (!isBusy) return;
    if (latency.shortMs > latency.baselineMs * CONGESTION_RATIO) {
      this.onCongested(sample, nowMs);
    } else if (nowMs >= this.growthPausedUntilMs) {
      this.limit = Math.min(this.slots, this.limit + 1 / this.limit);
    }
  }

  private updateLatency(cls: string, latencyMs: number): ClassLatency {
    const existing = this.latencies.get(cls);
    const latency = existing ?? newLatency(latencyMs);
    if (!existing) this.latencies.set(cls, latency);
    latency.samples++;
    const weightOf = (minWeight: number) =>
      Math.max(minWeight, 1 / latency.samples);
    const {shortMs, longMs} = latency;
    latency.shortMs += weightOf(SHORT_TERM_WEIGHT) * (latencyMs - shortMs);
    latency.longMs += weightOf(LONG_TERM_WEIGHT) * (latencyMs - longMs);
    const differenceMs = latency.shortMs - latency.baselineMs;
    const adopt = latency.samples <= BASELINE_SAMPLES || differenceMs < 0;
    latency.baselineMs += adopt ? differenceMs : differenceMs * BASELINE_WEIGHT;
    return latency;
  }

  private onCongested(sample: ServerSample, nowMs: number): void {
    if (sample.startedAtMs < this.loweredAtMs) return;
    this.loweredAtMs = nowMs;
    const floor = Math.min(this.limit, this.slots * CONGESTION_FLOOR);
    this.limit = Math.max(1, floor, this.limit * CONGESTION_DECREASE_FACTOR);
  }
}
