/** Result of the membership benchmark and the slopes derived from it. */

import {fitLine, type SlopeName} from '../capacity/slopes.js';
import type {FleetUsage} from './agent-fleet.js';
import type {DecisionCost} from './decision-cost.js';

/** Times in ms; null if the event was not observed within the limit. */
export interface Times {
  worst: number | null;
  all: (number | null)[];
}

/** Figures for servers drained one after the other. */
export interface DrainFigures extends Times {
  usage: FleetUsage;
  changes: number;
}

/** Figures for a third of the fleet killed at once, then replaced. */
export interface HerdFigures {
  /** Number of agents killed. */
  size: number;
  /** Time until all survivors agreed on the number of members. */
  deathMs: number | null;
  /** Usage of the survivors during this time. */
  death: FleetUsage;
  /** Number of times that a survivor declared a suspected member dead. */
  condemned: number;
  launchMs: number;
  /** Time from the end of the launch until all agents agreed again. */
  returnMs: number | null;
  /** Mean bytes sent by each survivor during launch and return. */
  returnBytesBySurvivor: number;
}

/** Figures of a fleet of one size. */
export interface FleetFigures {
  nodes: number;
  joinMs: number | null;
  quiet: FleetUsage;
  /** Suspicions and declarations of death before any agent was killed. */
  falselySuspected: number;
  falselyCondemned: number;
  drains: DrainFigures;
  deaths: Times;
  herd: HerdFigures;
  peakResidentMiB: number;
}

export interface MembershipResult {
  bench: 'membership';
  targets: {deadMs: number; drainedMs: number; bytesPerSecond: number};
  rows: FleetFigures[];
  decision: DecisionCost[];
}

/** Derives the slopes for the capacity page. */
export function slopesOf({
  rows,
  decision,
}: MembershipResult): Partial<Record<SlopeName, number>> {
  const quiet = fitLine(
    rows.map(row => ({x: row.nodes, y: row.quiet.bytesPerSecond})),
  );
  const largest = rows.at(-1);
  const largestDecision = decision.at(-1);
  if (!largest || !largestDecision) return {};
  const deaths = largestDecision.members / 2;
  return {
    'membership.quietBytesBase': quiet.base,
    'membership.quietBytesPerMember': quiet.slope,
    'membership.bytesPerChange': Math.max(...rows.map(bytesPerChange)),
    'membership.agentCpuMsPerSecond': largest.quiet.cpuPercent * 10,
    'membership.agentResidentMiB': largest.peakResidentMiB,
    'membership.decisionCpuMsPerSecond': largestDecision.quietCpuMsPerSecond,
    'membership.heapBytesPerMember': largestDecision.heapBytesPerMember,
    'membership.viewBytesPerMember':
      largestDecision.viewBytes / largestDecision.members,
    'membership.herdCpuMsPerDeath': largestDecision.herdCpuMs / deaths,
    'membership.herdBytesPerDeath': largestDecision.herdBytes / deaths,
    'membership.worstDeathMs': worstOf(rows.map(row => row.deaths.worst)),
    'membership.worstHerdMs': worstOf(rows.map(row => row.herd.deathMs)),
    'membership.worstDrainMs': worstOf(rows.map(row => row.drains.worst)),
  };
}

/** Bytes that one node sent per drain in addition to its quiet traffic. */
function bytesPerChange({quiet, drains}: FleetFigures): number {
  const {usage, changes} = drains;
  const extra = usage.bytesPerSecond - quiet.bytesPerSecond;
  return Math.max(0, (extra * usage.seconds) / changes);
}

function worstOf(times: (number | null)[]): number {
  return Math.max(...times.map(time => time ?? Infinity));
}
