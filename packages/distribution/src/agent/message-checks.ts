/** Checks of the bodies of configuration messages from other nodes. */

import type {Message} from '@turmericmill/wire';

/** Messages that the configuration agent takes. */
export type ConfigMessage = Extract<
  Message,
  {
    type:
      | 'configHave'
      | 'configFetch'
      | 'configDelta'
      | 'configSnapshotPart'
      | 'configBusy'
      | 'versionReport'
      | 'fleetQuery'
      | 'fleetReply';
  }
>;

/** Whether the body has the fields that its type promises. */
export function isWellFormed({type, body}: ConfigMessage): boolean {
  switch (type) {
    case 'configHave':
      return areIntegers(body.version, body.known) && isText(body.digest);
    case 'configFetch':
      return areIntegers(body.have);
    case 'configDelta':
      return (
        areIntegers(body.from, body.to) &&
        body.from < body.to &&
        isText(body.digest) &&
        areWrites(body.writes)
      );
    case 'configSnapshotPart':
      return (
        areIntegers(body.version, body.part, body.parts) &&
        isText(body.digest) &&
        areWrites(body.writes)
      );
    case 'configBusy':
      return Number.isFinite(body.retryAfterMs);
    case 'fleetQuery':
      return true;
    case 'versionReport':
    case 'fleetReply':
      return isObject(body.counts) && Array.isArray(body.laggards);
  }
}

function areIntegers(...values: unknown[]): boolean {
  return values.every(Number.isSafeInteger);
}

function isText(value: unknown): boolean {
  return typeof value === 'string';
}

function isObject(value: unknown): boolean {
  return typeof value === 'object' && value !== null;
}

function areWrites(value: unknown): boolean {
  return (
    Array.isArray(value) &&
    value.every(
      (write: {key?: unknown; resource?: unknown} | null) =>
        isText(write?.key) && write?.resource !== undefined,
    )
  );
}
