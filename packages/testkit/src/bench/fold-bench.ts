/** Cost of folding a record and of a new table, by the size of the set. */

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

/** Resources of one publication of the initial set. */
const CHUNK = 5000;

const WARM_UP_RECORDS = 200;

interface Row {
  resources: number;
  foldMicrosPerRecord: number;
  ratioToWholeSetCheck: number;
  wholeSetCheckMs: number;
  routingTableMs: number;
  heapBytes: number;
  snapshotBytes: number;
}

/** Folds single changes against sets of several sizes. */
class FoldBench extends Bench {
  override readonly summary = 'Cost of a change by the size of the set';

  /** Writes slopes into the file `--slopes`. */
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

/** Slopes over the sizes; the time of a record is the longest of them. */
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
  const wholeMs = timeOf(() => checkWhole(state.resources));
  const tableMs = timeOf(() => RoutingTable.build(state.resources));
  const header = {writer: 'bench', atMs: 0, bridge: false};
  const snapshotBytes = encodeSnapshot(state, header).join('').length;
  return {
    resources: size,
    foldMicrosPerRecord: Math.round(foldMs * 1000),
    ratioToWholeSetCheck: Number((foldMs / wholeMs).toPrecision(3)),
    wholeSetCheckMs: Number(wholeMs.toPrecision(3)),
    routingTableMs: Number(tableMs.toPrecision(3)),
    heapBytes,
    snapshotBytes,
  };
}

function initialState(size: number): ConfigState {
  const resources = benchResources(size);
  let state = emptyConfigState();
  for (let start = 0; start < resources.length; start += CHUNK) {
    const chunk = resources.slice(start, start + CHUNK);
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
  if (bodies.length > MAX_PARTS) throw new Error('The chunk is too large.');
  return bodies.reduce(
    (current, body) =>
      foldRecord(current, {offset: current.nextOffset, body}).state,
    state,
  );
}

/** The baseline: copy the set, check every reference and digest it anew. */
function checkWhole(resources: ResourceMap): string {
  const copy = new Map(resources);
  for (const resource of copy.values()) {
    const missing = referencesOf(resource).find(key => !copy.has(key));
    if (missing !== undefined) throw new Error(`Dangling: ${missing}`);
  }
  return digestOf(copy);
}

function timeOf(action: () => unknown): number {
  const runs = 20;
  action();
  const startMs = performance.now();
  for (let run = 0; run < runs; run++) action();
  return (performance.now() - startMs) / runs;
}

export const bench: Bench = new FoldBench();
