/** Validates the bodies of configuration messages from other nodes. */

import type {Message} from '@turmericmill/wire';

/** Messages that the configuration agent handles. */
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

/** Whether the body has valid values in the fields that the agent relies on. */
export function isWellFormed({type, body}: ConfigMessage): boolean {
  switch (type) {
    case 'configHave':
      return areIntegers(body.version, body.known) && isString(body.digest);
    case 'configFetch':
      return areIntegers(body.have);
    case 'configDelta':
      return (
        areIntegers(body.from, body.to) &&
        body.from < body.to &&
        isString(body.digest) &&
        areWrites(body.writes)
      );
    case 'configSnapshotPart':
      return (
        areIntegers(body.version, body.part, body.parts) &&
        isString(body.digest) &&
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

function isString(value: unknown): boolean {
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
        isString(write?.key) && write?.resource !== undefined,
    )
  );
}
