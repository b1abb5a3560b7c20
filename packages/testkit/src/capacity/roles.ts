/** What each role costs a node at the design size. */

import {CLAIM_PARTITIONS} from '@turmericmill/routing';

import {DERIVED, DESIGN_SIZE} from './design-size.js';
import {show, type Figure, type FigureBook} from './figures.js';
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
  innerBytes,
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
const SEED_APPENDS_PER_SECOND = (DESIGN_SIZE.dataCentres * 3) / 600;

/** One row of the page. */
export interface RoleRow {
  role: string;
  nodes: string;
  state: string;
  messages: string;
  cpu: string;
  memory: string;
  mechanism: string;
  /** Benchmarks that the figures come from. */
  measuredBy: string;
}

/** All roles of the page. */
export function roleRows(book: FigureBook): RoleRow[] {
  return [
    everyNode(book),
    entryProxy(book),
    relay(book),
    innerNode(book),
    leaf(book),
    claimWriter(book),
    snapshotWriter(book),
    usageCollector(book),
    gateway(book),
    commandLine(),
  ];
}

/** Appends a second that membership makes. */
export function seedAppends(book: FigureBook): Figure {
  return book.exact(SEED_APPENDS_PER_SECOND, 'appends/s');
}

/** Names of the benchmarks whose slopes went into the figures. */
function benchesOf(figures: Figure[]): string {
  const names = figures.flatMap(({from}) =>
    from.map(slope => slope.split('.')[0] ?? ''),
  );
  if (names.length === 0) return 'counted by encoding';
  return [...new Set(names)].sort().join(', ');
}

function everyNode(book: FigureBook): RoleRow {
  const cpu = controlCpu(book);
  const memory = nodeMemory(book);
  return {
    role: 'server-side node (every node)',
    nodes: String(DESIGN_SIZE.servers),
    state: `${DERIVED.membersPerRegion} members, ${show(viewMemory(book))}; ${RESOURCES} resources, ${show(configurationMemory(book))}`,
    messages: 'see "Control bytes"',
    cpu: `control, at most: ${show(cpu)}; of it tables and folds: ${show(tableCpu(book))}`,
    memory: `whole process: ${show(memory)}`,
    mechanism: 'ring probes, gossip, checksums (packages/membership)',
    measuredBy: benchesOf([cpu, memory]),
  };
}

function entryProxy(book: FigureBook): RoleRow {
  const cpu = callsCpu(book, [
    'overhead.cpuMsPerCallEntry',
    'overhead.cpuMsPerCallBeside',
  ]);
  const slowCpu = callsCpu(book, [
    'overhead.slowCpuMsPerCallEntry',
    'overhead.slowCpuMsPerCallBeside',
  ]);
  const memory = nodeMemory(book);
  return {
    role: 'entry proxy (every node)',
    nodes: String(DESIGN_SIZE.servers),
    state: `routing table of ${RESOURCES} resources, open calls`,
    messages: `${DERIVED.callsPerNode} calls/s on average, and as many beside its server`,
    cpu: `calls of both ends (not control): ${show(cpu)} by the cost at the highest rate measured, ${show(slowCpu)} at the lowest`,
    memory: `after load: ${show(memory)}; at 220 connections: not measured`,
    mechanism: 'dispatcher and connections between nodes (packages/node)',
    measuredBy: benchesOf([cpu, memory]),
  };
}

/** Processor time of calls that leave a node and as many that reach it. */
function callsCpu(book: FigureBook, names: SlopeName[]): Figure {
  return book.from(
    names,
    '% of a core',
    ([entry = 0, beside = 0]) => ((entry + beside) * DERIVED.callsPerNode) / 10,
  );
}

function relay(book: FigureBook): RoleRow {
  const relays = DESIGN_SIZE.dataCentres * RELAYS_PER_DATA_CENTRE;
  const bytes = relayBytes(book);
  const cpu = controlCpu(book, 'convergence.maxCpuMsPerSecond');
  return {
    role: 'relay',
    nodes: `${relays} (3 of each data centre)`,
    state: 'as every node',
    messages: `${relays} long polls at the log together; sent beyond a leaf: ${show(bytes)}`,
    cpu: `with all control, at most: ${show(cpu)}`,
    memory: 'as every node',
    mechanism: 'rendezvous hashing; reads only, several are harmless',
    measuredBy: benchesOf([bytes, cpu]),
  };
}

