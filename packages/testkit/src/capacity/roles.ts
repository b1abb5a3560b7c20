/** What each role costs a node at the design size. */

import {DERIVED, DESIGN_SIZE} from './design-size.js';
import {
  GROUPS_PER_REGION,
  heartbeatBytesPerSecond,
  spreadSummaryBytes,
  summaryBytes,
} from './exact-sizes.js';
import {show, type Figure, type FigureBook} from './figures.js';

const BYTES_PER_MIB = 1024 * 1024;

/** Changes of a member that one restart makes: drain, leave, join, ready. */
const CHANGES_PER_RESTART = 4;

/** Nodes to which each member passes a summary, and summaries a second. */
const SUMMARY_FAN_OUT = 3;
const SUMMARIES_PER_SECOND = DESIGN_SIZE.regions / 60;

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
}

/** Control bytes that each node sends in a second, by part. */
export function controlBytes(book: FigureBook): Record<string, Figure> {
  const {membersPerRegion, churnPerRegion, changesPerSecond} = DERIVED;
  return {
    'membership, quiet': book.from(
      ['membership.quietBytesBase', 'membership.quietBytesPerMember'],
      'B/s',
      ([base = 0, perMember = 0]) => base + perMember * membersPerRegion,
    ),
    'membership, daily churn': book.from(
      ['membership.bytesPerChange'],
      'B/s',
      ([bytes = 0]) => bytes * churnPerRegion * CHANGES_PER_RESTART,
    ),
    'summaries of regions': book.exact(
      SUMMARIES_PER_SECOND * SUMMARY_FAN_OUT * (spreadSummaryBytes() + 28),
      'B/s',
    ),
    'configuration, leaf of the tree': book.from(
      ['convergence.leafBytesPerChange'],
      'B/s',
      ([bytes = 0]) => bytes * changesPerSecond,
    ),
  };
}

/** Heartbeats of one open connection between nodes, one way. */
export function heartbeatBytes(book: FigureBook): Figure {
  return book.exact(heartbeatBytesPerSecond(), 'B/s');
}

/** Memory of the view of a region. */
export function viewMemory(book: FigureBook): Figure {
  return book.from(
    ['membership.heapBytesPerMember'],
    'MiB',
    ([bytes = 0]) => (bytes * DERIVED.membersPerRegion) / BYTES_PER_MIB,
  );
}

/** All roles of the page. */
export function roleRows(book: FigureBook): RoleRow[] {
  return [
    everyNode(book),
    entryProxy(book),
    relay(book),
    innerNode(book),
    claimWriter(book),
    snapshotWriter(),
    usageAggregator(),
    gateway(book),
    commandLine(),
  ];
}

function everyNode(book: FigureBook): RoleRow {
  const cpu = book.from(
    ['membership.agentCpuMsPerSecond'],
    '% of a core',
    ([ms = 0]) => ms / 10,
  );
  const resident = book.from(
    ['membership.agentResidentMiB'],
    'MiB',
    ([mib = 0]) => mib,
  );
  const {membersPerRegion} = DERIVED;
  return {
    role: 'server-side node (every node)',
    nodes: String(DESIGN_SIZE.servers),
    state: `${membersPerRegion} members, ${show(viewMemory(book))}`,
    messages: 'see "Control bytes"',
    cpu: `membership: ${show(cpu)}`,
    memory: `process with membership alone: ${show(resident)}`,
    mechanism: 'ring probes, gossip, checksums (packages/membership)',
  };
}

function entryProxy(book: FigureBook): RoleRow {
  const cpu = book.from(
    ['overhead.cpuMsPerCall'],
    '% of a core',
    ([ms = 0]) => (ms * DERIVED.callsPerNode) / 10,
  );
  const table = book.from(
    ['convergence.heapBytesPerResource'],
    'MiB',
    ([bytes = 0]) => (bytes * DESIGN_SIZE.services * 3) / BYTES_PER_MIB,
  );
  return {
    role: 'entry proxy (every node)',
    nodes: String(DESIGN_SIZE.servers),
    state: `routing table of ${DESIGN_SIZE.services} services with group and route each: ${show(table)}`,
    messages: `${DERIVED.callsPerNode} calls/s on average`,
    cpu: `calls (not control): ${show(cpu)}`,
    memory: 'open calls and connections: not measured',
    mechanism: 'dispatcher and connections between nodes (packages/node)',
  };
}

