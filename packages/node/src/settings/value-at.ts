/** Reads values of JSON documents that have not been validated yet. */

import type {JsonDocument, JsonPath} from '@turmericmill/utils';

function valueAt(document: JsonDocument, path: JsonPath): unknown {
  let value = document.value;
  for (const key of path) {
    if (typeof value !== 'object' || value === null) return undefined;
    value = (value as Record<string | number, unknown>)[key];
  }
  return value;
}

/** The string at `path`, or undefined for any other value. */
export function stringAt(
  document: JsonDocument,
  path: JsonPath,
): string | undefined {
  const value = valueAt(document, path);
  return typeof value === 'string' ? value : undefined;
}

/** The number at `path`, or undefined for any other value. */
export function numberAt(
  document: JsonDocument,
  path: JsonPath,
): number | undefined {
  const value = valueAt(document, path);
  return typeof value === 'number' ? value : undefined;
}

/** The items of the array at `path`, or no items for any other value. */
export function itemsAt(document: JsonDocument, path: JsonPath): unknown[] {
  const value = valueAt(document, path);
  return Array.isArray(value) ? (value as unknown[]) : [];
}
