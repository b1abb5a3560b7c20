/** Control cost of every node at the design size. */

import {DERIVED, DESIGN_SIZE} from './design-size.js';
import {heartbeatBytesPerSecond, gossipSummaryBytes} from './exact-sizes.js';
import type {Figure, FigureCalculator} from './figures.js';

export const BYTES_PER_MIB = 1024 * 1024;

/** Number of resources; each service has a group and a route. */
export const RESOURCES = DESIGN_SIZE.services * 3;

/** Interval in s between usage reports of a node. */
export const USAGE_REPORT_SECONDS = 60;

/** Size in bytes of the IP and TCP headers of one message. */
export const TCP_HEADER_BYTES = 40;

/** Number of member changes per restart: drain, leave, join, ready. */
const CHANGES_PER_RESTART = 4;

/** Number of nodes to which each member forwards a summary. */
const SUMMARY_FAN_OUT = 3;

/** Summaries per second; each region sends one per minute. */
const SUMMARIES_PER_SECOND = DESIGN_SIZE.regions / 60;

/** Size in bytes of the IP and UDP headers of one message. */
const UDP_HEADER_BYTES = 28;

/** Control bytes that each node sends per second, by purpose. */
export function controlBytes(
  calculator: FigureCalculator,
): Record<string, Figure> {
  return {
    ...membershipBytes(calculator),
    'configuration, no change': calculator.derive(
      ['convergence.quietBytesPerSecond'],
      'B/s',
      ([bytes = 0]) => bytes,
    ),
    'configuration, changes at a leaf': calculator.derive(
      ['convergence.leafBytesPerChange'],
      'B/s',
      ([bytes = 0]) => bytes * DERIVED.changesPerSecond,
    ),
    'usage, one report a minute': calculator.derive(
      ['usage.bytesPerReport'],
      'B/s',
      ([bytes = 0]) => (bytes + TCP_HEADER_BYTES) / USAGE_REPORT_SECONDS,
    ),
    'heartbeat to the usage collector, at most': heartbeatBytes(calculator),
  };
}

function membershipBytes(calculator: FigureCalculator): Record<string, Figure> {
  const {membersPerRegion, churnPerRegion} = DERIVED;
  return {
    'membership, quiet': calculator.derive(
      ['membership.quietBytesBase', 'membership.quietBytesPerMember'],
      'B/s',
      ([base = 0, perMember = 0]) => base + perMember * membersPerRegion,
    ),
    'membership, daily churn': calculator.derive(
      ['membership.bytesPerChange'],
      'B/s',
      ([bytes = 0]) => bytes * churnPerRegion * CHANGES_PER_RESTART,
    ),
    'summaries of regions': calculator.exact(
      SUMMARIES_PER_SECOND *
        SUMMARY_FAN_OUT *
        (gossipSummaryBytes() + UDP_HEADER_BYTES),
      'B/s',
    ),
  };
}

/** The sum of the measured parts. */
export function measuredControlBytes(calculator: FigureCalculator): Figure {
  const parts = Object.values(controlBytes(calculator));
  return calculator.sum(parts.filter(part => part.value !== undefined));
}

/** Maximum rate at which one end of an idle node connection sends. */
export function heartbeatBytes(calculator: FigureCalculator): Figure {
  return calculator.exact(heartbeatBytesPerSecond(), 'B/s');
}

/** Memory for the membership view of a region. */
export function viewMemory(calculator: FigureCalculator): Figure {
  return calculator.derive(
    ['membership.heapBytesPerMember'],
    'MiB',
    ([bytes = 0]) => (bytes * DERIVED.membersPerRegion) / BYTES_PER_MIB,
  );
}

/** Memory for the configuration in force. */
export function configurationMemory(calculator: FigureCalculator): Figure {
  return calculator.derive(
    ['fold.heapBytesPerResource'],
    'MiB',
    ([bytes = 0]) => (bytes * RESOURCES) / BYTES_PER_MIB,
  );
}

/** Memory of a whole node after load, plus view and configuration. */
export function nodeMemory(calculator: FigureCalculator): Figure {
  const node = calculator.derive(
    ['overhead.residentMiB'],
    'MiB',
    ([mib = 0]) => mib,
  );
  return calculator.sum([
    node,
    viewMemory(calculator),
    configurationMemory(calculator),
  ]);
}

/**
 * CPU usage of folding each change and rebuilding the routing table, estimated
 * from their elapsed times.
 */
export function tableCpu(calculator: FigureCalculator): Figure {
  return calculator.derive(
    ['fold.tableMsPerResource', 'fold.microsPerRecord'],
    '% of a core',
    ([table = 0, fold = 0]) =>
      ((table * RESOURCES + fold / 1000) * DERIVED.changesPerSecond) / 10,
  );
}

/**
 * CPU time of control: the sum of a quiet whole node, membership and
 * configuration, each measured as a separate process. The transport is counted
 * three times, so this is an upper bound.
 */
export function controlCpu(
  calculator: FigureCalculator,
  configuration:
    | 'convergence.cpuMsPerSecond'
    | 'convergence.maxCpuMsPerSecond' = 'convergence.cpuMsPerSecond',
): Figure {
  const processes = calculator.derive(
    [
      'overhead.quietCpuMsPerSecond',
      'membership.agentCpuMsPerSecond',
      configuration,
    ],
    '% of a core',
    ([quiet = 0, agent = 0, config = 0]) => (quiet + agent + config) / 10,
  );
  return calculator.sum([processes, tableCpu(calculator)]);
}
