/** Log destination on standard output that never blocks the event loop. */

import type {Writable} from 'node:stream';

import sonicBoom from 'sonic-boom';
import type {SonicBoom} from 'sonic-boom';

const STDOUT_FD = 1;
/** Most bytes of buffered lines; lines beyond that are dropped. */
const MAX_BUFFERED_BYTES = 1024 * 1024;

/** Writes lines asynchronously and counts those that it has to drop. */
export class LogDestination {
  /**
   * Lines dropped because the reader of the output is slow or has stopped; each
   * failed write counts as one.
   */
  dropped = 0;
  private readonly output: SonicBoom;

  constructor(fd = STDOUT_FD, maxBufferedBytes = MAX_BUFFERED_BYTES) {
    this.output = new sonicBoom.SonicBoom({
      fd,
      sync: false,
      maxLength: maxBufferedBytes,
    });
    this.output.on('drop', () => {
      this.dropped += 1;
    });
    // A closed output must not end the process, which continues without a log.
    this.output.on('error', () => {
      this.dropped += 1;
    });
  }

  /** The stream for `bunyan`, which calls only `write`. */
  get stream(): Writable {
    return this.output as unknown as Writable;
  }

  /** Discards buffered lines and closes the output. */
  close(): void {
    this.output.destroy();
  }

  /** Writes buffered lines synchronously, at the end of the process. */
  flush(): void {
    try {
      this.output.flushSync();
    } catch {
      // The output is closed or full, so that no line can report this.
      this.dropped += 1;
    }
  }
}
