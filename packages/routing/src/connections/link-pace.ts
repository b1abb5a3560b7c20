/**
 * Paces answers to what the link of a host carries. Load pattern: the server
 * beside a node produces long answers faster than its link passes them on. Each
 * connection takes some of their bytes, so that together seconds of them are on
 * the way, and each short message waits behind them.
 */

/** Share of the bandwidth for messages; the headers of packets take the rest. */
const LINK_SHARE = 0.9;
/** Time in ms for which bytes may wait at the link before long answers do. */
const MAX_BACKLOG_MS = 50;

export class LinkPace {
  /** Bytes that the link passes on in a ms, without the headers of packets. */
  readonly bytesPerMs: number;
  private sentBytes = 0;
  private updatedMs: number;
  /** Time in ms at which the link has passed on all that was sent. */
  private freeAtMs = -Infinity;

  /** `linkBytesPerMs`: bandwidth of the link in bytes per ms. */
  constructor(linkBytesPerMs: number, nowMs: number) {
    this.bytesPerMs = LINK_SHARE * linkBytesPerMs;
    this.updatedMs = nowMs;
  }

  /** `sentBytes`: bytes of all messages since the start. */
  update(sentBytes: number, nowMs: number): void {
    const transferMs = (sentBytes - this.sentBytes) / this.bytesPerMs;
    this.freeAtMs = Math.max(this.freeAtMs, this.updatedMs) + transferMs;
    this.sentBytes = sentBytes;
    this.updatedMs = nowMs;
  }

  /** Time in ms from which more bytes of long answers may be sent. */
  get roomAtMs(): number {
    return this.freeAtMs - MAX_BACKLOG_MS;
  }
}
