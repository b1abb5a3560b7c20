/**
 * Encodes configuration documents for transfer between nodes. Load pattern:
 * changes several times a second, each sent to all nodes of a data centre over
 * a link of a few Mbit/s. With a whole document for each change, messages would
 * queue for seconds.
 */

import {deflateRawSync, inflateRawSync} from 'node:zlib';

import {Err, Ok, type Result} from '@turmericmill/utils';
import type {DocumentChange} from '@turmericmill/wire';
import {applyDelta, createDelta} from 'fossil-delta';

/** Largest accepted document in bytes; far above what operators publish. */
const MAX_DOCUMENT_BYTES = 32 * 1024 * 1024;

/** Returns the change from `base`, of version `baseVersion`, to `document`. */
export function createChange(
  baseVersion: number,
  base: Uint8Array,
  document: Uint8Array,
): DocumentChange {
  return {baseVersion, delta: compress(createDelta(base, document))};
}

/**
 * Returns the changed document; an error if `base` is not the document that the
 * change was made from, or if the change is damaged.
 */
export function applyChange(
  base: Uint8Array,
  {delta}: DocumentChange,
): Result<Uint8Array, string> {
  return decompress(delta).andThen(bytes =>
    catchErrors(() => applyDelta(base, bytes)),
  );
}

/** Returns the document after changes that apply one after the other. */
export function applyChanges(
  base: Uint8Array,
  changes: readonly DocumentChange[],
): Result<Uint8Array, string> {
  return changes.reduce<Result<Uint8Array, string>>(
    (result, change) =>
      result.andThen(document => applyChange(document, change)),
    Ok(base),
  );
}

export function compress(document: Uint8Array): Uint8Array {
  return deflateRawSync(document);
}

export function decompress(bytes: Uint8Array): Result<Uint8Array, string> {
  const options = {maxOutputLength: MAX_DOCUMENT_BYTES};
  return catchErrors(() => inflateRawSync(bytes, options));
}

function catchErrors(step: () => Uint8Array): Result<Uint8Array, string> {
  try {
    return Ok(step());
  } catch (err) {
    return Err(err instanceof Error ? err.message : String(err));
  }
}
