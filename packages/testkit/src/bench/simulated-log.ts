/**
 * A log in simulated time that completes a limited number of appends per
 * second.
 */

import type {ReadResult} from '@turmericmill/routing';

/** Result of an append. */
export interface SimulatedAppend {
  offset: number;
  /** Time in ms at which the append is answered. */
  doneAtMs: number;
}

export class SimulatedLog {
  /** Number of appends and bytes of their records since the last reset. */
  appends = 0;
  bytes = 0;
  private busyUntilMs = 0;
  private readonly streams = new Map<string, string[]>();

  constructor(
    readonly appendsPerSecond: number,
    /** Time in ms that each append takes in addition to its time in the queue. */
    readonly latencyMs: number,
  ) {}

  resetCounts(): void {
    this.appends = 0;
    this.bytes = 0;
  }

  /** Appends a record; appends beyond the maximum rate are queued. */
  append(stream: string, body: string, nowMs: number): SimulatedAppend {
    const records = this.streams.get(stream) ?? [];
    this.streams.set(stream, records);
    const offset = records.push(body) - 1;
    this.appends += 1;
    this.bytes += body.length;
    const serviceMs = 1000 / this.appendsPerSecond;
    this.busyUntilMs = Math.max(this.busyUntilMs, nowMs) + serviceMs;
    return {offset, doneAtMs: this.busyUntilMs + this.latencyMs};
  }

  read(stream: string, from: number): ReadResult {
    const bodies = this.streams.get(stream) ?? [];
    const records = bodies
      .slice(from)
      .map((body, i) => ({offset: from + i, body}));
    return {type: 'ok', records, next: bodies.length};
  }
}
