/** What an entry node has learned about one server from its own calls. */

import type {ServerLoad} from '@turmericmill/wire';

import type {CallResult, Candidate} from './balancer.js';

/** Weight of a new sample in the moving averages. */
const SAMPLE_WEIGHT = 0.2;
/** Time in ms after which a rate without new samples has lost two thirds. */
const RATE_DECAY_MS = 10_000;
/** As `RATE_DECAY_MS`, for the load that a server's node reported. */
const LOAD_DECAY_MS = 1_000;
/** As `RATE_DECAY_MS`, for the time that a server takes. */
const SERVICE_DECAY_MS = 20_000;
/** Failures in a row, or share of failures, that eject a server. */
const EJECT_AFTER_FAILURES = 3;
const EJECT_FAILURE_RATE = 0.5;
const FIRST_EJECTION_MS = 2_000;
const MAX_EJECTION_MS = 60_000;

/** A moving average that fades while no samples arrive. */
class FadingRate {
  private value = 0;
  private atMs = 0;

  at(nowMs: number): number {
    return this.value * Math.exp((this.atMs - nowMs) / RATE_DECAY_MS);
  }

  add(sample: number, nowMs: number): void {
    const current = this.at(nowMs);
    this.value = current + SAMPLE_WEIGHT * (sample - current);
    this.atMs = nowMs;
  }
}

/** Evidence on one incarnation of a server. */
export class ServerEvidence {
  /** This node's own calls that have not ended. */
  inFlight = 0;
  private readonly failures = new FadingRate();
  private readonly refusals = new FadingRate();
  private failuresInRow = 0;
  private ejections = 0;
  private ejectedUntilMs = 0;
  private serviceMs: number | undefined;
  private serviceAtMs = 0;
  private load: ServerLoad | undefined;
  private loadAtMs = 0;
  private inFlightAtLoad = 0;

  constructor(readonly incarnation: number) {}

  /** Takes in the end of a call; `inFlight` has been lowered before. */
  record(result: CallResult, nowMs: number): void {
    if (result.load) this.recordLoad(result.load, nowMs);
    switch (result.outcome) {
      case 'answered':
        this.recordAnswer(result, nowMs);
        break;
      case 'refused':
        this.refusals.add(1, nowMs);
        break;
      case 'server-error':
      case 'failed':
      case 'timed-out':
        this.recordFailure(nowMs);
        break;
      case 'cancelled':
        break;
    }
  }

  /** Share of calls that failed, between 0 and 1. */
  failureRate(nowMs: number): number {
    return this.failures.at(nowMs);
  }

  /** Share of calls that were refused unrun, between 0 and 1. */
  refusalRate(nowMs: number): number {
    return this.refusals.at(nowMs);
  }

  /**
   * True while the server is left out. When its ejection is over, one real
   * call at a time probes it until one is answered.
   */
  isEjected(nowMs: number): boolean {
    if (nowMs < this.ejectedUntilMs) return true;
    return this.ejections > 0 && this.inFlight > 0;
  }

  /** Calls at the server: own ones, and others as far as known. */
  occupied(nowMs: number): number {
    if (!this.load) return this.inFlight;
    const reported = this.load.inFlight + this.load.queued;
    const others = Math.max(0, reported - this.inFlightAtLoad);
    const fading = Math.exp((this.loadAtMs - nowMs) / LOAD_DECAY_MS);
    return this.inFlight + others * fading;
  }

  /** Calls that the server runs at once; at least 1. */
  limit(candidate: Candidate): number {
    const limit = Math.min(this.load?.limit ?? Infinity, candidate.slots);
    return Math.max(1, limit);
  }

  /** Time in ms that the server takes, nearing `fallback` as it ages. */
  expectedServiceMs(fallback: number, nowMs: number): number {
    if (this.serviceMs === undefined) return fallback;
    const fading = Math.exp((this.serviceAtMs - nowMs) / SERVICE_DECAY_MS);
    return fallback + (this.serviceMs - fallback) * fading;
  }

  /** The last known time in ms that the server takes. */
  get lastServiceMs(): number | undefined {
    return this.serviceMs;
  }

  private recordLoad(load: ServerLoad, nowMs: number): void {
    this.load = load;
    this.loadAtMs = nowMs;
    this.inFlightAtLoad = this.inFlight;
    if (load.serviceMs !== undefined) this.recordService(load.serviceMs, nowMs);
  }

  private recordService(serviceMs: number, nowMs: number): void {
    this.serviceMs = serviceMs;
    this.serviceAtMs = nowMs;
  }

  private recordAnswer(result: CallResult, nowMs: number): void {
    this.failures.add(0, nowMs);
    this.refusals.add(0, nowMs);
    this.failuresInRow = 0;
    this.ejections = 0;
    if (result.load?.serviceMs !== undefined) return;
    const current = this.serviceMs ?? result.latencyMs;
    const change = SAMPLE_WEIGHT * (result.latencyMs - current);
    this.recordService(current + change, nowMs);
  }

  private recordFailure(nowMs: number): void {
    this.failures.add(1, nowMs);
    this.failuresInRow++;
    const eject =
      this.failuresInRow >= EJECT_AFTER_FAILURES ||
      this.failures.at(nowMs) > EJECT_FAILURE_RATE ||
      this.ejections > 0;
    if (!eject || nowMs < this.ejectedUntilMs) return;
    const backOffMs = FIRST_EJECTION_MS * 2 ** this.ejections;
    this.ejectedUntilMs = nowMs + Math.min(MAX_EJECTION_MS, backOffMs);
    this.ejections++;
  }
}
