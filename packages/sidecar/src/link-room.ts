/** Room at the link of this host, from its settings and what was sent. */

import {
  SHORT_FRAME_BYTES,
  type LinkRoom,
  type PeerOutbox,
  type TransportTask,
} from '@turmericmill/node';
import type {HostSettings} from '@turmericmill/platform-adapter';
import {AnswerLink, LinkPace} from '@turmericmill/routing';
import type {Clock} from '@turmericmill/utils';

import {linkBytesPerMs} from './link-bandwidth.js';

/**
 * Limits on the bytes in a connection's buffer from which long answers wait. On a
 * thin link they are what it carries in a tenth of a second.
 */
const MIN_UNSENT_BYTES = 64 * 1024;
const MAX_UNSENT_BYTES = 1024 * 1024;
const UNSENT_MS = 100;

export function createLinkRoom(
  settings: Pick<HostSettings, 'linkMbps'>,
  transport: Pick<TransportTask, 'sentBytes'>,
  clock: Clock,
): LinkRoom & Pick<AnswerLink, 'bytesPerMs'> {
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