function relay(book: FigureBook): RoleRow {
  const relays = DESIGN_SIZE.dataCentres * RELAYS_PER_DATA_CENTRE;
  const bytes = book.from(
    ['convergence.relayBytesPerChange'],
    'B/s',
    ([each = 0]) => each * DERIVED.changesPerSecond,
  );
  return {
    role: 'relay',
    nodes: `${relays} (3 of each data centre)`,
    state: 'as every node',
    messages: `${relays} long polls at the log together; sent: ${show(bytes)}`,
    cpu: 'not measured',
    memory: 'not measured',
    mechanism: 'rendezvous hashing; reads only, several are harmless',
  };
}

function innerNode(book: FigureBook): RoleRow {
  const bytes = book.from(
    ['convergence.innerBytesPerChange'],
    'B/s',
    ([each = 0]) => each * DERIVED.changesPerSecond,
  );
  const cpu = book.from(
    ['convergence.cpuMsPerChange'],
    '% of a core',
    ([ms = 0]) => (ms * DERIVED.changesPerSecond) / 10,
  );
  return {
    role: 'inner node of the push tree',
    nodes: `within ${DERIVED.hostsPerDataCentre} of a data centre`,
    state: 'as every node',
    messages: `sent: ${show(bytes)}`,
    cpu: show(cpu),
    memory: 'not measured',
    mechanism: 'push tree from the membership, deltas, anti-entropy',
  };
}

function claimWriter(book: FigureBook): RoleRow {
  const appends = book.from(
    ['claims.claimsPerAppend'],
    'appends/s',
    ([claims = 1]) => (DESIGN_SIZE.callsPerSecond / 100) * (1 / claims),
  );
  return {
    role: 'claim writer',
    nodes: '1 for each partition',
    state: 'claims within the window in which a key is remembered',
    messages: `in all, if 1 call in 100 carries a key: ${show(appends)}`,
    cpu: 'not measured',
    memory: 'not measured',
    mechanism: 'batches in a stream of the log; first in its order wins',
  };
}

function snapshotWriter(): RoleRow {
  return {
    role: 'snapshot writer',
    nodes: '1, others when it is gone',
    state: 'as every node',
    messages: 'appends now and then: not measured',
    cpu: 'not measured',
    memory: 'not measured',
    mechanism: "content is a function of the log's prefix",
  };
}

function usageAggregator(): RoleRow {
  const {hostsPerDataCentre} = DERIVED;
  return {
    role: 'usage aggregator',
    nodes: `${DESIGN_SIZE.dataCentres} (1 of each data centre)`,
    state: `counters by customer of ${hostsPerDataCentre} nodes`,
    messages: 'not measured',
    cpu: 'not measured',
    memory: 'not measured',
    mechanism: 'cumulative counters; repeats add nothing',
  };
}

function gateway(book: FigureBook): RoleRow {
  const others = DESIGN_SIZE.regions - 1;
  const out = (others * summaryBytes(GROUPS_PER_REGION)) / 60;
  const state = (others * summaryBytes(GROUPS_PER_REGION)) / 1024;
  return {
    role: 'gateway',
    nodes: `${DESIGN_SIZE.regions * GATEWAYS_PER_REGION} (3 of each region)`,
    state: `${others} summaries, ${show(book.exact(state, 'KiB'))}`,
    messages: `sent by the first of a region: ${show(book.exact(out, 'B/s'))}`,
    cpu: 'not measured',
    memory: 'as its state',
    mechanism: 'summaries each minute, the newest counts',
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
  };
}

/** Appends a second that membership makes. */
export function seedAppends(book: FigureBook): Figure {
  return book.exact(SEED_APPENDS_PER_SECOND, 'appends/s');
}
