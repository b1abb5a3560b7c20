/**
 * Measures convergence time and control bytes, compared with nodes that poll
 * the log.
 */

import type {Resource} from '@turmericmill/config';

import type {ConfigNodeMode} from '../config-node/messages.js';
import {writeSlopes, type SlopeName} from '../capacity/slopes.js';
import {cpuTimeMs, residentBytes} from '../launch/cpu-time.js';
import {
  Bench,
  commandOf,
  numberOption,
  numbersOption,
  type BenchOptions,
} from './bench.js';
import {benchResources, benchService, ConfigFleet} from './config-fleet.js';
import {roleBytes, type RoleBytes, type SentFigures} from './config-roles.js';

const MODES: readonly ConfigNodeMode[] = ['convergence', 'bytes', 'poll'];
const ENFORCED_TIMEOUT_MS = 30_000;
/** Time after the start of the fleet before the measurement. */
const SETTLE_MS = 8000;

/** Duration of the measurement without changes. */
const QUIET_MS = 20_000;

/**
 * The mode whose figures the capacity page uses: of the two preferences, the
 * one that sends more bytes.
 */
const SLOPE_MODE: ConfigNodeMode = 'convergence';

interface Load {
  nodes: number;
  resources: number;
  changes: number;
  /** Time in ms between two changes. */
  gapMs: number;
}

interface Figures {
  mode: ConfigNodeMode;
  nodes: number;
  resources: number;
  /** Time from a publication until a node enforces it or a later one. */
  p50Ms: number;
  p99Ms: number;
  maxMs: number;
  /** Number of pairs of a node and a change that it did not enforce in time. */
  missed: number;
  /** Number of times that the version of a node decreased. */
  falls: number;
  meshBytesPerNodePerSecond: number;
  logBytesPerSecond: number;
  logReads: number;
  /** All bytes of the mesh and the log, also the quiet ones, per change. */
  bytesPerChange: number;
  cpuPercentPerNode: number;
  /** Mean of all nodes. */
  residentMiB: number;
  /** CPU usage of the busiest node. */
  maxCpuPercent: number;
  /** Absent for the baseline, whose nodes send nothing to each other. */
  roles?: RoleBytes;
}

/** Figures with their ratios to the baseline of the same run. */
interface Row extends Figures {
  ratioP99: number;
  ratioBytes: number;
}

/** Measures each mode in turn at each fleet size. */
class ConvergenceBench extends Bench {
  override readonly summary = 'Time and bytes until all nodes enforce a change';

  /** Also writes the slopes of the last size to the file given as `--slopes`. */
  override async run(options: BenchOptions): Promise<object> {
    const sizes = numbersOption(options, 'nodes', [12, 50, 100, 200]);
    const resourceCounts = numbersOption(options, 'resources', [300]);
    const changes = numberOption(options, 'changes', 20);
    const gapMs = numberOption(options, 'gapMs', 1000);
    const rows: Row[] = [];
    for (const nodes of sizes) {
      for (const resources of resourceCounts) {
        const load = {nodes, resources, changes, gapMs};
        const figures: Figures[] = [];
        for (const mode of MODES) figures.push(await measure(mode, load));
        rows.push(...figures.map(row => withRatios(row, figures)));
      }
    }
    const {slopes: slopesFile} = options;
    if (slopesFile) {
      const command = commandOf('convergence', options);
      writeSlopes(slopesFile, command, slopesOf(rows));
    }
    return {bench: 'convergence', changes, gapMs, rows};
  }
}

/**
 * Returns the slopes from the last size, usually the largest fleet. They apply
 * to one change per second, the default of `--gapMs`.
 */
function slopesOf(rows: Figures[]): Partial<Record<SlopeName, number>> {
  const row = rows.filter(({mode}) => mode === SLOPE_MODE).at(-1);
  if (!row?.roles) return {};
  const {roles} = row;
  return {
    'convergence.quietBytesPerSecond': roles.quietBytesPerSecond,
    'convergence.leafBytesPerChange': roles.leafBytesPerChange,
    'convergence.bytesPerChildAndChange': roles.bytesPerChildAndChange,
    'convergence.relayBytesPerChange': roles.relayBytesPerChange,
    'convergence.cpuMsPerSecond': row.cpuPercentPerNode * 10,
    'convergence.maxCpuMsPerSecond': row.maxCpuPercent * 10,
    'convergence.residentMiB': row.residentMiB,
  };
}

