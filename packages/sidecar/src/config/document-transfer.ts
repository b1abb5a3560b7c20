/**
 * How a configuration document travels between nodes. Load pattern: changes
 * several times a second, each handed to all nodes of a data centre over a link
 * of a few Mbit/s. A whole document for each would queue for seconds.
 */

import {deflateRawSync, inflateRawSync} from 'node:zlib';

import {Err, Ok, type Result} from '@turmericmill/utils';
import type {DocumentChange} from '@turmericmill/wire';
import {applyDelta, createDelta} from 'fossil-delta';

/** Largest document in bytes that is taken; far above what operators publish. */
const MAX_DOCUMENT_BYTES = 32 * 1024 * 1024;

/** What leads from the document of `baseVersion` to `document`. */
export function changeFrom(
  baseVersion: number,
  base: Uint8Array,
  document: Uint8Array,
): DocumentChange {
  return {baseVersion, delta: createDelta(base, document)};
}

/** The document after the change; an error if the base is another one. */
export function applyChange(
  base: Uint8Array,
  {delta}: DocumentChange,
): Result<Uint8Array, string> {
  return attempt(() => applyDelta(base, delta));
}

export function compress(document: Uint8Array): Uint8Array {
  return deflateRawSync(document);
}

export function decompress(bytes: Uint8Array): Result<Uint8Array, string> {
  const options = {maxOutputLength: MAX_DOCUMENT_BYTES};
  return attempt(() => inflateRawSync(bytes, options));
}

function attempt(step: () => Uint8Array): Result<Uint8Array, string> {
  try {
    return Ok(step());
  } catch (err) {
    return Err(err instanceof Error ? err.message : String(err));
  }
}
