/** Measured slopes: written by benchmarks, read by the capacity page. */

import {existsSync, readFileSync, writeFileSync} from 'node:fs';

/** Names of all slopes that the page makes use of. */
export type SlopeName =
  /** Bytes that a node sends in a quiet second: base, and for each member. */
  | 'membership.quietBytesBase'
  | 'membership.quietBytesPerMember'
  /** Bytes that each node sends for one change of one member. */
  | 'membership.bytesPerChange'
  /** Processor time in ms of a quiet second of the whole agent process. */
  | 'membership.agentCpuMsPerSecond'
  /** Processor time in ms of a quiet second of the decision at 2,083. */
  | 'membership.decisionCpuMsPerSecond'
  | 'membership.heapBytesPerMember'
  | 'membership.viewBytesPerMember'
  /** Processor time in ms to take in the death of one member of a herd. */
  | 'membership.herdCpuMsPerDeath'
  /** Bytes that a node sends for one death of a herd. */
  | 'membership.herdBytesPerDeath'
  /** Memory in MiB of a process with the transport and membership alone. */
  | 'membership.agentResidentMiB'
  /** Worst time in ms until a dead host or a drain is seen by all. */
  | 'membership.worstDeathMs'
  | 'membership.worstDrainMs'
  /** Worst time in ms until a third that died at once is out of all views. */
  | 'membership.worstHerdMs'
  /** Processor time in ms of one call at the node of each end, many a second. */
  | 'overhead.cpuMsPerCallEntry'
  | 'overhead.cpuMsPerCallBeside'
  /** The same with few calls a second; the quiet cost counts with it. */
  | 'overhead.slowCpuMsPerCallEntry'
  | 'overhead.slowCpuMsPerCallBeside'
  /** Processor time in ms of a quiet second of a whole node. */
  | 'overhead.quietCpuMsPerSecond'
  /** Memory in MiB of a whole node after the load. */
  | 'overhead.residentMiB'
  /** Bytes that a node sends for configuration in a second of no change. */
  | 'convergence.quietBytesPerSecond'
  /** Bytes sent for one change: by a leaf, more for each child, by a relay. */
  | 'convergence.leafBytesPerChange'
  | 'convergence.bytesPerChildAndChange'
  | 'convergence.relayBytesPerChange'
  /**
   * Processor time in ms of a second with one change, quiet cost included:
   * mean of the nodes, and the busiest node.
   */
  | 'convergence.cpuMsPerSecond'
  | 'convergence.maxCpuMsPerSecond'
  /** Memory in MiB of a process with the transport and configuration alone. */
  | 'convergence.residentMiB'
  /** Processor time in µs of one record of the log. */
  | 'fold.microsPerRecord'
  /** Time in ms to build the routing table, for each resource. */
  | 'fold.tableMsPerResource'
  | 'fold.heapBytesPerResource'
  | 'fold.snapshotBytesPerResource'
  /** All claim writers together, at the highest rate measured. */
  | 'claims.appendsPerSecond'
  | 'claims.logBytesPerClaim'
  | 'claims.writerMicrosPerClaim'
  | 'claims.foldMicrosPerKey'
  | 'claims.heapBytesPerKey'
  /** Records for one report of every node, at the most nodes measured. */
  | 'usage.recordsPerRound'
  | 'usage.bytesPerReport'
  | 'usage.foldMicrosPerReport'
  | 'usage.heapBytesPerNode';

/** One measured figure and how to measure it again. */
export interface Slope {
  value: number;
  command: string;
}

export type Slopes = Partial<Record<SlopeName, Slope>>;

/** Reads the file of slopes; an absent file holds none. */
export function readSlopes(file: string): Slopes {
  if (!existsSync(file)) return {};
  return JSON.parse(readFileSync(file, 'utf8')) as Slopes;
}

/** Writes the figures of one command into the file, beside the others. */
export function writeSlopes(
  file: string,
  command: string,
  values: Partial<Record<SlopeName, number>>,
): void {
  const slopes: Slopes = readSlopes(file);
  for (const [name, value] of Object.entries(values)) {
    slopes[name as SlopeName] = {value: roundTo4(value), command};
  }
  const sorted = Object.fromEntries(
    Object.entries(slopes).sort(([a], [b]) => (a < b ? -1 : 1)),
  );
  writeFileSync(file, `${JSON.stringify(sorted, null, 2)}\n`);
}

/** Four significant digits. */
function roundTo4(value: number): number {
  return Number(value.toPrecision(4));
}

/** A straight line through points by least squares. */
export interface Line {
  base: number;
  slope: number;
}

export function fitLine(points: readonly {x: number; y: number}[]): Line {
  const count = points.length;
  const meanX = points.reduce((sum, {x}) => sum + x, 0) / count;
  const meanY = points.reduce((sum, {y}) => sum + y, 0) / count;
  let xy = 0;
  let xx = 0;
  for (const {x, y} of points) {
    xy += (x - meanX) * (y - meanY);
    xx += (x - meanX) ** 2;
  }
  const slope = xx === 0 ? 0 : xy / xx;
  return {base: meanY - slope * meanX, slope};
}
