/**
 * Measures detection time, false suspicions and cost of membership with agents
 * that run as processes.
 */

import {readFileSync} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';

import {writeSlopes} from '../capacity/slopes.js';
import {AgentFleet} from '../membership/agent-fleet.js';
import type {AgentReport} from '../membership/agent-protocol.js';
import {
  Bench,
  numberOption,
  numbersOption,
  type BenchOptions,
} from './bench.js';
import {measureDecision} from '../membership/decision-cost.js';
import {
  slopesOf,
  type DrainFigures,
  type FleetFigures,
  type HerdFigures,
  type MembershipResult,
  type Times,
} from '../membership/membership-result.js';

const COMMAND = 'npm run bench -- membership';
const DEATH_COUNT = 5;
const DRAIN_COUNT = 5;
/** Time in ms within which all agents must count the same members. */
const AGREEMENT_TIMEOUT_MS = 60_000;
/** Time in ms within which all agents must observe a drain or a death. */
const OBSERVATION_TIMEOUT_MS = 20_000;

/** Time in ms between measurements in which the fleet becomes quiet. */
const SETTLE_MS = 12_000;

class MembershipBench extends Bench {
  override readonly summary = 'Detection time and cost of membership';

  /**
   * Measures, or reads the result of an earlier run from the file `--result`;
   * writes slopes into the file `--slopes`.
   */
  override async run(options: BenchOptions): Promise<MembershipResult> {
    const {result: resultFile, slopes: slopesFile} = options;
    const result = resultFile
      ? (JSON.parse(readFileSync(resultFile, 'utf8')) as MembershipResult)
      : await this.measure(options);
    if (slopesFile) writeSlopes(slopesFile, COMMAND, slopesOf(result));
    return result;
  }

  private async measure(options: BenchOptions): Promise<MembershipResult> {
    const sizes = numbersOption(options, 'nodes', [12, 50, 100, 200]);
    const seconds = numberOption(options, 'seconds', 20);
    const decisionSizes = numbersOption(
      options,
      'members',
      [200, 500, 1000, 2083],
    );
    const rows: FleetFigures[] = [];
    for (const nodes of sizes) rows.push(await measureFleet(nodes, seconds));
    const decision = decisionSizes.map(measureDecision);
    return {
      bench: 'membership',
      targets: {deadMs: 3000, drainedMs: 2000, bytesPerSecond: 3000},
      rows,
      decision,
    };
  }
}

async function measureFleet(
  nodes: number,
  seconds: number,
): Promise<FleetFigures> {
  const fleet = new AgentFleet();
  try {
    await fleet.launch(nodes);
    const joinMs = await fleet.untilAgreed(AGREEMENT_TIMEOUT_MS);
    await sleep(SETTLE_MS);
    const quiet = await fleet.usageDuring(() => sleep(seconds * 1000));
    const quietReports = await fleet.reports();
    const drains = await measureDrains(fleet);
    const deaths = await measureDeaths(fleet);
    const herd = await measureMassFailure(fleet);
    const peakResidentMiB = maxResidentMiB(await fleet.reports());
    return {
      nodes,
      joinMs,
      quiet,
      falselySuspected: sumCounter(quietReports, 'suspicionsRaised'),
      falselyCondemned: sumCounter(quietReports, 'condemned'),
      drains,
      deaths,
      herd,
      peakResidentMiB,
    };
  } finally {
    await fleet.stop();
  }
}

/**
 * Drains servers one after the other; measures the time until all other agents
 * observe each drain, and the usage of the agents over all drains.
 */
async function measureDrains(fleet: AgentFleet): Promise<DrainFigures> {
  const all: (number | null)[] = [];
  const usage = await fleet.usageDuring(async () => {
    for (const agent of fleet.agents.slice(0, DRAIN_COUNT)) {
      const sinceMs = Date.now();
      agent.setState('draining');
      const {id} = agent.options;
      const limitMs = OBSERVATION_TIMEOUT_MS;
      all.push(await fleet.untilSeen(id, 'drained', sinceMs, limitMs));
    }
    await sleep(SETTLE_MS);
  });
  return {...timesOf(all), usage, changes: DRAIN_COUNT};
}

/**
 * Kills agents one after the other; measures the time until all other agents
 * observe each death.
 */
async function measureDeaths(fleet: AgentFleet): Promise<Times> {
  const all: (number | null)[] = [];
  for (let death = 0; death < DEATH_COUNT; death += 1) {
    const victim = fleet.agents[fleet.size - 1];
    if (!victim) break;
    const sinceMs = Date.now();
    await fleet.kill([victim]);
    const {id} = victim.options;
    all.push(
      await fleet.untilSeen(id, 'gone', sinceMs, OBSERVATION_TIMEOUT_MS),
    );
    await sleep(1_000);
  }
  return timesOf(all);
}

/** Kills a third of the agents at once, then starts as many new ones. */
async function measureMassFailure(fleet: AgentFleet): Promise<HerdFigures> {
  const victims = fleet.agents.slice(-Math.floor(fleet.size / 3));
  const condemnedBefore = sumCounter(await fleet.reports(), 'condemned');
  await fleet.kill(victims);
  let deathMs: number | null = null;
  const death = await fleet.usageDuring(async () => {
    deathMs = await fleet.untilAgreed(AGREEMENT_TIMEOUT_MS);
  });
  const condemned =
    sumCounter(await fleet.reports(), 'condemned') - condemnedBefore;
  await sleep(SETTLE_MS);
  const survivors = await fleet.reports();
  const startMs = Date.now();
  await fleet.launchBatch(victims.length);
  const launchMs = Date.now() - startMs;
  const returnMs = await fleet.untilAgreed(AGREEMENT_TIMEOUT_MS);
  const bytes = bytesSince(survivors, await fleet.reports());
  return {
    size: victims.length,
    deathMs,
    death,
    condemned,
    launchMs,
    returnMs,
    returnBytesBySurvivor: bytes,
  };
}

/** Returns the mean bytes sent by each agent of `before` since that report. */
function bytesSince(before: AgentReport[], after: AgentReport[]): number {
  const sent = before.map(
    (report, index) => (after[index]?.bytesOut ?? 0) - report.bytesOut,
  );
  return sent.reduce((total, bytes) => total + bytes, 0) / before.length;
}

function timesOf(all: (number | null)[]): Times {
  const worst = all.includes(null) ? null : Math.max(...(all as number[]));
  return {worst, all};
}

function sumCounter(
  reports: AgentReport[],
  counter: 'suspicionsRaised' | 'condemned',
): number {
  return reports.reduce((total, {counters}) => total + counters[counter], 0);
}

function maxResidentMiB(reports: AgentReport[]): number {
  const bytes = Math.max(...reports.map(report => report.residentBytes));
  return bytes / 1024 / 1024;
}

export const bench: Bench = new MembershipBench();
