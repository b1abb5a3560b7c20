/** The link of this host: its bandwidth, and its room for answers. */

import {
  SHORT_FRAME_BYTES,
  type LinkRoom,
  type PeerOutbox,
  type TransportTask,
} from '@turmericmill/node';
import type {HostSettings} from '@turmericmill/platform-adapter';
import {AnswerLink, LinkPace} from '@turmericmill/routing';
import type {Clock} from '@turmericmill/utils';

/**
 * Limits on the bytes in a connection's buffer from which long answers wait. On a
 * thin link they are what it carries in a tenth of a second.
 */
const MIN_UNSENT_BYTES = 64 * 1024;
const MAX_UNSENT_BYTES = 1024 * 1024;
const UNSENT_MS = 100;
/** Bytes per ms in one Mbit/s. */
const BYTES_PER_MS_PER_MBPS = 125;

/** Returns the bytes that the link of a host carries in a ms. */
export function linkBytesPerMs({
  linkMbps,
}: Pick<HostSettings, 'linkMbps'>): number {
  return linkMbps * BYTES_PER_MS_PER_MBPS;
}

/** Room at the link, and the bytes that it passes on in a ms. */
export interface HostLink extends LinkRoom {
  bytesPerMs: number;
}

export function createHostLink(
  settings: Pick<HostSettings, 'linkMbps'>,
  transport: Pick<TransportTask, 'sentBytes'>,
  clock: Clock,
): HostLink {
  const bytesPerMs = linkBytesPerMs(settings);
  const pace = new LinkPace(bytesPerMs, clock.now());
  const unsentBytes = Math.max(MIN_UNSENT_BYTES, UNSENT_MS * bytesPerMs);
  return {
    bytesPerMs: pace.bytesPerMs,
    maxUnsentBytes: Math.min(MAX_UNSENT_BYTES, unsentBytes),
    untilRoomMs: () => {
      const now = clock.now();
      pace.update(transport.sentBytes, now);
      return Math.max(0, pace.roomAtMs - now);
    },
  };
}

/** The answers that wait for the link are those of an outbox. */
export class OutboxLink extends AnswerLink {
  override readonly shortBytes = SHORT_FRAME_BYTES;

  constructor(
    private readonly outbox: PeerOutbox,
    override readonly bytesPerMs: number,
  ) {
    super();
  }

  override waitingBytes(): number {
    return this.outbox.waitingBytes;
  }
}
