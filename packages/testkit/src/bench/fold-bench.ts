/**
 * Measures the cost of folding a record and of building a routing table, by the
 * size of the resource set.
 */

import {digestOf, referencesOf} from '@turmericmill/config';
import type {ResourceMap} from '@turmericmill/config';
import {
  buildPublication,
  emptyConfigState,
  encodeSnapshot,
  foldRecord,
  MAX_PARTS,
} from '@turmericmill/distribution';
import type {ConfigState} from '@turmericmill/distribution';
import {RoutingTable} from '@turmericmill/routing';

import {fitLine, writeSlopes, type SlopeName} from '../capacity/slopes.js';

import {
  Bench,
  commandOf,
  numberOption,
  numbersOption,
  type BenchOptions,
} from './bench.js';
import {benchResources, benchService} from './config-fleet.js';

/** Maximum number of resources in one publication of the initial set. */
const PUBLICATION_SIZE = 5000;

/** Number of records folded before the measurement. */
const WARM_UP_RECORDS = 200;

interface Row {
  resources: number;
  foldMicrosPerRecord: number;
  /** Ratio of the fold time per record to the time of the baseline. */
  ratioToWholeSetCheck: number;
  /** Time of the baseline, which checks the whole resource set. */
  wholeSetCheckMs: number;
  routingTableMs: number;
  heapBytes: number;
  snapshotBytes: number;
}

/** Folds single changes into resource sets of several sizes. */
class FoldBench extends Bench {
  override readonly summary =
    'Cost of a change by the size of the resource set';

  /** Also writes the slopes to the file given as `--slopes`. */
  override run(options: BenchOptions): Promise<object> {
    const sizes = numbersOption(options, 'resources', [300, 3000, 30_000]);
    const records = numberOption(options, 'records', 1000);
    const rows = sizes.map(size => measure(size, records));
    const {slopes: slopesFile} = options;
    if (slopesFile) {
      writeSlopes(slopesFile, commandOf('fold', options), slopesOf(rows));
    }
    return Promise.resolve({bench: 'fold', records, rows});
  }
}

/**
 * Returns the slopes over the sizes. The time per record is not a slope but the
 * maximum of all sizes.
 */
function slopesOf(rows: Row[]): Partial<Record<SlopeName, number>> {
  const slopeOf = (field: 'routingTableMs' | 'heapBytes' | 'snapshotBytes') =>
    fitLine(rows.map(row => ({x: row.resources, y: row[field]}))).slope;
  return {
    'fold.microsPerRecord': Math.max(
      ...rows.map(row => row.foldMicrosPerRecord),
    ),
    'fold.tableMsPerResource': slopeOf('routingTableMs'),
    'fold.heapBytesPerResource': slopeOf('heapBytes'),
    'fold.snapshotBytesPerResource': slopeOf('snapshotBytes'),
  };
}

function measure(size: number, records: number): Row {
  globalThis.gc?.();
  const heapBefore = process.memoryUsage().heapUsed;
  let state = initialState(size);
  globalThis.gc?.();
  const heapBytes = process.memoryUsage().heapUsed - heapBefore;
  state = foldChanges(state, WARM_UP_RECORDS);
  const startMs = performance.now();
  state = foldChanges(state, records);
  const foldMs = (performance.now() - startMs) / records;
  const wholeSetMs = meanMs(() => checkWholeSet(state.resources));
  const tableMs = meanMs(() => RoutingTable.build(state.resources));
  const header = {writer: 'bench', atMs: 0, bridge: false};
  const snapshotBytes = encodeSnapshot(state, header).join('').length;
  return {
    resources: size,
    foldMicrosPerRecord: Math.round(foldMs * 1000),
    ratioToWholeSetCheck: Number((foldMs / wholeSetMs).toPrecision(3)),
    wholeSetCheckMs: Number(wholeSetMs.toPrecision(3)),
    routingTableMs: Number(tableMs.toPrecision(3)),
    heapBytes,
    snapshotBytes,
  };
}

function initialState(size: number): ConfigState {
  const resources = benchResources(size);
  let state = emptyConfigState();
  for (let start = 0; start < resources.length; start += PUBLICATION_SIZE) {
    const chunk = resources.slice(start, start + PUBLICATION_SIZE);
    const writes = chunk.map(resource => ({key: resource.key, resource}));
    state = publish(state, `initial-${start}`, writes);
  }
  return state;
}

function foldChanges(state: ConfigState, count: number): ConfigState {
  let current = state;
  for (let change = 0; change < count; change++) {
    const service = benchService(change % 100, 1000 + current.nextOffset);
    const writes = [{key: service.key, resource: service}];
    current = publish(current, `p${current.nextOffset}`, writes);
  }
  return current;
}

function publish(
  state: ConfigState,
  id: string,
  writes: Parameters<typeof buildPublication>[0]['writes'],
): ConfigState {
  const base = state.version;
  const fields = {id, team: 'bench', author: 'bench', base, writes};
  const bodies = buildPublication(fields).unwrap();
  if (bodies.length > MAX_PARTS) throw new Error('Publication too large.');
  return bodies.reduce(
    (current, body) =>
      foldRecord(current, {offset: current.nextOffset, body}).state,
    state,
  );
}

/**
 * The baseline: copies the resource set, checks all its references and computes
 * its digest.
 */
function checkWholeSet(resources: ResourceMap): string {
  const copy = new Map(resources);
  for (const resource of copy.values()) {
    const missing = referencesOf(resource).find(key => !copy.has(key));
    if (missing !== undefined) throw new Error(`Missing resource ${missing}`);
  }
  return digestOf(copy);
}

/** Returns the mean elapsed time of one run of `action` in ms. */
function meanMs(action: () => unknown): number {
  const runs = 20;
  action();
  const startMs = performance.now();
  for (let run = 0; run < runs; run++) action();
  return (performance.now() - startMs) / runs;
}

export const bench: Bench = new FoldBench();
