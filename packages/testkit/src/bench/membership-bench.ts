/** Detection, false suspicions and cost of membership, as processes. */

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
const DEATHS = 5;
const DRAINS = 5;
const JOIN_LIMIT_MS = 60_000;
const SEEN_LIMIT_MS = 20_000;

/** Time in ms for which a fleet settles between measurements. */
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
    const joinMs = await fleet.untilAgreed(JOIN_LIMIT_MS);
    await sleep(SETTLE_MS);
    const quiet = await fleet.usageDuring(() => sleep(seconds * 1000));
    const quietReports = await fleet.reports();
    const drains = await measureDrains(fleet);
    const deaths = await measureDeaths(fleet);
    const herd = await measureHerd(fleet);
    const peakResidentMiB = toMiB(await fleet.reports());
    return {
      nodes,
      joinMs,
      quiet,
      falselySuspected: sum(quietReports, 'suspicionsRaised'),
      falselyCondemned: sum(quietReports, 'condemned'),
      drains,
      deaths,
      herd,
      peakResidentMiB,
    };
  } finally {
    await fleet.stop();
  }
}

/** Drains one server after the other; counts the bytes of each change. */
async function measureDrains(fleet: AgentFleet): Promise<DrainFigures> {
  const all: (number | null)[] = [];
  const usage = await fleet.usageDuring(async () => {
    for (const agent of fleet.agents.slice(0, DRAINS)) {
      const sinceMs = Date.now();
      agent.setState('draining');
      const {id} = agent.options;
      const limitMs = SEEN_LIMIT_MS;
      all.push(await fleet.untilSeen(id, 'drained', sinceMs, limitMs));
    }
    await sleep(SETTLE_MS);
  });
  return {...timesOf(all), usage, changes: DRAINS};
}

/** Kills one agent after the other. */
async function measureDeaths(fleet: AgentFleet): Promise<Times> {
  const all: (number | null)[] = [];
  for (let death = 0; death < DEATHS; death += 1) {
    const victim = fleet.agents[fleet.size - 1];
    if (!victim) break;
    const sinceMs = Date.now();
    await fleet.kill([victim]);
    const {id} = victim.options;
    all.push(await fleet.untilSeen(id, 'gone', sinceMs, SEEN_LIMIT_MS));
    await sleep(1_000);
  }
  return timesOf(all);
}

/** Kills a third at once and starts as many again. */
async function measureHerd(fleet: AgentFleet): Promise<HerdFigures> {
  const herd = fleet.agents.slice(-Math.floor(fleet.size / 3));
  const before = sum(await fleet.reports(), 'condemned');
  await fleet.kill(herd);
  let deathMs: number | null = null;
  const death = await fleet.usageDuring(async () => {
    deathMs = await fleet.untilAgreed(JOIN_LIMIT_MS);
  });
  const condemned = sum(await fleet.reports(), 'condemned') - before;
  await sleep(SETTLE_MS);
  const survivors = await fleet.reports();
  const startMs = Date.now();
  await fleet.launchBatch(herd.length);
  const launchMs = Date.now() - startMs;
  const returnMs = await fleet.untilAgreed(JOIN_LIMIT_MS);
  const bytes = bytesSince(survivors, await fleet.reports());
  return {
    size: herd.length,
    deathMs,
    death,
    condemned,
    launchMs,
    returnMs,
    returnBytesBySurvivor: bytes,
  };
}

/** Mean bytes that each of the first agents sent in between. */
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

function sum(
  reports: AgentReport[],
  counter: 'suspicionsRaised' | 'condemned',
): number {
  return reports.reduce((total, {counters}) => total + counters[counter], 0);
}

function toMiB(reports: AgentReport[]): number {
  const bytes = Math.max(...reports.map(report => report.residentBytes));
  return bytes / 1024 / 1024;
}

/** The benchmark. */
export const bench: Bench = new MembershipBench();
