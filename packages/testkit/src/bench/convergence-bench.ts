/** Convergence time and control bytes, against nodes that poll the log. */

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
const SETTLE_MS = 8000;

/** Time in ms without a change in which quiet bytes are counted. */
const QUIET_MS = 20_000;

/** The preference whose figures the capacity page takes: it sends more. */
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
  p50Ms: number;
  p99Ms: number;
  maxMs: number;
  missed: number;
  falls: number;
  meshBytesPerNodePerSecond: number;
  logBytesPerSecond: number;
  logReads: number;
  /** All bytes of the run, mesh and log, for each change. */
  bytesPerChange: number;
  cpuPercentPerNode: number;
  residentMiB: number;
  /** Processor time of the busiest node. */
  maxCpuPercent: number;
  /** Absent for the baseline, which sends nothing to other nodes. */
  roles?: RoleBytes;
}

/** Figures with their ratios to the baseline of the same run. */
interface Row extends Figures {
  ratioP99: number;
  ratioBytes: number;
}

/** Each mode in turn at each size of the fleet. */
class ConvergenceBench extends Bench {
  override readonly summary = 'Time and bytes until all nodes enforce a change';

  /** Writes slopes of the last size into the file `--slopes`. */
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

/** Figures of the largest fleet, at one change in a second. */
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
    const quiet = await fleet.sentDuring(() => sleep(QUIET_MS));
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
  let accepted = new Map<number, number>();
  const busy = await fleet.sentDuring(async () => {
    accepted = await publishChanges(fleet, load, resources);
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
    ...delays(fleet, accepted),
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

/** Publishes all changes and waits until they are in force everywhere. */
async function publishChanges(
  fleet: ConfigFleet,
  load: Load,
  resources: Resource[],
): Promise<Map<number, number>> {
  const accepted = new Map<number, number>();
  for (let change = 0; change < load.changes; change++) {
    const service = benchService(change % 100, 900 + change);
    const index = resources.findIndex(item => item.key === service.key);
    resources[index] = service;
    const atMs = Date.now();
    const writes = [{key: service.key, resource: service}];
    accepted.set(fleet.publish(writes, resources), atMs);
    await sleep(load.gapMs);
  }
  const last = [...accepted.keys()].at(-1) ?? -1;
  await fleet.waitUntilEnforced(last, ENFORCED_TIMEOUT_MS);
  return accepted;
}

/** Delays from acceptance until a node enforces that version or a later one. */
function delays(fleet: ConfigFleet, accepted: Map<number, number>) {
  const all: number[] = [];
  let missed = 0;
  for (const node of fleet.nodes) {
    for (const [version, atMs] of accepted) {
      const times = [...node.enforcedAtMs]
        .filter(([enforced]) => enforced >= version)
        .map(([, enforcedAtMs]) => enforcedAtMs);
      if (times.length === 0) missed++;
      else all.push(Math.min(...times) - atMs);
    }
  }
  all.sort((a, b) => a - b);
  const at = (part: number) => all[Math.ceil(part * all.length) - 1] ?? 0;
  return {p50Ms: at(0.5), p99Ms: at(0.99), maxMs: at(1), missed};
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
