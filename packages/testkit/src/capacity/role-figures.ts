/** Cost of individual roles in addition to the cost of every node. */

import {CLAIM_WRITER_OPTIONS} from '@turmericmill/node';
import {CLAIM_PARTITIONS} from '@turmericmill/routing';

import {DERIVED, DESIGN_SIZE} from './design-size.js';
import {
  GROUPS_PER_SUMMARY,
  heartbeatBytesPerSecond,
  summaryBytes,
} from './exact-sizes.js';
import type {Figure, FigureCalculator} from './figures.js';
import {
  BYTES_PER_MIB,
  RESOURCES,
  TCP_HEADER_BYTES,
  USAGE_REPORT_SECONDS,
} from './node-cost.js';

/** Assumption: one call in this number carries an idempotency key. */
export const CALLS_PER_KEYED_CALL = 100;

/** Time in s for which a key is retained. */
const CLAIM_WINDOW_SECONDS = CLAIM_WRITER_OPTIONS.windowMs / 1000;

/** Maximum number of keys that one partition retains. */
export const MAX_CLAIM_KEYS = CLAIM_WRITER_OPTIONS.maxKeys;

/** Number of children of an inner node in one push tree. */
const CHILDREN_PER_INNER_NODE = 6;

/** Number of push trees. */
const PUSH_TREE_COUNT = 2;

/** Interval in s between snapshots. */
const SNAPSHOT_SECONDS = 600;

/** Minimum interval in s between appends of a usage collector. */
const USAGE_APPEND_SECONDS = 2;

const {changesPerSecond} = DERIVED;

/** Bytes that an inner node of both push trees sends beyond those of a leaf. */
export function innerNodeBytes(calculator: FigureCalculator): Figure {
  return calculator.derive(
    ['convergence.bytesPerChildAndChange'],
    'B/s',
    ([perChild = 0]) =>
      perChild * CHILDREN_PER_INNER_NODE * PUSH_TREE_COUNT * changesPerSecond,
  );
}

/** Bytes that the busiest relay sends beyond those of a leaf. */
export function relayBytes(calculator: FigureCalculator): Figure {
  return calculator.derive(
    ['convergence.relayBytesPerChange', 'convergence.leafBytesPerChange'],
    'B/s',
    ([relay = 0, leaf = 0]) => (relay - leaf) * changesPerSecond,
  );
}

/** Claims per second of all services together. */
export const CLAIMS_PER_SECOND =
  DESIGN_SIZE.callsPerSecond / CALLS_PER_KEYED_CALL;

/** Number of keys that one partition receives within the window. */
export const CLAIM_KEYS =
  (CLAIMS_PER_SECOND * CLAIM_WINDOW_SECONDS) / CLAIM_PARTITIONS;

export function claimAppends(calculator: FigureCalculator): Figure {
  return calculator.derive(
    ['claims.appendsPerSecond'],
    'appends/s',
    ([appends = 0]) => appends,
  );
}

/** Bytes that the writer of one partition appends and then reads back. */
export function claimBytes(calculator: FigureCalculator): Figure {
  return calculator.derive(
    ['claims.logBytesPerClaim'],
    'B/s',
    ([bytes = 0]) => (bytes * CLAIMS_PER_SECOND) / CLAIM_PARTITIONS,
  );
}

export function claimCpu(calculator: FigureCalculator): Figure {
  return calculator.derive(
    ['claims.writerMicrosPerClaim', 'claims.foldMicrosPerKey'],
    '% of a core',
    ([write = 0, fold = 0]) =>
      ((write + fold) * CLAIMS_PER_SECOND) / CLAIM_PARTITIONS / 10_000,
  );
}

/** Memory for the keys that one partition retains, up to the maximum. */
export function claimMemory(calculator: FigureCalculator): Figure {
  const keys = Math.min(CLAIM_KEYS, MAX_CLAIM_KEYS);
  return calculator.derive(
    ['claims.heapBytesPerKey'],
    'MiB',
    ([bytes = 0]) => (bytes * keys) / BYTES_PER_MIB,
  );
}

/** Mean rate of bytes appended for snapshots. */
export function snapshotBytes(calculator: FigureCalculator): Figure {
  return calculator.derive(
    ['fold.snapshotBytesPerResource'],
    'B/s',
    ([bytes = 0]) => (bytes * RESOURCES) / SNAPSHOT_SECONDS,
  );
}

/** Appends of all usage collectors, each at its maximum rate. */
export function usageAppends(calculator: FigureCalculator): Figure {
  return calculator.exact(
    DESIGN_SIZE.regions / USAGE_APPEND_SECONDS,
    'appends/s',
  );
}

/** Bytes that a collector appends for its region. */
export function usageSent(calculator: FigureCalculator): Figure {
  return calculator.derive(
    ['usage.bytesPerReport'],
    'B/s',
    ([bytes = 0]) => (bytes * DERIVED.membersPerRegion) / USAGE_REPORT_SECONDS,
  );
}

/** Bytes that a collector reads: the rows of all regions. */
export function usageRead(calculator: FigureCalculator): Figure {
  return calculator.derive(
    ['usage.bytesPerReport'],
    'B/s',
    ([bytes = 0]) => (bytes * DESIGN_SIZE.servers) / USAGE_REPORT_SECONDS,
  );
}

export function usageCpu(calculator: FigureCalculator): Figure {
  return calculator.derive(
    ['usage.foldMicrosPerReport'],
    '% of a core',
    ([micros = 0]) =>
      (micros * DESIGN_SIZE.servers) / USAGE_REPORT_SECONDS / 10_000,
  );
}

export function usageMemory(calculator: FigureCalculator): Figure {
  return calculator.derive(
    ['usage.heapBytesPerNode'],
    'MiB',
    ([bytes = 0]) => (bytes * DESIGN_SIZE.servers) / BYTES_PER_MIB,
  );
}

/**
 * Bytes of the headers, without the contents, of the totals that a collector
 * sends to each node of its region while a customer is near its limit.
 */
export function usageTotalsHeaders(calculator: FigureCalculator): Figure {
  const messages = DERIVED.membersPerRegion / USAGE_APPEND_SECONDS;
  return calculator.exact(messages * TCP_HEADER_BYTES, 'B/s');
}

/** Maximum heartbeat bytes of a collector's connections to its region. */
export function usageHeartbeats(calculator: FigureCalculator): Figure {
  const bytes = heartbeatBytesPerSecond() * DERIVED.membersPerRegion;
  return calculator.exact(bytes, 'B/s');
}

/** Bytes of the summaries that the first gateway of a region sends. */
export function gatewayBytes(calculator: FigureCalculator): Figure {
  const others = DESIGN_SIZE.regions - 1;
  return calculator.exact(
    (others * summaryBytes(GROUPS_PER_SUMMARY)) / 60,
    'B/s',
  );
}

/** Size of the summaries that a gateway stores, in their encoded form. */
export function gatewayState(calculator: FigureCalculator): Figure {
  const others = DESIGN_SIZE.regions - 1;
  const bytes = others * summaryBytes(GROUPS_PER_SUMMARY);
  return calculator.exact(bytes / BYTES_PER_MIB, 'MiB');
}