async function measure(mode: ConfigNodeMode, load: Load): Promise<Figures> {
  const fleet = new ConfigFleet(mode);
  const resources = benchResources(load.resources);
  try {
    await fleet.start(load.nodes, resources);
    await sleep(SETTLE_MS);
    const quiet = await fleet.measureSent(() => sleep(QUIET_MS));
    return await measureChanges(mode, fleet, load, resources, quiet);
  } finally {
    await fleet.stop();
  }
}

async function measureChanges(
  mode: ConfigNodeMode,
  fleet: ConfigFleet,
  load: Load,
  resources: Resource[],
  quiet: readonly SentFigures[],
): Promise<Figures> {
  const logBefore = {...fleet.log.counts};
  const cpuBefore = fleet.nodes.map(node => cpuTimeMs(node.pid));
  const startMs = Date.now();
  let publishedAtMs = new Map<number, number>();
  const busy = await fleet.measureSent(async () => {
    publishedAtMs = await publishChanges(fleet, load, resources);
  });
  const seconds = (Date.now() - startMs) / 1000;
  const meshBytes = busy.reduce((sum, node) => sum + node.controlBytes, 0);
  const {counts} = fleet.log;
  const logBytes =
    counts.bytesOut - logBefore.bytesOut + counts.bytesIn - logBefore.bytesIn;
  const cpuMs = fleet.nodes.map(
    (node, index) => cpuTimeMs(node.pid) - (cpuBefore[index] ?? 0),
  );
  const resident = fleet.nodes.map(node => residentBytes(node.pid));
  return {
    mode,
    nodes: load.nodes,
    resources: load.resources,
    ...delayFigures(fleet, publishedAtMs),
    falls: fleet.nodes.reduce((sum, node) => sum + node.falls, 0),
    meshBytesPerNodePerSecond: round(meshBytes / load.nodes / seconds),
    logBytesPerSecond: round(logBytes / seconds),
    logReads: counts.reads - logBefore.reads,
    bytesPerChange: round((meshBytes + logBytes) / load.changes),
    cpuPercentPerNode: round(mean(cpuMs) / seconds / 10),
    residentMiB: round(mean(resident) / 1024 / 1024),
    maxCpuPercent: round(Math.max(...cpuMs) / seconds / 10),
    ...(mode === 'poll'
      ? {}
      : {
          roles: roleBytes(mode, quiet, busy, {
            quietSeconds: QUIET_MS / 1000,
            seconds,
            changes: load.changes,
          }),
        }),
  };
}

/**
 * Publishes all changes and waits until all nodes enforce them. Returns the time
 * of each publication in ms by version.
 */
async function publishChanges(
  fleet: ConfigFleet,
  load: Load,
  resources: Resource[],
): Promise<Map<number, number>> {
  const publishedAtMs = new Map<number, number>();
  for (let change = 0; change < load.changes; change++) {
    const service = benchService(change % 100, 900 + change);
    const index = resources.findIndex(item => item.key === service.key);
    resources[index] = service;
    const nowMs = Date.now();
    const writes = [{key: service.key, resource: service}];
    publishedAtMs.set(fleet.publish(writes, resources), nowMs);
    await sleep(load.gapMs);
  }
  const lastVersion = [...publishedAtMs.keys()].at(-1) ?? -1;
  await fleet.waitUntilEnforced(lastVersion, ENFORCED_TIMEOUT_MS);
  return publishedAtMs;
}

/**
 * Summarizes the delays from a publication until each node enforces that version
 * or a later one.
 */
function delayFigures(fleet: ConfigFleet, publishedAtMs: Map<number, number>) {
  const delaysMs: number[] = [];
  let missed = 0;
  for (const node of fleet.nodes) {
    for (const [version, startMs] of publishedAtMs) {
      const times = [...node.enforcedAtMs]
        .filter(([enforced]) => enforced >= version)
        .map(([, enforcedAtMs]) => enforcedAtMs);
      if (times.length === 0) missed++;
      else delaysMs.push(Math.min(...times) - startMs);
    }
  }
  delaysMs.sort((a, b) => a - b);
  const quantile = (fraction: number) =>
    delaysMs[Math.ceil(fraction * delaysMs.length) - 1] ?? 0;
  return {
    p50Ms: quantile(0.5),
    p99Ms: quantile(0.99),
    maxMs: quantile(1),
    missed,
  };
}

function withRatios(row: Figures, figures: readonly Figures[]): Row {
  const baseline = figures.find(item => item.mode === 'poll') as Figures;
  return {
    ...row,
    ratioP99: round(row.p99Ms / baseline.p99Ms),
    ratioBytes: round(row.bytesPerChange / baseline.bytesPerChange),
  };
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

export const bench: Bench = new ConvergenceBench();
