/** Measured slopes, written by benchmarks and read by the capacity page. */

import {existsSync, readFileSync, writeFileSync} from 'node:fs';

/** Names of all slopes that the page uses. */
export type SlopeName =
  /** Bytes that a node sends per quiet second: base and per member. */
  | 'membership.quietBytesBase'
  | 'membership.quietBytesPerMember'
  /** Bytes that each node sends per change of one member. */
  | 'membership.bytesPerChange'
  /** CPU time in ms per quiet second of the whole agent process. */
  | 'membership.agentCpuMsPerSecond'
  /**
   * CPU time in ms per quiet second of the membership state machine with 2,083
   * members.
   */
  | 'membership.decisionCpuMsPerSecond'
  | 'membership.heapBytesPerMember'
  | 'membership.viewBytesPerMember'
  /** CPU time in ms for processing each death in a mass failure. */
  | 'membership.herdCpuMsPerDeath'
  /** Bytes that a node sends per death in a mass failure. */
  | 'membership.herdBytesPerDeath'
  /** Memory in MiB of a process with only the transport and membership. */
  | 'membership.agentResidentMiB'
  /** Maximum time in ms until all nodes observe a dead host or a drain. */
  | 'membership.worstDeathMs'
  | 'membership.worstDrainMs'
  /**
   * Maximum time in ms until a third of the fleet that failed at once is absent
   * from all views.
   */
  | 'membership.worstHerdMs'
  /** CPU time in ms per call at the node of each end, at a high call rate. */
  | 'overhead.cpuMsPerCallEntry'
  | 'overhead.cpuMsPerCallBeside'
  /** The same at a low call rate; includes the cost of a quiet node. */
  | 'overhead.slowCpuMsPerCallEntry'
  | 'overhead.slowCpuMsPerCallBeside'
  /** CPU time in ms per quiet second of a whole node. */
  | 'overhead.quietCpuMsPerSecond'
  /** Memory in MiB of a whole node after load. */
  | 'overhead.residentMiB'
  /** Bytes that a node sends per second for an unchanged configuration. */
  | 'convergence.quietBytesPerSecond'
  /** Bytes sent per change: by a leaf, additionally per child, by a relay. */
  | 'convergence.leafBytesPerChange'
  | 'convergence.bytesPerChildAndChange'
  | 'convergence.relayBytesPerChange'
  /**
   * CPU time in ms per second at one change per second, including the quiet
   * cost: mean of all nodes, and the busiest node.
   */
  | 'convergence.cpuMsPerSecond'
  | 'convergence.maxCpuMsPerSecond'
  /** Memory in MiB of a process with only the transport and configuration. */
  | 'convergence.residentMiB'
  /** Elapsed time in µs for folding a record of the log. */
  | 'fold.microsPerRecord'
  /** Elapsed time in ms per resource for building the routing table. */
  | 'fold.tableMsPerResource'
  | 'fold.heapBytesPerResource'
  | 'fold.snapshotBytesPerResource'
  /** Appends of all claim writers together, at the highest rate measured. */
  | 'claims.appendsPerSecond'
  | 'claims.logBytesPerClaim'
  /** Elapsed times in µs; that of the fold includes encoding the claims. */
  | 'claims.writerMicrosPerClaim'
  | 'claims.foldMicrosPerKey'
  | 'claims.heapBytesPerKey'
  /** Records for one report of every node, at the largest fleet measured. */
  | 'usage.recordsPerRound'
  | 'usage.bytesPerReport'
  /** Elapsed time in µs. */
  | 'usage.foldMicrosPerReport'
  | 'usage.heapBytesPerNode';

/** One measured figure and the command that reproduces the measurement. */
export interface Slope {
  value: number;
  command: string;
}

export type Slopes = Partial<Record<SlopeName, Slope>>;

/** Reads the slopes file; a missing file yields no slopes. */
export function readSlopes(file: string): Slopes {
  if (!existsSync(file)) return {};
  return JSON.parse(readFileSync(file, 'utf8')) as Slopes;
}

/** Writes the figures of one command to the file and keeps the others. */
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

/** Rounds to four significant digits. */
function roundTo4(value: number): number {
  return Number(value.toPrecision(4));
}

/** A straight line. */
export interface Line {
  base: number;
  slope: number;
}

/** Fits a straight line to points by least squares. */
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
