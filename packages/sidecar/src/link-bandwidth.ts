/** Bandwidth of the host's link in the unit in which it is compared. */

import type {HostSettings} from '@turmericmill/platform-adapter';

/** Bytes per ms in one Mbit/s. */
const BYTES_PER_MS_PER_MBPS = 125;

/** Returns the bytes that the link of a host carries in a ms. */
export function linkBytesPerMs({
  linkMbps,
}: Pick<HostSettings, 'linkMbps'>): number {
  return linkMbps * BYTES_PER_MS_PER_MBPS;
}
