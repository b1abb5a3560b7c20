/** What control costs every node at the design size. */

import {DERIVED, DESIGN_SIZE} from './design-size.js';
import {heartbeatBytesPerSecond, spreadSummaryBytes} from './exact-sizes.js';
import type {Figure, FigureBook} from './figures.js';

export const BYTES_PER_MIB = 1024 * 1024;

/** A service, its group and its route. */
export const RESOURCES = DESIGN_SIZE.services * 3;

/** Time in s between two reports of a node's usage. */
export const USAGE_REPORT_SECONDS = 60;

/** IP and TCP headers of a message, in bytes. */
export const TCP_HEADER_BYTES = 40;

/** Changes of a member that one restart makes: drain, leave, join, ready. */
const CHANGES_PER_RESTART = 4;

/** Nodes to which each member passes a summary, and summaries a second. */
const SUMMARY_FAN_OUT = 3;
const SUMMARIES_PER_SECOND = DESIGN_SIZE.regions / 60;
const UDP_HEADER_BYTES = 28;

/** Control bytes that each node sends in a second, by part. */
export function controlBytes(book: FigureBook): Record<string, Figure> {
  return {
    ...membershipBytes(book),
    'configuration, no change': book.from(
      ['convergence.quietBytesPerSecond'],
      'B/s',
      ([bytes = 0]) => bytes,
    ),
    'configuration, changes at a leaf': book.from(
      ['convergence.leafBytesPerChange'],
      'B/s',
      ([bytes = 0]) => bytes * DERIVED.changesPerSecond,
    ),
    'usage, one report a minute': book.from(
      ['usage.bytesPerReport'],
      'B/s',
      ([bytes = 0]) => (bytes + TCP_HEADER_BYTES) / USAGE_REPORT_SECONDS,
    ),
    'heartbeat to the usage collector, at most': heartbeatBytes(book),
  };
}

function membershipBytes(book: FigureBook): Record<string, Figure> {
  const {membersPerRegion, churnPerRegion} = DERIVED;
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
      SUMMARIES_PER_SECOND *
        SUMMARY_FAN_OUT *
        (spreadSummaryBytes() + UDP_HEADER_BYTES),
      'B/s',
    ),
  };
}

/** The sum of the parts that are measured. */
export function knownControlBytes(book: FigureBook): Figure {
  const parts = Object.values(controlBytes(book));
  return book.sum(parts.filter(part => part.value !== undefined));
}

/** Most that one idle connection between nodes makes one end send. */
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

/** Memory of the configuration in force. */
export function configurationMemory(book: FigureBook): Figure {
  return book.from(
    ['fold.heapBytesPerResource'],
    'MiB',
    ([bytes = 0]) => (bytes * RESOURCES) / BYTES_PER_MIB,
  );
}

/** Memory of a whole node after load, with view and configuration added. */
export function nodeMemory(book: FigureBook): Figure {
  const whole = book.from(['overhead.residentMiB'], 'MiB', ([mib = 0]) => mib);
  return book.sum([whole, viewMemory(book), configurationMemory(book)]);
}

/** Processor time to fold each change and build the table for it. */
export function tableCpu(book: FigureBook): Figure {
  return book.from(
    ['fold.tableMsPerResource', 'fold.microsPerRecord'],
    '% of a core',
    ([table = 0, fold = 0]) =>
      ((table * RESOURCES + fold / 1000) * DERIVED.changesPerSecond) / 10,
  );
}

/**
 * Processor time of control: a quiet whole node, membership and configuration,
 * each as a process of its own. The transport counts three times, so this is
 * an upper bound.
 */
export function controlCpu(
  book: FigureBook,
  configuration:
    | 'convergence.cpuMsPerSecond'
    | 'convergence.maxCpuMsPerSecond' = 'convergence.cpuMsPerSecond',
): Figure {
  const processes = book.from(
    [
      'overhead.quietCpuMsPerSecond',
      'membership.agentCpuMsPerSecond',
      configuration,
    ],
    '% of a core',
    ([quiet = 0, agent = 0, config = 0]) => (quiet + agent + config) / 10,
  );
  return book.sum([processes, tableCpu(book)]);
}