function innerNode(book: FigureBook): RoleRow {
  const bytes = innerBytes(book);
  const cpu = controlCpu(book, 'convergence.maxCpuMsPerSecond');
  return {
    role: 'inner node of the push tree',
    nodes: `a sixth of ${DERIVED.hostsPerDataCentre} of a data centre in each tree`,
    state: 'as every node',
    messages: `sent beyond a leaf, inner in both trees: ${show(bytes)}`,
    cpu: `with all control, at most: ${show(cpu)}`,
    memory: 'as every node',
    mechanism: 'push tree from the membership, deltas, anti-entropy',
    measuredBy: benchesOf([bytes, cpu]),
  };
}

function leaf(book: FigureBook): RoleRow {
  const bytes = book.from(
    ['convergence.leafBytesPerChange'],
    'B/s',
    ([each = 0]) => each * DERIVED.changesPerSecond,
  );
  return {
    role: 'leaf of the push tree',
    nodes: 'all others',
    state: 'as every node',
    messages: `sent for changes: ${show(bytes)}`,
    cpu: 'as every node',
    memory: 'as every node',
    mechanism: 'push tree from the membership, deltas, anti-entropy',
    measuredBy: benchesOf([bytes]),
  };
}

function claimWriter(book: FigureBook): RoleRow {
  const [appends, bytes] = [claimAppends(book), claimBytes(book)];
  const [cpu, memory] = [claimCpu(book), claimMemory(book)];
  return {
    role: 'claim writer',
    nodes: `${CLAIM_PARTITIONS}, 1 for each partition`,
    state: `${CLAIM_KEYS.toLocaleString('en-GB')} keys of 10 minutes in each partition`,
    messages: `if 1 call in ${CALLS_PER_KEYED_CALL} carries a key, ${CLAIMS_PER_SECOND.toLocaleString('en-GB')}/s: ${show(appends)} in all; ${show(bytes)} appended by each and read again`,
    cpu: show(cpu),
    memory: `of the keys it may hold: ${show(memory)}`,
    mechanism: 'batches in a stream of the log; first in its order wins',
    measuredBy: benchesOf([appends, bytes, cpu, memory]),
  };
}

function snapshotWriter(book: FigureBook): RoleRow {
  const bytes = snapshotBytes(book);
  return {
    role: 'snapshot writer',
    nodes: '1, others when it is gone',
    state: 'as every node',
    messages: `a snapshot each 10 minutes, on average: ${show(bytes)}`,
    cpu: 'not measured',
    memory: 'as every node',
    mechanism: "content is a function of the log's prefix",
    measuredBy: benchesOf([bytes]),
  };
}

function usageCollector(book: FigureBook): RoleRow {
  const [sent, read] = [usageSent(book), usageRead(book)];
  const [cpu, memory] = [usageCpu(book), usageMemory(book)];
  return {
    role: 'usage collector',
    nodes: `${DESIGN_SIZE.regions} (1 of each region)`,
    state: `rows of all ${DESIGN_SIZE.servers} nodes`,
    messages: `${show(usageAppends(book))} in all, at most; appended by each: ${show(sent)}, read by each: ${show(read)}`,
    cpu: `folding, 5 customers a node: ${show(cpu)}`,
    memory: `rows: ${show(memory)}`,
    mechanism: 'cumulative counters; repeats add nothing',
    measuredBy: benchesOf([sent, read, cpu, memory]),
  };
}

function gateway(book: FigureBook): RoleRow {
  const others = DESIGN_SIZE.regions - 1;
  return {
    role: 'gateway',
    nodes: `${DESIGN_SIZE.regions * GATEWAYS_PER_REGION} (3 of each region)`,
    state: `${others} summaries, ${show(gatewayState(book))} as they are sent`,
    messages: `sent by the first of a region: ${show(gatewayBytes(book))}`,
    cpu: 'not measured',
    memory: 'as its state',
    mechanism: 'summaries each minute, the newest counts',
    measuredBy: benchesOf([gatewayBytes(book)]),
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
