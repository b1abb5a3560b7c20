/** In-memory storage of the log stand-in: streams that can be trimmed. */

import type {LogPage, LogRecord, StreamBounds} from '@turmericmill/platform';

interface Stream {
  earliest: number;
  records: LogRecord[];
  /** Called once, on the next append. */
  appendListeners: Set<() => void>;
}

/** Stores streams of records in memory. */
export class MemoryLog {
  private readonly streams = new Map<string, Stream>();

  append(name: string, body: string): number {
    const stream = this.findOrCreateStream(name);
    const offset = stream.earliest + stream.records.length;
    stream.records.push({offset, body});
    const appendListeners = [...stream.appendListeners];
    stream.appendListeners.clear();
    for (const listener of appendListeners) listener();
    return offset;
  }

  bounds(name: string): StreamBounds {
    const {earliest, records} = this.findOrCreateStream(name);
    return {earliest, next: earliest + records.length};
  }

  /** Returns records from offset `from`, which must not have been trimmed. */
  read(name: string, from: number, limit: number): LogPage {
    const {earliest, records} = this.findOrCreateStream(name);
    const start = Math.max(0, from - earliest);
    return {
      records: records.slice(start, start + limit),
      ...this.bounds(name),
    };
  }

  /** Removes all records before `offset`. */
  trim(name: string, offset: number): void {
    const stream = this.findOrCreateStream(name);
    const count = Math.min(offset - stream.earliest, stream.records.length);
    if (count <= 0) return;
    stream.records.splice(0, count);
    stream.earliest += count;
  }

  /** Calls `listener` on the next append; the returned function removes it. */
  onAppend(name: string, listener: () => void): () => void {
    const {appendListeners} = this.findOrCreateStream(name);
    appendListeners.add(listener);
    return () => appendListeners.delete(listener);
  }

  names(): string[] {
    return [...this.streams.keys()];
  }

  private findOrCreateStream(name: string): Stream {
    let stream = this.streams.get(name);
    if (!stream) {
      stream = {earliest: 0, records: [], appendListeners: new Set()};
      this.streams.set(name, stream);
    }
    return stream;
  }
}
