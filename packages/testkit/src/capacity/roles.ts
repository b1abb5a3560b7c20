/** Cost of each role at the design size. */

import {CLAIM_PARTITIONS} from '@turmericmill/routing';

import {DERIVED, DESIGN_SIZE} from './design-size.js';
import {formatFigure, type Figure, type FigureCalculator} from './figures.js';
import {
  configurationMemory,
  controlCpu,
  nodeMemory,
  RESOURCES,
  tableCpu,
  viewMemory,
} from './node-cost.js';
import {
  CALLS_PER_KEYED_CALL,
  CLAIM_KEYS,
  claimAppends,
  claimBytes,
  claimCpu,
  claimMemory,
  CLAIMS_PER_SECOND,
  gatewayBytes,
  gatewayState,
  innerNodeBytes,
  relayBytes,
  snapshotBytes,
  usageAppends,
  usageCpu,
  usageMemory,
  usageRead,
  usageSent,
} from './role-figures.js';
import type {SlopeName} from './slopes.js';

const GATEWAYS_PER_REGION = 3;
const RELAYS_PER_DATA_CENTRE = 3;
/** Three seeds of each data centre append once in 10 minutes. */
const SEED_APPENDS_PER_SECOND = (DESIGN_SIZE.dataCentres * 3) / 600;

/** One row of the roles table. */
export interface RoleRow {
  role: string;
  nodes: string;
  state: string;
  messages: string;
  cpu: string;
  memory: string;
  mechanism: string;
  /** Benchmarks that measured the figures. */
  measuredBy: string;
}

/** Rows of all roles. */
export function roleRows(calculator: FigureCalculator): RoleRow[] {
  return [
    everyNode(calculator),
    entryProxy(calculator),
    relay(calculator),
    innerNode(calculator),
    leaf(calculator),
    claimWriter(calculator),
    snapshotWriter(calculator),
    usageCollector(calculator),
    gateway(calculator),
    commandLine(),
  ];
}

/** Log appends per second by membership. */
export function seedAppends(calculator: FigureCalculator): Figure {
  return calculator.exact(SEED_APPENDS_PER_SECOND, 'appends/s');
}

/** Names of the benchmarks whose slopes the figures use. */
function listBenchmarks(figures: Figure[]): string {
  const names = figures.flatMap(({from}) =>
    from.map(slope => slope.split('.')[0] ?? ''),
  );
  if (names.length === 0) return 'counted by encoding';
  return [...new Set(names)].sort().join(', ');
}

function everyNode(calculator: FigureCalculator): RoleRow {
  const cpu = controlCpu(calculator);
  const memory = nodeMemory(calculator);
  return {
    role: 'server-side node (every node)',
    nodes: String(DESIGN_SIZE.servers),
    state: `${DERIVED.membersPerRegion} members, ${formatFigure(viewMemory(calculator))}; ${RESOURCES} resources, ${formatFigure(configurationMemory(calculator))}`,
    messages: 'see "Control bytes"',
    cpu: `control, at most: ${formatFigure(cpu)}; of it tables and folds: ${formatFigure(tableCpu(calculator))}`,
    memory: `whole process: ${formatFigure(memory)}`,
    mechanism: 'ring probes, gossip, checksums (packages/membership)',
    measuredBy: listBenchmarks([cpu, memory]),
  };
}

function entryProxy(calculator: FigureCalculator): RoleRow {
  const cpu = callsCpu(calculator, [
    'overhead.cpuMsPerCallEntry',
    'overhead.cpuMsPerCallBeside',
  ]);
  const slowCpu = callsCpu(calculator, [
    'overhead.slowCpuMsPerCallEntry',
    'overhead.slowCpuMsPerCallBeside',
  ]);
  const memory = nodeMemory(calculator);
  return {
    role: 'entry proxy (every node)',
    nodes: String(DESIGN_SIZE.servers),
    state: `routing table of ${RESOURCES} resources, open calls`,
    messages: `${DERIVED.callsPerNode} calls/s on average, and as many beside its server`,
    cpu: `calls of both ends (not control): ${formatFigure(cpu)} by the cost at the highest rate measured, ${formatFigure(slowCpu)} at the lowest`,
    memory: `after load: ${formatFigure(memory)}; at 220 connections: not measured`,
    mechanism: 'dispatcher and connections between nodes (packages/node)',
    measuredBy: listBenchmarks([cpu, memory]),
  };
}

/** CPU time of the outgoing calls of a node and of as many incoming ones. */
function callsCpu(calculator: FigureCalculator, names: SlopeName[]): Figure {
  return calculator.derive(
    names,
    '% of a core',
    ([entry = 0, beside = 0]) => ((entry + beside) * DERIVED.callsPerNode) / 10,
  );
}

