/** Standard output as a destination that never blocks the event loop. */

import type {Writable} from 'node:stream';

import sonicBoom from 'sonic-boom';
import type {SonicBoom} from 'sonic-boom';

const STDOUT_FD = 1;
/** Bytes of lines that wait for a slow reader; what comes on top is dropped. */
const MAX_WAITING_BYTES = 1024 * 1024;

/** Writes lines in the background; counts those that a reader held up. */
export class LogDestination {
  /** Lines dropped because the reader of the output had stopped. */
  dropped = 0;
  private readonly boom: SonicBoom;

  constructor(fd = STDOUT_FD, maxWaitingBytes = MAX_WAITING_BYTES) {
    this.boom = new sonicBoom.SonicBoom({
      fd,
      sync: false,
      maxLength: maxWaitingBytes,
    });
    this.boom.on('drop', () => {
      this.dropped += 1;
    });
    // A closed output must not end the process: its work goes on unseen.
    this.boom.on('error', () => {
      this.dropped += 1;
    });
  }

  /** For `bunyan`, which only calls `write`. */
  get stream(): Writable {
    return this.boom as unknown as Writable;
  }

  /** Gives up what waits and closes the output. */
  close(): void {
    this.boom.destroy();
  }

  /** Writes what waits, at the end of the process. */
  flush(): void {
    try {
      this.boom.flushSync();
    } catch {
      // The output is closed or full; nobody would read a line about it.
      this.dropped += 1;
    }
  }
}
