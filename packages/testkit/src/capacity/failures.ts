/** Cost of the failures expected at the design size, from measured slopes. */

import {ENDPOINT_SPREAD_MS} from '@turmericmill/sidecar';

import {DERIVED, DESIGN_SIZE} from './design-size.js';
import {formatFigure, type Figure, type FigureCalculator} from './figures.js';

/**
 * Approximate time in s for which the failure of a data centre exceeds the byte
 * budget.
 */
const MASS_FAILURE_SECONDS = 10;

/** One row of the failures table. */
export interface FailureRow {
  failure: string;
  rate: string;
  cost: string;
  verdict: string;
}

export function failureRows(calculator: FigureCalculator): FailureRow[] {
  return [
    hostFailure(calculator),
    restart(calculator),
    rackFailure(calculator),
    dataCentreFailure(calculator),
    dataCentreReturn(calculator),
    regionPartition(),
    storeReturn(),
  ];
}

function hostFailure(calculator: FigureCalculator): FailureRow {
  const bytes = calculator.derive(
    ['membership.bytesPerChange'],
    'B',
    ([perChange = 0]) =>
      // A failed host causes two changes: it is suspected, then declared dead.
      perChange * 2,
  );
  const worst = calculator.derive(
    ['membership.worstDeathMs'],
    'ms',
    ([ms = 0]) => ms,
  );
  const failuresPerDay = DESIGN_SIZE.hostFailuresPerDay / DESIGN_SIZE.regions;
  return {
    failure: 'a host dies',
    rate: `${failuresPerDay.toFixed(1)} a day in a region`,
    cost: `${formatFigure(bytes)} sent by each node of the region`,
    verdict: `carried; out of all views after ${formatFigure(worst)} at worst in the fleets measured`,
  };
}

function restart(calculator: FigureCalculator): FailureRow {
  const view = calculator.derive(
    ['membership.viewBytesPerMember'],
    'KB',
    ([bytes = 0]) => (bytes * DERIVED.membersPerRegion) / 1000,
  );
  const restartsPerDay = DESIGN_SIZE.restartsPerDay / DESIGN_SIZE.regions;
  return {
    failure: 'a node restarts',
    rate: `${Math.round(restartsPerDay)} a day in a region`,
    cost: `one view of ${formatFigure(view)} from one peer, four changes for all`,
    verdict: 'carried',
  };
}

function rackFailure(calculator: FigureCalculator): FailureRow {
  return {
    failure: `a rack or switch dies (${DESIGN_SIZE.rackHosts} hosts)`,
    rate: 'weekly',
    cost: massFailureCost(calculator, DESIGN_SIZE.rackHosts),
    verdict: `carried: news share datagrams; a third of a fleet that died at once was out of all views after ${formatFigure(massFailureTime(calculator))} at worst`,
  };
}

function dataCentreFailure(calculator: FigureCalculator): FailureRow {
  const {hostsPerDataCentre} = DERIVED;
  return {
    failure: `a data centre dies (${hostsPerDataCentre} hosts)`,
    rate: 'every other month',
    cost: massFailureCost(calculator, hostsPerDataCentre),
    verdict: `over 3 KB/s for about ${MASS_FAILURE_SECONDS} s, then within it; the time at this size is not measured`,
  };
}

function dataCentreReturn(calculator: FigureCalculator): FailureRow {
  const {hostsPerDataCentre, membersPerRegion} = DERIVED;
  const survivors = membersPerRegion - hostsPerDataCentre;
  const views = calculator.derive(
    ['membership.viewBytesPerMember'],
    'KB',
    ([bytes = 0]) =>
      (bytes * membersPerRegion * hostsPerDataCentre) / survivors / 1000,
  );
  return {
    failure: 'a data centre returns at once',
    rate: 'every other month',
    cost: `${hostsPerDataCentre} views from ${survivors} survivors: ${formatFigure(views)} sent by each on average`,
    verdict:
      'bounded at 4 views/s for each node; the time at this size is extrapolated from 200 processes',
  };
}

function regionPartition(): FailureRow {
  return {
    failure: 'two regions lose each other for an hour',
    rate: 'now and then',
    cost: 'none; the summary of the other region ages',
    verdict: 'carried: members are known within a region only',
  };
}

function storeReturn(): FailureRow {
  const {membersPerRegion} = DERIVED;
  const spreadS = (membersPerRegion * ENDPOINT_SPREAD_MS) / 1000;
  return {
    failure: "the platform's store returns from an older copy",
    rate: 'in drills',
    cost: `one write of its entry by each of ${membersPerRegion} nodes of a region, over ${Math.round(spreadS)} s`,
    verdict:
      'carried; the calls are simulated for 12 to 195 nodes, not at this size',
  };
}

function massFailureTime(calculator: FigureCalculator): Figure {
  return calculator.derive(['membership.worstHerdMs'], 'ms', ([ms = 0]) => ms);
}

function massFailureCost(calculator: FigureCalculator, hosts: number): string {
  const bytes = calculator.derive(
    ['membership.herdBytesPerDeath'],
    'KB',
    ([perDeath = 0]) => (perDeath * hosts) / 1000,
  );
  const cpu = calculator.derive(
    ['membership.herdCpuMsPerDeath'],
    'ms',
    ([perDeath = 0]) => perDeath * hosts,
  );
  return `${formatFigure(bytes)} and ${formatFigure(cpu)} of processor time for each node`;
}
