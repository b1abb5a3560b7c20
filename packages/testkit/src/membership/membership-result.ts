/** What the membership benchmark measures, and the slopes that follow. */

import {fitLine, type SlopeName} from '../capacity/slopes.js';
import type {FleetUsage} from './agent-fleet.js';
import type {DecisionCost} from './decision-cost.js';

/** Times in ms; null where it did not happen within the limit. */
export interface Times {
  worst: number | null;
  all: (number | null)[];
}

/** Drains of single servers. */
export interface DrainFigures extends Times {
  usage: FleetUsage;
  changes: number;
}

/** A third of the fleet killed at once and started again. */
export interface HerdFigures {
  size: number;
  deathMs: number | null;
  death: FleetUsage;
  condemned: number;
  launchMs: number;
  returnMs: number | null;
  returnBytesBySurvivor: number;
}

/** Figures of one fleet. */
export interface FleetFigures {
  nodes: number;
  joinMs: number | null;
  quiet: FleetUsage;
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

/** Slopes for the capacity page. */
export function slopesOf({
  rows,
  decision,
}: MembershipResult): Partial<Record<SlopeName, number>> {
  const quiet = fitLine(
    rows.map(row => ({x: row.nodes, y: row.quiet.bytesPerSecond})),
  );
  const largest = rows.at(-1);
  const whole = decision.at(-1);
  if (!largest || !whole) return {};
  const deaths = whole.members / 2;
  return {
    'membership.quietBytesBase': quiet.base,
    'membership.quietBytesPerMember': quiet.slope,
    'membership.bytesPerChange': Math.max(...rows.map(bytesPerChange)),
    'membership.agentCpuMsPerSecond': largest.quiet.cpuPercent * 10,
    'membership.agentResidentMiB': largest.peakResidentMiB,
    'membership.decisionCpuMsPerSecond': whole.quietCpuMsPerSecond,
    'membership.heapBytesPerMember': whole.heapBytesPerMember,
    'membership.viewBytesPerMember': whole.viewBytes / whole.members,
    'membership.herdCpuMsPerDeath': whole.herdCpuMs / deaths,
    'membership.herdBytesPerDeath': whole.herdBytes / deaths,
    'membership.worstDeathMs': worstOf(rows.map(row => row.deaths.worst)),
    'membership.worstHerdMs': worstOf(rows.map(row => row.herd.deathMs)),
    'membership.worstDrainMs': worstOf(rows.map(row => row.drains.worst)),
  };
}

/** Bytes that each node sent for one drain, beyond its quiet ones. */
function bytesPerChange({quiet, drains}: FleetFigures): number {
  const {usage, changes} = drains;
  const extra = usage.bytesPerSecond - quiet.bytesPerSecond;
  return Math.max(0, (extra * usage.seconds) / changes);
}

function worstOf(times: (number | null)[]): number {
  return Math.max(...times.map(time => time ?? Infinity));
}
