/** Checks of network addresses that other processes supply. */

import {isIP} from 'node:net';

const MAX_PORT = 65_535;

/** True for a port to which packets can be sent. */
export function isPort(value: unknown): value is number {
  return (
    typeof value === 'number' &&
    Number.isInteger(value) &&
    value >= 1 &&
    value <= MAX_PORT
  );
}

/** True for an IP address; names are refused, as they need a lookup. */
export function isIpAddress(value: unknown): value is string {
  return typeof value === 'string' && isIP(value) !== 0;
}
