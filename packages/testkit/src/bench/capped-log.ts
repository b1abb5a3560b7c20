/** A log in model time that takes a limited number of appends a second. */

import type {ReadResult} from '@turmericmill/routing';

/** When an append is answered, and its offset. */
export interface CappedAppend {
  offset: number;
  doneAtMs: number;
}

export class CappedLog {
  /** Appends, and the bytes of their records, since the last reset. */
  appends = 0;
  bytes = 0;
  private busyUntilMs = 0;
  private readonly streams = new Map<string, string[]>();

  constructor(
    readonly appendsPerSecond: number,
    readonly latencyMs: number,
  ) {}

  resetCounts(): void {
    this.appends = 0;
    this.bytes = 0;
  }

  /** Appends queue up when there are more than the log takes. */
  append(stream: string, body: string, nowMs: number): CappedAppend {
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
    const all = this.streams.get(stream) ?? [];
    const records = all
      .slice(from)
      .map((body, i) => ({offset: from + i, body}));
    return {type: 'ok', records, next: all.length};
  }
}
