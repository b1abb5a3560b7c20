/** The records of the log stand-in: streams in memory that can be trimmed. */

import type {LogPage, LogRecord, StreamBounds} from '@turmericmill/platform';

interface Stream {
  earliest: number;
  records: LogRecord[];
  /** Called once when a record arrives. */
  waiters: Set<() => void>;
}

/** Streams of records in memory. */
export class MemoryLog {
  private readonly streams = new Map<string, Stream>();

  append(name: string, body: string): number {
    const stream = this.streamOf(name);
    const offset = stream.earliest + stream.records.length;
    stream.records.push({offset, body});
    const waiters = [...stream.waiters];
    stream.waiters.clear();
    for (const wake of waiters) wake();
    return offset;
  }

  bounds(name: string): StreamBounds {
    const {earliest, records} = this.streamOf(name);
    return {earliest, next: earliest + records.length};
  }

  /** The records from `from` on, which must not have been trimmed. */
  read(name: string, from: number, limit: number): LogPage {
    const {earliest, records} = this.streamOf(name);
    const start = Math.max(0, from - earliest);
    return {
      records: records.slice(start, start + limit),
      ...this.bounds(name),
    };
  }

  /** Removes all records before `offset`. */
  trim(name: string, offset: number): void {
    const stream = this.streamOf(name);
    const count = Math.min(offset - stream.earliest, stream.records.length);
    if (count <= 0) return;
    stream.records.splice(0, count);
    stream.earliest += count;
  }

  /** Calls `wake` once on the next append; returns a function that stops it. */
  onAppend(name: string, wake: () => void): () => void {
    const {waiters} = this.streamOf(name);
    waiters.add(wake);
    return () => waiters.delete(wake);
  }

  names(): string[] {
    return [...this.streams.keys()];
  }

  private streamOf(name: string): Stream {
    let stream = this.streams.get(name);
    if (!stream) {
      stream = {earliest: 0, records: [], waiters: new Set()};
      this.streams.set(name, stream);
    }
    return stream;
  }
}
