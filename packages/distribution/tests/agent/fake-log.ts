/** An in-memory log with the failures of the platform's log. */

import type {LogPage, StreamBounds} from '@turmericmill/platform';
import {Err, Ok} from '@turmericmill/utils';

import type {LogCall, LogReply} from '../../src/index.js';

interface FakeStream {
  earliest: number;
  bodies: string[];
}

/** Answers calls immediately; `FakeMesh` adds delays and long polls. */
export class FakeLog {
  isDown = false;
  readCount = 0;
  private readonly streams = new Map<string, FakeStream>();

  streamOf(name: string): FakeStream {
    const stream = this.streams.get(name) ?? {earliest: 0, bodies: []};
    this.streams.set(name, stream);
    return stream;
  }

  boundsOf(name: string): StreamBounds {
    const {earliest, bodies} = this.streamOf(name);
    return {earliest, next: bodies.length};
  }

  append(name: string, body: string): number {
    return this.streamOf(name).bodies.push(body) - 1;
  }

  trim(name: string, earliest: number): void {
    const stream = this.streamOf(name);
    stream.earliest = Math.max(stream.earliest, earliest);
  }

  /** Whether the call is a long poll that would wait for a record. */
  wouldWait(call: LogCall): boolean {
    if (call.call !== 'read' || call.waitMs === 0 || this.isDown) return false;
    return call.from >= this.boundsOf(call.stream).next;
  }

  answer(call: LogCall): LogReply {
    if (this.isDown) return Err({code: 'unavailable', message: 'down'});
    const bounds = this.boundsOf(call.stream);
    switch (call.call) {
      case 'bounds':
        return Ok(bounds);
      case 'append':
        return Ok(this.append(call.stream, call.body));
      case 'read':
        this.readCount++;
        return this.read(call.stream, call.from, call.limit, bounds);
    }
  }

  private read(
    name: string,
    from: number,
    limit: number,
    bounds: StreamBounds,
  ): LogReply {
    if (from < bounds.earliest) {
      return Err({code: 'trimmed', message: 'trimmed', bounds});
    }
    const {bodies} = this.streamOf(name);
    const records = bodies
      .slice(from, from + limit)
      .map((body, index) => ({offset: from + index, body}));
    const page: LogPage = {...bounds, records};
    return Ok(page);
  }
}
