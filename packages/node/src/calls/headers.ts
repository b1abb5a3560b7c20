/** Flat header lists and hop-by-hop headers. */

import type {FlatHeaders} from '@turmericmill/wire';

const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  // Announces trailers; Node.js refuses it beside a content-length.
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
]);

/**
 * Removes hop-by-hop headers. Also removes a content length if there is a
 * transfer coding, which overrides it (RFC 9112, 6.3).
 */
export function endToEndHeaders(headers: FlatHeaders): FlatHeaders {
  const dropped = new Set(connectionOptions(headers));
  const hasTransferCoding =
    headerOf(headers, 'transfer-encoding') !== undefined;
  if (hasTransferCoding) dropped.add('content-length');
  const kept: FlatHeaders = [];
  for (let i = 0; i + 1 < headers.length; i += 2) {
    const name = headers[i] as string;
    const lower = name.toLowerCase();
    if (HOP_BY_HOP.has(lower) || dropped.has(lower)) continue;
    kept.push(name, headers[i + 1] as string);
  }
  return kept;
}

/** Returns the first value of the header with this lower-case name. */
export function headerOf(
  headers: FlatHeaders,
  name: string,
): string | undefined {
  for (let i = 0; i + 1 < headers.length; i += 2) {
    if (headers[i]?.toLowerCase() === name) return headers[i + 1];
  }
  return undefined;
}

/** Replaces the headers named in `values`, whose names are in lower case. */
export function replaceHeaders(
  headers: FlatHeaders,
  values: Readonly<Record<string, string>>,
): FlatHeaders {
  const kept: FlatHeaders = [];
  for (let i = 0; i + 1 < headers.length; i += 2) {
    const name = headers[i] as string;
    if (name.toLowerCase() in values) continue;
    kept.push(name, headers[i + 1] as string);
  }
  return [...kept, ...Object.entries(values).flat()];
}

/** Converts raw headers to strings; bytes are decoded as Latin-1. */
export function toFlatHeaders(raw: readonly (Buffer | string)[]): FlatHeaders {
  return raw.map(item =>
    typeof item === 'string' ? item : item.toString('latin1'),
  );
}

function connectionOptions(headers: FlatHeaders): string[] {
  const options: string[] = [];
  for (let i = 0; i + 1 < headers.length; i += 2) {
    if (headers[i]?.toLowerCase() !== 'connection') continue;
    const names = (headers[i + 1] ?? '').split(',');
    options.push(...names.map(name => name.trim().toLowerCase()));
  }
  return options;
}
