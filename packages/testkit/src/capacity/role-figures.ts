/** What single roles cost beyond what every node does. */

import {CLAIM_WRITER_OPTIONS} from '@turmericmill/node';
import {CLAIM_PARTITIONS} from '@turmericmill/routing';

import {DERIVED, DESIGN_SIZE} from './design-size.js';
import {
  GROUPS_PER_REGION,
  heartbeatBytesPerSecond,
  summaryBytes,
} from './exact-sizes.js';
import type {Figure, FigureBook} from './figures.js';
import {
  BYTES_PER_MIB,
  RESOURCES,
  TCP_HEADER_BYTES,
  USAGE_REPORT_SECONDS,
} from './node-cost.js';

/** One call in so many is assumed to carry an idempotency key. */
export const CALLS_PER_KEYED_CALL = 100;

/** Time in s for which a key is remembered. */
const CLAIM_WINDOW_SECONDS = CLAIM_WRITER_OPTIONS.windowMs / 1000;

/** Keys that one partition remembers at most. */
export const MAX_CLAIM_KEYS = CLAIM_WRITER_OPTIONS.maxKeys;

/** Children of an inner node in one push tree, and trees that push. */
const CHILDREN = 6;
const PUSHING_TREES = 2;

/** Time in s after which a snapshot is due. */
const SNAPSHOT_SECONDS = 600;

/** Shortest time in s between two appends of a usage collector. */
const USAGE_APPEND_SECONDS = 2;

const {changesPerSecond} = DERIVED;

/** Bytes that an inner node of both push trees sends beyond a leaf. */
export function innerBytes(book: FigureBook): Figure {
  return book.from(
    ['convergence.bytesPerChildAndChange'],
    'B/s',
    ([each = 0]) => each * CHILDREN * PUSHING_TREES * changesPerSecond,
  );
}

/** Bytes that the busiest relay sends beyond a leaf. */
export function relayBytes(book: FigureBook): Figure {
  return book.from(
    ['convergence.relayBytesPerChange', 'convergence.leafBytesPerChange'],
    'B/s',
    ([relay = 0, leaf = 0]) => (relay - leaf) * changesPerSecond,
  );
}

/** Claims in a second, of all services together. */
export const CLAIMS_PER_SECOND =
  DESIGN_SIZE.callsPerSecond / CALLS_PER_KEYED_CALL;

/** Keys of one partition within the window. */
export const CLAIM_KEYS =
  (CLAIMS_PER_SECOND * CLAIM_WINDOW_SECONDS) / CLAIM_PARTITIONS;

export function claimAppends(book: FigureBook): Figure {
  return book.from(
    ['claims.appendsPerSecond'],
    'appends/s',
    ([appends = 0]) => appends,
  );
}

/** Bytes that the writer of one partition appends, and reads again. */
export function claimBytes(book: FigureBook): Figure {
  return book.from(
    ['claims.logBytesPerClaim'],
    'B/s',
    ([bytes = 0]) => (bytes * CLAIMS_PER_SECOND) / CLAIM_PARTITIONS,
  );
}

export function claimCpu(book: FigureBook): Figure {
  return book.from(
    ['claims.writerMicrosPerClaim', 'claims.foldMicrosPerKey'],
    '% of a core',
    ([write = 0, fold = 0]) =>
      ((write + fold) * CLAIMS_PER_SECOND) / CLAIM_PARTITIONS / 10_000,
  );
}

/** Memory of the keys that one partition remembers, up to its bound. */
export function claimMemory(book: FigureBook): Figure {
  const keys = Math.min(CLAIM_KEYS, MAX_CLAIM_KEYS);
  return book.from(
    ['claims.heapBytesPerKey'],
    'MiB',
    ([bytes = 0]) => (bytes * keys) / BYTES_PER_MIB,
  );
}

/** Bytes appended for snapshots, on average. */
export function snapshotBytes(book: FigureBook): Figure {
  return book.from(
    ['fold.snapshotBytesPerResource'],
    'B/s',
    ([bytes = 0]) => (bytes * RESOURCES) / SNAPSHOT_SECONDS,
  );
}

/** Appends of all usage collectors, each as often as it may. */
export function usageAppends(book: FigureBook): Figure {
  return book.exact(DESIGN_SIZE.regions / USAGE_APPEND_SECONDS, 'appends/s');
}

/** Bytes that a collector appends for its region. */
export function usageSent(book: FigureBook): Figure {
  return book.from(
    ['usage.bytesPerReport'],
    'B/s',
    ([bytes = 0]) => (bytes * DERIVED.membersPerRegion) / USAGE_REPORT_SECONDS,
  );
}

/** Bytes that a collector reads: the rows of all regions. */
export function usageRead(book: FigureBook): Figure {
  return book.from(
    ['usage.bytesPerReport'],
    'B/s',
    ([bytes = 0]) => (bytes * DESIGN_SIZE.servers) / USAGE_REPORT_SECONDS,
  );
}

export function usageCpu(book: FigureBook): Figure {
  return book.from(
    ['usage.foldMicrosPerReport'],
    '% of a core',
    ([micros = 0]) =>
      (micros * DESIGN_SIZE.servers) / USAGE_REPORT_SECONDS / 10_000,
  );
}

export function usageMemory(book: FigureBook): Figure {
  return book.from(
    ['usage.heapBytesPerNode'],
    'MiB',
    ([bytes = 0]) => (bytes * DESIGN_SIZE.servers) / BYTES_PER_MIB,
  );
}

/**
 * Headers alone of the totals that a collector sends to each node of its
 * region while a customer is near its limit.
 */
export function usageTotalsHeaders(book: FigureBook): Figure {
  const messages = DERIVED.membersPerRegion / USAGE_APPEND_SECONDS;
  return book.exact(messages * TCP_HEADER_BYTES, 'B/s');
}

/** Heartbeats of a collector's connections to its region, at most. */
export function usageHeartbeats(book: FigureBook): Figure {
  const bytes = heartbeatBytesPerSecond() * DERIVED.membersPerRegion;
  return book.exact(bytes, 'B/s');
}

/** Summaries that the first gateway of a region sends. */
export function gatewayBytes(book: FigureBook): Figure {
  const others = DESIGN_SIZE.regions - 1;
  return book.exact((others * summaryBytes(GROUPS_PER_REGION)) / 60, 'B/s');
}

/** Summaries that a gateway holds, as they are sent. */
export function gatewayState(book: FigureBook): Figure {
  const others = DESIGN_SIZE.regions - 1;
  const bytes = others * summaryBytes(GROUPS_PER_REGION);
  return book.exact(bytes / BYTES_PER_MIB, 'MiB');
}