function relay(calculator: FigureCalculator): RoleRow {
  const relays = DESIGN_SIZE.dataCentres * RELAYS_PER_DATA_CENTRE;
  const bytes = relayBytes(calculator);
  const cpu = controlCpu(calculator, 'convergence.maxCpuMsPerSecond');
  return {
    role: 'relay',
    nodes: `${relays} (3 of each data centre)`,
    state: 'as every node',
    messages: `${relays} long polls at the log together; sent beyond a leaf: ${formatFigure(bytes)}`,
    cpu: `with all control, at most: ${formatFigure(cpu)}`,
    memory: 'as every node',
    mechanism: 'rendezvous hashing; reads only, several are harmless',
    measuredBy: listBenchmarks([bytes, cpu]),
  };
}

function innerNode(calculator: FigureCalculator): RoleRow {
  const bytes = innerNodeBytes(calculator);
  const cpu = controlCpu(calculator, 'convergence.maxCpuMsPerSecond');
  return {
    role: 'inner node of the push tree',
    nodes: `a sixth of ${DERIVED.hostsPerDataCentre} of a data centre in each tree`,
    state: 'as every node',
    messages: `sent beyond a leaf, inner in both trees: ${formatFigure(bytes)}`,
    cpu: `with all control, at most: ${formatFigure(cpu)}`,
    memory: 'as every node',
    mechanism: 'push tree from the membership, deltas, anti-entropy',
    measuredBy: listBenchmarks([bytes, cpu]),
  };
}

function leaf(calculator: FigureCalculator): RoleRow {
  const bytes = calculator.derive(
    ['convergence.leafBytesPerChange'],
    'B/s',
    ([perChange = 0]) => perChange * DERIVED.changesPerSecond,
  );
  return {
    role: 'leaf of the push tree',
    nodes: 'all others',
    state: 'as every node',
    messages: `sent for changes: ${formatFigure(bytes)}`,
    cpu: 'as every node',
    memory: 'as every node',
    mechanism: 'push tree from the membership, deltas, anti-entropy',
    measuredBy: listBenchmarks([bytes]),
  };
}

function claimWriter(calculator: FigureCalculator): RoleRow {
  const [appends, bytes] = [claimAppends(calculator), claimBytes(calculator)];
  const [cpu, memory] = [claimCpu(calculator), claimMemory(calculator)];
  return {
    role: 'claim writer',
    nodes: `${CLAIM_PARTITIONS}, 1 for each partition`,
    state: `${CLAIM_KEYS.toLocaleString('en-GB')} keys of 10 minutes in each partition`,
    messages: `if 1 call in ${CALLS_PER_KEYED_CALL} carries a key, ${CLAIMS_PER_SECOND.toLocaleString('en-GB')}/s: ${formatFigure(appends)} in all; ${formatFigure(bytes)} appended by each and read again`,
    cpu: formatFigure(cpu),
    memory: `of the keys it may hold: ${formatFigure(memory)}`,
    mechanism: 'batches in a stream of the log; first in its order wins',
    measuredBy: listBenchmarks([appends, bytes, cpu, memory]),
  };
}

function snapshotWriter(calculator: FigureCalculator): RoleRow {
  const bytes = snapshotBytes(calculator);
  return {
    role: 'snapshot writer',
    nodes: '1, others when it is gone',
    state: 'as every node',
    messages: `a snapshot each 10 minutes, on average: ${formatFigure(bytes)}`,
    cpu: 'not measured',
    memory: 'as every node',
    mechanism: "content is a function of the log's prefix",
    measuredBy: listBenchmarks([bytes]),
  };
}

function usageCollector(calculator: FigureCalculator): RoleRow {
  const [sent, read] = [usageSent(calculator), usageRead(calculator)];
  const [cpu, memory] = [usageCpu(calculator), usageMemory(calculator)];
  return {
    role: 'usage collector',
    nodes: `${DESIGN_SIZE.regions} (1 of each region)`,
    state: `rows of all ${DESIGN_SIZE.servers} nodes`,
    messages: `${formatFigure(usageAppends(calculator))} in all, at most; appended by each: ${formatFigure(sent)}, read by each: ${formatFigure(read)}`,
    cpu: `folding, 5 customers a node: ${formatFigure(cpu)}`,
    memory: `rows: ${formatFigure(memory)}`,
    mechanism: 'cumulative counters; repeats add nothing',
    measuredBy: listBenchmarks([sent, read, cpu, memory]),
  };
}

function gateway(calculator: FigureCalculator): RoleRow {
  const others = DESIGN_SIZE.regions - 1;
  return {
    role: 'gateway',
    nodes: `${DESIGN_SIZE.regions * GATEWAYS_PER_REGION} (3 of each region)`,
    state: `${others} summaries, ${formatFigure(gatewayState(calculator))} as they are sent`,
    messages: `sent by the first of a region: ${formatFigure(gatewayBytes(calculator))}`,
    cpu: 'not measured',
    memory: 'as its state',
    mechanism: 'summaries each minute, the newest counts',
    measuredBy: listBenchmarks([gatewayBytes(calculator)]),
  };
}

function commandLine(): RoleRow {
  return {
    role: "operator's command line",
    nodes: 'few',
    state: 'one file set',
    messages: 'one append, or one question to one node',
    cpu: 'not measured',
    memory: 'not measured',
    mechanism: 'versions in force are summed up the push tree',
    measuredBy: 'nothing',
  };
}
