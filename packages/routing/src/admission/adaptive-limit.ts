/** How many calls a backend server is given at once. */

/** Weight of a sample in the short average of latencies. */
const SHORT_WEIGHT = 0.05;
/** Weight of a sample in the long average. */
const LONG_WEIGHT = 0.02;
/** Samples of a class from which its first baseline is the mean. */
const FIRST_SAMPLES = 20;
/** Weight by which the baseline follows a lasting slow-down. */
const BASELINE_WEIGHT = 0.005;
/** Ratio of short average to baseline that counts as congestion. */
const CONGESTION_RATIO = 3;
const CONGESTION_FACTOR = 0.9;
const OVERLOAD_FACTOR = 0.8;
/** Congestion alone never takes more than this share of the slots. */
const CONGESTION_FLOOR = 0.5;
/** Use of the limit from which it may grow. */
const GROWTH_USE = 0.8;
/** Time in ms without growth after the server said it was overloaded. */
const HOLD_MS = 5_000;

/**
 * How a call ended at the server. `overloaded`: the server shed it with status
 * 429 or 503. `lost`: no answer came.
 */
export type ServerOutcome = 'answered' | 'overloaded' | 'lost' | 'cancelled';

/** The end of a call at the server. */
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
  /** Steadier than `shortMs`, to compare servers by. */
  longMs: number;
  baselineMs: number;
}

function newLatency(firstMs: number): ClassLatency {
  return {samples: 0, shortMs: firstMs, longMs: firstMs, baselineMs: firstMs};
}

/**
 * Additive increase, multiplicative decrease between 1 and the slots that the
 * server announced. The signals are the server's own refusals, which may bring
 * the limit down to 1, and rising latency, which may halve it: a server that
 * is merely slow gains nothing from fewer calls.
 */
export class AdaptiveLimit {
  private limit: number;
  private loweredAtMs = 0;
  private holdUntilMs = 0;
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

  /** Takes over a new number of slots. */
  resize(slots: number): void {
    if (slots === this.slots) return;
    this.slots = slots;
    this.limit = slots;
  }

  /** Learns from a call that has ended. */
  record(sample: ServerSample, nowMs: number): void {
    if (sample.outcome === 'overloaded') this.overloaded(sample, nowMs);
    if (sample.outcome === 'answered') this.answered(sample, nowMs);
  }

  private overloaded(sample: ServerSample, nowMs: number): void {
    this.holdUntilMs = nowMs + HOLD_MS;
    if (sample.startedAtMs < this.loweredAtMs) return;
    this.loweredAtMs = nowMs;
    const reached = Math.min(this.limit, sample.running);
    this.limit = Math.max(1, reached * OVERLOAD_FACTOR);
  }

  private answered(sample: ServerSample, nowMs: number): void {
    const latencyMs = nowMs - sample.startedAtMs;
    const latency = this.follow(sample.class, latencyMs);
    const busy = sample.running >= this.value * GROWTH_USE;
    if (!busy) return;
    if (latency.shortMs > latency.baselineMs * CONGESTION_RATIO) {
      this.congested(sample, nowMs);
    } else if (nowMs >= this.holdUntilMs) {
      this.limit = Math.min(this.slots, this.limit + 1 / this.limit);
    }
  }

  private follow(cls: string, latencyMs: number): ClassLatency {
    const known = this.latencies.get(cls);
    const latency = known ?? newLatency(latencyMs);
    if (!known) this.latencies.set(cls, latency);
    latency.samples++;
    const weightOf = (least: number) => Math.max(least, 1 / latency.samples);
    const {shortMs, longMs} = latency;
    latency.shortMs += weightOf(SHORT_WEIGHT) * (latencyMs - shortMs);
    latency.longMs += weightOf(LONG_WEIGHT) * (latencyMs - longMs);
    const above = latency.shortMs - latency.baselineMs;
    const follow = latency.samples <= FIRST_SAMPLES || above < 0;
    latency.baselineMs += follow ? above : above * BASELINE_WEIGHT;
    return latency;
  }

  private congested(sample: ServerSample, nowMs: number): void {
    if (sample.startedAtMs < this.loweredAtMs) return;
    this.loweredAtMs = nowMs;
    const floor = Math.min(this.limit, this.slots * CONGESTION_FLOOR);
    this.limit = Math.max(1, floor, this.limit * CONGESTION_FACTOR);
  }
}
