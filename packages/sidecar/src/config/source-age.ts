/** How lately the store is known to have had the version in force. */

import {
  confirmedByReadMs,
  readTransitMs,
  type StoreRead,
} from './source-choice.js';

export class SourceAge {
  /** Time in ms at which the store had this version, read here or by a peer. */
  confirmedMs = -Infinity;
  /** The same by the last read of this node. */
  ownReadMs = -Infinity;
  /** Time in ms that messages to and from the store have taken lately. */
  transitMs = 0;

  recordRead(read: StoreRead): void {
    this.transitMs = readTransitMs(read, this.transitMs);
    this.ownReadMs = confirmedByReadMs(read, this.transitMs);
    this.recordConfirmed(this.ownReadMs);
  }

  /** A peer or the store had the version at `atMs`. */
  recordConfirmed(atMs: number): void {
    this.confirmedMs = Math.max(this.confirmedMs, atMs);
  }
}
